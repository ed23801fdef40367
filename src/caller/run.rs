//! ChatRequest and plain-service requests from their head to their answer.

use std::{
    io,
    sync::Arc,
    time::Duration, //
};

use super::{
    auth,
    chat::{
        ChatRequest,
        Sending,
        hash, //
    },
    exchange::{
        self,
        Order,
        Work, //
    },
    forward::{
        ForwardedResponse,
        forward, //
    },
    keyed::{
        self,
        Begin, //
    },
    plain::Plain,
    relay::Completion,
    reply::{
        answer,
        answer_as,
        refuse, //
    },
    server::trace_of,
};
use crate::{
    claim::Recorded,
    inbound::{
        CallerGone,
        Request, //
    },
    kernel::Context,
    model::{
        Code,
        Configuration,
        Customer,
        Incarnation,
        Profile,
        RequestError,
        RetryPolicy,
        Service,
        TargetKind,
        Tokens,
        Verdict, //
    },
    target::Method,
    telemetry::{
        SpanKind,
        TraceContext, //
    },
};

/// Longest time between two tokens that an answer is waited for, on average. The target is 68 ms
/// for 95 in 100 tokens.
const TOKEN_TIME: Duration = Duration::from_millis(200);

/// Longest idempotency key, in bytes; it becomes a part of the key of a row.
const MAX_KEY: usize = 255;

/// Least time for a whole exchange with a target.
const MIN_EXCHANGE: Duration = Duration::from_secs(30);

/// What a request's head says, after it was checked against the configuration.
pub(super) struct Head<'a> {
    pub(super) customer: &'a Customer,
    pub(super) profile: &'a Profile,
    service: &'a Service,
    pub(super) key: Option<String>,
    start: Duration,
}

impl<'a> Head<'a> {
    /// Checks a request's profile and key against the configuration.
    pub(super) fn of(
        ctx: &Context,
        config: &'a Configuration,
        customer: &'a Customer,
        name: &str,
        key: Option<String>,
    ) -> Result<Self, RequestError> {
        let profile = auth::profile(config, customer, name)?;
        let service = config.services.get(&profile.service).ok_or_else(|| {
            RequestError::not_run(Code::NoTarget, "the profile's service does not exist")
        })?;
        if profile.retry == RetryPolicy::Once && key.is_none() {
            let detail = "requests of this profile need an idempotency-key header";
            return Err(RequestError::not_run(Code::KeyRequired, detail));
        }
        let key = key.filter(|_| profile.retry == RetryPolicy::Once);
        if key
            .as_ref()
            .is_some_and(|key| key.is_empty() || key.len() > MAX_KEY)
        {
            let detail = format!("an idempotency key has 1 to {MAX_KEY} bytes");
            return Err(RequestError::not_run(Code::BadRequest, detail));
        }
        Ok(Self {
            customer,
            profile,
            service,
            key,
            start: ctx.clock.now(),
        })
    }
}

/// The idempotency key of a request.
fn key_of(request: &Request) -> Option<String> {
    request.header("idempotency-key").map(str::to_owned)
}

/// Serves `POST /v1/chat/completions`.
pub(crate) fn chat(ctx: &Context, request: Request) -> io::Result<()> {
    let config = ctx.config.load();
    match read_chat(ctx, &request, &config) {
        Ok((head, chat, print)) => complete(ctx, request, &head, &chat, &print),
        Err(fault) => refuse_early(ctx, request, &fault),
    }
}

type ParsedChat<'a> = (Head<'a>, ChatRequest, Arc<str>);

fn read_chat<'a>(
    ctx: &Context,
    request: &Request,
    config: &'a Configuration,
) -> Result<ParsedChat<'a>, RequestError> {
    let customer = auth::customer(request.fields(), config)?;
    let chat = ChatRequest::parse(request.body())?;
    let name = request
        .header("x-cuminloom-profile")
        .or(chat.profile())
        .ok_or_else(|| {
            RequestError::not_run(Code::BadRequest, "\"model\" has to name a profile")
        })?;
    let head = Head::of(ctx, config, customer, name, key_of(request))?;
    if head.service.kind != TargetKind::Engine {
        let detail = "the profile is for a plain service, under /s/<profile>/";
        return Err(RequestError::not_run(Code::BadRequest, detail));
    }
    let print = keyed::fingerprint(name, "POST", "/v1/chat/completions", request.body());
    Ok((head, chat, print))
}

