//! Sends the requests of callers to targets over HTTP.
//!
//! These use `ureq`. The daemon's other requests use `minreq`, which accepts a chunked body that is
//! cut between two chunks as complete and has a single timeout for head and body.

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

/// Timeout of connecting. Targets are a few milliseconds away, and a request without a connection
/// can be sent to another target.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// Size of the input and of the output buffer of a connection. The library's default of 128 KiB each
/// would take 200 MB for 780 streams.
const BUFFER_BYTES: usize = 16 << 10;

/// Largest head of a reply; it has to fit into the buffer.
const MAX_HEAD_BYTES: usize = BUFFER_BYTES;

/// Content type of a reply without the header.
const DEFAULT_CONTENT_TYPE: &str = "application/octet-stream";

/// HTTP client for all targets. It follows no redirects, because that would send a request again that
/// must not be repeated, and keeps no connections, because a request on a connection that the target
/// has just closed may or may not have run.
static AGENT: LazyLock<Agent> = LazyLock::new(|| {
    Agent::config_builder()
        .http_status_as_error(false)
        .max_redirects(0)
        .max_redirects_will_error(false)
        .max_idle_connections(0)
        .max_response_header_size(MAX_HEAD_BYTES)
        .input_buffer_size(BUFFER_BYTES)
        .output_buffer_size(BUFFER_BYTES)
        .timeout_connect(Some(CONNECT_TIMEOUT))
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
    /// Parses the name in a request line.
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
    /// Address of the target.
    pub addr: SocketAddr,
    /// Method.
    pub method: Method,
    /// Path and query, with the leading slash.
    pub path: Arc<str>,
    /// Headers other than the content length.
    pub headers: Vec<(&'static str, String)>,
    /// Body.
    pub body: Arc<[u8]>,
    /// Longest wait for the head of the reply.
    pub head_timeout: Duration,
    /// Longest time for the whole exchange.
    pub timeout: Duration,
}

/// Head of a target's reply. Reading it yields the body.
pub struct Reply {
    /// HTTP status.
    pub status: u16,
    /// Content type.
    pub content_type: Arc<str>,
    /// Whether only the end of the connection delimits the body.
    close_delimited: bool,
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
            return Err(body_error(&err));
        }
        // A body that ends with its connection may have been cut off anywhere. Only a JSON document
        // shows that it is complete.
        if self.close_delimited && serde_json::from_slice::<IgnoredAny>(&body).is_err() {
            let detail = "the target's reply has neither a content length nor a transfer encoding";
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

/// Sends a request and waits for the head of the reply. Dropping the reply closes the connection,
/// which makes an engine cancel the request.
///
/// # Errors
///
/// Fails with verdict not-run when the request was not sent, else with may-have-run.
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
/// let error = send_request(&TargetRequest {
///     addr: "127.0.0.1:1".parse().unwrap(),
///     method: Method::Post,
///     path: "/holds".into(),
///     headers: vec![],
///     body: (*b"{}").into(),
///     head_timeout: Duration::from_secs(1),
///     timeout: Duration::from_secs(1),
/// })
/// .unwrap_err();
/// assert_eq!(error.verdict, Verdict::NotRun);
/// ```
pub fn send_request(request: &TargetRequest) -> Result<Reply, RequestError> {
    if request.head_timeout.is_zero() {
        return Err(RequestError::not_run(
            Code::Deadline,
            "the deadline has passed",
        ));
    }
    let http = build_request(request)?;
    let http = AGENT
        .configure_request(http)
        .timeout_recv_response(Some(request.head_timeout))
        .timeout_global(Some(request.timeout.max(request.head_timeout)))
        .build();
    let response = AGENT.run(http).map_err(|err| send_error(&err))?;
    let header = |name| {
        response
            .headers()
            .get(name)
            .and_then(|value| value.to_str().ok())
    };
    let delimited = header("content-length").is_some() || header("transfer-encoding").is_some();
    let bodiless =
        request.method == Method::Head || matches!(response.status().as_u16(), 204 | 304);
    Ok(Reply {
        status: response.status().as_u16(),
        content_type: header("content-type")
            .unwrap_or(DEFAULT_CONTENT_TYPE)
            .into(),
        close_delimited: !delimited && !bodiless,
        body: response.into_body().into_reader(),
    })
}

/// Builds the HTTP request. Control characters in the path or a header are refused: they could inject
/// another header or request, and the listener's HTTP library accepts single ones.
fn build_request(request: &TargetRequest) -> Result<http::Request<Body>, RequestError> {
    let forbids_body = matches!(request.method, Method::Get | Method::Head | Method::Delete);
    if forbids_body && !request.body.is_empty() {
        let detail = "a body is not accepted with this method";
        return Err(RequestError::not_run(Code::BadRequest, detail));
    }
    let bad = |_| RequestError::not_run(Code::BadRequest, "the path or a header is malformed");
    let uri = format!("http://{}{}", request.addr, request.path);
    let mut builder = http::Request::builder()
        .method(request.method.as_str())
        .uri(uri);
    for (name, value) in &request.headers {
        builder = builder.header(*name, value);
    }
    let body = Body::builder().data(request.body.to_vec());
    builder.body(body).map_err(bad)
}

/// Error for a request that got no reply.
fn send_error(err: &ureq::Error) -> RequestError {
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

/// Error for a reply whose body could not be read to its end.
pub(super) fn body_error(err: &std::io::Error) -> RequestError {
    match err.kind() {
        ErrorKind::TimedOut => {
            RequestError::may_have_run(Code::Deadline, "the target's answer took too long")
        }
        _ => RequestError::may_have_run(Code::TargetFailed, "the target's answer was cut off"),
    }
}
