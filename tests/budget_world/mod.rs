//! Several share managers in two data centres, with a faulty platform and network and a fake clock.

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
        CommitOutcome,
        Precondition,
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

/// The rules that the environment of a share manager keeps: all of them, or all but one, to show
/// that this one is needed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Rules {
    /// All rules are kept.
    All,
    /// Requests are sent before the witness has them. Issued tokens alone must prevent overspend.
    Unmirrored,
    /// Commits ignore the version of the budget row.
    NoVersion,
    /// Tokens are issued before the witness has logged them, and requests are sent before as well.
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

/// Time without a sign of life after which the witness seals a daemon; others wait three times as
/// long.
const SEAL_TIMEOUT_MS: u64 = 10_000;
/// Data centre of each VM.
const DC_OF_VM: [usize; 7] = [0, 0, 0, 0, 0, 1, 1];

/// An admitted request that has not ended.
struct OpenRequest {
    budget: BudgetId,
    held: Reservation,
    /// Tokens that the request will have used at its end.
    used: Tokens,
    ends_at: u64,
    /// A seal has charged the whole bound.
    charged: bool,
}

/// One incarnation and what its witness knows about it.
struct Daemon {
    vm: usize,
    inc: Incarnation,
    manager: ShareManager,
    mode: Mode,
    crashed: bool,
    /// When the process was paused, or crashed.
    paused_at: Option<u64>,
    /// The planned stop has ended.
    retired: bool,
    stopping: bool,
    /// Number of attachments; log entries of earlier ones are dropped.
    epoch: u64,
    /// The witness is reachable.
    witness_up: bool,
    /// Since when the witness or the platform is not reachable.
    lost_at: Option<u64>,
    open: Vec<OpenRequest>,
    /// Tokens that finished and charged requests used.
    used_tokens: BTreeMap<BudgetId, Tokens>,
    waiting: Vec<(BudgetId, Tokens)>,
    sealed: bool,
    /// The witness's record is not valid, so a seal must not use it.
    no_record: bool,
    /// Issued tokens in the witness's record.
    issued: BTreeMap<BudgetId, Tokens>,
    /// Sent tokens in the witness's record.
    sent: BTreeMap<BudgetId, Tokens>,
}

/// Something that happens to a daemon, given by its number, at a later time.
enum Delivery {
    Event(usize, Event),
    /// A call reaches the table: the daemon, the call, whether the answer arrives, and its delay in
    /// ms.
    Store(usize, Action, bool, u64),
    /// A log entry reaches the witness, with the epoch in which it was sent.
    Witness(usize, u64, Action),
    /// The share of a sealed daemon is to be sealed in the row.
    Settle(usize, BudgetId),
}

/// The daemons, the platform, the network between them, and the faults that are in force.
pub(crate) struct World {
    rng: StdRng,
    pub(crate) rules: Rules,
    pub(crate) now: u64,
    pub(crate) store: MemStore,
    daemons: Vec<Daemon>,
    /// Deliveries by their time in ms and their order.
    queue: BTreeMap<(u64, u64), Delivery>,
    last_order: u64,
    budgets: Vec<BudgetId>,
    bills: BTreeMap<BudgetId, BilledTokens>,
    /// Budgets whose limit was lowered.
    lowered: Vec<BudgetId>,
    /// The platform does not answer.
    outage: bool,
    /// Data centres that are cut off from the platform and each other.
    cut_dcs: [bool; 2],
    /// No calls or messages are lost, and sealed daemons are not started again after a stop.
    pub(crate) fault_free: bool,
    pub(crate) commits: u64,
    pub(crate) admitted: u64,
    pub(crate) refused: u64,
}

/// Key of a budget row in the table.
fn row_key(budget: &str) -> String {
    format!("budget/{budget}")
}

impl World {
    /// Starts a daemon on each VM, and creates a budget for each limit.
    pub(crate) fn new(seed: u64, rules: Rules, limits: &[Tokens]) -> Self {
        let mut world = Self {
            rng: StdRng::seed_from_u64(seed),
            rules,
            now: 0,
            store: MemStore::default(),
            daemons: Vec::new(),
            queue: BTreeMap::new(),
            last_order: 0,
            budgets: Vec::new(),
            bills: BTreeMap::new(),
            lowered: Vec::new(),
            outage: false,
            cut_dcs: [false; 2],
            fault_free: false,
            commits: 0,
            admitted: 0,
            refused: 0,
        };
        for (n, limit) in limits.iter().enumerate() {
            let id: BudgetId = format!("b{n}").into();
            world.put(&id, &Row::create("anod".into(), *limit));
            world.budgets.push(id);
        }
        for vm in 0..DC_OF_VM.len() {
            world.start_daemon(vm);
        }
        world
    }

    /// Random number below `n`.
    pub(crate) fn random_below(&mut self, n: u64) -> u64 {
        self.rng.random_range(0..n)
    }

