//! Parsing and framing of HTTP messages, with the bytes split at any point.

use bytes::BytesMut;
use cuminloom_edge::http::{
    BodyDecoder,
    EventBuffer,
    Framing,
    ParseError,
    parse_request,
    parse_response, //
};
use quickcheck::{
    Gen,
    QuickCheck, //
};

/// Seed of the generated cases.
const SEED: u64 = 20_261_204;

/// Checks a property on 400 generated cases.
fn check<A, P>(property: fn(A) -> P)
where
    A: quickcheck::Arbitrary,
    P: quickcheck::Testable,
    fn(A) -> P: quickcheck::Testable,
{
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(200, SEED))
        .tests(400)
        .quickcheck(property);
}

/// Parses a request head.
fn request(text: &str) -> Result<Option<()>, ParseError> {
    parse_request(&mut BytesMut::from(text)).map(|head| head.map(|_| ()))
}

/// Guards against request smuggling by contradictory framing, unsupported codings and malformed
/// lengths.
#[test]
fn ambiguous_framing_is_refused() {
    let head = |fields: &str| format!("POST /a HTTP/1.1\r\nHost: h\r\n{fields}\r\n");
    for fields in [
        "Content-Length: 3\r\nTransfer-Encoding: chunked\r\n",
        "Transfer-Encoding: chunked\r\nContent-Length: 3\r\n",
        "Content-Length: 3\r\nContent-Length: 4\r\n",
        "Content-Length: 3\r\nContent-Length: 3\r\n",
        "Content-Length: +3\r\n",
        "Content-Length: 3, 3\r\n",
        "Content-Length: 0x3\r\n",
        "Transfer-Encoding: gzip, chunked\r\n",
        "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n",
        "Transfer-Encoding: identity\r\n",
    ] {
        assert_eq!(
            request(&head(fields)),
            Err(ParseError::Framing),
            "{fields:?}"
        );
    }
}

/// Guards against heads that other parsers may interpret differently.
#[test]
fn malformed_heads_are_refused() {
    for text in [
        "GET /a HTTP/1.1\r\nHost : h\r\n\r\n",
        "GET /a HTTP/1.1\r\nHost: h\r\n folded: x\r\n\r\n",
        "GET /a HTTP/1.1\r\nHost: a\r\nHost: b\r\n\r\n",
        "GET /a HTTP/1.1\r\n\r\n",
        "GET a HTTP/1.1\r\nHost: h\r\n\r\n",
        "GET /a HTTP/2.0\r\nHost: h\r\n\r\n",
        "\x16\x03\x01\x02\x00\x01",
        "GET /a HTTP/1.1\r\nHost: h\r\nX: a\0b\r\n\r\n",
        "GET /a HTTP/1.1\r\nHost: h\r\nX: a\nY: b\r\n\r\n",
        "GET /a HTTP/1.1\nHost: h\n\n",
    ] {
        assert!(request(text).is_err(), "{text:?}");
    }
}

/// Guards against a panic on bytes that are not HTTP.
#[test]
fn random_bytes_do_not_panic() {
    fn property(bytes: Vec<u8>) -> bool {
        let _ = parse_request(&mut BytesMut::from(&bytes[..]));
        let _ = parse_response(&mut BytesMut::from(&bytes[..]));
        for framing in [Framing::Chunked, Framing::Length(10), Framing::Close] {
            let mut decoder = BodyDecoder::new(framing);
            let mut buf = BytesMut::from(&bytes[..]);
            while let Ok(Some(_)) = decoder.take(&mut buf) {}
        }
        true
    }
    check(property as fn(Vec<u8>) -> bool);
}

/// Guards against body bytes that are lost, duplicated or taken from the next message.
#[test]
fn chunked_bodies_survive_any_split() {
    fn property(input: (Vec<Vec<u8>>, usize)) -> bool {
        let (chunks, step) = input;
        let mut wire = Vec::new();
        let mut whole = Vec::new();
        for chunk in chunks.iter().filter(|c| !c.is_empty()) {
            wire.extend_from_slice(format!("{:x}\r\n", chunk.len()).as_bytes());
            wire.extend_from_slice(chunk);
            wire.extend_from_slice(b"\r\n");
            whole.extend_from_slice(chunk);
        }
        wire.extend_from_slice(b"0\r\n\r\nnext");
        let mut decoder = BodyDecoder::new(Framing::Chunked);
        let (mut buf, mut got) = (BytesMut::new(), Vec::new());
        for part in wire.chunks(step % 7 + 1) {
            buf.extend_from_slice(part);
            while let Ok(Some(piece)) = decoder.take(&mut buf) {
                got.extend_from_slice(&piece);
            }
        }
        decoder.is_done() && got == whole && &buf[..] == b"next"
    }
    check(property as fn((Vec<Vec<u8>>, usize)) -> bool);
}

/// Guards against a chunk size that overflows, or that lets bytes pass unnoticed.
#[test]
fn broken_chunk_sizes_are_refused() {
    for text in [
        "\r\n",
        "g\r\n",
        "-1\r\n",
        "ffffffffffffffffff\r\n",
        "1 2\r\n",
        "3\nabc",
    ] {
        let mut buf = BytesMut::from(text);
        assert!(
            BodyDecoder::new(Framing::Chunked).take(&mut buf).is_err(),
            "{text:?}"
        );
    }
}

/// Guards against events that are merged or truncated when they arrive in pieces.
#[test]
fn events_survive_any_split() {
    fn property(input: (Vec<u16>, usize)) -> bool {
        let (data, step) = input;
        let wire: String = data
            .iter()
            .enumerate()
            .map(|(i, d)| format!("id: {i}\ndata: {d}\n\n"))
            .collect();
        let mut events = EventBuffer::default();
        let mut got = Vec::new();
        for part in wire.as_bytes().chunks(step % 9 + 1) {
            events.push(part);
            while let Some(event) = events.next_event() {
                got.push(event);
            }
        }
        let ids: Vec<u64> = got.iter().filter_map(|e| e.id).collect();
        let bytes: Vec<u8> = got.iter().flat_map(|e| e.bytes.to_vec()).collect();
        ids == (0..data.len() as u64).collect::<Vec<_>>()
            && bytes == wire.as_bytes()
            && !events.has_partial()
    }
    check(property as fn((Vec<u16>, usize)) -> bool);
}

/// Guards against keeping the connection after a response whose end is marked only by the close.
#[test]
fn responses_without_length_end_the_connection() {
    let text = "HTTP/1.1 200 OK\r\nX: y\r\n\r\nbody";
    let head = parse_response(&mut BytesMut::from(text)).unwrap().unwrap();
    assert_eq!(head.framing, Framing::Close);
    assert!(!head.keep_alive);
}

/// Guards against reading trailer fields without end.
#[test]
fn trailers_without_end_are_invalid() {
    let mut decoder = BodyDecoder::new(Framing::Chunked);
    let mut buf = BytesMut::from("0\r\n");
    for _ in 0..1000 {
        buf.extend_from_slice(format!("x: {}\r\n", "m".repeat(1000)).as_bytes());
        if decoder.take(&mut buf).is_err() {
            return;
        }
    }
    panic!("1 MB of trailer fields were read");
}
