//! Deterministic simulation of a fleet whose daemons reserve tokens at holders, and of a store whose
//! rows are in one part that performs transactions one after another. Times are simulated milliseconds.

mod load;
mod outcome;
mod requests;
mod rows;

use std::{
    collections::{
        BTreeMap,
        HashMap, //
    },
    net::SocketAddr,
    time::{
        Duration,
        Instant, //
    },
};

use cuminloom_edge::prepaid::{
    CommitOutcome,
    Ledger,
    Pacing,
    Reservation,
    WritePlan, //
};
use rand::{
    RngExt,
    SeedableRng,
    rngs::StdRng, //
};

use super::store::FakeStore;
pub(crate) use outcome::{
    Faults,
    Mechanism,
    Outcome, //
};

pub(crate) use load::{
    CUSTOMERS,
    Request,
    limits, //
};

/// Length of a step.
const STEP_MS: u64 = 5;

/// Transactions a second that the part of the store performs, from the users' site files.
const PART_RATE: f64 = 300.0;

/// Response time of the store without a queue.
const STORE_MS: f64 = 4.0;

/// Longest wait of a request for tokens.
const MAX_WAIT_MS: u64 = 1200;

/// Wait of a request at the first holder before the others are asked, as in the daemon.
const FIRST_WAIT_MS: u64 = 150;

/// Holders that are asked after the first one.
const MAX_ASKED: usize = 3;

/// Time for which a request waits for reclaimed reserves, as in the daemon.
const RECLAIM_WAIT_MS: u64 = 500;

/// Time by which a reservation outlasts the longest request.
const EXPIRY_MS: u64 = 17_000;

/// Most time between the starts of two processes of a fleet, from the users' pages.
const MAX_START_SPREAD_MS: u64 = 300;

/// Time after which a daemon gives up a write whose answer was lost.
const ANSWER_TIMEOUT_MS: u64 = 1200;

/// Number of data centres of a fleet, as on the users' sites and at the target size.
fn zones(daemons: usize) -> usize {
    if daemons > 100 { 21 } else { 4 }
}

/// A request that waits for tokens at a daemon.
struct Waiting {
    request: Request,
    since: u64,
    writes_before: u64,
    /// Time at which it came to the present daemon.
    here_since: u64,
    /// Daemons that have refused it in the present round.
    asked: Vec<usize>,
    /// The first daemon that may have tokens later.
    later: Option<usize>,
    /// Whether it waits at that one for what others return: all have been asked for what they have.
    patient: bool,
    /// Time at which the reserves of others were reclaimed for it.
    reclaimed_at: Option<u64>,
}

/// A write that is on its way.
struct InFlight {
    done_at: u64,
    sent: u64,
    plan: WritePlan,
    /// `None` if the answer is lost.
    commit: Option<CommitOutcome>,
}

/// A VM with its daemon.
struct Node {
    name: String,
    zone: String,
    ledger: Option<Ledger>,
    restart_at: u64,
    cut_until: u64,
    frozen_until: u64,
    /// Monotonic clock.
    clock: u64,
    next_write: u64,
    next_read: u64,
    pacing: Pacing,
    /// Whether rows of customers are left to the next write, which waits for its time.
    unfinished: bool,
    in_flight: Option<InFlight>,
    waiting: Vec<Waiting>,
    /// Reservations by number, with the daemon that made them and the time at which they expire.
    open: BTreeMap<u64, (Reservation, usize, u64)>,
}

/// A request that runs: when it ends, who holds its tokens, and how many it uses.
struct Running {
    ends: u64,
    origin: usize,
    holder: usize,
    number: u64,
    request: Request,
}

/// The fleet and the store.
pub(crate) struct World {
    mechanism: Mechanism,
    faults: Faults,
    random: StdRng,
    start: Instant,
    now: u64,
    store: FakeStore,
    /// Time at which the part has performed all transactions sent so far.
    part_free: f64,
    nodes: Vec<Node>,
    running: Vec<Running>,
    limits: HashMap<String, u64>,
    consumed: HashMap<String, u64>,
    processes: u64,
    reservations: u64,
    outcome: Outcome,
}

/// Time at which VM `i` of `count` starts.
fn first_start(i: usize, count: usize, faults: &Faults) -> u64 {
    let outage = faults.restorations.first();
    match outage.filter(|_| i + faults.added >= count) {
        Some(outage) => outage.at,
        None => 0,
    }
}

