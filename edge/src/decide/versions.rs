//! Software version of the runner for a stream.
//!
//! What two versions write does not fit together, so a stream goes on only at the version that began it. Which one that
//! is follows from the id of the attempt that began it and the versions' shares, which lie in the store: any daemon can
//! work it out, also after a restart of all. Streams for which the shares have changed meanwhile, or whose version had
//! no runner, are told to the others.

use std::{
    collections::HashMap,
    time::{
        Duration,
        Instant, //
    },
};

use serde::{
    Deserialize,
    Serialize, //
};

use super::{
    FleetTime,
    rendezvous_weight, //
};
use crate::catalog::ServiceId;

/// Hash of the name of a version.
pub type VersionKey = u64;

/// Hash of the id of the attempt that began a stream.
pub type StreamKey = u64;

/// Time for which a stream can be taken up: longer than any caller waits.
const RESUME_TIME: Duration = Duration::from_secs(20);

/// Time after which shares that were replaced have begun no stream that can still be taken up, in milliseconds: a daemon
/// may learn late that they were.
const SHARES_KEPT_MS: u64 = 40_000;

/// Tables that a history holds, at most.
const MAX_TABLES: usize = 16;

/// Difference between the share of a version in the table and among the runners from which the table is replaced.
const MAX_DRIFT: f64 = 0.2;

/// Streams that a daemon reports, at most.
const MAX_REPORTS: usize = 256;

/// Shortest time between two searches for streams that can be forgotten, while the log is full.
const PRUNE_INTERVAL: Duration = Duration::from_secs(1);

/// Streams that are remembered, at most: nearly what 340 daemons report.
const MAX_STREAMS: usize = 65_536;

/// Hash of the name of a version.
pub fn version_key(name: &str) -> VersionKey {
    rendezvous_weight(1, name)
}

/// Hash of an attempt id.
pub fn stream_key(id: &str) -> StreamKey {
    rendezvous_weight(2, id)
}

/// Shares of the versions of one service, from one time on.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct VersionShares {
    /// Store time from which they hold, in milliseconds.
    pub since: FleetTime,
    /// Version and weight.
    pub weights: Vec<(VersionKey, u32)>,
}

impl VersionShares {
    /// Version at which the stream `key` begins. A change of weights moves as few streams as it can.
    fn version_of(&self, key: StreamKey) -> Option<VersionKey> {
        if let [(version, 1..)] = self.weights[..] {
            return Some(version);
        }
        let score = |version: VersionKey, weight: u32| {
            let hash = rendezvous_weight(key, &format!("{version:x}"));
            // In (0, 1], with the 53 bits that a float holds exactly.
            let unit = ((hash >> 11) + 1) as f64 / (1_u64 << 53) as f64;
            -unit.ln() / f64::from(weight)
        };
        let weights = self.weights.iter().filter(|(_, weight)| *weight > 0);
        let scores = weights.map(|(version, weight)| (*version, score(*version, *weight)));
        let best = scores.min_by(|a, b| a.1.total_cmp(&b.1).then(a.0.cmp(&b.0)));
        best.map(|(version, _)| version)
    }

    /// Share of `version`, 0 to 1.
    fn share(&self, version: VersionKey) -> f64 {
        let total: u64 = self.weights.iter().map(|(_, w)| u64::from(*w)).sum();
        let own = self.weights.iter().find(|(v, _)| *v == version);
        own.map_or(0.0, |(_, w)| f64::from(*w) / total.max(1) as f64)
    }
}

/// Shares of the versions of one service over the time in which streams that can be taken up have begun.
///
/// # Examples
///
/// ```
/// use cuminloom_edge::decide::{VersionHistory, stream_key, version_key};
///
/// let (v1, v2) = (version_key("v1"), version_key("v2"));
/// let history = VersionHistory::default().next(vec![(v1, 8)], 1_000);
/// let key = stream_key("a1");
/// assert_eq!((history.version_of(key), history.began_at(key, 1_000)), (Some(v1), Some(v1)));
/// let history = history.next(vec![(v2, 8)], 2_000);
/// assert_eq!((history.version_of(key), history.began_at(key, 2_000)), (Some(v2), None));
/// assert_eq!(history.began_at(key, 90_000), Some(v2));
/// ```
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct VersionHistory {
    /// Number of changes.
    pub epoch: u64,
    /// Shares, oldest first.
    pub tables: Vec<VersionShares>,
}

