//! The grants of `cuminloom_edge::prepaid`, which the users' machines run, over the same requests and
//! faults. A replaced VM keeps its name, so that the daemon on it takes the row over.

#[allow(dead_code)] // The seeded runs use the rest of it.
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
    platform::name,
    trace::{
        DAEMONS,
        DEADLINE_MS,
        Trace, //
    },
};

/// Time before the first request, as for the other fleet.
const WARM_MS: u64 = 10_000;
/// Length of a step, in ms.
const STEP_MS: u64 = 50;
/// Time between two readings of all rows, in ms, as in the daemon.
const READ_MS: u64 = 1_000;
/// Longest wait for a write that brings tokens, in ms, as in the daemon.
const GRANT_MS: u64 = 1_200;
/// Writes after which it is known whether the store has tokens, as in the daemon.
const GRANT_WRITES: u64 = 2;
/// Writes of one step at most: one for the beat and others after conflicts.
const MAX_WRITES: usize = 8;

/// A request that waits for tokens.
struct Waiting {
    number: usize,
    since: u64,
    landings: u64,
}

struct Proc {
    grants: Option<Grants>,
    generation: u64,
    beat: u64,
    read: u64,
    waiting: Vec<Waiting>,
    /// Tokens of requests that were sent from this VM, by budget, as they truly are.
    sent: HashMap<usize, Tokens>,
    /// Whether the loss at the takeover is still to be added up.
    taking: bool,
}

struct Fleet<'a> {
    trace: &'a Trace,
    start: Instant,
    now: u64,
    store: FakeStore,
    limits: HashMap<String, u64>,
    procs: Vec<Proc>,
    /// Time, request, daemon and its generation.
    ends: BinaryHeap<Reverse<(u64, usize, usize, u64)>>,
    orphaned: Tokens,
    ledger: Ledger,
}

/// Runs the fleet.
pub(crate) fn run(trace: &Trace) -> Outcome {
    let limits = trace.limits.iter().enumerate();
    let mut fleet = Fleet {
        trace,
        start: Instant::now(),
        now: 0,
        store: FakeStore::default(),
        limits: limits.map(|(b, limit)| (name(b), *limit)).collect(),
        procs: Vec::new(),
        ends: BinaryHeap::new(),
        orphaned: 0,
        ledger: Ledger::new(trace),
    };
    for p in 0..DAEMONS {
        fleet.procs.push(Proc {
            grants: None,
            generation: 0,
            beat: 0,
            read: 0,
            waiting: Vec::new(),
            sent: HashMap::new(),
            taking: false,
        });
        fleet.start(p);
    }
    let mut reqs = trace.reqs.iter().enumerate().peekable();
    let mut topups = trace.topups.iter().peekable();
    let mut crashes = trace.crashes.iter().peekable();
    for step in 0..(WARM_MS + trace.end + 60_000) / STEP_MS {
        fleet.now = step * STEP_MS;
        let due = |at: u64| at + WARM_MS <= step * STEP_MS;
        fleet.end_requests();
        while let Some((_, b, tokens)) = topups.next_if(|(at, ..)| due(*at)) {
            fleet.ledger.top_up(*b, *tokens);
            *fleet.limits.entry(name(*b)).or_default() += tokens;
        }
        while let Some((daemon, _)) = crashes.next_if(|(_, at)| due(*at)) {
            fleet.crash(*daemon);
        }
        while let Some((n, req)) = reqs.next_if(|(_, req)| due(req.at)) {
            fleet.offer(trace.target(req.at, req.daemon), n);
        }
        for p in 0..DAEMONS {
            fleet.step(p);
        }
    }
    fleet.ledger.out
}

