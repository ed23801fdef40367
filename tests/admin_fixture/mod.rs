//! Test fixture: the administration API over loopback, with the platform's tables in memory.

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    sync::{
        Arc,
        Mutex,
        atomic::{
            AtomicU32,
            Ordering, //
        }, //
    },
};

use cuminloom::{
    admin::{
        self,
        AdminOptions,
        AdminServer,
        DaemonStatus,
        Fleet,
        PeerStatus,
        ctl::{
            self,
            Exit, //
        }, //
    },
    budget::{
        BilledTokens,
        SealRecord,
        Share, //
    },
    model::{
        BudgetId,
        Version, //
    },
    settings::{
        BudgetDefaults,
        Operator, //
    },
    store::{
        Change,
        CommitOutcome,
        Objects,
        Precondition,
        Row,
        StoreError,
        Table,
        Write, //
    },
    target::{
        Order,
        OrderOutcome, //
    },
};
use cuminloom_standins::store::MemStore;
use serde_json::{
    Value,
    json, //
};
use sha2::{
    Digest,
    Sha256, //
};

/// Hash of the API key of the customer `lamps`.
pub(crate) const KEY_HASH: &str =
    "9f86d081884c7d659a2feaa0c55ad015a3bf4f1b2b0b822cd15d6c15b0f00a08";

/// The platform's store, with faults to inject.
#[derive(Clone, Default)]
pub(crate) struct Platform {
    pub(crate) store: Arc<Mutex<MemStore>>,
    /// Number of next commits whose reply is lost although they take effect.
    pub(crate) lost_replies: Arc<AtomicU32>,
    /// Write of somebody else that is committed just before the next commit.
    pub(crate) racing_write: Arc<Mutex<Option<Write>>>,
}

impl Table for Platform {
    fn read(&self, key: &str) -> Result<Option<Row>, StoreError> {
        Ok(self.store.lock().unwrap().read(key))
    }

    fn list(&self, prefix: &str, after: &str, limit: usize) -> Result<Vec<Row>, StoreError> {
        Ok(self.store.lock().unwrap().list(prefix, after, limit))
    }

    fn commit(&self, writes: &[Write]) -> Result<CommitOutcome, StoreError> {
        let racing_write = self.racing_write.lock().unwrap().take();
        let mut store = self.store.lock().unwrap();
        racing_write.map(|write| store.commit(&[write]));
        let outcome = store.commit(writes);
        let decrement = |count: u32| count.checked_sub(1);
        let is_lost = self
            .lost_replies
            .try_update(Ordering::SeqCst, Ordering::SeqCst, decrement);
        match is_lost {
            Ok(_) => Err(StoreError::Unknown),
            Err(_) => Ok(outcome),
        }
    }
}

impl Objects for Platform {
    fn get(&self, name: &str) -> Result<Option<Vec<u8>>, StoreError> {
        Ok(self.store.lock().unwrap().get(name).map(<[u8]>::to_vec))
    }

    fn put_new(&self, name: &str, body: &[u8]) -> Result<bool, StoreError> {
        Ok(self.store.lock().unwrap().put_new(name, body))
    }
}

/// Fleet with one peer, `vm-2`. Orders are recorded and answered with an uncertain outcome.
#[derive(Default)]
pub(crate) struct FakeFleet {
    /// Version that the peer has confirmed.
    pub(crate) confirmed: Mutex<Version>,
    /// Fencing numbers of the orders that were sent.
    pub(crate) fencing_numbers: Mutex<Vec<u64>>,
    /// Billed tokens that the audit reads.
    pub(crate) billed_tokens: Mutex<BTreeMap<BudgetId, BilledTokens>>,
}

impl Fleet for FakeFleet {
    fn peers(&self) -> Vec<PeerStatus> {
        vec![PeerStatus {
            daemon: "vm-2".into(),
            dc: "east".into(),
            version: *self.confirmed.lock().unwrap(),
            reachable: true,
        }]
    }

    fn status(&self) -> DaemonStatus {
        DaemonStatus {
            mode: "attached".into(),
            stats: BTreeMap::from([("open".into(), 3.0)]),
        }
    }

    fn announce(&self, _version: Version) {}

    fn billed_tokens(&self) -> Result<BTreeMap<BudgetId, BilledTokens>, StoreError> {
        Ok(self.billed_tokens.lock().unwrap().clone())
    }

    fn send_order(&self, _addr: SocketAddr, _order: &Order, fencing: u64) -> OrderOutcome {
        self.fencing_numbers.lock().unwrap().push(fencing);
        OrderOutcome::Uncertain
    }
}

/// The administration API with the customer `lamps` and the service `loom`.
pub(crate) struct Fixture {
    pub(crate) admin: AdminServer,
    pub(crate) platform: Platform,
    pub(crate) fleet: Arc<FakeFleet>,
}

