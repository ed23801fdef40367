//! The allowance for sending requests again, against retry storms.

use std::{
    collections::VecDeque,
    time::{
        Duration,
        Instant, //
    },
};

/// Width of one counter, in milliseconds; a tenth of a second keeps the window error at 1 in 100.
const SLOT: Duration = Duration::from_millis(100);

/// Part of the allowance that a daemon uses, for requests that it counts but that another daemon's
/// window does not see yet.
const USED_PART: f64 = 0.8;

/// Part of the allowance that is kept for urgent requests.
const URGENT_PART: f64 = 0.25;

/// Counts first sends and repeats over a sliding window.
///
/// The sum over all daemons stays within `ratio` times the requests plus `extra`, if each daemon
/// takes its share of `extra`.
///
/// # Examples
///
/// ```
/// use std::time::{Duration, Instant};
/// use cuminloom_edge::decide::RetryBudget;
///
/// let now = Instant::now();
/// let mut budget = RetryBudget::new(0.2, 7.0, Duration::from_secs(10));
/// assert!(budget.try_retry(now, 7, true));
/// assert!(!budget.try_retry(now, 7, true));
/// ```
#[derive(Debug)]
pub struct RetryBudget {
    ratio: f64,
    extra: f64,
    window: Duration,
    slots: VecDeque<(Instant, u32, u32)>,
}

impl RetryBudget {
    /// An allowance of `ratio` repeats a request and `extra` repeats in each `window`.
    pub fn new(ratio: f64, extra: f64, window: Duration) -> RetryBudget {
        RetryBudget {
            ratio,
            extra,
            window,
            slots: VecDeque::new(),
        }
    }

    fn slot(&mut self, now: Instant) -> &mut (Instant, u32, u32) {
        let open = self
            .slots
            .back()
            .is_some_and(|(at, _, _)| now.duration_since(*at) < SLOT);
        if !open {
            self.slots.push_back((now, 0, 0));
        }
        let old = self.window + SLOT;
        while self
            .slots
            .front()
            .is_some_and(|(at, _, _)| now.duration_since(*at) > old)
        {
            self.slots.pop_front();
        }
        let last = self.slots.len() - 1;
        &mut self.slots[last]
    }

    /// Notes a request.
    pub fn record_request(&mut self, now: Instant) {
        self.slot(now).1 += 1;
    }

    /// Takes one repeat, if `members` daemons that all take their share leave room for it.
    pub fn try_retry(&mut self, now: Instant, members: u32, urgent: bool) -> bool {
        self.slot(now);
        let (requests, repeats) = self
            .slots
            .iter()
            .fold((0, 0), |(a, b), (_, r, s)| (a + r, b + s));
        let part = if urgent { 1.0 } else { 1.0 - URGENT_PART };
        let share = self.extra / f64::from(members.max(1));
        let bound = (USED_PART * self.ratio * f64::from(requests) + share) * part;
        if f64::from(repeats) + 1.0 > bound.max(if urgent { share.floor() } else { 0.0 }) {
            return false;
        }
        self.slot(now).2 += 1;
        true
    }
}
