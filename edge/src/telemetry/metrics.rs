//! Prometheus metrics of the daemon.

use prometheus::{
    Encoder,
    Histogram,
    HistogramOpts,
    IntCounterVec,
    IntGaugeVec,
    Opts,
    Registry,
    TextEncoder, //
};

/// Upper bounds of the latency histograms, in seconds.
const BUCKETS: [f64; 12] = [
    0.005, 0.01, 0.025, 0.05, 0.1, 0.2, 0.4, 0.8, 1.5, 3.0, 6.0, 15.0,
];

/// Metrics of one daemon.
#[derive(Debug)]
pub struct Metrics {
    registry: Registry,
    /// Finished requests, by route kind and status.
    pub requests: IntCounterVec,
    /// Sends to runners, by outcome.
    pub sends: IntCounterVec,
    /// Requests at services of brittle runners, by outcome: `no_place` were not tried, `turned_away` were.
    pub brittle: IntCounterVec,
    /// Calls to the store, by call and outcome.
    pub store_calls: IntCounterVec,
    /// Clients that were refused or dropped, by port and reason.
    pub clients_dropped: IntCounterVec,
    /// Time to the first byte of a response, in seconds.
    pub first_byte: Histogram,
    /// Time to the end of a response, in seconds.
    pub answer_time: Histogram,
    /// Tokens by customer and account: of the fleet as last read from the store (limit, committed,
    /// billed, held, orphaned, free), and of this daemon (held_here, used_here).
    pub tokens: IntGaugeVec,
    /// Evacuated data centres, 1 each.
    pub evacuated: IntGaugeVec,
    /// Requests that neighbours were asked to serve, by outcome.
    pub handovers: IntCounterVec,
    /// Services whose runners this daemon reaches in part or not at all, 1 each.
    pub reach: IntGaugeVec,
}

impl Metrics {
    /// Creates and registers the metrics.
    ///
    /// # Errors
    ///
    /// Fails if a name is registered twice.
    pub fn new() -> Result<Metrics, prometheus::Error> {
        let registry = Registry::new();
        let counter = |name: &str, help: &str, labels: &[&str]| {
            IntCounterVec::new(Opts::new(name, help), labels)
        };
        let histogram = |name: &str, help: &str| {
            Histogram::with_opts(HistogramOpts::new(name, help).buckets(BUCKETS.to_vec()))
        };
        let metrics = Metrics {
            requests: counter(
                "cuminloom_requests_total",
                "Ended requests.",
                &["kind", "status"],
            )?,
            sends: counter("cuminloom_sends_total", "Sends to runners.", &["outcome"])?,
            brittle: counter(
                "cuminloom_brittle_total",
                "Requests that brittle runners had no room for, tried or not.",
                &["outcome"],
            )?,
            store_calls: counter(
                "cuminloom_store_calls_total",
                "Calls to the store.",
                &["call", "outcome"],
            )?,
            clients_dropped: counter(
                "cuminloom_clients_dropped_total",
                "Clients that were refused or dropped to make room.",
                &["port", "reason"],
            )?,
            first_byte: histogram("cuminloom_first_byte_seconds", "Time to the first byte.")?,
            answer_time: histogram("cuminloom_answer_seconds", "Time to the end of the answer.")?,
            tokens: IntGaugeVec::new(
                Opts::new("cuminloom_tokens", "Tokens by customer and account."),
                &["customer", "account"],
            )?,
            evacuated: IntGaugeVec::new(
                Opts::new(
                    "cuminloom_zone_evacuated",
                    "1 for each evacuated data centre.",
                ),
                &["zone"],
            )?,
            handovers: counter(
                "cuminloom_handovers_total",
                "Requests that neighbours were asked to serve.",
                &["outcome"],
            )?,
            reach: IntGaugeVec::new(
                Opts::new(
                    "cuminloom_service_unreached",
                    "1 for each service whose runners this daemon reaches in part or not at all.",
                ),
                &["service"],
            )?,
            registry,
        };
        metrics
            .registry
            .register(Box::new(metrics.requests.clone()))?;
        metrics.registry.register(Box::new(metrics.sends.clone()))?;
        metrics
            .registry
            .register(Box::new(metrics.brittle.clone()))?;
        metrics
            .registry
            .register(Box::new(metrics.store_calls.clone()))?;
        metrics
            .registry
            .register(Box::new(metrics.clients_dropped.clone()))?;
        metrics
            .registry
            .register(Box::new(metrics.first_byte.clone()))?;
        metrics
            .registry
            .register(Box::new(metrics.answer_time.clone()))?;
        metrics
            .registry
            .register(Box::new(metrics.tokens.clone()))?;
        metrics
            .registry
            .register(Box::new(metrics.evacuated.clone()))?;
        metrics
            .registry
            .register(Box::new(metrics.handovers.clone()))?;
        metrics.registry.register(Box::new(metrics.reach.clone()))?;
        Ok(metrics)
    }

    /// All metrics in the Prometheus text format.
    pub fn text(&self) -> Vec<u8> {
        let mut out = Vec::new();
        if let Err(e) = TextEncoder::new().encode(&self.registry.gather(), &mut out) {
            log::warn!("event=metrics_failed error=\"{e}\"");
        }
        out
    }
}
