//! Runs an accepted request: admission to its budget, queueing, exchange with a target, billing and
//! retries.

use std::{
    net::SocketAddr,
    time::Duration, //
};

use crate::{
    inbound::CallerGone,
    kernel::Context,
    model::{
        Code,
        Profile,
        RequestError,
        TargetKind,
        Tokens,
        Urgency,
        Verdict, //
    },
    node::AdmissionRequest,
    route::{
        AttemptOutcome,
        Job, //
    },
    target::{
        Reply,
        TargetRequest,
        send_request, //
    },
    telemetry::{
        Span,
        SpanKind,
        TraceContext, //
    },
};

/// What admission, queueing and tracing need to know of a request.
pub(crate) struct RequestContext<'a> {
    /// Profile under which the request runs.
    pub(crate) profile: &'a Profile,
    /// Id of the customer that sent it.
    pub(crate) customer: &'a str,
    /// Kind of the profile's targets.
    pub(crate) target_kind: TargetKind,
    /// Upper bound of its cost, in tokens; reserved from the budget.
    pub(crate) cost_bound: Tokens,
    /// Hash of customer, profile, method, path and body, by which the router counts crashes.
    pub(crate) fingerprint: u64,
    /// Hash of customer and first message, for prefix affinity; 0 for none.
    pub(crate) affinity: u64,
    /// Time of arrival on the daemon's clock.
    pub(crate) arrival: Duration,
    /// Trace context of the request's span.
    pub(crate) trace: TraceContext,
    /// Tells whether the caller has disconnected; `None` for a request forwarded by a peer.
    pub(crate) caller_gone: Option<CallerGone>,
}

/// Result of one exchange with a target.
pub(crate) struct AttemptResult {
    /// Tokens that the target reported, if any.
    pub(crate) tokens: Option<Tokens>,
    /// Outcome that is reported to the router.
    pub(crate) outcome: AttemptOutcome,
    /// Failure to report to the caller; `None` when the whole answer arrived.
    pub(crate) error: Option<RequestError>,
}

/// Builds the request to a target and handles its reply, for one kind of target.
pub(crate) trait TargetCall {
    /// Builds the request to the target at `addr` with the request id `id` and the trace context
    /// `trace`; `time_left` is the time until the deadline of the first byte.
    fn build_request(
        &self,
        addr: SocketAddr,
        id: &str,
        trace: TraceContext,
        time_left: Duration,
    ) -> TargetRequest;

    /// Passes the target's reply on to the caller or keeps it for the response.
    fn handle_reply(&mut self, reply: Reply) -> AttemptResult;
}

/// Runs a request, with retries, until an attempt succeeds or no further one is allowed. On `Ok`
/// the reply has been handled by `call`.
///
/// # Errors
///
/// Fails with the verdict of the last attempt, or with may-have-run when an earlier attempt may
/// have run.
pub(crate) fn run_request<W: TargetCall>(
    ctx: &Context,
    request: &RequestContext<'_>,
    call: &mut W,
) -> Result<(), RequestError> {
    let mut may_have_run = false;
    let mut ticket = RouterTicket { ctx, number: None };
    loop {
        let outcome = run_attempt(ctx, request, call, &mut ticket);
        match outcome {
            Ok(()) => return Ok(()),
            Err(FailedAttempt { error, retry: true }) => {
                may_have_run |= error.verdict != Verdict::NotRun;
                let service = &*request.profile.service;
                ctx.metrics.retries.with_label_values(&[service]).inc();
            }
            Err(FailedAttempt { mut error, .. }) => {
                if may_have_run && error.verdict == Verdict::NotRun {
                    error.verdict = Verdict::MayHaveRun;
                }
                return Err(error);
            }
        }
    }
}

/// A failed attempt and whether the router has queued the request for a retry.
struct FailedAttempt {
    error: RequestError,
    retry: bool,
}

impl From<RequestError> for FailedAttempt {
    fn from(error: RequestError) -> Self {
        Self {
            error,
            retry: false,
        }
    }
}

