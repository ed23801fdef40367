//! Request routing: queues, target selection, concurrency limits, retries and crash strikes.
//!
//! [`Router`] is one state machine for all services of a daemon. The daemon offers each request as
//! a [`Job`], executes the [`Action`]s that [`Router::poll`] returns, and reports the outcome of
//! each attempt. The router does no I/O: time is passed in as a `Duration` since process start, and
//! the random generator is seeded by the caller.

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
    Assignment,
    Handle, //
};
pub use router::Router;

use crate::model::{
    CustomerId,
    DataCentre,
    RequestError,
    RetryPolicy,
    ServiceId,
    TargetId,
    Urgency,
    Verdict, //
};

/// Parameters of the routing policy.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Data centre of the daemon; targets in it are preferred.
    pub dc: DataCentre,
    /// Maximum length of a service's queue, in requests, per urgency.
    pub max_queue: usize,
    /// Maximum number of requests that one customer may have in a service's queue, per urgency.
    pub customer_max: usize,
    /// Share of each target's limit that is reserved for urgent work, from 0 to 1; up to half of it
    /// is released to patient work while there is little urgent work.
    pub headroom: f64,
    /// Minimum share of a service's limits for patient work that is queued, from 0 to 1.
    pub patient_min: f64,
    /// Retries allowed per offered request, as a fraction.
    pub retry_fraction: f64,
    /// Maximum number of unused retries that accumulate.
    pub retry_burst: f64,
    /// Initial concurrency limit of a target that has not reported its capacity.
    pub initial_limit: u32,
    /// Maximum concurrency limit of a target that reports no capacity.
    pub max_limit: u32,
    /// Cost that a customer of weight 1 may dispatch per round of the deficit round robin, in
    /// tokens.
    pub quantum: u64,
    /// Delay before the first probe of a failed target; it doubles with each failed probe.
    pub backoff_min: Duration,
    /// Maximum delay between probes.
    pub backoff_max: Duration,
    /// Lifetime of a strike, and of the refusal of a fingerprint with two strikes.
    pub strike_ttl: Duration,
    /// Maximum number of fingerprints whose strikes are stored.
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

/// A request to be routed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Job {
    /// Identifier of the request at this daemon; unique while the request is open.
    pub ticket: u64,
    /// Service that runs the request.
    pub service: ServiceId,
    /// Customer that sent it.
    pub customer: CustomerId,
    /// Priority class of the request.
    pub urgency: Urgency,
    /// Whether the request may be sent again after it may have run.
    pub repeat: RetryPolicy,
    /// Deadline for the first byte of the response, on the same clock as `now`.
    pub deadline: Duration,
    /// Hash of customer and request body.
    pub fingerprint: u64,
    /// Hash of the prompt prefix, for cache affinity; 0 for no preference.
    pub affinity: u64,
    /// Expected work in tokens, charged to the customer in the fair queue.
    pub cost: u64,
}

/// Load that a target reports. A report may be several seconds old.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Load {
    /// Running requests, from all daemons.
    pub running: u32,
    /// Requests in the target's own queue.
    pub waiting: u32,
    /// Maximum number of requests that run at once.
    pub capacity: u32,
    /// Whether the target is shutting down and accepts no new work.
    pub leaving: bool,
}

/// Outcome of an attempt to run a request on a target. [`AttemptOutcome::Cancelled`] also removes a
/// queued request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptOutcome {
    /// The target sent a complete response.
    Success,
    /// The target rejected the request without running it.
    Refused,
    /// The connection to the target failed, so the request did not run.
    Unreachable,
    /// The target crashed. `NotRun`: no byte of the request had been sent; `MayHaveRun`: no part of
    /// the response has reached the caller, so an idempotent request can be repeated; `Ran`: part
    /// of the response has reached the caller.
    Crashed(Verdict),
    /// The caller closed its connection.
    Cancelled,
}

/// Record that a request was running on a target when the target crashed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Strike {
    /// Fingerprint of the request, as in [`Job::fingerprint`].
    pub fingerprint: u64,
    /// Target that crashed.
    pub target: TargetId,
}

/// What the daemon must do after an attempt ended.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct FollowUp {
    /// The request is queued again under the same ticket.
    pub retry: bool,
    /// Strike to send to the linked peers before the caller gets its response.
    pub strike: Option<Strike>,
}

/// An instruction of the router to the daemon.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Send a request to a target.
    Dispatch {
        /// Ticket of the request.
        ticket: u64,
        /// Target that is to run it.
        target: TargetId,
        /// Address of the target.
        addr: SocketAddr,
        /// Whether the request already has a strike.
        has_strike: bool,
    },
    /// Respond to the caller with the fault; the ticket is closed.
    Refuse {
        /// Ticket of the request.
        ticket: u64,
        /// Reason and verdict; the verdict is may-have-run if an earlier attempt ended in a crash.
        fault: RequestError,
    },
}

/// Counts for metrics: cumulative, except the gauges `queued`, `running`, `targets`, `usable` and
/// `strikes`.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Stats {
    /// Requests offered.
    pub offered: u64,
    /// Dispatches, including those of retries.
    pub dispatched: u64,
    /// Requests refused, on arrival or from the queue.
    pub refused: u64,
    /// Retries queued.
    pub retries: u64,
    /// Retries denied by the retry budget.
    pub denied: u64,
    /// Crashes reported for a running request.
    pub crashes: u64,
    /// Requests that are queued now.
    pub queued: u64,
    /// Requests that are running now.
    pub running: u64,
    /// Targets configured now.
    pub targets: u64,
    /// Targets that accept new work now.
    pub usable: u64,
    /// Fingerprints that have a strike now.
    pub strikes: u64,
}

/// Hashes two 64-bit values with the finalizer of SplitMix64.
fn mix(a: u64, b: u64) -> u64 {
    let mut z = a ^ b.wrapping_mul(0x9e37_79b9_7f4a_7c15);
    z = (z ^ (z >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    z = (z ^ (z >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    z ^ (z >> 31)
}

/// Hashes a name with FNV-1a, so that all daemons get the same value.
fn hash_name(name: &str) -> u64 {
    name.bytes().fold(0xcbf2_9ce4_8422_2325, |hash, byte| {
        (hash ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3)
    })
}
