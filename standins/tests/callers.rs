//! The interface to callers, through a real daemon: a wrong verdict makes a caller repeat what ran,
//! and an incomplete answer that looks whole is taken for the truth.

use std::{
    io::{
        BufRead,
        BufReader,
        Read,
        Write, //
    },
    net::TcpStream,
    thread,
};

use cuminloom_standins::{
    engine::{
        Counters,
        token, //
    },
    fleet::KEY,
    service::Effects, //
};
use minreq::Method;
use serde_json::{
    Value,
    json, //
};

mod callers_world;

use callers_world::{
    OTHER_KEY,
    World,
    ask,
    check,
    check_verdict,
    header,
    wait_for, //
};

const CHAT: &str = "/v1/chat/completions";

/// Guards against errors without a verdict, with the wrong one, or that tell too much.
#[test]
fn refusals_state_that_nothing_ran() {
    let world = World::start();
    check_keys_and_profiles(&world);
    check_bodies(&world);
    check_lines(&world);
    check_declared_length(&world);
    check(&world.post("/v2/none", ""), 404, "not_found", "not-run");
    check(
        &world.post("/s/deposit/x", "{}"),
        400,
        "key_required",
        "not-run",
    );
    check(
        &world.keyed("/s/deposit/x", &"k".repeat(256), "{}"),
        400,
        "bad_request",
        "not-run",
    );
    check(
        &world.chat(&ask("poor", false)),
        402,
        "budget_exhausted",
        "not-run",
    );
    check(
        &world.chat(&ask("ok", false)),
        400,
        "bad_request",
        "not-run",
    );
    check(
        &world.post("/s/stream/x", ""),
        400,
        "bad_request",
        "not-run",
    );
    let unreachable = world.post("/s/away/x", "");
    assert!(matches!(unreachable.status_code, 502 | 503));
    check_verdict(&unreachable, "not-run");
    let billed = world.fleet.budget_row("tiny").breakdown().billed;
    assert_eq!(billed, 0, "a refused request costs nothing");
}

fn check_keys_and_profiles(world: &World) {
    let body = ask("chat", false).to_string();
    let url = format!("http://{}{CHAT}", world.addr());
    let missing = minreq::post(url).with_body(&*body).send().unwrap();
    check(&missing, 401, "unauthorized", "not-run");
    for key in ["", "wrong", &KEY.to_uppercase()] {
        let request = world.request(Method::Post, CHAT, key).with_body(&*body);
        check(&request.send().unwrap(), 401, "unauthorized", "not-run");
        let models = world
            .request(Method::Get, "/v1/models", key)
            .send()
            .unwrap();
        check(&models, 401, "unauthorized", "not-run");
    }
    let metrics = world.request(Method::Get, "/metrics", KEY).send().unwrap();
    let counted = "code=\"unauthorized\"";
    assert!(
        metrics.as_str().unwrap().contains(counted),
        "a refusal by the head is counted"
    );
    // "chat" belongs to the other customer, "chap" to nobody.
    let ask_for = |name: &str| {
        let request = world.request(Method::Post, CHAT, OTHER_KEY);
        let reply = request
            .with_body(ask(name, false).to_string())
            .send()
            .unwrap();
        check(&reply, 404, "not_found", "not-run");
        reply.as_str().unwrap().replace(name, "")
    };
    assert_eq!(ask_for("chat"), ask_for("chap"));
}

fn check_bodies(world: &World) {
    let mut wrong: Vec<String> = ["", "{", "[]", "7", "{\"messages\": []}"]
        .map(Into::into)
        .into();
    let types = [
        ("messages", json!(3)),
        ("messages", json!(["text"])),
        ("messages", json!([{ "content": { "type": "image_url" } }])),
        (
            "messages",
            json!([{ "content": [{ "type": "image_url" }] }]),
        ),
        ("model", json!(1)),
        ("stream", json!("yes")),
        ("stream_options", json!([])),
        ("max_tokens", json!("many")),
        ("max_tokens", json!(-1)),
        ("n", json!(1.5)),
        ("chat_template", json!("{{ messages }}{{ messages }}")),
    ];
    for (field, value) in types {
        let mut body = ask("chat", false);
        body[field] = value;
        wrong.push(body.to_string());
    }
    for body in wrong {
        check(&world.post(CHAT, &body), 400, "bad_request", "not-run");
    }
    check(
        &world.post(CHAT, &" ".repeat(200_000)),
        413,
        "too_large",
        "not-run",
    );
    let head = format!("POST {CHAT} HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer {KEY}\r\n");
    let mut cut = world.raw(&format!(
        "{head}Content-Length: 5000\r\n\r\n{{\"messages\": ["
    ));
    let mut answer = String::new();
    // The library may reset the connection after the answer.
    let _ = cut.read_to_string(&mut answer);
    assert!(answer.starts_with("HTTP/1.1 400"), "{answer}");
    assert!(answer.contains("\"verdict\":\"not-run\""), "{answer}");
}