/// Router ticket of a request. Dropping it cancels the request in the router unless the last attempt
/// was reported.
struct RouterTicket<'a> {
    ctx: &'a Context,
    number: Option<u64>,
}

impl Drop for RouterTicket<'_> {
    fn drop(&mut self) {
        if let Some(ticket) = self.number {
            self.ctx.router.finish(ticket, AttemptOutcome::Cancelled);
        }
    }
}

/// Tokens reserved for one attempt. Dropping it unsettled charges the whole reservation, because a
/// request that was sent may have cost all of it.
struct Reservation<'a> {
    ctx: &'a Context,
    service: &'a str,
    seq: u64,
    tokens: Tokens,
    unsettled: bool,
}

impl Reservation<'_> {
    /// Bills `tokens`, at most the reservation; later calls have no effect.
    fn settle(&mut self, tokens: Tokens, verdict: Verdict) {
        if !std::mem::take(&mut self.unsettled) {
            return;
        }
        if tokens > self.tokens {
            self.ctx
                .metrics
                .overruns
                .with_label_values(&[self.service])
                .inc();
        }
        let charged = tokens.min(self.tokens);
        self.ctx
            .metrics
            .billed_tokens
            .with_label_values(&[self.service])
            .inc_by(charged);
        self.ctx.node.finish(self.seq, charged, verdict);
    }
}

impl Drop for Reservation<'_> {
    fn drop(&mut self) {
        self.settle(self.tokens, Verdict::MayHaveRun);
    }
}

/// Admits, queues and sends the request once.
fn run_attempt<W: TargetCall>(
    ctx: &Context,
    request: &RequestContext<'_>,
    call: &mut W,
    ticket: &mut RouterTicket<'_>,
) -> Result<(), FailedAttempt> {
    let mut reservation = admit(ctx, request)?;
    let assignment = match wait_for_target(ctx, request, ticket) {
        Ok(assignment) => assignment,
        Err(error) => {
            reservation.settle(0, Verdict::NotRun);
            return Err(error.into());
        }
    };
    let id = format!("{}-{}", ctx.process, reservation.seq);
    let trace = request.trace.child();
    let mut span = ctx
        .tracer
        .start("send", SpanKind::Client, trace, request.trace.span);
    span.add_attribute("target", &assignment.target);
    let deadline = request.arrival + request.profile.deadline;
    let time_left = deadline.saturating_sub(ctx.clock.now());
    let result = match send_request(&call.build_request(assignment.addr, &id, trace, time_left)) {
        Ok(reply) if is_rejection(&reply, request) => rejected_result(),
        Ok(reply) => {
            ctx.router.first_byte(assignment.ticket);
            observe_first_byte(ctx, request);
            call.handle_reply(reply)
        }
        Err(error) => send_failed(error),
    };
    finish_attempt(ctx, result, &mut reservation, ticket, span)
}

/// Bills an attempt and reports its outcome to the router, which decides on a retry.
fn finish_attempt(
    ctx: &Context,
    result: AttemptResult,
    reservation: &mut Reservation<'_>,
    ticket: &mut RouterTicket<'_>,
    mut span: Span,
) -> Result<(), FailedAttempt> {
    let AttemptResult {
        tokens,
        outcome,
        error,
    } = result;
    let verdict = error.as_ref().map_or(Verdict::Ran, |error| error.verdict);
    let charge = match verdict {
        Verdict::NotRun => 0,
        _ => tokens.unwrap_or(reservation.tokens),
    };
    reservation.settle(charge, verdict);
    span.add_attribute("verdict", verdict);
    ctx.tracer.end(span);
    let number = ticket.number.expect("the attempt was dispatched");
    let retry = ctx.router.finish(number, outcome);
    if !retry {
        ticket.number = None;
    }
    match error {
        None => Ok(()),
        Some(error) => Err(FailedAttempt { error, retry }),
    }
}

