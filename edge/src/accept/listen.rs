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

/// Accepts connections at `address` and serves each in its own task.
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
                    sleep(ACCEPT_RETRY_DELAY).await;
                }
            }
        }
    });
    Ok(Listener { task, address })
}
