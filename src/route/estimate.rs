//! Estimates of the waiting time in a queue, and the retry budget.

use std::time::Duration;

/// Weight of a new sample in the exponential moving averages of a service.
const MEAN_ALPHA: f64 = 1.0 / 64.0;
/// Number of samples from which an average is used.
const MIN_SAMPLES: u32 = 8;

/// Exponential moving average of durations; the first samples have equal weights.
#[derive(Debug, Default)]
pub(super) struct Mean {
    /// Average, in seconds.
    seconds: f64,
    /// Number of samples so far.
    samples: u32,
}

impl Mean {
    /// Adds a sample.
    pub(super) fn add(&mut self, sample: Duration) {
        self.samples = self.samples.saturating_add(1);
        let alpha = MEAN_ALPHA.max(1.0 / f64::from(self.samples));
        let mut seconds = sample.as_secs_f64();
        if self.samples > MIN_SAMPLES {
            // Caps outliers, so that one stalled target does not distort the service's average.
            seconds = seconds.min(self.seconds * 8.0);
        }
        self.seconds += alpha * (seconds - self.seconds);
    }

    /// Returns the average in seconds, or `None` with fewer than [`MIN_SAMPLES`] samples.
    pub(super) fn seconds(&self) -> Option<f64> {
        (self.samples >= MIN_SAMPLES).then_some(self.seconds)
    }
}

/// Estimator of the wait in a service's queues, from its recent completions.
#[derive(Debug, Default)]
pub(super) struct WaitEstimator {
    /// Mean time for which a request occupies a slot.
    hold_time: Mean,
    /// Time of the last completion or of the end of the last idle period.
    last: Duration,
}

impl WaitEstimator {
    /// Records a completion of a request that occupied its slot for `hold`.
    pub(super) fn add(&mut self, now: Duration, hold: Duration) {
        self.hold_time.add(hold);
        self.last = now;
    }

    /// Marks the end of an idle period, which must not count as a stall.
    pub(super) fn mark_resumed(&mut self, now: Duration) {
        self.last = now;
    }

    /// Estimates the wait for a request with `ahead` requests before it in the queue, for `slots`
    /// slots of which `free` are free. Returns `None` until the mean hold time is known.
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
        // If completions stall, the time since the last one is the better estimate.
        let silence = now.saturating_sub(self.last).as_secs_f64();
        let hold = self.hold_time.seconds()?.max(silence);
        Some(Duration::from_secs_f64(
            (blocked * hold / slots.max(1.0)).min(1e6),
        ))
    }
}

/// Token bucket that limits retries to a fraction of the offered requests.
#[derive(Debug)]
pub(super) struct RetryBudget {
    /// Retries that are available.
    tokens: f64,
    /// Retries earned per offered request.
    fraction: f64,
    /// Maximum number of available retries.
    burst: f64,
}

impl RetryBudget {
    /// Returns a full budget: `fraction` retries per offered request, at most `burst` saved.
    pub(super) fn new(fraction: f64, burst: f64) -> Self {
        Self {
            tokens: burst,
            fraction,
            burst,
        }
    }

    /// Adds the fraction of a retry that an offered request earns.
    pub(super) fn record_offer(&mut self) {
        self.tokens = (self.tokens + self.fraction).min(self.burst);
    }

    /// Takes one retry from the budget; returns false if it is used up.
    pub(super) fn try_take(&mut self) -> bool {
        let granted = self.tokens >= 1.0;
        if granted {
            self.tokens -= 1.0;
        }
        granted
    }
}
