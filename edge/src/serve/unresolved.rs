//! Watches runners at which requests were given up.
//!
//! When the caller of a request leaves or its deadline passes, the task that serves it ends, and with it the connection
//! to the runner. If the runner goes on and crashes later, nobody would connect that with the request. So the daemon
//! remembers such requests and watches their runners with a task of its own.

use std::{
    rc::Rc,
    sync::Arc,
    time::{
        Duration,
        Instant, //
    },
};

use tokio::time::sleep;

use super::{
    Core,
    Upstream,
    call::Call, //
};
use crate::decide::{
    FleetTime,
    UnresolvedReport,
    UnresolvedRequest, //
};

/// Shortest time between two probes of watched runners. It bounds what the watch costs, however many there are.
const PROBE_INTERVAL: Duration = Duration::from_millis(500);

/// Time without a sign of life from which a watched runner is probed.
const QUIET_TIME: Duration = Duration::from_millis(500);

/// Accepted writes after which a row holds what was known before: the first may have been in progress.
const TELLING_WRITES: u64 = 2;

/// Longest time for which a request of another daemon is remembered.
const MAX_REPORTED_TIME: Duration = Duration::from_secs(60);

impl<D> Core<D> {
    /// Remembers that `call` was given up after it had been sent to the runner of `upstream`.
    pub(super) fn add_unresolved(&self, call: &Call, upstream: &Upstream) {
        let now = Instant::now();
        let request = UnresolvedRequest::new(&call.meta.id, &call.suspects, now, call.deadline);
        let ended = self.unresolved.borrow_mut().add(upstream.key, request);
        if let Some(request) = ended.filter(|_| !self.is_leaving(upstream, now)) {
            self.record_ends(upstream.key, &[request], "own", now);
        }
        self.metrics.sends.with_label_values(&["unresolved"]).inc();
        self.unresolved_added.notify_one();
        self.unresolved_writes
            .set(self.ledger.borrow().accepted_writes() + TELLING_WRITES);
    }

    /// What the other daemons are told of requests that were given up: only once this one stops. Until then it watches
    /// their runners itself.
    pub(super) fn own_unresolved(&self, now: Instant, time: FleetTime) -> Vec<UnresolvedReport> {
        match self.is_stopping() {
            true => self.unresolved.borrow().reports(now, time),
            false => Vec::new(),
        }
    }

    /// Whether the other daemons have been told of all requests that were given up.
    pub fn has_told_unresolved(&self) -> bool {
        let is_written = self.ledger.borrow().accepted_writes() >= self.unresolved_writes.get();
        is_written || self.unresolved.borrow().is_empty()
    }

    /// Adds the requests that the daemon `source` has given up before it stopped.
    pub(super) fn merge_unresolved(
        &self,
        source: &str,
        reports: &[UnresolvedReport],
        now: Instant,
        time: FleetTime,
    ) {
        for report in reports.iter().filter(|r| r.until > time) {
            let request = UnresolvedRequest {
                id: Arc::from(source),
                suspects: report.suspects.clone(),
                left_at: now,
                until: now + Duration::from_millis(report.until - time).min(MAX_REPORTED_TIME),
            };
            let ended = self.unresolved.borrow_mut().add(report.runner, request);
            if let Some(request) = ended {
                let mut evidence = self.evidence.borrow_mut();
                evidence.record_unresolved_end(&request.suspects, report.runner, time);
            }
            self.unresolved_added.notify_one();
        }
        if !reports.is_empty() {
            self.log_block_changes();
        }
    }

    /// The watched runner that has given no sign of life for longest, if that is long enough.
    fn quietest_watched(&self, now: Instant) -> Option<Rc<Upstream>> {
        let watched = self.unresolved.borrow_mut().watched(now);
        let upstreams = watched.into_iter().filter_map(|key| self.upstream_of(key));
        let quiet = upstreams.filter(|u| u.silence(now) >= QUIET_TIME && !u.has_open(now));
        quiet.max_by_key(|u| u.silence(now))
    }
}

/// Probes runners at which requests were given up, until the process ends. Most ends are seen by other requests; this
/// finds those of runners without any.
pub async fn watch_unresolved<D>(core: Rc<Core<D>>) {
    loop {
        if core.unresolved.borrow().is_empty() {
            core.unresolved_added.notified().await;
        }
        sleep(PROBE_INTERVAL).await;
        let Some(upstream) = core.quietest_watched(Instant::now()) else {
            continue;
        };
        let probe = upstream.probe().await;
        let now = Instant::now();
        if !probe.is_down() {
            core.mark_alive(&upstream, now);
        }
        core.record_probe(&upstream, probe, now);
    }
}
