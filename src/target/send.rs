//! One request to a target over HTTP.
//!
//! The daemon's other requests use `minreq`. It takes a chunked body that is cut between two chunks
//! for a complete one, and has a single deadline for head and body, so requests of callers go through
//! its nearest kin, `ureq`.

use std::{
    fmt,
    io::{
        ErrorKind,
        Read, //
    },
    net::SocketAddr,
    sync::{
        Arc,
        LazyLock, //
    },
    time::Duration, //
};

use serde::de::IgnoredAny;
use ureq::{
    Agent,
    Body,
    BodyReader,
    Timeout,
    http, //
};

use crate::model::{
    Code,
    RequestError, //
};

/// Longest wait for a connection. Targets are a few milliseconds away, and a request whose
/// connection was not made may go to another target.
const CONNECT_LIMIT: Duration = Duration::from_secs(1);

/// Size of the two buffers of a connection, in bytes. The library's default of 128 KiB each would take
/// 200 MB for 780 streams.
const BUFFER: usize = 16 << 10;

/// Largest head of an answer, in bytes. It has to fit into the buffer.
const MAX_HEAD: usize = BUFFER;

/// Content type of an answer that names none.
const UNTYPED: &str = "application/octet-stream";

/// Client of all targets. It follows no redirects, because that would send a request that may not be
/// repeated a second time, and keeps no connections, because a request sent on one that the target
/// has just closed may or may not have run.
static AGENT: LazyLock<Agent> = LazyLock::new(|| {
    Agent::config_builder()
        .http_status_as_error(false)
        .max_redirects(0)
        .max_redirects_will_error(false)
        .max_idle_connections(0)
        .max_response_header_size(MAX_HEAD)
        .input_buffer_size(BUFFER)
        .output_buffer_size(BUFFER)
        .timeout_connect(Some(CONNECT_LIMIT))
        .user_agent("")
        .accept_encoding("")
        .proxy(None)
        .build()
        .into()
});

/// Method of a request to a target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Method {
    /// GET.
    Get,
    /// HEAD.
    Head,
    /// POST.
    Post,
    /// PUT.
    Put,
    /// PATCH.
    Patch,
    /// DELETE.
    Delete,
}

impl Method {
    /// Reads the name in a request line.
    pub(crate) fn parse(name: &str) -> Option<Self> {
        let all = [
            Method::Get,
            Method::Head,
            Method::Post,
            Method::Put,
            Method::Patch,
            Method::Delete,
        ];
        all.into_iter().find(|method| method.as_str() == name)
    }

    /// Name in the request line.
    pub(crate) fn as_str(self) -> &'static str {
        match self {
            Method::Get => "GET",
            Method::Head => "HEAD",
            Method::Post => "POST",
            Method::Put => "PUT",
            Method::Patch => "PATCH",
            Method::Delete => "DELETE",
        }
    }
}

/// A request to a target.
#[derive(Clone, Debug)]
pub struct TargetRequest {
    /// Where the target listens.
    pub addr: SocketAddr,
    /// Method.
    pub method: Method,
    /// Path and query, with the leading slash.
    pub path: Arc<str>,
    /// Headers beside the content length.
    pub headers: Vec<(&'static str, String)>,
    /// Body.
    pub body: Arc<[u8]>,
    /// Longest wait for the head of the answer.
    pub head_timeout: Duration,
    /// Longest time for the whole exchange.
    pub timeout: Duration,
}

/// The head of a target's answer; the body is read from it.
pub struct Reply {
    /// HTTP status.
    pub status: u16,
    /// Content type.
    pub content_type: Arc<str>,
    /// Whether the end of the body is marked only by the end of the connection.
    unmarked: bool,
    body: BodyReader<'static>,
}

impl fmt::Debug for Reply {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Reply")
            .field("status", &self.status)
            .field("content_type", &self.content_type)
            .finish()
    }
}

impl Reply {
    /// Whether the body is a stream of server-sent events.
    ///
    /// # Examples
    ///
    /// ```no_run
    /// # fn check(reply: cuminloom::target::Reply) {
    /// if reply.is_stream() {
    ///     println!("events follow");
    /// }
    /// # }
    /// ```
    pub fn is_stream(&self) -> bool {
        self.content_type.starts_with("text/event-stream")
    }

