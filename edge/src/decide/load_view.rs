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

/// Longest time for which a request is under way to a runner, so that a report may not count it.
const SEND_TIME: Duration = Duration::from_millis(5);

/// Time between a report and the end of the request with whose answer it came. The report may leave that one out.
const ANSWER_TIME: Duration = Duration::from_millis(20);

/// Most reports that are kept to know the highest of them.
const MAX_RECENT: usize = 32;

/// Load of a runner as estimated from its newest report, rather too high than too low.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct CautiousLoad {
    /// Requests that run or wait there, with this daemon's own since the report.
    pub load: f64,
    /// As `load`, but at least the highest of the recent reports; `None` if there is none.
    pub peak: Option<f64>,
    /// Own requests that were sent since the report, or so shortly before that it may leave them out.
    pub begun: u32,
    /// Age of the report.
    pub age: Duration,
}

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
    /// Requests that ran or waited there by the newest reports.
    recent: VecDeque<(Instant, u32)>,
    /// Times at which own requests began (1) or ended (-1).
    changes: VecDeque<(Instant, i8)>,
}

impl LoadView {
    /// Records a report that the runner made at `at`. Returns whether it is newer than the known one.
    pub fn record(&mut self, at: Instant, load: Load) -> bool {
        let held = load.running.saturating_add(load.waiting);
        self.recent.push_back((at, held));
        if self.recent.len() > MAX_RECENT {
            self.recent.pop_front();
        }
        if self.newest.is_some_and(|(known, _)| at <= known) {
            return false;
        }
        self.newest = Some((at, load));
        self.changes.retain(|(time, _)| *time + SEND_TIME > at);
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
        let since = self.changes.iter().filter(|(time, _)| *time > at);
        let own: f64 = since.map(|(_, c)| f64::from(*c)).sum();
        Some(KnownLoad {
            running: (f64::from(load.running) + own).max(0.0),
            waiting: f64::from(load.waiting),
            percent: load.percent.unwrap_or(100),
            age,
        })
    }
    /// Load at `now`, rather too high than too low; `None` without a report that is young enough. Reports up to the age
    /// `recent` count for the peak.
    pub fn cautious(&self, now: Instant, recent: Duration) -> Option<CautiousLoad> {
        let (at, load) = self.newest?;
        let age = now.saturating_duration_since(at);
        if age > MAX_REPORT_AGE {
            return None;
        }
        let begun = self.changes.iter().filter(|(_, c)| *c > 0).count() as u32;
        let ended = |(time, c): &&(Instant, i8)| *c < 0 && *time >= at + ANSWER_TIME;
        let ended = self.changes.iter().filter(ended).count() as u32;
        let held = f64::from(load.running) + f64::from(load.waiting);
        let is_recent = |at: Instant| now.saturating_duration_since(at) <= recent;
        let recent = self.recent.iter().filter(|(at, _)| is_recent(*at));
        let peak = recent.map(|(_, held)| *held).max();
        let load = (held + f64::from(begun) - f64::from(ended)).max(0.0);
        Some(CautiousLoad {
            load,
            peak: peak.map(|peak| load.max(f64::from(peak))),
            begun,
            age,
        })
    }
}
