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

impl Grant {
    /// Tokens up to which may be spent when the part `released` of the reserve is.
    pub fn released(&self, released: f64) -> u64 {
        let reserve = self.cap.saturating_sub(self.issued);
        self.issued + (reserve as f64 * released) as u64
    }
}

/// Weight of one request in the usual cost.
const COST_WEIGHT: f64 = 0.1;

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
    /// Moving average of the tokens that one request may consume.
    pub usual_cost: f64,
}

impl Account {
    /// Tokens that have left the grant: consumed, or taken by open requests.
    pub fn used(&self) -> u64 {
        self.spent + self.open
    }

    /// Tokens up to which the daemon may spend when the part `released` of the reserve is. While
    /// writes are in doubt it is the least of what any of them allows.
    pub fn bound(&self, released: f64) -> u64 {
        self.doubt
            .iter()
            .map(|g| g.released(released))
            .fold(self.confirmed.released(released), u64::min)
    }

    /// Takes `cost` tokens for a request, if there is room.
    pub fn reserve(&mut self, cost: u64, released: f64) -> bool {
        if self.used().saturating_add(cost) > self.bound(released) {
            return false;
        }
        self.open += cost;
        true
    }

    /// Notes the cost of a request.
    pub fn note_cost(&mut self, cost: u64) {
        let weight = if self.usual_cost == 0.0 {
            1.0
        } else {
            COST_WEIGHT
        };
        self.usual_cost += weight * (cost as f64 - self.usual_cost);
    }

    /// Ends a request that took `cost` tokens and consumed `used`.
    pub fn settle(&mut self, cost: u64, used: u64) {
        self.open = self.open.saturating_sub(cost);
        self.spent += used;
    }
}
