//! The lossy network and the faulty platform.

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
    Broken,
    Fate,
    Item,
    LATE,
    World, //
};

impl World {
    pub(super) fn delay(&mut self) -> Duration {
        let ms = match self.chance(5) {
            true => self.rng.random_range(100..600),
            false => self.rng.random_range(1..40),
        };
        self.now + Duration::from_millis(ms)
    }

    pub(super) fn deliver(&mut self) {
        let now = self.now;
        let mut due = Vec::new();
        let mut rest = Vec::new();
        for item in self.queue.drain(..) {
            match item.0 <= now {
                true => due.push(item),
                false => rest.push(item),
            }
        }
        self.queue = rest;
        due.sort_by_key(|(at, _)| *at);
        for (_, item) in due {
            self.arrive(item);
        }
    }

    pub(super) fn arrive(&mut self, item: Item) {
        let now = self.now;
        match item {
            Item::Message(from, sender, to, message) => {
                let target = self.procs.iter().position(|p| {
                    let node = p.node.as_ref();
                    node.is_some() && *p.id.daemon == *daemon_of(&to)
                });
                let Some(p) = target.filter(|p| self.linked(from, *p)) else {
                    return;
                };
                if self.procs[p].paused > now {
                    let at = self.procs[p].paused;
                    self.queue
                        .push((at, Item::Message(from, sender, to, message)));
                    return;
                }
                self.forge_ack(p, &sender, &message);
                let node = self.procs[p].node.as_mut().unwrap();
                let event = Event::Message {
                    from: sender,
                    message,
                };
                node.handle(now, event);
                self.poll(p);
            }
            Item::Request(p, generation, token, request) => {
                if generation == 0 {
                    self.execute(&request);
                    return;
                }
                let dead = !self.sees(p);
                // The caller gives up, and the platform applies the request later.
                if !dead && self.lost_answers > 0 && self.chance(10) {
                    let later = now + Duration::from_millis(self.rng.random_range(100..8_000));
                    self.queue
                        .push((later, Item::Request(p, 0, token, request)));
                    let reply = StoreReply::Failed(StoreError::Unknown);
                    let at = self.delay();
                    self.queue
                        .push((at, Item::Answer(p, generation, token, reply)));
                    return;
                }
                let reply = match dead {
                    true => StoreReply::Failed(StoreError::Unavailable),
                    false => self.execute(&request),
                };
                let decided = !dead && writes_fence(&request);
                let fate = decided.then(|| self.script.pop_front()).flatten();
                let percent = self.lost_answers;
                let lost = !dead && (self.chance(percent) || fate == Some(Fate::Lost));
                let reply = match lost {
                    true => StoreReply::Failed(StoreError::Unknown),
                    false => reply,
                };
                let at = match fate {
                    Some(Fate::Late) => now + LATE,
                    _ => self.delay(),
                };
                self.queue
                    .push((at, Item::Answer(p, generation, token, reply)));
            }
            Item::Answer(p, generation, token, reply) => {
                if self.procs[p].generation != generation || self.procs[p].node.is_none() {
                    return;
                }
                if self.procs[p].paused > now {
                    let at = self.procs[p].paused;
                    self.queue
                        .push((at, Item::Answer(p, generation, token, reply)));
                    return;
                }
                let node = self.procs[p].node.as_mut().unwrap();
                node.handle(now, Event::StoreReply { token, reply });
                self.poll(p);
            }
        }
    }

    /// The witness with [`Broken::AckAfterSeal`].
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
        if self.broken == Broken::AckAfterSeal && sealed {
            let me = self.procs[p].node.as_ref().unwrap().incarnation().clone();
            let message = Message::MirrorAck {
                inc: inc.clone(),
                epoch: *epoch,
                upto: first + ops.len() as u64 - 1,
            };
            self.send(p, me, sender.clone(), message);
        }
    }

    pub(super) fn execute(&mut self, request: &StoreRequest) -> StoreReply {
        match request {
            StoreRequest::Read(key) => StoreReply::Row(self.store.read(key)),
            StoreRequest::List(prefix, after, limit) => {
                StoreReply::Rows(self.store.list(prefix, after, *limit))
            }
            StoreRequest::Commit(writes) => {
                StoreReply::Commit(self.store.commit(&self.weaken(writes)))
            }
            StoreRequest::Get(name) => {
                let empty = self.broken == Broken::UnknownBatches && !name.contains("seal-");
                match empty {
                    true => StoreReply::Object(Some(b"{\"bills\":[]}".to_vec())),
                    false => StoreReply::Object(self.store.get(name).map(<[u8]>::to_vec)),
                }
            }
            StoreRequest::Put(name, body) => StoreReply::Put(self.store.put_new(name, body)),
        }
    }

    pub(super) fn weaken(&self, writes: &[Write]) -> Vec<Write> {
        let mut writes = writes.to_vec();
        for write in &mut writes {
            let check = write.change == Change::Check;
            let off = match self.broken {
                Broken::FenceCheck => check && write.key.starts_with("fence/"),
                Broken::LedgerCheck => check && write.key.starts_with("ledger/"),
                Broken::BudgetVersion => write.key.starts_with("budget/"),
                _ => false,
            };
            if off {
                write.precondition = Precondition::Any;
            }
        }
        writes
    }

    pub(super) fn send(&mut self, p: usize, from: Incarnation, to: Incarnation, message: Message) {
        let decided = matches!(
            message,
            Message::Attach { .. } | Message::AttachAck { .. } | Message::MirrorAck { .. }
        );
        match decided.then(|| self.script.pop_front()).flatten() {
            Some(Fate::Lost) => return,
            Some(Fate::Late) => {
                let at = self.now + LATE;
                self.queue.push((at, Item::Message(p, from, to, message)));
                return;
            }
            Some(Fate::Prompt) | None => {}
        }
        let loss = self.loss;
        if self.chance(loss) {
            return;
        }
        if self.chance(loss / 2) {
            let at = self.delay();
            let copy = Item::Message(p, from.clone(), to.clone(), message.clone());
            self.queue.push((at, copy));
        }
        let at = self.delay();
        self.queue.push((at, Item::Message(p, from, to, message)));
    }
}

fn writes_fence(request: &StoreRequest) -> bool {
    match request {
        StoreRequest::Commit(writes) => writes
            .iter()
            .any(|write| write.key.starts_with("fence/") && write.change != Change::Check),
        _ => false,
    }
}
