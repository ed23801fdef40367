//! The administration API over loopback.

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
    KEY,
    bench, //
};
use cuminloom::{
    admin::ctl::{
        self,
        Exit, //
    },
    budget::BilledTokens, //
};
use serde_json::json;

/// Guards against access without a token, and against a daemon that reads or obeys a request that
/// is malformed, too long or unauthorised.
#[test]
fn strangers_and_malformed_requests_are_refused() {
    let bench = bench();
    let new = || minreq::put(bench.url("customers/x")).with_header("If-None-Match", "*");
    assert_eq!(bench.send(new().with_body(r#"{"keys":[]}"#), "eve").0, 401);
    let anonymous = new().with_body(r#"{"keys":[]}"#).send().unwrap();
    assert_eq!(anonymous.status_code, 401);
    let (status, body) = bench.send(new().with_body(r#"{"keyz":[]}"#), "ann");
    assert_eq!(status, 400);
    let message = body["error"]["message"].as_str().unwrap();
    assert!(message.contains("unknown field `keyz`"), "{message}");
    assert_eq!(bench.send(new().with_body("{"), "ann").0, 400);
    let long = format!(r#"{{"keys":[{}]}}"#, " ".repeat(5_000));
    assert_eq!(bench.send(new().with_body(long), "ann").0, 413);
    let profile = json!({ "customers": ["lamps"], "service": "no-such", "budget": "chat",
        "urgency": "urgent", "repeat": "once" });
    let (status, body) = bench.put("profiles/chat", "*", &profile);
    assert_eq!(
        (status, &body["error"]["fields"][0]["path"]),
        (400, &json!("profile.service"))
    );
    assert_eq!(body["error"]["verdict"], "not-run");
    let unseen = minreq::put(bench.url("customers/x")).with_body(r#"{"keys":[]}"#);
    assert_eq!(bench.send(unseen, "ann").0, 400);
    let nowhere = bench.send(minreq::get(bench.url("customers/../x")), "ann");
    assert_eq!(nowhere.0, 404);
    assert_eq!(bench.get("config")["version"], 2, "nothing was accepted");
}

/// Guards against memory that is reserved for a declared length, which ends the process.
#[test]
fn a_huge_declared_length_does_not_stop_the_daemon() {
    let bench = bench();
    let mut stream = TcpStream::connect(bench.admin.addr()).unwrap();
    let head = "POST /admin/v1/status HTTP/1.1\r\nHost: x\r\nContent-Length: ";
    write!(stream, "{head}{}\r\n\r\n", 1_u64 << 60).unwrap();
    stream.shutdown(Shutdown::Write).unwrap();
    // The daemon has taken the request once it closes the connection or another one is answered.
    assert_eq!(bench.get("status")["mode"], "attached");
    drop(stream);
    for _ in 0..10 {
        assert_eq!(bench.get("status")["mode"], "attached");
    }
}

/// Guards against strangers who announce a body and never send it, and so hold every worker.
#[test]
fn strangers_do_not_hold_the_workers() {
    let bench = bench();
    let open = |_| {
        let mut stream = TcpStream::connect(bench.admin.addr()).unwrap();
        let head = "POST /admin/v1/status HTTP/1.1\r\nHost: x\r\nContent-Length: 2000\r\n\r\n";
        stream.write_all(head.as_bytes()).unwrap();
        // The refusal has arrived, so the request is out of the queue.
        assert_eq!(stream.read(&mut [0; 12]).unwrap(), 12);
        stream
    };
    let strangers: Vec<TcpStream> = (0..20).map(open).collect();
    assert_eq!(bench.get("status")["mode"], "attached");
    drop(strangers);
}

/// Guards against an edit that overwrites one its operator never saw, and against a conflict that
/// does not show whose edit it was.
#[test]
fn a_conflict_shows_the_other_edit() {
    let bench = bench();
    let seen = bench.get("customers/lamps")["version"].to_string();
    let weight = |number: u32| json!({ "keys": [KEY], "weight": number });
    let ben = minreq::put(bench.url("customers/lamps")).with_header("If-Match", &seen);
    let (status, body) = bench.send(ben.with_body(weight(2).to_string()), "ben");
    assert_eq!((status, &body["version"]), (200, &json!(3)));
    let (status, body) = bench.put("customers/lamps", &seen, &weight(3));
    assert_eq!(status, 409);
    let conflict = &body["error"]["conflict"];
    assert_eq!(conflict["operator"], "ben");
    assert_eq!(conflict["value"]["weight"], 2);
    let (status, _) = bench.put("customers/lamps", "\"3\"", &weight(3));
    assert_eq!(status, 200);
    // The answer was lost and the operator asks again.
    let (status, body) = bench.put("customers/lamps", "\"3\"", &weight(3));
    assert_eq!((status, &body["version"]), (200, &json!(4)));
    let history = bench.get("config/history?limit=1");
    assert_eq!(history["edits"][0]["time"], 1_700_000_000);
    let wait = bench.get("config/wait?version=4");
    assert_eq!(wait["unconfirmed"], json!(["vm-2"]));
    assert_eq!(bench.get("status")["unconfirmed"], json!(["vm-2"]));
    *bench.peers.confirmed.lock().unwrap() = 4;
    assert_eq!(bench.get("config/wait?version=4")["in_force"], true);
}

/// Guards against a top-up that is applied twice because its answer was lost, at the platform or on
/// the way to the operator, against one that undoes a draw made at the same moment, and against an
/// id that stands for two requests.
#[test]
fn a_repeated_top_up_is_applied_once() {
    let bench = bench();
    bench.budget();
    let tokens = |number: u64| json!({ "tokens": number });
    bench.platform.lost.store(1, Ordering::SeqCst);
    let (status, first) = bench.post("budgets/chat/topup", "t1", &tokens(500));
    assert_eq!((status, &first["limit"]), (200, &json!(1_500)));
    for _ in 0..2 {
        let again = bench.post("budgets/chat/topup", "t1", &tokens(500));
        assert_eq!(again, (200, first.clone()));
    }
    assert_eq!(bench.post("budgets/chat/topup", "t1", &tokens(501)).0, 422);
    let anonymous = minreq::post(bench.url("budgets/chat/topup"));
    let (status, body) = bench.send(anonymous.with_body(tokens(1).to_string()), "ann");
    assert_eq!(
        (status, &body["error"]["code"]),
        (400, &json!("key_required"))
    );
    // Another operator may choose the same id.
    let ben = minreq::post(bench.url("budgets/chat/topup")).with_header("Idempotency-Key", "t1");
    assert_eq!(
        bench.send(ben.with_body(tokens(7).to_string()), "ben").0,
        200
    );
    *bench.platform.race.lock().unwrap() = Some(bench.draw(700, 150));
    assert_eq!(bench.post("budgets/chat/topup", "t5", &tokens(1)).0, 200);
    let shown = bench.get("budgets/chat");
    assert_eq!(
        (&shown["limit"], &shown["billed"]),
        (&json!(1_508), &json!(150))
    );
    assert_eq!(bench.post("budgets/none/topup", "t2", &tokens(1)).0, 404);
    assert_eq!(bench.post("budgets/chat/topup", "t3", &tokens(0)).0, 400);
    assert_eq!(
        bench.post("budgets/chat/topup", "t4", &tokens(u64::MAX)).0,
        400
    );
}

/// Guards against a lowered limit that claims to be in force while shares can still spend more,
/// against a limit below what is billed, and against orphans that are released twice.
#[test]
fn lowering_and_settling_state_what_is_pending() {
    let bench = bench();
    bench.budget();
    let shown = bench.get("budgets/chat");
    let figures = ["billed", "held", "orphaned", "free"].map(|name| shown[name].as_i64().unwrap());
    assert_eq!(figures, [100, 400, 100, 400]);
    assert_eq!(shown["shares"][1]["outstanding"], 100);
    let (status, body) = bench.post("budgets/chat/lower", "l1", &json!({ "limit": 450 }));
    assert_eq!(status, 200);
    assert_eq!(
        (&body["in_force"], &body["pending"]),
        (&json!(600), &json!(150))
    );
    assert_eq!(
        bench
            .post("budgets/chat/lower", "l2", &json!({ "limit": 99 }))
            .0,
        400
    );
    assert_eq!(
        bench
            .post("budgets/chat/lower", "l3", &json!({ "limit": 451 }))
            .0,
        400
    );
    let settle = json!({ "incarnation": "vm-2.0b" });
    for _ in 0..2 {
        let (status, body) = bench.post("budgets/chat/settle", "s1", &settle);
        assert_eq!((status, &body["orphaned"]), (200, &json!(0)));
    }
    let live = json!({ "incarnation": "vm-1.0a" });
    assert_eq!(bench.post("budgets/chat/settle", "s2", &live).0, 400);
    let sizing = json!({ "reserve": 60, "fraction": 1.5 });
    assert_eq!(bench.post("budgets/chat/sizing", "z1", &sizing).0, 400);
    let stale = minreq::post(bench.url("budgets/chat/sizing")).with_header("If-Match", "\"1\"");
    let stale = stale
        .with_header("Idempotency-Key", "z2")
        .with_body(r#"{"reserve":60}"#);
    assert_eq!(bench.send(stale, "ann").0, 409);
}

/// Guards against an order that is sent twice, and against a fencing number that is given twice.
#[test]
fn an_order_is_sent_once_with_a_new_number() {
    let bench = bench();
    let order = json!({ "order": "load-model", "argument": "small" });
    bench.platform.lost.store(1, Ordering::SeqCst);
    for _ in 0..2 {
        let (status, body) = bench.post("orders/w1", "o1", &order);
        let told = (&body["fencing"], &body["outcome"]);
        assert_eq!((status, told), (200, (&json!(1), &json!("uncertain"))));
    }
    assert_eq!(bench.post("orders/w1", "o2", &order).1["fencing"], 2);
    assert_eq!(*bench.peers.orders.lock().unwrap(), [1, 2]);
    assert_eq!(bench.post("orders/w9", "o3", &order).0, 404);
}

/// Guards against exit codes that differ from the documented ones, on which scripts rely.
#[test]
fn the_tool_ends_with_the_documented_codes() {
    let bench = bench();
    bench.budget();
    let (exit, text) = bench.ctl(&["budget", "top-up", "chat", "500", "--request", "r1"]);
    assert_eq!(exit, Exit::Done, "{text}");
    let (exit, text) = bench.ctl(&["budget", "top-up", "chat", "500", "--request", "r1"]);
    assert!(exit == Exit::Done && text.contains("1500"), "{text}");
    let (exit, text) = bench.ctl(&["budget", "lower", "chat", "450"]);
    assert!(
        exit == Exit::Done && text.contains("once 150 tokens"),
        "{text}"
    );
    assert_eq!(bench.ctl(&["budget", "lower", "chat", "1"]).0, Exit::Failed);
    assert_eq!(bench.ctl(&["budget", "settle", "chat"]).0, Exit::Usage);
    let (exit, text) = bench.ctl(&["stop", "target", "w1"]);
    assert!(exit == Exit::Done && text.contains("version 3"), "{text}");
    assert_eq!(bench.ctl(&["stop", "target", "w1"]).0, Exit::Conflict);
    assert_eq!(bench.ctl(&["config", "wait", "3"]).0, Exit::Unconfirmed);
    let (exit, text) = bench.ctl(&["customer", "edit", "lamps", "weight=5"]);
    assert_eq!(exit, Exit::Done, "{text}");
    assert_eq!(bench.get("customers/lamps")["value"]["weight"], 5);
    let order = ["order", "w1", "change-role", "prefill"];
    assert_eq!(bench.ctl(&order).0, Exit::Failed);
    let (exit, text) = bench.ctl(&["status"]);
    assert!(
        exit == Exit::Done && text.contains("mode attached"),
        "{text}"
    );
    // A lowered limit that is pending counts as overdrawn until shares return the tokens.
    assert_eq!(
        bench.ctl(&["budget", "top-up", "chat", "150"]).0,
        Exit::Done
    );
    assert_eq!(bench.ctl(&["audit"]).0, Exit::Done);
    let lie = BilledTokens::from([("vm-1.0a".into(), 99)]);
    bench.peers.bills.lock().unwrap().insert("chat".into(), lie);
    let (exit, text) = bench.ctl(&["audit"]);
    assert!(
        exit == Exit::Discrepancy && text.contains("its bills say 99"),
        "{text}"
    );
    let away = ["cuminloomctl", "--daemon", "127.0.0.1:1", "status"];
    let (mut out, mut err) = (Vec::new(), Vec::new());
    let exit = ctl::run(away, Some("t".into()), &mut out, &mut err);
    assert_eq!(exit, Exit::Unreachable);
    assert!(String::from_utf8(err).unwrap().contains("127.0.0.1:1"));
}

/// Guards against a file that `config get` prints and `config apply` does not take, and against an
/// apply that overwrites a later edit.
#[test]
fn the_configuration_can_be_got_and_applied() {
    let bench = bench();
    let (exit, text) = bench.ctl(&["config", "get"]);
    assert_eq!(exit, Exit::Done);
    let path = std::env::temp_dir().join(format!("cuminloom-apply-{}", std::process::id()));
    let file = path.to_str().unwrap();
    std::fs::write(&path, &text).unwrap();
    assert_eq!(bench.ctl(&["config", "apply", "-f", file]).0, Exit::Done);
    assert_eq!(bench.get("config")["version"], 2, "nothing differs");
    std::fs::write(&path, text.replace("\"weight\": 1", "\"weight\": 7")).unwrap();
    let (exit, text) = bench.ctl(&["config", "apply", "-f", file]);
    assert!(exit == Exit::Done && text.contains("version 3"), "{text}");
    assert_eq!(
        bench.ctl(&["customer", "edit", "lamps", "weight=8"]).0,
        Exit::Done
    );
    let (exit, text) = bench.ctl(&["config", "apply", "-f", file]);
    std::fs::remove_file(&path).unwrap();
    assert!(
        exit == Exit::Conflict && text.contains("nothing was applied"),
        "{text}"
    );
    assert_eq!(bench.get("customers/lamps")["value"]["weight"], 8);
    // What "get" prints can be put again.
    let (_, text) = bench.ctl(&["customer", "get", "lamps"]);
    std::fs::write(&path, text).unwrap();
    let put = |seen| bench.ctl(&["customer", "put", "lamps", "-f", file, "--if-match", seen]);
    let (first, second) = (put("4"), put("4"));
    std::fs::remove_file(&path).unwrap();
    assert_eq!(
        (first.0, second.0),
        (Exit::Done, Exit::Conflict),
        "{first:?}"
    );
}
