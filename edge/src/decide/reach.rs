//! Which services this daemon can open connections to, against requests that wait for runners that only this VM has
//! lost.
//!
//! A runner that does not accept a connection may have ended. Several in a row, without one that accepts, are more likely
//! a fault of the path: the VM is partitioned from them. If that has happened to one service, a single failure of another
//! one is enough. Connections that are open tell nothing, as they may live on while new ones fail.

use std::{
    collections::HashMap,
    sync::Arc,
    time::{
        Duration,
        Instant, //
    },
};

use super::RunnerKey;
use crate::catalog::ServiceId;

/// Runners in a row that accept no connection, from which a service counts as lost; all of them if it has fewer.
const MIN_FAILED: usize = 3;

/// Age up to which a failed connection counts.
const MAX_FAILURE_AGE: Duration = Duration::from_secs(5);

/// Time after its return for which the next loss makes the service wait for more accepted connections.
const RELAPSE_TIME: Duration = Duration::from_secs(10);

/// Most accepted connections in a row that are waited for.
const MAX_TRIALS: u32 = 8;

/// How well the runners of a service are reached.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum ReachState {
    /// Nothing speaks against new connections.
    #[default]
    Open,
    /// More than half of the runners accept none, though some do.
    Partial,
    /// No runner accepts any, as far as it was tried.
    Lost,
}

impl ReachState {
    /// Name in log lines.
    pub fn as_str(self) -> &'static str {
        match self {
            ReachState::Open => "open",
            ReachState::Partial => "partial",
            ReachState::Lost => "lost",
        }
    }
}

/// A service is reached better or worse than before.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ReachChange {
    /// How well it is reached now.
    pub state: ReachState,
    /// How well it was reached before.
    pub before: ReachState,
    /// Time for which that held.
    pub held: Duration,
    /// Runners that accepted no connection recently.
    pub failed: usize,
}

/// What is known of one service.
#[derive(Debug)]
struct ServiceReach {
    /// Runners whose last connection failed, with its time.
    failed: HashMap<RunnerKey, Instant>,
    /// Time at which a runner last accepted a connection.
    accepted_at: Option<Instant>,
    state: ReachState,
    since: Instant,
    /// Time at which the service was last regained.
    regained_at: Option<Instant>,
    /// Connections that failed since the service was lost.
    refusals: u32,
    /// Accepted connections in a row since then.
    trials: u32,
    /// Accepted connections in a row that end the loss.
    needed: u32,
}

impl ServiceReach {
    fn new(now: Instant) -> ServiceReach {
        ServiceReach {
            failed: HashMap::new(),
            accepted_at: None,
            state: ReachState::Open,
            since: now,
            regained_at: None,
            refusals: 0,
            trials: 0,
            needed: 1,
        }
    }

    /// Forgets failures that are too old to count.
    fn expire(&mut self, now: Instant) {
        let recent = |at: &Instant| now.saturating_duration_since(*at) < MAX_FAILURE_AGE;
        self.failed.retain(|_, at| recent(at));
    }

    /// Runners that failed since one accepted a connection.
    fn streak(&self) -> usize {
        let is_later = |at: &&Instant| self.accepted_at.is_none_or(|accepted| **at > accepted);
        self.failed.values().filter(is_later).count()
    }

    /// State that the failures show if `ready` runners may be used and `least` failures in a row are needed.
    fn judge(&self, ready: usize, least: usize) -> ReachState {
        let least = least.min(ready.max(1));
        if self.state == ReachState::Lost && self.trials < self.needed || self.streak() >= least {
            return ReachState::Lost;
        }
        if self.failed.len() >= MIN_FAILED.min(ready.max(1)) && self.failed.len() * 2 > ready {
            return ReachState::Partial;
        }
        ReachState::Open
    }

    /// Updates the state; returns the change. The arguments are those of [`judge`](Self::judge).
    fn update(&mut self, ready: usize, least: usize, now: Instant) -> Option<ReachChange> {
        let (before, state) = (self.state, self.judge(ready, least));
        if state == before {
            return None;
        }
        if state == ReachState::Lost {
            let recent = |at: Instant| now.saturating_duration_since(at) < RELAPSE_TIME;
            let relapse = self.regained_at.is_some_and(recent);
            self.needed = if relapse {
                (self.needed * 2).min(MAX_TRIALS)
            } else {
                1
            };
            (self.refusals, self.trials) = (0, 0);
        }
        if before == ReachState::Lost {
            self.regained_at = Some(now);
        }
        let held = now.saturating_duration_since(self.since);
        (self.state, self.since) = (state, now);
        Some(ReachChange {
            state,
            before,
            held,
            failed: self.failed.len(),
        })
    }
}

