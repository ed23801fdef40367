//! What the sends of one request have come to so far.

use std::{
    fmt::Write,
    sync::Arc,
    time::{
        Duration,
        Instant, //
    },
};

use super::{
    call::Call,
    relay::Relay,
    response::Refusal,
    send::SendError, //
};
use crate::decide::{
    Failure,
    Verdict,
    retry_after, //
};

/// Results of the sends of one request so far.
#[derive(Default)]
pub(super) struct SendHistory {
    /// Sends after which the request may have run.
    pub(super) started: u32,
    /// Sends that a runner refused without running the request.
    pub(super) rejected: u32,
    /// Verdict of the last send that may have run.
    pub(super) verdict: Option<Verdict>,
    /// Whether neighbours have been asked to serve the request.
    pub(super) handed_over: bool,
    /// Whether the request counts towards the retry budget of its service.
    pub(super) counted: bool,
    /// Runners in the order in which they were tried.
    pub(super) tried: Vec<Arc<str>>,
    /// One entry a send, for the `request_done` log line.
    pub(super) summary: String,
}

impl SendHistory {
    /// Appends the outcome of a send, which began at `since`, to the summary.
    pub(super) fn add_summary(&mut self, runner: &str, what: &str, detail: &str, since: Instant) {
        let ms = since.elapsed().as_millis();
        let _ = write!(self.summary, "{runner}:{what}:{ms}ms");
        if !detail.is_empty() {
            let _ = write!(self.summary, "({detail})");
        }
        self.summary.push(';');
    }

    /// Counts a failed send. A connection that was not opened counts neither as started nor as rejected.
    fn count_failure(&mut self, failure: Failure) {
        match failure.verdict() {
            Verdict::NotRun if !failure.was_sent() => {}
            Verdict::NotRun => self.rejected += 1,
            verdict => {
                self.started += 1;
                self.verdict = Some(verdict);
            }
        }
    }

    /// Records a failed send to `runner`, which began at `since`.
    pub(super) fn record_error(&mut self, runner: &str, error: &SendError, since: Instant) {
        let failure = error.failure;
        self.add_summary(runner, failure.as_str(), &error.detail, since);
        self.count_failure(failure);
    }

    /// Whether no runner may have begun the request, and the caller has nothing of an answer.
    pub(super) fn is_untouched(&self, relay: &Relay) -> bool {
        self.started == 0 && !relay.head_sent
    }

    /// The error response to the request if it is not sent again; `wanted` is the best Retry-After.
    pub(super) fn refusal(&self, call: &Call, code: &'static str, wanted: Duration) -> Refusal {
        if self.verdict.is_some() {
            return Refusal::may_have_run(502, code);
        }
        let left = call.time_left(Instant::now());
        Refusal::not_run(code, retry_after(wanted, left))
    }
}
