//! The platform's tables, objects and list of VMs over HTTP, with one listener per data centre.

use std::{
    collections::BTreeMap,
    io,
    net::SocketAddr,
    sync::{
        Arc,
        Mutex,
        MutexGuard,
        PoisonError, //
    },
    time::{
        Duration,
        Instant, //
    },
};

use cuminloom::{
    store::{
        Change,
        CommitOutcome,
        Precondition,
        Row,
        Vm,
        Write, //
    },
    wire::platform as wire,
};
use serde::{
    Deserialize,
    Serialize, //
};

use crate::{
    server::{
        Call,
        Client,
        Server, //
    },
    store::MemStore,
};

/// Pause between two looks at whether a hanging listener goes on.
const LOOK: Duration = Duration::from_millis(5);
/// Rows of a page when the request names no limit.
const PAGE: usize = 1000;
/// Content type of answers; clients know from the path what they get.
const KIND: &str = "application/json";

/// Faults of one listener.
#[derive(Clone, Copy, Debug, Default)]
struct Faults {
    down: bool,
    hang: bool,
    delay: Duration,
    drop_answers: bool,
}

/// A change of faults; absent fields stay as they are.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Control {
    /// Listener (data centre) that changes; all when absent.
    pub dc: Option<String>,
    /// Answers 503 without looking at the request.
    pub down: Option<bool>,
    /// Holds requests unanswered; when it ends, they take effect late.
    pub hang: Option<bool>,
    /// Delay before each request takes effect, in milliseconds.
    pub delay_ms: Option<u64>,
    /// Applies each write, then closes the connection without an answer.
    pub drop_answers: Option<bool>,
    /// Age of the list of VMs that is served, in milliseconds; the same for all listeners.
    pub vm_lag_ms: Option<u64>,
}

/// Requests that took effect.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Counters {
    /// Reads of rows, objects and the list of VMs.
    pub reads: u64,
    /// Commits and puts of objects.
    pub writes: u64,
    /// Requests that a fault kept from taking effect.
    pub refused: u64,
    /// Writes whose answer was dropped.
    pub dropped: u64,
}

#[derive(Debug, Default)]
struct State {
    store: MemStore,
    faults: BTreeMap<String, Faults>,
    counters: BTreeMap<String, Counters>,
    lag: Duration,
    lists: Vec<(Instant, Vec<Vm>)>,
}

/// A running platform.
#[derive(Debug)]
pub struct Platform {
    state: Arc<Mutex<State>>,
    servers: Vec<(String, Server)>,
}

fn lock(state: &Mutex<State>) -> MutexGuard<'_, State> {
    state.lock().unwrap_or_else(PoisonError::into_inner)
}

impl Platform {
    /// Listens on one address per data centre and on `control`.
    ///
    /// # Errors
    ///
    /// Fails when an address is in use.
    ///
    /// # Examples
    ///
    /// ```
    /// use cuminloom::store::{HttpStore, Table};
    /// use cuminloom_standins::platform::Platform;
    /// let any = "127.0.0.1:0".parse().unwrap();
    /// let platform = Platform::bind(&[("east".into(), any)], any).unwrap();
    /// let store = HttpStore::new(platform.addrs()[0].1);
    /// assert_eq!(store.read("config/head"), Ok(None));
    /// ```
    pub fn bind(listen: &[(String, SocketAddr)], control: SocketAddr) -> io::Result<Self> {
        let state = Arc::new(Mutex::new(State::default()));
        lock(&state).lists.push((Instant::now(), Vec::new()));
        let mut servers = Vec::new();
        for (name, addr) in listen {
            lock(&state).faults.insert(name.clone(), Faults::default());
            let (shared, dc) = (state.clone(), name.clone());
            let server = Server::bind(*addr, move |call| serve(&shared, &dc, call))?;
            servers.push((name.clone(), server));
        }
        let shared = state.clone();
        let server = Server::bind(control, move |call| serve_control(&shared, call))?;
        servers.push(("control".into(), server));
        Ok(Self { state, servers })
    }

