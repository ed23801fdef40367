//! How much of a customer's tokens a daemon holds.

use std::time::Instant;

use super::{
    super::{
        Account,
        Grant, //
    },
    Ledger,
};

/// RequestNeeds that is issued ahead, in seconds: until the release begins.
const ISSUE_S: f64 = 0.8;

/// RequestNeeds that the reserve covers, in seconds: planned cuts last up to 9 s, and demand varies.
const RESERVE_S: f64 = 16.0;

/// Part of a customer's spare tokens that all reserves together may take.
const RESERVE_PART: f64 = 0.7;

/// Part of the spare tokens that all daemons together issue ahead.
const ISSUE_PART: f64 = 0.3;

/// Part of the spare tokens that daemons without demand reserve together.
const IDLE_PART: f64 = 0.25;

/// Requests of usual size a daemon that stay in the common pool before any reserve.
const POOL_REQUESTS: f64 = 1.5;

/// Multiple of a daemon's own demand that the release of its reserve covers in its first second. With
/// less a reserve for [`RESERVE_S`] would be released later than by time.
const PACE_X: f64 = 2.0;

/// Part of the demand of all daemons that it covers at least, for the callers of others.
const PACE_PART: f64 = 0.3;

/// Requests of usual size that it covers beside the demand.
const PACE_REQUESTS: f64 = 2.0;

/// Tokens that it covers at least. The release by time covers 10.9 times that, as much as the users' largest
/// request, with 54,600 tokens of prompt.
const LEAST_PACE: f64 = 5200.0;

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
        let pool = POOL_REQUESTS * members as f64 * account.mean_cost;
        let spare = (remaining as f64 - pool).max(0.0);
        let total = self.others_rate(name) + rate;
        let share = if total < 1.0 {
            1.0 / members as f64
        } else {
            rate / total
        };
        let ahead = (rate * ISSUE_S).min(spare * share * ISSUE_PART);
        let idle = spare * IDLE_PART / members as f64;
        let reserve = (rate * RESERVE_S)
            .min(spare * share * RESERVE_PART)
            .max(idle) as u64;
        let issue = used + account.waiting_tokens + ahead as u64;
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
        // More than all demand would only be charged when the process is lost.
        let demand = (rate * PACE_X).max(total * PACE_PART);
        let pace = demand + account.mean_cost * PACE_REQUESTS;
        grant.pace = pace.max(LEAST_PACE) as u64;
        grant
    }

    /// RequestNeeds for `name` at the other daemons, in tokens a second.
    fn others_rate(&self, name: &str) -> f64 {
        self.peer_rows
            .values()
            .filter(|(_, row)| !row.leaving)
            .filter_map(|(_, row)| row.grants.get(name))
            .map(|g| g.rate as f64)
            .sum()
    }
}
