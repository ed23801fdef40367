//! Answers to callers.

use std::io;

use crate::{
    inbound::{
        Reply,
        Request, //
    },
    model::{
        RequestError,
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
///     model::{Code, RequestError},
/// };
/// let body = error_body(&RequestError::not_run(Code::Overloaded, "the queue is full"));
/// assert!(body.contains("\"verdict\":\"not-run\""));
/// ```
pub fn error_body(fault: &RequestError) -> String {
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

/// The answer that reports `fault` with `status`.
pub(crate) fn fault_reply(status: u16, fault: &RequestError) -> Reply {
    let mut reply = Reply {
        status,
        fields: vec![
            ("Content-Type", "application/json".into()),
            (VERDICT_HEADER, fault.verdict.as_str().into()),
        ],
        body: error_body(fault).into_bytes(),
    };
    if status == 503 {
        reply.fields.push(("Retry-After", RETRY_AFTER_S.into()));
    }
    reply
}

/// Sends an error.
pub(crate) fn refuse(request: Request, fault: &RequestError) -> io::Result<()> {
    request.respond(&fault_reply(fault.code.status(), fault))
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
    request.respond(&Reply {
        status,
        fields: vec![
            ("Content-Type", kind.into()),
            (VERDICT_HEADER, verdict.as_str().into()),
        ],
        body: body.to_vec(),
    })
}

/// An event with `data`.
pub(crate) fn event(data: &[u8]) -> Vec<u8> {
    let mut event = Vec::with_capacity(data.len() + 8);
    event.extend_from_slice(b"data: ");
    event.extend_from_slice(data);
    event.extend_from_slice(b"\n\n");
    event
}

/// The event that ends a stream that broke off; it tells the verdict and is no mark of completion.
pub(crate) fn error_event(fault: &RequestError) -> Vec<u8> {
    format!("event: error\ndata: {}\n\n", error_body(fault)).into_bytes()
}
