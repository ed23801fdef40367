//! Speed of one runner, learned from this daemon's own requests.

use std::time::{
    Duration,
    Instant, //
};

use crate::adapter::Load;

/// Time in which an observation loses half of its weight, in seconds. A runner that was slow is given
/// requests again after a few such times, as its figure returns to the mean of its service.
const HALF_LIFE_S: f64 = 4.0;

/// Limits of the reported percentage that is believed.
const PERCENT_RANGE: (u32, u32) = (10, 1000);

/// Mean of observations with its weight: the number of observations, less for old ones.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Learned {
    /// Mean.
    pub value: f64,
    /// Decayed number of observations; 0 if nothing is known.
    pub weight: f64,
}

impl Learned {
    /// The value, drawn towards `mean` by the weight of one observation.
    pub fn blend(self, mean: f64) -> f64 {
        (self.value * self.weight + mean) / (self.weight + 1.0)
    }
}

/// Decaying sum of times over units of work.
#[derive(Clone, Copy, Debug, Default)]
struct Mean {
    units: f64,
    ms: f64,
    count: f64,
    at: Option<Instant>,
}

impl Mean {
    fn decayed(self, now: Instant) -> Mean {
        let age = self
            .at
            .map_or(0.0, |at| now.saturating_duration_since(at).as_secs_f64());
        let factor = (-age / HALF_LIFE_S).exp2();
        Mean {
            units: self.units * factor,
            ms: self.ms * factor,
            count: self.count * factor,
            at: Some(now),
        }
    }

    fn add(&mut self, now: Instant, units: f64, ms: f64) {
        *self = self.decayed(now);
        self.units += units;
        self.ms += ms;
        self.count += 1.0;
    }

    fn learned(self, now: Instant) -> Learned {
        if self.units <= 0.0 {
            return Learned::default();
        }
        Learned {
            value: self.ms / self.units,
            weight: self.decayed(now).count,
        }
    }
}

/// Learned speeds of one runner at its usual pace: the reported percentage is taken out of each time.
///
/// # Examples
///
/// ```
/// use std::time::{Duration, Instant};
/// use cuminloom_edge::decide::Speeds;
///
/// let now = Instant::now();
/// let mut speeds = Speeds::default();
/// speeds.record_prompt(now, 6400, Duration::from_millis(100), 100);
/// assert!((speeds.token_ms(now).value - 1.0 / 64.0).abs() < 1.0e-9);
/// ```
#[derive(Clone, Copy, Debug, Default)]
pub struct Speeds {
    prompt: Mean,
    work: Mean,
}

impl Speeds {
    /// Records that the first event came `time` after the request, with `tokens` to read before it.
    pub fn record_prompt(&mut self, now: Instant, tokens: u64, time: Duration, percent: u32) {
        if tokens > 0 {
            self.prompt.add(now, tokens as f64, usual_ms(time, percent));
        }
    }

    /// Records that a request took `time`, at the end of which the runner reported `load`. A share of the time
    /// that corresponds to the requests beyond the slots counts as waiting.
    pub fn record_work(&mut self, now: Instant, time: Duration, load: Load) {
        let slots = f64::from(load.slots.max(1));
        let held = f64::from(load.running) + f64::from(load.waiting);
        let time = time.mul_f64(slots / held.max(slots));
        let percent = load.percent.unwrap_or(100);
        self.work.add(now, 1.0, usual_ms(time, percent));
    }

    /// Milliseconds to read one prompt token.
    pub fn token_ms(&self, now: Instant) -> Learned {
        self.prompt.learned(now)
    }

    /// Milliseconds for one request.
    pub fn work_ms(&self, now: Instant) -> Learned {
        self.work.learned(now)
    }
}

/// The time that work would have taken at the usual pace, in milliseconds.
fn usual_ms(time: Duration, percent: u32) -> f64 {
    let percent = percent.clamp(PERCENT_RANGE.0, PERCENT_RANGE.1);
    time.as_secs_f64() * 1000.0 * 100.0 / f64::from(percent)
}
