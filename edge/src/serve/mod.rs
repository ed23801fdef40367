//! Serving callers: connections, the way of a request to a runner, and the answer.

mod answer;
mod call;
mod choose;
mod client;
mod core;
mod exchange;
mod listen;
mod ready;
mod relay;
mod send;
mod tokens;
mod upstream;

pub use self::core::{
    Bounds,
    Core, //
};
pub use listen::{
    Listener,
    bind, //
};
pub use ready::bind_ready;
pub use upstream::Upstream;
