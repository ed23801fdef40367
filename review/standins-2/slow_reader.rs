//! A client reads a long answer so slowly that its route's timeout passes meanwhile.

use std::io::Write;
use std::net::TcpStream;
use std::sync::Arc;
use std::time::Duration;

use crate::client::{Got, Pace, connect_small, exchange};
use crate::fleet::{Daemon, Place, Record, temporary_folder};
use crate::http::Request;
use crate::runner::{Runner, sealed_head};
use crate::store::Store;

/// Timeout of the route and deadline of the clients, as on hsinlu-vans.
const TIMEOUT_MS: u64 = 800;
const DEADLINE_MS: u64 = 1500;

/// Length of a long answer, in bytes.
const LONG: usize = 1_200_000;

/// Time for which a client reads nothing.
const PAUSE: Duration = Duration::from_millis(1000);

/// Requests, one after the other.
const REQUESTS: usize = 20;

/// Byte `i` of the answer to a request.
fn byte(i: usize) -> u8 {
    b'a' + (i % 23) as u8
}

/// Runs the request at once and answers with as many bytes as its path says.
fn answer(request: &Request, out: &mut TcpStream) -> bool {
    let length: usize = request
        .path()
        .rsplit('/')
        .next()
        .and_then(|n| n.parse().ok())
        .unwrap_or(0);
    std::thread::sleep(Duration::from_millis(15));
    let head = sealed_head(request, "200 OK");
    let mut bytes = format!("{head}Content-Length: {length}\r\n\r\n").into_bytes();
    bytes.extend((0..length).map(byte));
    out.write_all(&bytes).is_ok()
}

fn config() -> String {
    format!(
        "{{\"version\":3,\"routes\":[{{\"name\":\"r-lookup\",\"hostname\":\"vans.example\",\"prefix\":\"/loan/\",\
         \"type\":\"idempotent\",\"timeoutMs\":{TIMEOUT_MS},\"sloMs\":150,\"priority\":2,\"service\":\"circ-desk\",\
         \"maxAttempts\":2,\"public\":false}}],\"services\":[{{\"name\":\"circ-desk\",\"healthPath\":\"/healthz\",\
         \"maxConns\":100,\"protocol\":\"h1\",\"tls\":false}}],\
         \"limits\":{{\"maxHeaderBytes\":16384,\"maxBodyBytes\":4194304,\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000}},\
         \"tenants\":[{{\"name\":\"village\",\"apiKeys\":[\"key-village\"],\"priority\":1}}]}}"
    )
}

fn request(id: &str, length: usize) -> String {
    format!(
        "GET /loan/{length} HTTP/1.1\r\nHost: vans.example\r\nX-Cuminloom-Attempt-Id: {id}\r\n\
         X-Cuminloom-Deadline-Ms: {DEADLINE_MS}\r\nAuthorization: Bearer key-village\r\n\r\n"
    )
}

/// Position of the first byte of the body that is not the runner's.
fn first_wrong(got: &Got) -> Option<usize> {
    got.body
        .iter()
        .enumerate()
        .find(|(i, b)| **b != byte(*i))
        .map(|(i, _)| i)
}

/// Records what a client got; returns whether it is a success with bytes that the runner never sent.
fn judge(record: &Record, id: &str, got: &Got) -> bool {
    let wrong = first_wrong(got);
    let sealed = got.field("x-cuminloom-response-seal").is_some();
    record.add(format!(
        "client {id} got status {} sealed={sealed} {} of {} body bytes, complete={}, {} bytes after it, closed={}, after {} ms, wrong from byte {}",
        got.status,
        got.body.len(),
        got.length,
        got.is_whole(),
        got.rest.len(),
        got.closed,
        got.time.as_millis(),
        wrong.map_or("-".to_owned(), |n| n.to_string())
    ));
    if let Some(at) = wrong {
        let text =
            String::from_utf8_lossy(&got.body[at..(at + 160).min(got.body.len())]).into_owned();
        let rest = String::from_utf8_lossy(&got.rest).into_owned();
        record.add(format!("  bytes there: {text:?}, after the body: {rest:?}"));
    }
    got.status == 200 && wrong.is_some()
}

/// Plays the case; returns whether the rule held.
pub fn play(record: &Record, trouble: bool) -> bool {
    let folder = temporary_folder("slow-reader");
    let store = Store::start(1);
    store.put("op", "config", &config());
    let _runners: Vec<Runner> = (0..3)
        .map(|i| {
            Runner::start(
                &store,
                &format!("i-desk-{i}"),
                "circ-desk",
                "tw-north-a",
                6,
                record,
                Arc::new(answer),
            )
        })
        .collect();
    let places: Vec<Place> = (0..2).map(|n| Place::choose(n, "tw-north-a")).collect();
    let daemons: Vec<Daemon> = places
        .iter()
        .map(|p| Daemon::start(p, store.addresses[0], &places, &folder))
        .collect();
    daemons.iter().for_each(Daemon::wait_ready);
    std::thread::sleep(Duration::from_secs(2));
    let limit = Duration::from_millis(DEADLINE_MS);
    let (mut broken, mut complete) = (0, 0);
    // The first answer finds how much the buffers between daemon and client hold; the others are 100 bytes longer
    // than that.
    let pause = if trouble {
        Pace::Pause(PAUSE)
    } else {
        Pace::Fast
    };
    let mut length = LONG;
    for n in 0..REQUESTS {
        let id = format!("lookup{n:010}");
        record.add(format!(
            "client {id} sends GET /loan/{length}, reads {pause:?}"
        ));
        let mut stream = connect_small(places[n % 2].frontend).expect("connection");
        let got = exchange(&mut stream, &request(&id, length), pause, limit);
        let wrong = judge(record, &id, &got);
        broken += usize::from(wrong);
        complete += usize::from(wrong && got.is_whole());
        if let Some(at) = first_wrong(&got) {
            length = at + 100;
        }
    }
    record.add(format!(
        "{broken} of {} successes carry bytes that no runner sent; {complete} of them are complete by their length",
        REQUESTS
    ));
    broken == 0
}
