//! A TCP relay that can be cut, frozen and healed.

use std::{
    collections::HashMap,
    io::{
        self,
        Read,
        Write, //
    },
    net::{
        Shutdown,
        SocketAddr,
        TcpListener,
        TcpStream, //
    },
    sync::{
        Arc,
        Condvar,
        Mutex,
        MutexGuard,
        PoisonError, //
    },
    thread,
    time::Duration, //
};

use serde::{
    Deserialize,
    Serialize, //
};

use crate::server::Server;

/// Pause between two looks at a listener without a waiting connection.
const ACCEPT_PAUSE: Duration = Duration::from_millis(2);
/// Bytes copied at once.
const CHUNK: usize = 16 * 1024;

/// What a relay does with connections.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Mode {
    /// Passes all bytes on.
    #[default]
    Open,
    /// Drops all connections and refuses new ones.
    Cut,
    /// Holds all bytes and new connections.
    Frozen,
    /// The relay has ended.
    #[serde(skip)]
    Stopped,
}

#[derive(Debug, Default)]
struct State {
    mode: Mode,
    /// Client side of each connection, by the port from which the relay connects onwards.
    clients: HashMap<u16, TcpStream>,
    /// Mode that the accepting thread has taken up.
    reached: Mode,
}

#[derive(Debug, Default)]
struct Shared {
    state: Mutex<State>,
    changed: Condvar,
}

impl Shared {
    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Waits while the relay is frozen or its listener is being closed; returns whether it is open
    /// afterwards.
    fn pass(&self) -> bool {
        let is_held = |state: &mut State| match state.mode {
            Mode::Frozen => true,
            Mode::Cut => state.reached != Mode::Cut,
            Mode::Open | Mode::Stopped => false,
        };
        let state = self.changed.wait_while(self.lock(), is_held);
        state.unwrap_or_else(PoisonError::into_inner).mode == Mode::Open
    }
}

/// A running relay; it stops when the last handle is dropped.
#[derive(Debug)]
pub struct Relay {
    shared: Arc<Shared>,
    addr: SocketAddr,
}

impl Relay {
    /// Listens on `listen` and relays each connection to `to`.
    ///
    /// # Errors
    ///
    /// Fails when `listen` is in use.
    ///
    /// # Examples
    ///
    /// ```
    /// use cuminloom_standins::relay::{Mode, Relay};
    /// let any = "127.0.0.1:0".parse().unwrap();
    /// let relay = Relay::bind(any, "127.0.0.1:1".parse().unwrap()).unwrap();
    /// relay.set(Mode::Cut);
    /// assert!(std::net::TcpStream::connect(relay.addr()).is_err());
    /// ```
    pub fn bind(listen: SocketAddr, to: SocketAddr) -> io::Result<Self> {
        let listener = TcpListener::bind(listen)?;
        listener.set_nonblocking(true)?;
        let addr = listener.local_addr()?;
        let shared = Arc::new(Shared::default());
        let accepting = shared.clone();
        thread::spawn(move || accept(&accepting, listener, addr, to));
        Ok(Self { shared, addr })
    }

    /// Address on which the relay listens.
    ///
    /// # Examples
    ///
    /// ```
    /// let any = "127.0.0.1:0".parse().unwrap();
    /// let relay = cuminloom_standins::relay::Relay::bind(any, any).unwrap();
    /// assert_ne!(relay.addr().port(), 0);
    /// ```
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Cuts, freezes or heals the relay; returns when the change is in force.
    ///
    /// # Examples
    ///
    /// ```
    /// use cuminloom_standins::relay::{Mode, Relay};
    /// let any = "127.0.0.1:0".parse().unwrap();
    /// let relay = Relay::bind(any, any).unwrap();
    /// relay.set(Mode::Frozen);
    /// relay.set(Mode::Open);
    /// ```
    pub fn set(&self, mode: Mode) {
        let mut state = self.shared.lock();
        state.mode = mode;
        self.shared.changed.notify_all();
        let pending = |state: &mut State| state.reached != mode && state.mode == mode;
        drop(self.shared.changed.wait_while(state, pending));
    }

    /// Closes the connection that the relay made from `port`.
    pub(crate) fn close(&self, port: u16) {
        if let Some(client) = self.shared.lock().clients.remove(&port) {
            let _ = client.shutdown(Shutdown::Both);
        }
    }

    /// Whether the client of the connection that the relay made from `port` has closed it.
    pub(crate) fn gone(&self, port: u16) -> bool {
        !self.shared.lock().clients.contains_key(&port)
    }
}

impl Drop for Relay {
    fn drop(&mut self) {
        let mut state = self.shared.lock();
        state.mode = Mode::Stopped;
        drop_clients(&mut state);
        self.shared.changed.notify_all();
    }
}

fn drop_clients(state: &mut State) {
    for (_, client) in state.clients.drain() {
        let _ = client.shutdown(Shutdown::Both);
    }
}

