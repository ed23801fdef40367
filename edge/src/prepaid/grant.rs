//! One customer's tokens at one daemon.

use std::time::Instant;

use serde::{
    Deserialize,
    Serialize, //
};

use super::DemandRate;

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
    /// RequestNeeds, in tokens a second.
    pub rate: u64,
    /// Tokens that are released at most in the first second of the release.
    #[serde(default = "unpaced", skip_serializing_if = "is_unpaced")]
    pub pace: u64,
}

/// Pace of a reserve that is released without regard to demand.
const UNPACED: u64 = u64::MAX;

fn unpaced() -> u64 {
    UNPACED
}

#[allow(clippy::trivially_copy_pass_by_ref)] // The signature that serde asks for.
fn is_unpaced(pace: &u64) -> bool {
    *pace == UNPACED
}

/// Time without an accepted write after which the reserve begins to be released, in seconds: two
/// beats and the answer of a slow store.
const RELEASE_FROM_S: f64 = 0.7;

/// Time in which the whole reserve is released, in seconds. The release grows as the square of the
/// time, so that a VM that restarts within two seconds strands little of it.
const RELEASE_S: f64 = 3.3;

impl Grant {
    /// Tokens up to which may be spent `age` seconds after the last accepted write. Never falls as
    /// the age grows, and never exceeds `cap`.
    pub fn released(&self, age: f64) -> u64 {
        let since = (age - RELEASE_FROM_S).max(0.0);
        let part = (since / RELEASE_S).min(1.0).powi(2);
        let reserve = self.cap.saturating_sub(self.issued);
        let by_time = (reserve as f64 * part) as u64;
        // As by time until the whole reserve is out, and then no faster than demand.
        let seconds = since.min(RELEASE_S).powi(2) + (since - RELEASE_S).max(0.0);
        let by_pace = (self.pace as f64 * seconds) as u64;
        self.issued + by_time.min(by_pace)
    }

    /// Seconds after the last accepted write at which `tokens` may be spent; `None` if never.
    pub fn release_time(&self, tokens: u64) -> Option<f64> {
        let lack = tokens.saturating_sub(self.issued) as f64;
        let reserve = self.cap.saturating_sub(self.issued) as f64;
        if lack > reserve {
            return None;
        }
        let by_time = RELEASE_S * (lack / reserve.max(1.0)).sqrt();
        let seconds = lack / self.pace.max(1) as f64;
        let by_pace = match seconds - RELEASE_S.powi(2) {
            rest if rest > 0.0 => RELEASE_S + rest,
            _ => seconds.sqrt(),
        };
        Some(RELEASE_FROM_S + by_time.max(by_pace))
    }
}

/// Weight of one request in the usual cost.
const COST_WEIGHT: f64 = 0.1;

/// A grant in a write whose outcome is not known.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct UncertainGrant {
    /// The grant.
    pub grant: Grant,
    /// Time at which the answer came whose store's time the write names.
    pub basis: Instant,
}

/// What this daemon knows of its own grant.
#[derive(Clone, Debug, Default)]
pub struct Account {
    /// The grant in the newest row that the store is known to hold.
    pub confirmed: Grant,
    /// Grants in writes whose outcome is not known.
    pub uncertain: Vec<UncertainGrant>,
    /// Tokens that ended requests consumed.
    pub spent: u64,
    /// Tokens that open requests may consume at most.
    pub open: u64,
    /// RequestNeeds here.
    pub rate: DemandRate,
    /// Tokens that requests wait for, beyond what there is room for.
    pub waiting_tokens: u64,
    /// Moving average of the tokens that one request may consume.
    pub mean_cost: f64,
}

impl Account {
    /// Tokens that have left the grant: consumed, or taken by open requests.
    pub fn used(&self) -> u64 {
        self.spent + self.open
    }

    /// Tokens up to which the daemon may spend at `now`, if the last write was accepted at `contact`.
    /// While writes are in doubt it is the least of what any of them allows, each by the age that a
    /// successor would see in its row.
    pub fn spend_limit(&self, contact: Option<Instant>, now: Instant) -> u64 {
        let age = |at: Instant| now.saturating_duration_since(at).as_secs_f64();
        let confirmed = self.confirmed.released(contact.map_or(0.0, age));
        self.uncertain
            .iter()
            .map(|d| d.grant.released(age(d.basis)))
            .fold(confirmed, u64::min)
    }

    /// Takes `cost` tokens for a request, if there is room.
    pub fn reserve(&mut self, cost: u64, contact: Option<Instant>, now: Instant) -> bool {
        if self.used().saturating_add(cost) > self.spend_limit(contact, now) {
            return false;
        }
        self.open += cost;
        true
    }

    /// Notes the cost of a request.
    pub fn record_cost(&mut self, cost: u64) {
        let weight = if self.mean_cost == 0.0 {
            1.0
        } else {
            COST_WEIGHT
        };
        self.mean_cost += weight * (cost as f64 - self.mean_cost);
    }

    /// Ends a request that took `cost` tokens and consumed `used`.
    pub fn settle(&mut self, cost: u64, used: u64) {
        self.open = self.open.saturating_sub(cost);
        self.spent += used;
    }
}
