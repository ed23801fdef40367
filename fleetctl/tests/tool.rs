//! Runs the command-line tool as operators do.

use std::{
    fs,
    io::{
        Read,
        Write, //
    },
    net::TcpListener,
    path::PathBuf,
    process::{
        Command,
        Output, //
    },
    thread,
};

use cuminloom_edge::decide::Failure;
use cuminloom_fleetctl::{
    explain::{
        explain,
        parse_log, //
    },
    log_line::LogLine, //
};
use quickcheck::{
    Gen,
    QuickCheck, //
};

/// Seed of the generated log lines.
const SEED: u64 = 20_261_204;

/// Runs the tool with these arguments.
fn run_tool(args: &[&str]) -> Output {
    let mut command = Command::new(env!("CARGO_BIN_EXE_cuminloom-fleetctl"));
    command.args(args).output().unwrap()
}

/// Writes a temporary file.
fn temp_file(name: &str, text: &str) -> PathBuf {
    let path = std::env::temp_dir().join(format!("fleetctl-{}-{name}", std::process::id()));
    fs::write(&path, text).unwrap();
    path
}

/// Serves `body` as metrics to one request and returns the address.
fn serve_metrics(body: String) -> String {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap().to_string();
    thread::spawn(move || {
        let (mut stream, _) = listener.accept().unwrap();
        let _ = stream.read(&mut [0; 4096]);
        let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", body.len());
        let _ = stream.write_all((head + &body).as_bytes());
    });
    address
}

/// Formats the accounts of one customer as metrics.
fn metrics(parts: &[(&str, i64)]) -> String {
    let line = |(account, tokens): &(&str, i64)| {
        format!("cuminloom_tokens{{account=\"{account}\",customer=\"ann\"}} {tokens}\n")
    };
    parts.iter().map(line).collect()
}

/// Guards against a cause that is not found from the request id alone in the logs of two daemons.
#[test]
fn a_broken_stream_is_explained_from_its_id() {
    let one = temp_file(
        "vm-1.log",
        "t=1000 level=INFO event=placed id=r-1 runner=i-5 of=3\n\
         t=1400 level=INFO event=runner_crashed runner=i-5 id=r-9 fingerprint=07\n\
         t=1500 level=INFO event=request_done id=r-1 status=200 code=silent verdict=broken-off \
         events=32 sends=i-5:silent:490ms(runner is not there); ms=500\n",
    );
    let two = temp_file(
        "vm-2.log",
        "t=1300 level=INFO event=placed id=r-2 runner=i-5\n",
    );
    let out = run_tool(&[
        "explain",
        "r-1",
        one.to_str().unwrap(),
        two.to_str().unwrap(),
    ]);
    let text = String::from_utf8(out.stdout).unwrap();
    assert!(out.status.success(), "{text}");
    assert!(text.contains("a runner stopped responding"), "{text}");
    assert!(text.contains("runner_crashed"), "{text}");
    assert!(!text.contains("r-2"), "{text}");
    let none = run_tool(&["explain", "r-7", one.to_str().unwrap()]);
    assert_eq!(none.status.code(), Some(1));
}

/// The daemon that refuses a request names a prompt part, but the crashes behind it are in the logs of others.
#[test]
fn a_refused_part_is_explained_by_crashes_at_other_daemons() {
    let one = "t=9000 event=suspect_refused id=r-1 suspect=part:bad ends=3 age_ms=10 sources=vm-2\n\
        t=9000 event=request_done id=r-1 status=503 code=crashes_runners verdict=not-run";
    let two = "t=1000 event=runner_crashed runner=i-1 id=r-2 fingerprint=07 begun=false parts=1,bad\n\
        t=1000 event=runner_crashed runner=i-1 id=r-3 fingerprint=08 begun=true parts=1,bad\n\
        t=1000 event=runner_crashed runner=i-1 id=r-4 fingerprint=09 begun=false parts=1,bad1";
    let mut log = parse_log("vm-1", one);
    log.extend(parse_log("vm-2", two));
    let text = explain(&log, "r-1").unwrap();
    assert!(text.contains("vm-2  runner_crashed runner=i-1"), "{text}");
    assert_eq!(text.matches("runner_crashed").count(), 1, "{text}");
}

