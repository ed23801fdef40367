//! The steps of a seal.

use std::sync::Arc;

use crate::{
    budget,
    model::Version, //
};

/// What the procedure does next.
#[derive(Debug)]
pub(super) enum Step {
    Fence,
    Ledger,
    Batch,
    Put,
    Commit,
    /// Reads the object of a seal that was committed before.
    Resume,
    /// Collects the budgets of an incarnation without a record.
    List(Arc<str>),
    Read,
    Settle(Version, budget::Row),
    Mark,
    Done {
        /// Whether the records of the incarnation are no longer needed.
        drop: bool,
    },
}

/// On whose behalf the procedure runs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Kind {
    /// The witness seals.
    Witness,
    /// Daemon and witness are both lost, or the sealer is.
    Third,
    /// The incarnation is sealed and its VM is absent: returns its orphans.
    Release,
}
