//! Handlers of chat and plain-service requests.

use std::{
    io,
    sync::Arc,
    time::Duration, //
};

use super::{
    auth,
    chat::{
        ChatRequest,
        EngineFields,
        hash_u64, //
    },
    completion::Completion,
    exchange::{
        self,
        RequestContext,
        TargetCall, //
    },
    forward::{
        ForwardedResponse,
        forward, //
    },
    idempotency::{
        self,
        KeyAction, //
    },
    plain::PlainRequest,
    reply::{
        answer,
        answer_with_verdict,
        refuse, //
    },
    server::trace_context,
};
use crate::{
    claim::RecordedResponse,
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

/// Time allowed per token, on average, for the generation of an answer. The target is 68 ms for 95
/// in 100 tokens.
const MAX_TOKEN_TIME: Duration = Duration::from_millis(200);

/// Longest idempotency key; it becomes part of the key of a row in the store.
const MAX_KEY_BYTES: usize = 255;

/// Shortest timeout of a whole exchange with an engine.
const MIN_EXCHANGE_TIMEOUT: Duration = Duration::from_secs(30);

/// Customer, profile and service of a request, found in the configuration.
pub(super) struct ResolvedRequest<'a> {
    pub(super) customer: &'a Customer,
    pub(super) profile: &'a Profile,
    service: &'a Service,
    pub(super) key: Option<String>,
    arrival: Duration,
}

impl<'a> ResolvedRequest<'a> {
    /// Looks up the profile `name` and its service, and checks the idempotency key.
    pub(super) fn resolve(
        ctx: &Context,
        config: &'a Configuration,
        customer: &'a Customer,
        name: &str,
        key: Option<String>,
    ) -> Result<Self, RequestError> {
        let profile = auth::find_profile(config, customer, name)?;
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
            .is_some_and(|key| key.is_empty() || key.len() > MAX_KEY_BYTES)
        {
            let detail = format!("an idempotency key has 1 to {MAX_KEY_BYTES} bytes");
            return Err(RequestError::not_run(Code::BadRequest, detail));
        }
        Ok(Self {
            customer,
            profile,
            service,
            key,
            arrival: ctx.clock.now(),
        })
    }
}

/// Idempotency key in the request's header.
fn idempotency_key(request: &Request) -> Option<String> {
    request.header("idempotency-key").map(str::to_owned)
}

/// Serves `POST /v1/chat/completions`.
pub(crate) fn serve_chat(ctx: &Context, request: Request) -> io::Result<()> {
    let config = ctx.config.load();
    match read_chat(ctx, &request, &config) {
        Ok((resolved, chat, fingerprint)) => run_chat(ctx, request, &resolved, &chat, &fingerprint),
        Err(error) => reject(ctx, request, &error),
    }
}

/// Profile and service of a chat request, its body and its fingerprint.
type ParsedChat<'a> = (ResolvedRequest<'a>, ChatRequest, Arc<str>);

/// Authenticates and parses a chat request.
fn read_chat<'a>(
    ctx: &Context,
    request: &Request,
    config: &'a Configuration,
) -> Result<ParsedChat<'a>, RequestError> {
    let customer = auth::authenticate(request.fields(), config)?;
    let chat = ChatRequest::parse(request.body())?;
    let name = request
        .header("x-cuminloom-profile")
        .or(chat.profile())
        .ok_or_else(|| {
            RequestError::not_run(Code::BadRequest, "\"model\" has to name a profile")
        })?;
    let resolved = ResolvedRequest::resolve(ctx, config, customer, name, idempotency_key(request))?;
    if resolved.service.kind != TargetKind::Engine {
        let detail = "the profile is for a plain service, under /s/<profile>/";
        return Err(RequestError::not_run(Code::BadRequest, detail));
    }
    let fingerprint =
        idempotency::fingerprint(name, "POST", "/v1/chat/completions", request.body());
    Ok((resolved, chat, fingerprint))
}

