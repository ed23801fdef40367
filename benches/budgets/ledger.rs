//! The true consumption of the whole fleet, by which the results of a mechanism are judged.

use cuminloom::model::Tokens;

use super::trace::Trace;

/// Result of one run.
#[derive(Clone, Debug, Default)]
pub(crate) struct Outcome {
    /// Most tokens consumed beyond the limit of any budget.
    pub(crate) overspend: Tokens,
    pub(crate) requests: u64,
    pub(crate) served: u64,
    /// Requests refused although `limit - consumed - reserved` was at least their bound.
    pub(crate) false_refusals: u64,
    pub(crate) refused: u64,
    pub(crate) reads: u64,
    /// Writes of budget rows.
    pub(crate) budget_writes: u64,
    /// All other platform writes: bills, ledgers, fence rows, seals.
    pub(crate) other_writes: u64,
    /// Orphaned tokens at the end.
    pub(crate) orphaned: Tokens,
    /// Most orphaned tokens at any time.
    pub(crate) max_orphaned: Tokens,
    /// Tokens that daemons had issued when they crashed and that were not spent, added up.
    pub(crate) issued_lost: Tokens,
}

impl Outcome {
    /// False refusals as a share of the requests that could safely have run.
    pub(crate) fn refusal_share(&self) -> f64 {
        self.false_refusals as f64 / (self.served + self.false_refusals).max(1) as f64
    }

    /// Converts a count of the run to one per 1,000 requests.
    pub(crate) fn per_thousand(&self, count: u64) -> f64 {
        count as f64 * 1_000.0 / self.requests.max(1) as f64
    }

    /// Adds the counts of another run.
    pub(crate) fn add(&mut self, other: &Self) {
        self.overspend += other.overspend;
        self.requests += other.requests;
        self.served += other.served;
        self.false_refusals += other.false_refusals;
        self.refused += other.refused;
        self.reads += other.reads;
        self.budget_writes += other.budget_writes;
        self.other_writes += other.other_writes;
        self.orphaned += other.orphaned;
        self.max_orphaned = self.max_orphaned.max(other.max_orphaned);
        self.issued_lost += other.issued_lost;
    }
}

/// True consumption of every budget, and the result so far.
#[derive(Debug)]
pub(crate) struct Ledger {
    limit: Vec<Tokens>,
    spent: Vec<Tokens>,
    reserved: Vec<Tokens>,
    pub(crate) outcome: Outcome,
}

impl Ledger {
    pub(crate) fn new(trace: &Trace) -> Self {
        let budgets = trace.limits.len();
        Self {
            limit: trace.limits.clone(),
            spent: vec![0; budgets],
            reserved: vec![0; budgets],
            outcome: Outcome {
                requests: trace.reqs.len() as u64,
                ..Outcome::default()
            },
        }
    }

    /// Raises the limit of a budget.
    pub(crate) fn top_up(&mut self, budget: usize, tokens: Tokens) {
        self.limit[budget] += tokens;
    }

    /// Tokens that are neither consumed nor reserved by a running request.
    pub(crate) fn left(&self, budget: usize) -> Tokens {
        self.limit[budget].saturating_sub(self.spent[budget] + self.reserved[budget])
    }

    /// Records that a request was sent to its target.
    pub(crate) fn start_request(&mut self, budget: usize, bound: Tokens) {
        self.outcome.served += 1;
        self.reserved[budget] += bound;
    }

    /// Records that the target has generated `tokens`, whether or not the daemon still runs.
    pub(crate) fn end_request(&mut self, budget: usize, bound: Tokens, tokens: Tokens) {
        self.reserved[budget] -= bound;
        self.spent[budget] += tokens;
        let over = self.spent[budget].saturating_sub(self.limit[budget]);
        self.outcome.overspend = self.outcome.overspend.max(over);
    }

    /// Records a refusal, and whether it was a false one.
    pub(crate) fn refuse(&mut self, budget: usize, bound: Tokens) {
        self.outcome.refused += 1;
        self.outcome.false_refusals += u64::from(self.left(budget) >= bound);
    }

    /// Records the number of orphaned tokens at present.
    pub(crate) fn set_orphaned(&mut self, tokens: Tokens) {
        self.outcome.orphaned = tokens;
        self.outcome.max_orphaned = self.outcome.max_orphaned.max(tokens);
    }
}
