//! One connection of a caller.

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
    time::timeout, //
};

use super::{
    Core,
    answer::Refusal,
    exchange::exchange, //
};
use crate::{
    border::Dialect,
    catalog::Limits,
    http::{
        Decoder,
        Framing,
        RequestHead,
        parse_request,
        prepare,
        read_some,
        write_all, //
    },
};

/// Bytes that are read ahead while a request is served.
const MAX_AHEAD: usize = 64 * 1024;

/// Time for which what a caller still sends is read after a rejection, so that the answer is not
/// lost to a reset.
const LINGER: Duration = Duration::from_millis(300);

/// Time after which a caller that reaches a stopping daemon is asked to come back, elsewhere.
const STOP_RETRY: Duration = Duration::from_millis(50);

/// Why no request could be read.
enum ReadFault {
    /// The caller has closed the connection, or was idle too long.
    Gone,
    /// The request is answered with a rejection, and the connection closed.
    Rejected(u16, &'static str),
}

/// Serves a caller's connection until it closes.
pub(super) async fn serve_client<D: Dialect>(core: Rc<Core<D>>, stream: TcpStream) {
    prepare(&stream);
    let mut buf = BytesMut::new();
    loop {
        let limits = core.limits();
        let read = read_request(&core, &stream, &mut buf, &limits).await;
        let (head, body) = match read {
            Ok(request) => request,
            Err(ReadFault::Gone) => return,
            Err(ReadFault::Rejected(status, code)) => {
                log::info!("event=request_rejected status={status} code={code}");
                answer_last(&stream, &Refusal::rejected(status, code)).await;
                return;
            }
        };
        let at = Instant::now();
        if core.is_closing() {
            log::info!(
                "event=request_rejected status=503 code=stopping target={}",
                head.target
            );
            let refusal = Refusal::not_run("stopping", STOP_RETRY);
            answer_last(&stream, &refusal).await;
            return;
        }
        let work = exchange(&core, head, body, at, &stream);
        let keep = tokio::select! {
            biased;
            keep = work => keep,
            () = watch(&stream, &mut buf) => false,
        };
        if !keep {
            return;
        }
    }
}

/// Waits until the caller closes its side.
async fn watch(stream: &TcpStream, buf: &mut BytesMut) {
    loop {
        if buf.len() > MAX_AHEAD {
            std::future::pending::<()>().await;
        }
        match read_some(stream, buf).await {
            Ok(0) | Err(_) => return,
            Ok(_) => {}
        }
    }
}

async fn read_request<D>(
    core: &Core<D>,
    stream: &TcpStream,
    buf: &mut BytesMut,
    limits: &Limits,
) -> Result<(RequestHead, Bytes), ReadFault> {
    let head = read_head(core, stream, buf, limits).await?;
    let body = read_body(stream, buf, limits, &head).await?;
    Ok((head, body))
}

async fn read_head<D>(
    core: &Core<D>,
    stream: &TcpStream,
    buf: &mut BytesMut,
    limits: &Limits,
) -> Result<RequestHead, ReadFault> {
    let mut started = None;
    loop {
        if !buf.is_empty() {
            started.get_or_insert_with(Instant::now);
            let size = buf.len();
            match parse_request(buf) {
                Ok(Some(_)) if size - buf.len() > limits.head => {
                    return Err(ReadFault::Rejected(431, "head_too_large"));
                }
                Ok(Some(head)) => return Ok(head),
                Ok(None) if size > limits.head => {
                    return Err(ReadFault::Rejected(431, "head_too_large"));
                }
                Ok(None) => {}
                Err(_) => return Err(ReadFault::Rejected(400, "bad_head")),
            }
        }
        let time = started.map_or(limits.idle_time, |at| {
            limits.header_time.saturating_sub(at.elapsed())
        });
        let closed = core.closed.notified();
        if core.is_closing() && buf.is_empty() {
            return Err(ReadFault::Gone);
        }
        let read = tokio::select! {
            read = timeout(time, read_some(stream, buf)) => read,
            () = closed, if started.is_none() => return Err(ReadFault::Gone),
        };
        match read {
            Err(_) if started.is_some() => return Err(ReadFault::Rejected(408, "head_timeout")),
            Err(_) | Ok(Ok(0) | Err(_)) => return Err(ReadFault::Gone),
            Ok(Ok(_)) => {}
        }
    }
}

async fn read_body(
    stream: &TcpStream,
    buf: &mut BytesMut,
    limits: &Limits,
    head: &RequestHead,
) -> Result<Bytes, ReadFault> {
    if let Framing::Length(n) = head.framing
        && n > limits.body as u64
    {
        return Err(ReadFault::Rejected(413, "body_too_large"));
    }
    let mut decoder = Decoder::new(head.framing);
    let mut body = BytesMut::new();
    let expects = head.fields.get("expect").is_some();
    if expects && buf.is_empty() && !decoder.is_done() {
        write_all(stream, b"HTTP/1.1 100 Continue\r\n\r\n")
            .await
            .map_err(|_| ReadFault::Gone)?;
    }
    loop {
        while let Some(piece) = decoder
            .take(buf)
            .map_err(|_| ReadFault::Rejected(400, "bad_body"))?
        {
            body.extend_from_slice(&piece);
        }
        if body.len() > limits.body {
            return Err(ReadFault::Rejected(413, "body_too_large"));
        }
        if decoder.is_done() {
            return Ok(body.freeze());
        }
        match timeout(limits.idle_time, read_some(stream, buf)).await {
            Err(_) => return Err(ReadFault::Rejected(408, "body_timeout")),
            Ok(Ok(0) | Err(_)) => return Err(ReadFault::Gone),
            Ok(Ok(_)) => {}
        }
    }
}

/// Writes an answer after which the connection closes.
async fn answer_last(stream: &TcpStream, refusal: &Refusal) {
    if write_all(stream, &refusal.bytes(None, false))
        .await
        .is_err()
    {
        return;
    }
    if let Err(e) = socket2::SockRef::from(stream).shutdown(std::net::Shutdown::Write) {
        log::debug!("event=socket_shutdown error=\"{e}\"");
    }
    let mut rest = BytesMut::new();
    let drain = async {
        while matches!(read_some(stream, &mut rest).await, Ok(n) if n > 0) {
            rest.clear();
        }
    };
    let _ = timeout(LINGER, drain).await;
}
