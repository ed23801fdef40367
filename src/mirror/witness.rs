//! The witness's records of the incarnations that it watches.

use std::{
    collections::BTreeMap,
    time::Duration, //
};

use super::{
    LogState, //
    Message,
    Op,
    SealTask,
    Snapshot,
    StoreReply,
    StoreRequest,
};
use crate::model::Incarnation;

/// Time from the report that a peer is down (3 s after its last heartbeat) to the seal, 10 s after
/// the last heartbeat.
const SEAL_DELAY: Duration = Duration::from_secs(7);

/// What the witness knows about a watched incarnation at one epoch.
#[derive(Debug)]
pub(crate) struct WitnessRecord {
    pub(crate) state: LogState,
    /// Number of the next operation.
    next: u64,
    /// Set before the seal object is written; a frozen record acknowledges nothing, because the
    /// content of the seal object is fixed.
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

/// Records of the incarnations that this daemon watches, and their seals.
#[derive(Debug, Default)]
pub(crate) struct Witness {
    /// Records by incarnation and epoch: a proposed epoch is kept beside the one in force until the
    /// daemon mirrors at the new epoch.
    pub(crate) records: BTreeMap<Incarnation, BTreeMap<u64, WitnessRecord>>,
    down: BTreeMap<Incarnation, Duration>,
    tasks: BTreeMap<Incarnation, SealTask>,
}

impl Witness {
    /// Takes a message from a watched incarnation and returns the answer.
    pub(crate) fn receive(&mut self, now: Duration, message: &Message) -> Option<Message> {
        match message {
            Message::Attach {
                inc,
                epoch,
                snapshot,
            } => {
                self.touch(now, inc);
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
                self.touch(now, inc);
                let records = self.records.get_mut(inc)?;
                let record = records.get_mut(epoch).filter(|record| !record.frozen)?;
                record.apply(*first, ops);
                let upto = record.next - 1;
                // The daemon mirrors at an epoch only after its fence row names it.
                records.retain(|old, _| old >= epoch);
                let (inc, epoch) = (inc.clone(), *epoch);
                Some(Message::MirrorAck { inc, epoch, upto })
            }
            _ => None,
        }
    }

    /// A message from a peer that is reported down starts the delay again.
    fn touch(&mut self, now: Duration, inc: &Incarnation) {
        if let Some(since) = self.down.get_mut(inc) {
            *since = now;
        }
    }

    pub(crate) fn peer_up(&mut self, inc: &Incarnation) {
        self.down.remove(inc);
        if self.tasks.get(inc).is_some_and(SealTask::can_cancel) {
            self.tasks.remove(inc);
        }
    }

    pub(crate) fn peer_down(&mut self, now: Duration, inc: &Incarnation) {
        self.down.entry(inc.clone()).or_insert(now);
    }

    /// Starts a seal or a settlement that does not rest on a record.
    pub(crate) fn start_task(&mut self, task: SealTask) {
        self.tasks.entry(task.inc.clone()).or_insert(task);
    }

    /// Number of watched incarnations and of seals under way.
    pub(crate) fn counts(&self) -> (usize, usize) {
        (self.records.len(), self.tasks.len())
    }

    /// Platform operations that are due, with the incarnation that each is about.
    pub(crate) fn poll(
        &mut self,
        now: Duration,
        me: &Incarnation,
    ) -> Vec<(Incarnation, StoreRequest)> {
        for (inc, since) in &self.down {
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

    /// Takes the answer to a platform operation; returns whether the incarnation was sealed now.
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
        if let Some(drop) = task.done() {
            self.tasks.remove(inc);
            match drop {
                true => {
                    self.records.remove(inc);
                    self.down.remove(inc);
                }
                false => self.peer_retry(now, inc),
            }
        }
        sealed
    }

    fn peer_retry(&mut self, now: Duration, inc: &Incarnation) {
        if let Some(since) = self.down.get_mut(inc) {
            *since = now;
        }
    }
}
