//! The fake platform's table and objects.

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

pub(crate) fn name(budget: usize) -> String {
    format!("b{budget}")
}

pub(crate) fn is_budget(write: &Write) -> bool {
    write.key.starts_with("budget/")
}

pub(crate) fn row(store: &MemStore, budget: usize) -> Row {
    let row = store
        .read(&budget_key(&name(budget)))
        .expect("the row exists");
    Row::try_from(row.value).expect("the row keeps its identity")
}

pub(crate) fn put(store: &mut MemStore, budget: usize, row: &Row) {
    store.commit(&[Write {
        key: budget_key(&name(budget)),
        precondition: Precondition::Any,
        change: Change::Put(row.into()),
    }]);
}

pub(crate) fn execute(store: &mut MemStore, request: &StoreRequest) -> StoreReply {
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
