//! Interface to the platform: table service, object store and list of VMs.

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

/// A row of the table service, as it was read.
#[derive(Clone, Debug, PartialEq)]
pub struct Row {
    /// Key of the row.
    pub key: Arc<str>,
    /// Version of the row; each write increases it.
    pub version: Version,
    /// Content of the row.
    pub value: Value,
}

/// State that a row must have for a commit to apply.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Precondition {
    /// The row does not exist.
    Absent,
    /// The row has this version.
    Version(Version),
    /// The row may have any state.
    Any,
}

/// What a commit does to a row.
#[derive(Clone, Debug, PartialEq)]
pub enum Change {
    /// Sets the content.
    Put(Value),
    /// Removes the row.
    Delete,
    /// Only checks the precondition; the row stays as it is.
    Check,
}

/// One write in a commit: a row, its precondition and the change.
#[derive(Clone, Debug, PartialEq)]
pub struct Write {
    /// Key of the row.
    pub key: Arc<str>,
    /// State that the row must have for the commit to apply.
    pub precondition: Precondition,
    /// Change to the row.
    pub change: Change,
}

/// Result of a commit that the platform has decided.
#[derive(Clone, Debug, PartialEq)]
pub enum CommitOutcome {
    /// All writes were applied; the new version of each row, 0 for a deleted one.
    Applied(Vec<Version>),
    /// Nothing was applied, because the precondition on `key` did not hold.
    Conflict {
        /// Key of the row whose precondition did not hold.
        key: Arc<str>,
        /// The row as it is now; `None` if it does not exist.
        row: Option<Row>,
    },
}

/// Error of a call to the platform's store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StoreError {
    /// The platform could not be reached or refused the call; nothing was applied.
    Unavailable,
    /// The reply was lost or could not be read; a write may have been applied.
    Unknown,
}

impl fmt::Display for StoreError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            StoreError::Unavailable => "the platform's store is unavailable",
            StoreError::Unknown => "the reply of the platform's store was lost or unreadable",
        })
    }
}

impl Error for StoreError {}

/// Entry in the platform's list of VMs. The list lags behind the actual state.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Vm {
    /// Name of the VM.
    pub name: Arc<str>,
    /// Data centre of the VM.
    pub dc: DataCentre,
    /// Whether the platform is about to remove the VM.
    pub leaving: bool,
}

/// The platform's transactional table service.
pub trait Table {
    /// Reads one row.
    ///
    /// # Errors
    ///
    /// Fails with a [`StoreError`] when no usable reply arrives.
    fn read(&self, key: &str) -> Result<Option<Row>, StoreError>;

    /// Lists at most `limit` rows whose keys start with `prefix` and sort after `after`.
    ///
    /// # Errors
    ///
    /// Fails with a [`StoreError`] when no usable reply arrives.
    fn list(&self, prefix: &str, after: &str, limit: usize) -> Result<Vec<Row>, StoreError>;

    /// Applies all `writes` or none.
    ///
    /// # Errors
    ///
    /// Fails with [`StoreError::Unknown`] when the writes may have been applied.
    fn commit(&self, writes: &[Write]) -> Result<CommitOutcome, StoreError>;
}

/// The platform's object store.
pub trait Objects {
    /// Reads an object.
    ///
    /// # Errors
    ///
    /// Fails with a [`StoreError`] when no usable reply arrives.
    fn get(&self, name: &str) -> Result<Option<Vec<u8>>, StoreError>;

    /// Writes an object unless it exists; returns whether this call wrote it.
    ///
    /// # Errors
    ///
    /// Fails with [`StoreError::Unknown`] when the object may have been written.
    fn put_new(&self, name: &str, body: &[u8]) -> Result<bool, StoreError>;
}

/// The platform's list of VMs.
pub trait VmList {
    /// Reads the list.
    ///
    /// # Errors
    ///
    /// Fails with a [`StoreError`] when no usable reply arrives.
    fn list_vms(&self) -> Result<Vec<Vm>, StoreError>;
}
