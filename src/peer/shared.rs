//! State shared between the handle and the thread of the links, and the tasks of that thread.

use std::{
    collections::HashMap,
    net::{
        SocketAddr,
        TcpListener, //
    },
    sync::{
        Arc,
        Mutex,
        MutexGuard,
        PoisonError,
        atomic::{
            AtomicBool,
            AtomicU64,
            Ordering, //
        }, //
    },
    time::{
        Duration,
        Instant, //
    },
};

use serde::{
    Serialize,
    de::DeserializeOwned, //
};
use tokio::{
    sync::{
        Notify,
        Semaphore, //
    },
    task::AbortHandle,
};

use super::{
    bind::{
        Event,
        Settings, //
    },
    link::{
        self,
        Identity,
        LinkError,
        Socket,
        Take, //
    },
    membership::Membership,
    message::{
        Ident,
        Message,
        decode,
        encode, //
    },
    outbox::{
        Frame,
        Outbox, //
    },
    view::{
        Action,
        Input, //
    },
};
use crate::model::{
    DaemonId,
    Incarnation, //
};

/// Time between two calls of the membership machine.
const TICK: Duration = Duration::from_millis(100);
/// Handshakes of daemons that dialled, at once; further connections are closed. A side that has not
/// proved itself can make this daemon hold one message of the longest length.
const MAX_HANDSHAKES: usize = 16;
/// Longest time for which a stop waits until queued messages were sent.
const STOP: Duration = Duration::from_millis(500);
/// Pause after a failed accept, such as one without a free file descriptor.
const ACCEPT_PAUSE: Duration = Duration::from_millis(100);

#[derive(Debug, Default)]
pub(super) struct Counters {
    pub(super) sent: AtomicU64,
    pub(super) bytes_sent: AtomicU64,
    pub(super) received: AtomicU64,
    pub(super) bytes_received: AtomicU64,
    pub(super) dropped: AtomicU64,
    pub(super) malformed: AtomicU64,
    pub(super) refused: AtomicU64,
}

fn add(counter: &AtomicU64, by: u64) {
    counter.fetch_add(by, Ordering::Relaxed);
}

#[derive(Debug)]
pub(super) struct Link {
    serial: u64,
    inc: Incarnation,
    /// Whether it is the one to keep when both sides dialled: that of the lower name.
    is_preferred: bool,
    pub(super) outbox: Arc<Outbox>,
    task: AbortHandle,
}

/// Locks are taken in the order of the fields.
#[derive(Debug)]
pub(super) struct Shared<M> {
    pub(super) links: Mutex<Links>,
    pub(super) members: Mutex<Membership>,
    pub(super) identity: Identity,
    events: flume::Sender<Event<M>>,
    pub(super) counters: Counters,
    start: Instant,
    pub(super) wake: Notify,
    pub(super) is_stopping: AtomicBool,
}

#[derive(Debug, Default)]
pub(super) struct Links {
    pub(super) up: HashMap<DaemonId, Link>,
    /// Messages for peers without a link, until it is established or dialling has failed.
    waiting: HashMap<DaemonId, Arc<Outbox>>,
    serial: u64,
}

pub(super) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

pub(super) fn frame<M: Serialize>(message: &Message<M>) -> Frame {
    Frame {
        bytes: encode(message).into(),
        is_droppable: message.is_droppable(),
    }
}

impl<M> Shared<M> {
    pub(super) fn new(settings: Settings, events: flume::Sender<Event<M>>) -> Self {
        let (ident, peers) = (settings.ident, settings.peers);
        let members = Membership::new(Duration::ZERO, ident.clone(), &peers, settings.seed);
        Self {
            links: Mutex::default(),
            members: Mutex::new(members),
            identity: Identity {
                ident: Mutex::new(ident),
                secret: settings.secret,
                max_message: settings.max_message,
            },
            events,
            counters: Counters::default(),
            start: Instant::now(),
            wake: Notify::new(),
            is_stopping: AtomicBool::new(false),
        }
    }

    pub(super) fn handle(&self, input: Input) {
        lock(&self.members).handle(self.start.elapsed(), input);
    }

