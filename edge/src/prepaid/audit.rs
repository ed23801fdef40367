//! Audit of each customer's tokens over all rows of one read.

use std::collections::{
    BTreeMap,
    HashMap, //
};

use super::{
    Row,
    Rows, //
};

/// Distribution of the tokens of one customer; all figures are cumulative. `limit = billed + held +
/// orphaned + free` holds whenever [`Audit::is_balanced`] does.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Audit {
    /// Limit from the configuration.
    pub limit: u64,
    /// Total committed to daemons, by the customer's row.
    pub committed: u64,
    /// Consumed by finished requests, or charged for a process that crashed.
    pub billed: u64,
    /// Unspent tokens of daemons that write their rows.
    pub held: u64,
    /// Unspent tokens of daemons that have stopped writing; they may still be spending them.
    pub orphaned: u64,
    /// Not committed to a daemon; negative when the limit was lowered below what is committed.
    pub free: i64,
}

impl Audit {
    /// Whether the daemons' grants add up to the total in the customer's row.
    pub fn is_balanced(&self) -> bool {
        self.committed == self.billed + self.held + self.orphaned
    }
}

/// Adds up `rows` for each customer of `limits`. `is_silent` tells which daemons have stopped
/// writing.
///
/// # Examples
///
/// ```
/// use std::collections::HashMap;
/// use cuminloom_edge::prepaid::{DaemonRow, Grant, Row, Rows, CustomerRow, audit};
///
/// let grant = Grant { cap: 40, spent: 10, ..Grant::default() };
/// let row = DaemonRow { grants: [("ann".into(), grant)].into(), ..DaemonRow::default() };
/// let rows = Rows {
///     rows: vec![
///         Row::Daemon("vm-1".into(), 7, row.into()),
///         Row::Customer("ann".into(), 7, CustomerRow { committed: 40 }),
///     ],
///     now: 0,
///     era: 1,
/// };
/// let limits = HashMap::from([("ann".into(), 100)]);
/// let ann = audit(&rows, &limits, |_| false)["ann"];
/// assert_eq!((ann.billed, ann.held, ann.orphaned, ann.free), (10, 30, 0, 60));
/// assert!(ann.is_balanced());
/// ```
pub fn audit(
    rows: &Rows,
    limits: &HashMap<String, u64>,
    is_silent: impl Fn(&str) -> bool,
) -> BTreeMap<String, Audit> {
    let mut audits: BTreeMap<String, Audit> = limits
        .iter()
        .map(|(name, limit)| {
            let audit = Audit {
                limit: *limit,
                ..Audit::default()
            };
            (name.clone(), audit)
        })
        .collect();
    for row in &rows.rows {
        match row {
            Row::Unreadable(..) | Row::Era(..) | Row::Versions(..) => {}
            Row::Customer(name, _, sum) => {
                audits.entry(name.clone()).or_default().committed = sum.committed;
            }
            Row::Daemon(node, _, row) => {
                let silent = is_silent(node);
                for (name, grant) in &row.grants {
                    let audit = audits.entry(name.clone()).or_default();
                    audit.billed += grant.spent;
                    let rest = grant.cap.saturating_sub(grant.spent);
                    match silent {
                        true => audit.orphaned += rest,
                        false => audit.held += rest,
                    }
                }
            }
        }
    }
    for audit in audits.values_mut() {
        audit.free = audit.limit.cast_signed() - audit.committed.cast_signed();
    }
    audits
}
