//! Logging, metrics and tracing of the data plane.

mod logger;
mod metrics;
mod trace;

pub use logger::init_log;
pub use metrics::Metrics;
pub use trace::{
    Span,
    Trace,
    TraceContext, //
};
