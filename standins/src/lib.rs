//! Stand-ins for the platform, the model engines and the plain services, for tests and the demo.

pub mod cli;
pub mod engine;
pub mod fleet;
mod plan;
pub mod platform;
pub mod process;
mod queue;
pub mod relay;
pub mod server;
pub mod service;
mod start;
pub mod store;