fn complete(
    ctx: &Context,
    request: Request,
    head: &Head<'_>,
    chat: &ChatRequest,
    print: &str,
) -> io::Result<()> {
    let profile = head.profile;
    let bound = chat.cost_bound(profile.max_output);
    let wait = TOKEN_TIME.saturating_mul(u32::try_from(profile.max_output).unwrap_or(u32::MAX));
    let salt = format!("{:016x}", hash(head.customer.id.as_bytes()));
    let (trace, parent) = trace_of(ctx, &request);
    let left = request.caller_gone();
    let mut work = Completion {
        chat,
        sending: Sending {
            model: &head.service.model,
            output: profile.max_output,
            salt: &salt,
            urgency: profile.urgency,
        },
        bound,
        generation: wait,
        limit: (profile.deadline + wait).max(MIN_EXCHANGE),
        caller: Some(request),
        answer: None,
        gaps: &ctx.metrics.token_gap,
    };
    let affinity = chat.affinity() ^ hash(head.customer.id.as_bytes());
    let order = order(head, bound, print, affinity, trace, Some(left));
    let result = keyed_run(ctx, head, &order, print, &mut work, |work| {
        let recorded = work.answer.as_ref();
        let streamed = || Recorded {
            status: 200,
            kind: "text/event-stream".into(),
            body: None,
        };
        recorded.map_or_else(streamed, |(status, kind, body)| {
            Recorded::new(*status, kind, body)
        })
    });
    end_span(ctx, &order, parent, &result);
    let Some(caller) = work.caller else {
        // The stream has told the caller how it ended.
        return Ok(());
    };
    respond(caller, result, work.answer)
}

/// Serves `/s/<profile>/<path>`.
pub(crate) fn plain(ctx: &Context, request: Request) -> io::Result<()> {
    let config = ctx.config.load();
    match read_plain(ctx, &request, &config) {
        Ok((head, work, print)) => call(ctx, request, &head, work, &print),
        Err(fault) => refuse_early(ctx, request, &fault),
    }
}

fn read_plain<'a>(
    ctx: &Context,
    request: &Request,
    config: &'a Configuration,
) -> Result<(Head<'a>, Plain, Arc<str>), RequestError> {
    let customer = auth::customer(request.fields(), config)?;
    let rest = request.url().strip_prefix("/s/").unwrap_or_default();
    let (name, path) = rest.split_once('/').unwrap_or((rest, ""));
    let head = Head::of(ctx, config, customer, name, key_of(request))?;
    if head.service.kind != TargetKind::Plain {
        let detail = "the profile is for a model engine, at /v1/chat/completions";
        return Err(RequestError::not_run(Code::BadRequest, detail));
    }
    let method = method_of(request)?;
    let kind = request
        .header("content-type")
        .unwrap_or("application/octet-stream")
        .to_owned();
    let body: Arc<[u8]> = request.body().into();
    let print = keyed::fingerprint(name, request.method(), path, &body);
    let work = Plain {
        method,
        path: format!("/{path}").into(),
        kind,
        body,
        key: key_of(request),
        limit: head.profile.deadline,
        charge: head.profile.charge,
        answer: None,
    };
    Ok((head, work, print))
}

fn call(
    ctx: &Context,
    request: Request,
    head: &Head<'_>,
    mut work: Plain,
    print: &str,
) -> io::Result<()> {
    let (trace, parent) = trace_of(ctx, &request);
    let order = order(
        head,
        head.profile.charge,
        print,
        0,
        trace,
        Some(request.caller_gone()),
    );
    let result = match keyed_run(ctx, head, &order, print, &mut work, recorded) {
        Ok(Ending::Elsewhere(owner)) => forward(ctx, &owner, head, &work),
        result => result,
    };
    end_span(ctx, &order, parent, &result);
    respond(request, result, work.answer)
}

fn recorded(work: &Plain) -> Recorded {
    let (status, kind, body) = work.answer.as_ref().expect("a call that ran has an answer");
    Recorded::new(*status, kind, body)
}

/// Runs a call that a peer passed on.
pub(super) fn call_here(
    ctx: &Context,
    head: &Head<'_>,
    work: &mut Plain,
    trace: TraceContext,
) -> Result<ForwardedResponse, RequestError> {
    let path = work.path.strip_prefix('/').unwrap_or(&work.path);
    let method = work.method.as_str();
    let print = keyed::fingerprint(&head.profile.id, method, path, &work.body);
    let order = order(head, head.profile.charge, &print, 0, trace, None);
    let result = keyed_run(ctx, head, &order, &print, work, recorded);
    end_span(ctx, &order, 0, &result);
    let (status, kind, body) = match (result?, work.answer.take()) {
        (Ending::Ran, Some(answer)) => answer,
        (
            Ending::Replay(Recorded {
                status,
                kind,
                body: Some(body),
            }),
            _,
        ) => (status, kind, body.to_vec()),
        // The process that minted the key has ended; this one took its place.
        (Ending::Elsewhere(owner), _) => return Err(elsewhere(&owner)),
        _ => return Err(not_kept()),
    };
    let verdict = Verdict::Ran;
    Ok(ForwardedResponse {
        status,
        verdict,
        content_type: kind.to_string(),
        body,
    })
}

