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
    Handler,
    Rejection, //
};
use crate::{
    catalog::Limits,
    http::{
        Decoder,
        Framing,
        RequestHead,
        limit_silence,
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

/// Why no request could be read.
enum ReadFault {
    /// The caller has closed the connection, or was idle too long.
    Gone,
    /// The request is rejected, and the connection closed.
    Rejected(Rejection),
    /// The handler has answered the head, and the connection closes.
    Answered(Vec<u8>),
}

impl ReadFault {
    fn rejected(status: u16, code: &'static str) -> ReadFault {
        ReadFault::Rejected(Rejection::new(status, code))
    }
}

/// Serves a caller's connection until it closes.
pub(super) async fn serve_connection<H: Handler>(handler: Rc<H>, stream: TcpStream) {
    prepare(&stream);
    limit_silence(&stream, handler.limits().ack_timeout);
    let mut buf = BytesMut::new();
    loop {
        let limits = handler.limits();
        let read = read_request(&*handler, &stream, &mut buf, &limits).await;
        let (head, body) = match read {
            Ok(request) => request,
            Err(ReadFault::Gone) => return,
            Err(ReadFault::Rejected(rejection)) => {
                let Rejection { status, code } = rejection;
                log::info!("event=request_rejected status={status} code={code}");
                return answer_last(&stream, &handler.reject(rejection)).await;
            }
            Err(ReadFault::Answered(answer)) => return answer_last(&stream, &answer).await,
        };
        if handler.closing().has_begun() {
            log::info!(
                "event=request_rejected status=503 code=stopping target={}",
                head.target
            );
            return answer_last(&stream, &handler.reject(Rejection::STOPPING)).await;
        }
        let work = handler.handle(head, body, &stream);
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

async fn read_request<H: Handler>(
    handler: &H,
    stream: &TcpStream,
    buf: &mut BytesMut,
    limits: &Limits,
) -> Result<(RequestHead, Bytes), ReadFault> {
    let head = read_head(handler, stream, buf, limits).await?;
    handler.check(&head).map_err(ReadFault::Answered)?;
    let body = read_body(stream, buf, limits, &head).await?;
    Ok((head, body))
}

async fn read_head<H: Handler>(
    handler: &H,
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
                Ok(Some(_)) if size - buf.len() > limits.head_bytes => {
                    return Err(ReadFault::rejected(431, "head_too_large"));
                }
                Ok(Some(head)) => return Ok(head),
                Ok(None) if size > limits.head_bytes => {
                    return Err(ReadFault::rejected(431, "head_too_large"));
                }
                Ok(None) => {}
                Err(_) => return Err(ReadFault::rejected(400, "bad_head")),
            }
        }
        let time = started.map_or(limits.idle_timeout, |at| {
            limits.header_timeout.saturating_sub(at.elapsed())
        });
        let closed = handler.closing().wait();
        if handler.closing().has_begun() && buf.is_empty() {
            return Err(ReadFault::Gone);
        }
        let read = tokio::select! {
            read = timeout(time, read_some(stream, buf)) => read,
            () = closed, if started.is_none() => return Err(ReadFault::Gone),
        };
        match read {
            Err(_) if started.is_some() => return Err(ReadFault::rejected(408, "head_timeout")),
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
        && n > limits.body_bytes as u64
    {
        return Err(ReadFault::rejected(413, "body_too_large"));
    }
    let mut decoder = Decoder::new(head.framing);
    let mut body = BytesMut::new();
    let expects = head.fields.get("expect").is_some();
    if expects && buf.is_empty() && !decoder.is_done() {
        write_all(stream, b"HTTP/1.1 100 Continue\r\n\r\n")
            .await
            .map_err(|_| ReadFault::Gone)?;
    }
    let until = Instant::now() + limits.body_timeout;
    loop {
        while let Some(piece) = decoder
            .take(buf)
            .map_err(|_| ReadFault::rejected(400, "bad_body"))?
        {
            body.extend_from_slice(&piece);
        }
        if body.len() > limits.body_bytes {
            return Err(ReadFault::rejected(413, "body_too_large"));
        }
        if decoder.is_done() {
            return Ok(body.freeze());
        }
        let time = until.saturating_duration_since(Instant::now());
        match timeout(time.min(limits.idle_timeout), read_some(stream, buf)).await {
            Err(_) => return Err(ReadFault::rejected(408, "body_timeout")),
            Ok(Err(_)) => return Err(ReadFault::Gone),
            // A caller that has only ended its sending can still take the answer.
            Ok(Ok(0)) => return Err(ReadFault::rejected(400, "body_cut_off")),
            Ok(Ok(_)) => {}
        }
    }
}

/// Writes an answer after which the connection closes.
async fn answer_last(stream: &TcpStream, answer: &[u8]) {
    if write_all(stream, answer).await.is_err() {
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
