//! The stand-ins must show exactly the faults that they are asked for, or tests built on them would
//! prove nothing.

use std::{
    io::{
        BufRead,
        BufReader,
        Read,
        Write, //
    },
    net::{
        SocketAddr,
        TcpStream, //
    },
};

use cuminloom::store::{
    Change,
    CommitOutcome,
    HttpStore,
    Objects,
    Precondition,
    StoreError,
    Table,
    VmList,
    Write as RowWrite, //
};
use cuminloom_standins::{
    engine::{
        Counters,
        token, //
    },
    process::Process,
    service::Effects, //
};
use serde::de::DeserializeOwned;
use serde_json::{
    Value,
    json, //
};

fn post(addr: SocketAddr, path: &str, body: &Value) -> minreq::Response {
    minreq::post(format!("http://{addr}{path}"))
        .with_body(body.to_string())
        .send()
        .unwrap()
}

fn get<T: DeserializeOwned>(addr: SocketAddr, path: &str) -> T {
    let reply = minreq::get(format!("http://{addr}{path}")).send().unwrap();
    serde_json::from_slice(reply.as_bytes()).unwrap()
}

fn control(process: &Process, body: &Value) {
    let reply = post(process.addr("control"), "/control", body);
    assert_eq!(reply.status_code, 200, "{:?}", reply.as_str());
}

fn put(key: &str, expect: Precondition) -> RowWrite {
    let change = Change::Put(json!({ "n": 1 }));
    RowWrite {
        key: key.into(),
        precondition: expect,
        change,
    }
}

fn platform() -> Process {
    let args = [
        "--listen",
        "east=127.0.0.1:0",
        "--listen",
        "west=127.0.0.1:0",
    ];
    Process::standin("platform-standin", &args, &["east", "west", "control"]).unwrap()
}

/// Guards against a refused or lost write that is reported as the other kind: both kinds of fault
/// would then look alike to the daemons.
#[test]
fn platform_faults_keep_their_meaning() {
    let platform = platform();
    let east = HttpStore::new(platform.addr("east"));
    let west = HttpStore::new(platform.addr("west"));
    let key = "claim/a b/ü%/1";
    let Ok(CommitOutcome::Applied(_)) = east.commit(&[put(key, Precondition::Absent)]) else {
        panic!("a healthy platform applies a commit")
    };
    assert_eq!(&*west.read(key).unwrap().unwrap().key, key);
    assert_eq!(west.list("claim/", "", 5).unwrap().len(), 1);
    assert_eq!(west.list("claim/", key, 5).unwrap().len(), 0);

    control(&platform, &json!({ "dc": "east", "down": true }));
    let refused = east.commit(&[put("down", Precondition::Absent)]);
    assert_eq!(refused, Err(StoreError::Unavailable));
    assert_eq!(west.read("down"), Ok(None));

    control(&platform, &json!({ "dc": "west", "drop_answers": true }));
    let lost = west.commit(&[put("lost", Precondition::Absent)]);
    assert_eq!(lost, Err(StoreError::Unknown));
    assert_eq!(west.put_new("bills/1", b"[1]"), Err(StoreError::Unknown));
    assert!(west.read("lost").unwrap().is_some());
    assert_eq!(west.get("bills/1"), Ok(Some(b"[1]".to_vec())));

    control(&platform, &json!({ "down": false, "drop_answers": false }));
    assert_eq!(east.put_new("bills/1", b"[2]"), Ok(false));
    let conflict = east.commit(&[
        put("new", Precondition::Any),
        put("lost", Precondition::Absent),
    ]);
    assert!(
        matches!(conflict, Ok(CommitOutcome::Conflict { key, row: Some(_) }) if &*key == "lost")
    );
    assert_eq!(east.read("new"), Ok(None));
    let counters: Value = get(platform.addr("control"), "/counters");
    assert_eq!(counters["west"]["dropped"], 2);
    assert_eq!(counters["east"]["refused"], 1);
}

/// Guards against a list of VMs that never lags, and against a hang that answers.
#[test]
fn platform_serves_an_old_list_and_hangs() {
    let platform = platform();
    let east = HttpStore::new(platform.addr("east"));
    control(&platform, &json!({ "vm_lag_ms": 3_600_000 }));
    let vms = json!({ "vms": [{ "name": "vm-1", "dc": "east", "state": "leaving" }] });
    let reply = minreq::put(format!("http://{}/vms", platform.addr("control")))
        .with_body(vms.to_string())
        .send();
    assert_eq!(reply.unwrap().status_code, 200);
    assert_eq!(east.list_vms(), Ok(Vec::new()));
    control(&platform, &json!({ "vm_lag_ms": 0 }));
    assert!(east.list_vms().unwrap()[0].leaving);
    control(&platform, &json!({ "hang": true }));
    assert_eq!(east.read("a"), Err(StoreError::Unknown));
}

