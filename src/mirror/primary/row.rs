//! Commits of an incarnation's own fence row, and how their replies are handled.

use std::time::Duration;

use super::{
    DetachState,
    Primary,
    RETRY_DELAY,
    RowChange,
    StopPhase, //
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
    /// Requests that the fence row announces a planned stop; returns whether it does.
    pub(crate) fn announce_stop(&mut self) -> bool {
        self.stop = self.stop.max(StopPhase::Announce);
        self.fence.stopping
    }

    /// Requests that the fence row is sealed, at the end of a planned stop.
    pub(crate) fn seal_row(&mut self) {
        self.stop = StopPhase::Seal;
    }

    /// New content of the fence row if a planned stop has to change it.
    pub(super) fn stop_row(&self) -> Option<Fence> {
        let mut row = self.fence.clone();
        match self.stop {
            StopPhase::Announce if !self.fence.stopping => row.stopping = true,
            StopPhase::Seal => {
                row.sealed = Some(SealedBy {
                    by: self.inc.clone(),
                    object: "".into(),
                    settled: true,
                    attached: false,
                    released: false,
                });
            }
            _ => return None,
        }
        Some(row)
    }

    /// Starts to commit `row` as the fence row; `next` is the first operation that is not in the
    /// snapshot for the witness.
    pub(super) fn start_commit(&mut self, now: Duration, row: Fence, next: u64) {
        self.retry_at = now;
        self.change = RowChange::Committing {
            row,
            next,
            uncertain: false,
        };
    }

    /// Returns the commit of the fence row that is due.
    pub(super) fn commit_request(&mut self) -> Option<StoreRequest> {
        let (row, precondition) = match (&self.change, self.version) {
            (RowChange::Committing { row, .. }, Some(version)) => {
                (row, Precondition::Version(version))
            }
            (_, None) => (&self.fence, Precondition::Absent),
            _ => return None,
        };
        self.pending = true;
        Some(StoreRequest::Commit(vec![Write {
            key: fence_key(&self.inc),
            precondition,
            change: Change::Put(row.to_value()),
        }]))
    }

    /// Handles the reply to the commit of the fence row.
    pub(crate) fn handle_reply(&mut self, now: Duration, reply: StoreReply) {
        self.pending = false;
        match reply {
            StoreReply::Commit(CommitOutcome::Applied(versions)) => {
                self.handle_applied(now, versions[0])
            }
            StoreReply::Commit(CommitOutcome::Conflict { row, .. }) => {
                self.handle_conflict(now, row)
            }
            // After a lost reply, the same commit is repeated until it is applied or conflicts. A
            // read would not do: the commit could be applied after it.
            StoreReply::Failed(StoreError::Unknown) => {
                if let RowChange::Committing { uncertain, .. } = &mut self.change {
                    *uncertain = true;
                }
                self.retry_at = now + RETRY_DELAY;
            }
            _ => {
                self.retry_at = now + RETRY_DELAY;
                if matches!(
                    self.change,
                    RowChange::Committing {
                        uncertain: false,
                        ..
                    }
                ) {
                    self.abandon_change(now);
                }
            }
        }
    }

    /// Takes over the row as another daemon has changed it and gives up the own change.
    pub(super) fn handle_conflict(&mut self, now: Duration, row: Option<Row>) {
        self.observe_row(now, row.as_ref());
        if matches!(self.change, RowChange::Committing { .. }) {
            self.abandon_change(now);
        }
    }

    /// Takes over the fence row from a read or from the conflict of another commit, if it is newer.
    pub(crate) fn observe_row(&mut self, now: Duration, row: Option<&Row>) {
        let Some(row) = row else { return };
        let Some(fence) = Fence::from_value(&row.value) else {
            return;
        };
        if self.version.is_some_and(|version| version >= row.version) {
            return;
        }
        match &self.change {
            RowChange::Committing { row: own, .. } if *own == fence => {
                self.handle_applied(now, row.version)
            }
            _ => {
                self.version = Some(row.version);
                self.epoch = self.epoch.max(fence.epoch);
                self.fence = fence;
            }
        }
    }

    /// Takes over the committed change of the fence row.
    pub(super) fn handle_applied(&mut self, now: Duration, version: Version) {
        // The reply is late: the row has been sealed since.
        if self.version.is_some_and(|known| known > version) {
            return;
        }
        self.version = Some(version);
        let RowChange::Committing { row, next, .. } = &self.change else {
            return;
        };
        let (row, next) = (row.clone(), *next);
        let new_witness = row.epoch != self.fence.epoch;
        self.fence = row;
        self.change = RowChange::Idle;
        if !new_witness {
            return self.log.resend_all(now);
        }
        self.lost = false;
        self.detach = DetachState::No;
        self.state.detached = false;
        self.tried.clear();
        // The snapshot contains the operations before `next`.
        self.log.acknowledge(now, next - 1);
        self.log.resend_all(now);
        if !self.keeps_log() {
            self.log.clear(now);
        }
    }
}
