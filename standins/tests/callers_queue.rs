//! Callers that leave while their requests wait, through a real daemon.

use std::{
    io::Write,
    net::TcpStream,
    time::{
        Duration,
        Instant, //
    },
};

use cuminloom_standins::fleet::KEY;
use minreq::Method;
use serde_json::json;

mod callers_world;

use callers_world::{
    World,
    ask,
    wait_for, //
};

const CHAT: &str = "/v1/chat/completions";

/// Number of requests that wait for a target.
fn queued(world: &World) -> f64 {
    let metrics = world.request(Method::Get, "/metrics", KEY).send().unwrap();
    let lines = metrics.as_str().unwrap().lines();
    lines
        .filter(|line| line.starts_with("cuminloom_queued_requests"))
        .map(|line| line.rsplit(' ').next().unwrap().parse::<f64>().unwrap())
        .sum()
}

/// Guards against a queue that is full of requests whose callers have left.
#[test]
fn a_request_leaves_the_queue_with_its_caller() {
    let world = World::start();
    let control = world.fleet.engines[0].addr("control");
    let slow = json!({ "tokens_per_second": 1.0, "output_tokens": 4096, "capacity": 1 });
    let changed = minreq::post(format!("http://{control}/control")).with_body(slow.to_string());
    assert_eq!(changed.send().unwrap().status_code, 200);
    let body = ask("long", true).to_string();
    let head = format!("POST {CHAT} HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer {KEY}\r\n");
    let mut open = Vec::new();
    wait_for("requests in the queue", || {
        let mut stream = TcpStream::connect(world.addr()).unwrap();
        write!(stream, "{head}Content-Length: {}\r\n\r\n{body}", body.len()).unwrap();
        open.push(stream);
        (queued(&world) >= 3.0).then_some(())
    });
    let left = Instant::now();
    drop(open);
    wait_for("an empty queue", || (queued(&world) == 0.0).then_some(()));
    // The deadline of the profile, 10 s, would empty the queue as well.
    assert!(
        left.elapsed() < Duration::from_secs(3),
        "{:?}",
        left.elapsed()
    );
    let metrics = world.request(Method::Get, "/metrics", KEY).send().unwrap();
    assert!(metrics.as_str().unwrap().contains("code=\"caller_left\""));
}