/// Which services this daemon can open connections to.
///
/// # Examples
///
/// ```
/// use std::{sync::Arc, time::Instant};
/// use cuminloom_edge::decide::{Reach, ReachState};
///
/// let (now, service) = (Instant::now(), Arc::from("engine"));
/// let mut reach = Reach::default();
/// assert_eq!(reach.record_failure(&service, 1, 9, now), None);
/// assert_eq!(reach.record_failure(&service, 2, 9, now), None);
/// assert!(reach.record_failure(&service, 3, 9, now).is_some());
/// assert_eq!(reach.state("engine"), ReachState::Lost);
/// assert!(reach.record_success("engine", 4, 9, now).is_some());
/// assert_eq!(reach.state("engine"), ReachState::Open);
/// ```
#[derive(Debug, Default)]
pub struct Reach {
    services: HashMap<ServiceId, ServiceReach>,
}

impl Reach {
    /// Records that `runner` of `service` accepted no connection; `ready` is the number of runners of the service that
    /// may be used.
    pub fn record_failure(
        &mut self,
        service: &ServiceId,
        runner: RunnerKey,
        ready: usize,
        now: Instant,
    ) -> Option<ReachChange> {
        let least = self.least_failed(service);
        let state = match self.services.get_mut(service) {
            Some(state) => state,
            None => self
                .services
                .entry(Arc::clone(service))
                .or_insert_with(|| ServiceReach::new(now)),
        };
        state.expire(now);
        // One runner that fails again and again says nothing about the others.
        state.failed.insert(runner, now);
        state.refusals += 1;
        state.trials = 0;
        state.update(ready, least, now)
    }

    /// Records that `runner` of `service` accepted a connection.
    pub fn record_success(
        &mut self,
        service: &str,
        runner: RunnerKey,
        ready: usize,
        now: Instant,
    ) -> Option<ReachChange> {
        let least = self.least_failed(service);
        let state = self.services.get_mut(service)?;
        state.expire(now);
        state.failed.remove(&runner);
        state.accepted_at = Some(now);
        state.trials += 1;
        state.update(ready, least, now)
    }

    /// How well the runners of `service` are reached.
    pub fn state(&self, service: &str) -> ReachState {
        let known = self.services.get(service);
        known.map_or(ReachState::Open, |s| s.state)
    }

    /// Whether a connection to a runner of `service` has ever failed.
    pub fn knows(&self, service: &str) -> bool {
        self.services.contains_key(service)
    }

    /// Whether `service` is lost and a further connection has failed since then.
    pub fn is_confirmed(&self, service: &str) -> bool {
        let known = self.services.get(service);
        known.is_some_and(|s| s.state == ReachState::Lost && s.refusals > 0)
    }

    /// Failures in a row from which `service` counts as lost: the first one if another service is lost, as a fault of
    /// the path hits them all.
    fn least_failed(&self, service: &str) -> usize {
        let mut others = self.services.iter().filter(|(s, _)| ***s != *service);
        match others.any(|(_, s)| s.state == ReachState::Lost) {
            true => 1,
            false => MIN_FAILED,
        }
    }

    /// Whether a service is lost.
    pub fn any_lost(&self) -> bool {
        self.services.values().any(|s| s.state == ReachState::Lost)
    }

    /// Services that are not [`ReachState::Open`].
    pub fn impaired(&self) -> impl Iterator<Item = &ServiceId> {
        let open = ReachState::Open;
        let impaired = self.services.iter().filter(move |(_, s)| s.state != open);
        impaired.map(|(service, _)| service)
    }

    /// The runner of `ready` to which a connection is to be tried next. If the service is lost, one that has not failed
    /// recently, or else the one that failed longest ago; `turn` spreads the tries. If it is reached in part, one that
    /// has failed, as the others show nothing new.
    pub fn next_trial(&self, service: &str, ready: &[RunnerKey], turn: usize) -> Option<RunnerKey> {
        let known = self.services.get(service);
        let start = turn.checked_rem(ready.len())?;
        let order = ready[start..].iter().chain(&ready[..start]).copied();
        let failed_at = |runner: &RunnerKey| known?.failed.get(runner).copied();
        match self.state(service) {
            ReachState::Partial => order
                .filter(|r| failed_at(r).is_some())
                .min_by_key(failed_at),
            _ => order.min_by_key(failed_at),
        }
    }

    /// Updates a service whose failures may have become too old; `ready` as in [`record_failure`](Self::record_failure).
    pub fn refresh(&mut self, service: &str, ready: usize, now: Instant) -> Option<ReachChange> {
        let least = self.least_failed(service);
        let state = self.services.get_mut(service)?;
        state.expire(now);
        state.update(ready, least, now)
    }

    /// Forgets services without runners.
    pub fn retain(&mut self, keep: impl Fn(&str) -> bool) {
        self.services.retain(|service, _| keep(service));
    }
}
