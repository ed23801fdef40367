//! Several drawers in two data centres against a faulty platform, with a fake clock.

use std::{
    collections::BTreeMap,
    time::Duration, //
};

use cuminloom::{
    budget::{
        Action,
        Bills,
        Discrepancy,
        Drawer,
        Event,
        Mode,
        Record,
        Refusal,
        Reservation,
        Reserve,
        Row,
        audit, //
    },
    model::{
        BudgetId,
        Incarnation,
        Tokens, //
    },
    store::{
        Change,
        Expect,
        Outcome,
        StoreFault,
        Write, //
    },
};
use cuminloom_standins::store::MemStore;
use rand::{
    RngExt,
    SeedableRng,
    rngs::StdRng, //
};

/// A rule that the environment of a drawer keeps, switched off to show that it is needed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Guard {
    /// All rules are kept.
    All,
    /// Commits ignore the version of the budget row.
    NoVersion,
    /// Issues count before the witness has them.
    NoAck,
    /// Repeated transfers get a new number.
    NoDedupe,
    /// The daemon detaches without the witness.
    NoDetachAck,
    /// Commits ignore the fence row.
    NoFence,
}

const SEAL_MS: u64 = 10_000;
const DCS: [usize; 7] = [0, 0, 0, 0, 0, 1, 1];

struct Open {
    budget: BudgetId,
    held: Reservation,
    used: Tokens,
    ends: u64,
    charged: bool,
}

/// One incarnation and what its witness knows about it.
struct Daemon {
    name: usize,
    inc: Incarnation,
    drawer: Drawer,
    mode: Mode,
    crashed: bool,
    paused: Option<u64>,
    retired: bool,
    stopping: bool,
    epoch: u64,
    witness: bool,
    lost_at: Option<u64>,
    open: Vec<Open>,
    done: BTreeMap<BudgetId, Tokens>,
    waiting: Vec<(BudgetId, Tokens)>,
    sealed: bool,
    unrecorded: bool,
    issued: BTreeMap<BudgetId, Tokens>,
    sent: BTreeMap<BudgetId, Tokens>,
}

enum Msg {
    Event(usize, Event),
    Store(usize, Action, bool, u64),
    Witness(usize, u64, Action),
    Settle(usize, BudgetId),
}

pub(crate) struct World {
    rng: StdRng,
    pub(crate) guard: Guard,
    pub(crate) now: u64,
    pub(crate) store: MemStore,
    daemons: Vec<Daemon>,
    queue: BTreeMap<(u64, u64), Msg>,
    order: u64,
    budgets: Vec<BudgetId>,
    bills: BTreeMap<BudgetId, Bills>,
    lowered: Vec<BudgetId>,
    outage: bool,
    cut: [bool; 2],
    pub(crate) calm: bool,
    pub(crate) commits: u64,
    pub(crate) admitted: u64,
    pub(crate) refused: u64,
}

fn key(budget: &str) -> String {
    format!("budget/{budget}")
}

impl World {
    pub(crate) fn new(seed: u64, guard: Guard, limits: &[Tokens]) -> Self {
        let mut world = Self {
            rng: StdRng::seed_from_u64(seed),
            guard,
            now: 0,
            store: MemStore::default(),
            daemons: Vec::new(),
            queue: BTreeMap::new(),
            order: 0,
            budgets: Vec::new(),
            bills: BTreeMap::new(),
            lowered: Vec::new(),
            outage: false,
            cut: [false; 2],
            calm: false,
            commits: 0,
            admitted: 0,
            refused: 0,
        };
        for (n, limit) in limits.iter().enumerate() {
            let id: BudgetId = format!("b{n}").into();
            world.put(&id, &Row::create("anod".into(), *limit));
            world.budgets.push(id);
        }
        for name in 0..DCS.len() {
            world.start(name);
        }
        world
    }

    pub(crate) fn below(&mut self, n: u64) -> u64 {
        self.rng.random_range(0..n)
    }

    fn chance(&mut self, per_thousand: u64) -> bool {
        !self.calm && self.below(1_000) < per_thousand
    }

    pub(crate) fn row(&self, budget: &str) -> Row {
        let row = self.store.read(&key(budget)).expect("budgets stay");
        row.value.try_into().expect("the store holds budget rows")
    }

    fn put(&mut self, budget: &str, row: &Row) {
        self.store.commit(&[Write {
            key: key(budget).into(),
            expect: Expect::Any,
            change: Change::Put(row.into()),
        }]);
    }

