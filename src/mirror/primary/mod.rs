//! Primary side of the mirror: an incarnation's witness, operation log and mode.

mod row;

use std::{
    collections::{
        BTreeMap,
        BTreeSet, //
    },
    time::Duration,
};

use super::{
    Fence,
    LogState,
    Message,
    Op,
    Output,
    Peer,
    Snapshot,
    choose_peer,
    log::{
        ACK_TIMEOUT,
        OpLog, //
    }, //
};
use crate::{
    budget::Mode,
    model::{
        BudgetId,
        Incarnation,
        Tokens,
        Version, //
    },
};

/// Delay before a failed commit of the fence row is repeated.
const RETRY_DELAY: Duration = Duration::from_millis(500);
/// Delay after which a witness is searched again when no peer qualifies.
const NO_PEER_DELAY: Duration = Duration::from_secs(2);

/// Change of the fence row that is under way, such as a new witness.
#[derive(Debug)]
enum RowChange {
    Idle,
    /// A witness was chosen. The mode is `Attached` already, so that the issued tokens are logged
    /// before the next poll takes the snapshot.
    Preparing(Incarnation),
    /// The snapshot was sent to the chosen witness, which has not confirmed it.
    Attaching {
        to: Incarnation,
        epoch: u64,
        /// Number of the first operation that is not in the snapshot.
        next: u64,
        /// Time at which the proposal is given up.
        until: Duration,
    },
    /// The new content of the row is being committed.
    Committing {
        row: Fence,
        /// Number of the first operation that is not in the snapshot.
        next: u64,
        /// Whether an earlier attempt may have been applied.
        uncertain: bool,
    },
}

/// Progress of detaching, after which the incarnation issues the rest of its shares without the
/// witness.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum DetachState {
    No,
    /// The `Detach` operation has this number.
    Logged(u64),
    /// The witness has acknowledged the operation.
    Acked,
}

/// Primary side of the mirror, run by the incarnation itself: its fence row, its operation log and
/// its mode.
#[derive(Debug)]
pub(crate) struct Primary {
    inc: Incarnation,
    /// Location of this incarnation.
    home: Peer,
    /// Content of the fence row as last committed or read.
    fence: Fence,
    /// Version of the fence row; `None` until the row has been written.
    version: Option<Version>,
    state: LogState,
    log: OpLog,
    change: RowChange,
    detach: DetachState,
    /// Whether the witness counts as lost.
    lost: bool,
    /// Highest epoch that was proposed. Each proposal takes a new one, so that a delayed reply to
    /// an older proposal never confirms a newer snapshot.
    epoch: u64,
    /// Peers that did not confirm a proposal.
    tried: BTreeSet<Incarnation>,
    /// Whether a commit of the fence row has been sent and its reply is missing.
    pending: bool,
    retry_at: Duration,
    /// Progress of a planned stop.
    stop: StopPhase,
}

/// Progress of a planned stop: which change of the fence row is requested.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum StopPhase {
    No,
    /// The row announces that the daemon is stopping.
    Announce,
    /// The daemon seals its own row.
    Seal,
}

impl Primary {
    /// Starts an incarnation whose fence row has not been written yet.
    pub(crate) fn new(inc: Incarnation, fence: Fence) -> Self {
        let home = Peer {
            vm: fence.vm.clone(),
            dc: fence.dc.clone(),
        };
        Self {
            inc,
            home,
            fence,
            version: None,
            state: LogState::default(),
            log: OpLog::new(),
            change: RowChange::Idle,
            detach: DetachState::No,
            lost: false,
            epoch: 0,
            tried: BTreeSet::new(),
            pending: false,
            retry_at: Duration::ZERO,
            stop: StopPhase::No,
        }
    }

    /// State after all operations of the log.
    pub(crate) fn state(&self) -> &LogState {
        &self.state
    }

    /// Whether the next poll takes a snapshot for a new witness.
    pub(crate) fn is_preparing(&self) -> bool {
        matches!(self.change, RowChange::Preparing(_))
    }

    /// Sets the issued tokens of the shares in use, because without a witness and while detached
    /// they are issued without a log entry. A share that is not in use has spent all issued tokens.
    pub(crate) fn sync_issued(&mut self, issued: BTreeMap<BudgetId, Tokens>) {
        let billed = &self.state.bills.billed;
        for (budget, total) in &mut self.state.issued {
            *total = billed.get(budget).copied().unwrap_or(0);
        }
        self.state.issued.extend(issued);
    }

