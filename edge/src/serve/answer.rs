//! Answers that the daemon writes itself.

use std::time::Duration;

use crate::{
    decide::Verdict,
    http::{
        Fields,
        reason_phrase, //
    },
};

/// A failure that the daemon answers with itself.
#[derive(Clone, Debug)]
pub(super) struct Refusal {
    /// Status code.
    pub status: u16,
    /// Machine-readable cause.
    pub code: &'static str,
    /// Whether the request may have run.
    pub verdict: Verdict,
    /// Time after which the caller is asked to come back.
    pub retry: Option<Duration>,
}

impl Refusal {
    /// A request that the daemon does not accept.
    pub(super) fn rejected(status: u16, code: &'static str) -> Refusal {
        Refusal {
            status,
            code,
            verdict: Verdict::NotRun,
            retry: None,
        }
    }

    /// A request that has not run and may come back after `retry`.
    pub(super) fn not_run(code: &'static str, retry: Duration) -> Refusal {
        Refusal {
            status: 503,
            code,
            verdict: Verdict::NotRun,
            retry: Some(retry),
        }
    }

    /// A request that may have run.
    pub(super) fn may_have_run(status: u16, code: &'static str) -> Refusal {
        Refusal {
            status,
            code,
            verdict: Verdict::MayHaveRun,
            retry: None,
        }
    }

    /// The answer as bytes.
    pub(super) fn bytes(&self, id: Option<&str>, keep: bool) -> Vec<u8> {
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
        if let Some(retry) = self.retry {
            out.extend_from_slice(
                format!("Retry-After: {:.3}\r\n", retry.as_secs_f64()).as_bytes(),
            );
        }
        if let Some(id) = id {
            out.extend_from_slice(format!("X-Request-Id: {id}\r\n").as_bytes());
        }
        finish_head(&mut out, body.len(), keep);
        out.extend_from_slice(body.as_bytes());
        out
    }
}

fn finish_head(out: &mut Vec<u8>, length: usize, keep: bool) {
    if !keep {
        out.extend_from_slice(b"Connection: close\r\n");
    }
    out.extend_from_slice(
        format!("Content-Type: application/json\r\nContent-Length: {length}\r\n\r\n").as_bytes(),
    );
}

/// Head of a runner's answer towards the caller, without the blank line.
pub(super) fn head_bytes(status: u16, fields: &Fields, keep: bool) -> Vec<u8> {
    let mut out = Vec::with_capacity(512);
    out.extend_from_slice(format!("HTTP/1.1 {status} {}\r\n", reason_phrase(status)).as_bytes());
    for (name, value) in fields.forwarded() {
        out.extend_from_slice(name);
        out.extend_from_slice(b": ");
        out.extend_from_slice(value);
        out.extend_from_slice(b"\r\n");
    }
    if !keep {
        out.extend_from_slice(b"Connection: close\r\n");
    }
    out
}
