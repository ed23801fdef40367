//! Clients that stall, crowd in or hold bytes, against the account of one port.

use std::time::{
    Duration,
    Instant, //
};

use cuminloom_edge::decide::{
    ClientAccount,
    ClientBounds,
    ClientId,
    ProcessLimits,
    Stage, //
};

const BOUNDS: ClientBounds = ClientBounds {
    connections: 100,
    bytes: 8 << 20,
};

/// Longer than a client may stall while others need its room.
const STALL: Duration = Duration::from_secs(1);

/// An account with `count` clients that each hold `bytes` of an incomplete request since `now`.
fn crowded(count: ClientId, bytes: u64, now: Instant) -> ClientAccount {
    let mut account = ClientAccount::new(BOUNDS);
    for id in 0..count {
        assert!(account.open(id, now).granted);
        account.set_stage(id, Stage::Reading, now);
        account.hold(id, bytes, now);
    }
    account
}

/// Guards against a crowd of silent connections that keeps ordinary clients out.
#[test]
fn a_new_connection_replaces_the_longest_quiet_one() {
    let start = Instant::now();
    let mut account = ClientAccount::new(BOUNDS);
    for id in 0..BOUNDS.connections {
        account.open(id, start + Duration::from_millis(id));
    }
    let now = start + STALL;
    account.set_stage(0, Stage::Reading, now);
    assert_eq!(account.open(500, now).dropped, [1]);
    assert_eq!(account.connections() as u64, BOUNDS.connections);
}

/// Guards against dropping a client whose request may run.
#[test]
fn clients_with_running_requests_are_never_dropped() {
    let start = Instant::now();
    let mut account = crowded(BOUNDS.connections, 1000, start);
    for id in 0..BOUNDS.connections {
        account.set_stage(id, Stage::Handling, start);
    }
    let claim = account.open(500, start + STALL);
    assert!(!claim.granted && claim.dropped.is_empty());
}

/// Guards against bodies that stop short of their end and hold all memory.
#[test]
fn stalled_bodies_make_room_for_a_large_one() {
    let start = Instant::now();
    let mut account = crowded(20, 300_000, start);
    account.open(500, start);
    account.hold(19, 300_001, start + STALL);
    let claim = account.hold(500, 4 << 20, start + STALL);
    assert!(claim.granted);
    assert!(!claim.dropped.is_empty() && !claim.dropped.contains(&19));
    assert!(account.bytes() <= BOUNDS.bytes);
}

/// Guards against large bodies that still arrive and leave no room for ordinary requests.
#[test]
fn small_requests_find_room_beside_large_bodies() {
    let now = Instant::now();
    let mut account = crowded(50, 1 << 20, now);
    assert!(account.bytes() <= BOUNDS.bytes / 4 * 3);
    account.open(500, now);
    assert!(!account.hold(500, 1 << 20, now).granted);
    assert!(account.hold(500, 60_000, now).granted);
}

/// Guards against a limit on memory below one largest body, which nobody could send any more.
#[test]
fn the_only_body_is_granted_at_any_size() {
    let now = Instant::now();
    let mut account = ClientAccount::new(BOUNDS);
    account.open(1, now);
    account.open(2, now);
    assert!(account.hold(1, BOUNDS.bytes * 2, now).granted);
    assert!(!account.hold(2, 100_000, now).granted);
}

/// Guards against bytes that stay charged after their client has left.
#[test]
fn bytes_are_released_with_their_client() {
    let now = Instant::now();
    let mut account = crowded(10, 100_000, now);
    account.hold(0, 0, now);
    for id in 1..20 {
        account.close(id);
    }
    assert_eq!((account.bytes(), account.connections()), (0, 1));
}

/// Guards against shares that together exceed the descriptors, or leave none for runners and the store.
#[test]
fn the_ports_leave_descriptors_for_runners() {
    for descriptors in [128, 1024, 3075, 10_250] {
        let limits = ProcessLimits {
            descriptors,
            ..ProcessLimits::default()
        };
        let ports = limits.callers().connections
            + limits.peers().connections
            + 2 * limits.ready().connections;
        assert!(ports * 10 <= descriptors * 6, "{ports} of {descriptors}");
    }
}
