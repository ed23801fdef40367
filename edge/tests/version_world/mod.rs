//! Simulated fleet whose runners have several software versions, with callers that take streams up.

mod node;

use std::{
    collections::HashMap,
    time::{
        Duration,
        Instant, //
    },
};

use cuminloom_edge::{
    catalog::ServiceId,
    decide::{
        StreamKey,
        StreamReport,
        VersionHistory,
        VersionKey,
        stream_key,
        version_key, //
    },
};
use rand::{
    RngExt,
    SeedableRng,
    rngs::StdRng, //
};

use node::Node;

/// Length of a step, in milliseconds.
const STEP_MS: u64 = 50;

/// Length of a run, in milliseconds.
const RUN_MS: u64 = 45_000;

/// Time between two looks at the runners' versions, in milliseconds, as in the daemon.
const LOOK_MS: u64 = 200;

/// Time between two writes of a row with streams that others can't place, in milliseconds, as in the daemon.
const WRITE_MS: u64 = 400;

/// Time between two reads of all rows, in milliseconds, as in the daemon.
const READ_MS: u64 = 1000;

/// Pause between two calls to the feed of the runners, and the longest wait of one, in milliseconds, as in the daemon.
const POLL_PAUSE_MS: u64 = 150;
const POLL_WAIT_MS: u64 = 1000;

/// Time that a call to the store takes at a daemon that was suspended, in milliseconds.
const CALL_MS: u64 = 100;

/// Share of the callers' connections that a reset ends, in percent.
const RESET_PERCENT: u64 = 30;

/// Time for which daemons are cut off when a release begins, in milliseconds.
const RELEASE_CUT_MS: u64 = 3800;

/// Times for which daemons stand still when a release begins, in milliseconds.
const RELEASE_FREEZE_MS: std::ops::Range<u64> = 2200..4000;

/// Time for which a request waits for word of a stream, in milliseconds, as in the daemon.
const WORD_WAIT_MS: u64 = 400;

/// Time without a fault after which a daemon is bound by the rules, in milliseconds, from the users' pages.
const CONTACT_MS: u64 = 3000;

/// What happens in a run.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Faults {
    /// Daemons killed per second, in percent.
    pub(crate) kill: u64,
    /// Daemons suspended for 2 to 6 s per second, in percent.
    pub(crate) freeze: u64,
    /// Daemons cut off from the store for 2 to 9 s per second, in percent.
    pub(crate) cut: u64,
    /// Times at which all daemons are killed.
    pub(crate) kill_all: &'static [u64],
    /// Times at which the store comes back from a copy 8 s old.
    pub(crate) restore: &'static [u64],
    /// What happens to some daemons when the second and the third version appear.
    pub(crate) at_release: Option<OutOfStep>,
    /// Whether a stream goes on at any version, as before.
    pub(crate) anywhere: bool,
    /// Whether streams begin at a new version at once, and entries count from the time at which they were received, as
    /// before.
    pub(crate) unleased: bool,
}

/// How a daemon gets out of step.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum OutOfStep {
    /// It is cut off from all other machines but those of callers and runners.
    Cut,
    /// It stands still.
    Frozen,
}

/// A stream at a daemon, or between two of them.
struct Stream {
    key: StreamKey,
    began: VersionKey,
    node: usize,
    ends: u64,
    breaks: Option<u64>,
}

/// Rows of the store.
#[derive(Clone, Default)]
struct Rows {
    shares: VersionHistory,
    streams: HashMap<usize, Vec<StreamReport>>,
}

/// Counts of a run.
#[derive(Debug, Default)]
pub(crate) struct Outcome {
    pub(crate) begun: u64,
    /// Streams that went on at another version.
    pub(crate) joined: u64,
    /// Streams taken up at daemons in touch while two runners of their version served, and how many went on.
    pub(crate) taken_up: u64,
    pub(crate) went_on: u64,
}

