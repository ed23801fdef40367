//! Passes the answer of a neighbour on to the caller: a stream event by event, any other answer when it is whole.

use std::{
    rc::Rc,
    time::Instant, //
};

use bytes::BytesMut;
use tokio::net::TcpStream;

use super::{
    super::{
        Core,
        attempts::ServeError,
        call::Call,
        receive::{
            HeldBytes,
            MAX_ANSWER_BYTES, //
        },
        relay::Relay,
        response::{
            Refusal,
            encode_head, //
        },
    }, //
    HOP_CODE,
    links::HopReply,
};
use crate::http::{
    BodyDecoder,
    Connection,
    ConnectionError,
    EventBuffer,
    Framing,
    ParseError,
    push_chunk,
    write_all, //
};

/// Why an answer was not passed on completely.
enum HopError {
    /// The connection to the neighbour broke, or what it sent is no answer.
    Neighbour(ConnectionError),
    /// The connection to the caller broke.
    Caller,
}

impl From<ConnectionError> for HopError {
    fn from(error: ConnectionError) -> HopError {
        HopError::Neighbour(error)
    }
}

impl From<ParseError> for HopError {
    fn from(error: ParseError) -> HopError {
        HopError::Neighbour(ConnectionError::Protocol(error))
    }
}

/// An answer that is too long or lies outside of its framing.
const MALFORMED: ConnectionError = ConnectionError::Protocol(ParseError::Malformed);

/// Passes an answer on. Returns its status.
///
/// # Errors
///
/// Fails if the connection to the neighbour or to the caller breaks.
pub(super) async fn relay_answer<D>(
    core: &Rc<Core<D>>,
    call: &Call,
    mut reply: HopReply,
    relay: &mut Relay,
    out: &TcpStream,
) -> Result<u16, ServeError> {
    let mut decoder = BodyDecoder::new(reply.head.framing);
    let relayed = match reply.head.framing {
        Framing::Chunked => relay_stream(core, call, &mut reply, &mut decoder, relay, out).await,
        _ => relay_whole(core, call, &mut reply, &mut decoder, out).await,
    };
    match relayed {
        Ok(()) => {}
        Err(HopError::Caller) => return Err(ServeError::CallerLeft),
        Err(HopError::Neighbour(error)) => {
            log::info!("event=neighbour_lost id={} error=\"{error}\"", call.meta.id);
            let refusal = Refusal::may_have_run(502, HOP_CODE);
            return Err(ServeError::Refused(refusal));
        }
    }
    let HopReply {
        address,
        head,
        connection,
    } = reply;
    if head.keep_alive && decoder.is_done() && connection.buf.is_empty() {
        core.hop_links.keep(address, connection, Instant::now());
    }
    Ok(head.status)
}

/// Reads more bytes of an answer, which has to go on.
async fn read_on<D>(core: &Core<D>, connection: &mut Connection) -> Result<(), ConnectionError> {
    let read = connection.fill().await.map_err(ConnectionError::Io)?;
    core.link.record(Instant::now());
    match read {
        0 => Err(ConnectionError::Closed),
        _ => Ok(()),
    }
}

/// Passes a stream on, in complete events.
async fn relay_stream<D>(
    core: &Core<D>,
    call: &Call,
    reply: &mut HopReply,
    decoder: &mut BodyDecoder,
    relay: &mut Relay,
    out: &TcpStream,
) -> Result<(), HopError> {
    let mut events = EventBuffer::default();
    let mut held = HeldBytes::new(&core.answers);
    let mut bytes = Vec::new();
    loop {
        while let Some(piece) = decoder.take(&mut reply.connection.buf)? {
            events.push(&piece);
        }
        while let Some(event) = events.next_event() {
            push_head(call, reply, relay, &mut bytes);
            push_chunk(&mut bytes, &event.bytes);
            relay.count_event(Instant::now());
        }
        held.grow_to(events.len()).map_err(|_| MALFORMED)?;
        if events.exceeds_limit() || decoder.is_done() && events.has_partial() {
            return Err(MALFORMED.into());
        }
        if decoder.is_done() {
            push_head(call, reply, relay, &mut bytes);
            bytes.extend_from_slice(b"0\r\n\r\n");
        }
        write_all(out, &bytes).await.map_err(|_| HopError::Caller)?;
        bytes.clear();
        if decoder.is_done() {
            return Ok(());
        }
        read_on(core, &mut reply.connection).await?;
    }
}

/// Appends the head of a stream, once.
fn push_head(call: &Call, reply: &HopReply, relay: &mut Relay, bytes: &mut Vec<u8>) {
    if relay.head_sent {
        return;
    }
    relay.head_sent = true;
    let head = &reply.head;
    bytes.extend_from_slice(&encode_head(head.status, &head.fields, call.keep_alive));
    bytes.extend_from_slice(b"Transfer-Encoding: chunked\r\n\r\n");
}

/// Reads a whole answer and passes it on.
async fn relay_whole<D>(
    core: &Core<D>,
    call: &Call,
    reply: &mut HopReply,
    decoder: &mut BodyDecoder,
    out: &TcpStream,
) -> Result<(), HopError> {
    let mut body = BytesMut::new();
    let mut held = HeldBytes::new(&core.answers);
    loop {
        while let Some(piece) = decoder.take(&mut reply.connection.buf)? {
            body.extend_from_slice(&piece);
        }
        if decoder.is_done() {
            break;
        }
        if body.len() > MAX_ANSWER_BYTES {
            return Err(MALFORMED.into());
        }
        held.grow_to(body.len()).map_err(|_| MALFORMED)?;
        read_on(core, &mut reply.connection).await?;
    }
    let head = &reply.head;
    let mut bytes = encode_head(head.status, &head.fields, call.keep_alive);
    bytes.extend_from_slice(format!("Content-Length: {}\r\n\r\n", body.len()).as_bytes());
    call.answering.set(true);
    let written = core.write_answer(out, bytes, &body).await;
    written.map_err(|_| HopError::Caller)
}
