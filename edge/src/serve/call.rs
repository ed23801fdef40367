//! The request of a caller after its route and customer have been found.

use std::{
    cell::{
        Cell,
        RefCell, //
    },
    rc::Rc,
    sync::Arc,
    time::{
        Duration,
        Instant, //
    },
};

use bytes::Bytes;

use super::{
    Core,
    handover::Origin,
    response::{
        Refusal,
        STOP_CODE,
        STOP_RETRY_AFTER, //
    },
};
use crate::{
    adapter::{
        Dialect,
        RequestMeta, //
    },
    catalog::{
        Config,
        Customer,
        Lookup,
        Route, //
    },
    decide::{
        FailedAttempt,
        Failure,
        Fingerprint,
        PromptPart,
        Suspect,
        fingerprint,
        retry_after,
        suspects, //
    },
    http::RequestHead,
    telemetry::{
        Span,
        Trace, //
    },
};

/// Timeout of a request whose caller sets none.
const DEFAULT_TIMEOUT: Duration = Duration::from_secs(30);

/// Time after the caller's own deadline for which a complete answer is written to it.
const WRITE_OVERTIME: Duration = Duration::from_millis(500);

/// Smallest value of [`Call::wait_limit`].
const MIN_WAIT_LIMIT: Duration = Duration::from_millis(1600);

/// `Retry-After` when the configuration may be outdated: covers the time for which a configuration
/// counts as fresh and part of a network partition.
const CONFIG_RETRY_AFTER: Duration = Duration::from_millis(1500);

/// Code of requests that are refused because they crash runners.
pub(super) const CRASH_CODE: &str = "crashes_runners";

/// `Retry-After` when no runner is reachable.
pub(super) const RUNNER_RETRY_AFTER: Duration = Duration::from_millis(400);

/// A request of a caller with the configuration, route and customer that apply to it.
pub(super) struct Call {
    /// Where it comes from.
    pub origin: Origin,
    /// Head as received from the caller.
    pub head: RequestHead,
    /// Decoded request body.
    pub body: Bytes,
    /// Metadata from the header fields.
    pub meta: RequestMeta,
    /// Route that matches host and path.
    pub route: Arc<Route>,
    /// Customer whose key the request carries; `None` on routes without keys.
    pub customer: Option<Arc<Customer>>,
    /// Configuration that was in force when the request arrived.
    pub config: Arc<Config>,
    /// Priority of the customer or the route; 0 is the highest.
    pub rank: u8,
    /// Time at which the request was received.
    pub received_at: Instant,
    /// Time at which the request fails if it has not been answered.
    pub deadline: Instant,
    /// Whether the caller's connection stays open after the response.
    pub keep_alive: bool,
    /// Hash of customer, target and body.
    pub fingerprint: Fingerprint,
    /// What may crash a runner: the request, and the parts of its prompt that others share.
    pub suspects: Vec<Suspect>,
    /// Whether the next send is a trial: it is made although such requests crash runners.
    pub trial: Cell<bool>,
    /// Time at which a byte may have been sent to a runner first.
    pub sent_at: Cell<Option<Instant>>,
    /// Whether bytes of a complete answer may have been written to the caller.
    pub answering: Cell<bool>,
    /// Span of the whole request, if the caller asked for a trace.
    pub span: Option<RefCell<Span>>,
}

impl Call {
    /// Time left until the deadline.
    pub(super) fn time_left(&self, now: Instant) -> Duration {
        self.deadline.saturating_duration_since(now)
    }

    /// Time for which the caller is likely to wait for the first byte: three times the route's
    /// objective, but at most 0.8 of the time until its deadline.
    pub(super) fn wait_limit(&self) -> Duration {
        let limit = (self.route.objective * 3).max(MIN_WAIT_LIMIT);
        limit.min(self.deadline.duration_since(self.received_at).mul_f64(0.8))
    }

    /// Time until which the caller may take an answer that is complete here: after it has stopped waiting for one.
    pub(super) fn write_end(&self) -> Instant {
        let timeout = self.meta.timeout.unwrap_or(DEFAULT_TIMEOUT);
        let left = timeout.min(DEFAULT_TIMEOUT);
        self.deadline.max(self.received_at + left) + WRITE_OVERTIME
    }

    /// Tokens of the prompt; 0 if the request is not for an engine.
    pub(super) fn prompt_tokens(&self) -> u64 {
        self.meta.tokens.map_or(0, |t| t.prompt)
    }

    /// Parts of the prompt that other requests may share.
    pub(super) fn shared_parts(&self) -> &[PromptPart] {
        shared_parts(&self.meta.parts)
    }

    /// Most events of a response with one token each, with those that the caller already has.
    pub(super) fn max_events(&self) -> u64 {
        let output = self.meta.tokens.map_or(u64::MAX, |t| t.output);
        output.saturating_add(self.meta.last_event.unwrap_or(0))
    }

