//! State of a daemon with one customer, without sockets or a platform.

use std::{
    rc::Rc,
    sync::Arc, //
};

use cuminloom_edge::{
    adapter::ConfigVersion,
    catalog::{
        Config,
        Customer, //
    },
    prepaid::Ledger,
    serve::{
        Bounds,
        Core, //
    },
    telemetry::Metrics,
};

/// Version of the configuration in force.
pub(crate) const CONFIG_VERSION: u64 = 3;

/// State of the daemon `vm-1` with `ledger`, and a configuration in which the customer `ann` has prepaid
/// `limit` tokens.
pub(crate) fn start_core(ledger: Ledger, limit: u64) -> Rc<Core<()>> {
    let metrics = Metrics::new().unwrap();
    let core: Rc<Core<()>> = Core::new("vm-1", "z-1", Bounds::default(), ledger, metrics);
    let customer = Customer {
        name: "ann".into(),
        rank: None,
        prepaid: Some(limit),
        homes: Vec::new(),
    };
    let config = Config {
        version: CONFIG_VERSION,
        customers: vec![Arc::new(customer)],
        ..Config::default()
    };
    let version = ConfigVersion {
        config: Arc::new(config),
        bytes: Arc::from(&b""[..]),
    };
    assert!(core.apply_config(version, "test"));
    core
}
