//! A platform that is down, slow or loses answers, and a data centre that is cut off.

use cuminloom_standins::fleet::{
    Fleet,
    Plan, //
};
use serde_json::{
    Value,
    json, //
};

use crate::{
    call::{
        Answer,
        chat,
        chat_until_served,
        ctl_done,
        deposit,
        effects,
        wait_until, //
    },
    check::{
        check,
        start, //
    },
};

/// Daemon in the data centre that is cut off.
const CUT: usize = 2;

fn serve_everywhere(fleet: &Fleet, prompt: &str) {
    for member in &fleet.members {
        chat_until_served(member.caller, prompt);
    }
}

/// Sends a request with the caller's own key; a refusal as not run must be true.
fn deposit_truly(fleet: &Fleet, key: &str) -> Answer {
    let answer = deposit(fleet.members[0].caller, key);
    let count = effects(fleet).keys.get(key).copied().unwrap_or(0);
    assert!(count <= 1, "{key} took effect {count} times");
    if answer.verdict == "not-run" {
        assert_eq!(count, 0, "{key} was refused as not run: {answer:?}");
    }
    answer
}

fn outage(name: &str, fault: &Value, heal: &Value, refuses: bool) {
    let fleet = start(Plan::default());
    serve_everywhere(&fleet, "before");
    fleet.control_platform(fault).unwrap();
    serve_everywhere(&fleet, name);
    let answer = deposit_truly(&fleet, name);
    if refuses {
        assert_eq!(answer.verdict, "not-run", "{answer:?}");
    }
    serve_everywhere(&fleet, "still away");
    fleet.control_platform(heal).unwrap();
    wait_until("the key is accepted", || {
        deposit_truly(&fleet, name).complete
    });
    assert_eq!(effects(&fleet).keys[name], 1);
    serve_everywhere(&fleet, "after");
    check(fleet, 0);
}

/// Guards against work that stops with the platform, and own keys that run without a claim.
#[test]
fn platform_down() {
    let (down, up) = (json!({ "down": true }), json!({ "down": false }));
    outage("down", &down, &up, true);
}

/// Guards against a claim that is written late, after its request was refused, and blocks or
/// repeats it.
#[test]
fn platform_hangs() {
    let (hang, up) = (json!({ "hang": true }), json!({ "hang": false }));
    outage("hang", &hang, &up, true);
}

/// Guards against writes that are repeated or forgotten because their answers were lost.
#[test]
fn platform_loses_answers() {
    let lost = json!({ "drop_answers": true });
    outage("lost", &lost, &json!({ "drop_answers": false }), false);
}

/// Two daemons on each side, because a daemon that loses its witness together with the platform
/// refuses new work.
fn two_sides() -> Plan {
    Plan {
        dcs: vec![("cebu-north", 2), ("cebu-south", 2)],
        ..Plan::default()
    }
}

/// Guards against a side of a partition that stops serving, and a top-up that a side never sees.
#[test]
fn partition_with_a_top_up() {
    let fleet = start(two_sides());
    serve_everywhere(&fleet, "before");
    fleet.cut("cebu-south").unwrap();
    ctl_done(&fleet, 0, &["budget", "top-up", "lamps", "500000"]);
    serve_everywhere(&fleet, "partitioned");
    serve_everywhere(&fleet, "partitioned still");
    fleet.heal("cebu-south").unwrap();
    for index in 0..fleet.members.len() {
        let shown = || ctl_done(&fleet, index, &["--json", "budget", "show", "lamps"]);
        wait_until("the top-up is seen", || {
            let budget: Value = serde_json::from_str(&shown()).unwrap();
            budget["limit"] == 1_500_000
        });
    }
    serve_everywhere(&fleet, "healed");
    check(fleet, 0);
}

/// Guards against two sides of a partition that together spend more than a nearly empty budget.
#[test]
fn partition_with_a_nearly_empty_budget() {
    let fleet = start(Plan {
        limit: 3_000,
        ..two_sides()
    });
    serve_everywhere(&fleet, "before");
    fleet.cut("cebu-south").unwrap();
    let spend = |index: usize| {
        let addr = fleet.members[index].caller;
        while chat(addr, "spend").complete {}
    };
    std::thread::scope(|scope| {
        scope.spawn(|| spend(0));
        scope.spawn(|| spend(CUT));
    });
    fleet.heal("cebu-south").unwrap();
    spend(CUT);
    check(fleet, 0);
}