impl VersionHistory {
    /// The history with new weights from `now` on.
    #[must_use]
    pub fn next(&self, weights: Vec<(VersionKey, u32)>, now: FleetTime) -> VersionHistory {
        let mut tables = self.kept(now).to_vec();
        tables.push(VersionShares {
            since: now,
            weights,
        });
        let surplus = tables.len().saturating_sub(MAX_TABLES);
        tables.drain(..surplus);
        VersionHistory {
            epoch: self.epoch + 1,
            tables,
        }
    }

    /// Shares by which streams that can be taken up at `now` may have begun.
    fn kept(&self, now: FleetTime) -> &[VersionShares] {
        let old = |next: &VersionShares| next.since.saturating_add(SHARES_KEPT_MS) < now;
        let replaced = self.tables.iter().skip(1).take_while(|next| old(next));
        &self.tables[replaced.count()..]
    }

    /// Version at which a new stream begins.
    pub fn version_of(&self, key: StreamKey) -> Option<VersionKey> {
        self.tables.last()?.version_of(key)
    }

    /// Version at which a new stream begins if it may begin only at those that `is_open` names; any if none of the
    /// newest shares is.
    ///
    /// # Examples
    ///
    /// ```
    /// use cuminloom_edge::decide::{VersionHistory, stream_key, version_key};
    ///
    /// let (v1, v2) = (version_key("v1"), version_key("v2"));
    /// let history = VersionHistory::default().next(vec![(v1, 1), (v2, 1000)], 1_000);
    /// assert_eq!(history.open_version_of(stream_key("a"), |v| v == v1), Some(v1));
    /// ```
    pub fn open_version_of(
        &self,
        key: StreamKey,
        is_open: impl Fn(VersionKey) -> bool,
    ) -> Option<VersionKey> {
        let newest = self.tables.last()?;
        let weights = newest.weights.iter().filter(|(v, _)| is_open(*v)).copied();
        let open = VersionShares {
            since: newest.since,
            weights: weights.collect(),
        };
        open.version_of(key).or_else(|| newest.version_of(key))
    }

    /// All versions of the shares.
    pub fn versions(&self) -> impl Iterator<Item = VersionKey> {
        let weights = self.tables.iter().flat_map(|t| &t.weights);
        weights.map(|(version, _)| *version)
    }

    /// Whether the shares name `version`.
    pub(super) fn names(&self, version: VersionKey) -> bool {
        self.versions().any(|v| v == version)
    }

    /// Store time from which shares name `version`; 0 if the oldest ones do, before which there were none that could
    /// still matter. `None` if none do.
    pub(super) fn named_since(&self, version: VersionKey) -> Option<FleetTime> {
        let names = |t: &VersionShares| t.weights.iter().any(|(v, _)| *v == version);
        let first = self.tables.iter().position(names)?;
        Some(if first == 0 {
            0
        } else {
            self.tables[first].since
        })
    }

    /// Version at which the stream `key` has begun, if the shares alone tell it at `now`.
    pub fn began_at(&self, key: StreamKey, now: FleetTime) -> Option<VersionKey> {
        let mut versions = self.kept(now).iter().map(|t| t.version_of(key));
        let first = versions.next()??;
        versions.all(|v| v == Some(first)).then_some(first)
    }

    /// The only version of all streams that can be taken up at `now`; `None` if there are several.
    pub fn only_version(&self, now: FleetTime) -> Option<VersionKey> {
        let weights = self.kept(now).iter().flat_map(|t| &t.weights);
        let mut versions = weights.map(|(version, _)| *version);
        let first = versions.next()?;
        versions.all(|v| v == first).then_some(first)
    }

    /// Whether the runners, with their slots by version, differ so much from the newest shares that these should be
    /// replaced.
    pub fn is_outdated(&self, slots: &HashMap<VersionKey, u32>) -> bool {
        let Some(newest) = self.tables.last() else {
            return true;
        };
        let total: u64 = slots.values().map(|s| u64::from(*s)).sum();
        let weighted = newest.weights.iter().filter(|(_, w)| *w > 0);
        let left = weighted.clone().any(|(v, _)| !slots.contains_key(v));
        let drifts = |(version, slots): (&VersionKey, &u32)| {
            let share = f64::from(*slots) / total.max(1) as f64;
            let known = newest.share(*version);
            known == 0.0 || (share - known).abs() > MAX_DRIFT
        };
        left || slots.iter().any(drifts)
    }
}

/// A stream and the version that began it, in a daemon's row.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StreamReport(pub StreamKey, pub VersionKey);

/// What is known of one stream.
#[derive(Clone, Debug)]
struct Known {
    version: VersionKey,
    /// Its service; `None` if it is not known, as of one that another daemon or process has reported.
    service: Option<ServiceId>,
    /// Time at which it was last known to run.
    at: Instant,
    /// Whether this daemon reports it.
    own: bool,
    /// Whether a row in the store has told of it.
    told: bool,
}

