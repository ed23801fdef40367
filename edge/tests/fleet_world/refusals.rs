//! Runners that leave, and runners that turn requests away for a time, with the requests that they get all the
//! same.

use std::collections::HashMap;

use cuminloom_edge::{
    catalog::RunnerState,
    decide::RunnerKey, //
};
use rand::RngExt;

use super::{
    Request,
    STEP_MS,
    World, //
};

/// Time after a refusal from which requests count against it, in milliseconds.
const REFUSED_AFTER_MS: u64 = 500;

/// Time after which daemons have read a changed entry, in milliseconds.
const ENTRY_LAG_MS: u64 = 300;

/// Times from a runner's first word that it leaves to its end, and from there to its next life.
const MIN_LEAVING_MS: u64 = 4000;
const MAX_LEAVING_MS: u64 = 12_000;
const BACK_MS: u64 = 1500;

/// When the entry of a leaving runner says so.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) enum Entry {
    /// Together with its answers.
    #[default]
    Early,
    /// Two seconds later.
    Late,
    /// Not before its end.
    Never,
}

/// Whose requests busy runners turn away.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) enum Told {
    /// Those of all daemons.
    #[default]
    All,
    /// Those of one daemon.
    One,
}

/// A time for which a life of a runner wants nothing from a daemon.
struct Refusal {
    life: RunnerKey,
    daemon: usize,
    from: u64,
    to: u64,
    /// Requests that reached it all the same.
    arrivals: usize,
}

/// What the rules about leaving and busy runners count.
#[derive(Default)]
pub(crate) struct Refusals {
    /// Lives that leave: since when, and when they end.
    leaving: HashMap<RunnerKey, (u64, u64)>,
    /// Time at which a life told a daemon first that it leaves.
    told: HashMap<(RunnerKey, usize), u64>,
    refusals: Vec<Refusal>,
    after_leaving: usize,
    most_unwanted: usize,
    /// Requests at each runner in the present step, of those that wanted none before.
    step: HashMap<RunnerKey, (u64, usize)>,
    rush: usize,
}

impl World {
    /// Begins the planned end of a runner.
    pub(super) fn begin_leaving(&mut self, runner: usize) {
        let (life, since) = self.runners.lives[runner];
        if self.now < since || self.refusals.leaving.contains_key(&life) {
            return;
        }
        let time = self.random.random_range(MIN_LEAVING_MS..MAX_LEAVING_MS);
        let span = (self.now, self.now + time);
        self.refusals.leaving.insert(life, span);
    }

    /// Ends the runners whose time is over; they come back under the same id.
    pub(super) fn step_leaving(&mut self) {
        for runner in 0..self.runners.len() {
            let (life, _) = self.runners.lives[runner];
            let span = self.refusals.leaving.get(&life);
            if span.is_some_and(|(_, end)| *end <= self.now) {
                self.end_runner(runner);
                self.runners.lives[runner].1 = self.now + BACK_MS;
            }
        }
    }

    /// State in the entry of `runner` as daemon `i` has seen it last.
    pub(super) fn seen_entry(&self, i: usize, runner: usize) -> Option<RunnerState> {
        let (life, _) = self.runners.lives[runner];
        let Some((since, _)) = self.refusals.leaving.get(&life) else {
            return Some(RunnerState::Ready);
        };
        let said_at = match self.faults.entry {
            Entry::Early => *since,
            Entry::Late => since + 2000,
            Entry::Never => return Some(RunnerState::Ready),
        };
        let seen = self.nodes[i].seen_at >= said_at + ENTRY_LAG_MS;
        Some(if seen {
            RunnerState::Draining
        } else {
            RunnerState::Ready
        })
    }

    /// Whether the runner of `request` turns it away.
    pub(super) fn turns_away(&self, request: &Request) -> bool {
        let f = &self.faults;
        let busy = (request.runner as u64 * 37) % 100 < f.busy;
        let (from, to) = f.busy_time;
        let meant = f.told == Told::All || request.daemon == 0;
        busy && meant && (from..to).contains(&self.now)
    }

    /// Tells the daemon of `request` that its runner wants nothing for a while.
    pub(super) fn tell_refusal(&mut self, request: &Request) {
        let life = self.runners.lives[request.runner].0;
        let ms = self.faults.busy_ms;
        let heard = match self.faults.deaf {
            true => self.nodes[request.daemon].is_up(self.now),
            false => self.tell_pause(request, life, ms),
        };
        if heard {
            self.refusals.refusals.push(Refusal {
                life,
                daemon: request.daemon,
                from: self.now + REFUSED_AFTER_MS,
                to: self.now + ms,
                arrivals: 0,
            });
        }
    }

    /// Tells the daemon of `request`, with the answer, whether its runner leaves.
    pub(super) fn tell_state(&mut self, request: &Request) {
        let life = self.runners.lives[request.runner].0;
        if !self.faults.deaf {
            self.tell_answer(request, life);
        }
        if !self.refusals.leaving.contains_key(&life) {
            return;
        }
        let heard = match self.faults.deaf {
            true => self.nodes[request.daemon].is_up(self.now),
            false => self.tell_leaving(request, life),
        };
        if heard {
            let pair = (life, request.daemon);
            self.refusals.told.entry(pair).or_insert(self.now);
        }
    }

    /// Counts the arrival of a request of `daemon` at this life of a runner.
    pub(super) fn count_refusal_arrival(&mut self, daemon: usize, runner: usize, life: RunnerKey) {
        let now = self.now;
        let node = &self.nodes[daemon];
        // A restart or a freeze excuses a request after the word of a leaving runner.
        let told = self.refusals.told.get(&(life, daemon));
        let bound =
            told.is_some_and(|at| now > at + self.size.drain_ms && node.excused_from <= *at);
        self.refusals.after_leaving += usize::from(bound);
        // So it does, and a cut too, after a refusal.
        let excused = node.excused_from.max(node.cut_from);
        let refusals = &mut self.refusals;
        let mut paused = false;
        for refusal in &mut refusals.refusals {
            if refusal.life != life || refusal.daemon != daemon {
                continue;
            }
            paused = true;
            let begun = refusal.from - REFUSED_AFTER_MS;
            if (refusal.from..refusal.to).contains(&now) && excused <= begun {
                refusal.arrivals += 1;
                refusals.most_unwanted = refusals.most_unwanted.max(refusal.arrivals);
            }
        }
        let later = self.faults.busy_time.1 + self.faults.busy_ms;
        if paused && now < later + 2000 && runner < self.runners.len() {
            let (at, count) = refusals.step.entry(life).or_default();
            if *at + STEP_MS < now {
                (*at, *count) = (now, 0);
            }
            *count += 1;
            refusals.rush = refusals.rush.max(*count);
        }
    }

    /// Adds up what the rules count.
    pub(super) fn count_refusals(&mut self) {
        self.outcome.after_leaving = self.refusals.after_leaving;
        self.outcome.unwanted = self.refusals.most_unwanted;
        self.outcome.rush = self.refusals.rush;
    }
}
