//! One attempt: sends the request to a runner and forwards the response.

use std::{
    rc::Rc,
    time::Instant, //
};

use tokio::net::TcpStream;

use super::{
    Upstream,
    receive::Attempt,
    relay::{
        Relay,
        RelayError, //
    },
    response::encode_head,
    send::{
        Reply,
        SendError,
        send, //
    },
    tokens::TokenCharge, //
};
use crate::{
    adapter::Dialect,
    decide::Failure, //
};

/// Sends the request to one runner and relays its response. Returns the status.
pub(super) async fn send_once<D: Dialect>(
    attempt: &Attempt<'_, D>,
    charge: &TokenCharge<D>,
    relay: &mut Relay,
    out: &TcpStream,
) -> Result<u16, RelayError> {
    let (call, upstream) = (attempt.call, attempt.upstream);
    let mut reply = send(attempt, &charge.prompt_read, relay.last_id)
        .await
        .map_err(RelayError::Runner)?;
    let status = reply.head.status;
    if reply.meta.not_run || status == 421 {
        if attempt.started == 0 {
            charge.prompt_read.set(false);
        }
        if status == 421 {
            attempt.core.mark_replaced(upstream, Instant::now());
        }
        let detail = format!("status {status}");
        return Err(RelayError::Runner(SendError::new(
            Failure::TurnedAway,
            detail,
        )));
    }
    if reply.head.fields.get("content-encoding").is_some() {
        let error = SendError::new(Failure::Broken, "response has a content encoding");
        return Err(RelayError::Runner(error));
    }
    if status == 200 && call.route.retry.is_stream() && reply.meta.sealed {
        let whole = relay.last_id.is_none();
        let result = relay.run(attempt, &mut reply, out).await;
        result?;
        if whole {
            reply.in_flight.record_work_time(Instant::now());
        }
        upstream.record_outcome(Instant::now(), false);
        reuse_connection(upstream, reply);
        return Ok(status);
    }
    if relay.head_sent {
        let detail = format!("status {status} to a resumed stream");
        return Err(RelayError::Runner(SendError::new(Failure::Failed, detail)));
    }
    forward_body(attempt, reply, out).await
}

/// Reads a complete response and forwards it, unless it has to be retried.
async fn forward_body<D>(
    attempt: &Attempt<'_, D>,
    mut reply: Reply,
    out: &TcpStream,
) -> Result<u16, RelayError> {
    let (call, upstream) = (attempt.call, attempt.upstream);
    let status = reply.head.status;
    let body = attempt
        .read_body(&mut reply.connection, &mut reply.decoder)
        .await
        .map_err(RelayError::Runner)?;
    let claims_not_run = matches!(status, 408 | 421 | 429 | 503);
    let may_retry = status >= 500
        && call.route.retry.allows_rerun()
        && attempt.started + 1 < call.route.max_attempts;
    if !reply.meta.sealed || claims_not_run || may_retry {
        let detail = format!("status {status} sealed={}", reply.meta.sealed);
        if reply.meta.sealed {
            reuse_connection(upstream, reply);
        }
        return Err(RelayError::Runner(SendError::new(Failure::Failed, detail)));
    }
    if status == 200 {
        reply.in_flight.record_work_time(Instant::now());
    }
    upstream.record_outcome(Instant::now(), status >= 500);
    attempt.core.record_answer(call, Instant::now());
    attempt.unresolved.set(false);
    let mut bytes = encode_head(status, &reply.head.fields, call.keep_alive);
    bytes.extend_from_slice(format!("Content-Length: {}\r\n\r\n", body.len()).as_bytes());
    reuse_connection(upstream, reply);
    call.answering.set(true);
    attempt
        .core
        .write_answer(out, bytes, &body)
        .await
        .map_err(|_| RelayError::Caller)?;
    Ok(status)
}

/// Keeps a connection for reuse if its response was read completely.
fn reuse_connection(upstream: &Rc<Upstream>, reply: Reply) {
    if reply.head.keep_alive && reply.decoder.is_done() && reply.connection.buf.is_empty() {
        upstream.keep_idle(Instant::now(), reply.connection, reply.meta.idle);
    }
}
