//! The attempts to serve one request: runner, send, response, and whether to send it again.

use std::{
    cell::Cell,
    rc::Rc,
    sync::Arc,
    time::{
        Duration,
        Instant, //
    },
};

use tokio::net::TcpStream;

use super::{
    Core,
    call::{
        CRASH_CODE,
        Call,
        RUNNER_RETRY_AFTER, //
    },
    choose::{
        choose_service,
        wait_for_runner, //
    },
    forward::send_once,
    handover::{
        NO_PATH_CODE,
        Origin,
        hand_over, //
    },
    history::SendHistory,
    receive::Attempt,
    relay::{
        Relay,
        RelayError, //
    },
    response::{
        Refusal,
        STOP_CODE,
        STOP_RETRY_AFTER, //
    },
    send::SendError,
    tokens::take_tokens,
    upstream::Probe,
    versions::VersionChoice,
};
use crate::{
    adapter::Dialect,
    catalog::ServiceId,
    decide::{
        Failure,
        ReachState,
        RetryDecision,
        decide_retry, //
    },
};

/// Code of requests that take up a stream of which no version is known.
const VERSION_CODE: &str = "version_unknown";

/// `Retry-After` of such a request: another daemon writes its row and this one reads it within that time.
const VERSION_RETRY_AFTER: Duration = Duration::from_millis(1000);

/// Code of requests for streams that left the version that their shares tell, of which others could not be told.
const UNTOLD_CODE: &str = "version_untold";

/// Why a request ended without a complete response.
pub(super) enum ServeError {
    /// The daemon responds with an error.
    Refused(Refusal),
    /// The caller has closed the connection.
    CallerLeft,
    /// The request of another daemon has not run and is declined.
    Declined,
}

/// What came of the attempts at own runners.
enum Served {
    /// The response with this status was relayed.
    Answered(u16),
    /// No runner may have begun the request, and neighbours can be asked to serve it.
    PathLost,
}

/// Serves a request at own runners, or at a neighbour if this daemon has lost the path to them. Returns the status of the
/// response that was relayed.
pub(super) async fn serve<D: Dialect>(
    core: &Rc<Core<D>>,
    call: &Call,
    history: &mut SendHistory,
    relay: &mut Relay,
    out: &TcpStream,
) -> Result<u16, ServeError> {
    let service = choose_service(call);
    loop {
        if may_hand_over(core, call, &service, history, relay) {
            history.handed_over = true;
            if let Some(status) = hand_over(core, call, &service, relay, out).await? {
                return Ok(status);
            }
        }
        match serve_here(core, call, &service, history, relay, out).await? {
            Served::Answered(status) => return Ok(status),
            Served::PathLost => {}
        }
    }
}

/// Whether neighbours are asked to serve the request: once, and while no runner may have begun it.
fn may_hand_over<D: Dialect>(
    core: &Core<D>,
    call: &Call,
    service: &str,
    history: &SendHistory,
    relay: &Relay,
) -> bool {
    let untouched = history.started == 0 && !relay.head_sent;
    !history.handed_over
        && untouched
        && core.hands_over(call, service)
        && core.may_send(&call.route)
}

/// Whether a request of another daemon goes back there: this one has lost the runners, too, and none may have begun it.
fn gives_back<D: Dialect>(
    core: &Core<D>,
    call: &Call,
    service: &str,
    history: &SendHistory,
    relay: &Relay,
) -> bool {
    let lost = core.reach_state(service) == ReachState::Lost;
    call.origin == Origin::Neighbour && history.is_untouched(relay) && lost
}

/// Leaves out the runners that could only be tried over a new connection, as the path to them is lost. Returns whether any
/// is left.
fn leave_out_unreached<D: Dialect>(
    core: &Core<D>,
    service: &str,
    history: &mut SendHistory,
) -> bool {
    let now = Instant::now();
    let directory = core.directory.borrow();
    let mut left = false;
    for runner in directory.ready(service, now) {
        let is_open = core.upstream(runner).has_open(now);
        if !is_open && !history.tried.contains(&runner.id) {
            history.tried.push(Arc::clone(&runner.id));
        }
        left |= is_open && !history.tried.contains(&runner.id);
    }
    left
}

