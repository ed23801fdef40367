//! Short versions of the benchmarks `node`, `config`, `row` and `router`, with bounds from the
//! target size. Allocations are counted per process, so the measurements run one after another.

#[allow(dead_code)] // The test uses a part of the cost models.
#[path = "../benches/cost/mod.rs"]
mod cost;

use std::{
    sync::{
        Mutex,
        MutexGuard,
        PoisonError, //
    },
    time::Duration,
};

use cost::{
    bounds,
    config,
    fleet::{
        self,
        Setup, //
    },
    router,
    row, //
};

static ALONE: Mutex<()> = Mutex::new(());

fn alone() -> MutexGuard<'static, ()> {
    ALONE.lock().unwrap_or_else(PoisonError::into_inner)
}

#[track_caller]
fn met<const N: usize>(misses: [Option<String>; N]) {
    let misses: Vec<String> = misses.into_iter().flatten().collect();
    assert!(misses.is_empty(), "{misses:#?}");
}

/// Guards against operations that are sent or written more often per request.
#[test]
fn platform_operations_per_request() {
    let _alone = alone();
    // Long enough for the draws at the start of the fleet to be a small part.
    let small = fleet::run(bounds::busy(2, 60));
    let large = fleet::run(bounds::busy(16, 60));
    met([
        bounds::writes(&large),
        bounds::reads(&large),
        bounds::growth(&small, &large),
    ]);
}

/// Guards against a mirror and bills that use more than all bytes of control.
#[test]
fn control_bytes_per_request() {
    let _alone = alone();
    met([bounds::bytes(&fleet::run(bounds::busy(16, 10)))]);
}

/// Guards against a commit to the platform for each request when each budget is used seldom: then a
/// daemon may draw tokens from the budget's row anew for each request instead of keeping some. Most
/// of the 330,000 budgets at the target size are used seldom.
#[test]
fn platform_operations_with_idle_budgets() {
    let _alone = alone();
    let cost = fleet::run(Setup {
        budgets: 10_000,
        ..bounds::busy(8, 30)
    });
    met([bounds::writes(&cost), bounds::reads(&cost)]);
}

/// Guards against refusals while budgets suffice and nothing fails.
#[test]
fn no_refusal_with_idle_budgets() {
    let _alone = alone();
    let cost = fleet::run(Setup {
        budgets: 100,
        rate: 10,
        ..bounds::busy(8, 60)
    });
    assert_eq!(cost.refused, 0, "{:?}", cost.codes);
}

/// Guards against state that does not fit into a daemon at the target size.
#[test]
fn memory_at_the_target_size() {
    let _alone = alone();
    let (_, _, node) = bounds::memory(10);
    let config = config::measure(config::TARGET);
    met([bounds::all_memory(node, &config, &router::measure(80, 0))]);
}

/// Guards against an edit that is too large or costs more than in proportion to the items.
#[test]
fn configuration_at_the_target_size() {
    let _alone = alone();
    let [small, large] = [config::SMALL, config::TARGET].map(config::measure);
    met([bounds::edit(&large), bounds::edit_growth(&small, &large)]);
}

/// Guards against a row that grows too large, and against drawers that hinder each other.
#[test]
fn row_with_all_drawers() {
    let _alone = alone();
    let cost = fleet::run(Setup {
        daemons: bounds::SHARES,
        dcs: 21,
        budgets: 1,
        rate: 10,
        seconds: 20,
        hold: Duration::from_secs(2),
    });
    assert_eq!(cost.waited, 0, "every request that waited was admitted");
    met([
        bounds::row(row::measure(bounds::SHARES)),
        bounds::contention(&cost, 20),
    ]);
}

/// Guards against work per request that grows with the targets.
#[test]
fn router_with_all_targets() {
    let _alone = alone();
    met([bounds::router_growth(
        &router::measure(5, 0),
        &router::measure(1_700, 0),
    )]);
}
