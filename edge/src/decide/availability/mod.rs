//! Whether a runner may be sent a request, from all that is known of it: its entry, what it says in its
//! answers, what other daemons report of it, and what its address does.
//!
//! Against runners that get requests although they leave or have asked for none, and against waiting requests
//! that all reach a runner at the moment at which it takes some again.

mod contact;
mod leaving;
mod pause;

use std::{
    collections::HashSet,
    sync::Arc,
    time::{
        Duration,
        Instant, //
    },
};

use contact::Contacts;
pub use contact::DownCause;
pub use leaving::LeavingReport;
use leaving::LeavingRunners;
use pause::Pauses;

use super::{
    FleetTime,
    RunnerKey,
    RunnerLimits,
    Turn,
    rendezvous_weight, //
};
use crate::catalog::{
    Runner,
    RunnerState, //
};

/// Key by which all daemons recognise this process of `runner`.
pub fn runner_key(runner: &Runner) -> RunnerKey {
    rendezvous_weight(runner.born, &runner.id) as RunnerKey
}

/// Why a runner may or may not be sent a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Standing {
    /// Nothing speaks against it.
    Open,
    /// Its entry says that it is draining, or is gone.
    Entry,
    /// It has said that it leaves: to this daemon, or to the named one.
    Leaving(Option<Arc<str>>),
    /// Its data centre is evacuated.
    Evacuated,
    /// Another runner has answered at its address.
    Replaced,
    /// It has turned a request away and named a time for which it wants none from this daemon.
    Paused,
    /// It takes only so many requests a second.
    Limited,
    /// No connection to it could be opened.
    Down(DownCause),
}

impl Standing {
    /// Who said so: a daemon's name, or `own`.
    pub fn source(&self) -> &str {
        match self {
            Standing::Leaving(Some(source)) => source,
            _ => "own",
        }
    }

    /// Name in log lines.
    pub fn as_str(&self) -> &'static str {
        match self {
            Standing::Open => "open",
            Standing::Entry => "entry",
            Standing::Leaving(_) => "leaving",
            Standing::Evacuated => "evacuated",
            Standing::Replaced => "replaced",
            Standing::Paused => "paused",
            Standing::Limited => "limited",
            Standing::Down(cause) => cause.as_str(),
        }
    }
}

/// What is known of one process of a runner, as far as sends depend on it.
#[derive(Clone, Debug, PartialEq)]
pub struct View {
    /// The strongest reason.
    pub standing: Standing,
    /// Time since which it holds, if that is known.
    pub since: Option<Instant>,
    /// Whether the runner gets no request until its entry changes.
    pub excluded: bool,
    /// When it may be sent the next request, unless it is excluded.
    pub turn: Turn,
    /// Whether it is to be used only if no other is left.
    pub doubtful: bool,
}

/// Requests a second that a runner is expected to take once its pause has ended, to estimate waits.
const REOPEN_RATE: f64 = 10.0;

/// What is known of all runners. The key of a runner stands for one process of it, so that a new one under the
/// same id begins anew.
///
/// # Examples
///
/// ```
/// use std::time::{Duration, Instant};
/// use cuminloom_edge::{catalog::RunnerState, decide::{Availability, Turn}};
///
/// let now = Instant::now();
/// let ready = Some(RunnerState::Ready);
/// let mut runners = Availability::default();
/// assert_eq!(runners.view(7, ready, now).turn, Turn::Unlimited);
/// runners.pause(7, Duration::from_secs(2), 0.0, now);
/// assert_eq!(runners.view(7, ready, now).turn, Turn::At(now + Duration::from_secs(2)));
/// assert!(runners.record_leaving(7, 1_000, now));
/// assert!(runners.view(7, ready, now + Duration::from_secs(60)).excluded);
/// ```
#[derive(Debug, Default)]
pub struct Availability {
    /// Limits that runners name.
    pub limits: RunnerLimits,
    leaving: LeavingRunners,
    pauses: Pauses,
    contacts: Contacts,
}

impl Availability {
    /// What is known of `runner` at `now`; `entry` is the state in its entry, `None` if there is none.
    pub fn view(&self, runner: RunnerKey, entry: Option<RunnerState>, now: Instant) -> View {
        let excluded = |standing, since| View {
            standing,
            since,
            excluded: true,
            turn: Turn::Never,
            doubtful: false,
        };
        if let Some(mark) = self.leaving.get(runner) {
            return excluded(Standing::Leaving(mark.source.clone()), Some(mark.since));
        }
        if entry != Some(RunnerState::Ready) {
            return excluded(Standing::Entry, None);
        }
        if let Some(since) = self.contacts.replaced_at(runner, now) {
            return excluded(Standing::Replaced, Some(since));
        }
        let down = self.contacts.down(runner, now);
        let paused = self.pauses.turn(runner, now);
        let limited = self.limits.turn(runner, now);
        let (standing, since) = match (paused, limited, down) {
            (Some((since, _)), ..) => (Standing::Paused, Some(since)),
            (_, limited, _) if limited != Turn::Unlimited => (Standing::Limited, None),
            (_, _, Some((cause, since))) => (Standing::Down(cause), Some(since)),
            _ => (Standing::Open, None),
        };
        View {
            standing,
            since,
            excluded: false,
            turn: paused.map_or(limited, |(_, turn)| turn.later(limited)),
            doubtful: down.is_some(),
        }
    }

