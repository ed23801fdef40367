//! The service and the runner that a request goes to.

use std::{
    rc::Rc,
    sync::Arc,
    time::{
        Duration,
        Instant, //
    },
};

use tokio::time::timeout_at;

use super::{
    Core,
    Upstream,
    call::Call, //
};
use crate::{
    border::Dialect,
    catalog::ServiceId,
    decide::{
        Candidate,
        RequestNeeds,
        fingerprint,
        rendezvous_weight,
        select_runner, //
    },
};

/// Part of the objective for which a request waits for a runner before it is refused.
const WAIT_PART: u32 = 8;

/// Shortest wait for a runner.
const LEAST_WAIT: Duration = Duration::from_millis(20);

/// The service that the request goes to, by the weights of its route.
pub(super) fn choose_service(call: &Call) -> ServiceId {
    let services = &call.route.services;
    let total: u64 = services.iter().map(|(_, w)| u64::from(*w)).sum();
    let mut point = fingerprint("", &call.ask.id, b"") % total.max(1);
    for (service, weight) in services {
        if point < u64::from(*weight) {
            return Arc::clone(service);
        }
        point -= u64::from(*weight);
    }
    services
        .first()
        .map_or_else(|| Arc::from(""), |(s, _)| Arc::clone(s))
}

/// Chooses a runner; waits a short time if none may take the request.
pub(super) async fn pick<D: Dialect>(
    core: &Rc<Core<D>>,
    call: &Call,
    tried: &[Arc<str>],
    service: &ServiceId,
) -> Option<Rc<Upstream>> {
    let wait = (call.route.objective / WAIT_PART).max(LEAST_WAIT);
    let until = tokio::time::Instant::from_std((Instant::now() + wait).min(call.deadline));
    loop {
        let freed = core.freed.notified();
        if let Some(upstream) = choose(core, call, tried, service) {
            return Some(upstream);
        }
        if timeout_at(until, freed).await.is_err() {
            return None;
        }
    }
}

fn choose<D: Dialect>(
    core: &Rc<Core<D>>,
    call: &Call,
    tried: &[Arc<str>],
    service: &ServiceId,
) -> Option<Rc<Upstream>> {
    let now = Instant::now();
    let parts = &call.ask.parts;
    let shared = parts.len().saturating_sub(1);
    let key = parts[..shared].last().map(|p| p.id);
    let members = core.ledger.borrow().members().max(1);
    let connections = call
        .config
        .services
        .get(service)
        .map_or(u32::MAX, |s| (s.max_connections / members).max(2));
    let runners: Vec<_> = core
        .directory
        .borrow()
        .ready(service, now)
        .cloned()
        .collect();
    let upstreams: Vec<Rc<Upstream>> = runners.iter().map(|r| core.upstream(r)).collect();
    let mut candidates: Vec<Candidate> = upstreams
        .iter()
        .zip(&runners)
        .map(|(upstream, runner)| Candidate {
            remote: runner.zone != core.zone,
            ..upstream.candidate(now, parts, connections)
        })
        .zip(&runners)
        .map(|(c, runner)| Candidate {
            tried: c.tried || tried.contains(&runner.id),
            ..c
        })
        .collect();
    if let Some(key) = key {
        let mut order: Vec<usize> = (0..runners.len()).collect();
        order.sort_by_key(|i| std::cmp::Reverse(rendezvous_weight(key, &runners[*i].id)));
        for (rank, i) in order.into_iter().enumerate() {
            candidates[i].affinity_rank = rank;
        }
    }
    let demand = RequestNeeds {
        prompt_tokens: call.prompt(),
        shared_tokens: parts[..shared].iter().map(|p| u64::from(p.tokens)).sum(),
        objective_ms: call.route.objective.as_secs_f64() * 1000.0,
    };
    let salt = fingerprint("", &call.ask.id, &[]);
    let chosen = select_runner(&candidates, &demand, salt)?;
    log_placed(call, &runners[chosen].id, &candidates, chosen, &demand);
    Some(Rc::clone(&upstreams[chosen]))
}

/// Tells what a request was placed by.
fn log_placed(
    call: &Call,
    runner: &str,
    candidates: &[Candidate],
    chosen: usize,
    demand: &RequestNeeds,
) {
    let c = &candidates[chosen];
    let count = |f: fn(&Candidate) -> bool| candidates.iter().filter(|c| f(c)).count();
    log::info!(
        "event=placed id={} runner={runner} of={} tried={} suspect={} full={} prompt={} shared={} affinity={} warm={} running={:.0} waiting={:.0} backlog={} failing={:.2} config={}",
        call.ask.id,
        candidates.len(),
        count(|c| c.tried),
        count(|c| c.suspect),
        count(|c| c.full),
        demand.prompt_tokens,
        demand.shared_tokens,
        c.affinity_rank as isize,
        c.cached_tokens,
        c.running,
        c.waiting,
        c.backlog_tokens,
        c.failure_rate,
        call.config.version
    );
}
