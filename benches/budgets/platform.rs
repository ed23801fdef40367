//! The fake platform: names of budgets, budget rows, and the execution of calls.

use cuminloom::{
    budget::Row,
    mirror::{
        StoreReply,
        StoreRequest, //
    },
    node::budget_key,
    store::{
        Change,
        Precondition,
        Write, //
    },
};
use cuminloom_standins::store::MemStore;

/// Name of a budget, given by its number.
pub(crate) fn budget_name(budget: usize) -> String {
    format!("b{budget}")
}

/// Whether a write is one of a budget row.
pub(crate) fn is_budget_write(write: &Write) -> bool {
    write.key.starts_with("budget/")
}

/// Reads a budget row, which must exist.
pub(crate) fn read_row(store: &MemStore, budget: usize) -> Row {
    let row = store
        .read(&budget_key(&budget_name(budget)))
        .expect("the row exists");
    Row::try_from(row.value).expect("the row keeps its identity")
}

/// Writes a budget row without a check of its version.
pub(crate) fn put_row(store: &mut MemStore, budget: usize, row: &Row) {
    store.commit(&[Write {
        key: budget_key(&budget_name(budget)),
        precondition: Precondition::Any,
        change: Change::Put(row.into()),
    }]);
}

/// Executes a call of a daemon to the platform.
pub(crate) fn handle_request(store: &mut MemStore, request: &StoreRequest) -> StoreReply {
    match request {
        StoreRequest::Read(key) => StoreReply::Row(store.read(key)),
        StoreRequest::List(prefix, after, limit) => {
            StoreReply::Rows(store.list(prefix, after, *limit))
        }
        StoreRequest::Commit(writes) => StoreReply::Commit(store.commit(writes)),
        StoreRequest::Get(name) => StoreReply::Object(store.get(name).map(<[u8]>::to_vec)),
        StoreRequest::Put(name, body) => StoreReply::Put(store.put_new(name, body)),
    }
}
