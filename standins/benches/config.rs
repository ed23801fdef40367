//! Time until a change of the configuration is in force at every daemon, with real processes.
//!
//! Two ways are compared: a change made through the administration API, whose daemon sends a notice
//! to its peers, and a change written to the platform directly, which daemons find by polling.
//!
//! `cargo bench -p cuminloom-standins --bench config -- DAEMONS CHANGES`

use std::{
    io,
    net::SocketAddr,
    sync::Mutex,
    time::{
        Duration,
        Instant, //
    },
};

use cuminloom::config::{
    self,
    ConfigState,
    EditRequest,
    ItemKind, //
};
use cuminloom_standins::fleet::{
    Fleet,
    Plan,
    TOKEN, //
};
use serde_json::{
    Value,
    json, //
};

/// Target: an accepted change is in force everywhere within this time.
const TARGET: Duration = Duration::from_secs(7);

/// Data centres over which the daemons are spread.
const DCS: [&str; 4] = ["cebu-north", "cebu-south", "bohol-west", "negros-east"];

/// Longest wait for a change.
const LIMIT: Duration = Duration::from_secs(60);

fn main() -> io::Result<()> {
    let numbers: Vec<usize> = std::env::args()
        .filter_map(|arg| arg.parse().ok())
        .collect();
    let daemons = numbers.first().copied().unwrap_or(7);
    let changes = numbers.get(1).copied().unwrap_or(10);
    let mut dcs: Vec<(&'static str, usize)> = DCS.iter().map(|dc| (*dc, 0)).collect();
    for n in 0..daemons {
        dcs[n % DCS.len()].1 += 1;
    }
    let fleet = Fleet::start(Plan {
        dcs,
        log: "error",
        ..Plan::default()
    })?;
    let mut met = true;
    for (name, notice) in [("with notice", true), ("polling only", false)] {
        let mut times: Vec<Duration> = Vec::new();
        for change in 0..changes {
            times.push(spread(&fleet, change, notice)?);
        }
        times.sort_unstable();
        let (median, longest) = (times[times.len() / 2], times[times.len() - 1]);
        println!(
            "{daemons} daemons, {changes} changes, {name}: p50 {} ms, longest {} ms",
            median.as_millis(),
            longest.as_millis()
        );
        met &= longest <= TARGET;
    }
    match met {
        true => Ok(()),
        false => Err(io::Error::other(
            "a change was not in force everywhere within 7 s",
        )),
    }
}

/// Makes one change and returns the time until the last daemon has it in force.
fn spread(fleet: &Fleet, change: usize, notice: bool) -> io::Result<Duration> {
    let name = format!("bench-{change}-{notice}");
    let member = &fleet.members[change % fleet.members.len()];
    let start = Instant::now();
    let version = match notice {
        true => through_api(member.admin, &name)?,
        false => directly(fleet, &name)?,
    };
    for member in &fleet.members {
        while in_force(member.caller) < version {
            if start.elapsed() > LIMIT {
                return Err(io::Error::other(format!("{} lags behind", member.id)));
            }
            std::thread::sleep(Duration::from_millis(5));
        }
    }
    Ok(start.elapsed())
}

fn through_api(admin: SocketAddr, name: &str) -> io::Result<u64> {
    let url = format!("http://{admin}/admin/v1/customers/{name}");
    let reply = minreq::put(url)
        .with_header("Authorization", format!("Bearer {TOKEN}"))
        .with_header("If-None-Match", "*")
        .with_header("Idempotency-Key", name)
        .with_body(json!({ "keys": [key_of(name)] }).to_string())
        .with_timeout(10)
        .send()
        .map_err(io::Error::other)?;
    let body: Value = serde_json::from_slice(reply.as_bytes()).map_err(io::Error::other)?;
    body["version"]
        .as_u64()
        .ok_or_else(|| io::Error::other(format!("status {}: {body}", reply.status_code)))
}

fn directly(fleet: &Fleet, name: &str) -> io::Result<u64> {
    let edits = Mutex::new(ConfigState::default());
    let store = fleet.store();
    config::poll(&edits, &store, false).map_err(|err| io::Error::other(format!("{err:?}")))?;
    let item = json!({ "customer": { "keys": [key_of(name)] } });
    let change = EditRequest {
        kind: ItemKind::Customer,
        name: name.into(),
        value: Some(serde_json::from_value(item).map_err(io::Error::other)?),
        if_match: None,
        operator: "bench".into(),
        time: 0,
        request: name.into(),
    };
    let edit = config::propose(&edits, &store, change);
    Ok(edit
        .map_err(|err| io::Error::other(format!("{err:?}")))?
        .version)
}

/// A key hash that no other customer has.
fn key_of(name: &str) -> String {
    use sha2::Digest;
    hex::encode(sha2::Sha256::digest(name))
}

/// Version of the configuration in force at a daemon, from its metrics.
fn in_force(caller: SocketAddr) -> u64 {
    let reply = minreq::get(format!("http://{caller}/metrics"))
        .with_timeout(5)
        .send();
    let text = reply
        .ok()
        .and_then(|reply| reply.as_str().map(str::to_owned).ok());
    let line = text.as_deref().and_then(|text| {
        text.lines()
            .find_map(|line| line.strip_prefix("cuminloom_config_version "))
    });
    line.and_then(|value| value.parse().ok()).unwrap_or(0)
}
