//! What the operation log says of an incarnation, and its snapshot for a new witness.

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

/// What the log of an incarnation adds up to. The incarnation and its witness apply the same
/// operations to their copies.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct State {
    /// Open requests and uncommitted bills.
    pub book: BillState,
    /// Issued tokens per budget, cumulative. The sealer settles the rows of these budgets.
    pub issued: BTreeMap<BudgetId, Tokens>,
    /// Tokens sent to other daemons per budget, cumulative.
    pub sent: BTreeMap<BudgetId, Tokens>,
    /// Whether the rest of every share is issued.
    pub detached: bool,
}

/// State of an incarnation before operation `next`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Snapshot {
    /// Number of the next operation.
    pub next: u64,
    /// The state.
    pub state: State,
}

impl State {
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
                self.book.open(*seq, open);
            }
            Op::Close {
                seq,
                tokens,
                verdict,
            } => self.book.close(*seq, *tokens, *verdict),
            Op::Cut { batch } => self.book.cut_batch(*batch),
            Op::Committed { batch } => self.book.commit_batch(*batch),
            Op::Sent { budget, total } => {
                let sent = self.sent.entry(budget.clone()).or_default();
                // The drawer repeats entries, so an older total can follow a newer one.
                *sent = (*sent).max(*total);
            }
            Op::Detach => self.detached = true,
        }
    }
}
