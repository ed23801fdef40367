//! Prepaid budgets: rows, shares, issues, reservations and sizing.
//!
//! For every budget `limit = billed + held + orphaned + free` holds at all times. [`Row`] is the
//! row in the platform's table, and [`Drawer`] decides for one incarnation when to draw from it,
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
    Bills,
    Discrepancy,
    audit, //
};
pub use choice::{
    DRAWERS,
    drawers, //
};
pub use drawer::Drawer;
pub use event::{
    Action,
    Event,
    Mode,
    Reservation,
    Reserve,
    Statement,
    Transfer,
    TransferId, //
};
pub use row::{
    Figures,
    Lowered,
    Record,
    Refusal,
    Row,
    Share, //
};
