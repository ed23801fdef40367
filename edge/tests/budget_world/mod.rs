//! Deterministic simulation of several ledgers and a store, with lost and delayed writes, kills,
//! partitions and suspended VMs, on a simulated clock. The simulation counts the tokens that
//! requests really consume.

mod faults;
mod requests;
pub(crate) mod store;

use std::{
    collections::HashMap,
    time::{
        Duration,
        Instant, //
    },
};

use cuminloom_edge::prepaid::{
    Batch,
    CommitOutcome,
    Ledger,
    Reservation,
    Row,
    Rows,
    WritePlan, //
};
use rand::{
    RngExt,
    SeedableRng,
    rngs::StdRng, //
};
use store::FakeStore;

pub(crate) use faults::{
    Faults,
    Outcome, //
};

/// Length of one step, in milliseconds.
pub(crate) const STEP_MS: u64 = 50;

/// Interval between two writes of a daemon, in milliseconds, as in the daemon itself.
const WRITE_INTERVAL_MS: u64 = 400;

/// Interval between two reads of all rows, in milliseconds, as in the daemon itself.
const READ_INTERVAL_MS: u64 = 1000;

/// Time after which a daemon stops waiting for an answer of the store, in milliseconds.
const ANSWER_TIMEOUT_MS: u64 = 1200;

/// Random number from 0 to `n` - 1.
fn below(random: &mut StdRng, n: u64) -> u64 {
    random.random_range(0..n.max(1))
}

/// `true` with a probability of `percent`.
fn chance(random: &mut StdRng, percent: u64) -> bool {
    below(random, 100) < percent
}

/// An admitted request that has not finished; `ends` is the time of its end, in milliseconds.
struct OpenRequest {
    spending: Reservation,
    used: u64,
    ends: u64,
}

/// A VM with its daemon. Times are simulated milliseconds.
struct Node {
    name: String,
    /// Ledger of the running process; `None` between a kill and the restart.
    ledger: Option<Ledger>,
    restart_at: u64,
    partitioned_until: u64,
    frozen_until: u64,
    /// Monotonic clock of the VM.
    clock: u64,
    next_write: u64,
    next_read: u64,
    /// Time until which the daemon waits for the answer to a write.
    waiting_until: Option<u64>,
    open: Vec<OpenRequest>,
    /// Whether a restarted process knows that no previous one runs.
    exclusive: bool,
    /// Tokens that requests at this daemon really consumed.
    consumed: u64,
}

/// Simulated daemons and store.
pub(crate) struct World {
    pub(crate) store: FakeStore,
    random: StdRng,
    start: Instant,
    now: u64,
    nodes: Vec<Node>,
    /// Writes that the store applies later, with the time.
    delayed: Vec<(u64, Batch)>,
    limits: HashMap<String, u64>,
    /// Tokens that requests really consumed, by customer.
    consumed: HashMap<String, u64>,
    /// Number of processes started, which gives them their ids.
    processes: u64,
    faults: Faults,
    outcome: Outcome,
}

impl World {
    pub(crate) fn new(
        seed: u64,
        nodes: usize,
        limits: HashMap<String, u64>,
        faults: Faults,
    ) -> World {
        let mut world = World {
            store: FakeStore::default(),
            random: StdRng::seed_from_u64(seed),
            start: Instant::now(),
            now: 0,
            nodes: Vec::new(),
            delayed: Vec::new(),
            limits,
            consumed: HashMap::new(),
            processes: 0,
            faults,
            outcome: Outcome::default(),
        };
        for i in 0..nodes {
            let name = format!("vm-{i}");
            let ledger = Some(world.start_process(&name));
            world.nodes.push(Node {
                name,
                ledger,
                restart_at: 0,
                partitioned_until: 0,
                frozen_until: 0,
                clock: 0,
                next_write: 0,
                next_read: 0,
                waiting_until: None,
                open: Vec::new(),
                exclusive: true,
                consumed: 0,
            });
        }
        world
    }

