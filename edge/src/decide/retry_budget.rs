//! Retry budget: limits how many requests are sent again, against retry storms.

use std::{
    collections::VecDeque,
    time::{
        Duration,
        Instant, //
    },
};

/// Width of one slot of the sliding window. 100 ms keep the error of the window at 1 in 100.
const SLOT_WIDTH: Duration = Duration::from_millis(100);

/// Fraction of the ratio that a daemon uses. The rest covers requests that this daemon counts but
/// that the window of another daemon does not contain yet.
const LOCAL_FRACTION: f64 = 0.8;

/// Fraction of the budget that is reserved for urgent requests.
const URGENT_FRACTION: f64 = 0.25;

/// Counts requests and retries over a sliding window and limits the retries.
///
/// The retries of all daemons together stay within `ratio` times their requests plus `extra`,
/// because each daemon uses only its share of `extra`.
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
    /// Start, requests and retries of each slot, oldest first.
    slots: VecDeque<(Instant, u32, u32)>,
}

impl RetryBudget {
    /// Allows `ratio` retries per request, and `extra` retries in each `window`.
    pub fn new(ratio: f64, extra: f64, window: Duration) -> RetryBudget {
        RetryBudget {
            ratio,
            extra,
            window,
            slots: VecDeque::new(),
        }
    }

    /// Changes the limits, as [`new`](Self::new) takes them. What was counted stays, as far as the slots reach
    /// back: after a longer `window` the counts of the shorter one are in it.
    ///
    /// # Examples
    ///
    /// ```
    /// use std::time::{Duration, Instant};
    /// use cuminloom_edge::decide::RetryBudget;
    ///
    /// let (now, window) = (Instant::now(), Duration::from_secs(10));
    /// let mut budget = RetryBudget::new(0.2, 1.0, window);
    /// assert!(budget.try_retry(now, 1, true));
    /// budget.set_limits(0.2, 2.0, window);
    /// assert!(budget.try_retry(now, 1, true));
    /// assert!(!budget.try_retry(now, 1, true));
    /// ```
    pub fn set_limits(&mut self, ratio: f64, extra: f64, window: Duration) {
        self.ratio = ratio;
        self.extra = extra;
        self.window = window;
    }

    /// Returns the slot of `now`, and drops slots that have left the window.
    fn current_slot(&mut self, now: Instant) -> &mut (Instant, u32, u32) {
        let is_current = self
            .slots
            .back()
            .is_some_and(|(at, _, _)| now.duration_since(*at) < SLOT_WIDTH);
        if !is_current {
            self.slots.push_back((now, 0, 0));
        }
        let max_age = self.window + SLOT_WIDTH;
        while self
            .slots
            .front()
            .is_some_and(|(at, _, _)| now.duration_since(*at) > max_age)
        {
            self.slots.pop_front();
        }
        let last = self.slots.len() - 1;
        &mut self.slots[last]
    }

    /// Counts a request that is sent for the first time.
    pub fn record_request(&mut self, now: Instant) {
        self.current_slot(now).1 += 1;
    }

    /// Whether the budget allows one more retry. `members` is the number of daemons that share
    /// `extra`.
    pub fn allows_retry(&mut self, now: Instant, members: u32, urgent: bool) -> bool {
        self.current_slot(now);
        let (requests, retries) = self
            .slots
            .iter()
            .fold((0, 0), |(a, b), (_, q, r)| (a + q, b + r));
        let fraction = if urgent { 1.0 } else { 1.0 - URGENT_FRACTION };
        let share = self.extra / f64::from(members.max(1));
        let limit = (LOCAL_FRACTION * self.ratio * f64::from(requests) + share) * fraction;
        f64::from(retries) + 1.0 <= limit.max(if urgent { share.floor() } else { 0.0 })
    }

    /// Counts one retry and returns `true` if the budget allows it.
    pub fn try_retry(&mut self, now: Instant, members: u32, urgent: bool) -> bool {
        let allowed = self.allows_retry(now, members, urgent);
        if allowed {
            self.current_slot(now).2 += 1;
        }
        allowed
    }
}
