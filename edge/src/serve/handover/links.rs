//! Connections to neighbours over which requests are handed over.

use std::{
    cell::RefCell,
    collections::HashMap,
    net::SocketAddr,
    time::{
        Duration,
        Instant, //
    },
};

use super::{
    super::{
        Core,
        call::Call,
        unread::is_copied, //
    }, //
    CONFIG_FIELD,
    DECLINED,
    GREETING,
};
use crate::{
    adapter::Dialect,
    decide::AskOutcome,
    http::{
        Connection,
        ConnectionError,
        Framing,
        ParseError,
        ResponseHead, //
    },
};

/// Longest time for opening a connection to a neighbour.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(100);

/// Idle time after which a connection is not used again; below the idle timeout of callers, which the other end has.
const MAX_IDLE: Duration = Duration::from_secs(2);

/// Longest idle time of a connection that is used for a request that must not be sent twice.
const MAX_ONCE_IDLE: Duration = Duration::from_millis(300);

/// Idle connections that are kept to one neighbour.
const MAX_KEPT: usize = 32;

/// Longest line with which a neighbour declines, in bytes.
const MAX_LINE_BYTES: usize = 64;

/// Idle connections to neighbours, with the time of their last use.
#[derive(Debug, Default)]
pub(in super::super) struct HopLinks(RefCell<HashMap<SocketAddr, Vec<(Connection, Instant)>>>);

impl HopLinks {
    /// Takes an idle connection to `address` that may be reused; `once` says that the request must not be sent twice.
    fn take(&self, address: SocketAddr, once: bool, now: Instant) -> Option<Connection> {
        let limit = if once { MAX_ONCE_IDLE } else { MAX_IDLE };
        let mut links = self.0.borrow_mut();
        let kept = links.get_mut(&address)?;
        while let Some((mut connection, since)) = kept.pop() {
            if now.saturating_duration_since(since) < limit && !connection.is_stale() {
                return Some(connection);
            }
        }
        None
    }

    /// Keeps a connection whose last answer was read completely.
    pub(super) fn keep(&self, address: SocketAddr, connection: Connection, now: Instant) {
        let mut links = self.0.borrow_mut();
        let kept = links.entry(address).or_default();
        if kept.len() < MAX_KEPT {
            kept.push((connection, now));
        }
    }

    /// Closes connections that were idle for too long.
    pub(in super::super) fn sweep(&self, now: Instant) {
        let mut links = self.0.borrow_mut();
        links.retain(|_, kept| {
            kept.retain(|(_, since)| now.saturating_duration_since(*since) < MAX_IDLE);
            !kept.is_empty()
        });
    }
}

/// The answer of a neighbour that has taken a request.
pub(super) struct HopReply {
    /// Address of the neighbour.
    pub address: SocketAddr,
    /// Head of the answer.
    pub head: ResponseHead,
    /// Connection that carries the body.
    pub connection: Connection,
}

/// Why a neighbour gave no answer.
pub(super) enum AskError {
    /// The request has not run there.
    Declined(AskOutcome),
    /// The connection broke after the request was written.
    Lost(ConnectionError),
}

/// Whether a field is one that daemons add for each other.
pub(in super::super) fn is_hop_field(name: &[u8]) -> bool {
    name.eq_ignore_ascii_case(CONFIG_FIELD.as_bytes())
}

/// Encodes the request for a neighbour: as the caller sent it, with the time that is left.
fn request_bytes<D: Dialect>(call: &Call, now: Instant) -> Vec<u8> {
    let head = &call.head;
    let mut out = Vec::with_capacity(1024 + call.body.len());
    out.extend_from_slice(format!("{} {} HTTP/1.1\r\n", head.method, head.target).as_bytes());
    for (name, value) in head.fields.forwarded() {
        if D::is_timeout(name) || is_hop_field(name) || name.eq_ignore_ascii_case(b"expect") {
            continue;
        }
        out.extend_from_slice(name);
        out.extend_from_slice(b": ");
        out.extend_from_slice(value);
        out.extend_from_slice(b"\r\n");
    }
    D::append_timeout(&mut out, call.time_left(now));
    out.extend_from_slice(format!("{CONFIG_FIELD}: {}\r\n", call.config.version).as_bytes());
    let has_body = !call.body.is_empty() || head.fields.get("content-length").is_some();
    if has_body || head.framing == Framing::Chunked {
        out.extend_from_slice(format!("Content-Length: {}\r\n", call.body.len()).as_bytes());
    }
    out.extend_from_slice(b"\r\n");
    if is_copied(&call.body) {
        out.extend_from_slice(&call.body);
    }
    out
}

