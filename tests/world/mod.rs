//! A fleet of nodes over a fake platform, a lossy network and a fake clock.

use std::{
    collections::{
        BTreeMap,
        BTreeSet, //
    },
    sync::Arc,
    time::Duration,
};

use cuminloom::{
    bill::{
        Bill,
        Ledger,
        Seal,
        decode_batch, //
    },
    budget::{
        self,
        Mode, //
    },
    mirror::{
        Fence,
        Message,
        Peer,
        Reply,
        Request,
        fence_key,
        ledger_key, //
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
        Action,
        Admission,
        Admit,
        Event,
        Identity,
        Node,
        budget_key, //
    },
    store::{
        Change,
        Expect,
        StoreFault,
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
    pub(crate) restart: Duration,
    heard: BTreeMap<Incarnation, Duration>,
    runs: Vec<Run>,
    pub(crate) stopped: bool,
}

#[derive(Debug)]
enum Item {
    Message(usize, Incarnation, Incarnation, Message),
    Request(usize, u64, u64, Request),
    Answer(usize, u64, u64, Reply),
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
    pub(crate) budgets: Vec<BudgetId>,
    generated: BTreeMap<BudgetId, Tokens>,
    reached: BTreeMap<(Incarnation, Seq), Reached>,
    /// Issued figures of incarnations that died attached while the platform was reachable.
    died: BTreeMap<(Incarnation, BudgetId), Tokens>,
    /// Incarnations of processes that ended without a planned stop.
    dead: BTreeSet<Incarnation>,
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
            budgets: Vec::new(),
            generated: BTreeMap::new(),
            reached: BTreeMap::new(),
            died: BTreeMap::new(),
            dead: BTreeSet::new(),
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
                restart: Duration::ZERO,
                heard: BTreeMap::new(),
                runs: Vec::new(),
                stopped: false,
            });
        }
        world
    }

    pub(crate) fn add_budget(&mut self, name: &str, limit: Tokens) {
        let row = budget::Row::create("anod".into(), limit);
        self.put_row(name, &row, Expect::Absent);
        self.budgets.push(name.into());
    }

    fn put_row(&mut self, name: &str, row: &budget::Row, expect: Expect) {
        self.store.commit(&[Write {
            key: budget_key(name),
            expect,
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
        self.put_row(name, &row, Expect::Any);
    }

    pub(crate) fn chance(&mut self, percent: u32) -> bool {
        self.rng.random_range(0..100) < percent
    }

    fn is_cut(&self, dc: &str) -> bool {
        self.cut.get(dc).is_some_and(|until| *until > self.now)
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
        let reachable = self.outage <= self.now && !self.is_cut(&self.procs[p].id.dc.clone());
        let proc = &mut self.procs[p];
        let Some(node) = proc.node.take() else { return };
        let figures = node.snapshot();
        if reachable && figures.mode == Mode::Attached && figures.platform {
            for s in node.statements() {
                self.died.insert((figures.inc.clone(), s.budget), s.issued);
            }
        }
        self.dead.insert(figures.inc);
        for run in proc.runs.drain(..) {
            self.dead.insert(run.inc);
        }
    }

    fn delay(&mut self) -> Duration {
        let ms = match self.chance(5) {
            true => self.rng.random_range(100..600),
            false => self.rng.random_range(1..40),
        };
        self.now + Duration::from_millis(ms)
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

    fn heartbeats(&mut self) {
        let vms: Vec<Vm> = self.live_vms();
        self.store.set_vms(vms.clone());
        let list = self.now.as_millis() % 1_000 < STEP.as_millis();
        for p in (0..self.procs.len())
            .filter(|p| self.runs(*p))
            .collect::<Vec<_>>()
        {
            let reachable = self.outage <= self.now && !self.is_cut(&self.procs[p].id.dc);
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
                node.handle(now, Event::Vms(vms.clone()));
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

    fn deliver(&mut self) {
        let now = self.now;
        let mut due = Vec::new();
        let mut rest = Vec::new();
        for item in self.queue.drain(..) {
            match item.0 <= now {
                true => due.push(item),
                false => rest.push(item),
            }
        }
        self.queue = rest;
        due.sort_by_key(|(at, _)| *at);
        for (_, item) in due {
            self.arrive(item);
        }
    }

    fn arrive(&mut self, item: Item) {
        let now = self.now;
        match item {
            Item::Message(from, sender, to, message) => {
                let target = self.procs.iter().position(|p| {
                    let node = p.node.as_ref();
                    node.is_some() && *p.id.daemon == *daemon_of(&to)
                });
                let Some(p) = target.filter(|p| self.linked(from, *p)) else {
                    return;
                };
                if self.procs[p].paused > now {
                    let at = self.procs[p].paused;
                    self.queue
                        .push((at, Item::Message(from, sender, to, message)));
                    return;
                }
                self.forge_ack(p, &sender, &message);
                let node = self.procs[p].node.as_mut().unwrap();
                let event = Event::Message {
                    from: sender,
                    message,
                };
                node.handle(now, event);
                self.poll(p);
            }
            Item::Request(p, generation, token, request) => {
                let dead = self.outage > now || self.is_cut(&self.procs[p].id.dc);
                let reply = match dead {
                    true => Reply::Failed(StoreFault::Unavailable),
                    false => self.execute(&request),
                };
                let lost = !dead && self.lost_answers > 0 && {
                    let percent = self.lost_answers;
                    self.chance(percent)
                };
                let reply = match lost {
                    true => Reply::Failed(StoreFault::Unknown),
                    false => reply,
                };
                let at = self.delay();
                self.queue
                    .push((at, Item::Answer(p, generation, token, reply)));
            }
            Item::Answer(p, generation, token, reply) => {
                if self.procs[p].generation != generation || self.procs[p].node.is_none() {
                    return;
                }
                if self.procs[p].paused > now {
                    let at = self.procs[p].paused;
                    self.queue
                        .push((at, Item::Answer(p, generation, token, reply)));
                    return;
                }
                let node = self.procs[p].node.as_mut().unwrap();
                node.handle(now, Event::Answer { token, reply });
                self.poll(p);
            }
        }
    }

    /// The witness with [`Broken::AckAfterSeal`].
    fn forge_ack(&mut self, p: usize, sender: &Incarnation, message: &Message) {
        let Message::Mirror {
            inc,
            epoch,
            first,
            ops,
        } = message
        else {
            return;
        };
        let sealed = self.fence(inc).is_some_and(|fence| fence.sealed.is_some());
        if self.broken == Broken::AckAfterSeal && sealed {
            let me = self.procs[p].node.as_ref().unwrap().incarnation().clone();
            let message = Message::MirrorAck {
                inc: inc.clone(),
                epoch: *epoch,
                upto: first + ops.len() as u64 - 1,
            };
            self.send(p, me, sender.clone(), message);
        }
    }

    fn execute(&mut self, request: &Request) -> Reply {
        match request {
            Request::Read(key) => Reply::Row(self.store.read(key)),
            Request::List(prefix, after, limit) => {
                Reply::Rows(self.store.list(prefix, after, *limit))
            }
            Request::Commit(writes) => Reply::Commit(self.store.commit(&self.weaken(writes))),
            Request::Get(name) => {
                let empty = self.broken == Broken::UnknownBatches && !name.contains("seal-");
                match empty {
                    true => Reply::Object(Some(b"{\"bills\":[]}".to_vec())),
                    false => Reply::Object(self.store.get(name).map(<[u8]>::to_vec)),
                }
            }
            Request::Put(name, body) => Reply::Put(self.store.put_new(name, body)),
        }
    }

    fn weaken(&self, writes: &[Write]) -> Vec<Write> {
        let mut writes = writes.to_vec();
        for write in &mut writes {
            let check = write.change == Change::Check;
            let off = match self.broken {
                Broken::FenceCheck => check && write.key.starts_with("fence/"),
                Broken::LedgerCheck => check && write.key.starts_with("ledger/"),
                Broken::BudgetVersion => write.key.starts_with("budget/"),
                _ => false,
            };
            if off {
                write.expect = Expect::Any;
            }
        }
        writes
    }

    fn send(&mut self, p: usize, from: Incarnation, to: Incarnation, message: Message) {
        let loss = self.loss;
        if self.chance(loss) {
            return;
        }
        if self.chance(loss / 2) {
            let at = self.delay();
            let copy = Item::Message(p, from.clone(), to.clone(), message.clone());
            self.queue.push((at, copy));
        }
        let at = self.delay();
        self.queue.push((at, Item::Message(p, from, to, message)));
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
        let admission = Admission {
            customer: "anod".into(),
            profile: "chat".into(),
            budget: budget.clone(),
            bound,
        };
        match node.admit(self.now, admission) {
            Admit::Admitted { seq, ready } => {
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
            Admit::Wait | Admit::Refused(_) => self.refused += 1,
        }
    }

    pub(crate) fn fence(&self, inc: &str) -> Option<Fence> {
        let row = self.store.read(&fence_key(inc))?;
        Fence::from_value(&row.value)
    }

    /// Bills that count for an incarnation.
    pub(crate) fn bills(&self, inc: &str) -> Vec<Bill> {
        let ledger = self.store.read(&ledger_key(inc));
        let ledger = ledger.map_or(Ledger::default(), |row| {
            Ledger::from_value(&row.value).unwrap()
        });
        let regular = (1..=ledger.batches).map(|n| format!("bills/{inc}/{n}"));
        let late = (1..=ledger.late).map(|n| format!("bills/{inc}/late-{n}"));
        let mut bills: Vec<Bill> = regular
            .chain(late)
            .flat_map(|name| decode_batch(self.store.get(&name).unwrap()).unwrap())
            .collect();
        bills.extend(self.seal(inc).into_iter().flat_map(|seal| seal.bills));
        bills
    }

    pub(crate) fn seal(&self, inc: &str) -> Option<Seal> {
        let sealed = self.fence(inc)?.sealed?;
        Seal::decode(self.store.get(&sealed.object)?)
    }

    /// Checked at every step: no overspend, and no row in which more is drawn than free.
    fn check(&self) {
        for name in &self.budgets {
            let row = self.row(name);
            let spent = self.generated.get(name).copied().unwrap_or(0);
            assert!(spent <= row.limit, "overspend: {spent} of {}", row.limit);
            assert!(row.figures().free >= 0, "more drawn than free");
        }
    }

    fn incarnations(&self) -> Vec<Incarnation> {
        let rows = self.store.list("fence/", "", usize::MAX);
        let key = |key: &str| key.strip_prefix("fence/").unwrap().into();
        rows.iter().map(|row| key(&row.key)).collect()
    }

    /// Checked after healing, when every daemon has stopped.
    pub(crate) fn check_end(&self) {
        let mut bills: BTreeMap<BudgetId, budget::Bills> = BTreeMap::new();
        for inc in self.incarnations() {
            let fence = self.fence(&inc).unwrap();
            let sealed = fence.sealed.expect("every incarnation is sealed");
            assert!(sealed.settled, "the budget rows of {inc} are settled");
            let mut count: BTreeMap<Seq, Bill> = BTreeMap::new();
            for bill in self.bills(&inc) {
                let shares = bills.entry(bill.budget.clone()).or_default();
                *shares.entry(inc.clone()).or_default() += bill.tokens;
                let old = count.insert(bill.seq, bill);
                assert!(old.is_none(), "{inc} bills a request twice: {old:?}");
            }
            self.check_bills(&inc, &count);
        }
        for name in &self.budgets {
            let row = self.row(name);
            let empty = budget::Bills::new();
            let audit = budget::audit(name, &row, bills.get(name).unwrap_or(&empty), &[]);
            assert!(audit.discrepancies.is_empty(), "{name}: {audit:?} {row:?}");
            self.check_deaths(name, &row);
        }
    }

    fn check_bills(&self, inc: &Incarnation, count: &BTreeMap<Seq, Bill>) {
        // A daemon that died on its own, or without a witness, takes its last bills with it.
        let exact = match self.seal(inc) {
            Some(seal) => seal.known && !seal.detached,
            None => true,
        };
        let range = (inc.clone(), 0)..=(inc.clone(), Seq::MAX);
        for ((_, seq), reached) in self.reached.range(range) {
            let Some(bill) = count.get(seq) else {
                let dead = self.dead.contains(inc);
                assert!(dead && !exact, "{inc}/{seq} is not billed: {reached:?}");
                continue;
            };
            assert_eq!(bill.budget, reached.budget);
            assert!(bill.tokens >= reached.tokens && bill.tokens <= reached.bound);
        }
    }

    /// The death of an attached daemon orphans no more than what it had issued.
    fn check_deaths(&self, name: &BudgetId, row: &budget::Row) {
        for (inc, share) in &row.shares {
            let Some(issued) = self.died.get(&(inc.clone(), name.clone())) else {
                continue;
            };
            // A daemon that was attaching again is still detached.
            if !self.seal(inc).is_some_and(|s| s.known && !s.detached) {
                continue;
            }
            let kept = share.billed + share.outstanding().unwrap();
            let seal = self.seal(inc).unwrap().accounts[name];
            assert!(
                kept <= *issued,
                "{inc} keeps {kept} of {issued} issued: {share:?} {seal:?}"
            );
        }
    }
}

fn sender(message: &Message, me: &Incarnation) -> Incarnation {
    match message {
        Message::Mirror { inc, .. } | Message::Attach { inc, .. } => inc.clone(),
        _ => me.clone(),
    }
}
