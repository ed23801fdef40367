//! The fence row of the own incarnation: its commits and what their answers mean.

use std::time::Duration;

use super::{
    Detach,
    Primary,
    RETRY,
    Step,
    Stop, //
};
use crate::{
    mirror::{
        Fence,
        SealedBy,
        StoreReply,
        StoreRequest,
        fence_key, //
    },
    model::Version,
    store::{
        Change,
        CommitOutcome,
        Precondition,
        Row,
        StoreError,
        Write, //
    },
};

impl Primary {
    /// Announces a planned stop in the fence row; returns whether the row says it.
    pub(crate) fn announce_stop(&mut self) -> bool {
        self.stop = self.stop.max(Stop::Announce);
        self.fence.stopping
    }

    /// Seals the own fence row at the end of a planned stop.
    pub(crate) fn seal_row(&mut self) {
        self.stop = Stop::Seal;
    }

    pub(super) fn wanted_stop(&self) -> Option<Fence> {
        let mut want = self.fence.clone();
        match self.stop {
            Stop::Announce if !self.fence.stopping => want.stopping = true,
            Stop::Seal => {
                want.sealed = Some(SealedBy {
                    by: self.inc.clone(),
                    object: "".into(),
                    settled: true,
                    attached: false,
                    released: false,
                });
            }
            _ => return None,
        }
        Some(want)
    }

    pub(super) fn commit(&mut self, now: Duration, want: Fence, next: u64) {
        self.retry_at = now;
        self.step = Step::Committing {
            want,
            next,
            doubt: false,
        };
    }

    pub(super) fn request(&mut self) -> Option<StoreRequest> {
        let (want, expect) = match (&self.step, self.version) {
            (Step::Committing { want, .. }, Some(version)) => {
                (want, Precondition::Version(version))
            }
            (_, None) => (&self.fence, Precondition::Absent),
            _ => return None,
        };
        self.pending = true;
        Some(StoreRequest::Commit(vec![Write {
            key: fence_key(&self.inc),
            precondition: expect,
            change: Change::Put(want.to_value()),
        }]))
    }

    /// Takes the answer to the commit on the fence row.
    pub(crate) fn handle_reply(&mut self, now: Duration, reply: StoreReply) {
        self.pending = false;
        match reply {
            StoreReply::Commit(CommitOutcome::Applied(versions)) => self.applied(now, versions[0]),
            StoreReply::Commit(CommitOutcome::Conflict { row, .. }) => self.conflicted(now, row),
            // A lost answer is resolved by repeating the same commit until it is applied or
            // conflicts: a read could be overtaken by the commit itself.
            StoreReply::Failed(StoreError::Unknown) => {
                if let Step::Committing { doubt, .. } = &mut self.step {
                    *doubt = true;
                }
                self.retry_at = now + RETRY;
            }
            _ => {
                self.retry_at = now + RETRY;
                if matches!(self.step, Step::Committing { doubt: false, .. }) {
                    self.abandon(now);
                }
            }
        }
    }

    pub(super) fn conflicted(&mut self, now: Duration, row: Option<Row>) {
        self.observe_row(now, row.as_ref());
        if matches!(self.step, Step::Committing { .. }) {
            self.abandon(now);
        }
    }

    /// Takes the fence row as another read or commit shows it.
    pub(crate) fn observe_row(&mut self, now: Duration, row: Option<&Row>) {
        let Some(row) = row else { return };
        let Some(fence) = Fence::from_value(&row.value) else {
            return;
        };
        if self.version.is_some_and(|version| version >= row.version) {
            return;
        }
        match &self.step {
            Step::Committing { want, .. } if *want == fence => self.applied(now, row.version),
            _ => {
                self.version = Some(row.version);
                self.epoch = self.epoch.max(fence.epoch);
                self.fence = fence;
            }
        }
    }

    pub(super) fn applied(&mut self, now: Duration, version: Version) {
        // A late answer; the row has been sealed since.
        if self.version.is_some_and(|known| known > version) {
            return;
        }
        self.version = Some(version);
        let Step::Committing { want, next, .. } = &self.step else {
            return;
        };
        let (want, next) = (want.clone(), *next);
        let assigned = want.epoch != self.fence.epoch;
        self.fence = want;
        self.step = Step::Idle;
        if !assigned {
            return self.log.restart(now);
        }
        self.lost = false;
        self.detach = Detach::No;
        self.state.detached = false;
        self.tried.clear();
        // The snapshot covers the operations before `next`.
        self.log.acknowledge(now, next - 1);
        self.log.restart(now);
        if !self.is_mirrored() {
            self.log.clear(now);
        }
    }
}
