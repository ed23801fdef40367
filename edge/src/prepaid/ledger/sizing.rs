//! How much of a customer's tokens a daemon holds.

use std::time::Instant;

use super::{
    super::{
        Account,
        Grant, //
    },
    Ledger,
};

/// Demand that is issued ahead, in seconds: until the release begins.
const ISSUE_S: f64 = 0.8;

/// Demand that the reserve covers, in seconds: planned cuts last up to 9 s, and demand varies.
const RESERVE_S: f64 = 16.0;

/// Part of a customer's spare tokens that all reserves together may take.
const RESERVE_PART: f64 = 0.7;

/// Part of the spare tokens that all daemons together issue ahead.
const ISSUE_PART: f64 = 0.3;

/// Part of the spare tokens that daemons without demand reserve together.
const IDLE_PART: f64 = 0.25;

/// Requests of usual size a daemon that stay in the common pool before any reserve.
const POOL_REQUESTS: f64 = 1.5;

/// Surplus that is not worth a write, in tokens.
const SLACK_TOKENS: u64 = 3000;

/// Part of the remaining tokens that the surplus of all daemons together may be.
const SLACK_PART: u64 = 16;

impl Ledger {
    /// The grant that the next write holds for the customer `name`.
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
        let members = u64::from(self.members());
        let pool = POOL_REQUESTS * members as f64 * account.usual_cost;
        let spare = (remaining as f64 - pool).max(0.0);
        let share = self.share(name, rate);
        let ahead = (rate * ISSUE_S).min(spare * share * ISSUE_PART);
        let idle = spare * IDLE_PART / members as f64;
        let reserve = (rate * RESERVE_S)
            .min(spare * share * RESERVE_PART)
            .max(idle) as u64;
        let issue = used + account.wanted + ahead as u64;
        let wish = issue + reserve;
        let slack = SLACK_TOKENS.min(remaining / (SLACK_PART * members));
        grant.cap = if wish > old.cap {
            let lack = wish - old.cap;
            let worth = issue > old.cap || lack > slack;
            if worth {
                old.cap + lack.min(self.free(name))
            } else {
                old.cap
            }
        } else if old.cap - wish > slack + reserve / 3 {
            wish
        } else {
            old.cap
        };
        grant.issued = issue.min(grant.cap).max(used.min(grant.cap));
        grant
    }

    /// Part of the demand of all daemons for `name` that comes here.
    fn share(&self, name: &str, rate: f64) -> f64 {
        let others: f64 = self
            .others
            .values()
            .filter(|(_, row)| !row.leaving)
            .filter_map(|(_, row)| row.grants.get(name))
            .map(|g| g.rate as f64)
            .sum();
        let total = others + rate;
        if total < 1.0 {
            return 1.0 / f64::from(self.members());
        }
        rate / total
    }
}
