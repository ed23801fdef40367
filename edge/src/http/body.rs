//! Framing of bodies.

use bytes::{
    Bytes,
    BytesMut, //
};

use super::{
    ParseError,
    head::skip, //
};

/// Longest line of a chunk size or a trailer field, in bytes.
const MAX_LINE: usize = 4096;

/// How the end of a body is found.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Framing {
    /// A number of bytes.
    Length(u64),
    /// Chunked transfer coding.
    Chunked,
    /// The body ends with the connection.
    Close,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Step {
    Size,
    Data(u64),
    DataEnd,
    Trailer,
    Done,
}

/// Takes body bytes from a buffer as they arrive.
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
    step: Step,
}

impl BodyDecoder {
    /// A decoder for one body.
    pub fn new(framing: Framing) -> BodyDecoder {
        let step = match framing {
            Framing::Length(0) => Step::Done,
            Framing::Length(n) => Step::Data(n),
            Framing::Chunked => Step::Size,
            Framing::Close => Step::Data(u64::MAX),
        };
        BodyDecoder { framing, step }
    }

    /// Whether the whole body has been taken. Never true for a body that ends with its connection.
    pub fn is_done(&self) -> bool {
        self.step == Step::Done
    }

    /// Whether the end of the connection ends the body.
    pub fn ends_with_connection(&self) -> bool {
        self.framing == Framing::Close
    }

    /// Takes the next piece; `None` if more bytes are needed or the body is done.
    ///
    /// # Errors
    ///
    /// Fails if the chunked coding is broken.
    pub fn take(&mut self, buf: &mut BytesMut) -> Result<Option<Bytes>, ParseError> {
        loop {
            match self.step {
                Step::Done => return Ok(None),
                Step::Data(left) => {
                    if buf.is_empty() {
                        return Ok(None);
                    }
                    let n = left.min(buf.len() as u64);
                    let piece = buf.split_to(n as usize).freeze();
                    self.step = self.after_data(left, n);
                    return Ok(Some(piece));
                }
                Step::DataEnd => {
                    if buf.len() < 2 {
                        return Ok(None);
                    }
                    if &buf[..2] != b"\r\n" {
                        return Err(ParseError::Framing);
                    }
                    skip(buf, 2);
                    self.step = Step::Size;
                }
                Step::Size => {
                    let Some(line) = take_line(buf)? else {
                        return Ok(None);
                    };
                    self.step = match chunk_size(&line)? {
                        0 => Step::Trailer,
                        n => Step::Data(n),
                    };
                }
                Step::Trailer => {
                    let Some(line) = take_line(buf)? else {
                        return Ok(None);
                    };
                    if line.is_empty() {
                        self.step = Step::Done;
                    }
                }
            }
        }
    }

    fn after_data(&self, left: u64, taken: u64) -> Step {
        match self.framing {
            Framing::Close => Step::Data(u64::MAX),
            _ if taken < left => Step::Data(left - taken),
            Framing::Chunked => Step::DataEnd,
            Framing::Length(_) => Step::Done,
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

fn take_line(buf: &mut BytesMut) -> Result<Option<Bytes>, ParseError> {
    let Some(end) = memchr::memchr(b'\n', buf) else {
        if buf.len() > MAX_LINE {
            return Err(ParseError::Framing);
        }
        return Ok(None);
    };
    if end == 0 || buf[end - 1] != b'\r' || end > MAX_LINE {
        return Err(ParseError::Framing);
    }
    let mut line = buf.split_to(end + 1).freeze();
    line.truncate(end - 1);
    Ok(Some(line))
}

fn chunk_size(line: &[u8]) -> Result<u64, ParseError> {
    let digits = line.split(|b| *b == b';').next().unwrap_or(b"");
    let text = std::str::from_utf8(digits.trim_ascii()).map_err(|_| ParseError::Framing)?;
    if text.is_empty() || text.len() > 15 || !text.bytes().all(|b| b.is_ascii_hexdigit()) {
        return Err(ParseError::Framing);
    }
    u64::from_str_radix(text, 16).map_err(|_| ParseError::Framing)
}
