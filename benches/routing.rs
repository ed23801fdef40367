//! Compares the router's policy with simple ones in a discrete-event model, with fixed seeds.
//!
//! `cargo bench --bench routing` prints a table; with `-- --check` it exits non-zero when a bound
//! from the stated aim is missed.

mod bounds;
mod model;

use bounds::{
    LAGS_MS,
    POLICIES, //
};
use model::{
    Mode,
    Outcome,
    Setup, //
};

const SECONDS: f64 = 60.0;
const SEED: u64 = 1;

fn main() {
    if std::env::args().any(|arg| arg == "--check") {
        let misses = bounds::misses(&LAGS_MS, SECONDS, SEED);
        misses.iter().for_each(|miss| println!("missed: {miss}"));
        std::process::exit(i32::from(!misses.is_empty()));
    }
    println!(
        "target    load lag(s) policy          urgent p50  p99  ref% |  patient p50   p99  served% | spread wasted%"
    );
    for mode in [Mode::Well, Mode::Slow, Mode::Failing, Mode::Gone] {
        for load in [0.5, 1.0, 1.5] {
            for lag in LAGS_MS {
                for policy in POLICIES {
                    let setup = Setup {
                        policy,
                        load,
                        lag: std::time::Duration::from_millis(lag),
                        mode,
                        seconds: SECONDS,
                        seed: SEED,
                    };
                    print_row(setup, &model::run(setup));
                }
            }
        }
    }
}

fn print_row(setup: Setup, outcome: &Outcome) {
    let policy = setup.policy.map_or("Router".into(), |c| format!("{c:?}"));
    let (urgent, patient) = (outcome.urgent(), outcome.patient());
    let lost = 1.0 - urgent.served();
    println!(
        "{:8} {:5.1} {:6.1} {policy:14} {:8.2} {:8.2} {:5.2} | {:8.2} {:8.2} {:6.1} | {:5.2} {:6.2}",
        format!("{:?}", setup.mode),
        setup.load,
        setup.lag.as_secs_f64(),
        urgent.at(0.5),
        urgent.at(0.99),
        lost * 100.0,
        patient.at(0.5),
        patient.at(0.99),
        patient.served() * 100.0,
        spread(outcome),
        outcome.wasted() * 100.0,
    );
}

/// Requests on the busiest of the targets that work, relative to their mean.
fn spread(outcome: &Outcome) -> f64 {
    let well = &outcome.per_target[1..];
    let mean = well.iter().sum::<u64>() as f64 / well.len() as f64;
    *well.iter().max().unwrap_or(&0) as f64 / mean.max(1.0)
}