/// Takes the tokens of a request and sends it to runners until one responds, no retry is left, or neighbours are to be
/// asked.
async fn serve_here<D: Dialect>(
    core: &Rc<Core<D>>,
    call: &Call,
    service: &ServiceId,
    history: &mut SendHistory,
    relay: &mut Relay,
    out: &TcpStream,
) -> Result<Served, ServeError> {
    let event_count = Rc::clone(&relay.event_count);
    let charge = take_tokens(core, call, event_count)
        .await
        .map_err(ServeError::Refused)?;
    if !history.counted {
        history.counted = true;
        core.with_retry_budget(service, |a| a.record_request(call.received_at));
    }
    relay.last_id = call.meta.last_event;
    let Some(mut version) = core.version_for(call, service).await else {
        let refusal = history.refusal(call, VERSION_CODE, VERSION_RETRY_AFTER);
        return Err(ServeError::Refused(refusal));
    };
    loop {
        if !core.may_send(&call.route) {
            let refusal = history.refusal(call, STOP_CODE, STOP_RETRY_AFTER);
            return Err(ServeError::Refused(refusal));
        }
        if gives_back(core, call, service, history, relay) {
            return Err(ServeError::Declined);
        }
        if core.is_path_lost(service) && !leave_out_unreached(core, service, history) {
            let refusal = history.refusal(call, NO_PATH_CODE, RUNNER_RETRY_AFTER);
            return Err(ServeError::Refused(refusal));
        }
        let span = call.start_span("place");
        let upstream = match wait_for_runner(core, call, &history.tried, service, version).await {
            Ok(upstream) => upstream,
            Err(_) if may_hand_over(core, call, service, history, relay) => {
                return Ok(Served::PathLost);
            }
            Err(none) => {
                let refusal = history.refusal(call, none.code, none.retry_after);
                return Err(ServeError::Refused(refusal));
            }
        };
        drop(span);
        let since = Instant::now();
        // Others may have been crashed by such requests while this one waited.
        if core.is_suspect(call, since) {
            let refusal = history.refusal(call, CRASH_CODE, Duration::MAX);
            return Err(ServeError::Refused(refusal));
        }
        let runner = Arc::clone(&upstream.runner.borrow().id);
        history.tried.push(Arc::clone(&runner));
        let mut span = call.start_span("send");
        let attempt = Attempt {
            core,
            call,
            upstream: &upstream,
            service,
            started: history.started,
            rejected: history.rejected,
            version,
            unresolved: Cell::new(false),
            gap_end: Cell::new(None),
        };
        relay.start_attempt(upstream.runner.borrow().version_key);
        let sent = send_once(&attempt, &charge, relay, out).await;
        if let Some(span) = &mut span {
            span.add_field("runner", &runner);
            span.add_field("outcome", send_outcome(&sent));
        }
        drop(span);
        let error = match sent {
            Ok(status) => {
                history.add_summary(&runner, "answered", "", since);
                core.metrics.sends.with_label_values(&["answered"]).inc();
                return Ok(Served::Answered(status));
            }
            Err(RelayError::Caller) => return Err(ServeError::CallerLeft),
            Err(RelayError::Untold) => {
                history.add_summary(&runner, "untold", "", since);
                let refusal = Refusal::may_have_run(502, UNTOLD_CODE);
                return Err(ServeError::Refused(refusal));
            }
            Err(RelayError::Runner(error)) => error,
        };
        if let Some(begun) = relay.version {
            version = VersionChoice::Only(begun);
        }
        let failure = error.failure.as_str();
        core.metrics.sends.with_label_values(&[failure]).inc();
        history.record_error(&runner, &error, since);
        if core.refuses_send(&upstream, Instant::now()).is_some() {
            // It gets nothing for now; once it does, it is as good as any other.
            history.tried.pop();
        }
        record_failure(&attempt, &error, relay.has_begun(Instant::now())).await;
        if may_hand_over(core, call, service, history, relay) {
            return Ok(Served::PathLost);
        }
        check_retry(core, call, history, service, &error).map_err(ServeError::Refused)?;
    }
}

/// Outcome of a send as recorded in its span.
fn send_outcome(sent: &Result<u16, RelayError>) -> &'static str {
    match sent {
        Ok(_) => "answered",
        Err(RelayError::Caller) => "caller_left",
        Err(RelayError::Untold) => "untold",
        Err(RelayError::Runner(error)) => error.failure.as_str(),
    }
}

/// Decides whether the request is sent again after a failed send.
///
/// # Errors
///
/// Fails with the response for the caller if it is not sent again.
fn check_retry<D: Dialect>(
    core: &Rc<Core<D>>,
    call: &Call,
    history: &SendHistory,
    service: &ServiceId,
    error: &SendError,
) -> Result<(), Refusal> {
    let now = Instant::now();
    let failed = call.failed_attempt(error.failure, history.started, history.rejected, now);
    let next = decide_retry(&failed);
    let members = core.ledger.borrow().members();
    let send_again = match next {
        RetryDecision::GiveUp => false,
        RetryDecision::Retry { uses_budget: false } => true,
        RetryDecision::Retry { uses_budget: true } => {
            core.with_retry_budget(service, |a| a.try_retry(now, members, call.rank == 0))
        }
    };
    log::info!(
        "event=retry_decided id={} failure={} ran={} turned={} attempts={} members={members} left_ms={} again={send_again}",
        call.meta.id,
        error.failure.as_str(),
        history.started,
        history.rejected,
        call.route.max_attempts,
        call.time_left(now).as_millis()
    );
    if send_again {
        return Ok(());
    }
    let code = error.failure.as_str();
    let opening = core.next_opening(service, now);
    let wanted = opening.unwrap_or(RUNNER_RETRY_AFTER);
    Err(history.refusal(call, code, wanted))
}

/// Records a failed send for the runner, and what it had when it crashed; `begun` says that the answer had
/// begun. The attempt stays unresolved if the runner may still run the request.
async fn record_failure<D: Dialect>(attempt: &Attempt<'_, D>, error: &SendError, begun: bool) {
    let (core, call, upstream) = (attempt.core, attempt.call, attempt.upstream);
    let now = Instant::now();
    match error.failure {
        Failure::TurnedAway | Failure::NoConnection | Failure::NotSent => {
            attempt.unresolved.set(false);
        }
        Failure::Failed => {
            attempt.unresolved.set(false);
            upstream.record_outcome(now, true);
        }
        Failure::Silent => upstream.record_outcome(now, true),
        Failure::Broken => {
            upstream.record_outcome(now, true);
            let probe = upstream.probe().await;
            core.record_probe(upstream, probe, Instant::now());
            // Only a closed port shows that the process has ended: a cut ends connections too.
            if probe == Probe::Refused && !core.is_path_lost(attempt.service) {
                attempt.unresolved.set(false);
                core.record_crash(call, upstream, begun, now);
            }
        }
    }
}
