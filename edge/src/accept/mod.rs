//! Callers' connections: accepting them, reading requests within limits, and noticing that a caller
//! leaves while its request is handled.

mod connection;
mod handler;
mod listen;

pub use handler::{
    Handler,
    Rejection, //
    Shutdown,
};
pub(crate) use listen::listen;
pub use listen::{
    Listener,
    bind, //
};
