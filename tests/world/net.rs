//! Delivery of messages and store operations, with loss, delay and disabled checks.

use std::time::Duration;

use cuminloom::{
    mirror::{
        Message,
        StoreReply,
        StoreRequest, //
    },
    model::{
        Incarnation,
        daemon_of, //
    },
    node::Event,
    store::{
        Change,
        Precondition,
        StoreError,
        Write, //
    },
};
use rand::RngExt;

use super::{
    Delivery,
    DeliveryMode,
    DisabledGuard,
    LATE_DELAY,
    World, //
};

impl World {
    /// Random time of arrival of a message or reply that is sent now.
    pub(super) fn arrival_time(&mut self) -> Duration {
        let ms = match self.chance(5) {
            true => self.rng.random_range(100..600),
            false => self.rng.random_range(1..40),
        };
        self.now + Duration::from_millis(ms)
    }

    /// Delivers what is due, in the order of arrival.
    pub(super) fn deliver_due(&mut self) {
        let now = self.now;
        let mut due = Vec::new();
        let mut rest = Vec::new();
        for item in self.deliveries.drain(..) {
            match item.0 <= now {
                true => due.push(item),
                false => rest.push(item),
            }
        }
        self.deliveries = rest;
        due.sort_by_key(|(at, _)| *at);
        for (_, item) in due {
            self.process_delivery(item);
        }
    }

    /// Delivers one message, store operation or reply; a paused process gets it after its pause.
    pub(super) fn process_delivery(&mut self, item: Delivery) {
        let now = self.now;
        match item {
            Delivery::Message(from, sender, to, message) => {
                let target = self.procs.iter().position(|p| {
                    let node = p.node.as_ref();
                    node.is_some() && *p.id.daemon == *daemon_of(&to)
                });
                let Some(p) = target.filter(|p| self.is_linked(from, *p)) else {
                    return;
                };
                if self.procs[p].paused_until > now {
                    let at = self.procs[p].paused_until;
                    self.deliveries
                        .push((at, Delivery::Message(from, sender, to, message)));
                    return;
                }
                self.forge_ack(p, &sender, &message);
                let node = self.procs[p].node.as_mut().unwrap();
                let event = Event::Message {
                    from: sender,
                    message,
                };
                node.handle(now, event);
                self.run_actions(p);
            }
            Delivery::Request(p, generation, token, request) => {
                if generation == 0 {
                    self.execute_request(&request);
                    return;
                }
                let unreachable = !self.reaches_platform(p);
                // The caller's time limit passes, and the platform applies the operation later.
                if !unreachable && self.reply_loss > 0 && self.chance(10) {
                    let later = now + Duration::from_millis(self.rng.random_range(100..8_000));
                    self.deliveries
                        .push((later, Delivery::Request(p, 0, token, request)));
                    let reply = StoreReply::Failed(StoreError::Unknown);
                    let at = self.arrival_time();
                    self.deliveries
                        .push((at, Delivery::Reply(p, generation, token, reply)));
                    return;
                }
                let reply = match unreachable {
                    true => StoreReply::Failed(StoreError::Unavailable),
                    false => self.execute_request(&request),
                };
                let scripted = !unreachable && writes_fence(&request);
                let mode = scripted.then(|| self.script.pop_front()).flatten();
                let percent = self.reply_loss;
                let lost =
                    !unreachable && (self.chance(percent) || mode == Some(DeliveryMode::Lost));
                let reply = match lost {
                    true => StoreReply::Failed(StoreError::Unknown),
                    false => reply,
                };
                let at = match mode {
                    Some(DeliveryMode::Late) => now + LATE_DELAY,
                    _ => self.arrival_time(),
                };
                self.deliveries
                    .push((at, Delivery::Reply(p, generation, token, reply)));
            }
            Delivery::Reply(p, generation, token, reply) => {
                if self.procs[p].generation != generation || self.procs[p].node.is_none() {
                    return;
                }
                if self.procs[p].paused_until > now {
                    let at = self.procs[p].paused_until;
                    self.deliveries
                        .push((at, Delivery::Reply(p, generation, token, reply)));
                    return;
                }
                let node = self.procs[p].node.as_mut().unwrap();
                node.handle(now, Event::StoreReply { token, reply });
                self.run_actions(p);
            }
        }
    }