/// Runs a chat request and responds.
fn run_chat(
    ctx: &Context,
    request: Request,
    resolved: &ResolvedRequest<'_>,
    chat: &ChatRequest,
    fingerprint: &str,
) -> io::Result<()> {
    let profile = resolved.profile;
    let cost_bound = chat.cost_bound(profile.max_output);
    let generation_time =
        MAX_TOKEN_TIME.saturating_mul(u32::try_from(profile.max_output).unwrap_or(u32::MAX));
    let cache_salt = format!("{:016x}", hash_u64(resolved.customer.id.as_bytes()));
    let (trace, parent) = trace_context(ctx, &request);
    let caller_gone = request.caller_gone();
    let mut call = Completion {
        chat,
        engine_fields: EngineFields {
            model: &resolved.service.model,
            output: profile.max_output,
            cache_salt: &cache_salt,
            urgency: profile.urgency,
        },
        cost_bound,
        generation_time,
        timeout: (profile.deadline + generation_time).max(MIN_EXCHANGE_TIMEOUT),
        caller: Some(request),
        answer: None,
        event_gap: &ctx.metrics.token_gap,
    };
    let affinity = chat.affinity() ^ hash_u64(resolved.customer.id.as_bytes());
    let context = request_context(
        resolved,
        cost_bound,
        fingerprint,
        affinity,
        trace,
        Some(caller_gone),
    );
    let result = run_with_key(ctx, resolved, &context, fingerprint, &mut call, |call| {
        let recorded = call.answer.as_ref();
        let streamed = || RecordedResponse {
            status: 200,
            content_type: "text/event-stream".into(),
            body: None,
        };
        recorded.map_or_else(streamed, |(status, content_type, body)| {
            RecordedResponse::new(*status, content_type, body)
        })
    });
    finish_request(ctx, &context, parent, &result);
    let Some(caller) = call.caller else {
        // A stream to the caller ends with `[DONE]` or an error event.
        return Ok(());
    };
    respond(caller, result, call.answer)
}

/// Serves `/s/<profile>/<path>`.
pub(crate) fn serve_plain(ctx: &Context, request: Request) -> io::Result<()> {
    let config = ctx.config.load();
    match read_plain(ctx, &request, &config) {
        Ok((resolved, call, fingerprint)) => run_plain(ctx, request, &resolved, call, &fingerprint),
        Err(error) => reject(ctx, request, &error),
    }
}

/// Authenticates and parses a plain-service request, and returns it with its fingerprint.
fn read_plain<'a>(
    ctx: &Context,
    request: &Request,
    config: &'a Configuration,
) -> Result<(ResolvedRequest<'a>, PlainRequest, Arc<str>), RequestError> {
    let customer = auth::authenticate(request.fields(), config)?;
    let rest = request.url().strip_prefix("/s/").unwrap_or_default();
    let (name, path) = rest.split_once('/').unwrap_or((rest, ""));
    let resolved = ResolvedRequest::resolve(ctx, config, customer, name, idempotency_key(request))?;
    if resolved.service.kind != TargetKind::Plain {
        let detail = "the profile is for a model engine, at /v1/chat/completions";
        return Err(RequestError::not_run(Code::BadRequest, detail));
    }
    let method = parse_method(request)?;
    let content_type = request
        .header("content-type")
        .unwrap_or("application/octet-stream")
        .to_owned();
    let body: Arc<[u8]> = request.body().into();
    let fingerprint = idempotency::fingerprint(name, request.method(), path, &body);
    let call = PlainRequest {
        method,
        path: format!("/{path}").into(),
        content_type,
        body,
        key: idempotency_key(request),
        timeout: resolved.profile.deadline,
        charge: resolved.profile.charge,
        answer: None,
    };
    Ok((resolved, call, fingerprint))
}

