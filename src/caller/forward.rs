//! Forwarding of requests with a key that another daemon issued: only that daemon may run them.

use std::{
    collections::HashMap,
    sync::{
        Mutex, PoisonError,
        atomic::{
            AtomicU64,
            Ordering, //
        },
    },
    time::Duration,
};

use super::{
    handlers::{
        RequestOutcome,
        ResolvedRequest,
        other_owner,
        run_plain_here, //
    },
    plain::PlainRequest,
    reply::error_body,
};
use crate::{
    kernel::Context,
    mirror,
    model::{
        Code,
        DaemonId,
        RequestError,
        Verdict,
        daemon_of, //
    },
    peer::{
        ByteString,
        Message, //
    },
    target::Method,
    telemetry::TraceContext, //
};

/// Time allowed for both ways between the daemons, beyond the request's own deadline.
const FORWARD_MARGIN: Duration = Duration::from_secs(1);

/// Interval at which a wait for a reply checks that the other daemon is reachable.
const REACHABILITY_INTERVAL: Duration = Duration::from_millis(250);

/// Response to a forwarded request, from the daemon that handled it.
#[derive(Clone, Debug)]
pub(crate) struct ForwardedResponse {
    /// HTTP status.
    pub(crate) status: u16,
    /// Whether the request may have run.
    pub(crate) verdict: Verdict,
    /// Content type of the body.
    pub(crate) content_type: String,
    /// Body.
    pub(crate) body: Vec<u8>,
}

/// A message and the daemon to which it is sent.
pub(crate) type PeerMessage = (DaemonId, Message<mirror::Message>);

/// Requests that were forwarded to other daemons and have no reply yet, by their number.
#[derive(Debug)]
pub(crate) struct PendingForwards {
    /// Messages to be sent by the peer links.
    out: flume::Sender<PeerMessage>,
    next_id: AtomicU64,
    /// For each forwarded request, where its waiting thread gets the reply.
    waiting: Mutex<HashMap<u64, flume::Sender<ForwardedResponse>>>,
}

impl PendingForwards {
    /// Creates an empty set; messages to peers are sent to `out`.
    pub(crate) fn new(out: flume::Sender<PeerMessage>) -> Self {
        Self {
            out,
            next_id: AtomicU64::new(1),
            waiting: Mutex::default(),
        }
    }

    /// Hands a peer's reply to the thread that waits for it.
    pub(crate) fn handle_reply(&self, id: u64, response: ForwardedResponse) {
        let waiter = self
            .waiting
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .remove(&id);
        if let Some(waiter) = waiter {
            // A thread that stopped waiting has answered that the request may have run.
            let _ = waiter.try_send(response);
        }
    }

    /// Queues a message to a peer.
    pub(crate) fn send(&self, to: DaemonId, message: Message<mirror::Message>) {
        let _ = self.out.send((to, message));
    }
}

/// Forwards a request to the process that issued its key and waits for the response.
///
/// # Errors
///
/// Fails with verdict may-have-run when no reply arrives: an earlier request with the key may have
/// run.
pub(crate) fn forward(
    ctx: &Context,
    owner: &str,
    resolved: &ResolvedRequest<'_>,
    call: &PlainRequest,
) -> Result<RequestOutcome, RequestError> {
    let id = ctx.forwards.next_id.fetch_add(1, Ordering::Relaxed);
    let (sender, receiver) = flume::bounded(1);
    let mut waiting = ctx
        .forwards
        .waiting
        .lock()
        .unwrap_or_else(PoisonError::into_inner);
    waiting.insert(id, sender);
    drop(waiting);
    let message = Message::Forward {
        id,
        customer: resolved.customer.id.clone(),
        profile: resolved.profile.id.clone(),
        budget: resolved.profile.budget.clone(),
        key: resolved.key.as_deref().unwrap_or_default().into(),
        line: format!("{} {}", call.method.as_str(), call.path).into(),
        kind: call.content_type.as_str().into(),
        body: ByteString(call.body.to_vec()),
    };
    ctx.forwards.send(daemon_of(owner).into(), message);
    let reply = wait_for_reply(
        ctx,
        owner,
        &receiver,
        resolved.profile.deadline + FORWARD_MARGIN,
    );
    ctx.forwards
        .waiting
        .lock()
        .unwrap_or_else(PoisonError::into_inner)
        .remove(&id);
    reply
        .map(RequestOutcome::Forwarded)
        .ok_or_else(|| other_owner(owner))
}

/// Waits up to `limit` for a reply, as long as the other daemon is reachable.
fn wait_for_reply(
    ctx: &Context,
    owner: &str,
    replies: &flume::Receiver<ForwardedResponse>,
    limit: Duration,
) -> Option<ForwardedResponse> {
    let until = ctx.clock.now() + limit;
    while ctx.clock.now() < until {
        match replies.recv_timeout(REACHABILITY_INTERVAL) {
            Ok(reply) => return Some(reply),
            Err(_) if is_reachable(ctx, daemon_of(owner)) => {}
            Err(_) => return None,
        }
    }
    None
}

/// Whether the daemon is connected according to its last configuration report.
fn is_reachable(ctx: &Context, daemon: &str) -> bool {
    let confirmed = ctx
        .peer_status
        .lock()
        .unwrap_or_else(PoisonError::into_inner);
    confirmed
        .get(daemon)
        .is_some_and(|confirmed| confirmed.reachable)
}

/// A request that a peer forwarded.
pub(crate) struct ForwardedRequest {
    /// Customer that sent it.
    pub(crate) customer: String,
    /// Profile that it names.
    pub(crate) profile: String,
    /// Its idempotency key.
    pub(crate) key: String,
    /// Method and path, separated by a space.
    pub(crate) request_line: String,
    /// Content type of the body.
    pub(crate) content_type: String,
    /// Body.
    pub(crate) body: Vec<u8>,
}

/// Runs a request that a peer forwarded. The peer has authenticated the caller.
pub(crate) fn run_forwarded(ctx: &Context, request: ForwardedRequest) -> ForwardedResponse {
    match try_run_forwarded(ctx, request) {
        Ok(response) => response,
        Err(error) => ForwardedResponse {
            status: error.code.status(),
            verdict: error.verdict,
            content_type: "application/json".into(),
            body: error_body(&error).into_bytes(),
        },
    }
}

/// Looks up customer, profile and method of a forwarded request and runs it.
fn try_run_forwarded(
    ctx: &Context,
    request: ForwardedRequest,
) -> Result<ForwardedResponse, RequestError> {
    let config = ctx.config.load();
    let missing = |what| RequestError::not_run(Code::NotFound, format!("no such {what}"));
    let customer = config
        .customers
        .get(&*request.customer)
        .ok_or_else(|| missing("customer"))?;
    let name = request.profile.as_str();
    let resolved =
        ResolvedRequest::resolve(ctx, &config, customer, name, Some(request.key.clone()))?;
    let (method, path) = request
        .request_line
        .split_once(' ')
        .ok_or_else(|| missing("method"))?;
    let method = Method::parse(method).ok_or_else(|| missing("method"))?;
    let mut call = PlainRequest {
        method,
        path: path.into(),
        content_type: request.content_type,
        body: request.body.into(),
        key: Some(request.key),
        timeout: resolved.profile.deadline,
        charge: resolved.profile.charge,
        answer: None,
    };
    let trace = TraceContext::root(false);
    run_plain_here(ctx, &resolved, &mut call, trace)
}
