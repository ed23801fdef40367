//! What this VM's own network link does, as a measure for judging other machines.

use std::{
    cell::Cell,
    time::{
        Duration,
        Instant, //
    },
};

/// Multiple of the measured round trip by which timeouts are extended.
const ALLOWANCE_FACTOR: u32 = 3;

/// Longest round trip that counts, so that timeouts stay far below the callers' limits.
const MAX_ROUND_TRIP: Duration = Duration::from_millis(400);

/// Time in which a measured round trip loses half of its weight if no other is measured.
const HALF_LIFE_S: f64 = 2.0;

/// Delay of a timer from which this process counts as stalled.
const MAX_TIMER_DELAY: Duration = Duration::from_millis(30);

/// Activity and delay of the link of this VM, over all other machines. While all of them are silent or
/// slow, the cause is more likely this VM or its link than one of them.
///
/// # Examples
///
/// ```
/// use std::time::{Duration, Instant};
/// use cuminloom_edge::http::LinkActivity;
///
/// let start = Instant::now();
/// let link = LinkActivity::new(start);
/// link.record(start + Duration::from_millis(40));
/// let now = start + Duration::from_millis(100);
/// assert_eq!(link.silence(now), Duration::from_millis(60));
/// link.record_round_trip(now, Duration::from_millis(40));
/// assert_eq!(link.allowance(now), Duration::from_millis(60));
/// ```
#[derive(Debug)]
pub struct LinkActivity {
    /// Time at which anything was last received.
    heard: Cell<Instant>,
    /// Smoothed round trip, and the time at which it held.
    round_trip: Cell<(Duration, Instant)>,
}

impl LinkActivity {
    /// Creates the state of a process that starts at `now`.
    pub fn new(now: Instant) -> LinkActivity {
        LinkActivity {
            heard: Cell::new(now),
            round_trip: Cell::new((Duration::ZERO, now)),
        }
    }

    /// Records that bytes have arrived or a connection was accepted.
    pub fn record(&self, now: Instant) {
        self.heard.set(now);
    }

    /// Records the time that an exchange took to which the other machine replies at once. Rises fast,
    /// as a full link makes each of them slow, and falls slowly.
    pub fn record_round_trip(&self, now: Instant, time: Duration) {
        self.record(now);
        let old = self.round_trip(now);
        let new = if time > old {
            (old + time) / 2
        } else {
            (old * 7 + time) / 8
        };
        self.round_trip.set((new.min(MAX_ROUND_TRIP), now));
    }

    /// The smoothed round trip as of `now`.
    fn round_trip(&self, now: Instant) -> Duration {
        let (time, at) = self.round_trip.get();
        let age = now.saturating_duration_since(at).as_secs_f64();
        time.mul_f64(0.5_f64.powf(age / HALF_LIFE_S))
    }

    /// Time by which a timeout on another machine is to be extended for the delay of this VM's link.
    pub fn allowance(&self, now: Instant) -> Duration {
        self.round_trip(now) * ALLOWANCE_FACTOR
    }

    /// Time since anything arrived.
    pub fn silence(&self, now: Instant) -> Duration {
        now.saturating_duration_since(self.heard.get())
    }

    /// Whether a timeout of `limit` on another machine, begun at `begun` and over at `now`, tells
    /// something about that machine: this process ran on time and heard from others meanwhile.
    pub fn is_conclusive(&self, begun: Instant, limit: Duration, now: Instant) -> bool {
        let late = now.saturating_duration_since(begun).saturating_sub(limit);
        late <= MAX_TIMER_DELAY && self.heard.get() > begun
    }
}
