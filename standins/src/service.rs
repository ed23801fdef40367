//! A plain service that counts the effects of requests.

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
    time::Duration,
};

use cuminloom::wire::target::Load;
use serde::{
    Deserialize,
    Serialize, //
};
use serde_json::json;

use crate::server::{
    Call,
    Server, //
};

/// Faults and settings of a service; a change leaves absent fields as they are.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Control {
    /// Delay before each effect, in milliseconds.
    pub delay_ms: Option<u64>,
    /// Answers 500 after the effect.
    pub fail: Option<bool>,
    /// Closes the connection without an answer after the effect.
    pub close: Option<bool>,
    /// Whether the load report says that the service is leaving.
    pub leaving: Option<bool>,
    /// Capacity in the load report.
    pub capacity: Option<u32>,
}

/// Effects since the service started. A request whose client left during the delay has none.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Effects {
    /// All effects.
    pub total: u64,
    /// Requests that were abandoned before their effect.
    pub cancelled: u64,
    /// Effects per `x-request-id` header.
    pub requests: BTreeMap<String, u64>,
    /// Effects per `idempotency-key` header.
    pub keys: BTreeMap<String, u64>,
}

#[derive(Debug, Default)]
struct State {
    control: Control,
    effects: Effects,
    running: u32,
}

fn lock(state: &Mutex<State>) -> MutexGuard<'_, State> {
    state.lock().unwrap_or_else(PoisonError::into_inner)
}

/// A running service.
#[derive(Debug)]
pub struct Service {
    server: Server,
    control: Server,
}

impl Service {
    /// Listens on `listen` for requests and on `control` for changes.
    ///
    /// # Errors
    ///
    /// Fails when an address is in use.
    ///
    /// # Examples
    ///
    /// ```
    /// use cuminloom_standins::service::Service;
    /// let any = "127.0.0.1:0".parse().unwrap();
    /// let service = Service::bind(any, any).unwrap();
    /// let url = format!("http://{}/holds/7", service.addrs()[0].1);
    /// assert_eq!(minreq::post(url).send().unwrap().status_code, 200);
    /// ```
    pub fn bind(listen: SocketAddr, control: SocketAddr) -> io::Result<Self> {
        let state = Arc::new(Mutex::new(State::default()));
        lock(&state).control.capacity = Some(16);
        let serving = state.clone();
        Ok(Self {
            server: Server::bind(listen, move |call| serve(&serving, call))?,
            control: Server::bind(control, move |call| serve_control(&state, call))?,
        })
    }

    /// Names and addresses of the listeners: `service` and `control`.
    ///
    /// # Examples
    ///
    /// ```
    /// let any = "127.0.0.1:0".parse().unwrap();
    /// let service = cuminloom_standins::service::Service::bind(any, any).unwrap();
    /// assert_eq!(service.addrs()[0].0, "service");
    /// ```
    pub fn addrs(&self) -> [(String, SocketAddr); 2] {
        [
            ("service".into(), self.server.addr()),
            ("control".into(), self.control.addr()),
        ]
    }
}

fn serve_control(state: &Mutex<State>, call: Call) {
    match (call.method.as_str(), call.path.as_str()) {
        ("POST", "/control") => call.with_json(|call, change: Control| {
            let control = &mut lock(state).control;
            control.delay_ms = change.delay_ms.or(control.delay_ms);
            control.fail = change.fail.or(control.fail);
            control.close = change.close.or(control.close);
            control.leaving = change.leaving.or(control.leaving);
            control.capacity = change.capacity.or(control.capacity);
            call.answer(200, &());
        }),
        ("GET", "/effects") => {
            let effects = lock(state).effects.clone();
            call.answer(200, &effects);
        }
        _ => call.answer(404, &()),
    }
}

fn serve(state: &Mutex<State>, call: Call) {
    if call.method == "GET" && call.path == "/load" {
        let load = {
            let state = lock(state);
            Load {
                running: state.running,
                waiting: 0,
                capacity: state.control.capacity.unwrap_or_default(),
                leaving: state.control.leaving.unwrap_or_default(),
            }
        };
        return call.answer(200, &load);
    }
    lock(state).running += 1;
    run(state, call);
    lock(state).running -= 1;
}

fn run(state: &Mutex<State>, call: Call) {
    let delay = lock(state).control.delay_ms.unwrap_or_default();
    if !call.client().sleep(Duration::from_millis(delay)) {
        lock(state).effects.cancelled += 1;
        return;
    }
    let (number, control) = {
        let mut state = lock(state);
        let effects = &mut state.effects;
        effects.total += 1;
        if let Some(id) = call.header("x-request-id") {
            *effects.requests.entry(id.into()).or_default() += 1;
        }
        if let Some(key) = call.header("idempotency-key") {
            *effects.keys.entry(key.into()).or_default() += 1;
        }
        (effects.total, state.control.clone())
    };
    if control.close == Some(true) {
        return;
    }
    let status = if control.fail == Some(true) { 500 } else { 200 };
    let body = json!({
        "effect": number, "method": call.method, "path": call.path, "query": call.query,
        "bytes": call.body.len(), "id": call.header("x-request-id"),
    });
    call.answer(status, &body);
}
