//! One request to a target over HTTP.

use std::{
    fmt,
    io::{
        ErrorKind,
        Read, //
    },
    net::SocketAddr,
    sync::Arc,
    time::Duration, //
};

use serde::de::IgnoredAny;

use crate::model::{
    Code,
    Fault, //
};

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

/// A request to a target.
#[derive(Clone, Debug)]
pub struct Outgoing {
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
    /// Longest time for the whole exchange, rounded up to seconds.
    pub limit: Duration,
}

/// The head of a target's answer; the body is read from it.
pub struct Reply {
    /// HTTP status.
    pub status: u16,
    /// Content type.
    pub kind: Arc<str>,
    length: Option<usize>,
    inner: minreq::ResponseLazy,
}

impl fmt::Debug for Reply {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Reply")
            .field("status", &self.status)
            .field("kind", &self.kind)
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
        self.kind.starts_with("text/event-stream")
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
    /// # fn read(reply: cuminloom::target::Reply) -> Result<(), cuminloom::model::Fault> {
    /// let body = reply.read_all(1 << 20)?;
    /// # let _ = body;
    /// # Ok(())
    /// # }
    /// ```
    pub fn read_all(self, limit: usize) -> Result<Vec<u8>, Fault> {
        let mut body = Vec::new();
        let max = limit as u64 + 1;
        let read = self.inner.take(max).read_to_end(&mut body);
        // The library reports the end of the connection as the end of the body.
        let whole = match self.length {
            Some(length) => body.len() >= length.min(limit + 1),
            // A chunked body that is cut between two chunks looks complete to the library too, so
            // JSON is checked for its end.
            None if self.kind.starts_with("application/json") => {
                serde_json::from_slice::<IgnoredAny>(&body).is_ok()
            }
            None => true,
        };
        if read.is_err() || !whole {
            return Err(Fault::may_have_run(
                Code::TargetFailed,
                "the target's answer was cut off",
            ));
        }
        if body.len() > limit {
            return Err(Fault::may_have_run(
                Code::TooLarge,
                "the target's answer is too large",
            ));
        }
        Ok(body)
    }
}

impl Read for Reply {
    fn read(&mut self, buf: &mut [u8]) -> std::io::Result<usize> {
        self.inner.read(buf)
    }
}

/// Sends a request and returns when the head of the answer has arrived. Dropping the reply closes
/// the connection, which cancels work in progress at an engine.
///
/// # Errors
///
/// Fails with verdict not-run when the target refused the connection, else with may-have-run.
///
/// # Examples
///
/// ```
/// use std::time::Duration;
/// use cuminloom::{
///     model::Verdict,
///     target::{Method, Outgoing, send},
/// };
/// // Nothing listens on port 1, so the request certainly did not run.
/// let fault = send(&Outgoing {
///     addr: "127.0.0.1:1".parse().unwrap(),
///     method: Method::Post,
///     path: "/holds".into(),
///     headers: vec![],
///     body: (*b"{}").into(),
///     limit: Duration::from_secs(1),
/// })
/// .unwrap_err();
/// assert_eq!(fault.verdict, Verdict::NotRun);
/// ```
pub fn send(out: &Outgoing) -> Result<Reply, Fault> {
    let url = format!("http://{}{}", out.addr, out.path);
    let method = match out.method {
        Method::Get => minreq::Method::Get,
        Method::Head => minreq::Method::Head,
        Method::Post => minreq::Method::Post,
        Method::Put => minreq::Method::Put,
        Method::Patch => minreq::Method::Patch,
        Method::Delete => minreq::Method::Delete,
    };
    // A redirect would send a request that may not be repeated a second time.
    let mut request = minreq::Request::new(method, url)
        .with_follow_redirects(false)
        .with_timeout(out.limit.as_secs() + u64::from(out.limit.subsec_nanos() > 0))
        .with_body(&*out.body);
    for (name, value) in &out.headers {
        request = request.with_header(*name, value.as_str());
    }
    let inner = request.send_lazy().map_err(|err| fault_of(&err))?;
    // `minreq` makes up a 503 without headers when the connection closes before the answer. The
    // target may have run the request, so this must not pass for its own refusal.
    if inner.headers.is_empty() {
        return Err(Fault::may_have_run(
            Code::TargetFailed,
            "the target closed the connection without an answer",
        ));
    }
    let header = |name: &str| {
        let found = inner
            .headers
            .iter()
            .find(|(key, _)| key.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.trim())
    };
    let no_body = out.method == Method::Head;
    let length = header("content-length")
        .filter(|_| !no_body)
        .and_then(|text| text.parse().ok());
    let kind = header("content-type")
        .unwrap_or("application/octet-stream")
        .into();
    Ok(Reply {
        status: inner.status_code,
        kind,
        length,
        inner,
    })
}

fn fault_of(err: &minreq::Error) -> Fault {
    match err {
        minreq::Error::IoError(io) if io.kind() == ErrorKind::ConnectionRefused => {
            Fault::not_run(Code::TargetFailed, "the target refused the connection")
        }
        minreq::Error::IoError(io) if io.kind() == ErrorKind::TimedOut => {
            Fault::may_have_run(Code::Deadline, "the target did not answer in time")
        }
        _ => Fault::may_have_run(Code::TargetFailed, "the connection to the target broke"),
    }
}
