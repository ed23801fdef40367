//! Results of a simulation run.

use super::TARGETS;

/// Results of the requests of one urgency.
#[derive(Clone, Debug, Default)]
pub(crate) struct UrgencyResult {
    /// Times to first byte, in seconds.
    pub(crate) first_byte_s: Vec<f64>,
    /// Requests whose first byte arrived before the deadline.
    pub(crate) in_time: u64,
    /// Requests that arrived.
    pub(crate) offered: u64,
    /// Requests that the policy refused.
    pub(crate) refused: u64,
    /// Requests whose last attempt failed.
    pub(crate) failed: u64,
}

impl UrgencyResult {
    /// Returns a quantile of the time to first byte, in seconds.
    pub(crate) fn quantile(&self, quantile: f64) -> f64 {
        let mut first_byte_s = self.first_byte_s.clone();
        first_byte_s.sort_by(f64::total_cmp);
        let index = (first_byte_s.len() as f64 * quantile) as usize;
        first_byte_s.get(index).copied().unwrap_or(f64::INFINITY)
    }

    /// Share of the requests whose first byte arrived before the deadline.
    pub(crate) fn served(&self) -> f64 {
        self.in_time as f64 / self.offered.max(1) as f64
    }
}

/// Results of one simulation run.
#[derive(Clone, Debug, Default)]
pub(crate) struct RunResult {
    /// By `Urgency as usize`.
    pub(crate) by_urgency: [UrgencyResult; 2],
    /// Attempts sent to targets.
    pub(crate) dispatched: u64,
    /// Requests with a complete response.
    pub(crate) answered: u64,
    /// Requests sent to the faulty target while it refuses requests or is gone.
    pub(crate) sent_broken: u64,
    /// Requests accepted by each target.
    pub(crate) per_target: [u64; TARGETS],
}

impl RunResult {
    pub(crate) fn urgent(&self) -> &UrgencyResult {
        &self.by_urgency[0]
    }

    pub(crate) fn patient(&self) -> &UrgencyResult {
        &self.by_urgency[1]
    }

    /// Share of the dispatches that did not lead to a response.
    pub(crate) fn wasted(&self) -> f64 {
        1.0 - self.answered as f64 / self.dispatched.max(1) as f64
    }
}
