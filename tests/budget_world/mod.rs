//! Several drawers in two data centres against a faulty platform, with a fake clock.

use std::{
    collections::BTreeMap,
    time::Duration, //
};

use cuminloom::{
    budget::{
        Action,
        BilledTokens,
        Discrepancy,
        Event,
        Mode,
        Reservation,
        ReserveOutcome,
        Row,
        RowError,
        SealRecord,
        ShareManager,
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
    /// Requests are sent before the witness has them. Issues alone must prevent overspend.
    Unmirrored,
    /// Commits ignore the version of the budget row.
    NoVersion,
    /// Issues count before the witness has them, and requests are sent before as well.
    NoAck,
    /// Repeated transfers get a new number.
    NoDedupe,
    /// The daemon detaches without the witness.
    NoDetachAck,
    /// Commits ignore the fence row.
    NoFence,
}

mod account;
mod faults;
mod platform;

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
    drawer: ShareManager,
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
    bills: BTreeMap<BudgetId, BilledTokens>,
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
            drawer: ShareManager::start(inc.clone(), name as u64),
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
            Action::LogTransfer { ref transfer, .. } => {
                let id = transfer.id.clone();
                let free = matches!(self.daemons[d].mode, Mode::Detached | Mode::Unpaired);
                let epoch = self.daemons[d].epoch;
                self.push(delay, Msg::Witness(d, epoch, action));
                if free {
                    self.post(d, 0, Event::TransferLogged(id));
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
            Action::SendTransfer(transfer) => {
                let to = transfer.id.to.clone();
                let mut again = transfer.clone();
                if self.guard == Guard::NoDedupe {
                    again.id.number += 1_000;
                }
                self.peer(d, &to, Event::TransferReceived(transfer));
                if self.chance(300) {
                    self.peer(d, &to, Event::TransferReceived(again));
                }
            }
            Action::ConfirmTransfer(id) => {
                self.peer(d, &id.from.clone(), Event::TransferConfirmed(id))
            }
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

    fn mirrored(&self) -> bool {
        !matches!(self.guard, Guard::Unmirrored | Guard::NoAck)
    }

    pub(crate) fn request(&mut self, d: usize, budget: BudgetId, bound: Tokens) {
        let now = self.clock();
        match self.daemons[d].drawer.reserve(now, &budget, bound) {
            ReserveOutcome::Held(held) => {
                let daemon = &self.daemons[d];
                if daemon.sealed && daemon.mode == Mode::Attached && self.mirrored() {
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
            ReserveOutcome::Wait => self.daemons[d].waiting.push((budget, bound)),
            ReserveOutcome::Refused(_) => self.refused += 1,
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
}
