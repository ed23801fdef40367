//! Prepaid token budgets: budget rows, shares of daemons, issued tokens, reservations and sizing.
//!
//! For every budget `limit = billed + held + orphaned + free` holds at all times; this is the
//! *identity* of the budget. [`Row`] is the row in the platform's table. [`ShareManager`] decides
//! for one incarnation of a daemon when to draw tokens from the row into its share, how many of
//! them requests may spend (*issued* tokens, which the witness has acknowledged) and which tokens
//! to return.

mod audit;
mod budget_state;
mod event;
mod row;
mod row_ops;
mod selection;
mod share_events;
mod share_manager;
mod share_work;
mod transfer;

pub use audit::{
    Audit,
    BilledTokens,
    Discrepancy,
    audit, //
};
pub use event::{
    Action,
    Event,
    Mode,
    Reservation,
    ReserveOutcome,
    ShareState,
    Transfer,
    TransferId, //
};
pub use row::{
    Breakdown,
    LoweredLimit,
    Row,
    RowError,
    SealRecord,
    Share, //
};
pub use selection::{
    MAX_DRAWING_DAEMONS,
    drawing_daemons, //
};
pub use share_manager::ShareManager;
