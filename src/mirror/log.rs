//! Operations on their way to the witness: batches, acknowledgements, repetition.

use std::{
    collections::VecDeque,
    time::Duration, //
};

use super::Op;

/// Operations in one message.
const BATCH: usize = 256;
/// Operations kept for the witness; admission stops when the log is full.
const CAPACITY: usize = 65_536;
/// Time for which operations that no request waits for are collected into one message. A message for
/// each of them would take most of the 22 KB/s that a daemon may use for control.
const COLLECT: Duration = Duration::from_millis(200);
/// Time after which unacknowledged operations are sent again.
const RESEND: Duration = Duration::from_millis(300);
/// Time after which a witness that acknowledges nothing counts as lost.
pub(crate) const ACK_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Operations that the witness has not acknowledged. Operations are numbered from 1 over the
/// incarnation.
#[derive(Debug)]
pub(crate) struct OpLog {
    ops: VecDeque<Op>,
    /// Number of the first operation in `ops`.
    first: u64,
    /// Number of the first operation that was not sent.
    unsent: u64,
    /// Time at which operations that no request waits for are sent.
    collect_until: Duration,
    resend_at: Duration,
    /// Time of the last progress, or of the first append since nothing was unacknowledged.
    progress: Duration,
}

impl OpLog {
    pub(crate) fn new() -> Self {
        Self {
            ops: VecDeque::new(),
            first: 1,
            unsent: 1,
            collect_until: Duration::ZERO,
            resend_at: Duration::ZERO,
            progress: Duration::ZERO,
        }
    }

    /// Number of the next operation.
    pub(crate) fn next(&self) -> u64 {
        self.first + u64::try_from(self.ops.len()).expect("lengths fit in 64 bits")
    }

    /// Number of the last acknowledged operation.
    pub(crate) fn acked(&self) -> u64 {
        self.first - 1
    }

    pub(crate) fn len(&self) -> usize {
        self.ops.len()
    }

    pub(crate) fn is_full(&self) -> bool {
        self.ops.len() >= CAPACITY
    }

    pub(crate) fn append(&mut self, now: Duration, op: Op) -> u64 {
        if self.ops.is_empty() {
            self.progress = now;
        }
        if self.unsent == self.next() {
            self.collect_until = now + COLLECT;
        }
        self.ops.push_back(op);
        self.next() - 1
    }

    /// Drops the operations up to `upto`; returns whether there were any.
    pub(crate) fn acknowledge(&mut self, now: Duration, upto: u64) -> bool {
        assert!(upto < self.next(), "operation {upto} was never logged");
        let Some(count) = (upto + 1).checked_sub(self.first).filter(|n| *n > 0) else {
            return false;
        };
        self.ops
            .drain(..usize::try_from(count).expect("no more than the length"));
        self.first = upto + 1;
        self.unsent = self.unsent.max(self.first);
        self.progress = now;
        true
    }

    /// Drops all operations; a later witness gets a snapshot.
    pub(crate) fn clear(&mut self, now: Duration) {
        self.acknowledge(now, self.next() - 1);
    }

    /// Sends everything again, for a new witness.
    pub(crate) fn restart(&mut self, now: Duration) {
        self.unsent = self.first;
        self.resend_at = now;
        self.progress = now;
    }

    /// Whether the witness has acknowledged nothing for [`ACK_TIMEOUT`] while it should have.
    pub(crate) fn is_late(&self, now: Duration) -> bool {
        !self.ops.is_empty() && now >= self.progress + ACK_TIMEOUT
    }

    /// Operations to send now, with the number of the first one.
    pub(crate) fn batch(&mut self, now: Duration) -> Option<(u64, Vec<Op>)> {
        if self.unsent == self.next() && now >= self.resend_at {
            self.unsent = self.first;
        }
        if self.unsent == self.next() {
            return None;
        }
        let first = self.unsent;
        let skip = usize::try_from(first - self.first).expect("no more than the length");
        let mut unsent = self.ops.iter().skip(skip).take(BATCH);
        if now < self.collect_until && unsent.all(Op::can_wait) {
            return None;
        }
        let ops: Vec<Op> = self.ops.iter().skip(skip).take(BATCH).cloned().collect();
        self.unsent += u64::try_from(ops.len()).expect("lengths fit in 64 bits");
        self.resend_at = now + RESEND;
        Some((first, ops))
    }
}