impl Fleet<'_> {
    fn instant(&self) -> Instant {
        self.start + Duration::from_millis(self.now)
    }

    /// Time of the trace.
    fn at(&self) -> u64 {
        self.now.saturating_sub(WARM_MS)
    }

    fn start(&mut self, p: usize) {
        let now = self.instant();
        let proc = &mut self.procs[p];
        proc.generation += 1;
        let mut grants = Grants::new(&format!("vm-{p}"), proc.generation, None);
        grants.note_exclusive(now);
        proc.grants = Some(grants);
        (proc.beat, proc.read) = (self.now, self.now);
        proc.taking = proc.generation > 1;
    }

    fn crash(&mut self, p: usize) {
        self.procs[p].grants = None;
        for waiting in std::mem::take(&mut self.procs[p].waiting) {
            let q = self.trace.target(self.at(), p);
            self.offer(q, waiting.number);
        }
    }

    fn end_requests(&mut self) {
        let now = self.instant();
        let due = |end: &Reverse<(u64, usize, usize, u64)>| end.0.0 <= self.now;
        while let Some(Reverse((_, n, p, generation))) = self.ends.peek().copied().filter(due) {
            self.ends.pop();
            let req = &self.trace.reqs[n];
            self.ledger.end(req.budget, req.bound, req.tokens);
            let proc = &mut self.procs[p];
            let live = proc
                .grants
                .as_mut()
                .filter(|_| proc.generation == generation);
            if let Some(grants) = live {
                let spending = Reservation {
                    customer: name(req.budget).into(),
                    cost: req.bound,
                };
                grants.settle(&spending, req.tokens, now);
            }
        }
    }

    fn offer(&mut self, p: usize, number: usize) {
        let landings = self.procs[p]
            .grants
            .as_ref()
            .map_or(0, Grants::accepted_writes);
        let waiting = Waiting {
            number,
            since: self.now,
            landings,
        };
        self.ask(p, waiting, true);
    }

    /// Asks for the tokens of a request; waits or refuses as the daemon does.
    fn ask(&mut self, p: usize, waiting: Waiting, first: bool) {
        let now = self.instant();
        let req = &self.trace.reqs[waiting.number];
        let budget = name(req.budget);
        let proc = &mut self.procs[p];
        let Some(grants) = &mut proc.grants else {
            return self.ledger.refuse(req.budget, req.bound);
        };
        let admit = grants.admit(&budget, req.bound, now);
        let waited = self.now - waiting.since;
        let stays = match admit {
            Admission::Taken | Admission::Exhausted | Admission::Refused => false,
            Admission::Release(time) => waited + time.as_millis() as u64 <= DEADLINE_MS,
            Admission::Grant => {
                let known = grants.accepted_writes() - waiting.landings >= GRANT_WRITES;
                waited <= GRANT_MS && !(known && grants.is_pool_short(&budget, req.bound, now))
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
        *proc.sent.entry(req.budget).or_default() += req.tokens;
        self.ledger.begin(req.budget, req.bound);
        let end = (self.now + req.lasts, waiting.number, p, proc.generation);
        self.ends.push(Reverse(end));
    }

    fn step(&mut self, p: usize) {
        if self.procs[p].grants.is_none() && !self.trace.is_down(self.at(), p) {
            self.start(p);
        }
        if self.trace.reaches(self.at(), p) {
            self.read(p);
            self.write(p);
        }
        for waiting in std::mem::take(&mut self.procs[p].waiting) {
            self.ask(p, waiting, false);
        }
    }

    fn read(&mut self, p: usize) {
        let now = self.instant();
        let proc = &mut self.procs[p];
        let Some(grants) = proc.grants.as_mut().filter(|_| self.now >= proc.read) else {
            return;
        };
        proc.read = self.now + READ_MS;
        self.ledger.out.reads += 1;
        grants.set_limits(self.limits.clone());
        grants.apply_rows(self.store.rows(self.now), true, now, now);
    }

    fn write(&mut self, p: usize) {
        let now = self.instant();
        for _ in 0..MAX_WRITES {
            let proc = &mut self.procs[p];
            let Some(grants) = &mut proc.grants else {
                return;
            };
            if self.now < proc.beat && !grants.has_waiting() {
                return;
            }
            proc.beat = self.now + WRITE_INTERVAL.as_millis() as u64;
            let Some(plan) = grants.plan_write(now, Vec::new()) else {
                return;
            };
            let plan: WritePlan = plan;
            let commit = self.store.apply(&plan.batch, self.now);
            self.ledger.out.writes += 1;
            let conflict = matches!(commit, CommitOutcome::Conflict(_));
            grants.apply_outcome(&plan, commit, now);
            if !conflict {
                return self.add_loss(p);
            }
        }
    }

    /// Adds up what a successor charges without knowing.
    fn add_loss(&mut self, p: usize) {
        let proc = &mut self.procs[p];
        if !std::mem::take(&mut proc.taking) {
            return;
        }
        let grants = proc.grants.as_ref().expect("it has just written");
        for budget in 0..self.trace.limits.len() {
            let charged = grants.held_and_used(&name(budget)).1;
            let sent = proc.sent.get(&budget).copied().unwrap_or(0);
            self.orphaned += charged.saturating_sub(sent);
        }
        self.ledger.orphans(self.orphaned);
    }
}
