//! Sizing of grants: how many tokens of a customer a daemon holds.

use std::time::Instant;

use super::{
    super::{
        Account,
        Grant,
        LinearRelease, //
    },
    Ledger,
};

/// Seconds of demand that are issued ahead: up to the start of the release.
const ISSUE_S: f64 = 0.8;

/// Seconds of demand that the reserve covers: planned partitions last up to 9 s, and demand varies.
const RESERVE_S: f64 = 16.0;

/// Fraction of a customer's spare tokens that all reserves together may take.
const RESERVE_FRACTION: f64 = 0.7;

/// Fraction of the spare tokens that all daemons together may issue ahead.
const ISSUE_FRACTION: f64 = 0.3;

/// Fraction of the spare tokens that daemons without demand together hold as reserve.
const IDLE_FRACTION: f64 = 0.25;

/// Requests of mean cost per holder that stay uncommitted, as the common pool, before any reserve
/// is made.
const POOL_REQUESTS: f64 = 1.5;

/// Multiple of a daemon's own demand that sets the pace of its release. With a lower value, the
/// pace would delay the release of a reserve for [`RESERVE_S`].
const PACE_FACTOR: f64 = 2.0;

/// Minimum pace as a fraction of the demand at all daemons, for callers that move here from others.
const PACE_FRACTION: f64 = 0.3;

/// Requests of mean cost that the pace covers in addition to the demand.
const PACE_REQUESTS: f64 = 2.0;

/// Minimum pace, in tokens. Over its whole duration the release covers 10.9 times that, which is
/// enough for the largest request of the users, with a prompt of 54,600 tokens.
const MIN_PACE_TOKENS: f64 = 5200.0;

/// Multiple of a daemon's own demand that is released each second, because in a partition callers move and send
/// more than before.
const RELEASE_FACTOR: f64 = 2.0;

/// Minimum of the linear release, in tokens per second, for a customer without demand.
const MIN_RELEASE_TOKENS: f64 = 500.0;

/// Time of demand that the burst of a release covers, in seconds.
const BURST_S: f64 = 3.0;

/// Requests of mean cost that the burst covers at least: large requests are many times the mean.
const BURST_REQUESTS: f64 = 3.0;

/// Tokens of the users' largest request. A burst is no larger, and once the store has been unreachable for long
/// the release adds as many.
pub(super) const LARGEST_REQUEST: u64 = 70_000;

/// Surplus or shortfall of a small grant that is not worth changing the customer's row, in tokens.
const MIN_SLACK_TOKENS: u64 = 3000;

/// Part of the reserve that may be missing before the customer's row is changed: with busy customers, each
/// holder would else change all their rows with each write, and most writes would conflict.
const RESERVE_SLACK_DIVISOR: u64 = 8;

/// Divisor that limits the slack of all daemons together to a sixteenth of the remaining tokens.
const SLACK_DIVISOR: u64 = 16;

/// As [`SLACK_DIVISOR`], while another daemon needs the tokens.
const RECLAIMED_SLACK_DIVISOR: u64 = 40;

impl Ledger {
    /// Computes the grant that the next write contains for the customer `name`.
    pub(super) fn next_grant(&self, name: &str, now: Instant) -> Grant {
        let empty = Account::default();
        let account = self.accounts.get(name).unwrap_or(&empty);
        let old = account.confirmed;
        let rate = account.rate.per_second(now);
        let used = account.used();
        let mut grant = Grant {
            spent: account.spent,
            open: account.open,
            rate: rate as u64,
            ..old
        };
        if self.leaving {
            grant.cap = used;
            grant.issued = used;
            return grant;
        }
        let remaining = self.remaining(name);
        let members = self.holder_count() as u64;
        let pool = POOL_REQUESTS * members as f64 * account.mean_cost;
        let spare = (remaining as f64 - pool).max(0.0);
        let total = self.peer_rate(name) + rate;
        let share = if total < 1.0 {
            1.0 / members as f64
        } else {
            rate / total
        };
        let idle = spare * IDLE_FRACTION / members as f64;
        let reclaimed = account.is_reclaimed(now);
        let ahead = match reclaimed && !self.is_holder() {
            true => 0.0,
            false => (rate * ISSUE_S).min(spare * share * ISSUE_FRACTION),
        };
        let holds_reserve = self.is_holder() && !reclaimed;
        let reserve = if holds_reserve {
            (rate * RESERVE_S)
                .min(spare * share * RESERVE_FRACTION)
                .max(idle) as u64
        } else {
            0
        };
        let issue = used + account.waiting_tokens + ahead as u64;
        let wanted = issue + reserve;
        let slack = if holds_reserve {
            MIN_SLACK_TOKENS
                .max(reserve / RESERVE_SLACK_DIVISOR)
                .min(remaining / (SLACK_DIVISOR * members))
        } else if reclaimed && self.is_holder() {
            MIN_SLACK_TOKENS.min(remaining / (RECLAIMED_SLACK_DIVISOR * members))
        } else {
            0
        };
        // A small change of the customer's row would only delay the daemon that needs the tokens.
        let needed = if reclaimed {
            used + account.waiting_tokens
        } else {
            issue
        };
        grant.cap = if wanted > old.cap {
            let shortfall = wanted - old.cap;
            let worth_write = needed > old.cap || shortfall > slack;
            if worth_write {
                old.cap + shortfall.min(self.free(name, now))
            } else {
                old.cap
            }
        } else if old.cap - wanted > slack + reserve / 3 {
            wanted
        } else {
            old.cap
        };
        grant.issued = issue.min(grant.cap).max(used.min(grant.cap));
        // A faster release would not serve more demand, but charge more when the process crashes.
        let demand = (rate * PACE_FACTOR).max(total * PACE_FRACTION);
        let pace = demand + account.mean_cost * PACE_REQUESTS;
        grant.pace = pace.max(MIN_PACE_TOKENS) as u64;
        grant.release = Some(self.linear_release(name, rate, total));
        grant
    }

    /// Linear release of the reserve of `name` with the demand `rate` here and `total` at all daemons, in tokens
    /// per second. Only the holder that its data centre asks first has the extra for a large request: the others
    /// ask it, and a loss of all processes charges the extra once for each data centre.
    fn linear_release(&self, name: &str, rate: f64, total: f64) -> LinearRelease {
        let equal_part = total / self.holder_count() as f64;
        let steady = (rate * RELEASE_FACTOR).max(equal_part);
        let preferred = self.is_preferred_for(name);
        let mean_cost = self.accounts.get(name).map_or(0.0, |a| a.mean_cost);
        let burst = (rate * BURST_S).max(mean_cost * BURST_REQUESTS) as u64;
        LinearRelease {
            rate: steady.max(MIN_RELEASE_TOKENS) as u64,
            burst: burst.min(LARGEST_REQUEST),
            extra: if preferred { LARGEST_REQUEST } else { 0 },
        }
    }

    /// Demand for `name` at the other daemons, in tokens per second.
    fn peer_rate(&self, name: &str) -> f64 {
        self.peer_rows
            .values()
            .filter(|(_, row)| !row.leaving)
            .filter_map(|(_, row)| row.grants.get(name))
            .map(|g| g.rate as f64)
            .sum()
    }
}
