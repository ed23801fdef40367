//! A fleet of nodes over a fake platform, a lossy network and a fake clock.

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

pub(crate) const STEP: Duration = Duration::from_millis(50);
const SUSPECT: Duration = Duration::from_secs(3);
/// Delay of a late message or answer; longer than the timeout of an acknowledgement.
const LATE: Duration = Duration::from_millis(2_500);
pub(crate) const LAG: Duration = Duration::from_secs(15);

/// A guard that is switched off.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Broken {
    Nothing,
    /// Commits ignore the check of the fence row.
    FenceCheck,
    /// Commits ignore the check of the ledger row.
    LedgerCheck,
    /// Commits ignore the version of budget rows.
    BudgetVersion,
    /// The sealer finds batches empty that it does not know.
    UnknownBatches,
    /// A witness acknowledges operations of an incarnation that it has sealed.
    AckAfterSeal,
}

/// What happens to a message or a commit that a script decides about.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Fate {
    Prompt,
    /// The message, or the answer to the commit, is lost.
    Lost,
    /// It arrives after the timeouts for an answer.
    Late,
}

/// A request that a target runs.
#[derive(Debug)]
struct Run {
    inc: Incarnation,
    seq: Seq,
    budget: BudgetId,
    bound: Tokens,
    tokens: Tokens,
    ready: bool,
    until: Duration,
}

pub(crate) struct Proc {
    pub(crate) id: Identity,
    pub(crate) node: Option<Node>,
    generation: u64,
    pub(crate) paused: Duration,
    /// Until when the platform cannot be reached from this process alone.
    pub(crate) blind: Duration,
    pub(crate) restart: Duration,
    heard: BTreeMap<Incarnation, Duration>,
    runs: Vec<Run>,
    /// Incarnations of this process.
    incs: Vec<Incarnation>,
    pub(crate) stopped: bool,
}

#[derive(Debug)]
enum Item {
    Message(usize, Incarnation, Incarnation, Message),
    Request(usize, u64, u64, StoreRequest),
    Answer(usize, u64, u64, StoreReply),
}

/// What is known about a request that reached a target.
#[derive(Debug)]
struct Reached {
    budget: BudgetId,
    bound: Tokens,
    tokens: Tokens,
    finished: bool,
}

pub(crate) struct World {
    pub(crate) rng: StdRng,
    pub(crate) now: Duration,
    pub(crate) procs: Vec<Proc>,
    pub(crate) store: MemStore,
    queue: Vec<(Duration, Item)>,
    /// Until when each data centre is cut off, and the platform is unavailable.
    pub(crate) cut: BTreeMap<Arc<str>, Duration>,
    pub(crate) outage: Duration,
    /// Loss of messages and of answers, in percent.
    pub(crate) loss: u32,
    pub(crate) lost_answers: u32,
    pub(crate) broken: Broken,
    /// Fates of the next messages and commits about the fence rows.
    pub(crate) script: VecDeque<Fate>,
    pub(crate) budgets: Vec<BudgetId>,
    generated: BTreeMap<BudgetId, Tokens>,
    reached: BTreeMap<(Incarnation, Seq), Reached>,
    /// Issued figures of incarnations that died attached while the platform was reachable.
    died: BTreeMap<(Incarnation, BudgetId), Tokens>,
    /// Incarnations of processes that ended without a planned stop.
    dead: BTreeSet<Incarnation>,
    pub(crate) modes: HashSet<Mode>,
    pub(crate) admitted: u64,
    pub(crate) refused: u64,
}