fn engine(args: &[&str]) -> Process {
    Process::standin("engine-standin", args, &["engine", "control"]).unwrap()
}

fn chat(prompt: &str, more: Value) -> Value {
    let mut body = json!({
        "model": "m", "messages": [{ "role": "user", "content": prompt }],
    });
    body.as_object_mut()
        .unwrap()
        .extend(more.as_object().unwrap().clone());
    body
}

/// Opens a chat whose answer is read line by line.
fn open_chat(engine: &Process, id: &str, body: &Value) -> BufReader<TcpStream> {
    let mut stream = TcpStream::connect(engine.addr("engine")).unwrap();
    let body = body.to_string();
    let head = format!(
        "POST /v1/chat/completions HTTP/1.1\r\nhost: x\r\nx-request-id: {id}\r\n\
         content-length: {}\r\n\r\n{body}",
        body.len()
    );
    stream.write_all(head.as_bytes()).unwrap();
    BufReader::new(stream)
}

fn next_event(lines: &mut BufReader<TcpStream>) -> Option<String> {
    let mut line = String::new();
    while lines.read_line(&mut line).is_ok_and(|size| size > 0) {
        if let Some(data) = line.trim_end().strip_prefix("data: ") {
            return Some(data.into());
        }
        line.clear();
    }
    None
}

/// Guards against answers that belong to another prompt and against usage that differs from the
/// tokens that were generated.
#[test]
fn engine_counts_what_it_generates() {
    let engine = engine(&["--output-tokens", "9"]);
    let path = "/v1/chat/completions";
    let whole = post(
        engine.addr("engine"),
        path,
        &chat("hello", json!({ "max_tokens": 3 })),
    );
    let body: Value = serde_json::from_slice(whole.as_bytes()).unwrap();
    let text: String = (0..3).map(|index| token("hello", index)).collect();
    assert_eq!(body["choices"][0]["message"]["content"], text);
    assert_eq!(body["usage"]["completion_tokens"], 3);

    let options = json!({ "stream": true, "stream_options": { "include_usage": true } });
    let mut lines = open_chat(&engine, "r1", &chat("hello", options));
    let mut events = Vec::new();
    while events.last().is_none_or(|last| last != "[DONE]") {
        events.push(next_event(&mut lines).unwrap());
    }
    // Nine tokens, the finish reason, the usage and the end.
    assert_eq!(events.len(), 12);
    let usage: Value = serde_json::from_str(&events[10]).unwrap();
    assert_eq!(usage["usage"]["completion_tokens"], 9);
    let counters: Counters = get(engine.addr("control"), "/counters");
    assert_eq!(counters.requests["r1"].generated, 9);
    assert_eq!(counters.total.generated, 12);
    assert_eq!(counters.total.finished, 2);
}

/// Guards against an engine that runs more than its capacity, ignores priorities, or goes on after
/// the client has closed the connection.
#[test]
fn engine_queues_by_priority_and_cancels() {
    let engine = engine(&["--capacity", "1", "--tokens-per-second", "200"]);
    let long = json!({ "stream": true, "max_tokens": 1_000_000 });
    control(&engine, &json!({ "output_tokens": 1_000_000 }));
    let mut first = open_chat(&engine, "first", &chat("a", long));
    assert!(next_event(&mut first).is_some());
    let short = |priority: i64| json!({ "stream": true, "max_tokens": 1, "priority": priority });
    let mut patient = open_chat(&engine, "patient", &chat("b", short(5)));
    wait_load(&engine, |load| load["waiting"] == 1);
    let mut urgent = open_chat(&engine, "urgent", &chat("c", short(1)));
    wait_load(&engine, |load| load["waiting"] == 2 && load["running"] == 1);
    control(&engine, &json!({ "ttft_ms": 50 }));
    drop(first);
    assert!(next_event(&mut urgent).is_some());
    let counters: Counters = get(engine.addr("control"), "/counters");
    assert_eq!(counters.requests["first"].cancelled, 1);
    assert_eq!(
        counters
            .requests
            .get("patient")
            .map_or(0, |run| run.finished),
        0
    );
    assert!(next_event(&mut patient).is_some());
}

fn wait_load(engine: &Process, is_met: impl Fn(&Value) -> bool) {
    while !is_met(&get(engine.addr("engine"), "/load")) {
        std::thread::yield_now();
    }
}

