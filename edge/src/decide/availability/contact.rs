//! What the addresses of runners do.

use std::{
    collections::HashMap,
    time::{
        Duration,
        Instant, //
    },
};

use crate::decide::RunnerKey;

/// Time for which a runner is not used after a first failed connection; doubled with each further one
/// up to [`MAX_DOWN_TIME`].
const MIN_DOWN_TIME: Duration = Duration::from_millis(300);

/// Longest time for which a runner is not used after failed connections.
const MAX_DOWN_TIME: Duration = Duration::from_millis(1200);

/// Time for which a runner is not used after another one has responded at its address, unless its
/// entry changes.
const REPLACED_TTL: Duration = Duration::from_secs(4);

/// Why no connection to a runner could be opened.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DownCause {
    /// Nothing listens at its address.
    Refused,
    /// Its address does not answer.
    Silent,
}

impl DownCause {
    /// Name in log lines.
    pub fn as_str(self) -> &'static str {
        match self {
            DownCause::Refused => "refused",
            DownCause::Silent => "silent",
        }
    }
}

/// A runner to which no connection could be opened since the last sign of life.
#[derive(Clone, Copy, Debug)]
struct Down {
    cause: DownCause,
    since: Instant,
    until: Instant,
    /// Time for which the next failure takes it out of use.
    next: Duration,
}

/// What the addresses of runners do.
#[derive(Debug, Default)]
pub(super) struct Contacts {
    down: HashMap<RunnerKey, Down>,
    /// Times at which another runner responded at the address.
    replaced: HashMap<RunnerKey, Instant>,
}

impl Contacts {
    pub(super) fn mark_down(&mut self, runner: RunnerKey, cause: DownCause, now: Instant) {
        let old = self.down.get(&runner);
        let time = old.map_or(MIN_DOWN_TIME, |d| d.next);
        let down = Down {
            cause,
            since: old.map_or(now, |d| d.since),
            until: now + time,
            next: (time * 2).min(MAX_DOWN_TIME),
        };
        self.down.insert(runner, down);
    }

    /// Returns whether `runner` was down.
    pub(super) fn mark_alive(&mut self, runner: RunnerKey) -> bool {
        !self.down.is_empty() && self.down.remove(&runner).is_some()
    }

    /// Why `runner` is not to be used at `now`, and since when.
    pub(super) fn down(&self, runner: RunnerKey, now: Instant) -> Option<(DownCause, Instant)> {
        if self.down.is_empty() {
            return None;
        }
        let down = self.down.get(&runner).filter(|d| now < d.until)?;
        Some((down.cause, down.since))
    }

    pub(super) fn mark_replaced(&mut self, runner: RunnerKey, now: Instant) {
        self.replaced.insert(runner, now);
    }

    /// Time at which another runner responded at the address, if that still counts.
    pub(super) fn replaced_at(&self, runner: RunnerKey, now: Instant) -> Option<Instant> {
        if self.replaced.is_empty() {
            return None;
        }
        let at = self.replaced.get(&runner).copied();
        at.filter(|at| now.saturating_duration_since(*at) < REPLACED_TTL)
    }

    pub(super) fn forget(&mut self, runner: RunnerKey) {
        self.down.remove(&runner);
        self.replaced.remove(&runner);
    }

    pub(super) fn retain(&mut self, keep: impl Fn(RunnerKey) -> bool) {
        self.down.retain(|runner, _| keep(*runner));
        self.replaced.retain(|runner, _| keep(*runner));
    }
}