    /// What is known of `runner` if a request that has its turn there must not be sent any more; `None` if it
    /// may be.
    pub fn refuses(
        &self,
        runner: RunnerKey,
        entry: Option<RunnerState>,
        now: Instant,
    ) -> Option<View> {
        let view = self.view(runner, entry, now);
        let closed = view.excluded || self.pauses.is_closed(runner, now);
        closed.then_some(view)
    }

    /// Requests a second that `runner` is expected to take from this daemon; `None` if nothing limits them.
    pub fn rate(&self, runner: RunnerKey, now: Instant) -> Option<f64> {
        let paused = self.pauses.contains(runner).then_some(REOPEN_RATE);
        match (self.limits.rate(runner, now), paused) {
            (Some(limit), Some(paused)) => Some(limit.min(paused)),
            (limit, paused) => limit.or(paused),
        }
    }

    /// Counts a request that is about to be sent to `runner`.
    pub fn take(&mut self, runner: RunnerKey, now: Instant) {
        self.limits.take(runner, now);
        self.pauses.take(runner, now);
    }

    /// Records that `runner` itself has said that it leaves, at the time `at`. Returns whether that is new.
    pub fn record_leaving(&mut self, runner: RunnerKey, at: FleetTime, now: Instant) -> bool {
        self.leaving.record(runner, at, None, now)
    }

    /// Adds what another daemon has reported of leaving runners. Returns those that are new.
    pub fn merge_leaving(
        &mut self,
        source: &str,
        reports: &[LeavingReport],
        now: Instant,
    ) -> Vec<RunnerKey> {
        self.leaving.merge(Some(source), reports, now)
    }

    /// Takes over what the previous process on this VM has reported of leaving runners.
    pub fn restore_leaving(&mut self, reports: &[LeavingReport], now: Instant) -> Vec<RunnerKey> {
        self.leaving.merge(None, reports, now)
    }

    /// What this daemon has been told by leaving runners itself, except what `reported` says that another
    /// daemon reports in its place.
    pub fn own_leaving(&self, reported: impl Fn(RunnerKey) -> bool) -> Vec<LeavingReport> {
        self.leaving.own_reports(reported)
    }

    /// All leaving runners that this daemon knows.
    pub fn all_leaving(&self) -> Vec<LeavingReport> {
        self.leaving.all_reports()
    }

    /// Whether `runner` is known to leave.
    pub fn is_leaving(&self, runner: RunnerKey) -> bool {
        self.leaving.get(runner).is_some()
    }

    /// Records that `runner` wants nothing from this daemon for `time`. `random`, from 0 to 1, delays the first
    /// request after that, so that not all daemons send theirs at once.
    pub fn pause(&mut self, runner: RunnerKey, time: Duration, random: f64, now: Instant) {
        self.pauses.record(runner, time, random, now);
    }

    /// Records that `runner` has answered a request without turning it away. Returns whether it may now be
    /// sent more than before.
    pub fn record_answer(&mut self, runner: RunnerKey, now: Instant) -> bool {
        self.pauses.record_answer(runner, now)
    }

    /// Records that no connection to `runner` could be opened.
    pub fn mark_down(&mut self, runner: RunnerKey, cause: DownCause, now: Instant) {
        self.contacts.mark_down(runner, cause, now);
    }

    /// Records that another runner has answered at the address of `runner`.
    pub fn mark_replaced(&mut self, runner: RunnerKey, now: Instant) {
        self.contacts.mark_replaced(runner, now);
    }

    /// Records that `runner` has sent bytes or accepted a connection. Returns whether it was down.
    pub fn mark_alive(&mut self, runner: RunnerKey) -> bool {
        self.contacts.mark_alive(runner)
    }

    /// Forgets what the address of `runner` did, as it has another one.
    pub fn reset_contact(&mut self, runner: RunnerKey) {
        self.contacts.forget(runner);
    }

    /// Forgets runners that are not `present` any more: at once, or after a while what is final for them.
    pub fn prune(&mut self, present: &HashSet<RunnerKey>, time: FleetTime) {
        self.leaving.prune(present, time);
        self.pauses.retain(|runner| present.contains(&runner));
        self.contacts.retain(|runner| present.contains(&runner));
    }
}