/// Starts the administration API for the operators `ann` and `ben`.
pub(crate) fn fixture() -> Fixture {
    let operator = |name: &str| Operator {
        name: name.into(),
        token_hash: Sha256::digest(format!("{name}-token")).into(),
    };
    let options = AdminOptions {
        listen: "127.0.0.1:0".parse().unwrap(),
        operators: vec![operator("ann"), operator("ben")],
        daemon: "vm-1".into(),
        max_body_bytes: 4_000,
        budget_defaults: BudgetDefaults::default(),
        unix_time_s: || 1_700_000_000,
    };
    let (platform, fleet) = (Platform::default(), Arc::<FakeFleet>::default());
    let config = Arc::default();
    let admin = admin::bind(options, platform.clone(), fleet.clone(), config).unwrap();
    let fixture = Fixture {
        admin,
        platform,
        fleet,
    };
    let customer = json!({ "keys": [KEY_HASH] });
    assert_eq!(fixture.put("customers/lamps", "*", &customer).0, 200);
    let target = json!({ "id": "w1", "addr": "10.0.0.1:80", "dc": "east" });
    let service = json!({ "kind": "engine", "targets": [target] });
    assert_eq!(fixture.put("services/loom", "*", &service).0, 200);
    fixture
}

impl Fixture {
    /// Sends a request with an operator's token; returns the status and the body.
    pub(crate) fn send(&self, request: minreq::Request, operator: &str) -> (u16, Value) {
        let bearer = format!("Bearer {operator}-token");
        let reply = request.with_header("Authorization", bearer).send().unwrap();
        let body = serde_json::from_slice(reply.as_bytes()).unwrap();
        (reply.status_code, body)
    }

    pub(crate) fn url(&self, path: &str) -> String {
        format!("http://{}/admin/v1/{path}", self.admin.addr())
    }

    /// Gets a path that must be answered with status 200.
    pub(crate) fn get(&self, path: &str) -> Value {
        let (status, body) = self.send(minreq::get(self.url(path)), "ann");
        assert_eq!(status, 200, "{body}");
        body
    }

    /// Puts a body under a precondition: `*` for a new item, or else the ETag.
    pub(crate) fn put(&self, path: &str, etag: &str, body: &Value) -> (u16, Value) {
        let header = if etag == "*" {
            "If-None-Match"
        } else {
            "If-Match"
        };
        let request = minreq::put(self.url(path)).with_header(header, etag);
        let request = request.with_header("Idempotency-Key", format!("put-{path}-{etag}"));
        self.send(request.with_body(body.to_string()), "ann")
    }

    /// Posts a body with a request id.
    pub(crate) fn post(&self, path: &str, id: &str, body: &Value) -> (u16, Value) {
        let request = minreq::post(self.url(path)).with_header("Idempotency-Key", id);
        self.send(request.with_body(body.to_string()), "ann")
    }

    /// Creates the budget `chat` of 1,000 tokens, of which a live share holds 400 and a sealed one
    /// 100; 100 are billed.
    pub(crate) fn create_budget(&self) {
        let new = json!({ "customer": "lamps", "limit": 1_000 });
        let request = minreq::put(self.url("budgets/chat")).with_header("Idempotency-Key", "new");
        assert_eq!(self.send(request.with_body(new.to_string()), "ann").0, 200);
        self.platform.commit(&[self.draw_write(500, 100)]).unwrap();
        let write = self.budget_write(|row| {
            let share = Share {
                drawn: 100,
                ..Share::default()
            };
            row.update_share("vm-2.0b", share).unwrap();
            row.seal_share("vm-2.0b", SealRecord::default()).unwrap();
        });
        self.platform.commit(&[write]).unwrap();
        let bills = BilledTokens::from([("vm-1.0a".into(), 100)]);
        let mut billed = self.fleet.billed_tokens.lock().unwrap();
        billed.insert("chat".into(), bills);
    }

    /// Write of a drawing daemon that has `drawn` and `billed` tokens in its share.
    pub(crate) fn draw_write(&self, drawn: u64, billed: u64) -> Write {
        let share = Share {
            drawn,
            billed,
            ..Share::default()
        };
        self.budget_write(|row| row.update_share("vm-1.0a", share).unwrap())
    }

    /// Write that changes the budget `chat` as it is now.
    pub(crate) fn budget_write(&self, change: impl Fn(&mut cuminloom::budget::Row)) -> Write {
        let row = self.platform.read("budget/chat").unwrap().unwrap();
        let mut budget = cuminloom::budget::Row::try_from(row.value).unwrap();
        change(&mut budget);
        Write {
            key: "budget/chat".into(),
            precondition: Precondition::Version(row.version),
            change: Change::Put(Value::from(&budget)),
        }
    }

    /// Runs `cuminloomctl` as operator `ann`; returns its exit and all its output.
    pub(crate) fn run_ctl(&self, args: &[&str]) -> (Exit, String) {
        let addr = self.admin.addr().to_string();
        let head = ["cuminloomctl", "--daemon", &addr, "--wait", "0"];
        let (mut out, mut err) = (Vec::new(), Vec::new());
        let all = head.iter().chain(args);
        let exit = ctl::run(all, Some("ann-token".into()), &mut out, &mut err);
        out.extend(err);
        (exit, String::from_utf8(out).unwrap())
    }
}
