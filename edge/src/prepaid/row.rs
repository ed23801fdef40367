//! Rows of the store that the daemons share.

use std::{
    collections::BTreeMap,
    net::SocketAddr, //
};

use serde::{
    Deserialize,
    Serialize, //
};

use super::Grant;

/// Row of one daemon, under the name of its VM.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct DaemonRow {
    /// Process that wrote the row.
    pub process: u64,
    /// Number of the write, counted by the process.
    pub number: u64,
    /// Newest time of the store that the process knew, in milliseconds.
    pub seen: u64,
    /// Address at which other daemons reach it.
    pub peer: Option<SocketAddr>,
    /// Whether it is stopping.
    #[serde(default)]
    pub leaving: bool,
    /// Grants by customer.
    pub grants: BTreeMap<String, Grant>,
    /// Requests that crashed runners, with the number of crashes.
    #[serde(default)]
    pub strikes: Vec<(u64, u32)>,
}

/// Row of one customer.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct CustomerRow {
    /// Tokens that were committed to daemons in all.
    pub committed: u64,
}

/// One row as it was read.
#[derive(Clone, Debug)]
pub enum Row {
    /// A daemon's.
    Daemon(String, u64, DaemonRow),
    /// A customer's.
    Customer(String, u64, CustomerRow),
}

/// All rows as of one moment.
#[derive(Clone, Debug, Default)]
pub struct Rows {
    /// The rows.
    pub rows: Vec<Row>,
    /// Steady clock of the store, in milliseconds.
    pub now: u64,
}

/// Version that a row must have for a write to take effect; 0 if it must not exist.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Precondition {
    /// A daemon's row.
    Daemon(String, u64),
    /// A customer's row.
    Customer(String, u64),
}

/// Writes that take effect together or not at all.
#[derive(Clone, Debug, Default)]
pub struct Batch {
    /// Versions that must hold.
    pub preconditions: Vec<Precondition>,
    /// The daemon's own row.
    pub daemon: Option<(String, DaemonRow)>,
    /// Customers' rows.
    pub customers: Vec<(String, CustomerRow)>,
}

/// Outcome of a batch.
#[derive(Clone, Debug)]
pub enum CommitOutcome {
    /// It took effect.
    Done {
        /// Version that all written rows now have.
        version: u64,
        /// Steady clock of the store, in milliseconds.
        now: u64,
    },
    /// A version did not hold; the rows as they are.
    Conflict(Rows),
}