    /// After the seal, marks the batches up to `batches` as committed; the replies to their commits
    /// may have been lost.
    pub(crate) fn commit_batches(&mut self, batches: u64) {
        assert!(self.fence.sealed.is_some(), "the incarnation is sealed");
        self.state.bills.commit_batch(batches);
    }

    /// Content of the fence row as last committed or read.
    pub(crate) fn fence(&self) -> &Fence {
        &self.fence
    }

    /// Version of the fence row, unless it is sealed, for the checks in other commits. While a
    /// commit of the row is under way, the version may be out of date, and such a check then
    /// conflicts.
    pub(crate) fn version(&self) -> Option<Version> {
        self.version.filter(|_| self.fence.sealed.is_none())
    }

    /// Whether the fence row has been written.
    pub(crate) fn is_registered(&self) -> bool {
        self.version.is_some()
    }

    /// Number of operations that the witness has not acknowledged.
    pub(crate) fn backlog(&self) -> usize {
        self.log.len()
    }

    /// Whether the log has no room for more operations.
    pub(crate) fn is_full(&self) -> bool {
        self.log.is_full()
    }

    /// Appends an operation and returns its number.
    pub(crate) fn append(&mut self, now: Duration, op: Op) -> u64 {
        self.state.apply(&op);
        let number = self.log.append(now, op);
        if !self.keeps_log() {
            self.log.clear(now);
        }
        number
    }

    /// Whether the log is kept, for the witness or for a change of witness that is under way.
    fn keeps_log(&self) -> bool {
        if self.fence.sealed.is_some() {
            return false;
        }
        let changing = !matches!(self.change, RowChange::Idle);
        changing
            || (self.fence.witness.is_some() && !(self.lost && self.detach == DetachState::Acked))
    }

    /// Whether operations count without an acknowledgement of the witness.
    fn needs_no_ack(&self) -> bool {
        matches!(self.mode(true), Mode::Unpaired | Mode::Detached)
    }

    /// Number of the last operation that counts: it is acknowledged, or needs no acknowledgement.
    pub(crate) fn last_counted(&self) -> u64 {
        match self.needs_no_ack() {
            true => self.log.next() - 1,
            false => self.log.acked(),
        }
    }

    /// Mode in which the incarnation issues tokens. `platform` says whether the platform responds.
    pub(crate) fn mode(&self, platform: bool) -> Mode {
        if self.fence.sealed.is_some() {
            return Mode::Sealed;
        }
        match &self.change {
            RowChange::Idle => self.idle_mode(platform),
            RowChange::Committing {
                uncertain: true, ..
            } if !platform => Mode::Frozen,
            _ => Mode::Attached,
        }
    }

    /// Mode while no change of the fence row is under way.
    fn idle_mode(&self, platform: bool) -> Mode {
        if self.fence.witness.is_none() {
            Mode::Unpaired
        } else if self.detach == DetachState::Acked {
            Mode::Detached
        } else if self.lost && !platform {
            Mode::Frozen
        } else {
            Mode::Attached
        }
    }

    /// Handles the report that a peer stopped responding.
    pub(crate) fn peer_down(&mut self, now: Duration, inc: &Incarnation) {
        if self.fence.witness.as_ref() == Some(inc) {
            self.mark_lost(now);
        }
        if matches!(
            &self.change,
            RowChange::Preparing(to) | RowChange::Attaching { to, .. } if to == inc
        ) {
            self.abandon_change(now);
        }
    }

    /// Marks the witness as lost.
    fn mark_lost(&mut self, now: Duration) {
        self.lost = true;
        if !self.keeps_log() {
            self.log.clear(now);
        }
    }

    /// Ends a change that was not committed; the previous assignment stays in force.
    fn abandon_change(&mut self, now: Duration) {
        if let RowChange::Preparing(to) | RowChange::Attaching { to, .. } = &self.change {
            self.tried.insert(to.clone());
        }
        self.change = RowChange::Idle;
        self.log.resend_all(now);
        if !self.keeps_log() {
            self.log.clear(now);
        }
    }

    /// Handles a message from the witness or from a proposed witness.
    pub(crate) fn receive(&mut self, now: Duration, from: &Incarnation, message: &Message) {
        match message {
            Message::MirrorAck { epoch, upto, .. } => {
                self.handle_mirror_ack(now, from, *epoch, *upto)
            }
            Message::AttachAck { epoch, .. } => self.handle_attach_ack(now, from, *epoch),
            _ => {}
        }
    }

