//! This daemon's shares of the limits that runners name.

use std::time::{
    Duration,
    Instant, //
};

use cuminloom_edge::decide::{
    Candidate,
    LimitReport,
    RequestNeeds,
    RunnerKey,
    RunnerLimits,
    Turn,
    count_sharers,
    select_runner, //
};
use quickcheck::{
    Gen,
    QuickCheck, //
};

const RUNNER: RunnerKey = 7;

/// Rank of the first of `members` daemons.
fn first_of(members: usize) -> impl Fn(RunnerKey) -> (Option<usize>, usize) {
    move |_| (Some(0), members)
}

/// Requests that a daemon sends to the runner in `time`, if it always has one.
fn count_sends(limits: &mut RunnerLimits, start: Instant, time: Duration) -> usize {
    let steps = (0..time.as_millis() as u64).step_by(5);
    let mut sends = 0;
    for ms in steps {
        let now = start + Duration::from_millis(ms);
        if limits.turn(RUNNER, now) == Turn::Ready {
            limits.take(RUNNER, now);
            sends += 1;
        }
    }
    sends
}

/// The shares of all daemons add up to more than the rule allows, or to less than the limit.
#[test]
fn shares_add_up_to_the_limit() {
    fn adds_up(limit: u16, members: u16) -> bool {
        let limit = f64::from(limit) / 100.0 + 0.1;
        let members = usize::from(members % 400) + 1;
        let now = Instant::now();
        let share = |rank| {
            let mut limits = RunnerLimits::default();
            limits.record(RUNNER, Some(limit), 0, now, |_| (Some(rank), members));
            limits.rate(RUNNER, now).unwrap()
        };
        let shares: Vec<f64> = (0..members).map(share).collect();
        let sharers = shares.iter().filter(|rate| **rate > 0.0).count();
        let total: f64 = shares.iter().sum();
        // Each sharer may send one at once; 4 s of the limit come on top.
        sharers == count_sharers(limit, members)
            && sharers as f64 + 4.0 * limit <= 1.5 * 4.0 * limit + 5.0
            && (total - limit).abs() < 1e-6
    }
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(2000, 1))
        .tests(200)
        .quickcheck(adds_up as fn(u16, u16) -> bool);
}

/// A share is left lying, or exceeded.
#[test]
fn a_share_is_used_and_not_exceeded() {
    let now = Instant::now();
    for (limit, members) in [(1.3, 1), (1.3, 7), (10.0, 81), (0.3, 340)] {
        let mut limits = RunnerLimits::default();
        limits.record(RUNNER, Some(limit), 0, now, first_of(members));
        let sends = count_sends(&mut limits, now, Duration::from_secs(100)) as f64;
        let share = 100.0 * limit / count_sharers(limit, members) as f64;
        assert!(
            sends <= share + 1.0,
            "{limit} {members}: {sends} of {share}"
        );
        assert!(
            sends >= 0.8 * share - 1.0,
            "{limit} {members}: {sends} of {share}"
        );
    }
}

/// A daemon that had no requests for long sends many at once.
#[test]
fn an_idle_share_saves_no_more_than_one_request() {
    let now = Instant::now();
    let mut limits = RunnerLimits::default();
    limits.record(RUNNER, Some(5.0), 0, now, first_of(1));
    let later = now + Duration::from_secs(20);
    assert_eq!(
        count_sends(&mut limits, later, Duration::from_millis(100)),
        1
    );
}

/// A limit of 0 stops the runner for good.
#[test]
fn one_daemon_goes_on_asking_a_runner_that_takes_none() {
    let now = Instant::now();
    let mut limits = RunnerLimits::default();
    limits.record(RUNNER, Some(0.0), 0, now, first_of(340));
    let sends = count_sends(&mut limits, now, Duration::from_secs(21));
    assert_eq!(sends, 2);
    let mut other = RunnerLimits::default();
    other.record(RUNNER, Some(0.0), 0, now, |_| (Some(1), 340));
    assert_eq!(other.turn(RUNNER, now), Turn::Never);
}

/// A report from another daemon replaces a newer observation, or has a value that is no limit.
#[test]
fn the_newest_observation_counts() {
    let now = Instant::now();
    let report = |limit, at| LimitReport {
        runner: RUNNER,
        limit,
        at,
    };
    let mut limits = RunnerLimits::default();
    limits.merge(&[report(Some(1.0), 1000)], 2000, now, first_of(1));
    assert_eq!(limits.rate(RUNNER, now), Some(1.0));
    limits.record(RUNNER, Some(3.0), 1500, now, first_of(1));
    limits.merge(&[report(Some(1.0), 1000)], 2000, now, first_of(1));
    assert_eq!(limits.rate(RUNNER, now), Some(3.0));
    limits.merge(&[report(None, 1800)], 2000, now, first_of(1));
    assert_eq!(limits.turn(RUNNER, now), Turn::Unlimited);
    for odd in [f64::NAN, f64::INFINITY, -1.0] {
        limits.merge(&[report(Some(odd), 1900)], 2000, now, first_of(1));
        assert_eq!(limits.turn(RUNNER, now), Turn::Unlimited, "{odd}");
    }
}

/// A limit of which nobody hears any more holds for ever.
#[test]
fn a_limit_without_news_is_forgotten() {
    let now = Instant::now();
    let mut limits = RunnerLimits::default();
    limits.record(RUNNER, Some(1.0), 1000, now, first_of(1));
    limits.update_shares(60_000, now, first_of(1));
    assert!(!limits.is_empty());
    limits.update_shares(61_001, now, first_of(1));
    assert!(limits.is_empty());
}

/// All daemons write the same limit to their rows.
#[test]
fn few_daemons_report_a_limit() {
    let now = Instant::now();
    let reports = |rank| {
        let mut limits = RunnerLimits::default();
        limits.record(RUNNER, Some(1.0), 1000, now, |_| (Some(rank), 81));
        let known = LimitReport {
            runner: RUNNER,
            limit: Some(1.0),
            at: 990,
        };
        limits.merge(&[known], 1000, now, |_| (Some(rank), 81));
        limits.own_reports(1000).len()
    };
    assert_eq!((0..81).map(reports).sum::<usize>(), 2);
}

/// A share is left lying because other runners score better, or taken from where a large prompt belongs.
#[test]
fn a_turn_is_used_for_a_small_prompt() {
    let idle = Candidate {
        affinity_rank: 9,
        slots: 64,
        ..Candidate::default()
    };
    let ready = Candidate {
        turn: Turn::Ready,
        running: 10.0,
        ..idle
    };
    let small = RequestNeeds {
        prompt_tokens: 800,
        shared_tokens: 200,
        objective_ms: 600.0,
    };
    assert_eq!(select_runner(&[idle, ready], &small, 0), Some(1));
    let home = Candidate {
        affinity_rank: 0,
        ..idle
    };
    let large = RequestNeeds {
        prompt_tokens: 12_000,
        shared_tokens: 5400,
        objective_ms: 1000.0,
    };
    assert_eq!(select_runner(&[home, ready], &large, 0), Some(0));
    let at = Turn::At(Instant::now());
    let waiting = Candidate { turn: at, ..ready };
    assert_eq!(select_runner(&[waiting], &small, 0), None);
}
