//! Randomised simulation of configuration edits at several daemons, with lost replies, delayed writes,
//! late messages and restarts.

use std::{
    collections::BTreeMap,
    sync::Arc, //
};

use cuminloom::{
    config::{
        ConfigState,
        Edit,
        EditBatch,
        EditError,
        EditRequest,
        HEAD_KEY,
        ItemKind,
        Job,
        JobError,
        ReceiveOutcome,
        Step,
        StepResult, //
    },
    store::{
        StoreError,
        Write, //
    },
};
use cuminloom_standins::store::MemStore;
use rand::{
    RngExt,
    SeedableRng,
    rngs::StdRng, //
};

/// Daemons in a run.
const DAEMONS: usize = 4;
/// Steps of a run.
const STEPS: usize = 4_000;
/// Runs of the test.
const SEEDS: u64 = 150;

/// Result of an edit as the operator was told.
type EditResult = Result<Arc<Edit>, JobError>;

/// A write that the store applies later, after the daemon has given it up.
enum DelayedWrite {
    Put(Arc<str>, Vec<u8>),
    Commit(Vec<Write>),
}

/// A job of a daemon and its next step; `change` is `None` for a poll.
struct RunningJob {
    daemon: usize,
    job: Job,
    step: Step,
    change: Option<EditRequest>,
}

/// State of one run.
struct Simulation {
    rng: StdRng,
    store: MemStore,
    store_down: bool,
    delayed: Vec<DelayedWrite>,
    daemons: Vec<ConfigState>,
    running: Vec<RunningJob>,
    /// Batches sent between daemons; any of them may be delivered, repeatedly.
    messages: Vec<EditBatch>,
    /// Version of the head.
    head: u64,
    /// Each request with all results that its operator was told, by request id.
    results: BTreeMap<Arc<str>, (EditRequest, Vec<EditResult>)>,
    /// Requests without a definite result, which operators repeat.
    unanswered: Vec<EditRequest>,
}

impl Simulation {
    fn new(seed: u64) -> Self {
        Self {
            rng: StdRng::seed_from_u64(seed),
            store: MemStore::default(),
            store_down: false,
            delayed: Vec::new(),
            daemons: vec![ConfigState::default(); DAEMONS],
            running: Vec::new(),
            messages: Vec::new(),
            head: 0,
            results: BTreeMap::new(),
            unanswered: Vec::new(),
        }
    }

    /// Applies a write and checks that the head does not fall.
    fn apply_write(&mut self, write: DelayedWrite) -> StepResult {
        let result = match write {
            DelayedWrite::Put(name, body) => StepResult::Put(self.store.put_new(&name, &body)),
            DelayedWrite::Commit(writes) => StepResult::Commit(self.store.commit(&writes)),
        };
        let row = self.store.read(HEAD_KEY);
        let head = row.map_or(0, |row| row.value["version"].as_u64().unwrap());
        assert!(
            head >= self.head,
            "the head went from {} to {head}",
            self.head
        );
        self.head = head;
        result
    }

    /// Runs the store operation of a step. The reply may be lost, and an unanswered write may apply
    /// later.
    fn execute(&mut self, step: &Step) -> StepResult {
        let roll = self.rng.random_range(0..40);
        if self.store_down || roll == 0 {
            return StepResult::Failed(StoreError::Unavailable);
        }
        let write = match step.clone() {
            Step::ReadHead => return self.read(roll, StepResult::Head(self.store.read(HEAD_KEY))),
            Step::GetObject(name) => {
                let body = self.store.get(&name).map(<[u8]>::to_vec);
                return self.read(roll, StepResult::Object(body));
            }
            Step::PutObject(name, body) => DelayedWrite::Put(name, body),
            Step::Commit(writes) => DelayedWrite::Commit(writes),
            Step::Done(_) => unreachable!("finished jobs are removed"),
        };
        match roll {
            1 => drop(self.apply_write(write)),
            2 | 3 => self.delayed.push(write),
            _ => return self.apply_write(write),
        }
        StepResult::Failed(StoreError::Unknown)
    }

    /// Result of a read, which is lost when `roll` is 1.
    fn read(&self, roll: u32, result: StepResult) -> StepResult {
        match roll {
            1 => StepResult::Failed(StoreError::Unknown),
            _ => result,
        }
    }

