//! Stand-in of a model runner that streams events.

use std::{
    hash::{DefaultHasher, Hash, Hasher},
    io::{BufReader, Write},
    net::{Shutdown, SocketAddr, TcpListener, TcpStream},
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicU32, Ordering},
    },
    thread,
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

use crate::{http::read_request, record::Record, store::Store};

/// Tokens in one event.
pub const STRIDE: u64 = 5;

/// Requests that run at once.
const SLOTS: u32 = 32;

/// How a runner treats requests.
#[derive(Clone, Copy, Debug)]
pub struct Behaviour {
    /// Time until the first event, and between two events.
    pub step: Duration,
    /// The process ends this long after it has sent the first event of a request whose path contains `/poison/`;
    /// `None` if such requests are like any other.
    pub crash_after: Option<Duration>,
    /// Time after which a process that has ended is started again.
    pub restart_after: Duration,
    /// Of 100 plain requests that it runs, those whose answer is lost and those that it answers with 500.
    pub lost: u64,
    pub failed: u64,
}

/// A request that a runner began to run.
#[derive(Clone, Debug)]
pub struct Run {
    pub prompt: u64,
    /// Events that were sent.
    pub events: u64,
}

/// What all runners have seen.
#[derive(Default)]
pub struct Seen {
    /// Time, id and path of all requests that reached a runner.
    pub arrivals: Vec<(f64, String, String)>,
    pub runs: Vec<Run>,
    /// Times at which a runner ended because of a request.
    pub crashes: Vec<f64>,
}

/// One process of a runner.
struct Process {
    id: String,
    ended: AtomicBool,
    running: AtomicU32,
    connections: Mutex<Vec<TcpStream>>,
}

/// A runner that is started again after each end, at the same address and under a new id.
pub struct Runner {
    name: String,
    service: String,
    zone: String,
    address: SocketAddr,
    behaviour: Behaviour,
    store: Arc<Store>,
    record: Arc<Record>,
    pub seen: Arc<Mutex<Seen>>,
}

impl Runner {
    /// Starts a runner on a free port of loopback and registers it.
    pub fn start(
        name: &str,
        service: &str,
        zone: &str,
        behaviour: Behaviour,
        store: &Arc<Store>,
        record: &Arc<Record>,
        seen: &Arc<Mutex<Seen>>,
    ) {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let runner = Arc::new(Runner {
            name: name.to_owned(),
            service: service.to_owned(),
            zone: zone.to_owned(),
            address: listener.local_addr().expect("an address"),
            behaviour,
            store: Arc::clone(store),
            record: Arc::clone(record),
            seen: Arc::clone(seen),
        });
        thread::spawn(move || runner.run(listener));
    }

    /// Runs one process after the other.
    fn run(self: Arc<Self>, mut listener: TcpListener) {
        for number in 1.. {
            let id = format!("i-{}-{number}", self.name);
            let born = SystemTime::now().duration_since(UNIX_EPOCH).unwrap();
            let entry = format!(
                "{{\"service\":\"{}\",\"address\":\"{}\",\"zone\":\"{}\",\"version\":\"v1\",\"slots\":{SLOTS},\
                 \"state\":\"ready\",\"coldLeftMs\":0,\"phase\":\"combined\",\"models\":[{{\"name\":\"m\",\
                 \"version\":1,\"adapters\":[]}}],\"sequence\":1,\"born\":{}}}",
                self.service,
                self.address,
                self.zone,
                born.as_millis()
            );
            self.store.put("servers", &id, Some(&entry));
            let process = Arc::new(Process {
                id: id.clone(),
                ended: AtomicBool::new(false),
                running: AtomicU32::new(0),
                connections: Mutex::default(),
            });
            self.accept(&process, listener);
            // Its entry is removed after three heartbeats of silence.
            let (store, gone) = (Arc::clone(&self.store), id.clone());
            thread::spawn(move || {
                thread::sleep(Duration::from_millis(3600));
                store.put("servers", &gone, None);
            });
            thread::sleep(self.behaviour.restart_after);
            listener = loop {
                match TcpListener::bind(self.address) {
                    Ok(listener) => break listener,
                    Err(_) => thread::sleep(Duration::from_millis(20)),
                }
            };
            self.record
                .line(format!("runner {} starts again", self.name));
        }
    }

    /// Accepts connections until the process ends; then nothing listens at the address any more.
    fn accept(self: &Arc<Self>, process: &Arc<Process>, listener: TcpListener) {
        listener.set_nonblocking(true).expect("a socket option");
        while !process.ended.load(Ordering::SeqCst) {
            match listener.accept() {
                Ok((stream, _)) => {
                    let _ = stream.set_nonblocking(false);
                    let _ = stream.set_nodelay(true);
                    if let Ok(copy) = stream.try_clone() {
                        process.connections.lock().unwrap().push(copy);
                    }
                    let (runner, process) = (Arc::clone(self), Arc::clone(process));
                    thread::spawn(move || runner.serve(&process, stream));
                }
                Err(_) => thread::sleep(Duration::from_millis(1)),
            }
        }
        drop(listener);
        for stream in process.connections.lock().unwrap().drain(..) {
            let _ = stream.shutdown(Shutdown::Both);
        }
    }

