//! Spans of requests, under the W3C trace id of the caller.

use std::{
    fmt,
    time::SystemTime, //
};

use cuminloom_edge::telemetry::TraceContext;

/// Kind of a span, as in OpenTelemetry.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SpanKind {
    /// Operation inside the daemon.
    Internal,
    /// Request that was received.
    Server,
    /// Request that was sent.
    Client,
}

/// A running or finished step of a request.
#[derive(Clone, Debug)]
pub struct Span {
    /// Trace id, span id and sampling flag.
    pub context: TraceContext,
    /// Span id of the parent; 0 for a root.
    pub parent: u64,
    /// Name of the step.
    pub name: &'static str,
    /// Kind of the span.
    pub kind: SpanKind,
    /// Wall-clock time of the start.
    pub start: SystemTime,
    /// Wall-clock time of the end.
    pub end: SystemTime,
    /// Attributes, as names and values.
    pub attributes: Vec<(&'static str, String)>,
}

impl Span {
    /// Adds an attribute if the trace is sampled.
    ///
    /// # Examples
    ///
    /// ```
    /// use cuminloom::telemetry::{SpanKind, TraceContext, Tracer};
    /// let tracer = Tracer::disabled();
    /// let mut span = tracer.start("queue", SpanKind::Internal, TraceContext::root(true), 0);
    /// span.add_attribute("service", "loom-writers");
    /// tracer.end(span);
    /// ```
    pub fn add_attribute(&mut self, key: &'static str, value: impl fmt::Display) {
        if self.context.sampled {
            self.attributes.push((key, value.to_string()));
        }
    }
}

/// Starts spans and sends finished ones to the exporter.
#[derive(Clone, Debug)]
pub struct Tracer {
    sink: Option<flume::Sender<Span>>,
}

impl Tracer {
    /// Returns a tracer that sends finished spans to `sink`.
    ///
    /// # Examples
    ///
    /// ```
    /// use cuminloom::telemetry::{SpanKind, TraceContext, Tracer};
    /// let (sink, spans) = flume::bounded(8);
    /// let tracer = Tracer::new(sink);
    /// tracer.end(tracer.start("request", SpanKind::Server, TraceContext::root(true), 0));
    /// assert_eq!(spans.recv().unwrap().name, "request");
    /// ```
    pub fn new(sink: flume::Sender<Span>) -> Self {
        Self { sink: Some(sink) }
    }

    /// Returns a tracer that drops all spans.
    ///
    /// # Examples
    ///
    /// ```
    /// let tracer = cuminloom::telemetry::Tracer::disabled();
    /// # let _ = tracer;
    /// ```
    pub fn disabled() -> Self {
        Self { sink: None }
    }

    /// Starts a span at `context` under the span id `parent` (0 for a root).
    ///
    /// # Examples
    ///
    /// ```
    /// use cuminloom::telemetry::{SpanKind, TraceContext, Tracer};
    /// let root = TraceContext::root(true);
    /// let span = Tracer::disabled().start("send", SpanKind::Client, root.child(), root.span);
    /// assert_eq!(span.parent, root.span);
    /// ```
    pub fn start(
        &self,
        name: &'static str,
        kind: SpanKind,
        context: TraceContext,
        parent: u64,
    ) -> Span {
        let start = SystemTime::now();
        Span {
            context,
            parent,
            name,
            kind,
            start,
            end: start,
            attributes: Vec::new(),
        }
    }

    /// Ends a span. It is dropped if its trace is not sampled or the queue of the exporter is full.
    ///
    /// # Examples
    ///
    /// ```
    /// use cuminloom::telemetry::{SpanKind, TraceContext, Tracer};
    /// let tracer = Tracer::disabled();
    /// tracer.end(tracer.start("send", SpanKind::Client, TraceContext::root(false), 0));
    /// ```
    pub fn end(&self, mut span: Span) {
        let Some(sink) = self.sink.as_ref().filter(|_| span.context.sampled) else {
            return;
        };
        span.end = SystemTime::now();
        let _ = sink.try_send(span);
    }
}
