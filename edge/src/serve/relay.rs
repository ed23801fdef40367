//! Relays a stream of events to the caller: only complete events, and each of them once.

use std::{
    cell::Cell,
    rc::Rc,
    time::{
        Duration,
        Instant, //
    },
};

use tokio::{
    net::TcpStream,
    time::timeout, //
};

use super::{
    call::Call,
    receive::{
        Attempt,
        HeldBytes, //
    },
    response::encode_head,
    send::{
        Reply,
        SendError, //
    },
};
use crate::{
    decide::{
        Failure,
        VersionKey,
        stall_limit, //
    },
    http::{
        ConnectionError,
        EventBuffer,
        push_chunk,
        write_all, //
    },
};

/// Events that a runner may send beyond the tokens that it may generate: comments and repetitions of
/// what the caller has.
const MAX_EXTRA_EVENTS: u64 = 1000;

/// Time after its first event from which the end of a runner counts as an end after the answer began.
const BEGUN_AFTER: Duration = Duration::from_millis(100);

/// Time after its first event at which a runner has survived the start of the request.
const ANSWERED_AFTER: Duration = Duration::from_millis(250);

/// State of a streamed response, over all runners that send a part of it.
#[derive(Debug, Default)]
pub(super) struct Relay {
    /// Id of the last event that the caller has, possibly from before this request.
    pub last_id: Option<u64>,
    /// Number of events sent to the caller.
    pub event_count: Rc<Cell<u64>>,
    /// Whether the response head has been sent to the caller.
    pub head_sent: bool,
    /// Version of the runner that sent the first event of this response.
    pub version: Option<VersionKey>,
    /// Version of the present runner.
    present: VersionKey,
    /// Time at which the first event was sent.
    pub first_event: Option<Instant>,
    /// Longest time between two writes of events.
    pub max_pause: Duration,
    /// Time of the last write of events.
    last_event: Option<Instant>,
    /// Number of events received from the present runner.
    received: u64,
    /// Time of the first event of the present runner.
    begun_at: Option<Instant>,
    /// Time of the last event that was new to the caller, or of the begin of the present attempt.
    progress_at: Option<Instant>,
    /// Whether the start of the answer of the present runner is recorded as evidence for the request.
    answered: bool,
}

/// Why a relay ended before the last event.
pub(super) enum RelayError {
    /// The connection to the runner failed, or its response is invalid.
    Runner(SendError),
    /// The connection to the caller failed.
    Caller,
    /// The stream has left its version, and others could not be told in time; the caller has nothing of it.
    Untold,
}

impl Relay {
    /// Starts an attempt at another runner, of the software version `version`.
    pub(super) fn start_attempt(&mut self, version: VersionKey) {
        self.present = version;
        self.received = 0;
        self.begun_at = None;
        self.answered = false;
        self.progress_at = Some(Instant::now());
    }

    /// Whether the present runner has begun its answer and gone on for a while.
    pub(super) fn has_begun(&self, now: Instant) -> bool {
        self.runs_for(BEGUN_AFTER, now)
    }

    /// Whether the present runner sent its first event `time` before `now` or earlier.
    fn runs_for(&self, time: Duration, now: Instant) -> bool {
        let begun = self.begun_at;
        begun.is_some_and(|at| now.saturating_duration_since(at) >= time)
    }

    /// Records the start of the answer as evidence for the request once the present runner has gone on for long
    /// enough.
    fn record_progress<D>(&mut self, attempt: &Attempt<'_, D>) {
        let now = Instant::now();
        if !self.answered && self.runs_for(ANSWERED_AFTER, now) {
            self.answered = true;
            attempt.core.record_progress(attempt.call, now);
        }
    }

    /// Counts an event that a neighbour has sent.
    pub(super) fn count_event(&mut self, now: Instant) {
        self.event_count.set(self.event_count.get() + 1);
        self.record_pause(now);
        self.first_event = self.first_event.or(Some(now));
    }

    /// Relays events until the end of the stream. After success the connection to the runner may be
    /// reused.
    pub(super) async fn run<D>(
        &mut self,
        attempt: &Attempt<'_, D>,
        reply: &mut Reply,
        out: &TcpStream,
    ) -> Result<(), RelayError> {
        let (call, upstream) = (attempt.call, attempt.upstream);
        let mut events = EventBuffer::default();
        let mut held = HeldBytes::new(&attempt.core.answers);
        let mut bytes = Vec::new();
        loop {
            let done = decode_events(reply, &mut events).map_err(RelayError::Runner)?;
            let gap = self.push_events(call, reply, &mut events, &mut bytes);
            held.grow_to(events.len()).map_err(RelayError::Runner)?;
            if !bytes.is_empty() {
                if self.version.is_none() {
                    self.version = Some(self.present);
                    let core = attempt.core;
                    core.record_stream(call, attempt.service, self.present);
                    let left = attempt.version.is_left_at(self.present);
                    if left && !core.tell_stream(call, self.present).await {
                        self.head_sent = false;
                        self.event_count.set(0);
                        core.end_stream(call);
                        return Err(RelayError::Untold);
                    }
                }
                self.record_pause(Instant::now());
                if self.first_event.is_none() {
                    self.first_event = Some(Instant::now());
                    reply.in_flight.record_prompt_time(Instant::now());
                    reply.in_flight.prompt_read();
                    upstream.mark_cached(Instant::now(), &call.meta.parts);
                }
                write_all(out, &bytes)
                    .await
                    .map_err(|_| RelayError::Caller)?;
                bytes.clear();
            }
            if let Some(error) = gap {
                return Err(RelayError::Runner(error));
            }
            self.record_progress(attempt);
            if done {
                return self.finish(attempt, reply, &events, out).await;
            }
            let prompt = if self.first_event.is_some() {
                0
            } else {
                call.prompt_tokens()
            };
            let n = self
                .read_progress(attempt, reply, prompt)
                .await
                .map_err(RelayError::Runner)?;
            if n == 0 {
                if !reply.decoder.ends_with_connection() {
                    return Err(RelayError::Runner(ConnectionError::Closed.into()));
                }
                decode_events(reply, &mut events).map_err(RelayError::Runner)?;
                return self.finish(attempt, reply, &events, out).await;
            }
        }
    }

