//! Deterministic simulation of a fleet of nodes with an in-memory platform, a lossy network and a
//! simulated clock.

mod checks;
mod net;

use std::{
    collections::{
        BTreeMap,
        BTreeSet,
        HashSet,
        VecDeque, //
    },
    sync::Arc,
    time::Duration,
};

use cuminloom::{
    budget::{
        self,
        Mode, //
    },
    mirror::{
        Message,
        Peer,
        StoreReply,
        StoreRequest, //
    },
    model::{
        BudgetId,
        Incarnation,
        Seq,
        Tokens,
        Verdict,
        daemon_of, //
    },
    node::{
        self,
        Action,
        Admission,
        AdmissionRequest,
        Event,
        Identity,
        Node,
        budget_key, //
    },
    store::{
        Change,
        Precondition,
        Vm,
        Write, //
    },
};
use cuminloom_standins::store::MemStore;
use rand::{
    RngExt,
    SeedableRng,
    rngs::StdRng, //
};

/// Time between two steps of the simulation.
pub(crate) const STEP: Duration = Duration::from_millis(50);
/// Time without a heartbeat after which a peer counts as lost.
const SUSPECT_TIMEOUT: Duration = Duration::from_secs(3);
/// Delay of a late message or reply; longer than the time limit of an acknowledgement.
const LATE_DELAY: Duration = Duration::from_millis(2_500);
/// Longest time by which the platform's list of VMs may be out of date.
pub(crate) const VM_LIST_LAG: Duration = Duration::from_secs(15);

/// A check of the protocol that is disabled, to show that runs fail without it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum DisabledGuard {
    None,
    /// Commits ignore the check of the fence row.
    FenceCheck,
    /// Commits ignore the check of the ledger row.
    LedgerCheck,
    /// Commits ignore the version of budget rows.
    BudgetVersion,
    /// The sealer finds bill batches empty that its record does not hold.
    UnknownBatches,
    /// A witness acknowledges operations of an incarnation that it has sealed.
    AckAfterSeal,
}

/// How a message or the reply to a commit is delivered, as chosen by a script.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum DeliveryMode {
    Prompt,
    /// The message, or the reply to the commit, is lost.
    Lost,
    /// It arrives after the time limit for an acknowledgement.
    Late,
}

/// An admitted request; a target runs it once it is ready.
#[derive(Debug)]
struct TargetRun {
    inc: Incarnation,
    seq: Seq,
    budget: BudgetId,
    bound: Tokens,
    tokens: Tokens,
    ready: bool,
    until: Duration,
}

/// A daemon process and its faults.
pub(crate) struct Process {
    pub(crate) id: Identity,
    pub(crate) node: Option<Node>,
    /// Number of starts, by which replies to an earlier start are told apart.
    generation: u64,
    pub(crate) paused_until: Duration,
    /// End of the time in which this process alone can't reach the platform.
    pub(crate) cut_off_until: Duration,
    pub(crate) restart_at: Duration,
    last_heard: BTreeMap<Incarnation, Duration>,
    runs: Vec<TargetRun>,
    /// Incarnations that this process has started.
    incarnations: Vec<Incarnation>,
    pub(crate) stopped: bool,
}

/// A message, store operation or reply on its way. Processes are given by index, operations by
/// generation and token.
#[derive(Debug)]
enum Delivery {
    Message(usize, Incarnation, Incarnation, Message),
    Request(usize, u64, u64, StoreRequest),
    Reply(usize, u64, u64, StoreReply),
}

/// A request that reached a target, and the tokens that were generated.
#[derive(Debug)]
struct ReachedRequest {
    budget: BudgetId,
    bound: Tokens,
    tokens: Tokens,
    finished: bool,
}

