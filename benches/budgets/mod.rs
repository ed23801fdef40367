//! Discrete-event model of budget mechanisms: the same seeded requests and faults for each.

pub(crate) mod aims;
pub(crate) mod baselines;
pub(crate) mod fleet;
pub(crate) mod least;
pub(crate) mod ledger;
pub(crate) mod platform;
pub(crate) mod rows;
pub(crate) mod trace;

use cuminloom::model::Tokens;
use ledger::Outcome;
use trace::Trace;

/// A way to keep spend within a budget.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum Mechanism {
    /// The machines of this crate, with `reserve` seconds and `fraction`; `None` keeps the
    /// defaults of a new budget.
    Ours(&'static str, Option<(u32, f64)>),
    /// The grants that the users' machines run.
    Rows,
    /// Each data centre gets a fixed part of each limit and of each top-up.
    Split,
    /// Each request reserves and settles in the table.
    Check,
    /// Grants of that many seconds of a daemon's mean demand, never returned.
    Grant(u64),
}

/// Every mechanism, the default settings first.
pub(crate) const MECHANISMS: [Mechanism; 9] = [
    Mechanism::Ours("ours", None),
    Mechanism::Ours("ours small", Some((120, 0.0625))),
    Mechanism::Ours("ours large", Some((3_600, 0.25))),
    Mechanism::Rows,
    Mechanism::Split,
    Mechanism::Check,
    Mechanism::Grant(10),
    Mechanism::Grant(300),
    Mechanism::Grant(1_800),
];

impl Mechanism {
    /// Name in the tables.
    pub(crate) fn name(self) -> String {
        match self {
            Mechanism::Ours(name, _) => name.into(),
            Mechanism::Rows => "rows".into(),
            Mechanism::Split => "split".into(),
            Mechanism::Check => "check".into(),
            Mechanism::Grant(seconds) => format!("grant {seconds} s"),
        }
    }

    /// Whether it is the mechanism of this crate.
    pub(crate) fn is_ours(self) -> bool {
        matches!(self, Mechanism::Ours(..))
    }

    /// Whether the mechanism of this crate is held against it.
    pub(crate) fn is_baseline(self) -> bool {
        !matches!(self, Mechanism::Ours(..) | Mechanism::Rows)
    }

    /// Plays a trace.
    pub(crate) fn run(self, trace: &Trace) -> Outcome {
        match self {
            Mechanism::Ours(_, settings) => fleet::run(trace, settings),
            Mechanism::Rows => rows::run(trace),
            Mechanism::Split => baselines::split(trace),
            Mechanism::Check => baselines::check(trace),
            Mechanism::Grant(seconds) => baselines::grants(trace, seconds),
        }
    }
}

/// Results of all mechanisms in one scenario with one seed.
pub(crate) struct Cell {
    /// Scenario.
    pub(crate) scenario: &'static str,
    /// Mean demand of one daemon in tokens a second, the largest of all daemons.
    pub(crate) demand: Tokens,
    /// Crashes in the scenario.
    pub(crate) crashes: u64,
    /// One result for each mechanism, in the order given.
    pub(crate) outcomes: Vec<Outcome>,
    /// False refusals that hindsight could not avoid.
    pub(crate) least: u64,
}

/// Runs `mechanisms` on one scenario.
pub(crate) fn play(name: &'static str, seed: u64, scale: u64, mechanisms: &[Mechanism]) -> Cell {
    let trace = Trace::build(name, seed, scale);
    let demand = (0..trace::DAEMONS)
        .map(|d| trace.demand(d, None) as Tokens)
        .max();
    Cell {
        scenario: name,
        demand: demand.unwrap_or(0),
        crashes: trace.crashes.len() as u64,
        outcomes: mechanisms.iter().map(|m| m.run(&trace)).collect(),
        least: least::refusals(&trace),
    }
}