impl World {
    /// Starts `count` daemons in four data centres.
    pub(crate) fn new(seed: u64, count: usize, mechanism: Mechanism, faults: Faults) -> World {
        let mut world = World {
            mechanism,
            faults,
            random: StdRng::seed_from_u64(seed),
            start: Instant::now(),
            now: 0,
            store: FakeStore::default(),
            part_free: 0.0,
            nodes: Vec::new(),
            running: Vec::new(),
            limits: limits(count),
            consumed: HashMap::new(),
            processes: 0,
            reservations: 0,
            outcome: Outcome::default(),
        };
        for i in 0..count {
            let zone = match mechanism {
                // A data centre of its own makes each daemon a holder.
                Mechanism::Everyone => format!("z-{i}"),
                Mechanism::Holders => format!("z-{}", i % zones(count)),
            };
            world.nodes.push(Node {
                name: format!("vm-{i}"),
                zone,
                ledger: None,
                restart_at: first_start(i, count, &faults),
                cut_until: 0,
                frozen_until: 0,
                clock: 0,
                next_write: 0,
                next_read: 0,
                pacing: Pacing::default(),
                unfinished: false,
                in_flight: None,
                waiting: Vec::new(),
                open: BTreeMap::new(),
            });
        }
        world
    }

    /// Simulates `seconds`, with requests if `loaded`.
    pub(crate) fn run(&mut self, seconds: u64, loaded: bool) -> Outcome {
        let end = self.now + seconds * 1000;
        while self.now < end {
            self.now += STEP_MS;
            if !self.faults.restorations.is_empty() {
                self.store.keep_copy(self.now);
                self.restore_store();
            }
            self.inject_faults();
            self.end_requests();
            for i in 0..self.nodes.len() {
                self.step(i);
            }
            if loaded {
                self.send_requests();
            }
            if self.now.is_multiple_of(1000) {
                self.check();
            }
        }
        self.outcome
    }

    /// Time on the monotonic clock of node `i`.
    fn instant(&self, i: usize) -> Instant {
        self.start + Duration::from_millis(self.nodes[i].clock)
    }

    /// `true` with a probability of `percent`.
    fn chance(&mut self, percent: u64) -> bool {
        percent > 0 && self.random.random_range(0..100) < percent
    }

    fn address(i: usize) -> SocketAddr {
        SocketAddr::from(([127, 0, 0, 1], 10_000 + i as u16))
    }

    /// Starts the faults that are due.
    fn inject_faults(&mut self) {
        let f = self.faults;
        let second = self.now.is_multiple_of(1000);
        for i in 0..self.nodes.len() {
            let ledger = self.nodes[i].ledger.as_ref();
            let spared = f.forgets_reservations && ledger.is_some_and(Ledger::is_holder);
            if f.kill_all_at == Some(self.now) || (second && !spared && self.chance(f.kill)) {
                self.kill(i);
            }
            if f.cut_all_at == Some(self.now) {
                self.nodes[i].cut_until = self.now + 8000;
            } else if second && self.chance(f.cut) {
                self.nodes[i].cut_until = self.now + self.random.random_range(1000..9000);
            }
            if second && self.chance(f.freeze) {
                self.nodes[i].frozen_until = self.now + self.random.random_range(500..6500);
            }
        }
    }

    /// Begins and ends the outages after which the store comes back from a copy.
    fn restore_store(&mut self) {
        for outage in self.faults.restorations {
            if outage.at == self.now {
                for i in 0..self.nodes.len() {
                    self.begin_outage(i, outage.end());
                }
            }
            if outage.end() == self.now {
                self.store.restore(outage.at - outage.age);
            }
        }
    }

    /// Cuts node `i` off from the store, which is away until `end`, with the other faults of an outage.
    fn begin_outage(&mut self, i: usize, end: u64) {
        let (now, f) = (self.now, self.faults);
        let cut = if self.chance(f.cut_in_outage) {
            now + 8000
        } else {
            end
        };
        self.nodes[i].cut_until = cut.max(self.nodes[i].cut_until);
        if let Some(write) = &mut self.nodes[i].in_flight {
            write.commit = None;
        }
        if self.chance(f.freeze_in_outage) {
            self.nodes[i].frozen_until = now + 6000;
        }
        if self.chance(f.kill_in_outage) {
            self.kill(i);
        }
    }

