//! Server-sent events of an engine's stream.

use std::io::{
    BufRead,
    BufReader,
    Read, //
};

use serde::{
    Deserialize,
    de::IgnoredAny, //
};

use super::send::cut_off;
use crate::{
    model::{
        Code,
        RequestError,
        Tokens, //
    },
    wire::target::Usage, //
};

/// Largest event accepted from an engine, in bytes.
const MAX_EVENT: u64 = 1 << 20;

/// Mark at the end of a complete stream.
const DONE: &[u8] = b"[DONE]";

/// One event of a stream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StreamEvent {
    /// A chunk of the answer: the data as it came, and the usage when the chunk reports it.
    Chunk {
        /// Data of the event without the field name and line end.
        data: Vec<u8>,
        /// Tokens of prompt and answer so far or in total.
        usage: Option<Tokens>,
        /// Whether the chunk holds no part of the answer, as the one that only reports the usage.
        no_choices: bool,
    },
    /// The stream is complete.
    Done,
}

/// Fields of a chunk that matter to the daemon.
#[derive(Deserialize)]
struct Chunk {
    usage: Option<Usage>,
    choices: Option<Vec<IgnoredAny>>,
}

/// Iterator over the events of a stream. It ends after [`StreamEvent::Done`] or the first failure.
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
    /// // A stream without its end mark is a broken one.
    /// assert!(EventReader::new("data: {}\n\n".as_bytes()).nth(1).unwrap().is_err());
    /// ```
    pub fn new(input: R) -> Self {
        Self {
            input: BufReader::new(input),
            ended: false,
        }
    }

    fn read(&mut self) -> Result<StreamEvent, RequestError> {
        loop {
            let mut line = Vec::new();
            let limited = (&mut self.input)
                .take(MAX_EVENT)
                .read_until(b'\n', &mut line);
            if let Err(err) = limited {
                return Err(cut_off(&err));
            }
            if line.last() != Some(&b'\n') {
                return Err(RequestError::may_have_run(
                    Code::TargetFailed,
                    "the stream was cut off",
                ));
            }
            // Only data lines matter; comments and field names that are not used are skipped.
            let Some(data) = line.strip_prefix(b"data:") else {
                continue;
            };
            return Ok(parse(data.trim_ascii()));
        }
    }
}

fn parse(data: &[u8]) -> StreamEvent {
    if data == DONE {
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
        let event = self.read();
        self.ended = matches!(event, Ok(StreamEvent::Done) | Err(_));
        Some(event)
    }
}
