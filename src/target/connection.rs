//! HTTP/1.1 over one connection to a target.
//!
//! `minreq` takes a chunked body that is cut between two chunks for a complete one and has a single
//! deadline for head and body, so answers of targets are read here.

use std::{
    io::{
        self,
        BufRead,
        BufReader,
        ErrorKind,
        Read,
        Write, //
    },
    net::TcpStream,
    sync::Arc,
    time::{
        Duration,
        Instant, //
    },
};

use chunked_transfer::Decoder;

use super::{
    Method,
    Outgoing, //
};
use crate::model::{
    Code,
    Fault, //
};

/// Longest wait for a connection. Targets are a few milliseconds away, and a request whose
/// connection was not made may go to another target.
const CONNECT_LIMIT: Duration = Duration::from_secs(1);

/// Largest head of an answer, in bytes.
const MAX_HEAD: u64 = 64 << 10;

/// Most headers of an answer.
const MAX_HEADERS: usize = 96;

/// Content type of an answer that names none.
const UNTYPED: &str = "application/octet-stream";

/// Status, content type and body of an answer.
pub(super) struct Head {
    pub(super) status: u16,
    pub(super) kind: Arc<str>,
    pub(super) body: Body,
}

/// A connection whose reads fail when the deadline has passed.
#[derive(Debug)]
struct Timed {
    tcp: TcpStream,
    until: Instant,
}

impl Read for Timed {
    fn read(&mut self, buf: &mut [u8]) -> io::Result<usize> {
        let left = self.until.saturating_duration_since(Instant::now());
        if left.is_zero() {
            return Err(ErrorKind::TimedOut.into());
        }
        self.tcp.set_read_timeout(Some(left))?;
        self.tcp.read(buf).map_err(|err| match err.kind() {
            ErrorKind::WouldBlock => ErrorKind::TimedOut.into(),
            _ => err,
        })
    }
}

type Input = BufReader<Timed>;

/// How the end of a body is marked.
enum Framing {
    None,
    Length(usize, Input),
    Chunked(Decoder<Input>),
    UntilClose(Input),
}

/// The body of an answer. A body that ends before its mark is an error.
pub(super) struct Body {
    framing: Framing,
    ended: bool,
}

impl std::fmt::Debug for Body {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Body").field("ended", &self.ended).finish()
    }
}

impl Body {
    /// Whether the end of the body is the end of its connection.
    pub(super) fn ends_with_connection(&self) -> bool {
        matches!(self.framing, Framing::UntilClose(_))
    }
}

impl Read for Body {
    fn read(&mut self, buf: &mut [u8]) -> io::Result<usize> {
        if self.ended || buf.is_empty() {
            return Ok(0);
        }
        let (read, whole) = match &mut self.framing {
            Framing::None => (0, true),
            Framing::Length(0, _) => (0, true),
            Framing::Length(left, input) => {
                let most = buf.len().min(*left);
                let read = input.read(&mut buf[..most])?;
                *left -= read;
                (read, *left == 0)
            }
            Framing::Chunked(input) => {
                let read = input.read(buf)?;
                (read, input.remaining_chunks_size().is_none())
            }
            Framing::UntilClose(input) => (input.read(buf)?, true),
        };
        if read == 0 {
            self.ended = true;
            if !whole {
                return Err(ErrorKind::UnexpectedEof.into());
            }
        }
        Ok(read)
    }
}

/// Sends a request and reads the head of its answer.
pub(super) fn exchange(out: &Outgoing) -> Result<Head, Fault> {
    let request = encode(out)?;
    let start = Instant::now();
    let connected = TcpStream::connect_timeout(&out.addr, out.first.min(CONNECT_LIMIT));
    let tcp = connected
        .map_err(|_| Fault::not_run(Code::TargetFailed, "no connection to the target was made"))?;
    let until = start + out.first;
    let answered = write(&tcp, &request, until).and_then(|()| {
        let mut input = BufReader::new(Timed { tcp, until });
        let head = read_head(&mut input)?;
        input.get_mut().until = start + out.limit;
        parse(&head, out.method, input)
    });
    answered.map_err(|err| match err.kind() {
        ErrorKind::TimedOut | ErrorKind::WouldBlock => {
            Fault::may_have_run(Code::Deadline, "the target did not answer in time")
        }
        _ => Fault::may_have_run(Code::TargetFailed, "the connection to the target broke"),
    })
}