    /// Ledger of a new process on the VM `name`.
    fn start_process(&mut self, name: &str) -> Ledger {
        self.processes += 1;
        let mut ledger = Ledger::new(name, self.processes, None);
        ledger.set_limits(self.limits.clone());
        ledger
    }

    /// Kills process `i` for `down_ms` while it is partitioned from the store for `partition_ms`.
    /// With `exclusive` the next process knows since when no previous one runs.
    pub(crate) fn restart_in_partition(
        &mut self,
        i: usize,
        down_ms: u64,
        partition_ms: u64,
        exclusive: bool,
    ) {
        self.kill(i, down_ms);
        self.nodes[i].partitioned_until = self.now + partition_ms;
        self.nodes[i].exclusive = exclusive;
    }

    /// Tokens that the row of daemon `i` counts as spent although its requests did not consume
    /// them.
    pub(crate) fn unspent_charge(&self, i: usize) -> u64 {
        let name = &self.nodes[i].name;
        let spent: u64 = self
            .store
            .daemons
            .get(name)
            .map_or(0, |(_, row)| row.grants.values().map(|g| g.spent).sum());
        spent.saturating_sub(self.nodes[i].consumed)
    }

    /// Raises the limit of `customer` by `tokens`.
    pub(crate) fn top_up(&mut self, customer: &str, tokens: u64) {
        *self.limits.entry(customer.to_owned()).or_default() += tokens;
        for node in &mut self.nodes {
            if let Some(ledger) = &mut node.ledger {
                ledger.set_limits(self.limits.clone());
            }
        }
    }

    /// Simulates `seconds` with `per_second` requests per second over all daemons.
    pub(crate) fn run(&mut self, seconds: u64, per_second: u64) -> Outcome {
        let end = self.now + seconds * 1000;
        while self.now < end {
            self.now += STEP_MS;
            self.store.keep_copy(self.now);
            self.inject_faults();
            self.restore_store();
            self.deliver_delayed();
            for i in 0..self.nodes.len() {
                self.step(i);
            }
            let requests = per_second * STEP_MS;
            let whole =
                requests / 1000 + u64::from(below(&mut self.random, 1000) < requests % 1000);
            for _ in 0..whole {
                self.request();
            }
            self.check();
        }
        self.outcome
    }

    /// Starts the faults that are due in this step.
    fn inject_faults(&mut self) {
        let second = self.now.is_multiple_of(1000);
        for i in 0..self.nodes.len() {
            let f = self.faults;
            if f.kill_all_at == Some(self.now) || (second && chance(&mut self.random, f.kill)) {
                let down = 500 + below(&mut self.random, 4000);
                self.kill(i, f.down_ms.unwrap_or(down));
            }
            if f.partition_all_at == Some(self.now)
                || (second && chance(&mut self.random, f.partition))
            {
                self.nodes[i].partitioned_until = self.now + 1000 + below(&mut self.random, 8000);
            }
            if second && chance(&mut self.random, f.freeze) {
                self.nodes[i].frozen_until = self.now + 500 + below(&mut self.random, 6000);
            }
        }
    }

    /// Begins and ends the outages after which the store comes back from a copy.
    fn restore_store(&mut self) {
        for outage in self.faults.restorations {
            if outage.at == self.now {
                for i in 0..self.nodes.len() {
                    let until = &mut self.nodes[i].partitioned_until;
                    *until = outage.end().max(*until);
                    if chance(&mut self.random, self.faults.kill_in_outage) {
                        let down = 500 + below(&mut self.random, 4000);
                        self.kill(i, self.faults.down_ms.unwrap_or(down));
                    }
                }
            }
            if outage.end() == self.now {
                self.store.restore(outage.at - outage.age);
            }
        }
    }

