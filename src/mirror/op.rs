//! Operations of the log, and messages between daemons about mirroring and token transfers.

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

/// One entry of the operation log of an incarnation. Names are short on the wire because entries
/// are sent for each request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Op {
    /// The tokens issued from a share are now `total`.
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
        /// Sequence number of the request.
        #[serde(rename = "n")]
        seq: Seq,
        /// Customer that sent it.
        #[serde(rename = "c")]
        customer: CustomerId,
        /// Budget that is charged.
        #[serde(rename = "b")]
        budget: BudgetId,
        /// Profile of the request.
        #[serde(rename = "p")]
        profile: ProfileId,
        /// Maximum number of tokens that it can consume.
        #[serde(rename = "l")]
        bound: Tokens,
    },
    /// A request finished.
    #[serde(rename = "c")]
    Close {
        /// Sequence number of the request.
        #[serde(rename = "n")]
        seq: Seq,
        /// Charged tokens.
        #[serde(rename = "t")]
        tokens: Tokens,
        /// Whether the request ran.
        #[serde(rename = "v")]
        verdict: Verdict,
    },
    /// The requests closed since the last `Cut` form the bill batch `batch`.
    #[serde(rename = "u")]
    Cut {
        /// Number of the batch.
        #[serde(rename = "k")]
        batch: u64,
    },
    /// The ledger row counts all bill batches up to `batch`.
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
    /// From here on the rest of every share counts as issued, so that the incarnation can issue
    /// tokens without its witness.
    #[serde(rename = "d")]
    Detach,
}

impl Op {
    /// Whether sending can be delayed because no request waits for the acknowledgement.
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
    /// Sends operations of an incarnation to its witness.
    #[serde(rename = "m")]
    Mirror {
        /// Incarnation whose operations are logged.
        #[serde(rename = "i")]
        inc: Incarnation,
        /// Number of the witness assignment.
        #[serde(rename = "e")]
        epoch: u64,
        /// Number of the first operation.
        #[serde(rename = "f")]
        first: u64,
        /// Operations in order.
        #[serde(rename = "o")]
        ops: Vec<Op>,
    },
    /// Confirms that the witness has recorded all operations up to `upto`.
    #[serde(rename = "a")]
    MirrorAck {
        /// Incarnation whose operations are logged.
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
        /// Incarnation whose operations are logged.
        inc: Incarnation,
        /// Number of the proposed assignment.
        epoch: u64,
        /// State of the incarnation before the first operation that the new witness receives.
        snapshot: Box<Snapshot>,
    },
    /// Confirms that the proposed witness has recorded the snapshot.
    AttachAck {
        /// Incarnation whose operations are logged.
        inc: Incarnation,
        /// Number of the proposed assignment.
        epoch: u64,
    },
    /// Announces that an incarnation has been sealed.
    Sealed {
        /// The sealed incarnation.
        inc: Incarnation,
    },
    /// Asks a drawing daemon for tokens.
    Ask {
        /// Budget of the tokens.
        budget: BudgetId,
        /// Tokens wanted.
        tokens: Tokens,
    },
    /// Moves tokens from the sender's share to the receiver's share.
    Transfer {
        /// Incarnation whose share receives the tokens.
        to: Incarnation,
        /// Number of the transfer, unique between the two incarnations.
        id: u64,
        /// Budget of the tokens.
        budget: BudgetId,
        /// Tokens moved.
        tokens: Tokens,
    },
    /// Confirms that the transfer was added to the receiver's share.
    TransferAck {
        /// Incarnation whose share sent the tokens.
        from: Incarnation,
        /// Number of the transfer, unique between the two incarnations.
        id: u64,
    },
    /// Reports that a request for tokens was refused because the budget has no free tokens.
    Short {
        /// Budget without free tokens.
        budget: BudgetId,
    },
}
