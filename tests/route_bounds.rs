//! Shortened run of `cargo bench --bench routing -- --check`.

#[path = "../benches/bounds/mod.rs"]
mod bounds;
#[path = "../benches/model/mod.rs"]
mod model;

/// Guards against changes of the routing policy that miss the bounds of the stated aim.
#[test]
fn policy_meets_the_bounds() {
    let misses = bounds::missed_bounds(&bounds::LAGS_MS[2..], 20.0, 2);
    assert!(misses.is_empty(), "{misses:#?}");
}
