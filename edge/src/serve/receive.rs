//! Reads the response of one runner, and decides when its silence ends the attempt.

use std::{
    cell::Cell,
    rc::Rc,
    time::{
        Duration,
        Instant, //
    },
};

use bytes::BytesMut;
use tokio::time::{
    sleep,
    timeout, //
};

use super::{
    Core,
    Upstream,
    call::Call,
    send::SendError,
    upstream::Probe,
    versions::VersionChoice, //
};
use crate::{
    catalog::ServiceId,
    decide::{
        Failure,
        ProcessLimits,
        RetryDecision,
        decide_retry, //
    },
    http::{
        BodyDecoder,
        Connection,
        ConnectionError,
        ResponseHead,
        parse_response, //
    },
};

/// Time without a byte from a runner, not counting prefill, after which it is probed.
const MAX_SILENCE: Duration = Duration::from_millis(130);

/// Slowest prefill of a runner, in prompt tokens per millisecond. A runner may be silent during
/// prefill.
const MIN_PREFILL_PER_MS: u64 = 25;

/// Largest response that is buffered; only streams may be longer. Several at once must fit into the
/// memory of the smallest VM.
pub(super) const MAX_ANSWER_BYTES: usize = 2 * 1024 * 1024;

/// Largest response head.
const MAX_HEAD_BYTES: usize = 64 * 1024;

/// Most interim responses before a response.
const MAX_INTERIM_RESPONSES: u32 = 16;

/// Time in which all sockets of a process that was killed are closed, and between two looks whether they are.
const CLOSE_TIME: Duration = Duration::from_millis(20);

/// Silence after which what a runner has sent may be older than a process that listens at its address by now.
const MAX_GAP: Duration = Duration::from_millis(500);

/// Time in which what has arrived during such a silence is read.
const GAP_READ_TIME: Duration = Duration::from_secs(1);

/// One attempt to serve a request at one runner.
pub(super) struct Attempt<'a, D> {
    /// State of the daemon.
    pub core: &'a Rc<Core<D>>,
    /// The request.
    pub call: &'a Call,
    /// The runner.
    pub upstream: &'a Rc<Upstream>,
    /// Service of the runner.
    pub service: &'a ServiceId,
    /// Earlier attempts after which the request may have run.
    pub started: u32,
    /// Earlier attempts that a runner rejected.
    pub rejected: u32,
    /// Version at which it has to be served.
    pub version: VersionChoice,
    /// Whether the runner may run the request when the attempt ends.
    pub unresolved: Cell<bool>,
    /// End of the last silence that was longer than [`MAX_GAP`].
    pub gap_end: Cell<Option<Instant>>,
}

impl<D> Drop for Attempt<'_, D> {
    /// Remembers a request that was given up. This also happens when its task is dropped.
    fn drop(&mut self) {
        if self.unresolved.get() {
            self.core.add_unresolved(self.call, self.upstream);
        }
    }
}

