//! What a run simulates and what it counts.

use super::super::store::Restoration;

/// Who holds grants.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Mechanism {
    /// Every daemon, and each write contains all rows that change and is sent again at once after a
    /// conflict.
    Everyone,
    /// The holders of each data centre.
    Holders,
}

/// Faults of a run, in percent per daemon and second, and answers lost in percent of the writes.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Faults {
    pub(crate) kill: u64,
    pub(crate) cut: u64,
    pub(crate) freeze: u64,
    pub(crate) lost: u64,
    /// Time at which all daemons are cut off from the store for 8 s.
    pub(crate) cut_all_at: Option<u64>,
    /// Time at which all processes are killed.
    pub(crate) kill_all_at: Option<u64>,
    /// Time for which a killed process is down; random if absent. The processes of a fleet start within 0.3 s.
    pub(crate) down_ms: Option<u64>,
    /// Outages after which the store comes back from an older copy.
    pub(crate) restorations: &'static [Restoration],
    /// Processes killed in each of these outages, in percent.
    pub(crate) kill_in_outage: u64,
    /// VMs suspended for 6 s from the begin of each of these outages, in percent.
    pub(crate) freeze_in_outage: u64,
    /// Daemons cut off from the store for 8 s from the begin of each of these outages, in percent.
    pub(crate) cut_in_outage: u64,
    /// VMs that start for the first time when the first of these outages begins.
    pub(crate) added: usize,
    /// Makes the holders forget a reservation when its process is killed, as if it had used nothing. The
    /// holders themselves are not killed then, as what is charged for them would hide the error.
    pub(crate) forgets_reservations: bool,
}

/// Counts of a run.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Outcome {
    pub(crate) asked: u64,
    pub(crate) refused: u64,
    /// Refused requests that the customer's limit would have covered.
    pub(crate) refused_fitting: u64,
    pub(crate) commits: u64,
    pub(crate) conflicts: u64,
    /// Sum of the time from a write to its answer.
    pub(crate) commit_ms: u64,
    /// Sum of the time for which served requests waited for tokens.
    pub(crate) waited_ms: u64,
    /// Most tokens that a customer consumed beyond the limit.
    pub(crate) overspent: u64,
    /// Daemons that hold grants and have heard of an accepted write within 900 ms, and all that hold
    /// grants, summed over the calm seconds.
    pub(crate) attached: u64,
    pub(crate) holders: u64,
    /// Tokens charged but not consumed, at the end.
    pub(crate) stranded: u64,
}