impl World {
    pub(crate) fn new(seed: u64, nodes: usize, dcs: usize, broken: Broken) -> Self {
        let mut world = Self {
            rng: StdRng::seed_from_u64(seed),
            now: Duration::from_secs(1),
            procs: Vec::new(),
            store: MemStore::default(),
            queue: Vec::new(),
            cut: BTreeMap::new(),
            outage: Duration::ZERO,
            loss: 0,
            lost_answers: 0,
            broken,
            script: VecDeque::new(),
            budgets: Vec::new(),
            generated: BTreeMap::new(),
            reached: BTreeMap::new(),
            died: BTreeMap::new(),
            dead: BTreeSet::new(),
            modes: HashSet::new(),
            admitted: 0,
            refused: 0,
        };
        for n in 0..nodes {
            let id = Identity {
                daemon: format!("d{n}").into(),
                vm: format!("vm-{n}").into(),
                dc: format!("dc-{}", n % dcs).into(),
                vm_list_lag: LAG,
            };
            world.procs.push(Proc {
                id,
                node: None,
                generation: 0,
                paused: Duration::ZERO,
                blind: Duration::ZERO,
                restart: Duration::ZERO,
                heard: BTreeMap::new(),
                runs: Vec::new(),
                incs: Vec::new(),
                stopped: false,
            });
        }
        world
    }

    pub(crate) fn add_budget(&mut self, name: &str, limit: Tokens) {
        let row = budget::Row::create("anod".into(), limit);
        self.put_row(name, &row, Precondition::Absent);
        self.budgets.push(name.into());
    }

    fn put_row(&mut self, name: &str, row: &budget::Row, expect: Precondition) {
        self.store.commit(&[Write {
            key: budget_key(name),
            precondition: expect,
            change: Change::Put(row.into()),
        }]);
    }

    pub(crate) fn row(&self, name: &str) -> budget::Row {
        let row = self.store.read(&budget_key(name)).expect("the row exists");
        budget::Row::try_from(row.value).expect("the row keeps its identity")
    }

    pub(crate) fn top_up(&mut self, name: &str, tokens: Tokens) {
        let mut row = self.row(name);
        row.top_up(tokens).unwrap();
        self.put_row(name, &row, Precondition::Any);
    }

    pub(crate) fn chance(&mut self, percent: u32) -> bool {
        self.rng.random_range(0..100) < percent
    }

    fn is_cut(&self, dc: &str) -> bool {
        self.cut.get(dc).is_some_and(|until| *until > self.now)
    }

    /// Whether the process reaches the platform.
    fn sees(&self, p: usize) -> bool {
        let proc = &self.procs[p];
        self.outage <= self.now && proc.blind <= self.now && !self.is_cut(&proc.id.dc)
    }

    fn linked(&self, a: usize, b: usize) -> bool {
        let (a, b) = (&self.procs[a].id.dc, &self.procs[b].id.dc);
        a == b || !(self.is_cut(a) || self.is_cut(b))
    }

    fn runs(&self, p: usize) -> bool {
        self.procs[p].node.is_some() && self.procs[p].paused <= self.now
    }

    pub(crate) fn start(&mut self, p: usize) {
        let seed = self.rng.random();
        let proc = &mut self.procs[p];
        proc.generation += 1;
        proc.heard.clear();
        proc.stopped = false;
        proc.node = Some(Node::start(self.now, proc.id.clone(), seed));
    }

    /// Ends the process; what its targets generate counts.
    pub(crate) fn crash(&mut self, p: usize) {
        let reachable = self.sees(p);
        let proc = &mut self.procs[p];
        let Some(node) = proc.node.take() else { return };
        let figures = node.stats();
        if reachable && figures.mode == Mode::Attached && figures.platform_up {
            for s in node.share_states() {
                self.died.insert((figures.inc.clone(), s.budget), s.issued);
            }
        }
        self.dead.extend(proc.incs.drain(..));
        proc.runs.clear();
    }

    /// One step of the clock; every process that is not paused runs.
    pub(crate) fn step(&mut self) {
        self.now += STEP;
        for p in 0..self.procs.len() {
            if self.procs[p].node.is_none()
                && !self.procs[p].stopped
                && self.procs[p].restart <= self.now
            {
                self.start(p);
            }
        }
        self.resume();
        self.heartbeats();
        self.deliver();
        for p in 0..self.procs.len() {
            if self.runs(p) {
                self.finish(p);
                self.poll(p);
            }
        }
        self.check();
    }

    /// A process whose pause ends spends before it hears of anything.
    fn resume(&mut self) {
        for p in 0..self.procs.len() {
            let paused = self.procs[p].paused;
            if paused <= self.now && paused + STEP > self.now {
                for budget in self.budgets.clone().iter().cycle().take(20) {
                    self.admit(p, budget);
                }
            }
        }
    }

