//! Responses that the daemon generates itself, and the head of a forwarded response.

use std::time::Duration;

use crate::{
    decide::Verdict,
    http::{
        Fields,
        reason_phrase, //
    },
};

/// Code of requests that a stopping daemon refuses or ends.
pub(super) const STOP_CODE: &str = "stopping";

/// `Retry-After` for callers of a stopping daemon; short because another daemon can serve the retry.
pub(super) const STOP_RETRY_AFTER: Duration = Duration::from_millis(50);

/// `Retry-After` while too many clients hold connections or bytes: those that stall are dropped by then.
pub(super) const CROWD_RETRY_AFTER: Duration = Duration::from_millis(300);

/// An error response that the daemon generates itself.
#[derive(Clone, Debug)]
pub(super) struct Refusal {
    /// HTTP status code.
    pub status: u16,
    /// Machine-readable error code.
    pub code: &'static str,
    /// Whether the request may have run.
    pub verdict: Verdict,
    /// Value of the `Retry-After` field.
    pub retry_after: Option<Duration>,
}

impl Refusal {
    /// Response to an invalid request, which the caller should not retry unchanged.
    pub(super) fn rejected(status: u16, code: &'static str) -> Refusal {
        Refusal {
            status,
            code,
            verdict: Verdict::NotRun,
            retry_after: None,
        }
    }

    /// Response to a request that has not run and may be retried after `retry_after`.
    pub(super) fn not_run(code: &'static str, retry_after: Duration) -> Refusal {
        Refusal {
            status: 503,
            code,
            verdict: Verdict::NotRun,
            retry_after: Some(retry_after),
        }
    }

    /// Response to a request that may have run on a runner.
    pub(super) fn may_have_run(status: u16, code: &'static str) -> Refusal {
        Refusal {
            status,
            code,
            verdict: Verdict::MayHaveRun,
            retry_after: None,
        }
    }

    /// Encodes the response; `id` is the id of the request, if known.
    pub(super) fn to_bytes(&self, id: Option<&str>, keep_alive: bool) -> Vec<u8> {
        let body = format!(
            "{{\"code\":\"{}\",\"verdict\":\"{}\"}}",
            self.code,
            self.verdict.as_str()
        );
        let mut out = format!(
            "HTTP/1.1 {} {}\r\n",
            self.status,
            reason_phrase(self.status)
        )
        .into_bytes();
        if let Some(retry_after) = self.retry_after {
            out.extend_from_slice(
                format!("Retry-After: {:.3}\r\n", retry_after.as_secs_f64()).as_bytes(),
            );
        }
        if let Some(id) = id {
            out.extend_from_slice(format!("X-Request-Id: {id}\r\n").as_bytes());
        }
        push_head_end(&mut out, body.len(), keep_alive);
        out.extend_from_slice(body.as_bytes());
        out
    }
}

/// Appends the fields about body and connection and the blank line.
fn push_head_end(out: &mut Vec<u8>, body_length: usize, keep_alive: bool) {
    if !keep_alive {
        out.extend_from_slice(b"Connection: close\r\n");
    }
    out.extend_from_slice(
        format!("Content-Type: application/json\r\nContent-Length: {body_length}\r\n\r\n")
            .as_bytes(),
    );
}

/// Encodes the head of a runner's response for the caller, without framing fields and blank line.
pub(super) fn encode_head(status: u16, fields: &Fields, keep_alive: bool) -> Vec<u8> {
    let mut out = Vec::with_capacity(512);
    out.extend_from_slice(format!("HTTP/1.1 {status} {}\r\n", reason_phrase(status)).as_bytes());
    for (name, value) in fields.forwarded() {
        out.extend_from_slice(name);
        out.extend_from_slice(b": ");
        out.extend_from_slice(value);
        out.extend_from_slice(b"\r\n");
    }
    if !keep_alive {
        out.extend_from_slice(b"Connection: close\r\n");
    }
    out
}
