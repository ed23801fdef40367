//! How long the configuration and the entries of the runners count as current.

mod test_core;

use std::time::{
    Duration,
    Instant, //
};

use cuminloom_edge::prepaid::Ledger;
use test_core::start_core;

/// Time between two confirmations.
const GAP: Duration = Duration::from_millis(1500);

/// Guards against callers that are refused as unconfirmed, and against neighbours that are queried, because a late reply
/// replaces a newer confirmation by an older one.
#[test]
fn a_late_reply_takes_a_newer_confirmation_back() {
    let core = start_core(Ledger::new("vm-1", 1, None), 1_000);
    let older = Instant::now();
    let newer = older + GAP;
    core.confirm_config(newer);
    core.confirm_config(older);
    assert_eq!(core.config_age_ms(newer + GAP), GAP.as_millis() as u64);
    assert!(core.config_fresh(newer + GAP));
    core.confirm_runners(newer);
    core.confirm_runners(older);
    assert!(core.runners_fresh(newer + GAP));
}
