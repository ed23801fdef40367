//! Serving callers: connections, the way of a request to a runner, and the answer.

mod answer;
mod call;
mod choose;
mod core;
mod exchange;
mod handle;
mod ready;
mod relay;
mod send;
mod tokens;
mod upstream;

pub use self::core::{
    Bounds,
    Core, //
};
pub use ready::bind_ready;
pub use upstream::Upstream;