    /// Reads more bytes as [`Attempt::read_more`] does, as long as the stream has not stalled. Only a time in
    /// which this process ran and heard from other machines tells that.
    async fn read_progress<D>(
        &mut self,
        attempt: &Attempt<'_, D>,
        reply: &mut Reply,
        prompt_tokens: u64,
    ) -> Result<usize, SendError> {
        let route = &attempt.call.route;
        let limit = stall_limit(route.objective, route.pause);
        loop {
            let since = *self.progress_at.get_or_insert_with(Instant::now);
            let left = limit.saturating_sub(since.elapsed());
            let read = attempt.read_more(&mut reply.connection, prompt_tokens);
            if let Ok(read) = timeout(left, read).await {
                return read;
            }
            let now = Instant::now();
            if !attempt.upstream.link.is_conclusive(since, limit, now) {
                self.progress_at = Some(now);
                continue;
            }
            log::info!(
                "event=stream_stalled id={} runner={} events={} idle_ms={}",
                attempt.call.meta.id,
                attempt.upstream.runner.borrow().id,
                self.event_count.get(),
                now.duration_since(since).as_millis()
            );
            let detail = "no event for longer than callers wait";
            return Err(SendError::new(Failure::Silent, detail));
        }
    }

    /// Updates the longest pause when events are about to be written.
    fn record_pause(&mut self, now: Instant) {
        let pause = self
            .last_event
            .map_or(Duration::ZERO, |t| now.duration_since(t));
        self.max_pause = self.max_pause.max(pause);
        self.last_event = Some(now);
    }

    /// Ends the response, after the end of the stream.
    async fn finish<D>(
        &mut self,
        attempt: &Attempt<'_, D>,
        reply: &Reply,
        events: &EventBuffer,
        out: &TcpStream,
    ) -> Result<(), RelayError> {
        let unframed = reply.decoder.ends_with_connection();
        if events.has_partial() || (unframed && self.received == 0) {
            let detail = "stream ends within an event, or before the first one";
            return Err(RelayError::Runner(SendError::new(Failure::Broken, detail)));
        }
        if unframed {
            let checked = attempt.check_close().await;
            checked.map_err(RelayError::Runner)?;
        }
        attempt.core.record_answer(attempt.call, Instant::now());
        attempt.unresolved.set(false);
        let mut bytes = Vec::new();
        if !self.head_sent {
            self.push_head(attempt.call, reply, &mut bytes);
        }
        bytes.extend_from_slice(b"0\r\n\r\n");
        write_all(out, &bytes)
            .await
            .map_err(|_| RelayError::Caller)?;
        attempt.core.end_stream(attempt.call);
        Ok(())
    }

    /// Appends the head of a chunked response.
    fn push_head(&mut self, call: &Call, reply: &Reply, bytes: &mut Vec<u8>) {
        self.head_sent = true;
        bytes.extend_from_slice(&encode_head(
            reply.head.status,
            &reply.head.fields,
            call.keep_alive,
        ));
        bytes.extend_from_slice(b"Transfer-Encoding: chunked\r\n\r\n");
    }

    /// Appends the events that the caller does not have yet. Returns an error if one is missing.
    fn push_events(
        &mut self,
        call: &Call,
        reply: &Reply,
        events: &mut EventBuffer,
        bytes: &mut Vec<u8>,
    ) -> Option<SendError> {
        let limit = call.max_events().saturating_add(MAX_EXTRA_EVENTS);
        while let Some(event) = events.next_event() {
            self.received += 1;
            self.begun_at = self.begun_at.or_else(|| Some(Instant::now()));
            if self.received > limit {
                let detail = "more events than the request allows tokens";
                return Some(SendError::new(Failure::Broken, detail));
            }
            if event.id.is_none() && !event.is_comment() {
                let detail = "bytes in a stream that are no event of it";
                return Some(SendError::new(Failure::Broken, detail));
            }
            if event
                .id
                .is_some_and(|id| self.last_id.is_none_or(|last| id > last))
            {
                self.progress_at = Some(Instant::now());
            }
            if let (Some(id), Some(last)) = (event.id, self.last_id) {
                if id <= last {
                    continue;
                }
                if id > last.saturating_add(1) {
                    let detail = format!("event {id} follows event {last}");
                    return Some(SendError::new(Failure::Broken, detail));
                }
            }
            if !self.head_sent {
                self.push_head(call, reply, bytes);
            }
            self.last_id = event.id.or(self.last_id);
            self.event_count.set(self.event_count.get() + 1);
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

/// Moves decoded body bytes into `events`. Returns whether the body is complete.
fn decode_events(reply: &mut Reply, events: &mut EventBuffer) -> Result<bool, SendError> {
    while let Some(piece) = reply
        .decoder
        .take(&mut reply.connection.buf)
        .map_err(|e| SendError::from(ConnectionError::Protocol(e)))?
    {
        events.push(&piece);
    }
    Ok(reply.decoder.is_done())
}
