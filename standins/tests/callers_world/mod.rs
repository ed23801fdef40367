//! A daemon between test callers and a target whose answers follow a script.

// Each test file uses a part of this.
#![allow(dead_code)]

use std::{
    io::{
        BufRead,
        BufReader,
        Read,
        Write, //
    },
    net::{
        SocketAddr,
        TcpListener,
        TcpStream, //
    },
    sync::{
        Arc,
        Mutex, //
    },
    thread,
    time::{
        Duration,
        Instant, //
    },
};

use cuminloom::config::ItemKind;
use cuminloom_standins::fleet::{
    Fleet,
    KEY,
    Plan, //
};
use serde_json::{
    Value,
    json, //
};

/// Key of the second customer.
pub(crate) const OTHER_KEY: &str = "hsin-key";

/// Longest wait for a state; only a fault takes this long.
const LIMIT: Duration = Duration::from_secs(60);

/// Scripts of the target. Each has a service and a profile of its own, so that a target that one
/// check makes fail does not stand out of use in the next.
const CHAT: [&str; 9] = [
    "stream",
    "paced",
    "stream-cut",
    "no-mark",
    "whole-cut",
    "whole-chunk-cut",
    "chat-close",
    "chat-hang",
    "bare",
];
const PLAIN: [&str; 8] = [
    "ok",
    "chunked",
    "chunk-cut",
    "length-cut",
    "unmarked",
    "close",
    "hang",
    "fail",
];

/// A request as the target got it.
#[derive(Clone, Debug)]
pub(crate) struct Seen {
    /// Request line and headers in lower case.
    pub(crate) head: String,
    /// Body.
    pub(crate) body: String,
}

impl Seen {
    /// Value of a header in lower case.
    pub(crate) fn header(&self, name: &str) -> Option<&str> {
        let mut lines = self.head.lines().skip(1);
        lines.find_map(|line| line.strip_prefix(name)?.strip_prefix(": "))
    }
}

/// A target, and a trace collector, in this process.
pub(crate) struct Target {
    pub(crate) addr: SocketAddr,
    seen: Arc<Mutex<Vec<Seen>>>,
    /// Lets the script `paced` send its next event.
    pub(crate) go: flume::Sender<()>,
}

impl Target {
    pub(crate) fn bind() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let addr = listener.local_addr().unwrap();
        let (go, wait) = flume::unbounded();
        let seen = Arc::new(Mutex::new(Vec::new()));
        let log = seen.clone();
        thread::spawn(move || {
            for stream in listener.incoming().map_while(Result::ok) {
                let (log, wait) = (log.clone(), wait.clone());
                thread::spawn(move || serve(stream, &log, &wait));
            }
        });
        Self { addr, seen, go }
    }

    /// Requests whose head or body contains `mark`.
    pub(crate) fn seen(&self, mark: &str) -> Vec<Seen> {
        let seen = self.seen.lock().unwrap();
        let found = |seen: &&Seen| seen.head.contains(mark) || seen.body.contains(mark);
        seen.iter().filter(found).cloned().collect()
    }
}

fn serve(stream: TcpStream, log: &Mutex<Vec<Seen>>, wait: &flume::Receiver<()>) {
    let mut input = BufReader::new(stream);
    let mut head = Vec::new();
    while !head.ends_with(b"\r\n\r\n") {
        if input.read_until(b'\n', &mut head).unwrap_or(0) == 0 {
            return;
        }
    }
    let head = String::from_utf8_lossy(&head).to_lowercase();
    let mut seen = Seen {
        head,
        body: String::new(),
    };
    let length = seen
        .header("content-length")
        .map_or(0, |text| text.parse().unwrap());
    let mut body = vec![0; length];
    if input.read_exact(&mut body).is_err() {
        return;
    }
    seen.body = String::from_utf8_lossy(&body).into_owned();
    let path = seen.head.split(' ').nth(1).unwrap().to_owned();
    let mut out = input.into_inner();
    if path == "/load" {
        let load = json!({ "running": 0, "waiting": 0, "capacity": 64, "leaving": false });
        let _ = out.write_all(whole("application/json", &load.to_string()).as_bytes());
        return;
    }
    let script = match serde_json::from_str::<Value>(&seen.body) {
        Ok(body) if path.ends_with("/chat/completions") => {
            let text = body["messages"][0]["content"].as_str().unwrap_or_default();
            text.split(' ').next().unwrap_or_default().to_owned()
        }
        _ => path.rsplit('/').next().unwrap_or_default().to_owned(),
    };
    log.lock().unwrap().push(seen);
    // The daemon may close the connection at any time.
    let _ = play(&mut out, &script, wait);
}

