//! Framing of requests on valid input with random changes, in pieces of random size.

use bytes::{
    Bytes,
    BytesMut, //
};
use cuminloom_edge::http::{
    BodyDecoder,
    Framing,
    ParseError,
    RequestHead,
    parse_request, //
};
use rand::{
    RngExt,
    SeedableRng,
    rngs::StdRng, //
};

/// Seed of the generated cases, and their number: a few seconds in all.
const SEED: u64 = 20_261_206;
const CASES: u32 = 20_000;

/// Most requests on one connection.
const MAX_REQUESTS: usize = 4;

/// What a connection carried: bodies of complete requests, and whether it ended with an error.
#[derive(Debug, PartialEq)]
struct Outcome {
    bodies: Vec<Vec<u8>>,
    failed: bool,
}

/// Appends a chunked body with extensions and trailers.
fn push_chunked(rng: &mut StdRng, body: &[u8], out: &mut Vec<u8>) {
    let mut rest = body;
    while !rest.is_empty() {
        let (piece, after) = rest.split_at(rng.random_range(1..=rest.len()));
        rest = after;
        let extension = ["", ";a=b", " ;x", ";\"q\""][rng.random_range(0..4)];
        out.extend_from_slice(format!("{:X}{extension}\r\n", piece.len()).as_bytes());
        out.extend_from_slice(piece);
        out.extend_from_slice(b"\r\n");
    }
    let trailer = ["", "X-T: 1\r\n", "Content-Length: 9\r\n"][rng.random_range(0..3)];
    out.extend_from_slice(format!("0\r\n{trailer}\r\n").as_bytes());
}

/// Pipelined requests and their bodies.
fn requests(rng: &mut StdRng) -> (Vec<u8>, Vec<Vec<u8>>) {
    let mut out = Vec::new();
    let mut bodies = Vec::new();
    for _ in 0..rng.random_range(1..=MAX_REQUESTS) {
        let body: Vec<u8> = (0..rng.random_range(0..200_usize))
            .map(|_| b"ab\r\n0GET"[rng.random_range(0..8)])
            .collect();
        out.extend_from_slice(b"POST /a HTTP/1.1\r\nHost: h\r\n");
        if rng.random_bool(0.5) {
            out.extend_from_slice(b"Transfer-Encoding: chunked\r\n\r\n");
            push_chunked(rng, &body, &mut out);
        } else {
            out.extend_from_slice(format!("Content-Length: {}\r\n\r\n", body.len()).as_bytes());
            out.extend_from_slice(&body);
        }
        bodies.push(body);
    }
    (out, bodies)
}

/// Decodes what has arrived of a connection.
#[derive(Default)]
struct Reader {
    buf: BytesMut,
    open: Option<(RequestHead, BodyDecoder)>,
    body: Vec<u8>,
    bodies: Vec<Vec<u8>>,
}

impl Reader {
    fn push(&mut self, piece: &[u8]) -> Result<(), ParseError> {
        self.buf.extend_from_slice(piece);
        loop {
            if self.open.is_none() {
                let Some(head) = parse_request(&mut self.buf)? else {
                    return Ok(());
                };
                let decoder = BodyDecoder::new(head.framing);
                self.open = Some((head, decoder));
            }
            let Some((_, decoder)) = &mut self.open else {
                return Ok(());
            };
            while let Some(bytes) = decoder.take(&mut self.buf)? {
                let bytes: Bytes = bytes;
                self.body.extend_from_slice(&bytes);
            }
            if !decoder.is_done() {
                return Ok(());
            }
            self.open = None;
            self.bodies.push(std::mem::take(&mut self.body));
        }
    }
}

/// Decodes `bytes` in pieces of at most `size`.
fn decode(bytes: &[u8], size: usize) -> Outcome {
    let mut reader = Reader::default();
    let failed = bytes.chunks(size).any(|piece| reader.push(piece).is_err());
    Outcome {
        bodies: reader.bodies,
        failed,
    }
}

/// Guards against requests whose bodies depend on how they are split, and bodies that are taken for requests.
#[test]
fn pipelined_requests_are_read_alike_in_pieces_of_any_size() {
    let mut rng = StdRng::seed_from_u64(SEED);
    for case in 0..CASES {
        let (bytes, bodies) = requests(&mut rng);
        let outcome = decode(&bytes, rng.random_range(1..=bytes.len()));
        assert!(!outcome.failed, "case {case}");
        assert_eq!(outcome.bodies, bodies, "case {case}");
    }
}

/// Guards against panics on invalid framing, and against requests that one split of the bytes accepts and
/// another one rejects.
#[test]
fn changed_bytes_are_read_alike_in_pieces_of_any_size() {
    let mut rng = StdRng::seed_from_u64(SEED + 1);
    for case in 0..CASES {
        let (mut bytes, _) = requests(&mut rng);
        for _ in 0..rng.random_range(1..4) {
            let at = rng.random_range(0..bytes.len());
            bytes[at] = b"\r\n 0f;:\0\xff-9"[rng.random_range(0..11)];
        }
        let whole = decode(&bytes, bytes.len());
        let pieces = decode(&bytes, rng.random_range(1..=bytes.len()));
        assert_eq!(
            whole,
            pieces,
            "case {case}: {:?}",
            bytes.escape_ascii().to_string()
        );
    }
}

/// Guards against request smuggling: a request with both framings never has a body.
#[test]
fn both_framings_at_once_are_refused_wherever_they_stand() {
    let mut rng = StdRng::seed_from_u64(SEED + 2);
    for case in 0..CASES {
        let mut fields = vec![
            format!("Content-Length: {}\r\n", rng.random_range(0..100)),
            "Transfer-Encoding: chunked\r\n".to_owned(),
        ];
        for n in 0..rng.random_range(0..5) {
            let at = rng.random_range(0..=fields.len());
            fields.insert(at, format!("X-{n}: v\r\n"));
        }
        if rng.random_bool(0.5) {
            fields.reverse();
        }
        let text = format!("POST /a HTTP/1.1\r\n{}\r\n0\r\n\r\n", fields.concat());
        let parsed = parse_request(&mut BytesMut::from(text.as_str()));
        assert!(parsed.is_err(), "case {case}: {text}");
    }
}

/// Guards against sizes that overflow or are read as another number.
#[test]
fn odd_chunk_sizes_are_refused() {
    for size in [
        "",
        "+1",
        "-1",
        "0x1",
        "1 1",
        "g",
        "ffffffffffffffff",
        "1\u{0}",
    ] {
        let mut buf = BytesMut::from(format!("{size}\r\na\r\n0\r\n\r\n").as_str());
        let taken = BodyDecoder::new(Framing::Chunked).take(&mut buf);
        assert_eq!(taken, Err(ParseError::Framing), "{size:?}");
    }
}
