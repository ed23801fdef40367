//! Interface between a listener and the program that handles its requests.

use std::{
    cell::Cell,
    future::Future,
    rc::Rc, //
};

use bytes::Bytes;
use tokio::{
    net::TcpStream,
    sync::Notify, //
};

use crate::{
    catalog::Limits,
    http::RequestHead, //
};

/// Why a request is rejected before it is handled.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Rejection {
    /// HTTP status code.
    pub status: u16,
    /// Machine-readable error code.
    pub code: &'static str,
}

impl Rejection {
    /// The listener accepts no more requests.
    pub const STOPPING: Rejection = Rejection::new(503, "stopping");

    /// There is no room for the request, as too many clients hold connections or bytes.
    pub const TOO_MANY_CLIENTS: Rejection = Rejection::new(503, "too_many_clients");

    /// Creates a rejection.
    pub const fn new(status: u16, code: &'static str) -> Rejection {
        Rejection { status, code }
    }
}

/// Signals that a listener accepts no more requests.
#[derive(Debug, Default)]
pub struct Shutdown {
    begun: Cell<bool>,
    notify: Notify,
}

impl Shutdown {
    /// Begins the shutdown: idle connections close, and further requests are rejected.
    pub fn begin(&self) {
        self.begun.set(true);
        self.notify.notify_waiters();
    }

    /// Whether [`Shutdown::begin`] was called.
    pub fn has_begun(&self) -> bool {
        self.begun.get()
    }

    /// Waits for the next call of [`Shutdown::begin`].
    pub(super) async fn wait(&self) {
        self.notify.notified().await;
    }
}

/// Program that handles the requests of a listener.
pub trait Handler: Sized + 'static {
    /// Limits on callers, read again for each request.
    fn limits(&self) -> Limits;

    /// Signal for the shutdown of the listener.
    fn shutdown(&self) -> &Shutdown;

    /// Checks a head before its body is read.
    ///
    /// # Errors
    ///
    /// Fails with the encoded response, after which the connection closes.
    fn check_head(&self, _head: &RequestHead) -> Result<(), Vec<u8>> {
        Ok(())
    }

    /// Encodes the response to a rejected request; the connection closes after it.
    fn reject(&self, rejection: Rejection) -> Vec<u8>;

    /// Handles a request and writes the response to `out`. Returns whether the connection may carry
    /// another request. The future is dropped when the caller closes the connection.
    fn handle(
        self: &Rc<Self>,
        head: RequestHead,
        body: Bytes,
        out: &TcpStream,
    ) -> impl Future<Output = bool>;
}