pub(crate) struct World {
    random: StdRng,
    start: Instant,
    now: u64,
    nodes: Vec<Node>,
    service: ServiceId,
    rows: Rows,
    copies: Vec<(u64, Rows)>,
    /// Ready runners by version.
    runners: Vec<(VersionKey, u32)>,
    open: Vec<Stream>,
    /// Broken streams with the time at which the caller comes back, and the daemon at which it waits.
    broken: Vec<(u64, Stream, Option<usize>)>,
    streams: u64,
    faults: Faults,
    /// Times at which connections of callers are reset.
    resets: Vec<u64>,
    outcome: Outcome,
}

impl World {
    pub(crate) fn new(seed: u64, count: usize, faults: Faults) -> World {
        World {
            random: StdRng::seed_from_u64(seed),
            start: Instant::now(),
            now: 0,
            nodes: (0..count).map(|_| Node::new(0)).collect(),
            service: "engine".into(),
            rows: Rows::default(),
            copies: Vec::new(),
            runners: vec![(version_key("v1"), 9)],
            open: Vec::new(),
            broken: Vec::new(),
            streams: 0,
            faults,
            resets: Vec::new(),
            outcome: Outcome::default(),
        }
    }

    fn chance(&mut self, percent: u64) -> bool {
        percent > 0 && self.random.random_range(0..100) < percent
    }

    fn instant(&self) -> Instant {
        self.start + Duration::from_millis(self.now)
    }

    /// Runners at `now`: one version, a second one beside it from 6 to 8 s on, all of the second at once at 20 s, and a
    /// third one beside it from 32 s on.
    fn change_runners(&mut self) {
        let [v1, v2, v3] = ["v1", "v2", "v3"].map(version_key);
        let moved = |from: u64| ((self.now.saturating_sub(from)) / 500).min(5) as u32;
        self.runners = match self.now {
            0..6_000 => vec![(v1, 9)],
            6_000..20_000 => vec![(v1, 9 - moved(6_000)), (v2, moved(6_000))],
            20_000..21_000 => vec![(v1, 4), (v2, 9)],
            21_000..32_000 => vec![(v2, 9)],
            _ => vec![(v2, 9 - moved(32_000)), (v3, moved(32_000))],
        };
        self.runners.retain(|(_, count)| *count > 0);
    }

    fn slots(&self) -> HashMap<VersionKey, u32> {
        self.runners.iter().map(|(v, n)| (*v, n * 32)).collect()
    }

    fn runners_of(&self, version: VersionKey) -> u32 {
        let of = self.runners.iter().find(|(v, _)| *v == version);
        of.map_or(0, |(_, n)| *n)
    }

    pub(crate) fn run(mut self) -> Outcome {
        while self.now < RUN_MS {
            self.now += STEP_MS;
            self.change_runners();
            self.fail();
            for i in 0..self.nodes.len() {
                self.step(i);
            }
            self.write_shares();
            self.begin_streams();
            self.end_streams();
            self.take_up();
        }
        self.outcome
    }

    fn fail(&mut self) {
        let (now, f) = (self.now, self.faults);
        if !f.restore.is_empty() && now.is_multiple_of(500) {
            self.copies.push((now, self.rows.clone()));
            self.copies.retain(|(at, _)| at + 9_000 > now);
        }
        if f.restore.contains(&now) {
            let copy = self.copies.iter().rfind(|(at, _)| at + 8_000 <= now);
            self.rows = copy.map_or_else(Rows::default, |(_, rows)| rows.clone());
        }
        if let Some(how) = f.at_release
            && [6_300, 32_300].contains(&now)
        {
            self.disturb(how);
        }
        let second = now.is_multiple_of(1000);
        for i in 0..self.nodes.len() {
            if f.kill_all.contains(&now) || second && self.chance(f.kill) {
                let up_at = now + self.random.random_range(1000..2600);
                let old = std::mem::replace(&mut self.nodes[i], Node::new(up_at));
                self.nodes[i].cut_until = old.cut_until;
            }
            if second && self.chance(f.freeze) {
                let time = self.random.random_range(2000..6000);
                self.freeze(i, now + time);
            }
            if second && self.chance(f.cut) {
                self.nodes[i].cut_until = now + self.random.random_range(2000..9000);
            }
        }
    }

