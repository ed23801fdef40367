//! The incarnation's own side of the mirror: witness, log and mode.

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
    Message,
    Op,
    Out,
    Peer,
    Snapshot,
    State,
    choose,
    log::{
        ACK_TIMEOUT,
        Log, //
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

/// Pause before a failed commit on the fence row is repeated.
const RETRY: Duration = Duration::from_millis(500);
/// Pause after no daemon could be reached as witness.
const NO_PEER: Duration = Duration::from_secs(2);

/// What is under way on the fence row.
#[derive(Debug)]
enum Step {
    Idle,
    /// The mode is already `Attached`, so that the drawer logs its figures before the snapshot.
    Preparing(Incarnation),
    Attaching {
        to: Incarnation,
        epoch: u64,
        /// Operations before this number are in the snapshot.
        next: u64,
        until: Duration,
    },
    Committing {
        want: Fence,
        next: u64,
        /// Whether an earlier attempt may have been applied.
        doubt: bool,
    },
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Detach {
    No,
    Logged(u64),
    Acked,
}

/// The incarnation's own side of the mirror: its fence row, its operation log and its mode.
#[derive(Debug)]
pub(crate) struct Pair {
    inc: Incarnation,
    home: Peer,
    fence: Fence,
    version: Option<Version>,
    state: State,
    log: Log,
    step: Step,
    detach: Detach,
    /// Whether the witness counts as lost.
    lost: bool,
    /// Highest epoch that was proposed; each proposal takes a new one, so that a delayed answer to
    /// an older proposal never confirms a newer snapshot.
    epoch: u64,
    tried: BTreeSet<Incarnation>,
    pending: bool,
    retry_at: Duration,
    /// What a planned stop wants the fence row to say.
    stop: Stop,
}

/// Progress of a planned stop.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Stop {
    No,
    /// The row says that the daemon is stopping.
    Announce,
    /// The row is sealed by its own daemon.
    Seal,
}

impl Pair {
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
            state: State::default(),
            log: Log::new(),
            step: Step::Idle,
            detach: Detach::No,
            lost: false,
            epoch: 0,
            tried: BTreeSet::new(),
            pending: false,
            retry_at: Duration::ZERO,
            stop: Stop::No,
        }
    }

    pub(crate) fn state(&self) -> &State {
        &self.state
    }

    /// Whether the next poll takes a snapshot for a new witness.
    pub(crate) fn is_preparing(&self) -> bool {
        matches!(self.step, Step::Preparing(_))
    }

    /// Takes the issued figures of the shares in use: without a witness, or detached, the drawer
    /// issues without a log entry. A share that is not in use has spent all that was issued.
    pub(crate) fn sync(&mut self, issued: BTreeMap<BudgetId, Tokens>) {
        let billed = &self.state.book.billed;
        for (budget, total) in &mut self.state.issued {
            *total = billed.get(budget).copied().unwrap_or(0);
        }
        self.state.issued.extend(issued);
    }

    /// Accounts for the batches that count after the seal; answers to their commits may be lost.
    pub(crate) fn settle(&mut self, batches: u64) {
        assert!(self.fence.sealed.is_some(), "the incarnation is sealed");
        self.state.book.commit_batch(batches);
    }

    pub(crate) fn fence(&self) -> &Fence {
        &self.fence
    }

    /// Version of the unsealed fence row for the checks of other commits. While a commit on the row
    /// is under way the version may be stale, and such a check then conflicts.
    pub(crate) fn version(&self) -> Option<Version> {
        self.version.filter(|_| self.fence.sealed.is_none())
    }

    pub(crate) fn is_registered(&self) -> bool {
        self.version.is_some()
    }

    pub(crate) fn backlog(&self) -> usize {
        self.log.len()
    }

    pub(crate) fn is_full(&self) -> bool {
        self.log.is_full()
    }

    /// Appends an operation and returns its number.
    pub(crate) fn append(&mut self, now: Duration, op: Op) -> u64 {
        self.state.apply(&op);
        let number = self.log.append(now, op);
        if !self.is_mirrored() {
            self.log.clear(now);
        }
        number
    }

    /// Whether the log is kept for a witness or for a snapshot that is under way.
    fn is_mirrored(&self) -> bool {
        if self.fence.sealed.is_some() {
            return false;
        }
        let held = !matches!(self.step, Step::Idle);
        held || (self.fence.witness.is_some() && !(self.lost && self.detach == Detach::Acked))
    }

    /// Whether operations count without an acknowledgement.
    fn is_free(&self) -> bool {
        matches!(self.mode(true), Mode::Unpaired | Mode::Detached)
    }

    /// Number of the last operation that counts.
    pub(crate) fn counted(&self) -> u64 {
        match self.is_free() {
            true => self.log.next() - 1,
            false => self.log.acked(),
        }
    }

    /// The mode of section 6.
    pub(crate) fn mode(&self, platform: bool) -> Mode {
        if self.fence.sealed.is_some() {
            return Mode::Sealed;
        }
        match &self.step {
            Step::Idle => self.idle_mode(platform),
            Step::Committing { doubt: true, .. } if !platform => Mode::Frozen,
            _ => Mode::Attached,
        }
    }

    fn idle_mode(&self, platform: bool) -> Mode {
        if self.fence.witness.is_none() {
            Mode::Unpaired
        } else if self.detach == Detach::Acked {
            Mode::Detached
        } else if self.lost && !platform {
            Mode::Frozen
        } else {
            Mode::Attached
        }
    }

    /// A peer stopped responding.
    pub(crate) fn peer_down(&mut self, now: Duration, inc: &Incarnation) {
        if self.fence.witness.as_ref() == Some(inc) {
            self.lose(now);
        }
        if matches!(&self.step, Step::Preparing(to) | Step::Attaching { to, .. } if to == inc) {
            self.abandon(now);
        }
    }

    fn lose(&mut self, now: Duration) {
        self.lost = true;
        if !self.is_mirrored() {
            self.log.clear(now);
        }
    }

    /// Ends a proposal that was not committed; the previous assignment holds on.
    fn abandon(&mut self, now: Duration) {
        if let Step::Preparing(to) | Step::Attaching { to, .. } = &self.step {
            self.tried.insert(to.clone());
        }
        self.step = Step::Idle;
        self.log.restart(now);
        if !self.is_mirrored() {
            self.log.clear(now);
        }
    }

    /// Takes a message from the witness or from a proposed witness.
    pub(crate) fn receive(&mut self, now: Duration, from: &Incarnation, message: &Message) {
        match message {
            Message::MirrorAck { epoch, upto, .. } => self.acknowledged(now, from, *epoch, *upto),
            Message::AttachAck { epoch, .. } => self.attached(now, from, *epoch),
            _ => {}
        }
    }

    fn acknowledged(&mut self, now: Duration, from: &Incarnation, epoch: u64, upto: u64) {
        // While a proposal is under way the new witness has only the snapshot, so an operation that
        // the old witness alone knows must not count.
        let held = !matches!(self.step, Step::Idle);
        if held || epoch != self.fence.epoch || self.fence.witness.as_ref() != Some(from) {
            return;
        }
        if upto >= self.log.next() {
            return;
        }
        if self.log.acknowledge(now, upto) {
            self.lost = false;
        }
        if let Detach::Logged(number) = self.detach
            && number <= self.log.acked()
        {
            self.detach = Detach::Acked;
        }
    }

    fn attached(&mut self, now: Duration, from: &Incarnation, acked: u64) {
        let Step::Attaching {
            to, epoch, next, ..
        } = &self.step
        else {
            return;
        };
        if to != from || *epoch != acked {
            return;
        }
        let mut want = self.fence.clone();
        want.witness = Some(from.clone());
        want.epoch = acked;
        self.commit(now, want, *next);
    }

    /// Steps that are due.
    pub(crate) fn poll(
        &mut self,
        now: Duration,
        platform: bool,
        peers: &BTreeMap<Incarnation, Peer>,
    ) -> Vec<Out> {
        let mut out = Vec::new();
        if self.fence.sealed.is_some() {
            return out;
        }
        self.check_witness(now, platform);
        if matches!(self.step, Step::Idle) {
            self.propose(now, platform, peers);
        } else if let Step::Preparing(to) = &self.step {
            let to = to.clone();
            out.push(self.attach(now, to));
        }
        if matches!(self.step, Step::Attaching { until, .. } if now >= until) {
            self.abandon(now);
        }
        if !self.pending && now >= self.retry_at {
            out.extend(self.request().map(Out::Request));
        }
        out.extend(self.mirror(now));
        out
    }

    fn check_witness(&mut self, now: Duration, platform: bool) {
        if self.fence.witness.is_none() {
            return;
        }
        if self.log.is_late(now) && !self.lost {
            self.lose(now);
        }
        let idle = matches!(self.step, Step::Idle);
        if idle && !platform && self.detach == Detach::No {
            self.detach = Detach::Logged(self.append(now, Op::Detach));
        }
    }

    fn propose(&mut self, now: Duration, platform: bool, peers: &BTreeMap<Incarnation, Peer>) {
        if self.pending || self.version.is_none() || !platform || now < self.retry_at {
            return;
        }
        if let Some(want) = self.wanted_stop() {
            return self.commit(now, want, self.log.next());
        }
        let paired = self.fence.witness.is_some();
        if paired && !self.lost && self.detach == Detach::No {
            return;
        }
        let lost = self.fence.witness.clone().filter(|_| self.lost);
        let allowed = |inc: &Incarnation| !self.tried.contains(inc) && lost.as_ref() != Some(inc);
        if let Some(to) = choose(&self.inc, &self.home, peers, allowed) {
            self.step = Step::Preparing(to);
            return;
        }
        self.tried.clear();
        self.retry_at = now + NO_PEER;
        if paired {
            let mut want = self.fence.clone();
            want.witness = None;
            self.epoch += 1;
            want.epoch = self.epoch;
            self.commit(now, want, self.log.next());
        }
    }

    fn attach(&mut self, now: Duration, to: Incarnation) -> Out {
        self.epoch += 1;
        let next = self.log.next();
        self.step = Step::Attaching {
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
        Out::Send(to, message)
    }

    fn mirror(&mut self, now: Duration) -> Option<Out> {
        let to = self.fence.witness.clone()?;
        if !self.is_mirrored() {
            return None;
        }
        let (first, ops) = self.log.batch(now)?;
        let message = Message::Mirror {
            inc: self.inc.clone(),
            epoch: self.fence.epoch,
            first,
            ops,
        };
        Some(Out::Send(to, message))
    }
}
