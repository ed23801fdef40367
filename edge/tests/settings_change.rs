//! What a change of the settings file leaves as it was.

mod test_core;

use std::{
    sync::Arc,
    time::{
        Duration,
        Instant, //
    },
};

use cuminloom_edge::{
    prepaid::Ledger,
    serve::Bounds, //
};
use test_core::start_core;

/// A change of any bound gives each service its whole retry budget again.
#[test]
fn a_change_of_the_settings_keeps_the_retry_budgets() {
    let core = start_core(Ledger::new("vm-1", 1, None), 1000);
    let service = Arc::from("a");
    let now = Instant::now();
    let bounds = Bounds {
        retry_extra: 4.0,
        ..Bounds::default()
    };
    let retries = |tries| {
        let retry = |_: &i32| core.with_retry_budget(&service, |b| b.try_retry(now, 1, true));
        (0..tries).filter(retry).count()
    };
    core.set_bounds(bounds);
    assert_eq!(retries(10), 4);
    core.set_bounds(Bounds {
        grace: Duration::from_secs(9),
        ..bounds
    });
    assert_eq!(retries(10), 0);
    // A changed bound applies to what was counted.
    core.set_bounds(Bounds {
        retry_extra: 6.0,
        ..bounds
    });
    assert_eq!(retries(10), 2);
}
