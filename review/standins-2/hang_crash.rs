//! A request hangs its runner after the first token and crashes it seconds later, when callers have given it up.

use std::io::{ErrorKind, Read, Write};
use std::net::TcpStream;
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};
use std::sync::mpsc::{Sender, channel};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::fleet::{Daemon, Place, Record, temporary_folder};
use crate::http::Request;
use crate::runner::{Answer, Runner, sealed_head};
use crate::store::Store;

/// `contactMs` of the settings.
const CONTACT: Duration = Duration::from_millis(3000);

/// Retries that the rule allows after that.
const ALLOWED: usize = 3;

/// Gap after which a client abandons a stream: four times the objective of 600 ms, more than two seconds and than eight
/// pauses of 200 ms.
const GAP: Duration = Duration::from_millis(2400);

/// Time between the first event and the crash, with the disruption and without it.
const HANGS: Duration = Duration::from_millis(4000);
const CRASHES_AT_ONCE: Duration = Duration::from_millis(50);

/// Time after which a runner that crashed is back, under a new id.
const BACK_AFTER: Duration = Duration::from_millis(3000);

/// Time between two sends of the request that crashes runners.
const COMES_AGAIN: Duration = Duration::from_millis(6000);

/// Length of the case, from the first such request on.
const LENGTH: Duration = Duration::from_secs(90);

const DAEMONS: usize = 3;
const RUNNERS: usize = 8;

/// Body of the request that crashes runners.
const POISON: &str = "crash";

/// Events of a sound stream, and time between two of them.
const EVENTS: usize = 20;
const STEP: Duration = Duration::from_millis(25);

/// Pause between two requests of a sound client.
const PAUSE: Duration = Duration::from_millis(100);

/// What the runners share.
struct World {
    store: Store,
    record: Record,
    /// Times at which a runner began to run the request, and at which one crashed.
    runs: Mutex<Vec<Instant>>,
    crashes: Mutex<Vec<Instant>>,
    last: AtomicU32,
    crashed: Sender<String>,
    runners: Mutex<Vec<Runner>>,
}

/// Writes event `n` as a chunk.
fn write_event(out: &mut TcpStream, n: usize) -> bool {
    let event = format!("id: {n}\ndata: five tokens\n\n");
    let chunk = format!("{:x}\r\n{event}\r\n", event.len());
    out.write_all(chunk.as_bytes()).is_ok()
}

/// Starts a runner under a new id.
fn start(world: &Arc<World>, hangs: Duration) {
    let id = format!("i-model-{}", world.last.fetch_add(1, Ordering::SeqCst));
    let (own, shared) = (id.clone(), Arc::clone(world));
    let ended: Arc<AtomicBool> = Arc::default();
    let has_ended = Arc::clone(&ended);
    let answer: Arc<Answer> = Arc::new(move |request: &Request, out: &mut TcpStream| {
        let head = sealed_head(request, "200 OK");
        let head =
            format!("{head}Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n");
        thread::sleep(STEP);
        if has_ended.load(Ordering::SeqCst) || out.write_all(head.as_bytes()).is_err() {
            return false;
        }
        if request.body == POISON.as_bytes() {
            shared.runs.lock().expect("lock").push(Instant::now());
            write_event(out, 1);
            // The request hangs: its connection is not looked at any more.
            thread::sleep(hangs);
            if !has_ended.swap(true, Ordering::SeqCst) {
                shared.crashes.lock().expect("lock").push(Instant::now());
                shared.record.add(format!("runner {own} crashes"));
                let _ = shared.crashed.send(own.clone());
            }
            return false;
        }
        for n in 1..=EVENTS {
            if has_ended.load(Ordering::SeqCst) || !write_event(out, n) {
                return false;
            }
            thread::sleep(STEP);
        }
        out.write_all(b"0\r\n\r\n").is_ok()
    });
    let runner = Runner::start(
        &world.store,
        &id,
        "van-assist",
        "tw-north-a",
        32,
        &world.record,
        answer,
    );
    world.runners.lock().expect("lock").push(runner);
}

fn config() -> String {
    "{\"version\":3,\"routes\":[{\"name\":\"r-question\",\"hostname\":\"vans.example\",\"prefix\":\"/question/\",\
     \"type\":\"streaming\",\"timeoutMs\":15000,\"sloMs\":600,\"priority\":1,\"service\":\"van-assist\",\
     \"maxAttempts\":1,\"public\":false,\"sessionAffinity\":true,\"streamResume\":false,\"itlTargetMs\":200}],\
     \"services\":[{\"name\":\"van-assist\",\"healthPath\":\"/healthz\",\"maxConns\":230,\"protocol\":\"h1\",\"tls\":false,\
     \"engine\":{\"slots\":32,\"kvCapacity\":484259,\"stride\":5}}],\
     \"limits\":{\"maxHeaderBytes\":16384,\"maxBodyBytes\":4194304,\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000},\
     \"tenants\":[{\"name\":\"village\",\"apiKeys\":[\"key-village\"],\"priority\":1}]}"
        .to_owned()
}

