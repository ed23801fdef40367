//! The fake platform: names of budgets, budget rows, and the execution of calls.

use cuminloom::{
    budget::Row,
    mirror::{
        Reply,
        Request, //
    },
    node::budget_key,
    store::{
        Change,
        Expect,
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
        expect: Expect::Any,
        change: Change::Put(row.into()),
    }]);
}

/// Executes a call of a daemon to the platform.
pub(crate) fn handle_request(store: &mut MemStore, request: &Request) -> Reply {
    match request {
        Request::Read(key) => Reply::Row(store.read(key)),
        Request::List(prefix, after, limit) => Reply::Rows(store.list(prefix, after, *limit)),
        Request::Commit(writes) => Reply::Commit(store.commit(writes)),
        Request::Get(name) => Reply::Object(store.get(name).map(<[u8]>::to_vec)),
        Request::Put(name, body) => Reply::Put(store.put_new(name, body)),
    }
}