    /// Gets a third of the daemons out of step; the streams that callers have at the others break off in the meantime.
    fn disturb(&mut self, how: OutOfStep) {
        let now = self.now;
        let count = self.nodes.len() / 3;
        for i in 0..count {
            match how {
                OutOfStep::Cut => self.nodes[i].cut_until = now + RELEASE_CUT_MS,
                OutOfStep::Frozen => {
                    let time = self.random.random_range(RELEASE_FREEZE_MS);
                    self.freeze(i, now + time);
                }
            }
        }
        self.resets = vec![now + 2000, now + 2500, now + 3000, now + 3500, now + 4000];
    }

    /// Suspends node `i` until `until`. An answer of the store may be on its way.
    fn freeze(&mut self, i: usize, until: u64) {
        let answer = (self.now, self.runners.clone());
        let waits = self.chance(50) && self.now >= self.nodes[i].cut_until;
        let node = &mut self.nodes[i];
        node.waiting = waits.then_some(answer);
        node.frozen_until = until;
        // The calls that follow take time, in which it serves the requests that wait.
        node.next_read = node.next_read.max(until + CALL_MS);
        node.next_poll = node.next_poll.max(until + CALL_MS);
    }

    /// Reads and writes rows at node `i`.
    fn step(&mut self, i: usize) {
        let (now, instant) = (self.now, self.instant());
        let wait = self.random.random_range(0..POLL_WAIT_MS);
        let node = &mut self.nodes[i];
        if !node.runs(now) {
            return;
        }
        if let Some((time, entries)) = node.waiting.take() {
            node.receive(entries, time, now);
            node.next_poll = now + POLL_PAUSE_MS;
        }
        if now < node.cut_until {
            return;
        }
        if now >= node.next_poll {
            node.receive(self.runners.clone(), now, now);
            node.next_poll = now + POLL_PAUSE_MS + wait;
        }
        if now >= node.next_read {
            node.next_read = now + READ_MS + self.random.random_range(0..READ_MS);
            node.last_read = now;
            if self.rows.shares.epoch > node.history.epoch {
                node.history = self.rows.shares.clone();
                let at = Duration::from_millis(now);
                node.open.record(&node.history, at);
            }
            for (from, reports) in &self.rows.streams {
                node.log.merge(reports, *from == i, instant);
            }
        }
        if now >= node.next_write {
            node.next_write = now + WRITE_MS;
            node.log.prune(instant);
            let history = &node.history;
            let clear = |_: &ServiceId, key, version| history.began_at(key, now) == Some(version);
            let reports = node.log.reports(clear);
            if node.history.epoch > 0 {
                self.rows.streams.insert(i, reports);
            }
        }
    }

    /// Writes the shares at the first node that runs, which stands for the one whose turn it is.
    fn write_shares(&mut self) {
        let now = self.now;
        if !now.is_multiple_of(LOOK_MS) {
            return;
        }
        let slots = self.slots();
        let stored = self.rows.shares.epoch;
        let writer = |n: &&mut Node| n.runs(now) && now >= n.cut_until && n.history.epoch >= stored;
        let Some(node) = self.nodes.iter_mut().find(writer) else {
            return;
        };
        if node.history.epoch > stored || node.history.is_outdated(&slots) {
            let mut weights: Vec<_> = slots.into_iter().collect();
            weights.sort_unstable();
            node.history = node.history.next(weights, now);
            let at = Duration::from_millis(now);
            node.open.record(&node.history, at);
            self.rows.shares = node.history.clone();
        }
    }

    /// Any version with runners, evenly.
    fn any_version(&mut self) -> VersionKey {
        let i = self.random.random_range(0..self.runners.len());
        self.runners[i].0
    }

