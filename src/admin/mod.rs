//! Border to operators: JSON over HTTP under `/admin/v1/`, on a listener of its own.
//!
//! Each operator has a token, of which the settings hold the SHA-256. Items are edited with
//! `If-Match` and an ETag. A `POST` needs an `idempotency-key`: its result is recorded in the same
//! commit as its effect, so repeating a request whose answer was lost has no second effect.
//!
//! [`ctl`] is the client that `cuminloomctl` runs.

mod budgets;
pub mod ctl;
mod fleet;
mod items;
mod orders;
mod overview;
mod plugin;
mod recent;
mod reply;
mod request;
mod server;

pub use fleet::{
    DaemonStatus, //
    Fleet,
    PeerStatus,
};
pub use server::{
    AdminOptions,
    AdminServer,
    BindError,
    bind, //
};
