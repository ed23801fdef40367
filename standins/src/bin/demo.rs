//! Starts a deployment on loopback, sends a streamed request and shows its answer and its cost.

use std::io::{
    self,
    BufRead,
    BufReader, //
};

use cuminloom_standins::fleet::{
    Fleet,
    KEY,
    Plan, //
};
use serde_json::{
    Value,
    json, //
};

fn show(when: &str, fleet: &Fleet) {
    let figures = fleet.budget().breakdown();
    println!(
        "budget \"lamps\" {when}: billed {}, held {}, orphaned {}, free {}",
        figures.billed, figures.held, figures.orphaned, figures.free
    );
}

/// Sends a streamed chat request; returns the tokens that its usage reports.
fn chat(fleet: &Fleet) -> io::Result<u64> {
    let member = &fleet.members[0];
    let body = json!({
        "model": "chat",
        "stream": true,
        "stream_options": { "include_usage": true },
        "messages": [{ "role": "user", "content": "Describe a driftwood lamp." }],
    });
    let reply = minreq::post(format!("http://{}/v1/chat/completions", member.caller))
        .with_header("Authorization", format!("Bearer {KEY}"))
        .with_body(body.to_string())
        .with_timeout(30)
        .send_lazy()
        .map_err(io::Error::other)?;
    println!(
        "answer through {} (status {}):",
        member.id, reply.status_code
    );
    let mut used = 0;
    for line in BufReader::new(reply).lines() {
        let line = line?;
        let Some(data) = line.strip_prefix("data: ") else {
            continue;
        };
        let Ok(event) = serde_json::from_str::<Value>(data) else {
            continue;
        };
        print!(
            "{}",
            event["choices"][0]["delta"]["content"]
                .as_str()
                .unwrap_or_default()
        );
        used = event["usage"]["total_tokens"].as_u64().unwrap_or(used);
    }
    println!();
    Ok(used)
}

/// Stops the daemon that served the request as planned, so that it posts its bills at once and
/// returns what it did not spend.
fn stop_first(fleet: &mut Fleet) -> io::Result<()> {
    let mut process = fleet.members[0].process.take().expect("the daemon runs");
    process.terminate()?;
    let status = process.wait()?;
    println!("{} stopped as planned: {status}", fleet.members[0].id);
    Ok(())
}

fn main() -> io::Result<()> {
    let mut fleet = Fleet::start(Plan {
        log: "info",
        ..Plan::default()
    })?;
    show("before", &fleet);
    let used = chat(&fleet)?;
    println!("the engine reports {used} tokens");
    stop_first(&mut fleet)?;
    show("after", &fleet);
    let billed = fleet.budget().breakdown().billed;
    println!("billed {billed} tokens");
    if billed != i128::from(used) || used == 0 {
        return Err(io::Error::other(
            "the bill differs from the engine's report",
        ));
    }
    Ok(())
}
