//! Log of the operations that the witness has not acknowledged: batches, acknowledgements,
//! resending.

use std::{
    collections::VecDeque,
    time::Duration, //
};

use super::Op;

/// Largest number of operations in one message.
const MAX_BATCH: usize = 256;
/// Capacity of the log, in operations. When the log is full, no more requests are admitted.
const MAX_OPS: usize = 65_536;
/// Time for which operations that no request waits for are collected into one message. A message
/// for each of them would take most of the 22 KB/s that a daemon may use for control traffic.
const COLLECT_TIME: Duration = Duration::from_millis(200);
/// Time after which unacknowledged operations are sent again.
const RESEND_INTERVAL: Duration = Duration::from_millis(300);
/// Time without an acknowledgement after which the witness counts as lost.
pub(crate) const ACK_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Operations that the witness has not acknowledged. Operations are numbered from 1 for the whole
/// incarnation.
#[derive(Debug)]
pub(crate) struct OpLog {
    ops: VecDeque<Op>,
    /// Number of the first operation in `ops`.
    first: u64,
    /// Number of the first operation that has to be sent.
    unsent: u64,
    /// Time until which operations that no request waits for are held back.
    collect_until: Duration,
    /// Time at which unacknowledged operations are sent again.
    resend_at: Duration,
    /// Time of the last acknowledgement, or of the first append to an empty log.
    progress_at: Duration,
}

impl OpLog {
    pub(crate) fn new() -> Self {
        Self {
            ops: VecDeque::new(),
            first: 1,
            unsent: 1,
            collect_until: Duration::ZERO,
            resend_at: Duration::ZERO,
            progress_at: Duration::ZERO,
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

    /// Number of unacknowledged operations.
    pub(crate) fn len(&self) -> usize {
        self.ops.len()
    }

    pub(crate) fn is_full(&self) -> bool {
        self.ops.len() >= MAX_OPS
    }

    /// Appends an operation and returns its number.
    pub(crate) fn append(&mut self, now: Duration, op: Op) -> u64 {
        if self.ops.is_empty() {
            self.progress_at = now;
        }
        if self.unsent == self.next() {
            self.collect_until = now + COLLECT_TIME;
        }
        self.ops.push_back(op);
        self.next() - 1
    }

    /// Drops the operations up to number `upto`; returns whether there were any.
    pub(crate) fn acknowledge(&mut self, now: Duration, upto: u64) -> bool {
        assert!(
            upto < self.next(),
            "operation {upto} was acknowledged but never logged"
        );
        let Some(count) = (upto + 1).checked_sub(self.first).filter(|n| *n > 0) else {
            return false;
        };
        self.ops
            .drain(..usize::try_from(count).expect("no more than the length"));
        self.first = upto + 1;
        self.unsent = self.unsent.max(self.first);
        self.progress_at = now;
        true
    }

    /// Drops all operations. A later witness gets their effect with the snapshot.
    pub(crate) fn clear(&mut self, now: Duration) {
        self.acknowledge(now, self.next() - 1);
    }

    /// Schedules all operations to be sent again, for a new witness.
    pub(crate) fn resend_all(&mut self, now: Duration) {
        self.unsent = self.first;
        self.resend_at = now;
        self.progress_at = now;
    }

    /// Whether the witness has acknowledged nothing for [`ACK_TIMEOUT`] although operations are
    /// pending.
    pub(crate) fn is_overdue(&self, now: Duration) -> bool {
        !self.ops.is_empty() && now >= self.progress_at + ACK_TIMEOUT
    }

    /// Returns the operations to send now and the number of the first one.
    pub(crate) fn next_batch(&mut self, now: Duration) -> Option<(u64, Vec<Op>)> {
        if self.unsent == self.next() && now >= self.resend_at {
            self.unsent = self.first;
        }
        if self.unsent == self.next() {
            return None;
        }
        let first = self.unsent;
        let skip = usize::try_from(first - self.first).expect("no more than the length");
        let mut unsent = self.ops.iter().skip(skip).take(MAX_BATCH);
        if now < self.collect_until && unsent.all(Op::can_wait) {
            return None;
        }
        let ops: Vec<Op> = self
            .ops
            .iter()
            .skip(skip)
            .take(MAX_BATCH)
            .cloned()
            .collect();
        self.unsent += u64::try_from(ops.len()).expect("lengths fit in 64 bits");
        self.resend_at = now + RESEND_INTERVAL;
        Some((first, ops))
    }
}
