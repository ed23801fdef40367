//! Events of a `text/event-stream` body.

use bytes::{
    Bytes,
    BytesMut, //
};

/// Largest event, in bytes; a longer one is treated as a broken stream.
const MAX_EVENT: usize = 1 << 20;

/// One whole event with its closing blank line.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Event {
    /// Value of the `id` line, if it is a whole number.
    pub id: Option<u64>,
    /// The bytes as received.
    pub bytes: Bytes,
}

/// Collects body bytes and hands out whole events.
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

    /// Takes the next whole event.
    pub fn next_event(&mut self) -> Option<Event> {
        let end = event_end(&self.0)?;
        let bytes = self.0.split_to(end).freeze();
        Some(Event {
            id: event_id(&bytes),
            bytes,
        })
    }

    /// Whether bytes of an unfinished event are left.
    pub fn has_partial(&self) -> bool {
        !self.0.is_empty()
    }

    /// Whether the unfinished event exceeds the size limit.
    pub fn exceeds_limit(&self) -> bool {
        self.0.len() > MAX_EVENT
    }

    /// Drops the bytes of an unfinished event.
    pub fn clear(&mut self) {
        self.0.clear();
    }
}

fn event_end(buf: &[u8]) -> Option<usize> {
    let unix = memchr::memmem::find(buf, b"\n\n").map(|n| n + 2);
    let dos = memchr::memmem::find(buf, b"\r\n\r\n").map(|n| n + 4);
    match (unix, dos) {
        (Some(a), Some(b)) => Some(a.min(b)),
        (a, b) => a.or(b),
    }
}

fn event_id(bytes: &[u8]) -> Option<u64> {
    bytes
        .split(|b| *b == b'\n')
        .find_map(|line| line.strip_prefix(b"id:"))
        .and_then(|v| std::str::from_utf8(v.trim_ascii()).ok())
        .and_then(|v| v.parse().ok())
}
