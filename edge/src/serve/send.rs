//! Sends a request to one runner and reads the start of its response.

use std::{
    cell::Cell,
    time::{
        Duration,
        Instant, //
    },
};

use super::{
    Core,
    Probe,
    Upstream,
    call::Call,
    handover::is_hop_field,
    receive::Attempt,
    response::STOP_CODE,
    unread::is_copied,
    upstream::InFlight, //
};
use crate::{
    adapter::{
        Dialect,
        ForwardFields,
        ResponseMeta, //
    },
    decide::Failure,
    http::{
        BodyDecoder,
        Connection,
        ConnectionError,
        Framing,
        ResponseHead, //
    },
};

/// Longest time for opening a connection to a runner: several round trips between data centres.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(200);

/// Responses to other requests that are skipped on one connection.
const MAX_FOREIGN_ANSWERS: u32 = 4;

/// Failure to send a request to a runner or to receive the runner's response.
#[derive(Debug)]
pub(super) struct SendError {
    /// Kind of failure, which decides about retries.
    pub failure: Failure,
    /// Detail for the log line.
    pub detail: String,
}

impl SendError {
    pub(super) fn new(failure: Failure, detail: impl Into<String>) -> SendError {
        SendError {
            failure,
            detail: detail.into(),
        }
    }
}

impl From<ConnectionError> for SendError {
    fn from(error: ConnectionError) -> SendError {
        let failure = match error {
            ConnectionError::Connect(_) => Failure::NoConnection,
            ConnectionError::Timeout => Failure::Silent,
            _ => Failure::Broken,
        };
        SendError::new(failure, error.to_string())
    }
}

/// A response of a runner whose head has been read.
pub(super) struct Reply {
    /// Head of the response.
    pub head: ResponseHead,
    /// Metadata from the header fields.
    pub meta: ResponseMeta,
    /// Connection that carries the body.
    pub connection: Connection,
    /// Decoder of the body.
    pub decoder: BodyDecoder,
    /// Counts the request at the runner.
    pub in_flight: InFlight,
}

/// Encodes the request as it is sent to the runner, without a body that is too long to be copied.
fn request_bytes<D: Dialect>(call: &Call, forward: &ForwardFields<'_>) -> Vec<u8> {
    let head = &call.head;
    let copied = is_copied(&call.body);
    let capacity = if copied { call.body.len() } else { 0 };
    let mut out = Vec::with_capacity(1024 + capacity);
    out.extend_from_slice(head.method.as_bytes());
    out.push(b' ');
    out.extend_from_slice(head.target.as_bytes());
    out.extend_from_slice(b" HTTP/1.1\r\n");
    for (name, value) in head.fields.forwarded() {
        if D::is_reserved(name) || is_hop_field(name) || name.eq_ignore_ascii_case(b"expect") {
            continue;
        }
        out.extend_from_slice(name);
        out.extend_from_slice(b": ");
        out.extend_from_slice(value);
        out.extend_from_slice(b"\r\n");
    }
    D::append_fields(&mut out, forward);
    let has_body = !call.body.is_empty() || head.fields.get("content-length").is_some();
    if has_body || head.framing == Framing::Chunked {
        out.extend_from_slice(format!("Content-Length: {}\r\n", call.body.len()).as_bytes());
    }
    out.extend_from_slice(b"\r\n");
    if copied {
        out.extend_from_slice(&call.body);
    }
    out
}

/// Opens a connection to a runner and records whether that succeeded.
async fn connect<D>(core: &Core<D>, upstream: &Upstream) -> Result<Connection, SendError> {
    let opened = upstream.open(CONNECT_TIMEOUT).await;
    let now = Instant::now();
    match opened {
        Ok(connection) => {
            core.mark_alive(upstream, now);
            core.record_opened(upstream, Probe::Reachable, now);
            Ok(connection)
        }
        Err(failed) => {
            core.record_probe(upstream, failed.probe, now);
            Err(failed.error.into())
        }
    }
}

