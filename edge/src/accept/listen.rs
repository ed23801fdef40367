//! Binds a listener and accepts connections.

use std::{
    io,
    net::SocketAddr,
    rc::Rc,
    time::Duration, //
};

use tokio::{
    net::{
        TcpListener,
        TcpSocket,
        TcpStream, //
    },
    task::{
        JoinHandle,
        spawn_local,
        yield_now, //
    },
    time::sleep, //
};

use super::{
    Client, Clients, Handler,
    connection::{
        serve_connection,
        try_reject, //
    },
};

/// Length of the accept queue, in connections.
const BACKLOG: u32 = 1024;

/// Delay after a failed accept, for example when file descriptors have run out.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// A running listener.
#[derive(Debug)]
pub struct Listener {
    task: JoinHandle<()>,
    /// Address to which it is bound.
    pub address: SocketAddr,
}

impl Listener {
    /// Stops accepting connections; open ones are not affected.
    pub fn close(&self) {
        self.task.abort();
    }
}

/// Binds a listening socket with `SO_REUSEADDR`.
pub(crate) fn listen(address: SocketAddr) -> io::Result<TcpListener> {
    let socket = match address {
        SocketAddr::V4(_) => TcpSocket::new_v4()?,
        SocketAddr::V6(_) => TcpSocket::new_v6()?,
    };
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    socket.listen(BACKLOG)
}

/// Accepts connections and passes those that are admitted to `serve`, and the others to `refuse`.
pub(crate) async fn accept_clients(
    listener: TcpListener,
    clients: Rc<Clients>,
    serve: impl Fn(TcpStream, Client),
    refuse: impl Fn(&TcpStream),
) {
    loop {
        let stream = match listener.accept().await {
            Ok((stream, _)) => stream,
            Err(e) => {
                log::warn!("event=accept_failed error=\"{e}\"");
                sleep(ACCEPT_RETRY_DELAY).await;
                continue;
            }
        };
        match clients.admit(&stream) {
            Some(client) => serve(stream, client),
            None => refuse(&stream),
        }
        if clients.is_full() {
            // Dropped connections close before others are accepted.
            yield_now().await;
        }
    }
}

/// Accepts connections at `address`, without a bound, and serves each in its own task.
///
/// # Errors
///
/// Fails if the address can't be bound.
pub fn bind<H: Handler>(handler: &Rc<H>, address: SocketAddr) -> io::Result<Listener> {
    bind_bounded(handler, address, &Clients::unbounded())
}

/// Like [`bind`], within the bounds of `clients`.
///
/// # Errors
///
/// Fails if the address can't be bound.
pub fn bind_bounded<H: Handler>(
    handler: &Rc<H>,
    address: SocketAddr,
    clients: &Rc<Clients>,
) -> io::Result<Listener> {
    let listener = listen(address)?;
    let address = listener.local_addr()?;
    let (own, handler) = (Rc::clone(handler), Rc::clone(handler));
    let serve = move |stream, client| {
        spawn_local(serve_connection(Rc::clone(&own), stream, client));
    };
    let refuse = move |stream: &TcpStream| try_reject(&*handler, stream);
    let task = spawn_local(accept_clients(listener, Rc::clone(clients), serve, refuse));
    Ok(Listener { task, address })
}
