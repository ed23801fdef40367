//! Admits the connections of one port and drops those that it can't hold.

use std::{
    cell::{
        Cell,
        RefCell, //
    },
    collections::HashMap,
    net::SocketAddr,
    rc::Rc,
    time::{
        Duration,
        Instant, //
    },
};

use prometheus::IntCounterVec;
use tokio::{
    net::TcpStream,
    sync::Notify, //
};

use crate::decide::{
    Claim,
    ClientAccount,
    ClientBounds,
    ClientId,
    Stage, //
};

/// Shortest time between two log lines about dropped clients of a port.
const LOG_INTERVAL: Duration = Duration::from_secs(1);

/// A connection that is open.
#[derive(Debug)]
struct Open {
    address: Option<SocketAddr>,
    dropped: Rc<Notify>,
}

/// The clients of one port.
#[derive(Debug)]
pub struct Clients {
    /// Name of the port in log lines and metrics.
    port: &'static str,
    account: RefCell<ClientAccount>,
    open: RefCell<HashMap<ClientId, Open>>,
    last_id: Cell<ClientId>,
    /// Dropped and refused clients, by port and reason.
    counter: Option<IntCounterVec>,
    /// Clients dropped since the last log line, and the time of that line.
    unlogged: Cell<u64>,
    logged_at: Cell<Option<Instant>>,
}

impl Clients {
    /// Creates the state of a port without connections.
    pub fn new(port: &'static str, bounds: ClientBounds, counter: &IntCounterVec) -> Rc<Clients> {
        Clients::create(port, bounds, Some(counter.clone()))
    }

    /// Creates the state of a port that admits every connection.
    pub(crate) fn unbounded() -> Rc<Clients> {
        let bounds = ClientBounds {
            connections: u64::MAX,
            bytes: u64::MAX,
        };
        Clients::create("-", bounds, None)
    }

    fn create(
        port: &'static str,
        bounds: ClientBounds,
        counter: Option<IntCounterVec>,
    ) -> Rc<Clients> {
        Rc::new(Clients {
            port,
            account: RefCell::new(ClientAccount::new(bounds)),
            open: RefCell::default(),
            last_id: Cell::new(0),
            counter,
            unlogged: Cell::new(0),
            logged_at: Cell::new(None),
        })
    }

    /// Admits an accepted connection; `None` if there are too many that can't be dropped.
    pub(crate) fn admit(self: &Rc<Self>, stream: &TcpStream) -> Option<Client> {
        let id = self.last_id.get() + 1;
        self.last_id.set(id);
        let address = stream.peer_addr().ok();
        let claim = self.account.borrow_mut().open(id, Instant::now());
        self.drop_clients(&claim, "connections");
        if !claim.granted {
            self.record("refused", address);
            return None;
        }
        let dropped = Rc::new(Notify::new());
        let open = Open {
            address,
            dropped: Rc::clone(&dropped),
        };
        self.open.borrow_mut().insert(id, open);
        Some(Client {
            clients: Rc::clone(self),
            id,
            dropped,
            reading: Cell::new(false),
        })
    }

    /// Whether the next connection makes another one close.
    pub(crate) fn is_full(&self) -> bool {
        self.account.borrow().is_full()
    }

    /// Ends the connections that `claim` drops.
    fn drop_clients(&self, claim: &Claim, reason: &'static str) {
        for id in &claim.dropped {
            let Some(open) = self.open.borrow_mut().remove(id) else {
                continue;
            };
            open.dropped.notify_one();
            self.record(reason, open.address);
        }
    }

    /// Counts a dropped or refused client and logs it at most once in [`LOG_INTERVAL`].
    fn record(&self, reason: &'static str, address: Option<SocketAddr>) {
        if let Some(counter) = &self.counter {
            counter.with_label_values(&[self.port, reason]).inc();
        }
        self.unlogged.set(self.unlogged.get() + 1);
        let now = Instant::now();
        let recent = |at: Instant| now.saturating_duration_since(at) < LOG_INTERVAL;
        if self.logged_at.get().is_some_and(recent) {
            return;
        }
        self.logged_at.set(Some(now));
        let account = self.account.borrow();
        log::warn!(
            "event=clients_dropped port={} reason={reason} count={} last={} connections={} bytes={}",
            self.port,
            self.unlogged.take(),
            address.map_or("-".to_owned(), |a| a.to_string()),
            account.connections(),
            account.bytes()
        );
    }
}

/// One admitted connection; leaves the account when it is dropped.
#[derive(Debug)]
pub(crate) struct Client {
    clients: Rc<Clients>,
    id: ClientId,
    dropped: Rc<Notify>,
    /// Whether a request has begun and is not complete.
    reading: Cell<bool>,
}

impl Client {
    /// Whether a request has begun and is not complete.
    pub(crate) fn is_reading(&self) -> bool {
        self.reading.get()
    }

    /// Records what the client does.
    pub(crate) fn set_stage(&self, stage: Stage) {
        self.reading.set(stage == Stage::Reading);
        let mut account = self.clients.account.borrow_mut();
        account.set_stage(self.id, stage, Instant::now());
    }

    /// Records that bytes have arrived and `bytes` are held. Returns whether there is room for them.
    pub(crate) fn hold(&self, bytes: usize) -> bool {
        let mut account = self.clients.account.borrow_mut();
        let claim = account.hold(self.id, bytes as u64, Instant::now());
        drop(account);
        self.clients.drop_clients(&claim, "memory");
        if !claim.granted {
            let open = self.clients.open.borrow();
            let address = open.get(&self.id).and_then(|o| o.address);
            self.clients.record("refused_bytes", address);
        }
        claim.granted
    }

    /// Waits until the connection has to close to make room.
    pub(crate) async fn dropped(&self) {
        self.dropped.notified().await;
    }
}

impl Drop for Client {
    fn drop(&mut self) {
        self.clients.account.borrow_mut().close(self.id);
        self.clients.open.borrow_mut().remove(&self.id);
    }
}
