//! Detects from the replies to store operations whether the platform responds.

use std::{
    collections::BTreeMap,
    time::Duration, //
};

/// Age at which an unanswered operation counts as failed; the time limit of one store call is 3 s.
const REPLY_TIMEOUT: Duration = Duration::from_secs(3);
/// Duration of failures without a success after which the platform counts as unavailable.
const UNAVAILABLE_AFTER: Duration = Duration::from_secs(2);

/// Matches replies to operations and derives from them whether the platform responds. `T` says who
/// started an operation.
#[derive(Debug)]
pub(super) struct Health<T> {
    pending: BTreeMap<u64, (Duration, T)>,
    last_token: u64,
    /// Time of the first failure since the last success.
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

    /// Records a reply and returns who started the operation; `None` for an unknown token.
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
        // Tokens rise with time, so the first pending operation is the oldest.
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

    /// Number of unanswered operations.
    pub(super) fn pending(&self) -> usize {
        self.pending.len()
    }
}
