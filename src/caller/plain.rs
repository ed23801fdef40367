//! Requests to plain HTTP services, passed through unchanged.

use std::{
    net::SocketAddr,
    sync::Arc,
    time::Duration, //
};

use crate::{
    caller::exchange::{
        AttemptResult,
        TargetCall,
        failure_outcome, //
    },
    model::{
        Tokens,
        Verdict, //
    },
    route::AttemptOutcome,
    target::{
        Method,
        Reply,
        TargetRequest, //
    },
    telemetry::TraceContext, //
};

/// Largest response of a plain service that is accepted.
const MAX_ANSWER_BYTES: usize = 16 << 20;

/// A request to a plain service and, after it ran, its response.
pub(crate) struct PlainRequest {
    /// Method.
    pub(crate) method: Method,
    /// Path and query at the service, with the leading slash.
    pub(crate) path: Arc<str>,
    /// Content type of the body.
    pub(crate) content_type: String,
    /// Body.
    pub(crate) body: Arc<[u8]>,
    /// Idempotency key, sent to the service as well.
    pub(crate) key: Option<String>,
    /// Longest time for the whole exchange.
    pub(crate) timeout: Duration,
    /// Charge for one request, in tokens.
    pub(crate) charge: Tokens,
    /// Status, content type and body of the response, once it arrived.
    pub(crate) answer: Option<(u16, Arc<str>, Vec<u8>)>,
}

impl TargetCall for PlainRequest {
    fn build_request(
        &self,
        addr: SocketAddr,
        id: &str,
        trace: TraceContext,
        time_left: Duration,
    ) -> TargetRequest {
        let mut headers = vec![
            ("Content-Type", self.content_type.clone()),
            ("x-request-id", id.to_owned()),
            ("traceparent", trace.to_string()),
        ];
        if let Some(key) = &self.key {
            headers.push(("idempotency-key", key.clone()));
        }
        TargetRequest {
            addr,
            method: self.method,
            path: self.path.clone(),
            headers,
            body: self.body.clone(),
            head_timeout: time_left,
            timeout: self.timeout,
        }
    }

    fn handle_reply(&mut self, reply: Reply) -> AttemptResult {
        let (status, content_type) = (reply.status, reply.content_type.clone());
        match reply.read_all(MAX_ANSWER_BYTES) {
            Ok(body) => {
                self.answer = Some((status, content_type, body));
                AttemptResult {
                    tokens: Some(self.charge),
                    outcome: AttemptOutcome::Success,
                    error: None,
                }
            }
            Err(error) => AttemptResult {
                tokens: Some(self.charge),
                outcome: failure_outcome(&error, Verdict::MayHaveRun),
                error: Some(error),
            },
        }
    }
}