/// Accepts connections. The listener is closed while the relay is cut, so that clients see a
/// refused connection and not an accepted one that breaks.
fn accept(shared: &Arc<Shared>, first: TcpListener, addr: SocketAddr, to: SocketAddr) {
    let mut listener = Some(first);
    loop {
        let mode = shared.lock().mode;
        match mode {
            Mode::Stopped => return,
            Mode::Cut => listener = None,
            Mode::Open | Mode::Frozen if listener.is_none() => listener = listen(addr).ok(),
            Mode::Open | Mode::Frozen => {}
        }
        if listener.is_some() || mode == Mode::Cut {
            let mut state = shared.lock();
            if mode == Mode::Cut {
                // The listener is closed before, so that a client that saw its connection end can
                // not connect again.
                drop_clients(&mut state);
            }
            state.reached = mode;
            drop(state);
            shared.changed.notify_all();
        }
        let accepted = listener.as_ref().filter(|_| mode == Mode::Open);
        match accepted.map(TcpListener::accept) {
            Some(Ok((client, _))) => {
                // A failed connection is closed by dropping `client`.
                let _ = join(shared, client, to);
            }
            _ => thread::sleep(ACCEPT_PAUSE),
        }
    }
}

fn listen(addr: SocketAddr) -> io::Result<TcpListener> {
    let listener = TcpListener::bind(addr)?;
    listener.set_nonblocking(true)?;
    Ok(listener)
}

fn join(shared: &Arc<Shared>, client: TcpStream, to: SocketAddr) -> io::Result<()> {
    client.set_nonblocking(false)?;
    client.set_nodelay(true)?;
    let server = TcpStream::connect(to)?;
    server.set_nodelay(true)?;
    let port = server.local_addr()?.port();
    let (from_client, from_server) = (client.try_clone()?, server.try_clone()?);
    let closer = client.try_clone()?;
    {
        let mut state = shared.lock();
        if matches!(state.mode, Mode::Cut | Mode::Stopped) {
            return Ok(());
        }
        state.clients.insert(port, closer);
    }
    for (from, into) in [(from_client, server), (from_server, client)] {
        let shared = shared.clone();
        thread::spawn(move || {
            copy(&shared, &from, &into);
            shared.lock().clients.remove(&port);
            let _ = from.shutdown(Shutdown::Both);
            let _ = into.shutdown(Shutdown::Both);
        });
    }
    Ok(())
}

/// Copies until either side closes. A client that closes only its sending half counts as gone, which
/// the HTTP clients used here never do.
fn copy(shared: &Shared, mut from: &TcpStream, mut into: &TcpStream) {
    let mut chunk = [0; CHUNK];
    loop {
        match from.read(&mut chunk) {
            Ok(0) | Err(_) => return,
            Ok(size) => {
                if !shared.pass() || into.write_all(&chunk[..size]).is_err() {
                    return;
                }
            }
        }
    }
}

/// A change of one relay or of all.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Control {
    /// Name of the relay; all when absent.
    pub name: Option<String>,
    /// What it does from now on.
    pub mode: Mode,
}

/// Named relays with a control port.
#[derive(Debug)]
pub struct Relays {
    relays: Arc<Vec<(String, Relay)>>,
    control: Server,
}

impl Relays {
    /// Binds a relay for each name, the n-th one to the n-th address of `to`.
    ///
    /// # Errors
    ///
    /// Fails when an address is in use.
    ///
    /// # Examples
    ///
    /// ```
    /// use cuminloom_standins::relay::Relays;
    /// let any = "127.0.0.1:0".parse().unwrap();
    /// let relays = Relays::bind(&[("a-b".into(), any)], &[any], any).unwrap();
    /// assert_eq!(relays.addrs().len(), 2);
    /// ```
    pub fn bind(
        listen: &[(String, SocketAddr)],
        to: &[SocketAddr],
        control: SocketAddr,
    ) -> io::Result<Self> {
        let pairs = listen.iter().zip(to);
        let relays = pairs.map(|((name, addr), to)| Ok((name.clone(), Relay::bind(*addr, *to)?)));
        let relays: Arc<Vec<_>> = Arc::new(relays.collect::<io::Result<_>>()?);
        let controlled = relays.clone();
        let control = Server::bind(control, move |call| {
            call.with_json(|call, change: Control| {
                let wanted = |name: &str| change.name.as_deref().is_none_or(|only| only == name);
                let relays = controlled.iter().filter(|(name, _)| wanted(name));
                relays.for_each(|(_, relay)| relay.set(change.mode));
                call.answer(200, &());
            });
        })?;
        Ok(Self { relays, control })
    }

    /// Names and addresses of the relays; the last one is `control`.
    ///
    /// # Examples
    ///
    /// ```
    /// let any = "127.0.0.1:0".parse().unwrap();
    /// let relays = cuminloom_standins::relay::Relays::bind(&[], &[], any).unwrap();
    /// assert_eq!(relays.addrs()[0].0, "control");
    /// ```
    pub fn addrs(&self) -> Vec<(String, SocketAddr)> {
        let relays = self.relays.iter();
        let mut addrs: Vec<_> = relays
            .map(|(name, relay)| (name.clone(), relay.addr()))
            .collect();
        addrs.push(("control".into(), self.control.addr()));
        addrs
    }
}
