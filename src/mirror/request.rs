//! Platform operations that the state machines ask for, and the replies.

use std::sync::Arc;

use crate::store::{
    CommitOutcome,
    Objects,
    Row,
    StoreError,
    Table,
    Write, //
};

/// An operation on the platform's table service or object store.
#[derive(Clone, Debug, PartialEq)]
pub enum StoreRequest {
    /// Reads a row.
    Read(Arc<str>),
    /// Lists rows: key prefix, key after which the list starts, largest number of rows.
    List(Arc<str>, Arc<str>, usize),
    /// Applies all writes or none.
    Commit(Vec<Write>),
    /// Reads an object.
    Get(Arc<str>),
    /// Writes an object unless it exists.
    Put(Arc<str>, Vec<u8>),
}

/// Reply to a [`StoreRequest`].
#[derive(Clone, Debug, PartialEq)]
pub enum StoreReply {
    /// Reply to [`StoreRequest::Read`].
    Row(Option<Row>),
    /// Reply to [`StoreRequest::List`].
    Rows(Vec<Row>),
    /// Reply to [`StoreRequest::Commit`].
    Commit(CommitOutcome),
    /// Reply to [`StoreRequest::Get`].
    Object(Option<Vec<u8>>),
    /// Reply to [`StoreRequest::Put`]: whether this call wrote the object.
    Put(bool),
    /// The operation failed or its reply was lost.
    Failed(StoreError),
}

/// Runs an operation against the platform's store.
///
/// # Examples
///
/// ```
/// use cuminloom::{
///     mirror::{StoreReply, StoreRequest, execute},
///     store::{HttpStore, StoreError},
/// };
/// let store = HttpStore::new("127.0.0.1:1".parse().unwrap());
/// let reply = execute(&store, &StoreRequest::Read("fence/a.1".into()));
/// assert_eq!(reply, StoreReply::Failed(StoreError::Unavailable));
/// ```
pub fn execute(store: &(impl Table + Objects), request: &StoreRequest) -> StoreReply {
    let reply = match request {
        StoreRequest::Read(key) => store.read(key).map(StoreReply::Row),
        StoreRequest::List(prefix, after, limit) => {
            store.list(prefix, after, *limit).map(StoreReply::Rows)
        }
        StoreRequest::Commit(writes) => store.commit(writes).map(StoreReply::Commit),
        StoreRequest::Get(name) => store.get(name).map(StoreReply::Object),
        StoreRequest::Put(name, body) => store.put_new(name, body).map(StoreReply::Put),
    };
    reply.unwrap_or_else(StoreReply::Failed)
}
