//! Whether the platform responds, judged by the answers to operations.

use std::{
    collections::BTreeMap,
    time::Duration, //
};

/// Age at which an unanswered operation counts as failed; the deadline of one exchange is 3 s.
const REPLY_TIMEOUT: Duration = Duration::from_secs(3);
/// Time of failures without a success after which the platform counts as unavailable.
const UNAVAILABLE_AFTER: Duration = Duration::from_secs(2);

/// Derives from the answers whether the platform responds, and matches answers to operations.
#[derive(Debug)]
pub(super) struct Health<T> {
    pending: BTreeMap<u64, (Duration, T)>,
    last_token: u64,
    failing_since: Option<Duration>,
    up: bool,
}

impl<T> Health<T> {
    pub(super) fn new() -> Self {
        Self {
            pending: BTreeMap::new(),
            last_token: 0,
            failing_since: None,
            up: true,
        }
    }

    /// Registers an operation and returns its token.
    pub(super) fn start(&mut self, now: Duration, origin: T) -> u64 {
        self.last_token += 1;
        self.pending.insert(self.last_token, (now, origin));
        self.last_token
    }

    /// Takes an answer and returns who asked; `None` for an unknown token.
    pub(super) fn finish(&mut self, now: Duration, token: u64, failed: bool) -> Option<T> {
        let (_, origin) = self.pending.remove(&token)?;
        match failed {
            true => {
                self.failing_since.get_or_insert(now);
            }
            false => {
                self.failing_since = None;
                self.up = true;
            }
        }
        Some(origin)
    }

    /// Whether the platform responds.
    pub(super) fn is_up(&mut self, now: Duration) -> bool {
        // Tokens rise with time, so the first operation is the oldest.
        if let Some((_, (since, _))) = self.pending.first_key_value()
            && now >= *since + REPLY_TIMEOUT
        {
            self.failing_since.get_or_insert(now);
        }
        if self
            .failing_since
            .is_some_and(|since| now >= since + UNAVAILABLE_AFTER)
        {
            self.up = false;
        }
        self.up
    }

    pub(super) fn pending(&self) -> usize {
        self.pending.len()
    }
}
