//! Daemons that are killed, paused and stopped.

use std::thread::JoinHandle;

use cuminloom_standins::fleet::{
    Fleet,
    Plan, //
};

use crate::{
    call::{
        Answer,
        chat,
        chat_until_served,
        ctl,
        generated,
        open_chat,
        runs,
        wait_until, //
    },
    check::{
        check,
        live_incarnation,
        start,
        wait_sealed, //
    },
};

/// Streams that are open when a daemon fails.
const STREAMS: u64 = 4;

/// Starts a deployment whose streams last for about two seconds.
fn slow_fleet() -> Fleet {
    start(Plan {
        engine: vec!["--ttft-ms", "5", "--tokens-per-second", "16"],
        ..Plan::default()
    })
}

/// Opens streams at a daemon and waits until all of them run.
fn open_streams(fleet: &Fleet, index: usize, name: &str) -> Vec<JoinHandle<Answer>> {
    let (before, tokens) = (runs(fleet), generated(fleet));
    let addr = fleet.members[index].caller;
    let streams = (0..STREAMS).map(|n| open_chat(addr, &format!("{name} {n}")));
    let streams = streams.collect();
    wait_until("the streams run", || {
        runs(fleet) >= before + STREAMS && generated(fleet) > tokens + STREAMS
    });
    streams
}

fn join(streams: Vec<JoinHandle<Answer>>) -> Vec<Answer> {
    let answers = streams.into_iter().map(|it| it.join().unwrap());
    answers.collect()
}

/// Guards against a broken stream that looks complete, and against requests of a killed daemon that
/// are not billed or orphan more than seconds of demand.
#[test]
fn killed_daemon_is_sealed_and_billed() {
    let mut fleet = slow_fleet();
    let inc = live_incarnation(&fleet, &fleet.members[0].id).unwrap();
    let streams = open_streams(&fleet, 0, "killed");
    let others = open_streams(&fleet, 1, "bystander");
    fleet.members[0].process.take().unwrap().kill().unwrap();
    for answer in join(streams) {
        assert!(!answer.complete, "{answer:?}");
    }
    for answer in join(others) {
        assert!(answer.complete, "{answer:?}");
    }
    wait_sealed(&fleet, &inc);
    chat_until_served(fleet.members[1].caller, "after the seal");
    // Issues follow 5 s of demand; the demand was 4 requests of about 100 tokens.
    let orphaned = fleet.budget().breakdown().orphaned;
    assert!(orphaned <= 5 * 4 * 100, "{orphaned} tokens are orphaned");
    check(fleet, 0);
}

/// Guards against a paused daemon that goes on as if it had not been sealed meanwhile.
#[test]
fn paused_daemon_starts_a_new_incarnation() {
    let fleet = slow_fleet();
    let id = fleet.members[0].id.clone();
    let inc = live_incarnation(&fleet, &id).unwrap();
    let streams = open_streams(&fleet, 0, "paused");
    let process = fleet.members[0].process.as_ref().unwrap();
    process.pause().unwrap();
    wait_sealed(&fleet, &inc);
    for member in &fleet.members[1..] {
        assert!(chat(member.caller, "meanwhile").complete);
    }
    process.resume().unwrap();
    join(streams);
    wait_until("a new incarnation runs", || {
        live_incarnation(&fleet, &id).is_some()
    });
    chat_until_served(fleet.members[0].caller, "after the pause");
    check(fleet, 0);
}

/// Guards against a planned stop that cuts off streams or loses bills and shares.
#[test]
fn planned_stops_complete_every_stream() {
    let mut fleet = slow_fleet();
    let streams = open_streams(&fleet, 0, "signal");
    let mut process = fleet.members[0].process.take().unwrap();
    process.terminate().unwrap();
    let more = open_streams(&fleet, 1, "stop item");
    let vm = fleet.members[1].id.clone();
    let planned = ctl(&fleet, 2, &["--wait", "0", "stop", "vm", &vm]);
    assert_eq!(planned.status.code(), Some(0), "{planned:?}");
    for answer in join(streams).into_iter().chain(join(more)) {
        assert!(answer.complete, "{answer:?}");
    }
    assert!(process.wait().unwrap().success());
    let mut process = fleet.members[1].process.take().unwrap();
    assert!(process.wait().unwrap().success());
    check(fleet, 0);
}
