//! Discrete-event model of budget mechanisms: the same seeded requests and faults for each.

pub(crate) mod aims;
pub(crate) mod baselines;
pub(crate) mod fleet;
pub(crate) mod ledger;
pub(crate) mod lower_bound;
pub(crate) mod platform;
pub(crate) mod rows;
pub(crate) mod trace;

use cuminloom::model::Tokens;
use ledger::Outcome;
use trace::Trace;

/// A way to keep spend within a budget.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum Mechanism {
    /// The shares of this crate under the given name, with `reserve_s` and `draw_fraction`; `None`
    /// keeps the defaults of a new budget.
    Shares(&'static str, Option<(u32, f64)>),
    /// The grants in rows of `cuminloom_edge::prepaid`, which the users' machines run.
    Rows,
    /// Each data centre gets a fixed part of each limit and of each top-up.
    Split,
    /// Each request reserves and settles in the table.
    Check,
    /// Grants of the given number of seconds of a daemon's mean demand, which are never returned.
    Grant(u64),
}

/// Every mechanism, the default settings first.
pub(crate) const MECHANISMS: [Mechanism; 9] = [
    Mechanism::Shares("ours", None),
    Mechanism::Shares("ours small", Some((120, 0.0625))),
    Mechanism::Shares("ours large", Some((3_600, 0.25))),
    Mechanism::Rows,
    Mechanism::Split,
    Mechanism::Check,
    Mechanism::Grant(10),
    Mechanism::Grant(300),
    Mechanism::Grant(1_800),
];

impl Mechanism {
    /// Name in the printed tables and the missed aims.
    pub(crate) fn name(self) -> String {
        match self {
            Mechanism::Shares(name, _) => name.into(),
            Mechanism::Rows => "rows".into(),
            Mechanism::Split => "split".into(),
            Mechanism::Check => "check".into(),
            Mechanism::Grant(seconds) => format!("grant {seconds} s"),
        }
    }

    /// Whether it is the mechanism of this crate, shares of budgets with a witness.
    pub(crate) fn uses_shares(self) -> bool {
        matches!(self, Mechanism::Shares(..))
    }

    /// Whether it is a baseline with which the mechanism of this crate is compared.
    pub(crate) fn is_baseline(self) -> bool {
        !matches!(self, Mechanism::Shares(..) | Mechanism::Rows)
    }

    /// Runs a trace with this mechanism.
    pub(crate) fn run(self, trace: &Trace) -> Outcome {
        match self {
            Mechanism::Shares(_, settings) => fleet::run(trace, settings),
            Mechanism::Rows => rows::run(trace),
            Mechanism::Split => baselines::run_split(trace),
            Mechanism::Check => baselines::run_check(trace),
            Mechanism::Grant(seconds) => baselines::run_grants(trace, seconds),
        }
    }
}

/// Results of all mechanisms in one scenario with one seed.
pub(crate) struct ScenarioResult {
    /// Scenario.
    pub(crate) scenario: &'static str,
    /// Largest mean demand of a daemon, in tokens a second.
    pub(crate) max_demand: Tokens,
    /// Crashes in the scenario.
    pub(crate) crashes: u64,
    /// One result for each mechanism, in the order given.
    pub(crate) outcomes: Vec<Outcome>,
    /// Lower bound of the false refusals.
    pub(crate) min_refused: u64,
}

/// Runs `mechanisms` on one scenario; `scale` divides all its times.
pub(crate) fn run_scenario(
    name: &'static str,
    seed: u64,
    scale: u64,
    mechanisms: &[Mechanism],
) -> ScenarioResult {
    let trace = Trace::build(name, seed, scale);
    let demand = (0..trace::DAEMONS)
        .map(|d| trace.mean_demand(d, None) as Tokens)
        .max();
    ScenarioResult {
        scenario: name,
        max_demand: demand.unwrap_or(0),
        crashes: trace.crashes.len() as u64,
        outcomes: mechanisms.iter().map(|m| m.run(&trace)).collect(),
        min_refused: lower_bound::min_refusals(&trace),
    }
}