fn whole(kind: &str, body: &str) -> String {
    format!(
        "HTTP/1.1 200 OK\r\nContent-Type: {kind}\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    )
}

fn chunk(text: &str) -> String {
    format!("{:x}\r\n{text}\r\n", text.len())
}

fn event(text: &str) -> String {
    let data = json!({ "choices": [{ "index": 0, "delta": { "content": text } }] });
    chunk(&format!("data: {data}\n\n"))
}

fn play(out: &mut TcpStream, script: &str, wait: &flume::Receiver<()>) -> std::io::Result<()> {
    let chunked = |kind: &str| {
        format!("HTTP/1.1 200 OK\r\nContent-Type: {kind}\r\nTransfer-Encoding: chunked\r\n\r\n")
    };
    let stream = chunked("text/event-stream");
    let usage = json!({ "choices": [], "usage": {
        "prompt_tokens": 4, "completion_tokens": 3, "total_tokens": 7,
    } });
    let done = chunk("data: [DONE]\n\n") + "0\r\n\r\n";
    let answer = match script {
        "chunked" => chunked("text/plain") + &chunk("first ") + &chunk("second") + "0\r\n\r\n",
        "chunk-cut" => chunked("text/plain") + &chunk("first "),
        "length-cut" => "HTTP/1.1 200 OK\r\nContent-Length: 99\r\n\r\nfirst".into(),
        "unmarked" => "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n\r\nfirst".into(),
        "close" | "chat-close" => String::new(),
        "hang" | "chat-hang" => {
            out.read_to_end(&mut Vec::new())?;
            String::new()
        }
        "fail" => {
            "HTTP/1.1 500 Oops\r\nContent-Type: text/plain\r\nContent-Length: 4\r\n\r\noops".into()
        }
        "stream" => {
            let usage = chunk(&format!("data: {usage}\n\n"));
            stream + &event("a") + &event("b") + &event("c") + &usage + &done
        }
        "stream-cut" => stream + &event("a") + &event("b"),
        "no-mark" => stream + &event("a") + "0\r\n\r\n",
        "whole-cut" => {
            "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: 99\r\n\r\n{}"
                .into()
        }
        "whole-chunk-cut" => chunked("application/json") + &chunk("{\"choices\":[]}"),
        "bare" => whole("application/json", "{\"choices\":[{\"text\":\"kept\"}]}"),
        "paced" => {
            out.write_all(stream.as_bytes())?;
            for text in ["a", "b", "c"] {
                let _ = wait.recv();
                out.write_all(event(text).as_bytes())?;
            }
            done
        }
        _ => whole("text/plain", "fine"),
    };
    out.write_all(answer.as_bytes())
}

/// One daemon with its deployment and the scripted target.
pub(crate) struct World {
    pub(crate) fleet: Fleet,
    pub(crate) target: Target,
}

impl World {
    pub(crate) fn start() -> Self {
        let target = Target::bind();
        let mut items = Vec::new();
        for name in CHAT {
            items.extend(service(name, "engine", target.addr, "lamps"));
        }
        for name in PLAIN {
            items.extend(service(name, "plain", target.addr, "lamps"));
        }
        items.extend(service("poor", "engine", target.addr, "tiny"));
        items.extend(service(
            "away",
            "plain",
            "127.0.0.1:1".parse().unwrap(),
            "lamps",
        ));
        let once = json!({ "profile": profile("close", "lamps", "once", 10_000, 64) });
        items.push((ItemKind::Profile, "close-once", once));
        let long =
            json!({ "profile": profile("loom-writers", "long", "idempotent", 30_000, 4096) });
        items.push((ItemKind::Profile, "long", long));
        let fleet = Fleet::start(Plan {
            dcs: vec![("cebu-north", 1)],
            items,
            budgets: vec![("tiny", 10), ("long", 100_000)],
            settings: json!({
                "caller": { "body_limit": 100_000, "metrics": true },
                "trace": { "addr": target.addr.to_string(), "sample": 1.0 },
                "log": { "level": "debug" },
            }),
            capture: true,
            ..Plan::default()
        })
        .unwrap();
        Self { fleet, target }
    }

    pub(crate) fn addr(&self) -> SocketAddr {
        self.fleet.members[0].caller
    }

    pub(crate) fn request(&self, method: minreq::Method, path: &str, key: &str) -> minreq::Request {
        minreq::Request::new(method, format!("http://{}{path}", self.addr()))
            .with_header("Authorization", format!("Bearer {key}"))
            .with_timeout(LIMIT.as_secs())
    }

    pub(crate) fn post(&self, path: &str, body: &str) -> minreq::Response {
        let request = self.request(minreq::Method::Post, path, KEY);
        request.with_body(body).send().unwrap()
    }

    /// Posts to a plain service with an idempotency key.
    pub(crate) fn keyed(&self, path: &str, idempotency: &str, body: &str) -> minreq::Response {
        let request = self.request(minreq::Method::Post, path, KEY);
        let request = request.with_header("idempotency-key", idempotency);
        request.with_body(body).send().unwrap()
    }

    pub(crate) fn chat(&self, body: &Value) -> minreq::Response {
        self.post("/v1/chat/completions", &body.to_string())
    }

    /// Data lines of a stream, and whether it held an error event.
    pub(crate) fn stream(&self, body: &Value) -> Vec<String> {
        let reply = self.chat(body);
        assert_eq!(reply.status_code, 200, "{:?}", reply.as_str());
        let text = reply.as_str().unwrap();
        let lines = text.lines().filter(|line| !line.is_empty());
        lines.map(str::to_owned).collect()
    }

    /// Sends bytes on a new connection and ends its sending half.
    pub(crate) fn raw(&self, bytes: &str) -> TcpStream {
        let mut stream = TcpStream::connect(self.addr()).unwrap();
        stream.write_all(bytes.as_bytes()).unwrap();
        stream.shutdown(std::net::Shutdown::Write).unwrap();
        stream
    }

    pub(crate) fn log(&self) -> String {
        std::fs::read_to_string(&self.fleet.members[0].log).unwrap()
    }
}

/// A chat body whose prompt starts with the name of its profile and script.
pub(crate) fn ask(script: &str, stream: bool) -> Value {
    json!({
        "model": script, "stream": stream,
        "messages": [{ "role": "user", "content": format!("{script} please") }],
    })
}

fn profile(service: &str, budget: &str, repeat: &str, deadline: u64, output: u64) -> Value {
    json!({
        "customers": ["anod", "hsin"], "service": service, "budget": budget,
        "urgency": "urgent", "repeat": repeat, "output": output, "charge": 3,
        "deadline_ms": deadline,
    })
}

fn service(
    name: &'static str,
    kind: &str,
    addr: SocketAddr,
    budget: &str,
) -> [(ItemKind, &'static str, Value); 2] {
    let target = json!({ "id": format!("t-{name}"), "addr": addr.to_string(), "dc": "cebu-north" });
    let service = json!({ "kind": kind, "model": "small", "targets": [target] });
    let deadline = if name.ends_with("hang") {
        1_000
    } else {
        10_000
    };
    let profile = profile(name, budget, "idempotent", deadline, 64);
    [
        (ItemKind::Service, name, json!({ "service": service })),
        (ItemKind::Profile, name, json!({ "profile": profile })),
    ]
}

/// Waits until `check` returns something.
pub(crate) fn wait_for<T>(what: &str, mut check: impl FnMut() -> Option<T>) -> T {
    let start = Instant::now();
    loop {
        if let Some(found) = check() {
            return found;
        }
        assert!(start.elapsed() < LIMIT, "waited too long for {what}");
        thread::sleep(Duration::from_millis(10));
    }
}

/// Value of a header of an answer.
pub(crate) fn header<'a>(reply: &'a minreq::Response, name: &'a str) -> Option<&'a str> {
    reply.headers(name).next()
}

/// Checks that an error states its status, code and verdict everywhere.
pub(crate) fn check(reply: &minreq::Response, status: u16, code: &str, verdict: &str) {
    let text = reply.as_str().unwrap();
    let body: Value = serde_json::from_str(text).unwrap_or_else(|_| panic!("no JSON: {text}"));
    let found = (reply.status_code, body["error"]["code"].as_str().unwrap());
    assert_eq!(found, (status, code), "{text}");
    check_verdict(reply, verdict);
}

/// Checks that an error states its verdict in the header and the body.
pub(crate) fn check_verdict(reply: &minreq::Response, verdict: &str) {
    let body: Value = serde_json::from_str(reply.as_str().unwrap()).unwrap();
    assert!(reply.status_code >= 400, "{body}");
    assert_eq!(body["error"]["verdict"], verdict, "{body}");
    assert_eq!(
        header(reply, "x-cuminloom-verdict"),
        Some(verdict),
        "{body}"
    );
    assert!(body["error"]["message"].is_string() && body["error"]["type"].is_string());
}