/// Guards against a line end in a path or header that adds a header at the target.
fn check_lines(world: &World) {
    let auth = format!("Host: x\r\nAuthorization: Bearer {KEY}\r\nConnection: close\r\n");
    let requests = [
        format!("POST /s/ok/ok\nx-evil:1 HTTP/1.1\r\n{auth}\r\n"),
        format!("POST /s/ok/ok HTTP/1.1\r\n{auth}Content-Type: a\nx-evil: 1\r\n\r\n"),
    ];
    for request in requests {
        let mut answer = String::new();
        let _ = world.raw(&request).read_to_string(&mut answer);
        assert!(answer.starts_with("HTTP/1.1 400"), "{answer}");
    }
    assert!(world.target.seen("x-evil").is_empty());
}

/// Guards against memory that is reserved for a declared length, which ends the process, and against
/// waits for a body that is refused anyway.
fn check_declared_length(world: &World) {
    let declared = "Content-Length: 1152921504606846976\r\n\r\n{}";
    let auth = format!("Authorization: Bearer {KEY}\r\n");
    let heads = [
        (413, format!("POST {CHAT} HTTP/1.1\r\nHost: x\r\n{auth}")),
        (401, format!("POST {CHAT} HTTP/1.1\r\nHost: x\r\n")),
        (413, "GET /healthz HTTP/1.1\r\nHost: x\r\n".into()),
    ];
    for (status, head) in &heads {
        let mut answer = String::new();
        let mut stream = world.raw(&format!("{head}{declared}"));
        stream.read_to_string(&mut answer).unwrap();
        assert!(
            answer.starts_with(&format!("HTTP/1.1 {status} ")),
            "{answer}"
        );
        assert!(answer.contains("\"verdict\":\"not-run\""), "{answer}");
    }
    let health = world.request(Method::Get, "/healthz", KEY).send().unwrap();
    assert_eq!(health.status_code, 200);
}

/// Guards against a second effect, and against answers of another request under the same key.
#[test]
fn a_key_has_one_effect() {
    let world = World::start();
    let minted = world.post("/v1/keys", "");
    assert_eq!(minted.status_code, 201);
    let minted: Value = serde_json::from_str(minted.as_str().unwrap()).unwrap();
    for key in ["deposit/17%", minted["key"].as_str().unwrap()] {
        let first = world.keyed("/s/deposit/a", key, "{}");
        assert_eq!(first.status_code, 200, "{:?}", first.as_str());
        let replay = wait_for("the recorded answer", || {
            let reply = world.keyed("/s/deposit/a", key, "{}");
            if reply.status_code == 409 {
                check(&reply, 409, "already_claimed", "may-have-run");
                return None;
            }
            Some(reply)
        });
        assert_eq!(replay.as_bytes(), first.as_bytes());
        assert_eq!(header(&replay, "x-cuminloom-verdict"), Some("ran"));
        check(
            &world.keyed("/s/deposit/a", key, "[]"),
            422,
            "key_reused",
            "not-run",
        );
        check(
            &world.keyed("/s/deposit/b", key, "{}"),
            422,
            "key_reused",
            "not-run",
        );
        assert_eq!(effects(&world).keys.get(key), Some(&1));
    }
    let forged = minted["key"].as_str().unwrap().replace(":1:", ":2:");
    check(
        &world.keyed("/s/deposit/a", &forged, "{}"),
        400,
        "bad_request",
        "not-run",
    );
    let old = world.keyed("/s/deposit/a", "1600000000-old", "{}");
    check(&old, 410, "key_expired", "may-have-run");

    for _ in 0..3 {
        let reply = world.keyed("/s/close-once/close", "closed", "{}");
        check_verdict(&reply, "may-have-run");
        assert_eq!(world.target.seen("idempotency-key: closed").len(), 1);
    }
}

