//! Reads requests from a connection of a caller and passes them to the handler.

use std::{
    rc::Rc,
    time::{
        Duration,
        Instant, //
    },
};

use bytes::{
    Bytes,
    BytesMut, //
};
use tokio::{
    net::TcpStream,
    task::yield_now,
    time::timeout, //
};

use super::{
    Client,
    Handler,
    Rejection, //
};
use crate::{
    catalog::Limits,
    decide::Stage,
    http::{
        BodyDecoder,
        Framing,
        RequestHead,
        configure_stream,
        parse_request,
        read_some,
        set_user_timeout,
        write_all, //
    },
};

/// Bytes that are read ahead while a request is handled.
const MAX_READ_AHEAD_BYTES: usize = 64 * 1024;

/// Bytes of a body after which other connections get a turn. Decoding as many one-byte chunks takes about a
/// millisecond.
const READ_TURN_BYTES: usize = 32 * 1024;

/// Time for which input is still read after a rejection. Closing a connection with unread input resets
/// it, and the caller could lose the response.
const LINGER_TIMEOUT: Duration = Duration::from_millis(300);

/// Why no request could be read from a connection.
enum ReadError {
    /// The caller has closed the connection or was idle for too long, or the listener shuts down.
    Closed,
    /// The request is rejected, and the connection closes after the response.
    Rejected(Rejection),
    /// [`Handler::check_head`] refused the head with this response; the connection closes after it.
    HeadRefused(Vec<u8>),
    /// The connection closes to make room for others.
    Dropped,
}

impl ReadError {
    fn rejected(status: u16, code: &'static str) -> ReadError {
        ReadError::Rejected(Rejection::new(status, code))
    }
}

/// Handles the requests of a connection until it closes.
pub(crate) async fn serve_connection<H: Handler>(
    handler: Rc<H>,
    stream: TcpStream,
    client: Client,
) {
    configure_stream(&stream);
    set_user_timeout(&stream, handler.limits().ack_timeout);
    let mut buf = BytesMut::new();
    loop {
        let limits = handler.limits();
        let read = tokio::select! {
            biased;
            () = client.dropped() => Err(ReadError::Dropped),
            read = read_request(&*handler, &stream, &client, &mut buf, &limits) => read,
        };
        let (head, body) = match read {
            Ok(request) => request,
            Err(ReadError::Closed) => return,
            Err(ReadError::Rejected(rejection)) => {
                let Rejection { status, code } = rejection;
                log::info!("event=request_rejected status={status} code={code}");
                return write_last_response(&stream, &client, &handler.reject(rejection)).await;
            }
            Err(ReadError::HeadRefused(response)) => {
                return write_last_response(&stream, &client, &response).await;
            }
            Err(ReadError::Dropped) if client.is_reading() => {
                return try_reject(&*handler, &stream);
            }
            // A response without a request could be taken for that to the next one.
            Err(ReadError::Dropped) => return,
        };
        client.set_stage(Stage::Handling);
        if handler.shutdown().has_begun() {
            log::info!(
                "event=request_rejected status=503 code=stopping target={}",
                head.target
            );
            return write_last_response(&stream, &client, &handler.reject(Rejection::STOPPING))
                .await;
        }
        let held = body.len();
        let handling = handler.handle(head, body, &stream);
        let keep_alive = tokio::select! {
            biased;
            keep_alive = handling => keep_alive,
            () = wait_for_close(&stream, &client, held, &mut buf) => false,
        };
        if !keep_alive {
            return;
        }
        client.set_stage(Stage::Idle);
        client.hold(buf.len());
        if !buf.is_empty() {
            // Pipelined requests take turns with other connections.
            yield_now().await;
        }
    }
}

/// Waits until the caller closes the connection. Reads ahead up to [`MAX_READ_AHEAD_BYTES`], as long as there
/// is room beside the `held` bytes of the body; beyond that it no longer notices a close.
async fn wait_for_close(stream: &TcpStream, client: &Client, held: usize, buf: &mut BytesMut) {
    loop {
        if buf.len() > MAX_READ_AHEAD_BYTES {
            std::future::pending::<()>().await;
        }
        match read_some(stream, buf).await {
            Ok(0) | Err(_) => return,
            Ok(_) if client.hold(held + buf.len()) => {}
            Ok(_) => std::future::pending().await,
        }
    }
}

/// Tells a client, without waiting for it, that its request has not run. One with unread input may see a reset
/// instead.
pub(super) fn try_reject<H: Handler>(handler: &H, stream: &TcpStream) {
    if let Err(e) = stream.try_write(&handler.reject(Rejection::TOO_MANY_CLIENTS)) {
        log::debug!("event=rejection_unsent error=\"{e}\"");
    }
}

/// Reads a request with its body, within the limits.
async fn read_request<H: Handler>(
    handler: &H,
    stream: &TcpStream,
    client: &Client,
    buf: &mut BytesMut,
    limits: &Limits,
) -> Result<(RequestHead, Bytes), ReadError> {
    let head = read_head(handler, stream, client, buf, limits).await?;
    handler.check_head(&head).map_err(ReadError::HeadRefused)?;
    let body = read_body(stream, client, buf, limits, &head).await?;
    Ok((head, body))
}

