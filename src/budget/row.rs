//! The budget row, its parts, and its conversion from and to the table's JSON.

use std::{
    collections::BTreeMap,
    error::Error,
    fmt, //
};

use serde_json::Value;

use crate::{
    model::{
        CustomerId,
        Incarnation,
        Tokens,
        Version, //
    },
    wire::budget as wire,
};

/// Seconds of demand that a share covers, unless the row sets another value.
const DEFAULT_RESERVE_S: u32 = 3_600;
/// Largest part of the free tokens that one draw takes, unless the row sets another value.
const DEFAULT_FRACTION: f64 = 0.125;

/// Cumulative token counts of one incarnation in a budget row.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Share {
    /// Tokens drawn from the free tokens of the row.
    pub drawn: Tokens,
    /// Tokens returned to the free tokens of the row.
    pub returned: Tokens,
    /// Tokens spent according to committed bills.
    pub billed: Tokens,
    /// Tokens transferred to other shares.
    pub sent: Tokens,
    /// Tokens transferred from other shares.
    pub received: Tokens,
    /// Whether the incarnation is sealed: it can write nothing more.
    pub sealed: bool,
}

impl Share {
    /// Tokens that the share holds and that are not billed; `None` when the counts are
    /// inconsistent.
    ///
    /// # Examples
    ///
    /// ```
    /// use cuminloom::budget::Share;
    /// let share = Share { drawn: 10, received: 2, billed: 5, sent: 1, ..Share::default() };
    /// assert_eq!(share.outstanding(), Some(6));
    /// ```
    pub fn outstanding(&self) -> Option<Tokens> {
        self.drawn
            .checked_add(self.received)?
            .checked_sub(self.returned)?
            .checked_sub(self.sent)?
            .checked_sub(self.billed)
    }

    /// Whether no count of `next` is below the same count of this share.
    pub(super) fn precedes(&self, next: &Share) -> bool {
        self.drawn <= next.drawn
            && self.returned <= next.returned
            && self.billed <= next.billed
            && self.sent <= next.sent
            && self.received <= next.received
    }
}

/// What a sealing daemon knows about a share: the witness's record of it and its bills.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct SealRecord {
    /// Cumulative issued tokens; `None` when the witness has no record or the daemon was detached.
    pub issued: Option<Tokens>,
    /// Cumulative tokens that the share has sent according to the record; 0 without one.
    pub sent: Tokens,
    /// Tokens of the share's committed bills and of the seal object.
    pub billed: Tokens,
}

/// The parts of a budget's limit, in tokens.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Breakdown {
    /// Tokens spent according to committed bills.
    pub billed: i128,
    /// Tokens outstanding at live shares or in transit between shares.
    pub held: i128,
    /// Tokens outstanding at sealed shares, which may still be billed by late batches.
    pub orphaned: i128,
    /// Tokens that are not drawn; below 0 while a lowered limit is not yet in force.
    pub free: i128,
}

/// Result of [`Row::lower_limit`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LoweredLimit {
    /// Limit in force now: shares can still spend up to it.
    pub in_force: Tokens,
    /// Tokens that shares must return before the requested limit is in force.
    pub pending: Tokens,
}

/// Error of an operation on a budget row; the row is unchanged.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RowError {
    /// The row has no share of this incarnation.
    NoShare,
    /// The share is sealed.
    Sealed,
    /// The share is not sealed.
    NotSealed,
    /// A cumulative count would decrease, or a share would have less than 0 outstanding tokens.
    Inconsistent,
    /// A draw would leave less than 0 free tokens.
    Exhausted,
    /// The number of tokens is beyond what the row allows for the operation.
    OutOfRange,
    /// The share still has outstanding tokens.
    Outstanding,
    /// The stored value is not a valid budget row.
    Malformed(String),
}

impl fmt::Display for RowError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            RowError::NoShare => "the budget has no share of this incarnation",
            RowError::Sealed => "the share is sealed",
            RowError::NotSealed => "the share is not sealed",
            RowError::Inconsistent => "a cumulative count would decrease or a share fall below 0",
            RowError::Exhausted => "the draw exceeds the free tokens",
            RowError::OutOfRange => "the number of tokens is out of range for this row",
            RowError::Outstanding => "the share has outstanding tokens",
            RowError::Malformed(detail) => return write!(f, "not a valid budget row: {detail}"),
        })
    }
}

impl Error for RowError {}

/// Content of the row `budget/<id>`.
#[derive(Clone, Debug, PartialEq)]
pub struct Row {
    /// Customer that prepaid the budget.
    pub customer: CustomerId,
    /// Cumulative prepaid tokens.
    pub limit: Tokens,
    /// Number of changes of the limit, from 1.
    pub revision: Version,
    /// Billed tokens of shares that were removed.
    pub settled: Tokens,
    /// Tokens that removed shares sent to other shares.
    pub sent: Tokens,
    /// Tokens that removed shares received, and tokens in transit that were reclaimed.
    pub received: Tokens,
    /// Seconds of recent demand that a share covers.
    pub reserve_s: u32,
    /// Largest part of the free tokens that one draw takes, 0 to 1.
    pub draw_fraction: f64,
    /// Shares by incarnation.
    pub shares: BTreeMap<Incarnation, Share>,
}

