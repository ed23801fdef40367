//! Takes requests that other daemons hand over, after those of the own callers.

use std::{
    cell::Cell,
    io,
    rc::Rc,
    time::{
        Duration,
        Instant, //
    },
};

use bytes::Bytes;
use tokio::{
    net::TcpStream,
    time::timeout, //
};

use super::{
    super::{
        Core,
        exchange::exchange, //
    }, //
    DECLINED,
    GREETING,
    Origin,
};
use crate::{
    accept::{
        Client,
        Handler,
        Rejection,
        Shutdown,
        serve_connection, //
    },
    adapter::Dialect,
    catalog::Limits,
    decide::{
        AskOutcome,
        ReachState,
        max_taken, //
    },
    http::{
        RequestHead,
        read_exact, //
    },
};

/// Longest time until the first bytes of a connection of another daemon.
const GREETING_TIMEOUT: Duration = Duration::from_millis(400);

/// Room for the fields that the daemon before this one adds to a head, in bytes.
const ADDED_HEAD_BYTES: usize = 256;

/// Number of open requests that other daemons have handed over.
#[derive(Debug, Default)]
pub(in super::super) struct TakenRequests(Cell<u32>);

/// Counts one such request until it is dropped.
pub(in super::super) struct TakenGuard<D>(Rc<Core<D>>);

impl<D> Drop for TakenGuard<D> {
    fn drop(&mut self) {
        let count = &self.0.taken.0;
        count.set(count.get() - 1);
    }
}

impl<D> Core<D> {
    /// Why a request for `service` that another daemon hands over is declined, if it is.
    fn declines(&self, service: &str) -> Option<AskOutcome> {
        if !self.accepts_requests() || self.reach_state(service) != ReachState::Open {
            return Some(AskOutcome::Lost);
        }
        let most = max_taken(self.ledger.borrow().capacity());
        (self.taken.0.get() >= most).then_some(AskOutcome::Busy)
    }

    /// Counts a request for `service` that another daemon hands over until the guard is dropped.
    ///
    /// # Errors
    ///
    /// Fails with the reason if it is declined.
    pub(in super::super) fn take_over(
        self: &Rc<Self>,
        service: &str,
    ) -> Result<TakenGuard<D>, AskOutcome> {
        if let Some(reason) = self.declines(service) {
            return Err(reason);
        }
        self.taken.0.set(self.taken.0.get() + 1);
        Ok(TakenGuard(Rc::clone(self)))
    }
}

/// The line with which a request is declined.
pub(in super::super) fn declined_line(reason: AskOutcome) -> Vec<u8> {
    let mut line = DECLINED.to_vec();
    line.extend_from_slice(reason.as_str().as_bytes());
    line.extend_from_slice(b"\r\n");
    line
}

/// Handles the requests of other daemons.
struct NeighbourCalls<D>(Rc<Core<D>>);

impl<D: Dialect> Handler for NeighbourCalls<D> {
    fn limits(&self) -> Limits {
        let limits = self.0.limits();
        Limits {
            head_bytes: limits.head_bytes + ADDED_HEAD_BYTES,
            ..limits
        }
    }

    fn shutdown(&self) -> &Shutdown {
        &self.0.shutdown
    }

    fn reject(&self, rejection: Rejection) -> Vec<u8> {
        match rejection {
            Rejection::STOPPING => declined_line(AskOutcome::Lost),
            Rejection::TOO_MANY_CLIENTS => declined_line(AskOutcome::Busy),
            other => self.0.reject(other),
        }
    }

    async fn handle(self: &Rc<Self>, head: RequestHead, body: Bytes, out: &TcpStream) -> bool {
        exchange(&self.0, head, body, Instant::now(), Origin::Neighbour, out).await
    }
}

/// Whether the other daemon wants to hand requests over, as the first byte tells.
///
/// # Errors
///
/// Fails if the connection breaks or stays silent.
pub(crate) async fn begins_handover<D>(core: &Core<D>, stream: &TcpStream) -> io::Result<bool> {
    let limit = GREETING_TIMEOUT + core.link.allowance(Instant::now());
    let mut first = [0_u8; 1];
    let read = timeout(limit, stream.peek(&mut first)).await??;
    Ok(read == 1 && first[0] == GREETING[0])
}

/// Serves the requests that another daemon hands over on one connection, until it closes.
///
/// # Errors
///
/// Fails if the connection does not begin with [`GREETING`].
pub(crate) async fn serve_handed_over<D: Dialect>(
    core: &Rc<Core<D>>,
    stream: TcpStream,
    client: Client,
) -> io::Result<()> {
    let limit = GREETING_TIMEOUT + core.link.allowance(Instant::now());
    let mut greeting = [0_u8; GREETING.len()];
    timeout(limit, read_exact(&stream, &mut greeting)).await??;
    if greeting != *GREETING {
        return Err(io::ErrorKind::InvalidData.into());
    }
    let calls = Rc::new(NeighbourCalls(Rc::clone(core)));
    serve_connection(calls, stream, client).await;
    Ok(())
}
