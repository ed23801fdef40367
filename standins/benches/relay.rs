//! Time that a daemon adds to a stream, against direct calls to the same engine stand-in in the same
//! run, and memory and threads of the daemon for each open stream. Prints figures.

use std::{
    io::{
        BufRead,
        BufReader, //
    },
    net::SocketAddr,
    thread,
    time::{
        Duration,
        Instant, //
    },
};

use cuminloom::config::ItemKind;
use cuminloom_standins::{
    engine::{
        Engine,
        Settings, //
    },
    fleet::{
        Fleet,
        KEY,
        Plan, //
    },
};
use serde_json::{
    Value,
    json, //
};

/// Streams of each length and way.
const ROUNDS: usize = 200;

/// Events of the shorter, middle and longer streams.
const LENGTHS: [u64; 3] = [64, 512, 2_048];

/// Streams that are open at once when the memory is read.
const OPEN: [usize; 4] = [0, 50, 200, 800];

/// Targets of the open streams.
const TARGETS: usize = 300;

/// Longest wait for the answer of a request, in seconds.
const LIMIT_S: u64 = 120;

type Lines = std::io::Lines<BufReader<minreq::ResponseLazy>>;

fn open(addr: SocketAddr, profile: &str, events: u64) -> Lines {
    let body = json!({
        "model": profile, "stream": true, "max_tokens": events,
        "messages": [{ "role": "user", "content": "Describe a driftwood lamp." }],
    });
    let reply = minreq::post(format!("http://{addr}/v1/chat/completions"))
        .with_header("Authorization", format!("Bearer {KEY}"))
        .with_body(body.to_string())
        .with_timeout(LIMIT_S)
        .send_lazy()
        .expect("the stream starts");
    assert_eq!(reply.status_code, 200);
    BufReader::new(reply).lines()
}

/// Times from the request to the first event and from it to the end.
fn measure(addr: SocketAddr, events: u64) -> [Duration; 2] {
    let start = Instant::now();
    let mut lines = open(addr, "bench", events);
    lines.next().expect("a first event").expect("read");
    let first = start.elapsed();
    let count = lines
        .map(|line| line.expect("read"))
        .filter(|line| line.starts_with("data: "))
        .count();
    // After the first event come the others, the one that ends the answer, and the end mark.
    assert_eq!(count as u64, events + 1);
    [first, start.elapsed() - first]
}

/// Median and 99th percentile, in microseconds.
fn percentiles(mut times: Vec<Duration>, parts: u64) -> [f64; 2] {
    times.sort();
    let at = |share: f64| times[((times.len() - 1) as f64 * share) as usize];
    [0.5, 0.99].map(|share| at(share).as_secs_f64() * 1e6 / parts as f64)
}

fn latency(fleet: &Fleet) {
    let direct = fleet.engines[0].addr("engine");
    let relayed = fleet.members[0].caller;
    println!("events | way | first event median / p99 (us) | per event median / p99 (us)");
    for events in LENGTHS {
        let mut times: [Vec<[Duration; 2]>; 2] = [vec![], vec![]];
        for _ in 0..ROUNDS {
            times[0].push(measure(direct, events));
            times[1].push(measure(relayed, events));
        }
        let rows = times.map(|times| {
            let first = percentiles(times.iter().map(|time| time[0]).collect(), 1);
            let rest = percentiles(times.iter().map(|time| time[1]).collect(), events);
            [first[0], first[1], rest[0], rest[1]]
        });
        for (way, row) in ["direct", "relayed"].iter().zip(rows) {
            println!(
                "{events} | {way} | {:.0} / {:.0} | {:.1} / {:.1}",
                row[0], row[1], row[2], row[3]
            );
        }
        let added = |at: usize| rows[1][at] - rows[0][at];
        println!(
            "{events} | added | {:.0} / {:.0} | {:.1} / {:.1}",
            added(0),
            added(1),
            added(2),
            added(3)
        );
    }
}