/// Takes an idle connection to the neighbour at `address` or opens one.
async fn acquire<D>(
    core: &Core<D>,
    address: SocketAddr,
    once: bool,
) -> Result<Connection, ConnectionError> {
    let now = Instant::now();
    if let Some(connection) = core.hop_links.take(address, once, now) {
        return Ok(connection);
    }
    let limit = CONNECT_TIMEOUT + core.link.allowance(now);
    let mut connection = Connection::open(address, limit).await?;
    let opened = Instant::now();
    core.link.record_round_trip(opened, opened - now);
    connection
        .write(GREETING)
        .await
        .map_err(ConnectionError::Io)?;
    Ok(connection)
}

/// Asks the neighbour at `address` to serve the request, and returns the head of its answer.
pub(super) async fn ask<D: Dialect>(
    core: &Core<D>,
    call: &Call,
    address: SocketAddr,
) -> Result<HopReply, AskError> {
    let repeatable = call.route.retry.allows_rerun();
    let acquired = acquire(core, address, !repeatable).await;
    let mut connection = acquired.map_err(|_| AskError::Declined(AskOutcome::Unreachable))?;
    let sent_before = call.sent_at.get();
    call.mark_sent(Instant::now());
    match exchange::<D>(call, &mut connection).await {
        Ok(First::Head(head)) => {
            core.link.record(Instant::now());
            Ok(HopReply {
                address,
                head,
                connection,
            })
        }
        Ok(First::Declined(outcome)) => {
            call.sent_at.set(sent_before);
            let now = Instant::now();
            core.link.record(now);
            core.hop_links.keep(address, connection, now);
            Err(AskError::Declined(outcome))
        }
        Err(error) => Err(AskError::Lost(error)),
    }
}

/// What a neighbour sends first.
enum First {
    /// The head of the answer.
    Head(ResponseHead),
    /// A line that declines the request.
    Declined(AskOutcome),
}

/// Writes the request and reads what the neighbour sends first.
async fn exchange<D: Dialect>(
    call: &Call,
    connection: &mut Connection,
) -> Result<First, ConnectionError> {
    let bytes = request_bytes::<D>(call, Instant::now());
    let written = connection.write(&bytes).await;
    written.map_err(ConnectionError::Io)?;
    drop(bytes);
    if !is_copied(&call.body) {
        let written = connection.write(&call.body).await;
        written.map_err(ConnectionError::Io)?;
    }
    while connection.buf.is_empty() {
        fill(connection).await?;
    }
    if connection.buf[0] == DECLINED[0] {
        return read_declined(connection).await.map(First::Declined);
    }
    connection.read_response().await.map(First::Head)
}

/// Reads more bytes, of which there have to be some.
async fn fill(connection: &mut Connection) -> Result<(), ConnectionError> {
    match connection.fill().await.map_err(ConnectionError::Io)? {
        0 => Err(ConnectionError::Closed),
        _ => Ok(()),
    }
}

/// Reads the line with which the neighbour declines.
async fn read_declined(connection: &mut Connection) -> Result<AskOutcome, ConnectionError> {
    loop {
        if let Some(end) = connection.buf.windows(2).position(|b| b == b"\r\n") {
            let line = connection.buf.split_to(end + 2);
            return match line[..end].strip_prefix(DECLINED) {
                Some(b"busy") => Ok(AskOutcome::Busy),
                Some(_) => Ok(AskOutcome::Lost),
                None => Err(ConnectionError::Protocol(ParseError::Malformed)),
            };
        }
        if connection.buf.len() > MAX_LINE_BYTES {
            return Err(ConnectionError::Protocol(ParseError::Malformed));
        }
        fill(connection).await?;
    }
}
