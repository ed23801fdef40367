//! Keeps the limits that runners name.

use std::time::Instant;

use super::{
    Core,
    Upstream,
    observations::runner_key, //
};
use crate::{
    adapter::{
        LimitField,
        ResponseMeta, //
    },
    decide::{
        FleetTime,
        LimitReport,
        RunnerKey,
        Turn, //
    },
};

/// Text of a limit in log lines.
fn limit_text(limit: Option<f64>) -> String {
    limit.map_or_else(|| "none".to_owned(), |n| n.to_string())
}

impl<D> Core<D> {
    /// Records what a response of the runner of `upstream` says of its limit. Only a signed one without the
    /// field ends a limit.
    pub(super) fn record_limit(&self, upstream: &Upstream, meta: &ResponseMeta) {
        let limit = match meta.limit {
            LimitField::Named(limit) => Some(limit),
            LimitField::Absent if meta.sealed && !self.limits.borrow().is_empty() => None,
            LimitField::Absent => return,
            LimitField::Unusable => {
                let id = &upstream.runner.borrow().id;
                log::warn!("event=runner_limit_unusable runner={id}");
                return;
            }
        };
        let now = Instant::now();
        let time = self.fleet_time(now);
        let key = runner_key(upstream);
        let mut limits = self.limits.borrow_mut();
        if !limits.record(key, limit, time, now, |key| self.rank_for_runner(key, now)) {
            return;
        }
        log::info!(
            "event=runner_limit runner={} key={key:08x} limit={} share={} source=own",
            upstream.runner.borrow().id,
            limit_text(limit),
            limit_text(limits.rate(key))
        );
        drop(limits);
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
        let mut limits = self.limits.borrow_mut();
        for report in limits.merge(reports, time, now, rank) {
            log::info!(
                "event=runner_limit runner=- key={:08x} limit={} share={} source={source} age_ms={}",
                report.runner,
                limit_text(report.limit),
                limit_text(limits.rate(report.runner)),
                time.saturating_sub(report.at)
            );
        }
    }

    /// Computes this daemon's shares of all limits anew.
    pub fn update_shares(&self, now: Instant) {
        let mut limits = self.limits.borrow_mut();
        if !limits.is_empty() {
            let rank = |key| self.rank_for_runner(key, now);
            limits.update_shares(self.fleet_time(now), now, rank);
        }
    }

    /// When the runner of `upstream` may be sent the next request.
    pub(super) fn turn(&self, upstream: &Upstream, now: Instant) -> Turn {
        let limits = self.limits.borrow();
        if limits.is_empty() {
            return Turn::Unlimited;
        }
        limits.turn(runner_key(upstream), now)
    }

    /// Requests a second that this daemon may send to the runner of `upstream`; `None` without a limit.
    pub(super) fn turn_rate(&self, upstream: &Upstream) -> Option<f64> {
        self.limits.borrow().rate(runner_key(upstream))
    }

    /// Counts a request that is about to be sent to the runner of `upstream`.
    pub(super) fn take_turn(&self, upstream: &Upstream, now: Instant) {
        let mut limits = self.limits.borrow_mut();
        if !limits.is_empty() {
            limits.take(runner_key(upstream), now);
        }
    }

    /// Rank of this daemon among those that share the limit of a runner.
    fn rank_for_runner(&self, key: RunnerKey, now: Instant) -> (Option<usize>, usize) {
        self.ledger.borrow().rank_for(u64::from(key), now)
    }
}
