//! Load reports that daemons pass on to one another.

use std::{
    cmp::Reverse,
    time::{
        Duration,
        Instant, //
    },
};

use super::Core;
use crate::{
    adapter::Load,
    peer::PassedLoad, //
};

/// Reports in one message; about 25 bytes each.
const MAX_REPORTS: usize = 16;

/// Age up to which a report is passed on.
const MAX_PASSED_AGE: Duration = Duration::from_millis(800);

/// Largest figure that is believed in a report of another daemon.
const MAX_FIGURE: u32 = 100_000;

impl<D> Core<D> {
    /// The newest load reports that other daemons are told of, newest first.
    pub fn loads_to_pass(&self, now: Instant) -> Vec<PassedLoad> {
        let mut newest: Vec<(Instant, PassedLoad)> = Vec::new();
        self.each_upstream(|upstream| {
            let brittle = self.is_brittle(upstream, now);
            let known = upstream.newest_report();
            let known = known.filter(|(_, load)| load.percent.is_some() || brittle);
            let Some((at, load)) = known else {
                return;
            };
            let age = now.saturating_duration_since(at);
            if age < MAX_PASSED_AGE {
                newest.push((
                    at,
                    PassedLoad(
                        upstream.key,
                        load.running,
                        load.waiting,
                        load.percent.unwrap_or(0),
                        age.as_millis() as u32,
                    ),
                ));
            }
        });
        newest.sort_unstable_by_key(|(at, _)| Reverse(*at));
        newest.truncate(MAX_REPORTS);
        newest.into_iter().map(|(_, load)| load).collect()
    }

    /// Records the load reports of another daemon. Those of unknown runners and with impossible figures are
    /// ignored.
    pub fn merge_loads(&self, loads: &[PassedLoad], now: Instant) {
        let loads = &loads[..loads.len().min(MAX_REPORTS)];
        self.each_upstream(|upstream| {
            let Some(passed) = loads.iter().find(|l| l.0 == upstream.key) else {
                return;
            };
            let PassedLoad(_, running, waiting, percent, age_ms) = *passed;
            // The report has aged on the way by the delay of the link.
            let age = Duration::from_millis(u64::from(age_ms)) + self.link.allowance(now);
            let plausible = running.max(waiting).max(percent) <= MAX_FIGURE;
            if let Some(at) = now.checked_sub(age)
                && plausible
                && age < MAX_PASSED_AGE
            {
                let slots = upstream.runner.borrow().slots;
                let load = Load {
                    running,
                    waiting,
                    slots,
                    // 0 stands for a runner that doesn't say.
                    percent: Some(percent).filter(|percent| *percent > 0),
                };
                upstream.record_passed_load(at, load);
            }
        });
    }
}
