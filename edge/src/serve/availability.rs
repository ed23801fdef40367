//! Keeps what is known of whether runners may be sent requests.

use std::{
    collections::HashSet,
    time::{
        Duration,
        Instant, //
    },
};

use super::{
    Core,
    Probe,
    Upstream,
    evacuations::evacuated_view, //
};
use crate::{
    adapter::{
        LimitField,
        ResponseMeta,
        RetryField, //
    },
    catalog::RunnerState,
    decide::{
        DownCause,
        FleetTime,
        LeavingReport,
        LimitReport,
        RunnerKey,
        Turn,
        View,
        runner_key, //
    },
};

/// Status of a response from another runner than the one that is expected at the address.
const MISDIRECTED: u16 = 421;

/// Text of a limit in log lines.
fn limit_text(limit: Option<f64>) -> String {
    limit.map_or_else(|| "none".to_owned(), |n| n.to_string())
}

impl<D> Core<D> {
    /// Records what a response with `status` says of its runner.
    pub(super) fn record_signals(&self, upstream: &Upstream, status: u16, meta: &ResponseMeta) {
        if status == MISDIRECTED {
            return;
        }
        let now = Instant::now();
        if let Some(time) = meta.cold_time {
            self.mark_cold(&upstream.runner.borrow(), time, "health", now);
        }
        if meta.leaving {
            self.record_leaving(upstream, now);
        }
        match meta.retry_after {
            RetryField::Named(time) if status == 503 => {
                let random = rand::random();
                let mut runners = self.availability.borrow_mut();
                runners.pause(upstream.key, time, random, now);
                log::info!(
                    "event=runner_paused runner={} for_ms={}",
                    upstream.runner.borrow().id,
                    time.as_millis()
                );
                return;
            }
            RetryField::Unusable if status == 503 => {
                let id = &upstream.runner.borrow().id;
                log::warn!("event=runner_pause_unusable runner={id}");
            }
            _ => {}
        }
        if status != 503 {
            let mut runners = self.availability.borrow_mut();
            if runners.record_answer(upstream.key, now) {
                self.runner_freed.notify_waiters();
            }
        }
    }

    /// Records that the runner of `upstream` says that it leaves.
    fn record_leaving(&self, upstream: &Upstream, now: Instant) {
        let time = self.fleet_time(now);
        let mut runners = self.availability.borrow_mut();
        if !runners.record_leaving(upstream.key, time, now) {
            return;
        }
        upstream.close_idle();
        log::info!(
            "event=runner_leaving runner={} key={:08x} source=own",
            upstream.runner.borrow().id,
            upstream.key
        );
    }

    /// Adds what the daemon `source` has reported of leaving runners; `None` stands for the previous process on
    /// this VM.
    pub(super) fn merge_leaving(
        &self,
        source: Option<&str>,
        reports: &[LeavingReport],
        now: Instant,
    ) {
        let mut runners = self.availability.borrow_mut();
        let new = match source {
            Some(source) => runners.merge_leaving(source, reports, now),
            None => runners.restore_leaving(reports, now),
        };
        drop(runners);
        for key in new {
            let directory = self.directory.borrow();
            let mut entries = directory.all();
            let entry = entries.find(|r| runner_key(r) == key);
            log::info!(
                "event=runner_leaving runner={} key={key:08x} source={}",
                entry.map_or("-", |r| &*r.id),
                source.unwrap_or("previous")
            );
        }
    }

    /// What this daemon has been told by leaving runners and no other daemon reports in its place: of several,
    /// the one with the smallest name does.
    pub(super) fn own_leaving(&self) -> Vec<LeavingReport> {
        let ledger = self.ledger.borrow();
        let before = ledger.peer_rows().filter(|(name, _)| *name < &*self.node);
        let reports = before.flat_map(|(_, row)| &row.observed.leaving);
        let reported: HashSet<RunnerKey> = reports.map(|r| r.runner).collect();
        let runners = self.availability.borrow();
        runners.own_leaving(|runner| reported.contains(&runner))
    }

    /// State in the entry of the runner of `upstream`; `None` if there is none of this process.
    fn entry_state(&self, upstream: &Upstream, now: Instant) -> Option<RunnerState> {
        let runner = upstream.runner.borrow();
        self.directory.borrow().state(&runner, now)
    }

    /// What is known of the runner of `upstream`, whose entry says that it is ready.
    pub(super) fn view(&self, upstream: &Upstream, now: Instant) -> View {
        if self.is_evacuated(&upstream.runner.borrow()) {
            return evacuated_view();
        }
        let entry = Some(RunnerState::Ready);
        self.availability.borrow().view(upstream.key, entry, now)
    }

    /// Time until a runner of `service` may be sent a request, if all of them want none now; `None` if one may
    /// be, or if none of them says when.
    pub(super) fn next_opening(&self, service: &str, now: Instant) -> Option<Duration> {
        let directory = self.directory.borrow();
        let runners = self.availability.borrow();
        let mut next = None;
        for runner in directory.ready(service, now) {
            if self.is_evacuated(runner) {
                continue;
            }
            let view = runners.view(runner_key(runner), Some(runner.state), now);
            match view.turn {
                _ if view.excluded => {}
                Turn::Never => {}
                Turn::At(at) => next = next.map_or(Some(at), |n: Instant| Some(n.min(at))),
                Turn::Unlimited | Turn::Ready | Turn::Trial => return None,
            }
        }
        next.map(|at| at.saturating_duration_since(now))
    }