    /// Names and addresses of the listeners; the last one is `control`.
    ///
    /// # Examples
    ///
    /// ```
    /// let any = "127.0.0.1:0".parse().unwrap();
    /// let platform = cuminloom_standins::platform::Platform::bind(&[], any).unwrap();
    /// assert_eq!(platform.addrs()[0].0, "control");
    /// ```
    pub fn addrs(&self) -> Vec<(String, SocketAddr)> {
        let addrs = self.servers.iter();
        addrs
            .map(|(name, server)| (name.clone(), server.addr()))
            .collect()
    }

    /// Runs `f` on the stored state, beside the faults.
    ///
    /// # Examples
    ///
    /// ```
    /// let any = "127.0.0.1:0".parse().unwrap();
    /// let platform = cuminloom_standins::platform::Platform::bind(&[], any).unwrap();
    /// assert!(platform.with(|store| store.put_new("bills/a/1", b"[]")));
    /// ```
    pub fn with<T>(&self, f: impl FnOnce(&mut MemStore) -> T) -> T {
        f(&mut lock(&self.state).store)
    }

    /// Changes the faults.
    ///
    /// # Examples
    ///
    /// ```
    /// use cuminloom_standins::platform::{Control, Platform};
    /// let any = "127.0.0.1:0".parse().unwrap();
    /// let platform = Platform::bind(&[], any).unwrap();
    /// platform.control(&Control { down: Some(true), ..Control::default() });
    /// ```
    pub fn control(&self, control: &Control) {
        lock(&self.state).control(control);
    }
}

impl State {
    fn control(&mut self, control: &Control) {
        if let Some(lag) = control.vm_lag_ms {
            self.lag = Duration::from_millis(lag);
        }
        for (name, faults) in &mut self.faults {
            if control.dc.as_ref().is_some_and(|dc| dc != name) {
                continue;
            }
            faults.down = control.down.unwrap_or(faults.down);
            faults.hang = control.hang.unwrap_or(faults.hang);
            faults.drop_answers = control.drop_answers.unwrap_or(faults.drop_answers);
            if let Some(delay) = control.delay_ms {
                faults.delay = Duration::from_millis(delay);
            }
        }
    }

    fn set_vms(&mut self, vms: Vec<Vm>) {
        self.store.set_vms(vms.clone());
        self.lists.push((Instant::now(), vms));
    }

    /// The latest list that is at least as old as the lag, or the oldest one.
    fn vms(&self) -> &[Vm] {
        let mut newest_first = self.lists.iter().rev();
        let found = newest_first.find(|(since, _)| since.elapsed() >= self.lag);
        &found.unwrap_or(&self.lists[0]).1
    }
}

fn serve_control(state: &Mutex<State>, call: Call) {
    match (call.method.as_str(), call.path.as_str()) {
        ("POST", "/control") => call.with_json(|call, control: Control| {
            lock(state).control(&control);
            call.answer(200, &());
        }),
        ("PUT", "/vms") => call.with_json(|call, list: wire::Vms| {
            lock(state).set_vms(list.vms.into_iter().map(vm_from).collect());
            call.answer(200, &());
        }),
        ("GET", "/counters") => {
            let counters = lock(state).counters.clone();
            call.answer(200, &counters);
        }
        // The rows and objects as they are, beside the faults, so that a test can audit them.
        _ => {
            let reply = reply_to(&mut lock(state).store, &call);
            call.answer_bytes(reply.status, KIND, reply.body);
        }
    }
}

fn serve(state: &Mutex<State>, dc: &str, call: Call) {
    let client = call.client();
    let is_write = call.method != "GET";
    if !hold(state, dc, &client) {
        lock(state).counters.entry(dc.into()).or_default().refused += 1;
        return call.answer(503, &());
    }
    let mut locked = lock(state);
    let dropped = is_write && locked.faults[dc].drop_answers;
    let counters = locked.counters.entry(dc.into()).or_default();
    counters.reads += u64::from(!is_write);
    counters.writes += u64::from(is_write);
    counters.dropped += u64::from(dropped);
    let reply = if call.path == "/vms" {
        let vms = locked.vms().iter().map(vm_to).collect();
        Reply::json(200, &wire::Vms { vms })
    } else {
        reply_to(&mut locked.store, &call)
    };
    drop(locked);
    if !dropped {
        call.answer_bytes(reply.status, KIND, reply.body);
    }
}

