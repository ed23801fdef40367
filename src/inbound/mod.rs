//! HTTP listeners whose requests are handled by a thread each.
//!
//! The connections themselves are event-driven and shared with the data plane of the users'
//! machines ([`cuminloom_edge::accept`]): a slow or idle caller holds no thread, and limits on heads
//! and bodies hold. `tiny_http` is not used, because its pool counts a thread as idle until the thread
//! has woken: of two connections that arrive at once one can wait for as long as the other is slow.

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
