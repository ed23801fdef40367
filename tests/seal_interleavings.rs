//! Every combination of prompt, lost and late messages and commit answers around attach, seal,
//! detach and the replacement of the witness, for two nodes. They guard against an operation that
//! counts although neither the old nor the new witness would account for it.

#[allow(dead_code)] // Each test file uses a part of the world.
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

/// Decisions per run in a plain run; `CUMINLOOM_DECISIONS` raises it.
const DECISIONS: u32 = 5;
/// Steps of 50 ms after the faults.
const HEAL: u64 = 800;
/// Steps in which a planned stop must end.
const STOP: u64 = 1_600;

fn script(mut code: u32, decisions: u32) -> impl Iterator<Item = DeliveryMode> {
    (0..decisions).map(move |_| {
        let fate =
            [DeliveryMode::Prompt, DeliveryMode::Lost, DeliveryMode::Late][(code % 3) as usize];
        code /= 3;
        fate
    })
}

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

/// Runs `fault` with every script, `warm` seconds after the start.
fn every_script(warm: u64, fault: impl Fn(&mut World), seconds: u64) {
    let decisions = env::var("CUMINLOOM_DECISIONS").map_or(DECISIONS, |n| n.parse().unwrap());
    for code in 0..3_u32.pow(decisions) {
        println!("script {code}");
        let mut world = World::new(7, 2, 1, DisabledGuard::None);
        world.add_budget("chat", 4_000);
        run(&mut world, warm);
        fault(&mut world);
        world.script = script(code, decisions).collect();
        run(&mut world, seconds);
        world.heal_and_stop(HEAL, STOP);
    }
}

#[test]
fn attach() {
    every_script(0, |_| {}, 6);
}

#[test]
fn seal_of_a_paused_daemon() {
    // The script decides from the moment of the seal, as the daemon resumes.
    let fault = |world: &mut World| {
        world.procs[0].paused_until = world.now + Duration::from_millis(10_300);
        run(world, 9);
    };
    every_script(5, fault, 8);
}

#[test]
fn detach_and_attach_again() {
    let fault = |world: &mut World| {
        world.procs[0].cut_off_until = world.now + Duration::from_secs(6);
        run(world, 2);
    };
    every_script(5, fault, 12);
}

#[test]
fn replacement_of_the_witness() {
    let fault = |world: &mut World| {
        world.crash(1);
        world.procs[1].restart_at = world.now + Duration::from_millis(500);
    };
    every_script(5, fault, 14);
}
