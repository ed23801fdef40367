//! Prepaid budgets: what this daemon may spend of each customer's tokens.
//!
//! The store holds one row a customer with the tokens that have been committed to daemons in all,
//! and one row a daemon with its part of each. A daemon spends only what its row has *issued*. It
//! turns to the rest of its part, the reserve, after it has reached the store in no write for
//! [`DETACH`]. So the process that follows on the same VM knows from the age of the row whether the
//! reserve can have been touched.

mod grant;
mod ledger;
mod rate;
mod row;

pub use grant::{
    Account,
    Grant, //
};
pub use ledger::{
    Admit,
    Audit,
    BEAT,
    Ledger,
    Plan,
    Spending, //
};
pub use rate::Rate;
pub use row::{
    Batch,
    Commit,
    DaemonRow,
    Expect,
    Row,
    Rows,
    SumRow, //
};
