//! The daemons' open connections to the store go silent, and a runner leaves half a second later, or just before.

use std::io::Write;
use std::net::TcpStream;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::client::{Pace, exchange};
use crate::fleet::{Daemon, Place, Record, temporary_folder};
use crate::http::Request;
use crate::proxy::Proxy;
use crate::runner::{Answer, Runner, sealed_head};
use crate::store::Store;

/// `drainMs` and `contactMs` of the settings.
const DRAIN: Duration = Duration::from_millis(2000);
const CONTACT: Duration = Duration::from_millis(3000);

/// Time between the silence and the removal of the runner's entry.
const LEAVES_AFTER: Duration = Duration::from_millis(500);

/// Time after its removal at which the runner's process ends: `drainMs` and a little longer.
const SERVES: Duration = Duration::from_millis(2900);

/// The same for a runner that serves for many seconds.
const SERVES_LONG: Duration = Duration::from_millis(6000);

/// Time between the removal and the silence in the rounds in which the runner leaves first.
const LEAVES_BEFORE: Duration = Duration::from_millis(50);

/// Time for which the silence itself may be counted as a disruption, beside `contactMs` after it.
const SILENCE: Duration = Duration::from_millis(500);

/// Rounds of the case; each has a runner that leaves.
const ROUNDS: usize = 6;

/// Length of a round.
const ROUND: Duration = Duration::from_secs(8);

/// Daemons, as on a small deployment.
const DAEMONS: usize = 3;

/// Clients of each daemon. Every second one places orders, which may run once.
const CLIENTS: usize = 4;

/// Time that a runner works on a request, and pause between two requests of one client.
const WORK: Duration = Duration::from_millis(30);
const PAUSE: Duration = Duration::from_millis(30);

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

/// A request of a client: a lookup, or an order that may run once.
fn request(id: &str, order: bool) -> String {
    let (method, path) = if order {
        ("POST", "/hold/5")
    } else {
        ("GET", "/loan/5")
    };
    format!(
        "{method} {path} HTTP/1.1\r\nHost: vans.example\r\nX-Cuminloom-Attempt-Id: {id}\r\n\
         X-Cuminloom-Deadline-Ms: 1500\r\nAuthorization: Bearer key-village\r\nContent-Length: 0\r\n\r\n"
    )
}