    /// Starts an edit job, or a poll if there is no change.
    fn start(&mut self, daemon: usize, change: Option<EditRequest>) {
        let mut job = match &change {
            Some(change) => Job::edit(change.clone()),
            None => Job::poll(self.rng.random_bool(0.3)),
        };
        let step = job.start();
        self.running.push(RunningJob {
            daemon,
            job,
            step,
            change,
        });
    }

    /// An operator edits or deletes an item as one daemon shows it, or repeats an unanswered request.
    fn submit_edit(&mut self, number: usize) {
        let daemon = self.rng.random_range(0..DAEMONS);
        if !self.unanswered.is_empty() && self.rng.random_bool(0.5) {
            let change = self.unanswered.swap_remove(0);
            return self.start(daemon, Some(change));
        }
        let name: Arc<str> = format!("stop-{}", self.rng.random_range(0..4)).into();
        let shown = self.daemons[daemon].item(ItemKind::Stop, &name);
        let body = format!(r#"{{"what":"vm","name":"vm-{number}"}}"#);
        let deletes = shown.is_some() && self.rng.random_bool(0.2);
        let value = (!deletes).then(|| ItemKind::Stop.parse(body.as_bytes()).unwrap());
        let change = EditRequest {
            kind: ItemKind::Stop,
            if_match: shown.map(|edit| edit.version),
            name,
            value,
            operator: format!("operator-{}", number % 3).into(),
            time: 0,
            request: format!("r{number}").into(),
        };
        let entry = (change.clone(), Vec::new());
        self.results.insert(change.request.clone(), entry);
        self.start(daemon, Some(change));
    }

    /// Runs one step of a random job.
    fn run_step(&mut self) {
        let at = self.rng.random_range(0..self.running.len());
        let mut running = self.running.swap_remove(at);
        let result = self.execute(&running.step);
        let config = &mut self.daemons[running.daemon];
        let before = config.version();
        running.step = running.job.handle(config, result);
        assert!(config.version() >= before, "a daemon lowered its version");
        let Step::Done(result) = &running.step else {
            return self.running.push(running);
        };
        assert!(!matches!(result, Err(JobError::Corrupt(_))), "{result:?}");
        let Some(change) = running.change else { return };
        let result = result.clone().map(|edit| edit.expect("the own edit"));
        if matches!(result, Err(JobError::Uncertain)) {
            self.unanswered.push(change.clone());
        }
        let entry = self.results.get_mut(&change.request).unwrap();
        entry.1.push(result);
    }

    /// A daemon sends its edits after a random version, and a random batch reaches a random daemon, so
    /// batches are lost, late and repeated.
    fn gossip(&mut self) {
        let from = self.rng.random_range(0..DAEMONS);
        let version = self.daemons[from].version();
        let after = self.rng.random_range(0..=version);
        self.messages.push(self.daemons[from].edits_since(after));
        let message = self.rng.random_range(0..self.messages.len());
        let to = self.rng.random_range(0..DAEMONS);
        let before = self.daemons[to].version();
        let received = self.daemons[to]
            .apply_batch(&self.messages[message])
            .unwrap();
        assert!(self.daemons[to].version() >= before);
        assert_eq!(
            matches!(received, ReceiveOutcome::Advanced(_)),
            self.daemons[to].version() > before
        );
        if self.messages.len() > 30 {
            self.messages.swap_remove(message);
        }
    }

    /// Restarts a daemon. Its jobs end without a result, and their operators repeat the requests.
    fn restart(&mut self) {
        let daemon = self.rng.random_range(0..DAEMONS);
        self.daemons[daemon] = ConfigState::default();
        let (gone, left) = std::mem::take(&mut self.running)
            .into_iter()
            .partition(|running| running.daemon == daemon);
        self.running = left;
        for change in Vec::<RunningJob>::into_iter(gone).filter_map(|it| it.change) {
            let entry = self.results.get_mut(&change.request).unwrap();
            entry.1.push(Err(JobError::Uncertain));
            self.unanswered.push(change);
        }
        if self.store_down {
            // Without the store, peers alone must bring the daemon to the highest version among them.
            let batches: Vec<EditBatch> = self.daemons.iter().map(|it| it.edits_since(0)).collect();
            let highest = batches.iter().map(|it| it.version).max().unwrap();
            batches.iter().for_each(|batch| {
                self.daemons[daemon].apply_batch(batch).unwrap();
            });
            assert_eq!(self.daemons[daemon].version(), highest);
        }
    }

    /// Runs all steps, then finishes the jobs and applies the delayed writes.
    fn run(&mut self) {
        for number in 0..STEPS {
            match self.rng.random_range(0..100) {
                0..=7 => self.submit_edit(number),
                8..=13 => self.start(number % DAEMONS, None),
                14..=19 => self.gossip(),
                20 if self.rng.random_bool(0.3) => self.restart(),
                21 => self.store_down = self.rng.random_bool(0.2),
                22..=24 if !self.delayed.is_empty() => {
                    let at = self.rng.random_range(0..self.delayed.len());
                    let write = self.delayed.swap_remove(at);
                    self.apply_write(write);
                }
                _ if !self.running.is_empty() => self.run_step(),
                _ => {}
            }
        }
        while !self.running.is_empty() {
            self.run_step();
        }
        while let Some(write) = self.delayed.pop() {
            self.apply_write(write);
        }
    }

    /// Compares the accepted edits in the store with the results that operators were told. Returns the
    /// numbers of accepted edits, conflicts and uncertain results.
    fn check_results(&self) -> [usize; 3] {
        let log: Vec<Edit> = (1..=self.head)
            .map(|version| self.store.get(&format!("config/edit/{version}")).unwrap())
            .map(|body| serde_json::from_slice(body).unwrap())
            .collect();
        let mut counts = [0; 3];
        for (change, results) in self.results.values() {
            let mut own = log.iter().filter(|edit| edit.request == change.request);
            let accepted = own.next();
            assert!(own.next().is_none(), "accepted twice: {change:?}");
            for result in results {
                match result {
                    Ok(edit) => {
                        counts[0] += 1;
                        assert_eq!(accepted.map(|it| it.version), Some(edit.version));
                    }
                    Err(JobError::Refused(EditError::Conflict(Some(other)))) => {
                        counts[1] += 1;
                        let last = &log[other.version as usize - 1];
                        assert_eq!((&last.request, &last.name), (&other.request, &change.name));
                        assert!(Some(other.version) > change.if_match);
                        assert!(accepted.is_none(), "refused and accepted: {change:?}");
                    }
                    Err(JobError::Uncertain) => counts[2] += 1,
                    Err(_) if results.len() == 1 => {
                        assert!(accepted.is_none(), "{result:?} and accepted: {change:?}");
                    }
                    Err(_) => {}
                }
            }
        }
        self.check_items(&log);
        counts
    }

    /// Checks that each accepted edit follows the version that its operator saw, and that a fresh daemon
    /// reads the same items from the store.
    fn check_items(&self, log: &[Edit]) {
        let mut items: BTreeMap<&str, &Edit> = BTreeMap::new();
        for edit in log {
            let (change, _) = &self.results[&edit.request];
            let seen = items.get(&*edit.name).map(|it| it.version);
            assert_eq!(change.if_match, seen, "overwrote an edit: {edit:?}");
            match edit.value {
                Some(_) => items.insert(&edit.name, edit),
                None => items.remove(&*edit.name),
            };
        }
        let mut fresh = ConfigState::default();
        let mut job = Job::poll(false);
        let mut step = job.start();
        while !matches!(step, Step::Done(_)) {
            let result = match &step {
                Step::ReadHead => StepResult::Head(self.store.read(HEAD_KEY)),
                Step::GetObject(name) => {
                    StepResult::Object(self.store.get(name).map(<[u8]>::to_vec))
                }
                other => panic!("a poll asks for {other:?}"),
            };
            step = job.handle(&mut fresh, result);
        }
        assert_eq!(fresh.version(), self.head);
        let stops = fresh.items(ItemKind::Stop).map(|edit| edit.version);
        assert!(stops.eq(items.values().map(|edit| edit.version)));
    }
}

/// Guards against a lost or reverted edit, an edit that is accepted twice or overwrites another one,
/// a refused edit that takes effect, and a version that falls.
#[test]
fn edits_of_several_operators_never_revert() {
    let mut total = [0; 3];
    let mut longest = 0;
    for seed in 0..SEEDS {
        let mut run = Simulation::new(seed);
        run.run();
        for (sum, count) in total.iter_mut().zip(run.check_results()) {
            *sum += count;
        }
        longest = longest.max(run.head);
    }
    // The runs must contain accepted edits, conflicts, uncertain results and snapshots.
    assert!(total.iter().all(|count| *count > 100), "{total:?}");
    assert!(longest > 70, "no run wrote a snapshot: {longest}");
}
