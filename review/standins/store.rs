//! Stand-in of the platform's store, as `PROTOCOL.md` describes it: rows, feeds and transactions.

use std::{
    collections::BTreeMap,
    io::{BufReader, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    sync::{
        Arc, Condvar, Mutex,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use crate::{
    http::{Request, read_request},
    json::{Json, base64},
};

/// Time that a call takes.
const CALL_TIME: Duration = Duration::from_millis(3);

/// Most rows of one answer.
const PAGE_ROWS: usize = 500;

/// Table, part and key of a row.
type RowKey = (String, String, String);

#[derive(Default)]
struct State {
    version: u64,
    /// Version, and value in base64; no value in a row that was removed.
    rows: BTreeMap<RowKey, (u64, Option<String>)>,
}

/// A running store.
pub struct Store {
    start: Instant,
    state: Mutex<State>,
    changed: Condvar,
}

/// An address of the store, which may turn all calls away.
#[derive(Clone)]
pub struct Endpoint {
    pub address: SocketAddr,
    store: Arc<Store>,
    turns_away: Arc<AtomicBool>,
}

impl Endpoint {
    /// Begins or ends a time in which all calls at this address are answered with 503 and nothing is done.
    pub fn turn_away(&self, turns_away: bool) {
        self.turns_away.store(turns_away, Ordering::SeqCst);
        self.store.changed.notify_all();
    }
}

impl Store {
    /// Starts a store.
    pub fn start() -> Arc<Store> {
        Arc::new(Store {
            start: Instant::now(),
            state: Mutex::default(),
            changed: Condvar::new(),
        })
    }

    /// Opens an address of the store, on a free port of loopback.
    pub fn open(self: &Arc<Self>) -> Endpoint {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let endpoint = Endpoint {
            address: listener.local_addr().expect("an address"),
            store: Arc::clone(self),
            turns_away: Arc::default(),
        };
        let serving = endpoint.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let endpoint = serving.clone();
                thread::spawn(move || endpoint.store.serve(stream, &endpoint.turns_away));
            }
        });
        endpoint
    }

    /// Whether the store has this row.
    pub fn has(&self, table: &str, key: &str) -> bool {
        let state = self.state.lock().unwrap();
        let key = (table.to_owned(), String::new(), key.to_owned());
        state
            .rows
            .get(&key)
            .is_some_and(|(_, value)| value.is_some())
    }

    /// Writes a row, or removes it, as the operator or a runner does.
    pub fn put(&self, table: &str, key: &str, value: Option<&str>) {
        let mut state = self.state.lock().unwrap();
        state.version += 1;
        let version = state.version;
        let key = (table.to_owned(), String::new(), key.to_owned());
        let value = value.map(|v| base64(v.as_bytes()));
        state.rows.insert(key, (version, value));
        self.changed.notify_all();
    }

    fn serve(&self, stream: TcpStream, turns_away: &AtomicBool) {
        let _ = stream.set_nodelay(true);
        let mut reader = BufReader::new(stream);
        while let Some(request) = read_request(&mut reader) {
            thread::sleep(CALL_TIME);
            let (status, body) = match turns_away.load(Ordering::SeqCst) {
                true => (503, "{}".to_owned()),
                false => self.answer(&request, turns_away),
            };
            let text = format!(
                "HTTP/1.1 {status} Answer\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n{body}",
                body.len()
            );
            if reader.get_mut().write_all(text.as_bytes()).is_err() {
                return;
            }
        }
    }

    fn answer(&self, request: &Request, turns_away: &AtomicBool) -> (u16, String) {
        let (path, query) = request.query();
        match (request.method.as_str(), path.as_str()) {
            ("POST", "/rows-tx") => {
                let body = String::from_utf8_lossy(&request.body).into_owned();
                match Json::parse(&body) {
                    Some(body) => self.transact(&body),
                    None => (400, "{}".to_owned()),
                }
            }
            ("GET", "/rows-get") => (200, self.read(&query)),
            ("GET", "/rows-feed") => self.feed(&query, turns_away),
            _ => (404, "{}".to_owned()),
        }
    }

    fn page(&self, state: &State, rows: &[Json], more: bool) -> String {
        Json::Table(BTreeMap::from([
            ("rows".to_owned(), Json::List(rows.to_vec())),
            ("hasMore".to_owned(), Json::Bool(more)),
            ("rowVersion".to_owned(), Json::Number(state.version as f64)),
            (
                "nowMs".to_owned(),
                Json::Number(self.start.elapsed().as_millis() as f64),
            ),
        ]))
        .to_string()
    }

    fn transact(&self, body: &Json) -> (u16, String) {
        let mut state = self.state.lock().unwrap();
        let key = |e: &Json| -> RowKey {
            let part = |name| e.get(name).text().to_owned();
            (part("table"), part("part"), part("key"))
        };
        let expected = body.get("expectedRevision").list();
        let holds = expected.iter().all(|e| {
            let row = state.rows.get(&key(e)).filter(|(_, v)| v.is_some());
            row.map_or(0, |(version, _)| *version) == e.get("rowVersion").number()
        });
        if !holds {
            let rows: Vec<Json> = expected
                .iter()
                .filter_map(|e| state.rows.get_key_value(&key(e)))
                .filter(|(_, (_, value))| value.is_some())
                .map(|(key, row)| row_json(key, row))
                .collect();
            return (412, self.page(&state, &rows, false));
        }
        let foreign = |e: &Json| ["op", "servers"].contains(&e.get("table").text());
        let (write, remove) = (body.get("write").list(), body.get("remove").list());
        if write.iter().chain(remove).any(foreign) {
            return (403, "{}".to_owned());
        }
        state.version += 1;
        let version = state.version;
        for entry in write {
            let value = entry.get("value").text().to_owned();
            state.rows.insert(key(entry), (version, Some(value)));
        }
        for entry in remove {
            state.rows.insert(key(entry), (version, None));
        }
        self.changed.notify_all();
        (200, self.page(&state, &[], false))
    }

    fn read(&self, query: &BTreeMap<String, String>) -> String {
        let state = self.state.lock().unwrap();
        let field = |name: &str| query.get(name).map_or("", |v| v);
        let limit = field("limit").parse().unwrap_or(PAGE_ROWS).min(PAGE_ROWS);
        let rows: Vec<Json> = state
            .rows
            .iter()
            .filter(|((table, part, key), (_, value))| {
                table == field("table")
                    && part == field("part")
                    && key.as_str() >= field("source")
                    && value.is_some()
            })
            .map(|(key, row)| row_json(key, row))
            .collect();
        self.page(&state, &rows[..rows.len().min(limit)], rows.len() > limit)
    }

    fn feed(&self, query: &BTreeMap<String, String>, turns_away: &AtomicBool) -> (u16, String) {
        let number = |name: &str| query.get(name).and_then(|v| v.parse::<u64>().ok());
        let since = number("sinceRevision").unwrap_or(0);
        let wait = Duration::from_millis(number("waitMs").unwrap_or(0).min(30_000));
        let table = query.get("table").cloned().unwrap_or_default();
        let end = Instant::now() + wait;
        let mut state = self.state.lock().unwrap();
        loop {
            if turns_away.load(Ordering::SeqCst) {
                return (503, "{}".to_owned());
            }
            let mut rows: Vec<_> = state
                .rows
                .iter()
                .filter(|((t, _, _), (version, _))| *t == table && *version > since)
                .collect();
            let left = end.saturating_duration_since(Instant::now());
            if !rows.is_empty() || left.is_zero() {
                rows.sort_by_key(|(_, (version, _))| *version);
                let rows: Vec<Json> = rows.iter().map(|(k, r)| row_json(k, r)).collect();
                return (200, self.page(&state, &rows, false));
            }
            state = self.changed.wait_timeout(state, left).unwrap().0;
        }
    }
}

fn row_json(key: &RowKey, row: &(u64, Option<String>)) -> Json {
    let mut entries = BTreeMap::from([
        ("table".to_owned(), Json::Text(key.0.clone())),
        ("part".to_owned(), Json::Text(key.1.clone())),
        ("key".to_owned(), Json::Text(key.2.clone())),
        ("rowVersion".to_owned(), Json::Number(row.0 as f64)),
    ]);
    match &row.1 {
        Some(value) => entries.insert("value".to_owned(), Json::Text(value.clone())),
        None => entries.insert("deleted".to_owned(), Json::Bool(true)),
    };
    Json::Table(entries)
}
