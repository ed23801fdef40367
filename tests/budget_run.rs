//! Randomised runs of several share managers: nothing is overspent and every token is accounted
//! for.

use std::panic::{
    AssertUnwindSafe,
    catch_unwind, //
};

mod budget_world;

use budget_world::{
    Rules,
    World, //
};

/// Steps of a run in CI; the environment variable `CUMINLOOM_STEPS` overrides it.
const DEFAULT_STEPS: u64 = 600;
/// Number of seeds in CI, counted from 0; the environment variable `CUMINLOOM_SEEDS` overrides it.
const DEFAULT_SEEDS: u64 = 24;

/// Value of an environment variable, or `default` when it is unset or not a number.
fn env_or(name: &str, default: u64) -> u64 {
    let text = std::env::var(name).ok();
    text.and_then(|text| text.parse().ok()).unwrap_or(default)
}

/// Runs random requests and faults for a number of steps, then stops all daemons and checks the
/// accounts.
fn run_with_faults(seed: u64, rules: Rules, steps: u64) -> Result<World, String> {
    let mut world = World::new(seed, rules, &[3_000, 20_000, 200_000]);
    for _ in 0..steps {
        world.send_requests(3, 60);
        if world.random_below(20) == 0 {
            world.inject_fault();
        }
        let ms = match world.random_below(40) {
            0 => 6_000,
            _ => 1 + world.random_below(400),
        };
        world.step(ms)?;
    }
    world.stop_and_account()?;
    Ok(world)
}

/// Guards against overspend and leaks under outages, partitions, lost commits and answers, top-ups,
/// lowered limits, crashes, planned stops, and daemons that resume after their seal.
#[test]
fn random_faults_never_overspend() {
    for seed in 0..env_or("CUMINLOOM_SEEDS", DEFAULT_SEEDS) {
        for rules in [Rules::All, Rules::Unmirrored] {
            let world = run_with_faults(seed, rules, env_or("CUMINLOOM_STEPS", DEFAULT_STEPS));
            let world = world.unwrap_or_else(|err| panic!("seed {seed}, {rules:?}: {err}"));
            assert!(world.admitted > 0, "seed {seed} admitted nothing");
        }
    }
}

/// Part of the harness's message when more was spent than drawn.
const OVERSPEND: &str = "consumed of";

/// Asserts that some seed fails with `fault` when a rule is switched off, and prints it.
fn assert_some_seed_fails(rules: Rules, fault: &str) {
    // Without the rule an assertion of the share manager may fail first; such seeds don't count.
    let result = |seed| {
        catch_unwind(AssertUnwindSafe(|| {
            run_with_faults(seed, rules, DEFAULT_STEPS).err()
        }))
    };
    let found = (0..8 * DEFAULT_SEEDS).find_map(|seed| {
        let text = result(seed).ok()??;
        text.contains(fault).then_some((seed, text))
    });
    let (seed, fault) = found.unwrap_or_else(|| panic!("{rules:?} changes nothing"));
    println!("{rules:?}, seed {seed}: {fault}");
}

/// Without the check of the row's version at each commit, the faults lead to overspend.
#[test]
fn row_version_is_needed() {
    assert_some_seed_fails(Rules::NoVersion, OVERSPEND);
}

/// Without the wait for the witness's acknowledgement, the faults lead to overspend.
#[test]
fn witness_acknowledgement_is_needed() {
    assert_some_seed_fails(Rules::NoAck, OVERSPEND);
}

/// Without the sequence numbers of transfers, repeated transfers lead to overspend.
#[test]
fn transfer_numbers_are_needed() {
    assert_some_seed_fails(Rules::NoDedupe, OVERSPEND);
}

/// Without the witness's acknowledgement of a detachment, the faults lead to overspend.
#[test]
fn acknowledged_detach_is_needed() {
    assert_some_seed_fails(Rules::NoDetachAck, OVERSPEND);
}

/// Without the check of the fence row at each commit, a sealed daemon still writes its share.
#[test]
fn fence_check_is_needed() {
    assert_some_seed_fails(Rules::NoFence, "not sealed");
}

/// Runs requests at seven daemons without faults. At most 20 commits per 1,000 requests are
/// allowed, because the platform takes several hundred writes/s at 17,000 requests/s.
fn run_without_faults(seed: u64, limit: u64) -> World {
    let mut world = World::new(seed, Rules::All, &[limit]);
    world.fault_free = true;
    world.step(100).unwrap();
    for _ in 0..5_000 {
        world.send_requests(4, 60);
        world.step(100).unwrap();
    }
    let bound = (world.admitted + world.refused) * 20 / 1_000;
    assert!(world.commits <= bound, "{} > {bound}", world.commits);
    world
}

/// Guards against a draw for every few requests, and against refusals while tokens are free.
#[test]
fn ample_budget_causes_few_commits_and_no_refusal() {
    for seed in 0..4 {
        let world = run_without_faults(seed, 100_000_000);
        assert_eq!(world.refused, 0);
    }
}

/// Guards against the last tokens of a budget moving back and forth between daemons, and against
/// tokens that no daemon can use.
#[test]
fn nearly_empty_budget_causes_few_commits() {
    for seed in 0..4 {
        let mut world = run_without_faults(seed, 6_000);
        // Each of the seven daemons may be left with less than one request's bound.
        let left = 6_000 - world.consumed("b0");
        assert!(left < 7 * 60, "{left}");
        world.stop_and_account().unwrap();
    }
}
