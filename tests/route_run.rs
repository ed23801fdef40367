//! Seeded runs of the router with a fake clock; the router asserts its own invariants as well.

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    time::Duration, //
};

use cuminloom::{
    model::{
        Code,
        Repeat,
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

const CAPACITY: u32 = 8;

fn at(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn name(target: usize) -> cuminloom::model::TargetId {
    format!("t{target:02}").into()
}

fn load(running: u32, leaving: bool) -> Load {
    Load {
        running,
        waiting: 0,
        capacity: CAPACITY,
        leaving,
    }
}

fn router(targets: usize, rank: u32, daemons: u32) -> Router {
    let mut router = Router::new(Settings::new("dc".into()), u64::from(rank) + 1);
    router.set_fleet(rank, daemons);
    let targets = (0..targets).map(|t| Target {
        id: name(t),
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

fn job(ticket: u64, urgency: Urgency, now: Duration) -> Job {
    Job {
        ticket,
        service: "s".into(),
        customer: "c0".into(),
        urgency,
        repeat: Repeat::Idempotent,
        deadline: now + Duration::from_secs(30),
        fingerprint: ticket,
        affinity: 0,
        cost: 500,
    }
}

/// Polls and returns the dispatches as ticket and target; refusals are dropped.
fn dispatches(router: &mut Router, now: Duration) -> Vec<(u64, String)> {
    let sent = |action| match action {
        Action::Dispatch { ticket, target, .. } => Some((ticket, target.to_string())),
        Action::Refuse { .. } => None,
    };
    router.poll(now).into_iter().filter_map(sent).collect()
}

/// Open tickets of a random run: `None` while queued.
type Open = BTreeMap<u64, Option<String>>;

fn random_ending(rng: &mut StdRng) -> AttemptOutcome {
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

fn apply(actions: Vec<Action>, open: &mut Open, leaving: &[bool]) {
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
        let target = name(index).to_string();
        let running = open.values().flatten().filter(|t| **t == target).count();
        assert!(running <= CAPACITY as usize, "{running} on {target}");
    }
}

fn random_run(seed: u64) {
    let mut rng = StdRng::seed_from_u64(seed);
    let mut router = router(10, seed as u32 % 7, 7);
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
                    repeat: [Repeat::Idempotent, Repeat::Once][rng.random_range(0..2)],
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
                let ended = match &open[&ticket] {
                    Some(_) => random_ending(&mut rng),
                    None if rng.random_bool(0.1) => AttemptOutcome::Cancelled,
                    None => continue,
                };
                if rng.random_bool(0.5) {
                    router.first_byte(now, ticket);
                }
                if router.finish(now, ticket, ended).retry {
                    open.insert(ticket, None);
                } else {
                    open.remove(&ticket);
                }
            }
            // The figures are unrelated to what runs, as in a report that lags.
            8 => router.report_load(
                now,
                &name(target),
                load(rng.random_range(0..12), leaving[target]),
            ),
            _ if rng.random_bool(0.1) => {
                leaving[target] = !leaving[target];
                if leaving[target] {
                    router.set_leaving(now, &name(target));
                } else {
                    router.clear_leaving(now, &name(target));
                    router.report_load(now, &name(target), load(0, false));
                }
            }
            _ => router.add_strike(now, rng.random_range(0..500), &name(target)),
        }
        apply(router.poll(now), &mut open, &leaving);
    }
    settle(&mut router, &mut open, &leaving);
}

/// Ends all requests; guards against tickets that are never dispatched or refused.
fn settle(router: &mut Router, open: &mut Open, leaving: &[bool]) {
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
        apply(router.poll(now), open, leaving);
    }
    assert!(open.is_empty(), "tickets without an end: {open:?}");
    assert_eq!((router.stats().queued, router.stats().running), (0, 0));
}

#[test]
fn random_runs_keep_the_invariants() {
    (0..60).for_each(random_run);
}

/// Guards against patient work that takes the slots urgent work needs.
#[test]
fn urgent_work_has_headroom() {
    let mut router = router(4, 0, 1);
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

/// Keeps `backlog` requests of each kind queued for 20 s in which each request takes 1 s; returns
/// the completions per kind.
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

/// Guards against urgent work that takes all slots for as long as it lasts.
#[test]
fn patient_work_gets_its_minimum_share() {
    let kinds = [("c0", Urgency::Urgent, 200), ("c0", Urgency::Patient, 50)];
    let [urgent, patient] = saturate(&mut router(4, 0, 1), &kinds)[..] else {
        panic!("two kinds");
    };
    let share = patient as f64 / (urgent + patient) as f64;
    assert!(
        share >= 0.9 * Settings::new("dc".into()).patient_min,
        "share {share}"
    );
    assert!(urgent > patient);
}

/// Guards against a large customer that crowds out small ones, and against ignored weights.
#[test]
fn customers_share_by_weight_whatever_their_size() {
    let kinds = [
        ("big", Urgency::Patient, 400),
        ("small", Urgency::Patient, 40),
        ("heavy", Urgency::Patient, 60),
    ];
    let mut router = router(4, 0, 1);
    router.set_weight("heavy".into(), 2);
    let counts = saturate(&mut router, &kinds);
    let ratio = |a: usize, b: usize| counts[a] as f64 / counts[b] as f64;
    assert!((0.8..1.25).contains(&ratio(0, 1)), "{counts:?}");
    assert!((1.6..2.5).contains(&ratio(2, 1)), "{counts:?}");
}

/// Guards against requests that wait until their deadline although it cannot be met.
#[test]
fn refuses_at_once_when_the_wait_exceeds_the_deadline() {
    let mut router = router(1, 0, 1);
    let counts = saturate(&mut router, &[("c0", Urgency::Urgent, 40)]);
    assert!(counts[0] > 100);
    let now = at(20_000);
    let mut hurried = job(900_000, Urgency::Urgent, now);
    hurried.deadline = now + at(1_500); // About 33 requests are ahead, at 8 per second.
    let fault = router.offer(now, hurried).unwrap_err();
    assert_eq!(
        (fault.code, fault.verdict),
        (Code::Overloaded, Verdict::NotRun)
    );
    router
        .offer(now, job(900_001, Urgency::Urgent, now))
        .unwrap();
}

/// Guards against a poison request that crashes one target after the other when its caller
/// resends it to any of 7 daemons, and against refusals of requests that ran beside it.
#[test]
fn poison_request_stops_after_two_targets() {
    for seed in 0..20 {
        let mut rng = StdRng::seed_from_u64(seed);
        let mut routers: Vec<Router> = (0..7).map(|rank| router(20, rank, 7)).collect();
        let (mut crashed, mut answered) = (Vec::<String>::new(), 0);
        let mut running: Vec<(usize, u64, String)> = Vec::new();
        for step in 1..400_u64 {
            let now = at(step * 50);
            let daemon = rng.random_range(0..7_usize);
            let poison = step % 10 == 0;
            let mut offer = job(step, Urgency::Urgent, now);
            offer.fingerprint = if poison { 0 } else { step };
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
                let ended = if crash {
                    AttemptOutcome::Crashed(Verdict::MayHaveRun)
                } else {
                    AttemptOutcome::Success
                };
                answered += u64::from(!crash);
                let after = routers[index].finish(now, ticket, ended);
                if let Some(strike) = after.strike {
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
        // 360 bystanders, of which 40 still run.
        assert!(answered >= 315, "seed {seed}: {answered} answered");
    }
}

/// Guards against new work on a target after any of the three sources said that it leaves.
#[test]
fn leaving_target_gets_nothing() {
    let mut router = router(4, 0, 1);
    router.set_leaving(at(1), &name(0));
    router.report_load(at(1), &name(1), load(0, true));
    router.report_load(at(1), &name(0), load(0, false)); // A late report does not cancel the plan.
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

/// Guards against two suspects on one target, from one daemon or from two, and against a second
/// run on the target that the request crashed before: neither would tell which request is at fault.
#[test]
fn suspects_run_alone_and_on_another_target() {
    let mut used = Vec::new();
    for rank in 0..2 {
        let mut router = router(4, rank, 2);
        for ticket in 0..20 {
            router.add_strike(at(1), ticket, &name(rank as usize));
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
    // Each daemon owns two targets, one of which crashed.
    assert_eq!(used, ["t02", "t03"]);
}

/// Guards against a request that is refused for as long as its strike lasts, because the daemon's
/// own part of the targets is the one that crashed, although the other targets are up.
#[test]
fn suspect_uses_another_part_when_its_own_is_struck() {
    let mut router = router(4, 1, 4);
    router.add_strike(at(1), 1, &name(1));
    router.offer(at(1), job(1, Urgency::Urgent, at(1))).unwrap();
    assert_eq!(dispatches(&mut router, at(1)), [(1, "t02".to_owned())]);
}

/// Guards against retries that multiply the load when targets refuse much of it.
#[test]
fn retries_are_a_fraction_of_traffic() {
    let mut router = router(20, 0, 1);
    for ticket in 0..2_000 {
        let now = at(ticket * 100);
        router
            .offer(now, job(ticket, Urgency::Urgent, now))
            .unwrap();
        let mut ended = [AttemptOutcome::Refused, AttemptOutcome::Success][ticket as usize % 2];
        while let [(ticket, _)] = dispatches(&mut router, now)[..] {
            router.finish(now, ticket, ended);
            ended = AttemptOutcome::Success;
        }
    }
    let (figures, settings) = (router.stats(), Settings::new("dc".into()));
    let bound = settings.retry_burst + settings.retry_fraction * figures.offered as f64;
    assert!(figures.retries as f64 <= bound, "{figures:?}");
    // Nearly all targets stay in use, so the budget is what limits the retries.
    assert!(figures.retries as f64 > 0.9 * bound, "{figures:?}");
}
