//! Outcome of a request for tokens, and the retry delay for a caller that got none.

use std::time::Duration;

/// Time within which other daemons return tokens that they do not need: several writes and reads.
const GRANT_RETRY: Duration = Duration::from_millis(1500);

/// Retry delay when the whole reserve is spent: half of 9 s, the longest network partition that the
/// ledger is designed for, which is the time that is left of it on average.
const EXHAUSTED_RESERVE_RETRY: Duration = Duration::from_millis(4500);

/// Outcome of a request for tokens.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admission {
    /// The tokens are reserved.
    Taken,
    /// The grant does not cover the request now; the next write may enlarge it.
    Grant,
    /// The store is unreachable; the reserve released within this time covers the request.
    Release(Duration),
    /// The store is unreachable and the reserve does not cover the request, or another process has
    /// replaced the row.
    Refused,
    /// The customer's unspent tokens do not cover the request.
    Exhausted,
    /// The unspent tokens would cover the request, but open requests have reserved them or daemons hold them that
    /// do not write their rows: no write brings them.
    Blocked,
}

impl Admission {
    /// Time after which a caller that got no tokens is told to retry. While the store is
    /// unreachable, a retry before the reserve is released would only be refused again.
    ///
    /// # Examples
    ///
    /// ```
    /// use std::time::Duration;
    /// use cuminloom_edge::prepaid::Admission;
    ///
    /// let time = Duration::from_secs(3);
    /// assert_eq!(Admission::Release(time).retry_delay(), time);
    /// ```
    pub fn retry_delay(self) -> Duration {
        match self {
            Admission::Release(time) => time.max(GRANT_RETRY),
            Admission::Refused => EXHAUSTED_RESERVE_RETRY,
            Admission::Taken | Admission::Grant | Admission::Exhausted | Admission::Blocked => {
                GRANT_RETRY
            }
        }
    }
}
