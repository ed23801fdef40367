//! One customer's tokens at one daemon.

use serde::{
    Deserialize,
    Serialize, //
};

use super::Rate;

/// Part of a customer's tokens that a daemon holds; all figures are cumulative tokens.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Grant {
    /// Tokens that were committed to the daemon in all.
    pub cap: u64,
    /// Tokens up to which it may spend while it reaches the store.
    pub issued: u64,
    /// Tokens that ended requests consumed.
    pub spent: u64,
    /// Tokens that open requests may consume at most.
    pub open: u64,
    /// Demand, in tokens a second.
    pub rate: u64,
}

/// What this daemon knows of its own grant.
#[derive(Clone, Debug, Default)]
pub struct Account {
    /// The grant in the newest row that the store is known to hold.
    pub confirmed: Grant,
    /// Grants in writes whose outcome is not known.
    pub doubt: Vec<Grant>,
    /// Tokens that ended requests consumed.
    pub spent: u64,
    /// Tokens that open requests may consume at most.
    pub open: u64,
    /// Demand here.
    pub rate: Rate,
    /// Tokens that requests wait for, beyond what there is room for.
    pub wanted: u64,
}

impl Account {
    /// Tokens that have left the grant: consumed, or taken by open requests.
    pub fn used(&self) -> u64 {
        self.spent + self.open
    }

    /// Tokens up to which the daemon may spend. While writes are in doubt it is the least of what
    /// any of them allows.
    pub fn bound(&self, attached: bool) -> u64 {
        let of = |g: &Grant| if attached { g.issued } else { g.cap };
        self.doubt
            .iter()
            .map(of)
            .fold(of(&self.confirmed), u64::min)
    }

    /// Takes `cost` tokens for a request, if there is room.
    pub fn reserve(&mut self, cost: u64, attached: bool) -> bool {
        if self.used() + cost > self.bound(attached) {
            return false;
        }
        self.open += cost;
        true
    }

    /// Ends a request that took `cost` tokens and consumed `used`.
    pub fn settle(&mut self, cost: u64, used: u64) {
        self.open = self.open.saturating_sub(cost);
        self.spent += used;
    }

    /// Cap below which the row may not go: all that open requests may still consume.
    pub fn floor(&self) -> u64 {
        self.used()
    }
}
