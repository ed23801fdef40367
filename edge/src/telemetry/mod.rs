//! Log lines and metrics of the data plane.

mod lines;
mod metrics;

pub use lines::init_log;
pub use metrics::Metrics;
