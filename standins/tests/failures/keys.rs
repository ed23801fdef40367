//! Idempotency keys that are sent to several daemons.

use cuminloom_standins::fleet::{
    Fleet,
    Plan, //
};
use serde_json::json;

use crate::{
    call::{
        Answer,
        control,
        deposit,
        effects,
        wait_until, //
    },
    check::{
        check,
        live_incarnation,
        start,
        wait_sealed, //
    },
};

const KEYS: [&str; 4] = ["k-1", "k-2", "k-3", "k-4"];

/// Sends every key to every running daemon at once.
fn send_all(fleet: &Fleet, meanwhile: impl FnOnce()) -> Vec<(&'static str, Answer)> {
    std::thread::scope(|scope| {
        let mut calls = Vec::new();
        for key in KEYS {
            for member in &fleet.members {
                calls.push((key, scope.spawn(|| deposit(member.caller, key))));
            }
        }
        meanwhile();
        let answers = calls.into_iter();
        answers
            .map(|(key, call)| (key, call.join().unwrap()))
            .collect()
    })
}

fn check_answers(fleet: &Fleet, answers: &[(&str, Answer)]) {
    let counts = effects(fleet).keys;
    for (key, answer) in answers {
        let count = counts.get(*key).copied().unwrap_or(0);
        assert!(count <= 1, "{key} took effect {count} times");
        assert!(!answer.complete || count == 1, "{key}: {answer:?}");
    }
    for key in KEYS {
        let mut own = answers.iter().filter(|(it, _)| *it == key);
        if own.all(|(_, answer)| answer.verdict == "not-run") {
            assert_eq!(counts.get(key), None, "{key} was refused as not run");
        }
    }
}

/// Guards against a key that takes effect twice when it is sent to every daemon at once and again
/// after a daemon that ran it was killed.
#[test]
fn a_key_takes_effect_once() {
    let mut fleet = start(Plan::default());
    control(&fleet.service, &json!({ "delay_ms": 400 }));
    let inc = live_incarnation(&fleet, &fleet.members[0].id).unwrap();
    let mut process = fleet.members[0].process.take().unwrap();
    let running = || effects(&fleet).total > 0;
    let answers = send_all(&fleet, || {
        wait_until("a key took effect", running);
        process.kill().unwrap();
    });
    check_answers(&fleet, &answers);
    let again = send_all(&fleet, || {});
    check_answers(&fleet, &again);
    for (key, answer) in again.iter().filter(|(_, answer)| answer.status != 0) {
        let told = answer.complete || answer.verdict == "may-have-run";
        assert!(told, "{key}: {answer:?}");
    }
    wait_sealed(&fleet, &inc);
    check_answers(&fleet, &send_all(&fleet, || {}));
    check(fleet, 0);
}
