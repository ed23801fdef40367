//! Requests with an issued key that another daemon minted: only that daemon may run them.

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
    plain::Plain,
    reply::error_body,
    run::{
        Ending,
        Head,
        call_here,
        elsewhere, //
    },
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

/// Time that the way to the other daemon and back may take beside the request's own deadline.
const DETOUR: Duration = Duration::from_secs(1);

/// Interval at which the membership is looked at while a reply is waited for.
const LOOK_EVERY: Duration = Duration::from_millis(250);

/// Answer of the daemon that ran a forwarded request, as its caller gets it.
#[derive(Clone, Debug)]
pub(crate) struct ForwardedResponse {
    /// HTTP status.
    pub(crate) status: u16,
    /// Verdict.
    pub(crate) verdict: Verdict,
    /// Content type.
    pub(crate) content_type: String,
    /// Body.
    pub(crate) body: Vec<u8>,
}

/// A message for a daemon.
pub(crate) type PeerMessage = (DaemonId, Message<mirror::Message>);

/// Exchanges with other daemons that wait for their replies.
#[derive(Debug)]
pub(crate) struct PendingForwards {
    out: flume::Sender<PeerMessage>,
    next: AtomicU64,
    waiting: Mutex<HashMap<u64, flume::Sender<ForwardedResponse>>>,
}

impl PendingForwards {
    /// Creates the exchanges of a daemon; messages go to `out`.
    pub(crate) fn new(out: flume::Sender<PeerMessage>) -> Self {
        Self {
            out,
            next: AtomicU64::new(1),
            waiting: Mutex::default(),
        }
    }

    /// Takes a reply from a peer.
    pub(crate) fn handle_reply(&self, id: u64, relayed: ForwardedResponse) {
        let waiter = self
            .waiting
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .remove(&id);
        if let Some(waiter) = waiter {
            // A caller that stopped waiting was told that the request may have run.
            let _ = waiter.try_send(relayed);
        }
    }

    /// Sends a message to a peer.
    pub(crate) fn send(&self, to: DaemonId, message: Message<mirror::Message>) {
        let _ = self.out.send((to, message));
    }
}

/// Passes a request on to the process that minted its key.
///
/// # Errors
///
/// Fails with verdict may-have-run when no reply arrives: the key may have been used before.
pub(crate) fn forward(
    ctx: &Context,
    owner: &str,
    head: &Head<'_>,
    work: &Plain,
) -> Result<Ending, RequestError> {
    let id = ctx.forwards.next.fetch_add(1, Ordering::Relaxed);
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
        customer: head.customer.id.clone(),
        profile: head.profile.id.clone(),
        budget: head.profile.budget.clone(),
        key: head.key.as_deref().unwrap_or_default().into(),
        line: format!("{} {}", work.method.as_str(), work.path).into(),
        kind: work.kind.as_str().into(),
        body: ByteString(work.body.to_vec()),
    };
    ctx.forwards.send(daemon_of(owner).into(), message);
    let reply = wait(ctx, owner, &receiver, head.profile.deadline + DETOUR);
    ctx.forwards
        .waiting
        .lock()
        .unwrap_or_else(PoisonError::into_inner)
        .remove(&id);
    reply.map(Ending::Forwarded).ok_or_else(|| elsewhere(owner))
}

/// Waits for a reply as long as the other daemon is reachable.
fn wait(
    ctx: &Context,
    owner: &str,
    replies: &flume::Receiver<ForwardedResponse>,
    limit: Duration,
) -> Option<ForwardedResponse> {
    let until = ctx.clock.now() + limit;
    while ctx.clock.now() < until {
        match replies.recv_timeout(LOOK_EVERY) {
            Ok(reply) => return Some(reply),
            Err(_) if is_reachable(ctx, daemon_of(owner)) => {}
            Err(_) => return None,
        }
    }
    None
}

fn is_reachable(ctx: &Context, daemon: &str) -> bool {
    let versions = ctx
        .peer_status
        .lock()
        .unwrap_or_else(PoisonError::into_inner);
    versions
        .get(daemon)
        .is_some_and(|confirmed| confirmed.reachable)
}

/// A request that a peer passed on.
pub(crate) struct ForwardedRequest {
    /// Customer that sent it.
    pub(crate) customer: String,
    /// Its profile.
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

/// Runs a request that a peer passed on. The peer has authenticated the caller.
pub(crate) fn run_forwarded(ctx: &Context, request: ForwardedRequest) -> ForwardedResponse {
    match try_forwarded(ctx, request) {
        Ok(relayed) => relayed,
        Err(fault) => ForwardedResponse {
            status: fault.code.status(),
            verdict: fault.verdict,
            content_type: "application/json".into(),
            body: error_body(&fault).into_bytes(),
        },
    }
}

fn try_forwarded(
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
    let head = Head::of(ctx, &config, customer, name, Some(request.key.clone()))?;
    let (method, path) = request
        .request_line
        .split_once(' ')
        .ok_or_else(|| missing("method"))?;
    let method = Method::parse(method).ok_or_else(|| missing("method"))?;
    let mut work = Plain {
        method,
        path: path.into(),
        kind: request.content_type,
        body: request.body.into(),
        key: Some(request.key),
        limit: head.profile.deadline,
        charge: head.profile.charge,
        answer: None,
    };
    let trace = TraceContext::root(false);
    call_here(ctx, &head, &mut work, trace)
}