impl Row {
    /// Creates a row without shares and with the default sizing.
    ///
    /// # Examples
    ///
    /// ```
    /// let row = cuminloom::budget::Row::create("anod".into(), 1_000);
    /// assert_eq!(row.breakdown().free, 1_000);
    /// ```
    pub fn create(customer: CustomerId, limit: Tokens) -> Self {
        Self {
            customer,
            limit,
            revision: 1,
            settled: 0,
            sent: 0,
            received: 0,
            reserve_s: DEFAULT_RESERVE_S,
            draw_fraction: DEFAULT_FRACTION,
            shares: BTreeMap::new(),
        }
    }

    /// Tokens in transit between shares: sent and not yet received. Below 0 while the receiver has
    /// written a transfer to the row and the sender has not.
    ///
    /// # Examples
    ///
    /// ```
    /// assert_eq!(cuminloom::budget::Row::create("anod".into(), 1_000).in_transit(), 0);
    /// ```
    pub fn in_transit(&self) -> i128 {
        self.shares.values().fold(
            i128::from(self.sent) - i128::from(self.received),
            |sum, share| sum + i128::from(share.sent) - i128::from(share.received),
        )
    }

    /// Splits the limit into its parts. `free` is computed from draws and returns only, not as the
    /// rest of the limit, so that [`Row::is_balanced`] checks the sum instead of assuming it.
    ///
    /// # Examples
    ///
    /// ```
    /// use cuminloom::budget::{Row, Share};
    /// let mut row = Row::create("anod".into(), 1_000);
    /// row.update_share("vm-1.0a", Share { drawn: 100, billed: 30, ..Share::default() }).unwrap();
    /// let parts = row.breakdown();
    /// assert_eq!((parts.billed, parts.held, parts.free), (30, 70, 900));
    /// ```
    pub fn breakdown(&self) -> Breakdown {
        let removed = i128::from(self.settled) + i128::from(self.sent) - i128::from(self.received);
        let mut parts = Breakdown {
            billed: self.settled.into(),
            held: self.in_transit(),
            orphaned: 0,
            free: i128::from(self.limit) - removed,
        };
        for share in self.shares.values() {
            let left = i128::from(share.drawn) + i128::from(share.received)
                - i128::from(share.returned)
                - i128::from(share.sent)
                - i128::from(share.billed);
            parts.billed += i128::from(share.billed);
            parts.free += i128::from(share.returned) - i128::from(share.drawn);
            match share.sealed {
                true => parts.orphaned += left,
                false => parts.held += left,
            }
        }
        parts
    }

    /// Whether the parts add up to the limit and no share has less than 0 outstanding tokens.
    ///
    /// # Examples
    ///
    /// ```
    /// assert!(cuminloom::budget::Row::create("anod".into(), 1_000).is_balanced());
    /// ```
    pub fn is_balanced(&self) -> bool {
        let Breakdown {
            billed,
            held,
            orphaned,
            free,
        } = self.breakdown();
        i128::from(self.limit) == billed + held + orphaned + free
            && self.shares.values().all(|s| s.outstanding().is_some())
    }
}

impl TryFrom<Value> for Row {
    type Error = RowError;

    fn try_from(value: Value) -> Result<Self, RowError> {
        let row: wire::Budget =
            serde_json::from_value(value).map_err(|err| RowError::Malformed(err.to_string()))?;
        let row = row_from_wire(row);
        if !row.is_balanced() || !(0.0..=1.0).contains(&row.draw_fraction) {
            return Err(RowError::Malformed(
                "inconsistent token counts or fraction outside 0..=1".into(),
            ));
        }
        Ok(row)
    }
}

/// Converts a row from its wire type.
fn row_from_wire(row: wire::Budget) -> Row {
    Row {
        customer: row.customer.into(),
        limit: row.limit,
        revision: row.revision,
        settled: row.settled,
        sent: row.sent,
        received: row.received,
        reserve_s: row.reserve,
        draw_fraction: row.fraction,
        shares: row
            .shares
            .into_iter()
            .map(|(inc, share)| (inc.into(), share_from_wire(&share)))
            .collect(),
    }
}

/// Converts a share from its wire type.
fn share_from_wire(share: &wire::Share) -> Share {
    Share {
        drawn: share.drawn,
        returned: share.returned,
        billed: share.billed,
        sent: share.sent,
        received: share.received,
        sealed: share.sealed,
    }
}

/// Converts a share to its wire type.
fn share_to_wire(share: &Share) -> wire::Share {
    wire::Share {
        drawn: share.drawn,
        returned: share.returned,
        billed: share.billed,
        sent: share.sent,
        received: share.received,
        sealed: share.sealed,
    }
}

impl From<&Row> for Value {
    fn from(row: &Row) -> Self {
        let row = wire::Budget {
            customer: row.customer.to_string(),
            limit: row.limit,
            revision: row.revision,
            settled: row.settled,
            sent: row.sent,
            received: row.received,
            reserve: row.reserve_s,
            fraction: row.draw_fraction,
            shares: row
                .shares
                .iter()
                .map(|(inc, share)| (inc.to_string(), share_to_wire(share)))
                .collect(),
        };
        serde_json::to_value(row).expect("wire types have string keys")
    }
}
