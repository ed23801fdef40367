//! A client reads so slowly that its route's timeout passes while the daemon writes an answer: one long answer, or many
//! of ordinary length to requests that were sent ahead on one connection.

use std::io::{ErrorKind, Read, Write};
use std::net::TcpStream;
use std::sync::Arc;
use std::time::{Duration, Instant};

use crate::client::{Got, Pace, connect_small, exchange};
use crate::fleet::{Daemon, Place, Record, temporary_folder};
use crate::http::{Request, head_end, parse_head};
use crate::runner::{Runner, sealed_head};
use crate::store::Store;

/// Timeout of the route and deadline of the clients, as on hsinlu-vans.
const TIMEOUT_MS: u64 = 800;
const DEADLINE_MS: u64 = 1500;

/// Length of a long answer, in bytes.
const LONG: usize = 1_200_000;

/// Time for which a client reads nothing.
const PAUSE: Duration = Duration::from_millis(1000);

/// Requests for a long answer, one after the other.
const REQUESTS: usize = 15;

/// Longest answer of loan-lookup in the site file, in bytes.
const ORDINARY: usize = 4800;

/// Requests that are sent ahead on one connection, and connections.
const AHEAD: usize = 120;
const CONNECTIONS: usize = 10;

/// Time for which a client that has sent requests ahead reads nothing.
const PAUSE_AHEAD: Duration = Duration::from_millis(1300);

/// Time that a runner works on a request.
const WORK: Duration = Duration::from_millis(3);

/// Byte `i` of the answer to the request `id`.
fn byte(id: &str, i: usize) -> u8 {
    id.as_bytes()[i % id.len()]
}

/// Runs the request at once and answers with as many bytes as its path says.
fn answer(request: &Request, out: &mut TcpStream) -> bool {
    let length: usize = request
        .path()
        .rsplit('/')
        .next()
        .and_then(|n| n.parse().ok())
        .unwrap_or(0);
    std::thread::sleep(WORK);
    let id = request.field("x-cuminloom-attempt-id").unwrap_or("-");
    let head = sealed_head(request, "200 OK");
    let mut bytes = format!("{head}Content-Length: {length}\r\n\r\n").into_bytes();
    bytes.extend((0..length).map(|i| byte(id, i)));
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
fn first_wrong(id: &str, body: &[u8]) -> Option<usize> {
    body.iter()
        .enumerate()
        .find(|(i, b)| **b != byte(id, *i))
        .map(|(i, _)| i)
}

/// Records what a client got; returns whether it is a success with bytes that the runner never sent.
fn judge(record: &Record, id: &str, got: &Got) -> bool {
    let wrong = first_wrong(id, &got.body);
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

/// Sends requests ahead on one connection, pauses, and reads the answers in order. Returns how many successes that are
/// complete by their length have a wrong body.
fn send_ahead(record: &Record, place: &Place, name: &str, pause: Duration) -> usize {
    let mut stream = connect_small(place.frontend).expect("connection");
    let ids: Vec<String> = (0..AHEAD).map(|k| format!("{name}x{k:03}")).collect();
    let texts: Vec<String> = ids.iter().map(|id| request(id, ORDINARY)).collect();
    record.add(format!(
        "client {name} sends {AHEAD} times GET /loan/{ORDINARY} ahead on one connection, reads nothing for {} ms",
        pause.as_millis()
    ));
    let begun = Instant::now();
    stream
        .write_all(texts.concat().as_bytes())
        .expect("requests");
    std::thread::sleep(pause);
    let _ = stream.set_read_timeout(Some(Duration::from_millis(50)));
    let (mut bytes, mut piece) = (Vec::new(), vec![0; 64 * 1024]);
    while begun.elapsed() < Duration::from_millis(2 * DEADLINE_MS) {
        match stream.read(&mut piece) {
            Ok(0) => break,
            Ok(n) => bytes.extend_from_slice(&piece[..n]),
            Err(e) if matches!(e.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => {}
            Err(_) => break,
        }
    }
    let (mut answers, mut wrong, mut rest) = (0, 0, &bytes[..]);
    while let Some(end) = head_end(rest) {
        let (first, fields) = parse_head(&String::from_utf8_lossy(&rest[..end - 4]));
        let field = |name: &str| {
            fields
                .iter()
                .find(|(n, _)| n == name)
                .map(|(_, v)| v.as_str())
        };
        let length: Option<usize> = field("content-length").and_then(|v| v.parse().ok());
        let Some(body) = length.and_then(|n| rest.get(end..end + n)) else {
            break;
        };
        let id = field("x-cuminloom-attempt-id").unwrap_or("-").to_owned();
        let sealed = field("x-cuminloom-response-seal").is_some();
        let found = first
            .starts_with("HTTP/1.1 200")
            .then(|| first_wrong(&id, body))
            .flatten();
        if let Some(at) = found {
            wrong += 1;
            let text = String::from_utf8_lossy(&body[at..(at + 400).min(body.len())]).into_owned();
            record.add(format!(
                "client {name} got a complete 200 for {id}, sealed={sealed}, wrong from byte {at} of {}: {text:?}",
                body.len()
            ));
        }
        answers += 1;
        rest = &rest[end + body.len()..];
    }
    record.add(format!(
        "client {name} got {answers} answers, {wrong} of them successes with a wrong body; {} bytes after them are no answer",
        rest.len()
    ));
    wrong
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
        if let Some(at) = first_wrong(&id, &got.body) {
            length = at + 100;
        }
    }
    record.add(format!(
        "long answers: {broken} of {REQUESTS} successes carry bytes that no runner sent; {complete} of them are complete by \
         their length"
    ));
    let pause = if trouble { PAUSE_AHEAD } else { Duration::ZERO };
    let mut mixed = 0;
    for n in 0..CONNECTIONS {
        mixed += send_ahead(record, &places[n % 2], &format!("ahead{n:02}"), pause);
    }
    record.add(format!(
        "requests sent ahead: {mixed} complete successes on {CONNECTIONS} connections have a wrong body"
    ));
    broken + mixed == 0
}
