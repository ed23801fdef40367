//! Whether a request gets its tokens, and when a caller that got none comes back.

use std::time::Duration;

/// Time after which tokens that other daemons hold have come back: several writes and readings.
const GRANT_RETRY: Duration = Duration::from_millis(1500);

/// Time after which a caller is asked to come back when the whole reserve is spent: planned cuts last up
/// to 9 s, and half of that is over on average.
const SPENT_RETRY: Duration = Duration::from_millis(4500);

/// Whether a request's tokens could be taken.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admission {
    /// They were taken.
    Taken,
    /// There is no room now; the next write may bring it.
    Grant,
    /// There is no room now; the reserve that is released within this time brings it.
    Release(Duration),
    /// There is no room, and the store can't be asked for more.
    Refused,
    /// The customer's remaining tokens do not cover the request.
    Exhausted,
}

impl Admission {
    /// Time after which a caller that got no tokens is asked to come back. Answers a load that comes again
    /// while the store is away: what is sent before the reserve is released is refused again.
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
            Admission::Refused => SPENT_RETRY,
            Admission::Taken | Admission::Grant | Admission::Exhausted => GRANT_RETRY,
        }
    }
}