    /// Kills a process for `down_ms`. What its open requests have consumed is known only to the
    /// simulation.
    fn kill(&mut self, i: usize, down_ms: u64) {
        let open = std::mem::take(&mut self.nodes[i].open);
        for request in open {
            self.nodes[i].consumed += request.used;
            let customer = request.spending.customer.to_string();
            *self.consumed.entry(customer).or_default() += request.used;
        }
        self.nodes[i].ledger = None;
        self.nodes[i].waiting_until = None;
        self.nodes[i].restart_at = self.now + down_ms;
    }

    /// Applies the delayed writes that are due.
    fn deliver_delayed(&mut self) {
        let now = self.now;
        let due: Vec<Batch> = self
            .delayed
            .iter()
            .filter(|(at, _)| *at <= now)
            .map(|(_, b)| b.clone())
            .collect();
        self.delayed.retain(|(at, _)| *at > now);
        for batch in due {
            self.store.apply(&batch, now);
        }
    }

    /// Advances node `i` by one step: restart, finished requests, read and write.
    fn step(&mut self, i: usize) {
        if self.now < self.nodes[i].frozen_until {
            return;
        }
        if self.nodes[i].ledger.is_none() {
            if self.now < self.nodes[i].restart_at {
                return;
            }
            let name = self.nodes[i].name.clone();
            let mut ledger = self.start_process(&name);
            if self.nodes[i].exclusive {
                ledger.mark_exclusive(self.instant(i));
            }
            self.nodes[i].ledger = Some(ledger);
            self.nodes[i].next_read = 0;
        }
        // The monotonic clock of a suspended VM stands still.
        self.nodes[i].clock += STEP_MS;
        self.settle(i);
        if self.nodes[i]
            .waiting_until
            .is_some_and(|until| self.now < until)
        {
            return;
        }
        self.nodes[i].waiting_until = None;
        if self.now < self.nodes[i].partitioned_until {
            return;
        }
        self.read(i);
        self.write(i);
    }

    /// Time on the monotonic clock of node `i`.
    fn instant(&self, i: usize) -> Instant {
        self.start + Duration::from_millis(self.nodes[i].clock)
    }

    /// Settles the requests of node `i` that have finished.
    fn settle(&mut self, i: usize) {
        let (now, instant) = (self.now, self.instant(i));
        let node = &mut self.nodes[i];
        let Some(ledger) = &mut node.ledger else {
            return;
        };
        let (ended, open) = std::mem::take(&mut node.open)
            .into_iter()
            .partition(|r| r.ends <= now);
        node.open = open;
        let ended: Vec<OpenRequest> = ended;
        for request in ended {
            ledger.settle(&request.spending, request.used, instant);
            node.consumed += request.used;
            let customer = request.spending.customer.to_string();
            *self.consumed.entry(customer).or_default() += request.used;
        }
    }

    /// Reads all rows at node `i`, if that is due.
    fn read(&mut self, i: usize) {
        if self.now < self.nodes[i].next_read {
            return;
        }
        self.nodes[i].next_read = self.now + READ_INTERVAL_MS;
        let mut rows = self.store.rows(self.now);
        let name = self.nodes[i].name.clone();
        let owned = self.nodes[i].ledger.as_ref().is_some_and(Ledger::is_owned);
        if self.faults.trusting_restart && !owned {
            erase_row_age(&mut rows, &name);
        }
        let asked = self.instant(i);
        if let Some(ledger) = &mut self.nodes[i].ledger {
            ledger.apply_rows(rows, true, asked, asked);
            let audits = ledger.audits().values();
            self.outcome.unbalanced += audits.filter(|audit| !audit.is_balanced()).count();
        }
    }

    /// Writes the row of node `i`, if that is due or requests wait for tokens.
    fn write(&mut self, i: usize) {
        let instant = self.instant(i);
        let due = self.now >= self.nodes[i].next_write;
        let Some(ledger) = &mut self.nodes[i].ledger else {
            return;
        };
        if !due && !ledger.has_waiting() {
            return;
        }
        let Some(plan) = ledger.plan_write(instant, Default::default()) else {
            return;
        };
        self.nodes[i].next_write = self.now + WRITE_INTERVAL_MS;
        self.outcome.writes += 1;
        self.send(i, &plan, instant);
    }

