//! Faults to inject into a simulated run, and the counts that it returns.

use super::store::Restoration;

/// Faults of a run. The rates are percentages: `kill`, `partition` and `freeze` per daemon and
/// second, `lost` and `delayed` per write.
#[derive(Clone, Copy, Default)]
pub(crate) struct Faults {
    /// Rate of killed processes.
    pub(crate) kill: u64,
    /// Rate of partitions of a daemon from the store.
    pub(crate) partition: u64,
    /// Rate of suspended VMs.
    pub(crate) freeze: u64,
    /// Rate of lost answers to a write that was applied.
    pub(crate) lost: u64,
    /// Rate of writes that the store applies only 1 to 6 s later, without an answer.
    pub(crate) delayed: u64,
    /// Time at which all processes are killed, in milliseconds.
    pub(crate) kill_all_at: Option<u64>,
    /// Time from a kill to the restart, in milliseconds; if `None`, random from 0.5 to 4.5 s.
    pub(crate) down_ms: Option<u64>,
    /// Time at which all daemons are partitioned from the store, in milliseconds.
    pub(crate) partition_all_at: Option<u64>,
    /// Outages after which the store comes back from an older copy.
    pub(crate) restorations: &'static [Restoration],
    /// Processes killed in each of these outages, in percent.
    pub(crate) kill_in_outage: u64,
    /// Makes a restarted process assume that nothing was spent after the row was written.
    pub(crate) trusting_restart: bool,
}

/// Counts of a run, in requests unless stated otherwise.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Outcome {
    pub(crate) asked: u64,
    pub(crate) served: u64,
    pub(crate) refused: u64,
    /// Refused requests that the limit of the customer would have covered.
    pub(crate) refused_fitting: u64,
    /// Most tokens that a customer consumed beyond the limit.
    pub(crate) overspent: u64,
    /// Writes that daemons sent.
    pub(crate) writes: u64,
    /// Largest difference between the committed total and the sum of the grants, plus the tokens
    /// committed beyond the limit.
    pub(crate) miscommitted: u64,
    /// Audits in which limit = billed + held + orphaned + free did not hold.
    pub(crate) unbalanced: usize,
}
