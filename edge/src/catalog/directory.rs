//! Directory of the runners that have registered themselves.

use std::{
    collections::HashMap,
    net::SocketAddr,
    sync::Arc,
    time::{
        Duration,
        Instant, //
    },
};

use super::{
    RunnerId,
    ServiceId, //
};
use crate::decide::VersionKey;

/// Whether a runner takes new requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RunnerState {
    /// It takes new requests.
    Ready,
    /// It finishes its requests and takes no new ones.
    Draining,
}

/// Entry of a registered runner.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Runner {
    /// Id, which the process at the address must confirm.
    pub id: RunnerId,
    /// Service that it belongs to.
    pub service: ServiceId,
    /// Address at which it takes requests.
    pub address: SocketAddr,
    /// Data centre in which it runs.
    pub zone: Arc<str>,
    /// Version of its software. What two versions write in a stream does not fit together.
    pub version: Arc<str>,
    /// Hash of the version, by which streams are compared.
    pub version_key: VersionKey,
    /// Requests that it runs at once.
    pub slots: u32,
    /// Whether it takes new requests.
    pub state: RunnerState,
    /// Unix time of its start, in milliseconds; distinguishes two processes with the same id.
    pub born: u64,
    /// Time for which it stayed cold when it wrote the entry.
    pub cold_time: Duration,
}

/// Change of one entry.
#[derive(Clone, Debug)]
pub enum RunnerChange {
    /// The entry is new or changed; contains its new state.
    Put(Runner),
    /// The entry was removed or describes no usable runner.
    Gone(RunnerId),
}

/// Time after the store came back from a copy for which an entry of a runner that had left before is not used: the
/// runner reports again that it drains, or the store removes its entry, within that time.
const WITHHOLD_TIME: Duration = Duration::from_secs(6);

/// Age of a copy of the store, at most.
const MAX_COPY_AGE: Duration = Duration::from_secs(30);

/// A process of a runner that drained or whose entry was removed.
#[derive(Clone, Debug)]
struct Departure {
    born: u64,
    address: SocketAddr,
    /// Time at which it was last known to leave.
    at: Instant,
    /// Time until which an entry that says otherwise is not used; `None` while none is known to be of a copy.
    withheld_until: Option<Instant>,
}

/// Entries of all known runners.
///
/// Entries that lapse because the store was unreachable stay usable for a grace period, in which
/// the runners can register again.
///
/// # Examples
///
/// ```
/// use std::time::{Duration, Instant};
/// use cuminloom_edge::catalog::{Directory, Runner, RunnerChange, RunnerState};
///
/// let now = Instant::now();
/// let runner = Runner {
///     id: "i-1".into(),
///     service: "desk".into(),
///     address: "127.0.0.1:8080".parse().unwrap(),
///     zone: "z-1".into(),
///     version: "v1".into(),
///     version_key: cuminloom_edge::decide::version_key("v1"),
///     slots: 8,
///     state: RunnerState::Ready,
///     born: 1_700_000_000_000,
///     cold_time: Duration::ZERO,
/// };
/// let mut directory = Directory::default();
/// directory.apply(RunnerChange::Put(runner), now);
/// directory.start_grace(now + Duration::from_secs(2));
/// directory.apply(RunnerChange::Gone("i-1".into()), now);
/// assert_eq!(directory.ready("desk", now).count(), 1);
/// assert_eq!(directory.ready("desk", now + Duration::from_secs(2)).count(), 0);
/// ```
#[derive(Debug, Default)]
pub struct Directory {
    runners: HashMap<RunnerId, Arc<Runner>>,
    /// Removed entries that stay usable, with the end of their grace period.
    lapsed: HashMap<RunnerId, Instant>,
    /// End of the current grace period.
    grace_until: Option<Instant>,
    /// Runners that have left or drain.
    departures: HashMap<RunnerId, Departure>,
}

impl Directory {
    /// Applies one change from the feed. Returns whether the set of usable runners has changed.
    pub fn apply(&mut self, change: RunnerChange, now: Instant) -> bool {
        match change {
            RunnerChange::Put(runner) => {
                self.lapsed.remove(&runner.id);
                self.note_state(&runner, now);
                let old = self
                    .runners
                    .insert(Arc::clone(&runner.id), Arc::new(runner.clone()));
                old.is_none_or(|o| *o != runner)
            }
            RunnerChange::Gone(id) => self.remove(id, now),
        }
    }

    /// Removes an entry, or marks it as lapsed within a grace period. Returns whether it was
    /// removed.
    fn remove(&mut self, id: RunnerId, now: Instant) -> bool {
        let Some(runner) = self.runners.get(&id) else {
            return false;
        };
        match self.grace_until.filter(|t| now < *t) {
            Some(until) if runner.state == RunnerState::Ready => {
                self.lapsed.entry(id).or_insert(until);
                false
            }
            _ => {
                let runner = Arc::clone(runner);
                self.note_departure(&runner, now);
                self.lapsed.remove(&id);
                self.runners.remove(&id).is_some()
            }
        }
    }

