//! What a daemon knows of one runner's load: the newest report and its own requests since then.

use std::{
    collections::VecDeque,
    time::{
        Duration,
        Instant, //
    },
};

use crate::adapter::Load;

/// Age up to which a report is used.
const MAX_REPORT_AGE: Duration = Duration::from_millis(1500);

/// Load of a runner as estimated from its newest report.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct KnownLoad {
    /// Requests running there, with this daemon's own since the report.
    pub running: f64,
    /// Requests waiting there.
    pub waiting: f64,
    /// Time that work takes there, in percent of the usual time.
    pub percent: u32,
    /// Age of the report.
    pub age: Duration,
}

/// Newest report of one runner, and this daemon's requests that began or ended since then.
///
/// # Examples
///
/// ```
/// use std::time::{Duration, Instant};
/// use cuminloom_edge::{adapter::Load, decide::LoadView};
///
/// let at = Instant::now();
/// let mut view = LoadView::default();
/// view.record(at, Load { running: 2, waiting: 0, slots: 6, percent: Some(100) });
/// view.begin(at + Duration::from_millis(10));
/// let known = view.estimate(at + Duration::from_millis(20)).unwrap();
/// assert_eq!(known.running, 3.0);
/// ```
#[derive(Clone, Debug, Default)]
pub struct LoadView {
    newest: Option<(Instant, Load)>,
    /// Times at which own requests began (1) or ended (-1).
    changes: VecDeque<(Instant, i8)>,
}

impl LoadView {
    /// Records a report that the runner made at `at`. Returns whether it is newer than the known one.
    pub fn record(&mut self, at: Instant, load: Load) -> bool {
        if self.newest.is_some_and(|(known, _)| at <= known) {
            return false;
        }
        self.newest = Some((at, load));
        self.changes.retain(|(time, _)| *time > at);
        true
    }

    /// Records that an own request was sent.
    pub fn begin(&mut self, now: Instant) {
        self.add_change(now, 1);
    }

    /// Records that an own request ended.
    pub fn end(&mut self, now: Instant) {
        self.add_change(now, -1);
    }

    fn add_change(&mut self, now: Instant, change: i8) {
        let is_old = |at: Instant| now.saturating_duration_since(at) > MAX_REPORT_AGE;
        while self.changes.front().is_some_and(|(at, _)| is_old(*at)) {
            self.changes.pop_front();
        }
        self.changes.push_back((now, change));
    }

    /// Newest report with its time.
    pub fn newest(&self) -> Option<(Instant, Load)> {
        self.newest
    }

    /// Load at `now`; `None` without a report that is young enough.
    pub fn estimate(&self, now: Instant) -> Option<KnownLoad> {
        let (at, load) = self.newest?;
        let age = now.saturating_duration_since(at);
        if age > MAX_REPORT_AGE {
            return None;
        }
        let own: f64 = self.changes.iter().map(|(_, c)| f64::from(*c)).sum();
        Some(KnownLoad {
            running: (f64::from(load.running) + own).max(0.0),
            waiting: f64::from(load.waiting),
            percent: load.percent.unwrap_or(100),
            age,
        })
    }
}
