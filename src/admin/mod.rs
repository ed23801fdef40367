//! Administration API for operators: JSON over HTTP under `/admin/v1/`, on its own listener.
//!
//! Each operator has a bearer token; the settings hold its SHA-256. Edits of items are conditional
//! on an ETag (`If-Match`). A `POST` needs an `idempotency-key`: its result is recorded in the same
//! commit as its effect, so repeating a request whose response was lost has no second effect.
//!
//! [`ctl`] is the command-line client `cuminloomctl`.

mod budgets;
pub mod ctl;
mod fleet;
mod idempotency;
mod items;
mod orders;
mod overview;
mod plugin;
mod reply;
mod request;
mod server;

pub use fleet::{
    DaemonStatus,
    Fleet,
    PeerStatus, //
};
pub use server::{
    AdminOptions,
    AdminServer,
    BindError,
    bind, //
};