    pub(super) fn queue(&self, to: &DaemonId, frame: Frame) -> bool {
        let mut links = lock(&self.links);
        if !frame.is_droppable {
            let mut members = lock(&self.members);
            if !members.peers().contains_key(to) {
                return false;
            }
            let peer = to.clone();
            members.handle(self.start.elapsed(), Input::LinkNeeded { peer });
        }
        if let Some(link) = links.up.get(to) {
            return self.push(&link.outbox, frame);
        }
        if frame.is_droppable {
            return false;
        }
        let outbox = links.waiting.entry(to.clone()).or_default();
        let is_queued = self.push(outbox, frame);
        self.wake.notify_one();
        is_queued
    }

    pub(super) fn push(&self, outbox: &Outbox, frame: Frame) -> bool {
        let size = frame.bytes.len();
        if size > self.identity.max_message {
            add(&self.counters.dropped, 1);
            return false;
        }
        let (dropped, is_queued) = outbox.push(frame);
        add(&self.counters.dropped, dropped);
        if is_queued {
            add(&self.counters.sent, 1);
            add(&self.counters.bytes_sent, size as u64);
        }
        is_queued
    }

    fn count_fault(&self, fault: LinkError) {
        match fault {
            LinkError::Closed => {}
            LinkError::Refused => add(&self.counters.refused, 1),
            LinkError::Malformed => add(&self.counters.malformed, 1),
        }
    }

    /// Forgets the link `serial`; returns whether it was the current one.
    fn remove(&self, peer: &DaemonId, serial: u64) -> bool {
        let mut links = lock(&self.links);
        if links.up.get(peer).is_none_or(|link| link.serial != serial) {
            return false;
        }
        if let Some(link) = links.up.remove(peer) {
            add(&self.counters.dropped, link.outbox.drain().len() as u64);
        }
        let peer = peer.clone();
        self.handle(Input::Lost { peer });
        true
    }
}

impl<M: Serialize + DeserializeOwned + Send + 'static> Shared<M> {
    /// Makes a new link the current one, unless an equal one of the same incarnation is preferred.
    fn register(self: &Arc<Self>, socket: Socket, ident: Ident, dialled: bool) {
        let mut links = lock(&self.links);
        let is_preferred = dialled == (self.identity.ident().id < ident.id);
        let old = links.up.get(&ident.id);
        if old.is_some_and(|old| old.inc == ident.inc && old.is_preferred && !is_preferred) {
            return;
        }
        links.serial += 1;
        let serial = links.serial;
        let waiting = links.waiting.remove(&ident.id);
        let outbox = match links.up.remove(&ident.id) {
            Some(old) => {
                old.task.abort();
                old.outbox
            }
            None => waiting.unwrap_or_default(),
        };
        let (peer, inc) = (ident.id.clone(), ident.inc.clone());
        self.handle(Input::Linked { ident, dialled });
        let running = serve(
            self.clone(),
            socket,
            peer.clone(),
            inc.clone(),
            outbox.clone(),
            serial,
        );
        let task = tokio::spawn(running).abort_handle();
        let link = Link {
            serial,
            inc,
            is_preferred,
            outbox,
            task,
        };
        links.up.insert(peer, link);
    }

    async fn act(self: &Arc<Self>, action: Action) {
        match action {
            Action::Dial { peer, addr } => {
                tokio::spawn(dial(self.clone(), peer, addr));
            }
            Action::Close { peer } => {
                let closed = lock(&self.links).up.remove(&peer);
                if let Some(link) = closed {
                    link.task.abort();
                    add(&self.counters.dropped, link.outbox.drain().len() as u64);
                    let _ = self.events.send_async(Event::Down { peer }).await;
                }
            }
            Action::Heartbeat { to, beat } => {
                let frame = frame(&Message::<M>::Heartbeat(beat));
                for peer in &to {
                    self.queue(peer, frame.clone());
                }
            }
            Action::Versions { to, entries } => {
                self.queue(&to, frame(&Message::<M>::Versions(entries)));
            }
            Action::State { peer, state } => {
                let _ = self.events.send_async(Event::State { peer, state }).await;
            }
        }
    }
}

/// Takes in the messages of one peer.
struct Inbox<M> {
    shared: Arc<Shared<M>>,
    peer: DaemonId,
}