    /// Records whether the process of `runner` drains.
    fn note_state(&mut self, runner: &Runner, now: Instant) {
        if runner.state == RunnerState::Draining {
            self.note_departure(runner, now);
            return;
        }
        let known = self.departures.get(&runner.id);
        if known.is_some_and(|d| d.withheld_until.is_none_or(|until| now >= until)) {
            self.departures.remove(&runner.id);
        }
    }

    /// Records that the process of `runner` drains or has left.
    fn note_departure(&mut self, runner: &Runner, now: Instant) {
        let departure = Departure {
            born: runner.born,
            address: runner.address,
            at: now,
            withheld_until: None,
        };
        self.departures.insert(Arc::clone(&runner.id), departure);
    }

    /// Records that the store has come back from a copy, in which runners that have left may look ready.
    pub fn withhold_departed(&mut self, now: Instant) {
        self.departures
            .retain(|_, d| now.saturating_duration_since(d.at) < MAX_COPY_AGE);
        for departure in self.departures.values_mut() {
            departure.withheld_until = Some(now + WITHHOLD_TIME);
        }
    }

    /// Whether `runner` has left as far as was known before the store came back from a copy.
    fn is_withheld(&self, runner: &Runner, now: Instant) -> bool {
        let departure = self.departures.get(&runner.id);
        departure.is_some_and(|d| {
            let same = (d.born, d.address) == (runner.born, runner.address);
            same && d.withheld_until.is_some_and(|until| now < until)
        })
    }

    /// Replaces all entries by a full list. Returns whether the set of usable runners has changed.
    pub fn replace(&mut self, entries: Vec<Runner>, now: Instant) -> bool {
        let mut gone: Vec<RunnerId> = self.runners.keys().cloned().collect();
        gone.retain(|id| !entries.iter().any(|r| r.id == *id));
        let mut changed = false;
        for id in gone {
            changed |= self.remove(id, now);
        }
        for entry in entries {
            changed |= self.apply(RunnerChange::Put(entry), now);
        }
        changed
    }

    /// Starts a grace period that ends at `until`, to be called when the store is back from an outage in which entries
    /// may have expired: ready entries that are removed within it stay usable until its end. Entries that have lapsed
    /// already keep the end that they have.
    pub fn start_grace(&mut self, until: Instant) {
        self.grace_until = self.grace_until.max(Some(until));
    }

    /// Drops lapsed entries whose grace period is over, and returns their ids.
    pub fn expire(&mut self, now: Instant) -> Vec<RunnerId> {
        let gone: Vec<RunnerId> = self
            .lapsed
            .iter()
            .filter(|(_, until)| now >= **until)
            .map(|(id, _)| Arc::clone(id))
            .collect();
        for id in &gone {
            self.lapsed.remove(id);
            self.runners.remove(id);
        }
        gone
    }

    /// Ids of the entries that were removed and stay usable for a grace period.
    pub fn lapsed_ids(&self) -> Vec<RunnerId> {
        self.lapsed.keys().cloned().collect()
    }

    /// Runners of `service` that take new requests. Excludes lapsed entries whose grace period is
    /// over, even if [`Directory::expire`] has not dropped them yet.
    pub fn ready<'a>(
        &'a self,
        service: &'a str,
        now: Instant,
    ) -> impl Iterator<Item = &'a Arc<Runner>> {
        self.runners
            .values()
            .filter(move |r| &*r.service == service && r.state == RunnerState::Ready)
            .filter(move |r| self.lapsed.get(&r.id).is_none_or(|until| now < *until))
            .filter(move |r| !self.is_withheld(r, now))
    }

    /// State in the entry of the process of `runner`; `None` if there is none, or its grace period is over.
    pub fn state(&self, runner: &Runner, now: Instant) -> Option<RunnerState> {
        let entry = self.runners.get(&runner.id)?;
        let same = entry.born == runner.born && entry.address == runner.address;
        let lapsed = self
            .lapsed
            .get(&runner.id)
            .is_some_and(|until| now >= *until);
        let state = match self.is_withheld(entry, now) {
            true => RunnerState::Draining,
            false => entry.state,
        };
        (same && !lapsed).then_some(state)
    }

    /// Entry of the runner `id`.
    pub fn get(&self, id: &str) -> Option<&Arc<Runner>> {
        self.runners.get(id)
    }

    /// All entries.
    pub fn all(&self) -> impl Iterator<Item = &Arc<Runner>> {
        self.runners.values()
    }

    /// Number of entries.
    pub fn len(&self) -> usize {
        self.runners.len()
    }

    /// Whether there are no entries.
    pub fn is_empty(&self) -> bool {
        self.runners.is_empty()
    }
}
