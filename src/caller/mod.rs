//! HTTP interface to callers.
//!
//! CallerListener use the common chat-completions dialect for model engines and plain HTTP under
//! `/s/<profile>/` for plain services. Every refusal and failure states in its status, header and
//! body whether the request may have run.

mod auth;
mod chat;
mod exchange;
mod forward;
mod keyed;
mod plain;
mod plugin;
mod relay;
mod reply;
mod run;
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
