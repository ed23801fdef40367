//! The path of one accepted request: admission, queue, send, answer, bill.

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

/// Who sends a request, under which profile, and what is known of its cost.
pub(crate) struct Order<'a> {
    /// Profile of the request.
    pub(crate) profile: &'a Profile,
    /// Customer that sent it.
    pub(crate) customer: &'a str,
    /// What the targets speak.
    pub(crate) kind: TargetKind,
    /// Upper bound of its cost, in tokens.
    pub(crate) bound: Tokens,
    /// Hash of customer and body.
    pub(crate) print: u64,
    /// Hash of the prompt's start, or 0.
    pub(crate) affinity: u64,
    /// Time of arrival on the daemon's clock.
    pub(crate) start: Duration,
    /// Span of the request.
    pub(crate) trace: TraceContext,
    /// Tells when the caller has left; `None` for a request that a peer passed on.
    pub(crate) left: Option<CallerGone>,
}

/// What the target's answer came to.
pub(crate) struct Delivered {
    /// Tokens that the target reports; `None` when it reported none.
    pub(crate) tokens: Option<Tokens>,
    /// How the exchange ended for the router.
    pub(crate) ended: AttemptOutcome,
    /// Failure to report when the answer did not arrive whole.
    pub(crate) fault: Option<RequestError>,
}

/// A kind of request: how it is sent and how its answer is passed on.
pub(crate) trait Work {
    /// Builds the request; `id` names it towards the target, `trace` continues its trace, and
    /// `left` is the time left until the first byte of the answer is due.
    fn outgoing(
        &self,
        addr: SocketAddr,
        id: &str,
        trace: TraceContext,
        left: Duration,
    ) -> TargetRequest;

    /// Takes the target's answer.
    fn deliver(&mut self, reply: Reply) -> Delivered;
}

/// Runs one request to its end. The work has passed on or kept the answer when this returns `Ok`.
///
/// # Errors
///
/// Fails with the verdict of the last attempt, or with may-have-run when an earlier attempt may
/// have run.
pub(crate) fn run<W: Work>(
    ctx: &Context,
    order: &Order<'_>,
    work: &mut W,
) -> Result<(), RequestError> {
    let mut attempted = false;
    let mut ticket = Ticket { ctx, number: None };
    loop {
        let outcome = attempt(ctx, order, work, &mut ticket);
        match outcome {
            Ok(()) => return Ok(()),
            Err(Failed { fault, retry: true }) => {
                attempted |= fault.verdict != Verdict::NotRun;
                let service = &*order.profile.service;
                ctx.metrics.retries.with_label_values(&[service]).inc();
            }
            Err(Failed { mut fault, .. }) => {
                if attempted && fault.verdict == Verdict::NotRun {
                    fault.verdict = Verdict::MayHaveRun;
                }
                return Err(fault);
            }
        }
    }
}

struct Failed {
    fault: RequestError,
    retry: bool,
}

impl From<RequestError> for Failed {
    fn from(fault: RequestError) -> Self {
        Self {
            fault,
            retry: false,
        }
    }
}

/// The request's place in the router, given up when the request ends early.
struct Ticket<'a> {
    ctx: &'a Context,
    number: Option<u64>,
}

impl Drop for Ticket<'_> {
    fn drop(&mut self) {
        if let Some(ticket) = self.number {
            self.ctx.router.finish(ticket, AttemptOutcome::Cancelled);
        }
    }
}

/// The reservation of one attempt. It is charged in full unless the attempt says otherwise, because
/// a request that was sent may have cost all of it.
struct Paid<'a> {
    ctx: &'a Context,
    service: &'a str,
    seq: u64,
    bound: Tokens,
    open: bool,
}

impl Paid<'_> {
    fn settle(&mut self, tokens: Tokens, verdict: Verdict) {
        if !std::mem::take(&mut self.open) {
            return;
        }
        if tokens > self.bound {
            self.ctx
                .metrics
                .overruns
                .with_label_values(&[self.service])
                .inc();
        }
        let charged = tokens.min(self.bound);
        self.ctx
            .metrics
            .billed_tokens
            .with_label_values(&[self.service])
            .inc_by(charged);
        self.ctx.node.finish(self.seq, charged, verdict);
    }
}

impl Drop for Paid<'_> {
    fn drop(&mut self) {
        self.settle(self.bound, Verdict::MayHaveRun);
    }
}

fn attempt<W: Work>(
    ctx: &Context,
    order: &Order<'_>,
    work: &mut W,
    ticket: &mut Ticket<'_>,
) -> Result<(), Failed> {
    let mut paid = admit(ctx, order)?;
    let slot = match queue(ctx, order, ticket) {
        Ok(slot) => slot,
        Err(fault) => {
            paid.settle(0, Verdict::NotRun);
            return Err(fault.into());
        }
    };
    let id = format!("{}-{}", ctx.process, paid.seq);
    let trace = order.trace.child();
    let mut span = ctx
        .tracer
        .start("send", SpanKind::Client, trace, order.trace.span);
    span.add_attribute("target", &slot.target);
    let deadline = order.start + order.profile.deadline;
    let left = deadline.saturating_sub(ctx.clock.now());
    let delivered = match send_request(&work.outgoing(slot.addr, &id, trace, left)) {
        Ok(reply) if is_refusal(&reply, order) => refused(),
        Ok(reply) => {
            ctx.router.first_byte(slot.ticket);
            observe_first(ctx, order);
            work.deliver(reply)
        }
        Err(fault) => unsent(fault),
    };
    finish(ctx, delivered, &mut paid, ticket, span)
}

