//! Export of spans as OTLP/HTTP JSON.

use std::{
    net::SocketAddr,
    sync::Arc,
    thread::JoinHandle,
    time::{
        Duration,
        SystemTime,
        UNIX_EPOCH, //
    },
};

use super::{
    Span,
    SpanKind, //
};
use crate::wire::otlp;

/// Most spans sent in one request.
const MAX_BATCH: usize = 512;

/// Longest wait for the next span of a batch.
const BATCH_WAIT: Duration = Duration::from_millis(500);

/// Timeout of a request to the collector.
const TIMEOUT_S: u64 = 3;

/// Thread that sends finished spans to a collector. It ends when all tracers are dropped.
#[derive(Debug)]
pub struct Exporter {
    thread: JoinHandle<()>,
}

impl Exporter {
    /// Starts a thread that sends the spans received from `spans` to the collector at `addr`, as those
    /// of the service instance `name`.
    ///
    /// # Examples
    ///
    /// ```
    /// use cuminloom::telemetry::{Exporter, Tracer};
    /// let (sink, spans) = flume::bounded(8);
    /// let exporter = Exporter::spawn("127.0.0.1:1".parse().unwrap(), "vm-1".into(), spans);
    /// drop(Tracer::new(sink));
    /// exporter.join();
    /// ```
    pub fn spawn(addr: SocketAddr, name: Arc<str>, spans: flume::Receiver<Span>) -> Self {
        let thread = std::thread::Builder::new()
            .name("trace-export".into())
            .spawn(move || run(addr, &name, &spans))
            .expect("the system can start a thread");
        Self { thread }
    }

    /// Waits until the last span was sent and the thread has ended.
    ///
    /// # Examples
    ///
    /// ```
    /// use cuminloom::telemetry::Exporter;
    /// let (sink, spans) = flume::bounded(8);
    /// let exporter = Exporter::spawn("127.0.0.1:1".parse().unwrap(), "vm-1".into(), spans);
    /// drop(sink);
    /// exporter.join();
    /// ```
    pub fn join(self) {
        let _ = self.thread.join();
    }
}

/// Sends the received spans in batches until all senders are dropped.
fn run(addr: SocketAddr, name: &str, spans: &flume::Receiver<Span>) {
    let url = format!("http://{addr}/v1/traces");
    while let Ok(first) = spans.recv() {
        let mut batch = vec![first];
        while batch.len() < MAX_BATCH {
            let Ok(span) = spans.recv_timeout(BATCH_WAIT) else {
                break;
            };
            batch.push(span);
        }
        let body =
            serde_json::to_vec(&export_request(name, batch)).expect("wire types have string keys");
        // A failed batch is dropped, so that a collector that is not reachable costs no memory.
        let _ = minreq::post(url.as_str())
            .with_header("Content-Type", "application/json")
            .with_body(body)
            .with_timeout(TIMEOUT_S)
            .with_follow_redirects(false)
            .send();
    }
}

/// Builds the OTLP request for a batch of spans.
fn export_request(name: &str, batch: Vec<Span>) -> otlp::ExportRequest {
    let attributes = vec![
        attribute("service.name", "cuminloom".into()),
        attribute("service.instance.id", name.into()),
    ];
    let spans = batch.into_iter().map(encode_span).collect();
    let scope = otlp::Scope {
        name: "cuminloom".into(),
    };
    otlp::ExportRequest {
        resource_spans: vec![otlp::ResourceSpans {
            resource: otlp::Resource { attributes },
            scope_spans: vec![otlp::ScopeSpans { scope, spans }],
        }],
    }
}

/// Converts a span to its OTLP form.
fn encode_span(span: Span) -> otlp::Span {
    otlp::Span {
        trace_id: format!("{:032x}", span.context.trace),
        span_id: format!("{:016x}", span.context.span),
        parent_span_id: match span.parent {
            0 => String::new(),
            parent => format!("{parent:016x}"),
        },
        name: span.name.into(),
        kind: match span.kind {
            SpanKind::Internal => 1,
            SpanKind::Server => 2,
            SpanKind::Client => 3,
        },
        start_time_unix_nano: unix_nanos(span.start),
        end_time_unix_nano: unix_nanos(span.end),
        attributes: span
            .attributes
            .into_iter()
            .map(|(key, value)| attribute(key, value))
            .collect(),
    }
}

/// Builds an OTLP attribute with a string value.
fn attribute(key: &str, value: String) -> otlp::KeyValue {
    otlp::KeyValue {
        key: key.into(),
        value: otlp::AnyValue {
            string_value: value,
        },
    }
}

/// Nanoseconds since the Unix epoch, as OTLP/JSON writes them.
fn unix_nanos(time: SystemTime) -> String {
    time.duration_since(UNIX_EPOCH)
        .unwrap_or_default()
        .as_nanos()
        .to_string()
}
