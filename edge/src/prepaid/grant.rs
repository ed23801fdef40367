//! Grants: one customer's tokens at one daemon.

use std::time::{
    Duration,
    Instant, //
};

use serde::{
    Deserialize,
    Serialize, //
};

use super::{
    DemandRate,
    LinearRelease,
    MAX_TOTAL,
    release::RELEASE_DELAY_S, //
};

/// Share of a customer's tokens that a daemon holds; the figures are cumulative tokens, except
/// `open`, `rate` and `pace`.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Grant {
    /// Total of the tokens committed to the daemon.
    pub cap: u64,
    /// Tokens that it may spend in total while the store accepts its writes; the rest of `cap` is
    /// the reserve.
    pub issued: u64,
    /// Tokens that finished requests consumed.
    pub spent: u64,
    /// Tokens that open requests may consume at most.
    pub open: u64,
    /// Demand, in tokens per second.
    pub rate: u64,
    /// Most tokens of the reserve that are released in the first second of the release.
    #[serde(default = "unpaced", skip_serializing_if = "is_unpaced")]
    pub pace: u64,
    /// Linear release of the reserve, which bounds the quadratic one. Earlier versions neither write nor read it:
    /// their rows are released by the quadratic rule alone, and they charge no less for a row that has it.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub release: Option<LinearRelease>,
}

/// Value of [`Grant::pace`] that sets no limit: the release does not depend on demand.
const UNPACED: u64 = u64::MAX;

/// Default of [`Grant::pace`] in rows that do not contain it.
fn unpaced() -> u64 {
    UNPACED
}

#[allow(clippy::trivially_copy_pass_by_ref)] // serde requires this signature.
fn is_unpaced(pace: &u64) -> bool {
    *pace == UNPACED
}

/// Duration of the quadratic release of the whole reserve, in seconds. The released amount grows with the
/// square of the time, so that a VM that restarts within two seconds strands little of the reserve.
const RELEASE_DURATION_S: f64 = 3.3;

impl Grant {
    /// Tokens that may be spent in total `age` seconds after the last accepted write. Never
    /// decreases as `age` grows, and never exceeds `cap`.
    pub fn released(&self, age: f64) -> u64 {
        let elapsed = (age - RELEASE_DELAY_S).max(0.0);
        let fraction = (elapsed / RELEASE_DURATION_S).min(1.0).powi(2);
        let reserve = self.cap.saturating_sub(self.issued);
        let by_time = (reserve as f64 * fraction) as u64;
        // Quadratic, as `by_time`, for the duration of the release, and linear with demand after
        // that.
        let seconds =
            elapsed.min(RELEASE_DURATION_S).powi(2) + (elapsed - RELEASE_DURATION_S).max(0.0);
        let by_pace = (self.pace as f64 * seconds) as u64;
        let linear = self.release.map_or(u64::MAX, |rule| rule.released(age));
        self.issued + by_time.min(by_pace).min(linear)
    }

    /// Whether a daemon can have written it.
    pub fn is_plausible(&self) -> bool {
        let figures = [self.cap, self.issued, self.spent, self.open, self.rate];
        figures.iter().all(|n| *n <= MAX_TOTAL)
    }

    /// Whether nothing is committed to the daemon and nothing was consumed.
    pub fn is_empty(&self) -> bool {
        self.cap == 0 && self.spent == 0 && self.open == 0
    }

    /// Sets `cap` back to `cap`, and `issued` to no more than that.
    pub fn keep_cap(&mut self, cap: u64) {
        self.cap = cap;
        self.issued = self.issued.min(cap);
    }

    /// Seconds after the last accepted write from which `tokens` may be spent in total; `None` if
    /// the grant never covers them.
    pub fn release_time(&self, tokens: u64) -> Option<f64> {
        let shortfall = tokens.saturating_sub(self.issued) as f64;
        let reserve = self.cap.saturating_sub(self.issued) as f64;
        if shortfall > reserve {
            return None;
        }
        let by_time = RELEASE_DURATION_S * (shortfall / reserve.max(1.0)).sqrt();
        let seconds = shortfall / self.pace.max(1) as f64;
        let by_pace = match seconds - RELEASE_DURATION_S.powi(2) {
            rest if rest > 0.0 => RELEASE_DURATION_S + rest,
            _ => seconds.sqrt(),
        };
        let quadratic = RELEASE_DELAY_S + by_time.max(by_pace);
        let linear = self
            .release
            .map_or(0.0, |rule| rule.release_age(shortfall as u64));
        Some(quadratic.max(linear)).filter(|age| age.is_finite())
    }
}

/// Weight of the newest request in [`Account::mean_cost`].
const COST_WEIGHT: f64 = 0.1;

/// A grant in a row that this process wrote.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct DatedGrant {
    /// The grant.
    pub grant: Grant,
    /// Local time at which the store time in the written row was received.
    pub basis: Instant,
}

/// Time after which other VMs have read a row: more than two of their reading intervals.
const READ_BY_OTHERS: Duration = Duration::from_millis(2500);

/// Shortest time between two rows that are remembered until others have read them.
const REMEMBERED_SPACING: Duration = Duration::from_millis(250);

/// A grant in an own row of which other VMs may not know yet.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct OwnGrant {
    /// The grant.
    pub dated: DatedGrant,
    /// Sequence number of the write.
    pub number: u64,
    /// Time at which the store had the row.
    pub at: Instant,
}