/// Waits while the listener hangs or is slow; returns false when it is down.
fn hold(state: &Mutex<State>, dc: &str, client: &Client) -> bool {
    let faults = || lock(state).faults[dc];
    if faults().down {
        return false;
    }
    while faults().hang {
        std::thread::sleep(LOOK);
    }
    client.sleep(faults().delay);
    true
}

struct Reply {
    status: u16,
    body: Vec<u8>,
}

impl Reply {
    fn json<T: Serialize + ?Sized>(status: u16, body: &T) -> Self {
        let body = serde_json::to_vec(body).expect("bodies have string keys");
        Self { status, body }
    }
}

fn reply_to(store: &mut MemStore, call: &Call) -> Reply {
    let (method, path) = (call.method.as_str(), call.path.as_str());
    match (method, path) {
        ("POST", "/commit") => return commit(store, &call.body),
        ("GET", "/rows") => return list(store, call),
        ("GET", "/objects") => {
            let prefix = call.param("prefix").unwrap_or_default();
            let names: Vec<&str> = store.names(&prefix).map(AsRef::as_ref).collect();
            return Reply::json(200, &names);
        }
        _ => {}
    }
    if let ("GET", Some(key)) = (method, path.strip_prefix("/rows/")) {
        return match store.read(key) {
            Some(row) => Reply::json(200, &row_to(row)),
            None => Reply::json(404, &()),
        };
    }
    match (method, path.strip_prefix("/objects/")) {
        ("GET", Some(name)) => match store.get(name) {
            Some(body) => Reply {
                status: 200,
                body: body.to_vec(),
            },
            None => Reply::json(404, &()),
        },
        ("PUT", Some(name)) if call.header("If-None-Match") == Some("*") => {
            let is_new = store.put_new(name, &call.body);
            Reply::json(if is_new { 201 } else { 412 }, &())
        }
        _ => Reply::json(400, &()),
    }
}

fn commit(store: &mut MemStore, body: &[u8]) -> Reply {
    let Ok(commit) = serde_json::from_slice::<wire::Commit>(body) else {
        return Reply::json(400, &());
    };
    let writes: Vec<Write> = commit.writes.into_iter().map(write_from).collect();
    match store.commit(&writes) {
        CommitOutcome::Applied(versions) => Reply::json(200, &wire::Applied { versions }),
        CommitOutcome::Conflict { key, row } => {
            let (key, row) = (key.to_string(), row.map(row_to));
            Reply::json(409, &wire::Refused { key, row })
        }
    }
}

fn list(store: &MemStore, call: &Call) -> Reply {
    let param = |name| call.param(name).unwrap_or_default();
    let limit = param("limit").parse().unwrap_or(PAGE);
    let rows = store.list(&param("prefix"), &param("after"), limit);
    let rows = rows.into_iter().map(row_to).collect();
    Reply::json(200, &wire::Rows { rows })
}

fn row_to(row: Row) -> wire::Row {
    wire::Row {
        key: row.key.to_string(),
        version: row.version,
        value: row.value,
    }
}

fn write_from(write: wire::Write) -> Write {
    Write {
        key: write.key.into(),
        precondition: match write.expect {
            wire::Expect::Absent => Precondition::Absent,
            wire::Expect::Any => Precondition::Any,
            wire::Expect::Version(version) => Precondition::Version(version),
        },
        change: match write.action {
            wire::Action::Put(value) => Change::Put(value),
            wire::Action::Delete => Change::Delete,
            wire::Action::Check => Change::Check,
        },
    }
}

fn vm_from(vm: wire::Vm) -> Vm {
    Vm {
        name: vm.name.into(),
        dc: vm.dc.into(),
        leaving: matches!(vm.state, wire::VmState::Leaving),
    }
}

fn vm_to(vm: &Vm) -> wire::Vm {
    wire::Vm {
        name: vm.name.to_string(),
        dc: vm.dc.to_string(),
        state: if vm.leaving {
            wire::VmState::Leaving
        } else {
            wire::VmState::Live
        },
    }
}