    /// Kills the process of node `i`. Its callers' requests end; those of other daemons that hold
    /// tokens here go on.
    fn kill(&mut self, i: usize) {
        let now = self.now;
        let down = match self.faults.down_ms {
            Some(time) => time + self.random.random_range(0..MAX_START_SPREAD_MS),
            None => self.random.random_range(500..4500),
        };
        let forgets = self.faults.forgets_reservations;
        let node = &mut self.nodes[i];
        node.ledger = None;
        node.in_flight = None;
        node.restart_at = now + down;
        node.open.clear();
        for waiting in std::mem::take(&mut node.waiting) {
            self.refuse(&waiting.request);
        }
        for running in self.running.iter_mut().filter(|r| r.origin == i) {
            running.ends = now;
        }
        if forgets {
            let instant = self.instant(i);
            for holder in &mut self.nodes {
                let ended: Vec<u64> = holder
                    .open
                    .iter()
                    .filter(|(_, (_, origin, _))| *origin == i)
                    .map(|(number, _)| *number)
                    .collect();
                for number in ended {
                    let (reservation, ..) = holder.open.remove(&number).unwrap();
                    if let Some(ledger) = &mut holder.ledger {
                        ledger.settle(&reservation, 0, instant);
                    }
                }
            }
        }
    }

    /// Ends the requests that are due and tells the holders what they used.
    fn end_requests(&mut self) {
        let now = self.now;
        let due;
        (due, self.running) = std::mem::take(&mut self.running)
            .into_iter()
            .partition(|r: &Running| r.ends <= now);
        for ended in due {
            let (customer, used) = (&ended.request.customer, ended.request.used);
            *self.consumed.entry(customer.clone()).or_default() += used;
            let told = self.nodes[ended.origin].ledger.is_some()
                && now >= self.nodes[ended.origin].frozen_until;
            let instant = self.instant(ended.holder);
            let holder = &mut self.nodes[ended.holder];
            let Some(ledger) = &mut holder.ledger else {
                continue;
            };
            if told && let Some((reservation, ..)) = holder.open.remove(&ended.number) {
                ledger.settle(&reservation, used, instant);
            }
        }
    }

    /// Advances node `i` by one step.
    fn step(&mut self, i: usize) {
        if self.now < self.nodes[i].frozen_until {
            return;
        }
        self.nodes[i].clock += STEP_MS;
        if self.nodes[i].ledger.is_none() {
            if self.now < self.nodes[i].restart_at {
                return;
            }
            self.start_process(i);
        }
        self.expire(i);
        self.finish_write(i);
        if self.now >= self.nodes[i].cut_until {
            self.read(i);
            self.write(i);
        }
        self.retry_waiting(i);
    }

    fn start_process(&mut self, i: usize) {
        self.processes += 1;
        let instant = self.instant(i);
        let node = &mut self.nodes[i];
        let mut ledger = Ledger::new(&node.name, self.processes, Some(World::address(i)))
            .with_place(&node.zone, 120);
        ledger.mark_exclusive(instant);
        ledger.set_limits(self.limits.clone());
        node.ledger = Some(ledger);
        (node.next_write, node.next_read) = (self.now, self.now);
        node.pacing = Pacing::default();
        node.unfinished = false;
    }

    /// Charges the reservations that have expired in full.
    fn expire(&mut self, i: usize) {
        let (now, instant) = (self.now, self.instant(i));
        let node = &mut self.nodes[i];
        let Some(ledger) = &mut node.ledger else {
            return;
        };
        node.open.retain(|_, (reservation, _, expires)| {
            if now >= *expires {
                ledger.settle(reservation, reservation.cost, instant);
            }
            now < *expires
        });
    }

    /// Tokens of `customer` that were consumed, with `open` of each running request.
    fn usage(&self, customer: &str, open: impl Fn(&Request) -> u64) -> u64 {
        let running: u64 = self
            .running
            .iter()
            .map(|r| &r.request)
            .filter(|r| r.customer == customer)
            .map(open)
            .sum();
        self.consumed.get(customer).copied().unwrap_or(0) + running
    }

    /// Compares what was consumed with the limits, and counts attached holders.
    fn check(&mut self) {
        self.outcome.stranded = 0;
        for customer in 0..CUSTOMERS {
            let name = format!("c{customer}");
            let consumed = self.usage(&name, |r| r.used);
            let over = consumed.saturating_sub(self.limits[&name]);
            self.outcome.overspent = self.outcome.overspent.max(over);
            let charged: u64 = self
                .store
                .daemons
                .values()
                .filter_map(|(_, row)| row.grants.get(&name))
                .map(|g| g.spent)
                .sum();
            self.outcome.stranded += charged.saturating_sub(consumed);
        }
        let calm = |n: &&Node| self.now >= n.cut_until.max(n.frozen_until);
        for (i, node) in self.nodes.iter().enumerate().filter(|(_, n)| calm(n)) {
            let Some(ledger) = node.ledger.as_ref().filter(|l| l.is_holder()) else {
                continue;
            };
            self.outcome.holders += 1;
            self.outcome.attached += u64::from(ledger.is_attached(self.instant(i)));
        }
    }
}
