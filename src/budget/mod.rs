//! Prepaid budgets: rows, shares, issues, reservations and sizing.
//!
//! For every budget `limit = billed + held + orphaned + free` holds at all times. [`Row`] is the
//! row in the platform's table, and [`ShareManager`] decides for one incarnation when to draw from it,
//! what to issue and what to return.

mod audit;
mod change;
mod choice;
mod drawer;
mod event;
mod row;
mod slot;
mod transfer;
mod work;

pub use audit::{
    Audit,
    BilledTokens,
    Discrepancy,
    audit, //
};
pub use choice::{
    MAX_DRAWING_DAEMONS,
    drawing_daemons, //
};
pub use drawer::ShareManager;
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
