//! RECOVER: daemons that lose power charge their customers for tokens that nobody used.
//!
//! All daemons lose power twice, for 4.4 s; the store is up all the while. The second time is the final fault. A
//! customer has prepaid 1.3 times what it asks for in the whole case.

use std::{
    collections::HashMap,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use crate::{
    Outcome,
    caller::{Answer, StreamRequest, send},
    fleet::{Fleet, clean_up},
    record::Record,
    runner::{Behaviour, Runner, STRIDE, Seen},
    store::Store,
};

/// Requests a second of the customer, and their size.
const RATE: f64 = 25.0;
const PROMPT: u64 = 400;
const OUTPUT: u64 = 60;

/// Times at which all daemons lose power, in seconds from the start of traffic, and for how long.
const LOSSES: [f64; 2] = [6.0, 16.0];
const DARK_S: f64 = 4.4;

/// `recoveryS`, and the time for which requests are counted after it.
const RECOVERY_S: f64 = 12.0;
const COUNTED_S: f64 = 4.0;

/// Length of the case from the start of traffic.
const LENGTH_S: f64 = 37.0;

/// What the customer has prepaid, as multiple of all that it asks for.
const PREPAID_X: f64 = 1.3;

/// `settle_ms`, and the part of `prepaid` into which a request has to fit to be owed.
const SETTLE_S: f64 = 1.5;
const OWED_PART: f64 = 0.97;

/// A request of the customer with all its tries.
#[derive(Clone, Debug)]
struct Asked {
    at: f64,
    ended: f64,
    served: bool,
    last_status: u16,
}

pub fn run(record: &Arc<Record>, trouble: bool) -> Outcome {
    let prepaid = (RATE * LENGTH_S * (PROMPT + OUTPUT) as f64 * PREPAID_X) as u64;
    let store = Store::start();
    store.put("op", "config", Some(&config(prepaid)));
    let seen: Arc<Mutex<Seen>> = Arc::default();
    let behaviour = Behaviour {
        step: Duration::from_millis(20),
        crash_after: None,
        restart_after: Duration::from_secs(3),
        lost: 0,
        failed: 0,
    };
    for i in 0..6 {
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
    thread::sleep(Duration::from_secs(4));
    let begun = record.now();
    let asked: Arc<Mutex<Vec<Asked>>> = Arc::default();
    let stop = Arc::new(AtomicBool::new(false));
    let traffic = spawn_traffic(record, &fleet, &asked, &stop);
    if trouble {
        for loss in LOSSES {
            sleep_until(record, begun + loss);
            (0..fleet.len()).for_each(|i| fleet.kill(i));
            record.say(format!(
                "{:.1} s: all daemons lose power",
                record.now() - begun
            ));
            sleep_until(record, begun + loss + DARK_S);
            (0..fleet.len()).for_each(|i| fleet.start_daemon(i));
            record.say(format!("{:.1} s: all daemons start", record.now() - begun));
        }
    }
    let final_fault = LOSSES[LOSSES.len() - 1];
    let counted_from = final_fault + DARK_S + RECOVERY_S + 0.5;
    sleep_until(record, begun + counted_from + COUNTED_S);
    stop.store(true, Ordering::SeqCst);
    let _ = traffic.join();
    thread::sleep(Duration::from_secs(2));
    let ended = fleet.any_ended();
    for line in fleet.log_lines("event=grants_inherited") {
        record.line(line);
    }
    clean_up(&fleet);
    if ended {
        return Err("a daemon ended by itself".to_owned());
    }
    let mut asked = asked.lock().unwrap().clone();
    asked.sort_by(|a, b| a.at.total_cmp(&b.at));
    let share = |from: f64, to: f64| {
        let counted = asked
            .iter()
            .filter(|a| a.at >= begun + from && a.at < begun + to);
        let (mut all, mut served) = (0, 0);
        for one in counted {
            all += 1;
            served += usize::from(one.served);
        }
        (served, all)
    };
    let before = share(0.0, final_fault);
    let after = share(counted_from, counted_from + COUNTED_S);
    // Tokens that runners have spent on the customer: each prompt once, and the events.
    let runs = &seen.lock().unwrap().runs;
    let spent: u64 = runs.iter().map(|r| r.prompt + r.events * STRIDE).sum();
    let not_owed = count_not_owed(&asked, begun + counted_from, prepaid, spent);
    let mut statuses: HashMap<u16, usize> = HashMap::new();
    asked
        .iter()
        .for_each(|a| *statuses.entry(a.last_status).or_default() += 1);
    let mut statuses: Vec<_> = statuses.into_iter().collect();
    statuses.sort_unstable();
    record.say(format!(
        "prepaid {prepaid} tokens, spent by runners {spent}"
    ));
    record.say(format!("last status of each request, count: {statuses:?}"));
    record.say(format!(
        "before the final fault: {} of {} served",
        before.0, before.1
    ));
    record.say(format!(
        "sent later than {RECOVERY_S} s after it: {} of {} served, {not_owed} of them not owed",
        after.0, after.1
    ));
    if before.0 * 4 < before.1 || after.1 == 0 || not_owed > 0 {
        return Err("the case did not come about".to_owned());
    }
    Ok(after.0 * 4 < after.1)
}

/// Requests sent from `from` on that may not fit into the balance: everything that runners spent in the whole
/// case counts, and all requests that had not ended [`SETTLE_S`] before at their most.
fn count_not_owed(asked: &[Asked], from: f64, prepaid: u64, spent: u64) -> usize {
    let cost = PROMPT + OUTPUT;
    let limit = (prepaid as f64 * OWED_PART) as u64;
    let open = |at: f64| {
        let open = asked
            .iter()
            .filter(|a| a.at <= at && a.ended + SETTLE_S > at);
        open.count() as u64 * cost
    };
    let later = asked.iter().filter(|a| a.at >= from);
    later.filter(|a| spent + open(a.at) + cost > limit).count()
}

fn config(prepaid: u64) -> String {
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
         \"priority\":1,\"prepaid\":{prepaid}}}]}}"
    )
}

fn sleep_until(record: &Record, at: f64) {
    thread::sleep(Duration::from_secs_f64((at - record.now()).max(0.0)));
}

/// Sends the customer's requests at a constant rate, whatever becomes of them.
fn spawn_traffic(
    record: &Arc<Record>,
    fleet: &Arc<Fleet>,
    asked: &Arc<Mutex<Vec<Asked>>>,
    stop: &Arc<AtomicBool>,
) -> thread::JoinHandle<()> {
    let (record, fleet) = (Arc::clone(record), Arc::clone(fleet));
    let (asked, stop) = (Arc::clone(asked), Arc::clone(stop));
    thread::spawn(move || {
        let begun = Instant::now();
        for number in 0_u32.. {
            let due = begun + Duration::from_secs_f64(f64::from(number) / RATE);
            thread::sleep(due.saturating_duration_since(Instant::now()));
            if stop.load(Ordering::SeqCst) {
                return;
            }
            let (record, fleet, asked) =
                (Arc::clone(&record), Arc::clone(&fleet), Arc::clone(&asked));
            thread::spawn(move || {
                let one = ask(&record, &fleet, number);
                asked.lock().unwrap().push(one);
            });
        }
    })
}

/// Sends one request and, if it has not run for certain, once more, as the callers of the pages do.
fn ask(record: &Record, fleet: &Fleet, number: u32) -> Asked {
    let at = record.now();
    let deadline = Duration::from_secs(15);
    let begun = Instant::now();
    let mut last: Option<Answer> = None;
    for attempt in 0..2_u32 {
        let mut targets = fleet.in_rotation();
        if targets.is_empty() {
            targets = fleet.addresses();
        }
        let target = targets[(number.wrapping_mul(7) + attempt) as usize % targets.len()];
        let id = format!("{number:08x}{attempt:08x}");
        let request = StreamRequest {
            path: "/chat/2f".to_owned(),
            key: "key-coop".to_owned(),
            prompt: PROMPT,
            output: OUTPUT,
            parts: format!("5c1e07a2:200,{:x}:200", u64::from(number) + 0x1000),
            body: "{}".to_owned(),
            deadline: deadline.saturating_sub(begun.elapsed()),
            id,
        };
        let answer = send(target, &request);
        record.line(format!(
            "caller {} at {target}: status {} events {} complete {} after {} ms",
            request.id,
            answer.status,
            answer.events,
            answer.complete,
            answer.took.as_millis()
        ));
        let left = deadline.saturating_sub(begun.elapsed());
        let again = match answer.status {
            408 | 421 | 429 | 503 => true,
            _ => !answer.connected,
        };
        let wait = Duration::from_secs_f64(answer.retry_after.unwrap_or(0.1)).min(left / 3);
        last = Some(answer);
        if !again || left.is_zero() {
            break;
        }
        if attempt == 0 {
            thread::sleep(wait);
        }
    }
    let last = last.expect("an attempt");
    Asked {
        at,
        ended: record.now(),
        served: last.is_served(),
        last_status: last.status,
    }
}
