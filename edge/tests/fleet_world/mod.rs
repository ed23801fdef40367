//! Deterministic simulation of a fleet whose runners are crashed by a prompt part, or name limits, with rows in a store whose
//! part performs transactions one after another. Times are simulated milliseconds.

mod daemon;
mod limits;
mod refusals;
mod runners;

use std::time::{
    Duration,
    Instant, //
};

use cuminloom_edge::decide::Suspect;
use rand::{
    RngExt,
    SeedableRng,
    rngs::StdRng, //
};

use super::store::FakeStore;
use daemon::Node;
use limits::Arrivals;
use refusals::Refusals;
pub(crate) use refusals::{
    Entry,
    Told, //
};
use runners::Runners;

/// Length of a step.
pub(crate) const STEP_MS: u64 = 10;

/// Transactions a second that the part of the store performs, from the users' site files.
pub(crate) const PART_RATE: f64 = 300.0;

/// Part that crashes runners.
pub(crate) const BAD_PART: u64 = 0xbad;

/// Number of parts that prompts begin with, and of rarer parts that follow.
const FIRST_PARTS: u64 = 4;
const SECOND_PARTS: u64 = 300;

/// Ends of runners under the bad part after which it must be known.
const ENDS_ALLOWED: usize = 5;

/// Faults of a run; times in milliseconds, probabilities in percent a second.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Faults {
    /// Requests a second with the bad part, in all.
    pub bad_rate: f64,
    /// Start of these requests.
    pub bad_from: u64,
    /// Share of the sound requests, in percent, whose callers leave before the answer begins.
    pub give_up: u64,
    /// Longest time for which a runner hangs in a request with the bad part, whose caller has left by then; 0 for one
    /// whose caller waits.
    pub hang_ms: u64,
    /// Restart of a daemon.
    pub kill: u64,
    /// Restart of all daemons.
    pub kill_all_at: Option<u64>,
    /// Cut of a daemon from the store for seconds.
    pub cut: u64,
    /// Freeze of a daemon for seconds.
    pub freeze: u64,
    /// Time for which the store is away.
    pub store_away: Option<(u64, u64)>,
    /// Crash of a runner for another reason, for each runner.
    pub crash: u64,
    /// Crash of all runners of a data centre at once.
    pub rack_at: Option<u64>,
    /// Number of runners that name a limit, the limit, and the time for which they do.
    pub limited: usize,
    pub limit: f64,
    pub limit_time: (u64, u64),
    /// Planned end of a runner, for each runner, and when its entry says so.
    pub leave: u64,
    pub entry: Entry,
    /// Share of the runners, in percent, that turn requests away and name a time in milliseconds; whom they
    /// do that to, and when.
    pub busy: u64,
    pub busy_ms: u64,
    pub told: Told,
    pub busy_time: (u64, u64),
    /// Daemons take no notice of runners that leave or want nothing, to show that the bounds find it.
    pub deaf: bool,
    /// Daemons keep what they have seen to themselves, to show that the bounds find it.
    pub unshared: bool,
}

/// Size of a run.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Size {
    pub daemons: usize,
    pub runners: usize,
    pub zones: usize,
    /// Sound requests a second.
    pub sound_rate: f64,
    /// `contactMs` and `drainMs` of the users' sites.
    pub contact_ms: u64,
    pub drain_ms: u64,
}

/// Size of the users' small sites.
pub(crate) const SMALL: Size = Size {
    daemons: 7,
    runners: 9,
    zones: 4,
    sound_rate: 60.0,
    contact_ms: 3000,
    drain_ms: 2000,
};

/// Size of the users' larger sites.
pub(crate) const MEDIUM: Size = Size {
    daemons: 81,
    runners: 100,
    zones: 4,
    sound_rate: 400.0,
    contact_ms: 4000,
    drain_ms: 3000,
};

/// Size of the users' largest site.
pub(crate) const SIX_ZONES: Size = Size {
    daemons: 95,
    runners: 84,
    zones: 6,
    sound_rate: 450.0,
    contact_ms: 5000,
    drain_ms: 4000,
};

/// Daemons of the target size, with fewer runners.
pub(crate) const LARGE: Size = Size {
    daemons: 340,
    runners: 400,
    zones: 21,
    sound_rate: 800.0,
    contact_ms: 4000,
    drain_ms: 3000,
};

