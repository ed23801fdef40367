//! The bounds of `benches/budgets.rs` on shorter runs. They guard against overspend, against a
//! sizing policy that refuses more than the baselines, and against platform writes and orphans
//! beyond the stated aims.

#[path = "../benches/budgets/mod.rs"]
mod model;

use model::{
    MECHANISMS, Mechanism, ScenarioResult, aims, run_scenario,
    trace::{
        HOUR_SCENARIOS,
        TARGET_SCENARIOS,
        USER_SCENARIOS, //
    },
};

/// Divides the hour.
const TIME_SCALE: u64 = 20;
/// Aims that are missed at present, one line each.
const KNOWN_RED: &str = include_str!("../KNOWN-RED.txt");

fn assert_aims(mechanisms: &[Mechanism], names: &[&'static str], seeds: u64, scale: u64) {
    let runs = names
        .iter()
        .flat_map(|name| (1..=seeds).map(move |seed| (*name, seed)));
    let cells: Vec<ScenarioResult> = runs
        .map(|(name, seed)| run_scenario(name, seed, scale, mechanisms))
        .collect();
    let safe = cells.iter().flat_map(|cell| &cell.outcomes);
    assert!(safe.clone().all(|outcome| outcome.overspend == 0));
    // No mechanism does better than hindsight.
    let served = |cell: &ScenarioResult| {
        cell.outcomes
            .iter()
            .all(|o| o.false_refusals >= cell.min_refused)
    };
    assert!(cells.iter().all(served));
    let (known, new): (Vec<String>, Vec<String>) = aims::missed_aims(mechanisms, &cells)
        .into_iter()
        .partition(|line| KNOWN_RED.lines().any(|red| red == known_red_line(line)));
    println!("known red: {known:#?}");
    assert!(new.is_empty(), "{new:#?}");
}

/// The scenario and the baseline of a missed aim, without its figures.
fn known_red_line(line: &str) -> String {
    let (scenario, rest) = line.split_once(": ").unwrap_or((line, ""));
    let baseline = rest.split_once("refusals, ").map_or(rest, |(_, rest)| rest);
    let baseline = baseline
        .split_once(" has ")
        .map_or(baseline, |(name, _)| name);
    format!("aim missed: {scenario}: more false refusals than {baseline}")
}

#[test]
fn hour_scenarios_meet_the_aims() {
    assert_aims(&MECHANISMS, &HOUR_SCENARIOS, 2, TIME_SCALE);
}

#[test]
fn target_rate_meets_the_aims() {
    // Not shortened: the first draws of a budget are small, so the first minutes say nothing about
    // the rate of writes. The nearly empty budget is the one with more writes.
    assert_aims(
        &[MECHANISMS[0], Mechanism::Check],
        &TARGET_SCENARIOS[1..],
        1,
        1,
    );
}

/// Guards the choice of rows for the users' machines: against overspend under their faults, and against
/// more false refusals than with shares and a witness.
#[test]
fn rows_carry_through_the_users_faults() {
    let mechanisms = [MECHANISMS[0], Mechanism::Rows];
    for name in USER_SCENARIOS {
        let cells: Vec<ScenarioResult> = (1..=2)
            .map(|seed| run_scenario(name, seed, TIME_SCALE, &mechanisms))
            .collect();
        let [ours, rows] = &aims::sum_seeds(cells.iter())[..] else {
            panic!("two mechanisms");
        };
        assert_eq!(rows.overspend, 0, "{name}");
        assert!(
            rows.false_refusals <= ours.false_refusals,
            "{name}: {rows:?}, {ours:?}"
        );
    }
}
