//! Which neighbours are asked to serve requests.

use std::{
    collections::HashMap,
    net::SocketAddr,
    time::{
        Duration,
        Instant, //
    },
};

use cuminloom_edge::decide::{
    AskOutcome,
    Distance,
    MAX_ASKED,
    Neighbour,
    Neighbours, //
};

/// Returns `count` neighbours, each with its capacity of `capacities` in turn.
fn neighbours(count: u16, capacities: &[u32], distance: Distance) -> Vec<Neighbour> {
    let base = if distance == Distance::Region {
        5000
    } else {
        1000
    };
    (0..count)
        .map(|i| Neighbour {
            address: SocketAddr::from(([127, 0, 0, 1], base + i)),
            distance,
            capacity: capacities[usize::from(i) % capacities.len()],
        })
        .collect()
}

/// Guards against one neighbour that gets everything.
#[test]
fn requests_spread_by_capacity() {
    let known = neighbours(80, &[90, 500], Distance::DataCentre);
    let choice = Neighbours::default();
    let mut asked: HashMap<SocketAddr, u32> = HashMap::new();
    for request in 0..20_000_u64 {
        let hash = request.wrapping_mul(0x9e37_79b9_7f4a_7c15);
        let order = choice.order(hash, &known, Instant::now());
        assert_eq!(order.len(), MAX_ASKED);
        *asked.entry(order[0]).or_default() += 1;
    }
    for neighbour in &known {
        let share = f64::from(neighbour.capacity) / (40.0 * 590.0);
        let expected = 20_000.0 * share;
        let count = f64::from(asked[&neighbour.address]);
        let ratio = count / expected;
        assert!((0.5..1.7).contains(&ratio), "{neighbour:?} got {count}");
    }
}

/// Guards against bytes between data centres while there is a neighbour in the own one.
#[test]
fn own_data_centre_is_asked_first() {
    let near = neighbours(1, &[100], Distance::DataCentre);
    let far = neighbours(20, &[500], Distance::Region);
    let known = [far, near.clone()].concat();
    for request in 0..50 {
        let order = Neighbours::default().order(request, &known, Instant::now());
        assert_eq!(order[0], near[0].address);
    }
}

/// Guards against neighbours that can't help and are asked for each request.
#[test]
fn neighbour_that_has_declined_rests_longer_each_time() {
    let known = neighbours(1, &[100], Distance::DataCentre);
    let mut choice = Neighbours::default();
    let begin = Instant::now();
    let mut asks = 0;
    for ms in 0..10_000 {
        let now = begin + Duration::from_millis(ms);
        for address in choice.order(7, &known, now) {
            asks += 1;
            choice.record(address, AskOutcome::Lost, now);
        }
    }
    // At 0, 0.5, 1.5, 3.5 and 7.5 s.
    assert_eq!(asks, 5);
    let now = begin + Duration::from_secs(12);
    choice.record(known[0].address, AskOutcome::Taken, now);
    assert_eq!(choice.order(7, &known, now).len(), 1);
}

/// Guards against requests that ask nobody but VMs of their data centre, all of which are partitioned.
#[test]
fn second_one_asked_is_of_another_data_centre() {
    let near = neighbours(20, &[100], Distance::DataCentre);
    let far = neighbours(20, &[100], Distance::Region);
    let known = [near.clone(), far].concat();
    let is_near = |address: &SocketAddr| near.iter().any(|n| n.address == *address);
    let now = Instant::now();
    let mut choice = Neighbours::default();
    for request in 0..50 {
        let order = choice.order(request, &known, now);
        let nearness: Vec<bool> = order.iter().map(is_near).collect();
        assert_eq!(nearness, [true, false, true]);
    }
    choice.record(near[3].address, AskOutcome::Taken, now);
    for request in 0..50 {
        let order = choice.order(request, &known, now);
        assert!(order.iter().all(is_near), "{order:?}");
    }
}

/// Guards against requests that ask strangers only, though one is known to help.
#[test]
fn neighbour_that_has_taken_a_request_is_among_those_asked() {
    let near = neighbours(20, &[100], Distance::DataCentre);
    let far = neighbours(20, &[100], Distance::Region);
    for helpful in [near[3].address, far[3].address] {
        let known = [near.clone(), far.clone()].concat();
        let now = Instant::now();
        let mut choice = Neighbours::default();
        choice.record(helpful, AskOutcome::Taken, now);
        for request in 0..50 {
            let order = choice.order(request, &known, now);
            assert!(order.contains(&helpful), "{order:?}");
        }
        choice.record(helpful, AskOutcome::Lost, now);
        let later = now + Duration::from_secs(1);
        let asked = |request| choice.order(request, &known, later).contains(&helpful);
        assert!(!(0..50).all(asked));
    }
}

/// Guards against requests whose three asks all go to neighbours that could not help the last time.
#[test]
fn one_neighbour_that_was_lost_is_asked_again_at_a_time() {
    let known = neighbours(30, &[100], Distance::DataCentre);
    let (lost, sound) = known.split_at(20);
    let mut choice = Neighbours::default();
    let begin = Instant::now();
    for neighbour in lost {
        choice.record(neighbour.address, AskOutcome::Lost, begin);
    }
    let later = begin + Duration::from_secs(1);
    let mut asked_again = 0;
    for request in 0..50 {
        let order = choice.order(request, &known, later);
        let is_lost = |a: &&SocketAddr| lost.iter().any(|n| n.address == **a);
        let again = order.iter().filter(is_lost).count();
        assert!(again <= 1, "{order:?}");
        asked_again += again;
    }
    assert!(asked_again > 0);
    for neighbour in sound {
        choice.record(neighbour.address, AskOutcome::Unreachable, later);
    }
    assert_eq!(choice.order(1, &known, later).len(), 1);
}
