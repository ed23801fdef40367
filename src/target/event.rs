//! Reads the server-sent events of an engine's stream.

use std::io::{
    BufRead,
    BufReader,
    Read, //
};

use serde::{
    Deserialize,
    de::IgnoredAny, //
};

use super::send::body_error;
use crate::{
    model::{
        Code,
        RequestError,
        Tokens, //
    },
    wire::target::Usage, //
};

/// Longest line of an event that is accepted from an engine.
const MAX_LINE_BYTES: u64 = 1 << 20;

/// Most bytes of comments and other fields before the next event with data.
const MAX_SKIPPED_BYTES: usize = 1 << 20;

/// Data of the event that ends a complete stream.
const DONE_DATA: &[u8] = b"[DONE]";

/// One event of a stream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StreamEvent {
    /// A chunk of the answer.
    Chunk {
        /// Data of the event, without the field name and the line end.
        data: Vec<u8>,
        /// Tokens of prompt and answer, if the chunk reports them; so far or in total.
        usage: Option<Tokens>,
        /// Whether the list of choices is empty, as in the chunk that only reports the usage.
        no_choices: bool,
    },
    /// The stream is complete.
    Done,
}

/// Fields of a chunk that the daemon reads.
#[derive(Deserialize)]
struct Chunk {
    usage: Option<Usage>,
    choices: Option<Vec<IgnoredAny>>,
}

/// Iterator over the events of a stream; ends after [`StreamEvent::Done`] or the first error.
#[derive(Debug)]
pub struct EventReader<R> {
    input: BufReader<R>,
    ended: bool,
}

impl<R: Read> EventReader<R> {
    /// Reads events from `input`.
    ///
    /// # Examples
    ///
    /// ```
    /// use cuminloom::target::{StreamEvent, EventReader};
    /// let text = "data: {\"usage\":null}\n\ndata: [DONE]\n\n";
    /// let events: Vec<_> = EventReader::new(text.as_bytes()).collect::<Result<_, _>>().unwrap();
    /// assert_eq!(events.len(), 2);
    /// assert_eq!(events[1], StreamEvent::Done);
    /// // A stream that ends without `[DONE]` was cut off.
    /// assert!(EventReader::new("data: {}\n\n".as_bytes()).nth(1).unwrap().is_err());
    /// ```
    pub fn new(input: R) -> Self {
        Self {
            input: BufReader::new(input),
            ended: false,
        }
    }

    /// Reads up to the next event with data.
    fn read_event(&mut self) -> Result<StreamEvent, RequestError> {
        let mut skipped = 0;
        loop {
            let mut line = Vec::new();
            let read = (&mut self.input)
                .take(MAX_LINE_BYTES)
                .read_until(b'\n', &mut line);
            if let Err(err) = read {
                return Err(body_error(&err));
            }
            if line.last() != Some(&b'\n') {
                return Err(RequestError::may_have_run(
                    Code::TargetFailed,
                    "the stream was cut off",
                ));
            }
            // Comments and fields other than data are skipped.
            let Some(data) = line.strip_prefix(b"data:") else {
                skipped += line.len();
                if skipped > MAX_SKIPPED_BYTES {
                    return Err(RequestError::may_have_run(
                        Code::TargetFailed,
                        "the stream has no event",
                    ));
                }
                continue;
            };
            return Ok(parse_data(data.trim_ascii()));
        }
    }
}

/// Parses the data of an event.
fn parse_data(data: &[u8]) -> StreamEvent {
    if data == DONE_DATA {
        return StreamEvent::Done;
    }
    let chunk: Option<Chunk> = serde_json::from_slice(data).ok();
    let choices = chunk.as_ref().and_then(|chunk| chunk.choices.as_ref());
    let no_choices = choices.is_some_and(Vec::is_empty);
    let usage = chunk
        .and_then(|chunk| chunk.usage)
        .map(|usage| usage.total_tokens);
    StreamEvent::Chunk {
        data: data.to_vec(),
        usage,
        no_choices,
    }
}

impl<R: Read> Iterator for EventReader<R> {
    type Item = Result<StreamEvent, RequestError>;

    fn next(&mut self) -> Option<Self::Item> {
        if self.ended {
            return None;
        }
        let event = self.read_event();
        self.ended = matches!(event, Ok(StreamEvent::Done) | Err(_));
        Some(event)
    }
}
