//! Where the tokens of one customer are, as far as one daemon knows.

use std::fmt;

use super::Grant;

/// Tokens of one customer by what holds them. `limit = spent + open + own + holders + others + silent + free +
/// unseen`, where `unseen` balances what the rows of one reading do not add up to.
///
/// # Examples
///
/// ```
/// use cuminloom_edge::prepaid::{Grant, TokenPlace, Whereabouts};
///
/// let mut found = Whereabouts::new(1000, 400);
/// let grant = Grant { cap: 300, spent: 100, open: 50, ..Grant::default() };
/// found.add(&grant, TokenPlace::Holder);
/// assert_eq!((found.spent, found.open, found.holders, found.free), (100, 50, 150, 600));
/// assert_eq!(found.unseen, 100);
/// assert_eq!(found.sum(), 1000);
/// ```
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Whereabouts {
    /// Limit from the configuration.
    pub limit: u64,
    /// Consumed by finished requests, or charged for lost processes.
    pub spent: u64,
    /// Most that open requests may consume.
    pub open: u64,
    /// Held by this daemon without a use.
    pub own: u64,
    /// Held by other holders without a use.
    pub holders: u64,
    /// Held by daemons that are no holders.
    pub others: u64,
    /// Held by daemons that have stopped writing.
    pub silent: u64,
    /// Not committed to a daemon; negative if the limit was lowered below what is committed.
    pub free: i64,
    /// Committed, but in no row that was read; negative if the rows hold more than is committed.
    pub unseen: i64,
}

/// Which daemon holds a grant.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TokenPlace {
    /// This one.
    Own,
    /// Another holder.
    Holder,
    /// A daemon that is no holder.
    Other,
    /// One that has stopped writing.
    Silent,
}

impl Whereabouts {
    /// Begins with nothing but a `limit`, of which `committed` tokens are committed to daemons.
    pub fn new(limit: u64, committed: u64) -> Whereabouts {
        Whereabouts {
            limit,
            free: limit.cast_signed() - committed.cast_signed(),
            unseen: committed.cast_signed(),
            ..Whereabouts::default()
        }
    }

    /// Adds a daemon's grant.
    pub fn add(&mut self, grant: &Grant, place: TokenPlace) {
        let rest = grant.cap.saturating_sub(grant.spent + grant.open);
        self.spent += grant.spent;
        self.open += grant.open;
        match place {
            TokenPlace::Own => self.own += rest,
            TokenPlace::Holder => self.holders += rest,
            TokenPlace::Other => self.others += rest,
            TokenPlace::Silent => self.silent += rest,
        }
        self.unseen -= (grant.spent + grant.open + rest).cast_signed();
    }

    /// Sum of all parts, which is the limit.
    pub fn sum(&self) -> i64 {
        let used = self.spent + self.open;
        let held = self.own + self.holders + self.others + self.silent;
        (used + held).cast_signed() + self.free + self.unseen
    }
}

impl fmt::Display for Whereabouts {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "limit={} spent={} open={} own={} holders={} others={} silent={} free={} unseen={}",
            self.limit,
            self.spent,
            self.open,
            self.own,
            self.holders,
            self.others,
            self.silent,
            self.free,
            self.unseen
        )
    }
}
