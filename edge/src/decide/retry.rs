//! What happens after a failed send, against lost answers and failing runners.

use std::{
    fmt,
    time::Duration, //
};

use serde::{
    Deserialize,
    Serialize, //
};

use crate::catalog::RetryPolicy;

/// Sends beyond the route's limit that runners may turn away as not run.
const EXTRA_TURNED_AWAY: u32 = 2;

/// Shortest time that another send may have left, as a part of the objective.
const LEAST_PART: u32 = 10;

/// Whether a request may have taken effect.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Verdict {
    /// It has not run and never will; repeating it is safe.
    NotRun,
    /// It may have reached a runner.
    MayHaveRun,
    /// A runner has answered it.
    Ran,
}

impl fmt::Display for Verdict {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}

impl Verdict {
    /// Name in log lines, header fields and bodies.
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

/// How a send failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Failure {
    /// No connection could be opened; nothing was sent.
    NoConnection,
    /// The runner said that it has not run the request.
    TurnedAway,
    /// The connection ended or brought something that is no answer.
    Broken,
    /// The runner was silent.
    Silent,
    /// The runner answered with a failure of its own.
    Failed,
}

impl Failure {
    /// Whether the request may have run.
    pub fn verdict(self) -> Verdict {
        match self {
            Failure::NoConnection | Failure::TurnedAway => Verdict::NotRun,
            Failure::Broken | Failure::Silent => Verdict::MayHaveRun,
            Failure::Failed => Verdict::Ran,
        }
    }

    /// Name in log lines.
    pub fn as_str(self) -> &'static str {
        match self {
            Failure::NoConnection => "no-connection",
            Failure::TurnedAway => "turned-away",
            Failure::Broken => "broken",
            Failure::Silent => "silent",
            Failure::Failed => "failed",
        }
    }
}

/// What to do after a failed send.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RetryDecision {
    /// Send to another runner; `draws` tells whether it draws on the shared allowance.
    Retry {
        /// Whether the runner that failed has received the request.
        uses_budget: bool,
    },
    /// Give up.
    GiveUp,
}

/// State of a request after a failed send.
#[derive(Clone, Copy, Debug)]
pub struct FailedAttempt {
    /// How the send failed.
    pub failure: Failure,
    /// What may be repeated.
    pub retry: RetryPolicy,
    /// Runners that received the request and may have begun to work on it.
    pub started: u32,
    /// Runners that turned it away.
    pub rejected: u32,
    /// Limit of the route.
    pub max_attempts: u32,
    /// Time that is left for the request.
    pub remaining: Duration,
    /// Time within which its answer is worth most.
    pub objective: Duration,
}

/// Decides whether a request goes to another runner after a failed send.
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
    if r.remaining < r.objective / LEAST_PART {
        return RetryDecision::GiveUp;
    }
    match r.failure.verdict() {
        Verdict::NotRun => {
            let sends = r.started + r.rejected;
            if r.failure == Failure::NoConnection {
                return RetryDecision::Retry { uses_budget: false };
            }
            if sends >= r.max_attempts + EXTRA_TURNED_AWAY || r.started >= r.max_attempts {
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

/// Time after which a caller that was refused as not run is asked to come back: `wanted`, but no
/// more than a third of the time that it has left.
pub fn retry_after(wanted: Duration, left: Duration) -> Duration {
    wanted.min(left / 3)
}