/// A request for a stream; its last prompt part is its own.
fn request(id: &str, part: u64, body: &str) -> String {
    format!(
        "POST /question/2f HTTP/1.1\r\nHost: vans.example\r\nX-Cuminloom-Attempt-Id: {id}\r\nX-Cuminloom-Model: m\r\n\
         X-Cuminloom-Token-Counts: 300,100\r\nX-Cuminloom-Prefix-Hash: 5c1e07a2:100,{part:x}:200\r\n\
         X-Cuminloom-Deadline-Ms: 15000\r\nAuthorization: Bearer key-village\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    )
}

/// Sends a request and reads its stream until the end or a gap of [`GAP`]. Returns the status, 0 for none, and whether the
/// stream is complete.
fn read_stream(place: &Place, text: &str) -> (u16, bool) {
    let Ok(mut stream) = TcpStream::connect(place.frontend) else {
        return (0, false);
    };
    if stream.write_all(text.as_bytes()).is_err() {
        return (0, false);
    }
    let _ = stream.set_read_timeout(Some(GAP));
    let (mut bytes, mut piece) = (Vec::new(), vec![0; 16 * 1024]);
    loop {
        match stream.read(&mut piece) {
            Ok(n) if n > 0 => bytes.extend_from_slice(&piece[..n]),
            Err(e) if e.kind() == ErrorKind::Interrupted => {}
            _ => break,
        }
        let refused = bytes.starts_with(b"HTTP/1.1 5") && bytes.ends_with(b"}");
        if refused || bytes.ends_with(b"0\r\n\r\n") {
            break;
        }
    }
    let text = String::from_utf8_lossy(&bytes);
    let status = text
        .split(' ')
        .nth(1)
        .and_then(|s| s.parse().ok())
        .unwrap_or(0);
    (status, status == 200 && bytes.ends_with(b"0\r\n\r\n"))
}

/// Plays the case; returns whether the rule held.
pub fn play(record: &Record, trouble: bool) -> bool {
    let folder = temporary_folder("hang-crash");
    let store = Store::start(1);
    store.put("op", "config", &config());
    let (crashed, crashes) = channel();
    let world = Arc::new(World {
        store: store.clone(),
        record: record.clone(),
        runs: Mutex::default(),
        crashes: Mutex::default(),
        last: AtomicU32::new(0),
        crashed,
        runners: Mutex::default(),
    });
    let hangs = if trouble { HANGS } else { CRASHES_AT_ONCE };
    (0..RUNNERS).for_each(|_| start(&world, hangs));
    let keeper = Arc::clone(&world);
    thread::spawn(move || {
        for id in crashes {
            if let Some(runner) = keeper
                .runners
                .lock()
                .expect("lock")
                .iter()
                .find(|r| r.id == id)
            {
                runner.end();
            }
            let world = Arc::clone(&keeper);
            thread::spawn(move || {
                thread::sleep(BACK_AFTER);
                world.store.remove("servers", &id);
                start(&world, hangs);
            });
        }
    });
    let places: Vec<Place> = (0..DAEMONS)
        .map(|n| Place::choose(n as u8, "tw-north-a"))
        .collect();
    let daemons: Vec<Daemon> = places
        .iter()
        .map(|place| Daemon::start(place, store.addresses[0], &places, &folder))
        .collect();
    daemons.iter().for_each(Daemon::wait_ready);
    thread::sleep(Duration::from_secs(4));
    let ended = Arc::new(AtomicBool::new(false));
    let lost = Arc::new(AtomicU32::new(0));
    let clients: Vec<_> = (0..4 * DAEMONS)
        .map(|n| {
            let (ended, lost) = (Arc::clone(&ended), Arc::clone(&lost));
            let (record, place) = (record.clone(), places[n % DAEMONS].clone());
            thread::spawn(move || {
                let mut number = 0;
                while !ended.load(Ordering::SeqCst) {
                    let id = format!("c{n:02}x{number:012}");
                    number += 1;
                    let part = 0x1000 * (n as u64 + 1) + number;
                    let (status, whole) =
                        read_stream(&place, &request(&id, part, &format!("sound {n} {number}")));
                    record.add(format!(
                        "client {id} at {} gets {status}, complete={whole}",
                        place.node
                    ));
                    if status == 200 && !whole {
                        lost.fetch_add(1, Ordering::SeqCst);
                    }
                    thread::sleep(PAUSE);
                }
            })
        })
        .collect();
    let begun = Instant::now();
    let mut number = 0;
    let mut senders = Vec::new();
    while begun.elapsed() < LENGTH {
        let id = format!("crash{number:011}");
        let place = places[number % DAEMONS].clone();
        number += 1;
        record.add(format!(
            "client {id} sends the request that crashes runners to {}",
            place.node
        ));
        let record = record.clone();
        senders.push(thread::spawn(move || {
            let (status, whole) = read_stream(&place, &request(&id, 0xbad, POISON));
            record.add(format!(
                "client {id} ends with status {status}, complete={whole}"
            ));
        }));
        thread::sleep(COMES_AGAIN);
    }
    senders.into_iter().for_each(|c| drop(c.join()));
    ended.store(true, Ordering::SeqCst);
    clients.into_iter().for_each(|c| drop(c.join()));
    let crashes = world.crashes.lock().expect("lock").clone();
    let runs = world.runs.lock().expect("lock").clone();
    let late = match crashes.get(2) {
        Some(third) => runs.iter().filter(|at| **at > *third + CONTACT).count(),
        None => 0,
    };
    record.add(format!(
        "the request was sent {number} times, reached runners {} times and crashed {}; {late} times later than contactMs \
         after the third crash, {ALLOWED} are allowed; {} sound streams were cut off",
        runs.len(),
        crashes.len(),
        lost.load(Ordering::SeqCst)
    ));
    late <= ALLOWED
}
