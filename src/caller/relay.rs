//! Passing on the answer of a model engine.

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
        Sending, //
    },
    exchange::{
        Delivered,
        Work,
        ended_by, //
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
        Reply, //
        StreamEvent,
        TargetRequest,
    },
    telemetry::TraceContext,
    wire::target::Usage, //
};

/// Largest whole answer of an engine, in bytes.
const MAX_ANSWER: usize = 32 << 20;

/// A chat request and the caller that waits for its answer.
pub(crate) struct Completion<'a> {
    /// The request as it was read.
    pub(crate) chat: &'a ChatRequest,
    /// What is set in the request to the engine.
    pub(crate) sending: Sending<'a>,
    /// Upper bound of the cost, in tokens.
    pub(crate) bound: Tokens,
    /// Longest time for the generation of an answer.
    pub(crate) generation: Duration,
    /// Longest time for the whole exchange.
    pub(crate) limit: Duration,
    /// The caller; taken when a stream to it was started.
    pub(crate) caller: Option<Request>,
    /// Status, content type and body of a whole answer.
    pub(crate) answer: Option<(u16, Arc<str>, Vec<u8>)>,
    /// Time between two events.
    pub(crate) gaps: &'a Histogram,
}

/// Field of a whole answer that matters to the daemon.
#[derive(Deserialize)]
struct Whole {
    usage: Option<Usage>,
}

impl Work for Completion<'_> {
    fn outgoing(
        &self,
        addr: SocketAddr,
        id: &str,
        trace: TraceContext,
        left: Duration,
    ) -> TargetRequest {
        // The first byte of a whole answer comes after its last token.
        let generation = match self.chat.is_stream() {
            true => Duration::ZERO,
            false => self.generation,
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
            body: self.chat.outgoing(&self.sending),
            head_timeout: left + generation,
            timeout: self.limit,
        }
    }

    fn deliver(&mut self, reply: Reply) -> Delivered {
        match reply.status {
            500.. => crashed(RequestError::may_have_run(
                Code::TargetFailed,
                "the engine failed",
            )),
            200 if reply.is_stream() => self.stream(reply),
            _ => self.whole(reply),
        }
    }
}

impl Completion<'_> {
    fn whole(&mut self, reply: Reply) -> Delivered {
        let (status, kind) = (reply.status, reply.content_type.clone());
        let body = match reply.read_all(MAX_ANSWER) {
            Ok(body) => body,
            Err(fault) => return crashed(fault),
        };
        let usage = serde_json::from_slice::<Whole>(&body)
            .ok()
            .and_then(|whole| whole.usage);
        // An engine that rejects a request has generated nothing.
        let rejected = (status >= 400).then_some(0);
        let tokens = usage.map(|usage| usage.total_tokens).or(rejected);
        self.answer = Some((status, kind, body));
        Delivered {
            tokens,
            ended: AttemptOutcome::Success,
            fault: None,
        }
    }

    fn stream(&mut self, reply: Reply) -> Delivered {
        let mut stream: Option<EventStream> = None;
        let mut tokens = None;
        let mut events: Tokens = 0;
        let mut last = Instant::now();
        for event in EventReader::new(reply) {
            self.gaps.observe(last.elapsed().as_secs_f64());
            last = Instant::now();
            let (data, usage, no_choices) = match event {
                Ok(StreamEvent::Chunk {
                    data,
                    usage,
                    no_choices,
                }) => (data, usage, no_choices),
                Ok(StreamEvent::Done) => return self.complete(stream, tokens),
                Err(fault) => return broken(stream, fault),
            };
            tokens = usage.or(tokens);
            events += 1;
            if tokens.unwrap_or(events) > self.bound {
                let detail = "the answer exceeded its reserve and was cut";
                return broken(stream, RequestError::may_have_run(Code::TooLarge, detail));
            }
            if no_choices && !self.chat.wants_usage() {
                continue;
            }
            let sent = match self.opened(&mut stream) {
                Ok(open) => open.send(&data_event(&data)),
                Err(err) => Err(err),
            };
            if sent.is_err() {
                return left();
            }
        }
        let detail = "the stream ended without its end mark";
        broken(
            stream,
            RequestError::may_have_run(Code::TargetFailed, detail),
        )
    }

    /// The stream to the caller, started at its first event.
    fn opened<'s>(
        &mut self,
        stream: &'s mut Option<EventStream>,
    ) -> std::io::Result<&'s mut EventStream> {
        if stream.is_none() {
            let caller = self.caller.take().expect("a stream is started once");
            *stream = Some(caller.into_stream()?);
        }
        Ok(stream.as_mut().expect("the stream was started"))
    }

    fn complete(&mut self, stream: Option<EventStream>, tokens: Option<Tokens>) -> Delivered {
        let mut stream = stream;
        let opened = self.opened(&mut stream).is_ok();
        if !opened || stream.is_some_and(|open| open.end(&data_event(b"[DONE]")).is_err()) {
            return left();
        }
        Delivered {
            tokens,
            ended: AttemptOutcome::Success,
            fault: None,
        }
    }
}

fn crashed(fault: RequestError) -> Delivered {
    Delivered {
        tokens: None,
        ended: ended_by(&fault, Verdict::MayHaveRun),
        fault: Some(fault),
    }
}

/// The engine's stream broke off. The reported usage may be older than the last token, so the whole
/// reserve is charged.
fn broken(stream: Option<EventStream>, fault: RequestError) -> Delivered {
    let Some(open) = stream else {
        return crashed(fault);
    };
    // A caller that left as well cannot be told.
    let _ = open.end(&error_event(&fault));
    Delivered {
        tokens: None,
        ended: ended_by(&fault, Verdict::Ran),
        fault: Some(fault),
    }
}

/// The caller left; dropping the reply cancels the engine's work.
fn left() -> Delivered {
    let fault = RequestError::may_have_run(Code::CallerLeft, "the caller closed the connection");
    Delivered {
        tokens: None,
        ended: AttemptOutcome::Cancelled,
        fault: Some(fault),
    }
}
