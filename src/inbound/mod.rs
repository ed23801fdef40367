//! HTTP listeners that handle each request in its own thread.
//!
//! The connections are event-driven and use the code of the edge daemon ([`cuminloom_edge::accept`]): a
//! slow or idle caller occupies no thread, and the limits on heads and bodies apply. `tiny_http` is
//! not used, because its pool counts a thread as idle until the thread has woken up: of two
//! connections that arrive at once, one can wait as long as the other is slow.

mod listener;
mod request;

pub(crate) use listener::{
    HttpService,
    Listener,
    rejection_error, //
};
pub(crate) use request::{
    CallerGone,
    EventStream,
    Reply,
    Request, //
};
