//! Operation log to the witness, the witness's records, and the seal of a lost incarnation.

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
    LogState, //
    Snapshot,
};

pub(crate) use primary::Primary;
pub(crate) use seal::SealTask;
pub(crate) use witness::Witness;

/// What a part of the mirror asks its owner to do.
#[derive(Debug)]
pub(crate) enum Output {
    /// Sends a message to an incarnation.
    Send(crate::model::Incarnation, Message),
    /// Runs a platform operation; at most one is pending per machine.
    Request(StoreRequest),
}
