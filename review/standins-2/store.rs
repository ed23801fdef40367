//! Stand-in of the platform's metadata store (`PROTOCOL.md`, "The platform's metadata store"): tables of rows,
//! transactions, reads and feeds. Each daemon can be given an endpoint of its own, so that the store can treat
//! machines differently.

use std::collections::BTreeMap;
use std::io::Write;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::{Request, read_request};
use crate::json::{Json, base64, parse, quote, unbase64};

/// Time that a call takes.
const CALL_TIME: Duration = Duration::from_millis(3);

/// How an endpoint answers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[allow(dead_code)]
pub enum Mode {
    /// Calls are served.
    Normal,
    /// All calls get 503: nothing was done.
    Busy,
    /// Connections are accepted and calls get no answer; nothing is done.
    Silent,
    /// Writes are done and their answers are lost; the connection closes.
    LosesAnswers,
}

type Key = (String, String, String);

#[derive(Default)]
struct State {
    version: u64,
    /// Version and base64 value; `None` in a removed row.
    rows: BTreeMap<Key, (u64, Option<String>)>,
}

struct Shared {
    state: Mutex<State>,
    changed: Condvar,
    start: Instant,
}

/// A running store.
#[derive(Clone)]
pub struct Store {
    shared: Arc<Shared>,
    modes: Vec<Arc<Mutex<Mode>>>,
    pub addresses: Vec<SocketAddr>,
}

impl Store {
    /// Starts a store with `endpoints` addresses.
    pub fn start(endpoints: usize) -> Store {
        let mut store = Store {
            shared: Arc::new(Shared {
                state: Mutex::default(),
                changed: Condvar::new(),
                start: Instant::now(),
            }),
            modes: Vec::new(),
            addresses: Vec::new(),
        };
        for _ in 0..endpoints {
            let listener = TcpListener::bind("127.0.0.1:0").expect("free port");
            store
                .addresses
                .push(listener.local_addr().expect("address"));
            let mode = Arc::new(Mutex::new(Mode::Normal));
            store.modes.push(Arc::clone(&mode));
            let shared = Arc::clone(&store.shared);
            thread::spawn(move || {
                for stream in listener.incoming().map_while(Result::ok) {
                    let (shared, mode) = (Arc::clone(&shared), Arc::clone(&mode));
                    thread::spawn(move || serve(&shared, &mode, stream));
                }
            });
        }
        store
    }

    /// Sets how the endpoint `i` answers.
    #[allow(dead_code)]
    pub fn set_mode(&self, i: usize, mode: Mode) {
        *self.modes[i].lock().expect("lock") = mode;
        self.shared.changed.notify_all();
    }

    /// Writes a row, as the operator or a runner does.
    pub fn put(&self, table: &str, key: &str, value: &str) {
        let mut state = self.shared.state.lock().expect("lock");
        state.version += 1;
        let version = state.version;
        let key = (table.to_owned(), String::new(), key.to_owned());
        state
            .rows
            .insert(key, (version, Some(base64(value.as_bytes()))));
        drop(state);
        self.shared.changed.notify_all();
    }

    /// Removes a row.
    #[allow(dead_code)]
    pub fn remove(&self, table: &str, key: &str) {
        let mut state = self.shared.state.lock().expect("lock");
        state.version += 1;
        let version = state.version;
        let key = (table.to_owned(), String::new(), key.to_owned());
        state.rows.insert(key, (version, None));
        drop(state);
        self.shared.changed.notify_all();
    }

    /// Values of all rows of a table, by key.
    #[allow(dead_code)]
    pub fn table(&self, table: &str) -> Vec<(String, String)> {
        let state = self.shared.state.lock().expect("lock");
        let rows = state.rows.iter().filter(|((t, ..), _)| t == table);
        rows.filter_map(|((_, _, k), (_, v))| {
            let bytes = unbase64(v.as_ref()?);
            Some((k.clone(), String::from_utf8_lossy(&bytes).into_owned()))
        })
        .collect()
    }
}

fn row_json((table, part, key): &Key, (version, value): &(u64, Option<String>)) -> String {
    let name = format!(
        "\"table\":{},\"part\":{},\"key\":{},\"rowVersion\":{version}",
        quote(table),
        quote(part),
        quote(key)
    );
    match value {
        Some(value) => format!("{{{name},\"value\":\"{value}\"}}"),
        None => format!("{{{name},\"deleted\":true}}"),
    }
}

fn page(rows: &[String], state: &State, shared: &Shared) -> String {
    format!(
        "{{\"rows\":[{}],\"hasMore\":false,\"rowVersion\":{},\"nowMs\":{}}}",
        rows.join(","),
        state.version,
        shared.start.elapsed().as_millis()
    )
}

