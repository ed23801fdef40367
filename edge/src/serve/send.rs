//! One send of a request to a runner.

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
    upstream::Flight, //
};
use crate::{
    border::{
        Addition,
        Dialect,
        Mark, //
    },
    decide::Failure,
    http::{
        Decoder,
        Framing,
        Link,
        LinkFault,
        ResponseHead, //
    },
};

/// Longest time for a connection to a runner: several round trips between data centres.
const CONNECT_TIME: Duration = Duration::from_millis(200);

/// Time without a byte from a runner, prefill aside, after which it is asked whether it is there.
const QUIET: Duration = Duration::from_millis(130);

/// Prompt tokens that a runner reads in a millisecond at least; it may be silent while it reads.
const LEAST_PREFILL: u64 = 25;

/// Largest answer that is taken whole, in bytes.
const MAX_ANSWER: usize = 32 * 1024 * 1024;

/// Answers of other requests that are passed over on one connection.
const MAX_FOREIGN: u32 = 4;

/// A failed send.
#[derive(Debug)]
pub(super) struct SendFault {
    /// How it failed.
    pub failure: Failure,
    /// Detail for the log line.
    pub detail: String,
}

impl SendFault {
    pub(super) fn new(failure: Failure, detail: impl Into<String>) -> SendFault {
        SendFault {
            failure,
            detail: detail.into(),
        }
    }
}

impl From<LinkFault> for SendFault {
    fn from(fault: LinkFault) -> SendFault {
        let failure = match fault {
            LinkFault::Connect(_) => Failure::NoConnection,
            LinkFault::Timeout => Failure::Silent,
            _ => Failure::Broken,
        };
        SendFault::new(failure, fault.to_string())
    }
}

/// The beginning of a runner's answer.
pub(super) struct Reply {
    pub head: ResponseHead,
    pub mark: Mark,
    pub link: Link,
    pub decoder: Decoder,
    pub flight: Flight,
}

/// Bytes of the request as the runner gets it.
fn request_bytes<D: Dialect>(call: &Call, addition: &Addition<'_>) -> Vec<u8> {
    let head = &call.head;
    let mut out = Vec::with_capacity(1024 + call.body.len());
    out.extend_from_slice(head.method.as_bytes());
    out.push(b' ');
    out.extend_from_slice(head.target.as_bytes());
    out.extend_from_slice(b" HTTP/1.1\r\n");
    for (name, value) in head.fields.forwarded() {
        if D::is_own(name) || name.eq_ignore_ascii_case(b"expect") {
            continue;
        }
        out.extend_from_slice(name);
        out.extend_from_slice(b": ");
        out.extend_from_slice(value);
        out.extend_from_slice(b"\r\n");
    }
    D::add(&mut out, addition);
    let has_body = !call.body.is_empty() || head.fields.get("content-length").is_some();
    if has_body || head.framing == Framing::Chunked {
        out.extend_from_slice(format!("Content-Length: {}\r\n", call.body.len()).as_bytes());
    }
    out.extend_from_slice(b"\r\n");
    out.extend_from_slice(&call.body);
    out
}

async fn connect(upstream: &Upstream, address: SocketAddr) -> Result<Link, SendFault> {
    match Link::open(address, CONNECT_TIME).await {
        Ok(link) => {
            upstream.hear(Instant::now());
            Ok(link)
        }
        Err(e) => {
            upstream.mark_down(Instant::now());
            Err(e.into())
        }
    }
}

/// Reads more bytes from a runner. Asks a runner that is silent for long whether it is there.
pub(super) async fn hear(
    upstream: &Upstream,
    link: &mut Link,
    prompt: u64,
) -> Result<usize, SendFault> {
    loop {
        let prefill = Duration::from_millis((upstream.backlog().max(prompt)) / LEAST_PREFILL);
        match timeout(QUIET + prefill, link.fill()).await {
            Ok(Ok(n)) => {
                upstream.hear(Instant::now());
                return Ok(n);
            }
            Ok(Err(e)) => return Err(SendFault::new(Failure::Broken, e.to_string())),
            Err(_) if upstream.quiet(Instant::now()) < QUIET => {}
            Err(_) => {
                if upstream.is_gone().await {
                    upstream.mark_down(Instant::now());
                    return Err(SendFault::new(Failure::Silent, "runner is not there"));
                }
                upstream.hear(Instant::now());
            }
        }
    }
}