    /// What is known of the runner of `upstream` if a request that is about to be written must not be sent there.
    pub(super) fn refuses_send(&self, upstream: &Upstream, now: Instant) -> Option<View> {
        if self.is_evacuated(&upstream.runner.borrow()) {
            return Some(evacuated_view());
        }
        let entry = self.entry_state(upstream, now);
        self.availability.borrow().refuses(upstream.key, entry, now)
    }

    /// Whether the runner of `upstream` is known to leave.
    pub(super) fn is_leaving(&self, upstream: &Upstream, now: Instant) -> bool {
        self.entry_state(upstream, now) != Some(RunnerState::Ready)
            || self.availability.borrow().is_leaving(upstream.key)
    }

    /// Records what a failed connection tells about the runner of `upstream`.
    pub(super) fn record_probe(&self, upstream: &Upstream, probe: Probe, now: Instant) {
        let cause = match probe {
            Probe::Refused => DownCause::Refused,
            Probe::Unreachable => DownCause::Silent,
            Probe::Reachable | Probe::Inconclusive => {
                self.record_opened(upstream, probe, now);
                return;
            }
        };
        self.record_opened(upstream, probe, now);
        upstream.places.borrow_mut().reset();
        upstream.close_idle();
        self.availability
            .borrow_mut()
            .mark_down(upstream.key, cause, now);
        let path_lost = self.is_path_lost(&upstream.runner.borrow().service);
        if probe == Probe::Refused && !path_lost {
            self.blame_unresolved(upstream, now);
        }
    }

    /// Records that the runner of `upstream` has sent bytes or accepted a connection.
    pub(super) fn mark_alive(&self, upstream: &Upstream, now: Instant) {
        upstream.record_activity(now);
        let was_down = self.availability.borrow_mut().mark_alive(upstream.key);
        if was_down {
            self.mark_started(&upstream.runner.borrow(), "back", now);
        }
    }

    /// Records that another runner has answered at the address of `upstream`.
    pub(super) fn mark_replaced(&self, upstream: &Upstream, now: Instant) {
        upstream.close_idle();
        self.availability
            .borrow_mut()
            .mark_replaced(upstream.key, now);
    }

    /// Records what a response of the runner of `upstream` says of its limit. Only a signed one without the
    /// field ends a limit.
    pub(super) fn record_limit(&self, upstream: &Upstream, meta: &ResponseMeta) {
        let limit = match meta.limit {
            LimitField::Named(limit) => Some(limit),
            LimitField::Absent if meta.sealed && !self.availability.borrow().limits.is_empty() => {
                None
            }
            LimitField::Absent => return,
            LimitField::Unusable => {
                let id = &upstream.runner.borrow().id;
                log::warn!("event=runner_limit_unusable runner={id}");
                return;
            }
        };
        let now = Instant::now();
        let time = self.fleet_time(now);
        let key = upstream.key;
        let mut runners = self.availability.borrow_mut();
        let limits = &mut runners.limits;
        if !limits.record(key, limit, time, now, |key| self.rank_for_runner(key, now)) {
            return;
        }
        log::info!(
            "event=runner_limit runner={} key={key:08x} limit={} share={} source=own",
            upstream.runner.borrow().id,
            limit_text(limit),
            limit_text(limits.rate(key, now))
        );
        drop(runners);
        self.writer_wake.notify_one();
        self.runner_freed.notify_waiters();
    }

    /// Adds what the daemon `source` has reported of limits.
    pub(super) fn merge_limits(
        &self,
        source: &str,
        reports: &[LimitReport],
        time: FleetTime,
        now: Instant,
    ) {
        let rank = |key| self.rank_for_runner(key, now);
        let mut runners = self.availability.borrow_mut();
        let limits = &mut runners.limits;
        for report in limits.merge(reports, time, now, rank) {
            log::info!(
                "event=runner_limit runner=- key={:08x} limit={} share={} source={source} age_ms={}",
                report.runner,
                limit_text(report.limit),
                limit_text(limits.rate(report.runner, now)),
                time.saturating_sub(report.at)
            );
        }
    }

    /// Computes this daemon's shares of all limits anew.
    pub fn update_shares(&self, now: Instant) {
        let mut runners = self.availability.borrow_mut();
        let limits = &mut runners.limits;
        if !limits.is_empty() {
            let rank = |key| self.rank_for_runner(key, now);
            limits.update_shares(self.fleet_time(now), now, rank);
        }
    }

    /// Requests a second that this daemon may send to the runner of `upstream`; `None` if nothing limits them.
    pub(super) fn turn_rate(&self, upstream: &Upstream) -> Option<f64> {
        self.availability
            .borrow()
            .rate(upstream.key, Instant::now())
    }

    /// Counts a request that is about to be sent to the runner of `upstream`.
    pub(super) fn take_turn(&self, upstream: &Upstream, now: Instant) {
        self.availability.borrow_mut().take(upstream.key, now);
    }

    /// Rank of this daemon among those that share the limit of a runner.
    pub(super) fn rank_for_runner(&self, key: RunnerKey, now: Instant) -> (Option<usize>, usize) {
        self.ledger.borrow().rank_for(u64::from(key), now)
    }
}
