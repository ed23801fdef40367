//! Accepts connections of callers, reads requests within limits, and cancels a request whose caller
//! closes the connection.

mod clients;
mod connection;
mod handler;
mod listen;

pub(crate) use clients::Client;
pub use clients::Clients;
pub(crate) use connection::serve_connection;
pub use handler::{
    Handler,
    Rejection,
    Shutdown, //
};
pub use listen::{
    Listener,
    bind,
    bind_bounded, //
};
pub(crate) use listen::{
    accept_clients,
    listen, //
};
