//! Tests of the administration API and its command-line client over loopback.

mod admin_fixture;

use std::{
    io::{
        Read as _,
        Write as _, //
    },
    net::{
        Shutdown,
        TcpStream, //
    },
    sync::atomic::Ordering,
};

use admin_fixture::{
    KEY_HASH,
    fixture, //
};
use cuminloom::{
    admin::ctl::{
        self,
        Exit, //
    },
    budget::BilledTokens, //
};
use serde_json::json;

/// Guards against access without a valid token, and against requests that are accepted although
/// they are malformed, too long or lack a precondition.
#[test]
fn unauthenticated_and_malformed_requests_are_refused() {
    let fixture = fixture();
    let new = || minreq::put(fixture.url("customers/x")).with_header("If-None-Match", "*");
    assert_eq!(
        fixture.send(new().with_body(r#"{"keys":[]}"#), "eve").0,
        401
    );
    let anonymous = new().with_body(r#"{"keys":[]}"#).send().unwrap();
    assert_eq!(anonymous.status_code, 401);
    let (status, body) = fixture.send(new().with_body(r#"{"keyz":[]}"#), "ann");
    assert_eq!(status, 400);
    let message = body["error"]["message"].as_str().unwrap();
    assert!(message.contains("unknown field `keyz`"), "{message}");
    assert_eq!(fixture.send(new().with_body("{"), "ann").0, 400);
    let long = format!(r#"{{"keys":[{}]}}"#, " ".repeat(5_000));
    assert_eq!(fixture.send(new().with_body(long), "ann").0, 413);
    let profile = json!({ "customers": ["lamps"], "service": "no-such", "budget": "chat",
        "urgency": "urgent", "repeat": "once" });
    let (status, body) = fixture.put("profiles/chat", "*", &profile);
    assert_eq!(
        (status, &body["error"]["fields"][0]["path"]),
        (400, &json!("profile.service"))
    );
    assert_eq!(body["error"]["verdict"], "not-run");
    let unconditional = minreq::put(fixture.url("customers/x")).with_body(r#"{"keys":[]}"#);
    assert_eq!(fixture.send(unconditional, "ann").0, 400);
    let unknown_path = fixture.send(minreq::get(fixture.url("customers/../x")), "ann");
    assert_eq!(unknown_path.0, 404);
    assert_eq!(fixture.get("config")["version"], 2, "no edit was accepted");
}

/// Guards against allocating the declared length of a body, which would abort the process.
#[test]
fn a_huge_declared_length_does_not_stop_the_daemon() {
    let fixture = fixture();
    let mut stream = TcpStream::connect(fixture.admin.addr()).unwrap();
    let head = "POST /admin/v1/status HTTP/1.1\r\nHost: x\r\nContent-Length: ";
    write!(stream, "{head}{}\r\n\r\n", 1_u64 << 60).unwrap();
    stream.shutdown(Shutdown::Write).unwrap();
    // Once another request is answered, the daemon has taken this one.
    assert_eq!(fixture.get("status")["mode"], "attached");
    drop(stream);
    for _ in 0..10 {
        assert_eq!(fixture.get("status")["mode"], "attached");
    }
}

/// Guards against unauthenticated clients that announce a body, never send it and so block all
/// worker threads.
#[test]
fn unauthenticated_bodies_do_not_block_the_workers() {
    let fixture = fixture();
    let open = |_| {
        let mut stream = TcpStream::connect(fixture.admin.addr()).unwrap();
        let head = "POST /admin/v1/status HTTP/1.1\r\nHost: x\r\nContent-Length: 2000\r\n\r\n";
        stream.write_all(head.as_bytes()).unwrap();
        // The start of the refusal has arrived, so the request is no longer queued.
        assert_eq!(stream.read(&mut [0; 12]).unwrap(), 12);
        stream
    };
    let clients: Vec<TcpStream> = (0..20).map(open).collect();
    assert_eq!(fixture.get("status")["mode"], "attached");
    drop(clients);
}

/// Guards against an edit that overwrites one that its operator has not seen, and against a
/// conflict that does not show the other edit and its operator.
#[test]
fn a_conflict_shows_the_other_edit() {
    let fixture = fixture();
    let seen = fixture.get("customers/lamps")["version"].to_string();
    let weight = |number: u32| json!({ "keys": [KEY_HASH], "weight": number });
    let ben = minreq::put(fixture.url("customers/lamps")).with_header("If-Match", &seen);
    let (status, body) = fixture.send(ben.with_body(weight(2).to_string()), "ben");
    assert_eq!((status, &body["version"]), (200, &json!(3)));
    let (status, body) = fixture.put("customers/lamps", &seen, &weight(3));
    assert_eq!(status, 409);
    let conflict = &body["error"]["conflict"];
    assert_eq!(conflict["operator"], "ben");
    assert_eq!(conflict["value"]["weight"], 2);
    let (status, _) = fixture.put("customers/lamps", "\"3\"", &weight(3));
    assert_eq!(status, 200);
    // Repeats the request as after a lost response.
    let (status, body) = fixture.put("customers/lamps", "\"3\"", &weight(3));
    assert_eq!((status, &body["version"]), (200, &json!(4)));
    let history = fixture.get("config/history?limit=1");
    assert_eq!(history["edits"][0]["time"], 1_700_000_000);
    let wait = fixture.get("config/wait?version=4");
    assert_eq!(wait["unconfirmed"], json!(["vm-2"]));
    assert_eq!(fixture.get("status")["unconfirmed"], json!(["vm-2"]));
    *fixture.fleet.confirmed.lock().unwrap() = 4;
    assert_eq!(fixture.get("config/wait?version=4")["in_force"], true);
}

/// Guards against a top-up that is applied twice because a reply was lost, from the store or to the
/// operator, against one that overwrites a concurrent draw, and against an idempotency key that is
/// used for two requests.
#[test]
fn a_repeated_top_up_is_applied_once() {
    let fixture = fixture();
    fixture.create_budget();
    let tokens = |number: u64| json!({ "tokens": number });
    fixture.platform.lost_replies.store(1, Ordering::SeqCst);
    let (status, first) = fixture.post("budgets/chat/topup", "t1", &tokens(500));
    assert_eq!((status, &first["limit"]), (200, &json!(1_500)));
    for _ in 0..2 {
        let repeated = fixture.post("budgets/chat/topup", "t1", &tokens(500));
        assert_eq!(repeated, (200, first.clone()));
    }
    assert_eq!(
        fixture.post("budgets/chat/topup", "t1", &tokens(501)).0,
        422
    );
    let anonymous = minreq::post(fixture.url("budgets/chat/topup"));
    let (status, body) = fixture.send(anonymous.with_body(tokens(1).to_string()), "ann");
    assert_eq!(
        (status, &body["error"]["code"]),
        (400, &json!("key_required"))
    );
    // Keys of different operators are independent.
    let ben = minreq::post(fixture.url("budgets/chat/topup")).with_header("Idempotency-Key", "t1");
    assert_eq!(
        fixture.send(ben.with_body(tokens(7).to_string()), "ben").0,
        200
    );
    *fixture.platform.racing_write.lock().unwrap() = Some(fixture.draw_write(700, 150));
    assert_eq!(fixture.post("budgets/chat/topup", "t5", &tokens(1)).0, 200);
    let shown = fixture.get("budgets/chat");
    assert_eq!(
        (&shown["limit"], &shown["billed"]),
        (&json!(1_508), &json!(150))
    );
    assert_eq!(fixture.post("budgets/none/topup", "t2", &tokens(1)).0, 404);
    assert_eq!(fixture.post("budgets/chat/topup", "t3", &tokens(0)).0, 400);
    assert_eq!(
        fixture
            .post("budgets/chat/topup", "t4", &tokens(u64::MAX))
            .0,
        400
    );
}

/// Guards against a lowered limit that is reported as in force while shares can still spend more,
/// against a limit below the billed tokens, and against orphaned tokens that are released twice.
#[test]
fn lowering_and_settling_show_the_pending_tokens() {
    let fixture = fixture();
    fixture.create_budget();
    let shown = fixture.get("budgets/chat");
    let figures = ["billed", "held", "orphaned", "free"].map(|name| shown[name].as_i64().unwrap());
    assert_eq!(figures, [100, 400, 100, 400]);
    assert_eq!(shown["shares"][1]["outstanding"], 100);
    let (status, body) = fixture.post("budgets/chat/lower", "l1", &json!({ "limit": 450 }));
    assert_eq!(status, 200);
    assert_eq!(
        (&body["in_force"], &body["pending"]),
        (&json!(600), &json!(150))
    );
    assert_eq!(
        fixture
            .post("budgets/chat/lower", "l2", &json!({ "limit": 99 }))
            .0,
        400
    );
    assert_eq!(
        fixture
            .post("budgets/chat/lower", "l3", &json!({ "limit": 451 }))
            .0,
        400
    );
    let settle = json!({ "incarnation": "vm-2.0b" });
    for _ in 0..2 {
        let (status, body) = fixture.post("budgets/chat/settle", "s1", &settle);
        assert_eq!((status, &body["orphaned"]), (200, &json!(0)));
    }
    let live = json!({ "incarnation": "vm-1.0a" });
    assert_eq!(fixture.post("budgets/chat/settle", "s2", &live).0, 400);
    let sizing = json!({ "reserve": 60, "fraction": 1.5 });
    assert_eq!(fixture.post("budgets/chat/sizing", "z1", &sizing).0, 400);
    let stale = minreq::post(fixture.url("budgets/chat/sizing")).with_header("If-Match", "\"1\"");
    let stale = stale
        .with_header("Idempotency-Key", "z2")
        .with_body(r#"{"reserve":60}"#);
    assert_eq!(fixture.send(stale, "ann").0, 409);
}

/// Guards against an order that is sent twice, and against a fencing number that is used twice.
#[test]
fn an_order_is_sent_once_with_a_new_fencing_number() {
    let fixture = fixture();
    let order = json!({ "order": "load-model", "argument": "small" });
    fixture.platform.lost_replies.store(1, Ordering::SeqCst);
    for _ in 0..2 {
        let (status, body) = fixture.post("orders/w1", "o1", &order);
        let sent = (&body["fencing"], &body["outcome"]);
        assert_eq!((status, sent), (200, (&json!(1), &json!("uncertain"))));
    }
    assert_eq!(fixture.post("orders/w1", "o2", &order).1["fencing"], 2);
    assert_eq!(*fixture.fleet.fencing_numbers.lock().unwrap(), [1, 2]);
    assert_eq!(fixture.post("orders/w9", "o3", &order).0, 404);
}

/// Guards against exit codes other than the documented ones, on which scripts rely.
#[test]
fn the_tool_exits_with_the_documented_codes() {
    let fixture = fixture();
    fixture.create_budget();
    let (exit, text) = fixture.run_ctl(&["budget", "top-up", "chat", "500", "--request", "r1"]);
    assert_eq!(exit, Exit::Done, "{text}");
    let (exit, text) = fixture.run_ctl(&["budget", "top-up", "chat", "500", "--request", "r1"]);
    assert!(exit == Exit::Done && text.contains("1500"), "{text}");
    let (exit, text) = fixture.run_ctl(&["budget", "lower", "chat", "450"]);
    assert!(
        exit == Exit::Done && text.contains("once 150 tokens"),
        "{text}"
    );
    assert_eq!(
        fixture.run_ctl(&["budget", "lower", "chat", "1"]).0,
        Exit::Failed
    );
    assert_eq!(
        fixture.run_ctl(&["budget", "settle", "chat"]).0,
        Exit::Usage
    );
    let (exit, text) = fixture.run_ctl(&["stop", "target", "w1"]);
    assert!(exit == Exit::Done && text.contains("version 3"), "{text}");
    assert_eq!(fixture.run_ctl(&["stop", "target", "w1"]).0, Exit::Conflict);
    assert_eq!(
        fixture.run_ctl(&["config", "wait", "3"]).0,
        Exit::Unconfirmed
    );
    let (exit, text) = fixture.run_ctl(&["customer", "edit", "lamps", "weight=5"]);
    assert_eq!(exit, Exit::Done, "{text}");
    assert_eq!(fixture.get("customers/lamps")["value"]["weight"], 5);
    let order = ["order", "w1", "change-role", "prefill"];
    assert_eq!(fixture.run_ctl(&order).0, Exit::Failed);
    let (exit, text) = fixture.run_ctl(&["status"]);
    assert!(
        exit == Exit::Done && text.contains("mode attached"),
        "{text}"
    );
    // The audit counts a pending lowered limit as overdrawn until shares return the tokens, so the
    // limit is raised again first.
    assert_eq!(
        fixture.run_ctl(&["budget", "top-up", "chat", "150"]).0,
        Exit::Done
    );
    assert_eq!(fixture.run_ctl(&["audit"]).0, Exit::Done);
    let wrong_bills = BilledTokens::from([("vm-1.0a".into(), 99)]);
    fixture
        .fleet
        .billed_tokens
        .lock()
        .unwrap()
        .insert("chat".into(), wrong_bills);
    let (exit, text) = fixture.run_ctl(&["audit"]);
    assert!(
        exit == Exit::Discrepancy && text.contains("its bills say 99"),
        "{text}"
    );
    let unreachable = ["cuminloomctl", "--daemon", "127.0.0.1:1", "status"];
    let (mut out, mut err) = (Vec::new(), Vec::new());
    let exit = ctl::run(unreachable, Some("t".into()), &mut out, &mut err);
    assert_eq!(exit, Exit::Unreachable);
    assert!(String::from_utf8(err).unwrap().contains("127.0.0.1:1"));
}

/// Guards against output of `config get` that `config apply` does not accept, and against an apply
/// that overwrites a later edit.
#[test]
fn config_get_output_can_be_applied() {
    let fixture = fixture();
    let (exit, text) = fixture.run_ctl(&["config", "get"]);
    assert_eq!(exit, Exit::Done);
    let path = std::env::temp_dir().join(format!("cuminloom-apply-{}", std::process::id()));
    let file = path.to_str().unwrap();
    std::fs::write(&path, &text).unwrap();
    assert_eq!(
        fixture.run_ctl(&["config", "apply", "-f", file]).0,
        Exit::Done
    );
    assert_eq!(fixture.get("config")["version"], 2, "no item differs");
    std::fs::write(&path, text.replace("\"weight\": 1", "\"weight\": 7")).unwrap();
    let (exit, text) = fixture.run_ctl(&["config", "apply", "-f", file]);
    assert!(exit == Exit::Done && text.contains("version 3"), "{text}");
    assert_eq!(
        fixture
            .run_ctl(&["customer", "edit", "lamps", "weight=8"])
            .0,
        Exit::Done
    );
    let (exit, text) = fixture.run_ctl(&["config", "apply", "-f", file]);
    std::fs::remove_file(&path).unwrap();
    assert!(
        exit == Exit::Conflict && text.contains("nothing was applied"),
        "{text}"
    );
    assert_eq!(fixture.get("customers/lamps")["value"]["weight"], 8);
    // The output of "customer get" can be put again.
    let (_, text) = fixture.run_ctl(&["customer", "get", "lamps"]);
    std::fs::write(&path, text).unwrap();
    let put = |version| {
        fixture.run_ctl(&[
            "customer",
            "put",
            "lamps",
            "-f",
            file,
            "--if-match",
            version,
        ])
    };
    let (first, second) = (put("4"), put("4"));
    std::fs::remove_file(&path).unwrap();
    assert_eq!(
        (first.0, second.0),
        (Exit::Done, Exit::Conflict),
        "{first:?}"
    );
}
