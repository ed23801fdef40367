//! When streams may begin at a new version, and how old what was read counts.

use std::time::Duration;

use cuminloom_edge::decide::{
    OpenVersions,
    ReadAge,
    VERSION_LEASE,
    VersionHistory,
    stream_key,
    version_key, //
};

/// Time since the start of the VM, in milliseconds.
fn at(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// Guards against an answer that counts as new because it waited at a process that stood still.
#[test]
fn an_answer_counts_from_the_moment_at_which_it_was_given() {
    let mut age = ReadAge::default();
    assert_eq!(age.at(at(0)), None);
    age.record(1, 10_000, at(490)..at(500));
    age.record(1, 11_000, at(500)..at(1_500));
    assert_eq!(age.at(at(2_500)), Some(at(1_000)));
    age.record(1, 12_000, at(1_600)..at(6_500));
    assert_eq!(age.at(at(6_500)), Some(at(4_000)));
    age.record(1, 16_100, at(6_500)..at(6_600));
    assert_eq!(age.at(at(6_600)), Some(at(0)));
    // The clock of a store that came back from a copy may be another one.
    age.record(2, 3_000, at(6_900)..at(7_000));
    assert_eq!(age.at(at(7_500)), Some(at(500)));
}

/// Guards against entries that never count as new again because this VM's clock runs faster than that of the store.
#[test]
fn a_fast_clock_makes_new_answers_old() {
    const HOUR_MS: u64 = 3_600_000;
    const CALL_MS: u64 = 1_000;
    let mut age = ReadAge::default();
    for hour in 0..48 {
        let store = hour * HOUR_MS;
        // It gains 100 ms an hour, and a call takes a second.
        let own = store + hour * 100;
        age.record(1, store, at(own)..at(own + CALL_MS));
        let read = age.at(at(own + CALL_MS)).unwrap();
        assert!(read <= at(CALL_MS), "after {hour} h: {read:?}");
    }
}

/// Guards against streams that begin at a version of which others may not have heard, and against runners that stay idle
/// after that.
#[test]
fn streams_begin_at_a_new_version_when_no_lease_lacks_it() {
    let (v1, v2) = (version_key("v1"), version_key("v2"));
    let lease = VERSION_LEASE.as_millis() as u64;
    let history = VersionHistory::default().next(vec![(v1, 8)], 1_000);
    let mut open = OpenVersions::default();
    open.record(&history, at(0));
    assert!(open.admits(v1, &history, at(0), 1_000));
    let history = history.next(vec![(v1, 4), (v2, 4)], 20_000);
    open.record(&history, at(20_000));
    // A write that takes effect late is seen late.
    assert!(!open.admits(v2, &history, at(20_000 + lease - 1), 20_000 + lease + 5_000));
    assert!(open.admits(v2, &history, at(20_000 + lease), 20_000 + lease));
    let keys: Vec<_> = (0..100).map(|i| stream_key(&format!("s{i}"))).collect();
    for key in keys {
        let held = history.open_version_of(key, |v| v == v1);
        assert_eq!(held, Some(v1));
        assert_eq!(
            history.open_version_of(key, |_| true),
            history.version_of(key)
        );
    }
    // A process that has just started need not wait for shares that are old.
    let mut started = OpenVersions::default();
    started.record(&history, at(50_000));
    assert!(!started.admits(v2, &history, at(50_000), 25_000));
    assert!(started.admits(v2, &history, at(50_000), 40_000));
}

/// Guards against a fleet that begins no stream because all its versions are new.
#[test]
fn streams_begin_at_a_new_version_if_there_is_no_other() {
    let (v1, v2) = (version_key("v1"), version_key("v2"));
    let history = VersionHistory::default().next(vec![(v1, 8)], 1_000);
    let history = history.next(vec![(v2, 8)], 20_000);
    let key = stream_key("a");
    assert_eq!(history.open_version_of(key, |v| v == v1), Some(v2));
}
