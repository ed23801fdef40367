//! Log lines and metrics of the data plane.

mod lines;
mod metrics;
mod trace;

pub use lines::init_log;
pub use metrics::Metrics;
pub use trace::{
    Hop,
    Trace,
    TraceContext, //
};