fn effects(world: &World) -> Effects {
    let url = format!("http://{}/effects", world.fleet.service.addr("control"));
    serde_json::from_slice(minreq::get(url).send().unwrap().as_bytes()).unwrap()
}

/// Guards against incomplete answers that look complete, and against waits without end.
#[test]
fn broken_answers_never_look_whole() {
    let world = World::start();
    for script in ["close", "chunk-cut", "length-cut", "unmarked"] {
        let reply = world.post(&format!("/s/{script}/{script}"), "");
        check_verdict(&reply, "may-have-run");
        assert!(reply.status_code >= 500, "{script}");
    }
    for script in ["chat-close", "whole-cut"] {
        check_verdict(&world.chat(&ask(script, false)), "may-have-run");
    }
    check_verdict(&world.chat(&ask("chat-close", true)), "may-have-run");
    check_verdict(&world.chat(&ask("whole-chunk-cut", false)), "may-have-run");
    check(
        &world.post("/s/hang/hang", ""),
        504,
        "deadline",
        "may-have-run",
    );
    check(
        &world.chat(&ask("chat-hang", true)),
        504,
        "deadline",
        "may-have-run",
    );

    let failed = world.post("/s/fail/fail", "");
    assert_eq!(
        (failed.status_code, failed.as_str().unwrap()),
        (500, "oops")
    );
    assert_eq!(header(&failed, "x-cuminloom-verdict"), Some("ran"));
    let chunked = world.post("/s/chunked/chunked", "");
    assert_eq!(chunked.as_str().unwrap(), "first second");

    for (script, events) in [("stream-cut", 2), ("no-mark", 1)] {
        let lines = world.stream(&ask(script, true));
        let at = lines
            .iter()
            .position(|line| line == "event: error")
            .unwrap();
        assert_eq!(at, events, "{lines:?}");
        assert_eq!(lines.len(), events + 2, "{lines:?}");
        let error: Value =
            serde_json::from_str(lines[at + 1].trim_start_matches("data: ")).unwrap();
        assert_eq!(error["error"]["verdict"], "may-have-run");
        assert!(!lines.iter().any(|line| line.contains("[DONE]")));
    }
}

/// Guards against slow callers that hold more than their own threads: some send half a body, some
/// do not read their answers.
fn check_slow_callers(world: &World) {
    let head = format!("POST {CHAT} HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer {KEY}\r\n");
    let body = ask("stream", true).to_string();
    let unread = format!("{head}Content-Length: {}\r\n\r\n{body}", body.len());
    let half = format!("{head}Content-Length: 5000\r\n\r\n{body}");
    let slow: Vec<_> = (0..32)
        .map(|number| {
            let mut stream = TcpStream::connect(world.addr()).unwrap();
            let request = if number % 2 == 0 { &half } else { &unread };
            stream.write_all(request.as_bytes()).unwrap();
            stream
        })
        .collect();
    for _ in 0..8 {
        assert_eq!(world.chat(&ask("bare", false)).status_code, 200);
    }
    drop(slow);
}

/// Guards against lost, mixed-up, held-back or surplus parts of answers.
#[test]
fn answers_reach_their_callers() {
    let world = World::start();
    check_slow_callers(&world);
    check_usage(&world);
    check_order(&world);
    check_concurrent(&world);
    check_salts(&world);
    let models = world
        .request(Method::Get, "/v1/models", OTHER_KEY)
        .send()
        .unwrap();
    let models: Value = serde_json::from_str(models.as_str().unwrap()).unwrap();
    let ids: Vec<_> = models["data"]
        .as_array()
        .unwrap()
        .iter()
        .map(|m| &m["id"])
        .collect();
    assert!(
        ids.contains(&&json!("stream")) && !ids.contains(&&json!("chat")),
        "{ids:?}"
    );
    check_cancel(world);
}

