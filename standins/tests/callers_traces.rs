//! Traces, logs and metrics of requests, through a real daemon.

use cuminloom_standins::fleet::KEY;
use minreq::Method;
use serde_json::{
    Value,
    json, //
};

mod callers_world;

use callers_world::{
    World,
    ask,
    wait_for, //
};

const CHAT: &str = "/v1/chat/completions";

/// Guards against broken traces, and against content or keys where operators look.
#[test]
fn traces_connect_and_hold_no_content() {
    let world = World::start();
    let trace = "0af7651916cd43dd8448eb211c80319c";
    let mut body = ask("stream", true);
    body["messages"][0]["content"] = json!("stream MARKER-PROMPT");
    let request = world.request(Method::Post, CHAT, KEY);
    let request = request.with_header("traceparent", format!("00-{trace}-b7ad6b7169203331-01"));
    let reply = request.with_body(body.to_string()).send().unwrap();
    assert_eq!(reply.status_code, 200);
    world.post(CHAT, "{\"messages\": \"MARKER-PROMPT\"}");
    world.keyed("/s/deposit/a", "MARKER-KEY", "MARKER-PROMPT");

    let spans = wait_for("the spans", || {
        let spans: Vec<Value> = spans(&world)
            .into_iter()
            .filter(|s| s["traceId"] == trace)
            .collect();
        (spans.len() >= 4).then_some(spans)
    });
    let span = |name: &str| spans.iter().find(|span| span["name"] == name).expect(name);
    let root = span("request");
    assert_eq!(root["parentSpanId"], "b7ad6b7169203331");
    for name in ["admit", "queue", "send"] {
        assert_eq!(span(name)["parentSpanId"], root["spanId"], "{name}");
    }
    let sent = world.target.seen("stream MARKER-PROMPT");
    let expected = format!("00-{trace}-{}-01", span("send")["spanId"].as_str().unwrap());
    assert_eq!(sent[0].header("traceparent"), Some(&*expected));

    let metrics = world.request(Method::Get, "/metrics", KEY).send().unwrap();
    let exported: Vec<String> = world
        .target
        .seen("/v1/traces")
        .into_iter()
        .map(|seen| seen.body)
        .collect();
    let written = [
        world.log(),
        metrics.as_str().unwrap().into(),
        exported.join("\n"),
    ];
    for text in written {
        assert!(!text.is_empty());
        // "content":"a" is the reply's first part.
        for secret in ["MARKER", KEY, "\"content\""] {
            assert!(!text.contains(secret), "{secret} in {text}");
        }
    }
}

fn spans(world: &World) -> Vec<Value> {
    let exports = world.target.seen("/v1/traces");
    let bodies = exports
        .iter()
        .map(|seen| serde_json::from_str::<Value>(&seen.body).unwrap());
    let spans = |body: Value| body["resourceSpans"][0]["scopeSpans"][0]["spans"].clone();
    bodies
        .flat_map(|body| spans(body).as_array().cloned().unwrap_or_default())
        .collect()
}
