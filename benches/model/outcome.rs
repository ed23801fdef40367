//! Results of a run.

use super::TARGETS;

/// Results for one urgency.
#[derive(Clone, Debug, Default)]
pub(crate) struct Class {
    pub(crate) times: Vec<f64>,
    pub(crate) in_time: u64,
    pub(crate) offered: u64,
    pub(crate) refused: u64,
    pub(crate) failed: u64,
}

impl Class {
    /// Time to first byte at a quantile, in seconds.
    pub(crate) fn at(&self, quantile: f64) -> f64 {
        let mut times = self.times.clone();
        times.sort_by(f64::total_cmp);
        let index = (times.len() as f64 * quantile) as usize;
        times.get(index).copied().unwrap_or(f64::INFINITY)
    }

    /// Part of the requests whose answer began before the deadline.
    pub(crate) fn served(&self) -> f64 {
        self.in_time as f64 / self.offered.max(1) as f64
    }
}

/// Results of one run.
#[derive(Clone, Debug, Default)]
pub(crate) struct Outcome {
    /// By `Urgency as usize`.
    pub(crate) classes: [Class; 2],
    pub(crate) dispatched: u64,
    pub(crate) answered: u64,
    /// Requests sent to the target that fails or is gone.
    pub(crate) sent_broken: u64,
    pub(crate) per_target: [u64; TARGETS],
}

impl Outcome {
    pub(crate) fn urgent(&self) -> &Class {
        &self.classes[0]
    }

    pub(crate) fn patient(&self) -> &Class {
        &self.classes[1]
    }

    /// Part of the dispatches that led to no answer.
    pub(crate) fn wasted(&self) -> f64 {
        1.0 - self.answered as f64 / self.dispatched.max(1) as f64
    }
}
