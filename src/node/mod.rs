//! State machine of a daemon process that combines budgets, mirror and bills.
//!
//! A [`Node`] holds the current incarnation of the process, its sealed incarnations whose requests or
//! bills are not yet accounted for, and the mirror records of the incarnations for which it is the
//! witness.

mod handle;
mod health;
mod incarnation;
mod plugin;
mod process;
mod retire;
mod scan;

use std::{
    sync::Arc,
    time::Duration, //
};

use crate::{
    budget::Mode,
    mirror::{
        Message,
        Peer,
        StoreReply,
        StoreRequest, //
    },
    model::{
        BudgetId,
        CustomerId,
        DaemonId,
        DataCentre,
        Incarnation,
        ProfileId,
        RequestError,
        Seq,
        Tokens, //
    },
    store::Vm,
};

pub use handle::{
    Handle,
    Outbox, //
};
pub use process::{
    Node,
    budget_key, //
};

/// Name and location of a daemon.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Identity {
    /// Name of the daemon.
    pub daemon: DaemonId,
    /// VM on which it runs.
    pub vm: Arc<str>,
    /// Data centre of the VM.
    pub dc: DataCentre,
    /// Longest time by which the platform's list of VMs may be out of date.
    pub vm_list_lag: Duration,
}

/// A request that asks to be admitted.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AdmissionRequest {
    /// Customer that sent the request.
    pub customer: CustomerId,
    /// Profile of the request.
    pub profile: ProfileId,
    /// Budget that the request is charged to.
    pub budget: BudgetId,
    /// Most tokens that the request can consume.
    pub bound: Tokens,
}

/// Outcome of an admission.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Admission {
    /// The request is admitted. It may be sent once it is ready, see [`Action::Ready`].
    Admitted {
        /// Number of the request.
        seq: Seq,
        /// Whether it may be sent at once.
        ready: bool,
    },
    /// Tokens may become available soon; try again after [`Action::Retry`].
    Wait,
    /// The request is refused and was not run.
    Refused(RequestError),
}

/// Input of the node.
#[derive(Clone, Debug)]
pub enum Event {
    /// Reply to [`Action::Store`].
    StoreReply {
        /// Token of the operation.
        token: u64,
        /// The reply.
        reply: StoreReply,
    },
    /// A message from a peer.
    Message {
        /// Incarnation that sent it.
        from: Incarnation,
        /// The message.
        message: Message,
    },
    /// An incarnation has started to send heartbeats; it replaces older ones of its daemon.
    PeerUp {
        /// The incarnation.
        inc: Incarnation,
        /// VM and data centre of the incarnation.
        peer: Peer,
    },
    /// An incarnation has sent no heartbeat for 3 s.
    PeerDown {
        /// The incarnation.
        inc: Incarnation,
    },
    /// The platform's list of VMs was read.
    VmList(Vec<Vm>),
}

/// Output of the node.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Run a store operation and return its result with the same token.
    Store {
        /// Token of the operation.
        token: u64,
        /// The operation.
        request: StoreRequest,
    },
    /// Send a message to an incarnation. Messages may be lost, duplicated or reordered.
    Send {
        /// Receiver.
        to: Incarnation,
        /// The message.
        message: Message,
    },
    /// The admitted request may be sent to its target now.
    Ready {
        /// Number of the request.
        seq: Seq,
    },
    /// The admitted request will not become ready. It was not run and must not be finished.
    Refuse {
        /// Number of the request.
        seq: Seq,
        /// Reason for the refusal.
        fault: RequestError,
    },
    /// Retry the admission of the requests that wait for this budget.
    Retry {
        /// Budget whose state changed.
        budget: BudgetId,
    },
    /// A state change for the log.
    Change(StateChange),
    /// The planned stop is complete.
    Stopped,
}

/// A state change for the log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StateChange {
    /// A new incarnation started; heartbeats carry its name from now on.
    Started(Incarnation),
    /// The mode of an incarnation changed.
    Mode(Incarnation, Mode),
    /// Whether the platform responds has changed; `true` when it responds again.
    PlatformUp(bool),
    /// This daemon sealed the lost incarnation of a peer.
    PeerSealed(Incarnation),
    /// All requests and bills of a sealed incarnation of this daemon have been accounted for.
    Retired(Incarnation),
}

/// Counts and state of the node for metrics.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Stats {
    /// Current incarnation.
    pub inc: Incarnation,
    /// Mode of the incarnation.
    pub mode: Mode,
    /// Witness of the incarnation.
    pub witness: Option<Incarnation>,
    /// Number of the witness assignment; it rises with each new witness.
    pub epoch: u64,
    /// Whether the platform responds.
    pub platform_up: bool,
    /// Unfinished requests of all incarnations of the process.
    pub open_requests: usize,
    /// Requests and bills that have not been committed.
    pub unbilled: usize,
    /// Mirrored operations that the witness has not acknowledged.
    pub backlog: usize,
    /// Sealed incarnations of this process that have not been accounted for.
    pub retiring: usize,
    /// Incarnations for which this daemon is the witness.
    pub watched: usize,
    /// Seals in progress.
    pub seals: usize,
    /// Platform operations that have not been answered.
    pub pending_ops: usize,
}