/// What a run counts.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Outcome {
    /// Ends of runners under the bad part.
    pub bad_ends: usize,
    /// Requests with the bad part that daemons in touch sent later than `contact_ms` after the fifth end.
    pub late_sends: usize,
    /// Sound requests at daemons in touch later than twice `contact_ms` after the fifth end, or the last if
    /// there are fewer, and those that began at the first attempt.
    pub sound: u64,
    pub begun: u64,
    /// As above, before the first end.
    pub sound_before: u64,
    pub begun_before: u64,
    /// Sound requests that were refused because they crash runners.
    pub blamed: u64,
    /// Most requests that a runner with a limit got in the window of the rule from daemons that it had told.
    pub busiest: usize,
    /// Least that a runner with a limit got, in requests a second, while it named one.
    pub least_rate: f64,
    /// Requests that reached a runner later than `drain_ms` after it had told their daemon that it leaves.
    pub after_leaving: usize,
    /// Most requests of a daemon that reached a runner in a time for which it wanted none of them.
    pub unwanted: usize,
    /// Most requests that reached a runner in a step after a pause.
    pub rush: usize,
    /// Requests, and those that a runner has begun to answer.
    pub sent: u64,
    pub answered: u64,
    /// Largest report in a row, in bytes.
    pub report_bytes: usize,
}

/// A request at a runner.
pub(crate) struct Request {
    pub suspects: Vec<Suspect>,
    pub bad: bool,
    pub daemon: usize,
    /// Process of the daemon that sent it.
    pub process: u64,
    pub runner: usize,
    pub begins_at: u64,
    /// Whether its caller has left.
    pub left: bool,
    /// Whether it counts as sound during, or before, the trouble.
    counted: Option<bool>,
}

/// The fleet, its runners and the store.
pub(crate) struct World {
    pub(crate) size: Size,
    pub(crate) faults: Faults,
    pub(crate) random: StdRng,
    start: Instant,
    pub(crate) now: u64,
    pub(crate) store: FakeStore,
    /// Time at which the part has performed all transactions sent so far.
    pub(crate) part_free: f64,
    pub(crate) nodes: Vec<Node>,
    pub(crate) runners: Runners,
    pub(crate) processes: u64,
    numbers: u64,
    arrivals: Arrivals,
    refusals: Refusals,
    bad_ends: Vec<u64>,
    pub(crate) outcome: Outcome,
}

impl World {
    pub(crate) fn new(seed: u64, size: Size, faults: Faults) -> World {
        World {
            size,
            faults,
            random: StdRng::seed_from_u64(seed),
            start: Instant::now(),
            now: 0,
            store: FakeStore::default(),
            part_free: 0.0,
            nodes: (0..size.daemons)
                .map(|i| Node::new(i, size.zones))
                .collect(),
            runners: Runners::new(size.runners),
            processes: 0,
            numbers: 0,
            arrivals: Arrivals::default(),
            refusals: Refusals::default(),
            bad_ends: Vec::new(),
            outcome: Outcome::default(),
        }
    }

    /// Simulates `seconds`.
    pub(crate) fn run(&mut self, seconds: u64) -> Outcome {
        let end = self.now + seconds * 1000;
        while self.now < end {
            self.now += STEP_MS;
            self.inject_faults();
            self.step_leaving();
            self.step_runners();
            self.step_probes();
            for i in 0..self.nodes.len() {
                self.step_daemon(i);
            }
            self.send_requests();
        }
        self.outcome.bad_ends = self.bad_ends.len();
        self.count_limits();
        self.count_refusals();
        self.outcome
    }

    /// Time on the monotonic clock of node `i`.
    pub(crate) fn instant(&self, i: usize) -> Instant {
        self.start + Duration::from_millis(self.nodes[i].clock)
    }

    /// `true` with a probability of `percent`.
    pub(crate) fn chance(&mut self, percent: u64) -> bool {
        percent > 0 && self.random.random_range(0..100) < percent
    }

    /// Whether the store answers.
    pub(crate) fn store_answers(&self) -> bool {
        let away = self.faults.store_away;
        !away.is_some_and(|(from, to)| (from..to).contains(&self.now))
    }

    /// Whether daemon `i` and the store have been without disruption for `contact_ms`.
    fn in_touch(&self, i: usize) -> bool {
        let contact = self.size.contact_ms;
        let calm_store = self
            .faults
            .store_away
            .is_none_or(|(from, to)| self.now < from || self.now >= to + contact);
        calm_store && self.now >= self.nodes[i].calm_from + contact
    }

