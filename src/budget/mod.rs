//! Prepaid budgets: rows, shares, issues, reservations and sizing.
//!
//! For every budget `limit = billed + held + orphaned + free` holds at all times. [`Row`] is the
//! row in the platform's table, and [`ShareManager`] decides for one incarnation when to draw from it,
//! what to issue and what to return.

mod audit;
mod budget_state;
mod event;
mod row;
mod row_ops;
mod selection;
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