/// Streams that have not ended whole, with the versions that began them.
#[derive(Debug, Default)]
pub struct StreamLog {
    streams: HashMap<StreamKey, Known>,
    /// Time at which those that can't be taken up any more were last forgotten.
    pruned_at: Option<Instant>,
}

impl StreamLog {
    /// Records that this daemon passes on the stream `key` of `service`, which `version` began.
    pub fn record(
        &mut self,
        key: StreamKey,
        service: &ServiceId,
        version: VersionKey,
        now: Instant,
    ) {
        self.insert(key, version, true, now);
        if let Some(known) = self.streams.get_mut(&key) {
            known.service = Some(ServiceId::clone(service));
        }
    }

    fn insert(&mut self, key: StreamKey, version: VersionKey, own: bool, now: Instant) {
        let is_full = self.streams.len() >= MAX_STREAMS;
        if is_full && self.pruned_at.is_none_or(|at| now >= at + PRUNE_INTERVAL) {
            self.prune(now);
        }
        if self.streams.len() < MAX_STREAMS {
            let known = self.streams.entry(key).or_insert(Known {
                version,
                service: None,
                at: now,
                own,
                told: false,
            });
            known.at = now;
            known.own |= own;
        }
    }

    /// Records that the caller has the whole stream `key`, so that nobody takes it up.
    pub fn end(&mut self, key: StreamKey) {
        self.streams.remove(&key);
    }

    /// Records that a row in the store tells of `reports`.
    pub fn mark_told(&mut self, reports: &[StreamReport]) {
        for StreamReport(key, version) in reports {
            if let Some(known) = self.streams.get_mut(key) {
                known.told |= known.version == *version;
            }
        }
    }

    /// Whether a row in the store has told of the stream `key`.
    pub fn is_told(&self, key: StreamKey) -> bool {
        self.streams.get(&key).is_some_and(|known| known.told)
    }

    /// Version that began the stream `key`.
    pub fn version_of(&self, key: StreamKey) -> Option<VersionKey> {
        self.streams.get(&key).map(|known| known.version)
    }

    /// Version at which the stream `key` has to go on at `now`, by what is known of it and else by `history`; `None` if
    /// that is not certain. `history` counts only if it `is_current`: another daemon may have begun the stream by newer
    /// shares. `has_runner` tells whether a version has a ready runner: a stream of one without may have begun at
    /// another one.
    pub fn resume_at(
        &self,
        key: StreamKey,
        (history, is_current): (&VersionHistory, bool),
        now: FleetTime,
        has_runner: impl Fn(VersionKey) -> bool,
    ) -> Option<VersionKey> {
        let known = || history.began_at(key, now).filter(|_| is_current);
        let by_shares = || known().filter(|v| has_runner(*v));
        self.version_of(key).or_else(by_shares)
    }

    /// Adds what another daemon has reported, or the previous process on this VM if `own`.
    pub fn merge(&mut self, reports: &[StreamReport], own: bool, now: Instant) {
        for StreamReport(key, version) in reports.iter().take(MAX_REPORTS) {
            if !self.streams.contains_key(key) {
                self.insert(*key, *version, own, now);
            }
        }
    }

    /// Streams of this daemon of which others can't tell the version, newest first. `is_clear` says whether they can by
    /// the shares of the service.
    pub fn reports(
        &self,
        is_clear: impl Fn(&ServiceId, StreamKey, VersionKey) -> bool,
    ) -> Vec<StreamReport> {
        let own = self.streams.iter().filter(|(_, known)| known.own);
        let is_told = |key, known: &Known| {
            let service = known.service.as_ref();
            service.is_some_and(|service| is_clear(service, key, known.version))
        };
        let mut unclear: Vec<(Instant, StreamReport)> = own
            .filter(|(key, known)| !is_told(**key, known))
            .map(|(key, known)| (known.at, StreamReport(*key, known.version)))
            .collect();
        unclear.sort_unstable_by_key(|(at, StreamReport(key, _))| (std::cmp::Reverse(*at), *key));
        unclear.truncate(MAX_REPORTS);
        unclear.into_iter().map(|(_, report)| report).collect()
    }

    /// Forgets the streams that nobody can take up any more.
    pub fn prune(&mut self, now: Instant) {
        self.pruned_at = Some(now);
        self.streams
            .retain(|_, known| now.saturating_duration_since(known.at) < RESUME_TIME);
    }
}