/// Guards against a crash that leaves an answer looking complete, and against stale orders.
#[test]
fn engine_crashes_and_fences() {
    let engine = engine(&["--tokens-per-second", "200", "--output-tokens", "1000000"]);
    let order =
        |fencing: u64| json!({ "order": "load-model", "argument": "m", "fencing": fencing });
    let addr = engine.addr("engine");
    assert_eq!(post(addr, "/orders", &order(7)).status_code, 200);
    assert_eq!(post(addr, "/orders", &order(6)).status_code, 409);
    control(&engine, &json!({ "fences": false, "crash_ms": 3_600_000 }));
    assert_eq!(post(addr, "/orders", &order(6)).status_code, 200);

    let mut other = open_chat(&engine, "other", &chat("b", json!({ "stream": true })));
    assert!(next_event(&mut other).is_some());
    let poison = chat("crash-the-engine", json!({ "stream": true }));
    let mut lines = open_chat(&engine, "poison", &poison);
    assert_eq!(next_event(&mut lines), None);
    let mut rest = String::new();
    let _ = other.read_to_string(&mut rest);
    assert!(!rest.contains("[DONE]") && !rest.ends_with("0\r\n\r\n"));
    let refused = TcpStream::connect(addr).unwrap_err();
    assert_eq!(refused.kind(), std::io::ErrorKind::ConnectionRefused);
    let counters: Counters = get(engine.addr("control"), "/counters");
    assert_eq!(
        (counters.crashes, counters.requests["poison"].generated),
        (1, 0)
    );
    assert_eq!(counters.orders, ["load-model m 7", "load-model m 6"]);
}

/// Guards against an exit on a crash that does not end the process.
#[test]
fn engine_exits_on_crash() {
    let mut engine = engine(&["--exit-on-crash"]);
    let poison = chat("crash-the-engine", json!({}));
    assert_eq!(next_event(&mut open_chat(&engine, "poison", &poison)), None);
    assert_eq!(engine.wait().unwrap().code(), Some(101));
}

/// Guards against an effect that is not counted because its answer was lost.
#[test]
fn service_counts_effects_of_lost_answers() {
    let service = Process::standin("service-standin", &[], &["service", "control"]).unwrap();
    let request = || {
        minreq::post(format!("http://{}/renew/7", service.addr("service")))
            .with_header("x-request-id", "r1")
            .with_header("idempotency-key", "k1")
            .send()
    };
    assert_eq!(request().unwrap().status_code, 200);
    control(&service, &json!({ "fail": true }));
    assert_eq!(request().unwrap().status_code, 500);
    control(&service, &json!({ "close": true }));
    let lost = request();
    // `minreq` makes up a reply without headers when the connection closes.
    assert!(lost.is_ok_and(|reply| reply.headers.is_empty()));
    let effects: Effects = get(service.addr("control"), "/effects");
    assert_eq!(
        (effects.total, effects.requests["r1"], effects.keys["k1"]),
        (3, 3, 3)
    );
    let load: Value = get(service.addr("service"), "/load");
    assert_eq!(load["running"], 0);
}

/// Guards against a cut that lets bytes through and a freeze that loses them.
#[test]
fn relay_cuts_freezes_and_heals() {
    let service = Process::standin("service-standin", &[], &["service", "control"]).unwrap();
    let to = service.addr("service").to_string();
    let args = [
        "--listen",
        "a=127.0.0.1:0",
        "--to",
        &to,
        "--listen",
        "b=127.0.0.1:0",
        "--to",
        &to,
    ];
    let relay = Process::standin("relay-standin", &args, &["a", "b", "control"]).unwrap();
    let call = |name: &str| minreq::get(format!("http://{}/x", relay.addr(name))).send();
    assert!(call("a").is_ok());
    control(&relay, &json!({ "name": "a", "mode": "cut" }));
    assert!(call("a").is_err() && call("b").is_ok());
    control(&relay, &json!({ "mode": "frozen" }));
    std::thread::scope(|scope| {
        let held = scope.spawn(|| call("b"));
        control(&relay, &json!({ "mode": "open" }));
        assert!(held.join().unwrap().is_ok());
    });
    assert!(call("a").is_ok());
    let effects: Effects = get(service.addr("control"), "/effects");
    assert_eq!(effects.total, 4);
}

/// Guards against a paused process that still answers; a killed one refuses connections.
#[test]
fn process_pauses_and_dies() {
    let mut service = Process::standin("service-standin", &[], &["service", "control"]).unwrap();
    let addr = service.addr("service");
    service.pause().unwrap();
    let url = format!("http://{addr}/x");
    assert!(minreq::get(&url).with_timeout(1).send().is_err());
    service.resume().unwrap();
    assert!(minreq::get(&url).send().is_ok());
    service.kill().unwrap();
    assert!(TcpStream::connect(addr).is_err());
}
