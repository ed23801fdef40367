//! Which services a daemon takes for lost, from the connections that it opens.

use std::{
    sync::Arc,
    time::{
        Duration,
        Instant, //
    },
};

use cuminloom_edge::decide::{
    Reach,
    ReachState, //
};

/// Runners of the service.
const RUNNERS: usize = 9;

/// A service with [`RUNNERS`] runners, by their numbers.
struct Service {
    reach: Reach,
    begin: Instant,
}

impl Service {
    fn new() -> Service {
        Service {
            reach: Reach::default(),
            begin: Instant::now(),
        }
    }

    fn at(&self, ms: u64) -> Instant {
        self.begin + Duration::from_millis(ms)
    }

    /// Runner `runner` accepts no connection at `ms`.
    fn fail(&mut self, runner: u32, ms: u64) -> ReachState {
        let now = self.at(ms);
        let service = Arc::from("engine");
        self.reach.record_failure(&service, runner, RUNNERS, now);
        self.reach.state("engine")
    }

    /// Runner `runner` accepts a connection at `ms`.
    fn accept(&mut self, runner: u32, ms: u64) -> ReachState {
        let now = self.at(ms);
        self.reach.record_success("engine", runner, RUNNERS, now);
        self.reach.state("engine")
    }

    /// All runners are lost from `ms` on.
    fn cut(&mut self, ms: u64) {
        for runner in 0..3 {
            self.fail(runner, ms + u64::from(runner));
        }
    }
}

/// Guards against a VM that goes on trying runners of which it reaches none.
#[test]
fn loss_is_noticed_after_three_runners() {
    let mut service = Service::new();
    assert_eq!(service.fail(0, 0), ReachState::Open);
    assert_eq!(service.fail(1, 200), ReachState::Open);
    assert_eq!(service.fail(2, 400), ReachState::Lost);
    assert!(!service.reach.is_confirmed("engine"));
    service.fail(3, 600);
    assert!(service.reach.is_confirmed("engine"));
}

/// Guards against requests that are handed over because of one runner.
#[test]
fn silence_of_one_runner_is_no_loss() {
    let mut service = Service::new();
    for ms in [0, 300, 600, 900, 1200] {
        assert_eq!(service.fail(4, ms), ReachState::Open);
    }
    assert_eq!(service.accept(4, 1500), ReachState::Open);
}

/// Guards against failures of runners that ended one after the other, far apart.
#[test]
fn old_failures_are_no_loss() {
    let mut service = Service::new();
    for runner in 0..6 {
        let ms = u64::from(runner) * 3000;
        assert_eq!(service.fail(runner, ms), ReachState::Open);
    }
}

/// Guards against a rack of ended runners that is taken for a cut.
#[test]
fn accepted_connection_shows_that_a_rack_has_ended() {
    let mut service = Service::new();
    service.cut(0);
    let ready: Vec<u32> = (0..RUNNERS as u32).collect();
    let next = service.reach.next_trial("engine", &ready, 0).unwrap();
    assert!(next > 2, "runner {next} has just failed");
    assert_eq!(service.accept(next, 250), ReachState::Open);
}

/// Guards against a VM that uses one runner for all requests because the others are out of its reach.
#[test]
fn most_runners_out_of_reach_are_noticed() {
    let mut service = Service::new();
    for runner in 0..8 {
        service.fail(runner, 100 * u64::from(runner));
        service.accept(8, 100 * u64::from(runner) + 50);
    }
    assert_eq!(service.reach.state("engine"), ReachState::Partial);
    let ready: Vec<u32> = (0..RUNNERS as u32).collect();
    let next = service.reach.next_trial("engine", &ready, 8).unwrap();
    assert_ne!(next, 8, "it is known to be reached");
    for runner in 0..4 {
        service.accept(runner, 900);
    }
    assert_eq!(service.reach.state("engine"), ReachState::Open);
}

/// Guards against a service that stays lost though nothing has failed for long.
#[test]
fn partial_loss_expires() {
    let mut service = Service::new();
    for runner in 0..8 {
        service.fail(runner, 0);
        service.accept(8, 0);
    }
    let later = service.at(5001);
    assert!(service.reach.refresh("engine", RUNNERS, later).is_some());
    assert_eq!(service.reach.state("engine"), ReachState::Open);
}

/// Guards against requests that follow a link that comes and goes every second.
#[test]
fn link_that_comes_and_goes_is_trusted_later_each_time() {
    let mut service = Service::new();
    let mut needed = Vec::new();
    for round in 0..4 {
        let ms = round * 1000;
        service.cut(ms);
        let trials = (1..=20).find(|n| service.accept(5, ms + 100 + n) == ReachState::Open);
        needed.push(trials.unwrap());
    }
    assert_eq!(needed, [1, 2, 4, 8]);
    service.cut(20_000);
    assert_eq!(service.accept(5, 20_100), ReachState::Open);
}

/// Guards against requests for a second service that try runner after runner although the first one is lost.
#[test]
fn second_service_is_lost_after_one_runner() {
    let mut service = Service::new();
    let other = Arc::from("embedder");
    let now = service.at(0);
    service.reach.record_failure(&other, 1, RUNNERS, now);
    assert_eq!(service.reach.state(&other), ReachState::Open);
    service.cut(10);
    let now = service.at(20);
    service.reach.record_failure(&other, 2, RUNNERS, now);
    assert_eq!(service.reach.state(&other), ReachState::Lost);
    assert!(service.reach.any_lost());
}
