//! Runners that have said that they leave.

use std::{
    collections::{
        HashMap,
        HashSet, //
    },
    sync::Arc,
    time::Instant,
};

use serde::{
    Deserialize,
    Serialize, //
};

use crate::decide::{
    FleetTime,
    RunnerKey, //
};

/// Time for which a runner without an entry is remembered, in milliseconds: its entry may come back when the
/// store does.
const MEMORY_MS: u64 = 600_000;

/// Largest number of runners in one report.
const MAX_REPORTED: usize = 64;

/// A process of a runner that leaves.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeavingReport {
    /// The process.
    #[serde(rename = "r")]
    pub runner: RunnerKey,
    /// Time at which it said so.
    #[serde(rename = "t")]
    pub at: FleetTime,
}

/// What is known of a leaving runner.
#[derive(Clone, Debug)]
pub(super) struct Mark {
    /// Daemon that reported it first; `None` if the runner told this one.
    pub(super) source: Option<Arc<str>>,
    /// Time at which this daemon learned it.
    pub(super) since: Instant,
    at: FleetTime,
    /// Time since which there is no entry of the runner.
    gone_at: Option<FleetTime>,
}

/// Runners that leave. That is final for a process.
#[derive(Debug, Default)]
pub(super) struct LeavingRunners(HashMap<RunnerKey, Mark>);

impl LeavingRunners {
    pub(super) fn get(&self, runner: RunnerKey) -> Option<&Mark> {
        self.0.get(&runner)
    }

    /// Records that a runner leaves. Returns whether that is new.
    pub(super) fn record(
        &mut self,
        runner: RunnerKey,
        at: FleetTime,
        source: Option<&str>,
        now: Instant,
    ) -> bool {
        if let Some(mark) = self.0.get_mut(&runner) {
            if source.is_none() {
                mark.source = None;
            }
            return false;
        }
        let mark = Mark {
            source: source.map(Arc::from),
            since: now,
            at,
            gone_at: None,
        };
        self.0.insert(runner, mark);
        true
    }

    /// Adds reports. Returns the runners that are new.
    pub(super) fn merge(
        &mut self,
        source: Option<&str>,
        reports: &[LeavingReport],
        now: Instant,
    ) -> Vec<RunnerKey> {
        let reports = reports.iter().take(MAX_REPORTED);
        let new = reports.filter(|r| self.record(r.runner, r.at, source, now));
        new.map(|r| r.runner).collect()
    }

    pub(super) fn own_reports(&self, reported: impl Fn(RunnerKey) -> bool) -> Vec<LeavingReport> {
        self.reports(|runner, mark| mark.source.is_none() && !reported(runner))
    }

    pub(super) fn all_reports(&self) -> Vec<LeavingReport> {
        self.reports(|_, _| true)
    }

    /// The newest reports that `selects` selects.
    fn reports(&self, selects: impl Fn(RunnerKey, &Mark) -> bool) -> Vec<LeavingReport> {
        let selected = self
            .0
            .iter()
            .filter(|(runner, mark)| selects(**runner, mark));
        let report = |(runner, mark): (&RunnerKey, &Mark)| LeavingReport {
            runner: *runner,
            at: mark.at,
        };
        let mut list: Vec<LeavingReport> = selected.map(report).collect();
        list.sort_by_key(|r| std::cmp::Reverse((r.at, r.runner)));
        list.truncate(MAX_REPORTED);
        list
    }

    /// Forgets runners that have had no entry for [`MEMORY_MS`].
    pub(super) fn prune(&mut self, present: &HashSet<RunnerKey>, time: FleetTime) {
        self.0.retain(|runner, mark| {
            if present.contains(runner) {
                mark.gone_at = None;
                return true;
            }
            let gone_at = *mark.gone_at.get_or_insert(time);
            time.saturating_sub(gone_at) < MEMORY_MS
        });
    }
}
