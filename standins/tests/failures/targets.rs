//! Targets that leave and requests that crash them.

use std::net::SocketAddr;

use cuminloom_standins::fleet::{
    Fleet,
    Plan, //
};
use serde_json::json;

use crate::{
    call::{
        chat,
        chat_until_served,
        control,
        counters,
        ctl_done,
        open_chat,
        runs,
        wait_until, //
    },
    check::{
        check,
        start, //
    },
};

/// Requests in a row without work for a target, after which it counts as left.
const QUIET: usize = 10;

/// Waits until the first engine gets none of the requests and the others get all of them.
fn wait_left(fleet: &Fleet) {
    let first = || counters(&fleet.engines[0]).total.runs;
    wait_until("the target gets no new work", || {
        let before = first();
        for n in 0..QUIET {
            chat_until_served(fleet.members[0].caller, &format!("elsewhere {n}"));
        }
        first() == before
    });
}

fn wait_back(fleet: &Fleet) {
    let before = counters(&fleet.engines[0]).total.runs;
    wait_until("the target gets work again", || {
        chat_until_served(fleet.members[0].caller, "back again");
        counters(&fleet.engines[0]).total.runs > before
    });
}

/// Guards against new work at a target that leaves, and a target that stays away after its stop was
/// cancelled.
#[test]
fn leaving_target_gets_no_new_work() {
    let fleet = start(Plan::default());
    wait_back(&fleet);
    let plan = ["stop", "target", "runner-cebu-north"];
    ctl_done(&fleet, 0, &plan);
    wait_left(&fleet);
    ctl_done(&fleet, 1, &[&plan[..], &["--cancel"]].concat());
    wait_back(&fleet);
    control(&fleet.engines[0], &json!({ "leaving": true }));
    wait_left(&fleet);
    control(&fleet.engines[0], &json!({ "leaving": false }));
    wait_back(&fleet);
    check(fleet, 0);
}

/// Requests that run when the engines crash.
const BYSTANDERS: usize = 6;

/// Starts three daemons and four engines in one data centre, and sends a request that crashes its
/// engine through every daemon, until each refuses it, while other requests run.
fn crash_engines() -> Fleet {
    let fleet = start(Plan {
        dcs: vec![("cebu-north", 3)],
        engine: vec!["--ttft-ms", "5", "--tokens-per-second", "16"],
        engines: 4,
        ..Plan::default()
    });
    let before = runs(&fleet);
    let bystanders: Vec<_> = (0..BYSTANDERS)
        .map(|n| open_chat(caller(&fleet, n), &format!("bystander {n}")))
        .collect();
    wait_until("the bystanders run", || {
        runs(&fleet) >= before + BYSTANDERS as u64
    });
    let crashes = || -> u64 {
        let engines = fleet.engines.iter();
        engines.map(|it| counters(it).crashes).sum()
    };
    for member in &fleet.members {
        wait_until("the request is refused as the cause", || {
            let answer = chat(member.caller, "crash-the-engine, please");
            assert!(!answer.complete, "{answer:?}");
            assert!(crashes() <= 2, "{} engines crashed", crashes());
            answer.code == "crashes_targets"
        });
    }
    for bystander in bystanders {
        let answer = bystander.join().unwrap();
        let told = answer.complete || answer.verdict == "may-have-run";
        assert!(told, "{answer:?}");
    }
    fleet
}

fn caller(fleet: &Fleet, n: usize) -> SocketAddr {
    fleet.members[n % fleet.members.len()].caller
}

/// Guards against a request that crashes one engine after the other because its caller sends it
/// again, and against bystanders that are refused as not run although they ran.
#[test]
fn poison_request_crashes_at_most_two_engines() {
    check(crash_engines(), 0);
}

/// Guards against requests that were running in a crash and are refused in place of its cause.
#[test]
fn bystanders_of_a_crash_are_served_again() {
    let fleet = crash_engines();
    for n in 0..BYSTANDERS {
        chat_until_served(caller(&fleet, n), &format!("bystander {n}"));
    }
    check(fleet, 0);
}
