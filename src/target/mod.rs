//! HTTP client of the targets: model engines and plain services.
//!
//! Engines get chat-completions requests; plain services get the caller's request unchanged. Every
//! error says whether the target may have run the request.

mod event;
mod load;
mod order;
mod send;

pub use event::{
    EventReader,
    StreamEvent, //
};
pub use load::fetch_load;
pub use order::{
    Order,
    OrderOutcome,
    send_order, //
};
pub use send::{
    Method,
    Reply,
    TargetRequest,
    send_request, //
};
