//! The fake platform's table and objects.

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

pub(crate) fn budget_name(budget: usize) -> String {
    format!("b{budget}")
}

pub(crate) fn is_budget_write(write: &Write) -> bool {
    write.key.starts_with("budget/")
}

pub(crate) fn read_row(store: &MemStore, budget: usize) -> Row {
    let row = store
        .read(&budget_key(&budget_name(budget)))
        .expect("the row exists");
    Row::try_from(row.value).expect("the row keeps its identity")
}

pub(crate) fn put_row(store: &mut MemStore, budget: usize, row: &Row) {
    store.commit(&[Write {
        key: budget_key(&budget_name(budget)),
        expect: Expect::Any,
        change: Change::Put(row.into()),
    }]);
}

pub(crate) fn handle_request(store: &mut MemStore, request: &Request) -> Reply {
    match request {
        Request::Read(key) => Reply::Row(store.read(key)),
        Request::List(prefix, after, limit) => Reply::Rows(store.list(prefix, after, *limit)),
        Request::Commit(writes) => Reply::Commit(store.commit(writes)),
        Request::Get(name) => Reply::Object(store.get(name).map(<[u8]>::to_vec)),
        Request::Put(name, body) => Reply::Put(store.put_new(name, body)),
    }
}
