//! What a listener asks of the program behind it.

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

/// Why a request is answered without being handled.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Rejection {
    /// Status code.
    pub status: u16,
    /// Machine-readable cause.
    pub code: &'static str,
}

impl Rejection {
    /// The listener takes no more requests.
    pub const STOPPING: Rejection = Rejection::new(503, "stopping");

    /// A rejection with `status` for the cause `code`.
    pub const fn new(status: u16, code: &'static str) -> Rejection {
        Rejection { status, code }
    }
}

/// Whether a listener takes no more requests.
#[derive(Debug, Default)]
pub struct Shutdown {
    begun: Cell<bool>,
    wake: Notify,
}

impl Shutdown {
    /// Idle connections close, and requests that still come are rejected.
    pub fn begin(&self) {
        self.begun.set(true);
        self.wake.notify_waiters();
    }

    /// Whether [`Shutdown::begin`] was called.
    pub fn has_begun(&self) -> bool {
        self.begun.get()
    }

    /// Waits for the next call of [`Shutdown::begin`].
    pub(super) async fn wait(&self) {
        self.wake.notified().await;
    }
}

/// Handles the requests of a listener.
pub trait Handler: Sized + 'static {
    /// Limits on callers.
    fn limits(&self) -> Limits;

    /// Whether no more requests are taken.
    fn shutdown(&self) -> &Shutdown;

    /// Checks a head before its body is read.
    ///
    /// # Errors
    ///
    /// Fails with the answer after which the connection closes.
    fn check_head(&self, _head: &RequestHead) -> Result<(), Vec<u8>> {
        Ok(())
    }

    /// The answer to a rejected request; the connection closes after it.
    fn reject(&self, rejection: Rejection) -> Vec<u8>;

    /// Handles a request and writes its answer to `out`. Returns whether the connection may carry
    /// another request. Dropped when the caller closes its connection.
    fn handle(
        self: &Rc<Self>,
        head: RequestHead,
        body: Bytes,
        out: &TcpStream,
    ) -> impl Future<Output = bool>;
}
