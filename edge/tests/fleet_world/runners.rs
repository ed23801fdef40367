//! Runners, which end when they begin to answer a request with the bad part.

use cuminloom_edge::decide::{
    RunnerKey,
    Turn, //
};
use rand::RngExt;

use super::{
    Request,
    STEP_MS,
    World, //
};

/// Time from the arrival of a request to its first event.
const MIN_PREFILL_MS: u64 = 60;
const MAX_PREFILL_MS: u64 = 400;

/// Time until a runner is back.
const MIN_DOWN_MS: u64 = 2500;
const MAX_DOWN_MS: u64 = 5000;

/// Time after its first event at which a daemon takes an answer for begun.
const ANSWERED_MS: u64 = 250;

/// Time after which daemons probe a watched runner, and the share of them, in percent, that get to it.
const PROBE_MS: u64 = 1000;
const PROBED: u64 = 50;

/// All runners and the requests that they have not begun to answer, or have just begun.
pub(crate) struct Runners {
    /// Key of the runner's present life, and the time from which it runs.
    pub(super) lives: Vec<(RunnerKey, u64)>,
    next_key: RunnerKey,
    waiting: Vec<Request>,
    begun: Vec<Request>,
    /// Lives that have ended, and when daemons probe them.
    ended: Vec<(u64, RunnerKey)>,
}

impl Runners {
    pub(crate) fn new(count: usize) -> Runners {
        Runners {
            lives: (0..count).map(|i| (i as RunnerKey, 0)).collect(),
            next_key: count as RunnerKey,
            waiting: Vec::new(),
            begun: Vec::new(),
            ended: Vec::new(),
        }
    }

    pub(crate) fn len(&self) -> usize {
        self.lives.len()
    }
}

impl World {
    /// Sends a request to a runner that runs and may be sent one: to one with a limit if this daemon has a
    /// turn, and else to a random one without.
    pub(crate) fn place(&mut self, mut request: Request) {
        let count = self.runners.len();
        let limited = self.faults.limited;
        let ready = (0..limited).find(|i| self.has_turn(request.daemon, *i, Turn::Ready));
        let runner = ready.or_else(|| {
            let tries = (0..8).map(|_| self.random.random_range(0..count));
            let tries: Vec<usize> = tries.collect();
            let mut free = tries.into_iter();
            free.find(|i| {
                self.has_turn(request.daemon, *i, Turn::Unlimited)
                    || self.has_turn(request.daemon, *i, Turn::Trial)
            })
        });
        self.outcome.sent += 1;
        let Some(runner) = runner else {
            return;
        };
        let life = self.runners.lives[runner].0;
        self.count_refusal_arrival(request.daemon, runner, life);
        self.take_turn(request.daemon, life);
        self.count_arrival(&request, runner, life);
        request.runner = runner;
        request.begins_at = match self.turns_away(&request) {
            true => self.now + STEP_MS,
            false => self.now + self.random.random_range(MIN_PREFILL_MS..MAX_PREFILL_MS),
        };
        if request.left {
            self.leave(&request, life);
            if request.bad {
                request.begins_at += self.random.random_range(0..self.faults.hang_ms);
            }
        }
        self.runners.waiting.push(request);
    }

    /// Daemons that watch runners which have ended find that.
    pub(crate) fn step_probes(&mut self) {
        let now = self.now;
        let due = self.runners.ended.extract_if(.., |(at, _)| *at <= now);
        for (_, key) in due.collect::<Vec<_>>() {
            for i in 0..self.nodes.len() {
                if self.chance(PROBED) {
                    self.probe_ended(i, key);
                }
            }
        }
    }

    /// Whether `runner` runs, and the turn of the daemon `daemon` at it is `turn`.
    fn has_turn(&self, daemon: usize, runner: usize, turn: Turn) -> bool {
        let (key, since) = self.runners.lives[runner];
        let view = self.view(daemon, key, self.seen_entry(daemon, runner));
        self.now >= since && !view.excluded && view.turn == turn
    }

    /// Whether all daemons that run send requests to `runner` as they like.
    pub(crate) fn is_free(&self, runner: usize) -> bool {
        let daemons = 0..self.nodes.len();
        let mut up = daemons.filter(|i| self.nodes[*i].is_up(self.now));
        up.all(|i| self.has_turn(i, runner, Turn::Unlimited))
    }

    /// Begins to answer a request: the daemon is told the limit of the runner.
    fn tell_limit(&mut self, request: &Request) {
        let named = self.names_limit(request.runner);
        let key = self.runners.lives[request.runner].0;
        let limit = named.then_some(self.faults.limit);
        if self.record_limit(request, key, limit) && named {
            self.count_told(request, key);
        }
    }

    /// Begins the answers that are due, and ends the runners of those with the bad part.
    pub(crate) fn step_runners(&mut self) {
        let now = self.now;
        let due = self.runners.waiting.extract_if(.., |r| r.begins_at <= now);
        let due: Vec<Request> = due.collect();
        for request in due {
            if now < self.runners.lives[request.runner].1 {
                // Its runner has just ended.
                self.observe_end(&request);
            } else if request.bad {
                self.bad_ends.push(now);
                self.observe_end(&request);
                self.end_runner(request.runner);
            } else if request.left {
                self.outcome.answered += 1;
                self.count_begun(&request);
            } else if self.turns_away(&request) {
                self.tell_refusal(&request);
            } else {
                self.outcome.answered += 1;
                self.tell_limit(&request);
                self.tell_state(&request);
                self.count_begun(&request);
                self.runners.begun.push(request);
            }
        }
        let answered = self
            .runners
            .begun
            .extract_if(.., |r| r.begins_at + ANSWERED_MS <= now);
        for request in answered.collect::<Vec<_>>() {
            self.observe_answer(&request);
        }
    }

    /// Ends a runner; it is back under another key.
    pub(crate) fn end_runner(&mut self, runner: usize) {
        if self.now < self.runners.lives[runner].1 {
            return;
        }
        let lost = self.runners.waiting.extract_if(.., |r| r.runner == runner);
        for request in lost.collect::<Vec<_>>() {
            self.observe_end(&request);
        }
        self.runners.begun.retain(|r| r.runner != runner);
        let key = self.runners.lives[runner].0;
        self.runners.ended.push((self.now + PROBE_MS, key));
        let down = self.random.random_range(MIN_DOWN_MS..MAX_DOWN_MS);
        self.runners.lives[runner] = (self.runners.next_key, self.now + down);
        self.runners.next_key += 1;
    }

    /// The daemon that sent a request notices the end of its runner.
    fn observe_end(&mut self, request: &Request) {
        if request.left {
            return;
        }
        let key = self.runners.lives[request.runner].0;
        self.record_end(request, key);
    }
}
