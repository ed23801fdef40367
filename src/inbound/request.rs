//! A request that a thread handles, and the ways to respond to it.

use std::io;

use bytes::Bytes;
use cuminloom_edge::http::{
    Fields,
    RequestHead,
    push_chunk,
    reason_phrase, //
};

/// Most parts of a response that are queued until they are written to the caller.
pub(super) const MAX_QUEUED_PARTS: usize = 16;

/// Last chunk of a chunked body.
const LAST_CHUNK: &[u8] = b"0\r\n\r\n";

/// Part of the bytes of a response.
pub(super) enum ResponsePart {
    /// More parts follow.
    More(Vec<u8>),
    /// The response is complete.
    Last(Vec<u8>),
}

/// A complete response.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(crate) struct Reply {
    /// Status code.
    pub(crate) status: u16,
    /// Header fields except the content length.
    pub(crate) fields: Vec<(&'static str, String)>,
    /// Body.
    pub(crate) body: Vec<u8>,
}

impl Reply {
    /// Encodes the response; the response to a HEAD request has no body. Without `keep_alive` it tells
    /// the caller that the connection is closed.
    pub(super) fn bytes(&self, keep_alive: bool, head_only: bool) -> Vec<u8> {
        let mut out = response_head(self.status, &self.fields, keep_alive);
        out.extend_from_slice(format!("Content-Length: {}\r\n\r\n", self.body.len()).as_bytes());
        if !head_only {
            out.extend_from_slice(&self.body);
        }
        out
    }
}

/// Encodes the status line and the header fields, without the blank line.
fn response_head(status: u16, fields: &[(&'static str, String)], keep_alive: bool) -> Vec<u8> {
    let mut out = format!("HTTP/1.1 {status} {}\r\n", reason_phrase(status)).into_bytes();
    for (name, value) in fields {
        // A value may come from a target; a line break in it would start another field.
        let value = value.replace(|c: char| c.is_control(), " ");
        out.extend_from_slice(format!("{name}: {value}\r\n").as_bytes());
    }
    if !keep_alive {
        out.extend_from_slice(b"Connection: close\r\n");
    }
    out
}

/// Error of sending to a caller that has closed the connection.
fn caller_gone_error() -> io::Error {
    io::Error::new(
        io::ErrorKind::BrokenPipe,
        "the caller closed the connection",
    )
}

/// Receiver that is disconnected when the caller has closed the connection.
pub(crate) type CallerGone = flume::Receiver<()>;

/// A request whose body was read completely. When it is dropped without a response, the caller gets
/// status 500.
pub(crate) struct Request {
    head: RequestHead,
    body: Bytes,
    keep_alive: bool,
    out: flume::Sender<ResponsePart>,
    caller_gone: CallerGone,
}

impl Request {
    /// Makes a request whose response is sent to `out`.
    pub(super) fn new(
        head: RequestHead,
        body: Bytes,
        out: flume::Sender<ResponsePart>,
        caller_gone: CallerGone,
    ) -> Self {
        Self {
            keep_alive: head.keep_alive(),
            head,
            body,
            out,
            caller_gone,
        }
    }

    /// Receiver that is disconnected when the caller has closed the connection.
    pub(crate) fn caller_gone(&self) -> CallerGone {
        self.caller_gone.clone()
    }

    /// Method, such as `POST`.
    pub(crate) fn method(&self) -> &str {
        &self.head.method
    }

    /// Target in the request line: path and query, normally without scheme and host.
    pub(crate) fn url(&self) -> &str {
        &self.head.target
    }

    /// Path without the query.
    pub(crate) fn path(&self) -> &str {
        self.head.path()
    }

    /// Header fields.
    pub(crate) fn fields(&self) -> &Fields {
        &self.head.fields
    }

    /// Value of a header field, if present.
    pub(crate) fn header(&self, name: &str) -> Option<&str> {
        self.head.fields.get(name)
    }

    /// Body.
    pub(crate) fn body(&self) -> &[u8] {
        &self.body
    }

    /// Sends a complete response.
    ///
    /// # Errors
    ///
    /// Fails when the caller has closed the connection.
    pub(crate) fn respond(self, reply: &Reply) -> io::Result<()> {
        let bytes = reply.bytes(self.keep_alive, self.head.method == "HEAD");
        self.out
            .send(ResponsePart::Last(bytes))
            .map_err(|_| caller_gone_error())
    }

    /// Starts a response with a stream of server-sent events.
    ///
    /// # Errors
    ///
    /// Fails when the caller has closed the connection.
    pub(crate) fn into_stream(self) -> io::Result<EventStream> {
        let fields = [
            ("Content-Type", "text/event-stream".to_owned()),
            ("Cache-Control", "no-cache".to_owned()),
        ];
        let mut bytes = response_head(200, &fields, self.keep_alive);
        bytes.extend_from_slice(b"Transfer-Encoding: chunked\r\n\r\n");
        self.out
            .send(ResponsePart::More(bytes))
            .map_err(|_| caller_gone_error())?;
        Ok(EventStream { out: self.out })
    }
}

/// A stream of server-sent events to a caller. Dropping it without [`EventStream::end`] closes the
/// connection before the end of the body, so that the caller does not take the stream for complete.
pub(crate) struct EventStream {
    out: flume::Sender<ResponsePart>,
}

impl EventStream {
    /// Sends one event without delay.
    ///
    /// # Errors
    ///
    /// Fails when the caller has closed the connection.
    pub(crate) fn send(&mut self, event: &[u8]) -> io::Result<()> {
        let mut bytes = Vec::with_capacity(event.len() + 16);
        push_chunk(&mut bytes, event);
        self.out
            .send(ResponsePart::More(bytes))
            .map_err(|_| caller_gone_error())
    }

    /// Sends the last event and ends the body.
    ///
    /// # Errors
    ///
    /// Fails when the caller has closed the connection.
    pub(crate) fn end(self, event: &[u8]) -> io::Result<()> {
        let mut bytes = Vec::with_capacity(event.len() + 16);
        push_chunk(&mut bytes, event);
        bytes.extend_from_slice(LAST_CHUNK);
        self.out
            .send(ResponsePart::Last(bytes))
            .map_err(|_| caller_gone_error())
    }
}
