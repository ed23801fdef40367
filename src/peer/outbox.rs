//! Bounded queue of the messages that are waiting to be sent over a link.

use std::{
    collections::VecDeque,
    sync::{
        Mutex,
        MutexGuard,
        PoisonError, //
    },
};

use tokio::sync::Notify;
use tokio_tungstenite::tungstenite::Bytes;

/// Longest queue of a link, in messages.
const MAX_MESSAGES: usize = 1024;
/// Largest queue of a link, in bytes; the queues of 20 stalled links stay within 32 MB.
const MAX_BYTES: usize = 1 << 20;

/// An encoded message.
#[derive(Clone, Debug)]
pub(crate) struct Frame {
    pub(crate) bytes: Bytes,
    /// Whether a full queue may drop it.
    pub(crate) is_droppable: bool,
}

#[derive(Debug, Default)]
struct Queue {
    frames: VecDeque<Frame>,
    /// Sum of the sizes of `frames`.
    bytes: usize,
    is_closed: bool,
}

impl Queue {
    /// Whether a message of `size` bytes fits; one always fits into an empty queue.
    fn has_room(&self, size: usize) -> bool {
        self.frames.is_empty()
            || (self.frames.len() < MAX_MESSAGES && self.bytes + size <= MAX_BYTES)
    }
}

/// Queue of the messages to be sent over one link.
#[derive(Debug, Default)]
pub(crate) struct Outbox {
    queue: Mutex<Queue>,
    changed: Notify,
}

impl Outbox {
    fn lock(&self) -> MutexGuard<'_, Queue> {
        self.queue.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Queues a message. A full queue drops its oldest droppable messages or, when it has none, the
    /// new message. Returns the number of dropped messages and whether the new one was queued.
    pub(crate) fn push(&self, frame: Frame) -> (u64, bool) {
        let mut queue = self.lock();
        let size = frame.bytes.len();
        let mut dropped = 0;
        while !queue.has_room(size) {
            let Some(oldest) = queue.frames.iter().position(|old| old.is_droppable) else {
                return (dropped + 1, false);
            };
            let old = queue
                .frames
                .remove(oldest)
                .expect("position() returned this index");
            queue.bytes -= old.bytes.len();
            dropped += 1;
        }
        queue.bytes += size;
        queue.frames.push_back(frame);
        drop(queue);
        self.changed.notify_one();
        (dropped, true)
    }

    /// Removes and returns all messages.
    pub(crate) fn drain(&self) -> VecDeque<Frame> {
        let mut queue = self.lock();
        queue.bytes = 0;
        std::mem::take(&mut queue.frames)
    }

    /// Waits for messages and returns them all; an empty result means that the queue is closed and
    /// empty.
    pub(crate) async fn next(&self) -> VecDeque<Frame> {
        loop {
            let frames = self.drain();
            if !frames.is_empty() || self.lock().is_closed {
                return frames;
            }
            self.changed.notified().await;
        }
    }

    /// Closes the queue: the link ends after the messages in the queue are sent.
    pub(crate) fn close(&self) {
        self.lock().is_closed = true;
        self.changed.notify_one();
    }
}
