//! Audit of a budget: checks its row against the bills.

use std::{
    collections::BTreeMap,
    fmt, //
};

use super::{
    Breakdown,
    Row,
    ShareState, //
};
use crate::model::{
    BudgetId,
    Incarnation,
    Tokens, //
};

/// Billed tokens of one budget by incarnation: committed batches, late batches, and the seal object
/// of a sealed incarnation.
pub type BilledTokens = BTreeMap<Incarnation, Tokens>;

/// A difference between a budget row and its expected content, in tokens.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Discrepancy {
    /// The parts do not add up to the limit.
    Identity {
        /// Limit of the row.
        limit: Tokens,
        /// Sum of the parts.
        parts: i128,
    },
    /// A share has less than 0 outstanding tokens.
    Negative {
        /// Incarnation of the share.
        inc: Incarnation,
        /// Tokens below 0.
        missing: i128,
    },
    /// The billed count of a share differs from its bills.
    Billed {
        /// Incarnation of the share.
        inc: Incarnation,
        /// Billed tokens according to the bills.
        bills: Tokens,
        /// Billed tokens according to the row.
        row: Tokens,
    },
    /// The billed total of removed shares differs from their bills.
    Settled {
        /// Tokens of the bills of incarnations without a share.
        bills: Tokens,
        /// Billed total in the row.
        row: Tokens,
    },
    /// Less than 0 tokens are free, because the limit was lowered or a draw exceeded it.
    Overdrawn {
        /// Tokens below 0.
        tokens: i128,
    },
}

impl fmt::Display for Discrepancy {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Discrepancy::Identity { limit, parts } => {
                write!(f, "limit {limit} differs from the sum {parts} of its parts")
            }
            Discrepancy::Negative { inc, missing } => {
                write!(f, "share {inc} is {missing} tokens below 0")
            }
            Discrepancy::Billed { inc, bills, row } => {
                write!(f, "share {inc} is billed {row}, its bills say {bills}")
            }
            Discrepancy::Settled { bills, row } => {
                write!(
                    f,
                    "removed shares are billed {row}, their bills say {bills}"
                )
            }
            Discrepancy::Overdrawn { tokens } => {
                write!(f, "{tokens} tokens drawn beyond the limit")
            }
        }
    }
}

/// Result of the audit of one budget.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Audit {
    /// Budget that was audited.
    pub budget: BudgetId,
    /// Parts of the limit according to the row.
    pub breakdown: Breakdown,
    /// Tokens in transit between shares; part of `breakdown.held`.
    pub transit: i128,
    /// Billed tokens that live shares have not written to the row yet; part of `breakdown.held`.
    pub unwritten: Tokens,
    /// Differences that were found; empty when every token is accounted for.
    pub discrepancies: Vec<Discrepancy>,
}

/// Audits one budget. The row of a live share may lag behind its bills, because the share writes
/// its billed count with the next draw or return. With a [`ShareState`] of the share its billed
/// tokens must match the bills exactly; without one the lag must not exceed the share's outstanding
/// tokens.
///
/// # Examples
///
/// ```
/// use cuminloom::budget::{BilledTokens, Discrepancy, Row, Share, audit};
/// let mut row = Row::create("anod".into(), 1_000);
/// row.update_share("vm-1.0a", Share { drawn: 100, billed: 100, ..Share::default() }).unwrap();
/// row.remove_share("vm-1.0a").unwrap();
/// let bills = BilledTokens::from([("vm-1.0a".into(), 99)]);
/// let audit = audit(&"chat".into(), &row, &bills, &[]);
/// assert_eq!(audit.discrepancies, [Discrepancy::Settled { bills: 99, row: 100 }]);
/// ```
pub fn audit(
    budget: &BudgetId,
    row: &Row,
    bills: &BilledTokens,
    statements: &[ShareState],
) -> Audit {
    let breakdown = row.breakdown();
    let mut found = Vec::new();
    let parts = breakdown.billed + breakdown.held + breakdown.orphaned + breakdown.free;
    if parts != i128::from(row.limit) {
        let limit = row.limit;
        found.push(Discrepancy::Identity { limit, parts });
    }
    if breakdown.free < 0 {
        let tokens = -breakdown.free;
        found.push(Discrepancy::Overdrawn { tokens });
    }
    audit_removed(row, bills, &mut found);
    let unposted = audit_shares(budget, row, bills, statements, &mut found);
    Audit {
        budget: budget.clone(),
        breakdown,
        transit: row.in_transit(),
        unwritten: unposted,
        discrepancies: found,
    }
}

/// Compares the billed total of removed shares with their bills.
fn audit_removed(row: &Row, bills: &BilledTokens, found: &mut Vec<Discrepancy>) {
    let removed = bills
        .iter()
        .filter(|(inc, _)| !row.shares.contains_key(*inc));
    let bills: Tokens = removed.map(|(_, tokens)| tokens).sum();
    if bills != row.settled {
        let row = row.settled;
        found.push(Discrepancy::Settled { bills, row });
    }
}

/// Compares each share with its bills; returns the billed tokens that are not yet in the row.
fn audit_shares(
    budget: &BudgetId,
    row: &Row,
    bills: &BilledTokens,
    statements: &[ShareState],
    found: &mut Vec<Discrepancy>,
) -> Tokens {
    let mut unposted = 0;
    for (inc, share) in &row.shares {
        let counted = bills.get(inc).copied().unwrap_or(0);
        let Some(left) = share.outstanding() else {
            let has = i128::from(share.drawn) + i128::from(share.received);
            let gone = i128::from(share.returned) + i128::from(share.sent);
            let missing = gone + i128::from(share.billed) - has;
            let inc = inc.clone();
            found.push(Discrepancy::Negative { inc, missing });
            continue;
        };
        let stated = statements
            .iter()
            .find(|s| s.inc == *inc && s.budget == *budget);
        // Received tokens that are not in the row yet can be billed already.
        let limit = stated.map_or(left, |s| left + s.received.saturating_sub(share.received));
        let lag = counted.checked_sub(share.billed);
        let agrees = stated.is_none_or(|s| s.billed == counted);
        match lag {
            Some(0) if agrees => {}
            Some(lag) if agrees && !share.sealed && lag <= limit => unposted += lag,
            _ => found.push(Discrepancy::Billed {
                inc: inc.clone(),
                bills: counted,
                row: share.billed,
            }),
        }
    }
    unposted
}
