//! Seeded runs of fleets of 7 to 340 daemons before brittle runners. Bounds are the users': the runners of a service fall
//! over at most 2 times and a tenth of their number; and 0.9 of what is asked for and fits is served.

mod brittle_world;

use brittle_world::{
    Outcome,
    Size,
    World, //
};

/// Part of the demand that fits which must be served.
const MIN_USE: f64 = 0.9;

/// Sizes of the users' small and grown sites, and of the target; plain services and engines.
const SMALL_PLAIN: Size = Size {
    daemons: 7,
    runners: 4,
    slots: 6,
    work_ms: 30,
    stream: false,
    refusals: 3,
    demand: 1.5,
};
const SMALL_ENGINE: Size = Size {
    runners: 9,
    slots: 64,
    work_ms: 2000,
    stream: true,
    ..SMALL_PLAIN
};
const MEDIUM_PLAIN: Size = Size {
    daemons: 81,
    ..SMALL_PLAIN
};
const MEDIUM_ENGINE: Size = Size {
    daemons: 81,
    runners: 90,
    slots: 32,
    ..SMALL_ENGINE
};
const LARGE_ENGINE: Size = Size {
    daemons: 340,
    runners: 100,
    ..MEDIUM_ENGINE
};

/// Demand in relation to what all runners can do: more than fits, as much, and half of it.
const DEMANDS: [f64; 3] = [1.5, 0.95, 0.5];

/// Seeds that run each time.
const SEEDS: std::ops::Range<u64> = 1..4;

fn run(seed: u64, size: Size) -> Outcome {
    let outcome = World::new(seed, size).run();
    println!(
        "{} daemons, {} runners, {} slots, demand {}, seed {seed}: {} falls, {} turned away, {:.3} of what fits served",
        size.daemons,
        size.runners,
        size.slots,
        size.demand,
        outcome.falls,
        outcome.refused,
        outcome.used
    );
    outcome
}

/// Checks that the runners fall over no more often than the rule allows.
fn check_falls(seeds: std::ops::Range<u64>, size: Size) {
    let most = 2.0 + size.runners as f64 / 10.0;
    for (seed, demand) in seeds.flat_map(|s| DEMANDS.map(|d| (s, d))) {
        let falls = run(seed, Size { demand, ..size }).falls;
        assert!(
            falls as f64 <= most,
            "seed {seed}, demand {demand}: {falls} falls"
        );
    }
}

/// Checks that free places are used.
fn check_use(size: Size) {
    for demand in DEMANDS {
        let used = run(1, Size { demand, ..size }).used;
        assert!(
            used >= MIN_USE,
            "demand {demand}: {used:.3} of what fits served"
        );
    }
}

/// Daemons try runners without room until they fall over.
#[test]
fn seven_daemons_spare_brittle_runners() {
    check_falls(SEEDS, SMALL_PLAIN);
    check_falls(SEEDS, SMALL_ENGINE);
}

/// As above: one try of each daemon in a second is far beyond what a runner bears.
#[test]
fn eighty_one_daemons_spare_brittle_runners() {
    check_falls(SEEDS, MEDIUM_PLAIN);
    check_falls(SEEDS, MEDIUM_ENGINE);
}

/// As above, at the target size.
#[test]
fn the_target_size_spares_brittle_runners() {
    check_falls(SEEDS, LARGE_ENGINE);
}

/// Shows that the bound finds an error: daemons that take no notice of what the runners say.
#[test]
fn brittle_runners_fall_over_before_deaf_daemons() {
    for size in [
        SMALL_PLAIN,
        SMALL_ENGINE,
        MEDIUM_PLAIN,
        MEDIUM_ENGINE,
        LARGE_ENGINE,
    ] {
        let mut world = World::new(1, size);
        world.deaf = true;
        let outcome = world.run();
        println!(
            "{} daemons: {} falls, {:.3} of what fits served",
            size.daemons, outcome.falls, outcome.used
        );
        assert!(outcome.falls as f64 > 2.0 + size.runners as f64 / 10.0);
    }
}

/// As the three above, over many seeds.
#[test]
#[ignore = "run by hand with SEEDS=50"]
fn brittle_runners_are_spared_over_many_seeds() {
    let seeds = std::env::var("SEEDS").ok().and_then(|s| s.parse().ok());
    let seeds = 0..seeds.unwrap_or(50);
    for size in [
        SMALL_PLAIN,
        SMALL_ENGINE,
        MEDIUM_PLAIN,
        MEDIUM_ENGINE,
        LARGE_ENGINE,
    ] {
        check_falls(seeds.clone(), size);
    }
}

/// Daemons leave free places of brittle engines unused.
#[test]
fn seven_daemons_use_brittle_engines() {
    check_use(SMALL_ENGINE);
}

/// As above, with few slots.
#[test]
fn seven_daemons_use_brittle_runners() {
    check_use(SMALL_PLAIN);
}

/// As above, with more daemons than slots.
#[test]
fn eighty_one_daemons_use_brittle_engines() {
    check_use(MEDIUM_ENGINE);
}

/// As above, with more daemons than places.
#[test]
fn eighty_one_daemons_use_brittle_runners() {
    check_use(MEDIUM_PLAIN);
}

/// As above, at the target size.
#[test]
fn the_target_size_uses_brittle_engines() {
    check_use(LARGE_ENGINE);
}