    /// Acknowledges operations of a sealed incarnation, under [`DisabledGuard::AckAfterSeal`].
    pub(super) fn forge_ack(&mut self, p: usize, sender: &Incarnation, message: &Message) {
        let Message::Mirror {
            inc,
            epoch,
            first,
            ops,
        } = message
        else {
            return;
        };
        let sealed = self.fence(inc).is_some_and(|fence| fence.sealed.is_some());
        if self.disabled == DisabledGuard::AckAfterSeal && sealed {
            let me = self.procs[p].node.as_ref().unwrap().incarnation().clone();
            let message = Message::MirrorAck {
                inc: inc.clone(),
                epoch: *epoch,
                upto: first + ops.len() as u64 - 1,
            };
            self.send(p, me, sender.clone(), message);
        }
    }

    /// Runs a store operation.
    pub(super) fn execute_request(&mut self, request: &StoreRequest) -> StoreReply {
        match request {
            StoreRequest::Read(key) => StoreReply::Row(self.store.read(key)),
            StoreRequest::List(prefix, after, limit) => {
                StoreReply::Rows(self.store.list(prefix, after, *limit))
            }
            StoreRequest::Commit(writes) => {
                StoreReply::Commit(self.store.commit(&self.disable_checks(writes)))
            }
            StoreRequest::Get(name) => {
                let empty =
                    self.disabled == DisabledGuard::UnknownBatches && !name.contains("seal-");
                match empty {
                    true => StoreReply::Object(Some(b"{\"bills\":[]}".to_vec())),
                    false => StoreReply::Object(self.store.get(name).map(<[u8]>::to_vec)),
                }
            }
            StoreRequest::Put(name, body) => StoreReply::Put(self.store.put_new(name, body)),
        }
    }

    /// Drops the preconditions that the disabled guard concerns.
    pub(super) fn disable_checks(&self, writes: &[Write]) -> Vec<Write> {
        let mut writes = writes.to_vec();
        for write in &mut writes {
            let check = write.change == Change::Check;
            let off = match self.disabled {
                DisabledGuard::FenceCheck => check && write.key.starts_with("fence/"),
                DisabledGuard::LedgerCheck => check && write.key.starts_with("ledger/"),
                DisabledGuard::BudgetVersion => write.key.starts_with("budget/"),
                _ => false,
            };
            if off {
                write.precondition = Precondition::Any;
            }
        }
        writes
    }

    /// Sends a message, which may be lost, delayed or duplicated.
    pub(super) fn send(&mut self, p: usize, from: Incarnation, to: Incarnation, message: Message) {
        let scripted = matches!(
            message,
            Message::Attach { .. } | Message::AttachAck { .. } | Message::MirrorAck { .. }
        );
        match scripted.then(|| self.script.pop_front()).flatten() {
            Some(DeliveryMode::Lost) => return,
            Some(DeliveryMode::Late) => {
                let at = self.now + LATE_DELAY;
                self.deliveries
                    .push((at, Delivery::Message(p, from, to, message)));
                return;
            }
            Some(DeliveryMode::Prompt) | None => {}
        }
        let loss = self.message_loss;
        if self.chance(loss) {
            return;
        }
        if self.chance(loss / 2) {
            let at = self.arrival_time();
            let copy = Delivery::Message(p, from.clone(), to.clone(), message.clone());
            self.deliveries.push((at, copy));
        }
        let at = self.arrival_time();
        self.deliveries
            .push((at, Delivery::Message(p, from, to, message)));
    }
}

/// Whether a store operation changes a fence row.
fn writes_fence(request: &StoreRequest) -> bool {
    match request {
        StoreRequest::Commit(writes) => writes
            .iter()
            .any(|write| write.key.starts_with("fence/") && write.change != Change::Check),
        _ => false,
    }
}