    fn start(&mut self, name: usize) {
        let inc: Incarnation = format!("vm-{name}.{:x}", self.daemons.len()).into();
        self.daemons.push(Daemon {
            name,
            drawer: Drawer::start(inc.clone(), name as u64),
            inc,
            mode: Mode::Frozen,
            crashed: false,
            paused: None,
            retired: false,
            stopping: false,
            epoch: 0,
            witness: true,
            lost_at: None,
            open: Vec::new(),
            done: BTreeMap::new(),
            waiting: Vec::new(),
            sealed: false,
            unrecorded: false,
            issued: BTreeMap::new(),
            sent: BTreeMap::new(),
        });
        self.tell_members();
    }

    fn tell_members(&mut self) {
        let live = |d: &Daemon, dc| DCS[d.name] == dc && !d.sealed && !d.crashed && !d.retired;
        for d in 0..self.daemons.len() {
            let dc = DCS[self.daemons[d].name];
            let members = self.daemons.iter().filter(|m| live(m, dc));
            let members = members.map(|m| m.inc.clone()).collect();
            self.post(d, 1, Event::Members(members));
        }
    }

    fn push(&mut self, delay: u64, msg: Msg) {
        self.order += 1;
        self.queue.insert((self.now + delay, self.order), msg);
    }

    fn post(&mut self, to: usize, delay: u64, event: Event) {
        self.push(delay, Msg::Event(to, event));
    }

    fn reaches(&self, d: usize) -> bool {
        !self.outage && !self.cut[DCS[self.daemons[d].name]]
    }

    fn runs(&self, d: usize) -> bool {
        let daemon = &self.daemons[d];
        !daemon.crashed && !daemon.retired && daemon.paused.is_none()
    }

    fn clock(&self) -> Duration {
        Duration::from_millis(self.now)
    }

    fn handle(&mut self, d: usize, event: Event) {
        let now = self.clock();
        self.daemons[d].drawer.handle(now, event);
    }

    /// Lets time pass and runs everything that is due.
    pub(crate) fn step(&mut self, ms: u64) -> Result<(), String> {
        self.now += ms;
        while let Some(entry) = self.queue.first_entry().filter(|e| e.key().0 <= self.now) {
            let (at, msg) = entry.remove_entry();
            self.deliver(at, msg);
        }
        for d in 0..self.daemons.len() {
            if self.runs(d) {
                self.finish(d);
                self.bill(d);
                self.govern(d);
                let now = self.clock();
                for action in self.daemons[d].drawer.poll(now) {
                    self.act(d, action);
                }
                self.retire(d);
            } else if !self.daemons[d].retired {
                self.watch(d);
            }
        }
        self.check()
    }

    fn deliver(&mut self, at: (u64, u64), msg: Msg) {
        match msg {
            // A paused process finds its events when it resumes.
            Msg::Event(d, event) if self.daemons[d].paused.is_some() => {
                self.queue
                    .insert((self.now + 1, at.1), Msg::Event(d, event));
            }
            Msg::Event(d, event) if self.runs(d) => self.handle(d, event),
            Msg::Event(..) => {}
            Msg::Store(d, action, answered, delay) => self.execute(d, action, answered, delay),
            Msg::Witness(d, epoch, action) => self.record(d, epoch, action),
            Msg::Settle(d, budget) => self.settle_row(d, &budget),
        }
    }

    fn act(&mut self, d: usize, action: Action) {
        let delay = 1 + self.below(30);
        match action {
            Action::Read { .. } | Action::Commit { .. } => self.call(d, action, delay),
            Action::Issue { ref budget, total } => {
                if self.guard == Guard::NoAck {
                    let budget = budget.clone();
                    self.handle(d, Event::Issued { budget, total });
                }
                let epoch = self.daemons[d].epoch;
                self.push(delay, Msg::Witness(d, epoch, action));
            }
            Action::Log { ref transfer, .. } => {
                let id = transfer.id.clone();
                let free = matches!(self.daemons[d].mode, Mode::Detached | Mode::Unpaired);
                let epoch = self.daemons[d].epoch;
                self.push(delay, Msg::Witness(d, epoch, action));
                if free {
                    self.post(d, 0, Event::Logged(id));
                }
            }
            Action::Short { budget, to } => {
                for inc in to {
                    let budget = budget.clone();
                    self.peer(d, &inc, Event::Short { budget });
                }
            }
            Action::Ask { to, budget, tokens } => {
                let from = self.daemons[d].inc.clone();
                let event = Event::Ask {
                    from,
                    budget,
                    tokens,
                };
                self.peer(d, &to, event);
            }
            Action::Send(transfer) => {
                let to = transfer.id.to.clone();
                let mut again = transfer.clone();
                if self.guard == Guard::NoDedupe {
                    again.id.number += 1_000;
                }
                self.peer(d, &to, Event::Received(transfer));
                if self.chance(300) {
                    self.peer(d, &to, Event::Received(again));
                }
            }
            Action::Confirm(id) => self.peer(d, &id.from.clone(), Event::Delivered(id)),
            Action::Retry { budget } => self.retry(d, &budget),
            Action::Sealed => {}
        }
    }

