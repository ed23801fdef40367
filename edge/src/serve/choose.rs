//! Selection of the service and the runner for a request.

use std::{
    rc::Rc,
    sync::Arc,
    time::{
        Duration,
        Instant, //
    },
};

use tokio::time::{
    sleep,
    sleep_until,
    timeout_at, //
};

use super::{
    Core,
    Upstream,
    brittle::{
        FoundPlace,
        NO_PLACE_CODE, //
    },
    call::{
        Call,
        RUNNER_RETRY_AFTER, //
    },
    even_load::select_by_load,
    turns::QueuePlace,
    versions::VersionChoice, //
};
use crate::{
    adapter::Dialect,
    catalog::{
        Runner,
        ServiceId, //
    },
    decide::{
        Candidate,
        RequestNeeds,
        Turn,
        fingerprint,
        rendezvous_weight,
        turn_wait, //
    },
};

/// A request waits for a runner for its route's objective divided by this before it is refused.
const WAIT_DIVISOR: u32 = 8;

/// Minimum time for which a request waits for a runner.
const MIN_WAIT: Duration = Duration::from_millis(20);

/// Shortest time for which a request waits for a turn, so that rounding causes no busy loop.
const MIN_TURN_WAIT: Duration = Duration::from_millis(1);

/// Longest time between two looks for a place at brittle runners.
const PLACE_INTERVAL: Duration = Duration::from_millis(50);

/// Time after the next turn up to which a runner's turns count in the estimate of a wait.
const RATE_HORIZON: Duration = Duration::from_secs(1);

/// Code of requests for which no turn at a runner with a limit comes in time.
const TURN_CODE: &str = "no_turn";

/// Code of requests for a service all of whose runners are in evacuated data centres.
const EVACUATED_CODE: &str = "evacuated";

/// Code of requests for which the regions in which they may be handled have no usable runner.
const NO_HOME_CODE: &str = "no_home_runner";

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

/// Why no runner takes a request.
pub(super) struct NoRunner {
    /// Code of the response.
    pub code: &'static str,
    /// Time after which another attempt may be served.
    pub retry_after: Duration,
}

/// What can be done with a request now.
enum Choice {
    /// Send it to this runner, at this place if it is brittle.
    Runner(Rc<Upstream>, Option<FoundPlace>),
    /// Wait for a turn: only runners with limits are left. One may be sent a request after `next`, and all of
    /// them together `rate` requests a second.
    Turn { next: Duration, rate: f64 },
    /// Nothing: other daemons share the limits of all runners that are left.
    Never,
    /// Nothing: all runners of the service are in evacuated data centres.
    Evacuated,
    /// Nothing: the regions in which the request may be handled have no usable runner.
    NoHome,
    /// Wait for a runner.
    Wait,
}