fn order<'a>(
    head: &Head<'a>,
    bound: Tokens,
    print: &str,
    affinity: u64,
    trace: TraceContext,
    left: Option<CallerGone>,
) -> Order<'a> {
    Order {
        profile: head.profile,
        customer: &head.customer.id,
        kind: head.service.kind,
        bound,
        print: hash(print.as_bytes()) ^ hash(head.customer.id.as_bytes()),
        affinity,
        start: head.start,
        trace,
        left,
    }
}

/// How a request ended for its caller.
pub(super) enum Ending {
    /// It ran now.
    Ran,
    /// It ran before; this is the recorded answer.
    Replay(Recorded),
    /// Only this process may run it.
    Elsewhere(Incarnation),
    /// Another daemon answered it.
    Forwarded(ForwardedResponse),
}

/// Runs a request, under the claim of its idempotency key when it has one.
fn keyed_run<W: Work>(
    ctx: &Context,
    head: &Head<'_>,
    order: &Order<'_>,
    print: &str,
    work: &mut W,
    record: impl FnOnce(&W) -> Recorded,
) -> Result<Ending, RequestError> {
    let Some(key) = &head.key else {
        return exchange::run(ctx, order, work).map(|()| Ending::Ran);
    };
    match keyed::begin(ctx, &head.customer.id, key, print) {
        Begin::Replay(recorded) => Ok(Ending::Replay(recorded)),
        Begin::Refuse(fault) => Err(fault),
        Begin::Forward(owner) => Ok(Ending::Elsewhere(owner)),
        Begin::Run(claim) => {
            let result = exchange::run(ctx, order, work);
            claim.finish(result.as_ref().map(|()| record(work)));
            result.map(|()| Ending::Ran)
        }
    }
}

fn respond(
    caller: Request,
    result: Result<Ending, RequestError>,
    ran: Option<(u16, Arc<str>, Vec<u8>)>,
) -> io::Result<()> {
    match (result, ran) {
        (Ok(Ending::Ran), Some((status, kind, body))) => answer(caller, status, &kind, &body),
        (
            Ok(Ending::Replay(Recorded {
                status,
                kind,
                body: Some(body),
            })),
            _,
        ) => answer(caller, status, &kind, &body),
        (Ok(Ending::Forwarded(relayed)), _) => {
            let ForwardedResponse {
                status,
                verdict,
                content_type: kind,
                body,
            } = relayed;
            answer_as(caller, status, verdict, &kind, &body)
        }
        (Ok(Ending::Elsewhere(owner)), _) => refuse(caller, &elsewhere(&owner)),
        (Ok(_), _) => refuse(caller, &not_kept()),
        (Err(fault), _) => refuse(caller, &fault),
    }
}

/// The refusal of a request whose key only another process may use.
pub(super) fn elsewhere(owner: &str) -> RequestError {
    let detail = format!("only {owner} may run a request with this key");
    RequestError::may_have_run(Code::AlreadyClaimed, detail)
}

/// The refusal of a request that ran before, when its answer is gone.
fn not_kept() -> RequestError {
    RequestError {
        verdict: Verdict::Ran,
        code: Code::AlreadyClaimed,
        detail: "the request ran before; its answer was not kept".into(),
    }
}

fn refuse_early(ctx: &Context, request: Request, fault: &RequestError) -> io::Result<()> {
    count(ctx, "", Some(fault));
    refuse(request, fault)
}

/// Counts an ended request by its service, empty if none was found.
pub(super) fn count(ctx: &Context, service: &str, fault: Option<&RequestError>) {
    let (code, verdict) = match fault {
        None => ("ok", Verdict::Ran),
        Some(fault) => (fault.code.as_str(), fault.verdict),
    };
    ctx.metrics
        .requests
        .with_label_values(&[service, code, verdict.as_str()])
        .inc();
}

fn end_span(ctx: &Context, order: &Order<'_>, parent: u64, result: &Result<Ending, RequestError>) {
    count(ctx, &order.profile.service, result.as_ref().err());
    let mut span = ctx
        .tracer
        .start("request", SpanKind::Server, order.trace, parent);
    span.start = ctx.clock.wall(order.start);
    span.add_attribute("profile", &order.profile.id);
    span.add_attribute("customer", order.customer);
    if let Err(fault) = result {
        span.add_attribute("code", fault.code.as_str());
        span.add_attribute("verdict", fault.verdict);
    }
    ctx.tracer.end(span);
}

fn method_of(request: &Request) -> Result<Method, RequestError> {
    let unsupported = || RequestError::not_run(Code::BadRequest, "the method is not supported");
    Method::parse(request.method()).ok_or_else(unsupported)
}