impl<M: DeserializeOwned + Send + 'static> Take for Inbox<M> {
    async fn take(&self, bytes: &[u8]) -> Result<(), LinkError> {
        let shared = &self.shared;
        add(&shared.counters.received, 1);
        add(&shared.counters.bytes_received, bytes.len() as u64);
        let message = decode::<Message<M>>(bytes).map_err(|_| LinkError::Malformed)?;
        let from = self.peer.clone();
        match message {
            Message::Heartbeat(beat) => shared.handle(Input::Heartbeat { from, beat }),
            Message::Versions(entries) => shared.handle(Input::Versions { from, entries }),
            message => {
                let event = Event::Message { from, message };
                // Fails only while the daemon ends and takes no more events.
                let _ = shared.events.send_async(event).await;
            }
        }
        Ok(())
    }
}

/// Runs the daemon's links until it stops.
pub(super) async fn drive<M>(shared: Arc<Shared<M>>, listener: TcpListener)
where
    M: Serialize + DeserializeOwned + Send + 'static,
{
    match tokio::net::TcpListener::from_std(listener) {
        Ok(listener) => drop(tokio::spawn(accept(shared.clone(), listener))),
        Err(err) => log::error!("cannot accept links from peers: {err}"),
    }
    while !shared.is_stopping.load(Ordering::Acquire) {
        let actions = lock(&shared.members).poll(shared.start.elapsed());
        for action in actions {
            shared.act(action).await;
        }
        tokio::select! {
            () = tokio::time::sleep(TICK) => {}
            () = shared.wake.notified() => {}
        }
    }
    let outboxes: Vec<_> = lock(&shared.links)
        .up
        .values()
        .map(|link| link.outbox.clone())
        .collect();
    outboxes.iter().for_each(|outbox| outbox.close());
    let end = Instant::now() + STOP;
    while !lock(&shared.links).up.is_empty() && Instant::now() < end {
        tokio::time::sleep(TICK / 20).await;
    }
}

async fn accept<M>(shared: Arc<Shared<M>>, listener: tokio::net::TcpListener)
where
    M: Serialize + DeserializeOwned + Send + 'static,
{
    let handshakes = Arc::new(Semaphore::new(MAX_HANDSHAKES));
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            tokio::time::sleep(ACCEPT_PAUSE).await;
            continue;
        };
        let Ok(permit) = handshakes.clone().try_acquire_owned() else {
            continue;
        };
        let shared = shared.clone();
        tokio::spawn(async move {
            match shared.identity.accept(stream).await {
                Ok((socket, ident)) => shared.register(socket, ident, false),
                Err(fault) => shared.count_fault(fault),
            }
            drop(permit);
        });
    }
}

async fn dial<M>(shared: Arc<Shared<M>>, peer: DaemonId, addr: SocketAddr)
where
    M: Serialize + DeserializeOwned + Send + 'static,
{
    match shared.identity.dial(&peer, addr).await {
        Ok((socket, ident)) => shared.register(socket, ident, true),
        Err(fault) => {
            shared.count_fault(fault);
            let mut links = lock(&shared.links);
            // The peer may have dialled meanwhile.
            if !links.up.contains_key(&peer) {
                if let Some(outbox) = links.waiting.remove(&peer) {
                    add(&shared.counters.dropped, outbox.drain().len() as u64);
                }
                shared.handle(Input::Lost { peer });
            }
        }
    }
}

async fn serve<M>(
    shared: Arc<Shared<M>>,
    socket: Socket,
    peer: DaemonId,
    inc: Incarnation,
    outbox: Arc<Outbox>,
    serial: u64,
) where
    M: Serialize + DeserializeOwned + Send + 'static,
{
    let up = Event::Up {
        peer: peer.clone(),
        inc,
    };
    let _ = shared.events.send_async(up).await;
    let inbox = Inbox {
        shared: shared.clone(),
        peer: peer.clone(),
    };
    let fault = link::run(socket, &outbox, &inbox).await;
    shared.count_fault(fault);
    if shared.remove(&peer, serial) {
        let _ = shared.events.send_async(Event::Down { peer }).await;
    }
}
