//! Interface to model engines and plain services.
//!
//! Engines speak the common chat-completions dialect; plain services get the request as it came.
//! Every failure says whether the target may have seen the request.

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
