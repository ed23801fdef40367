//! BUDGET: a request that crashes its runner a moment after its first event reaches runners again and again.

use std::{
    sync::{Arc, Mutex},
    thread,
    time::{Duration, Instant},
};

use crate::{
    Outcome,
    caller::{StreamRequest, send},
    fleet::{Fleet, clean_up},
    record::Record,
    runner::{Behaviour, Runner, STRIDE, Seen},
    store::Store,
};

/// `contactMs`.
const CONTACT_S: f64 = 3.0;

/// Retries that the rule allows later than [`CONTACT_S`] after the third crash.
const MOST_RETRIES: usize = 3;

/// Times that the request comes, and the time between two of them.
const REPEATS: u32 = 22;
const PAUSE: Duration = Duration::from_millis(1500);

/// Time from the first event of the request to the crash of its runner.
const CRASH_AFTER_MS: u64 = 300;

pub fn run(record: &Arc<Record>, trouble: bool) -> Outcome {
    let crash_after = std::env::var("CRASH_AFTER_MS")
        .ok()
        .and_then(|v| v.parse().ok());
    let crash_after = Duration::from_millis(crash_after.unwrap_or(CRASH_AFTER_MS));
    let store = Store::start();
    store.put("op", "config", Some(&config()));
    let seen: Arc<Mutex<Seen>> = Arc::default();
    let behaviour = Behaviour {
        step: Duration::from_millis(20),
        crash_after: trouble.then_some(crash_after),
        restart_after: Duration::from_secs(3),
        lost: 0,
        failed: 0,
    };
    for i in 0..8 {
        let zone = ["z-1", "z-2"][i % 2];
        Runner::start(
            &format!("w{i}"),
            "writers",
            zone,
            behaviour,
            &store,
            record,
            &seen,
        );
    }
    let fleet = Fleet::start(&["z-1", "z-1", "z-2", "z-2"], &store, record)?;
    thread::sleep(Duration::from_secs(5));
    let addresses = fleet.addresses();
    let mut statuses = Vec::new();
    for number in 0..REPEATS {
        let begun = Instant::now();
        let request = StreamRequest {
            id: format!("bad{number:013x}"),
            path: "/chat/poison/2f".to_owned(),
            key: "key-coop".to_owned(),
            prompt: 400,
            output: 200,
            parts: "5c1e07a2:200,bad0:200".to_owned(),
            body: "{\"prompt\":\"the same each time\"}".to_owned(),
            deadline: Duration::from_secs(15),
        };
        let target = addresses[number as usize % addresses.len()];
        let answer = send(target, &request);
        record.line(format!(
            "caller {} at {target}: status {} events {} complete {} after {} ms",
            request.id,
            answer.status,
            answer.events,
            answer.complete,
            answer.took.as_millis()
        ));
        statuses.push(answer.status);
        thread::sleep(PAUSE.saturating_sub(begun.elapsed()));
    }
    let ended = fleet.any_ended();
    for text in ["event=runner_crashed", "event=suspect_"] {
        fleet
            .log_lines(text)
            .iter()
            .for_each(|line| record.line(line));
    }
    clean_up(&fleet);
    if ended {
        return Err("a daemon ended by itself".to_owned());
    }
    let seen = seen.lock().unwrap();
    let reached = seen.arrivals.len();
    record.say(format!(
        "the request came {REPEATS} times, reached runners {reached} times and crashed {} of them",
        seen.crashes.len()
    ));
    record.say(format!("statuses: {statuses:?}"));
    let Some(third) = seen.crashes.get(2) else {
        record.say("it did not crash three runners");
        return match trouble {
            true => Err("the case did not come about".to_owned()),
            false => Ok(false),
        };
    };
    let late = seen.arrivals.iter().filter(|a| a.0 > third + CONTACT_S);
    let late = late.count();
    record.say(format!(
        "it reached runners {late} times later than {CONTACT_S} s after the third crash; {MOST_RETRIES} are allowed"
    ));
    Ok(late > MOST_RETRIES)
}

fn config() -> String {
    format!(
        "{{\"version\":7,\"routes\":[{{\"name\":\"r-1\",\"hostname\":\"shop.example\",\"prefix\":\"/chat/\",\
         \"type\":\"streaming\",\"timeoutMs\":15000,\"sloMs\":600,\"priority\":1,\"service\":\"writers\",\
         \"maxAttempts\":1,\"public\":false,\"sessionAffinity\":true,\"streamResume\":false,\
         \"itlTargetMs\":200}}],\"services\":[{{\"name\":\"writers\",\"healthPath\":\"/healthz\",\
         \"maxConns\":230,\"protocol\":\"h1\",\"tls\":false,\"engine\":{{\"slots\":32,\"kvCapacity\":484259,\
         \"kvBytes\":163840,\"linkMbps\":260000.0,\"moves\":false,\"backups\":false,\"stride\":{STRIDE},\
         \"most\":12,\"pinMs\":4000.0,\"holdMs\":2000.0,\"handleTtlS\":5.0,\"models\":[{{\"name\":\"m\"}}]}}}}],\
         \"limits\":{{\"maxHeaderBytes\":16384,\"maxBodyBytes\":4194304,\"headerTimeoutMs\":3000,\
         \"idleTimeoutMs\":15000}},\"tenants\":[{{\"name\":\"coop\",\"apiKeys\":[\"key-coop\"],\
         \"priority\":1,\"prepaid\":10000000}}]}}"
    )
}