    /// Sends a write to the store, which may lose the answer or apply the write later.
    fn send(&mut self, i: usize, plan: &WritePlan, instant: Instant) {
        if chance(&mut self.random, self.faults.delayed) {
            let at = self.now + 1000 + below(&mut self.random, 5000);
            self.delayed.push((at, plan.batch.clone()));
            self.nodes[i].waiting_until = Some(self.now + ANSWER_TIMEOUT_MS);
            return;
        }
        let commit = self.store.apply(&plan.batch, self.now);
        if chance(&mut self.random, self.faults.lost) {
            self.nodes[i].waiting_until = Some(self.now + ANSWER_TIMEOUT_MS);
            return;
        }
        if matches!(commit, CommitOutcome::Conflict(_)) {
            // Like the daemon, write again at once after a conflict.
            self.nodes[i].next_write = self.now;
        }
        if let Some(ledger) = &mut self.nodes[i].ledger {
            ledger.apply_outcome(plan, commit, instant);
        }
        self.tell(i);
    }

    /// Tells up to seven other daemons of the tokens that node `i` has drawn.
    fn tell(&mut self, i: usize) {
        let instant = self.instant(i);
        let ledger = self.nodes[i].ledger.as_mut();
        let Some(notice) = ledger.and_then(|l| l.take_notice(instant)) else {
            return;
        };
        let (now, count) = (self.now, self.nodes.len());
        let others = (1..count).map(|step| (i + step) % count);
        let up: Vec<usize> = others
            .filter(|j| self.nodes[*j].ledger.is_some() && now >= self.nodes[*j].frozen_until)
            .take(7)
            .collect();
        for j in &up {
            if let Some(ledger) = &mut self.nodes[*j].ledger {
                ledger.record_notice(notice.clone());
            }
        }
        if let Some(ledger) = self.nodes[i].ledger.as_mut().filter(|_| !up.is_empty()) {
            ledger.acknowledge(notice.number);
        }
    }

    /// Tokens of `customer` that were really consumed. Open requests count with the tokens that
    /// they will consume, or with their reservation if `reserved`.
    fn true_usage(&self, customer: &str, reserved: bool) -> u64 {
        let open: u64 = self
            .nodes
            .iter()
            .flat_map(|n| &n.open)
            .filter(|r| &*r.spending.customer == customer)
            .map(|r| if reserved { r.spending.cost } else { r.used })
            .sum();
        self.consumed.get(customer).copied().unwrap_or(0) + open
    }

    /// Compares what was consumed and committed with the limits.
    fn check(&mut self) {
        let names: Vec<String> = self.limits.keys().cloned().collect();
        for name in names {
            let over = self
                .true_usage(&name, false)
                .saturating_sub(self.limits[&name]);
            self.outcome.overspent = self.outcome.overspent.max(over);
            let (committed, caps) = self.store.committed(&name);
            let unequal = committed.abs_diff(caps) + committed.saturating_sub(self.limits[&name]);
            self.outcome.miscommitted = self.outcome.miscommitted.max(unequal);
        }
    }
}

/// Changes the row of the previous process as if nothing was spent after it was written.
fn erase_row_age(rows: &mut Rows, name: &str) {
    let now = rows.now;
    for row in &mut rows.rows {
        if let Row::Daemon(n, _, daemon) = row
            && n == name
        {
            daemon.seen = now;
            for grant in daemon.grants.values_mut() {
                grant.issued = grant.spent;
            }
        }
    }
}

/// Limits of `count` customers: the first one gets half of `total`, the others share the rest.
pub(crate) fn limits(count: usize, total: u64) -> HashMap<String, u64> {
    (0..count)
        .map(|i| {
            let part = if i == 0 {
                total / 2
            } else {
                total / 2 / (count as u64 - 1)
            };
            (format!("c{i}"), part)
        })
        .collect()
}
