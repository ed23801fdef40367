//! Queues, target choice, limits, retries and strikes.
//!
//! [`Router`] is one state machine for all services of a daemon. The daemon offers each request as
//! a [`Job`], executes the [`Action`]s that [`Router::poll`] returns, and reports what the targets
//! did. Time is passed in as a `Duration` since process start, randomness as a seed.

mod choice;
mod dispatch;
mod estimate;
mod handle;
mod outcome;
mod plugin;
mod queue;
mod request;
mod router;
mod service;
mod strikes;
mod view;

use std::{
    net::SocketAddr,
    time::Duration, //
};

pub use handle::{
    Assignment, //
    Handle,
};
pub use router::Router;

use crate::model::{
    CustomerId,
    DataCentre,
    Fault,
    Repeat,
    ServiceId,
    TargetId,
    Urgency,
    Verdict, //
};

/// Parameters of the routing policy.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Data centre of the daemon; its targets are preferred.
    pub dc: DataCentre,
    /// Longest queue of one service, in requests, per urgency.
    pub max_queue: usize,
    /// Longest queue of one customer of a service, in requests, per urgency.
    pub customer_max: usize,
    /// Share of each target's limit that only urgent work may use, from 0 to 1; up to half of it
    /// is given to patient work while there is little urgent work.
    pub headroom: f64,
    /// Share of a service's limits that waiting patient work gets at least, from 0 to 1.
    pub patient_min: f64,
    /// Retries allowed per offered request.
    pub retry_fraction: f64,
    /// Retries that may be saved up.
    pub retry_burst: f64,
    /// Concurrency limit of a target that has reported no capacity yet.
    pub initial_limit: u32,
    /// Largest concurrency limit of a target that reports no capacity.
    pub max_limit: u32,
    /// Cost that a customer of weight 1 may dispatch per round of the deficit round robin.
    pub quantum: u64,
    /// Time until the first probe of a failed target; it doubles with each failed probe.
    pub backoff_min: Duration,
    /// Longest time between probes.
    pub backoff_max: Duration,
    /// How long a strike is remembered, and how long a fingerprint with two is refused.
    pub strike_ttl: Duration,
    /// Number of fingerprints whose strikes are remembered.
    pub max_strikes: usize,
}

impl Settings {
    /// Returns the default parameters for a daemon in `dc`.
    ///
    /// # Examples
    ///
    /// ```
    /// let settings = cuminloom::route::Settings::new("cebu-north".into());
    /// assert!(settings.patient_min < 1.0 - settings.headroom);
    /// ```
    pub fn new(dc: DataCentre) -> Self {
        Self {
            dc,
            max_queue: 2_048,
            customer_max: 1_024,
            headroom: 0.2,
            patient_min: 0.1,
            retry_fraction: 0.1,
            retry_burst: 20.0,
            initial_limit: 4,
            max_limit: 256,
            quantum: 1_000,
            backoff_min: Duration::from_secs(1),
            backoff_max: Duration::from_secs(30),
            strike_ttl: Duration::from_secs(600),
            max_strikes: 4_096,
        }
    }
}

/// One request to be routed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Job {
    /// Number by which the daemon names the request; unique while the request is open.
    pub ticket: u64,
    /// Service that runs the request.
    pub service: ServiceId,
    /// Customer that sent it.
    pub customer: CustomerId,
    /// How urgent it is.
    pub urgency: Urgency,
    /// Whether it may be repeated.
    pub repeat: Repeat,
    /// Time by which the first byte of the answer is due, on the clock of `now`.
    pub deadline: Duration,
    /// Hash of customer and body.
    pub fingerprint: u64,
    /// Hash of the prompt prefix, or 0 for no preference.
    pub affinity: u64,
    /// Expected work, in tokens, for fairness between customers.
    pub cost: u64,
}

/// A target's own account of its load. It may be several seconds old.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Load {
    /// Requests that run, from all daemons.
    pub running: u32,
    /// Requests that wait in the target.
    pub waiting: u32,
    /// Requests that can run at once.
    pub capacity: u32,
    /// Whether the target takes no new work.
    pub leaving: bool,
}

/// How a dispatched request ended; [`AttemptOutcome::Cancelled`] also ends a queued one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptOutcome {
    /// The target gave a complete answer.
    Success,
    /// The target refused the request and did not run it.
    Refused,
    /// No connection to the target was made, so the request did not run.
    Unreachable,
    /// The target crashed. `NotRun`: no byte had left; `MayHaveRun`: no part of the answer has
    /// reached the caller, so an idempotent request can be repeated; `Ran`: part of it has.
    Crashed(Verdict),
    /// The caller disconnected.
    Cancelled,
}

/// A request fingerprint that was running on a target when it crashed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Strike {
    /// Hash of customer and body.
    pub fingerprint: u64,
    /// Target that crashed.
    pub target: TargetId,
}

/// What follows from the end of a request.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct FollowUp {
    /// The router queued the request again; the ticket stays open.
    pub retry: bool,
    /// Strike to send to the linked peers before the caller gets its answer.
    pub strike: Option<Strike>,
}

/// What the daemon has to do for a ticket.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Send the request to the target.
    Dispatch {
        /// Request to send.
        ticket: u64,
        /// Target that runs it.
        target: TargetId,
        /// Where the target listens.
        addr: SocketAddr,
        /// Whether the request already has a strike.
        has_strike: bool,
    },
    /// Answer the caller with the fault; the ticket is closed.
    Refuse {
        /// Request that is refused.
        ticket: u64,
        /// Reason and verdict. After a crash that preceded a retry the verdict is may-have-run.
        fault: Fault,
    },
}

/// Counts for metrics; cumulative except `queued`, `running`, `targets`, `usable` and `strikes`.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Stats {
    /// Requests offered.
    pub offered: u64,
    /// Dispatches, including those of retries.
    pub dispatched: u64,
    /// Requests refused, at the offer or later.
    pub refused: u64,
    /// Retries queued.
    pub retries: u64,
    /// Retries denied by the retry budget.
    pub denied: u64,
    /// Crashes reported for a running request.
    pub crashes: u64,
    /// Requests that wait now.
    pub queued: u64,
    /// Requests that run now.
    pub running: u64,
    /// Targets configured now.
    pub targets: u64,
    /// Targets that take new work now.
    pub usable: u64,
    /// Fingerprints with a strike now.
    pub strikes: u64,
}

/// Mixes two 64-bit values into a hash (the finaliser of SplitMix64).
fn mix(a: u64, b: u64) -> u64 {
    let mut z = a ^ b.wrapping_mul(0x9e37_79b9_7f4a_7c15);
    z = (z ^ (z >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    z = (z ^ (z >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    z ^ (z >> 31)
}

/// Hashes a name (FNV-1a), equal on every daemon.
fn hash_name(name: &str) -> u64 {
    name.bytes().fold(0xcbf2_9ce4_8422_2325, |hash, byte| {
        (hash ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3)
    })
}