    /// Drops the acknowledged operations from the log.
    fn handle_mirror_ack(&mut self, now: Duration, from: &Incarnation, epoch: u64, upto: u64) {
        // While a proposal is under way, the new witness has only the snapshot, so an operation
        // that only the old witness knows must not count.
        let changing = !matches!(self.change, RowChange::Idle);
        if changing || epoch != self.fence.epoch || self.fence.witness.as_ref() != Some(from) {
            return;
        }
        if upto >= self.log.next() {
            return;
        }
        if self.log.acknowledge(now, upto) {
            self.lost = false;
        }
        if let DetachState::Logged(number) = self.detach
            && number <= self.log.acked()
        {
            self.detach = DetachState::Acked;
        }
    }

    /// Commits the proposed witness to the fence row once it has confirmed the snapshot.
    fn handle_attach_ack(&mut self, now: Duration, from: &Incarnation, acked: u64) {
        let RowChange::Attaching {
            to, epoch, next, ..
        } = &self.change
        else {
            return;
        };
        if to != from || *epoch != acked {
            return;
        }
        let mut row = self.fence.clone();
        row.witness = Some(from.clone());
        row.epoch = acked;
        self.start_commit(now, row, *next);
    }

    /// Starts the steps that are due and returns the messages and platform operations for them.
    pub(crate) fn poll(
        &mut self,
        now: Duration,
        platform: bool,
        peers: &BTreeMap<Incarnation, Peer>,
    ) -> Vec<Output> {
        let mut out = Vec::new();
        if self.fence.sealed.is_some() {
            return out;
        }
        self.check_witness(now, platform);
        if matches!(self.change, RowChange::Idle) {
            self.start_change(now, platform, peers);
        } else if let RowChange::Preparing(to) = &self.change {
            let to = to.clone();
            out.push(self.send_snapshot(now, to));
        }
        if matches!(self.change, RowChange::Attaching { until, .. } if now >= until) {
            self.abandon_change(now);
        }
        if !self.pending && now >= self.retry_at {
            out.extend(self.commit_request().map(Output::Request));
        }
        out.extend(self.send_batch(now));
        out
    }

    /// Marks a witness as lost that does not acknowledge, and logs that the incarnation detaches
    /// while the platform is unavailable.
    fn check_witness(&mut self, now: Duration, platform: bool) {
        if self.fence.witness.is_none() {
            return;
        }
        if self.log.is_overdue(now) && !self.lost {
            self.mark_lost(now);
        }
        let idle = matches!(self.change, RowChange::Idle);
        if idle && !platform && self.detach == DetachState::No {
            self.detach = DetachState::Logged(self.append(now, Op::Detach));
        }
    }

    /// Starts a change of the fence row if one is due: a planned stop or another witness.
    fn start_change(&mut self, now: Duration, platform: bool, peers: &BTreeMap<Incarnation, Peer>) {
        if self.pending || self.version.is_none() || !platform || now < self.retry_at {
            return;
        }
        if let Some(row) = self.stop_row() {
            return self.start_commit(now, row, self.log.next());
        }
        let has_witness = self.fence.witness.is_some();
        if has_witness && !self.lost && self.detach == DetachState::No {
            return;
        }
        let lost = self.fence.witness.clone().filter(|_| self.lost);
        let allowed = |inc: &Incarnation| !self.tried.contains(inc) && lost.as_ref() != Some(inc);
        if let Some(to) = choose_peer(&self.inc, &self.home, peers, allowed) {
            self.change = RowChange::Preparing(to);
            return;
        }
        self.tried.clear();
        self.retry_at = now + NO_PEER_DELAY;
        if has_witness {
            let mut row = self.fence.clone();
            row.witness = None;
            self.epoch += 1;
            row.epoch = self.epoch;
            self.start_commit(now, row, self.log.next());
        }
    }

    /// Proposes the witness assignment to `to` with a snapshot.
    fn send_snapshot(&mut self, now: Duration, to: Incarnation) -> Output {
        self.epoch += 1;
        let next = self.log.next();
        self.change = RowChange::Attaching {
            to: to.clone(),
            epoch: self.epoch,
            next,
            until: now + ACK_TIMEOUT,
        };
        let mut state = self.state.clone();
        state.detached = false;
        let message = Message::Attach {
            inc: self.inc.clone(),
            epoch: self.epoch,
            snapshot: Box::new(Snapshot { next, state }),
        };
        Output::Send(to, message)
    }

    /// Returns the next message with operations for the witness.
    fn send_batch(&mut self, now: Duration) -> Option<Output> {
        let to = self.fence.witness.clone()?;
        if !self.keeps_log() {
            return None;
        }
        let (first, ops) = self.log.next_batch(now)?;
        let message = Message::Mirror {
            inc: self.inc.clone(),
            epoch: self.fence.epoch,
            first,
            ops,
        };
        Some(Output::Send(to, message))
    }
}
