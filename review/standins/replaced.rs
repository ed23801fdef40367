//! CONFIG: a daemon that the store turns away asks machines for the configuration that left long ago.
//!
//! Many machines are lost for good and replaced, one generation after the other. Then the store twice turns away two
//! of the six daemons that are left, and each time a key is taken away.

use std::{
    collections::HashSet,
    net::TcpListener,
    sync::{Arc, Mutex},
    thread,
    time::{Duration, Instant},
};

use crate::{
    Outcome,
    caller::get,
    fleet::{Fleet, clean_up},
    record::Record,
    runner::{Behaviour, Runner, Seen},
    store::{Endpoint, Store},
};

/// Generations of lost machines, and machines in each.
const GENERATIONS: u8 = 28;
const MACHINES: usize = 26;

/// Daemons that the store turns away, of six, and for how long.
const TURNED_AWAY: usize = 2;
const AWAY_S: f64 = 9.0;

/// Time from then to the change of the configuration.
const CHANGE_AFTER_S: f64 = 0.1;

/// `configApplyMs` and `partitionMaxMs`.
const APPLY_S: f64 = 2.0;
const PARTITION_S: f64 = 5.0;

/// Keys, of which one is taken away each time, and the pause between two times.
const KEYS: [&str; 2] = ["key-one", "key-two"];
const BETWEEN_S: f64 = 5.0;

/// Time between two requests with the key that was taken away, at each daemon.
const PAUSE: Duration = Duration::from_millis(100);

