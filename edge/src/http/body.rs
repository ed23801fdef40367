//! Body framing: content length, chunked coding, end of connection.

use bytes::{
    Bytes,
    BytesMut, //
};

use super::{
    ParseError,
    head::skip, //
};

/// Longest chunk size line or trailer field.
const MAX_LINE_BYTES: usize = 4096;

/// Most bytes of all trailer fields.
const MAX_TRAILER_BYTES: usize = 16 * 1024;

/// How the end of a message body is determined.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Framing {
    /// Number of bytes.
    Length(u64),
    /// Chunked transfer coding.
    Chunked,
    /// The body ends with the connection.
    Close,
}

/// Next element that a [`BodyDecoder`] expects.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    Size,
    Data(u64),
    DataEnd,
    Trailer,
    Done,
}

/// Incremental decoder of a message body.
///
/// # Examples
///
/// ```
/// use bytes::BytesMut;
/// use cuminloom_edge::http::{BodyDecoder, Framing};
///
/// let mut decoder = BodyDecoder::new(Framing::Chunked);
/// let mut buf = BytesMut::from("3\r\nabc\r\n0\r\n\r\nrest");
/// assert_eq!(&decoder.take(&mut buf).unwrap().unwrap()[..], b"abc");
/// assert!(decoder.take(&mut buf).unwrap().is_none());
/// assert!(decoder.is_done());
/// assert_eq!(&buf[..], b"rest");
/// ```
#[derive(Debug)]
pub struct BodyDecoder {
    framing: Framing,
    state: State,
    /// Bytes of the trailer fields so far.
    trailer_bytes: usize,
}

impl BodyDecoder {
    /// Creates a decoder for one body.
    pub fn new(framing: Framing) -> BodyDecoder {
        let state = match framing {
            Framing::Length(0) => State::Done,
            Framing::Length(n) => State::Data(n),
            Framing::Chunked => State::Size,
            Framing::Close => State::Data(u64::MAX),
        };
        BodyDecoder {
            framing,
            state,
            trailer_bytes: 0,
        }
    }

    /// Whether the body is complete. Never true for a body that ends with its connection.
    pub fn is_done(&self) -> bool {
        self.state == State::Done
    }

    /// Whether the body ends with the connection.
    pub fn ends_with_connection(&self) -> bool {
        self.framing == Framing::Close
    }

    /// Takes the next body bytes from `buf`; `None` if more input is needed or the body is complete.
    ///
    /// # Errors
    ///
    /// Fails if the chunked coding is invalid or the trailer is too long.
    pub fn take(&mut self, buf: &mut BytesMut) -> Result<Option<Bytes>, ParseError> {
        loop {
            match self.state {
                State::Done => return Ok(None),
                State::Data(left) => {
                    if buf.is_empty() {
                        return Ok(None);
                    }
                    let n = left.min(buf.len() as u64);
                    let piece = buf.split_to(n as usize).freeze();
                    self.state = self.after_data(left, n);
                    return Ok(Some(piece));
                }
                State::DataEnd => {
                    if buf.len() < 2 {
                        return Ok(None);
                    }
                    if &buf[..2] != b"\r\n" {
                        return Err(ParseError::Framing);
                    }
                    skip(buf, 2);
                    self.state = State::Size;
                }
                State::Size => {
                    let Some(line) = take_line(buf)? else {
                        return Ok(None);
                    };
                    self.state = match parse_chunk_size(&line)? {
                        0 => State::Trailer,
                        n => State::Data(n),
                    };
                }
                State::Trailer => {
                    let Some(line) = take_line(buf)? else {
                        return Ok(None);
                    };
                    self.trailer_bytes += line.len();
                    if line.is_empty() {
                        self.state = State::Done;
                    } else if self.trailer_bytes > MAX_TRAILER_BYTES {
                        return Err(ParseError::Framing);
                    }
                }
            }
        }
    }

    /// State after `taken` of `left` bytes.
    fn after_data(&self, left: u64, taken: u64) -> State {
        match self.framing {
            Framing::Close => State::Data(u64::MAX),
            _ if taken < left => State::Data(left - taken),
            Framing::Chunked => State::DataEnd,
            Framing::Length(_) => State::Done,
        }
    }
}

/// Appends `data` to `out` as one chunk of a chunked body.
///
/// # Examples
///
/// ```
/// use cuminloom_edge::http::push_chunk;
///
/// let mut out = Vec::new();
/// push_chunk(&mut out, b"abc");
/// assert_eq!(out, b"3\r\nabc\r\n");
/// ```
pub fn push_chunk(out: &mut Vec<u8>, data: &[u8]) {
    out.extend_from_slice(format!("{:x}\r\n", data.len()).as_bytes());
    out.extend_from_slice(data);
    out.extend_from_slice(b"\r\n");
}

/// Takes a line that ends with CRLF, without its end; `None` while it is incomplete.
fn take_line(buf: &mut BytesMut) -> Result<Option<Bytes>, ParseError> {
    let Some(end) = memchr::memchr(b'\n', buf) else {
        if buf.len() > MAX_LINE_BYTES {
            return Err(ParseError::Framing);
        }
        return Ok(None);
    };
    if end == 0 || buf[end - 1] != b'\r' || end > MAX_LINE_BYTES {
        return Err(ParseError::Framing);
    }
    let mut line = buf.split_to(end + 1).freeze();
    line.truncate(end - 1);
    Ok(Some(line))
}

/// Parses the hexadecimal size at the start of a chunk, ignoring chunk extensions.
fn parse_chunk_size(line: &[u8]) -> Result<u64, ParseError> {
    let digits = line.split(|b| *b == b';').next().unwrap_or(b"");
    let text = std::str::from_utf8(digits.trim_ascii()).map_err(|_| ParseError::Framing)?;
    if text.is_empty() || text.len() > 15 || !text.bytes().all(|b| b.is_ascii_hexdigit()) {
        return Err(ParseError::Framing);
    }
    u64::from_str_radix(text, 16).map_err(|_| ParseError::Framing)
}
