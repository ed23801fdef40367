//! The witness: records of the incarnations that a daemon watches, and the seals of lost ones.

use std::{
    collections::BTreeMap,
    time::Duration, //
};

use super::{
    LogState,
    Message,
    Op,
    SealTask,
    Snapshot,
    StoreReply,
    StoreRequest, //
};
use crate::model::Incarnation;

/// Time between the report that a peer is down, 3 s after its last heartbeat, and its seal, 10 s
/// after its last heartbeat.
const SEAL_DELAY: Duration = Duration::from_secs(7);

/// Copy of the state of a watched incarnation for one witness assignment (epoch).
#[derive(Debug)]
pub(crate) struct WitnessRecord {
    pub(crate) state: LogState,
    /// Number of the next operation.
    next: u64,
    /// Set before the seal object is written. A frozen record acknowledges no more operations,
    /// because the content of the seal object is fixed.
    pub(crate) frozen: bool,
}

impl WitnessRecord {
    fn new(snapshot: &Snapshot) -> Self {
        Self {
            state: snapshot.state.clone(),
            next: snapshot.next,
            frozen: false,
        }
    }

    /// Applies the operations that are not known yet; ignores a message that leaves a gap.
    fn apply(&mut self, first: u64, ops: &[Op]) {
        if first > self.next {
            return;
        }
        let known = usize::try_from(self.next - first).expect("no more than the log holds");
        for op in ops.iter().skip(known) {
            self.state.apply(op);
            self.next += 1;
        }
    }
}

/// Witness side of the mirror: records of the watched incarnations, and the seal procedures.
#[derive(Debug, Default)]
pub(crate) struct Witness {
    /// Records by incarnation and epoch. A proposed epoch is kept beside the current one until the
    /// incarnation sends operations at the new epoch.
    pub(crate) records: BTreeMap<Incarnation, BTreeMap<u64, WitnessRecord>>,
    /// Incarnations that are reported down, with the time from which the seal delay runs.
    down_since: BTreeMap<Incarnation, Duration>,
    /// Seal procedures that are under way.
    tasks: BTreeMap<Incarnation, SealTask>,
}

impl Witness {
    /// Handles a message from a watched incarnation and returns the reply.
    pub(crate) fn receive(&mut self, now: Duration, message: &Message) -> Option<Message> {
        match message {
            Message::Attach {
                inc,
                epoch,
                snapshot,
            } => {
                self.restart_delay(now, inc);
                let records = self.records.entry(inc.clone()).or_default();
                records
                    .entry(*epoch)
                    .or_insert_with(|| WitnessRecord::new(snapshot));
                let (inc, epoch) = (inc.clone(), *epoch);
                Some(Message::AttachAck { inc, epoch })
            }
            Message::Mirror {
                inc,
                epoch,
                first,
                ops,
            } => {
                self.restart_delay(now, inc);
                let records = self.records.get_mut(inc)?;
                let record = records.get_mut(epoch).filter(|record| !record.frozen)?;
                record.apply(*first, ops);
                let upto = record.next - 1;
                // An incarnation uses an epoch only after its fence row names it, so older epochs
                // have ended.
                records.retain(|old, _| old >= epoch);
                let (inc, epoch) = (inc.clone(), *epoch);
                Some(Message::MirrorAck { inc, epoch, upto })
            }
            _ => None,
        }
    }

    /// Restarts the seal delay of a peer that is reported down but still sends messages.
    fn restart_delay(&mut self, now: Duration, inc: &Incarnation) {
        if let Some(since) = self.down_since.get_mut(inc) {
            *since = now;
        }
    }

    /// Handles the report that a peer responds again; cancels its seal if nothing has been fixed.
    pub(crate) fn peer_up(&mut self, inc: &Incarnation) {
        self.down_since.remove(inc);
        if self.tasks.get(inc).is_some_and(SealTask::can_cancel) {
            self.tasks.remove(inc);
        }
    }

    /// Handles the report that a peer is down: its seal becomes due after [`SEAL_DELAY`].
    pub(crate) fn peer_down(&mut self, now: Duration, inc: &Incarnation) {
        self.down_since.entry(inc.clone()).or_insert(now);
    }

    /// Starts a seal procedure that does not need a record, unless one is under way.
    pub(crate) fn start_task(&mut self, task: SealTask) {
        self.tasks.entry(task.inc.clone()).or_insert(task);
    }

    /// Number of watched incarnations and number of seal procedures under way.
    pub(crate) fn counts(&self) -> (usize, usize) {
        (self.records.len(), self.tasks.len())
    }

    /// Starts the seals that are due and returns the due platform operations, each with the
    /// incarnation that it belongs to. `me` is the incarnation of this daemon.
    pub(crate) fn poll(
        &mut self,
        now: Duration,
        me: &Incarnation,
    ) -> Vec<(Incarnation, StoreRequest)> {
        for (inc, since) in &self.down_since {
            let due = now >= *since + SEAL_DELAY && self.records.contains_key(inc);
            if due && !self.tasks.contains_key(inc) {
                self.tasks
                    .insert(inc.clone(), SealTask::new(inc.clone(), me.clone()));
            }
        }
        let requests = self.tasks.values_mut().filter_map(|task| {
            let request = task.poll(now)?;
            Some((task.inc.clone(), request))
        });
        requests.collect()
    }

    /// Handles the reply to a platform operation for `inc`; returns whether it sealed the
    /// incarnation.
    pub(crate) fn handle_reply(
        &mut self,
        now: Duration,
        inc: &Incarnation,
        reply: StoreReply,
    ) -> bool {
        let Some(task) = self.tasks.get_mut(inc) else {
            return false;
        };
        let sealed = task.handle_reply(now, reply, self.records.get_mut(inc));
        if let Some(drop) = task.ended() {
            self.tasks.remove(inc);
            match drop {
                true => {
                    self.records.remove(inc);
                    self.down_since.remove(inc);
                }
                false => self.postpone_seal(now, inc),
            }
        }
        sealed
    }

    /// Postpones the next seal attempt by [`SEAL_DELAY`].
    fn postpone_seal(&mut self, now: Duration, inc: &Incarnation) {
        if let Some(since) = self.down_since.get_mut(inc) {
            *since = now;
        }
    }
}
