//! Cost of the router as targets and queued requests grow.

use std::{
    collections::VecDeque,
    net::SocketAddr,
    time::{
        Duration,
        Instant, //
    },
};

use cuminloom::{
    model::{
        RetryPolicy,
        Service,
        Target,
        TargetKind,
        Urgency, //
    },
    route::{
        Action,
        AttemptOutcome,
        Job,
        Load,
        Router,
        Settings, //
    },
};

use super::alloc;

const ROUNDS: u64 = 2_000;
/// Time between requests of a daemon at the target size: 50 per second.
const GAP: Duration = Duration::from_millis(20);
const DEADLINE: Duration = Duration::from_secs(100_000);

/// Cost of one request, from its offer to its end.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Cost {
    pub(crate) time: Duration,
    pub(crate) calls: f64,
    /// Bytes in use per target, and per queued request.
    pub(crate) per_target: u64,
    pub(crate) per_queued: u64,
}

fn job(ticket: u64) -> Job {
    Job {
        ticket,
        service: "service-01".into(),
        customer: format!("customer-{:04}", ticket % 100).into(),
        urgency: match ticket.is_multiple_of(3) {
            true => Urgency::Urgent,
            false => Urgency::Patient,
        },
        repeat: RetryPolicy::Idempotent,
        deadline: DEADLINE,
        fingerprint: ticket,
        affinity: ticket % 50,
        cost: 229,
    }
}

fn service(targets: usize) -> Service {
    let target = |t: usize| Target {
        id: format!("runner-{t:04}").into(),
        addr: SocketAddr::from(([127, 0, 0, 1], 9_000 + t as u16)),
        dc: format!("dc-{:02}", t % 21).into(),
        fences: true,
    };
    Service {
        id: "service-01".into(),
        kind: TargetKind::Engine,
        model: "model-01".into(),
        targets: (0..targets).map(target).collect(),
    }
}

/// Measures a router with so many targets, each of which reports, and so many requests that wait.
pub(crate) fn measure(targets: usize, queued: u64) -> Cost {
    let mut now = Duration::from_secs(1);
    let mut settings = Settings::new("dc-00".into());
    settings.customer_max = settings.max_queue;
    let before = alloc::live();
    let mut router = Router::new(settings, 1);
    router.set_fleet(0, 340);
    let service = service(targets);
    router.set_service(now, &service);
    for target in &service.targets {
        router.report_load(now, &target.id, load());
    }
    let per_target = (alloc::live() - before) / targets as u64;
    let mut ticket = 0;
    let mut running = VecDeque::new();
    // Fills every slot, so that the queue grows, when requests are to wait.
    while router.stats().queued < queued {
        ticket += 1;
        if router.offer(now, job(ticket)).is_err() {
            break;
        }
        dispatched(&mut router, now, &mut running);
    }
    let before = alloc::live();
    let waits = 100;
    let offered: u64 = match queued {
        0 => 0,
        _ => (1..=waits)
            .map(|n| u64::from(router.offer(now, job(ticket + n)).is_ok()))
            .sum(),
    };
    let per_queued = (alloc::live() - before) / offered.max(1);
    ticket += waits;
    let (calls, start) = (alloc::calls(), Instant::now());
    for _ in 0..ROUNDS {
        now += GAP;
        ticket += 1;
        let _ = router.offer(now, job(ticket));
        dispatched(&mut router, now, &mut running);
        if let Some(done) = running.pop_front() {
            router.first_byte(now, done);
            router.finish(now, done, AttemptOutcome::Success);
        }
        dispatched(&mut router, now, &mut running);
    }
    Cost {
        time: start.elapsed() / ROUNDS as u32,
        calls: (alloc::calls() - calls) as f64 / ROUNDS as f64,
        per_target,
        per_queued,
    }
}

fn load() -> Load {
    Load {
        running: 4,
        waiting: 0,
        capacity: 32,
        leaving: false,
    }
}

fn dispatched(router: &mut Router, now: Duration, running: &mut VecDeque<u64>) {
    for action in router.poll(now) {
        if let Action::Dispatch { ticket, .. } = action {
            running.push_back(ticket);
        }
    }
}
