//! Seeded runs of several ledgers against a store that fails.

mod budget_world;

use std::time::{
    Duration,
    Instant, //
};

use budget_world::{
    Faults,
    Outcome,
    World,
    limits,
    store::FakeStore, //
};
use cuminloom_edge::prepaid::{
    Admission,
    Ledger, //
};

const SEEDS: u64 = 60;

fn play(seed: u64, total: u64, faults: Faults) -> Outcome {
    let mut world = World::new(seed, 7, limits(6, total), faults);
    world.run(2, 0);
    world.run(15, 60);
    world.top_up("c0", total / 8);
    world.run(20, 60)
}

fn assert_kept(name: &str, total: u64, faults: Faults) {
    for seed in 1..=SEEDS {
        let outcome = play(seed, total, faults);
        assert_eq!(outcome.overspent, 0, "{name}, seed {seed}: {outcome:?}");
        assert_eq!(outcome.uncommitted, 0, "{name}, seed {seed}: {outcome:?}");
        assert_eq!(outcome.unbalanced, 0, "{name}, seed {seed}: {outcome:?}");
        assert!(outcome.served > 0, "{name}, seed {seed}: {outcome:?}");
    }
}

/// Demand of one run, in tokens: 35 s, 60 requests a second, 3,000 tokens in the mean.
const DEMAND: u64 = 6_300_000;

/// Guards against spending beyond the limit while writes are lost and performed late.
#[test]
fn lost_and_late_writes_never_overspend() {
    let faults = Faults {
        lost: 20,
        late: 20,
        ..Faults::default()
    };
    assert_kept("lost and late", DEMAND / 2, faults);
}

/// Guards against a restarted process that spends what the one before has spent.
#[test]
fn kills_and_cuts_never_overspend() {
    let faults = Faults {
        kill: 6,
        cut: 6,
        lost: 5,
        late: 5,
        kill_all_at: Some(20_000),
        ..Faults::default()
    };
    assert_kept("kills and cuts", DEMAND / 2, faults);
}

/// Guards against two faults at once, with VMs that are suspended beside all others.
#[test]
fn all_faults_at_once_never_overspend() {
    let faults = Faults {
        kill: 4,
        cut: 8,
        freeze: 8,
        lost: 10,
        late: 10,
        kill_all_at: Some(26_000),
        cut_all_at: Some(18_000),
        ..Faults::default()
    };
    assert_kept("all faults", DEMAND / 3, faults);
}

/// Shows that the runs above have teeth: a successor that trusts the row overspends.
#[test]
fn trusting_restart_overspends() {
    let faults = Faults {
        kill: 12,
        cut: 12,
        trusting_restart: true,
        ..Faults::default()
    };
    let over = (1..=SEEDS).any(|seed| play(seed, DEMAND / 4, faults).overspent > 0);
    assert!(over, "no seed overspends without the guard");
}

/// Guards against refusals of what would fit when nothing fails and there is enough.
#[test]
fn ample_budgets_refuse_nothing() {
    for seed in 1..=10 {
        let outcome = play(seed, DEMAND * 3, Faults::default());
        assert_eq!(outcome.refused_fitting, 0, "seed {seed}: {outcome:?}");
    }
}

/// Guards against reserves that do not carry through a cut of all machines from the store: the cut
/// may refuse at most one in ten of what would fit.
#[test]
fn a_cut_of_all_machines_is_served_from_reserves() {
    for seed in 1..=10 {
        let faults = Faults {
            cut_all_at: Some(12_000),
            ..Faults::default()
        };
        let outcome = play(seed, DEMAND * 2, faults);
        assert!(
            outcome.refused_fitting * 10 <= outcome.asked,
            "seed {seed}: {outcome:?}"
        );
    }
}

/// Guards against a reserve that is charged as spent because a process started while the store was
/// away: the process before was dead by then, whatever the age of its row.
#[test]
fn a_start_during_a_cut_strands_little() {
    let stranded = |alone: bool| {
        let mut world = World::new(3, 2, limits(2, 2_000_000), Faults::default());
        world.run(6, 20);
        world.restart_in_cut(0, 500, 9_000, alone);
        world.run(14, 0);
        world.unspent_charge(0)
    };
    let (known, unknown) = (stranded(true), stranded(false));
    assert!(known * 4 < unknown, "{known} of {unknown} tokens");
}