/// Reads a request head. While none has begun, ends when the listener shuts down.
async fn read_head<H: Handler>(
    handler: &H,
    stream: &TcpStream,
    client: &Client,
    buf: &mut BytesMut,
    limits: &Limits,
) -> Result<RequestHead, ReadError> {
    let mut started_at = None;
    loop {
        if !buf.is_empty() {
            if started_at.is_none() {
                started_at = Some(Instant::now());
                client.set_stage(Stage::Reading);
            }
            let size = buf.len();
            match parse_request(buf) {
                Ok(Some(_)) if size - buf.len() > limits.head_bytes => {
                    return Err(ReadError::rejected(431, "head_too_large"));
                }
                Ok(Some(head)) => return Ok(head),
                Ok(None) if size > limits.head_bytes => {
                    return Err(ReadError::rejected(431, "head_too_large"));
                }
                Ok(None) if !client.hold(size) => {
                    return Err(ReadError::Rejected(Rejection::TOO_MANY_CLIENTS));
                }
                Ok(None) => {}
                Err(_) => return Err(ReadError::rejected(400, "bad_head")),
            }
        }
        let remaining = started_at.map_or(limits.idle_timeout, |at| {
            limits.header_timeout.saturating_sub(at.elapsed())
        });
        let closed = handler.shutdown().wait();
        if handler.shutdown().has_begun() && buf.is_empty() {
            return Err(ReadError::Closed);
        }
        let read = tokio::select! {
            read = timeout(remaining, read_some(stream, buf)) => read,
            () = closed, if started_at.is_none() => return Err(ReadError::Closed),
        };
        match read {
            Err(_) if started_at.is_some() => return Err(ReadError::rejected(408, "head_timeout")),
            Err(_) | Ok(Ok(0) | Err(_)) => return Err(ReadError::Closed),
            Ok(Ok(_)) => {}
        }
    }
}

/// Ends the growth of `body`. One that fills little of its buffer is copied, as the account of the connection counts
/// its length from here on.
fn exact_size(body: BytesMut) -> Bytes {
    if body.capacity() > body.len() + body.len() / 4 {
        return Bytes::copy_from_slice(&body);
    }
    body.freeze()
}

/// Reads a body; sends `100 Continue` first if the caller waits for it.
async fn read_body(
    stream: &TcpStream,
    client: &Client,
    buf: &mut BytesMut,
    limits: &Limits,
    head: &RequestHead,
) -> Result<Bytes, ReadError> {
    if let Framing::Length(n) = head.framing
        && n > limits.body_bytes as u64
    {
        return Err(ReadError::rejected(413, "body_too_large"));
    }
    let mut decoder = BodyDecoder::new(head.framing);
    let mut body = BytesMut::new();
    let expects_continue = head.fields.get("expect").is_some();
    if expects_continue && buf.is_empty() && !decoder.is_done() {
        write_all(stream, b"HTTP/1.1 100 Continue\r\n\r\n")
            .await
            .map_err(|_| ReadError::Closed)?;
    }
    let deadline = Instant::now() + limits.body_timeout;
    let mut turn_bytes = 0;
    loop {
        while let Some(piece) = decoder
            .take(buf)
            .map_err(|_| ReadError::rejected(400, "bad_body"))?
        {
            body.extend_from_slice(&piece);
        }
        if body.len() > limits.body_bytes {
            return Err(ReadError::rejected(413, "body_too_large"));
        }
        if body.capacity() > 0 && !client.hold(body.capacity()) {
            return Err(ReadError::Rejected(Rejection::TOO_MANY_CLIENTS));
        }
        if decoder.is_done() {
            return Ok(exact_size(body));
        }
        if turn_bytes >= READ_TURN_BYTES {
            turn_bytes = 0;
            yield_now().await;
        }
        let remaining = deadline.saturating_duration_since(Instant::now());
        match timeout(remaining.min(limits.idle_timeout), read_some(stream, buf)).await {
            Err(_) => return Err(ReadError::rejected(408, "body_timeout")),
            Ok(Err(_)) => return Err(ReadError::Closed),
            // A caller that has only closed its sending side can still receive the response.
            Ok(Ok(0)) => return Err(ReadError::rejected(400, "body_cut_off")),
            Ok(Ok(n)) => turn_bytes += n,
        }
    }
}

/// Writes a response, closes the sending side and discards input until the caller closes,
/// [`LINGER_TIMEOUT`] passes or the connection has to make room.
async fn write_last_response(stream: &TcpStream, client: &Client, response: &[u8]) {
    client.set_stage(Stage::Idle);
    client.hold(0);
    tokio::select! {
        biased;
        () = client.dropped() => {}
        () = write_and_drain(stream, response) => {}
    }
}

/// Writes a response, closes the sending side and discards input.
async fn write_and_drain(stream: &TcpStream, response: &[u8]) {
    if write_all(stream, response).await.is_err() {
        return;
    }
    if let Err(e) = socket2::SockRef::from(stream).shutdown(std::net::Shutdown::Write) {
        log::debug!("event=socket_shutdown error=\"{e}\"");
    }
    let mut rest = BytesMut::new();
    let drain = async {
        while matches!(read_some(stream, &mut rest).await, Ok(n) if n > 0) {
            rest.clear();
            yield_now().await;
        }
    };
    let _ = timeout(LINGER_TIMEOUT, drain).await;
}
