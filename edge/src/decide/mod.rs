//! Decisions about a request: pure functions and state machines that do no I/O.
//!
//! Each module names the load pattern that it handles; its test in `tests/decisions.rs` replays
//! that load.

mod availability;
mod brittle;
mod client_account;
mod crash_evidence;
mod even_load;
mod fingerprint;
mod load_view;
mod neighbours;
mod observations;
mod outage;
mod patience;
mod peer_choice;
mod placement;
mod planned_stop;
mod reach;
mod residency;
mod retry;
mod retry_budget;
mod route_times;
mod runner_limits;
mod speeds;
mod turn_order;
mod version_lease;
mod versions;

pub use availability::{
    Availability,
    DownCause,
    LeavingReport,
    Standing,
    View,
    runner_key, //
};
pub use brittle::{
    BrittleServices,
    Place,
    PlaceView,
    Places,
    hold_time,
    mean_load, //
};
pub use client_account::{
    Claim,
    ClientAccount,
    ClientBounds,
    ClientId,
    ProcessLimits,
    Stage, //
};
pub use crash_evidence::{
    Blame,
    BlockChange,
    CrashEvidence,
    FleetTime,
    RunnerKey,
    Suspect,
    SuspectReport,
    UnresolvedReport,
    UnresolvedRequest,
    UnresolvedRequests,
    suspects, //
};
pub use even_load::{
    LoadedCandidate,
    select_even, //
};
pub use fingerprint::{
    Fingerprint,
    fingerprint, //
};
pub use load_view::{
    CautiousLoad,
    KnownLoad,
    LoadView, //
};
pub use neighbours::{
    AskOutcome,
    Distance,
    MAX_ASKED,
    Neighbour,
    Neighbours,
    max_taken, //
};
pub use observations::Observations;
pub use outage::{
    OutageWatch,
    shortest_lapse, //
};
pub use patience::stall_limit;
pub use peer_choice::{
    PeerChoice,
    PeerStanding, //
};
pub use placement::{
    Candidate,
    PromptPart,
    RequestNeeds,
    rendezvous_weight,
    select_runner, //
};
pub use planned_stop::PlannedStop;
pub use reach::{
    Reach,
    ReachChange,
    ReachState, //
};
pub use residency::is_home_region;
pub use retry::{
    FailedAttempt,
    Failure,
    RetryDecision,
    Verdict,
    decide_retry,
    retry_after, //
};
pub use retry_budget::RetryBudget;
pub use route_times::RouteTimes;
pub use runner_limits::{
    ColdLimit,
    LimitReport,
    RunnerLimits,
    Turn,
    count_sharers,
    turn_wait, //
};
pub use speeds::{
    Learned,
    Speeds, //
};
pub use turn_order::{
    TurnOrder,
    TurnPlace, //
};
pub use version_lease::{
    OpenVersions,
    ReadAge,
    VERSION_LEASE, //
};
pub use versions::{
    StreamKey,
    StreamLog,
    StreamReport,
    VersionHistory,
    VersionKey,
    VersionShares,
    stream_key,
    version_key, //
};
