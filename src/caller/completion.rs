//! Sends chat requests to model engines and relays their answers.

use std::{
    net::SocketAddr,
    sync::Arc,
    time::{
        Duration,
        Instant, //
    },
};

use prometheus::Histogram;
use serde::Deserialize;

use super::{
    chat::{
        ChatRequest,
        EngineFields, //
    },
    exchange::{
        AttemptResult,
        TargetCall,
        failure_outcome, //
    },
    reply::{
        error_event,
        event as data_event, //
    },
};
use crate::{
    inbound::{
        EventStream,
        Request, //
    },
    model::{
        Code,
        RequestError,
        Tokens,
        Verdict, //
    },
    route::AttemptOutcome,
    target::{
        EventReader,
        Method,
        Reply,
        StreamEvent,
        TargetRequest, //
    },
    telemetry::TraceContext,
    wire::target::Usage, //
};

/// Largest response of an engine that is accepted if the response is not streamed.
const MAX_ANSWER_BYTES: usize = 32 << 20;

/// A chat request in progress and its caller.
pub(crate) struct Completion<'a> {
    /// The parsed request.
    pub(crate) chat: &'a ChatRequest,
    /// Fields that the daemon sets in the request to the engine.
    pub(crate) engine_fields: EngineFields<'a>,
    /// Upper bound of the cost, in tokens.
    pub(crate) cost_bound: Tokens,
    /// Longest time for the generation of the whole answer.
    pub(crate) generation_time: Duration,
    /// Longest time for the whole exchange.
    pub(crate) timeout: Duration,
    /// Request of the caller; `None` once a stream to the caller was started.
    pub(crate) caller: Option<Request>,
    /// Status, content type and body of an answer that is not a stream.
    pub(crate) answer: Option<(u16, Arc<str>, Vec<u8>)>,
    /// Histogram of the time between two events of a stream, in seconds.
    pub(crate) event_gap: &'a Histogram,
}

/// Part of an engine's JSON answer that the daemon reads.
#[derive(Deserialize)]
struct AnswerUsage {
    usage: Option<Usage>,
}

impl TargetCall for Completion<'_> {
    fn build_request(
        &self,
        addr: SocketAddr,
        id: &str,
        trace: TraceContext,
        time_left: Duration,
    ) -> TargetRequest {
        // An answer that is not a stream starts after its last token was generated.
        let generation_time = match self.chat.is_stream() {
            true => Duration::ZERO,
            false => self.generation_time,
        };
        TargetRequest {
            addr,
            method: Method::Post,
            path: "/v1/chat/completions".into(),
            headers: vec![
                ("Content-Type", "application/json".into()),
                ("x-request-id", id.into()),
                ("traceparent", trace.to_string()),
            ],
            body: self.chat.engine_body(&self.engine_fields),
            head_timeout: time_left + generation_time,
            timeout: self.timeout,
        }
    }

    fn handle_reply(&mut self, reply: Reply) -> AttemptResult {
        match reply.status {
            500.. => exchange_failed(RequestError::may_have_run(
                Code::TargetFailed,
                "the engine failed",
            )),
            200 if reply.is_stream() => self.relay_stream(reply),
            _ => self.relay_answer(reply),
        }
    }
}

impl Completion<'_> {
    /// Reads an answer that is not a stream.
    fn relay_answer(&mut self, reply: Reply) -> AttemptResult {
        let (status, content_type) = (reply.status, reply.content_type.clone());
        let body = match reply.read_all(MAX_ANSWER_BYTES) {
            Ok(body) => body,
            Err(error) => return exchange_failed(error),
        };
        let usage = serde_json::from_slice::<AnswerUsage>(&body)
            .ok()
            .and_then(|answer| answer.usage);
        // An engine that rejects a request has generated no tokens.
        let rejected = (status >= 400).then_some(0);
        let tokens = usage.map(|usage| usage.total_tokens).or(rejected);
        self.answer = Some((status, content_type, body));
        AttemptResult {
            tokens,
            outcome: AttemptOutcome::Success,
            error: None,
        }
    }

    /// Relays a stream event by event; ends it when it exceeds the reserved tokens.
    fn relay_stream(&mut self, reply: Reply) -> AttemptResult {
        let mut stream: Option<EventStream> = None;
        let mut tokens = None;
        let mut events: Tokens = 0;
        let mut last = Instant::now();
        for event in EventReader::new(reply) {
            self.event_gap.observe(last.elapsed().as_secs_f64());
            last = Instant::now();
            let (data, usage, no_choices) = match event {
                Ok(StreamEvent::Chunk {
                    data,
                    usage,
                    no_choices,
                }) => (data, usage, no_choices),
                Ok(StreamEvent::Done) => return self.finish_stream(stream, tokens),
                Err(error) => return stream_failed(stream, error),
            };
            tokens = usage.or(tokens);
            events += 1;
            if tokens.unwrap_or(events) > self.cost_bound {
                let detail = "the answer exceeded the reserved tokens and was cut off";
                return stream_failed(stream, RequestError::may_have_run(Code::TooLarge, detail));
            }
            if no_choices && !self.chat.wants_usage() {
                continue;
            }
            let sent = match self.open_stream(&mut stream) {
                Ok(open) => open.send(&data_event(&data)),
                Err(err) => Err(err),
            };
            if sent.is_err() {
                return caller_left();
            }
        }
        let detail = "the stream ended without [DONE]";
        stream_failed(
            stream,
            RequestError::may_have_run(Code::TargetFailed, detail),
        )
    }

    /// Returns the stream to the caller, starting it at the first event.
    fn open_stream<'s>(
        &mut self,
        stream: &'s mut Option<EventStream>,
    ) -> std::io::Result<&'s mut EventStream> {
        if stream.is_none() {
            let caller = self.caller.take().expect("a stream is started once");
            *stream = Some(caller.into_stream()?);
        }
        Ok(stream.as_mut().expect("the stream was started"))
    }

    /// Ends the stream to the caller after the engine's last event.
    fn finish_stream(
        &mut self,
        stream: Option<EventStream>,
        tokens: Option<Tokens>,
    ) -> AttemptResult {
        let mut stream = stream;
        let opened = self.open_stream(&mut stream).is_ok();
        if !opened || stream.is_some_and(|open| open.end(&data_event(b"[DONE]")).is_err()) {
            return caller_left();
        }
        AttemptResult {
            tokens,
            outcome: AttemptOutcome::Success,
            error: None,
        }
    }
}

/// Result of an exchange that failed before anything was sent to the caller.
fn exchange_failed(error: RequestError) -> AttemptResult {
    AttemptResult {
        tokens: None,
        outcome: failure_outcome(&error, Verdict::MayHaveRun),
        error: Some(error),
    }
}

/// Result of a stream that broke off. The last usage that was reported may not count all tokens, so
/// the whole reservation is charged.
fn stream_failed(stream: Option<EventStream>, error: RequestError) -> AttemptResult {
    let Some(open) = stream else {
        return exchange_failed(error);
    };
    // The caller may have disconnected as well.
    let _ = open.end(&error_event(&error));
    AttemptResult {
        tokens: None,
        outcome: failure_outcome(&error, Verdict::Ran),
        error: Some(error),
    }
}

/// Result of a stream whose caller disconnected; dropping the reply cancels the engine's work.
fn caller_left() -> AttemptResult {
    let error = RequestError::may_have_run(Code::CallerLeft, "the caller closed the connection");
    AttemptResult {
        tokens: None,
        outcome: AttemptOutcome::Cancelled,
        error: Some(error),
    }
}
