//! Relaying a stream of events, whole events only and each of them once.

use std::{
    cell::Cell,
    rc::Rc,
    time::{
        Duration,
        Instant, //
    },
};

use tokio::net::TcpStream;

use super::{
    Upstream,
    answer::head_bytes,
    call::Call,
    send::{
        Reply,
        SendError,
        hear, //
    },
};
use crate::{
    decide::Failure,
    http::{
        ConnectionError,
        EventBuffer,
        push_chunk,
        write_all, //
    },
};

/// State of the answer to one caller, over all runners that contribute to it.
#[derive(Debug, Default)]
pub(super) struct Relay {
    /// Id of the newest event that the caller got.
    pub last: Option<u64>,
    /// Events that the caller got.
    pub events: Rc<Cell<u64>>,
    /// Whether the caller has got the head.
    pub started: bool,
    /// Time of the first event.
    pub first: Option<Instant>,
    /// Longest pause between two events.
    pub pause: Duration,
    newest: Option<Instant>,
}

/// Why a relay ended before the last event.
pub(super) enum Stopped {
    /// The runner's side broke.
    Runner(SendError),
    /// The caller's side broke.
    Caller,
}

impl Relay {
    /// Passes on events until the end of the stream. On success the connection may be kept.
    pub(super) async fn run(
        &mut self,
        call: &Call,
        upstream: &Upstream,
        reply: &mut Reply,
        out: &TcpStream,
    ) -> Result<(), Stopped> {
        let mut events = EventBuffer::default();
        let mut bytes = Vec::new();
        loop {
            let done = take_events(reply, &mut events).map_err(Stopped::Runner)?;
            let broken = self.compose(call, reply, &mut events, &mut bytes);
            if !bytes.is_empty() {
                self.note_pause(Instant::now());
                if self.first.is_none() {
                    self.first = Some(Instant::now());
                    reply.flight.prompt_read();
                    upstream.mark_warm(Instant::now(), &call.ask.parts);
                }
                write_all(out, &bytes).await.map_err(|_| Stopped::Caller)?;
                bytes.clear();
            }
            if let Some(fault) = broken {
                return Err(Stopped::Runner(fault));
            }
            if done {
                return self.finish(call, reply, &events, out).await;
            }
            let prompt = if self.first.is_some() {
                0
            } else {
                call.prompt()
            };
            let n = hear(upstream, &mut reply.link, prompt)
                .await
                .map_err(Stopped::Runner)?;
            if n == 0 {
                if !reply.decoder.ends_with_connection() {
                    return Err(Stopped::Runner(ConnectionError::Closed.into()));
                }
                take_events(reply, &mut events).map_err(Stopped::Runner)?;
                return self.finish(call, reply, &events, out).await;
            }
        }
    }

    fn note_pause(&mut self, now: Instant) {
        let pause = self
            .newest
            .map_or(Duration::ZERO, |t| now.duration_since(t));
        self.pause = self.pause.max(pause);
        self.newest = Some(now);
    }

    async fn finish(
        &mut self,
        call: &Call,
        reply: &Reply,
        events: &EventBuffer,
        out: &TcpStream,
    ) -> Result<(), Stopped> {
        if events.has_partial() {
            let fault = SendError::new(Failure::Broken, "stream ends within an event");
            return Err(Stopped::Runner(fault));
        }
        let mut bytes = Vec::new();
        if !self.started {
            self.start(call, reply, &mut bytes);
        }
        bytes.extend_from_slice(b"0\r\n\r\n");
        write_all(out, &bytes).await.map_err(|_| Stopped::Caller)
    }

    fn start(&mut self, call: &Call, reply: &Reply, bytes: &mut Vec<u8>) {
        self.started = true;
        bytes.extend_from_slice(&head_bytes(
            reply.head.status,
            &reply.head.fields,
            call.keep,
        ));
        bytes.extend_from_slice(b"Transfer-Encoding: chunked\r\n\r\n");
    }

    /// Appends the events that the caller has not got yet. Returns a fault if one is missing.
    fn compose(
        &mut self,
        call: &Call,
        reply: &Reply,
        events: &mut EventBuffer,
        bytes: &mut Vec<u8>,
    ) -> Option<SendError> {
        while let Some(event) = events.next_event() {
            if let (Some(id), Some(last)) = (event.id, self.last) {
                if id <= last {
                    continue;
                }
                if id > last.saturating_add(1) {
                    let detail = format!("event {id} follows event {last}");
                    return Some(SendError::new(Failure::Broken, detail));
                }
            }
            if !self.started {
                self.start(call, reply, bytes);
            }
            self.last = event.id.or(self.last);
            self.events.set(self.events.get() + 1);
            push_chunk(bytes, &event.bytes);
        }
        if events.exceeds_limit() {
            return Some(SendError::new(
                Failure::Broken,
                "event exceeds the size limit",
            ));
        }
        None
    }
}

/// Moves decoded body bytes into `events`. Returns whether the body is done.
fn take_events(reply: &mut Reply, events: &mut EventBuffer) -> Result<bool, SendError> {
    while let Some(piece) = reply
        .decoder
        .take(&mut reply.link.buf)
        .map_err(|e| SendError::from(ConnectionError::Protocol(e)))?
    {
        events.push(&piece);
    }
    Ok(reply.decoder.is_done())
}