/// Runs a plain-service request, or forwards it to the daemon that issued its key, and responds.
fn run_plain(
    ctx: &Context,
    request: Request,
    resolved: &ResolvedRequest<'_>,
    mut call: PlainRequest,
    fingerprint: &str,
) -> io::Result<()> {
    let (trace, parent) = trace_context(ctx, &request);
    let context = request_context(
        resolved,
        resolved.profile.charge,
        fingerprint,
        0,
        trace,
        Some(request.caller_gone()),
    );
    let result = match run_with_key(
        ctx,
        resolved,
        &context,
        fingerprint,
        &mut call,
        recorded_response,
    ) {
        Ok(RequestOutcome::OtherOwner(owner)) => forward(ctx, &owner, resolved, &call),
        result => result,
    };
    finish_request(ctx, &context, parent, &result);
    respond(request, result, call.answer)
}

/// Builds the record of a plain service's response that is stored under the idempotency key. The
/// request must have been answered.
fn recorded_response(call: &PlainRequest) -> RecordedResponse {
    let (status, content_type, body) = call.answer.as_ref().expect("a call that ran has an answer");
    RecordedResponse::new(*status, content_type, body)
}

/// Runs a plain-service request that a peer forwarded.
pub(super) fn run_plain_here(
    ctx: &Context,
    resolved: &ResolvedRequest<'_>,
    call: &mut PlainRequest,
    trace: TraceContext,
) -> Result<ForwardedResponse, RequestError> {
    let path = call.path.strip_prefix('/').unwrap_or(&call.path);
    let method = call.method.as_str();
    let fingerprint = idempotency::fingerprint(&resolved.profile.id, method, path, &call.body);
    let context = request_context(
        resolved,
        resolved.profile.charge,
        &fingerprint,
        0,
        trace,
        None,
    );
    let result = run_with_key(
        ctx,
        resolved,
        &context,
        &fingerprint,
        call,
        recorded_response,
    );
    finish_request(ctx, &context, 0, &result);
    let (status, content_type, body) = match (result?, call.answer.take()) {
        (RequestOutcome::Ran, Some(answer)) => answer,
        (
            RequestOutcome::Replay(RecordedResponse {
                status,
                content_type,
                body: Some(body),
            }),
            _,
        ) => (status, content_type, body.to_vec()),
        // The process that issued the key has ended; this one is its successor.
        (RequestOutcome::OtherOwner(owner), _) => return Err(other_owner(&owner)),
        _ => return Err(not_recorded()),
    };
    let verdict = Verdict::Ran;
    Ok(ForwardedResponse {
        status,
        verdict,
        content_type: content_type.to_string(),
        body,
    })
}

/// Builds the context of a request; its own fingerprint covers the customer as well.
fn request_context<'a>(
    resolved: &ResolvedRequest<'a>,
    cost_bound: Tokens,
    fingerprint: &str,
    affinity: u64,
    trace: TraceContext,
    caller_gone: Option<CallerGone>,
) -> RequestContext<'a> {
    RequestContext {
        profile: resolved.profile,
        customer: &resolved.customer.id,
        target_kind: resolved.service.kind,
        cost_bound,
        fingerprint: hash_u64(fingerprint.as_bytes()) ^ hash_u64(resolved.customer.id.as_bytes()),
        affinity,
        arrival: resolved.arrival,
        trace,
        caller_gone,
    }
}

/// How a request that did not fail ended.
pub(super) enum RequestOutcome {
    /// It ran.
    Ran,
    /// It had run before; this is the recorded response.
    Replay(RecordedResponse),
    /// Only this other process may run it.
    OtherOwner(Incarnation),
    /// Another daemon handled it.
    Forwarded(ForwardedResponse),
}

