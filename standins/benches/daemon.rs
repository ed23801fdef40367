//! Processor time, memory and bytes per second of a daemon process on loopback, idle and under
//! load. Needs the binaries: `cargo build --release --workspace --bins`, then
//! `cargo bench -p cuminloom-standins --bench daemon`. Exits non-zero with `-- --check` when a
//! bound is missed.

use std::{
    collections::BTreeMap,
    fs,
    io,
    net::SocketAddr,
    sync::atomic::{
        AtomicBool,
        AtomicU64,
        Ordering, //
    },
    thread,
    time::Duration, //
};

use cuminloom_standins::fleet::{
    Fleet,
    KEY,
    Plan, //
};
use serde_json::json;

/// Time for the links and witnesses to settle, and time that is measured.
const SETTLE: Duration = Duration::from_secs(3);
const MEASURE: Duration = Duration::from_secs(6);
/// Requests per second to the first daemon, as at the target size.
const RATE: u64 = 50;
const CALLERS: u64 = 25;
/// Clock ticks per second of the times in `/proc`; fixed on Linux.
const HZ: f64 = 100.0;
/// Control of one daemon, sent and received.
const BYTES_PER_S: f64 = 22.0 * 1024.0;

#[derive(Clone, Debug, Default)]
struct Sample {
    /// Processor time by thread name, in ticks; threads that ended are in `all` only.
    threads: BTreeMap<String, u64>,
    all: u64,
    peer_bytes: f64,
    platform: f64,
    resident_kb: u64,
    thread_count: usize,
}

/// User and system time of a line of `/proc/<pid>/stat`.
fn ticks(stat: &str) -> u64 {
    let rest = stat.rsplit(')').next().unwrap_or("");
    let fields: Vec<&str> = rest.split_whitespace().collect();
    let field = |n: usize| fields.get(n).and_then(|f| f.parse().ok()).unwrap_or(0);
    field(11) + field(12)
}

fn metric(text: &str, name: &str) -> f64 {
    text.lines()
        .filter(|line| line.starts_with(name))
        .filter_map(|line| line.rsplit(' ').next()?.parse::<f64>().ok())
        .sum()
}

fn sample(pid: u32, caller: SocketAddr) -> io::Result<Sample> {
    let mut sample = Sample {
        all: ticks(&fs::read_to_string(format!("/proc/{pid}/stat"))?),
        ..Sample::default()
    };
    for entry in fs::read_dir(format!("/proc/{pid}/task"))? {
        let path = entry?.path();
        // A thread may end while the list is read.
        let (Ok(stat), Ok(name)) = (
            fs::read_to_string(path.join("stat")),
            fs::read_to_string(path.join("comm")),
        ) else {
            continue;
        };
        sample.thread_count += 1;
        *sample.threads.entry(name.trim().into()).or_default() += ticks(&stat);
    }
    let status = fs::read_to_string(format!("/proc/{pid}/status"))?;
    let resident = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    let number = resident.and_then(|text| text.split_whitespace().next());
    sample.resident_kb = number.and_then(|text| text.parse().ok()).unwrap_or(0);
    let reply = minreq::get(format!("http://{caller}/metrics"))
        .with_timeout(5)
        .send()
        .map_err(io::Error::other)?;
    let text = reply.as_str().map_err(io::Error::other)?;
    sample.peer_bytes = metric(text, "cuminloom_peer_bytes");
    sample.platform = metric(text, "cuminloom_store");
    Ok(sample)
}

/// Sends requests at the rate until `stop`; returns the number of answers and of failures.
fn load(caller: SocketAddr, stop: &AtomicBool) -> (u64, u64) {
    let (answered, failed) = (AtomicU64::new(0), AtomicU64::new(0));
    let body = json!({
        "model": "chat",
        "messages": [{ "role": "user", "content": "Describe a driftwood lamp." }],
    })
    .to_string();
    thread::scope(|scope| {
        for n in 0..CALLERS {
            let (answered, failed, body) = (&answered, &failed, &body);
            scope.spawn(move || {
                thread::sleep(Duration::from_millis(1_000 * n / RATE));
                while !stop.load(Ordering::Relaxed) {
                    let start = std::time::Instant::now();
                    let reply = minreq::post(format!("http://{caller}/v1/chat/completions"))
                        .with_header("Authorization", format!("Bearer {KEY}"))
                        .with_body(body.clone())
                        .with_timeout(10)
                        .send();
                    let good = reply.is_ok_and(|reply| reply.status_code == 200);
                    let count = if good { answered } else { failed };
                    count.fetch_add(1, Ordering::Relaxed);
                    let gap = Duration::from_millis(1_000 * CALLERS / RATE);
                    thread::sleep(gap.saturating_sub(start.elapsed()));
                }
            });
        }
    });
    (answered.into_inner(), failed.into_inner())
}

fn measure(fleet: &Fleet, label: &str) -> io::Result<f64> {
    let member = &fleet.members[0];
    let pid = member.process.as_ref().expect("the daemon runs").id();
    let before = sample(pid, member.caller)?;
    thread::sleep(MEASURE);
    let after = sample(pid, member.caller)?;
    let seconds = MEASURE.as_secs_f64();
    let core = |ticks: u64| ticks as f64 / HZ / seconds * 100.0;
    let bytes = (after.peer_bytes - before.peer_bytes) / seconds;
    println!(
        "{label}: {:.2}% of a core, {} KB resident, {} threads, {bytes:.0} peer bytes/s, {:.1} platform operations/s",
        core(after.all - before.all),
        after.resident_kb,
        after.thread_count,
        (after.platform - before.platform) / seconds,
    );
    for (name, ticks) in &after.threads {
        let spent = ticks.saturating_sub(before.threads.get(name).copied().unwrap_or(0));
        if spent > 0 {
            println!("    {name}: {:.2}%", core(spent));
        }
    }
    Ok(bytes)
}

fn run(peers: usize) -> io::Result<f64> {
    let fleet = Fleet::start(Plan {
        // The relay needs a second data centre.
        dcs: vec![("cebu-north", peers), ("cebu-south", 1)],
        limit: 1 << 50,
        ..Plan::default()
    })?;
    thread::sleep(SETTLE);
    let idle = measure(&fleet, &format!("{peers} peers, idle"))?;
    let (stop, caller) = (AtomicBool::new(false), fleet.members[0].caller);
    thread::scope(|scope| {
        let load = scope.spawn(|| load(caller, &stop));
        thread::sleep(SETTLE);
        let measured = measure(&fleet, &format!("{peers} peers, {RATE} requests/s"));
        stop.store(true, Ordering::Relaxed);
        let (answered, failed) = load.join().expect("the callers end");
        println!("    {answered} requests answered, {failed} failed");
        measured
    })?;
    Ok(idle)
}

fn main() -> io::Result<()> {
    let mut missed = 0;
    for peers in [1, 6, 20] {
        let idle = run(peers)?;
        if idle > BYTES_PER_S {
            missed += 1;
            println!("missed: {idle:.0} peer bytes/s when idle, at most {BYTES_PER_S:.0}");
        }
    }
    if std::env::args().any(|arg| arg == "--check") {
        std::process::exit(i32::from(missed > 0));
    }
    Ok(())
}