    /// Version at which node `i` begins the stream `key`: by the shares, and else at any, but at a new one only if
    /// there is no other.
    fn version_for_new(&self, i: usize, key: StreamKey) -> Option<VersionKey> {
        let (now, node) = (self.now, &self.nodes[i]);
        let is_open = |version| self.faults.unleased || node.admits(version, now);
        let by_shares = node.history.open_version_of(key, is_open);
        if by_shares.is_none() && node.entries.len() != 1 {
            return None;
        }
        let serves = |version: &VersionKey| self.runners_of(*version) > 0;
        let mut open = node.entries.iter().map(|(v, _)| *v).filter(|v| is_open(*v));
        let mut others = node.entries.iter().map(|(v, _)| *v);
        let best = by_shares.filter(serves).or_else(|| open.find(serves));
        best.or_else(|| others.find(serves))
    }

    fn begin_streams(&mut self) {
        for i in 0..self.nodes.len() {
            if !self.nodes[i].runs(self.now) || !self.chance(20) {
                continue;
            }
            self.streams += 1;
            let key = stream_key(&format!("s{}", self.streams));
            let any = self.any_version();
            let Some(chosen) = self.version_for_new(i, key) else {
                continue;
            };
            let began = if self.faults.anywhere { any } else { chosen };
            let instant = self.instant();
            self.nodes[i].log.record(key, &self.service, began, instant);
            self.outcome.begun += 1;
            let ends = self.now + self.random.random_range(500..3000);
            let breaks = self
                .chance(20)
                .then(|| self.random.random_range(self.now..ends));
            self.open.push(Stream {
                key,
                began,
                node: i,
                ends,
                breaks,
            });
        }
    }

    /// Ends streams: whole, or broken by the connection of the caller or the end of the daemon.
    fn end_streams(&mut self) {
        let now = self.now;
        let is_reset = self.resets.contains(&now);
        for stream in std::mem::take(&mut self.open) {
            let node = &mut self.nodes[stream.node];
            let gone = node.up_at > now || node.frozen_until > now;
            let gone = gone || is_reset && self.random.random_range(0..100) < RESET_PERCENT;
            if gone || stream.breaks.is_some_and(|at| now >= at) {
                let back = now + self.random.random_range(50..800);
                self.broken.push((back, stream, None));
            } else if now >= stream.ends {
                node.log.end(stream.key);
            } else {
                self.open.push(stream);
            }
        }
    }

    /// Lets the callers of broken streams come back, each once.
    fn take_up(&mut self) {
        let now = self.now;
        for (back, stream, place) in std::mem::take(&mut self.broken) {
            let any = self.random.random_range(0..self.nodes.len());
            let i = place.unwrap_or(any);
            if now < back || !self.nodes[i].runs(now) {
                // Connections are accepted at a daemon that stands still, and their requests wait there.
                let waits = now >= back && now >= self.nodes[i].up_at;
                if now < back + 5000 {
                    self.broken.push((back, stream, waits.then_some(i)));
                }
                continue;
            }
            let found = self.version_at(i, stream.key, back);
            if found.is_none() && now < back + WORD_WAIT_MS {
                // It waits, and its daemon reads the rows.
                self.nodes[i].next_read = now;
                self.broken.push((back, stream, None));
                continue;
            }
            let joined = found.is_some_and(|v| v != stream.began);
            self.outcome.joined += u64::from(joined);
            if self.nodes[i].in_touch(now) && self.runners_of(stream.began) >= 2 {
                self.outcome.taken_up += 1;
                self.outcome.went_on += u64::from(found == Some(stream.began));
            }
        }
    }

    /// Version at which node `i` lets the stream `key` go on, whose caller came back at `since`.
    fn version_at(&mut self, i: usize, key: StreamKey, since: u64) -> Option<VersionKey> {
        if self.faults.anywhere {
            return Some(self.any_version());
        }
        let node = &self.nodes[i];
        let has_runner = |version| node.entries.iter().any(|(v, _)| *v == version);
        let in_shares = node.history.only_version(self.now);
        let in_entries = node.only_version(self.now, self.faults.unleased);
        let only = in_entries.is_some() && in_entries == in_shares;
        let is_current = node.last_read > since || only;
        let shares = (&node.history, is_current);
        node.log.resume_at(key, shares, self.now, has_runner)
    }
}
