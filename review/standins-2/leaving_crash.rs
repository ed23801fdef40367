//! A request crashes each runner that runs it, and its client leaves before the crash.

use std::io::Write;
use std::net::TcpStream;
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};
use std::sync::mpsc::{Sender, channel};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::client::{Pace, exchange};
use crate::fleet::{Daemon, Place, Record, temporary_folder};
use crate::http::Request;
use crate::runner::{Answer, Runner, sealed_head};
use crate::store::Store;

/// `contactMs` of the settings.
const CONTACT: Duration = Duration::from_millis(3000);

/// Retries that the rule allows after that.
const ALLOWED: usize = 3;

/// Time after which the client leaves: half of the objective of 150 ms, the default of `give_up`.
const LEAVES_AFTER: Duration = Duration::from_millis(75);

/// Time for which a runner runs the request before it crashes.
const CRASHES_AFTER: Duration = Duration::from_millis(150);

/// Time after which a runner that crashed is back, under a new id.
const BACK_AFTER: Duration = Duration::from_millis(3000);

/// Time between two sends of the request that crashes runners.
const COMES_AGAIN: Duration = Duration::from_millis(1000);

/// Length of the case, from the first such request on.
const LENGTH: Duration = Duration::from_secs(40);

const DAEMONS: usize = 3;
const RUNNERS: usize = 6;

/// Body of the request that crashes runners.
const POISON: &str = "crash";

/// Work on a sound request, and pause between two requests of a sound client.
const WORK: Duration = Duration::from_millis(30);
const PAUSE: Duration = Duration::from_millis(30);

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

/// Starts a runner under a new id.
fn start(world: &Arc<World>) {
    let id = format!("i-desk-{}", world.last.fetch_add(1, Ordering::SeqCst));
    let (own, shared) = (id.clone(), Arc::clone(world));
    let ended: Arc<AtomicBool> = Arc::default();
    let has_ended = Arc::clone(&ended);
    let answer: Arc<Answer> = Arc::new(move |request: &Request, out: &mut TcpStream| {
        if request.body == POISON.as_bytes() {
            shared.runs.lock().expect("lock").push(Instant::now());
            // This runner doesn't look at its connection while it works.
            thread::sleep(CRASHES_AFTER);
            if !has_ended.swap(true, Ordering::SeqCst) {
                shared.crashes.lock().expect("lock").push(Instant::now());
                shared.record.add(format!("runner {own} crashes"));
                let _ = shared.crashed.send(own.clone());
            }
            return false;
        }
        thread::sleep(WORK);
        if has_ended.load(Ordering::SeqCst) {
            return false;
        }
        let head = sealed_head(request, "200 OK");
        let body = "x".repeat(800);
        out.write_all(format!("{head}Content-Length: 800\r\n\r\n{body}").as_bytes())
            .is_ok()
    });
    let runner = Runner::start(
        &world.store,
        &id,
        "circ-desk",
        "tw-north-a",
        6,
        &world.record,
        answer,
    );
    world.runners.lock().expect("lock").push(runner);
}

/// A route of the configuration, with the figures of hsinlu-vans.
fn route(name: &str, prefix: &str, kind: &str, attempts: u32) -> String {
    format!(
        "{{\"name\":\"{name}\",\"hostname\":\"vans.example\",\"prefix\":\"{prefix}\",\"type\":\"{kind}\",\"timeoutMs\":800,\
         \"sloMs\":150,\"priority\":2,\"service\":\"circ-desk\",\"maxAttempts\":{attempts},\"public\":false}}"
    )
}

fn config() -> String {
    let routes = [
        route("r-lookup", "/loan/", "idempotent", 2),
        route("r-hold", "/hold/", "non_idempotent", 1),
    ];
    format!(
        "{{\"version\":3,\"routes\":[{}],\"services\":[{{\"name\":\"circ-desk\",\"healthPath\":\"/healthz\",\
         \"maxConns\":100,\"protocol\":\"h1\",\"tls\":false}}],\
         \"limits\":{{\"maxHeaderBytes\":16384,\"maxBodyBytes\":4194304,\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000}},\
         \"tenants\":[{{\"name\":\"village\",\"apiKeys\":[\"key-village\"],\"priority\":1}}]}}",
        routes.join(",")
    )
}

fn request(id: &str, path: &str, body: &str) -> String {
    format!(
        "POST {path} HTTP/1.1\r\nHost: vans.example\r\nX-Cuminloom-Attempt-Id: {id}\r\nX-Cuminloom-Deadline-Ms: 1500\r\n\
         Authorization: Bearer key-village\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    )
}

/// Plays the case; returns whether the rule held.
pub fn play(record: &Record, trouble: bool) -> bool {
    let folder = temporary_folder("leaving-crash");
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
    (0..RUNNERS).for_each(|_| start(&world));
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
                start(&world);
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
                    let Ok(mut stream) = TcpStream::connect(place.frontend) else {
                        continue;
                    };
                    // Half of the clients place orders, which may run once.
                    let kind = if n / DAEMONS % 2 == 0 { "loan" } else { "hold" };
                    let text = request(&id, &format!("/{kind}/{n}/{number}"), "sound");
                    let got = exchange(&mut stream, &text, Pace::Fast, Duration::from_millis(1500));
                    record.add(format!(
                        "client {id} {kind} at {} gets {}",
                        place.node, got.status
                    ));
                    if got.status != 200 {
                        lost.fetch_add(1, Ordering::SeqCst);
                    }
                    thread::sleep(PAUSE);
                }
            })
        })
        .collect();
    let begun = Instant::now();
    let mut number = 0;
    while begun.elapsed() < LENGTH {
        let id = format!("crash{number:011}");
        let place = &places[number % DAEMONS];
        number += 1;
        let limit = if trouble {
            LEAVES_AFTER
        } else {
            Duration::from_millis(1500)
        };
        let next = Instant::now() + COMES_AGAIN;
        record.add(format!(
            "client {id} sends the request that crashes runners to {}",
            place.node
        ));
        if let Ok(mut stream) = TcpStream::connect(place.frontend) {
            let got = exchange(
                &mut stream,
                &request(&id, "/loan/crash", POISON),
                Pace::Fast,
                limit,
            );
            record.add(format!(
                "client {id} leaves after {} ms, status {} (0: none)",
                got.time.as_millis(),
                got.status
            ));
        }
        thread::sleep(next.saturating_duration_since(Instant::now()));
    }
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
         after the third crash, {ALLOWED} are allowed; {} sound requests were not served",
        runs.len(),
        crashes.len(),
        lost.load(Ordering::SeqCst)
    ));
    late <= ALLOWED
}
