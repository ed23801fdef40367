//! Connection to a daemon at which tokens are reserved.

use std::{
    cell::{
        Cell,
        RefCell, //
    },
    collections::HashMap,
    io,
    net::SocketAddr,
    rc::Rc,
    time::{
        Duration,
        Instant, //
    },
};

use futures_util::{
    SinkExt,
    StreamExt, //
};
use tokio::{
    net::TcpStream,
    sync::Notify,
    task::spawn_local,
    time::{
        sleep,
        timeout, //
    },
};
use tokio_tungstenite::{
    WebSocketStream,
    client_async, //
};

use super::{
    GrantsKnown,
    PassedLoad,
    PeerMessage,
    ReserveOutcome,
    ReserveReply,
    ReserveRequest,
    Settlement,
    decode,
    decode_text,
    encode_for_link, //
};
use crate::{
    http::{
        ConnectionError,
        LinkActivity,
        configure_stream, //
    },
    prepaid::GrantNotice,
};

/// Longest time for opening a connection, with the WebSocket handshake.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);

/// Pause before a connection is opened again to deliver a settlement.
const RECONNECT_PAUSE: Duration = Duration::from_millis(500);

/// Attempts to deliver a settlement. The holder charges the whole reservation when it expires.
const MAX_DELIVERIES: u32 = 20;

/// Time for which a daemon that failed to reply is not asked; doubled with each further failure up to
/// [`MAX_DOWN_TIME`].
const MIN_DOWN_TIME: Duration = Duration::from_millis(500);

/// Longest time for which a daemon is not asked.
const MAX_DOWN_TIME: Duration = Duration::from_secs(4);

/// Link to one daemon. It connects when there is something to send.
#[derive(Debug)]
pub struct PeerLink {
    address: SocketAddr,
    /// Activity and delay of this VM's link.
    activity: Rc<LinkActivity>,
    outgoing: flume::Sender<PeerMessage>,
    /// Reservations without a final reply.
    pending: RefCell<HashMap<u64, flume::Sender<ReserveOutcome>>>,
    /// Notices that it has not acknowledged, by number of the write.
    untold: RefCell<Vec<(u64, flume::Sender<()>)>>,
    /// Time until which the daemon is not asked.
    down_until: Cell<Option<Instant>>,
    /// Time for which the next failure keeps the daemon from being asked.
    down_time: Cell<Duration>,
    /// Ends the connection, so that the next message opens a new one.
    reset: Notify,
}

impl PeerLink {
    /// Spawns the link to the daemon at `address` on the current `LocalSet`.
    pub fn spawn(address: SocketAddr, activity: Rc<LinkActivity>) -> Rc<PeerLink> {
        let (outgoing, queue) = flume::unbounded();
        let link = Rc::new(PeerLink {
            address,
            activity,
            outgoing,
            pending: RefCell::default(),
            untold: RefCell::default(),
            down_until: Cell::new(None),
            down_time: Cell::new(MIN_DOWN_TIME),
            reset: Notify::new(),
        });
        spawn_local(Rc::clone(&link).run(queue));
        link
    }

    /// Address of the daemon.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Whether the daemon failed to reply recently.
    pub fn is_down(&self, now: Instant) -> bool {
        self.down_until.get().is_some_and(|until| now < until)
    }

    /// Records that the daemon failed to reply.
    pub fn mark_down(&self, now: Instant) {
        if self.is_down(now) {
            return;
        }
        let time = self.down_time.get();
        self.down_until.set(Some(now + time));
        self.down_time.set((time * 2).min(MAX_DOWN_TIME));
    }

    /// Records that the daemon was silent, and closes the connection: a connection may go silent for good
    /// while a new one works.
    pub fn give_up(&self, now: Instant) {
        self.mark_down(now);
        self.reset.notify_waiters();
    }

    /// Sends a reservation. The receiver yields its outcomes, and ends if the connection fails.
    pub fn reserve(&self, request: ReserveRequest) -> flume::Receiver<ReserveOutcome> {
        let (sender, receiver) = flume::unbounded();
        self.pending.borrow_mut().insert(request.number, sender);
        self.send(PeerMessage::Reserve { reserve: request });
        receiver
    }

    /// Ends a reservation, also one whose outcome is not known.
    pub fn settle(&self, settlement: Settlement) {
        self.pending.borrow_mut().remove(&settlement.number);
        self.send(PeerMessage::Settle { settle: settlement });
    }

    /// Asks the daemon to return its reserve of `customer`.
    pub fn reclaim(&self, customer: &str) {
        self.send(PeerMessage::Reclaim {
            reclaim: customer.to_owned(),
        });
    }

    /// Sends a notice. The receiver yields its acknowledgement, and ends if the connection fails.
    pub fn tell(&self, grants: GrantNotice) -> flume::Receiver<()> {
        let (sender, receiver) = flume::bounded(1);
        self.untold.borrow_mut().push((grants.number, sender));
        self.send(PeerMessage::Grants { grants });
        receiver
    }

    /// Passes load reports on, unless the daemon is not reached or earlier messages wait: late reports are of
    /// no use, and must not delay reservations.
    pub fn pass_loads(&self, loads: Vec<PassedLoad>, now: Instant) {
        if !self.is_down(now) && self.outgoing.is_empty() {
            self.send(PeerMessage::Loads { loads });
        }
    }

