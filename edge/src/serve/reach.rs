//! Keeps what is known of the services to whose runners this daemon can open connections, and tries those that it has
//! lost.

use std::{
    collections::BTreeSet,
    rc::Rc,
    sync::Arc,
    time::{
        Duration,
        Instant, //
    },
};

use tokio::{
    task::spawn_local,
    time::sleep, //
};

use super::{
    Core,
    Probe,
    Upstream, //
};
use crate::{
    catalog::{
        Runner,
        ServiceId, //
    },
    decide::{
        ReachChange,
        ReachState,
        RunnerKey,
        runner_key, //
    },
};

/// Interval at which a connection to one runner of each lost service is tried.
const TRIAL_INTERVAL: Duration = Duration::from_millis(250);

/// Longest time for opening such a connection.
const TRIAL_TIMEOUT: Duration = Duration::from_millis(200);

impl<D> Core<D> {
    /// Records whether the runner of `upstream` accepted a connection.
    pub(super) fn record_opened(&self, upstream: &Upstream, probe: Probe, now: Instant) {
        let service = Arc::clone(&upstream.runner.borrow().service);
        let change = match probe {
            Probe::Inconclusive => return,
            Probe::Reachable if !self.reach.borrow().knows(&service) => return,
            Probe::Reachable => {
                let ready = self.ready_count(&service, now);
                let mut reach = self.reach.borrow_mut();
                reach.record_success(&service, upstream.key, ready, now)
            }
            Probe::Refused | Probe::Unreachable => {
                let ready = self.ready_count(&service, now);
                let mut reach = self.reach.borrow_mut();
                reach.record_failure(&service, upstream.key, ready, now)
            }
        };
        if let Some(change) = change {
            self.note_reach(&service, change, probe.as_str());
        }
    }

    /// How well the runners of `service` are reached.
    pub(super) fn reach_state(&self, service: &str) -> ReachState {
        self.reach.borrow().state(service)
    }

    /// Whether failures of connections to the runners of `service` say nothing about them, as the path is lost.
    pub(super) fn is_path_lost(&self, service: &str) -> bool {
        self.reach.borrow().is_confirmed(service)
    }

    /// Number of runners of `service` that may be used.
    fn ready_count(&self, service: &str, now: Instant) -> usize {
        self.directory.borrow().ready(service, now).count()
    }

    /// Logs a change, counts it and wakes those that depend on it.
    fn note_reach(&self, service: &ServiceId, change: ReachChange, cause: &str) {
        log::info!(
            "event=reach_changed service={service} state={} before={} held_ms={} failed={} of={} cause={cause}",
            change.state.as_str(),
            change.before.as_str(),
            change.held.as_millis(),
            change.failed,
            self.ready_count(service, Instant::now())
        );
        let gauge = self.metrics.reach.with_label_values(&[&**service]);
        gauge.set(i64::from(change.state != ReachState::Open));
        self.reach_changed.notify_one();
        self.runner_freed.notify_waiters();
    }

    /// The services whose runners are to be tried: those that are not fully reached, and all if one is lost.
    fn services_to_try(&self) -> BTreeSet<ServiceId> {
        let reach = self.reach.borrow();
        if !reach.any_lost() {
            return reach.impaired().cloned().collect();
        }
        let directory = self.directory.borrow();
        directory.all().map(|r| Arc::clone(&r.service)).collect()
    }

    /// The runners to which a connection is to be tried now, one of each of these services.
    fn reach_trials(&self, turn: usize, now: Instant) -> Vec<Rc<Upstream>> {
        let services = self.services_to_try();
        let reach = self.reach.borrow();
        let trials = services.iter().filter_map(|service| {
            let directory = self.directory.borrow();
            let mut ready: Vec<&Arc<Runner>> = directory.ready(service, now).collect();
            ready.sort_unstable_by(|a, b| a.id.cmp(&b.id));
            let keys: Vec<RunnerKey> = ready.iter().map(|r| runner_key(r)).collect();
            let next = reach.next_trial(service, &keys, turn)?;
            let entry = ready.into_iter().find(|r| runner_key(r) == next)?;
            Some(self.upstream(entry))
        });
        trials.collect()
    }

    /// Updates the services whose failures may have become too old.
    fn refresh_reach(&self, now: Instant) {
        let services: Vec<ServiceId> = self.reach.borrow().impaired().cloned().collect();
        for service in services {
            let ready = self.ready_count(&service, now);
            let change = self.reach.borrow_mut().refresh(&service, ready, now);
            if let Some(change) = change {
                self.note_reach(&service, change, "expired");
            }
        }
    }
}

/// Tries connections to the runners of services that this daemon has lost, until the process ends.
pub async fn watch_reach<D: 'static>(core: Rc<Core<D>>) {
    let mut turn = 0;
    loop {
        let now = Instant::now();
        let trials = core.reach_trials(turn, now);
        if trials.is_empty() && core.reach.borrow().impaired().next().is_none() {
            core.reach_changed.notified().await;
            continue;
        }
        for upstream in trials {
            spawn_local(try_connection(Rc::clone(&core), upstream));
        }
        turn += 1;
        sleep(TRIAL_INTERVAL).await;
        core.refresh_reach(Instant::now());
    }
}

/// Tries one connection, and keeps it for requests if it opens.
async fn try_connection<D>(core: Rc<Core<D>>, upstream: Rc<Upstream>) {
    let opened = upstream.open(TRIAL_TIMEOUT).await;
    let now = Instant::now();
    match opened {
        Ok(connection) => {
            core.mark_alive(&upstream, now);
            core.record_opened(&upstream, Probe::Reachable, now);
            upstream.keep_idle(now, connection, None);
        }
        Err(failed) => core.record_probe(&upstream, failed.probe, now),
    }
}
