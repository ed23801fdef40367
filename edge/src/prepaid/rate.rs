//! Demand of a customer at this daemon.

use std::time::Instant;

/// Time over which demand is averaged, in seconds; as long as a cut that the reserve has to cover.
const MEMORY_S: f64 = 8.0;

/// Moving average of tokens a second.
#[derive(Clone, Copy, Debug, Default)]
pub struct DemandRate {
    tokens: f64,
    at: Option<Instant>,
    first: Option<Instant>,
}

impl DemandRate {
    fn decay(&mut self, now: Instant) {
        if let Some(at) = self.at {
            let age = now.duration_since(at).as_secs_f64();
            self.tokens *= (-age / MEMORY_S).exp();
        }
        self.at = Some(now);
    }

    /// Adds consumed tokens.
    pub fn add(&mut self, tokens: u64, now: Instant) {
        self.first.get_or_insert(now);
        self.decay(now);
        self.tokens += tokens as f64;
    }

    /// Tokens a second.
    pub fn per_second(&self, now: Instant) -> f64 {
        let (Some(at), Some(first)) = (self.at, self.first) else {
            return 0.0;
        };
        let age = now.duration_since(at).as_secs_f64();
        let seen = now.duration_since(first).as_secs_f64();
        // The average starts empty; without this it would stay too low for a while.
        let filled = 1.0 - (-(seen.max(1.0)) / MEMORY_S).exp();
        self.tokens * (-age / MEMORY_S).exp() / (MEMORY_S * filled)
    }
}