impl<D> Attempt<'_, D> {
    /// Whether the request could be sent to another runner at once if this attempt were given up.
    /// Does not use up the retry budget.
    fn may_retry(&self, now: Instant) -> bool {
        let started = self.started + 1;
        let failed = self
            .call
            .failed_attempt(Failure::Silent, started, self.rejected, now);
        let next = decide_retry(&failed);
        let members = self.core.ledger.borrow().members();
        let urgent = self.call.rank == 0;
        match next {
            RetryDecision::GiveUp => false,
            RetryDecision::Retry { uses_budget: false } => true,
            RetryDecision::Retry { uses_budget: true } => self
                .core
                .with_retry_budget(self.service, |b| b.allows_retry(now, members, urgent)),
        }
    }

    /// Reads more bytes from the runner; returns 0 at the end of the stream. Probes a runner that is
    /// silent for longer than its prefill can take. An unreachable one is given up only if the request
    /// can be retried: otherwise the answer may still come, and nothing is gained by ending it.
    ///
    /// # Errors
    ///
    /// Fails if the connection breaks or the runner is given up.
    pub(super) async fn read_more(
        &self,
        connection: &mut Connection,
        prompt_tokens: u64,
    ) -> Result<usize, SendError> {
        let upstream = self.upstream;
        let broken = |e: std::io::Error| SendError::new(Failure::Broken, e.to_string());
        let mut heard = Instant::now();
        loop {
            let prefill = Duration::from_millis(
                upstream.backlog_tokens().max(prompt_tokens) / MIN_PREFILL_PER_MS,
            );
            let begun = Instant::now();
            let limit = MAX_SILENCE + prefill + upstream.link.allowance(begun);
            if let Ok(read) = timeout(limit, connection.fill()).await {
                let n = read.map_err(broken)?;
                self.record_read(heard);
                return Ok(n);
            }
            let probed = Instant::now();
            if upstream.silence(probed) < limit - prefill {
                continue;
            }
            let probe = upstream.probe().await;
            let now = Instant::now();
            // Bytes that arrived during the probe refute it.
            if let Some(read) = connection.try_fill() {
                let n = read.map_err(broken)?;
                self.record_read(heard);
                return Ok(n);
            }
            if self.shows_process(probe) {
                heard = now;
                self.core.mark_alive(upstream, now);
                continue;
            }
            let may_retry = self.may_retry(now);
            let given_up = probe.is_down() && may_retry;
            log::info!(
                "event=runner_silent id={} runner={} probe={} silent_ms={} late_ms={} probe_ms={} link_quiet_ms={} may_retry={may_retry} given_up={given_up}",
                self.call.meta.id,
                upstream.runner.borrow().id,
                probe.as_str(),
                upstream.silence(probed).as_millis(),
                (probed - begun).saturating_sub(limit).as_millis(),
                (now - probed).as_millis(),
                upstream.link.silence(now).as_millis()
            );
            self.core.record_probe(upstream, probe, now);
            if given_up {
                return Err(SendError::new(
                    Failure::Silent,
                    "runner does not accept connections",
                ));
            }
        }
    }

    /// Reads a response head, skipping interim responses.
    ///
    /// # Errors
    ///
    /// Fails if the connection ends first, or if the bytes are no response head.
    pub(super) async fn read_head(
        &self,
        connection: &mut Connection,
        prompt_tokens: u64,
    ) -> Result<ResponseHead, SendError> {
        let mut interim = 0;
        loop {
            match parse_response(&mut connection.buf) {
                Ok(Some(head)) if head.status < 200 => {
                    interim += 1;
                    if interim > MAX_INTERIM_RESPONSES {
                        return Err(too_long("more interim responses than allowed"));
                    }
                }
                Ok(Some(head)) => return Ok(head),
                Ok(None) if connection.buf.len() > MAX_HEAD_BYTES => {
                    return Err(too_long("response head exceeds the size limit"));
                }
                Ok(None) => {
                    if self.read_more(connection, prompt_tokens).await? == 0 {
                        return Err(ConnectionError::Closed.into());
                    }
                }
                Err(e) => return Err(ConnectionError::Protocol(e).into()),
            }
        }
    }

    /// Whether `probe` shows that the runner's process has not ended. One that drains may refuse new connections and go on
    /// with the open ones; on a lost path both say nothing.
    fn shows_process(&self, probe: Probe) -> bool {
        match probe {
            Probe::Reachable => true,
            Probe::Refused => !self.core.is_path_lost(self.service) && self.upstream.is_held_open(),
            Probe::Unreachable | Probe::Inconclusive => false,
        }
    }

    /// Records that bytes or the end of the connection were read, and that the runner was last heard at `heard`.
    fn record_read(&self, heard: Instant) {
        let now = Instant::now();
        if now.saturating_duration_since(heard) > MAX_GAP {
            self.gap_end.set(Some(now));
        }
        self.core.mark_alive(self.upstream, now);
    }

    /// Checks that the connection was closed by the runner because its response is whole, and not because its process was
    /// killed: then the kernel closes the connection in the same way, and the port with it. While a probe tells neither,
    /// it looks again, unless the request can go on elsewhere; the deadline bounds this.
    ///
    /// # Errors
    ///
    /// Fails if the process has ended, or may have ended in a silence before, or can't be reached and the request can be
    /// retried.
    pub(super) async fn check_close(&self) -> Result<(), SendError> {
        let gap_end = self.gap_end.get();
        if gap_end.is_some_and(|end| end.elapsed() < GAP_READ_TIME) {
            let detail = "closed in a silence in which the runner's process may have ended";
            return Err(SendError::new(Failure::Broken, detail));
        }
        loop {
            sleep(CLOSE_TIME).await;
            let probe = self.upstream.probe().await;
            let now = Instant::now();
            if self.shows_process(probe) {
                self.core.record_opened(self.upstream, probe, now);
                self.core.mark_alive(self.upstream, now);
                return Ok(());
            }
            self.core.record_probe(self.upstream, probe, now);
            log::info!(
                "event=close_doubtful id={} runner={} probe={}",
                self.call.meta.id,
                self.upstream.runner.borrow().id,
                probe.as_str()
            );
            if probe == Probe::Refused && !self.core.is_path_lost(self.service) {
                let detail = "closed by the end of the runner's process";
                return Err(SendError::new(Failure::Broken, detail));
            }
            if probe.is_down() && self.may_retry(now) {
                let detail = "closed by a runner that does not accept connections";
                return Err(SendError::new(Failure::Silent, detail));
            }
        }
    }

    /// Reads the rest of a body. A response without a length is complete only after an orderly close by the runner.
    ///
    /// # Errors
    ///
    /// Fails if the body is incomplete, invalid or too long.
    pub(super) async fn read_body(
        &self,
        connection: &mut Connection,
        decoder: &mut BodyDecoder,
    ) -> Result<BytesMut, SendError> {
        let mut body = BytesMut::new();
        let mut held = HeldBytes::new(&self.core.answers);
        loop {
            while let Some(piece) = decoder
                .take(&mut connection.buf)
                .map_err(|e| SendError::from(ConnectionError::Protocol(e)))?
            {
                body.extend_from_slice(&piece);
            }
            if decoder.is_done() {
                return Ok(body);
            }
            if body.len() > MAX_ANSWER_BYTES {
                return Err(too_long("response exceeds the size limit"));
            }
            held.grow_to(body.len())?;
            if self.read_more(connection, 0).await? == 0 {
                // A runner that stops after its head can't be told from one without a body.
                if decoder.ends_with_connection() && !body.is_empty() {
                    self.check_close().await?;
                    return Ok(body);
                }
                return Err(ConnectionError::Closed.into());
            }
        }
    }
}

