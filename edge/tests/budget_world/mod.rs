//! Several ledgers, a store that loses and delays writes, kills, cuts and freezes, on a clock of its
//! own. The world counts what requests truly consume.

mod faults;
pub(crate) mod store;

use std::{
    collections::HashMap,
    time::{
        Duration,
        Instant, //
    },
};

use cuminloom_edge::prepaid::{
    Admission,
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

/// Time between two writes of a daemon, in milliseconds, as in the daemon itself.
const BEAT_MS: u64 = 400;

/// Time between two readings of all rows, in milliseconds, as in the daemon itself.
const READ_MS: u64 = 1000;

/// Time after which a daemon gives up an answer, in milliseconds.
const ANSWER_MS: u64 = 1200;

/// Writes that one request waits for at most, with conflicts.
const MAX_WRITES: usize = 8;

fn below(random: &mut StdRng, n: u64) -> u64 {
    random.random_range(0..n.max(1))
}

fn chance(random: &mut StdRng, percent: u64) -> bool {
    below(random, 100) < percent
}

struct OpenRequest {
    spending: Reservation,
    used: u64,
    ends: u64,
}

struct Node {
    name: String,
    ledger: Option<Ledger>,
    back: u64,
    cut: u64,
    frozen: u64,
    clock: u64,
    beat: u64,
    read: u64,
    waiting: Option<u64>,
    open: Vec<OpenRequest>,
    alone: bool,
    consumed: u64,
}

pub(crate) struct World {
    pub(crate) store: FakeStore,
    random: StdRng,
    start: Instant,
    now: u64,
    nodes: Vec<Node>,
    late: Vec<(u64, Batch)>,
    limits: HashMap<String, u64>,
    consumed: HashMap<String, u64>,
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
            late: Vec::new(),
            limits,
            consumed: HashMap::new(),
            processes: 0,
            faults,
            outcome: Outcome::default(),
        };
        for i in 0..nodes {
            let name = format!("vm-{i}");
            let ledger = Some(world.process(&name));
            world.nodes.push(Node {
                name,
                ledger,
                back: 0,
                cut: 0,
                frozen: 0,
                clock: 0,
                beat: 0,
                read: 0,
                waiting: None,
                open: Vec::new(),
                alone: true,
                consumed: 0,
            });
        }
        world
    }

    fn process(&mut self, name: &str) -> Ledger {
        self.processes += 1;
        let mut ledger = Ledger::new(name, self.processes, None);
        ledger.set_limits(self.limits.clone());
        ledger
    }

    /// Kills process `i` for `down` milliseconds in a cut of `cut` milliseconds. The process after it
    /// knows since when it is `alone`, or not.
    pub(crate) fn restart_in_cut(&mut self, i: usize, down: u64, cut: u64, alone: bool) {
        self.kill(i, down);
        self.nodes[i].cut = self.now + cut;
        self.nodes[i].alone = alone;
    }

    /// Tokens that the row of daemon `i` counts as spent beyond what its requests consumed.
    pub(crate) fn unspent_charge(&self, i: usize) -> u64 {
        let name = &self.nodes[i].name;
        let spent: u64 = self
            .store
            .daemons
            .get(name)
            .map_or(0, |(_, row)| row.grants.values().map(|g| g.spent).sum());
        spent.saturating_sub(self.nodes[i].consumed)
    }

    /// Raises the limit of `customer`.
    pub(crate) fn top_up(&mut self, customer: &str, tokens: u64) {
        *self.limits.entry(customer.to_owned()).or_default() += tokens;
        for node in &mut self.nodes {
            if let Some(ledger) = &mut node.ledger {
                ledger.set_limits(self.limits.clone());
            }
        }
    }

    /// Plays `seconds` with `per_second` requests a second in all.
    pub(crate) fn run(&mut self, seconds: u64, per_second: u64) -> Outcome {
        let end = self.now + seconds * 1000;
        while self.now < end {
            self.now += STEP_MS;
            self.strike();
            self.deliver_late();
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

    fn strike(&mut self) {
        let second = self.now.is_multiple_of(1000);
        for i in 0..self.nodes.len() {
            let f = self.faults;
            if f.kill_all_at == Some(self.now) || (second && chance(&mut self.random, f.kill)) {
                let down = 500 + below(&mut self.random, 4000);
                self.kill(i, f.down.unwrap_or(down));
            }
            if f.cut_all_at == Some(self.now) || (second && chance(&mut self.random, f.cut)) {
                self.nodes[i].cut = self.now + 1000 + below(&mut self.random, 8000);
            }
            if second && chance(&mut self.random, f.freeze) {
                self.nodes[i].frozen = self.now + 500 + below(&mut self.random, 6000);
            }
        }
    }

    /// Kills a process. What its open requests have consumed is only known to the world.
    fn kill(&mut self, i: usize, down: u64) {
        let open = std::mem::take(&mut self.nodes[i].open);
        for request in open {
            self.nodes[i].consumed += request.used;
            let customer = request.spending.customer.to_string();
            *self.consumed.entry(customer).or_default() += request.used;
        }
        self.nodes[i].ledger = None;
        self.nodes[i].waiting = None;
        self.nodes[i].back = self.now + down;
    }

    fn deliver_late(&mut self) {
        let now = self.now;
        let due: Vec<Batch> = self
            .late
            .iter()
            .filter(|(at, _)| *at <= now)
            .map(|(_, b)| b.clone())
            .collect();
        self.late.retain(|(at, _)| *at > now);
        for batch in due {
            self.store.apply(&batch, now);
        }
    }

    fn step(&mut self, i: usize) {
        if self.now < self.nodes[i].frozen {
            return;
        }
        if self.nodes[i].ledger.is_none() {
            if self.now < self.nodes[i].back {
                return;
            }
            let name = self.nodes[i].name.clone();
            let mut ledger = self.process(&name);
            if self.nodes[i].alone {
                ledger.note_exclusive(self.instant(i));
            }
            self.nodes[i].ledger = Some(ledger);
            self.nodes[i].read = 0;
        }
        // The steady clock of a suspended VM stands still.
        self.nodes[i].clock += STEP_MS;
        self.settle(i);
        if self.nodes[i].waiting.is_some_and(|until| self.now < until) {
            return;
        }
        self.nodes[i].waiting = None;
        if self.now < self.nodes[i].cut {
            return;
        }
        self.read(i);
        self.write(i);
    }

    fn instant(&self, i: usize) -> Instant {
        self.start + Duration::from_millis(self.nodes[i].clock)
    }

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

    fn read(&mut self, i: usize) {
        if self.now < self.nodes[i].read {
            return;
        }
        self.nodes[i].read = self.now + READ_MS;
        let mut rows = self.store.rows(self.now);
        let name = self.nodes[i].name.clone();
        let owned = self.nodes[i].ledger.as_ref().is_some_and(Ledger::is_owned);
        if self.faults.trusting_restart && !owned {
            trust(&mut rows, &name);
        }
        let asked = self.instant(i);
        if let Some(ledger) = &mut self.nodes[i].ledger {
            ledger.apply_rows(rows, true, asked, asked);
            let audits = ledger.audits().values();
            self.outcome.unbalanced += audits.filter(|audit| !audit.is_balanced()).count();
        }
    }

    fn write(&mut self, i: usize) {
        let instant = self.instant(i);
        let due = self.now >= self.nodes[i].beat;
        let Some(ledger) = &mut self.nodes[i].ledger else {
            return;
        };
        if !due && !ledger.has_waiting() {
            return;
        }
        let Some(plan) = ledger.plan_write(instant, Vec::new()) else {
            return;
        };
        self.nodes[i].beat = self.now + BEAT_MS;
        self.outcome.writes += 1;
        self.send(i, &plan, instant);
    }

    fn send(&mut self, i: usize, plan: &WritePlan, instant: Instant) {
        if chance(&mut self.random, self.faults.late) {
            let at = self.now + 1000 + below(&mut self.random, 5000);
            self.late.push((at, plan.batch.clone()));
            self.nodes[i].waiting = Some(self.now + ANSWER_MS);
            return;
        }
        let commit = self.store.apply(&plan.batch, self.now);
        if chance(&mut self.random, self.faults.lost) {
            self.nodes[i].waiting = Some(self.now + ANSWER_MS);
            return;
        }
        if matches!(commit, CommitOutcome::Conflict(_)) {
            // As the daemon does, write again at once.
            self.nodes[i].beat = self.now;
        }
        if let Some(ledger) = &mut self.nodes[i].ledger {
            ledger.apply_outcome(plan, commit, instant);
        }
    }

    fn request(&mut self) {
        let i = below(&mut self.random, self.nodes.len() as u64) as usize;
        let mut names: Vec<String> = self.limits.keys().cloned().collect();
        names.sort();
        // The first customer sends half of the requests.
        let pick = below(&mut self.random, 2 * names.len() as u64) as usize;
        let customer = names.get(pick).unwrap_or(&names[0]).clone();
        let cost =
            300 + below(&mut self.random, 3000) + u64::from(chance(&mut self.random, 10)) * 20_000;
        let used = cost / 2 + below(&mut self.random, cost / 2 + 1);
        let ends = self.now + 100 + below(&mut self.random, 3000);
        let instant = self.instant(i);
        if self.now < self.nodes[i].frozen {
            return;
        }
        let Some(ledger) = &mut self.nodes[i].ledger else {
            return;
        };
        self.outcome.asked += 1;
        match ledger.admit(&customer, cost, instant) {
            Admission::Taken => {
                let spending = Reservation {
                    customer: customer.as_str().into(),
                    cost,
                };
                self.outcome.served += 1;
                self.nodes[i].open.push(OpenRequest {
                    spending,
                    used,
                    ends,
                });
            }
            Admission::Grant => {
                ledger.adjust_waiting(&customer, cost, true);
                self.wait_for_grant(i, &customer, cost, used, ends);
            }
            _ => self.refuse(&customer, cost),
        }
    }

    /// Writes until the tokens are there or two writes were accepted without them.
    fn wait_for_grant(&mut self, i: usize, customer: &str, cost: u64, used: u64, ends: u64) {
        let instant = self.instant(i);
        let begun = self.nodes[i]
            .ledger
            .as_ref()
            .map_or(0, Ledger::accepted_writes);
        let mut admit = Admission::Grant;
        for _ in 0..MAX_WRITES {
            let idle = self.nodes[i].waiting.is_none() && self.now >= self.nodes[i].cut;
            if idle {
                self.write(i);
            }
            let Some(ledger) = &mut self.nodes[i].ledger else {
                return;
            };
            admit = ledger.admit(customer, cost, instant);
            if admit != Admission::Grant || !idle || ledger.accepted_writes() >= begun + 2 {
                break;
            }
        }
        if let Some(ledger) = &mut self.nodes[i].ledger {
            ledger.adjust_waiting(customer, cost, false);
        }
        if admit != Admission::Taken {
            self.refuse(customer, cost);
            return;
        }
        self.outcome.served += 1;
        let spending = Reservation {
            customer: customer.into(),
            cost,
        };
        self.nodes[i].open.push(OpenRequest {
            spending,
            used,
            ends,
        });
    }

    fn refuse(&mut self, customer: &str, cost: u64) {
        self.outcome.refused += 1;
        let limit = self.limits[customer] * 97 / 100;
        if self.truth(customer, true) + cost <= limit {
            self.outcome.refused_fitting += 1;
        }
    }

    /// Tokens that were consumed; open requests count as what they consume, or at their most.
    fn truth(&self, customer: &str, most: bool) -> u64 {
        let open: u64 = self
            .nodes
            .iter()
            .flat_map(|n| &n.open)
            .filter(|r| &*r.spending.customer == customer)
            .map(|r| if most { r.spending.cost } else { r.used })
            .sum();
        self.consumed.get(customer).copied().unwrap_or(0) + open
    }

    fn check(&mut self) {
        let names: Vec<String> = self.limits.keys().cloned().collect();
        for name in names {
            let over = self.truth(&name, false).saturating_sub(self.limits[&name]);
            self.outcome.overspent = self.outcome.overspent.max(over);
            let (committed, caps) = self.store.committed(&name);
            let unequal = committed.abs_diff(caps) + committed.saturating_sub(self.limits[&name]);
            self.outcome.uncommitted = self.outcome.uncommitted.max(unequal);
        }
    }
}

/// Makes the row of the process before look as if nothing was spent after it was written.
fn trust(rows: &mut Rows, name: &str) {
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

/// Limits of `count` customers, the first one with half of `total`.
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
