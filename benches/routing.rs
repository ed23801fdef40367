//! Compares the router with simple baseline policies in a discrete-event simulation with fixed
//! seeds.
//!
//! `cargo bench --bench routing` prints a table; with `-- --check` it exits non-zero if a bound of
//! the stated aim is missed.

mod bounds;
mod model;

use bounds::{
    LAGS_MS,
    POLICIES, //
};
use model::{
    RunResult,
    Scenario,
    TargetFault, //
};

/// Measured part of each run, in simulated seconds.
const RUN_S: f64 = 60.0;
const SEED: u64 = 1;

fn main() {
    if std::env::args().any(|arg| arg == "--check") {
        let misses = bounds::missed_bounds(&LAGS_MS, RUN_S, SEED);
        misses.iter().for_each(|miss| println!("missed: {miss}"));
        std::process::exit(i32::from(!misses.is_empty()));
    }
    println!(
        "target    load lag(s) policy          urgent p50  p99  ref% |  patient p50   p99  served% | spread wasted%"
    );
    for fault in [
        TargetFault::Well,
        TargetFault::Slow,
        TargetFault::Failing,
        TargetFault::Gone,
    ] {
        for load in [0.5, 1.0, 1.5] {
            for lag in LAGS_MS {
                for policy in POLICIES {
                    let scenario = Scenario {
                        policy,
                        load,
                        lag: std::time::Duration::from_millis(lag),
                        fault,
                        seconds: RUN_S,
                        seed: SEED,
                    };
                    print_row(scenario, &model::run(scenario));
                }
            }
        }
    }
}

/// Prints the table row of one run.
fn print_row(scenario: Scenario, result: &RunResult) {
    let policy = scenario
        .policy
        .map_or("Router".into(), |policy| format!("{policy:?}"));
    let (urgent, patient) = (result.urgent(), result.patient());
    let unserved = 1.0 - urgent.served();
    println!(
        "{:8} {:5.1} {:6.1} {policy:14} {:8.2} {:8.2} {:5.2} | {:8.2} {:8.2} {:6.1} | {:5.2} {:6.2}",
        format!("{:?}", scenario.fault),
        scenario.load,
        scenario.lag.as_secs_f64(),
        urgent.quantile(0.5),
        urgent.quantile(0.99),
        unserved * 100.0,
        patient.quantile(0.5),
        patient.quantile(0.99),
        patient.served() * 100.0,
        load_spread(result),
        result.wasted() * 100.0,
    );
}

/// Requests on the busiest of the targets without a fault, relative to their mean.
fn load_spread(result: &RunResult) -> f64 {
    let working = &result.per_target[1..];
    let mean = working.iter().sum::<u64>() as f64 / working.len() as f64;
    *working.iter().max().unwrap_or(&0) as f64 / mean.max(1.0)
}