/// Runs a request; one with an idempotency key runs only if the key can be claimed. `record` returns
/// the response to keep for replay.
fn run_with_key<W: TargetCall>(
    ctx: &Context,
    resolved: &ResolvedRequest<'_>,
    context: &RequestContext<'_>,
    fingerprint: &str,
    call: &mut W,
    record: impl FnOnce(&W) -> RecordedResponse,
) -> Result<RequestOutcome, RequestError> {
    let Some(key) = &resolved.key else {
        return exchange::run_request(ctx, context, call).map(|()| RequestOutcome::Ran);
    };
    match idempotency::begin(ctx, &resolved.customer.id, key, fingerprint) {
        KeyAction::Replay(recorded) => Ok(RequestOutcome::Replay(recorded)),
        KeyAction::Refuse(error) => Err(error),
        KeyAction::Forward(owner) => Ok(RequestOutcome::OtherOwner(owner)),
        KeyAction::Run(claim) => {
            let result = exchange::run_request(ctx, context, call);
            claim.finish(result.as_ref().map(|()| record(call)));
            result.map(|()| RequestOutcome::Ran)
        }
    }
}

/// Sends the response, or the error, of a request.
fn respond(
    caller: Request,
    result: Result<RequestOutcome, RequestError>,
    response: Option<(u16, Arc<str>, Vec<u8>)>,
) -> io::Result<()> {
    match (result, response) {
        (Ok(RequestOutcome::Ran), Some((status, content_type, body))) => {
            answer(caller, status, &content_type, &body)
        }
        (
            Ok(RequestOutcome::Replay(RecordedResponse {
                status,
                content_type,
                body: Some(body),
            })),
            _,
        ) => answer(caller, status, &content_type, &body),
        (Ok(RequestOutcome::Forwarded(forwarded)), _) => {
            let ForwardedResponse {
                status,
                verdict,
                content_type,
                body,
            } = forwarded;
            answer_with_verdict(caller, status, verdict, &content_type, &body)
        }
        (Ok(RequestOutcome::OtherOwner(owner)), _) => refuse(caller, &other_owner(&owner)),
        (Ok(_), _) => refuse(caller, &not_recorded()),
        (Err(error), _) => refuse(caller, &error),
    }
}

/// Error for a request whose key belongs to another process.
pub(super) fn other_owner(owner: &str) -> RequestError {
    let detail = format!("only {owner} may run a request with this key");
    RequestError::may_have_run(Code::AlreadyClaimed, detail)
}

/// Error for a request that ran before and whose response was not recorded.
fn not_recorded() -> RequestError {
    RequestError {
        verdict: Verdict::Ran,
        code: Code::AlreadyClaimed,
        detail: "the request ran before; its response was not recorded".into(),
    }
}

/// Refuses a request before its service is known.
fn reject(ctx: &Context, request: Request, error: &RequestError) -> io::Result<()> {
    count_request(ctx, "", Some(error));
    refuse(request, error)
}

/// Counts a finished request; `service` is empty if it was refused before its service was known.
pub(super) fn count_request(ctx: &Context, service: &str, error: Option<&RequestError>) {
    let (code, verdict) = match error {
        None => ("ok", Verdict::Ran),
        Some(error) => (error.code.as_str(), error.verdict),
    };
    ctx.metrics
        .requests
        .with_label_values(&[service, code, verdict.as_str()])
        .inc();
}

/// Counts a finished request and exports its span.
fn finish_request(
    ctx: &Context,
    context: &RequestContext<'_>,
    parent: u64,
    result: &Result<RequestOutcome, RequestError>,
) {
    count_request(ctx, &context.profile.service, result.as_ref().err());
    let mut span = ctx
        .tracer
        .start("request", SpanKind::Server, context.trace, parent);
    span.start = ctx.clock.wall(context.arrival);
    span.add_attribute("profile", &context.profile.id);
    span.add_attribute("customer", context.customer);
    if let Err(error) = result {
        span.add_attribute("code", error.code.as_str());
        span.add_attribute("verdict", error.verdict);
    }
    ctx.tracer.end(span);
}

fn parse_method(request: &Request) -> Result<Method, RequestError> {
    let unsupported = || RequestError::not_run(Code::BadRequest, "the method is not supported");
    Method::parse(request.method()).ok_or_else(unsupported)
}