    /// Whether a random fault happens; never in a run without faults.
    fn fault_chance(&mut self, per_thousand: u64) -> bool {
        !self.fault_free && self.random_below(1_000) < per_thousand
    }

    /// Reads a budget row, which must exist.
    pub(crate) fn row(&self, budget: &str) -> Row {
        let row = self.store.read(&row_key(budget)).expect("budgets stay");
        row.value.try_into().expect("the store holds budget rows")
    }

    /// Writes a budget row without a check of its version.
    fn put(&mut self, budget: &str, row: &Row) {
        self.store.commit(&[Write {
            key: row_key(budget).into(),
            precondition: Precondition::Any,
            change: Change::Put(row.into()),
        }]);
    }

    /// Starts a new incarnation on a VM.
    fn start_daemon(&mut self, vm: usize) {
        let inc: Incarnation = format!("vm-{vm}.{:x}", self.daemons.len()).into();
        self.daemons.push(Daemon {
            vm,
            manager: ShareManager::start(inc.clone(), vm as u64),
            inc,
            mode: Mode::Frozen,
            crashed: false,
            paused_at: None,
            retired: false,
            stopping: false,
            epoch: 0,
            witness_up: true,
            lost_at: None,
            open: Vec::new(),
            used_tokens: BTreeMap::new(),
            waiting: Vec::new(),
            sealed: false,
            no_record: false,
            issued: BTreeMap::new(),
            sent: BTreeMap::new(),
        });
        self.update_members();
    }

    /// Tells every daemon the live incarnations of its data centre.
    fn update_members(&mut self) {
        let live = |d: &Daemon, dc| DC_OF_VM[d.vm] == dc && !d.sealed && !d.crashed && !d.retired;
        for d in 0..self.daemons.len() {
            let dc = DC_OF_VM[self.daemons[d].vm];
            let members = self.daemons.iter().filter(|m| live(m, dc));
            let members = members.map(|m| m.inc.clone()).collect();
            self.send_event(d, 1, Event::Members(members));
        }
    }

    /// Schedules a delivery in `delay` ms.
    fn schedule(&mut self, delay: u64, msg: Delivery) {
        self.last_order += 1;
        self.queue.insert((self.now + delay, self.last_order), msg);
    }

    /// Schedules an event for a daemon in `delay` ms.
    fn send_event(&mut self, to: usize, delay: u64, event: Event) {
        self.schedule(delay, Delivery::Event(to, event));
    }

    /// Whether a daemon reaches the platform.
    fn reaches_platform(&self, d: usize) -> bool {
        !self.outage && !self.cut_dcs[DC_OF_VM[self.daemons[d].vm]]
    }

    /// Whether a daemon is neither crashed nor stopped nor paused.
    fn is_running(&self, d: usize) -> bool {
        let daemon = &self.daemons[d];
        !daemon.crashed && !daemon.retired && daemon.paused_at.is_none()
    }

    /// Present time as the share managers get it.
    fn clock(&self) -> Duration {
        Duration::from_millis(self.now)
    }

    /// Passes an event to a daemon's share manager.
    fn handle(&mut self, d: usize, event: Event) {
        let now = self.clock();
        self.daemons[d].manager.handle(now, event);
    }

    /// Advances the clock, runs everything that is due, and checks the invariants.
    pub(crate) fn step(&mut self, ms: u64) -> Result<(), String> {
        self.now += ms;
        while let Some(entry) = self.queue.first_entry().filter(|e| e.key().0 <= self.now) {
            let (at, msg) = entry.remove_entry();
            self.deliver(at, msg);
        }
        for d in 0..self.daemons.len() {
            if self.is_running(d) {
                self.finish_requests(d);
                self.commit_bills(d);
                self.update_mode(d);
                let now = self.clock();
                for action in self.daemons[d].manager.poll(now) {
                    self.perform(d, action);
                }
                self.finish_stop(d);
            } else if !self.daemons[d].retired {
                self.seal_if_silent(d);
            }
        }
        self.check_invariants()
    }

    /// Makes a delivery; an event for a daemon that no longer runs is dropped.
    fn deliver(&mut self, at: (u64, u64), msg: Delivery) {
        match msg {
            // A paused process gets its events when it resumes.
            Delivery::Event(d, event) if self.daemons[d].paused_at.is_some() => {
                self.queue
                    .insert((self.now + 1, at.1), Delivery::Event(d, event));
            }
            Delivery::Event(d, event) if self.is_running(d) => self.handle(d, event),
            Delivery::Event(..) => {}
            Delivery::Store(d, action, answered, delay) => {
                self.apply_call(d, action, answered, delay)
            }
            Delivery::Witness(d, epoch, action) => self.log_at_witness(d, epoch, action),
            Delivery::Settle(d, budget) => self.seal_share_in_row(d, &budget),
        }
    }