    fn peer(&mut self, from: usize, to: &str, event: Event) {
        let Some(t) = self.daemons.iter().position(|d| *d.inc == *to) else {
            return;
        };
        let (a, b) = (DCS[self.daemons[from].name], DCS[self.daemons[t].name]);
        let parted = a != b && (self.cut[a] || self.cut[b]);
        if !parted && !self.chance(50) {
            let delay = 1 + self.below(100);
            self.post(t, delay, event);
        }
    }

    /// A call to the table: it may fail, its answer may be lost, and it may be applied long after
    /// the caller gave up.
    fn call(&mut self, d: usize, action: Action, delay: u64) {
        let (Action::Read { budget } | Action::Commit { budget, .. }) = &action else {
            return;
        };
        let failed = |fault| Event::Failed {
            budget: budget.clone(),
            fault,
        };
        if !self.reaches(d) {
            let event = failed(StoreFault::Unavailable);
            return self.post(d, delay, event);
        }
        let lost = self.chance(60);
        if lost {
            self.post(d, delay, failed(StoreFault::Unknown));
        }
        if !lost || self.below(3) > 0 {
            let late = if lost { self.below(3_000) } else { 0 };
            self.push(delay + late, Msg::Store(d, action, !lost, delay));
        }
    }

    fn execute(&mut self, d: usize, action: Action, answered: bool, delay: u64) {
        let (budget, event) = match action {
            Action::Read { budget } => {
                let row = self.store.read(&key(&budget));
                let row = row.map(|r| (r.version, r.value.try_into().expect("a budget row")));
                (budget.clone(), Some(Event::Row { budget, row }))
            }
            Action::Commit {
                budget,
                expect,
                row,
            } => (
                budget.clone(),
                self.commit(d, budget, Expect::Version(expect), &row),
            ),
            _ => return,
        };
        let event = event.unwrap_or(Event::Conflict { budget });
        if answered {
            self.post(d, delay, event);
        }
    }

    fn commit(&mut self, d: usize, id: BudgetId, expect: Expect, row: &Row) -> Option<Event> {
        self.commits += 1;
        if self.daemons[d].sealed && self.guard != Guard::NoFence {
            self.post(d, 1, Event::Mode(Mode::Sealed));
            return None;
        }
        let write = Write {
            key: key(&id).into(),
            expect: match self.guard {
                Guard::NoVersion => Expect::Any,
                _ => expect,
            },
            change: Change::Put(row.into()),
        };
        match self.store.commit(&[write]) {
            Outcome::Applied(versions) => Some(Event::Committed {
                budget: id,
                version: versions[0],
            }),
            Outcome::Conflict { .. } => None,
        }
    }

    /// The witness takes a log entry.
    fn record(&mut self, d: usize, epoch: u64, action: Action) {
        let daemon = &mut self.daemons[d];
        if daemon.sealed || daemon.epoch != epoch {
            return;
        }
        if !daemon.witness {
            // The daemon repeats what is not acknowledged.
            return self.push(100, Msg::Witness(d, epoch, action));
        }
        let event = match action {
            Action::Issue { budget, total } => {
                daemon.issued.insert(budget.clone(), total);
                Event::Issued { budget, total }
            }
            Action::Log { transfer, sent } => {
                let figure = daemon.sent.entry(transfer.budget).or_default();
                *figure = sent.max(*figure);
                Event::Logged(transfer.id)
            }
            _ => return,
        };
        // An acknowledgement of an earlier epoch is dropped on a change, so none is in flight then.
        let delay = 1 + self.below(20);
        self.push(delay, Msg::Event(d, event));
    }

