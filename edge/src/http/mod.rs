//! HTTP/1.1 over TCP, for connections to callers, to runners and to the store.
//!
//! Heads are parsed by `httparse`. Body framing is implemented here, because a relay has to detect
//! what client libraries hide: both framings at once, a response that belongs to an earlier request
//! on the same connection, and a close before the last byte.

mod body;
mod client;
mod connection;
mod event;
mod head;
mod link;

pub use body::{
    BodyDecoder,
    Framing,
    push_chunk, //
};
pub use client::{
    Call,
    CallError,
    Client,
    ClientLimits,
    ServerAnswer, //
};
pub use connection::{
    Connection,
    ConnectionError,
    configure_stream,
    read_exact,
    read_some,
    reset_on_drop,
    set_user_timeout,
    write_all, //
};
pub use event::{
    Event,
    EventBuffer, //
};
pub use head::{
    Fields,
    ParseError,
    RequestHead,
    ResponseHead,
    parse_request,
    parse_response,
    reason_phrase, //
};
pub use link::LinkActivity;
