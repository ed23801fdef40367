//! Deterministic simulation of a fleet whose daemons reserve tokens at holders, and of a store whose
//! rows are in one part that performs transactions one after another. Times are simulated milliseconds.

mod load;
mod outcome;

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
    Admission,
    CommitOutcome,
    Ledger,
    Reservation,
    WritePlan,
    WriteScope, //
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

/// Interval between two writes and between two reads of a holder, as in the daemon.
const WRITE_MS: u64 = 400;
const READ_MS: u64 = 1000;

/// Part of the rate of the store that the holders use for waiting requests, as in the daemon.
const HOLDER_FRACTION: f64 = 0.5;

/// Intervals of the other daemons.
const MEMBER_WRITE_MS: u64 = 5000;
const MEMBER_READ_MS: u64 = 2000;

/// Longest pause after a conflict, in units of the spacing of writes.
const CONFLICT_PAUSE: f64 = 1.5;

/// Longest wait of a request for tokens.
const MAX_WAIT_MS: u64 = 1200;

/// Holders that are asked after the first one.
const MAX_ASKED: usize = 3;

/// Time by which a reservation outlasts the longest request.
const EXPIRY_MS: u64 = 17_000;

/// Time after which a daemon gives up a write whose answer was lost.
const ANSWER_TIMEOUT_MS: u64 = 1200;

/// Time between two writes of a holder, as in the daemon.
fn write_spacing(ledger: &Ledger) -> u64 {
    let spacing = ledger.holder_count() as f64 * 1000.0 / (PART_RATE * HOLDER_FRACTION);
    (spacing as u64).min(WRITE_MS)
}

/// Number of data centres of a fleet, as on the users' sites and at the target size.
fn zones(daemons: usize) -> usize {
    if daemons > 100 { 21 } else { 4 }
}

/// A request that waits for tokens at a daemon.
struct Waiting {
    request: Request,
    since: u64,
    writes_before: u64,
    /// Daemons that have refused it.
    asked: Vec<usize>,
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
    last_write: u64,
    next_read: u64,
    conflicts: u32,
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
                restart_at: 0,
                cut_until: 0,
                frozen_until: 0,
                clock: 0,
                next_write: 0,
                last_write: 0,
                next_read: 0,
                conflicts: 0,
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

