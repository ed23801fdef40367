//! Counters, gauges and histograms for Prometheus.

use prometheus::{
    Encoder,
    Histogram,
    HistogramOpts,
    HistogramVec,
    IntCounterVec,
    IntGauge,
    IntGaugeVec,
    Opts,
    Registry,
    TextEncoder,
    core::Collector, //
};

/// Histogram buckets of the time to the first token; 1.1 s is the target for 95 in 100.
const FIRST_TOKEN_BUCKETS_S: [f64; 10] = [0.01, 0.05, 0.1, 0.25, 0.5, 0.8, 1.1, 2.0, 5.0, 20.0];

/// Histogram buckets of the time between two events of a stream; 68 ms is the target for 95 in 100.
const TOKEN_GAP_BUCKETS_S: [f64; 8] = [0.005, 0.01, 0.02, 0.04, 0.068, 0.1, 0.25, 1.0];

/// All metrics of a daemon.
#[derive(Clone, Debug)]
pub struct Metrics {
    registry: Registry,
    /// Finished requests by service, error code (`ok` without an error) and verdict.
    pub requests: IntCounterVec,
    /// Requests in progress.
    pub open_requests: IntGauge,
    /// Tokens billed, by service.
    pub billed_tokens: IntCounterVec,
    /// Requests whose reported usage exceeded the reserved tokens, by service.
    pub overruns: IntCounterVec,
    /// Time from arrival to the first byte of the answer, by service and urgency, in seconds.
    pub first_token: HistogramVec,
    /// Time between two events of a stream, in seconds.
    pub token_gap: Histogram,
    /// Requests sent again to another target, by service.
    pub retries: IntCounterVec,
    /// Calls of the platform's store, by operation and result.
    pub store_calls: IntCounterVec,
    /// Requests that wait for a target.
    pub queued_requests: IntGauge,
    /// Targets that take new work.
    pub usable_targets: IntGauge,
    /// Finished requests whose bills are not committed.
    pub unbilled_requests: IntGauge,
    /// Operations that the witness has not acknowledged.
    pub mirror_backlog: IntGauge,
    /// Incarnations that this daemon watches as their witness.
    pub watched_incarnations: IntGauge,
    /// Mode of the daemon: 1 for the current mode; others are absent.
    pub mode: IntGaugeVec,
    /// Version of the configuration in force.
    pub config_version: IntGauge,
    /// Bytes sent and received on peer links since the start, by direction.
    pub peer_bytes: IntGaugeVec,
}

impl Metrics {
    /// Creates all metrics and registers them in a new registry.
    ///
    /// # Examples
    ///
    /// ```
    /// let metrics = cuminloom::telemetry::Metrics::register();
    /// metrics.open_requests.set(3);
    /// assert!(metrics.render().contains("cuminloom_open_requests 3"));
    /// ```
    pub fn register() -> Self {
        let registry = Registry::new();
        let counter = |name: &str, help: &str, labels: &[&str]| {
            register_metric(&registry, IntCounterVec::new(Opts::new(name, help), labels))
        };
        let gauges = |name: &str, help: &str, labels: &[&str]| {
            register_metric(&registry, IntGaugeVec::new(Opts::new(name, help), labels))
        };
        let gauge = |name: &str, help: &str| register_metric(&registry, IntGauge::new(name, help));
        Self {
            requests: counter(
                "cuminloom_requests_total",
                "Requests by service, code and verdict.",
                &["service", "code", "verdict"],
            ),
            open_requests: gauge("cuminloom_open_requests", "Requests in progress."),
            billed_tokens: counter("cuminloom_tokens_total", "Tokens billed.", &["service"]),
            overruns: counter(
                "cuminloom_overruns_total",
                "Requests whose usage exceeded the reserve.",
                &["service"],
            ),
            first_token: register_metric(
                &registry,
                HistogramVec::new(
                    HistogramOpts::new(
                        "cuminloom_first_token_seconds",
                        "Time from arrival to the first byte of the answer.",
                    )
                    .buckets(FIRST_TOKEN_BUCKETS_S.to_vec()),
                    &["service", "urgency"],
                ),
            ),
            token_gap: register_metric(
                &registry,
                Histogram::with_opts(
                    HistogramOpts::new(
                        "cuminloom_token_gap_seconds",
                        "Time between two events of a stream.",
                    )
                    .buckets(TOKEN_GAP_BUCKETS_S.to_vec()),
                ),
            ),
            retries: counter(
                "cuminloom_retries_total",
                "Requests sent again.",
                &["service"],
            ),
            store_calls: counter(
                "cuminloom_store_exchanges_total",
                "Exchanges with the platform.",
                &["operation", "result"],
            ),
            queued_requests: gauge(
                "cuminloom_queued_requests",
                "Requests that wait for a target.",
            ),
            usable_targets: gauge("cuminloom_usable_targets", "Targets that take new work."),
            unbilled_requests: gauge(
                "cuminloom_unbilled_requests",
                "Finished requests whose bills are not committed.",
            ),
            mirror_backlog: gauge(
                "cuminloom_mirror_backlog",
                "Operations that the witness has not acknowledged.",
            ),
            watched_incarnations: gauge(
                "cuminloom_watched_incarnations",
                "Incarnations that this daemon watches as their witness.",
            ),
            mode: gauges(
                "cuminloom_mode",
                "1 for the mode the daemon is in.",
                &["mode"],
            ),
            config_version: gauge(
                "cuminloom_config_version",
                "Version of the configuration in force.",
            ),
            peer_bytes: gauges(
                "cuminloom_peer_bytes",
                "Bytes on peer links since the start.",
                &["direction"],
            ),
            registry,
        }
    }

    /// Renders all metrics in the Prometheus text format.
    ///
    /// # Examples
    ///
    /// ```
    /// let metrics = cuminloom::telemetry::Metrics::register();
    /// metrics.requests.with_label_values(&["loom-writers", "ok", "ran"]).inc();
    /// assert!(metrics.render().contains("cuminloom_requests_total"));
    /// ```
    pub fn render(&self) -> String {
        let mut out = Vec::new();
        TextEncoder::new()
            .encode(&self.registry.gather(), &mut out)
            .expect("registered metrics can be encoded");
        String::from_utf8(out).expect("the text format is UTF-8")
    }
}

/// Registers a metric and returns it.
fn register_metric<C>(registry: &Registry, metric: prometheus::Result<C>) -> C
where
    C: Collector + Clone + 'static,
{
    let metric = metric.expect("the names of the metrics are valid");
    registry
        .register(Box::new(metric.clone()))
        .expect("each metric is registered once");
    metric
}
