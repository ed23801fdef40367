//! The thread that runs the links.

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
        drive,
        frame,
        lock, //
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
    /// Known daemons, without this one.
    pub peers: Vec<Peer>,
    /// The fleet secret.
    pub secret: Vec<u8>,
    /// Longest message, in bytes.
    pub max_message: usize,
    /// Seed of the random pauses between attempts to connect.
    pub seed: u64,
}

/// What happens on the links.
#[derive(Clone, Debug, PartialEq)]
pub enum Event<M> {
    /// A link is established. A second `Up` without a `Down` between them means that another link
    /// replaced the old one, and that messages may have been lost.
    Up {
        /// The peer.
        peer: DaemonId,
        /// Its incarnation.
        inc: Incarnation,
    },
    /// The link was lost; messages that were on their way may not have arrived.
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
    /// A message other than a heartbeat or versions.
    Message {
        /// The sender.
        from: DaemonId,
        /// The message.
        message: Message<M>,
    },
}

/// The address for peers is in use or not of this host.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct BindError(pub SocketAddr);

impl fmt::Display for BindError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "cannot listen for peers on {}", self.0)
    }
}

impl Error for BindError {}

/// Counters of all links since the start. Bytes are those of messages, without framing.
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
    /// Messages that were not sent because a queue was full or a link was lost before.
    pub dropped: u64,
    /// Links closed because of malformed or oversized messages.
    pub malformed: u64,
    /// Handshakes refused.
    pub refused: u64,
}

/// The running links of a daemon; dropping it stops them.
#[derive(Debug)]
pub struct Peers<M> {
    shared: Arc<Shared<M>>,
    addr: SocketAddr,
    thread: Option<JoinHandle<()>>,
}

impl<M: Serialize + DeserializeOwned + Send + 'static> Peers<M> {
    /// Listens for peers and starts to dial them. Messages from a peer wait while `events` is full,
    /// and so do heartbeats: a daemon that does not take in messages becomes suspect.
    ///
    /// # Errors
    ///
    /// Fails when the address is in use.
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
        let fault = BindError(settings.listen);
        let listener = TcpListener::bind(settings.listen).change_context(fault)?;
        listener.set_nonblocking(true).change_context(fault)?;
        let addr = listener.local_addr().change_context(fault)?;
        if settings.ident.addr.port() == 0 {
            settings.ident.addr.set_port(addr.port());
        }
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_io()
            .enable_time()
            .build()
            .change_context(fault)?;
        let shared = Arc::new(Shared::new(settings, events));
        let running = shared.clone();
        let run = move || runtime.block_on(drive(running, listener));
        let builder = thread::Builder::new().name("peers".into());
        let thread = builder.spawn(run).change_context(fault)?;
        Ok(Self {
            shared,
            addr,
            thread: Some(thread),
        })
    }
}

impl<M: Serialize> Peers<M> {
    /// Queues a message to `to` and opens a link when there is none. Returns whether the message was
    /// queued; it is not when the peer is unknown, the queue is full or the message is too long. A
    /// queued message is lost when the link is.
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
        self.shared.queue(to, frame)
    }

    /// Queues a message to all linked peers; returns to how many.
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
    /// Address on which the daemon listens for peers.
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Tells the membership machine about the list of VMs, the configuration in force, a stop or a
    /// new incarnation.
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
            lock(&self.shared.identity.ident).inc = inc.clone();
        }
        self.shared.handle(input);
    }

    /// Looks at the membership machine; links wait meanwhile, so `look` should be short.
    ///
    /// # Examples
    ///
    /// ```no_run
    /// # let peers: cuminloom::peer::Peers<()> = todo!();
    /// let highest = peers.members(|members| members.versions().iter().map(|(_, v)| v).max());
    /// ```
    pub fn members<T>(&self, look: impl FnOnce(&Membership) -> T) -> T {
        look(&lock(&self.shared.members))
    }

    /// The counters of all links.
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

    /// Sends what is queued, closes all links and ends the thread.
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
