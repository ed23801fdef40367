//! Open requests.

use std::time::Duration;

use super::Job;
use crate::model::{
    Code,
    Fault,
    TargetId,
    Verdict, //
};

/// Where an open request is.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum Place {
    /// In a queue of its service.
    Queued,
    /// At a target.
    Running {
        /// The target.
        target: TargetId,
        /// Time of dispatch.
        sent: Duration,
        /// The first byte of the answer arrived.
        answered: bool,
    },
}

/// An open request.
#[derive(Clone, Debug)]
pub(super) struct Ticket {
    pub(super) job: Job,
    pub(super) place: Place,
    /// The request was repeated after a crash.
    pub(super) crashed: bool,
    /// Last target that failed it.
    pub(super) tried: Option<TargetId>,
}

impl Ticket {
    pub(super) fn new(job: Job) -> Self {
        Self {
            job,
            place: Place::Queued,
            crashed: false,
            tried: None,
        }
    }

    /// A refusal; after a crash the request may have run.
    pub(super) fn fault(&self, code: Code, detail: &str) -> Fault {
        let verdict = if self.crashed {
            Verdict::MayHaveRun
        } else {
            Verdict::NotRun
        };
        Fault {
            verdict,
            code,
            detail: detail.into(),
        }
    }
}
