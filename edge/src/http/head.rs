//! Parsing of request and response heads.

use std::fmt;

use bytes::{
    Buf,
    Bytes,
    BytesMut, //
};

use super::Framing;

/// Most fields in one head.
const MAX_FIELDS: usize = 100;

/// Status codes that HTTP defines.
const STATUSES: std::ops::RangeInclusive<u16> = 100..=599;

/// Hop-by-hop fields, which are never forwarded.
const HOP_FIELDS: [&str; 9] = [
    "connection",
    "keep-alive",
    "proxy-authenticate",
    "proxy-authorization",
    "proxy-connection",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
];

/// Why a head or a chunked body was rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ParseError {
    /// The bytes are not an HTTP/1 head.
    Malformed,
    /// The framing of the body is ambiguous or unsupported.
    Framing,
    /// The `Host` field is missing or repeated.
    Host,
    /// The request target is neither a path nor an `http` URI with a path.
    Target,
}

impl fmt::Display for ParseError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            ParseError::Malformed => "malformed head",
            ParseError::Framing => "ambiguous or unsupported body framing",
            ParseError::Host => "missing or repeated host",
            ParseError::Target => "request target is not a path",
        })
    }
}

impl std::error::Error for ParseError {}

/// Header fields in the order in which they were received.
#[derive(Clone, Debug, Default)]
pub struct Fields(Vec<(Bytes, Bytes)>);

impl Fields {
    /// First value of the field `name`, which is compared case-insensitively.
    ///
    /// # Examples
    ///
    /// ```
    /// use bytes::BytesMut;
    /// use cuminloom_edge::http::parse_request;
    ///
    /// let mut buf = BytesMut::from("GET /a HTTP/1.1\r\nHost: h\r\nX-One: 1\r\n\r\n");
    /// let head = parse_request(&mut buf).unwrap().unwrap();
    /// assert_eq!(head.fields.get("x-one"), Some("1"));
    /// ```
    pub fn get(&self, name: &str) -> Option<&str> {
        self.all(name).next()
    }

    /// All values of the field `name` that are valid UTF-8.
    pub fn all<'a, 'n>(&'a self, name: &'n str) -> impl Iterator<Item = &'a str> + use<'a, 'n> {
        self.0
            .iter()
            .filter(move |(n, _)| n.eq_ignore_ascii_case(name.as_bytes()))
            .filter_map(|(_, v)| std::str::from_utf8(v).ok())
    }

    /// Names and values in the order received.
    pub fn iter(&self) -> impl Iterator<Item = (&[u8], &[u8])> {
        self.0.iter().map(|(n, v)| (&n[..], &v[..]))
    }

    /// Whether `Connection` lists `token`.
    pub fn connection_has(&self, token: &str) -> bool {
        self.all("connection")
            .flat_map(|v| v.split(','))
            .any(|t| t.trim().eq_ignore_ascii_case(token))
    }

    /// Fields that may be forwarded: all but hop-by-hop fields, fields named by `Connection` and
    /// `Content-Length`.
    pub fn forwarded(&self) -> impl Iterator<Item = (&[u8], &[u8])> {
        let listed: Vec<String> = self
            .all("connection")
            .flat_map(|v| v.split(','))
            .map(|t| t.trim().to_ascii_lowercase())
            .collect();
        self.iter().filter(move |(n, _)| {
            let is = |s: &str| n.eq_ignore_ascii_case(s.as_bytes());
            !is("content-length")
                && !HOP_FIELDS.iter().any(|h| is(h))
                && !listed.iter().any(|l| is(l))
        })
    }
}

/// Head of a request.
#[derive(Clone, Debug)]
pub struct RequestHead {
    /// Method as received.
    pub method: String,
    /// Path with the query; starts with a slash.
    pub target: String,
    /// Minor version of HTTP/1.
    pub minor: u8,
    /// Header fields.
    pub fields: Fields,
    /// Framing of the body.
    pub framing: Framing,
}

impl RequestHead {
    /// Path without the query.
    pub fn path(&self) -> &str {
        self.target.split('?').next().unwrap_or("")
    }

    /// Host name without a port.
    pub fn host(&self) -> &str {
        let host = self.fields.get("host").unwrap_or("");
        host.rsplit_once(':')
            .filter(|(_, port)| port.bytes().all(|b| b.is_ascii_digit()))
            .map_or(host, |(name, _)| name)
    }