/// State of the simulation.
pub(crate) struct World {
    pub(crate) rng: StdRng,
    pub(crate) now: Duration,
    pub(crate) procs: Vec<Process>,
    pub(crate) store: MemStore,
    deliveries: Vec<(Duration, Delivery)>,
    /// End of the partition of each data centre.
    pub(crate) partitions: BTreeMap<Arc<str>, Duration>,
    /// End of the outage of the platform.
    pub(crate) outage_until: Duration,
    /// Share of messages and of store replies that are lost, in percent.
    pub(crate) message_loss: u32,
    pub(crate) reply_loss: u32,
    pub(crate) disabled: DisabledGuard,
    /// Deliveries of the next messages and commits that concern fence rows.
    pub(crate) script: VecDeque<DeliveryMode>,
    pub(crate) budgets: Vec<BudgetId>,
    generated_tokens: BTreeMap<BudgetId, Tokens>,
    reached: BTreeMap<(Incarnation, Seq), ReachedRequest>,
    /// Issued tokens of incarnations that crashed while attached and with a reachable platform.
    issued_at_crash: BTreeMap<(Incarnation, BudgetId), Tokens>,
    /// Incarnations of crashed processes.
    crashed: BTreeSet<Incarnation>,
    pub(crate) modes: HashSet<Mode>,
    pub(crate) admitted: u64,
    pub(crate) refused: u64,
}

impl World {
    /// Creates a fleet of `nodes` daemons spread over `dcs` data centres; step 1 starts them.
    pub(crate) fn new(seed: u64, nodes: usize, dcs: usize, disabled: DisabledGuard) -> Self {
        let mut world = Self {
            rng: StdRng::seed_from_u64(seed),
            now: Duration::from_secs(1),
            procs: Vec::new(),
            store: MemStore::default(),
            deliveries: Vec::new(),
            partitions: BTreeMap::new(),
            outage_until: Duration::ZERO,
            message_loss: 0,
            reply_loss: 0,
            disabled,
            script: VecDeque::new(),
            budgets: Vec::new(),
            generated_tokens: BTreeMap::new(),
            reached: BTreeMap::new(),
            issued_at_crash: BTreeMap::new(),
            crashed: BTreeSet::new(),
            modes: HashSet::new(),
            admitted: 0,
            refused: 0,
        };
        for n in 0..nodes {
            let id = Identity {
                daemon: format!("d{n}").into(),
                vm: format!("vm-{n}").into(),
                dc: format!("dc-{}", n % dcs).into(),
                vm_list_lag: VM_LIST_LAG,
            };
            world.procs.push(Process {
                id,
                node: None,
                generation: 0,
                paused_until: Duration::ZERO,
                cut_off_until: Duration::ZERO,
                restart_at: Duration::ZERO,
                last_heard: BTreeMap::new(),
                runs: Vec::new(),
                incarnations: Vec::new(),
                stopped: false,
            });
        }
        world
    }

    /// Creates a budget with its row.
    pub(crate) fn add_budget(&mut self, name: &str, limit: Tokens) {
        let row = budget::Row::create("anod".into(), limit);
        self.put_row(name, &row, Precondition::Absent);
        self.budgets.push(name.into());
    }

    /// Writes a budget row.
    fn put_row(&mut self, name: &str, row: &budget::Row, expect: Precondition) {
        self.store.commit(&[Write {
            key: budget_key(name),
            precondition: expect,
            change: Change::Put(row.into()),
        }]);
    }

    /// Reads the platform's row of the budget `name`.
    pub(crate) fn row(&self, name: &str) -> budget::Row {
        let row = self.store.read(&budget_key(name)).expect("the row exists");
        budget::Row::try_from(row.value).expect("the row keeps its identity")
    }

    /// Raises the limit of a budget.
    pub(crate) fn top_up(&mut self, name: &str, tokens: Tokens) {
        let mut row = self.row(name);
        row.top_up(tokens).unwrap();
        self.put_row(name, &row, Precondition::Any);
    }

    /// True with a probability of `percent`.
    pub(crate) fn chance(&mut self, percent: u32) -> bool {
        self.rng.random_range(0..100) < percent
    }

    /// Whether a data centre is partitioned from the others and the platform.
    fn is_partitioned(&self, dc: &str) -> bool {
        self.partitions
            .get(dc)
            .is_some_and(|until| *until > self.now)
    }

    /// Whether the process reaches the platform.
    fn reaches_platform(&self, p: usize) -> bool {
        let proc = &self.procs[p];
        self.outage_until <= self.now
            && proc.cut_off_until <= self.now
            && !self.is_partitioned(&proc.id.dc)
    }

