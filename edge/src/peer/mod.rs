//! Protocol between daemons: CBOR messages over WebSocket connections.
//!
//! Daemons query each other for configuration and runners while the store is away, and reserve tokens at
//! the daemons that hold grants.

mod link;
mod message;

pub use link::PeerLink;
pub use message::{
    GrantsKnown,
    PassedLoad,
    PeerEvacuations,
    PeerMessage,
    PeerQuery,
    PeerReply,
    PeerRunner,
    ReserveOutcome,
    ReserveReply,
    ReserveRequest,
    Settlement,
    TextMessage,
    decode,
    decode_text,
    encode,
    encode_for_link,
    encode_text, //
};
