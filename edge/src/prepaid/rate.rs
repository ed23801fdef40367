//! Demand of one customer at this daemon.

use std::time::Instant;

/// Time constant of the average, in seconds: as long as a partition that the reserve has to cover.
const TIME_CONSTANT_S: f64 = 8.0;

/// Exponential moving average of the tokens consumed per second.
#[derive(Clone, Copy, Debug, Default)]
pub struct DemandRate {
    /// Decayed sum of the consumed tokens, as of `at`.
    tokens: f64,
    at: Option<Instant>,
    first: Option<Instant>,
}

impl DemandRate {
    /// Ages the sum to `now`.
    fn decay(&mut self, now: Instant) {
        if let Some(at) = self.at {
            let age = now.duration_since(at).as_secs_f64();
            self.tokens *= (-age / TIME_CONSTANT_S).exp();
        }
        self.at = Some(now);
    }

    /// Adds tokens that a request consumed.
    pub fn add(&mut self, tokens: u64, now: Instant) {
        self.first.get_or_insert(now);
        self.decay(now);
        self.tokens += tokens as f64;
    }

    /// Average tokens per second as of `now`.
    pub fn per_second(&self, now: Instant) -> f64 {
        let (Some(at), Some(first)) = (self.at, self.first) else {
            return 0.0;
        };
        let age = now.duration_since(at).as_secs_f64();
        let seen = now.duration_since(first).as_secs_f64();
        // Compensates for the empty start of the average, which would otherwise be too low at
        // first.
        let fill = 1.0 - (-(seen.max(1.0)) / TIME_CONSTANT_S).exp();
        self.tokens * (-age / TIME_CONSTANT_S).exp() / (TIME_CONSTANT_S * fill)
    }
}
