//! The era of the store, which rises when it comes back from an older copy.

use std::time::Instant;

use super::Core;
use crate::adapter::Era;

impl<D> Core<D> {
    /// Records the era that an answer of the store to `call` has named. Returns whether the answer counts: what the
    /// store said in an earlier era does not hold any more.
    pub fn note_era(&self, era: Era, call: &str) -> bool {
        let known = self.store_era.get();
        if known == Some(era) {
            return true;
        }
        log::info!(
            "event=store_era era={era} known={} call={call}",
            known.map_or_else(|| "-".to_owned(), |e| e.to_string())
        );
        if known > Some(era) {
            return false;
        }
        let now = Instant::now();
        if known.is_some() {
            self.restored_at.set(Some(now));
        }
        self.store_era.set(Some(era));
        self.ledger.borrow_mut().enter_era(era, now);
        self.reader_wake.notify_one();
        self.writer_wake.notify_one();
        true
    }

    /// Newest era of the store.
    pub fn store_era(&self) -> Option<Era> {
        self.store_era.get()
    }

    /// Time at which this process learned that the store had come back from a copy.
    pub fn restored_at(&self) -> Option<Instant> {
        self.restored_at.get()
    }

    /// Whether the store has come back from a copy so recently that the operator and the runners may not have written
    /// again what it has lost.
    pub fn is_settling(&self, now: Instant) -> bool {
        let since = self.restored_at.get();
        since.is_some_and(|at| now.saturating_duration_since(at) < self.bounds.get().lapse_grace)
    }
}
