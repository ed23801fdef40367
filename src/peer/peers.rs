//! Handle of the thread that runs the links to peers.

use std::{
    error::Error,
    fmt,
    net::{
        SocketAddr,
        TcpListener, //
    },
    sync::{
        Arc,
        atomic::{
            AtomicU64,
            Ordering, //
        },
    },
    thread::{
        self,
        JoinHandle, //
    },
};

use error_stack::{
    Report,
    ResultExt, //
};
use serde::{
    Serialize,
    de::DeserializeOwned, //
};

use super::{
    membership::Membership,
    message::{
        Ident,
        Message, //
    },
    shared::{
        Shared,
        frame,
        lock,
        run_links, //
    },
    view::{
        Input,
        PeerState, //
    },
};
use crate::{
    model::{
        DaemonId,
        Incarnation, //
    },
    settings::Peer,
};

/// Settings of the links of one daemon.
#[derive(Clone, Debug)]
pub struct Settings {
    /// What this daemon states about itself; a port 0 in `addr` is replaced by the one bound.
    pub ident: Ident,
    /// Address to listen on.
    pub listen: SocketAddr,
    /// Other daemons of the fleet that are known at the start.
    pub peers: Vec<Peer>,
    /// The fleet secret.
    pub secret: Vec<u8>,
    /// Longest message, in bytes.
    pub max_message: usize,
    /// Seed of the random part of the delay between attempts to connect.
    pub seed: u64,
}

/// Something that happened on a link.
#[derive(Clone, Debug, PartialEq)]
pub enum Event<M> {
    /// A link is established. A second `Up` without a `Down` in between means that a new link replaced
    /// the old one and that messages may have been lost.
    Up {
        /// The peer.
        peer: DaemonId,
        /// Its incarnation.
        inc: Incarnation,
    },
    /// The link was lost; messages in flight may not have arrived.
    Down {
        /// The peer.
        peer: DaemonId,
    },
    /// A peer changed between alive and suspect.
    State {
        /// The peer.
        peer: DaemonId,
        /// Its new state.
        state: PeerState,
    },
    /// A message arrived that is neither a heartbeat nor a list of versions.
    Message {
        /// The sender.
        from: DaemonId,
        /// The message.
        message: Message<M>,
    },
}

/// The listener for peers could not be started, for example because the address is in use.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct BindError(pub SocketAddr);

impl fmt::Display for BindError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "cannot listen for peers on {}", self.0)
    }
}

impl Error for BindError {}

/// Counters of all links since the start. Bytes are those of the messages without framing.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    /// Messages queued for sending.
    pub sent: u64,
    /// Bytes queued for sending.
    pub bytes_sent: u64,
    /// Messages received.
    pub received: u64,
    /// Bytes received.
    pub bytes_received: u64,
    /// Messages that were dropped because a queue was full or the link was lost.
    pub dropped: u64,
    /// Links closed because of malformed or oversized messages.
    pub malformed: u64,
    /// Handshakes that failed authentication.
    pub refused: u64,
}

/// Handle of the links of a daemon; dropping it stops them.
#[derive(Debug)]
pub struct Peers<M> {
    shared: Arc<Shared<M>>,
    addr: SocketAddr,
    thread: Option<JoinHandle<()>>,
}

impl<M: Serialize + DeserializeOwned + Send + 'static> Peers<M> {
    /// Listens for peers and starts to connect to them. While `events` is full, no messages are read
    /// from peers and heartbeats are delayed too, so a daemon that does not process its events becomes
    /// suspect.
    ///
    /// # Errors
    ///
    /// Fails when the address can't be bound or the thread can't be started.
    ///
    /// # Examples
    ///
    /// ```
    /// use cuminloom::peer::{Ident, Peers, Settings};
    /// let settings = Settings {
    ///     ident: Ident {
    ///         id: "vm-1".into(),
    ///         inc: "vm-1.0".into(),
    ///         dc: "east".into(),
    ///         vm: "vm-1".into(),
    ///         addr: "127.0.0.1:0".parse().unwrap(),
    ///         started: 1,
    ///     },
    ///     listen: "127.0.0.1:0".parse().unwrap(),
    ///     peers: Vec::new(),
    ///     secret: b"secret of the fleet".to_vec(),
    ///     max_message: 1 << 20,
    ///     seed: 1,
    /// };
    /// let (sender, _events) = flume::unbounded();
    /// let peers: Peers<()> = Peers::bind(settings, sender).unwrap();
    /// assert_ne!(peers.addr().port(), 0);
    /// peers.stop();
    /// ```
    pub fn bind(
        mut settings: Settings,
        events: flume::Sender<Event<M>>,
    ) -> Result<Self, Report<BindError>> {
        let error = BindError(settings.listen);
        let listener = TcpListener::bind(settings.listen).change_context(error)?;
        listener.set_nonblocking(true).change_context(error)?;
        let addr = listener.local_addr().change_context(error)?;
        if settings.ident.addr.port() == 0 {
            settings.ident.addr.set_port(addr.port());
        }
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_io()
            .enable_time()
            .build()
            .change_context(error)?;
        let shared = Arc::new(Shared::new(settings, events));
        let running = shared.clone();
        let run = move || runtime.block_on(run_links(running, listener));
        let builder = thread::Builder::new().name("peers".into());
        let thread = builder.spawn(run).change_context(error)?;
        Ok(Self {
            shared,
            addr,
            thread: Some(thread),
        })
    }
}

