//! Limits that runners name, against daemons that each keep a limit alone and together exceed it.
//!
//! A runner that is in need names the requests a second that it takes from all daemons together. A few
//! daemons share them, the same ones for all: those with the largest rendezvous weights. The others send it
//! none. So a daemon that is told keeps its share at once, without asking the others.

use std::{
    collections::HashMap,
    time::{
        Duration,
        Instant, //
    },
};

use serde::{
    Deserialize,
    Serialize, //
};

use super::{
    FleetTime,
    RunnerKey, //
};

/// Daemons that share a limit, beyond one for each request a second. Each may send one request at once, and
/// the users allow five in 4 s beyond half as much again as the limit.
const EXTRA_SHARERS: f64 = 4.0;

/// Requests a second that one daemon sends to a runner whose limit is lower, to learn of its end.
const MIN_RATE: f64 = 0.1;

/// Share of the rate that a cold runner tolerates that informed daemons use together. The rest of the bound is
/// left for requests of daemons that are not informed yet, or that know other members.
const COLD_SHARE: f64 = 0.5;

/// Time without an answer of the runner after which its limit is forgotten, in milliseconds.
const LIMIT_TTL_MS: u64 = 60_000;

/// Time for which an own observation is reported, in milliseconds.
const REPORT_MS: u64 = 30_000;

/// Daemons that report a limit although others do: the first ones of its sharers.
const REPORTERS: usize = 2;

/// Change of a limit, relative to it, from which others are told at once.
const LARGE_CHANGE: f64 = 0.1;

/// Largest number of limits in one report.
const MAX_REPORTED: usize = 32;

/// Limit of a runner as a daemon has observed it.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct LimitReport {
    /// The runner.
    #[serde(rename = "r")]
    pub runner: RunnerKey,
    /// Requests a second; `None` if the runner names no limit any more.
    #[serde(rename = "l")]
    pub limit: Option<f64>,
    /// Time of the answer that said so.
    #[serde(rename = "t")]
    pub at: FleetTime,
}

/// When this daemon may send a runner the next request.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub enum Turn {
    /// Now: the runner has no limit.
    #[default]
    Unlimited,
    /// Now: this daemon's share of the limit allows it.
    Ready,
    /// Now: one of a few requests after a pause of the runner.
    Trial,
    /// At this time.
    At(Instant),
    /// Never: other daemons share the limit.
    Never,
}

impl Turn {
    /// Whether the runner may be sent a request now.
    pub fn is_now(self) -> bool {
        matches!(self, Turn::Unlimited | Turn::Ready | Turn::Trial)
    }

    /// The later of two turns, or the one with a condition if both are now.
    ///
    /// # Examples
    ///
    /// ```
    /// use std::time::{Duration, Instant};
    /// use cuminloom_edge::decide::Turn;
    ///
    /// let (now, later) = (Instant::now(), Instant::now() + Duration::from_secs(1));
    /// assert_eq!(Turn::At(later).later(Turn::At(now)), Turn::At(later));
    /// assert_eq!(Turn::Unlimited.later(Turn::Ready), Turn::Ready);
    /// assert_eq!(Turn::Ready.later(Turn::Never), Turn::Never);
    /// ```
    #[must_use]
    pub fn later(self, other: Turn) -> Turn {
        match (self, other) {
            (Turn::Never, _) | (_, Turn::Never) => Turn::Never,
            (Turn::At(a), Turn::At(b)) => Turn::At(a.max(b)),
            (Turn::At(at), _) | (_, Turn::At(at)) => Turn::At(at),
            (Turn::Trial, _) | (_, Turn::Trial) => Turn::Trial,
            (Turn::Ready, _) | (_, Turn::Ready) => Turn::Ready,
            (Turn::Unlimited, Turn::Unlimited) => Turn::Unlimited,
        }
    }
}

/// This daemon's part of a limit.
#[derive(Clone, Copy, Debug)]
struct Share {
    /// Requests a second; 0 for none.
    rate: f64,
    /// Requests that may be sent at `updated`, at most 1.
    tokens: f64,
    updated: Instant,
}

impl Share {
    /// Requests that may be sent at `now`.
    fn tokens_at(&self, now: Instant) -> f64 {
        let passed = now.saturating_duration_since(self.updated).as_secs_f64();
        (self.tokens + passed * self.rate).min(1.0)
    }

