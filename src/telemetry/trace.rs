//! Spans under one W3C trace id from caller to target.

use std::{
    fmt,
    time::SystemTime, //
};

/// What a span stands for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SpanKind {
    /// Work inside the daemon.
    Internal,
    /// A request that arrived.
    Server,
    /// A request that was sent.
    Client,
}

/// Identifies a span in its trace, as carried by the `traceparent` header.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TraceContext {
    /// Trace id.
    pub trace: u128,
    /// Span id.
    pub span: u64,
    /// Whether the trace is recorded.
    pub sampled: bool,
}

impl TraceContext {
    /// Starts a new trace.
    ///
    /// # Examples
    ///
    /// ```
    /// use cuminloom::telemetry::TraceContext;
    /// assert!(TraceContext::root(true).sampled);
    /// ```
    pub fn root(sampled: bool) -> Self {
        Self {
            trace: rand::random::<u128>() | 1,
            span: rand::random::<u64>() | 1,
            sampled,
        }
    }

    /// Reads a `traceparent` header; `None` when it is malformed.
    ///
    /// # Examples
    ///
    /// ```
    /// use cuminloom::telemetry::TraceContext;
    /// let text = "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01";
    /// let context = TraceContext::parse(text).unwrap();
    /// assert_eq!(context.to_string(), text);
    /// assert!(TraceContext::parse("00-0-0-00").is_none());
    /// assert!(TraceContext::parse(&text.to_uppercase()).is_none());
    /// ```
    pub fn parse(text: &str) -> Option<Self> {
        let mut parts = text.trim().split('-');
        let (version, trace, span, flags) =
            (parts.next()?, parts.next()?, parts.next()?, parts.next()?);
        let lengths = (version.len(), trace.len(), span.len(), flags.len());
        // Later versions may append fields, version 00 has four.
        let surplus = version == "00" && parts.next().is_some();
        if lengths != (2, 32, 16, 2) || version == "ff" || surplus {
            return None;
        }
        let is_hex = |byte: u8| matches!(byte, b'0'..=b'9' | b'a'..=b'f');
        let mut digits = [version, trace, span, flags]
            .into_iter()
            .flat_map(str::bytes);
        if !digits.all(is_hex) {
            return None;
        }
        let trace = u128::from_str_radix(trace, 16).ok()?;
        let span = u64::from_str_radix(span, 16).ok()?;
        let flags = u8::from_str_radix(flags, 16).ok()?;
        (trace != 0 && span != 0).then_some(Self {
            trace,
            span,
            sampled: flags & 1 == 1,
        })
    }

    /// Returns a new span of the same trace.
    ///
    /// # Examples
    ///
    /// ```
    /// use cuminloom::telemetry::TraceContext;
    /// let root = TraceContext::root(true);
    /// assert_eq!(root.child().trace, root.trace);
    /// ```
    pub fn child(self) -> Self {
        Self {
            span: rand::random::<u64>() | 1,
            ..self
        }
    }
}

impl fmt::Display for TraceContext {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "00-{:032x}-{:016x}-{:02x}",
            self.trace,
            self.span,
            u8::from(self.sampled)
        )
    }
}

/// A finished or running hop of a request.
#[derive(Clone, Debug)]
pub struct Span {
    /// Position in the trace.
    pub context: TraceContext,
    /// Span id of the parent; 0 for a root.
    pub parent: u64,
    /// Name of the hop.
    pub name: &'static str,
    /// What the span stands for.
    pub kind: SpanKind,
    /// Start by the wall clock.
    pub start: SystemTime,
    /// End by the wall clock.
    pub end: SystemTime,
    /// Attributes.
    pub notes: Vec<(&'static str, String)>,
}

impl Span {
    /// Adds an attribute.
    ///
    /// # Examples
    ///
    /// ```
    /// use cuminloom::telemetry::{SpanKind, TraceContext, Tracer};
    /// let tracer = Tracer::disabled();
    /// let mut span = tracer.start("queue", SpanKind::Internal, TraceContext::root(true), 0);
    /// span.note("service", "loom-writers");
    /// tracer.end(span);
    /// ```
    pub fn note(&mut self, key: &'static str, value: impl fmt::Display) {
        if self.context.sampled {
            self.notes.push((key, value.to_string()));
        }
    }
}

/// Starts spans and hands finished ones to the exporter.
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
            notes: Vec::new(),
        }
    }

    /// Ends a span. It is dropped when it is not sampled or the exporter falls behind.
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