/// A daemon's own account of one customer: its grant and what has been spent of it.
#[derive(Clone, Debug, Default)]
pub struct Account {
    /// Grant in the newest row that the store is known to contain.
    pub confirmed: Grant,
    /// Newest grant of which another VM knows. No more is spent than it releases: the store can lose its newest rows,
    /// and this process can end before it writes them again.
    pub witnessed: Option<OwnGrant>,
    /// Later grants, oldest first.
    pub unwitnessed: Vec<OwnGrant>,
    /// Grants in writes whose outcome is unknown.
    pub uncertain: Vec<DatedGrant>,
    /// Tokens that finished requests consumed.
    pub spent: u64,
    /// Tokens that open requests may consume at most.
    pub open: u64,
    /// Demand of the customer at this daemon.
    pub rate: DemandRate,
    /// Tokens for which requests wait because the grant does not cover them yet.
    pub waiting_tokens: u64,
    /// Moving average of the tokens that a request reserves.
    pub mean_cost: f64,
    /// Time until which no reserve is held, because another daemon lacks tokens.
    pub reclaimed_until: Option<Instant>,
}

impl Account {
    /// Tokens that are consumed or reserved by open requests.
    pub fn used(&self) -> u64 {
        self.spent + self.open
    }

    /// Whether another daemon has reclaimed the reserve.
    pub fn is_reclaimed(&self, now: Instant) -> bool {
        self.reclaimed_until.is_some_and(|until| now < until)
    }

    /// Tokens that the daemon may spend in total at `now`, if the last write was accepted at
    /// `contact`. While the outcome of writes is unknown, this is the minimum over all rows that
    /// the store may contain, each released by the age that a successor would compute for that row.
    pub fn spend_limit(&self, contact: Option<Instant>, now: Instant) -> u64 {
        self.write_limit(contact, now)
            .min(self.witnessed_limit(now))
    }

    /// Tokens that the daemon may spend in total at `now` if other VMs knew all its rows.
    pub fn write_limit(&self, contact: Option<Instant>, now: Instant) -> u64 {
        let age = |at: Instant| now.saturating_duration_since(at).as_secs_f64();
        let confirmed = self.confirmed.released(contact.map_or(0.0, age));
        self.uncertain
            .iter()
            .map(|d| d.grant.released(age(d.basis)))
            .fold(confirmed, u64::min)
    }

    /// Tokens that the daemon may spend in total at `now` by the newest grant of which another VM knows.
    pub fn witnessed_limit(&self, now: Instant) -> u64 {
        let read = |own: &&OwnGrant| now.saturating_duration_since(own.at) >= READ_BY_OTHERS;
        let known = self.unwitnessed.iter().rfind(read);
        let known = known.or(self.witnessed.as_ref());
        known.map_or(0, |own| {
            let age = now.saturating_duration_since(own.dated.basis);
            own.dated.grant.released(age.as_secs_f64())
        })
    }

    /// Records that the store has `own` as the newest grant. Others know of it at once if there are none.
    pub fn record_row(&mut self, own: OwnGrant, alone: bool) {
        let read = |old: &OwnGrant| own.at.saturating_duration_since(old.at) >= READ_BY_OTHERS;
        if let Some(i) = self.unwitnessed.iter().rposition(read) {
            self.witnessed = self.unwitnessed.drain(..=i).next_back();
        }
        if alone {
            self.witnessed = Some(own);
            self.unwitnessed.clear();
            return;
        }
        // What was returned is not spent, though others knew that it was held.
        let cap = own.dated.grant.cap;
        for old in self.witnessed.iter_mut().chain(&mut self.unwitnessed) {
            let least = old.dated.grant.cap.min(cap);
            old.dated.grant.keep_cap(least);
        }
        let last = self.unwitnessed.last();
        if last.is_none_or(|last| own.at >= last.at + REMEMBERED_SPACING) {
            self.unwitnessed.push(own);
        }
    }

    /// Records that another VM knows of `own`.
    pub fn record_witness(&mut self, own: OwnGrant) {
        if self
            .witnessed
            .is_some_and(|known| known.number > own.number)
        {
            return;
        }
        self.witnessed = Some(own);
        self.unwitnessed.retain(|later| later.number > own.number);
    }

    /// Tokens that are committed to this daemon whichever of its writes took effect.
    pub fn least_cap(&self) -> u64 {
        let uncertain = self.uncertain.iter().map(|d| d.grant.cap);
        uncertain.fold(self.confirmed.cap, u64::min)
    }

    /// Reserves `cost` tokens for a request, if the spend limit allows it.
    pub fn reserve(&mut self, cost: u64, contact: Option<Instant>, now: Instant) -> bool {
        if self.used().saturating_add(cost) > self.spend_limit(contact, now) {
            return false;
        }
        self.open += cost;
        true
    }

    /// Adds the cost of a request to the average.
    pub fn record_cost(&mut self, cost: u64) {
        let weight = if self.mean_cost == 0.0 {
            1.0
        } else {
            COST_WEIGHT
        };
        self.mean_cost += weight * (cost as f64 - self.mean_cost);
    }

    /// Settles a finished request that reserved `cost` tokens and consumed `used`.
    pub fn settle(&mut self, cost: u64, used: u64) {
        self.open = self.open.saturating_sub(cost);
        self.spent += used;
    }
}