fn write(mut tcp: &TcpStream, request: &[u8], until: Instant) -> io::Result<()> {
    let left = until.saturating_duration_since(Instant::now());
    if left.is_zero() {
        return Err(ErrorKind::TimedOut.into());
    }
    tcp.set_nodelay(true)?;
    tcp.set_write_timeout(Some(left))?;
    tcp.write_all(request)
}

/// Writes the request as bytes. Control characters could end a line and smuggle in another header
/// or request, and the HTTP library of the listener accepts single ones.
fn encode(out: &Outgoing) -> Result<Vec<u8>, Fault> {
    let is_clean = |text: &str| !text.bytes().any(|byte| byte < b' ' || byte == 0x7f);
    let headers = out.headers.iter();
    if !is_clean(&out.path) || !headers.clone().all(|(_, value)| is_clean(value)) {
        let detail = "the path or a header holds a control character";
        return Err(Fault::not_run(Code::BadRequest, detail));
    }
    if out.first.is_zero() {
        return Err(Fault::not_run(Code::Deadline, "the deadline has passed"));
    }
    let mut head = format!(
        "{} {} HTTP/1.1\r\nHost: {}\r\nConnection: close\r\nContent-Length: {}\r\n",
        out.method.as_str(),
        out.path,
        out.addr,
        out.body.len()
    );
    for (name, value) in headers {
        head += &format!("{name}: {value}\r\n");
    }
    head += "\r\n";
    let mut bytes = head.into_bytes();
    bytes.extend_from_slice(&out.body);
    Ok(bytes)
}

/// Reads a head, without the interim ones that may come before it.
fn read_head(input: &mut Input) -> io::Result<Vec<u8>> {
    loop {
        let mut head = Vec::new();
        let mut limited = input.take(MAX_HEAD);
        while !head.ends_with(b"\r\n\r\n") {
            if limited.read_until(b'\n', &mut head)? == 0 {
                return Err(ErrorKind::UnexpectedEof.into());
            }
        }
        if !head.starts_with(b"HTTP/1.1 1") {
            return Ok(head);
        }
    }
}

fn parse(head: &[u8], method: Method, input: Input) -> io::Result<Head> {
    let malformed = || io::Error::from(ErrorKind::InvalidData);
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut parsed = httparse::Response::new(&mut headers);
    let complete = parsed.parse(head).is_ok_and(|status| status.is_complete());
    let status = parsed.code.filter(|_| complete).ok_or_else(malformed)?;
    let header = |name: &str| {
        let mut found = parsed.headers.iter();
        found
            .find(|header| header.name.eq_ignore_ascii_case(name))
            .map(|header| header.value.trim_ascii())
    };
    let framing = if method == Method::Head || matches!(status, 204 | 304) {
        Framing::None
    } else if let Some(coding) = header("transfer-encoding") {
        if !coding.eq_ignore_ascii_case(b"chunked") {
            return Err(malformed());
        }
        Framing::Chunked(Decoder::new(input))
    } else if let Some(length) = header("content-length") {
        let text = std::str::from_utf8(length).map_err(|_| malformed())?;
        Framing::Length(text.parse().map_err(|_| malformed())?, input)
    } else {
        Framing::UntilClose(input)
    };
    // The type is passed on in a header, which has to be printable ASCII.
    let kind = header("content-type")
        .filter(|kind| kind.iter().all(|byte| (b' '..0x7f).contains(byte)))
        .and_then(|kind| std::str::from_utf8(kind).ok());
    Ok(Head {
        status,
        kind: kind.unwrap_or(UNTYPED).into(),
        body: Body {
            framing,
            ended: false,
        },
    })
}
