//! Splits a `text/event-stream` body into events.

use bytes::{
    Bytes,
    BytesMut, //
};

/// Largest event; a longer one is treated as an invalid stream.
const MAX_EVENT_BYTES: usize = 1 << 20;

/// One complete event with its closing blank line.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Event {
    /// Value of the `id` line, if it is an unsigned integer.
    pub id: Option<u64>,
    /// The bytes as received.
    pub bytes: Bytes,
}

impl Event {
    /// Whether it has only comments, which keep a connection alive.
    pub fn is_comment(&self) -> bool {
        let mut lines = self.bytes.split(|b| *b == b'\n');
        lines.all(|line| matches!(line, [] | [b'\r'] | [b':', ..]))
    }
}

/// Buffers body bytes and returns complete events.
///
/// # Examples
///
/// ```
/// use cuminloom_edge::http::EventBuffer;
///
/// let mut events = EventBuffer::default();
/// events.push(b"id: 4\ndata: x\n\nid: 5\nda");
/// assert_eq!(events.next_event().unwrap().id, Some(4));
/// assert!(events.next_event().is_none());
/// assert!(events.has_partial());
/// ```
#[derive(Debug, Default)]
pub struct EventBuffer(BytesMut);

impl EventBuffer {
    /// Adds bytes of the body.
    pub fn push(&mut self, piece: &[u8]) {
        self.0.extend_from_slice(piece);
    }

    /// Takes the next complete event.
    pub fn next_event(&mut self) -> Option<Event> {
        let end = find_event_end(&self.0)?;
        let bytes = self.0.split_to(end).freeze();
        Some(Event {
            id: parse_event_id(&bytes),
            bytes,
        })
    }

    /// Whether the buffer holds bytes of an incomplete event.
    pub fn has_partial(&self) -> bool {
        !self.0.is_empty()
    }

    /// Bytes of the incomplete event.
    pub fn len(&self) -> usize {
        self.0.len()
    }

    /// Whether the buffer holds nothing.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// Whether the incomplete event exceeds the size limit.
    pub fn exceeds_limit(&self) -> bool {
        self.0.len() > MAX_EVENT_BYTES
    }

    /// Discards the bytes of an incomplete event.
    pub fn clear(&mut self) {
        self.0.clear();
    }
}

/// Position after the first blank line, with either kind of line end.
fn find_event_end(buf: &[u8]) -> Option<usize> {
    let lf = memchr::memmem::find(buf, b"\n\n").map(|n| n + 2);
    let crlf = memchr::memmem::find(buf, b"\r\n\r\n").map(|n| n + 4);
    match (lf, crlf) {
        (Some(a), Some(b)) => Some(a.min(b)),
        (a, b) => a.or(b),
    }
}

/// Value of the first `id` line of an event.
fn parse_event_id(bytes: &[u8]) -> Option<u64> {
    bytes
        .split(|b| *b == b'\n')
        .find_map(|line| line.strip_prefix(b"id:"))
        .and_then(|v| std::str::from_utf8(v.trim_ascii()).ok())
        .and_then(|v| v.parse().ok())
}