    /// Whether two processes reach each other.
    fn is_linked(&self, a: usize, b: usize) -> bool {
        let (a, b) = (&self.procs[a].id.dc, &self.procs[b].id.dc);
        a == b || !(self.is_partitioned(a) || self.is_partitioned(b))
    }

    /// Whether a process runs and is not paused.
    fn is_running(&self, p: usize) -> bool {
        self.procs[p].node.is_some() && self.procs[p].paused_until <= self.now
    }

    /// Starts the node of a process.
    pub(crate) fn start(&mut self, p: usize) {
        let seed = self.rng.random();
        let proc = &mut self.procs[p];
        proc.generation += 1;
        proc.last_heard.clear();
        proc.stopped = false;
        proc.node = Some(Node::start(self.now, proc.id.clone(), seed));
    }

    /// Crashes a process. Tokens of requests that reached their targets still count as generated.
    pub(crate) fn crash(&mut self, p: usize) {
        let reachable = self.reaches_platform(p);
        let proc = &mut self.procs[p];
        let Some(node) = proc.node.take() else { return };
        let stats = node.stats();
        if reachable && stats.mode == Mode::Attached && stats.platform_up {
            for s in node.share_states() {
                self.issued_at_crash
                    .insert((stats.inc.clone(), s.budget), s.issued);
            }
        }
        self.crashed.extend(proc.incarnations.drain(..));
        proc.runs.clear();
    }

    /// Advances the clock by one step: delivers what is due and runs every process that is not paused.
    pub(crate) fn step(&mut self) {
        self.now += STEP;
        for p in 0..self.procs.len() {
            if self.procs[p].node.is_none()
                && !self.procs[p].stopped
                && self.procs[p].restart_at <= self.now
            {
                self.start(p);
            }
        }
        self.admit_after_pause();
        self.deliver_heartbeats();
        self.deliver_due();
        for p in 0..self.procs.len() {
            if self.is_running(p) {
                self.finish_requests(p);
                self.run_actions(p);
            }
        }
        self.check_step();
    }

    /// Admits requests at a process whose pause has ended, before it receives any message.
    fn admit_after_pause(&mut self) {
        for p in 0..self.procs.len() {
            let paused = self.procs[p].paused_until;
            if paused <= self.now && paused + STEP > self.now {
                for budget in self.budgets.clone().iter().cycle().take(20) {
                    self.admit(p, budget);
                }
            }
        }
    }

    /// Delivers heartbeats, reports lost peers and, once a second, the list of VMs.
    fn deliver_heartbeats(&mut self) {
        let vms: Vec<Vm> = self.live_vms();
        self.store.set_vms(vms.clone());
        let list = self.now.as_millis() % 1_000 < STEP.as_millis();
        for p in (0..self.procs.len())
            .filter(|p| self.is_running(*p))
            .collect::<Vec<_>>()
        {
            let reachable = self.reaches_platform(p);
            for q in 0..self.procs.len() {
                if q == p || !self.is_running(q) || !self.is_linked(p, q) {
                    continue;
                }
                let inc = self.procs[q].node.as_ref().unwrap().incarnation().clone();
                let id = &self.procs[q].id;
                let peer = Peer {
                    vm: id.vm.clone(),
                    dc: id.dc.clone(),
                };
                let proc = &mut self.procs[p];
                if proc.last_heard.insert(inc.clone(), self.now).is_none() {
                    proc.last_heard
                        .retain(|old, _| *old == inc || daemon_of(old) != daemon_of(&inc));
                    let node = proc.node.as_mut().unwrap();
                    node.handle(self.now, Event::PeerUp { inc, peer });
                }
            }
            let proc = &mut self.procs[p];
            let node = proc.node.as_mut().unwrap();
            let now = self.now;
            proc.last_heard.retain(|inc, at| {
                let up = *at + SUSPECT_TIMEOUT > now;
                if !up {
                    node.handle(now, Event::PeerDown { inc: inc.clone() });
                }
                up
            });
            if list && reachable {
                node.handle(now, Event::VmList(vms.clone()));
            }
        }
    }

    /// VMs of the running processes.
    fn live_vms(&self) -> Vec<Vm> {
        let live = self.procs.iter().filter(|p| p.node.is_some());
        live.map(|p| Vm {
            name: p.id.vm.clone(),
            dc: p.id.dc.clone(),
            leaving: false,
        })
        .collect()
    }

