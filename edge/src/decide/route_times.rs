//! How long requests of a route take at a runner, against guesses that hold for one engine only.

use std::{
    collections::HashMap,
    sync::Arc,
    time::Duration, //
};

/// Weight of the newest request in the mean, and in the mean deviation from it.
const WEIGHT: f64 = 0.1;

/// Deviations above the mean below which nearly all requests end.
const MOST_DEVIATIONS: f64 = 4.0;

/// Objectives that a request of a route takes of which none has ended.
const UNKNOWN_OBJECTIVES: u32 = 4;

/// Mean and mean deviation, in seconds.
#[derive(Clone, Copy, Debug)]
struct Estimate {
    mean: f64,
    deviation: f64,
}

/// Times that requests took, by route.
///
/// # Examples
///
/// ```
/// use std::time::Duration;
/// use cuminloom_edge::decide::RouteTimes;
///
/// let mut times = RouteTimes::default();
/// let objective = Duration::from_millis(100);
/// assert_eq!(times.most("chat", objective), Duration::from_millis(400));
/// for _ in 0..100 {
///     times.record(&"chat".into(), Duration::from_secs(2));
/// }
/// let most = times.most("chat", objective);
/// assert!(most >= Duration::from_secs(2) && most < Duration::from_millis(2100));
/// ```
#[derive(Debug, Default)]
pub struct RouteTimes(HashMap<Arc<str>, Estimate>);

impl RouteTimes {
    /// Records the time from the send of a request to the end of its answer.
    pub fn record(&mut self, route: &Arc<str>, time: Duration) {
        let time = time.as_secs_f64();
        let Some(estimate) = self.0.get_mut(route) else {
            let first = Estimate {
                mean: time,
                deviation: time / 2.0,
            };
            self.0.insert(Arc::clone(route), first);
            return;
        };
        let difference = time - estimate.mean;
        estimate.mean += WEIGHT * difference;
        estimate.deviation += WEIGHT * (difference.abs() - estimate.deviation);
    }

    /// Mean time of the requests of `route`; `None` if none has ended.
    pub fn mean(&self, route: &str) -> Option<Duration> {
        let estimate = self.0.get(route)?;
        Some(Duration::from_secs_f64(estimate.mean))
    }

    /// Time below which nearly all requests of `route` end; `objective` is its latency objective.
    pub fn most(&self, route: &str, objective: Duration) -> Duration {
        match self.0.get(route) {
            Some(e) => Duration::from_secs_f64(e.mean + MOST_DEVIATIONS * e.deviation),
            None => objective * UNKNOWN_OBJECTIVES,
        }
    }

    /// Forgets the routes that are not `kept`.
    pub fn retain(&mut self, kept: impl Fn(&str) -> bool) {
        self.0.retain(|route, _| kept(route));
    }
}
