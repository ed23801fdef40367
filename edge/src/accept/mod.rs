//! Accepts connections of callers, reads requests within limits, and cancels a request whose caller
//! closes the connection.

mod connection;
mod handler;
mod listen;

pub use handler::{
    Handler,
    Rejection,
    Shutdown, //
};
pub(crate) use listen::listen;
pub use listen::{
    Listener,
    bind, //
};
