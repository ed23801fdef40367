//! The runners that have registered themselves.

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

/// Whether a runner takes new requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RunnerState {
    /// It takes requests.
    Ready,
    /// It is about to leave.
    Draining,
}

/// One entry of a runner.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Runner {
    /// Id, expected of the process at the address.
    pub id: RunnerId,
    /// Service.
    pub service: ServiceId,
    /// Address of its port.
    pub address: SocketAddr,
    /// Data centre.
    pub zone: Arc<str>,
    /// Requests that it runs at once.
    pub slots: u32,
    /// Whether it takes new requests.
    pub state: RunnerState,
    /// Unix time of its start, in milliseconds; tells two lives under one id apart.
    pub born: u64,
}

/// A change of one entry.
#[derive(Clone, Debug)]
pub enum RunnerChange {
    /// The entry now reads like this.
    Put(Runner),
    /// The entry is gone or names no runner to use.
    Gone(RunnerId),
}

/// The entries in force.
///
/// Entries that vanish while the store is disturbed stay usable until the runner has had time to
/// register again.
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
///     slots: 8,
///     state: RunnerState::Ready,
///     born: 1_700_000_000_000,
/// };
/// let mut directory = Directory::default();
/// directory.apply(RunnerChange::Put(runner), now);
/// directory.start_grace(now, Duration::from_secs(2));
/// directory.apply(RunnerChange::Gone("i-1".into()), now);
/// assert_eq!(directory.ready("desk", now).count(), 1);
/// assert_eq!(directory.ready("desk", now + Duration::from_secs(2)).count(), 0);
/// ```
#[derive(Debug, Default)]
pub struct Directory {
    runners: HashMap<RunnerId, Arc<Runner>>,
    lapsed: HashMap<RunnerId, Instant>,
    until: Option<Instant>,
}

impl Directory {
    /// Applies one change of the feed. Returns whether the set of usable runners has changed.
    pub fn apply(&mut self, change: RunnerChange, now: Instant) -> bool {
        match change {
            RunnerChange::Put(runner) => {
                self.lapsed.remove(&runner.id);
                let old = self
                    .runners
                    .insert(Arc::clone(&runner.id), Arc::new(runner.clone()));
                old.is_none_or(|o| *o != runner)
            }
            RunnerChange::Gone(id) => self.remove(id, now),
        }
    }

    fn remove(&mut self, id: RunnerId, now: Instant) -> bool {
        let Some(runner) = self.runners.get(&id) else {
            return false;
        };
        match self.until.filter(|t| now < *t) {
            Some(until) if runner.state == RunnerState::Ready => {
                self.lapsed.insert(id, until);
                false
            }
            _ => {
                self.lapsed.remove(&id);
                self.runners.remove(&id).is_some()
            }
        }
    }

    /// Replaces all entries by a full reading.
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

    /// Notes that the store answers again after a disturbance: entries that are missing now have
    /// `grace` to come back.
    pub fn start_grace(&mut self, now: Instant, grace: Duration) {
        self.until = Some(now + grace);
    }

    /// Drops lapsed entries whose grace has passed. Returns the ids that are gone.
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

    /// Runners of `service` that take new requests. A lapsed entry counts as gone once its grace is over,
    /// whether or not [`Directory::expire`] has dropped it yet.
    pub fn ready<'a>(
        &'a self,
        service: &'a str,
        now: Instant,
    ) -> impl Iterator<Item = &'a Arc<Runner>> {
        self.runners
            .values()
            .filter(move |r| &*r.service == service && r.state == RunnerState::Ready)
            .filter(move |r| self.lapsed.get(&r.id).is_none_or(|until| now < *until))
    }

    /// The entry of `id`.
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
