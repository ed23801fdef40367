//! Selection of the service and the runner for a request.

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
    adapter::Dialect,
    catalog::ServiceId,
    decide::{
        Candidate,
        RequestNeeds,
        fingerprint,
        rendezvous_weight,
        select_runner, //
    },
};

/// A request waits for a runner for its route's objective divided by this before it is refused.
const WAIT_DIVISOR: u32 = 8;

/// Minimum time for which a request waits for a runner.
const MIN_WAIT: Duration = Duration::from_millis(20);

/// Chooses a service by the weights of the route. Retries of an attempt id get the same service.
pub(super) fn choose_service(call: &Call) -> ServiceId {
    let services = &call.route.services;
    let total: u64 = services.iter().map(|(_, w)| u64::from(*w)).sum();
    let mut point = fingerprint("", &call.meta.id, b"") % total.max(1);
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

/// Chooses a runner, avoiding those in `tried`. Waits for a short time if none is available.
pub(super) async fn wait_for_runner<D: Dialect>(
    core: &Rc<Core<D>>,
    call: &Call,
    tried: &[Arc<str>],
    service: &ServiceId,
) -> Option<Rc<Upstream>> {
    let wait = (call.route.objective / WAIT_DIVISOR).max(MIN_WAIT);
    let deadline = tokio::time::Instant::from_std((Instant::now() + wait).min(call.deadline));
    loop {
        let freed = core.runner_freed.notified();
        if let Some(upstream) = choose_runner(core, call, tried, service) {
            return Some(upstream);
        }
        if timeout_at(deadline, freed).await.is_err() {
            return None;
        }
    }
}

/// Chooses a runner among those that are ready now.
fn choose_runner<D: Dialect>(
    core: &Rc<Core<D>>,
    call: &Call,
    tried: &[Arc<str>],
    service: &ServiceId,
) -> Option<Rc<Upstream>> {
    let now = Instant::now();
    let parts = &call.meta.parts;
    let shared_parts = call.shared_parts();
    let key = shared_parts.last().map(|p| p.id);
    let members = core.ledger.borrow().members().max(1);
    let max_connections = call
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
            ..upstream.candidate(now, parts, max_connections)
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
    let needs = RequestNeeds {
        prompt_tokens: call.prompt_tokens(),
        shared_tokens: shared_parts.iter().map(|p| u64::from(p.tokens)).sum(),
        objective_ms: call.route.objective.as_secs_f64() * 1000.0,
    };
    let salt = fingerprint("", &call.meta.id, &[]);
    let chosen = select_runner(&candidates, &needs, salt)?;
    log_placement(call, &runners[chosen].id, &candidates, chosen, &needs);
    Some(Rc::clone(&upstreams[chosen]))
}

/// Logs the figures on which a placement was based.
fn log_placement(
    call: &Call,
    runner: &str,
    candidates: &[Candidate],
    chosen: usize,
    needs: &RequestNeeds,
) {
    let c = &candidates[chosen];
    let count = |f: fn(&Candidate) -> bool| candidates.iter().filter(|c| f(c)).count();
    log::info!(
        "event=placed id={} runner={runner} of={} tried={} suspect={} full={} prompt={} shared={} affinity={} warm={} running={:.0} waiting={:.0} backlog={} failing={:.2} config={}",
        call.meta.id,
        candidates.len(),
        count(|c| c.tried),
        count(|c| c.suspect),
        count(|c| c.full),
        needs.prompt_tokens,
        needs.shared_tokens,
        c.affinity_rank as isize,
        c.cached_tokens,
        c.running,
        c.waiting,
        c.backlog_tokens,
        c.failure_rate,
        call.config.version
    );
}
