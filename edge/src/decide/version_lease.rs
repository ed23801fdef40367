//! When streams may begin at a new software version, and when a daemon may take the version of all streams for granted.
//!
//! Load pattern: a release begins, and daemons that are cut off or stand still have not heard of the new version while
//! streams that began at it break off and are taken up at them.
//!
//! What a daemon has read is a lease: for [`VERSION_LEASE`] after the state of the entries that it has read, it may rely on
//! there being one version only. So no stream begins at a new version before each lease that was granted without it has
//! ended: [`VERSION_LEASE`] after the shares that name it were found in the store.

use std::{
    collections::HashMap,
    ops::Range,
    time::Duration, //
};

use super::{
    FleetTime,
    VersionHistory,
    VersionKey, //
};

/// Time for which entries of the runners that were read tell that there is one version only. It covers an outage of the
/// store in which most streams that break off are taken up.
pub const VERSION_LEASE: Duration = Duration::from_secs(4);

/// Time after their date by which shares are in the store: a write can take effect seconds after it was sent.
const MAX_WRITE_TIME: Duration = Duration::from_secs(10);

/// Age of what a daemon has read last, by the clock of the store.
///
/// An answer can wait at a process that stands still, so it counts from the moment at which the store gave it.
///
/// # Examples
///
/// ```
/// use std::time::Duration;
/// use cuminloom_edge::decide::ReadAge;
///
/// let at = Duration::from_secs;
/// let mut age = ReadAge::default();
/// age.record(1, 50_000, at(100)..at(100));
/// assert_eq!(age.at(at(101)), Some(at(1)));
/// // An answer of 51 s that was received 6 s later.
/// age.record(1, 51_000, at(101)..at(107));
/// assert_eq!(age.at(at(107)), Some(at(6)));
/// ```
#[derive(Debug, Default)]
pub struct ReadAge {
    /// Era of the store.
    era: u64,
    /// Latest that the store's clock can be shown to have reached, and when it had.
    clock: Option<(FleetTime, Duration)>,
    /// Store time of the last answer.
    state: FleetTime,
}

impl ReadAge {
    /// Records an answer that the store gave at `time` in `era`, to a call that lasted for `call` on a clock that goes on
    /// while the VM is suspended.
    pub fn record(&mut self, era: u64, time: FleetTime, call: Range<Duration>) {
        let known = self.clock_at(call.end).filter(|_| self.era == era);
        let longest = call.end.saturating_sub(call.start).as_millis() as u64;
        // A clock that runs faster than that of the store would make all answers old.
        let now = known.unwrap_or(time).clamp(time, time + longest);
        self.clock = Some((now, call.end));
        self.era = era;
        self.state = time;
    }

    /// Store time at `at`, at least.
    fn clock_at(&self, at: Duration) -> Option<FleetTime> {
        let (time, since) = self.clock?;
        Some(time + at.saturating_sub(since).as_millis() as u64)
    }

    /// Age of the last answer at `at`; `None` if there is none.
    pub fn at(&self, at: Duration) -> Option<Duration> {
        let now = self.clock_at(at)?;
        Some(Duration::from_millis(now.saturating_sub(self.state)))
    }
}

/// Versions of one service at which streams may begin.
///
/// # Examples
///
/// ```
/// use std::time::Duration;
/// use cuminloom_edge::decide::{OpenVersions, VERSION_LEASE, VersionHistory, version_key};
///
/// let (v1, v2) = (version_key("v1"), version_key("v2"));
/// let history = VersionHistory::default().next(vec![(v1, 8)], 1_000).next(vec![(v1, 4), (v2, 4)], 9_000);
/// let mut open = OpenVersions::default();
/// let at = Duration::from_secs(70);
/// open.record(&history, at);
/// assert!(open.admits(v1, &history, at, 9_000) && !open.admits(v2, &history, at, 9_000));
/// assert!(open.admits(v2, &history, at + VERSION_LEASE, 13_000));
/// ```
#[derive(Debug, Default)]
pub struct OpenVersions {
    /// Time at which each version was first seen in the shares.
    seen: HashMap<VersionKey, Duration>,
}

impl OpenVersions {
    /// Records that `history` was found in the store by `at`, on a clock that goes on while the VM is suspended.
    pub fn record(&mut self, history: &VersionHistory, at: Duration) {
        self.seen.retain(|version, _| history.names(*version));
        for version in history.versions() {
            self.seen.entry(version).or_insert(at);
        }
    }

    /// Whether streams may begin at `version`, by the shares in `history`: at `at` on the clock of
    /// [`record`](Self::record), or at the store time `now`.
    pub fn admits(
        &self,
        version: VersionKey,
        history: &VersionHistory,
        at: Duration,
        now: FleetTime,
    ) -> bool {
        let seen = self.seen.get(&version);
        let is_over = seen.is_some_and(|seen| at.saturating_sub(*seen) >= VERSION_LEASE);
        let known = (VERSION_LEASE + MAX_WRITE_TIME).as_millis() as u64;
        let named_since = history.named_since(version);
        is_over || named_since.is_some_and(|since| since == 0 || since + known <= now)
    }
}
