//! The way of one request: route, customer, tokens, runner, answer.

use std::{
    cell::Cell,
    fmt::Write,
    rc::Rc,
    sync::Arc,
    time::{
        Duration,
        Instant, //
    },
};

use bytes::Bytes;
use tokio::{
    net::TcpStream,
    time::timeout_at, //
};

use super::{
    Core, Upstream,
    answer::{
        Refusal,
        head_bytes, //
    },
    call::{
        Call,
        RUNNER_RETRY,
        open_call, //
    },
    choose::{
        choose_service,
        pick, //
    },
    relay::{
        Relay,
        Stopped, //
    },
    send::{
        Reply,
        SendFault,
        read_body,
        send, //
    },
    tokens::{
        Charge,
        take_tokens, //
    },
};
use crate::{
    border::Dialect,
    catalog::ServiceId,
    decide::{
        self,
        Failure,
        RetryDecision,
        Verdict,
        decide_retry,
        retry_after, //
    },
    http::{
        RequestHead,
        reset_on_drop,
        write_all, //
    },
};

/// What the sends of a request have come to.
#[derive(Default)]
struct Trail {
    ran: u32,
    turned: u32,
    verdict: Option<Verdict>,
    tried: Vec<Arc<str>>,
    text: String,
}

impl Trail {
    fn note(&mut self, runner: &str, what: &str, detail: &str, since: Instant) {
        let ms = since.elapsed().as_millis();
        let _ = write!(self.text, "{runner}:{what}:{ms}ms");
        if !detail.is_empty() {
            let _ = write!(self.text, "({detail})");
        }
        self.text.push(';');
    }

    fn count(&mut self, failure: Failure) {
        match failure.verdict() {
            Verdict::NotRun if failure == Failure::NoConnection => {}
            Verdict::NotRun => self.turned += 1,
            verdict => {
                self.ran += 1;
                self.verdict = Some(verdict);
            }
        }
    }
}

/// Serves one request. Returns whether the connection may carry another one.
pub(super) async fn exchange<D: Dialect>(
    core: &Rc<Core<D>>,
    head: RequestHead,
    body: Bytes,
    at: Instant,
    out: &TcpStream,
) -> bool {
    let _open = core.enter();
    let keep = head.keeps_alive() && core.stopping_for(at).is_none();
    let call = match open_call(core, head, body, at, keep) {
        Ok(call) => call,
        Err((refusal, id)) => {
            log::info!(
                "event=request_done id={} status={} code={} verdict={} config={} config_age_ms={} ms={}",
                id.as_deref().unwrap_or("-"),
                refusal.status,
                refusal.code,
                refusal.verdict.as_str(),
                core.config().map_or(0, |c| c.version),
                core.config_age_ms(at),
                at.elapsed().as_millis()
            );
            core.metrics
                .requests
                .with_label_values(&["none", &refusal.status.to_string()])
                .inc();
            return write_all(out, &refusal.bytes(id.as_deref(), keep))
                .await
                .is_ok()
                && keep;
        }
    };
    let mut trail = Trail::default();
    let mut relay = Relay::default();
    let deadline = tokio::time::Instant::from_std(call.deadline);
    let mut left = LeftGuard {
        call: &call,
        events: Rc::clone(&relay.events),
        armed: true,
    };
    let served = timeout_at(deadline, serve(core, &call, &mut trail, &mut relay, out)).await;
    left.armed = false;
    let result = served.unwrap_or_else(|_| Err(Ended::Refused(expired(&call))));
    finish(core, &call, &trail, &relay, result, out).await
}

/// Tells of a request that is dropped because its caller has left.
struct LeftGuard<'a> {
    call: &'a Call,
    events: Rc<Cell<u64>>,
    armed: bool,
}

impl Drop for LeftGuard<'_> {
    fn drop(&mut self) {
        if !self.armed {
            return;
        }
        let verdict = match self.call.sent.get() {
            Some(_) => Verdict::MayHaveRun,
            None => Verdict::NotRun,
        };
        log::info!(
            "event=request_done id={} route={} status=0 code=caller_left verdict={} events={} ms={}",
            self.call.ask.id,
            self.call.route.name,
            verdict.as_str(),
            self.events.get(),
            self.call.at.elapsed().as_millis()
        );
    }
}

/// How a request ended without a whole answer.
enum Ended {
    Refused(Refusal),
    Caller,
}

fn expired(call: &Call) -> Refusal {
    if call.sent.get().is_some() {
        return Refusal::may_have_run(504, "deadline");
    }
    Refusal::not_run("deadline_before_send", Duration::ZERO)
}