    /// When the next request may be sent.
    fn turn(&self, now: Instant) -> Turn {
        if self.rate <= 0.0 {
            return Turn::Never;
        }
        let missing = 1.0 - self.tokens_at(now);
        // Sums of shares are rounded.
        if missing < 1e-9 {
            return Turn::Ready;
        }
        Turn::At(now + Duration::from_secs_f64(missing / self.rate))
    }

    /// Counts a request that is sent.
    fn take(&mut self, now: Instant) {
        self.tokens = self.tokens_at(now) - 1.0;
        self.updated = now;
    }

    /// Sets the rate from `now` on.
    fn set_rate(&mut self, rate: f64, now: Instant) {
        self.tokens = self.tokens_at(now);
        self.updated = now;
        self.rate = rate;
    }
}

/// What is known of one runner's limit.
#[derive(Clone, Copy, Debug)]
struct Entry {
    newest: LimitReport,
    /// Whether the newest observation is this daemon's.
    own: bool,
    /// Time of the newest report of another daemon that says the same.
    peer_at: Option<FleetTime>,
    /// Number of daemons that come before this one as sharers; `None` if it is stopping.
    rank: Option<usize>,
    share: Share,
}

impl Entry {
    /// Computes this daemon's share anew.
    fn update_share(&mut self, rank: Option<usize>, members: usize, now: Instant) {
        self.rank = rank;
        let limit = self.newest.limit.unwrap_or(0.0);
        let sharers = count_sharers(limit, members);
        let rate = match rank {
            Some(rank) if rank < sharers => limit.max(MIN_RATE) / sharers as f64,
            _ => 0.0,
        };
        self.share.set_rate(rate, now);
    }
}

/// What a cold runner tolerates.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ColdLimit {
    /// Requests a second.
    pub rate: f64,
    /// Most requests in any one second.
    pub most: f64,
}

impl ColdLimit {
    /// Requests a second of the daemon at `rank` among `members`. Each sharer may send one request at once, so
    /// the sharers and the rate together stay within the most in one second.
    fn share(self, rank: Option<usize>, members: usize) -> f64 {
        let limit = (self.rate * COLD_SHARE).max(MIN_RATE);
        let most = (self.most - limit).max(1.0) as usize;
        let sharers = count_sharers(limit, members).min(most);
        match rank {
            Some(rank) if rank < sharers => limit / sharers as f64,
            _ => 0.0,
        }
    }
}

/// A runner that is cold.
#[derive(Clone, Copy, Debug)]
struct Cold {
    limit: ColdLimit,
    until: Instant,
    share: Share,
}

/// Number of daemons, of `members`, that share `limit` requests a second.
///
/// # Examples
///
/// ```
/// use cuminloom_edge::decide::count_sharers;
///
/// assert_eq!(count_sharers(1.3, 340), 5);
/// assert_eq!(count_sharers(1.3, 3), 3);
/// assert_eq!(count_sharers(0.0, 340), 1);
/// ```
pub fn count_sharers(limit: f64, members: usize) -> usize {
    if limit < MIN_RATE {
        return 1;
    }
    let sharers = (limit + EXTRA_SHARERS) as usize;
    sharers.clamp(1, members.max(1))
}

/// Time until the turn of a request with `ahead` others before it: the next turn comes after `next`, and
/// `rate` of them in a second.
///
/// # Examples
///
/// ```
/// use std::time::Duration;
/// use cuminloom_edge::decide::turn_wait;
///
/// let next = Duration::from_millis(100);
/// assert_eq!(turn_wait(next, 2, 4.0), Duration::from_millis(600));
/// ```
pub fn turn_wait(next: Duration, ahead: usize, rate: f64) -> Duration {
    let others = ahead as f64 / rate.max(MIN_RATE / EXTRA_SHARERS);
    next + Duration::from_secs_f64(others)
}

