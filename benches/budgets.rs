//! Budget mechanisms compared in the same seeded runs with the same faults. Prints a table;
//! `--check` fails when an aim is missed. `CUMINLOOM_SEEDS` sets the number of seeds,
//! `CUMINLOOM_SCENARIO` chooses one scenario, `CUMINLOOM_TRACE` prints each false refusal.

#[path = "budgets/mod.rs"]
mod model;

use std::{
    env,
    process::ExitCode,
    sync::atomic::{
        AtomicUsize,
        Ordering::Relaxed, //
    },
    thread, //
};

use model::{
    MECHANISMS, ScenarioResult, aims, run_scenario,
    trace::{
        HOUR_SCENARIOS,
        TARGET_SCENARIOS,
        USER_SCENARIOS, //
    },
};

/// Most scenarios that run at the same time.
const MAX_THREADS: usize = 3;
/// Number of seeds of a scenario, unless `CUMINLOOM_SEEDS` sets another one.
const DEFAULT_SEEDS: u64 = 5;

fn main() -> ExitCode {
    let seeds =
        env::var("CUMINLOOM_SEEDS").map_or(DEFAULT_SEEDS, |text| text.parse().expect("a number"));
    let only = env::var("CUMINLOOM_SCENARIO").ok();
    let jobs: Vec<(&str, u64)> = HOUR_SCENARIOS
        .iter()
        .chain(&USER_SCENARIOS)
        .flat_map(|name| (1..=seeds).map(move |seed| (*name, seed)))
        .chain(TARGET_SCENARIOS.iter().map(|name| (*name, 1)))
        .filter(|(name, _)| only.as_ref().is_none_or(|only| only == name))
        .collect();
    let cells = run_jobs(&jobs);
    print_table(&cells);
    let (_, judged): (Vec<ScenarioResult>, Vec<ScenarioResult>) = cells
        .into_iter()
        .partition(|cell| USER_SCENARIOS.contains(&cell.scenario));
    let missed = aims::missed_aims(&MECHANISMS, &judged);
    for line in &missed {
        println!("missed: {line}");
    }
    match env::args().any(|arg| arg == "--check") && !missed.is_empty() {
        true => ExitCode::FAILURE,
        false => ExitCode::SUCCESS,
    }
}

/// Runs the scenarios, each with a seed, on several threads; returns the results in the same order.
fn run_jobs(jobs: &[(&'static str, u64)]) -> Vec<ScenarioResult> {
    let next = AtomicUsize::new(0);
    let work = || {
        let mut done = Vec::new();
        while let Some((n, (name, seed))) = jobs.iter().enumerate().nth(next.fetch_add(1, Relaxed))
        {
            done.push((n, run_scenario(name, *seed, 1, &MECHANISMS)));
        }
        done
    };
    let mut cells: Vec<(usize, ScenarioResult)> = thread::scope(|scope| {
        let threads: Vec<_> = (0..MAX_THREADS).map(|_| scope.spawn(work)).collect();
        let done = threads.into_iter().map(|t| t.join().expect("no panic"));
        done.flatten().collect()
    });
    cells.sort_by_key(|(n, _)| *n);
    cells.into_iter().map(|(_, cell)| cell).collect()
}

/// Prints a Markdown table with a line for each scenario and mechanism, summed over the seeds.
fn print_table(cells: &[ScenarioResult]) {
    println!(
        "| scenario | mechanism | overspend | false refusals | refused | reads | budget writes | \
         other writes | orphaned at end | at most |"
    );
    println!("|---|---|---|---|---|---|---|---|---|---|");
    let mut names: Vec<&str> = cells.iter().map(|cell| cell.scenario).collect();
    names.dedup();
    for name in names {
        let here = || cells.iter().filter(|cell| cell.scenario == name);
        for (mechanism, sum) in MECHANISMS.iter().zip(aims::sum_seeds(here())) {
            println!(
                "| {name} | {} | {} | {:.3}% ({}) | {} | {:.1} | {:.1} | {:.1} | {} | {} |",
                mechanism.name(),
                sum.overspend,
                sum.refusal_share() * 100.0,
                sum.false_refusals,
                sum.refused,
                sum.per_thousand(sum.reads),
                sum.per_thousand(sum.budget_writes),
                sum.per_thousand(sum.other_writes),
                sum.orphaned,
                sum.max_orphaned
            );
        }
        let least: u64 = here().map(|cell| cell.min_refused).sum();
        println!("| {name} | least possible | 0 | ({least}) | | | | | | |");
    }
}
