//! Linear release of a reserve: what a daemon that lost the store may spend of it, by the age of its row.

use serde::{
    Deserialize,
    Serialize, //
};

/// Age of the row at which a release starts, in seconds: two write intervals and the response time of a slow
/// store.
pub(super) const RELEASE_DELAY_S: f64 = 0.7;

/// Time over which the burst is released, in seconds, from [`RELEASE_DELAY_S`] on.
const BURST_TIME_S: f64 = 2.0;

/// Age of the row at which the extra for one large request starts to be released, in seconds. A killed process
/// is back within 4.5 s and its row is up to 0.8 s older, so that a restart does not charge the extra.
const EXTRA_DELAY_S: f64 = 5.5;

/// Time over which the extra is released, in seconds: partitions of up to 9 s then have the whole of it.
const EXTRA_TIME_S: f64 = 1.5;

/// Longest age of a row that is considered, in seconds: an hour. What is not released by then counts as never
/// released.
const MAX_AGE_S: f64 = 3600.0;

/// Steps of the search for the age at which tokens are released: MAX_AGE_S / 2^40 is far below a millisecond.
const SEARCH_STEPS: u32 = 40;

/// Rule by which a row's reserve is released linearly with time. It applies beside the rule of earlier versions,
/// the lower of the two counts; a row without it is released by that rule alone.
///
/// # Examples
///
/// ```
/// use cuminloom_edge::prepaid::LinearRelease;
///
/// let rule = LinearRelease { rate: 1_000, burst: 4_000, extra: 70_000 };
/// assert_eq!(rule.released(0.5), 0);
/// assert_eq!(rule.released(2.7), 6_000);
/// assert_eq!(rule.released(7.7), 81_000);
/// ```
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LinearRelease {
    /// Tokens released in each second.
    pub rate: u64,
    /// Tokens released in addition within the first seconds, because demand is uneven.
    pub burst: u64,
    /// Tokens released in addition once the store has been unreachable for long, for one large request.
    pub extra: u64,
}

/// Part of an amount that is released at `age` if its release starts at `start` and takes `time`, in seconds.
fn part(age: f64, start: f64, time: f64) -> f64 {
    ((age - start) / time).clamp(0.0, 1.0)
}

impl LinearRelease {
    /// Tokens of the reserve that are released at the age `age` of the row, in seconds. Never decreases as `age`
    /// grows.
    pub fn released(&self, age: f64) -> u64 {
        let steady = self.rate as f64 * (age - RELEASE_DELAY_S).max(0.0);
        let burst = self.burst as f64 * part(age, RELEASE_DELAY_S, BURST_TIME_S);
        let extra = self.extra as f64 * part(age, EXTRA_DELAY_S, EXTRA_TIME_S);
        (steady + burst + extra) as u64
    }

    /// Age of the row, in seconds, from which `tokens` of the reserve are released; infinite if they never are.
    ///
    /// # Examples
    ///
    /// ```
    /// use cuminloom_edge::prepaid::LinearRelease;
    ///
    /// let rule = LinearRelease { rate: 1_000, burst: 0, extra: 0 };
    /// let age = rule.release_age(5_000);
    /// assert!(rule.released(age) >= 5_000 && age < 5.71);
    /// ```
    pub fn release_age(&self, tokens: u64) -> f64 {
        if tokens == 0 {
            return 0.0;
        }
        if self.released(MAX_AGE_S) < tokens {
            return f64::INFINITY;
        }
        let (mut before, mut after) = (0.0, MAX_AGE_S);
        for _ in 0..SEARCH_STEPS {
            let middle = (before + after) / 2.0;
            if self.released(middle) < tokens {
                before = middle;
            } else {
                after = middle;
            }
        }
        after
    }
}
