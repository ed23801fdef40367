//! Whether a request is sent again after a failed attempt, against lost answers and failing
//! runners.

use std::{
    fmt,
    time::Duration, //
};

use serde::{
    Deserialize,
    Serialize, //
};

use crate::catalog::RetryPolicy;

/// Maximum number of attempts beyond the route's limit that runners may reject without running the
/// request.
const MAX_EXTRA_REJECTED: u32 = 2;

/// Divisor of the latency objective: another attempt needs at least a tenth of it as remaining
/// time.
const MIN_TIME_DIVISOR: u32 = 10;

/// Whether a request may have taken effect, as reported to the caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Verdict {
    /// It has not run and never will; sending it again is safe.
    NotRun,
    /// It may have reached a runner.
    MayHaveRun,
    /// A runner has run and answered it.
    Ran,
}

impl fmt::Display for Verdict {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}

impl Verdict {
    /// Name in log lines, header fields and response bodies.
    ///
    /// # Examples
    ///
    /// ```
    /// use cuminloom_edge::decide::Verdict;
    /// assert_eq!(Verdict::NotRun.as_str(), "not-run");
    /// ```
    pub fn as_str(self) -> &'static str {
        match self {
            Verdict::NotRun => "not-run",
            Verdict::MayHaveRun => "may-have-run",
            Verdict::Ran => "ran",
        }
    }
}

/// How an attempt to send a request to a runner failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Failure {
    /// No connection could be opened; nothing was sent.
    NoConnection,
    /// The runner was not to be used any more when the connection was open; nothing was sent.
    NotSent,
    /// The runner answered that it has not run the request.
    TurnedAway,
    /// The connection ended, or the bytes received were no valid response.
    Broken,
    /// The runner sent nothing within the time limit.
    Silent,
    /// The runner answered with a server error.
    Failed,
}

impl Failure {
    /// Whether the request may have run at this runner.
    pub fn verdict(self) -> Verdict {
        match self {
            Failure::NoConnection | Failure::NotSent | Failure::TurnedAway => Verdict::NotRun,
            Failure::Broken | Failure::Silent => Verdict::MayHaveRun,
            Failure::Failed => Verdict::Ran,
        }
    }

    /// Whether the runner may have received the request.
    pub fn was_sent(self) -> bool {
        !matches!(self, Failure::NoConnection | Failure::NotSent)
    }

    /// Name in log lines.
    pub fn as_str(self) -> &'static str {
        match self {
            Failure::NoConnection => "no-connection",
            Failure::NotSent => "not-sent",
            Failure::TurnedAway => "turned-away",
            Failure::Broken => "broken",
            Failure::Silent => "silent",
            Failure::Failed => "failed",
        }
    }
}

/// What to do after a failed attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RetryDecision {
    /// Send the request to another runner.
    Retry {
        /// Whether the retry counts against the [`RetryBudget`](super::RetryBudget): the failed
        /// runner has received the request.
        uses_budget: bool,
    },
    /// Give up.
    GiveUp,
}

/// State of a request after a failed attempt.
#[derive(Clone, Copy, Debug)]
pub struct FailedAttempt {
    /// How the attempt failed.
    pub failure: Failure,
    /// Retry policy of the route.
    pub retry: RetryPolicy,
    /// Runners that received the request and may have started to run it.
    pub started: u32,
    /// Runners that rejected it without running it.
    pub rejected: u32,
    /// Limit of the route on `started`.
    pub max_attempts: u32,
    /// Time until the deadline of the request.
    pub remaining: Duration,
    /// Latency objective of the route.
    pub objective: Duration,
}

/// Decides whether a request goes to another runner after a failed attempt.
///
/// # Examples
///
/// ```
/// use std::time::Duration;
/// use cuminloom_edge::catalog::RetryPolicy;
/// use cuminloom_edge::decide::{Failure, FailedAttempt, RetryDecision, decide_retry};
///
/// let attempt = FailedAttempt {
///     failure: Failure::Broken,
///     retry: RetryPolicy::Once,
///     started: 1,
///     rejected: 0,
///     max_attempts: 2,
///     remaining: Duration::from_secs(1),
///     objective: Duration::from_secs(1),
/// };
/// assert_eq!(decide_retry(&attempt), RetryDecision::GiveUp);
/// ```
pub fn decide_retry(r: &FailedAttempt) -> RetryDecision {
    if r.remaining < r.objective / MIN_TIME_DIVISOR {
        return RetryDecision::GiveUp;
    }
    match r.failure.verdict() {
        Verdict::NotRun => {
            let attempts = r.started + r.rejected;
            if !r.failure.was_sent() {
                return RetryDecision::Retry { uses_budget: false };
            }
            if attempts >= r.max_attempts + MAX_EXTRA_REJECTED || r.started >= r.max_attempts {
                return RetryDecision::GiveUp;
            }
            RetryDecision::Retry { uses_budget: true }
        }
        Verdict::MayHaveRun | Verdict::Ran => {
            if !r.retry.allows_rerun() || r.started >= r.max_attempts {
                return RetryDecision::GiveUp;
            }
            RetryDecision::Retry { uses_budget: true }
        }
    }
}

/// Value of Retry-After for a caller whose request was not run: `wanted`, but at most a third of
/// the time that `remaining` leaves it.
pub fn retry_after(wanted: Duration, remaining: Duration) -> Duration {
    wanted.min(remaining / 3)
}
