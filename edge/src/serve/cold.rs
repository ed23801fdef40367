//! Keeps the requests to cold runners within what they tolerate.

use std::time::{
    Duration,
    Instant, //
};

use super::Core;
use crate::{
    catalog::Runner,
    decide::{
        ColdLimit,
        runner_key, //
    },
};

impl<D> Core<D> {
    /// Records that `runner` is cold for `time`, if its service protects cold runners.
    pub(super) fn mark_cold(&self, runner: &Runner, time: Duration, cause: &str, now: Instant) {
        let config = self.config();
        let service = config
            .as_ref()
            .and_then(|c| c.services.get(&runner.service));
        let Some(rate) = service.and_then(|s| s.cold_rate) else {
            return;
        };
        if time.is_zero() {
            return;
        }
        let bounds = self.bounds.get();
        let limit = ColdLimit {
            rate,
            most: rate * bounds.cold_overshoot + bounds.cold_tolerance,
        };
        let key = runner_key(runner);
        let rank = |key| self.ledger.borrow().rank_for(u64::from(key), now);
        let mut runners = self.availability.borrow_mut();
        if runners.limits.set_cold(key, limit, now + time, now, rank) {
            log::info!(
                "event=runner_cold runner={} key={key:08x} cause={cause} for_ms={}",
                runner.id,
                time.as_millis()
            );
        }
    }

    /// Records that `runner` may have started just now.
    pub(super) fn mark_started(&self, runner: &Runner, cause: &str, now: Instant) {
        let config = self.config();
        let service = config
            .as_ref()
            .and_then(|c| c.services.get(&runner.service));
        let time = service.map_or(Duration::ZERO, |s| s.cold_time);
        self.mark_cold(runner, time.max(runner.cold_time), cause, now);
    }

    /// The runners of `entries` that are cold by their entries, or that were not known before. Those that are
    /// read at the start of this daemon may run for long, so only their entries count. An entry that is known
    /// already says nothing new.
    pub fn find_cold<'a>(
        &self,
        entries: impl IntoIterator<Item = &'a Runner>,
    ) -> Vec<(Runner, bool)> {
        let directory = self.directory.borrow();
        let known = |r: &Runner| directory.get(&r.id).is_some_and(|old| old.born == r.born);
        let unchanged = |r: &&Runner| directory.get(&r.id).is_some_and(|old| **old == **r);
        entries
            .into_iter()
            .filter(|r| !unchanged(r))
            .map(|r| (r, !directory.is_empty() && !known(r)))
            .filter(|(r, started)| *started || !r.cold_time.is_zero())
            .map(|(r, started)| (r.clone(), started))
            .collect()
    }

    /// Records that `runners` are cold, with whether each may have started just now.
    pub fn mark_all_cold(&self, runners: &[(Runner, bool)], now: Instant) {
        for (runner, started) in runners {
            if *started {
                self.mark_started(runner, "started", now);
            } else {
                self.mark_cold(runner, runner.cold_time, "entry", now);
            }
        }
    }

    /// Records which runners are cold by the entries that were read before the first configuration.
    pub(super) fn mark_cold_entries(&self, now: Instant) {
        for runner in self.directory.borrow().all() {
            self.mark_cold(runner, runner.cold_time, "entry", now);
        }
    }
}
