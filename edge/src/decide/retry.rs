//! What happens after a failed send, against lost answers and failing runners.

use std::{
    fmt,
    time::Duration, //
};

use serde::{
    Deserialize,
    Serialize, //
};

use crate::catalog::Repeat;

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
pub enum Next {
    /// Send to another runner; `draws` tells whether it draws on the shared allowance.
    Again {
        /// Whether the runner that failed has received the request.
        draws: bool,
    },
    /// Give up.
    Stop,
}

/// State of a request after a failed send.
#[derive(Clone, Copy, Debug)]
pub struct Refusal {
    /// How the send failed.
    pub failure: Failure,
    /// What may be repeated.
    pub repeat: Repeat,
    /// Runners that received the request and may have begun to work on it.
    pub ran: u32,
    /// Runners that turned it away.
    pub turned: u32,
    /// Limit of the route.
    pub attempts: u32,
    /// Time that is left for the request.
    pub left: Duration,
    /// Time within which its answer is worth most.
    pub objective: Duration,
}

/// Decides whether a request goes to another runner after a failed send.
///
/// # Examples
///
/// ```
/// use std::time::Duration;
/// use cuminloom_edge::catalog::Repeat;
/// use cuminloom_edge::decide::{Failure, Next, Refusal, after_failure};
///
/// let refusal = Refusal {
///     failure: Failure::Broken,
///     repeat: Repeat::Once,
///     ran: 1,
///     turned: 0,
///     attempts: 2,
///     left: Duration::from_secs(1),
///     objective: Duration::from_secs(1),
/// };
/// assert_eq!(after_failure(&refusal), Next::Stop);
/// ```
pub fn after_failure(r: &Refusal) -> Next {
    if r.left < r.objective / LEAST_PART {
        return Next::Stop;
    }
    match r.failure.verdict() {
        Verdict::NotRun => {
            let sends = r.ran + r.turned;
            if r.failure == Failure::NoConnection {
                return Next::Again { draws: false };
            }
            if sends >= r.attempts + EXTRA_TURNED_AWAY || r.ran >= r.attempts {
                return Next::Stop;
            }
            Next::Again { draws: true }
        }
        Verdict::MayHaveRun | Verdict::Ran => {
            if !r.repeat.may_repeat() || r.ran >= r.attempts {
                return Next::Stop;
            }
            Next::Again { draws: true }
        }
    }
}

/// Time after which a caller that was refused as not run is asked to come back: `wanted`, but no
/// more than a third of the time that it has left.
pub fn retry_after(wanted: Duration, left: Duration) -> Duration {
    wanted.min(left / 3)
}
