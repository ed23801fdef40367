//! Measures the size of a budget row, the time to change it, and the conflicts when all drawing
//! daemons draw from it at once. `-- --check` exits non-zero when a bound is missed.

#[allow(dead_code)] // Each benchmark uses a part of the cost models.
mod cost;

use std::time::Duration;

use cost::{
    bounds,
    fleet::{
        self,
        Setup, //
    },
    row, //
};

fn main() {
    let mut misses = Vec::new();
    for shares in [1, 21, bounds::SHARES] {
        let cost = row::measure(shares);
        println!("{shares} shares: {cost:?}");
        misses.extend(bounds::row(cost));
    }
    for (daemons, dcs) in [(1, 1), (21, 21), (bounds::SHARES, 21)] {
        let cost = fleet::run(Setup {
            daemons,
            dcs,
            budgets: 1,
            rate: 50,
            seconds: 60,
            hold: Duration::from_secs(2),
        });
        println!(
            "{daemons} drawing daemons: {} budget commits, {} conflicts, {} budget reads, {} requests, last wait ended after {:?}, {} waiting",
            cost.count("commit-budget"),
            cost.conflicts,
            cost.count("read-budget"),
            cost.finished,
            cost.settled,
            cost.waited,
        );
        misses.extend(bounds::contention(&cost, 60));
    }
    misses.iter().for_each(|miss| println!("missed: {miss}"));
    if std::env::args().any(|arg| arg == "--check") {
        std::process::exit(i32::from(!misses.is_empty()));
    }
}
