//! Decisions about a request: pure functions and state machines that do no I/O.
//!
//! Each module names the load pattern that it handles; its test in `tests/decisions.rs` replays
//! that load.

mod placement;
mod retry;
mod retry_budget;
mod strikes;

pub use placement::{
    Candidate,
    PromptPart,
    RequestNeeds,
    rendezvous_weight,
    select_runner, //
};
pub use retry::{
    FailedAttempt,
    Failure,
    RetryDecision,
    Verdict,
    decide_retry,
    retry_after, //
};
pub use retry_budget::RetryBudget;
pub use strikes::{
    Fingerprint,
    Strikes,
    fingerprint, //
};
