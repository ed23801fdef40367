//! Steps and kinds of the seal procedure.

use std::sync::Arc;

use crate::{
    budget,
    model::Version, //
};

/// Next platform operation of the seal procedure.
#[derive(Debug)]
pub(super) enum SealStep {
    /// Reads the fence row.
    Fence,
    /// Reads the ledger row.
    Ledger,
    /// Reads the next bill batch that counts.
    Batch,
    /// Writes the seal object.
    Put,
    /// Commits the seal to the fence row.
    Commit,
    /// Reads the seal object of a seal that was committed before.
    Resume,
    /// Lists the budget rows after this key, to find the budgets of an incarnation without a
    /// record.
    List(Arc<str>),
    /// Reads the next budget row.
    Read,
    /// Commits the settled budget row over the given version.
    Settle(Version, budget::Row),
    /// Marks the seal as settled, or its orphaned tokens as released, in the fence row.
    Mark,
    /// The procedure has ended.
    Done {
        /// Whether the witness's records of the incarnation are no longer needed.
        drop: bool,
    },
}

/// Why the seal procedure runs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum SealReason {
    /// The witness seals the incarnation from its record.
    Witness,
    /// The incarnation and its witness are lost, or the daemon that was sealing it: seals without a
    /// record or finishes the seal.
    NoWitness,
    /// The incarnation is sealed and its VM is absent: returns its orphaned tokens.
    ReleaseOrphans,
}