impl<M: Serialize> Peers<M> {
    /// Queues a message to `to` and opens a link when there is none. Returns `false` when the peer is
    /// unknown, the queue is full or the message is too long. A queued message is lost when its link
    /// is lost.
    ///
    /// # Examples
    ///
    /// ```no_run
    /// use cuminloom::peer::{Message, Peers};
    /// # let peers: Peers<()> = todo!();
    /// peers.send(&"vm-2".into(), &Message::Notice { version: 7 });
    /// ```
    pub fn send(&self, to: &DaemonId, message: &Message<M>) -> bool {
        let frame = frame(message);
        self.shared.enqueue(to, frame)
    }

    /// Queues a message to all linked peers; returns the number of peers.
    ///
    /// # Examples
    ///
    /// ```no_run
    /// use cuminloom::peer::{Message, Peers};
    /// # let peers: Peers<()> = todo!();
    /// peers.broadcast(&Message::Notice { version: 7 });
    /// ```
    pub fn broadcast(&self, message: &Message<M>) -> usize {
        let frame = frame(message);
        let links = lock(&self.shared.links);
        let outboxes = links.up.values().map(|link| &link.outbox);
        outboxes
            .filter(|outbox| self.shared.push(outbox, frame.clone()))
            .count()
    }
}

impl<M> Peers<M> {
    /// Address on which the daemon listens for peers, with the port that was bound.
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Passes an input to the membership state machine: the list of VMs, the configuration in force,
    /// a stop or a new incarnation.
    ///
    /// # Examples
    ///
    /// ```no_run
    /// use cuminloom::peer::{Input, Peers};
    /// # let peers: Peers<()> = todo!();
    /// peers.update(Input::Config(7));
    /// ```
    pub fn update(&self, input: Input) {
        if let Input::Restarted(inc) = &input {
            lock(&self.shared.handshaker.ident).inc = inc.clone();
        }
        self.shared.handle(input);
    }

    /// Calls `read` with the membership state machine. The links are blocked meanwhile, so `read` must
    /// be short.
    ///
    /// # Examples
    ///
    /// ```no_run
    /// # let peers: cuminloom::peer::Peers<()> = todo!();
    /// let highest = peers.members(|members| members.versions().iter().map(|(_, v)| v).max());
    /// ```
    pub fn members<T>(&self, read: impl FnOnce(&Membership) -> T) -> T {
        read(&lock(&self.shared.members))
    }

    /// Current counters of all links.
    ///
    /// # Examples
    ///
    /// ```no_run
    /// # let peers: cuminloom::peer::Peers<()> = todo!();
    /// println!("{} messages sent", peers.counts().sent);
    /// ```
    pub fn counts(&self) -> Counts {
        let counters = &self.shared.counters;
        let read = |counter: &AtomicU64| counter.load(Ordering::Relaxed);
        Counts {
            sent: read(&counters.sent),
            bytes_sent: read(&counters.bytes_sent),
            received: read(&counters.received),
            bytes_received: read(&counters.bytes_received),
            dropped: read(&counters.dropped),
            malformed: read(&counters.malformed),
            refused: read(&counters.refused),
        }
    }

    /// Sends the queued messages, closes all links and ends the thread.
    pub fn stop(self) {}
}

impl<M> Drop for Peers<M> {
    fn drop(&mut self) {
        self.shared.is_stopping.store(true, Ordering::Release);
        self.shared.wake.notify_one();
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}
