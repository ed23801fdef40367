//! Operation log to the witness, the witness's records, and the seal of a lost incarnation.

mod choose;
mod fence;
mod log;
mod op;
mod pair;
mod request;
mod seal;
mod state;
mod step;
mod witness;

pub use choose::{
    Peer,
    choose, //
};
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
pub use request::{
    Reply,
    Request,
    run, //
};
pub use state::{
    Snapshot,
    State, //
};

pub(crate) use pair::Pair;
pub(crate) use seal::Seal;
pub(crate) use witness::Witness;

/// What a part of the mirror asks its owner to do.
#[derive(Debug)]
pub(crate) enum Out {
    /// Sends a message to an incarnation.
    Send(crate::model::Incarnation, Message),
    /// Runs a platform operation; at most one is pending per machine.
    Request(Request),
}