    /// Starts the faults that are due.
    fn inject_faults(&mut self) {
        let f = self.faults;
        let second = self.now.is_multiple_of(1000);
        for i in 0..self.nodes.len() {
            if f.kill_all_at == Some(self.now) || (second && self.chance(f.kill)) {
                let down = self.random.random_range(500..3000);
                self.nodes[i].kill(self.now + down);
            }
            if second && self.chance(f.cut) {
                let until = self.now + self.random.random_range(1000..9000);
                self.nodes[i].cut(until);
            }
            if second && self.chance(f.freeze) {
                let until = self.now + self.random.random_range(500..5000);
                self.nodes[i].freeze(until);
            }
        }
        for runner in 0..self.runners.len() {
            let rack = f.rack_at == Some(self.now) && runner % self.size.zones == 0;
            if rack || (second && self.chance(f.crash)) {
                self.end_runner(runner);
            }
            if second && self.chance(f.leave) {
                self.begin_leaving(runner);
            }
        }
    }

    /// Sends the requests of this step.
    fn send_requests(&mut self) {
        let sound = self.size.sound_rate * STEP_MS as f64 / 1000.0;
        for _ in 0..self.draw_count(sound) {
            let first = self.random.random_range(0..FIRST_PARTS);
            let second = 100 + self.random.random_range(0..SECOND_PARTS);
            self.send(&[first, second], false);
        }
        if self.now < self.faults.bad_from {
            return;
        }
        let bad = self.faults.bad_rate * STEP_MS as f64 / 1000.0;
        for _ in 0..self.draw_count(bad) {
            let first = self.random.random_range(0..FIRST_PARTS);
            let second = 100 + self.random.random_range(0..SECOND_PARTS);
            // With a sound part before or after the bad one, or without any.
            match self.random.random_range(0..3) {
                0 => self.send(&[first, BAD_PART], true),
                1 => self.send(&[first, second, BAD_PART], true),
                _ => self.send(&[BAD_PART, second], true),
            }
        }
    }

    /// A random number with the mean `mean`.
    fn draw_count(&mut self, mean: f64) -> u64 {
        let whole = mean.floor();
        whole as u64 + u64::from(self.random.random::<f64>() < mean - whole)
    }

    /// Time of the end at which the bad part must begin to be known.
    fn fifth_end(&self) -> Option<u64> {
        self.bad_ends.get(ENDS_ALLOWED - 1).copied()
    }

    /// Sends a request with `parts` to a random daemon.
    fn send(&mut self, parts: &[u64], bad: bool) {
        self.numbers += 1;
        let daemon = self.random.random_range(0..self.nodes.len());
        let mut suspects = vec![Suspect::Request(self.numbers)];
        suspects.extend(parts.iter().map(|p| Suspect::Part(*p)));
        if !self.nodes[daemon].is_up(self.now) {
            return;
        }
        let in_touch = self.in_touch(daemon);
        let (fifth, contact) = (self.fifth_end(), self.size.contact_ms);
        let last = fifth.or(self.bad_ends.last().copied());
        let late = fifth.is_some_and(|at| self.now > at + contact);
        let counted = match bad {
            true => None,
            false if in_touch && last.is_some_and(|at| self.now > at + 2 * contact) => Some(true),
            false if in_touch && self.bad_ends.is_empty() => Some(false),
            false => None,
        };
        match counted {
            Some(true) => self.outcome.sound += 1,
            Some(false) => self.outcome.sound_before += 1,
            None => {}
        }
        if self.refuses(daemon, &suspects) {
            self.outcome.blamed += u64::from(!bad);
            return;
        }
        if bad && late && in_touch {
            self.outcome.late_sends += 1;
        }
        let request = Request {
            suspects,
            bad,
            daemon,
            process: self.nodes[daemon].process,
            runner: 0,
            begins_at: 0,
            left: match bad {
                true => self.faults.hang_ms > 0,
                false => self.chance(self.faults.give_up),
            },
            counted,
        };
        self.place(request);
    }

    /// Counts a sound request that has begun at its first attempt.
    fn count_begun(&mut self, request: &Request) {
        match request.counted {
            Some(true) => self.outcome.begun += 1,
            Some(false) => self.outcome.begun_before += 1,
            None => {}
        }
    }
}