/// Resident memory in KiB and threads of a process.
fn status(id: u32) -> [f64; 2] {
    let text = std::fs::read_to_string(format!("/proc/{id}/status")).expect("the daemon runs");
    let field = |name: &str| {
        let mut lines = text.lines();
        let line = lines.find_map(|line| line.strip_prefix(name));
        let number = line.and_then(|line| line.split_whitespace().next());
        number.and_then(|text| text.parse().ok()).expect("a figure")
    };
    [field("VmRSS:"), field("Threads:")]
}

/// Time of the smallest request, which is answered without admission or target.
fn health(fleet: &Fleet) {
    let url = format!("http://{}/healthz", fleet.members[0].caller);
    let times = (0..ROUNDS).map(|_| {
        let start = Instant::now();
        let reply = minreq::get(&*url).send().expect("the daemon answers");
        assert_eq!(reply.status_code, 200);
        start.elapsed()
    });
    let [median, p99] = percentiles(times.collect(), 1);
    println!("GET /healthz on a new connection: median {median:.0} us, p99 {p99:.0} us");
}

fn memory(fleet: &Fleet) {
    let member = &fleet.members[0];
    let id = member.process.as_ref().expect("the daemon runs").id();
    let mut streams: Vec<Lines> = Vec::new();
    let mut figures = Vec::new();
    println!("open streams | resident KiB | threads");
    for count in OPEN {
        thread::scope(|scope| {
            let missing = count - streams.len();
            let starts: Vec<_> = (0..missing)
                .map(|_| {
                    scope.spawn(|| {
                        let mut lines = open(member.caller, "wide", 4_096);
                        lines.next().expect("a first event").expect("read");
                        lines
                    })
                })
                .collect();
            streams.extend(
                starts
                    .into_iter()
                    .map(|it| it.join().expect("a stream starts")),
            );
        });
        let [memory, threads] = status(id);
        println!("{count} | {memory} | {threads}");
        figures.push([count as f64, memory, threads]);
    }
    let (low, high) = (figures[1], figures[figures.len() - 1]);
    let slope = |at: usize| (high[at] - low[at]) / (high[0] - low[0]);
    println!(
        "per stream, from {} to {} streams: {:.1} KiB, {:.2} threads",
        low[0],
        high[0],
        slope(1),
        slope(2)
    );
}

fn profile(service: &str) -> Value {
    json!({ "profile": {
        "customers": ["anod"], "service": service, "budget": "bench",
        "urgency": "urgent", "repeat": "idempotent", "output": 4_096, "charge": 0,
    } })
}

fn main() {
    let settings = ["--output-tokens", "4096", "--capacity", "2000"];
    // A new target gets few requests at once, so the open streams need many.
    let any: SocketAddr = "127.0.0.1:0".parse().expect("an address");
    let slow = Settings {
        tokens_per_second: 2.0,
        output_tokens: 4_096,
        ..Settings::default()
    };
    let engines: Vec<Engine> = (0..TARGETS)
        .map(|_| Engine::bind(any, any, slow.clone()).expect("an engine starts"))
        .collect();
    let target = |(number, engine): (usize, &Engine)| {
        let addr = engine.addrs()[0].1.to_string();
        json!({ "id": format!("wide-{number}"), "dc": "cebu-north", "addr": addr })
    };
    let targets: Vec<Value> = engines.iter().enumerate().map(target).collect();
    let wide = json!({ "service": { "kind": "engine", "model": "small", "targets": targets } });
    let fleet = Fleet::start(Plan {
        dcs: vec![("cebu-north", 1)],
        engine: settings.to_vec(),
        items: vec![
            (ItemKind::Profile, "bench", profile("loom-writers")),
            (ItemKind::Service, "wide-service", wide),
            (ItemKind::Profile, "wide", profile("wide-service")),
        ],
        budgets: vec![("bench", 1 << 40)],
        settings: json!({ "queue": { "urgent": 2_000 } }),
        ..Plan::default()
    })
    .expect("the deployment starts");
    health(&fleet);
    latency(&fleet);
    memory(&fleet);
}