fn finish(
    ctx: &Context,
    delivered: Delivered,
    paid: &mut Paid<'_>,
    ticket: &mut Ticket<'_>,
    mut span: Span,
) -> Result<(), Failed> {
    let Delivered {
        tokens,
        ended,
        fault,
    } = delivered;
    let verdict = fault.as_ref().map_or(Verdict::Ran, |fault| fault.verdict);
    let charge = match verdict {
        Verdict::NotRun => 0,
        _ => tokens.unwrap_or(paid.bound),
    };
    paid.settle(charge, verdict);
    span.add_attribute("verdict", verdict);
    ctx.tracer.end(span);
    let number = ticket.number.expect("the attempt was dispatched");
    let retry = ctx.router.finish(number, ended);
    if !retry {
        ticket.number = None;
    }
    match fault {
        None => Ok(()),
        Some(fault) => Err(Failed { fault, retry }),
    }
}

fn admit<'a>(ctx: &'a Context, order: &Order<'a>) -> Result<Paid<'a>, RequestError> {
    let span = ctx.tracer.start(
        "admit",
        SpanKind::Internal,
        order.trace.child(),
        order.trace.span,
    );
    let admission = AdmissionRequest {
        customer: order.customer.into(),
        profile: order.profile.id.clone(),
        budget: order.profile.budget.clone(),
        bound: order.bound,
    };
    let deadline = order.start + order.profile.deadline;
    let admitted = ctx.node.admit(admission, deadline);
    ctx.tracer.end(span);
    let service = &*order.profile.service;
    Ok(Paid {
        ctx,
        service,
        seq: admitted?,
        bound: order.bound,
        open: true,
    })
}

fn queue(
    ctx: &Context,
    order: &Order<'_>,
    ticket: &mut Ticket<'_>,
) -> Result<crate::route::Assignment, RequestError> {
    let span = ctx.tracer.start(
        "queue",
        SpanKind::Internal,
        order.trace.child(),
        order.trace.span,
    );
    let dispatched = match ticket.number {
        // A retry is in the queue already.
        Some(number) => ctx.router.wait(number, order.left.as_ref()),
        None => ctx.router.enqueue(job(order), order.left.as_ref()),
    };
    ctx.tracer.end(span);
    ticket.number = dispatched.as_ref().ok().map(|slot| slot.ticket);
    dispatched
}

fn job(order: &Order<'_>) -> Job {
    Job {
        ticket: 0,
        service: order.profile.service.clone(),
        customer: order.customer.into(),
        urgency: order.profile.urgency,
        repeat: order.profile.retry,
        deadline: order.start + order.profile.deadline,
        fingerprint: order.print,
        affinity: order.affinity,
        cost: order.bound,
    }
}

/// Whether an engine turned the request away before running it. A plain service may answer 503
/// after a part of its work, so its answer is passed on.
fn is_refusal(reply: &Reply, order: &Order<'_>) -> bool {
    order.kind == TargetKind::Engine && matches!(reply.status, 429 | 503)
}

fn refused() -> Delivered {
    let fault = RequestError::not_run(Code::Overloaded, "the target refused the request");
    Delivered {
        tokens: None,
        ended: AttemptOutcome::Refused,
        fault: Some(fault),
    }
}

fn unsent(fault: RequestError) -> Delivered {
    let ended = match fault.verdict {
        Verdict::NotRun if fault.code == Code::TargetFailed => AttemptOutcome::Unreachable,
        Verdict::NotRun => AttemptOutcome::Cancelled,
        verdict => ended_by(&fault, verdict),
    };
    Delivered {
        tokens: None,
        ended,
        fault: Some(fault),
    }
}

/// How an exchange that failed ended for the router. A target that is only slow did not crash, and a
/// strike would have the request refused.
pub(crate) fn ended_by(fault: &RequestError, verdict: Verdict) -> AttemptOutcome {
    match fault.code {
        Code::Deadline | Code::TooLarge => AttemptOutcome::Cancelled,
        _ => AttemptOutcome::Crashed(verdict),
    }
}

fn observe_first(ctx: &Context, order: &Order<'_>) {
    let urgency = match order.profile.urgency {
        Urgency::Urgent => "urgent",
        Urgency::Patient => "patient",
    };
    let waited = ctx.clock.now().saturating_sub(order.start);
    let labels = [&*order.profile.service, urgency];
    ctx.metrics
        .first_token
        .with_label_values(&labels)
        .observe(waited.as_secs_f64());
}
