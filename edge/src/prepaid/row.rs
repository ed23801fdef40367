//! Rows in the store that all daemons share.

use std::{
    collections::BTreeMap,
    net::SocketAddr, //
};

use serde::{
    Deserialize,
    Serialize, //
};

use super::Grant;
use crate::{
    adapter::Era,
    decide::{
        Observations,
        VersionHistory, //
    },
};

/// Largest total of tokens, or time in milliseconds, in a row: sums of many can't overflow, and JSON's numbers
/// are exact up to it.
pub const MAX_TOTAL: u64 = 1 << 53;

/// Row of one daemon; its key is the name of the VM.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct DaemonRow {
    /// Process that wrote the row.
    pub process: u64,
    /// Sequence number of the write within the process.
    pub number: u64,
    /// Newest store time that the process knew when it wrote the row, in milliseconds.
    pub seen: u64,
    /// Address for other daemons.
    pub peer: Option<SocketAddr>,
    /// Data centre of the VM.
    #[serde(default)]
    pub zone: String,
    /// Processor share of the VM, in thousandths of a core.
    #[serde(default)]
    pub capacity: u32,
    /// Whether the daemon is stopping.
    #[serde(default)]
    pub leaving: bool,
    /// Era of the store in which the process wrote the row; `None` in rows of earlier versions.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub era: Option<Era>,
    /// Era in which the process began.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub began: Option<Era>,
    /// Number of processes on this VM that had a row before this one.
    #[serde(default)]
    pub takeovers: u64,
    /// Newest era in which the store has all that this VM knows of the rows of others; `None` in rows of earlier
    /// versions, whose daemons compare nothing.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub reconciled: Option<Era>,
    /// Grants by customer.
    pub grants: BTreeMap<String, Grant>,
    /// Always empty; daemons of the earlier version read it.
    #[serde(default)]
    pub strikes: Vec<(u64, u32)>,
    /// What the daemon tells the others.
    #[serde(default)]
    pub observed: Observations,
}

/// Order in which the processes of one VM write its row: era, process, write.
pub type RowOrder = (Option<Era>, u64, u64);

impl DaemonRow {
    /// Place of the row among all that were written for its VM. It does not depend on the versions of the store.
    pub fn order(&self) -> RowOrder {
        (self.era, self.takeovers, self.number)
    }

    /// Tokens of `customer` that are committed to the daemon.
    pub fn cap(&self, customer: &str) -> u64 {
        self.grants.get(customer).map_or(0, |g| g.cap)
    }

    /// Whether a daemon can have written it.
    pub fn is_plausible(&self) -> bool {
        self.seen <= MAX_TOTAL && self.grants.values().all(Grant::is_plausible)
    }
}

/// Row of one customer; its key is the name of the customer.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct CustomerRow {
    /// Total of the tokens committed to daemons.
    pub committed: u64,
}

impl CustomerRow {
    /// Whether a daemon can have written it.
    pub fn is_plausible(&self) -> bool {
        self.committed <= MAX_TOTAL
    }
}

/// One row as read from the store: name, version and content.
#[derive(Clone, Debug)]
pub enum Row {
    /// Row of a daemon.
    Daemon(String, u64, Box<DaemonRow>),
    /// Row of a customer.
    Customer(String, u64, CustomerRow),
    /// Row of a daemon that can't be decoded: name and version.
    Unreadable(String, u64),
    /// Mark of an era, with its version.
    Era(Era, u64),
    /// Shares of the software versions of a service's runners.
    Versions(String, u64, VersionHistory),
}

impl Row {
    /// Version of the row.
    pub fn version(&self) -> u64 {
        match self {
            Row::Daemon(_, version, _)
            | Row::Customer(_, version, _)
            | Row::Versions(_, version, _) => *version,
            Row::Unreadable(_, version) | Row::Era(_, version) => *version,
        }
    }
}

/// Rows from one read of the store.
#[derive(Clone, Debug, Default)]
pub struct Rows {
    /// The rows.
    pub rows: Vec<Row>,
    /// Monotonic clock of the store, in milliseconds.
    pub now: u64,
    /// Era of the store that answered.
    pub era: Era,
}

/// Name of a row and the version that it must have for a batch to take effect; 0 if it must not
/// exist.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Precondition {
    /// Row of a daemon.
    Daemon(String, u64),
    /// Row of a customer.
    Customer(String, u64),
    /// No mark of this era.
    NoEra(Era),
    /// Shares of the versions of a service's runners.
    Versions(String, u64),
}

/// Writes that the store applies atomically.
#[derive(Clone, Debug, Default)]
pub struct Batch {
    /// Versions that the rows must have.
    pub preconditions: Vec<Precondition>,
    /// New row of the daemon itself.
    pub daemon: Option<(String, DaemonRow)>,
    /// New rows of customers.
    pub customers: Vec<(String, CustomerRow)>,
    /// Eras to mark.
    pub eras: Vec<Era>,
    /// New shares of the versions of services' runners.
    pub versions: Vec<(String, VersionHistory)>,
}

/// Outcome of a batch.
#[derive(Clone, Debug)]
pub enum CommitOutcome {
    /// The batch took effect.
    Done {
        /// Version that all written rows now have.
        version: u64,
        /// Monotonic clock of the store, in milliseconds.
        now: u64,
        /// Era of the store that answered.
        era: Era,
    },
    /// A precondition failed, and nothing was written; contains the current rows.
    Conflict(Rows),
}

impl CommitOutcome {
    /// Era of the store that answered.
    pub fn era(&self) -> Era {
        match self {
            CommitOutcome::Done { era, .. } => *era,
            CommitOutcome::Conflict(rows) => rows.era,
        }
    }
}
