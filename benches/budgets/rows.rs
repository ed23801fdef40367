//! The grants of `cuminloom_edge::prepaid`, which the users' machines run, over the same requests
//! and faults. A replaced VM keeps its name, so that the new daemon on it takes over the row.

#[allow(dead_code)] // Only the seeded runs of the edge crate use all of it.
#[path = "../../edge/tests/budget_world/store.rs"]
mod store;

use std::{
    cmp::Reverse,
    collections::{
        BinaryHeap,
        HashMap, //
    },
    time::{
        Duration,
        Instant, //
    },
};

use cuminloom::model::Tokens;
use cuminloom_edge::prepaid::{
    Admission,
    CommitOutcome,
    Ledger as Grants,
    Reservation,
    WRITE_INTERVAL,
    WritePlan, //
};
use store::FakeStore;

use super::{
    ledger::{
        Ledger,
        Outcome, //
    },
    platform::budget_name,
    trace::{
        DAEMONS,
        DEADLINE_MS,
        Trace, //
    },
};

/// Time before the first request, as in the fleet with shares.
const WARM_UP_MS: u64 = 10_000;
/// Length of a simulation step.
const STEP_MS: u64 = 50;
/// Interval at which a daemon reads all rows, as in the edge daemon.
const READ_INTERVAL_MS: u64 = 1_000;
/// Longest wait of a request for a write that brings tokens, as in the edge daemon.
const MAX_GRANT_WAIT_MS: u64 = 1_200;
/// Accepted writes after which a daemon knows whether the store has tokens, as in the edge daemon.
const MIN_GRANT_WRITES: u64 = 2;
/// Most writes of a daemon in one step: a regular one and repetitions after conflicts.
const MAX_STEP_WRITES: usize = 8;

/// A request that waits for tokens.
struct Waiting {
    /// Index of the request in the trace.
    number: usize,
    /// When the request arrived at the daemon.
    since: u64,
    /// Accepted writes of the daemon at that time.
    writes_before: u64,
}

/// A VM and the daemon's grants on it, if it runs.
struct Process {
    grants: Option<Grants>,
    generation: u64,
    next_write: u64,
    next_read: u64,
    waiting: Vec<Waiting>,
    /// Tokens that requests sent from this VM truly use, by budget.
    sent_tokens: HashMap<usize, Tokens>,
    /// The loss at the takeover of the row is still to be counted.
    takeover_pending: bool,
}

struct Fleet<'a> {
    trace: &'a Trace,
    start: Instant,
    now: u64,
    store: FakeStore,
    limits: HashMap<String, u64>,
    procs: Vec<Process>,
    /// End of each open request: time, index in the trace, daemon and its generation.
    ends: BinaryHeap<Reverse<(u64, usize, usize, u64)>>,
    orphaned: Tokens,
    ledger: Ledger,
}

/// Runs a trace with grants in rows.
pub(crate) fn run(trace: &Trace) -> Outcome {
    let limits = trace.limits.iter().enumerate();
    let mut fleet = Fleet {
        trace,
        start: Instant::now(),
        now: 0,
        store: FakeStore::default(),
        limits: limits.map(|(b, limit)| (budget_name(b), *limit)).collect(),
        procs: Vec::new(),
        ends: BinaryHeap::new(),
        orphaned: 0,
        ledger: Ledger::new(trace),
    };
    for p in 0..DAEMONS {
        fleet.procs.push(Process {
            grants: None,
            generation: 0,
            next_write: 0,
            next_read: 0,
            waiting: Vec::new(),
            sent_tokens: HashMap::new(),
            takeover_pending: false,
        });
        fleet.start_daemon(p);
    }
    let mut reqs = trace.reqs.iter().enumerate().peekable();
    let mut topups = trace.topups.iter().peekable();
    let mut crashes = trace.crashes.iter().peekable();
    for step in 0..(WARM_UP_MS + trace.end_ms + 60_000) / STEP_MS {
        fleet.now = step * STEP_MS;
        let due = |at: u64| at + WARM_UP_MS <= step * STEP_MS;
        fleet.end_requests();
        while let Some((_, b, tokens)) = topups.next_if(|(at, ..)| due(*at)) {
            fleet.ledger.top_up(*b, *tokens);
            *fleet.limits.entry(budget_name(*b)).or_default() += tokens;
        }
        while let Some((daemon, _)) = crashes.next_if(|(_, at)| due(*at)) {
            fleet.crash(*daemon);
        }
        while let Some((n, req)) = reqs.next_if(|(_, req)| due(req.at)) {
            fleet.submit(trace.serving_daemon(req.at, req.daemon), n);
        }
        for p in 0..DAEMONS {
            fleet.run_step(p);
        }
    }
    fleet.ledger.outcome
}

