//! Border to the platform: table service, object store and list of VMs.

mod http;

use std::{
    error::Error,
    fmt,
    sync::Arc, //
};

use serde_json::Value;

use crate::model::{
    DataCentre,
    Version, //
};

pub use http::HttpStore;

/// A table row.
#[derive(Clone, Debug, PartialEq)]
pub struct Row {
    /// Key of the row.
    pub key: Arc<str>,
    /// Version of the row, raised by each write.
    pub version: Version,
    /// Content of the row.
    pub value: Value,
}

/// Expected state of a row before a commit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Precondition {
    /// The row does not exist.
    Absent,
    /// The row has this version.
    Version(Version),
    /// Any state.
    Any,
}

/// What a commit does to a row.
#[derive(Clone, Debug, PartialEq)]
pub enum Change {
    /// Sets the content.
    Put(Value),
    /// Removes the row.
    Delete,
    /// Only checks the expectation.
    Check,
}

/// One write of a commit.
#[derive(Clone, Debug, PartialEq)]
pub struct Write {
    /// Key of the row.
    pub key: Arc<str>,
    /// State that the row must have for the commit to apply.
    pub precondition: Precondition,
    /// Change to the row.
    pub change: Change,
}

/// Answer to a commit.
#[derive(Clone, Debug, PartialEq)]
pub enum CommitOutcome {
    /// All writes were applied; the new version of each row, 0 for a deleted one.
    Applied(Vec<Version>),
    /// Nothing was applied, because the expectation on `key` did not hold.
    Conflict {
        /// Key whose expectation did not hold.
        key: Arc<str>,
        /// The row as it is.
        row: Option<Row>,
    },
}

/// A failed exchange with the platform.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StoreError {
    /// The platform was not reached or refused; certainly nothing was applied.
    Unavailable,
    /// The answer was lost; a write may have been applied.
    Unknown,
}

impl fmt::Display for StoreError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            StoreError::Unavailable => "the platform's store is unavailable",
            StoreError::Unknown => "the answer of the platform's store was lost",
        })
    }
}

impl Error for StoreError {}

/// State of a VM in the platform's list, which lags behind reality.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Vm {
    /// Name of the VM.
    pub name: Arc<str>,
    /// Data centre in which it stands.
    pub dc: DataCentre,
    /// Whether it is about to leave.
    pub leaving: bool,
}

/// The transactional table service.
pub trait Table {
    /// Reads one row.
    ///
    /// # Errors
    ///
    /// Fails with a [`StoreError`] when no answer arrives.
    fn read(&self, key: &str) -> Result<Option<Row>, StoreError>;

    /// Lists at most `limit` rows whose keys start with `prefix` and sort after `after`.
    ///
    /// # Errors
    ///
    /// Fails with a [`StoreError`] when no answer arrives.
    fn list(&self, prefix: &str, after: &str, limit: usize) -> Result<Vec<Row>, StoreError>;

    /// Applies all `writes` or none.
    ///
    /// # Errors
    ///
    /// Fails with [`StoreError::Unknown`] when the writes may have been applied.
    fn commit(&self, writes: &[Write]) -> Result<CommitOutcome, StoreError>;
}

/// The object store.
pub trait Objects {
    /// Reads an object.
    ///
    /// # Errors
    ///
    /// Fails with a [`StoreError`] when no answer arrives.
    fn get(&self, name: &str) -> Result<Option<Vec<u8>>, StoreError>;

    /// Writes an object unless it exists; returns whether it was written now.
    ///
    /// # Errors
    ///
    /// Fails with [`StoreError::Unknown`] when the object may have been written.
    fn put_new(&self, name: &str, body: &[u8]) -> Result<bool, StoreError>;
}

/// The list of VMs.
pub trait VmList {
    /// Reads the list.
    ///
    /// # Errors
    ///
    /// Fails with a [`StoreError`] when no answer arrives.
    fn list_vms(&self) -> Result<Vec<Vm>, StoreError>;
}