fn check_usage(world: &World) {
    let lines = world.stream(&ask("stream", true));
    assert_eq!(lines.len(), 4, "three events and the end: {lines:?}");
    assert!(
        !lines.iter().any(|line| line.contains("\"choices\":[]")),
        "{lines:?}"
    );
    let mut body = ask("stream", true);
    body["stream_options"] = json!({ "include_usage": true });
    let lines = world.stream(&body);
    assert_eq!(lines.len(), 5, "{lines:?}");
    assert!(lines[3].contains("\"total_tokens\":7"));
    assert_eq!(lines[4], "data: [DONE]");
    let whole = world.chat(&ask("bare", false));
    assert_eq!(
        whole.as_str().unwrap(),
        "{\"choices\":[{\"text\":\"kept\"}]}"
    );
}

/// The target sends each event only after the caller has read the one before, so an event that is
/// held back anywhere stops the stream.
fn check_order(world: &World) {
    world.target.go.send(()).unwrap();
    let request = world.request(Method::Post, CHAT, KEY);
    let reply = request
        .with_body(ask("paced", true).to_string())
        .send_lazy()
        .unwrap();
    let mut lines = BufReader::new(reply).lines().map(Result::unwrap);
    for text in ["a", "b", "c"] {
        let line = lines.find(|line| !line.is_empty()).unwrap();
        assert!(line.contains(&format!("\"content\":\"{text}\"")), "{line}");
        world.target.go.send(()).unwrap();
    }
    assert_eq!(lines.find(|line| !line.is_empty()).unwrap(), "data: [DONE]");
}

fn check_concurrent(world: &World) {
    thread::scope(|scope| {
        for number in 0..24 {
            scope.spawn(move || {
                let prompt = format!("lamp {number}");
                let mut body = ask("chat", number % 2 == 0);
                body["messages"][0]["content"] = json!(prompt);
                let reply = world.chat(&body);
                let text = reply.as_str().unwrap();
                assert_eq!(reply.status_code, 200, "{text}");
                for index in 0..32 {
                    assert!(
                        text.contains(token(&prompt, index).trim()),
                        "{number}: {text}"
                    );
                }
            });
        }
    });
}

fn check_salts(world: &World) {
    let mut body = ask("stream", true);
    body["messages"][0]["content"] = json!("stream with salt");
    body["cache_salt"] = json!("chosen by the caller");
    for key in [KEY, KEY, OTHER_KEY] {
        let request = world
            .request(Method::Post, CHAT, key)
            .with_body(body.to_string());
        assert_eq!(request.send().unwrap().status_code, 200);
    }
    let seen = world.target.seen("stream with salt");
    let salts: Vec<Value> = seen
        .iter()
        .map(|seen| serde_json::from_str::<Value>(&seen.body).unwrap()["cache_salt"].clone())
        .collect();
    assert_eq!(salts[0], salts[1], "a customer keeps its cache");
    assert_ne!(salts[0], salts[2], "customers share no cache");
    assert!(!salts.contains(&json!("chosen by the caller")));
}

/// Guards against work that goes on for a caller that left, and against a bill below its cost.
fn check_cancel(mut world: World) {
    let control = world.fleet.engines[0].addr("control");
    let slow = json!({ "tokens_per_second": 50.0, "output_tokens": 4096 });
    let changed = minreq::post(format!("http://{control}/control")).with_body(slow.to_string());
    assert_eq!(changed.send().unwrap().status_code, 200);
    let counters = || -> Counters {
        let reply = minreq::get(format!("http://{control}/counters"))
            .send()
            .unwrap();
        serde_json::from_slice(reply.as_bytes()).unwrap()
    };
    let before = counters().total;
    let body = ask("long", true).to_string();
    let request = world.request(Method::Post, CHAT, KEY).with_body(&*body);
    let mut lines = BufReader::new(request.send_lazy().unwrap()).lines();
    assert!(lines.next().unwrap().unwrap().starts_with("data: "));
    drop(lines);
    let after = wait_for("the cancellation", || {
        let total = counters().total;
        (total.cancelled > before.cancelled).then_some(total)
    });
    let generated = after.generated - before.generated;
    println!("tokens generated for the caller that left after one event: {generated}");
    assert!(generated < 64, "{generated} of 4,096 tokens were generated");
    let reserve = body.len() as i128 + 2 * 16 + 4096;
    // A planned stop commits all bills.
    let mut process = world.fleet.members[0].process.take().unwrap();
    process.terminate().unwrap();
    assert!(process.wait().unwrap().success());
    let billed = world.fleet.budget_row("long").breakdown().billed;
    assert_eq!(billed, reserve, "what the engine generated is not known");
}
