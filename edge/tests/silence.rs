//! What a failed connection tells about a runner, and what about this VM.

use std::{
    io,
    rc::Rc,
    sync::Arc,
    time::{
        Duration,
        Instant, //
    },
};

use cuminloom_edge::{
    catalog::{
        Runner,
        RunnerState, //
    },
    decide::RetryBudget,
    http::{
        ConnectionError,
        LinkActivity, //
    },
    serve::{
        Probe,
        Upstream, //
    },
};

const LIMIT: Duration = Duration::from_millis(60);

fn error(kind: io::ErrorKind) -> ConnectionError {
    ConnectionError::Connect(kind.into())
}

/// Result of a probe that began `elapsed` ago and failed with `error`, if the daemon last received
/// anything `quiet` ago.
fn classify(error: &ConnectionError, elapsed: Duration, quiet: Duration) -> Probe {
    let now = Instant::now();
    let link = Rc::new(LinkActivity::new(now));
    let runner = Runner {
        id: Arc::from("i-1"),
        service: Arc::from("engine"),
        address: "127.0.0.1:9".parse().unwrap(),
        zone: Arc::from("z-1"),
        slots: 8,
        state: RunnerState::Ready,
        born: 1,
        cold_time: Duration::ZERO,
        version: "v1".into(),
        version_key: 1,
    };
    let upstream = Upstream::new(Arc::new(runner), Rc::clone(&link));
    link.record(now.checked_sub(quiet).unwrap());
    upstream.classify(error, now.checked_sub(elapsed).unwrap(), LIMIT)
}

/// Guards against taking a stall of this VM's link for the silence of a runner.
#[test]
fn a_timeout_on_a_quiet_link_is_inconclusive() {
    let timeout = error(io::ErrorKind::TimedOut);
    let ms = Duration::from_millis;
    assert_eq!(classify(&timeout, LIMIT, ms(80)), Probe::Inconclusive);
    assert_eq!(classify(&timeout, LIMIT, ms(10)), Probe::Unreachable);
}

/// Guards against taking a pause of this process for the silence of a runner.
#[test]
fn a_late_timeout_is_inconclusive() {
    let timeout = error(io::ErrorKind::TimedOut);
    let ms = Duration::from_millis;
    assert_eq!(classify(&timeout, ms(200), ms(10)), Probe::Inconclusive);
}

/// Guards against blaming a runner for a lack of file descriptors, and against doubting a refusal.
#[test]
fn only_refusals_by_the_other_side_count() {
    let ms = Duration::from_millis;
    let many_files = ConnectionError::Connect(io::Error::from_raw_os_error(24));
    assert_eq!(classify(&many_files, ms(1), ms(0)), Probe::Inconclusive);
    let refused = error(io::ErrorKind::ConnectionRefused);
    assert_eq!(classify(&refused, ms(1), ms(500)), Probe::Refused);
}

/// Guards against a look at the retry budget that uses it up.
#[test]
fn a_look_at_the_retry_budget_is_free() {
    let now = Instant::now();
    let mut budget = RetryBudget::new(0.2, 7.0, Duration::from_secs(10));
    for _ in 0..5 {
        assert!(budget.allows_retry(now, 7, true));
    }
    assert!(budget.try_retry(now, 7, true));
    assert!(!budget.allows_retry(now, 7, true));
}

/// Guards against taking a pause of this process, or of its link, for the silence of a holder.
#[test]
fn only_a_punctual_timeout_on_an_active_link_is_conclusive() {
    let ms = Duration::from_millis;
    let begun = Instant::now();
    let link = LinkActivity::new(begun);
    assert!(!link.is_conclusive(begun, LIMIT, begun + LIMIT));
    link.record(begun + ms(20));
    assert!(link.is_conclusive(begun, LIMIT, begun + LIMIT));
    assert!(!link.is_conclusive(begun, LIMIT, begun + LIMIT + ms(100)));
}

/// Guards against timeouts that a full link of this VM makes too short for every other machine.
#[test]
fn a_slow_link_extends_the_timeouts() {
    let ms = Duration::from_millis;
    let start = Instant::now();
    let link = LinkActivity::new(start);
    for i in 0..20 {
        link.record_round_trip(start + ms(i * 20), ms(2));
    }
    assert!(link.allowance(start + ms(400)) < ms(10));
    // The queue of the link fills up: each exchange takes longer than the one before.
    for i in 0..10 {
        link.record_round_trip(start + ms(400 + i * 20), ms(20 * i));
    }
    assert!(link.allowance(start + ms(600)) > ms(300));
    // One slow exchange alone counts for little once others are fast again.
    for i in 0..30 {
        link.record_round_trip(start + ms(600 + i * 20), ms(2));
    }
    assert!(link.allowance(start + ms(1200)) < ms(20));
}
