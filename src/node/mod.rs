//! One state machine composed of budgets, mirror and bills.
//!
//! A [`Node`] is one daemon process: its current incarnation, sealed incarnations whose requests
//! still run, and the records and seals of the incarnations that it watches.

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
        Reply,
        Request, //
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

/// Who and where the daemon is.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Identity {
    /// Name of the daemon.
    pub daemon: DaemonId,
    /// VM on which it runs.
    pub vm: Arc<str>,
    /// Data centre of the VM.
    pub dc: DataCentre,
    /// Time by which the platform's list of VMs may lag behind reality.
    pub vm_list_lag: Duration,
}

/// A request that asks to be admitted.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AdmissionRequest {
    /// Customer that sent the request.
    pub customer: CustomerId,
    /// Profile of the request.
    pub profile: ProfileId,
    /// Budget that pays.
    pub budget: BudgetId,
    /// Upper bound of the tokens that the request can consume.
    pub bound: Tokens,
}

/// Answer to an admission.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Admission {
    /// The request is admitted; it may be sent when it is ready, see [`Action::Ready`].
    Admitted {
        /// Number of the request.
        seq: Seq,
        /// Whether it may be sent now.
        ready: bool,
    },
    /// Tokens may become available soon; ask again after [`Action::Retry`].
    Wait,
    /// The request is refused as not run.
    Refused(RequestError),
}

/// Input of the node.
#[derive(Clone, Debug)]
pub enum Event {
    /// Answer to [`Action::Store`].
    StoreReply {
        /// Token of the operation.
        token: u64,
        /// The answer.
        reply: Reply,
    },
    /// A message from a peer.
    Message {
        /// Incarnation that sent it.
        from: Incarnation,
        /// The message.
        message: Message,
    },
    /// An incarnation sends heartbeats; it replaces older ones of its daemon.
    PeerUp {
        /// The incarnation.
        inc: Incarnation,
        /// Where it runs.
        peer: Peer,
    },
    /// An incarnation has sent no heartbeat for 3 s.
    PeerDown {
        /// The incarnation.
        inc: Incarnation,
    },
    /// The platform's list of VMs.
    VmList(Vec<Vm>),
}

/// Output of the node.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Run a platform operation and answer with the same token.
    Store {
        /// Token of the operation.
        token: u64,
        /// The operation.
        request: Request,
    },
    /// Send a message to an incarnation; it may be lost, repeated or overtaken.
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
    /// The admitted request will not become ready; it did not run and is finished.
    Refuse {
        /// Number of the request.
        seq: Seq,
        /// Why.
        fault: RequestError,
    },
    /// Admit the requests of this budget that wait again.
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
    /// The platform started or stopped responding.
    PlatformUp(bool),
    /// This daemon sealed a lost incarnation.
    PeerSealed(Incarnation),
    /// All requests and bills of a sealed incarnation of this daemon are accounted for.
    Retired(Incarnation),
}

/// Figures for metrics.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Stats {
    /// Current incarnation.
    pub inc: Incarnation,
    /// Its mode.
    pub mode: Mode,
    /// Its witness.
    pub witness: Option<Incarnation>,
    /// Number of the witness assignment.
    pub epoch: u64,
    /// Whether the platform responds.
    pub platform_up: bool,
    /// Requests that have not finished, over all incarnations of the process.
    pub open_requests: usize,
    /// Requests and bills that are not committed.
    pub unbilled: usize,
    /// Operations that the witness has not acknowledged.
    pub backlog: usize,
    /// Sealed incarnations whose requests or bills are not accounted for.
    pub retiring: usize,
    /// Incarnations that this daemon watches.
    pub watched: usize,
    /// Seals under way.
    pub seals: usize,
    /// Platform operations without an answer.
    pub pending_ops: usize,
}
