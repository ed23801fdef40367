//! Many daemons that place requests by stale reports: a simulation without a network. Each case compares the
//! rule for services that report three load figures with the one for services that report four.

mod load_world;

use std::{
    collections::HashSet,
    net::SocketAddr,
    ops::RangeInclusive,
    time::{
        Duration,
        Instant, //
    },
};

use cuminloom_edge::fleet::choose_partner;
use cuminloom_edge::{
    adapter::Load,
    decide::{
        Candidate,
        KnownLoad,
        LoadView,
        LoadedCandidate,
        RequestNeeds,
        Speeds,
        select_even,
        select_runner, //
    },
};
use load_world::{
    Outcome,
    Plan,
    Rule,
    run, //
};

/// 83 daemons and three runners of a plain service at 90% of what they can do.
const PLAIN: Plan = Plan {
    daemons: 83,
    runners: 3,
    slots: 6,
    queue: 24,
    work_ms: 120.0,
    prompt_tokens: 0,
    per_s: 135.0,
    burst: 1,
    speeds: &[1.0],
    recovers_ms: None,
    lost: 0,
    run_ms: 30_000,
};

/// 83 daemons and 90 engines.
const ENGINES: Plan = Plan {
    daemons: 83,
    runners: 90,
    slots: 64,
    queue: 10_000,
    work_ms: 1500.0,
    prompt_tokens: 3000,
    per_s: 500.0,
    ..PLAIN
};

/// Seeds of the runs of each plan.
const SEEDS: RangeInclusive<u64> = 1..=5;

/// Figures of all runs of a plan, by both rules.
struct Runs {
    old: Vec<Outcome>,
    new: Vec<Outcome>,
}

/// Runs a plan by both rules and prints the figures.
fn compare(name: &str, plan: &Plan) -> Runs {
    let runs = Runs {
        old: SEEDS.map(|s| run(plan, Rule::LowestScore, s)).collect(),
        new: SEEDS.map(|s| run(plan, Rule::Even, s)).collect(),
    };
    for (old, new) in runs.old.iter().zip(&runs.new) {
        println!("{name}: lowest score {old}; even {new}");
    }
    runs
}

/// Sum of a count over runs.
fn sum(outcomes: &[Outcome], count: fn(&Outcome) -> usize) -> usize {
    outcomes.iter().map(count).sum()
}

/// Largest value of a figure over runs.
fn most(outcomes: &[Outcome], figure: fn(&Outcome) -> f64) -> f64 {
    outcomes.iter().map(figure).fold(0.0, f64::max)
}

/// A runner with 64 slots, far down the affinity ranking, by a young report.
fn site(running: f64) -> LoadedCandidate {
    LoadedCandidate {
        base: Candidate {
            affinity_rank: 9,
            running,
            slots: 64,
            ..Candidate::default()
        },
        known: Some(KnownLoad {
            running,
            waiting: 0.0,
            percent: 100,
            age: Duration::from_millis(50),
        }),
        ..LoadedCandidate::default()
    }
}

/// Thundering herd: guards against runners that reject requests in turns while others have free slots,
/// because all daemons follow the same report.
#[test]
fn herd_of_daemons_fills_no_queue_while_another_runner_is_free() {
    let Runs { old, new } = compare("plain", &PLAIN);
    assert!(sum(&old, |o| o.rejected_beside_free) > 0);
    assert_eq!(sum(&new, |o| o.rejected_beside_free), 0);
    assert!(sum(&new, |o| o.rejected) * 2 < sum(&old, |o| o.rejected));
    assert!(most(&new, |o| o.busiest) <= 1.2);
}

/// Thundering herd on one report: guards against 83 daemons that all choose the runner which a report shows
/// as idle.
#[test]
fn daemons_with_the_same_report_choose_differently() {
    let mut sites = vec![site(3.0); 90];
    sites[40] = site(0.0);
    let needs = RequestNeeds::default();
    let plain: Vec<Candidate> = sites.iter().map(|s| s.base).collect();
    let count = |choose: &dyn Fn(u64) -> Option<usize>| {
        (0..83).filter(|daemon| choose(*daemon) == Some(40)).count()
    };
    assert_eq!(count(&|daemon| select_runner(&plain, &needs, daemon)), 83);
    assert!(count(&|daemon| select_even(&sites, &needs, daemon)) <= 8);
}

/// Bursty arrivals: guards against a burst that goes to the runner which looked idle before it.
#[test]
fn burst_is_spread() {
    let plan = Plan {
        burst: 30,
        per_s: 60.0,
        ..PLAIN
    };
    let Runs { old, new } = compare("burst", &plan);
    assert_eq!(sum(&new, |o| o.rejected_beside_free), 0);
    assert!(sum(&new, |o| o.queued_beside_free) < sum(&old, |o| o.queued_beside_free));
}