    /// Reads the whole body.
    ///
    /// # Errors
    ///
    /// Fails with verdict may-have-run when the body is cut off or longer than `limit` bytes.
    ///
    /// # Examples
    ///
    /// ```no_run
    /// # fn read(reply: cuminloom::target::Reply) -> Result<(), cuminloom::model::RequestError> {
    /// let body = reply.read_all(1 << 20)?;
    /// # let _ = body;
    /// # Ok(())
    /// # }
    /// ```
    pub fn read_all(self, limit: usize) -> Result<Vec<u8>, RequestError> {
        let mut input = self.body;
        let mut body = Vec::new();
        let read = input.by_ref().take(limit as u64 + 1).read_to_end(&mut body);
        if let Err(err) = read {
            return Err(cut_off(&err));
        }
        // Nothing marks the end of a body that ends with its connection, so it may have been cut
        // anywhere. Only JSON shows its end itself.
        if self.unmarked && serde_json::from_slice::<IgnoredAny>(&body).is_err() {
            let detail = "the target's answer does not say where it ends";
            return Err(RequestError::may_have_run(Code::TargetFailed, detail));
        }
        if body.len() > limit {
            return Err(RequestError::may_have_run(
                Code::TooLarge,
                "the target's answer is too large",
            ));
        }
        Ok(body)
    }
}

impl Read for Reply {
    fn read(&mut self, buf: &mut [u8]) -> std::io::Result<usize> {
        self.body.read(buf)
    }
}

/// Sends a request and returns when the head of the answer has arrived. Dropping the reply closes
/// the connection, which cancels work in progress at an engine.
///
/// # Errors
///
/// Fails with verdict not-run when no connection was made, else with may-have-run.
///
/// # Examples
///
/// ```
/// use std::time::Duration;
/// use cuminloom::{
///     model::Verdict,
///     target::{Method, TargetRequest, send_request},
/// };
/// // Nothing listens on port 1, so the request certainly did not run.
/// let fault = send_request(&TargetRequest {
///     addr: "127.0.0.1:1".parse().unwrap(),
///     method: Method::Post,
///     path: "/holds".into(),
///     headers: vec![],
///     body: (*b"{}").into(),
///     head_timeout: Duration::from_secs(1),
///     timeout: Duration::from_secs(1),
/// })
/// .unwrap_err();
/// assert_eq!(fault.verdict, Verdict::NotRun);
/// ```
pub fn send_request(out: &TargetRequest) -> Result<Reply, RequestError> {
    if out.head_timeout.is_zero() {
        return Err(RequestError::not_run(
            Code::Deadline,
            "the deadline has passed",
        ));
    }
    let request = encode(out)?;
    let request = AGENT
        .configure_request(request)
        .timeout_recv_response(Some(out.head_timeout))
        .timeout_global(Some(out.timeout.max(out.head_timeout)))
        .build();
    let answer = AGENT.run(request).map_err(|err| fault_of(&err))?;
    let header = |name| {
        answer
            .headers()
            .get(name)
            .and_then(|value| value.to_str().ok())
    };
    let marked = header("content-length").is_some() || header("transfer-encoding").is_some();
    let bare = out.method == Method::Head || matches!(answer.status().as_u16(), 204 | 304);
    Ok(Reply {
        status: answer.status().as_u16(),
        content_type: header("content-type").unwrap_or(UNTYPED).into(),
        unmarked: !marked && !bare,
        body: answer.into_body().into_reader(),
    })
}

/// Builds the request. Control characters in the path or a header are refused, because they could
/// smuggle in another header or request, and the HTTP library of the listener accepts single ones.
fn encode(out: &TargetRequest) -> Result<http::Request<Body>, RequestError> {
    let forbids_body = matches!(out.method, Method::Get | Method::Head | Method::Delete);
    if forbids_body && !out.body.is_empty() {
        let detail = "a body is not accepted with this method";
        return Err(RequestError::not_run(Code::BadRequest, detail));
    }
    let bad = |_| RequestError::not_run(Code::BadRequest, "the path or a header is malformed");
    let uri = format!("http://{}{}", out.addr, out.path);
    let mut request = http::Request::builder()
        .method(out.method.as_str())
        .uri(uri);
    for (name, value) in &out.headers {
        request = request.header(*name, value);
    }
    let body = Body::builder().data(out.body.to_vec());
    request.body(body).map_err(bad)
}

fn fault_of(err: &ureq::Error) -> RequestError {
    match err {
        ureq::Error::Timeout(Timeout::Connect) | ureq::Error::ConnectionFailed => {
            RequestError::not_run(Code::TargetFailed, "no connection to the target was made")
        }
        ureq::Error::Io(io) if io.kind() == ErrorKind::ConnectionRefused => {
            RequestError::not_run(Code::TargetFailed, "the target refused the connection")
        }
        ureq::Error::Timeout(_) => {
            RequestError::may_have_run(Code::Deadline, "the target did not answer in time")
        }
        _ => RequestError::may_have_run(Code::TargetFailed, "the connection to the target broke"),
    }
}

/// The failure of an answer whose body could not be read to its end.
pub(super) fn cut_off(err: &std::io::Error) -> RequestError {
    match err.kind() {
        ErrorKind::TimedOut => {
            RequestError::may_have_run(Code::Deadline, "the target's answer took too long")
        }
        _ => RequestError::may_have_run(Code::TargetFailed, "the target's answer was cut off"),
    }
}
