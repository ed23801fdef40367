//! Size of a configuration, and time and allocations for applying the whole of it and one edit.
//! `-- --check` exits non-zero when a bound is missed.

#[allow(dead_code)] // Each benchmark uses a part of the cost models.
mod cost;

use cost::{
    bounds,
    config::{
        self,
        SMALL,
        TARGET, //
    }, //
};

fn main() {
    let [small, large] = [SMALL, TARGET].map(|size| {
        let cost = config::measure(size);
        println!("{size:?}");
        println!("{cost:?}");
        cost
    });
    let misses = [bounds::edit(&large), bounds::edit_growth(&small, &large)];
    let missed = misses
        .iter()
        .flatten()
        .inspect(|miss| println!("missed: {miss}"))
        .count();
    if std::env::args().any(|arg| arg == "--check") {
        std::process::exit(i32::from(missed > 0));
    }
}