async fn read_head(
    upstream: &Upstream,
    link: &mut Link,
    prompt: u64,
) -> Result<ResponseHead, SendFault> {
    loop {
        match crate::http::parse_response(&mut link.buf) {
            Ok(Some(head)) if head.status < 200 => {}
            Ok(Some(head)) => return Ok(head),
            Ok(None) => {
                if hear(upstream, link, prompt).await? == 0 {
                    return Err(LinkFault::Closed.into());
                }
            }
            Err(e) => return Err(LinkFault::Protocol(e).into()),
        }
    }
}

/// Reads the rest of a body. An answer without a length is whole only after an orderly close.
pub(super) async fn read_body(
    upstream: &Upstream,
    link: &mut Link,
    decoder: &mut Decoder,
) -> Result<BytesMut, SendFault> {
    let mut body = BytesMut::new();
    loop {
        while let Some(piece) = decoder
            .take(&mut link.buf)
            .map_err(|e| SendFault::from(LinkFault::Protocol(e)))?
        {
            body.extend_from_slice(&piece);
        }
        if decoder.is_done() {
            return Ok(body);
        }
        if body.len() > MAX_ANSWER {
            return Err(SendFault::new(
                Failure::Broken,
                "answer exceeds the size limit",
            ));
        }
        if hear(upstream, link, 0).await? == 0 {
            if decoder.ends_with_connection() {
                return Ok(body);
            }
            return Err(LinkFault::Closed.into());
        }
    }
}

/// Sends the request to `upstream` and reads the head of the answer.
pub(super) async fn send<D: Dialect>(
    core: &Rc<Core<D>>,
    call: &Call,
    upstream: &Rc<Upstream>,
    last_event: Option<u64>,
) -> Result<Reply, SendFault> {
    let now = Instant::now();
    let (runner, address) = {
        let entry = upstream.runner.borrow();
        (std::sync::Arc::clone(&entry.id), entry.address)
    };
    let prompt = call.ask.tokens.map_or(0, |t| t.prompt);
    let flight = upstream.enter(prompt);
    let kept = upstream.take(now, !call.route.retry.allows_rerun());
    let mut link = match kept {
        Some(link) => link,
        None => connect(upstream, address).await?,
    };
    let bytes = request_bytes::<D>(
        call,
        &Addition {
            deadline: call.left(Instant::now()),
            runner: &runner,
            customer: call.customer.as_ref().map(|c| &*c.name),
            rank: call.ask.tokens.map(|_| call.rank),
            last_event,
        },
    );
    call.note_sent(Instant::now());
    link.write(&bytes).await.map_err(LinkFault::Io)?;
    for _ in 0..=MAX_FOREIGN {
        let head = read_head(upstream, &mut link, prompt).await?;
        let mark = D::mark(&head.fields);
        if let Some(load) = mark.load {
            upstream.report(Instant::now(), load);
        }
        let mut decoder = Decoder::new(head.framing);
        let foreign = mark.id.as_deref().is_some_and(|id| id != &*call.ask.id);
        if !foreign {
            let not_run = mark.not_run || head.status == 421;
            if mark.id.is_none() && !not_run {
                return Err(SendFault::new(Failure::Broken, "answer without an id"));
            }
            return Ok(Reply {
                head,
                mark,
                link,
                decoder,
                flight,
            });
        }
        log::warn!(
            "event=foreign_answer id={} runner={runner} answer_to={} status={}",
            call.ask.id,
            mark.id.as_deref().unwrap_or("-"),
            head.status
        );
        if head.framing == Framing::Close {
            return Err(SendFault::new(Failure::Broken, "answer to another request"));
        }
        read_body(upstream, &mut link, &mut decoder).await?;
    }
    core.metrics.sends.with_label_values(&["foreign"]).inc();
    Err(SendFault::new(Failure::Broken, "answers to other requests"))
}
