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
    time::{
        timeout,
        timeout_at, //
    },
};

use super::{
    Core, Upstream,
    answer::{
        Refusal,
        head_bytes, //
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
};
use crate::{
    border::{
        Ask,
        Dialect, //
    },
    catalog::{
        Config,
        Customer,
        Lookup,
        Route,
        ServiceId, //
    },
    decide::{
        self,
        Candidate,
        Demand,
        Failure,
        Fingerprint,
        Next,
        Verdict,
        affinity,
        after_failure,
        fingerprint,
        place,
        retry_after, //
    },
    http::{
        RequestHead,
        reset_on_drop,
        write_all, //
    },
    prepaid::{
        Admit,
        Spending, //
    },
};

/// Deadline of a request that names none.
const DEFAULT_DEADLINE: Duration = Duration::from_secs(30);

/// Longest time for which a request waits for writes to bring tokens: until the reserve is released
/// instead.
const GRANT_WAIT: Duration = Duration::from_millis(1200);

/// Accepted writes after which the daemon knows whether the store has tokens: the first may have been
/// under way when the request came.
const GRANT_WRITES: u64 = 2;

/// Time after which a request that waits for a write looks whether the store was lost.
const GRANT_LOOK: Duration = Duration::from_millis(100);

/// Shortest time for which callers wait for the first event of a stream.
const LEAST_PATIENCE: Duration = Duration::from_millis(1600);

/// Time after which a caller is asked to come back when tokens can't be had.
const GRANT_RETRY: Duration = Duration::from_millis(1500);

/// Time after which a caller is asked to come back when no runner can be reached.
const RUNNER_RETRY: Duration = Duration::from_millis(400);

/// Part of the objective for which a request waits for a runner before it is refused.
const WAIT_PART: u32 = 8;

/// Shortest wait for a runner.
const LEAST_WAIT: Duration = Duration::from_millis(20);

/// One request of a caller with what was found out about it.
pub(super) struct Call {
    pub head: RequestHead,
    pub body: Bytes,
    pub ask: Ask,
    pub route: Arc<Route>,
    pub customer: Option<Arc<Customer>>,
    pub config: Arc<Config>,
    pub rank: u8,
    pub at: Instant,
    pub deadline: Instant,
    pub keep: bool,
    pub print: Fingerprint,
    sent: Cell<Option<Instant>>,
}

impl Call {
    /// Time that is left.
    pub(super) fn left(&self, now: Instant) -> Duration {
        self.deadline.saturating_duration_since(now)
    }

    /// Time for which the caller is likely to wait for the first byte.
    fn patience(&self) -> Duration {
        let stay = (self.route.objective * 3).max(LEAST_PATIENCE);
        stay.min(self.deadline.duration_since(self.at).mul_f64(0.8))
    }

    /// Prompt tokens.
    pub(super) fn prompt(&self) -> u64 {
        self.ask.tokens.map_or(0, |t| t.prompt)
    }

    /// Notes that a byte may have left for a runner.
    pub(super) fn note_sent(&self, now: Instant) {
        if self.sent.get().is_none() {
            self.sent.set(Some(now));
        }
    }
}

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

/// Gives a request's tokens back or charges them, also when the request is dropped.
struct Charge<D> {
    core: Rc<Core<D>>,
    spending: Option<Spending>,
    prompt: u64,
    /// Tokens that one event holds at most.
    stride: u64,
    /// Whether the prompt may have been read.
    read: Cell<bool>,
    /// Events that the caller may have got.
    events: Rc<Cell<u64>>,
}

impl<D> Drop for Charge<D> {
    fn drop(&mut self) {
        let Some(spending) = &self.spending else {
            return;
        };
        let used = if self.read.get() {
            (self.prompt + self.events.get() * self.stride).min(spending.cost)
        } else {
            0
        };
        self.core
            .ledger
            .borrow_mut()
            .settle(spending, used, Instant::now());
        self.core.granted.notify_waiters();
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
    let served = timeout_at(deadline, serve(core, &call, &mut trail, &mut relay, out)).await;
    let result = served.unwrap_or_else(|_| Err(Ended::Refused(expired(&call))));
    finish(core, &call, &trail, &relay, result, out).await
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
        Err(Ended::Caller) => (0, "caller_left", "unknown", false),
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
    let total = now.duration_since(call.at);
    let kind = if call.route.repeat.is_stream() {
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

fn open_call<D: Dialect>(
    core: &Rc<Core<D>>,
    head: RequestHead,
    body: Bytes,
    at: Instant,
    keep: bool,
) -> Result<Call, (Refusal, Option<Arc<str>>)> {
    let ask = D::ask(&head).map_err(|_| (Refusal::rejected(400, "bad_fields"), None))?;
    let id = Arc::clone(&ask.id);
    let fail = |refusal| (refusal, Some(Arc::clone(&id)));
    let patience = ask.deadline.unwrap_or(DEFAULT_DEADLINE);
    let Some(config) = core.config() else {
        let retry = retry_after(RUNNER_RETRY, patience);
        return Err(fail(Refusal::not_run("no_configuration", retry)));
    };
    let fresh = core.is_fresh(at);
    let unknown = |status, code| {
        if fresh {
            Refusal::rejected(status, code)
        } else {
            // A newer configuration that has not arrived may allow the request.
            Refusal::not_run(
                "configuration_may_be_old",
                retry_after(GRANT_RETRY, patience),
            )
        }
    };
    let (route, customer) = match config.find(head.host(), head.path(), ask.key.as_deref()) {
        Lookup::Found(route, customer) => (route, customer),
        Lookup::NoRoute => return Err(fail(unknown(404, "no_route"))),
        Lookup::NoKey => return Err(fail(unknown(401, "unknown_key"))),
    };
    let name = customer.as_ref().map_or("", |c| &*c.name);
    let print = fingerprint(name, &head.target, &body);
    if core.strikes.borrow().is_refused(print, at) {
        return Err(fail(Refusal::not_run("crashes_runners", patience / 3)));
    }
    let rank = customer.as_ref().and_then(|c| c.rank).unwrap_or(route.rank);
    let deadline = at + patience.min(route.timeout);
    Ok(Call {
        head,
        body,
        ask,
        route,
        customer,
        config,
        rank,
        at,
        deadline,
        keep,
        print,
        sent: Cell::new(None),
    })
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
    core.allowance(&service, |a| a.request(call.at));
    relay.last = call.ask.last_event;
    loop {
        let upstream = match pick(core, call, trail, &service).await {
            Some(upstream) => upstream,
            None => return Err(Ended::Refused(give_up(call, trail, "no_runner"))),
        };
        let since = Instant::now();
        let runner = Arc::clone(&upstream.runner.borrow().id);
        trail.tried.push(Arc::clone(&runner));
        let sent = attempt(core, call, &upstream, &charge, trail, relay, out).await;
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

/// Decides whether the request goes on after a failed send.
fn retry<D: Dialect>(
    core: &Rc<Core<D>>,
    call: &Call,
    trail: &Trail,
    service: &ServiceId,
    fault: &SendFault,
) -> Result<(), Refusal> {
    let now = Instant::now();
    let next = after_failure(&decide::Refusal {
        failure: fault.failure,
        repeat: call.route.repeat,
        ran: trail.ran,
        turned: trail.turned,
        attempts: call.route.attempts,
        left: call.left(now),
        objective: call.route.objective,
    });
    let members = core.ledger.borrow().members();
    let go = match next {
        Next::Stop => false,
        Next::Again { draws: false } => true,
        Next::Again { draws: true } => {
            core.allowance(service, |a| a.take(now, members, call.rank == 0))
        }
    };
    log::info!(
        "event=retry_decided id={} failure={} ran={} turned={} attempts={} members={members} left_ms={} again={go}",
        call.ask.id,
        fault.failure.as_str(),
        trail.ran,
        trail.turned,
        call.route.attempts,
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
                core.strikes.borrow_mut().crashed(call.print, now);
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

/// Takes the tokens that the request may consume at most. Waits for a grant while the store can be
/// asked.
async fn take_tokens<D: Dialect>(
    core: &Rc<Core<D>>,
    call: &Call,
    events: Rc<Cell<u64>>,
) -> Result<Charge<D>, Refusal> {
    let mut charge = Charge {
        core: Rc::clone(core),
        spending: None,
        prompt: call.prompt(),
        stride: call.stride(),
        read: Cell::new(false),
        events,
    };
    let (Some(customer), Some(tokens)) = (&call.customer, call.ask.tokens) else {
        return Ok(charge);
    };
    if customer.prepaid.is_none() {
        return Ok(charge);
    }
    let cost = tokens.prompt + tokens.output;
    let spending = Spending {
        customer: Arc::clone(&customer.name),
        cost,
    };
    let admit = wait_for_tokens(core, call, &spending).await;
    let now = Instant::now();
    let ledger = core.ledger.borrow();
    log::info!(
        "event=tokens id={} customer={} prompt={} cost={cost} outcome={admit:?} remaining={} attached={} contact_ms={} waited_ms={}",
        call.ask.id,
        customer.name,
        tokens.prompt,
        ledger.remaining(&customer.name),
        ledger.is_attached(now),
        ledger.contact_age(now).map_or(-1, |d| d.as_millis() as i64),
        now.duration_since(call.at).as_millis()
    );
    match admit {
        Admit::Taken => {
            charge.spending = Some(spending);
            Ok(charge)
        }
        Admit::Exhausted => Err(Refusal::rejected(402, "budget_exhausted")),
        Admit::Grant | Admit::Refused | Admit::Release(_) => {
            let retry = retry_after(GRANT_RETRY, call.left(now));
            Err(Refusal::not_run("no_grant", retry))
        }
    }
}

/// Takes tokens as soon as there are some: at once, after the next writes, or as the reserve is
/// released. Ends as soon as it is clear that there are none in time.
async fn wait_for_tokens<D: Dialect>(
    core: &Rc<Core<D>>,
    call: &Call,
    spending: &Spending,
) -> Admit {
    let ask = |now| {
        core.ledger
            .borrow_mut()
            .admit(&spending.customer, spending.cost, now)
    };
    let mut admit = ask(call.at);
    let begun = core.ledger.borrow().landings();
    let mut wanted = None;
    loop {
        let now = Instant::now();
        match admit {
            Admit::Taken | Admit::Exhausted | Admit::Refused => return admit,
            Admit::Release(time) if now + time > call.at + call.patience() => return admit,
            Admit::Release(time) => {
                // Another request may take what is released: look again before the time is over.
                let landed = core.granted.notified();
                let _ = timeout(time, landed).await;
            }
            Admit::Grant => {
                let dry = {
                    let ledger = core.ledger.borrow();
                    ledger.landings() - begun >= GRANT_WRITES
                        && ledger.is_dry(&spending.customer, spending.cost, now)
                };
                if dry || now > call.at + GRANT_WAIT {
                    return admit;
                }
                wanted.get_or_insert_with(|| Wanted::new(core, spending));
                let landed = core.granted.notified();
                let _ = timeout(GRANT_LOOK, landed).await;
            }
        }
        admit = ask(Instant::now());
    }
}

/// Tokens that a waiting request asks the writer for.
struct Wanted<'a, D> {
    core: &'a Rc<Core<D>>,
    spending: &'a Spending,
}

impl<'a, D> Wanted<'a, D> {
    fn new(core: &'a Rc<Core<D>>, spending: &'a Spending) -> Wanted<'a, D> {
        core.ledger
            .borrow_mut()
            .want(&spending.customer, spending.cost, true);
        core.wanted.notify_one();
        Wanted { core, spending }
    }
}

impl<D> Drop for Wanted<'_, D> {
    fn drop(&mut self) {
        self.core
            .ledger
            .borrow_mut()
            .want(&self.spending.customer, self.spending.cost, false);
    }
}

/// The service that the request goes to, by the weights of its route.
fn choose_service(call: &Call) -> ServiceId {
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
async fn pick<D: Dialect>(
    core: &Rc<Core<D>>,
    call: &Call,
    trail: &Trail,
    service: &ServiceId,
) -> Option<Rc<Upstream>> {
    let wait = (call.route.objective / WAIT_PART).max(LEAST_WAIT);
    let until = tokio::time::Instant::from_std((Instant::now() + wait).min(call.deadline));
    loop {
        let freed = core.freed.notified();
        if let Some(upstream) = choose(core, call, trail, service) {
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
    trail: &Trail,
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
        .map_or(u32::MAX, |s| (s.connections / members).max(2));
    let runners: Vec<_> = core.directory.borrow().ready(service).cloned().collect();
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
            tried: c.tried || trail.tried.contains(&runner.id),
            ..c
        })
        .collect();
    if let Some(key) = key {
        let mut order: Vec<usize> = (0..runners.len()).collect();
        order.sort_by_key(|i| std::cmp::Reverse(affinity(key, &runners[*i].id)));
        for (rank, i) in order.into_iter().enumerate() {
            candidates[i].affinity = rank;
        }
    }
    let demand = Demand {
        prompt: call.prompt(),
        shared: parts[..shared].iter().map(|p| u64::from(p.tokens)).sum(),
        objective_ms: call.route.objective.as_secs_f64() * 1000.0,
    };
    let salt = fingerprint("", &call.ask.id, &[]);
    let chosen = place(&candidates, &demand, salt)?;
    log_placed(call, &runners[chosen].id, &candidates, chosen, &demand);
    Some(Rc::clone(&upstreams[chosen]))
}

/// Tells what a request was placed by.
fn log_placed(call: &Call, runner: &str, candidates: &[Candidate], chosen: usize, demand: &Demand) {
    let c = &candidates[chosen];
    let count = |f: fn(&Candidate) -> bool| candidates.iter().filter(|c| f(c)).count();
    log::info!(
        "event=placed id={} runner={runner} of={} tried={} suspect={} full={} prompt={} shared={} affinity={} warm={} running={:.0} waiting={:.0} backlog={} failing={:.2} config={}",
        call.ask.id,
        candidates.len(),
        count(|c| c.tried),
        count(|c| c.suspect),
        count(|c| c.full),
        demand.prompt,
        demand.shared,
        c.affinity as isize,
        c.warm,
        c.running,
        c.waiting,
        c.backlog,
        c.failing,
        call.config.version
    );
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
    if status == 200 && call.route.repeat.is_stream() {
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
        status >= 500 && call.route.repeat.may_repeat() && trail.ran + 1 < call.route.attempts;
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

impl Call {
    /// Tokens that one event of the answer holds at most.
    fn stride(&self) -> u64 {
        self.route
            .services
            .iter()
            .filter_map(|(s, _)| self.config.services.get(s))
            .map(|s| s.stride)
            .max()
            .unwrap_or(1)
    }
}
