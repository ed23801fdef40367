//! Sends a request to one runner and reads the start of its response.

use std::{
    net::SocketAddr,
    rc::Rc,
    time::{
        Duration,
        Instant, //
    },
};

use bytes::BytesMut;
use tokio::time::timeout;

use super::{
    Core,
    Upstream,
    call::Call,
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

/// Time without a byte from a runner, not counting prefill, after which it is probed.
const MAX_SILENCE: Duration = Duration::from_millis(130);

/// Slowest prefill of a runner, in prompt tokens per millisecond. A runner may be silent during
/// prefill.
const MIN_PREFILL_PER_MS: u64 = 25;

/// Largest response that is buffered; only streams may be longer.
const MAX_ANSWER_BYTES: usize = 32 * 1024 * 1024;

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

/// Encodes the request as it is sent to the runner.
fn request_bytes<D: Dialect>(call: &Call, forward: &ForwardFields<'_>) -> Vec<u8> {
    let head = &call.head;
    let mut out = Vec::with_capacity(1024 + call.body.len());
    out.extend_from_slice(head.method.as_bytes());
    out.push(b' ');
    out.extend_from_slice(head.target.as_bytes());
    out.extend_from_slice(b" HTTP/1.1\r\n");
    for (name, value) in head.fields.forwarded() {
        if D::is_reserved(name) || name.eq_ignore_ascii_case(b"expect") {
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
    out.extend_from_slice(&call.body);
    out
}

/// Opens a connection to a runner and records whether that succeeded.
async fn connect(upstream: &Upstream, address: SocketAddr) -> Result<Connection, SendError> {
    match Connection::open(address, CONNECT_TIMEOUT).await {
        Ok(connection) => {
            upstream.mark_alive(Instant::now());
            Ok(connection)
        }
        Err(e) => {
            upstream.mark_down(Instant::now());
            Err(e.into())
        }
    }
}

/// Reads more bytes from a runner; returns 0 at the end of the stream. Probes a runner that is silent
/// for longer than its prefill can take.
pub(super) async fn read_more(
    upstream: &Upstream,
    connection: &mut Connection,
    prompt_tokens: u64,
) -> Result<usize, SendError> {
    loop {
        let prefill = Duration::from_millis(
            (upstream.backlog_tokens().max(prompt_tokens)) / MIN_PREFILL_PER_MS,
        );
        let begun = Instant::now();
        match timeout(MAX_SILENCE + prefill, connection.fill()).await {
            Ok(Ok(n)) => {
                upstream.mark_alive(Instant::now());
                return Ok(n);
            }
            Ok(Err(e)) => return Err(SendError::new(Failure::Broken, e.to_string())),
            Err(_) if upstream.silence(Instant::now()) < MAX_SILENCE => {}
            Err(_) => {
                let probed = Instant::now();
                if upstream.is_unreachable().await {
                    log::info!(
                        "event=runner_silent runner={} silent_ms={} late_ms={} probe_ms={} link_quiet_ms={}",
                        upstream.runner.borrow().id,
                        upstream.silence(probed).as_millis(),
                        (probed - begun)
                            .saturating_sub(MAX_SILENCE + prefill)
                            .as_millis(),
                        probed.elapsed().as_millis(),
                        upstream.link.silence(Instant::now()).as_millis()
                    );
                    upstream.mark_down(Instant::now());
                    return Err(SendError::new(
                        Failure::Silent,
                        "runner does not accept connections",
                    ));
                }
                upstream.mark_alive(Instant::now());
            }
        }
    }
}

/// Reads a response head, skipping interim responses.
async fn read_head(
    upstream: &Upstream,
    connection: &mut Connection,
    prompt_tokens: u64,
) -> Result<ResponseHead, SendError> {
    loop {
        match crate::http::parse_response(&mut connection.buf) {
            Ok(Some(head)) if head.status < 200 => {}
            Ok(Some(head)) => return Ok(head),
            Ok(None) => {
                if read_more(upstream, connection, prompt_tokens).await? == 0 {
                    return Err(ConnectionError::Closed.into());
                }
            }
            Err(e) => return Err(ConnectionError::Protocol(e).into()),
        }
    }
}

/// Reads the rest of a body. A response without a length is complete only after an orderly close.
pub(super) async fn read_body(
    upstream: &Upstream,
    connection: &mut Connection,
    decoder: &mut BodyDecoder,
) -> Result<BytesMut, SendError> {
    let mut body = BytesMut::new();
    loop {
        while let Some(piece) = decoder
            .take(&mut connection.buf)
            .map_err(|e| SendError::from(ConnectionError::Protocol(e)))?
        {
            body.extend_from_slice(&piece);
        }
        if decoder.is_done() {
            return Ok(body);
        }
        if body.len() > MAX_ANSWER_BYTES {
            return Err(SendError::new(
                Failure::Broken,
                "response exceeds the size limit",
            ));
        }
        if read_more(upstream, connection, 0).await? == 0 {
            if decoder.ends_with_connection() {
                return Ok(body);
            }
            return Err(ConnectionError::Closed.into());
        }
    }
}

/// Sends the request to `upstream` and reads the head of the response to it.
pub(super) async fn send<D: Dialect>(
    core: &Rc<Core<D>>,
    call: &Call,
    upstream: &Rc<Upstream>,
    last_event: Option<u64>,
) -> Result<Reply, SendError> {
    let now = Instant::now();
    let (runner, address) = {
        let runner_entry = upstream.runner.borrow();
        (
            std::sync::Arc::clone(&runner_entry.id),
            runner_entry.address,
        )
    };
    let prompt_tokens = call.meta.tokens.map_or(0, |t| t.prompt);
    let in_flight = upstream.track_request(prompt_tokens);
    let idle = upstream.take_idle(now, !call.route.retry.allows_rerun());
    let mut connection = match idle {
        Some(connection) => connection,
        None => connect(upstream, address).await?,
    };
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
    connection
        .write(&bytes)
        .await
        .map_err(ConnectionError::Io)?;
    for _ in 0..=MAX_FOREIGN_ANSWERS {
        let head = read_head(upstream, &mut connection, prompt_tokens).await?;
        let meta = D::response_meta(&head.fields);
        if let Some(load) = meta.load {
            upstream.record_load(Instant::now(), load);
        }
        let mut decoder = BodyDecoder::new(head.framing);
        let foreign = meta.id.as_deref().is_some_and(|id| id != &*call.meta.id);
        if !foreign {
            let not_run = meta.not_run || head.status == 421;
            if meta.id.is_none() && !not_run {
                return Err(SendError::new(
                    Failure::Broken,
                    "response without an attempt id",
                ));
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
        read_body(upstream, &mut connection, &mut decoder).await?;
    }
    core.metrics.sends.with_label_values(&["foreign"]).inc();
    Err(SendError::new(
        Failure::Broken,
        "only responses to other requests",
    ))
}