    pub(crate) fn request(&mut self, d: usize, budget: BudgetId, bound: Tokens) {
        let now = self.clock();
        match self.daemons[d].drawer.reserve(now, &budget, bound) {
            Reserve::Held(held) => {
                let daemon = &self.daemons[d];
                if daemon.sealed && daemon.mode == Mode::Attached {
                    // The witness does not acknowledge the request, so it is never sent.
                    return self.daemons[d].drawer.settle(now, held, 0);
                }
                let used = self.below(bound + 1);
                let ends = self.now + 10 + self.below(3_000);
                self.admitted += 1;
                self.daemons[d].open.push(Open {
                    budget,
                    held,
                    used,
                    ends,
                    charged: false,
                });
            }
            Reserve::Wait => self.daemons[d].waiting.push((budget, bound)),
            Reserve::Refused(_) => self.refused += 1,
        }
    }

    fn retry(&mut self, d: usize, budget: &str) {
        let waiting = std::mem::take(&mut self.daemons[d].waiting);
        for (id, bound) in waiting {
            if *id == *budget {
                self.request(d, id, bound);
            } else {
                self.daemons[d].waiting.push((id, bound));
            }
        }
    }

    fn finish(&mut self, d: usize) {
        let (now, clock) = (self.now, self.clock());
        let daemon = &mut self.daemons[d];
        for open in std::mem::take(&mut daemon.open) {
            if open.ends > now {
                daemon.open.push(open);
                continue;
            }
            if !open.charged {
                *daemon.done.entry(open.budget).or_default() += open.used;
            }
            daemon.drawer.settle(clock, open.held, open.used);
        }
    }

    /// Commits the bills of finished requests every 2 s, after a seal as a late batch.
    fn bill(&mut self, d: usize) {
        if !self.reaches(d) || self.now % 2_000 > 100 {
            return;
        }
        let (inc, sealed) = (self.daemons[d].inc.clone(), self.daemons[d].sealed);
        if sealed && !self.calm {
            return;
        }
        for (budget, total) in self.daemons[d].done.clone() {
            self.bills
                .entry(budget.clone())
                .or_default()
                .insert(inc.clone(), total);
            if sealed {
                let mut row = self.row(&budget);
                let record = Record {
                    billed: total,
                    ..Record::default()
                };
                let late = row.bill_late(&inc, total);
                if late.is_ok()
                    || (late == Err(Refusal::NoShare)
                        && !self.daemons[d].stopping
                        && row.adopt_sealed(&inc, record).is_ok())
                {
                    self.put(&budget, &row);
                }
            } else {
                self.handle(d, Event::Billed { budget, total });
            }
        }
    }

    fn attach(&mut self, d: usize) {
        let daemon = &mut self.daemons[d];
        daemon.epoch += 1;
        daemon.unrecorded = false;
        for s in daemon.drawer.statements() {
            daemon.issued.insert(s.budget.clone(), s.issued);
            daemon.sent.insert(s.budget, s.sent);
        }
        // Acknowledgements of the earlier epoch do not count.
        self.queue.retain(|_, msg| {
            !matches!(msg, Msg::Event(to, Event::Issued { .. } | Event::Logged(_)) if *to == d)
        });
    }

    /// Chooses the mode as the node does.
    fn govern(&mut self, d: usize) {
        let up = self.reaches(d);
        // A sealed daemon learns of its seal some time after it resumed.
        let learns = self.calm || self.below(10) == 0;
        let daemon = &mut self.daemons[d];
        let (mode, wit) = (daemon.mode, daemon.witness);
        let lost = match up && wit {
            true => None,
            false => Some(daemon.lost_at.unwrap_or(self.now)),
        };
        daemon.lost_at = lost;
        let long = lost.is_some_and(|at| self.now >= at + 1_500);
        let next = match mode {
            Mode::Sealed => return,
            _ if daemon.sealed && up && learns => Mode::Sealed,
            _ if daemon.sealed => return,
            Mode::Attached if !long => return,
            Mode::Detached | Mode::Unpaired if !(up && wit) => return,
            _ if up && wit => Mode::Attached,
            _ if up => Mode::Unpaired,
            _ if wit || mode == Mode::Detached => Mode::Detached,
            _ if mode == Mode::Frozen => return,
            _ => Mode::Frozen,
        };
        if mode == next {
            return;
        }
        self.daemons[d].mode = next;
        match next {
            Mode::Attached => self.attach(d),
            Mode::Unpaired => self.daemons[d].unrecorded = true,
            Mode::Detached => self.daemons[d].unrecorded |= self.guard != Guard::NoDetachAck,
            _ => {}
        }
        self.handle(d, Event::Mode(next));
        if next == Mode::Sealed {
            self.start(self.daemons[d].name);
        }
    }

