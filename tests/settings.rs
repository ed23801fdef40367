//! Parsing and checking of settings files.

use cuminloom::settings::{
    self,
    Secret,
    SecretSource,
    Settings, //
};

/// Settings with errors of every kind.
const FAULTY: &str = r#"{
  "daemon": { "id": "a b", "vm": "vm-1" },
  "caller": {
    "listen": "localhost:80",
    "body_limit": 12,
    "read_timeot_ms": 5,
    "metrics": "yes"
  },
  "admin": { "listen": "127.0.0.1:8070", "operators": [
    { "name": "ann", "token_sha256": "secret-token" },
    { "name": "ann", "token_sha256": 5 }
  ] },
  "platform": [],
  "peer": {
    "listen": "127.0.0.1:8070",
    "secret": "hunter2-hunter2",
    "peers": [
      { "id": "b", "addr": "10.0.0.1:0", "dc": "east" },
      { "id": "b", "addr": "10.0.0.2:1", "dc": "east", "zone": 1 }
    ]
  },
  "budget": { "fraction": 0 },
  "queue": { "headroom": 1.0, "urgent": 1.5, "urgent": 2 },
  "log": { "level": "loud" }
}"#;

/// Start of each error that must be reported for [`FAULTY`], with its line.
const FOUND: [&str; 20] = [
    "line 2: daemon.id: found \"a b\", expected a name",
    "line 2: daemon.dc: found nothing, expected a name",
    "line 4: caller.listen: found \"localhost:80\", expected an IP address",
    "line 5: caller.body_limit: found 12, expected a whole number of bytes",
    "line 6: caller.read_timeot_ms: found an unknown key, expected \"read_timeout_ms\"",
    "line 7: caller.metrics: found \"yes\", expected true or false",
    "line 10: admin.operators[0].token_sha256: found a string of 12 characters",
    "line 11: admin.operators[1].token_sha256: found a number, expected the SHA-256",
    "line 11: admin.operators[1].name: found \"ann\" again",
    "line 13: platform: found an array, expected an object",
    "line 14: peer: found the listen address of \"admin\"",
    "line 16: peer.secret: found a string of 15 characters, expected an object",
    "line 18: peer.peers[0].addr: found \"10.0.0.1:0\", expected an IP address and a port",
    "line 19: peer.peers[1].id: found \"b\" again",
    "line 19: peer.peers[1].zone: found an unknown key, expected one of id, addr, dc",
    "line 22: budget.fraction: found 0, expected a number above 0",
    "line 23: queue.headroom: found 1.0, expected",
    "line 23: queue.urgent: found 1.5, expected a whole number",
    "line 23: queue.urgent: found a repeated key",
    "line 24: log.level: found \"loud\", expected \"off\"",
];

/// Errors of a settings text, as printed.
fn faults(text: &str) -> Vec<String> {
    let report = Settings::parse(text).unwrap_err();
    let list = settings::sorted_errors(&report);
    list.into_iter().map(ToString::to_string).collect()
}

/// Guards against reporting only the first error of a file, and against printing a secret that was put
/// in place of another value.
#[test]
fn all_faults_are_reported_at_once() {
    let faults = faults(FAULTY);
    for expected in FOUND {
        let hits = faults.iter().filter(|fault| fault.starts_with(expected));
        assert_eq!(hits.count(), 1, "{expected}\nin {faults:#?}");
    }
    assert_eq!(faults.len(), FOUND.len(), "{faults:#?}");
    let report = format!("{:?}", Settings::parse(FAULTY).unwrap_err());
    assert!(!report.contains("secret-token") && !report.contains("hunter2"));
}

/// Guards against a syntax error, an empty file or a root of the wrong type that is reported without
/// its line, and against a missing file that is reported without its path.
#[test]
fn a_file_that_is_no_object_is_refused() {
    assert!(faults("{\n\"daemon\": {\n")[0].starts_with("line 2: found a syntax error"));
    assert!(faults("// nothing")[0].contains("found an empty file"));
    assert!(faults("[]")[0].contains("found an array, expected an object"));
    let missing = Settings::load("examples/none.jsonc").unwrap_err();
    assert!(format!("{missing:?}").contains("examples/none.jsonc"));
}

/// Guards against examples that are no longer valid, and against a daemon that lists itself among its
/// peers.
#[test]
fn the_examples_are_accepted() {
    let anod = Settings::load("examples/anod.jsonc").unwrap();
    assert_eq!(anod.peer.peers.len(), 6);
    assert_eq!(anod.budget.reserve.as_secs(), 300);
    let hsin = Settings::load("examples/hsin-lu.jsonc").unwrap();
    assert_eq!(hsin.peer.peers.len(), 6);
    assert_eq!(hsin.caller.read_timeout, anod.caller.read_timeout);
    assert_eq!(hsin.platform.vm_list_lag.as_secs(), 600);
}

/// Guards against accepting a short fleet secret and against printing a secret.
#[test]
fn the_fleet_secret_is_hidden() {
    // Cargo sets CARGO_PKG_NAME to "cuminloom", which has 9 bytes.
    let short = SecretSource::Variable("CARGO_PKG_NAME".into()).load();
    let text = format!("{:?}", short.unwrap_err());
    assert!(
        text.contains("9 bytes") && !text.contains("\"cuminloom\""),
        "{text}"
    );
    let secret: Secret = SecretSource::File("Cargo.toml".into()).load().unwrap();
    assert_eq!(format!("{secret:?}"), "Secret(..)");
}
