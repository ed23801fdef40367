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
    Core,
    client::serve_client, //
};
use crate::border::Dialect;

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
pub(super) fn listen(address: SocketAddr) -> io::Result<TcpListener> {
    let socket = TcpSocket::new_v4()?;
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    socket.listen(BACKLOG)
}

/// Accepts callers at `address` and serves each in a task of its own.
///
/// # Errors
///
/// Fails if the address can't be bound.
pub fn bind<D: Dialect>(core: &Rc<Core<D>>, address: SocketAddr) -> io::Result<Listener> {
    let listener = listen(address)?;
    let address = listener.local_addr()?;
    let core = Rc::clone(core);
    let task = spawn_local(async move {
        loop {
            match listener.accept().await {
                Ok((stream, _)) => {
                    spawn_local(serve_client(Rc::clone(&core), stream));
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
