//! The administration API over loopback, with the platform's tables in memory.

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
        Order, //
        OrderOutcome,
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

pub(crate) const KEY: &str = "9f86d081884c7d659a2feaa0c55ad015a3bf4f1b2b0b822cd15d6c15b0f00a08";

/// The platform; the answers of the next `lost` commits are lost after they took effect, and
/// `race` is written before the next commit.
#[derive(Clone, Default)]
pub(crate) struct Platform {
    pub(crate) store: Arc<Mutex<MemStore>>,
    pub(crate) lost: Arc<AtomicU32>,
    pub(crate) race: Arc<Mutex<Option<Write>>>,
}

impl Table for Platform {
    fn read(&self, key: &str) -> Result<Option<Row>, StoreError> {
        Ok(self.store.lock().unwrap().read(key))
    }

    fn list(&self, prefix: &str, after: &str, limit: usize) -> Result<Vec<Row>, StoreError> {
        Ok(self.store.lock().unwrap().list(prefix, after, limit))
    }

    fn commit(&self, writes: &[Write]) -> Result<CommitOutcome, StoreError> {
        let race = self.race.lock().unwrap().take();
        let mut store = self.store.lock().unwrap();
        race.map(|write| store.commit(&[write]));
        let outcome = store.commit(writes);
        let less = |lost: u32| lost.checked_sub(1);
        let lost = self
            .lost
            .try_update(Ordering::SeqCst, Ordering::SeqCst, less);
        match lost {
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

/// What the interface learns of the other daemons.
#[derive(Default)]
pub(crate) struct Peers {
    pub(crate) confirmed: Mutex<Version>,
    pub(crate) orders: Mutex<Vec<u64>>,
    pub(crate) bills: Mutex<BTreeMap<BudgetId, BilledTokens>>,
}

impl Fleet for Peers {
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
        Ok(self.bills.lock().unwrap().clone())
    }

    fn send_order(&self, _addr: SocketAddr, _order: &Order, fencing: u64) -> OrderOutcome {
        self.orders.lock().unwrap().push(fencing);
        OrderOutcome::Uncertain
    }
}

/// A running interface with one customer and one service.
pub(crate) struct Bench {
    pub(crate) admin: AdminServer,
    pub(crate) platform: Platform,
    pub(crate) peers: Arc<Peers>,
}

/// Opens the interface.
pub(crate) fn bench() -> Bench {
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
    let (platform, peers) = (Platform::default(), Arc::<Peers>::default());
    let config = Arc::default();
    let admin = admin::bind(options, platform.clone(), peers.clone(), config).unwrap();
    let bench = Bench {
        admin,
        platform,
        peers,
    };
    let customer = json!({ "keys": [KEY] });
    assert_eq!(bench.put("customers/lamps", "*", &customer).0, 200);
    let target = json!({ "id": "w1", "addr": "10.0.0.1:80", "dc": "east" });
    let service = json!({ "kind": "engine", "targets": [target] });
    assert_eq!(bench.put("services/loom", "*", &service).0, 200);
    bench
}

impl Bench {
    pub(crate) fn send(&self, request: minreq::Request, operator: &str) -> (u16, Value) {
        let bearer = format!("Bearer {operator}-token");
        let reply = request.with_header("Authorization", bearer).send().unwrap();
        let body = serde_json::from_slice(reply.as_bytes()).unwrap();
        (reply.status_code, body)
    }

    pub(crate) fn url(&self, path: &str) -> String {
        format!("http://{}/admin/v1/{path}", self.admin.addr())
    }

    pub(crate) fn get(&self, path: &str) -> Value {
        let (status, body) = self.send(minreq::get(self.url(path)), "ann");
        assert_eq!(status, 200, "{body}");
        body
    }

    pub(crate) fn put(&self, path: &str, seen: &str, body: &Value) -> (u16, Value) {
        let header = if seen == "*" {
            "If-None-Match"
        } else {
            "If-Match"
        };
        let request = minreq::put(self.url(path)).with_header(header, seen);
        let request = request.with_header("Idempotency-Key", format!("put-{path}-{seen}"));
        self.send(request.with_body(body.to_string()), "ann")
    }

    pub(crate) fn post(&self, path: &str, id: &str, body: &Value) -> (u16, Value) {
        let request = minreq::post(self.url(path)).with_header("Idempotency-Key", id);
        self.send(request.with_body(body.to_string()), "ann")
    }

    /// A budget of 1,000 tokens, of which one live and one sealed share hold 400 and 100.
    pub(crate) fn budget(&self) {
        let new = json!({ "customer": "lamps", "limit": 1_000 });
        let request = minreq::put(self.url("budgets/chat")).with_header("Idempotency-Key", "new");
        assert_eq!(self.send(request.with_body(new.to_string()), "ann").0, 200);
        self.platform.commit(&[self.draw(500, 100)]).unwrap();
        let write = self.change(|row| {
            let share = Share {
                drawn: 100,
                ..Share::default()
            };
            row.update_share("vm-2.0b", share).unwrap();
            row.seal_share("vm-2.0b", SealRecord::default()).unwrap();
        });
        self.platform.commit(&[write]).unwrap();
        let bills = BilledTokens::from([("vm-1.0a".into(), 100)]);
        let mut all = self.peers.bills.lock().unwrap();
        all.insert("chat".into(), bills);
    }

    /// What a drawer writes.
    pub(crate) fn draw(&self, drawn: u64, billed: u64) -> Write {
        let share = Share {
            drawn,
            billed,
            ..Share::default()
        };
        self.change(|row| row.update_share("vm-1.0a", share).unwrap())
    }

    pub(crate) fn change(&self, change: impl Fn(&mut cuminloom::budget::Row)) -> Write {
        let row = self.platform.read("budget/chat").unwrap().unwrap();
        let mut budget = cuminloom::budget::Row::try_from(row.value).unwrap();
        change(&mut budget);
        Write {
            key: "budget/chat".into(),
            precondition: Precondition::Version(row.version),
            change: Change::Put(Value::from(&budget)),
        }
    }

    pub(crate) fn ctl(&self, args: &[&str]) -> (Exit, String) {
        let addr = self.admin.addr().to_string();
        let head = ["cuminloomctl", "--daemon", &addr, "--wait", "0"];
        let (mut out, mut err) = (Vec::new(), Vec::new());
        let all = head.iter().chain(args);
        let exit = ctl::run(all, Some("ann-token".into()), &mut out, &mut err);
        out.extend(err);
        (exit, String::from_utf8(out).unwrap())
    }
}