/// Guards against reserves of large budgets that are charged as spent after a kill of all processes:
/// each may be charged for 20 s of its demand at most, the aim of `benches/budgets`.
#[test]
fn a_kill_of_all_strands_seconds_of_demand() {
    for seed in 1..=10 {
        let faults = Faults {
            kill_all_at: Some(15_000),
            down: Some(1_500),
            ..Faults::default()
        };
        let mut world = World::new(seed, 7, limits(6, DEMAND * 40), faults);
        world.run(20, 60);
        let stranded: u64 = (0..7).map(|i| world.unspent_charge(i)).sum();
        let demand = DEMAND / 35;
        assert!(
            stranded < 20 * demand,
            "seed {seed}: {stranded} tokens of {demand} a second"
        );
    }
}

/// A load that comes again during a cut: guards against a time to come back at which the reserve still does
/// not cover the request, so that it is refused again.
#[test]
fn a_refused_caller_comes_back_when_the_reserve_is_released() {
    let start = Instant::now();
    let at = |ms: u64| start + Duration::from_millis(ms);
    let mut store = FakeStore::default();
    let mut ledger = Ledger::new("vm-1", 1, None);
    ledger.set_limits(limits(1, 1_000_000));
    let name = "c0";
    for beat in 0..20 {
        ledger.apply_rows(store.rows(beat * 400), true, at(beat * 400), at(beat * 400));
        let plan = ledger.plan_write(at(beat * 400), Vec::new()).unwrap();
        let commit = store.apply(&plan.batch, beat * 400);
        ledger.apply_outcome(&plan, commit, at(beat * 400));
    }
    let cut = 20 * 400;
    let cost = 100_000;
    let admit = ledger.admit(name, cost, at(cut + 1_000));
    let Admission::Release(_) = admit else {
        panic!("{admit:?}");
    };
    let back = at(cut + 1_000) + admit.retry_delay();
    assert_eq!(ledger.admit(name, cost, back), Admission::Taken);
}

/// Takes as much as the ledger gives at `now`, in small requests.
fn drain(ledger: &mut Ledger, now: Instant) -> u64 {
    let mut taken = 0;
    while ledger.admit("c0", 100, now) == Admission::Taken {
        taken += 100;
    }
    taken
}

/// A write that names a new time of the store lands, but its answer is lost. Returns what the holder spends
/// 1 s after that time without the store, and what its successor charges then. With `found` the holder
/// finds its write out by reading before.
fn spend_after_a_lost_answer(found: bool) -> (u64, u64) {
    let start = Instant::now();
    let at = |ms: u64| start + Duration::from_millis(ms);
    let mut store = FakeStore::default();
    let mut holder = Ledger::new("vm-1", 1, None);
    holder.set_limits(limits(1, 1_000_000));
    for ms in [0, 400, 800] {
        holder.apply_rows(store.rows(ms), true, at(ms), at(ms));
        let plan = holder.plan_write(at(ms), Vec::new()).unwrap();
        let commit = store.apply(&plan.batch, ms);
        holder.apply_outcome(&plan, commit, at(ms));
    }
    holder.apply_rows(store.rows(3_800), true, at(3_800), at(3_800));
    let plan = holder.plan_write(at(3_900), Vec::new()).unwrap();
    store.apply(&plan.batch, 3_900);
    if found {
        holder.apply_rows(store.rows(4_000), true, at(4_000), at(4_000));
    }
    let spent = drain(&mut holder, at(4_800));
    let mut successor = Ledger::new("vm-1", 2, None);
    successor.set_limits(limits(1, 1_000_000));
    successor.apply_rows(store.rows(4_800), true, at(4_800), at(4_800));
    let plan = successor.plan_write(at(4_800), Vec::new()).unwrap();
    let commit = store.apply(&plan.batch, 4_800);
    successor.apply_outcome(&plan, commit, at(4_800));
    (spent, successor.held_and_used("c0").1)
}

/// Guards against a release by the last accepted write while a write in doubt names a later time of the
/// store, by which a successor takes the row for young.
#[test]
fn a_write_in_doubt_holds_the_release_back() {
    let (spent, charged) = spend_after_a_lost_answer(false);
    assert!(spent <= charged, "{spent} spent, {charged} charged");
    // The row tells that it is young: the successor charges a part of the reserve, not all of it.
    assert!(charged < 50_000, "{charged}");
}

/// Guards against the same when the holder finds out by reading that its write has landed.
#[test]
fn a_write_found_out_by_reading_restarts_the_release() {
    let (spent, charged) = spend_after_a_lost_answer(true);
    assert!(spent <= charged, "{spent} spent, {charged} charged");
}
