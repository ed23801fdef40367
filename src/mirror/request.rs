//! Operations on the platform that the machines ask for, and their answers.

use std::sync::Arc;

use crate::store::{
    Objects,
    Outcome,
    Row,
    StoreFault,
    Table,
    Write, //
};

/// An operation on the platform's tables or objects.
#[derive(Clone, Debug, PartialEq)]
pub enum Request {
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
pub enum Reply {
    /// Answer to [`Request::Read`].
    Row(Option<Row>),
    /// Answer to [`Request::List`].
    Rows(Vec<Row>),
    /// Answer to [`Request::Commit`].
    Commit(Outcome),
    /// Answer to [`Request::Get`].
    Object(Option<Vec<u8>>),
    /// Answer to [`Request::Put`]: whether the object was written now.
    Put(bool),
    /// No answer.
    Failed(StoreFault),
}

/// Runs a request against the platform.
///
/// # Examples
///
/// ```
/// use cuminloom::{
///     mirror::{Reply, Request, run},
///     store::{HttpStore, StoreFault},
/// };
/// let store = HttpStore::open("127.0.0.1:1".parse().unwrap());
/// let reply = run(&store, &Request::Read("fence/a.1".into()));
/// assert_eq!(reply, Reply::Failed(StoreFault::Unavailable));
/// ```
pub fn run(store: &(impl Table + Objects), request: &Request) -> Reply {
    let reply = match request {
        Request::Read(key) => store.read(key).map(Reply::Row),
        Request::List(prefix, after, limit) => store.list(prefix, after, *limit).map(Reply::Rows),
        Request::Commit(writes) => store.commit(writes).map(Reply::Commit),
        Request::Get(name) => store.get(name).map(Reply::Object),
        Request::Put(name, body) => store.put_new(name, body).map(Reply::Put),
    };
    reply.unwrap_or_else(Reply::Failed)
}
