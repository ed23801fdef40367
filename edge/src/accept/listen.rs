//! Accepting callers' connections.

use std::{
    io,
    net::SocketAddr,
    rc::Rc,
    time::Duration, //
};

use tokio::{
    net::{
        TcpListener,
        TcpSocket, //
    },
    task::{
        JoinHandle,
        spawn_local, //
    },
    time::sleep, //
};

use super::{
    Handler,
    connection::serve_connection, //
};

/// Connections that may wait to be accepted.
const BACKLOG: u32 = 1024;

/// Pause after a failure to accept, such as a lack of descriptors.
const PAUSE: Duration = Duration::from_millis(50);

/// A running listener.
#[derive(Debug)]
pub struct Listener {
    task: JoinHandle<()>,
    /// Address that it is bound to.
    pub address: SocketAddr,
}

impl Listener {
    /// Takes no more connections.
    pub fn close(&self) {
        self.task.abort();
    }
}

/// Binds a listening socket.
pub(crate) fn listen(address: SocketAddr) -> io::Result<TcpListener> {
    let socket = match address {
        SocketAddr::V4(_) => TcpSocket::new_v4()?,
        SocketAddr::V6(_) => TcpSocket::new_v6()?,
    };
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    socket.listen(BACKLOG)
}

/// Accepts callers at `address` and serves each in a task of its own.
///
/// # Errors
///
/// Fails if the address can't be bound.
pub fn bind<H: Handler>(handler: &Rc<H>, address: SocketAddr) -> io::Result<Listener> {
    let listener = listen(address)?;
    let address = listener.local_addr()?;
    let handler = Rc::clone(handler);
    let task = spawn_local(async move {
        loop {
            match listener.accept().await {
                Ok((stream, _)) => {
                    spawn_local(serve_connection(Rc::clone(&handler), stream));
                }
                Err(e) => {
                    log::warn!("event=accept_failed error=\"{e}\"");
                    sleep(PAUSE).await;
                }
            }
        }
    });
    Ok(Listener { task, address })
}
