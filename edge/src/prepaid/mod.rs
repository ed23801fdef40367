//! Prepaid budgets: what this daemon may spend of each customer's tokens.
//!
//! The store holds one row a customer with the tokens that have been committed to daemons in all,
//! and one row a daemon with its part of each. While the store accepts its writes, a daemon spends
//! only what its row has *issued*. The rest of its part, the reserve, is released to it by the time
//! since the last accepted write, slowly at first. So the process that follows on the same VM knows
//! from the age of the row how much of the reserve can have been spent at most.

mod audit;
mod grant;
mod ledger;
mod rate;
mod row;

pub use audit::{
    Audit,
    audit, //
};
pub use grant::{
    Account,
    Grant,
    UncertainGrant, //
};
pub use ledger::{
    Admission,
    Ledger,
    Reservation,
    WRITE_INTERVAL,
    WritePlan, //
};
pub use rate::DemandRate;
pub use row::{
    Batch,
    CommitOutcome,
    CustomerRow,
    DaemonRow,
    Precondition,
    Row,
    Rows, //
};
