//! Runs two nodes with every combination of prompt, lost and late messages and commit replies while
//! a witness is attached, an incarnation is sealed or detached, and a witness is replaced. Guards
//! against an operation that counts although neither the old nor the new witness would account for
//! it.

#[allow(dead_code)] // Each test file uses only a part of the module.
mod world;

use std::{
    env,
    time::Duration, //
};

use world::{
    DeliveryMode,
    DisabledGuard,
    World, //
};

/// Default number of messages and replies per run whose fate is enumerated; the environment
/// variable `CUMINLOOM_DECISIONS` overrides it.
const DECISIONS: u32 = 5;
/// Steps of 50 ms for the recovery after the faults.
const RECOVERY_STEPS: u64 = 800;
/// Steps of 50 ms within which a planned stop must end.
const MAX_STOP_STEPS: u64 = 1_600;

/// Returns the fates of the next messages and replies: the digits of `code` to base 3.
fn script(mut code: u32, decisions: u32) -> impl Iterator<Item = DeliveryMode> {
    (0..decisions).map(move |_| {
        let fate =
            [DeliveryMode::Prompt, DeliveryMode::Lost, DeliveryMode::Late][(code % 3) as usize];
        code /= 3;
        fate
    })
}

/// Runs the world for some seconds; both nodes admit a request every 200 ms.
fn run(world: &mut World, seconds: u64) {
    let until = world.now + Duration::from_secs(seconds);
    while world.now < until {
        let budget = world.budgets[0].clone();
        if world.now.as_millis().is_multiple_of(200) {
            world.admit(0, &budget);
            world.admit(1, &budget);
        }
        world.step();
    }
}

/// Runs every script: starts a world, injects `fault` after `warmup_s` seconds, runs for `fault_s`
/// seconds with the script, and checks that the world settles.
fn run_scripts(warmup_s: u64, fault: impl Fn(&mut World), fault_s: u64) {
    let decisions = env::var("CUMINLOOM_DECISIONS").map_or(DECISIONS, |n| n.parse().unwrap());
    for code in 0..3_u32.pow(decisions) {
        println!("script {code}");
        let mut world = World::new(7, 2, 1, DisabledGuard::None);
        world.add_budget("chat", 4_000);
        run(&mut world, warmup_s);
        fault(&mut world);
        world.script = script(code, decisions).collect();
        run(&mut world, fault_s);
        world.heal_and_stop(RECOVERY_STEPS, MAX_STOP_STEPS);
    }
}

/// The witness is attached at the start.
#[test]
fn attach() {
    run_scripts(0, |_| {}, 6);
}

/// A daemon is paused for 10.3 s and resumes while it is being sealed.
#[test]
fn seal_of_a_paused_daemon() {
    // The script starts at the time of the seal, shortly before the daemon resumes.
    let fault = |world: &mut World| {
        world.procs[0].paused_until = world.now + Duration::from_millis(10_300);
        run(world, 9);
    };
    run_scripts(5, fault, 8);
}

/// A daemon cannot reach the platform for 6 s, detaches, and attaches again.
#[test]
fn detach_and_attach_again() {
    let fault = |world: &mut World| {
        world.procs[0].cut_off_until = world.now + Duration::from_secs(6);
        run(world, 2);
    };
    run_scripts(5, fault, 12);
}

/// The witness crashes and restarts after 500 ms, so another incarnation becomes the witness.
#[test]
fn replacement_of_the_witness() {
    let fault = |world: &mut World| {
        world.crash(1);
        world.procs[1].restart_at = world.now + Duration::from_millis(500);
    };
    run_scripts(5, fault, 14);
}