/// Plays the case; returns whether the rule held.
pub fn play(record: &Record, trouble: bool) -> bool {
    let folder = temporary_folder("silent-store");
    let store = Store::start(1);
    store.put("op", "config", &config());
    let runs: Arc<Mutex<Vec<(String, Instant)>>> = Arc::default();
    let start = |id: &str| {
        let (own, runs) = (id.to_owned(), Arc::clone(&runs));
        let ended: Arc<AtomicBool> = Arc::default();
        let has_ended = Arc::clone(&ended);
        let answer: Arc<Answer> = Arc::new(move |request: &Request, out: &mut TcpStream| {
            runs.lock()
                .expect("lock")
                .push((own.clone(), Instant::now()));
            thread::sleep(WORK);
            if has_ended.load(Ordering::SeqCst) {
                return false;
            }
            let head = sealed_head(request, "200 OK");
            let body = "x".repeat(800);
            out.write_all(format!("{head}Content-Length: 800\r\n\r\n{body}").as_bytes())
                .is_ok()
        });
        (
            Runner::start(&store, id, "circ-desk", "tw-north-a", 6, record, answer),
            ended,
        )
    };
    let stays: Vec<_> = (0..2).map(|i| start(&format!("i-stays-{i}"))).collect();
    let proxies: Vec<Proxy> = (0..DAEMONS)
        .map(|_| Proxy::start(store.addresses[0]))
        .collect();
    let places: Vec<Place> = (0..DAEMONS)
        .map(|n| Place::choose(n as u8, "tw-north-a"))
        .collect();
    let daemons: Vec<Daemon> = places
        .iter()
        .zip(&proxies)
        .map(|(place, proxy)| Daemon::start(place, proxy.address, &places, &folder))
        .collect();
    daemons.iter().for_each(Daemon::wait_ready);
    let ended = Arc::new(AtomicBool::new(false));
    // Orders that a runner has run and whose client has no answer of it.
    let lost: Arc<Mutex<Vec<String>>> = Arc::default();
    let clients: Vec<_> = (0..CLIENTS * DAEMONS)
        .map(|n| {
            let (ended, lost) = (Arc::clone(&ended), Arc::clone(&lost));
            let (record, place) = (record.clone(), places[n % DAEMONS].clone());
            let order = n / DAEMONS % 2 == 1;
            thread::spawn(move || {
                let mut number = 0;
                while !ended.load(Ordering::SeqCst) {
                    let id = format!("c{n:02}x{number:012}");
                    number += 1;
                    let Ok(mut stream) = TcpStream::connect(place.frontend) else {
                        continue;
                    };
                    let got = exchange(
                        &mut stream,
                        &request(&id, order),
                        Pace::Fast,
                        Duration::from_millis(1500),
                    );
                    record.add(format!(
                        "client {id} order={order} at {} gets {} after {} ms",
                        place.node,
                        got.status,
                        got.time.as_millis()
                    ));
                    if order && got.status != 200 {
                        lost.lock().expect("lock").push(id);
                    }
                    thread::sleep(PAUSE);
                }
            })
        })
        .collect();
    let (mut broken, mut others) = (0, Vec::new());
    for round in 0..ROUNDS {
        let (leaver, has_ended) = start(&format!("i-leaves-{round}"));
        thread::sleep(Duration::from_secs(4));
        let first = round % 2 == 1;
        let silence = || {
            if trouble {
                let count: u64 = proxies.iter().map(Proxy::silence).sum();
                record.add(format!(
                    "TROUBLE the open connections to the store go silent ({count} opened so far)"
                ));
            }
            Instant::now()
        };
        let remove = || {
            store.remove("servers", &leaver.id);
            record.add(format!(
                "the entry of {} is removed and the store has acknowledged that",
                leaver.id
            ));
            Instant::now()
        };
        let (begun, removed) = if first {
            // Another runner registers in the same moment, as in a rollout.
            let (other, _) = start(&format!("i-joins-{round}"));
            others.push(other);
            thread::sleep(LEAVES_BEFORE);
            let removed = remove();
            thread::sleep(LEAVES_BEFORE);
            (silence(), removed)
        } else {
            let begun = silence();
            thread::sleep(LEAVES_AFTER);
            (begun, remove())
        };
        let serves = if first { SERVES_LONG } else { SERVES };
        thread::sleep((removed + serves).saturating_duration_since(Instant::now()));
        has_ended.store(true, Ordering::SeqCst);
        leaver.end();
        record.add(format!("the process of {} ends", leaver.id));
        thread::sleep(ROUND.saturating_sub(begun.elapsed()));
        // All machines are in touch again when CONTACT has passed since the silence. Where the removal was
        // acknowledged before it, the silence is also counted as one of the store's disruptions.
        let out = if first { SILENCE + CONTACT } else { CONTACT };
        let bound = (removed + DRAIN).max(if trouble { begun + out } else { begun });
        let late: Vec<u128> = runs
            .lock()
            .expect("lock")
            .iter()
            .filter(|(id, at)| *id == leaver.id && *at > bound)
            .map(|(_, at)| at.duration_since(removed).as_millis())
            .collect();
        record.add(format!(
            "{} (left {} the silence): {} requests reach it later than drainMs after its removal, from machines in touch; the last one {} ms after it",
            leaver.id,
            if first { "before" } else { "after" },
            late.len(),
            late.last().copied().unwrap_or(0)
        ));
        broken += late.len();
    }
    ended.store(true, Ordering::SeqCst);
    clients.into_iter().for_each(|c| drop(c.join()));
    let lost = lost.lock().expect("lock");
    record.add(format!(
        "orders without an answer of a runner: {} {}",
        lost.len(),
        lost.join(" ")
    ));
    record.add(format!(
        "{broken} requests in {ROUNDS} rounds break DRAIN; {} runners stayed",
        stays.len()
    ));
    broken == 0
}