/// Reserves the upper bound of the cost from the profile's budget.
fn admit<'a>(
    ctx: &'a Context,
    request: &RequestContext<'a>,
) -> Result<Reservation<'a>, RequestError> {
    let span = ctx.tracer.start(
        "admit",
        SpanKind::Internal,
        request.trace.child(),
        request.trace.span,
    );
    let admission = AdmissionRequest {
        customer: request.customer.into(),
        profile: request.profile.id.clone(),
        budget: request.profile.budget.clone(),
        bound: request.cost_bound,
    };
    let deadline = request.arrival + request.profile.deadline;
    let seq = ctx.node.admit(admission, deadline);
    ctx.tracer.end(span);
    let service = &*request.profile.service;
    Ok(Reservation {
        ctx,
        service,
        seq: seq?,
        tokens: request.cost_bound,
        unsettled: true,
    })
}

/// Waits until the router assigns a target.
fn wait_for_target(
    ctx: &Context,
    request: &RequestContext<'_>,
    ticket: &mut RouterTicket<'_>,
) -> Result<crate::route::Assignment, RequestError> {
    let span = ctx.tracer.start(
        "queue",
        SpanKind::Internal,
        request.trace.child(),
        request.trace.span,
    );
    let assigned = match ticket.number {
        // The router queued the retry when the failed attempt was reported.
        Some(number) => ctx.router.wait(number, request.caller_gone.as_ref()),
        None => ctx
            .router
            .enqueue(router_job(request), request.caller_gone.as_ref()),
    };
    ctx.tracer.end(span);
    ticket.number = assigned.as_ref().ok().map(|assignment| assignment.ticket);
    assigned
}

/// Describes the request to the router.
fn router_job(request: &RequestContext<'_>) -> Job {
    Job {
        ticket: 0,
        service: request.profile.service.clone(),
        customer: request.customer.into(),
        urgency: request.profile.urgency,
        repeat: request.profile.retry,
        deadline: request.arrival + request.profile.deadline,
        fingerprint: request.fingerprint,
        affinity: request.affinity,
        cost: request.cost_bound,
    }
}

/// Whether an engine rejected the request before running it. A plain service may answer 503 after
/// doing part of its work, so its reply is passed on.
fn is_rejection(reply: &Reply, request: &RequestContext<'_>) -> bool {
    request.target_kind == TargetKind::Engine && matches!(reply.status, 429 | 503)
}

/// Result of an attempt that the engine rejected.
fn rejected_result() -> AttemptResult {
    let error = RequestError::not_run(Code::Overloaded, "the target rejected the request");
    AttemptResult {
        tokens: None,
        outcome: AttemptOutcome::Refused,
        error: Some(error),
    }
}

/// Result of an attempt that got no reply.
fn send_failed(error: RequestError) -> AttemptResult {
    let outcome = match error.verdict {
        Verdict::NotRun if error.code == Code::TargetFailed => AttemptOutcome::Unreachable,
        Verdict::NotRun => AttemptOutcome::Cancelled,
        verdict => failure_outcome(&error, verdict),
    };
    AttemptResult {
        tokens: None,
        outcome,
        error: Some(error),
    }
}

/// Outcome of a failed exchange for the router. A timeout or an oversized answer is no crash: a
/// strike for it could lead to a refusal of the request.
pub(crate) fn failure_outcome(error: &RequestError, verdict: Verdict) -> AttemptOutcome {
    match error.code {
        Code::Deadline | Code::TooLarge => AttemptOutcome::Cancelled,
        _ => AttemptOutcome::Crashed(verdict),
    }
}

/// Records the time from arrival to the first byte.
fn observe_first_byte(ctx: &Context, request: &RequestContext<'_>) {
    let urgency = match request.profile.urgency {
        Urgency::Urgent => "urgent",
        Urgency::Patient => "patient",
    };
    let elapsed = ctx.clock.now().saturating_sub(request.arrival);
    let labels = [&*request.profile.service, urgency];
    ctx.metrics
        .first_token
        .with_label_values(&labels)
        .observe(elapsed.as_secs_f64());
}
