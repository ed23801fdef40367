//! Cost of the node per request in messages, bytes, store operations, time and memory, by number of
//! budgets, daemons and requests. `-- --check` exits non-zero when a bound is missed.

#[allow(dead_code)] // Each benchmark uses a part of the cost models.
mod cost;

use std::time::Duration;

use cuminloom::peer::{
    self,
    LoadReport, //
};

use cost::{
    bounds::{
        self,
        thousands, //
    },
    fleet::{
        self,
        Cost,
        Setup, //
    }, //
};

/// Simulated time of a run.
const RUN_SECONDS: u64 = 60;

/// Runs a fleet and prints its costs as one row of the table.
fn measure_row(setup: Setup) -> Cost {
    let cost = fleet::run(setup);
    let per = |count: u64| count as f64 / thousands(&cost);
    println!(
        "{:7} {:7} {:4} {:8} {:9.0} {:8.0} {:8.0} {:8.1} {:8.1} {:8.1} {:8.2} {:9.1} {:8}",
        setup.budgets,
        setup.daemons,
        setup.rate,
        cost.finished,
        per(cost.sent().count),
        bounds::link_bytes(&cost) / 2.0,
        bounds::platform_bytes(&cost),
        per(cost.reads()),
        per(cost.writes()),
        per(cost.count("commit-budget")),
        per(cost.conflicts),
        cost.time.as_secs_f64() * 1e6 / cost.finished.max(1) as f64,
        cost.memory / setup.daemons as u64,
    );
    if cost.refused > 0 {
        println!("    refused although the budgets suffice: {:?}", cost.codes);
    }
    cost
}

fn main() {
    let setup = |budgets, daemons, rate| Setup {
        budgets,
        rate,
        ..bounds::busy(daemons, RUN_SECONDS)
    };
    println!(
        "budgets daemons rate requests msg/1000 linkB/rq platB/rq rd/1000 wr/1000 budgetwr/1000 conflicts/1000 us/rq mem/daemon"
    );
    for budgets in [1, 100, 10_000] {
        measure_row(setup(budgets, 8, 50));
    }
    for rate in [1, 10, 50] {
        measure_row(setup(100, 8, rate));
    }
    for daemons in [2, 8, 16] {
        measure_row(setup(100, daemons, 50));
    }
    println!("the same with 4 budgets, on which the bounds are checked");
    let small = measure_row(bounds::busy(2, RUN_SECONDS));
    let large = measure_row(bounds::busy(16, RUN_SECONDS));
    for (kind, sum) in &large.messages {
        println!("{kind}: {} of {} bytes", sum.count, sum.bytes / sum.count);
    }
    for (kind, sum) in &large.platform {
        println!("{kind}: {} of {} bytes", sum.count, sum.bytes / sum.count);
    }
    let (budget, open, total) = bounds::memory(20);
    println!(
        "memory: {budget} bytes per budget with the witness's record, {open} per open request, {total} at the target size"
    );
    let alone = fleet::run(Setup {
        budgets: 1,
        hold: Duration::from_secs(1),
        ..bounds::busy(1, 10)
    });
    let pair = fleet::run(Setup {
        budgets: 1,
        hold: Duration::from_secs(1),
        ..bounds::busy(2, 10)
    });
    println!(
        "memory: {} bytes alone, {} with a watched daemon",
        alone.memory,
        pair.memory / 2
    );
    let report = |n: usize| LoadReport {
        target: format!("runner-{n:04}").into(),
        running: 24,
        waiting: 3,
        capacity: 32,
        leaving: false,
    };
    let reports = (0..5).map(report).collect();
    let message = peer::Message::<()>::Load { reports };
    println!("5 load reports: {} bytes", peer::encode(&message).len());
    let misses = [
        bounds::bytes(&large),
        bounds::writes(&large),
        bounds::reads(&large),
        bounds::growth(&small, &large),
    ];
    let missed = misses
        .iter()
        .flatten()
        .inspect(|miss| println!("missed: {miss}"))
        .count();
    if std::env::args().any(|arg| arg == "--check") {
        std::process::exit(i32::from(missed > 0));
    }
}