/// Guards against an answer of a neighbour that hides why it refused the request.
#[test]
fn a_request_that_was_handed_over_is_explained_by_its_neighbour() {
    let one = "t=1000 event=handed_over id=r-1 service=engine neighbour=10.0.0.2:8126 outcome=taken ms=3\n\
        t=1005 event=request_done id=r-1 origin=caller status=503 code=answered verdict=ran";
    let two =
        "t=1005 event=request_done id=r-1 origin=neighbour status=503 code=no_turn verdict=not-run";
    let mut log = parse_log("vm-1", one);
    log.extend(parse_log("vm-2", two));
    let text = explain(&log, "r-1").unwrap();
    assert!(text.contains("no turn came in time"), "{text}");
}

/// Guards against failure codes that the daemon logs and the tool does not know.
#[test]
fn each_failed_send_has_a_cause_in_words() {
    let all = [
        Failure::NoConnection,
        Failure::TurnedAway,
        Failure::Broken,
        Failure::Silent,
        Failure::Failed,
    ];
    for code in all.map(Failure::as_str) {
        let line = format!("t=1 event=request_done id=r-1 status=502 code={code} verdict=-");
        let text = explain(&parse_log("vm-1", &line), "r-1").unwrap();
        assert!(!text.contains("not known"), "{text}");
    }
}

/// Guards against an audit that passes although tokens are missing.
#[test]
fn an_audit_fails_when_tokens_do_not_add_up() {
    let good = [
        ("limit", 100),
        ("billed", 60),
        ("held", 30),
        ("orphaned", 5),
        ("free", 5),
    ];
    let out = run_tool(&["audit", &serve_metrics(metrics(&good))]);
    assert!(out.status.success(), "{out:?}");
    let mut bad = good;
    bad[1].1 = 59;
    let out = run_tool(&["audit", &serve_metrics(metrics(&bad))]);
    assert_eq!(out.status.code(), Some(5), "{out:?}");
    assert!(
        String::from_utf8(out.stdout)
            .unwrap()
            .contains("DOES NOT ADD UP")
    );
}

/// Guards against invalid input that passes the check, and against an error that does not name the file.
#[test]
fn bad_settings_and_configurations_are_named() {
    let config = temp_file("config.json", "{\"version\": 4}");
    let out = run_tool(&["check", "--config", config.to_str().unwrap()]);
    assert!(
        String::from_utf8(out.stdout)
            .unwrap()
            .starts_with("version 4: 0 routes")
    );
    let config = temp_file("broken.json", "{\"version\": \"four\"}");
    for option in ["--config", "--settings"] {
        let out = run_tool(&["check", option, config.to_str().unwrap()]);
        assert_eq!(out.status.code(), Some(1));
        let text = String::from_utf8(out.stderr).unwrap();
        assert!(text.contains("broken.json"), "{text}");
    }
    assert_eq!(run_tool(&["check"]).status.code(), Some(2));
}

/// Guards against a panic on lines of other programs and on truncated lines.
#[test]
fn any_line_can_be_read() {
    fn property(text: String, cut: usize) -> bool {
        let line = format!("t=1 event=x a=\"{text}\" b=({text}) c={text}");
        let at = (0..=line.len())
            .rev()
            .find(|n| *n <= cut && line.is_char_boundary(*n));
        let _ = LogLine::parse(&line[..at.unwrap_or(0)]);
        LogLine::parse(&line).is_some()
    }
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(60, SEED))
        .tests(300)
        .quickcheck(property as fn(String, usize) -> bool);
}
