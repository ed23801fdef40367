//! Tracing: W3C trace contexts, and log lines for the spans of a request.

use std::{
    fmt,
    sync::Arc,
    time::{
        Instant,
        SystemTime,
        UNIX_EPOCH, //
    },
};

/// A span and its trace, as carried by the `traceparent` header.
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
    /// use cuminloom_edge::telemetry::TraceContext;
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
    /// use cuminloom_edge::telemetry::TraceContext;
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
        // Later versions may append fields; version 00 has exactly four.
        let has_extra = version == "00" && parts.next().is_some();
        if lengths != (2, 32, 16, 2) || version == "ff" || has_extra {
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
    /// use cuminloom_edge::telemetry::TraceContext;
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

/// Trace that a caller has asked to record.
#[derive(Clone, Debug)]
pub struct Trace {
    /// Id of the request, for the log lines.
    id: Arc<str>,
    /// Parent of the spans that are started.
    context: TraceContext,
}

impl Trace {
    /// Reads the value of a `traceparent` field; `None` if it is malformed or the trace is not
    /// recorded.
    ///
    /// # Examples
    ///
    /// ```
    /// use cuminloom_edge::telemetry::Trace;
    /// let field = "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01";
    /// let trace = Trace::from_header("r-1".into(), field).unwrap();
    /// let request = trace.start_span("request");
    /// drop(request.trace().start_span("send"));
    /// assert!(Trace::from_header("r-1".into(), &field.replace("-01", "-00")).is_none());
    /// ```
    pub fn from_header(id: Arc<str>, field: &str) -> Option<Trace> {
        let context = TraceContext::parse(field).filter(|c| c.sampled)?;
        Some(Trace { id, context })
    }

    /// Starts a span, which ends when it is dropped.
    pub fn start_span(&self, name: &'static str) -> Span {
        Span {
            trace: Trace {
                id: Arc::clone(&self.id),
                context: self.context.child(),
            },
            parent: self.context.span,
            name,
            start: Instant::now(),
            wall_start: SystemTime::now(),
            fields: String::new(),
        }
    }
}

/// A span in progress. Logs one line, `event=span`, when it is dropped.
#[derive(Debug)]
pub struct Span {
    trace: Trace,
    parent: u64,
    name: &'static str,
    start: Instant,
    wall_start: SystemTime,
    fields: String,
}

impl Span {
    /// The trace for child spans.
    pub fn trace(&self) -> &Trace {
        &self.trace
    }

    /// Adds `key=value` to the log line.
    pub fn add_field(&mut self, key: &str, value: impl fmt::Display) {
        self.fields.push_str(&format!(" {key}={value}"));
    }
}

impl Drop for Span {
    fn drop(&mut self) {
        let TraceContext { trace, span, .. } = self.trace.context;
        let start = self.wall_start.duration_since(UNIX_EPOCH);
        log::info!(
            "event=span id={} trace={trace:032x} span={span:016x} parent={:016x} name={} start_us={} us={}{}",
            self.trace.id,
            self.parent,
            self.name,
            start.map_or(0, |d| d.as_micros()),
            self.start.elapsed().as_micros(),
            self.fields
        );
    }
}