    /// Starts a child span if the request is traced.
    pub(super) fn start_span(&self, name: &'static str) -> Option<Span> {
        let span = self.span.as_ref()?.borrow();
        Some(span.trace().start_span(name))
    }

    /// Records that a byte may have been sent to a runner.
    pub(super) fn mark_sent(&self, now: Instant) {
        if self.sent_at.get().is_none() {
            self.sent_at.set(Some(now));
        }
    }

    /// State of the request after an attempt that failed with `failure`, for the decision about a retry;
    /// `started` and `rejected` count the attempts as in [`FailedAttempt`].
    pub(super) fn failed_attempt(
        &self,
        failure: Failure,
        started: u32,
        rejected: u32,
        now: Instant,
    ) -> FailedAttempt {
        FailedAttempt {
            failure,
            retry: self.route.retry,
            started,
            rejected,
            max_attempts: self.route.max_attempts,
            remaining: self.time_left(now),
            objective: self.route.objective,
        }
    }

    /// Maximum number of tokens in one event of the response, over all services of the route.
    pub(super) fn event_tokens(&self) -> u64 {
        self.route
            .services
            .iter()
            .filter_map(|(s, _)| self.config.services.get(s))
            .map(|s| s.event_tokens)
            .max()
            .unwrap_or(1)
    }
}

/// Decodes the metadata of a request and finds its route and customer.
///
/// # Errors
///
/// Fails with the response for the caller, and the id of the request if it could be read.
pub(super) fn resolve_call<D: Dialect>(
    core: &Rc<Core<D>>,
    head: RequestHead,
    body: Bytes,
    received_at: Instant,
    origin: Origin,
    keep_alive: bool,
) -> Result<Call, (Refusal, Option<Arc<str>>)> {
    let meta = D::request_meta(&head).map_err(|_| (Refusal::rejected(400, "bad_fields"), None))?;
    let id = Arc::clone(&meta.id);
    let refuse = |refusal| (refusal, Some(Arc::clone(&id)));
    let timeout = meta.timeout.unwrap_or(DEFAULT_TIMEOUT);
    if !core.accepts_requests() {
        return Err(refuse(Refusal::not_run(STOP_CODE, STOP_RETRY_AFTER)));
    }
    let Some(config) = core.config() else {
        let retry = retry_after(RUNNER_RETRY_AFTER, timeout);
        return Err(refuse(Refusal::not_run("no_configuration", retry)));
    };
    let config_fresh = core.config_fresh(received_at);
    let refuse_unknown = |status, code| {
        if config_fresh {
            Refusal::rejected(status, code)
        } else {
            // A newer configuration that has not arrived yet may allow the request.
            Refusal::not_run(
                "configuration_may_be_old",
                retry_after(CONFIG_RETRY_AFTER, timeout),
            )
        }
    };
    let (route, customer) = match config.find(head.host(), head.path(), meta.key.as_deref()) {
        Lookup::Found(route, customer) => (route, customer),
        Lookup::NoRoute => return Err(refuse(refuse_unknown(404, "no_route"))),
        Lookup::NoKey => return Err(refuse(refuse_unknown(401, "unknown_key"))),
    };
    let name = customer.as_ref().map_or("", |c| &*c.name);
    let fingerprint = fingerprint(name, &head.target, &body);
    let rank = customer.as_ref().and_then(|c| c.rank).unwrap_or(route.rank);
    let deadline = received_at + timeout.min(route.timeout);
    let traceparent = head.fields.get("traceparent");
    let trace = traceparent.and_then(|value| Trace::from_header(Arc::clone(&id), value));
    let suspects = suspects(fingerprint, shared_parts(&meta.parts));
    let call = Call {
        span: trace.map(|trace| RefCell::new(trace.start_span("request"))),
        origin,
        head,
        body,
        meta,
        route,
        customer,
        config,
        rank,
        received_at,
        deadline,
        keep_alive,
        fingerprint,
        suspects,
        trial: Cell::new(false),
        sent_at: Cell::new(None),
        answering: Cell::new(false),
    };
    if !core.try_suspect(&call, received_at) && core.is_suspect(&call, received_at) {
        // The latest Retry-After, as a new attempt hardly has a better chance.
        let retry = retry_after(Duration::MAX, timeout);
        return Err((Refusal::not_run(CRASH_CODE, retry), Some(id)));
    }
    Ok(call)
}

/// Parts of a prompt that other requests may share: all but the last, which belongs to the request or its
/// session.
fn shared_parts(parts: &[PromptPart]) -> &[PromptPart] {
    parts.split_last().map_or(&[], |(_, shared)| shared)
}
