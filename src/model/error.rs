//! Errors of a request, each with a verdict on whether the request may have run.

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

/// Machine-readable reason of a [`RequestError`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Code {
    /// The request is malformed.
    BadRequest,
    /// The API key is missing or unknown.
    Unauthorized,
    /// The customer may not use this profile or budget.
    Forbidden,
    /// The profile, service or item does not exist.
    NotFound,
    /// The body or a header is too large.
    TooLarge,
    /// The budget has too few free tokens.
    BudgetExhausted,
    /// No tokens can be drawn from the budget at the moment.
    BudgetUnavailable,
    /// The queue is full, or the wait in it would exceed the deadline.
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
    /// The platform's store does not respond.
    StoreUnavailable,
    /// The daemon is stopping or was sealed.
    Stopping,
    /// The caller closed its connection before it got the response.
    CallerLeft,
    /// Another operator changed the item.
    Conflict,
    /// An internal error of the daemon.
    Internal,
}

impl Code {
    /// Name of the code as in response bodies.
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

    /// HTTP status of a response with this code.
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
            // Never sent to the caller; used as the status in metrics.
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

/// Error that refuses or ends a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RequestError {
    /// Whether the request may have run.
    pub verdict: Verdict,
    /// Machine-readable reason.
    pub code: Code,
    /// Human-readable explanation, without prompts, model output or secrets.
    pub detail: Arc<str>,
}

impl RequestError {
    /// Makes the error of a request that did not run.
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

    /// Makes the error of a request that may have reached a target.
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