/// Many engines: guards against load that is uneven over the engines.
#[test]
fn engines_get_even_load() {
    let Runs { old, new } = compare("engines", &ENGINES);
    assert!(most(&old, |o| o.busiest) > 1.2);
    assert!(most(&new, |o| o.busiest) <= 1.2);
}

/// Slow third of the engines: guards against placement that counts one speed for all.
#[test]
fn slow_engines_get_less() {
    let plan = Plan {
        speeds: &[1.0, 1.0, 5.0],
        per_s: 300.0,
        ..ENGINES
    };
    let Runs { old, new } = compare("slow third", &plan);
    assert!(most(&new, |o| o.p95_ms as f64) * 2.0 < most(&old, |o| o.p95_ms as f64));
}

/// Half of the runners gone: guards against waiting for the load of runners that are no longer there.
#[test]
fn half_of_the_engines_carry_all() {
    let plan = Plan {
        lost: 45,
        ..ENGINES
    };
    let Runs { new, .. } = compare("half gone", &plan);
    assert!(most(&new, |o| o.busiest) <= 1.2);
}

/// An engine that slows and recovers: guards against a figure that keeps it without requests for good.
#[test]
fn recovered_runner_gets_its_share_again() {
    let plan = Plan {
        speeds: &[4.0, 1.0, 1.0],
        recovers_ms: Some(6000),
        runners: 9,
        per_s: 250.0,
        run_ms: 30_000,
        ..PLAIN
    };
    let Runs { old, new } = compare("recovers", &plan);
    assert!(sum(&new, |o| o.rejected) * 10 < sum(&old, |o| o.rejected));
    assert!(new.iter().all(|o| o.slow_share_late > 0.7));
}

/// Prompt caches: guards against reading a long shared part again because another runner is a little freer.
#[test]
fn cached_part_outweighs_small_differences_of_load() {
    let mut sites = vec![site(8.0); 30];
    sites[7].base.affinity_rank = 0;
    sites[7].known = site(9.0).known;
    let needs = RequestNeeds {
        prompt_tokens: 12_000,
        shared_tokens: 5400,
        objective_ms: 1000.0,
    };
    let home = (0..500).filter(|seed| select_even(&sites, &needs, *seed) == Some(7));
    assert_eq!(home.count(), 500);
}

/// Reordered reports: guards against an older report of another daemon in place of a newer one.
#[test]
fn older_reports_change_nothing() {
    let at = Instant::now();
    let load = |running| Load {
        running,
        waiting: 0,
        slots: 6,
        percent: Some(100),
    };
    let mut view = LoadView::default();
    assert!(view.record(at + Duration::from_millis(200), load(5)));
    assert!(!view.record(at, load(0)));
    let known = view.estimate(at + Duration::from_millis(300));
    assert_eq!(known.map(|k| k.running), Some(5.0));
}

/// Engines ten times slower or faster: guards against the speed of one engine as a constant.
#[test]
fn speeds_are_learned_at_any_scale() {
    let now = Instant::now();
    for factor in [0.1, 1.0, 10.0] {
        let mut speeds = Speeds::default();
        for _ in 0..5 {
            let time = Duration::from_secs_f64(0.1 * factor);
            speeds.record_prompt(now, 6400, time, 100);
        }
        let token_ms = speeds.token_ms(now).value;
        assert!((token_ms * 64.0 / factor - 1.0).abs() < 0.01, "{token_ms}");
    }
}

/// Daemons that pass reports on: guards against daemons that no report reaches, and against many open
/// connections.
#[test]
fn reports_reach_all_daemons_of_a_data_centre_over_few_links() {
    let names: Vec<String> = (0..85).map(|i| format!("vm-{i:03}")).collect();
    let address = |i: usize| SocketAddr::from(([127, 0, 0, 1], 1000 + i as u16));
    let partners = |own: usize| -> HashSet<usize> {
        let members: Vec<(String, SocketAddr)> = (0..names.len())
            .filter(|i| *i != own)
            .map(|i| (names[i].clone(), address(i)))
            .collect();
        (0..8)
            .filter_map(|turn| choose_partner(&members, &names[own], turn))
            .map(|a| usize::from(a.port()) - 1000)
            .collect()
    };
    let mut reached = HashSet::from([0]);
    for _ in 0..6 {
        let next: Vec<usize> = reached.iter().flat_map(|i| partners(*i)).collect();
        reached.extend(next);
    }
    assert_eq!(reached.len(), names.len());
    assert!((0..names.len()).all(|i| partners(i).len() <= 4 && !partners(i).contains(&i)));
}