    fn serve(&self, process: &Arc<Process>, stream: TcpStream) {
        let Ok(mut out) = stream.try_clone() else {
            return;
        };
        let mut reader = BufReader::new(stream);
        while let Some(request) = read_request(&mut reader) {
            if process.ended.load(Ordering::SeqCst) {
                return;
            }
            let id = request.field("x-cuminloom-attempt-id").to_owned();
            let path = request.target.clone();
            let arrival = (self.record.now(), id.clone(), path.clone());
            self.seen.lock().unwrap().arrivals.push(arrival);
            self.record
                .line(format!("runner {} gets {id} {path}", process.id));
            if request.field("x-cuminloom-expect-instance") != process.id {
                let text = format!(
                    "HTTP/1.1 421 Misdirected Request\r\nX-Cuminloom-Attempt-Id: {id}\r\n\
                     X-Cuminloom-Runner-Id: {}\r\nContent-Length: 0\r\n\r\n",
                    process.id
                );
                if out.write_all(text.as_bytes()).is_err() {
                    return;
                }
                continue;
            }
            if !request.fields.contains_key("x-cuminloom-token-counts") {
                if self.answer(process, &mut out, &id).is_none() {
                    return;
                }
                continue;
            }
            let counts = request.field("x-cuminloom-token-counts");
            let mut counts = counts.split(',').filter_map(|n| n.parse::<u64>().ok());
            let prompt = counts.next().unwrap_or(0);
            let events = counts.next().unwrap_or(0) / STRIDE;
            process.running.fetch_add(1, Ordering::SeqCst);
            let done = self.stream(process, &mut out, &id, &path, prompt, events);
            process.running.fetch_sub(1, Ordering::SeqCst);
            if done.is_none() {
                return;
            }
        }
    }

    /// Runs a plain request and answers it; `None` if the connection ends, as its answer is lost.
    fn answer(&self, process: &Process, out: &mut TcpStream, id: &str) -> Option<()> {
        process.running.fetch_add(1, Ordering::SeqCst);
        thread::sleep(self.behaviour.step);
        process.running.fetch_sub(1, Ordering::SeqCst);
        let mut hasher = DefaultHasher::new();
        (id, &self.name).hash(&mut hasher);
        let luck = hasher.finish() % 100;
        if luck < self.behaviour.lost {
            let _ = out.shutdown(Shutdown::Both);
            return None;
        }
        let status = match luck < self.behaviour.lost + self.behaviour.failed {
            true => "500 Internal Server Error",
            false => "200 OK",
        };
        let text = format!(
            "HTTP/1.1 {status}\r\nX-Cuminloom-Attempt-Id: {id}\r\nX-Cuminloom-Response-Seal: seal.{id}\r\n\
             X-Cuminloom-Runner-Load: {},0,{SLOTS}\r\nKeep-Alive: timeout=5\r\nContent-Length: 4\r\n\r\ndone",
            process.running.load(Ordering::SeqCst)
        );
        out.write_all(text.as_bytes()).ok()
    }

    /// Streams the answer; `None` if the connection has ended.
    fn stream(
        &self,
        process: &Arc<Process>,
        out: &mut TcpStream,
        id: &str,
        path: &str,
        prompt: u64,
        events: u64,
    ) -> Option<()> {
        thread::sleep(self.behaviour.step);
        let index = {
            let mut seen = self.seen.lock().unwrap();
            seen.runs.push(Run { prompt, events: 0 });
            seen.runs.len() - 1
        };
        let head = format!(
            "HTTP/1.1 200 OK\r\nX-Cuminloom-Attempt-Id: {id}\r\nX-Cuminloom-Response-Seal: seal.{id}\r\n\
             X-Cuminloom-Runner-Load: {},0,{SLOTS}\r\nKeep-Alive: timeout=5\r\n\
             Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n",
            process.running.load(Ordering::SeqCst)
        );
        out.write_all(head.as_bytes()).ok()?;
        let crash_after = self
            .behaviour
            .crash_after
            .filter(|_| path.contains("/poison/"));
        let begun = Instant::now();
        for event in 1..=events {
            if event > 1 {
                let mut left = self.behaviour.step;
                if let Some(time) = crash_after {
                    left = left.min(time.saturating_sub(begun.elapsed()));
                }
                thread::sleep(left);
            }
            if event > 1 && crash_after.is_some_and(|time| begun.elapsed() >= time) {
                self.crash(process, id);
                return None;
            }
            let text = format!("id: {event}\ndata: token {event}\n\n");
            out.write_all(format!("{:x}\r\n{text}\r\n", text.len()).as_bytes())
                .ok()?;
            self.seen.lock().unwrap().runs[index].events = event;
        }
        out.write_all(b"0\r\n\r\n").ok()
    }

    /// Ends the process because of the request `id`.
    fn crash(&self, process: &Process, id: &str) {
        if process.ended.swap(true, Ordering::SeqCst) {
            return;
        }
        let now = self.record.now();
        self.seen.lock().unwrap().crashes.push(now);
        self.record
            .line(format!("runner {} crashes, it ran {id}", process.id));
    }
}