async fn finish<D: Dialect>(
    core: &Rc<Core<D>>,
    call: &Call,
    trail: &Trail,
    relay: &Relay,
    result: Result<u16, Ended>,
    out: &TcpStream,
) -> bool {
    let now = Instant::now();
    let (status, code, verdict, keep) = match &result {
        Ok(status) => (*status, "answered", "ran", call.keep),
        Err(Ended::Caller) => (0, "caller_left", Verdict::MayHaveRun.as_str(), false),
        Err(Ended::Refused(r)) if relay.started => {
            reset_on_drop(out);
            (200, r.code, "broken-off", false)
        }
        Err(Ended::Refused(r)) => {
            let sent = write_all(out, &r.bytes(Some(&call.ask.id), call.keep)).await;
            (
                r.status,
                r.code,
                r.verdict.as_str(),
                call.keep && sent.is_ok(),
            )
        }
    };
    if let Some(hop) = &call.hop {
        let mut hop = hop.borrow_mut();
        hop.note("status", status);
        hop.note("code", code);
    }
    let total = now.duration_since(call.at);
    let kind = if call.route.retry.is_stream() {
        "stream"
    } else {
        "plain"
    };
    core.metrics
        .requests
        .with_label_values(&[kind, &status.to_string()])
        .inc();
    core.metrics.total.observe(total.as_secs_f64());
    if let Some(first) = relay.first {
        core.metrics
            .first
            .observe(first.duration_since(call.at).as_secs_f64());
    }
    log::info!(
        "event=request_done id={} route={} customer={} rank={} config={} status={status} code={code} verdict={verdict} events={} first_ms={} pause_ms={} ms={} sends={}",
        call.ask.id,
        call.route.name,
        call.customer.as_ref().map_or("-", |c| &*c.name),
        call.rank,
        call.config.version,
        relay.events.get(),
        relay
            .first
            .map_or(-1, |t| t.duration_since(call.at).as_millis() as i64),
        relay.pause.as_millis(),
        total.as_millis(),
        trail.text
    );
    keep
}

async fn serve<D: Dialect>(
    core: &Rc<Core<D>>,
    call: &Call,
    trail: &mut Trail,
    relay: &mut Relay,
    out: &TcpStream,
) -> Result<u16, Ended> {
    let events = Rc::clone(&relay.events);
    let charge = take_tokens(core, call, events)
        .await
        .map_err(Ended::Refused)?;
    let service = choose_service(call);
    core.allowance(&service, |a| a.record_request(call.at));
    relay.last = call.ask.last_event;
    loop {
        let hop = call.hop("place");
        let upstream = match pick(core, call, &trail.tried, &service).await {
            Some(upstream) => upstream,
            None => return Err(Ended::Refused(give_up(call, trail, "no_runner"))),
        };
        drop(hop);
        let since = Instant::now();
        let runner = Arc::clone(&upstream.runner.borrow().id);
        trail.tried.push(Arc::clone(&runner));
        let mut hop = call.hop("send");
        let sent = attempt(core, call, &upstream, &charge, trail, relay, out).await;
        if let Some(hop) = &mut hop {
            hop.note("runner", &runner);
            hop.note("outcome", outcome_of(&sent));
        }
        drop(hop);
        let fault = match sent {
            Ok(status) => {
                trail.note(&runner, "answered", "", since);
                core.metrics.sends.with_label_values(&["answered"]).inc();
                return Ok(status);
            }
            Err(Stopped::Caller) => return Err(Ended::Caller),
            Err(Stopped::Runner(fault)) => fault,
        };
        trail.note(&runner, fault.failure.as_str(), &fault.detail, since);
        core.metrics
            .sends
            .with_label_values(&[fault.failure.as_str()])
            .inc();
        trail.count(fault.failure);
        note_failure(core, call, &upstream, &fault).await;
        retry(core, call, trail, &service, &fault).map_err(Ended::Refused)?;
    }
}

/// How a send ended, for its span.
fn outcome_of(sent: &Result<u16, Stopped>) -> &'static str {
    match sent {
        Ok(_) => "answered",
        Err(Stopped::Caller) => "caller_left",
        Err(Stopped::Runner(fault)) => fault.failure.as_str(),
    }
}

/// Decides whether the request goes on after a failed send.
fn retry<D: Dialect>(
    core: &Rc<Core<D>>,
    call: &Call,
    trail: &Trail,
    service: &ServiceId,
    fault: &SendFault,
) -> Result<(), Refusal> {
    let now = Instant::now();
    let next = decide_retry(&decide::FailedAttempt {
        failure: fault.failure,
        retry: call.route.retry,
        started: trail.ran,
        rejected: trail.turned,
        max_attempts: call.route.max_attempts,
        remaining: call.left(now),
        objective: call.route.objective,
    });
    let members = core.ledger.borrow().members();
    let go = match next {
        RetryDecision::GiveUp => false,
        RetryDecision::Retry { uses_budget: false } => true,
        RetryDecision::Retry { uses_budget: true } => {
            core.allowance(service, |a| a.try_retry(now, members, call.rank == 0))
        }
    };
    log::info!(
        "event=retry_decided id={} failure={} ran={} turned={} attempts={} members={members} left_ms={} again={go}",
        call.ask.id,
        fault.failure.as_str(),
        trail.ran,
        trail.turned,
        call.route.max_attempts,
        call.left(now).as_millis()
    );
    if go {
        return Ok(());
    }
    Err(give_up(call, trail, fault.failure.as_str()))
}

