//! Prepaid budgets: how many of each customer's tokens this daemon may spend.
//!
//! The store holds one row per customer with the total of the tokens committed to daemons, and one
//! row per daemon with its [`Grant`] of each customer. While the store accepts its writes, a daemon
//! spends only what its row has *issued*. The rest of its grant, the *reserve*, is released to it
//! with the time since the last accepted write, linearly with its demand. The successor process on the same
//! VM can therefore tell from the age of the row how much of the reserve can have been spent at
//! most.

mod audit;
mod grant;
mod holders;
mod ledger;
mod pacing;
mod rate;
mod release;
mod row;
mod whereabouts;

pub use audit::{
    Audit,
    audit, //
};
pub use grant::{
    Account,
    DatedGrant,
    Grant,
    OwnGrant, //
};
pub use holders::{
    Member,
    choose_holders,
    rank_holders, //
};
pub use ledger::{
    Admission,
    GrantNotice,
    Ledger,
    Reservation,
    RunningMember,
    WRITE_INTERVAL,
    WritePlan,
    WriteScope, //
};
pub use pacing::{
    Pacing,
    read_interval,
    write_interval, //
};
pub use rate::DemandRate;
pub use release::LinearRelease;
pub use row::{
    Batch,
    CommitOutcome,
    CustomerRow,
    DaemonRow,
    MAX_TOTAL,
    Precondition,
    Row,
    RowOrder,
    Rows, //
};
pub use whereabouts::{
    TokenPlace,
    Whereabouts, //
};
