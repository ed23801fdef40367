//! Metrics, traces and logs.
//!
//! Requests are counted in metrics; log lines are written only for changes of state. Log lines and
//! spans contain no prompts, answers or secrets.

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

/// Initializes the logger at `level`; the environment variable `RUST_LOG` overrides it. A second call
/// has no effect.
///
/// # Examples
///
/// ```
/// cuminloom::telemetry::init_log("info");
/// ```
pub fn init_log(level: &str) {
    let env = env_logger::Env::default().default_filter_or(level);
    // Fails only if a logger is already set, as in tests that start several daemons.
    let _ = env_logger::Builder::from_env(env).try_init();
}
