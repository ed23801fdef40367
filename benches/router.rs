//! Measures time, allocations and memory of the router for growing numbers of targets and queued
//! requests. With `-- --check` it exits non-zero if a bound is missed.

#[allow(dead_code)] // Each benchmark uses only some of the cost models.
mod cost;

use cost::{
    bounds,
    router, //
};

fn main() {
    let mut idle = Vec::new();
    for targets in [5, 80, 1_700] {
        for queued in [0, 500, 2_000] {
            let cost = router::measure(targets, queued);
            println!("{targets} targets, {queued} queued: {cost:?}");
            if queued == 0 {
                idle.push(cost);
            }
        }
    }
    let miss = bounds::router_growth(&idle[0], &idle[2]);
    if let Some(miss) = &miss {
        println!("missed: {miss}");
    }
    if std::env::args().any(|arg| arg == "--check") {
        std::process::exit(i32::from(miss.is_some()));
    }
}
