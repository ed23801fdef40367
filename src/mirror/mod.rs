//! Mirroring of a daemon's operation log to a witness, and the sealing of lost incarnations.
//!
//! An incarnation is one start of a daemon. It sends each operation to its witness, another daemon,
//! which keeps a record of the incarnation's state (`Witness`). If the incarnation is lost, the
//! witness seals it: it writes the final account to the platform, so that the tokens of the
//! incarnation are neither lost nor spent twice (`SealTask`).

mod fence;
mod log;
mod op;
mod peer;
mod primary;
mod request;
mod seal;
mod seal_step;
mod state;
mod witness;

pub use fence::{
    Fence,
    SealedBy,
    fence_key,
    ledger_key, //
};
pub use op::{
    Message,
    Op, //
};
pub use peer::{
    Peer,
    choose_peer, //
};
pub use request::{
    StoreReply,
    StoreRequest,
    execute, //
};
pub use state::{
    LogState,
    Snapshot, //
};

pub(crate) use primary::Primary;
pub(crate) use seal::SealTask;
pub(crate) use witness::Witness;

/// What a state machine of the mirror asks its owner to do.
#[derive(Debug)]
pub(crate) enum Output {
    /// Sends a message to an incarnation.
    Send(crate::model::Incarnation, Message),
    /// Runs a platform operation; each state machine has at most one pending.
    Request(StoreRequest),
}
