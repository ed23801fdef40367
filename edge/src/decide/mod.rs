//! Decisions about a request: pure functions and state machines without input or output.
//!
//! Each module names the load pattern that it answers; its test under `tests/` replays that load.

mod allowance;
mod place;
mod retry;
mod strike;

pub use allowance::Allowance;
pub use place::{
    Candidate,
    Demand,
    Part,
    affinity,
    place, //
};
pub use retry::{
    Failure,
    Next,
    Refusal,
    Verdict,
    after_failure,
    retry_after, //
};
pub use strike::{
    Fingerprint,
    Strikes,
    fingerprint, //
};
