//! One request to a target over HTTP.

use std::{
    io::{
        ErrorKind,
        Read, //
    },
    net::SocketAddr,
    sync::Arc,
    time::Duration, //
};

use serde::de::IgnoredAny;

use super::connection::{
    self,
    Body,
    Head, //
};
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

impl Method {
    /// Name in the request line.
    pub(super) fn as_str(self) -> &'static str {
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
    /// Longest wait for the head of the answer.
    pub first: Duration,
    /// Longest time for the whole exchange.
    pub limit: Duration,
}

/// The head of a target's answer; the body is read from it.
#[derive(Debug)]
pub struct Reply {
    /// HTTP status.
    pub status: u16,
    /// Content type.
    pub kind: Arc<str>,
    body: Body,
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
        let mut input = self.body;
        let mut body = Vec::new();
        let read = input.by_ref().take(limit as u64 + 1).read_to_end(&mut body);
        if let Err(err) = read {
            return Err(cut_off(&err));
        }
        // Nothing marks the end of a body that ends with its connection, so it may have been cut
        // anywhere. Only JSON shows its end itself.
        let marked = !input.ends_with_connection();
        if !marked && serde_json::from_slice::<IgnoredAny>(&body).is_err() {
            let detail = "the target's answer does not say where it ends";
            return Err(Fault::may_have_run(Code::TargetFailed, detail));
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
///     target::{Method, Outgoing, send},
/// };
/// // Nothing listens on port 1, so the request certainly did not run.
/// let fault = send(&Outgoing {
///     addr: "127.0.0.1:1".parse().unwrap(),
///     method: Method::Post,
///     path: "/holds".into(),
///     headers: vec![],
///     body: (*b"{}").into(),
///     first: Duration::from_secs(1),
///     limit: Duration::from_secs(1),
/// })
/// .unwrap_err();
/// assert_eq!(fault.verdict, Verdict::NotRun);
/// ```
pub fn send(out: &Outgoing) -> Result<Reply, Fault> {
    let Head { status, kind, body } = connection::exchange(out)?;
    Ok(Reply { status, kind, body })
}

/// The failure of an answer whose body could not be read to its end.
pub(super) fn cut_off(err: &std::io::Error) -> Fault {
    match err.kind() {
        ErrorKind::TimedOut => {
            Fault::may_have_run(Code::Deadline, "the target's answer took too long")
        }
        _ => Fault::may_have_run(Code::TargetFailed, "the target's answer was cut off"),
    }
}
