//! Changes of the configuration at several daemons.

use cuminloom_standins::fleet::{
    Fleet,
    Plan,
    TOKEN, //
};
use serde_json::{
    Value,
    json, //
};

use crate::{
    call::{
        ctl,
        ctl_done,
        header,
        wait_until, //
    },
    check::{
        check,
        live_incarnation,
        start,
        wait_sealed, //
    },
};

fn url(fleet: &Fleet, index: usize) -> String {
    let admin = fleet.members[index].admin;
    format!("http://{admin}/admin/v1/profiles/chat")
}

/// ETag of the profile as a daemon has it.
fn etag(fleet: &Fleet, index: usize) -> String {
    let reply = minreq::get(url(fleet, index))
        .with_header("Authorization", format!("Bearer {TOKEN}"))
        .with_timeout(30)
        .send()
        .unwrap();
    assert_eq!(reply.status_code, 200);
    header(&reply, "etag").expect("an item has one")
}

/// Edits the profile at a daemon; returns the status and the new ETag.
fn edit(fleet: &Fleet, index: usize, seen: &str, output: u64) -> (u16, Option<String>) {
    let body = json!({
        "customers": ["anod"], "service": "loom-writers", "budget": "lamps",
        "urgency": "urgent", "repeat": "idempotent", "output": output, "charge": 0,
    });
    let reply = minreq::put(url(fleet, index))
        .with_header("Authorization", format!("Bearer {TOKEN}"))
        .with_header("If-Match", seen)
        .with_body(body.to_string())
        .with_timeout(30)
        .send()
        .unwrap();
    (reply.status_code, header(&reply, "etag"))
}

/// Configuration version in force at a daemon.
fn version(fleet: &Fleet, index: usize) -> Option<u64> {
    let output = ctl(fleet, index, &["--json", "status"]);
    let status: Value = serde_json::from_slice(&output.stdout).ok()?;
    status["version"].as_u64()
}

fn wait_version(fleet: &Fleet, index: usize, wanted: u64) {
    let mut last = 0;
    wait_until(&format!("version {wanted} is in force at {index}"), || {
        let Some(shown) = version(fleet, index) else {
            return false;
        };
        assert!(shown >= last, "version {shown} after {last}");
        last = shown;
        shown >= wanted
    });
}

/// Guards against an edit that does not reach a daemon, two edits that overwrite each other, and a
/// daemon that starts with an old configuration while the platform is away.
#[test]
fn edits_are_in_force_everywhere() {
    let mut fleet = start(Plan::default());
    let seen = etag(&fleet, 0);
    let edited = edit(&fleet, 0, &seen, 48);
    assert_eq!(edited.0, 200);
    let newest = version(&fleet, 0).unwrap();
    for index in 0..fleet.members.len() {
        wait_version(&fleet, index, newest);
        assert_eq!(Some(etag(&fleet, index)), edited.1);
    }
    ctl_done(&fleet, 0, &["config", "wait", &newest.to_string()]);

    let seen = etag(&fleet, 0);
    let raced = std::thread::scope(|scope| {
        let other = scope.spawn(|| edit(&fleet, 1, &seen, 49).0);
        [edit(&fleet, 2, &seen, 50).0, other.join().unwrap()]
    });
    assert!(matches!(raced, [200, 409] | [409, 200]), "{raced:?}");
    let newest = newest + 1;
    (0..fleet.members.len()).for_each(|index| wait_version(&fleet, index, newest));

    fleet.control_platform(&json!({ "down": true })).unwrap();
    let inc = live_incarnation(&fleet, &fleet.members[1].id).unwrap();
    fleet.members[1].process.take().unwrap().kill().unwrap();
    fleet.restart(1).unwrap();
    wait_version(&fleet, 1, newest);
    fleet.control_platform(&json!({ "down": false })).unwrap();
    fleet.wait_ready().unwrap();
    wait_version(&fleet, 1, newest);

    fleet.cut("cebu-south").unwrap();
    assert_eq!(edit(&fleet, 0, &etag(&fleet, 0), 51).0, 200);
    let newest = (newest + 1).to_string();
    let waited = ctl(&fleet, 0, &["--wait", "5", "config", "wait", &newest]);
    assert_eq!(waited.status.code(), Some(4), "{waited:?}");
    let text = String::from_utf8([waited.stdout, waited.stderr].concat()).unwrap();
    assert!(text.contains("cebu-south-1"), "{text}");
    fleet.heal("cebu-south").unwrap();
    ctl_done(&fleet, 0, &["--wait", "60", "config", "wait", &newest]);
    wait_sealed(&fleet, &inc);
    check(fleet, 0);
}
