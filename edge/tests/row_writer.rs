//! The tasks that read and write a daemon's rows, on an in-memory store.

#[allow(dead_code, reason = "the runs of the ledger use the rest")]
#[path = "budget_world/store.rs"]
mod fake_store;
mod test_core;

use std::{
    cell::RefCell,
    collections::BTreeMap,
    future,
    rc::Rc,
    time::{
        Duration,
        Instant, //
    },
};

use cuminloom_edge::{
    adapter::{
        FeedUpdate,
        OperatorChange,
        Store,
        StoreError, //
    },
    catalog::{
        Config,
        RunnerChange, //
    },
    fleet::{
        poll_rows,
        write_rows, //
    },
    peer::{
        ReserveOutcome,
        ReserveRequest, //
    },
    prepaid::{
        Batch,
        CommitOutcome,
        CustomerRow,
        DaemonRow,
        Grant,
        Ledger,
        Rows, //
    },
    serve::Core,
};
use fake_store::FakeStore;
use test_core::{
    CONFIG_VERSION,
    start_core, //
};
use tokio::{
    task::{
        LocalSet,
        spawn_local, //
    },
    time::sleep,
};

/// Tokens of the customer `ann`.
const LIMIT: u64 = 1_000_000;

/// Tokens that the previous process has spent; it held no others.
const SPENT: u64 = 150;

/// Response time of the store.
const STORE_TIME: Duration = Duration::from_millis(4);

/// Time within which the first event of a request has to reach its caller, from the users' sheet.
const MAX_WAIT: Duration = Duration::from_millis(1000);

/// Store that answers after [`STORE_TIME`].
struct DelayedStore {
    rows: RefCell<FakeStore>,
    start: Instant,
}

impl DelayedStore {
    /// Store with the row that a process on `vm-1` left after it had spent all that it held.
    fn after_a_kill() -> DelayedStore {
        let grant = Grant {
            cap: SPENT,
            issued: SPENT,
            spent: SPENT,
            ..Grant::default()
        };
        let row = DaemonRow {
            process: 1,
            number: 1,
            seen: 0,
            peer: None,
            zone: "z-1".to_owned(),
            capacity: 0,
            leaving: false,
            grants: BTreeMap::from([("ann".to_owned(), grant)]),
            ..DaemonRow::default()
        };
        let batch = Batch {
            daemon: Some(("vm-1".to_owned(), row)),
            customers: vec![("ann".to_owned(), CustomerRow { committed: SPENT })],
            ..Batch::default()
        };
        let mut rows = FakeStore::default();
        rows.apply(&batch, 0);
        DelayedStore {
            rows: RefCell::new(rows),
            start: Instant::now(),
        }
    }

    fn now_ms(&self) -> u64 {
        self.start.elapsed().as_millis() as u64
    }
}

impl Store for DelayedStore {
    async fn watch_configs(
        &self,
        _: Option<u64>,
        _: Duration,
    ) -> Result<FeedUpdate<OperatorChange>, StoreError> {
        future::pending().await
    }

    async fn watch_runners(
        &self,
        _: Option<u64>,
        _: Duration,
    ) -> Result<FeedUpdate<RunnerChange>, StoreError> {
        future::pending().await
    }

    async fn fetch_rows(&self) -> Result<Rows, StoreError> {
        sleep(STORE_TIME).await;
        Ok(self.rows.borrow().rows(self.now_ms()))
    }

    async fn commit(&self, batch: &Batch) -> Result<CommitOutcome, StoreError> {
        sleep(STORE_TIME).await;
        Ok(self.rows.borrow_mut().apply(batch, self.now_ms()))
    }

    fn decode_config(&self, _: &[u8]) -> Result<Config, StoreError> {
        Err(StoreError::Unreadable("not used".to_owned()))
    }
}

/// State of a process that has just started on `vm-1`.
fn started() -> Rc<Core<()>> {
    let mut ledger = Ledger::new("vm-1", 2, None).with_place("z-1", 0);
    ledger.mark_exclusive(Instant::now());
    start_core(ledger, LIMIT)
}

/// Outcome of a request for tokens `delay` after the start of the tasks, and how long it waited.
async fn reserve_after(delay: Duration) -> (ReserveOutcome, Duration) {
    let core = started();
    let store = Rc::new(DelayedStore::after_a_kill());
    let reader = spawn_local(poll_rows(Rc::clone(&core), Rc::clone(&store)));
    let writer = spawn_local(write_rows(Rc::clone(&core), store));
    sleep(delay).await;
    let asked = Instant::now();
    let (sender, replies) = flume::unbounded();
    let request = ReserveRequest {
        process: 3,
        number: 1,
        request: "r-1".to_owned(),
        customer: "ann".to_owned(),
        cost: 150,
        config: CONFIG_VERSION,
        wait_ms: 5000,
        expires_ms: 5000,
    };
    core.reserve_for_peer(request, sender).await;
    let waited = asked.elapsed();
    reader.abort();
    writer.abort();
    (replies.drain().last().unwrap().outcome, waited)
}

/// Guards against refusals in the second after a restart: the write that takes the row over was also the one
/// that a waiting request had asked for.
#[test]
fn a_request_at_the_start_of_a_process_gets_tokens() {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .unwrap();
    for delay_ms in [0, 2, 5, 8, 12, 50] {
        let delay = Duration::from_millis(delay_ms);
        let (outcome, waited) = LocalSet::new().block_on(&runtime, reserve_after(delay));
        assert_eq!(outcome, ReserveOutcome::Taken, "asked after {delay:?}");
        assert!(waited < MAX_WAIT, "asked after {delay:?}: {waited:?}");
    }
}