    /// Polls a node and carries out its actions.
    fn run_actions(&mut self, p: usize) {
        let now = self.now;
        let node = self.procs[p].node.as_mut().unwrap();
        let actions = node.poll(now);
        let me = node.incarnation().clone();
        for action in actions {
            match action {
                Action::Store { token, request } => {
                    let at = self.arrival_time();
                    let generation = self.procs[p].generation;
                    self.deliveries
                        .push((at, Delivery::Request(p, generation, token, request)));
                }
                Action::Send { to, message } => {
                    let from = sender_of(&message, &me);
                    self.send(p, from, to, message);
                }
                Action::Ready { seq } => self.start_request(p, seq),
                Action::Refuse { seq, .. } => {
                    let runs = &mut self.procs[p].runs;
                    let run = runs.iter().position(|run| run.seq == seq).unwrap();
                    assert!(!runs.remove(run).ready, "a refused request had been sent");
                }
                Action::Stopped => {
                    assert!(
                        self.procs[p].runs.is_empty(),
                        "a planned stop cut off requests"
                    );
                    self.procs[p].stopped = true;
                }
                Action::Change(node::StateChange::Started(inc)) => {
                    self.procs[p].incarnations.push(inc)
                }
                Action::Change(node::StateChange::Mode(_, mode)) => {
                    self.modes.insert(mode);
                }
                Action::Retry { .. } | Action::Change(_) => {}
            }
        }
        if self.procs[p].stopped {
            self.procs[p].node = None;
        }
    }

    /// Sends a ready request to its target, which generates its tokens.
    fn start_request(&mut self, p: usize, seq: Seq) {
        let until = self.now + Duration::from_millis(self.rng.random_range(50..6_000));
        let runs = &mut self.procs[p].runs;
        let run = runs.iter_mut().find(|run| run.seq == seq).unwrap();
        assert!(!run.ready, "a request became ready twice");
        run.ready = true;
        run.until = until;
        *self.generated_tokens.entry(run.budget.clone()).or_default() += run.tokens;
        let reached = ReachedRequest {
            budget: run.budget.clone(),
            bound: run.bound,
            tokens: run.tokens,
            finished: false,
        };
        self.reached.insert((run.inc.clone(), seq), reached);
    }

    /// Finishes the requests of a process whose time is over.
    fn finish_requests(&mut self, p: usize) {
        let now = self.now;
        let proc = &mut self.procs[p];
        let node = proc.node.as_mut().unwrap();
        proc.runs.retain(|run| {
            let done = run.until <= now;
            if done && run.ready {
                node.finish(now, run.seq, run.tokens, Verdict::Ran);
                self.reached
                    .get_mut(&(run.inc.clone(), run.seq))
                    .unwrap()
                    .finished = true;
            } else if done {
                // The deadline passed before the request could be sent.
                node.finish(now, run.seq, 0, Verdict::NotRun);
            }
            !done
        });
    }

    /// Admits a request of random size at a process.
    pub(crate) fn admit(&mut self, p: usize, budget: &BudgetId) {
        if !self.is_running(p) {
            return;
        }
        let bound = self.rng.random_range(1..60);
        let tokens = self.rng.random_range(0..=bound);
        let node = self.procs[p].node.as_mut().unwrap();
        let admission = AdmissionRequest {
            customer: "anod".into(),
            profile: "chat".into(),
            budget: budget.clone(),
            bound,
        };
        match node.admit(self.now, admission) {
            Admission::Admitted { seq, ready } => {
                let inc = node.incarnation().clone();
                self.admitted += 1;
                self.procs[p].runs.push(TargetRun {
                    inc,
                    seq,
                    budget: budget.clone(),
                    bound,
                    tokens,
                    ready: false,
                    until: self.now + Duration::from_secs(10),
                });
                if ready {
                    self.start_request(p, seq);
                }
            }
            Admission::Wait | Admission::Refused(_) => self.refused += 1,
        }
    }
}

/// Incarnation that counts as the sender of a message.
fn sender_of(message: &Message, me: &Incarnation) -> Incarnation {
    match message {
        Message::Mirror { inc, .. } | Message::Attach { inc, .. } => inc.clone(),
        _ => me.clone(),
    }
}