impl Fleet<'_> {
    /// Present time as an `Instant`.
    fn instant(&self) -> Instant {
        self.start + Duration::from_millis(self.now)
    }

    /// Present time of the trace, in ms from its first request.
    fn trace_time(&self) -> u64 {
        self.now.saturating_sub(WARM_UP_MS)
    }

    /// Starts a daemon, which takes over the row of an earlier one.
    fn start_daemon(&mut self, p: usize) {
        let now = self.instant();
        let proc = &mut self.procs[p];
        proc.generation += 1;
        let mut grants = Grants::new(&format!("vm-{p}"), proc.generation, None);
        grants.mark_exclusive(now);
        proc.grants = Some(grants);
        (proc.next_write, proc.next_read) = (self.now, self.now);
        proc.takeover_pending = proc.generation > 1;
    }

    /// Ends a daemon; its waiting callers try another one.
    fn crash(&mut self, p: usize) {
        self.procs[p].grants = None;
        for waiting in std::mem::take(&mut self.procs[p].waiting) {
            let q = self.trace.serving_daemon(self.trace_time(), p);
            self.submit(q, waiting.number);
        }
    }

    /// Ends the requests that are due.
    fn end_requests(&mut self) {
        let now = self.instant();
        let due = |end: &Reverse<(u64, usize, usize, u64)>| end.0.0 <= self.now;
        while let Some(Reverse((_, n, p, generation))) = self.ends.peek().copied().filter(due) {
            self.ends.pop();
            let req = &self.trace.reqs[n];
            self.ledger.end_request(req.budget, req.bound, req.tokens);
            let proc = &mut self.procs[p];
            let live = proc
                .grants
                .as_mut()
                .filter(|_| proc.generation == generation);
            if let Some(grants) = live {
                let spending = Reservation {
                    customer: budget_name(req.budget).into(),
                    cost: req.bound,
                };
                grants.settle(&spending, req.tokens, now);
            }
        }
    }

    /// Offers a request of the trace to daemon `p` for the first time.
    fn submit(&mut self, p: usize, number: usize) {
        let writes_before = self.procs[p]
            .grants
            .as_ref()
            .map_or(0, Grants::accepted_writes);
        let waiting = Waiting {
            number,
            since: self.now,
            writes_before,
        };
        self.try_admit(p, waiting, true);
    }

    /// Tries to take the tokens of a request; lets it wait or refuses it as the edge daemon does.
    fn try_admit(&mut self, p: usize, waiting: Waiting, first: bool) {
        let now = self.instant();
        let req = &self.trace.reqs[waiting.number];
        let budget = budget_name(req.budget);
        let proc = &mut self.procs[p];
        let Some(grants) = &mut proc.grants else {
            return self.ledger.refuse(req.budget, req.bound);
        };
        let admit = grants.admit(&budget, req.bound, now);
        let waited = self.now - waiting.since;
        let stays = match admit {
            Admission::Taken | Admission::Exhausted | Admission::Blocked | Admission::Refused => {
                false
            }
            Admission::Release(time) => waited + time.as_millis() as u64 <= DEADLINE_MS,
            Admission::Grant => {
                let known = grants.accepted_writes() - waiting.writes_before >= MIN_GRANT_WRITES;
                waited <= MAX_GRANT_WAIT_MS
                    && !(known && grants.is_pool_short(&budget, req.bound, now))
            }
        };
        if stays {
            if first {
                grants.adjust_waiting(&budget, req.bound, true);
            }
            return proc.waiting.push(waiting);
        }
        if !first {
            grants.adjust_waiting(&budget, req.bound, false);
        }
        if admit != Admission::Taken {
            return self.ledger.refuse(req.budget, req.bound);
        }
        *proc.sent_tokens.entry(req.budget).or_default() += req.tokens;
        self.ledger.start_request(req.budget, req.bound);
        let end = (
            self.now + req.duration_ms,
            waiting.number,
            p,
            proc.generation,
        );
        self.ends.push(Reverse(end));
    }

    /// Runs a step of one daemon: start, reads, writes and waiting requests.
    fn run_step(&mut self, p: usize) {
        if self.procs[p].grants.is_none() && !self.trace.is_down(self.trace_time(), p) {
            self.start_daemon(p);
        }
        if self.trace.reaches(self.trace_time(), p) {
            self.read_rows(p);
            self.write_row(p);
        }
        for waiting in std::mem::take(&mut self.procs[p].waiting) {
            self.try_admit(p, waiting, false);
        }
    }

    /// Reads all rows if it is time.
    fn read_rows(&mut self, p: usize) {
        let now = self.instant();
        let proc = &mut self.procs[p];
        let Some(grants) = proc.grants.as_mut().filter(|_| self.now >= proc.next_read) else {
            return;
        };
        proc.next_read = self.now + READ_INTERVAL_MS;
        self.ledger.outcome.reads += 1;
        grants.set_limits(self.limits.clone());
        grants.apply_rows(self.store.rows(self.now), true, now, now);
    }

    /// Writes the daemon's row if it is time or requests wait; repeats after conflicts.
    fn write_row(&mut self, p: usize) {
        let now = self.instant();
        for _ in 0..MAX_STEP_WRITES {
            let proc = &mut self.procs[p];
            let Some(grants) = &mut proc.grants else {
                return;
            };
            if self.now < proc.next_write && !grants.has_waiting() {
                return;
            }
            proc.next_write = self.now + WRITE_INTERVAL.as_millis() as u64;
            let Some(plan) = grants.plan_write(now, Default::default()) else {
                return;
            };
            let plan: WritePlan = plan;
            let commit = self.store.apply(&plan.batch, self.now);
            self.ledger.outcome.budget_writes += 1;
            let conflict = matches!(commit, CommitOutcome::Conflict(_));
            grants.apply_outcome(&plan, commit, now);
            if !conflict {
                return self.add_takeover_loss(p);
            }
        }
    }

    /// After a takeover, counts the tokens that the successor charges beyond those truly used.
    fn add_takeover_loss(&mut self, p: usize) {
        let proc = &mut self.procs[p];
        if !std::mem::take(&mut proc.takeover_pending) {
            return;
        }
        let grants = proc.grants.as_ref().expect("it has just written");
        for budget in 0..self.trace.limits.len() {
            let charged = grants.held_and_used(&budget_name(budget)).1;
            let sent = proc.sent_tokens.get(&budget).copied().unwrap_or(0);
            self.orphaned += charged.saturating_sub(sent);
        }
        self.ledger.set_orphaned(self.orphaned);
    }
}