/// Chooses a runner, avoiding those in `tried`, and takes a turn at it. Waits for a short time if none is
/// available, and for a turn if one comes in time.
///
/// # Errors
///
/// Fails as soon as it is known that no runner takes the request in time.
pub(super) async fn wait_for_runner<D: Dialect>(
    core: &Rc<Core<D>>,
    call: &Call,
    tried: &[Arc<str>],
    service: &ServiceId,
    version: VersionChoice,
) -> Result<Rc<Upstream>, NoRunner> {
    let wait = (call.route.objective / WAIT_DIVISOR).max(MIN_WAIT);
    let deadline = tokio::time::Instant::from_std((Instant::now() + wait).min(call.deadline));
    let turn_deadline = (call.received_at + call.wait_limit()).min(call.deadline);
    let mut place = None;
    let mut waiting = None;
    loop {
        let freed = core.runner_freed.notified();
        let now = Instant::now();
        let ahead = match &place {
            None => core.turn_queue.ahead_of_new(service, call.rank),
            Some(place) => QueuePlace::ahead(place),
        };
        match choose_version(core, call, tried, service, ahead == 0, version) {
            Choice::Runner(upstream, found) => {
                core.take_turn(&upstream, now);
                if let Some(found) = &found {
                    core.take_place(&upstream, service, found, now);
                }
                return Ok(upstream);
            }
            Choice::Turn { next, rate } => {
                let wait = turn_wait(next, ahead, rate);
                if now + wait > turn_deadline {
                    log_no_turn(call, service, ahead, wait, rate);
                    return Err(NoRunner {
                        code: TURN_CODE,
                        retry_after: wait,
                    });
                }
                let place = place.get_or_insert_with(|| core.turn_queue.enter(service, call.rank));
                tokio::select! {
                    () = sleep(wait.max(MIN_TURN_WAIT)) => {}
                    () = place.wait_for_change() => {}
                    () = freed => {}
                }
            }
            Choice::Never => {
                log_no_turn(call, service, ahead, Duration::MAX, 0.0);
                return Err(NoRunner {
                    code: TURN_CODE,
                    retry_after: RUNNER_RETRY_AFTER,
                });
            }
            Choice::Evacuated => {
                return Err(NoRunner {
                    code: EVACUATED_CODE,
                    retry_after: RUNNER_RETRY_AFTER,
                });
            }
            Choice::NoHome => {
                return Err(NoRunner {
                    code: NO_HOME_CODE,
                    retry_after: RUNNER_RETRY_AFTER,
                });
            }
            Choice::Wait if core.record_no_place(service, now) => {
                if now >= deadline.into_std() {
                    core.refuse_without_place(call, service);
                    return Err(NoRunner {
                        code: NO_PLACE_CODE,
                        retry_after: RUNNER_RETRY_AFTER,
                    });
                }
                waiting.get_or_insert_with(|| core.wait_for_place(service));
                let next = deadline.min((now + PLACE_INTERVAL).into());
                // Places also come free by what is known of them.
                tokio::select! {
                    () = sleep_until(next) => {}
                    () = freed => {}
                }
            }
            Choice::Wait => {
                if timeout_at(deadline, freed).await.is_err() {
                    return Err(NoRunner {
                        code: "no_runner",
                        retry_after: RUNNER_RETRY_AFTER,
                    });
                }
            }
        }
    }
}

/// Logs that no turn at a runner with a limit comes in time.
fn log_no_turn(call: &Call, service: &str, ahead: usize, wait: Duration, rate: f64) {
    let wait_ms = match wait {
        Duration::MAX => -1,
        wait => wait.as_millis() as i64,
    };
    log::info!(
        "event=no_turn id={} service={service} rank={} ahead={ahead} wait_ms={wait_ms} rate={rate:.2}",
        call.meta.id,
        call.rank
    );
}

/// Chooses a runner as [`choose_runner`] does. A stream that has not begun leaves its version if that has no runner that
/// is known to answer and the others can be told, and goes to one at which streams may not begin yet only if no other one
/// has.
fn choose_version<D: Dialect>(
    core: &Rc<Core<D>>,
    call: &Call,
    tried: &[Arc<str>],
    service: &ServiceId,
    first: bool,
    version: VersionChoice,
) -> Choice {
    let choice = choose_runner(core, call, tried, service, first, version);
    let VersionChoice::Prefer(_) = version else {
        return choice;
    };
    let answers = match &choice {
        Choice::Runner(upstream, _) => !core.view(upstream, Instant::now()).doubtful,
        _ => false,
    };
    let may_leave = core.may_leave_version();
    if answers || !may_leave || core.all_admitted(service, version, Instant::now()) {
        return choice;
    }
    let open = choose_runner(core, call, tried, service, first, VersionChoice::Open);
    if core.has_open_runner(service, Instant::now()) {
        return open;
    }
    choose_runner(core, call, tried, service, first, VersionChoice::Any)
}

