//! Baselines with which the budget mechanism is compared. They are modelled in their favour: no
//! message takes time, no commit conflicts, and an open request of a crashed daemon is settled by
//! its target.

use std::{
    cmp::Reverse,
    collections::BinaryHeap, //
};

use cuminloom::model::Tokens;

use super::{
    ledger::{
        Ledger,
        Outcome, //
    },
    trace::{
        DAEMONS,
        DCS,
        HOT_DC,
        Span,
        Trace, //
    },
};

/// The way in which a baseline holds tokens. `holder` is the daemon that has the request.
trait Baseline {
    /// Reserves `bound` or refuses.
    fn reserve(&mut self, at: u64, holder: usize, budget: usize, bound: Tokens) -> bool;
    /// Returns the tokens that the request did not use.
    fn refund(&mut self, at: u64, holder: usize, budget: usize, tokens: Tokens);
    /// Raises the limit of a budget.
    fn top_up(&mut self, at: u64, budget: usize, tokens: Tokens);
    /// Handles the crash of a daemon; returns the tokens that nobody can use any more.
    fn crash(&mut self, holder: usize) -> Tokens;
    /// Numbers of reads and writes of the table.
    fn table_calls(&self) -> (u64, u64);
}

/// End of a request: time, number of the request, and the daemon that holds its reservation.
type RequestEnd = Reverse<(u64, usize, usize)>;

/// Runs a trace with a baseline.
fn run_baseline(trace: &Trace, scheme: &mut impl Baseline) -> Outcome {
    let mut ledger = Ledger::new(trace);
    let mut ends: BinaryHeap<RequestEnd> = BinaryHeap::new();
    let (mut topups, mut crashes) = (
        trace.topups.iter().peekable(),
        trace.crashes.iter().peekable(),
    );
    let mut orphaned = 0;
    for (n, req) in trace.reqs.iter().enumerate() {
        orphaned += end_due(trace, scheme, &mut ledger, &mut ends, req.at);
        ledger.set_orphaned(orphaned);
        while let Some((_, b, tokens)) = topups.next_if(|(at, ..)| *at <= req.at) {
            ledger.top_up(*b, *tokens);
            scheme.top_up(req.at, *b, *tokens);
        }
        while let Some((daemon, _)) = crashes.next_if(|(_, at)| *at <= req.at) {
            orphaned += scheme.crash(*daemon);
        }
        let holder = trace.serving_daemon(req.at, req.daemon);
        if scheme.reserve(req.at, holder, req.budget, req.bound) {
            ledger.start_request(req.budget, req.bound);
            ends.push(Reverse((req.at + req.duration_ms, n, holder)));
        } else {
            ledger.refuse(req.budget, req.bound);
        }
    }
    orphaned += end_due(trace, scheme, &mut ledger, &mut ends, u64::MAX);
    ledger.set_orphaned(orphaned);
    (ledger.outcome.reads, ledger.outcome.budget_writes) = scheme.table_calls();
    ledger.outcome
}

/// Ends the requests that are due; returns the tokens of reservations that nobody can settle any
/// more.
fn end_due(
    trace: &Trace,
    scheme: &mut impl Baseline,
    ledger: &mut Ledger,
    ends: &mut BinaryHeap<RequestEnd>,
    now: u64,
) -> Tokens {
    let mut orphaned = 0;
    while let Some(Reverse((at, n, holder))) = ends.peek().copied().filter(|e| e.0.0 <= now) {
        ends.pop();
        let req = &trace.reqs[n];
        ledger.end_request(req.budget, req.bound, req.tokens);
        // The reservations of a crashed daemon are lost with it.
        let lost = trace
            .crashes
            .iter()
            .any(|(d, t)| *d == holder && (req.at..at).contains(t));
        match lost {
            true => orphaned += req.bound - req.tokens,
            false => scheme.refund(at, holder, req.budget, req.bound - req.tokens),
        }
    }
    orphaned
}

/// A fixed part of each limit for each data centre, by its number of daemons. The part survives
/// the crash of a daemon.
struct StaticSplit {
    parts: Vec<[Tokens; 4]>,
    cut: Span,
    /// Budget and tokens of top-ups that the data centre that is cut off gets after the cut.
    late_top_ups: Vec<(usize, Tokens)>,
}

impl StaticSplit {
    /// Part of a limit or top-up that a data centre gets.
    fn part(tokens: Tokens, dc: usize) -> Tokens {
        let daemons = DCS.iter().filter(|d| **d == dc).count() as Tokens;
        tokens * daemons / DAEMONS as Tokens
    }
}

impl Baseline for StaticSplit {
    fn reserve(&mut self, at: u64, holder: usize, budget: usize, bound: Tokens) -> bool {
        if !self.cut.contains(&at) {
            for (budget, part) in self.late_top_ups.drain(..) {
                self.parts[budget][HOT_DC] += part;
            }
        }
        let part = &mut self.parts[budget][DCS[holder]];
        let held = *part >= bound;
        *part -= if held { bound } else { 0 };
        held
    }

