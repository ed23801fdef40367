//! What came of a run.

use std::{
    collections::HashMap,
    fmt,
    ops::Range, //
};

use cuminloom_edge::decide::ReachState;

use super::daemon::Daemon;

/// Times between which something is counted, in milliseconds.
pub(crate) type Window = Range<u64>;

/// How a request ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum End {
    /// It was answered in time.
    Served,
    /// Its caller was told that it has not run.
    Refused,
    /// It was answered too late or not at all.
    Failed,
}

/// The first try of a caller.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Record {
    pub arrived: u64,
    pub took: u64,
    pub origin: usize,
    /// Neighbours that were asked.
    pub asks: usize,
    /// Connections to runners that failed.
    pub refused: usize,
    /// Whether a neighbour handled it at the end.
    pub handed: bool,
    pub end: End,
}

/// A daemon has found a service to be reached better or worse.
#[derive(Clone, Copy, Debug)]
struct Change {
    daemon: usize,
    service: usize,
    at: u64,
    state: ReachState,
}

/// First tries at some daemons.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Tries {
    pub all: usize,
    pub served: usize,
}

impl Tries {
    pub(crate) fn share(&self) -> f64 {
        self.served as f64 / self.all.max(1) as f64
    }

    pub(crate) fn failed(&self) -> usize {
        self.all - self.served
    }
}

impl fmt::Display for Tries {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}", self.served, self.all)
    }
}

/// What came of a run.
pub(crate) struct Outcome {
    pub records: Vec<Record>,
    /// Times at which a daemon was told by another that it does not take a request.
    pub declined: Vec<(u64, usize, usize)>,
    /// Whether each daemon was killed.
    pub killed: Vec<bool>,
    /// Requests that each daemon took for others, and its share of them by capacity.
    pub taken: Vec<u32>,
    pub expected: Vec<f64>,
    changes: Vec<Change>,
    /// Whether each daemon was among those cut off.
    pub cut: Vec<bool>,
    /// Time of the last arrival.
    pub end: u64,
}

impl Outcome {
    pub(super) fn new(daemons: &[Daemon]) -> Outcome {
        Outcome {
            records: Vec::new(),
            declined: Vec::new(),
            killed: vec![false; daemons.len()],
            taken: vec![0; daemons.len()],
            expected: vec![0.0; daemons.len()],
            changes: Vec::new(),
            cut: daemons.iter().map(|d| d.is_cut).collect(),
            end: 0,
        }
    }

    pub(super) fn note_state(&mut self, daemon: usize, service: usize, at: u64, state: ReachState) {
        self.changes.push(Change {
            daemon,
            service,
            at,
            state,
        });
    }

    /// First tries in `window`.
    pub(crate) fn arrived(&self, window: &Window) -> impl Iterator<Item = &Record> {
        let window = window.clone();
        self.records
            .iter()
            .filter(move |r| window.contains(&r.arrived))
    }

    /// First tries in `window` at the daemons that were cut off, or at the others.
    pub(crate) fn tries(&self, window: &Window, cut: bool) -> Tries {
        let mut tries = Tries::default();
        for record in self.arrived(window).filter(|r| self.cut[r.origin] == cut) {
            tries.all += 1;
            tries.served += usize::from(record.end == End::Served);
        }
        tries
    }

    /// Longest time for which a request of `window` waited to be refused, in milliseconds.
    pub(crate) fn slowest_refusal(&self, window: &Window) -> u64 {
        let refused = self.arrived(window).filter(|r| r.end == End::Refused);
        refused.map(|r| r.took).max().unwrap_or(0)
    }

    /// Number of times in `window` at which a neighbour declined.
    pub(crate) fn declined_in(&self, window: &Window) -> usize {
        let declined = self.declined.iter();
        declined.filter(|(at, ..)| window.contains(at)).count()
    }

    /// Most requests that one daemon, which was not killed, declined of another one in `window`.
    pub(crate) fn most_declined(&self, window: &Window) -> usize {
        let mut pairs: HashMap<(usize, usize), usize> = HashMap::new();
        for (at, origin, neighbour) in &self.declined {
            if window.contains(at) && !self.killed[*neighbour] {
                *pairs.entry((*origin, *neighbour)).or_default() += 1;
            }
        }
        pairs.into_values().max().unwrap_or(0)
    }

    /// States of each service at each daemon, with the times between which they held.
    fn spans(&self) -> Vec<(usize, ReachState, Window)> {
        let mut open: HashMap<(usize, usize), (ReachState, u64)> = HashMap::new();
        let mut spans = Vec::new();
        for c in &self.changes {
            let before = open.insert((c.daemon, c.service), (c.state, c.at));
            if let Some((state, since)) = before {
                spans.push((c.daemon, state, since..c.at));
            }
        }
        for ((daemon, _), (state, since)) in open {
            spans.push((daemon, state, since..self.end.max(since)));
        }
        spans
    }

    /// Longest time for which a daemon took a service for lost, in milliseconds.
    pub(crate) fn longest_loss(&self) -> u64 {
        let spans = self.spans().into_iter();
        let lost = spans.filter(|(_, state, _)| *state == ReachState::Lost);
        lost.map(|(_, _, span)| span.end - span.start)
            .max()
            .unwrap_or(0)
    }

    /// Daemons that took a service for impaired at any time of `window`.
    pub(crate) fn impaired_in(&self, window: &Window) -> usize {
        let spans = self.spans().into_iter();
        let impaired = spans.filter(|(_, state, span)| {
            *state != ReachState::Open && span.start < window.end && window.start < span.end
        });
        let mut daemons: Vec<usize> = impaired.map(|(daemon, ..)| daemon).collect();
        daemons.sort_unstable();
        daemons.dedup();
        daemons.len()
    }

    /// Most times that a daemon found one service to be lost.
    pub(crate) fn most_losses(&self) -> usize {
        self.most_changes(|c| c.state == ReachState::Lost)
    }

    /// Most changes of one service at a daemon that `counts` picks.
    fn most_changes(&self, counts: impl Fn(&Change) -> bool) -> usize {
        let mut pairs: HashMap<(usize, usize), usize> = HashMap::new();
        for c in self.changes.iter().filter(|c| counts(c)) {
            *pairs.entry((c.daemon, c.service)).or_default() += 1;
        }
        pairs.into_values().max().unwrap_or(0)
    }

    /// Most requests that a daemon took for others, relative to its share by capacity or to `least` if that is more.
    pub(crate) fn uneven(&self, least: f64) -> f64 {
        let taken = self.taken.iter().zip(&self.expected);
        let ratios = taken.map(|(taken, share)| f64::from(*taken) / share.max(least));
        ratios.fold(0.0, f64::max)
    }

    /// Most connections of `window` that failed for one request.
    pub(crate) fn most_refused(&self, window: &Window) -> usize {
        self.arrived(window).map(|r| r.refused).max().unwrap_or(0)
    }

    /// Most neighbours that were asked for one request.
    pub(crate) fn most_asked(&self) -> usize {
        self.records.iter().map(|r| r.asks).max().unwrap_or(0)
    }
}
