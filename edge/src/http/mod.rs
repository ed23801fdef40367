//! HTTP/1.1 framing over TCP for both sides of the data plane.
//!
//! Heads are parsed by `httparse`. The framing of bodies is decided here, because a relay has to see
//! what client libraries hide: both framings at once, an answer that belongs to an earlier request on
//! the same connection, and a close that came before the last byte.

mod body;
mod event;
mod head;
mod link;

pub use body::{
    Decoder,
    Framing,
    push_chunk, //
};
pub use event::{
    Event,
    EventBuffer, //
};
pub use head::{
    Fields,
    HeadFault,
    RequestHead,
    ResponseHead,
    parse_request,
    parse_response,
    reason, //
};
pub use link::{
    Link,
    LinkFault,
    limit_silence,
    prepare,
    read_some,
    reset_on_drop,
    write_all, //
};
