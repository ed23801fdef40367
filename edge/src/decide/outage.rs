//! Whether entries of the store may have expired while it could not be read.
//!
//! Load pattern: connections to the store are reset or go silent, and the store is away for seconds, once or again
//! and again, while runners leave.

use std::time::{
    Duration,
    Instant, //
};

/// Heartbeats of a runner that must fail one after the other before its entry expires.
const LAPSE_HEARTBEATS: u32 = 3;

/// Part of a heartbeat interval by which heartbeats may be early or late.
const HEARTBEAT_JITTER: f64 = 0.25;

/// Shortest time after an answer of the store within which the entry of a sound runner can expire. The runner has
/// renewed it at most one interval before the answer.
///
/// # Examples
///
/// ```
/// use std::time::Duration;
/// use cuminloom_edge::decide::shortest_lapse;
///
/// assert_eq!(shortest_lapse(Duration::from_millis(1200)), Duration::from_millis(2100));
/// ```
pub fn shortest_lapse(heartbeat: Duration) -> Duration {
    heartbeat.mul_f64(f64::from(LAPSE_HEARTBEATS - 1) - HEARTBEAT_JITTER)
}

/// Answers of the store to the calls that read the runners' entries.
///
/// An entry that is missing after failed calls has either expired, and its runner will register again, or was removed
/// because the runner has left. It can have expired only if the store was away for [`shortest_lapse`] or longer.
///
/// # Examples
///
/// ```
/// use std::time::{Duration, Instant};
/// use cuminloom_edge::decide::OutageWatch;
///
/// let (start, heartbeat) = (Instant::now(), Duration::from_millis(1200));
/// let mut watch = OutageWatch::default();
/// watch.record_answer(start, heartbeat);
/// watch.record_failure();
/// assert!(!watch.record_answer(start + Duration::from_secs(2), heartbeat));
/// watch.record_failure();
/// assert!(watch.record_answer(start + Duration::from_secs(5), heartbeat));
/// ```
#[derive(Debug, Default)]
pub struct OutageWatch {
    /// Time of the newest answer.
    answered: Option<Instant>,
    /// Whether a call has failed since then. Without one, this process itself may have stood still.
    failed: bool,
}

impl OutageWatch {
    /// Records a call that failed.
    pub fn record_failure(&mut self) {
        self.failed = true;
    }

    /// Records an answer. Returns whether entries may have expired since the one before.
    pub fn record_answer(&mut self, now: Instant, heartbeat: Duration) -> bool {
        let limit = shortest_lapse(heartbeat);
        let long = |at| now.saturating_duration_since(at) >= limit;
        let was_away = self.failed && self.answered.is_none_or(long);
        self.failed = false;
        self.answered = Some(now);
        was_away
    }
}
