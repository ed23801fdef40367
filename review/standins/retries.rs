//! BUDGET: each change of the settings file gives a daemon a new retry budget.
//!
//! Runners lose some answers and fail some requests. Meanwhile the `seedNodes` in the settings of the daemons change
//! a few times.

use std::{
    collections::HashSet,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use crate::{
    Outcome,
    caller::get,
    fleet::{Fleet, clean_up},
    record::Record,
    runner::{Behaviour, Runner, Seen},
    store::Store,
};

/// Requests a second.
const RATE: f64 = 80.0;

/// Of 100 requests that run, those whose answer is lost and those that end with 500.
const LOST: u64 = 24;
const FAILED: u64 = 14;

/// `retryBudgetRatio`, `retryMinExtra` and `budgetWindowS`.
const RATIO: f64 = 0.2;
const EXTRA: f64 = 54.0;
const WINDOW_S: f64 = 10.0;

/// Length of the traffic, in seconds, and the times at which the settings change.
const LENGTH_S: f64 = 40.0;
const CHANGES: [f64; 3] = [18.0, 21.0, 24.0];

pub fn run(record: &Arc<Record>, trouble: bool) -> Outcome {
    // With SETTINGS=0 the runners fail as always, but no settings change.
    let changes = trouble && std::env::var("SETTINGS").map_or(true, |v| v != "0");
    let store = Store::start();
    store.put("op", "config", Some(CONFIG));
    let seen: Arc<Mutex<Seen>> = Arc::default();
    let behaviour = Behaviour {
        step: Duration::from_millis(15),
        crash_after: None,
        restart_after: Duration::from_secs(3),
        lost: if trouble { LOST } else { 0 },
        failed: if trouble { FAILED } else { 0 },
    };
    for i in 0..6 {
        let zone = ["z-1", "z-2"][i % 2];
        Runner::start(
            &format!("d{i}"),
            "desk",
            zone,
            behaviour,
            &store,
            record,
            &seen,
        );
    }
    let fleet = Fleet::start(&["z-1", "z-1", "z-2", "z-2"], &store, record)?;
    thread::sleep(Duration::from_secs(5));
    let begun = record.now();
    let sent: Arc<Mutex<Vec<f64>>> = Arc::default();
    let stop = Arc::new(AtomicBool::new(false));
    let traffic = spawn_traffic(record, &fleet, &sent, &stop);
    for (number, at) in CHANGES.iter().enumerate() {
        sleep_until(record, begun + at);
        if changes {
            let seeds: Vec<_> = (0..3)
                .map(|k| fleet.control((number + 1 + k) % 4))
                .collect();
            (0..fleet.len()).for_each(|i| fleet.change_seeds(i, &seeds));
            record.say(format!(
                "{at:.1} s: new seedNodes in the settings of all daemons"
            ));
        }
    }
    sleep_until(record, begun + LENGTH_S);
    stop.store(true, Ordering::SeqCst);
    let _ = traffic.join();
    thread::sleep(Duration::from_secs(2));
    let ended = fleet.any_ended();
    for line in fleet.log_lines("settings") {
        record.line(line);
    }
    clean_up(&fleet);
    if ended {
        return Err("a daemon ended by itself".to_owned());
    }
    let mut repeats = Vec::new();
    let mut known = HashSet::new();
    for (at, id, _) in &seen.lock().unwrap().arrivals {
        if !known.insert(id.clone()) {
            repeats.push(*at);
        }
    }
    let sent = sent.lock().unwrap();
    let count = |times: &[f64], from: f64| {
        times
            .iter()
            .filter(|t| **t >= from && **t < from + WINDOW_S)
            .count() as f64
    };
    let mut worst = (f64::MIN, 0.0, 0.0, 0.0);
    let mut at = begun;
    while at + WINDOW_S <= begun + LENGTH_S {
        // The requests of this window, the one before it or the one half a window before it.
        let asked = [0.0, WINDOW_S / 2.0, WINDOW_S].map(|back| count(&sent, at - back));
        let asked = asked.into_iter().fold(0.0, f64::max);
        let limit = RATIO * asked + EXTRA;
        let retries = count(&repeats, at);
        if retries - limit > worst.0 {
            worst = (retries - limit, at - begun, retries, limit);
        }
        at += 0.1;
    }
    let (excess, at, retries, limit) = worst;
    record.say(format!(
        "{} requests, {} arrivals beyond the first; worst window from {at:.1} s: {retries} of them, {limit:.0} are allowed",
        sent.len(),
        repeats.len()
    ));
    Ok(excess > 0.0)
}

const CONFIG: &str = "{\"version\":7,\"routes\":[{\"name\":\"r-1\",\"hostname\":\"shop.example\",\
    \"prefix\":\"/stock/\",\"type\":\"idempotent\",\"timeoutMs\":800,\"sloMs\":150,\"priority\":0,\
    \"service\":\"desk\",\"maxAttempts\":2,\"public\":false,\"sessionAffinity\":false}],\
    \"services\":[{\"name\":\"desk\",\"healthPath\":\"/healthz\",\"maxConns\":230,\"protocol\":\"h1\",\
    \"tls\":false}],\"limits\":{\"maxHeaderBytes\":16384,\"maxBodyBytes\":4194304,\"headerTimeoutMs\":3000,\
    \"idleTimeoutMs\":15000},\"tenants\":[{\"name\":\"coop\",\"apiKeys\":[\"key-coop\"],\"priority\":0,\
    \"prepaid\":10000000}]}";

fn sleep_until(record: &Record, at: f64) {
    thread::sleep(Duration::from_secs_f64((at - record.now()).max(0.0)));
}

/// Sends requests at a constant rate, each once.
fn spawn_traffic(
    record: &Arc<Record>,
    fleet: &Arc<Fleet>,
    sent: &Arc<Mutex<Vec<f64>>>,
    stop: &Arc<AtomicBool>,
) -> thread::JoinHandle<()> {
    let (record, addresses) = (Arc::clone(record), fleet.addresses());
    let (sent, stop) = (Arc::clone(sent), Arc::clone(stop));
    thread::spawn(move || {
        let begun = Instant::now();
        for number in 0_u32.. {
            let due = begun + Duration::from_secs_f64(f64::from(number) / RATE);
            thread::sleep(due.saturating_duration_since(Instant::now()));
            if stop.load(Ordering::SeqCst) {
                return;
            }
            let (record, target) = (
                Arc::clone(&record),
                addresses[number as usize % addresses.len()],
            );
            sent.lock().unwrap().push(record.now());
            thread::spawn(move || {
                let id = format!("{number:016x}");
                let path = format!("/stock/{number}");
                let answer = get(target, &path, &id, "key-coop", Duration::from_millis(1500));
                record.line(format!("caller {id} at {target}: status {}", answer.status));
            });
        }
    })
}