/// Bytes of a response up to which it is read whatever others hold: many times the users' answers.
const SMALL_ANSWER_BYTES: usize = 64 * 1024;

/// Bytes of all responses that are being read, and their bound.
#[derive(Debug)]
pub(super) struct AnswerBytes {
    held: Cell<usize>,
    most: Cell<usize>,
}

impl Default for AnswerBytes {
    /// The bound of the smallest VM.
    fn default() -> AnswerBytes {
        let answers = AnswerBytes {
            held: Cell::new(0),
            most: Cell::new(0),
        };
        answers.set_bound(ProcessLimits::default().answers().bytes);
        answers
    }
}

impl AnswerBytes {
    /// Sets the bound, in bytes.
    pub(super) fn set_bound(&self, bytes: u64) {
        self.most.set(usize::try_from(bytes).unwrap_or(usize::MAX));
    }
}

/// Bytes of one response that is being read, until it is dropped.
pub(super) struct HeldBytes<'a> {
    answers: &'a AnswerBytes,
    own: usize,
}

impl HeldBytes<'_> {
    /// Counts for a response of which nothing has been read.
    pub(super) fn new(answers: &AnswerBytes) -> HeldBytes<'_> {
        HeldBytes { answers, own: 0 }
    }

    /// Records that `bytes` of the response are held.
    ///
    /// # Errors
    ///
    /// Fails for a large response if all that are being read hold too much: each of many faulty runners may send
    /// bytes without end.
    pub(super) fn grow_to(&mut self, bytes: usize) -> Result<(), SendError> {
        let held = &self.answers.held;
        held.set(held.get() - self.own + bytes);
        self.own = bytes;
        if bytes > SMALL_ANSWER_BYTES && held.get() > self.answers.most.get() {
            return Err(too_long("responses of runners take too much memory"));
        }
        Ok(())
    }
}

impl Drop for HeldBytes<'_> {
    fn drop(&mut self) {
        let held = &self.answers.held;
        held.set(held.get() - self.own);
    }
}

/// Error for a response of which more was received than can be part of an answer.
fn too_long(detail: &str) -> SendError {
    SendError::new(Failure::Broken, detail)
}