/// Limits of all runners that have named one, and this daemon's shares of them.
///
/// # Examples
///
/// ```
/// use std::time::{Duration, Instant};
/// use cuminloom_edge::decide::{RunnerLimits, Turn};
///
/// let now = Instant::now();
/// let mut limits = RunnerLimits::default();
/// assert_eq!(limits.turn(7, now), Turn::Unlimited);
/// // Alone, this daemon has the whole limit of 2 requests a second.
/// limits.record(7, Some(2.0), 1_000, now, |_| (Some(0), 1));
/// assert_eq!(limits.turn(7, now), Turn::At(now + Duration::from_millis(500)));
/// let later = now + Duration::from_millis(500);
/// assert_eq!(limits.turn(7, later), Turn::Ready);
/// limits.take(7, later);
/// assert_eq!(limits.turn(7, later), Turn::At(later + Duration::from_millis(500)));
/// ```
#[derive(Debug, Default)]
pub struct RunnerLimits {
    /// Limits that runners have named.
    named: HashMap<RunnerKey, Entry>,
    /// Runners that are cold.
    cold: HashMap<RunnerKey, Cold>,
}

impl RunnerLimits {
    /// Whether no runner has a limit that is known.
    pub fn is_empty(&self) -> bool {
        self.named.is_empty() && self.cold.is_empty()
    }

    /// Records what an answer of `runner` at `at` said. `rank` tells how many daemons come before this one as
    /// sharers of a runner's limit, and how many daemons there are. Returns whether others are to be told
    /// soon.
    pub fn record(
        &mut self,
        runner: RunnerKey,
        limit: Option<f64>,
        at: FleetTime,
        now: Instant,
        rank: impl Fn(RunnerKey) -> (Option<usize>, usize),
    ) -> bool {
        if limit.is_none() && !self.named.contains_key(&runner) {
            return false;
        }
        let report = LimitReport { runner, limit, at };
        self.apply(report, true, now, rank)
    }

    /// Adds what another daemon has reported, if it is newer than what is known. Returns what has changed.
    pub fn merge(
        &mut self,
        reports: &[LimitReport],
        time: FleetTime,
        now: Instant,
        rank: impl Fn(RunnerKey) -> (Option<usize>, usize),
    ) -> Vec<LimitReport> {
        let mut changed = Vec::new();
        for report in reports {
            let report = LimitReport {
                at: report.at.min(time),
                limit: report.limit.filter(|n| n.is_finite() && *n >= 0.0),
                ..*report
            };
            let known = self.named.get_mut(&report.runner);
            if let Some(entry) = known.filter(|e| !differs(e.newest.limit, report.limit)) {
                entry.peer_at = entry.peer_at.max(Some(report.at));
            }
            let newer = match self.named.get(&report.runner) {
                Some(entry) => report.at > entry.newest.at,
                None => report.limit.is_some(),
            };
            let fresh = report.at + LIMIT_TTL_MS > time;
            if newer && fresh && self.apply(report, false, now, &rank) {
                changed.push(report);
            }
        }
        changed
    }

    /// Replaces what is known of a runner. Returns whether that is a large change.
    fn apply(
        &mut self,
        report: LimitReport,
        own: bool,
        now: Instant,
        rank: impl Fn(RunnerKey) -> (Option<usize>, usize),
    ) -> bool {
        let known = self.named.get(&report.runner);
        let changed = known.is_none_or(|e| differs(e.newest.limit, report.limit));
        let same = known.is_some_and(|e| e.newest.limit == report.limit);
        let entry = self.named.entry(report.runner).or_insert(Entry {
            newest: report,
            own,
            peer_at: None,
            rank: None,
            share: Share {
                rate: 0.0,
                // The request whose answer names the limit was the first one.
                tokens: 0.0,
                updated: now,
            },
        });
        if changed {
            entry.peer_at = (!own).then_some(report.at);
        }
        entry.newest = report;
        entry.own = own;
        if !same || entry.rank.is_none() {
            let (rank, members) = rank(report.runner);
            entry.update_share(rank, members, now);
        }
        changed
    }

    /// Computes all shares anew, as daemons may have come or gone, and forgets limits of which nothing has
    /// been heard for long.
    pub fn update_shares(
        &mut self,
        time: FleetTime,
        now: Instant,
        rank: impl Fn(RunnerKey) -> (Option<usize>, usize),
    ) {
        self.cold.retain(|_, cold| now < cold.until);
        self.named.retain(|_, e| e.newest.at + LIMIT_TTL_MS > time);
        for (runner, entry) in &mut self.named {
            let (rank, members) = rank(*runner);
            entry.update_share(rank, members, now);
        }
        for (runner, cold) in &mut self.cold {
            let (rank, members) = rank(*runner);
            cold.share.set_rate(cold.limit.share(rank, members), now);
        }
    }

