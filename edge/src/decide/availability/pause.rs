//! Runners that have named a time for which they want nothing from this daemon.

use std::{
    collections::HashMap,
    time::{
        Duration,
        Instant, //
    },
};

use crate::decide::{
    RunnerKey,
    Turn, //
};

/// Longest pause: a day.
const MAX_PAUSE: Duration = Duration::from_secs(86_400);

/// Part of a pause, and longest time, by which the first request after it is delayed at random.
const MAX_SPREAD_FRACTION: f64 = 0.25;
const MAX_SPREAD: Duration = Duration::from_millis(500);

/// Requests a second that are sent after a pause, beside those that answers allow.
const TRIAL_RATE: f64 = 5.0;

/// Requests that each answer after a pause allows.
const TRIALS_PER_ANSWER: f64 = 2.0;

/// Answers after which a pause is forgotten.
const ANSWERS_TO_OPEN: u32 = 8;

/// Time after its end after which a pause is forgotten.
const MEMORY: Duration = Duration::from_secs(5);

/// A pause, and the requests that follow it.
#[derive(Clone, Copy, Debug)]
struct Pause {
    since: Instant,
    /// End of the time that the runner named.
    until: Instant,
    /// Time of the first request after that.
    opens_at: Instant,
    /// Requests that may be sent at `updated`.
    trials: f64,
    updated: Instant,
    /// Answers since the pause ended.
    answers: u32,
}

impl Pause {
    /// Requests that may be sent at `now`, after the pause.
    fn trials_at(&self, now: Instant) -> f64 {
        let passed = now.saturating_duration_since(self.updated).as_secs_f64();
        (self.trials + passed * TRIAL_RATE).min(f64::from(ANSWERS_TO_OPEN) * TRIALS_PER_ANSWER)
    }

    fn is_over(&self, now: Instant) -> bool {
        now >= self.opens_at + MEMORY
    }

    fn turn(&self, now: Instant) -> Turn {
        if now < self.opens_at {
            return Turn::At(self.opens_at);
        }
        let missing = 1.0 - self.trials_at(now);
        // Sums are rounded.
        if missing < 1e-9 {
            return Turn::Trial;
        }
        Turn::At(now + Duration::from_secs_f64(missing / TRIAL_RATE))
    }
}

/// Pauses of all runners that have named one.
#[derive(Debug, Default)]
pub(super) struct Pauses(HashMap<RunnerKey, Pause>);

impl Pauses {
    /// Records a pause. The longest one that a runner has named counts.
    pub(super) fn record(&mut self, runner: RunnerKey, time: Duration, random: f64, now: Instant) {
        if time.is_zero() {
            return;
        }
        let time = time.min(MAX_PAUSE);
        let old = self.0.get(&runner).filter(|p| !p.is_over(now));
        let until = old.map_or(now + time, |p| p.until.max(now + time));
        let spread = time.mul_f64(MAX_SPREAD_FRACTION).min(MAX_SPREAD);
        let opens_at = until + spread.mul_f64(random.clamp(0.0, 1.0));
        let pause = Pause {
            since: now,
            until,
            opens_at: old.map_or(opens_at, |p| p.opens_at.max(opens_at)),
            trials: 1.0,
            updated: opens_at,
            answers: 0,
        };
        self.0.insert(runner, pause);
    }

    /// When `runner` may be sent the next request, and since when that holds; `None` without a pause.
    pub(super) fn turn(&self, runner: RunnerKey, now: Instant) -> Option<(Instant, Turn)> {
        if self.0.is_empty() {
            return None;
        }
        let pause = self.0.get(&runner).filter(|p| !p.is_over(now))?;
        Some((pause.since, pause.turn(now)))
    }

    /// Whether `runner` wants nothing at `now`.
    pub(super) fn is_closed(&self, runner: RunnerKey, now: Instant) -> bool {
        self.0.get(&runner).is_some_and(|p| now < p.until)
    }

    pub(super) fn contains(&self, runner: RunnerKey) -> bool {
        self.0.contains_key(&runner)
    }

    /// Counts a request that is sent after a pause.
    pub(super) fn take(&mut self, runner: RunnerKey, now: Instant) {
        if let Some(pause) = self.0.get_mut(&runner).filter(|p| now >= p.opens_at) {
            pause.trials = pause.trials_at(now) - 1.0;
            pause.updated = now;
        }
    }

    /// Records an answer to a request that was not turned away. Returns whether more may be sent.
    pub(super) fn record_answer(&mut self, runner: RunnerKey, now: Instant) -> bool {
        let Some(pause) = self.0.get_mut(&runner).filter(|p| now >= p.opens_at) else {
            return false;
        };
        pause.trials = pause.trials_at(now) + TRIALS_PER_ANSWER;
        pause.updated = now;
        pause.answers += 1;
        if pause.answers >= ANSWERS_TO_OPEN {
            self.0.remove(&runner);
        }
        true
    }

    pub(super) fn retain(&mut self, keep: impl Fn(RunnerKey) -> bool) {
        self.0.retain(|runner, _| keep(*runner));
    }
}
