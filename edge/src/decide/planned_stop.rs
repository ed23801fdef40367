//! What a daemon does with requests during a planned stop, against requests that are taken and then cut off
//! when the process ends.
//!
//! Times are durations on a clock that goes on while the VM is suspended, as the grace period does.

use std::time::Duration;

/// Time for which new requests are served after the stop began: the load balancer needs two of its
/// health checks, a second apart, to send them elsewhere.
const ACCEPT_TIME: Duration = Duration::from_millis(2600);

/// Largest part of the grace period for which new requests are served.
const ACCEPT_FRACTION: f64 = 0.35;

/// Part of the grace period after which open requests are answered. The users let a request that a runner
/// still works on be ended in the last sixth.
const ANSWER_FRACTION: f64 = 0.845;

/// Part of the grace period after which the process ends in any case. What it has not returned by then stays
/// committed to it.
const EXIT_FRACTION: f64 = 0.9;

/// Plan of a stop that began at a time.
///
/// # Examples
///
/// ```
/// use std::time::Duration;
/// use cuminloom_edge::decide::PlannedStop;
///
/// let second = Duration::from_secs(1);
/// let stop = PlannedStop::new(100 * second, 8 * second);
/// assert!(stop.accepts(102 * second));
/// assert!(!stop.accepts(103 * second));
/// // A request that takes 3 s may be sent at 3 s, but not at 4 s.
/// assert!(stop.may_send(103 * second, 3 * second));
/// assert!(!stop.may_send(104 * second, 3 * second));
/// assert!(stop.must_answer(107 * second));
/// ```
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PlannedStop {
    /// Time at which it began.
    pub began: Duration,
    grace: Duration,
}

impl PlannedStop {
    /// Plans a stop that began at `began`, after which the process is killed when `grace` is over.
    pub fn new(began: Duration, grace: Duration) -> PlannedStop {
        PlannedStop { began, grace }
    }

    /// Time since the stop began.
    pub fn elapsed(&self, now: Duration) -> Duration {
        now.saturating_sub(self.began)
    }

    /// Whether new requests are taken.
    pub fn accepts(&self, now: Duration) -> bool {
        let limit = ACCEPT_TIME.min(self.grace.mul_f64(ACCEPT_FRACTION));
        self.elapsed(now) < limit
    }

    /// Whether a request may be sent that a runner is expected to take `time` for.
    pub fn may_send(&self, now: Duration, time: Duration) -> bool {
        self.elapsed(now).saturating_add(time) < self.grace.mul_f64(ANSWER_FRACTION)
    }

    /// Whether requests that are still open are answered with what is known of them.
    pub fn must_answer(&self, now: Duration) -> bool {
        self.elapsed(now) >= self.grace.mul_f64(ANSWER_FRACTION)
    }

    /// Whether the process ends: with `open` requests not before the last moment, and without any as soon as
    /// its tokens are `returned`, for which it tries until the grace period is nearly over.
    pub fn must_exit(&self, now: Duration, open: bool, returned: bool) -> bool {
        let last = self.elapsed(now) >= self.grace.mul_f64(EXIT_FRACTION);
        last || (!open && returned && !self.accepts(now))
    }
}
