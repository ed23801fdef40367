//! Decisions of a planned stop, over grace periods and requests of any length.

use std::time::Duration;

use cuminloom_edge::decide::{
    PlannedStop,
    RouteTimes, //
};
use quickcheck::{
    Gen,
    QuickCheck, //
};

/// Seed of the generated cases.
const SEED: u64 = 20_261_205;

fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

/// A request is begun that can't end before open ones are answered, or the process ends after the grace period.
#[test]
fn what_is_begun_can_end_in_any_grace_period() {
    fn property(input: (u16, u16, u16, u32)) -> bool {
        let (grace, at, time, began) = input;
        let (grace, at, time) = (ms(u64::from(grace)), ms(u64::from(at)), ms(u64::from(time)));
        let began = ms(u64::from(began));
        let stop = PlannedStop::new(began, grace);
        let now = began + at;
        let ends = !stop.may_send(now, time) || !stop.must_answer(now + time);
        let answered = !stop.accepts(now) || !stop.must_answer(now);
        let exits = at < grace || stop.must_exit(now, true, false);
        let room = grace < ms(1000) || stop.must_exit(began + grace.mul_f64(0.91), true, false);
        ends && answered && exits && room
    }
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(100, SEED))
        .tests(2000)
        .quickcheck(property as fn((u16, u16, u16, u32)) -> bool);
}

/// A stop ends before its tokens are back although the grace period goes on, or while requests are open or still
/// come.
#[test]
fn a_stop_ends_as_soon_as_it_may() {
    let stop = PlannedStop::new(ms(500), ms(8000));
    let exits = |at: u64, open, returned| stop.must_exit(ms(500 + at), open, returned);
    assert!(!exits(2000, false, true));
    assert!(exits(2700, false, true));
    assert!(!exits(2700, false, false));
    // The store may be back after an outage of 5.9 s.
    assert!(!exits(7000, false, false));
    assert!(exits(7200, false, false));
    assert!(exits(6000, false, true));
    assert!(!exits(7000, true, true));
    assert!(exits(7200, true, true));
}

/// A suspended VM, whose steady clock stands still, goes on taking requests after its grace period: time that
/// has passed without being seen counts.
#[test]
fn time_that_passes_at_once_counts() {
    let stop = PlannedStop::new(ms(0), ms(8000));
    assert!(stop.accepts(ms(100)));
    assert!(!stop.accepts(ms(6900)) && stop.must_answer(ms(6900)));
    assert!(!stop.may_send(ms(6900), Duration::ZERO));
}

/// One slow request makes a route look slow for long, or a slow route looks fast.
#[test]
fn times_of_a_route_follow_what_it_does() {
    let mut times = RouteTimes::default();
    let route = "desk".into();
    for _ in 0..50 {
        times.record(&route, ms(20));
    }
    times.record(&route, ms(2000));
    for _ in 0..80 {
        times.record(&route, ms(20));
    }
    assert!(times.most("desk", ms(100)) < ms(60));
    for _ in 0..30 {
        times.record(&route, ms(900));
    }
    assert!(times.most("desk", ms(100)) > ms(850));
    times.retain(|_| false);
    assert_eq!(times.most("desk", ms(100)), ms(400));
}
