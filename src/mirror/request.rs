//! Operations on the platform that the machines ask for, and their answers.

use std::sync::Arc;

use crate::store::{
    CommitOutcome,
    Objects,
    Row,
    StoreError,
    Table,
    Write, //
};

/// An operation on the platform's tables or objects.
#[derive(Clone, Debug, PartialEq)]
pub enum StoreRequest {
    /// Reads a row.
    Read(Arc<str>),
    /// Lists rows by prefix, after a key, at most so many.
    List(Arc<str>, Arc<str>, usize),
    /// Applies all writes or none.
    Commit(Vec<Write>),
    /// Reads an object.
    Get(Arc<str>),
    /// Writes an object unless it exists.
    Put(Arc<str>, Vec<u8>),
}

/// Answer to a [`Request`].
#[derive(Clone, Debug, PartialEq)]
pub enum StoreReply {
    /// Answer to [`Request::Read`].
    Row(Option<Row>),
    /// Answer to [`Request::List`].
    Rows(Vec<Row>),
    /// Answer to [`Request::Commit`].
    Commit(CommitOutcome),
    /// Answer to [`Request::Get`].
    Object(Option<Vec<u8>>),
    /// Answer to [`Request::Put`]: whether the object was written now.
    Put(bool),
    /// No answer.
    Failed(StoreError),
}

/// Runs a request against the platform.
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
