//! Failures of a request, each with a verdict on whether the request may have run.

use std::{
    error::Error,
    fmt,
    sync::Arc, //
};

use serde::{
    Deserialize,
    Serialize, //
};

pub use cuminloom_edge::decide::Verdict;

/// Machine-readable reason of a failure.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Code {
    /// The request is malformed.
    BadRequest,
    /// The key is missing or unknown.
    Unauthorized,
    /// The customer may not use this profile or budget.
    Forbidden,
    /// The profile, service or item does not exist.
    NotFound,
    /// The body or a header is too large.
    TooLarge,
    /// The budget has too few free tokens.
    BudgetExhausted,
    /// The budget cannot be drawn on at the moment.
    BudgetUnavailable,
    /// The queue is full, or the wait would exceed the deadline.
    Overloaded,
    /// The deadline passed.
    Deadline,
    /// No target can take the request.
    NoTarget,
    /// The request crashed the targets that ran it.
    CrashesTargets,
    /// A request that may not be repeated has no idempotency key.
    KeyRequired,
    /// The idempotency key was used with another body.
    KeyReused,
    /// The idempotency key is older than its lifetime.
    KeyExpired,
    /// A request with the same key is in progress.
    InProgress,
    /// A request with the same key may have run before.
    AlreadyClaimed,
    /// The target failed or closed the connection.
    TargetFailed,
    /// The platform's store does not answer.
    StoreUnavailable,
    /// The daemon is stopping or was sealed.
    Stopping,
    /// The caller closed its connection before it had the answer.
    CallerLeft,
    /// Another operator changed the item.
    Conflict,
    /// A fault inside the daemon.
    Internal,
}

impl Code {
    /// Name of the code as used in bodies.
    ///
    /// # Examples
    ///
    /// ```
    /// use cuminloom::model::Code;
    /// assert_eq!(Code::BudgetExhausted.as_str(), "budget_exhausted");
    /// ```
    pub fn as_str(self) -> &'static str {
        match self {
            Code::BadRequest => "bad_request",
            Code::Unauthorized => "unauthorized",
            Code::Forbidden => "forbidden",
            Code::NotFound => "not_found",
            Code::TooLarge => "too_large",
            Code::BudgetExhausted => "budget_exhausted",
            Code::BudgetUnavailable => "budget_unavailable",
            Code::Overloaded => "overloaded",
            Code::Deadline => "deadline",
            Code::NoTarget => "no_target",
            Code::CrashesTargets => "crashes_targets",
            Code::KeyRequired => "key_required",
            Code::KeyReused => "key_reused",
            Code::KeyExpired => "key_expired",
            Code::InProgress => "in_progress",
            Code::AlreadyClaimed => "already_claimed",
            Code::TargetFailed => "target_failed",
            Code::StoreUnavailable => "store_unavailable",
            Code::Stopping => "stopping",
            Code::CallerLeft => "caller_left",
            Code::Conflict => "conflict",
            Code::Internal => "internal",
        }
    }

    /// HTTP status of a failure with this code.
    ///
    /// # Examples
    ///
    /// ```
    /// use cuminloom::model::Code;
    /// assert_eq!(Code::Overloaded.status(), 503);
    /// ```
    pub fn status(self) -> u16 {
        match self {
            Code::BadRequest | Code::KeyRequired => 400,
            Code::Unauthorized => 401,
            Code::BudgetExhausted => 402,
            Code::Forbidden => 403,
            Code::NotFound => 404,
            Code::InProgress | Code::AlreadyClaimed | Code::Conflict => 409,
            Code::KeyExpired => 410,
            Code::TooLarge => 413,
            Code::KeyReused | Code::CrashesTargets => 422,
            Code::Internal => 500,
            // Nobody gets it; the status counts the request in metrics.
            Code::CallerLeft => 499,
            Code::TargetFailed => 502,
            Code::Deadline => 504,
            Code::BudgetUnavailable
            | Code::Overloaded
            | Code::NoTarget
            | Code::StoreUnavailable
            | Code::Stopping => 503,
        }
    }
}

/// A refusal or failure of a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RequestError {
    /// Whether the request may have run.
    pub verdict: Verdict,
    /// Machine-readable reason.
    pub code: Code,
    /// Explanation for people; it holds no prompt, reply or secret.
    pub detail: Arc<str>,
}

impl RequestError {
    /// A refusal: the request did not run.
    ///
    /// # Examples
    ///
    /// ```
    /// use cuminloom::model::{Code, RequestError, Verdict};
    /// let error = RequestError::not_run(Code::NotFound, "no profile \"chat\"");
    /// assert_eq!(error.verdict, Verdict::NotRun);
    /// ```
    pub fn not_run(code: Code, detail: impl Into<Arc<str>>) -> Self {
        Self {
            verdict: Verdict::NotRun,
            code,
            detail: detail.into(),
        }
    }

    /// A failure after the request may have reached a target.
    ///
    /// # Examples
    ///
    /// ```
    /// use cuminloom::model::{Code, RequestError, Verdict};
    /// let error = RequestError::may_have_run(Code::TargetFailed, "connection closed");
    /// assert_eq!(error.verdict, Verdict::MayHaveRun);
    /// ```
    pub fn may_have_run(code: Code, detail: impl Into<Arc<str>>) -> Self {
        Self {
            verdict: Verdict::MayHaveRun,
            code,
            detail: detail.into(),
        }
    }
}

impl fmt::Display for RequestError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "{} ({}): {}",
            self.code.as_str(),
            self.verdict,
            self.detail
        )
    }
}

impl Error for RequestError {}