/// Chooses a runner among those of `version` that are ready now; `first` says that no other request waits before this one
/// for a turn.
fn choose_runner<D: Dialect>(
    core: &Rc<Core<D>>,
    call: &Call,
    tried: &[Arc<str>],
    service: &ServiceId,
    first: bool,
    version: VersionChoice,
) -> Choice {
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
        .filter(|runner| core.is_allowed_region(call, runner) && version.admits(runner))
        .filter(|runner| {
            version != VersionChoice::Open || core.may_begin(service, runner.version_key)
        })
        .cloned()
        .collect();
    let upstreams: Vec<Rc<Upstream>> = runners.iter().map(|r| core.upstream(r)).collect();
    let mut candidates: Vec<Candidate> = upstreams
        .iter()
        .zip(&runners)
        .map(|(upstream, runner)| {
            let view = core.view(upstream, now);
            Candidate {
                remote: runner.zone != core.zone,
                turn: match view.turn {
                    Turn::Ready | Turn::Trial if !first => Turn::At(now),
                    turn => turn,
                },
                suspect: view.doubtful,
                tried: view.excluded || tried.contains(&runner.id),
                ..upstream.candidate(now, parts, max_connections)
            }
        })
        .collect();
    if let Some(key) = key {
        let mut order: Vec<usize> = (0..runners.len()).collect();
        order.sort_by_key(|i| std::cmp::Reverse(rendezvous_weight(key, &runners[*i].id)));
        for (rank, i) in order.into_iter().enumerate() {
            candidates[i].affinity_rank = rank;
        }
    }
    let mut places = core.find_places(call, service, &upstreams, &mut candidates, now);
    let needs = RequestNeeds {
        prompt_tokens: call.prompt_tokens(),
        shared_tokens: shared_parts.iter().map(|p| u64::from(p.tokens)).sum(),
        objective_ms: call.route.objective.as_secs_f64() * 1000.0,
    };
    let salt = fingerprint("", &call.meta.id, &[]);
    let Some(chosen) = select_by_load(&upstreams, &candidates, &needs, salt, now) else {
        if core.is_service_evacuated(service, now) {
            return Choice::Evacuated;
        }
        if call.has_homes() && candidates.iter().all(|c| c.tried) {
            return Choice::NoHome;
        }
        return wait_choice(core, &upstreams, &candidates, now);
    };
    log_placement(call, &runners[chosen], &candidates, chosen, &needs);
    let place = places.get_mut(chosen).and_then(Option::take);
    Choice::Runner(Rc::clone(&upstreams[chosen]), place)
}

/// What to wait for if no runner takes a request now.
fn wait_choice<D>(
    core: &Core<D>,
    upstreams: &[Rc<Upstream>],
    candidates: &[Candidate],
    now: Instant,
) -> Choice {
    let left = || upstreams.iter().zip(candidates).filter(|(_, c)| !c.tried);
    // A runner without a limit, all of whose connections are in use, is free sooner than a turn comes.
    if left().any(|(_, c)| c.turn == Turn::Unlimited) {
        return Choice::Wait;
    }
    let turns = left().filter_map(|(_, c)| match c.turn {
        Turn::At(at) => Some(at.saturating_duration_since(now)),
        _ => None,
    });
    if let Some(next) = turns.min() {
        let soon = |c: &Candidate| match c.turn {
            Turn::At(at) => at <= now + next + RATE_HORIZON,
            _ => false,
        };
        let open = left().filter(|(_, c)| soon(c));
        let rate = open.filter_map(|(u, _)| core.turn_rate(u)).sum();
        return Choice::Turn { next, rate };
    }
    match left().any(|(_, c)| c.turn == Turn::Never) {
        true => Choice::Never,
        false => Choice::Wait,
    }
}

/// Logs the figures on which a placement was based.
fn log_placement(
    call: &Call,
    runner: &Runner,
    candidates: &[Candidate],
    chosen: usize,
    needs: &RequestNeeds,
) {
    let c = &candidates[chosen];
    let count = |f: fn(&Candidate) -> bool| candidates.iter().filter(|c| f(c)).count();
    log::info!(
        "event=placed id={} runner={} version=\"{}\" of={} tried={} suspect={} full={} prompt={} shared={} affinity={} warm={} running={:.0} waiting={:.0} backlog={} failing={:.2} config={} last_event={} resumed={}",
        call.meta.id,
        runner.id,
        runner.version.escape_debug(),
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
        call.config.version,
        call.meta.last_event.map_or(-1, |id| id as i64),
        call.meta.resumed.as_deref().unwrap_or("-")
    );
}
