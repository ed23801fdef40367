//! Processing of one request: route, customer, tokens, runner, response.

use std::{
    cell::Cell,
    rc::Rc,
    time::{
        Duration,
        Instant, //
    },
};

use bytes::Bytes;
use tokio::{
    net::TcpStream,
    time::sleep_until, //
};

use super::{
    Core,
    attempts::{
        ServeError,
        serve, //
    },
    call::{
        Call,
        resolve_call, //
    },
    choose::choose_service,
    handover::{
        Origin,
        declined_line, //
    },
    history::SendHistory,
    relay::Relay,
    response::{
        Refusal,
        STOP_CODE,
        STOP_RETRY_AFTER, //
    },
};
use crate::{
    adapter::Dialect,
    decide::{
        AskOutcome,
        Verdict, //
    },
    http::{
        RequestHead,
        reset_on_drop,
        write_all, //
    },
};

/// Processes one request and writes the response to `out`. Returns whether the connection may carry
/// another request.
pub(super) async fn exchange<D: Dialect>(
    core: &Rc<Core<D>>,
    head: RequestHead,
    body: Bytes,
    received_at: Instant,
    origin: Origin,
    out: &TcpStream,
) -> bool {
    core.link.record(received_at);
    let _open = core.track_request();
    let keep_alive = head.keep_alive() && !core.is_stopping();
    let is_neighbour = origin == Origin::Neighbour;
    if is_neighbour && !core.can_judge(&head) {
        return decline("-", AskOutcome::Lost, keep_alive, out).await;
    }
    let call = match resolve_call(core, head, body, received_at, origin, keep_alive) {
        Ok(call) => call,
        Err((refusal, id)) => {
            log::info!(
                "event=request_done id={} status={} code={} verdict={} config={} config_age_ms={} ms={}",
                id.as_deref().unwrap_or("-"),
                refusal.status,
                refusal.code,
                refusal.verdict.as_str(),
                core.config().map_or(0, |c| c.version),
                core.config_age_ms(received_at),
                received_at.elapsed().as_millis()
            );
            core.metrics
                .requests
                .with_label_values(&["none", &refusal.status.to_string()])
                .inc();
            return write_all(out, &refusal.to_bytes(id.as_deref(), keep_alive))
                .await
                .is_ok()
                && keep_alive;
        }
    };
    let _taken = match is_neighbour.then(|| core.take_over(&choose_service(&call))) {
        Some(Err(reason)) => return decline(&call.meta.id, reason, keep_alive, out).await,
        Some(Ok(taken)) => Some(taken),
        None => None,
    };
    let mut history = SendHistory::default();
    let mut relay = Relay::default();
    let mut abort_log = AbortLog {
        call: &call,
        event_count: Rc::clone(&relay.event_count),
        armed: true,
    };
    let served = tokio::select! {
        biased;
        served = serve(core, &call, &mut history, &mut relay, out) => served,
        refusal = give_up(core, &call) => Err(ServeError::Refused(refusal)),
    };
    abort_log.armed = false;
    finish(core, &call, &history, &relay, served, out).await
}

/// Declines the request `id` of a neighbour. Returns whether the connection may carry another one.
async fn decline(id: &str, reason: AskOutcome, keep_alive: bool, out: &TcpStream) -> bool {
    log::info!("event=handover_declined id={id} reason={}", reason.as_str());
    write_all(out, &declined_line(reason)).await.is_ok() && keep_alive
}

/// Waits until the request is given up, and returns the error for it. The deadline and the end of the process bound the
/// time until its answer is there; a complete one may be written for as long as the caller is likely to read it.
async fn give_up<D>(core: &Core<D>, call: &Call) -> Refusal {
    let refusal = tokio::select! {
        () = sleep_until(call.deadline.into()) => deadline_refusal(call),
        () = core.stop_answers() => stop_refusal(call),
    };
    if call.answering.get() {
        sleep_until(call.write_end().into()).await;
    }
    refusal
}

