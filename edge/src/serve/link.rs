//! When this VM last received anything from another machine.

use std::{
    cell::Cell,
    time::{
        Duration,
        Instant, //
    },
};

/// Time at which this process last received bytes from any runner, daemon or the store. While all of
/// them are silent, the cause is more likely this VM or its link than one of them.
///
/// # Examples
///
/// ```
/// use std::time::{Duration, Instant};
/// use cuminloom_edge::serve::LinkActivity;
///
/// let start = Instant::now();
/// let link = LinkActivity::new(start);
/// link.record(start + Duration::from_millis(40));
/// let now = start + Duration::from_millis(100);
/// assert_eq!(link.silence(now), Duration::from_millis(60));
/// ```
#[derive(Debug)]
pub struct LinkActivity(Cell<Instant>);

impl LinkActivity {
    /// Creates the state of a process that starts at `now`.
    pub fn new(now: Instant) -> LinkActivity {
        LinkActivity(Cell::new(now))
    }

    /// Records that bytes have arrived or a connection was accepted.
    pub fn record(&self, now: Instant) {
        self.0.set(now);
    }

    /// Time since anything arrived.
    pub fn silence(&self, now: Instant) -> Duration {
        now.saturating_duration_since(self.0.get())
    }

    /// Whether anything has arrived after `time`.
    pub fn is_active_since(&self, time: Instant) -> bool {
        self.0.get() > time
    }
}
