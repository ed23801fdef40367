use serde::{
    Deserialize,
    Serialize, //
};

use super::Snapshot;
use crate::model::{
    BudgetId,
    CustomerId,
    Incarnation,
    ProfileId,
    Seq,
    Tokens,
    Verdict, //
};

/// One entry of the operation log of an incarnation.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Op {
    /// The issued tokens of a share are now `total`.
    Issue {
        /// Budget of the share.
        budget: BudgetId,
        /// Issued tokens, cumulative over the incarnation.
        total: Tokens,
    },
    /// A request was admitted.
    Open {
        /// Number of the request.
        seq: Seq,
        /// Customer that sent it.
        customer: CustomerId,
        /// Budget that pays.
        budget: BudgetId,
        /// Profile of the request.
        profile: ProfileId,
        /// Upper bound of its tokens.
        bound: Tokens,
    },
    /// A request finished.
    Close {
        /// Number of the request.
        seq: Seq,
        /// Tokens charged.
        tokens: Tokens,
        /// Whether it ran.
        verdict: Verdict,
    },
    /// The requests closed since the last cut are batch `batch`.
    Cut {
        /// Number of the batch.
        batch: u64,
    },
    /// The ledger row counts all batches up to `batch`.
    Committed {
        /// Number of the batch.
        batch: u64,
    },
    /// The tokens sent from a share to other daemons are now `total`.
    Sent {
        /// Budget of the share.
        budget: BudgetId,
        /// Sent tokens, cumulative over the incarnation.
        total: Tokens,
    },
    /// The rest of every share is issued.
    Detach,
}

/// Messages between daemons about mirroring and transfers.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Message {
    /// Operations of an incarnation to its witness.
    Mirror {
        /// Incarnation that logs.
        inc: Incarnation,
        /// Number of the witness assignment.
        epoch: u64,
        /// Number of the first operation.
        first: u64,
        /// The operations in order.
        ops: Vec<Op>,
    },
    /// The witness has recorded all operations up to `upto`.
    MirrorAck {
        /// Incarnation that logs.
        inc: Incarnation,
        /// Number of the witness assignment.
        epoch: u64,
        /// Number of the last recorded operation.
        upto: u64,
    },
    /// Asks a daemon to become the witness.
    Attach {
        /// Incarnation that logs.
        inc: Incarnation,
        /// Number of the proposed assignment.
        epoch: u64,
        /// State of the incarnation before the first operation of the assignment.
        snapshot: Box<Snapshot>,
    },
    /// The snapshot is recorded.
    AttachAck {
        /// Incarnation that logs.
        inc: Incarnation,
        /// Number of the proposed assignment.
        epoch: u64,
    },
    /// The incarnation has been sealed.
    Sealed {
        /// The sealed incarnation.
        inc: Incarnation,
    },
    /// Asks a drawer for tokens.
    Ask {
        /// Budget to draw on.
        budget: BudgetId,
        /// Tokens wanted.
        tokens: Tokens,
    },
    /// Moves tokens to the receiver's share.
    Transfer {
        /// Incarnation whose share receives the tokens.
        to: Incarnation,
        /// Number of the transfer between the two incarnations.
        id: u64,
        /// Budget of the tokens.
        budget: BudgetId,
        /// Tokens moved.
        tokens: Tokens,
    },
    /// The transfer was added to the receiver's share.
    TransferAck {
        /// Incarnation whose share sent the tokens.
        from: Incarnation,
        /// Number of the transfer between the two incarnations.
        id: u64,
    },
    /// A request was refused because the budget has no free tokens.
    Short {
        /// Budget that is short.
        budget: BudgetId,
    },
}