    fn refund(&mut self, _: u64, holder: usize, budget: usize, tokens: Tokens) {
        self.parts[budget][DCS[holder]] += tokens;
    }

    fn top_up(&mut self, at: u64, budget: usize, tokens: Tokens) {
        for dc in 0..4 {
            let part = Self::part(tokens, dc);
            match dc == HOT_DC && self.cut.contains(&at) {
                true => self.late_top_ups.push((budget, part)),
                false => self.parts[budget][dc] += part,
            }
        }
    }

    fn crash(&mut self, _: usize) -> Tokens {
        0
    }

    fn table_calls(&self) -> (u64, u64) {
        (0, 0)
    }
}

/// Runs a static split of every budget.
pub(crate) fn run_split(trace: &Trace) -> Outcome {
    let part = |limit: &Tokens| std::array::from_fn(|dc| StaticSplit::part(*limit, dc));
    let parts = trace.limits.iter().map(part).collect();
    let mut scheme = StaticSplit {
        parts,
        cut: trace.cut.clone(),
        late_top_ups: Vec::new(),
    };
    run_baseline(trace, &mut scheme)
}

/// Each request reserves and settles in the table, with a read and a commit each.
struct TableCheck<'a> {
    trace: &'a Trace,
    free: Vec<Tokens>,
    settles: u64,
    reads: u64,
    writes: u64,
}

impl Baseline for TableCheck<'_> {
    fn reserve(&mut self, at: u64, holder: usize, budget: usize, bound: Tokens) -> bool {
        if !self.trace.reaches(at, holder) {
            return false;
        }
        self.reads += 1;
        let held = self.free[budget] >= bound;
        self.free[budget] -= if held { bound } else { 0 };
        self.writes += u64::from(held);
        held
    }

    // A settlement during an outage would be written after it; counting it at once favours this
    // baseline.
    fn refund(&mut self, _: u64, _: usize, budget: usize, tokens: Tokens) {
        self.free[budget] += tokens;
        self.settles += 1;
    }

    fn top_up(&mut self, _: u64, budget: usize, tokens: Tokens) {
        self.free[budget] += tokens;
    }

    fn crash(&mut self, _: usize) -> Tokens {
        0
    }

    fn table_calls(&self) -> (u64, u64) {
        (self.reads + self.settles, self.writes + self.settles)
    }
}

/// Runs a check of the table for each request.
pub(crate) fn run_check(trace: &Trace) -> Outcome {
    let free = trace.limits.clone();
    let mut scheme = TableCheck {
        trace,
        free,
        settles: 0,
        reads: 0,
        writes: 0,
    };
    run_baseline(trace, &mut scheme)
}

/// Grants of a fixed size, renewed when half of one is left.
struct FixedGrants<'a> {
    trace: &'a Trace,
    free: Vec<Tokens>,
    size: Vec<[Tokens; DAEMONS]>,
    held: Vec<[Tokens; DAEMONS]>,
    writes: u64,
    reads: u64,
}

impl Baseline for FixedGrants<'_> {
    fn reserve(&mut self, at: u64, holder: usize, budget: usize, bound: Tokens) -> bool {
        let size = self.size[budget][holder];
        let held = &mut self.held[budget][holder];
        if *held < bound.max(size / 2) && self.trace.reaches(at, holder) {
            self.reads += 1;
            let grant = size.max(bound).min(self.free[budget]);
            self.free[budget] -= grant;
            *held += grant;
            self.writes += u64::from(grant > 0);
        }
        let ok = *held >= bound;
        *held -= if ok { bound } else { 0 };
        ok
    }

    fn refund(&mut self, _: u64, holder: usize, budget: usize, tokens: Tokens) {
        self.held[budget][holder] += tokens;
    }

    fn top_up(&mut self, _: u64, budget: usize, tokens: Tokens) {
        self.free[budget] += tokens;
    }

    fn crash(&mut self, holder: usize) -> Tokens {
        let lost = self
            .held
            .iter_mut()
            .map(|held| std::mem::take(&mut held[holder]));
        lost.sum()
    }

    fn table_calls(&self) -> (u64, u64) {
        (self.reads, self.writes)
    }
}

/// Runs grants of `seconds` of each daemon's mean demand over the whole run.
pub(crate) fn run_grants(trace: &Trace, seconds: u64) -> Outcome {
    let size = |b: usize| {
        std::array::from_fn(|d| (trace.mean_demand(d, Some(b)) * seconds as f64) as Tokens)
    };
    let budgets = trace.limits.len();
    let mut scheme = FixedGrants {
        trace,
        free: trace.limits.clone(),
        size: (0..budgets).map(size).collect(),
        held: vec![[0; DAEMONS]; budgets],
        writes: 0,
        reads: 0,
    };
    run_baseline(trace, &mut scheme)
}
