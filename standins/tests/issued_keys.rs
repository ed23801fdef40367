//! Issued idempotency keys that are presented at another daemon than the one that minted them.

use std::net::SocketAddr;

use cuminloom_standins::fleet::{
    Fleet,
    KEY,
    Plan, //
};
use serde_json::Value;

/// Status and verdict of an answer.
type Answer = (i32, String);

fn mint(caller: SocketAddr) -> String {
    let reply = minreq::post(format!("http://{caller}/v1/keys"))
        .with_header("Authorization", format!("Bearer {KEY}"))
        .send()
        .expect("the daemon answers");
    let body: Value = serde_json::from_slice(reply.as_bytes()).expect("the answer is JSON");
    body["key"]
        .as_str()
        .expect("the answer holds a key")
        .to_owned()
}

fn deposit(caller: SocketAddr, key: &str, body: &str) -> Answer {
    let reply = minreq::post(format!("http://{caller}/s/deposit/postings"))
        .with_header("Authorization", format!("Bearer {KEY}"))
        .with_header("idempotency-key", key)
        .with_body(body)
        .with_timeout(60)
        .send()
        .expect("the daemon answers");
    let verdict = reply.header("x-cuminloom-verdict").unwrap_or_default();
    (i32::from(reply.status_code), verdict.to_owned())
}

/// Effects that the plain service counted for the key.
fn effects(fleet: &Fleet, key: &str) -> u64 {
    let url = format!("http://{}/effects", fleet.service.addr("control"));
    let reply = minreq::get(url).send().expect("the service answers");
    let body: Value = serde_json::from_slice(reply.as_bytes()).expect("the answer is JSON");
    body["keys"][key].as_u64().unwrap_or(0)
}

/// Guards against a second run when a caller sends the same issued key to several daemons, also
/// after the only daemon that may run it has died.
#[test]
fn only_the_minting_process_runs_an_issued_key() {
    let mut fleet = Fleet::start(Plan::default()).expect("the deployment starts");
    let (minter, other) = (fleet.members[0].caller, fleet.members[1].caller);
    let key = mint(minter);
    let ran = (200, "ran".to_owned());
    assert_eq!(
        deposit(other, &key, "1 lamp"),
        ran,
        "passed on to the process that minted it"
    );
    assert_eq!(deposit(minter, &key, "1 lamp"), ran, "replayed");
    assert_eq!(
        deposit(other, &key, "1 lamp"),
        ran,
        "replayed through another daemon"
    );
    assert_eq!(deposit(other, &key, "2 lamps"), (422, "not-run".to_owned()));
    assert_eq!(effects(&fleet, &key), 1);

    fleet.members[0]
        .process
        .take()
        .expect("it runs")
        .kill()
        .expect("it can be killed");
    assert_eq!(
        deposit(other, &key, "1 lamp"),
        (409, "may-have-run".to_owned())
    );
    assert_eq!(effects(&fleet, &key), 1);

    // A new process in the place of the old one doesn't know which keys were used.
    fleet.restart(0).expect("the daemon starts");
    fleet.wait_ready().expect("the daemon becomes ready");
    assert_eq!(
        deposit(minter, &key, "1 lamp"),
        (409, "may-have-run".to_owned())
    );
    assert_eq!(effects(&fleet, &key), 1);
}
