//! Metrics, traces and logs.
//!
//! Counters come first; a log line is written only when a state changes. No prompt, reply or secret
//! appears in a log line or a span.

mod export;
mod metrics;
mod trace;

pub use cuminloom_edge::telemetry::TraceContext;
pub use export::Exporter;
pub use metrics::Metrics;
pub use trace::{
    Span,
    SpanKind,
    Tracer, //
};

/// Starts the logger at `level` unless the environment variable `RUST_LOG` says otherwise. A second
/// call has no effect.
///
/// # Examples
///
/// ```
/// cuminloom::telemetry::init_log("info");
/// ```
pub fn init_log(level: &str) {
    let env = env_logger::Env::default().default_filter_or(level);
    // Fails only when a logger is set already, as in tests that start several daemons.
    let _ = env_logger::Builder::from_env(env).try_init();
}
