//! Requests to plain services, passed through as they came.

use std::{
    net::SocketAddr,
    sync::Arc,
    time::Duration, //
};

use crate::{
    caller::exchange::{
        Delivered,
        Work,
        ended_by, //
    },
    model::{
        Tokens,
        Verdict, //
    },
    route::AttemptOutcome,
    target::{
        Method,
        Reply, //
        TargetRequest,
    },
    telemetry::TraceContext, //
};

/// Largest answer of a plain service that is passed on, in bytes.
const MAX_ANSWER: usize = 16 << 20;

/// A request to a plain service and, after it ran, its answer.
pub(crate) struct Plain {
    /// Method.
    pub(crate) method: Method,
    /// Path and query at the service.
    pub(crate) path: Arc<str>,
    /// Content type of the body.
    pub(crate) kind: String,
    /// Body.
    pub(crate) body: Arc<[u8]>,
    /// Idempotency key, which is passed on.
    pub(crate) key: Option<String>,
    /// Longest time for the whole exchange.
    pub(crate) limit: Duration,
    /// Charge for the call, in tokens.
    pub(crate) charge: Tokens,
    /// Status, content type and body of the answer.
    pub(crate) answer: Option<(u16, Arc<str>, Vec<u8>)>,
}

impl Work for Plain {
    fn outgoing(
        &self,
        addr: SocketAddr,
        id: &str,
        trace: TraceContext,
        left: Duration,
    ) -> TargetRequest {
        let mut headers = vec![
            ("Content-Type", self.kind.clone()),
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
            head_timeout: left,
            timeout: self.limit,
        }
    }

    fn deliver(&mut self, reply: Reply) -> Delivered {
        let (status, kind) = (reply.status, reply.content_type.clone());
        match reply.read_all(MAX_ANSWER) {
            Ok(body) => {
                self.answer = Some((status, kind, body));
                Delivered {
                    tokens: Some(self.charge),
                    ended: AttemptOutcome::Success,
                    fault: None,
                }
            }
            Err(fault) => Delivered {
                tokens: Some(self.charge),
                ended: ended_by(&fault, Verdict::MayHaveRun),
                fault: Some(fault),
            },
        }
    }
}