    /// The witness, or a third daemon without a record, seals a daemon that does not respond.
    fn watch(&mut self, d: usize) {
        let daemon = &self.daemons[d];
        let Some(since) = daemon.paused.filter(|_| !daemon.sealed) else {
            return;
        };
        let patience = if daemon.witness { SEAL_MS } else { 3 * SEAL_MS };
        if self.now < since + patience || !self.reaches(d) {
            return;
        }
        self.daemons[d].unrecorded |= !self.daemons[d].witness;
        self.seal(d);
        if self.daemons[d].crashed {
            self.daemons[d].paused = None;
            self.start(self.daemons[d].name);
        }
    }

    fn seal(&mut self, d: usize) {
        let daemon = &mut self.daemons[d];
        daemon.sealed = true;
        // An attached daemon sends no request that its witness does not know. A detached one that
        // was only paused can reuse what is left of a bound, so a bound is charged only after a
        // crash.
        let charges = daemon.crashed || daemon.mode == Mode::Attached;
        for open in daemon.open.iter_mut().filter(|_| charges) {
            open.charged = true;
            *daemon.done.entry(open.budget.clone()).or_default() += open.held.bound();
        }
        let inc = daemon.inc.clone();
        for (budget, total) in daemon.done.clone() {
            self.bills
                .entry(budget)
                .or_default()
                .insert(inc.clone(), total);
        }
        for budget in self.budgets.clone() {
            let delay = 1 + self.below(2_000);
            self.push(delay, Msg::Settle(d, budget));
        }
        for to in 0..self.daemons.len() {
            self.post(to, 1, Event::Gone(inc.clone()));
        }
        self.tell_members();
    }

    fn settle_row(&mut self, d: usize, budget: &BudgetId) {
        let daemon = &self.daemons[d];
        let inc = daemon.inc.clone();
        let issued = daemon.issued.get(budget).copied().unwrap_or(0);
        let bills = self.bills.get(budget).and_then(|b| b.get(&inc)).copied();
        let record = Record {
            issued: Some(issued).filter(|_| !daemon.unrecorded),
            sent: daemon.sent.get(budget).copied().unwrap_or(0),
            billed: bills.unwrap_or(0),
        };
        let removed = record.issued.is_none() && daemon.stopping;
        let mut row = self.row(budget);
        let done = match removed {
            true => row.settle_sealed(&inc, record),
            false => row.adopt_sealed(&inc, record),
        };
        if done.is_ok() {
            self.put(budget, &row);
        } else if !removed && record.issued.unwrap_or(record.billed) > 0 {
            // The sender of a transfer has not written it yet.
            self.push(5_000, Msg::Settle(d, budget.clone()));
        }
    }

    fn retire(&mut self, d: usize) {
        if self.daemons[d].drawer.is_done() && !self.daemons[d].sealed {
            self.daemons[d].retired = true;
            self.daemons[d].sealed = true;
            let inc = self.daemons[d].inc.clone();
            for to in 0..self.daemons.len() {
                self.post(to, 1, Event::Gone(inc.clone()));
            }
            self.tell_members();
            if !self.calm {
                self.start(self.daemons[d].name);
            }
        }
    }

    /// A random disturbance.
    pub(crate) fn disturb(&mut self) {
        let d = self.below(self.daemons.len() as u64) as usize;
        let b = self.below(self.budgets.len() as u64) as usize;
        let budget = self.budgets[b].clone();
        match self.below(14) {
            0 => self.outage = true,
            1 | 2 => self.outage = false,
            3 => self.cut[DCS[self.daemons[d].name]] = true,
            4 | 5 => self.cut = [false; 2],
            6 => self.daemons[d].witness = false,
            7 => self.daemons.iter_mut().for_each(|d| d.witness = true),
            8 if self.runs(d) => self.daemons[d].paused = Some(self.now),
            9 => self.resume(),
            10 if self.runs(d) && !self.daemons[d].sealed => {
                self.daemons[d].paused = Some(self.now);
                self.daemons[d].crashed = true;
            }
            11 if self.runs(d) => self.stop(d),
            12 => {
                let mut row = self.row(&budget);
                row.top_up(500).expect("far below 64 bits");
                self.put(&budget, &row);
            }
            13 => {
                let mut row = self.row(&budget);
                if row.lower(row.limit - row.limit / 20).is_ok() {
                    self.put(&budget, &row);
                    self.lowered.push(budget);
                }
            }
            _ => {}
        }
    }