pub fn run(record: &Arc<Record>, trouble: bool) -> Outcome {
    // With LOST=0 the store turns the daemons away, but no machine was lost before.
    let lost = trouble && std::env::var("LOST").map_or(true, |v| v != "0");
    let store = Store::start();
    store.put("op", "config", Some(&config(7, &KEYS)));
    let seen: Arc<Mutex<Seen>> = Arc::default();
    let behaviour = Behaviour {
        step: Duration::from_millis(15),
        crash_after: None,
        restart_after: Duration::from_secs(3),
        lost: 0,
        failed: 0,
    };
    for i in 0..4 {
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
    let mut dark = Vec::new();
    if lost {
        let endpoint = store.open();
        for generation in 1..=GENERATIONS {
            dark.extend(lose_machines(generation, &store, &endpoint, record)?);
        }
        record.say(format!("{} machines were lost and replaced", dark.len()));
    }
    let fleet = Fleet::start(&["z-1", "z-1", "z-1", "z-2", "z-2", "z-2"], &store, record)?;
    thread::sleep(Duration::from_secs(6));
    let addresses = fleet.addresses();
    let mut number = 0_u32;
    let mut ask = |i: usize, key: &str| {
        number += 1;
        let id = format!("{number:016x}");
        let path = format!("/stock/{number}");
        let answer = get(addresses[i], &path, &id, key, Duration::from_millis(1500));
        record.line(format!(
            "caller {id} at {} with {key}: status {}",
            fleet.name(i),
            answer.status
        ));
        (id, answer.status)
    };
    let mut late = HashSet::new();
    let mut statuses = Vec::new();
    for (event, key) in KEYS.iter().enumerate() {
        let before: Vec<u16> = (0..fleet.len()).map(|i| ask(i, key).1).collect();
        record.say(format!("statuses with {key} before: {before:?}"));
        if before.iter().any(|status| *status != 200) {
            clean_up(&fleet);
            return Err("the daemons do not serve".to_owned());
        }
        let begun = record.now();
        if trouble {
            (0..TURNED_AWAY).for_each(|i| fleet.endpoint(i).turn_away(true));
            record.say(format!(
                "the store turns away {TURNED_AWAY} of {} daemons",
                fleet.len()
            ));
        }
        sleep_until(record, begun + CHANGE_AFTER_S);
        let left = &KEYS[event + 1..];
        store.put("op", "config", Some(&config(8 + event, left)));
        let taken = record.now();
        record.say(format!("{key} is taken away"));
        sleep_until(record, taken + APPLY_S + PARTITION_S + 0.1);
        while record.now() < begun + AWAY_S - 0.2 {
            for i in 0..fleet.len() {
                let (id, status) = ask(i, key);
                late.insert(id);
                statuses.push(status);
            }
            thread::sleep(PAUSE);
        }
        (0..TURNED_AWAY).for_each(|i| fleet.endpoint(i).turn_away(false));
        record.line("the store serves all daemons");
        thread::sleep(Duration::from_secs_f64(BETWEEN_S));
    }
    let ended = fleet.any_ended();
    for text in ["event=config_in_force", "event=peers_", "event=feed_"] {
        fleet
            .log_lines(text)
            .iter()
            .for_each(|line| record.line(line));
    }
    clean_up(&fleet);
    drop(dark);
    if ended {
        return Err("a daemon ended by itself".to_owned());
    }
    let ran = seen.lock().unwrap();
    let ran = ran
        .arrivals
        .iter()
        .filter(|(_, id, _)| late.contains(id))
        .count();
    let refused = statuses.iter().filter(|s| [401, 503].contains(*s)).count();
    record.say(format!(
        "sent with a key later than {} s after that: {}, of which {ran} ran and {refused} were refused",
        APPLY_S + PARTITION_S,
        statuses.len()
    ));
    Ok(ran > 0)
}

/// Starts daemons on machines that are then lost without SIGTERM. Their addresses don't answer any more: what
/// connects to them hangs.
fn lose_machines(
    generation: u8,
    store: &Arc<Store>,
    endpoint: &Endpoint,
    record: &Arc<Record>,
) -> Result<Vec<TcpListener>, String> {
    let zones: Vec<&str> = (0..MACHINES)
        .map(|i| if i < MACHINES / 2 { "z-1" } else { "z-2" })
        .collect();
    let fleet = Fleet::spawn(
        &format!("old{generation}"),
        generation,
        &zones,
        vec![endpoint.clone(); MACHINES],
        record,
    )?;
    let end = Instant::now() + Duration::from_secs(10);
    for i in 0..fleet.len() {
        while !store.has("fleet", &format!("d/{}", fleet.name(i))) {
            if Instant::now() > end {
                clean_up(&fleet);
                return Err("a daemon has not written its row".to_owned());
            }
            thread::sleep(Duration::from_millis(10));
        }
    }
    fleet.stop();
    let dark = (0..fleet.len()).map(|i| TcpListener::bind(fleet.control(i)));
    let dark = dark
        .collect::<Result<Vec<_>, _>>()
        .map_err(|e| e.to_string());
    clean_up(&fleet);
    dark
}

fn config(version: usize, keys: &[&str]) -> String {
    let tenant = |key: &&str| {
        format!(
            ",{{\"name\":\"t-{key}\",\"apiKeys\":[\"{key}\"],\"priority\":1,\"prepaid\":1000000}}"
        )
    };
    let tenants: String = keys.iter().map(tenant).collect();
    format!(
        "{{\"version\":{version},\"routes\":[{{\"name\":\"r-1\",\"hostname\":\"shop.example\",\
         \"prefix\":\"/stock/\",\"type\":\"idempotent\",\"timeoutMs\":800,\"sloMs\":150,\"priority\":0,\
         \"service\":\"desk\",\"maxAttempts\":2,\"public\":false,\"sessionAffinity\":false}}],\
         \"services\":[{{\"name\":\"desk\",\"healthPath\":\"/healthz\",\"maxConns\":100,\"protocol\":\"h1\",\
         \"tls\":false}}],\"limits\":{{\"maxHeaderBytes\":16384,\"maxBodyBytes\":4194304,\
         \"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000}},\"tenants\":[{{\"name\":\"coop\",\
         \"apiKeys\":[\"key-coop\"],\"priority\":1,\"prepaid\":1000000}}{tenants}]}}"
    )
}

fn sleep_until(record: &Record, at: f64) {
    thread::sleep(Duration::from_secs_f64((at - record.now()).max(0.0)));
}