/// Sends the request to the runner of `attempt` and reads the head of the response to it. Sets `prompt_read`
/// as soon as the runner may have read the prompt.
pub(super) async fn send<D: Dialect>(
    attempt: &Attempt<'_, D>,
    prompt_read: &Cell<bool>,
    last_event: Option<u64>,
) -> Result<Reply, SendError> {
    let (core, call, upstream) = (attempt.core, attempt.call, attempt.upstream);
    let now = Instant::now();
    let runner = std::sync::Arc::clone(&upstream.runner.borrow().id);
    let prompt_tokens = call.meta.tokens.map_or(0, |t| t.prompt);
    let mut in_flight = upstream.track_request(now, prompt_tokens);
    in_flight.discount_cached(upstream.estimate_cached(now, &call.meta.parts));
    let idle = upstream.take_idle(now, !call.route.retry.allows_rerun());
    let fresh = idle.is_none();
    let mut connection = match idle {
        Some(connection) => connection,
        None => connect(core, upstream).await?,
    };
    let asked = Instant::now();
    if let Some(view) = core.refuses_send(upstream, asked) {
        log::info!(
            "event=send_withheld id={} runner={runner} standing={} source={} since_ms={}",
            call.meta.id,
            view.standing.as_str(),
            view.standing.source(),
            view.since
                .map_or(-1, |at| asked.saturating_duration_since(at).as_millis()
                    as i64)
        );
        return Err(SendError::new(Failure::NotSent, view.standing.as_str()));
    }
    // The entry may have named another data centre since the runner was chosen.
    if !core.is_allowed_region(call, &upstream.runner.borrow()) {
        log::info!(
            "event=send_withheld id={} runner={runner} standing=region source=own since_ms=-1",
            call.meta.id
        );
        return Err(SendError::new(Failure::NotSent, "region"));
    }
    // So may it have named another version.
    if attempt.version.forbids(&upstream.runner.borrow()) {
        log::info!(
            "event=send_withheld id={} runner={runner} standing=version source=own since_ms=-1",
            call.meta.id
        );
        return Err(SendError::new(Failure::NotSent, "version"));
    }
    if !core.may_send(&call.route) {
        return Err(SendError::new(Failure::NotSent, STOP_CODE));
    }
    let bytes = request_bytes::<D>(
        call,
        &ForwardFields {
            timeout: call.time_left(Instant::now()),
            runner: &runner,
            customer: call.customer.as_ref().map(|c| &*c.name),
            rank: call.meta.tokens.map(|_| call.rank),
            last_event,
        },
    );
    call.mark_sent(Instant::now());
    attempt.unresolved.set(true);
    prompt_read.set(true);
    connection
        .write(&bytes)
        .await
        .map_err(ConnectionError::Io)?;
    drop(bytes);
    if !is_copied(&call.body) {
        let sent = connection.write(&call.body).await;
        sent.map_err(ConnectionError::Io)?;
    }
    for skipped in 0..=MAX_FOREIGN_ANSWERS {
        let head = attempt.read_head(&mut connection, prompt_tokens).await?;
        let meta = D::response_meta(&head.fields);
        if let Some(load) = meta.load {
            upstream.record_load(Instant::now(), load);
        }
        core.record_signals(upstream, head.status, &meta);
        let mut decoder = BodyDecoder::new(head.framing);
        let foreign = meta.id.as_deref().is_some_and(|id| id != &*call.meta.id);
        if !foreign {
            core.record_limit(upstream, &meta);
            core.record_brittle(upstream, head.status, &meta, &mut in_flight);
            // A refusal without an id is for this request only if it can be for no earlier one.
            let not_run = meta.not_run || head.status == 421;
            let first = fresh && skipped == 0;
            if meta.id.is_none() && !(not_run && first) {
                let detail = format!("status {} without an attempt id", head.status);
                return Err(SendError::new(Failure::Broken, detail));
            }
            return Ok(Reply {
                head,
                meta,
                connection,
                decoder,
                in_flight,
            });
        }
        log::warn!(
            "event=foreign_answer id={} runner={runner} answer_to={} status={}",
            call.meta.id,
            meta.id.as_deref().unwrap_or("-"),
            head.status
        );
        if head.framing == Framing::Close {
            return Err(SendError::new(
                Failure::Broken,
                "response to another request",
            ));
        }
        attempt.read_body(&mut connection, &mut decoder).await?;
    }
    core.metrics.sends.with_label_values(&["foreign"]).inc();
    Err(SendError::new(
        Failure::Broken,
        "only responses to other requests",
    ))
}
