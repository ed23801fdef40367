//! Responses to callers.

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

/// Value of `Retry-After` in responses with status 503.
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
pub fn error_body(error: &RequestError) -> String {
    let error_type = match error.code.status() {
        401 | 403 => "authentication_error",
        402 => "insufficient_quota",
        400..=499 => "invalid_request_error",
        _ => "server_error",
    };
    let body = ErrorBody {
        error: ErrorDetail {
            message: error.detail.to_string(),
            type_: error_type.into(),
            code: error.code.as_str().into(),
            verdict: error.verdict.as_str().into(),
        },
    };
    serde_json::to_string(&body).expect("wire types have string keys")
}

/// Response that reports `error` with `status`.
pub(crate) fn error_reply(status: u16, error: &RequestError) -> Reply {
    let mut reply = Reply {
        status,
        fields: vec![
            ("Content-Type", "application/json".into()),
            (VERDICT_HEADER, error.verdict.as_str().into()),
        ],
        body: error_body(error).into_bytes(),
    };
    if status == 503 {
        reply.fields.push(("Retry-After", RETRY_AFTER_S.into()));
    }
    reply
}

/// Sends an error response.
pub(crate) fn refuse(request: Request, error: &RequestError) -> io::Result<()> {
    request.respond(&error_reply(error.code.status(), error))
}

/// Sends a response with verdict ran.
pub(crate) fn answer(
    request: Request,
    status: u16,
    content_type: &str,
    body: &[u8],
) -> io::Result<()> {
    answer_with_verdict(request, status, Verdict::Ran, content_type, body)
}

/// Sends a response with a verdict.
pub(crate) fn answer_with_verdict(
    request: Request,
    status: u16,
    verdict: Verdict,
    content_type: &str,
    body: &[u8],
) -> io::Result<()> {
    request.respond(&Reply {
        status,
        fields: vec![
            ("Content-Type", content_type.into()),
            (VERDICT_HEADER, verdict.as_str().into()),
        ],
        body: body.to_vec(),
    })
}

/// Encodes a server-sent event with `data`.
pub(crate) fn event(data: &[u8]) -> Vec<u8> {
    let mut event = Vec::with_capacity(data.len() + 8);
    event.extend_from_slice(b"data: ");
    event.extend_from_slice(data);
    event.extend_from_slice(b"\n\n");
    event
}

/// Encodes the event that ends a broken stream: the error with its verdict, in place of `[DONE]`.
pub(crate) fn error_event(error: &RequestError) -> Vec<u8> {
    format!("event: error\ndata: {}\n\n", error_body(error)).into_bytes()
}