/// The final answer of a request that is not sent again.
fn give_up(call: &Call, trail: &Trail, code: &'static str) -> Refusal {
    if trail.verdict.is_some() {
        return Refusal::may_have_run(502, code);
    }
    let left = call.left(Instant::now());
    Refusal::not_run(code, retry_after(RUNNER_RETRY, left))
}

/// Notes a failed send, and whether the runner has crashed under the request.
async fn note_failure<D: Dialect>(
    core: &Rc<Core<D>>,
    call: &Call,
    upstream: &Rc<Upstream>,
    fault: &SendFault,
) {
    let now = Instant::now();
    match fault.failure {
        Failure::TurnedAway | Failure::NoConnection => {}
        Failure::Failed | Failure::Silent => upstream.outcome(now, true),
        Failure::Broken => {
            upstream.outcome(now, true);
            let crashed = upstream.is_gone().await;
            if crashed {
                upstream.mark_down(Instant::now());
                core.strikes.borrow_mut().add_strike(call.print, now);
                core.changed.notify_waiters();
                log::info!(
                    "event=runner_crashed runner={} id={} fingerprint={:016x}",
                    upstream.runner.borrow().id,
                    call.ask.id,
                    call.print
                );
            }
        }
    }
}

/// Sends the request to one runner and passes its answer on.
async fn attempt<D: Dialect>(
    core: &Rc<Core<D>>,
    call: &Call,
    upstream: &Rc<Upstream>,
    charge: &Charge<D>,
    trail: &mut Trail,
    relay: &mut Relay,
    out: &TcpStream,
) -> Result<u16, Stopped> {
    charge.read.set(true);
    let mut reply = match send(core, call, upstream, relay.last).await {
        Ok(reply) => reply,
        Err(fault) => {
            if fault.failure == Failure::NoConnection && trail.ran == 0 {
                charge.read.set(false);
            }
            return Err(Stopped::Runner(fault));
        }
    };
    let status = reply.head.status;
    if reply.mark.not_run || status == 421 {
        if trail.ran == 0 {
            charge.read.set(false);
        }
        if status == 421 {
            upstream.mark_replaced(Instant::now());
        }
        let detail = format!("status {status}");
        return Err(Stopped::Runner(SendFault::new(Failure::TurnedAway, detail)));
    }
    if reply.head.fields.get("content-encoding").is_some() {
        let fault = SendFault::new(Failure::Broken, "answer with a content encoding");
        return Err(Stopped::Runner(fault));
    }
    if status == 200 && call.route.retry.is_stream() {
        let result = relay.run(call, upstream, &mut reply, out).await;
        result?;
        upstream.outcome(Instant::now(), false);
        keep(upstream, reply);
        return Ok(status);
    }
    if relay.started {
        let detail = format!("status {status} to a resumed stream");
        return Err(Stopped::Runner(SendFault::new(Failure::Failed, detail)));
    }
    whole(call, upstream, reply, trail, out).await
}

/// Takes an answer whole and passes it on.
async fn whole(
    call: &Call,
    upstream: &Rc<Upstream>,
    mut reply: Reply,
    trail: &Trail,
    out: &TcpStream,
) -> Result<u16, Stopped> {
    let status = reply.head.status;
    let body = read_body(upstream, &mut reply.link, &mut reply.decoder)
        .await
        .map_err(Stopped::Runner)?;
    let promises = matches!(status, 408 | 421 | 429 | 503);
    let again =
        status >= 500 && call.route.retry.allows_rerun() && trail.ran + 1 < call.route.max_attempts;
    if !reply.mark.sealed || promises || again {
        let detail = format!("status {status} sealed={}", reply.mark.sealed);
        if reply.mark.sealed {
            keep(upstream, reply);
        }
        return Err(Stopped::Runner(SendFault::new(Failure::Failed, detail)));
    }
    upstream.outcome(Instant::now(), status >= 500);
    let mut bytes = head_bytes(status, &reply.head.fields, call.keep);
    bytes.extend_from_slice(format!("Content-Length: {}\r\n\r\n", body.len()).as_bytes());
    bytes.extend_from_slice(&body);
    keep(upstream, reply);
    write_all(out, &bytes).await.map_err(|_| Stopped::Caller)?;
    Ok(status)
}

/// Keeps the connection of an answer that was read whole.
fn keep(upstream: &Rc<Upstream>, reply: Reply) {
    if reply.head.keep && reply.decoder.is_done() && reply.link.buf.is_empty() {
        upstream.keep(Instant::now(), reply.link, reply.mark.idle);
    }
}