    /// Queues a message.
    fn send(&self, message: PeerMessage) {
        if self.outgoing.send(message).is_err() {
            log::warn!("event=peer_link_closed peer={}", self.address);
        }
    }

    /// Sends the queued messages, over a new connection after each failure.
    async fn run(self: Rc<Self>, queue: flume::Receiver<PeerMessage>) {
        while let Ok(message) = queue.recv_async().await {
            let Some(socket) = self.connect_for(&message).await else {
                continue;
            };
            if let Err(e) = self.exchange(socket, message, &queue).await {
                log::info!("event=peer_link_lost peer={} error=\"{e}\"", self.address);
            }
            self.drop_pending();
        }
    }

    /// Ends the wait for all replies.
    fn drop_pending(&self) {
        self.pending.borrow_mut().clear();
        self.untold.borrow_mut().clear();
    }

    /// Connects to send `message`; `None` if that failed. Only settlements are worth another attempt.
    async fn connect_for(&self, message: &PeerMessage) -> Option<WebSocketStream<TcpStream>> {
        for _ in 0..MAX_DELIVERIES {
            let error = match self.open().await {
                Ok(socket) => return Some(socket),
                Err(error) => error,
            };
            log::info!(
                "event=peer_unreachable peer={} error=\"{error}\"",
                self.address
            );
            self.drop_pending();
            if !matches!(message, PeerMessage::Settle { .. }) {
                return None;
            }
            sleep(RECONNECT_PAUSE).await;
        }
        log::warn!(
            "event=settlement_dropped peer={} message=\"{message:?}\"",
            self.address
        );
        None
    }

    /// Opens the connection. Marks the daemon as down if the failure tells something about it.
    async fn open(&self) -> Result<WebSocketStream<TcpStream>, ConnectionError> {
        let begun = Instant::now();
        let limit = CONNECT_TIMEOUT + self.activity.allowance(begun);
        let opened = timeout(limit, self.connect())
            .await
            .unwrap_or_else(|_| Err(io::ErrorKind::TimedOut.into()))
            .map_err(ConnectionError::Connect);
        let now = Instant::now();
        match &opened {
            Ok(_) => self.activity.record(now),
            Err(e) if e.is_local() => {}
            Err(e) if e.is_timeout() && !self.activity.is_conclusive(begun, limit, now) => {}
            Err(_) => self.mark_down(now),
        }
        opened
    }

    /// Connects and makes the WebSocket handshake.
    async fn connect(&self) -> io::Result<WebSocketStream<TcpStream>> {
        let stream = TcpStream::connect(self.address).await?;
        configure_stream(&stream);
        let url = format!("ws://{}/", self.address);
        let (socket, _) = client_async(url, stream)
            .await
            .map_err(|e| io::Error::new(io::ErrorKind::ConnectionAborted, e))?;
        Ok(socket)
    }

    /// Sends `first` and then the queued messages, and passes on the replies, until the connection
    /// fails.
    async fn exchange(
        &self,
        socket: WebSocketStream<TcpStream>,
        first: PeerMessage,
        queue: &flume::Receiver<PeerMessage>,
    ) -> io::Result<()> {
        let (mut sink, mut replies) = socket.split();
        sink.send(encode_for_link(&first)?)
            .await
            .map_err(io::Error::other)?;
        loop {
            tokio::select! {
                () = self.reset.notified() => return Err(io::ErrorKind::TimedOut.into()),
                message = queue.recv_async() => {
                    let Ok(message) = message else {
                        return Ok(());
                    };
                    sink.send(encode_for_link(&message)?).await.map_err(io::Error::other)?;
                }
                reply = replies.next() => {
                    let Some(message) = reply.transpose().map_err(io::Error::other)? else {
                        return Err(io::ErrorKind::UnexpectedEof.into());
                    };
                    if message.is_binary() {
                        self.deliver(decode(&message)?);
                    } else if message.is_text() {
                        self.confirm_told(decode_text(&message)?);
                    }
                }
            }
        }
    }

    /// Passes an acknowledgement to those that wait for it. Notices arrive in order, so it covers all before it.
    fn confirm_told(&self, reply: GrantsKnown) {
        self.down_until.set(None);
        self.down_time.set(MIN_DOWN_TIME);
        let mut untold = self.untold.borrow_mut();
        untold.retain(|(number, told)| {
            let covered = *number <= reply.known;
            // Nobody waits for a late one any more.
            let _ = covered.then(|| told.try_send(()));
            !covered
        });
    }

    /// Passes a reply to the request that waits for it.
    fn deliver(&self, reply: ReserveReply) {
        self.down_until.set(None);
        self.down_time.set(MIN_DOWN_TIME);
        let is_final = reply.outcome != ReserveOutcome::Waiting;
        let mut pending = self.pending.borrow_mut();
        let delivered = match pending.get(&reply.number) {
            Some(sender) => sender.send(reply.outcome).is_ok(),
            None => false,
        };
        if is_final || !delivered {
            pending.remove(&reply.number);
        }
    }
}