    /// Kills the process of node `i`. Its callers' requests end; those of other daemons that hold
    /// tokens here go on.
    fn kill(&mut self, i: usize) {
        let now = self.now;
        let down = self.random.random_range(500..4500);
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
        (node.next_write, node.next_read, node.conflicts) = (self.now, self.now, 0);
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

    fn read(&mut self, i: usize) {
        let (now, instant) = (self.now, self.instant(i));
        let node = &mut self.nodes[i];
        let Some(ledger) = node.ledger.as_mut().filter(|_| now >= node.next_read) else {
            return;
        };
        ledger.apply_rows(self.store.rows(now), true, instant, instant);
        let frequent = ledger.is_holder() || !ledger.knows_holders();
        node.next_read = now + if frequent { READ_MS } else { MEMBER_READ_MS };
    }

    /// Sends the next write of node `i` to the store, if it is due.
    fn write(&mut self, i: usize) {
        let (now, instant) = (self.now, self.instant(i));
        let scope = match (self.mechanism, self.nodes[i].conflicts) {
            (Mechanism::Everyone, _) | (_, 0) => WriteScope::Customers(usize::MAX),
            (_, n) if !n.is_multiple_of(2) => WriteScope::OwnRow,
            (_, 2) => WriteScope::Customers(4),
            _ => WriteScope::Customers(1),
        };
        let lost = self.chance(self.faults.lost);
        let node = &mut self.nodes[i];
        let Some(ledger) = &mut node.ledger else {
            return;
        };
        let spacing = write_spacing(ledger);
        let spaced = self.mechanism == Mechanism::Everyone || now >= node.last_write + spacing;
        let wanted = ledger.has_waiting() && node.conflicts == 0 && spaced;
        let due = now >= node.next_write || wanted;
        if node.in_flight.is_some() || !due {
            return;
        }
        let Some(plan) = ledger.plan_scoped(instant, Vec::new(), scope) else {
            return;
        };
        node.last_write = now;
        self.part_free = self.part_free.max(now as f64) + 1000.0 / PART_RATE;
        let commit = self.store.apply(&plan.batch, self.part_free as u64);
        node.in_flight = Some(InFlight {
            done_at: if lost {
                now + ANSWER_TIMEOUT_MS
            } else {
                (self.part_free + STORE_MS) as u64
            },
            sent: now,
            plan,
            commit: (!lost).then_some(commit),
        });
    }

    /// Applies the answer to the write of node `i` that has arrived.
    fn finish_write(&mut self, i: usize) {
        let (now, instant) = (self.now, self.instant(i));
        let pause = match self.mechanism {
            Mechanism::Everyone => 0.0,
            Mechanism::Holders => self.random.random_range(0.0..CONFLICT_PAUSE),
        };
        let member_write = self
            .random
            .random_range(MEMBER_WRITE_MS / 2..MEMBER_WRITE_MS * 3 / 2);
        let node = &mut self.nodes[i];
        let Some(write) = node.in_flight.take_if(|w| w.done_at <= now) else {
            return;
        };
        let Some(ledger) = &mut node.ledger else {
            return;
        };
        let frequent = ledger.is_holder() || !ledger.is_owned() || ledger.holds_tokens();
        node.next_write = now + if frequent { WRITE_MS } else { member_write };
        let Some(commit) = write.commit else {
            return;
        };
        self.outcome.commits += 1;
        self.outcome.commit_ms += now - write.sent;
        let conflict = matches!(commit, CommitOutcome::Conflict(_));
        ledger.apply_outcome(&write.plan, commit, instant);
        let rest = node.conflicts > 0 && write.plan.batch.customers.is_empty();
        if conflict || (rest && ledger.has_waiting()) {
            self.outcome.conflicts += u64::from(conflict);
            node.conflicts += 1;
            node.next_write = now + (write_spacing(ledger) as f64 * pause) as u64;
        } else {
            node.conflicts = 0;
        }
    }

    /// Tries again the requests that wait for tokens at node `i`.
    fn retry_waiting(&mut self, i: usize) {
        for waiting in std::mem::take(&mut self.nodes[i].waiting) {
            self.admit(i, waiting, false);
        }
    }

    /// Offers a request to holder `h`, or lets it wait there.
    fn admit(&mut self, h: usize, waiting: Waiting, first: bool) {
        let (now, instant) = (self.now, self.instant(h));
        let request = &waiting.request;
        let node = &mut self.nodes[h];
        let Some(ledger) = &mut node.ledger else {
            let request = waiting.request;
            return self.refuse(&request);
        };
        let admission = ledger.admit(&request.customer, request.cost, instant);
        let waited = now - waiting.since;
        let waits = match admission {
            Admission::Grant => {
                let known = ledger.accepted_writes() - waiting.writes_before >= 2;
                waited < MAX_WAIT_MS
                    && !(known && ledger.is_pool_short(&request.customer, request.cost, instant))
            }
            Admission::Release(time) => waited + time.as_millis() as u64 <= 3 * MAX_WAIT_MS,
            Admission::Taken | Admission::Refused | Admission::Exhausted => false,
        };
        if waits && first {
            ledger.adjust_waiting(&request.customer, request.cost, true);
        }
        if !waits && !first {
            ledger.adjust_waiting(&request.customer, request.cost, false);
        }
        if waits {
            node.waiting.push(waiting);
            return;
        }
        if admission != Admission::Taken {
            return self.ask_next(h, waiting, admission);
        }
        let request = waiting.request;
        self.outcome.waited_ms += waited;
        self.reservations += 1;
        let reservation = Reservation {
            customer: request.customer.as_str().into(),
            cost: request.cost,
        };
        let entry = (reservation, request.origin, now + EXPIRY_MS);
        node.open.insert(self.reservations, entry);
        self.running.push(Running {
            ends: now + request.duration_ms,
            origin: request.origin,
            holder: h,
            number: self.reservations,
            request,
        });
    }

    /// Offers a request that holder `h` refused to another one.
    fn ask_next(&mut self, h: usize, mut waiting: Waiting, admission: Admission) {
        waiting.asked.push(h);
        let late = self.now - waiting.since > 3 * MAX_WAIT_MS;
        let next = self.other_holder(&waiting);
        let Some(next) = next.filter(|_| admission != Admission::Exhausted && !late) else {
            return self.refuse(&waiting.request);
        };
        let ledger = self.nodes[next].ledger.as_ref();
        waiting.writes_before = ledger.map_or(0, Ledger::accepted_writes);
        self.admit(next, waiting, true);
    }

    /// Holder that has not been asked for a request, if not too many have.
    fn other_holder(&self, waiting: &Waiting) -> Option<usize> {
        if self.mechanism == Mechanism::Everyone || waiting.asked.len() > MAX_ASKED {
            return None;
        }
        let ledger = self.nodes[waiting.request.origin].ledger.as_ref()?;
        ledger
            .holders_for(&waiting.request.customer)
            .into_iter()
            .map(|a| usize::from(a.port()) - 10_000)
            .filter(|i| !waiting.asked.contains(i))
            .find(|i| self.is_up(*i))
    }

    /// Whether the daemon on node `i` replies.
    fn is_up(&self, i: usize) -> bool {
        self.nodes[i].ledger.is_some() && self.now >= self.nodes[i].frozen_until
    }

    /// Daemon that decides about the tokens of a request at `origin`.
    fn holder_of(&self, origin: usize, customer: &str) -> Option<usize> {
        let node = &self.nodes[origin];
        let ledger = node.ledger.as_ref()?;
        if ledger.is_holder() {
            return Some(origin);
        }
        let holders = ledger.holders_for(customer).into_iter();
        let up =
            |i: &usize| self.nodes[*i].ledger.is_some() && self.now >= self.nodes[*i].frozen_until;
        let first = holders.map(|a| usize::from(a.port()) - 10_000).find(up);
        Some(first.unwrap_or(origin))
    }

    /// Sends the requests of this step.
    fn send_requests(&mut self) {
        for origin in 0..self.nodes.len() {
            let Some(request) = Request::draw(&mut self.random, origin, STEP_MS) else {
                continue;
            };
            if self.now < self.nodes[origin].frozen_until {
                continue;
            }
            let Some(holder) = self.holder_of(origin, &request.customer) else {
                continue;
            };
            self.outcome.asked += 1;
            let writes = self.nodes[holder].ledger.as_ref();
            let waiting = Waiting {
                request,
                since: self.now,
                writes_before: writes.map_or(0, Ledger::accepted_writes),
                asked: Vec::new(),
            };
            self.admit(holder, waiting, true);
        }
    }

    /// Counts a refused request; it would have fitted if it was within 97% of the limit.
    fn refuse(&mut self, request: &Request) {
        self.outcome.refused += 1;
        let reserved: u64 = self.usage(&request.customer, |r| r.cost);
        if reserved + request.cost <= self.limits[&request.customer] * 97 / 100 {
            self.outcome.refused_fitting += 1;
        }
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