    fn stop(&mut self, d: usize) {
        self.daemons[d].stopping = true;
        self.handle(d, Event::Stop);
    }

    fn resume(&mut self) {
        for daemon in &mut self.daemons {
            daemon.paused = daemon.paused.filter(|_| daemon.crashed);
        }
    }

    /// Random requests at the daemons that run.
    pub(crate) fn load(&mut self, requests: u64, bound: Tokens) {
        for _ in 0..requests {
            let d = self.below(self.daemons.len() as u64) as usize;
            let b = self.below(self.budgets.len() as u64) as usize;
            let bound = 1 + self.below(bound);
            if self.runs(d) {
                self.request(d, self.budgets[b].clone(), bound);
            }
        }
    }

    /// What was spent or may be spent by open requests, independent of the machines' figures.
    fn consumed(&self, budget: &str) -> Tokens {
        let daemons = self.daemons.iter();
        daemons
            .map(|d| {
                let open = d.open.iter().filter(|o| *o.budget == *budget && !o.charged);
                let done = d.done.get(budget).copied().unwrap_or(0);
                done + open.map(|o| o.held.bound()).sum::<Tokens>()
            })
            .sum()
    }

    fn check(&self) -> Result<(), String> {
        for budget in &self.budgets {
            let (row, figures) = (self.row(budget), self.row(budget).figures());
            let consumed = self.consumed(budget);
            let drawn = i128::from(row.limit) - figures.free;
            if i128::from(consumed) > drawn {
                return Err(format!(
                    "{budget}: {consumed} consumed of {drawn} at {}",
                    self.now
                ));
            }
            if figures.free < 0 && !self.lowered.contains(budget) {
                return Err(format!("{budget}: {figures:?} at {}", self.now));
            }
        }
        Ok(())
    }

    /// Heals all faults, stops all daemons, settles what crashed, and accounts for every token.
    pub(crate) fn close(&mut self) -> Result<(), String> {
        (self.outage, self.cut, self.calm) = (false, [false; 2], true);
        self.daemons.iter_mut().for_each(|d| d.witness = true);
        self.resume();
        for round in 0..400 {
            if round == 100 {
                (0..self.daemons.len()).for_each(|d| self.stop(d));
            }
            self.step(100 + 900 * u64::from(round > 200))?;
        }
        let ids = self.budgets.clone();
        ids.iter().try_for_each(|budget| self.account(budget))
    }

    fn account(&mut self, budget: &BudgetId) -> Result<(), String> {
        let mut row = self.row(budget);
        let bills = self.bills.entry(budget.clone()).or_default();
        // An operator decides on shares of incarnations that failed during a planned stop.
        for d in self.daemons.iter().filter(|d| d.stopping && d.unrecorded) {
            let billed = bills.get(&d.inc).copied().unwrap_or(0);
            let removed = bills
                .iter()
                .filter(|(inc, _)| !row.shares.contains_key(*inc));
            let missing = removed.map(|(_, n)| n).sum::<Tokens>();
            if !row.shares.contains_key(&d.inc) && missing >= row.settled + billed {
                let record = Record {
                    billed,
                    ..Record::default()
                };
                let _ = row.adopt_sealed(&d.inc, record);
            }
        }
        let found = audit(budget, &row, bills, &[]).discrepancies;
        let lowered = |d: &Discrepancy| matches!(d, Discrepancy::Overdrawn { .. });
        if !found.iter().all(lowered) {
            return Err(format!("{budget}: {found:?} {row:?}"));
        }
        // Every holder has ended, which is the proof that releasing needs.
        for (inc, share) in row.shares.clone() {
            let left = share.outstanding().unwrap_or(0);
            let unsent = Tokens::try_from(-row.transit()).unwrap_or(0).min(left);
            row.attribute(&inc, unsent)
                .map_err(|err| format!("{budget}: {inc}: {err} {row:?}"))?;
            row.release(&inc, left - unsent)
                .map_err(|err| format!("{budget}: {inc}: {err} {row:?}"))?;
        }
        let transit = Tokens::try_from(row.transit()).map_err(|_| format!("{budget}: {row:?}"))?;
        row.reclaim(transit).expect("checked above");
        let (figures, consumed) = (row.figures(), i128::from(self.consumed(budget)));
        if figures.billed != consumed || figures.free != i128::from(row.limit) - consumed {
            return Err(format!("{budget}: {consumed} consumed, {figures:?}"));
        }
        Ok(())
    }
}
