//! The budget row and the operations that keep its identity.

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

/// Seconds of demand that a share covers unless the row says otherwise.
const DEFAULT_RESERVE_S: u32 = 3_600;
/// Largest part of the free tokens that one draw takes unless the row says otherwise.
const DEFAULT_FRACTION: f64 = 0.125;

/// Cumulative figures of one incarnation, in tokens.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Share {
    /// Taken from free.
    pub drawn: Tokens,
    /// Given back to free.
    pub returned: Tokens,
    /// Spent according to committed bills.
    pub billed: Tokens,
    /// Transferred to other shares.
    pub sent: Tokens,
    /// Transferred from other shares.
    pub received: Tokens,
    /// Whether the incarnation is sealed.
    pub sealed: bool,
}

impl Share {
    /// Tokens that the share holds and that are not billed; `None` when the figures contradict
    /// each other.
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

    /// Whether no figure of `next` is below the figure of this share.
    pub(super) fn precedes(&self, next: &Share) -> bool {
        self.drawn <= next.drawn
            && self.returned <= next.returned
            && self.billed <= next.billed
            && self.sent <= next.sent
            && self.received <= next.received
    }
}

/// What a sealer knows about a share: the witness's record and the bills that count.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct SealRecord {
    /// Issued figure; `None` when no record exists or the daemon was detached.
    pub issued: Option<Tokens>,
    /// Tokens that the share has sent, cumulative, if the record says so.
    pub sent: Tokens,
    /// Tokens of the share's committed bills and of the seal object.
    pub billed: Tokens,
}

/// The parts of a limit, in tokens.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Breakdown {
    /// Spent according to committed bills.
    pub billed: i128,
    /// Outstanding at live shares or in transit between shares.
    pub held: i128,
    /// Outstanding at sealed shares.
    pub orphaned: i128,
    /// Not drawn; below 0 while a lowered limit is not yet in force.
    pub free: i128,
}

/// Answer to lowering a limit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LoweredLimit {
    /// Limit that holds now: spend can still reach it.
    pub in_force: Tokens,
    /// Tokens that must be returned before the wanted limit is in force.
    pub pending: Tokens,
}

/// Why an operation on a row was refused.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RowError {
    /// The row has no share of this incarnation.
    NoShare,
    /// The share is sealed.
    Sealed,
    /// The share is not sealed.
    NotSealed,
    /// A cumulative figure would fall, or a share would have less than 0 outstanding.
    Inconsistent,
    /// A draw would leave less than 0 free.
    Exhausted,
    /// More tokens than there are of the kind.
    InsufficientTokens,
    /// The share still has outstanding tokens.
    Outstanding,
    /// The value is no budget row.
    Malformed(String),
}

impl fmt::Display for RowError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            RowError::NoShare => "the budget has no share of this incarnation",
            RowError::Sealed => "the share is sealed",
            RowError::NotSealed => "the share is not sealed",
            RowError::Inconsistent => "a cumulative figure would fall",
            RowError::Exhausted => "the draw exceeds the free tokens",
            RowError::InsufficientTokens => "there are fewer tokens of this kind",
            RowError::Outstanding => "the share has outstanding tokens",
            RowError::Malformed(detail) => return write!(f, "no budget row: {detail}"),
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
    /// Billed tokens of removed shares.
    pub settled: Tokens,
    /// Tokens that removed shares sent.
    pub sent: Tokens,
    /// Tokens that removed shares received.
    pub received: Tokens,
    /// Seconds of recent demand that a share covers.
    pub reserve_s: u32,
    /// Largest part of the free tokens that one draw takes, 0 to 1.
    pub draw_fraction: f64,
    /// Shares by incarnation.
    pub shares: BTreeMap<Incarnation, Share>,
}

impl Row {
    /// Creates a budget without shares.
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

    /// Tokens in transit: sent and not yet received. Below 0 while the receiver has written its
    /// figure and the sender has not.
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

    /// Splits the limit. `free` is computed from draws and returns only, so the identity is a check
    /// and no definition.
    ///
    /// # Examples
    ///
    /// ```
    /// use cuminloom::budget::{Row, Share};
    /// let mut row = Row::create("anod".into(), 1_000);
    /// row.update_share("vm-1.0a", Share { drawn: 100, billed: 30, ..Share::default() }).unwrap();
    /// let figures = row.breakdown();
    /// assert_eq!((figures.billed, figures.held, figures.free), (30, 70, 900));
    /// ```
    pub fn breakdown(&self) -> Breakdown {
        let removed = i128::from(self.settled) + i128::from(self.sent) - i128::from(self.received);
        let mut figures = Breakdown {
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
            figures.billed += i128::from(share.billed);
            figures.free += i128::from(share.returned) - i128::from(share.drawn);
            match share.sealed {
                true => figures.orphaned += left,
                false => figures.held += left,
            }
        }
        figures
    }

    /// Checks the identity, and that no share has less than 0 outstanding.
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
            return Err(RowError::Malformed("contradictory figures".into()));
        }
        Ok(row)
    }
}

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
