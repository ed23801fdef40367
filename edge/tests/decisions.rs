//! The decisions without I/O, each under the load that it handles.

use std::time::{
    Duration,
    Instant, //
};

use cuminloom_edge::{
    catalog::{
        Directory,
        RetryPolicy,
        Runner,
        RunnerChange,
        RunnerState, //
    },
    decide::{
        Candidate,
        FailedAttempt,
        Failure,
        OutageWatch,
        RequestNeeds,
        RetryBudget,
        RetryDecision,
        Turn,
        decide_retry,
        rendezvous_weight,
        retry_after,
        select_runner, //
    },
};

/// An idle engine far down the affinity ranking.
const ENGINE: Candidate = Candidate {
    affinity_rank: 9,
    cached_tokens: 0,
    running: 0.0,
    waiting: 0.0,
    slots: 64,
    backlog_tokens: 0,
    failure_rate: 0.0,
    suspect: false,
    full: false,
    tried: false,
    remote: false,
    turn: Turn::Unlimited,
};

/// A long prompt of which other requests share a part.
const WRITEUP: RequestNeeds = RequestNeeds {
    prompt_tokens: 12_000,
    shared_tokens: 5_400,
    objective_ms: 1000.0,
};

/// Hot prefix: guards against prefilling shared parts again although the runner that has them is
/// not busy.
#[test]
fn shared_prompts_go_to_the_runner_that_has_them() {
    let home = Candidate {
        affinity_rank: 0,
        running: 4.0,
        ..ENGINE
    };
    assert_eq!(select_runner(&[ENGINE, home, ENGINE], &WRITEUP, 1), Some(1));
}

/// Hot prefix with more load than one runner can serve: guards against a queue that misses the
/// objective.
#[test]
fn a_long_queue_costs_more_than_a_prefill() {
    let home = Candidate {
        affinity_rank: 0,
        backlog_tokens: 60_000,
        ..ENGINE
    };
    assert_eq!(select_runner(&[home, ENGINE], &WRITEUP, 1), Some(1));
}

/// Silent and replaced runners: guards against attempts that cannot be answered.
#[test]
fn silent_runners_come_last_and_tried_ones_never() {
    let home = Candidate {
        affinity_rank: 0,
        suspect: true,
        ..ENGINE
    };
    assert_eq!(select_runner(&[home, ENGINE], &WRITEUP, 1), Some(1));
    let tried = Candidate {
        tried: true,
        ..ENGINE
    };
    assert_eq!(select_runner(&[tried, home], &WRITEUP, 1), Some(1));
    assert_eq!(select_runner(&[tried], &WRITEUP, 1), None);
}

/// Partial failure: guards against choosing a runner that fails half of its requests.
#[test]
fn failing_runners_are_avoided() {
    let flaky = Candidate {
        failure_rate: 0.5,
        slots: 6,
        ..ENGINE
    };
    let busy = Candidate {
        slots: 6,
        running: 2.0,
        ..ENGINE
    };
    assert_eq!(
        select_runner(&[flaky, busy], &RequestNeeds::default(), 3),
        Some(1)
    );
}

/// Many daemons: guards against daemons that prefer different runners for one prefix, and against a
/// change of most preferences when a runner leaves.
#[test]
fn preferences_agree_and_move_little() {
    let all: Vec<String> = (0..18).map(|i| format!("i-{i:08x}")).collect();
    let best = |ids: &[String], key| {
        ids.iter()
            .max_by_key(|id| rendezvous_weight(key, id))
            .cloned()
    };
    let moved = (0..1000)
        .filter(|key| best(&all, *key) != best(&all[1..], *key))
        .count();
    assert!(moved < 100, "{moved} of 1,000 moved");
}

/// Retry storm: guards against retries beyond the ratio in any window, summed over all daemons.
#[test]
fn retries_stay_within_the_shared_budget() {
    let start = Instant::now();
    let members = 7;
    let mut daemons: Vec<RetryBudget> = (0..members)
        .map(|_| RetryBudget::new(0.2, 54.0, Duration::from_secs(10)))
        .collect();
    let (mut requests, mut retries) = (Vec::new(), Vec::new());
    for ms in (0..60_000_u64).step_by(20) {
        let now = start + Duration::from_millis(ms);
        let daemon = &mut daemons[(ms / 20 % members) as usize];
        // The load falls to a tenth after 30 s, while every request still fails.
        if ms < 30_000 || ms % 200 == 0 {
            daemon.record_request(now);
            requests.push(ms);
        }
        for _ in 0..3 {
            if daemon.try_retry(now, members as u32, true) {
                retries.push(ms);
            }
        }
    }
    let count = |list: &[u64], from: u64| {
        let from = from as i64;
        list.iter()
            .filter(|ms| (**ms as i64) >= from && (**ms as i64) < from + 10_000)
            .count() as f64
    };
    for from in (0..50_000_u64).step_by(100) {
        let before = count(&requests, from.saturating_sub(5_000));
        let most = count(&requests, from).max(before);
        let bound = 0.2 * most + 54.0;
        let seen = count(&retries, from);
        assert!(
            seen <= bound,
            "{seen} retries from {from} ms, bound {bound}"
        );
    }
}

/// A failed first attempt with enough time left for another one.
fn failed_attempt(failure: Failure, retry: RetryPolicy) -> FailedAttempt {
    FailedAttempt {
        failure,
        retry,
        started: 1,
        rejected: 0,
        max_attempts: 2,
        remaining: Duration::from_secs(1),
        objective: Duration::from_millis(100),
    }
}

