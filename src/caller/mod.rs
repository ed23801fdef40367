//! HTTP interface to callers.
//!
//! Callers send chat-completions requests for model engines and plain HTTP requests under
//! `/s/<profile>/` for plain services. Every error response says in its status, header and body
//! whether the request may have run.

mod auth;
mod chat;
mod completion;
mod exchange;
mod forward;
mod handlers;
mod idempotency;
mod plain;
mod plugin;
mod reply;
mod server;

pub use chat::ChatRequest;
pub(crate) use forward::{
    ForwardedRequest,
    ForwardedResponse,
    PeerMessage,
    PendingForwards,
    run_forwarded, //
};
pub use reply::{
    VERDICT_HEADER,
    error_body, //
};
pub use server::CallerListener;
