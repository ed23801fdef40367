//! State of open requests.

use std::time::Duration;

use super::Job;
use crate::model::{
    Code,
    RequestError,
    TargetId,
    Verdict, //
};

/// Whether an open request is queued or running.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum RequestState {
    /// In a queue of its service.
    Queued,
    /// On a target.
    Running {
        /// Target that runs the request.
        target: TargetId,
        /// Time of dispatch.
        sent: Duration,
        /// Whether the first byte of the response arrived.
        answered: bool,
    },
}

/// An open request.
#[derive(Clone, Debug)]
pub(super) struct Request {
    pub(super) job: Job,
    pub(super) state: RequestState,
    /// Whether the request is repeated after a crash in which it may have run.
    pub(super) crash_retried: bool,
    /// Target of the last failed attempt.
    pub(super) last_target: Option<TargetId>,
}

impl Request {
    pub(super) fn new(job: Job) -> Self {
        Self {
            job,
            state: RequestState::Queued,
            crash_retried: false,
            last_target: None,
        }
    }

    /// Returns the fault for a refusal. After a crash, its verdict is may-have-run.
    pub(super) fn refusal(&self, code: Code, detail: &str) -> RequestError {
        let verdict = if self.crash_retried {
            Verdict::MayHaveRun
        } else {
            Verdict::NotRun
        };
        RequestError {
            verdict,
            code,
            detail: detail.into(),
        }
    }
}
