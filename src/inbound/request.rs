//! A request that a thread handles, and the ways to answer it.

use std::io;

use bytes::Bytes;
use cuminloom_edge::http::{
    Fields,
    RequestHead,
    push_chunk,
    reason_phrase, //
};

/// Parts of an answer that may wait until the caller takes them.
pub(super) const PARTS: usize = 16;

/// End of a chunked body.
const LAST_CHUNK: &[u8] = b"0\r\n\r\n";

/// Bytes towards the caller.
pub(super) enum Part {
    /// More follow.
    More(Vec<u8>),
    /// The answer is complete.
    Last(Vec<u8>),
}

/// A whole answer.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(crate) struct Reply {
    /// Status code.
    pub(crate) status: u16,
    /// Header fields beside the length.
    pub(crate) fields: Vec<(&'static str, String)>,
    /// Body.
    pub(crate) body: Vec<u8>,
}

impl Reply {
    /// The answer as bytes; the answer to a HEAD request has no body.
    pub(super) fn bytes(&self, keep: bool, head_only: bool) -> Vec<u8> {
        let mut out = head(self.status, &self.fields, keep);
        out.extend_from_slice(format!("Content-Length: {}\r\n\r\n", self.body.len()).as_bytes());
        if !head_only {
            out.extend_from_slice(&self.body);
        }
        out
    }
}

/// Status line and fields, without the blank line.
fn head(status: u16, fields: &[(&'static str, String)], keep: bool) -> Vec<u8> {
    let mut out = format!("HTTP/1.1 {status} {}\r\n", reason_phrase(status)).into_bytes();
    for (name, value) in fields {
        // A value may come from a target; a control character in it could start another field.
        let value = value.replace(|c: char| c.is_control(), " ");
        out.extend_from_slice(format!("{name}: {value}\r\n").as_bytes());
    }
    if !keep {
        out.extend_from_slice(b"Connection: close\r\n");
    }
    out
}

fn gone() -> io::Error {
    io::Error::new(io::ErrorKind::BrokenPipe, "the caller left")
}

/// Is disconnected when the caller has left.
pub(crate) type CallerGone = flume::Receiver<()>;

/// A request that was read whole. Dropping it without an answer is answered with status 500.
pub(crate) struct Request {
    head: RequestHead,
    body: Bytes,
    keep: bool,
    out: flume::Sender<Part>,
    left: CallerGone,
}

impl Request {
    pub(super) fn new(
        head: RequestHead,
        body: Bytes,
        out: flume::Sender<Part>,
        left: CallerGone,
    ) -> Self {
        Self {
            keep: head.keep_alive(),
            head,
            body,
            out,
            left,
        }
    }

    /// Tells when the caller has left.
    pub(crate) fn left(&self) -> CallerGone {
        self.left.clone()
    }

    /// Method in capitals.
    pub(crate) fn method(&self) -> &str {
        &self.head.method
    }

    /// Path and query.
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

    /// Value of a header field, if there is one.
    pub(crate) fn header(&self, name: &str) -> Option<&str> {
        self.head.fields.get(name)
    }

    /// Body.
    pub(crate) fn body(&self) -> &[u8] {
        &self.body
    }

    /// Sends a whole answer.
    ///
    /// # Errors
    ///
    /// Fails when the caller has left.
    pub(crate) fn respond(self, reply: &Reply) -> io::Result<()> {
        let bytes = reply.bytes(self.keep, self.head.method == "HEAD");
        self.out.send(Part::Last(bytes)).map_err(|_| gone())
    }

    /// Starts a stream of server-sent events.
    ///
    /// # Errors
    ///
    /// Fails when the caller has left.
    pub(crate) fn into_stream(self) -> io::Result<EventStream> {
        let fields = [
            ("Content-Type", "text/event-stream".to_owned()),
            ("Cache-Control", "no-cache".to_owned()),
        ];
        let mut bytes = head(200, &fields, self.keep);
        bytes.extend_from_slice(b"Transfer-Encoding: chunked\r\n\r\n");
        self.out.send(Part::More(bytes)).map_err(|_| gone())?;
        Ok(EventStream { out: self.out })
    }
}

/// A stream of server-sent events to a caller. Dropping it closes the connection without the end of
/// the body, so that the caller does not take the stream for complete.
pub(crate) struct EventStream {
    out: flume::Sender<Part>,
}

impl EventStream {
    /// Sends one event at once.
    ///
    /// # Errors
    ///
    /// Fails when the caller has left.
    pub(crate) fn send(&mut self, event: &[u8]) -> io::Result<()> {
        let mut bytes = Vec::with_capacity(event.len() + 16);
        push_chunk(&mut bytes, event);
        self.out.send(Part::More(bytes)).map_err(|_| gone())
    }

    /// Sends the last event and ends the body.
    ///
    /// # Errors
    ///
    /// Fails when the caller has left.
    pub(crate) fn end(self, event: &[u8]) -> io::Result<()> {
        let mut bytes = Vec::with_capacity(event.len() + 16);
        push_chunk(&mut bytes, event);
        bytes.extend_from_slice(LAST_CHUNK);
        self.out.send(Part::Last(bytes)).map_err(|_| gone())
    }
}
