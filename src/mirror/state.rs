//! State of an incarnation that results from its operation log, and the snapshot for a new witness.

use std::collections::BTreeMap;

use serde::{
    Deserialize,
    Serialize, //
};

use super::Op;
use crate::{
    bill::{
        BillState,
        OpenRequest, //
    },
    model::{
        BudgetId,
        Tokens, //
    },
};

/// State of an incarnation after the operations of its log. The incarnation and its witness apply
/// the same operations to their own copies.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LogState {
    /// Open requests and uncommitted bills.
    #[serde(rename = "book")]
    pub bills: BillState,
    /// Issued tokens per budget, cumulative. The daemon that seals the incarnation settles the rows
    /// of these budgets.
    pub issued: BTreeMap<BudgetId, Tokens>,
    /// Tokens sent to other daemons per budget, cumulative.
    pub sent: BTreeMap<BudgetId, Tokens>,
    /// Whether the rest of every share counts as issued, because the incarnation issues tokens
    /// without its witness.
    pub detached: bool,
}

/// State of an incarnation before the operation with number `next`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Snapshot {
    /// Number of the next operation.
    pub next: u64,
    /// State after all operations before `next`.
    pub state: LogState,
}

impl LogState {
    /// Applies an operation of the log.
    pub(crate) fn apply(&mut self, op: &Op) {
        match op {
            Op::Issue { budget, total } => {
                self.issued.insert(budget.clone(), *total);
            }
            Op::Open {
                seq,
                customer,
                budget,
                profile,
                bound,
            } => {
                let open = OpenRequest {
                    customer: customer.clone(),
                    budget: budget.clone(),
                    profile: profile.clone(),
                    bound: *bound,
                };
                self.bills.open(*seq, open);
            }
            Op::Close {
                seq,
                tokens,
                verdict,
            } => self.bills.close(*seq, *tokens, *verdict),
            Op::Cut { batch } => self.bills.cut_batch(*batch),
            Op::Committed { batch } => self.bills.commit_batch(*batch),
            Op::Sent { budget, total } => {
                let sent = self.sent.entry(budget.clone()).or_default();
                // Entries may be logged again, so an older total can follow a newer one.
                *sent = (*sent).max(*total);
            }
            Op::Detach => self.detached = true,
        }
    }
}
