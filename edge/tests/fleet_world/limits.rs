//! Runners that name limits, and the requests that they get.

use std::collections::HashMap;

use cuminloom_edge::decide::RunnerKey;

use super::{
    Request,
    World, //
};

/// Time after which a daemon that was told counts, and the window of the rule, in milliseconds.
const TOLD_AFTER_MS: u64 = 500;
const WINDOW_MS: u64 = 4000;

/// Arrival of a request at a runner with a limit.
struct Arrival {
    at: u64,
    runner: usize,
    /// Key of the runner's life: one that was started again has told nobody.
    life: RunnerKey,
    /// Whether it counts by the rule.
    counts: bool,
}

/// Requests that runners with limits got.
#[derive(Default)]
pub(crate) struct Arrivals {
    /// Time at which each life of a runner told each daemon first.
    told: HashMap<(RunnerKey, usize), u64>,
    list: Vec<Arrival>,
}

impl Arrivals {
    /// Time at which a life of a runner named its limit first.
    fn named_at(&self, life: RunnerKey) -> u64 {
        let told = self.told.iter().filter(|((l, _), _)| *l == life);
        told.map(|(_, at)| *at).min().unwrap_or(u64::MAX / 2)
    }

    /// Most arrivals at a life of a runner in a window that ends later than `contact_ms` after it named its
    /// limit.
    fn busiest(&self, life: RunnerKey, contact_ms: u64) -> usize {
        let start = self.named_at(life) + contact_ms;
        let counted = self.list.iter().filter(|a| a.counts && a.life == life);
        let counted: Vec<u64> = counted.map(|a| a.at).collect();
        let ends = counted.iter().filter(|at| **at >= start);
        let inside = |end: &u64| {
            let inside = |at: &&u64| **at <= *end && **at + WINDOW_MS > *end;
            counted.iter().filter(inside).count()
        };
        ends.map(inside).max().unwrap_or(0)
    }
}

impl World {
    /// Whether `runner` names a limit now.
    pub(super) fn names_limit(&self, runner: usize) -> bool {
        let (from, to) = self.faults.limit_time;
        runner < self.faults.limited && (from..to).contains(&self.now)
    }

    /// Records that this life of the runner of `request` has told the daemon its limit.
    pub(super) fn count_told(&mut self, request: &Request, life: RunnerKey) {
        let pair = (life, request.daemon);
        self.arrivals.told.entry(pair).or_insert(self.now);
    }

    /// Records the arrival of `request` at this life of `runner`.
    pub(super) fn count_arrival(&mut self, request: &Request, runner: usize, life: RunnerKey) {
        if !self.names_limit(runner) {
            return;
        }
        let told = self.arrivals.told.get(&(life, request.daemon));
        let told = told.is_some_and(|at| self.now >= at + TOLD_AFTER_MS);
        let calm_from = self.nodes[request.daemon].calm_from;
        self.arrivals.list.push(Arrival {
            at: self.now,
            runner,
            life,
            counts: told && self.now >= calm_from + self.size.contact_ms,
        });
    }

    /// Counts what the runners with limits got.
    pub(super) fn count_limits(&mut self) {
        let (from, to) = self.faults.limit_time;
        let start = from + self.size.contact_ms;
        let end = to.min(self.now);
        let mut lives: Vec<RunnerKey> = self.arrivals.list.iter().map(|a| a.life).collect();
        lives.sort_unstable();
        lives.dedup();
        let contact = self.size.contact_ms;
        let most = lives.iter().map(|l| self.arrivals.busiest(*l, contact));
        self.outcome.busiest = most.max().unwrap_or(0);
        let steady = |runner| {
            let inside = |a: &&Arrival| a.runner == runner && (start..end).contains(&a.at);
            self.arrivals.list.iter().filter(inside).count()
        };
        let least = (0..self.faults.limited).map(steady).min().unwrap_or(0);
        self.outcome.least_rate = least as f64 * 1000.0 / end.saturating_sub(start).max(1) as f64;
    }
}
