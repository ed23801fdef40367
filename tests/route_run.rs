//! Tests of the router with a simulated clock and fixed seeds. The router also asserts its own
//! invariants.

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    time::Duration, //
};

use cuminloom::{
    model::{
        Code,
        RetryPolicy,
        Service,
        Target,
        TargetKind,
        Urgency,
        Verdict, //
    },
    route::{
        Action,
        AttemptOutcome,
        Job,
        Load,
        Router,
        Settings, //
    }, //
};
use rand::{
    RngExt,
    SeedableRng,
    rngs::StdRng, //
};

/// Capacity of each target, in requests.
const CAPACITY: u32 = 8;

/// Time in milliseconds on the simulated clock.
fn at(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// Identifier of the target with this index.
fn target_id(index: usize) -> cuminloom::model::TargetId {
    format!("t{index:02}").into()
}

/// Load report of a target.
fn load(running: u32, leaving: bool) -> Load {
    Load {
        running,
        waiting: 0,
        capacity: CAPACITY,
        leaving,
    }
}

/// Router of one daemon with one service; every fifth target is in another data centre.
fn new_router(targets: usize, rank: u32, daemons: u32) -> Router {
    let mut router = Router::new(Settings::new("dc".into()), u64::from(rank) + 1);
    router.set_fleet(rank, daemons);
    let targets = (0..targets).map(|t| Target {
        id: target_id(t),
        addr: SocketAddr::from(([127, 0, 0, 1], 9000)),
        dc: if t % 5 == 4 { "far" } else { "dc" }.into(),
        fences: true,
    });
    let service = Service {
        id: "s".into(),
        kind: TargetKind::Engine,
        model: "m".into(),
        targets: targets.collect(),
    };
    router.set_service(Duration::ZERO, &service);
    for target in service.targets {
        router.report_load(Duration::ZERO, &target.id, load(0, false));
    }
    router
}

/// Idempotent request with a deadline in 30 s and its own fingerprint.
fn job(ticket: u64, urgency: Urgency, now: Duration) -> Job {
    Job {
        ticket,
        service: "s".into(),
        customer: "c0".into(),
        urgency,
        repeat: RetryPolicy::Idempotent,
        deadline: now + Duration::from_secs(30),
        fingerprint: ticket,
        affinity: 0,
        cost: 500,
    }
}

/// Polls the router and returns its dispatches as ticket and target. Ignores refusals.
fn dispatches(router: &mut Router, now: Duration) -> Vec<(u64, String)> {
    let sent = |action| match action {
        Action::Dispatch { ticket, target, .. } => Some((ticket, target.to_string())),
        Action::Refuse { .. } => None,
    };
    router.poll(now).into_iter().filter_map(sent).collect()
}

/// Open tickets of a random run, with their target; `None` while queued.
type Open = BTreeMap<u64, Option<String>>;

/// Mostly successes, with each other outcome in 1 of 20 cases.
fn random_outcome(rng: &mut StdRng) -> AttemptOutcome {
    match rng.random_range(0..20) {
        0 => AttemptOutcome::Refused,
        1 => AttemptOutcome::Unreachable,
        2 => AttemptOutcome::Crashed(Verdict::MayHaveRun),
        3 => AttemptOutcome::Crashed(Verdict::Ran),
        4 => AttemptOutcome::Crashed(Verdict::NotRun),
        5 => AttemptOutcome::Cancelled,
        _ => AttemptOutcome::Success,
    }
}

/// Checks the actions of a poll and the number of requests per target, and updates `open`.
fn apply_actions(actions: Vec<Action>, open: &mut Open, leaving: &[bool]) {
    for action in actions {
        match action {
            Action::Dispatch { ticket, target, .. } => {
                let index: usize = target[1..].parse().unwrap();
                assert!(!leaving[index], "dispatch to leaving {target}");
                let place = open.get_mut(&ticket).expect("dispatch of a closed ticket");
                assert_eq!(place.replace(target.to_string()), None, "dispatched twice");
            }
            Action::Refuse { ticket, fault } => {
                assert_eq!(open.remove(&ticket), Some(None), "refused while running");
                assert_ne!(fault.verdict, Verdict::Ran);
            }
        }
    }
    for index in 0..leaving.len() {
        let target = target_id(index).to_string();
        let running = open.values().flatten().filter(|t| **t == target).count();
        assert!(running <= CAPACITY as usize, "{running} on {target}");
    }
}

/// Applies 4,000 random events to a router of ten targets and checks each action.
fn random_run(seed: u64) {
    let mut rng = StdRng::seed_from_u64(seed);
    let mut router = new_router(10, seed as u32 % 7, 7);
    router.set_weight("c1".into(), 5);
    let (mut open, mut leaving) = (Open::new(), [false; 10]);
    for step in 1..4_000_u64 {
        let now = at(step * 20);
        let target = rng.random_range(0..10_usize);
        match rng.random_range(0..10) {
            0..4 => {
                let urgent = rng.random_bool(0.4);
                let urgency = if urgent {
                    Urgency::Urgent
                } else {
                    Urgency::Patient
                };
                let offer = Job {
                    customer: format!("c{}", rng.random_range(0..30_u64) / 13).into(),
                    repeat: [RetryPolicy::Idempotent, RetryPolicy::Once][rng.random_range(0..2)],
                    deadline: now + at(rng.random_range(100..20_000)),
                    fingerprint: rng.random_range(0..500),
                    affinity: rng.random_range(0..3),
                    cost: rng.random_range(0..100_000),
                    ..job(step, urgency, now)
                };
                if router.offer(now, offer).is_ok() {
                    open.insert(step, None);
                }
            }
            4..8 if !open.is_empty() => {
                let ticket = *open.keys().nth(rng.random_range(0..open.len())).unwrap();
                let outcome = match &open[&ticket] {
                    Some(_) => random_outcome(&mut rng),
                    None if rng.random_bool(0.1) => AttemptOutcome::Cancelled,
                    None => continue,
                };
                if rng.random_bool(0.5) {
                    router.first_byte(now, ticket);
                }
                if router.finish(now, ticket, outcome).retry {
                    open.insert(ticket, None);
                } else {
                    open.remove(&ticket);
                }
            }
            // The load is unrelated to the running requests, as in a report that lags.
            8 => router.report_load(
                now,
                &target_id(target),
                load(rng.random_range(0..12), leaving[target]),
            ),
            _ if rng.random_bool(0.1) => {
                leaving[target] = !leaving[target];
                if leaving[target] {
                    router.set_leaving(now, &target_id(target));
                } else {
                    router.clear_leaving(now, &target_id(target));
                    router.report_load(now, &target_id(target), load(0, false));
                }
            }
            _ => router.add_strike(now, rng.random_range(0..500), &target_id(target)),
        }
        apply_actions(router.poll(now), &mut open, &leaving);
    }
    finish_all(&mut router, &mut open, &leaving);
}

/// Runs until all requests ended. Guards against tickets that are never dispatched or refused.
fn finish_all(router: &mut Router, open: &mut Open, leaving: &[bool]) {
    for step in 0..2_000 {
        let now = at(80_000 + step * 100);
        let running: Vec<u64> = open
            .iter()
            .filter(|o| o.1.is_some())
            .map(|o| *o.0)
            .collect();
        for ticket in running {
            router.finish(now, ticket, AttemptOutcome::Success);
            open.remove(&ticket);
        }
        apply_actions(router.poll(now), open, leaving);
    }
    assert!(open.is_empty(), "tickets still open: {open:?}");
    assert_eq!((router.stats().queued, router.stats().running), (0, 0));
}

/// Guards against violated invariants: work for leaving targets, double dispatches, more requests
/// than capacity, and requests that never end.
#[test]
fn random_runs_keep_the_invariants() {
    (0..60).for_each(random_run);
}

/// Guards against patient work that occupies the slots that are reserved for urgent work.
#[test]
fn urgent_work_has_headroom() {
    let mut router = new_router(4, 0, 1);
    for ticket in 0..100 {
        router
            .offer(at(1), job(ticket, Urgency::Patient, at(1)))
            .unwrap();
    }
    let patient = dispatches(&mut router, at(1)).len();
    assert!(
        patient < 4 * CAPACITY as usize,
        "{patient} patient requests"
    );
    router
        .offer(at(2), job(200, Urgency::Urgent, at(2)))
        .unwrap();
    assert_eq!(dispatches(&mut router, at(2)).len(), 1);
}

/// Keeps `backlog` requests of each kind (customer, urgency, backlog) open for 20 s, where each
/// request runs for 1 s; returns the number of completions per kind.
fn saturate(router: &mut Router, kinds: &[(&str, Urgency, usize)]) -> Vec<usize> {
    let (mut ticket, mut counts) = (0, vec![0; kinds.len()]);
    let mut open: BTreeMap<u64, usize> = BTreeMap::new();
    let mut ends: Vec<(u64, u64)> = Vec::new();
    for ms in (0..20_000).step_by(50) {
        let (due, later) = ends.into_iter().partition(|(end, _)| *end <= ms);
        ends = later;
        for (_, id) in Vec::from_iter::<Vec<(u64, u64)>>(due) {
            router.finish(at(ms), id, AttemptOutcome::Success);
            counts[open.remove(&id).unwrap()] += 1;
        }
        for (kind, (customer, urgency, backlog)) in kinds.iter().enumerate() {
            for _ in open.values().filter(|k| **k == kind).count()..*backlog {
                ticket += 1;
                let mut offer = job(ticket, *urgency, at(ms));
                offer.customer = (*customer).into();
                if router.offer(at(ms), offer).is_ok() {
                    open.insert(ticket, kind);
                }
            }
        }
        for action in router.poll(at(ms)) {
            match action {
                Action::Dispatch { ticket, .. } => ends.push((ms + 1_000, ticket)),
                Action::Refuse { ticket, .. } => drop(open.remove(&ticket)),
            }
        }
    }
    counts
}

/// Guards against starvation of patient work while urgent work fills all slots.
#[test]
fn patient_work_gets_its_minimum_share() {
    let kinds = [("c0", Urgency::Urgent, 200), ("c0", Urgency::Patient, 50)];
    let [urgent, patient] = saturate(&mut new_router(4, 0, 1), &kinds)[..] else {
        panic!("two kinds");
    };
    let share = patient as f64 / (urgent + patient) as f64;
    assert!(
        share >= 0.9 * Settings::new("dc".into()).patient_min,
        "share {share}"
    );
    assert!(urgent > patient);
}

/// Guards against a large customer that displaces small ones, and against ignored weights.
#[test]
fn customers_share_by_weight_whatever_their_size() {
    let kinds = [
        ("big", Urgency::Patient, 400),
        ("small", Urgency::Patient, 40),
        ("heavy", Urgency::Patient, 60),
    ];
    let mut router = new_router(4, 0, 1);
    router.set_weight("heavy".into(), 2);
    let counts = saturate(&mut router, &kinds);
    let ratio = |a: usize, b: usize| counts[a] as f64 / counts[b] as f64;
    assert!((0.8..1.25).contains(&ratio(0, 1)), "{counts:?}");
    assert!((1.6..2.5).contains(&ratio(2, 1)), "{counts:?}");
}

/// Guards against requests that are queued until their deadline although it cannot be met.
#[test]
fn refuses_at_once_when_the_wait_exceeds_the_deadline() {
    let mut router = new_router(1, 0, 1);
    let counts = saturate(&mut router, &[("c0", Urgency::Urgent, 40)]);
    assert!(counts[0] > 100);
    let now = at(20_000);
    let mut urgent_job = job(900_000, Urgency::Urgent, now);
    // About 33 requests are queued before it, and 8 complete per second.
    urgent_job.deadline = now + at(1_500);
    let fault = router.offer(now, urgent_job).unwrap_err();
    assert_eq!(
        (fault.code, fault.verdict),
        (Code::Overloaded, Verdict::NotRun)
    );
    router
        .offer(now, job(900_001, Urgency::Urgent, now))
        .unwrap();
}

/// Guards against a request that crashes one target after another while its caller resends it to
/// any of 7 daemons, and against refusals of requests that ran on the same targets.
#[test]
fn poison_request_stops_after_two_targets() {
    for seed in 0..20 {
        let mut rng = StdRng::seed_from_u64(seed);
        let mut routers: Vec<Router> = (0..7).map(|rank| new_router(20, rank, 7)).collect();
        let (mut crashed, mut answered) = (Vec::<String>::new(), 0);
        let mut running: Vec<(usize, u64, String)> = Vec::new();
        for step in 1..400_u64 {
            let now = at(step * 50);
            let daemon = rng.random_range(0..7_usize);
            let crashing = step % 10 == 0;
            let mut offer = job(step, Urgency::Urgent, now);
            offer.fingerprint = if crashing { 0 } else { step };
            let _ = routers[daemon].offer(now, offer);
            let mut down = Vec::new();
            for (index, router) in routers.iter_mut().enumerate() {
                for (ticket, target) in dispatches(router, now) {
                    if ticket % 10 == 0 {
                        down.push(target.clone());
                    }
                    running.push((index, ticket, target));
                }
            }
            let ends = running.len().saturating_sub(40);
            let (done, rest) = std::mem::take(&mut running)
                .into_iter()
                .enumerate()
                .partition::<Vec<_>, _>(|(i, r)| down.contains(&r.2) || *i < ends);
            running = rest.into_iter().map(|(_, r)| r).collect();
            for (_, (index, ticket, target)) in done {
                let crash = down.contains(&target);
                let outcome = if crash {
                    AttemptOutcome::Crashed(Verdict::MayHaveRun)
                } else {
                    AttemptOutcome::Success
                };
                answered += u64::from(!crash);
                let follow_up = routers[index].finish(now, ticket, outcome);
                if let Some(strike) = follow_up.strike {
                    routers
                        .iter_mut()
                        .for_each(|r| r.add_strike(now, strike.fingerprint, &strike.target));
                }
            }
            crashed.extend(down);
        }
        assert_eq!(crashed.len(), 2, "seed {seed}: {crashed:?}");
        let fault = routers[3].offer(
            at(20_000),
            Job {
                fingerprint: 0,
                ..job(999, Urgency::Urgent, at(20_000))
            },
        );
        assert_eq!(fault.unwrap_err().code, Code::CrashesTargets);
        // 360 other requests, of which 40 are still running.
        assert!(answered >= 315, "seed {seed}: {answered} answered");
    }
}

/// Guards against new work on a target that the VM list, a plan or its own load report says is
/// leaving.
#[test]
fn leaving_target_gets_nothing() {
    let mut router = new_router(4, 0, 1);
    router.set_leaving(at(1), &target_id(0));
    router.report_load(at(1), &target_id(1), load(0, true));
    // A late report does not cancel the plan.
    router.report_load(at(1), &target_id(0), load(0, false));
    for ticket in 0..100 {
        router
            .offer(at(2), job(ticket, Urgency::Urgent, at(2)))
            .unwrap();
    }
    let sent = dispatches(&mut router, at(2));
    assert!(!sent.is_empty());
    assert!(
        sent.iter().all(|(_, t)| t == "t02" || t == "t03"),
        "{sent:?}"
    );
}

/// Guards against two requests with a strike on one target, from one daemon or from two, and
/// against a second run on the target that crashed before. In both cases another crash would not
/// show which request caused it.
#[test]
fn suspects_run_alone_and_on_another_target() {
    let mut used = Vec::new();
    for rank in 0..2 {
        let mut router = new_router(4, rank, 2);
        for ticket in 0..20 {
            router.add_strike(at(1), ticket, &target_id(rank as usize));
            router
                .offer(at(1), job(ticket, Urgency::Urgent, at(1)))
                .unwrap();
        }
        used.extend(
            dispatches(&mut router, at(1))
                .into_iter()
                .map(|(_, target)| target),
        );
    }
    // Each daemon has two targets for suspects, one of which crashed.
    assert_eq!(used, ["t02", "t03"]);
}

/// Guards against a request that is refused for the lifetime of its strike because the daemon's
/// only target for suspects is the one that crashed, although other targets are usable.
#[test]
fn suspect_uses_other_targets_when_its_own_is_struck() {
    let mut router = new_router(4, 1, 4);
    router.add_strike(at(1), 1, &target_id(1));
    router.offer(at(1), job(1, Urgency::Urgent, at(1))).unwrap();
    assert_eq!(dispatches(&mut router, at(1)), [(1, "t02".to_owned())]);
}

/// Guards against retries that multiply the load while targets refuse many requests.
#[test]
fn retries_are_a_fraction_of_traffic() {
    let mut router = new_router(20, 0, 1);
    for ticket in 0..2_000 {
        let now = at(ticket * 100);
        router
            .offer(now, job(ticket, Urgency::Urgent, now))
            .unwrap();
        let mut outcome = [AttemptOutcome::Refused, AttemptOutcome::Success][ticket as usize % 2];
        while let [(ticket, _)] = dispatches(&mut router, now)[..] {
            router.finish(now, ticket, outcome);
            outcome = AttemptOutcome::Success;
        }
    }
    let (stats, settings) = (router.stats(), Settings::new("dc".into()));
    let bound = settings.retry_burst + settings.retry_fraction * stats.offered as f64;
    assert!(stats.retries as f64 <= bound, "{stats:?}");
    // Nearly all targets stay usable, so the retry budget is what limits the retries.
    assert!(stats.retries as f64 > 0.9 * bound, "{stats:?}");
}