fn key_of(json: &Json) -> Key {
    let text = |name| json.get(name).text().to_owned();
    (text("table"), text("part"), text("key"))
}

/// Performs a transaction: all of its entries or none.
fn transact(shared: &Shared, body: &Json) -> (u16, String) {
    let mut state = shared.state.lock().expect("lock");
    let current = |state: &State, key: &Key| match state.rows.get(key) {
        Some((version, Some(_))) => *version,
        _ => 0,
    };
    let expected = body.get("expectedRevision").list();
    let holds = expected
        .iter()
        .all(|e| current(&state, &key_of(e)) == e.get("rowVersion").integer());
    if !holds {
        let rows: Vec<String> = expected
            .iter()
            .map(key_of)
            .filter_map(|k| state.rows.get(&k).map(|r| row_json(&k, r)))
            .collect();
        return (412, page(&rows, &state, shared));
    }
    state.version += 1;
    let version = state.version;
    for write in body.get("write").list() {
        let value = write.get("value").text().to_owned();
        state.rows.insert(key_of(write), (version, Some(value)));
    }
    for row in body.get("remove").list() {
        state.rows.insert(key_of(row), (version, None));
    }
    let answer = page(&[], &state, shared);
    drop(state);
    shared.changed.notify_all();
    (200, answer)
}

/// Reads a whole table.
fn read_rows(shared: &Shared, request: &Request) -> String {
    let table = request.query("table").unwrap_or_default();
    let state = shared.state.lock().expect("lock");
    let rows: Vec<String> = state
        .rows
        .iter()
        .filter(|((t, ..), (_, value))| *t == table && value.is_some())
        .map(|(k, r)| row_json(k, r))
        .collect();
    page(&rows, &state, shared)
}

/// Waits for changes of a table.
fn read_feed(shared: &Shared, mode: &Mutex<Mode>, request: &Request) -> String {
    let table = request.query("table").unwrap_or_default();
    let number = |name| {
        let value = request.query(name).and_then(|v| v.parse::<u64>().ok());
        value.unwrap_or(0)
    };
    let since = number("sinceRevision");
    let end = Instant::now() + Duration::from_millis(number("waitMs").min(30_000));
    let mut state = shared.state.lock().expect("lock");
    loop {
        let mut rows: Vec<_> = state
            .rows
            .iter()
            .filter(|((t, ..), (version, _))| *t == table && *version > since)
            .collect();
        rows.sort_by_key(|(_, (version, _))| *version);
        let left = end.saturating_duration_since(Instant::now());
        let down = *mode.lock().expect("lock") != Mode::Normal;
        if !rows.is_empty() || left.is_zero() || down {
            let rows: Vec<String> = rows.into_iter().map(|(k, r)| row_json(k, r)).collect();
            return page(&rows, &state, shared);
        }
        state = shared.changed.wait_timeout(state, left).expect("lock").0;
    }
}

/// Waits until the endpoint is no longer silent. The call that waited gets no answer.
fn wait_silent(mode: &Mutex<Mode>) -> bool {
    let mut was = false;
    while *mode.lock().expect("lock") == Mode::Silent {
        was = true;
        thread::sleep(Duration::from_millis(20));
    }
    was
}

fn serve(shared: &Shared, mode: &Mutex<Mode>, mut stream: TcpStream) {
    let _ = stream.set_nodelay(true);
    let mut buf = Vec::new();
    while let Some(request) = read_request(&mut stream, &mut buf) {
        if wait_silent(mode) {
            return;
        }
        thread::sleep(CALL_TIME);
        let now = *mode.lock().expect("lock");
        let (status, body) = match (request.method.as_str(), request.path()) {
            _ if now == Mode::Busy => (503, "{}".to_owned()),
            ("POST", "/rows-tx") => match parse(&String::from_utf8_lossy(&request.body)) {
                Some(json) => transact(shared, &json),
                None => (400, "{}".to_owned()),
            },
            ("GET", "/rows-get") => (200, read_rows(shared, &request)),
            ("GET", "/rows-feed") => (200, read_feed(shared, mode, &request)),
            _ => (404, "{}".to_owned()),
        };
        if now == Mode::LosesAnswers && request.method == "POST" {
            return;
        }
        if wait_silent(mode) {
            return;
        }
        let busy = *mode.lock().expect("lock") == Mode::Busy;
        let (status, body) = if busy {
            (503, "{}".to_owned())
        } else {
            (status, body)
        };
        let text = format!(
            "HTTP/1.1 {status} X\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n{body}",
            body.len()
        );
        if stream.write_all(text.as_bytes()).is_err() {
            return;
        }
    }
}