/// Lost answers: guards against a second run of a request that may run only once, for each kind of
/// failure.
#[test]
fn requests_that_may_run_once_are_not_sent_again() {
    for failure in [Failure::Broken, Failure::Silent, Failure::Failed] {
        for retry in [RetryPolicy::Once, RetryPolicy::Stream] {
            assert_eq!(
                decide_retry(&failed_attempt(failure, retry)),
                RetryDecision::GiveUp
            );
        }
        for retry in [RetryPolicy::Idempotent, RetryPolicy::Resumable] {
            let next = decide_retry(&failed_attempt(failure, retry));
            assert_eq!(next, RetryDecision::Retry { uses_budget: true });
        }
    }
}

/// Guards against more attempts than the route allows, and attempts that cannot be answered in
/// time.
#[test]
fn attempts_and_time_limit_retries() {
    let mut last = failed_attempt(Failure::Broken, RetryPolicy::Idempotent);
    last.started = 2;
    assert_eq!(decide_retry(&last), RetryDecision::GiveUp);
    let mut late = failed_attempt(Failure::NoConnection, RetryPolicy::Once);
    late.remaining = Duration::from_millis(5);
    assert_eq!(decide_retry(&late), RetryDecision::GiveUp);
}

/// Guards against a Retry-After beyond a third of the time that the caller has left.
#[test]
fn callers_can_retry_in_time() {
    let left = Duration::from_millis(600);
    assert_eq!(retry_after(Duration::from_secs(2), left), left / 3);
}

/// A registered runner of the service `s`.
fn runner(id: &str, state: RunnerState) -> Runner {
    Runner {
        id: id.into(),
        service: "s".into(),
        address: "127.0.0.1:1".parse().unwrap(),
        zone: "z".into(),
        slots: 1,
        state,
        born: 0,
        cold_time: Duration::ZERO,
        version: "v1".into(),
        version_key: 1,
    }
}

/// Guards against new requests for a runner that is draining or has left.
#[test]
fn leaving_runners_get_no_requests() {
    let now = Instant::now();
    let mut directory = Directory::default();
    directory.apply(RunnerChange::Put(runner("a", RunnerState::Ready)), now);
    directory.apply(RunnerChange::Put(runner("b", RunnerState::Ready)), now);
    directory.apply(RunnerChange::Put(runner("a", RunnerState::Draining)), now);
    directory.apply(RunnerChange::Gone("b".into()), now);
    assert_eq!(directory.ready("s", now).count(), 0);
}

/// Guards against losing all runners when entries lapse because the store was unreachable, and
/// against keeping those that do not register again.
#[test]
fn lapsed_entries_have_time_to_register_again() {
    let now = Instant::now();
    let grace = Duration::from_secs(2);
    let mut directory = Directory::default();
    directory.apply(RunnerChange::Put(runner("a", RunnerState::Ready)), now);
    directory.apply(RunnerChange::Put(runner("b", RunnerState::Ready)), now);
    directory.start_grace(now + grace);
    directory.replace(Vec::new(), now);
    assert_eq!(directory.ready("s", now).count(), 2);
    directory.apply(
        RunnerChange::Put(runner("a", RunnerState::Ready)),
        now + grace / 2,
    );
    // The feed may drop lapsed entries late, while it waits for changes.
    assert_eq!(directory.ready("s", now + grace).count(), 1);
    assert_eq!(directory.expire(now + grace), vec!["b".into()]);
    assert_eq!(directory.ready("s", now).count(), 1);
}

/// Guards against a grace period for the entry of a runner that has left, after failures of the feed in which no entry
/// can have expired: a connection that was reset or silent, and a process that stood still.
#[test]
fn short_failures_of_the_feed_give_runners_that_left_a_grace_period() {
    let (start, heartbeat) = (Instant::now(), Duration::from_millis(1200));
    let mut watch = OutageWatch::default();
    assert!(!watch.record_answer(start, heartbeat));
    let mut now = start;
    for after_ms in [150, 1400, 2000, 150] {
        watch.record_failure();
        now += Duration::from_millis(after_ms);
        assert!(!watch.record_answer(now, heartbeat), "{after_ms} ms");
    }
    now += Duration::from_secs(5);
    assert!(!watch.record_answer(now, heartbeat), "stood still");
    watch.record_failure();
    watch.record_failure();
    now += Duration::from_secs(3);
    assert!(watch.record_answer(now, heartbeat), "away for 3 s");
}

/// Guards against the loss of all runners in a process that was started while the store was away.
#[test]
fn an_outage_at_the_start_counts() {
    let mut watch = OutageWatch::default();
    watch.record_failure();
    assert!(watch.record_answer(Instant::now(), Duration::from_millis(1200)));
}

/// Guards against a runner that has left and is used for as long as the store comes and goes: each outage gave its
/// entry a new grace period.
#[test]
fn each_outage_extends_the_grace_period_of_a_missing_entry() {
    let now = Instant::now();
    let grace = Duration::from_secs(2);
    let mut directory = Directory::default();
    directory.apply(RunnerChange::Put(runner("a", RunnerState::Ready)), now);
    for outage in 0..4 {
        let back = now + grace / 2 * outage;
        directory.start_grace(back + grace);
        directory.replace(Vec::new(), back);
    }
    let late = now + grace;
    assert_eq!(directory.ready("s", now).count(), 1);
    assert_eq!(directory.ready("s", late).count(), 0);
}
