//! Answers to callers.

use std::io::{
    self,
    Write, //
};

use chunked_transfer::Encoder;
use tiny_http::{
    Header,
    Request,
    Response, //
};

use crate::{
    model::{
        Fault,
        Verdict, //
    },
    wire::target::{
        ErrorBody,
        ErrorDetail, //
    },
};

/// Header that says whether a refused or failed request may have run.
pub const VERDICT_HEADER: &str = "x-cuminloom-verdict";

/// Seconds after which a caller may try again when the daemon is overloaded.
const RETRY_AFTER_S: &str = "1";

/// Returns the JSON body of an error.
///
/// # Examples
///
/// ```
/// use cuminloom::{
///     caller::error_body,
///     model::{Code, Fault},
/// };
/// let body = error_body(&Fault::not_run(Code::Overloaded, "the queue is full"));
/// assert!(body.contains("\"verdict\":\"not-run\""));
/// ```
pub fn error_body(fault: &Fault) -> String {
    let kind = match fault.code.status() {
        401 | 403 => "authentication_error",
        402 => "insufficient_quota",
        400..=499 => "invalid_request_error",
        _ => "server_error",
    };
    let body = ErrorBody {
        error: ErrorDetail {
            message: fault.detail.to_string(),
            type_: kind.into(),
            code: fault.code.as_str().into(),
            verdict: fault.verdict.as_str().into(),
        },
    };
    serde_json::to_string(&body).expect("wire types have string keys")
}

/// Builds a header; both parts are ASCII.
pub(crate) fn header(name: &str, value: &str) -> Header {
    Header::from_bytes(name, value).expect("header names and values are ASCII")
}

/// Sends an error.
pub(crate) fn refuse(request: Request, fault: &Fault) -> io::Result<()> {
    let mut response = Response::from_string(error_body(fault))
        .with_status_code(fault.code.status())
        .with_header(header("Content-Type", "application/json"))
        .with_header(header(VERDICT_HEADER, fault.verdict.as_str()));
    if fault.code.status() == 503 {
        response.add_header(header("Retry-After", RETRY_AFTER_S));
    }
    request.respond(response)
}

/// Sends a whole answer of a target.
pub(crate) fn answer(request: Request, status: u16, kind: &str, body: &[u8]) -> io::Result<()> {
    answer_as(request, status, Verdict::Ran, kind, body)
}

/// Sends an answer with its verdict.
pub(crate) fn answer_as(
    request: Request,
    status: u16,
    verdict: Verdict,
    kind: &str,
    body: &[u8],
) -> io::Result<()> {
    let response = Response::from_data(body)
        .with_status_code(status)
        .with_header(header("Content-Type", kind))
        .with_header(header(VERDICT_HEADER, verdict.as_str()));
    request.respond(response)
}

/// Flushes after each write, because the library buffers 1,024 bytes and an event has to leave at
/// once.
struct Flushed<W>(W);

impl<W: Write> Write for Flushed<W> {
    fn write(&mut self, buf: &[u8]) -> io::Result<usize> {
        let written = self.0.write(buf)?;
        self.0.flush()?;
        Ok(written)
    }

    fn flush(&mut self) -> io::Result<()> {
        self.0.flush()
    }
}

/// A stream of server-sent events to a caller.
pub(crate) struct EventStream<W: Write> {
    out: Encoder<Flushed<W>>,
}

impl<W: Write> EventStream<W> {
    /// Sends the head of the answer.
    pub(crate) fn open(mut writer: W) -> io::Result<Self> {
        writer.write_all(
            b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nCache-Control: no-cache\r\n\
              Transfer-Encoding: chunked\r\n\r\n",
        )?;
        writer.flush()?;
        Ok(Self {
            out: Encoder::with_flush_after_write(Flushed(writer)),
        })
    }

    /// Sends one event at once.
    pub(crate) fn send(&mut self, data: &[u8]) -> io::Result<()> {
        let mut event = Vec::with_capacity(data.len() + 8);
        event.extend_from_slice(b"data: ");
        event.extend_from_slice(data);
        event.extend_from_slice(b"\n\n");
        self.out.write_all(&event)
    }

    /// Ends a complete stream.
    pub(crate) fn done(mut self) -> io::Result<()> {
        self.send(b"[DONE]")
    }

    /// Ends a stream that broke off: an error event with the verdict, and no mark of completion.
    pub(crate) fn broken(mut self, fault: &Fault) -> io::Result<()> {
        let event = format!("event: error\ndata: {}\n\n", error_body(fault));
        self.out.write_all(event.as_bytes())
    }
}
