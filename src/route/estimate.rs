//! Estimates of waiting time and the retry budget.

use std::time::Duration;

/// Weight of a new sample in the moving averages of a service.
const MEAN_ALPHA: f64 = 1.0 / 64.0;
/// Samples before an average is used.
const MIN_SAMPLES: u32 = 8;

/// Moving average of durations; the first samples weigh equally.
#[derive(Debug, Default)]
pub(super) struct Mean {
    seconds: f64,
    samples: u32,
}

impl Mean {
    pub(super) fn add(&mut self, sample: Duration) {
        self.samples = self.samples.saturating_add(1);
        let alpha = MEAN_ALPHA.max(1.0 / f64::from(self.samples));
        let mut seconds = sample.as_secs_f64();
        if self.samples > MIN_SAMPLES {
            // Limits the effect of a single stalled target on the service's average.
            seconds = seconds.min(self.seconds * 8.0);
        }
        self.seconds += alpha * (seconds - self.seconds);
    }

    /// The average in seconds, once there are enough samples.
    pub(super) fn seconds(&self) -> Option<f64> {
        (self.samples >= MIN_SAMPLES).then_some(self.seconds)
    }
}

/// Recent completions of a service.
#[derive(Debug, Default)]
pub(super) struct Completions {
    hold_time: Mean,
    last: Duration,
}

impl Completions {
    pub(super) fn add(&mut self, now: Duration, hold: Duration) {
        self.hold_time.add(hold);
        self.last = now;
    }

    /// Notes that the service was idle until now.
    pub(super) fn mark_resumed(&mut self, now: Duration) {
        self.last = now;
    }

    /// Expected wait until `ahead` requests before this one and this one got one of `slots` slots,
    /// of which `free` are free; `None` while too little is known.
    pub(super) fn expected_wait(
        &self,
        now: Duration,
        ahead: usize,
        slots: f64,
        free: f64,
    ) -> Option<Duration> {
        let blocked = (ahead + 1) as f64 - free;
        if blocked <= 0.0 {
            return Some(Duration::ZERO);
        }
        // When completions stop, the time since the last one replaces the average.
        let silence = now.saturating_sub(self.last).as_secs_f64();
        let hold = self.hold_time.seconds()?.max(silence);
        Some(Duration::from_secs_f64(
            (blocked * hold / slots.max(1.0)).min(1e6),
        ))
    }
}

/// Allows retries as a fraction of the offered requests.
#[derive(Debug)]
pub(super) struct RetryBudget {
    tokens: f64,
    fraction: f64,
    burst: f64,
}

impl RetryBudget {
    pub(super) fn new(fraction: f64, burst: f64) -> Self {
        Self {
            tokens: burst,
            fraction,
            burst,
        }
    }

    pub(super) fn record_offer(&mut self) {
        self.tokens = (self.tokens + self.fraction).min(self.burst);
    }

    pub(super) fn try_take(&mut self) -> bool {
        let granted = self.tokens >= 1.0;
        if granted {
            self.tokens -= 1.0;
        }
        granted
    }
}
