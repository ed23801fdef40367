//! Cold runners, which crash at a rate well above the one that they tolerate.

use std::{
    collections::VecDeque,
    time::{
        Duration,
        Instant, //
    },
};

use cuminloom_edge::decide::{
    ColdLimit,
    RunnerLimits,
    Turn,
    rendezvous_weight, //
};
use rand::{
    RngExt,
    SeedableRng,
    rngs::StdRng, //
};

/// The users' figures: 9 requests a second, and at most 18.5 in any one second.
const LIMIT: ColdLimit = ColdLimit {
    rate: 9.0,
    most: 18.5,
};

const RUNNER: u32 = 7;

/// Time for which the runner stays cold, and the steps in which daemons send.
const COLD_MS: u64 = 6_000;
const STEP_MS: u64 = 10;

/// Rank of the daemon `own` among `count`, of which it knows only a random `share`, and the number that it knows.
fn rank(own: usize, count: usize, share: f64, random: &mut StdRng) -> (Option<usize>, usize) {
    let weight = |daemon: usize| rendezvous_weight(u64::from(RUNNER), &format!("vm-{daemon}"));
    let known: Vec<usize> = (0..count)
        .filter(|d| *d == own || random.random_bool(share))
        .collect();
    let before = known.iter().filter(|d| weight(**d) > weight(own)).count();
    (Some(before), known.len())
}

/// Most requests in any one second, and all of them, that the runner gets from `count` daemons with endless
/// demand, which know `share` of each other. They restart now and then, and are told again that it is cold.
fn run(count: usize, share: f64, seed: u64) -> (usize, usize) {
    let mut random = StdRng::seed_from_u64(seed);
    let start = Instant::now();
    let until = start + Duration::from_millis(COLD_MS);
    let mut daemons: Vec<RunnerLimits> = (0..count).map(|_| RunnerLimits::default()).collect();
    for (i, limits) in daemons.iter_mut().enumerate() {
        let rank = rank(i, count, share, &mut random);
        assert!(limits.set_cold(RUNNER, LIMIT, until, start, |_| rank));
    }
    let mut recent = VecDeque::new();
    let (mut most, mut total) = (0, 0);
    for ms in (0..COLD_MS).step_by(STEP_MS as usize) {
        let now = start + Duration::from_millis(ms);
        for (i, limits) in daemons.iter_mut().enumerate() {
            if random.random_bool(0.002) {
                *limits = RunnerLimits::default();
                let rank = rank(i, count, share, &mut random);
                limits.set_cold(RUNNER, LIMIT, until, now, |_| rank);
            }
            if limits.turn(RUNNER, now).is_now() {
                limits.take(RUNNER, now);
                recent.push_back(ms);
                total += 1;
            }
        }
        while recent.front().is_some_and(|at| at + 1000 < ms) {
            recent.pop_front();
        }
        most = most.max(recent.len());
    }
    (most, total)
}

/// The shares of all informed daemons together exceed what a cold runner tolerates, also when they know
/// different members and restart; or the runner gets next to nothing.
#[test]
fn informed_daemons_keep_the_bound_of_a_cold_runner() {
    for count in [7, 88, 340] {
        for (share, seed) in [(1.0, 1), (0.9, 2), (0.8, 3)] {
            let (most, total) = run(count, share, seed);
            println!("{count} daemons that know {share}: at most {most} in 1 s, {total} in 6 s");
            assert!(most as f64 <= LIMIT.most, "{most} in 1 s");
            assert!(total >= 12, "{total} in 6 s");
        }
    }
}

/// A cold time that is extended starts anew with a burst, or one that is over still limits.
#[test]
fn an_extended_cold_time_keeps_the_share() {
    let start = Instant::now();
    let at = |ms| start + Duration::from_millis(ms);
    let mut limits = RunnerLimits::default();
    let set = |limits: &mut RunnerLimits, until, now| {
        limits.set_cold(RUNNER, LIMIT, until, now, |_| (Some(0), 1))
    };
    assert!(set(&mut limits, at(3000), start));
    limits.take(RUNNER, at(1000));
    assert!(!set(&mut limits, at(4000), at(1000)));
    assert!(!limits.turn(RUNNER, at(1001)).is_now());
    assert!(!set(&mut limits, at(2000), at(1500)), "an older report");
    limits.take(RUNNER, at(3500));
    assert!(matches!(limits.turn(RUNNER, at(3500)), Turn::At(_)));
    assert_eq!(limits.turn(RUNNER, at(4000)), Turn::Unlimited);
}
