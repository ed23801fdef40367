//! Operations of the log, and messages about mirroring and transfers.

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

/// One entry of the operation log of an incarnation. Names are short on the wire, because an entry is
/// sent for each request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Op {
    /// The issued tokens of a share are now `total`.
    #[serde(rename = "i")]
    Issue {
        /// Budget of the share.
        #[serde(rename = "b")]
        budget: BudgetId,
        /// Issued tokens, cumulative over the incarnation.
        #[serde(rename = "t")]
        total: Tokens,
    },
    /// A request was admitted.
    #[serde(rename = "o")]
    Open {
        /// Number of the request.
        #[serde(rename = "n")]
        seq: Seq,
        /// Customer that sent it.
        #[serde(rename = "c")]
        customer: CustomerId,
        /// Budget that pays.
        #[serde(rename = "b")]
        budget: BudgetId,
        /// Profile of the request.
        #[serde(rename = "p")]
        profile: ProfileId,
        /// Upper bound of its tokens.
        #[serde(rename = "l")]
        bound: Tokens,
    },
    /// A request finished.
    #[serde(rename = "c")]
    Close {
        /// Number of the request.
        #[serde(rename = "n")]
        seq: Seq,
        /// Tokens charged.
        #[serde(rename = "t")]
        tokens: Tokens,
        /// Whether it ran.
        #[serde(rename = "v")]
        verdict: Verdict,
    },
    /// The requests closed since the last cut are batch `batch`.
    #[serde(rename = "u")]
    Cut {
        /// Number of the batch.
        #[serde(rename = "k")]
        batch: u64,
    },
    /// The ledger row counts all batches up to `batch`.
    #[serde(rename = "m")]
    Committed {
        /// Number of the batch.
        #[serde(rename = "k")]
        batch: u64,
    },
    /// The tokens sent from a share to other daemons are now `total`.
    #[serde(rename = "s")]
    Sent {
        /// Budget of the share.
        #[serde(rename = "b")]
        budget: BudgetId,
        /// Sent tokens, cumulative over the incarnation.
        #[serde(rename = "t")]
        total: Tokens,
    },
    /// The rest of every share is issued.
    #[serde(rename = "d")]
    Detach,
}

impl Op {
    /// Whether no request waits for the acknowledgement of the operation.
    pub(crate) fn can_wait(&self) -> bool {
        matches!(
            self,
            Op::Close { .. } | Op::Cut { .. } | Op::Committed { .. }
        )
    }
}

/// Messages between daemons about mirroring and transfers.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Message {
    /// Operations of an incarnation to its witness.
    #[serde(rename = "m")]
    Mirror {
        /// Incarnation that logs.
        #[serde(rename = "i")]
        inc: Incarnation,
        /// Number of the witness assignment.
        #[serde(rename = "e")]
        epoch: u64,
        /// Number of the first operation.
        #[serde(rename = "f")]
        first: u64,
        /// The operations in order.
        #[serde(rename = "o")]
        ops: Vec<Op>,
    },
    /// The witness has recorded all operations up to `upto`.
    #[serde(rename = "a")]
    MirrorAck {
        /// Incarnation that logs.
        #[serde(rename = "i")]
        inc: Incarnation,
        /// Number of the witness assignment.
        #[serde(rename = "e")]
        epoch: u64,
        /// Number of the last recorded operation.
        #[serde(rename = "u")]
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
