//! State shared between [`Peers`](super::Peers) and the thread of the links, and the tasks of that
//! thread.

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
    link::{
        self,
        Handshaker,
        LinkError,
        MessageHandler,
        Socket, //
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
    peers::{
        Event,
        Settings, //
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

/// Interval between two polls of the membership state machine.
const POLL_INTERVAL: Duration = Duration::from_millis(100);
/// Most concurrent handshakes of incoming connections; further connections are closed. Each
/// unauthenticated connection can make this daemon buffer one message of the maximum size.
const MAX_HANDSHAKES: usize = 16;
/// Longest time for which a stop waits for queued messages to be sent.
const STOP_TIMEOUT: Duration = Duration::from_millis(500);
/// Pause after a failed accept, for example when no file descriptor is free.
const ACCEPT_PAUSE: Duration = Duration::from_millis(100);

/// Counters behind [`Counts`](super::Counts).
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

/// Adds to a counter.
fn increase(counter: &AtomicU64, by: u64) {
    counter.fetch_add(by, Ordering::Relaxed);
}

/// An established link to a peer.
#[derive(Debug)]
pub(super) struct ActiveLink {
    /// Number of the link, which tells it from an earlier link to the same peer.
    serial: u64,
    /// Incarnation of the peer.
    inc: Incarnation,
    /// Whether this link is kept when both sides dialled: the one that the daemon with the lower name
    /// dialled.
    is_preferred: bool,
    pub(super) outbox: Arc<Outbox>,
    /// Task that runs [`serve_link`].
    task: AbortHandle,
}

/// State of the links of a daemon. Locks are taken in the order of the fields.
#[derive(Debug)]
pub(super) struct Shared<M> {
    pub(super) links: Mutex<Links>,
    pub(super) members: Mutex<Membership>,
    pub(super) handshaker: Handshaker,
    events: flume::Sender<Event<M>>,
    pub(super) counters: Counters,
    /// Origin of the times that the membership state machine gets.
    start: Instant,
    /// Wakes the loop of [`run_links`] before its next poll is due.
    pub(super) wake: Notify,
    pub(super) is_stopping: AtomicBool,
}

/// The links and the messages that wait for one.
#[derive(Debug, Default)]
pub(super) struct Links {
    /// Established links by peer.
    pub(super) up: HashMap<DaemonId, ActiveLink>,
    /// Messages for peers without a link, until a link is established or dialling fails.
    waiting: HashMap<DaemonId, Arc<Outbox>>,
    /// Number of the last link.
    serial: u64,
}

/// Locks a mutex, also when a thread panicked while it held the lock.
pub(super) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Encodes a message for the queues of links.
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
            handshaker: Handshaker {
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

    /// Passes an input to the membership state machine.
    pub(super) fn handle(&self, input: Input) {
        lock(&self.members).handle(self.start.elapsed(), input);
    }

    /// Queues a message to `to`; returns whether it was queued. A droppable message needs an
    /// established link; any other one requests a link and waits for it.
    pub(super) fn enqueue(&self, to: &DaemonId, frame: Frame) -> bool {
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

    /// Adds a message to a queue and updates the counters; returns whether it was queued.
    pub(super) fn push(&self, outbox: &Outbox, frame: Frame) -> bool {
        let size = frame.bytes.len();
        if size > self.handshaker.max_message {
            increase(&self.counters.dropped, 1);
            return false;
        }
        let (dropped, is_queued) = outbox.push(frame);
        increase(&self.counters.dropped, dropped);
        if is_queued {
            increase(&self.counters.sent, 1);
            increase(&self.counters.bytes_sent, size as u64);
        }
        is_queued
    }

    /// Counts the end of a link or handshake.
    fn count_error(&self, error: LinkError) {
        match error {
            LinkError::Closed => {}
            LinkError::Refused => increase(&self.counters.refused, 1),
            LinkError::Malformed => increase(&self.counters.malformed, 1),
        }
    }

    /// Removes the link `serial` to `peer`; returns whether it was the current link.
    fn remove_link(&self, peer: &DaemonId, serial: u64) -> bool {
        let mut links = lock(&self.links);
        if links.up.get(peer).is_none_or(|link| link.serial != serial) {
            return false;
        }
        if let Some(link) = links.up.remove(peer) {
            increase(&self.counters.dropped, link.outbox.drain().len() as u64);
        }
        let peer = peer.clone();
        self.handle(Input::Lost { peer });
        true
    }
}

impl<M: Serialize + DeserializeOwned + Send + 'static> Shared<M> {
    /// Makes a new link the current link to its peer, unless the current one is of the same incarnation
    /// and is preferred.
    fn register(self: &Arc<Self>, socket: Socket, ident: Ident, dialled: bool) {
        let mut links = lock(&self.links);
        let is_preferred = dialled == (self.handshaker.ident().id < ident.id);
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
        let running = serve_link(
            self.clone(),
            socket,
            peer.clone(),
            inc.clone(),
            outbox.clone(),
            serial,
        );
        let task = tokio::spawn(running).abort_handle();
        let link = ActiveLink {
            serial,
            inc,
            is_preferred,
            outbox,
            task,
        };
        links.up.insert(peer, link);
    }

    /// Executes an action of the membership state machine.
    async fn execute(self: &Arc<Self>, action: Action) {
        match action {
            Action::Dial { peer, addr } => {
                tokio::spawn(dial(self.clone(), peer, addr));
            }
            Action::Close { peer } => {
                let closed = lock(&self.links).up.remove(&peer);
                if let Some(link) = closed {
                    link.task.abort();
                    increase(&self.counters.dropped, link.outbox.drain().len() as u64);
                    let _ = self.events.send_async(Event::Down { peer }).await;
                }
            }
            Action::Heartbeat { to, beat } => {
                let frame = frame(&Message::<M>::Heartbeat(beat));
                for peer in &to {
                    self.enqueue(peer, frame.clone());
                }
            }
            Action::Versions { to, entries } => {
                self.enqueue(&to, frame(&Message::<M>::Versions(entries)));
            }
            Action::State { peer, state } => {
                let _ = self.events.send_async(Event::State { peer, state }).await;
            }
        }
    }
}

/// Handles the messages that arrive from one peer.
struct Inbox<M> {
    shared: Arc<Shared<M>>,
    peer: DaemonId,
}

impl<M: DeserializeOwned + Send + 'static> MessageHandler for Inbox<M> {
    async fn handle(&self, bytes: &[u8]) -> Result<(), LinkError> {
        let shared = &self.shared;
        increase(&shared.counters.received, 1);
        increase(&shared.counters.bytes_received, bytes.len() as u64);
        let message = decode::<Message<M>>(bytes).map_err(|_| LinkError::Malformed)?;
        let from = self.peer.clone();
        match message {
            Message::Heartbeat(beat) => shared.handle(Input::Heartbeat { from, beat }),
            Message::Versions(entries) => shared.handle(Input::Versions { from, entries }),
            message => {
                let event = Event::Message { from, message };
                // Fails only while the daemon stops and no longer receives events.
                let _ = shared.events.send_async(event).await;
            }
        }
        Ok(())
    }
}

/// Runs the links until the daemon stops: polls the membership state machine and executes its actions.
pub(super) async fn run_links<M>(shared: Arc<Shared<M>>, listener: TcpListener)
where
    M: Serialize + DeserializeOwned + Send + 'static,
{
    match tokio::net::TcpListener::from_std(listener) {
        Ok(listener) => drop(tokio::spawn(accept(shared.clone(), listener))),
        Err(err) => log::error!("cannot accept connections from peers: {err}"),
    }
    while !shared.is_stopping.load(Ordering::Acquire) {
        let actions = lock(&shared.members).poll(shared.start.elapsed());
        for action in actions {
            shared.execute(action).await;
        }
        tokio::select! {
            () = tokio::time::sleep(POLL_INTERVAL) => {}
            () = shared.wake.notified() => {}
        }
    }
    let outboxes: Vec<_> = lock(&shared.links)
        .up
        .values()
        .map(|link| link.outbox.clone())
        .collect();
    outboxes.iter().for_each(|outbox| outbox.close());
    let end = Instant::now() + STOP_TIMEOUT;
    while !lock(&shared.links).up.is_empty() && Instant::now() < end {
        tokio::time::sleep(POLL_INTERVAL / 20).await;
    }
}

/// Accepts connections from peers.
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
            match shared.handshaker.accept(stream).await {
                Ok((socket, ident)) => shared.register(socket, ident, false),
                Err(error) => shared.count_error(error),
            }
            drop(permit);
        });
    }
}

/// Opens a link to `peer`.
async fn dial<M>(shared: Arc<Shared<M>>, peer: DaemonId, addr: SocketAddr)
where
    M: Serialize + DeserializeOwned + Send + 'static,
{
    match shared.handshaker.dial(&peer, addr).await {
        Ok((socket, ident)) => shared.register(socket, ident, true),
        Err(error) => {
            shared.count_error(error);
            let mut links = lock(&shared.links);
            // The peer may have opened a link meanwhile.
            if !links.up.contains_key(&peer) {
                if let Some(outbox) = links.waiting.remove(&peer) {
                    increase(&shared.counters.dropped, outbox.drain().len() as u64);
                }
                shared.handle(Input::Lost { peer });
            }
        }
    }
}

/// Runs an established link until it ends and reports its start and end.
async fn serve_link<M>(
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
    let error = link::run_link(socket, &outbox, &inbox).await;
    shared.count_error(error);
    if shared.remove_link(&peer, serial) {
        let _ = shared.events.send_async(Event::Down { peer }).await;
    }
}