    /// When `runner` may be sent the next request.
    pub fn turn(&self, runner: RunnerKey, now: Instant) -> Turn {
        let cold = self.cold.get(&runner).filter(|cold| now < cold.until);
        let turn = cold.map_or(Turn::Unlimited, |cold| cold.share.turn(now));
        turn.later(self.named_turn(runner, now))
    }

    /// When the limit that `runner` has named allows the next request.
    fn named_turn(&self, runner: RunnerKey, now: Instant) -> Turn {
        let Some(entry) = self.named.get(&runner).filter(|e| e.newest.limit.is_some()) else {
            return Turn::Unlimited;
        };
        entry.share.turn(now)
    }

    /// Records that `runner` is cold until `until`, or longer if that is known. Returns whether it was not
    /// known to be cold.
    pub fn set_cold(
        &mut self,
        runner: RunnerKey,
        limit: ColdLimit,
        until: Instant,
        now: Instant,
        rank: impl Fn(RunnerKey) -> (Option<usize>, usize),
    ) -> bool {
        self.cold.retain(|_, cold| now < cold.until);
        let new = !self.cold.contains_key(&runner);
        let cold = self.cold.entry(runner).or_insert(Cold {
            limit,
            until,
            // Requests of the last second may have reached the runner since it is cold.
            share: Share {
                rate: 0.0,
                tokens: 0.0,
                updated: now,
            },
        });
        cold.limit = limit;
        cold.until = cold.until.max(until);
        let (rank, members) = rank(runner);
        cold.share.set_rate(limit.share(rank, members), now);
        new
    }

    /// Requests a second that this daemon may send to `runner` at `now`; `None` without a limit.
    pub fn rate(&self, runner: RunnerKey, now: Instant) -> Option<f64> {
        let entry = self.named.get(&runner);
        let named = entry.and_then(|e| e.newest.limit.map(|_| e.share.rate));
        let cold = self.cold.get(&runner).filter(|cold| now < cold.until);
        let cold = cold.map(|cold| cold.share.rate);
        match (named, cold) {
            (Some(named), Some(cold)) => Some(named.min(cold)),
            (named, cold) => named.or(cold),
        }
    }

    /// Counts a request that is sent to `runner`.
    pub fn take(&mut self, runner: RunnerKey, now: Instant) {
        if let Some(entry) = self.named.get_mut(&runner) {
            entry.share.take(now);
        }
        if let Some(cold) = self.cold.get_mut(&runner) {
            cold.share.take(now);
        }
    }

    /// What this daemon has seen itself and others don't report, to write to its row.
    pub fn own_reports(&self, time: FleetTime) -> Vec<LimitReport> {
        let reported = |e: &&Entry| {
            let recent = e.own && e.newest.at + REPORT_MS > time;
            let first = e.rank.is_some_and(|rank| rank < REPORTERS);
            recent && (first || e.peer_at.is_none_or(|at| at + REPORT_MS <= time))
        };
        self.reports(reported)
    }

    /// What this daemon knows from all daemons, for others that can't read the rows.
    pub fn all_reports(&self) -> Vec<LimitReport> {
        self.reports(|_| true)
    }

    /// The newest reports of entries that `selects`.
    fn reports(&self, selects: impl Fn(&&Entry) -> bool) -> Vec<LimitReport> {
        let selected = self.named.values().filter(selects);
        let mut list: Vec<LimitReport> = selected.map(|e| e.newest).collect();
        list.sort_by_key(|r| std::cmp::Reverse((r.at, r.runner)));
        list.truncate(MAX_REPORTED);
        list
    }
}

/// Whether two limits differ so much that others are told at once.
fn differs(old: Option<f64>, new: Option<f64>) -> bool {
    match (old, new) {
        (Some(old), Some(new)) => (new - old).abs() > LARGE_CHANGE * old,
        (None, None) => false,
        _ => true,
    }
}