/// Logs a request whose task is dropped because its caller has closed the connection.
struct AbortLog<'a> {
    call: &'a Call,
    /// Number of events sent to the caller.
    event_count: Rc<Cell<u64>>,
    /// Whether the request is still in progress.
    armed: bool,
}

impl Drop for AbortLog<'_> {
    fn drop(&mut self) {
        if !self.armed {
            return;
        }
        let verdict = match self.call.sent_at.get() {
            Some(_) => Verdict::MayHaveRun,
            None => Verdict::NotRun,
        };
        log::info!(
            "event=request_done id={} route={} status=0 code=caller_left verdict={} events={} ms={}",
            self.call.meta.id,
            self.call.route.name,
            verdict.as_str(),
            self.event_count.get(),
            self.call.received_at.elapsed().as_millis()
        );
    }
}

/// The error for a request whose deadline has passed.
fn deadline_refusal(call: &Call) -> Refusal {
    if call.sent_at.get().is_some() {
        return Refusal::may_have_run(504, "deadline");
    }
    Refusal::not_run("deadline_before_send", Duration::ZERO)
}

/// The response to a request that is open when a planned stop ends.
fn stop_refusal(call: &Call) -> Refusal {
    if call.sent_at.get().is_some() {
        return Refusal::may_have_run(502, STOP_CODE);
    }
    Refusal::not_run(STOP_CODE, STOP_RETRY_AFTER)
}

/// Writes the error response, if there is one, and records metrics and the log line of a request.
/// Returns whether the connection may carry another request.
async fn finish<D: Dialect>(
    core: &Rc<Core<D>>,
    call: &Call,
    history: &SendHistory,
    relay: &Relay,
    result: Result<u16, ServeError>,
    out: &TcpStream,
) -> bool {
    let now = Instant::now();
    if let (Ok(_), Some(sent_at)) = (&result, call.sent_at.get()) {
        let time = now.saturating_duration_since(sent_at);
        let mut times = core.route_times.borrow_mut();
        times.record(&call.route.name, time);
    }
    let (status, code, verdict, keep_alive) = match &result {
        Ok(status) => (*status, "answered", "ran", call.keep_alive),
        Err(ServeError::Declined) => {
            let reason = AskOutcome::Lost;
            return decline(&call.meta.id, reason, call.keep_alive, out).await;
        }
        Err(ServeError::CallerLeft) => (0, "caller_left", Verdict::MayHaveRun.as_str(), false),
        // Bytes behind a part of an answer would be taken for the rest of it.
        Err(ServeError::Refused(r)) if relay.head_sent || call.answering.get() => {
            reset_on_drop(out);
            (200, r.code, "broken-off", false)
        }
        Err(ServeError::Refused(r)) => {
            let sent = write_all(out, &r.to_bytes(Some(&call.meta.id), call.keep_alive)).await;
            (
                r.status,
                r.code,
                r.verdict.as_str(),
                call.keep_alive && sent.is_ok(),
            )
        }
    };
    if let Some(span) = &call.span {
        let mut span = span.borrow_mut();
        span.add_field("status", status);
        span.add_field("code", code);
    }
    let total = now.duration_since(call.received_at);
    let kind = if call.route.retry.is_stream() {
        "stream"
    } else {
        "plain"
    };
    core.metrics
        .requests
        .with_label_values(&[kind, &status.to_string()])
        .inc();
    core.metrics.answer_time.observe(total.as_secs_f64());
    if let Some(first) = relay.first_event {
        core.metrics
            .first_byte
            .observe(first.duration_since(call.received_at).as_secs_f64());
    }
    log::info!(
        "event=request_done id={} origin={} route={} customer={} rank={} config={} status={status} code={code} verdict={verdict} events={} first_ms={} pause_ms={} ms={} sends={}",
        call.meta.id,
        call.origin.as_str(),
        call.route.name,
        call.customer.as_ref().map_or("-", |c| &*c.name),
        call.rank,
        call.config.version,
        relay.event_count.get(),
        relay
            .first_event
            .map_or(-1, |t| t.duration_since(call.received_at).as_millis()
                as i64),
        relay.max_pause.as_millis(),
        total.as_millis(),
        history.summary
    );
    keep_alive
}