    fn heartbeats(&mut self) {
        let vms: Vec<Vm> = self.live_vms();
        self.store.set_vms(vms.clone());
        let list = self.now.as_millis() % 1_000 < STEP.as_millis();
        for p in (0..self.procs.len())
            .filter(|p| self.runs(*p))
            .collect::<Vec<_>>()
        {
            let reachable = self.sees(p);
            for q in 0..self.procs.len() {
                if q == p || !self.runs(q) || !self.linked(p, q) {
                    continue;
                }
                let inc = self.procs[q].node.as_ref().unwrap().incarnation().clone();
                let id = &self.procs[q].id;
                let peer = Peer {
                    vm: id.vm.clone(),
                    dc: id.dc.clone(),
                };
                let proc = &mut self.procs[p];
                if proc.heard.insert(inc.clone(), self.now).is_none() {
                    proc.heard
                        .retain(|old, _| *old == inc || daemon_of(old) != daemon_of(&inc));
                    let node = proc.node.as_mut().unwrap();
                    node.handle(self.now, Event::PeerUp { inc, peer });
                }
            }
            let proc = &mut self.procs[p];
            let node = proc.node.as_mut().unwrap();
            let now = self.now;
            proc.heard.retain(|inc, at| {
                let up = *at + SUSPECT > now;
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

    fn live_vms(&self) -> Vec<Vm> {
        let live = self.procs.iter().filter(|p| p.node.is_some());
        live.map(|p| Vm {
            name: p.id.vm.clone(),
            dc: p.id.dc.clone(),
            leaving: false,
        })
        .collect()
    }

    fn poll(&mut self, p: usize) {
        let now = self.now;
        let node = self.procs[p].node.as_mut().unwrap();
        let actions = node.poll(now);
        let me = node.incarnation().clone();
        for action in actions {
            match action {
                Action::Store { token, request } => {
                    let at = self.delay();
                    let generation = self.procs[p].generation;
                    self.queue
                        .push((at, Item::Request(p, generation, token, request)));
                }
                Action::Send { to, message } => {
                    let from = sender(&message, &me);
                    self.send(p, from, to, message);
                }
                Action::Ready { seq } => self.begin(p, seq),
                Action::Refuse { seq, .. } => {
                    let runs = &mut self.procs[p].runs;
                    let run = runs.iter().position(|run| run.seq == seq).unwrap();
                    assert!(!runs.remove(run).ready, "a request refused as not run ran");
                }
                Action::Stopped => {
                    assert!(self.procs[p].runs.is_empty(), "a stop cuts off no request");
                    self.procs[p].stopped = true;
                }
                Action::Change(node::StateChange::Started(inc)) => self.procs[p].incs.push(inc),
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

    /// The request reaches its target, which generates its tokens.
    fn begin(&mut self, p: usize, seq: Seq) {
        let until = self.now + Duration::from_millis(self.rng.random_range(50..6_000));
        let runs = &mut self.procs[p].runs;
        let run = runs.iter_mut().find(|run| run.seq == seq).unwrap();
        assert!(!run.ready, "a request becomes ready once");
        run.ready = true;
        run.until = until;
        *self.generated.entry(run.budget.clone()).or_default() += run.tokens;
        let reached = Reached {
            budget: run.budget.clone(),
            bound: run.bound,
            tokens: run.tokens,
            finished: false,
        };
        self.reached.insert((run.inc.clone(), seq), reached);
    }

    fn finish(&mut self, p: usize) {
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

    pub(crate) fn admit(&mut self, p: usize, budget: &BudgetId) {
        if !self.runs(p) {
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
                self.procs[p].runs.push(Run {
                    inc,
                    seq,
                    budget: budget.clone(),
                    bound,
                    tokens,
                    ready: false,
                    until: self.now + Duration::from_secs(10),
                });
                if ready {
                    self.begin(p, seq);
                }
            }
            Admission::Wait | Admission::Refused(_) => self.refused += 1,
        }
    }
}

fn sender(message: &Message, me: &Incarnation) -> Incarnation {
    match message {
        Message::Mirror { inc, .. } | Message::Attach { inc, .. } => inc.clone(),
        _ => me.clone(),
    }
}