    /// Whether the caller keeps the connection open for another request.
    pub fn keep_alive(&self) -> bool {
        if self.minor == 0 {
            return self.fields.connection_has("keep-alive");
        }
        !self.fields.connection_has("close")
    }
}

/// Head of a response.
#[derive(Clone, Debug)]
pub struct ResponseHead {
    /// Status code.
    pub status: u16,
    /// Header fields.
    pub fields: Fields,
    /// Framing of the body.
    pub framing: Framing,
    /// Whether the connection may be reused after the body.
    pub keep_alive: bool,
}

/// Fields as slices of the buffer that holds the head.
fn slice_fields(buf: &Bytes, headers: &[httparse::Header<'_>]) -> Fields {
    let fields = headers
        .iter()
        .map(|h| {
            (
                buf.slice_ref(h.name.as_bytes()),
                buf.slice_ref(h.value.trim_ascii()),
            )
        })
        .collect();
    Fields(fields)
}

/// Whether the body has the chunked transfer coding; fails for any other coding.
fn is_chunked(fields: &Fields) -> Result<bool, ParseError> {
    let mut codings = fields.all("transfer-encoding");
    let Some(first) = codings.next() else {
        return Ok(false);
    };
    if codings.next().is_some() || !first.eq_ignore_ascii_case("chunked") {
        return Err(ParseError::Framing);
    }
    Ok(true)
}

/// Value of `Content-Length`; fails if it is repeated or not a number.
fn content_length(fields: &Fields) -> Result<Option<u64>, ParseError> {
    let mut lengths = fields.all("content-length");
    let Some(first) = lengths.next() else {
        return Ok(None);
    };
    if lengths.next().is_some() || first.is_empty() || !first.bytes().all(|b| b.is_ascii_digit()) {
        return Err(ParseError::Framing);
    }
    first.parse().map(Some).map_err(|_| ParseError::Framing)
}

/// Framing of a request body. Fails if both framings are given, as request smuggling does.
fn request_framing(fields: &Fields, minor: u8) -> Result<Framing, ParseError> {
    let is_chunked = is_chunked(fields)?;
    let content_length = content_length(fields)?;
    match (is_chunked, content_length) {
        (true, Some(_)) => Err(ParseError::Framing),
        (true, None) if minor == 0 => Err(ParseError::Framing),
        (true, None) => Ok(Framing::Chunked),
        (false, Some(n)) => Ok(Framing::Length(n)),
        (false, None) => Ok(Framing::Length(0)),
    }
}

/// Framing of a response body. Assumes that the request was not `HEAD`.
fn response_framing(status: u16, fields: &Fields) -> Result<Framing, ParseError> {
    let is_chunked = is_chunked(fields)?;
    let content_length = content_length(fields)?;
    if status == 204 || status == 304 || status < 200 {
        return Ok(Framing::Length(0));
    }
    match (is_chunked, content_length) {
        (true, Some(_)) => Err(ParseError::Framing),
        (true, None) => Ok(Framing::Chunked),
        (false, Some(n)) => Ok(Framing::Length(n)),
        (false, None) => Ok(Framing::Close),
    }
}

/// Path and query of a request target, which may be an absolute `http` URI.
fn normalize_target(target: &str) -> Result<String, ParseError> {
    if target.starts_with('/') {
        return Ok(target.to_owned());
    }
    let rest = target.strip_prefix("http://").ok_or(ParseError::Target)?;
    let slash = rest.find('/').ok_or(ParseError::Target)?;
    Ok(rest[slash..].to_owned())
}

/// Whether a line ends without a carriage return. Some parsers treat such a line end as part of the
/// value, so that only one side would see the next field.
fn has_bare_lf(head: &[u8]) -> bool {
    memchr::memchr_iter(b'\n', head).any(|at| at == 0 || head[at - 1] != b'\r')
}

/// Takes a request head from the start of `buf`; `None` while it is incomplete.
///
/// # Errors
///
/// Fails if the bytes are not an HTTP/1 head, or if framing, host or target is ambiguous or
/// unsupported.
///
/// # Examples
///
/// ```
/// use bytes::BytesMut;
/// use cuminloom_edge::http::{ParseError, parse_request};
///
/// let both = "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n";
/// assert_eq!(parse_request(&mut BytesMut::from(both)).unwrap_err(), ParseError::Framing);
/// assert!(parse_request(&mut BytesMut::from("GET / HT")).unwrap().is_none());
/// ```
pub fn parse_request(buf: &mut BytesMut) -> Result<Option<RequestHead>, ParseError> {
    if memchr::memmem::find(buf, b"\n\r\n").is_none()
        && memchr::memmem::find(buf, b"\n\n").is_none()
    {
        // Rejects bytes that can never become a head without waiting for the end of the head.
        let mut headers = [httparse::EMPTY_HEADER; MAX_FIELDS];
        return match httparse::Request::new(&mut headers).parse(buf) {
            Err(_) => Err(ParseError::Malformed),
            Ok(_) => Ok(None),
        };
    }
    let (size, minor) = {
        let mut headers = [httparse::EMPTY_HEADER; MAX_FIELDS];
        let mut request = httparse::Request::new(&mut headers);
        match request.parse(buf) {
            Err(_) => return Err(ParseError::Malformed),
            Ok(httparse::Status::Partial) => return Ok(None),
            Ok(httparse::Status::Complete(n)) => (n, request.version.unwrap_or(1)),
        }
    };
    let raw = buf.split_to(size).freeze();
    if has_bare_lf(&raw) {
        return Err(ParseError::Malformed);
    }
    let mut headers = [httparse::EMPTY_HEADER; MAX_FIELDS];
    let mut request = httparse::Request::new(&mut headers);
    request.parse(&raw).map_err(|_| ParseError::Malformed)?;
    let fields = slice_fields(&raw, request.headers);
    let hosts = fields.all("host").count();
    if hosts != 1 {
        return Err(ParseError::Host);
    }
    Ok(Some(RequestHead {
        method: request.method.unwrap_or("").to_owned(),
        target: normalize_target(request.path.unwrap_or(""))?,
        minor,
        framing: request_framing(&fields, minor)?,
        fields,
    }))
}

/// Takes a response head from the start of `buf`; `None` while it is incomplete.
///
/// # Errors
///
/// Fails if the bytes are not an HTTP/1 head or the framing is ambiguous or unsupported.
///
/// # Examples
///
/// ```
/// use bytes::BytesMut;
/// use cuminloom_edge::http::{Framing, parse_response};
///
/// let mut buf = BytesMut::from("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
/// let head = parse_response(&mut buf).unwrap().unwrap();
/// assert_eq!((head.status, head.framing), (200, Framing::Length(2)));
/// assert_eq!(&buf[..], b"ok");
/// ```
pub fn parse_response(buf: &mut BytesMut) -> Result<Option<ResponseHead>, ParseError> {
    let size = {
        let mut headers = [httparse::EMPTY_HEADER; MAX_FIELDS];
        let mut response = httparse::Response::new(&mut headers);
        match response.parse(buf) {
            Err(_) => return Err(ParseError::Malformed),
            Ok(httparse::Status::Partial) => return Ok(None),
            Ok(httparse::Status::Complete(n)) => n,
        }
    };
    let raw = buf.split_to(size).freeze();
    let mut headers = [httparse::EMPTY_HEADER; MAX_FIELDS];
    let mut response = httparse::Response::new(&mut headers);
    response.parse(&raw).map_err(|_| ParseError::Malformed)?;
    let fields = slice_fields(&raw, response.headers);
    let status = response.code.unwrap_or(0);
    if !STATUSES.contains(&status) {
        return Err(ParseError::Malformed);
    }
    let framing = response_framing(status, &fields)?;
    let keep =
        response.version == Some(1) && framing != Framing::Close && !fields.connection_has("close");
    Ok(Some(ResponseHead {
        status,
        fields,
        framing,
        keep_alive: keep,
    }))
}

/// Reason phrase of a status code; `Response` if the code is not known.
pub fn reason_phrase(status: u16) -> &'static str {
    match status {
        200 => "OK",
        201 => "Created",
        400 => "Bad Request",
        401 => "Unauthorized",
        402 => "Payment Required",
        403 => "Forbidden",
        404 => "Not Found",
        408 => "Request Timeout",
        409 => "Conflict",
        410 => "Gone",
        413 => "Content Too Large",
        422 => "Unprocessable Content",
        429 => "Too Many Requests",
        431 => "Request Header Fields Too Large",
        500 => "Internal Server Error",
        502 => "Bad Gateway",
        503 => "Service Unavailable",
        504 => "Gateway Timeout",
        _ => "Response",
    }
}

/// Discards the first `n` bytes of `buf`.
pub(super) fn skip(buf: &mut BytesMut, n: usize) {
    buf.advance(n);
}
