//! Declarations of the operator (routes, customers, services) and of the runners.

mod config;
mod directory;
mod evacuations;

pub use config::{
    Config,
    Customer,
    Limits,
    Lookup,
    RetryPolicy,
    Route,
    Service, //
};
pub use directory::{
    Directory,
    Runner,
    RunnerChange,
    RunnerState, //
};
pub use evacuations::{
    EvacuationChange,
    Evacuations, //
};

use std::sync::Arc;

/// Name of a service.
pub type ServiceId = Arc<str>;
/// Name of a customer.
pub type CustomerId = Arc<str>;
/// Name of a region, a group of data centres.
pub type RegionId = Arc<str>;
/// Name of a data centre.
pub type ZoneId = Arc<str>;
/// Id of one incarnation of a runner process.
pub type RunnerId = Arc<str>;
