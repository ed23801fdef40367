//! What happens to the ledgers of a run, and what it has come to.

/// Rates of the faults, in percent of the seconds of a daemon.
#[derive(Clone, Copy, Default)]
pub(crate) struct Faults {
    pub(crate) kill: u64,
    pub(crate) cut: u64,
    pub(crate) freeze: u64,
    pub(crate) lost: u64,
    pub(crate) late: u64,
    pub(crate) kill_all_at: Option<u64>,
    /// Time until a killed process runs again, in milliseconds; random up to 4.5 s without it.
    pub(crate) down: Option<u64>,
    pub(crate) cut_all_at: Option<u64>,
    /// Lets a restarted process believe that nothing was spent after the row was written.
    pub(crate) trusting_restart: bool,
}

/// What a run has come to.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Outcome {
    pub(crate) asked: u64,
    pub(crate) served: u64,
    pub(crate) refused: u64,
    pub(crate) refused_fitting: u64,
    pub(crate) overspent: u64,
    pub(crate) writes: u64,
    pub(crate) uncommitted: u64,
    /// Readings in which limit = billed + held + orphaned + free did not hold.
    pub(crate) unbalanced: usize,
}