    /// Carries out an action of a share manager.
    fn perform(&mut self, d: usize, action: Action) {
        let delay = 1 + self.random_below(30);
        match action {
            Action::Read { .. } | Action::Commit { .. } => self.call_store(d, action, delay),
            Action::Issue { ref budget, total } => {
                if self.rules == Rules::NoAck {
                    let budget = budget.clone();
                    self.handle(d, Event::Issued { budget, total });
                }
                let epoch = self.daemons[d].epoch;
                self.schedule(delay, Delivery::Witness(d, epoch, action));
            }
            Action::LogTransfer { ref transfer, .. } => {
                let id = transfer.id.clone();
                let free = matches!(self.daemons[d].mode, Mode::Detached | Mode::Unpaired);
                let epoch = self.daemons[d].epoch;
                self.schedule(delay, Delivery::Witness(d, epoch, action));
                if free {
                    self.send_event(d, 0, Event::TransferLogged(id));
                }
            }
            Action::Short { budget, to } => {
                for inc in to {
                    let budget = budget.clone();
                    self.send_to_peer(d, &inc, Event::Short { budget });
                }
            }
            Action::Ask { to, budget, tokens } => {
                let from = self.daemons[d].inc.clone();
                let event = Event::Ask {
                    from,
                    budget,
                    tokens,
                };
                self.send_to_peer(d, &to, event);
            }
            Action::SendTransfer(transfer) => {
                let to = transfer.id.to.clone();
                let mut again = transfer.clone();
                if self.rules == Rules::NoDedupe {
                    again.id.number += 1_000;
                }
                self.send_to_peer(d, &to, Event::TransferReceived(transfer));
                if self.fault_chance(300) {
                    self.send_to_peer(d, &to, Event::TransferReceived(again));
                }
            }
            Action::ConfirmTransfer(id) => {
                self.send_to_peer(d, &id.from.clone(), Event::TransferConfirmed(id))
            }
            Action::Retry { budget } => self.retry_waiting(d, &budget),
            Action::Sealed => {}
        }
    }

    /// Sends an event to another daemon, unless the network loses it.
    fn send_to_peer(&mut self, from: usize, to: &str, event: Event) {
        let Some(t) = self.daemons.iter().position(|d| *d.inc == *to) else {
            return;
        };
        let (a, b) = (
            DC_OF_VM[self.daemons[from].vm],
            DC_OF_VM[self.daemons[t].vm],
        );
        let parted = a != b && (self.cut_dcs[a] || self.cut_dcs[b]);
        if !parted && !self.fault_chance(50) {
            let delay = 1 + self.random_below(100);
            self.send_event(t, delay, event);
        }
    }

    /// Whether requests are sent only after the witness has them.
    fn is_mirrored(&self) -> bool {
        !matches!(self.rules, Rules::Unmirrored | Rules::NoAck)
    }

    /// Reserves tokens for a request and starts it, or lets it wait.
    pub(crate) fn start_request(&mut self, d: usize, budget: BudgetId, bound: Tokens) {
        let now = self.clock();
        match self.daemons[d].manager.reserve(now, &budget, bound) {
            ReserveOutcome::Held(held) => {
                let daemon = &self.daemons[d];
                if daemon.sealed && daemon.mode == Mode::Attached && self.is_mirrored() {
                    // The witness does not acknowledge the request, so it is never sent.
                    return self.daemons[d].manager.settle(now, held, 0);
                }
                let used = self.random_below(bound + 1);
                let ends = self.now + 10 + self.random_below(3_000);
                self.admitted += 1;
                self.daemons[d].open.push(OpenRequest {
                    budget,
                    held,
                    used,
                    ends_at: ends,
                    charged: false,
                });
            }
            ReserveOutcome::Wait => self.daemons[d].waiting.push((budget, bound)),
            ReserveOutcome::Refused(_) => self.refused += 1,
        }
    }

    /// Starts the waiting requests of a budget again.
    fn retry_waiting(&mut self, d: usize, budget: &str) {
        let waiting = std::mem::take(&mut self.daemons[d].waiting);
        for (id, bound) in waiting {
            if *id == *budget {
                self.start_request(d, id, bound);
            } else {
                self.daemons[d].waiting.push((id, bound));
            }
        }
    }

    /// Ends the requests that are due.
    fn finish_requests(&mut self, d: usize) {
        let (now, clock) = (self.now, self.clock());
        let daemon = &mut self.daemons[d];
        for open in std::mem::take(&mut daemon.open) {
            if open.ends_at > now {
                daemon.open.push(open);
                continue;
            }
            if !open.charged {
                *daemon.used_tokens.entry(open.budget).or_default() += open.used;
            }
            daemon.manager.settle(clock, open.held, open.used);
        }
    }

    /// Starts random requests with bounds of up to `bound` tokens at running daemons.
    pub(crate) fn send_requests(&mut self, requests: u64, bound: Tokens) {
        for _ in 0..requests {
            let d = self.random_below(self.daemons.len() as u64) as usize;
            let b = self.random_below(self.budgets.len() as u64) as usize;
            let bound = 1 + self.random_below(bound);
            if self.is_running(d) {
                self.start_request(d, self.budgets[b].clone(), bound);
            }
        }
    }
}
