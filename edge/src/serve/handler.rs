//! Implements the listener's request handler for the daemon.

use std::{
    rc::Rc,
    time::Instant, //
};

use bytes::Bytes;
use tokio::net::TcpStream;

use super::{
    Core,
    exchange::exchange,
    handover::Origin,
    response::{
        CROWD_RETRY_AFTER,
        Refusal,
        STOP_RETRY_AFTER, //
    },
};
use crate::{
    accept::{
        Handler,
        Rejection,
        Shutdown, //
    },
    adapter::Dialect,
    catalog::Limits,
    http::RequestHead, //
};

impl<D: Dialect> Handler for Core<D> {
    fn limits(&self) -> Limits {
        self.config().map_or_else(Limits::default, |c| c.limits)
    }

    fn shutdown(&self) -> &Shutdown {
        &self.shutdown
    }

    fn reject(&self, rejection: Rejection) -> Vec<u8> {
        let refusal = match rejection {
            Rejection::STOPPING => Refusal::not_run(rejection.code, STOP_RETRY_AFTER),
            Rejection::TOO_MANY_CLIENTS => Refusal::not_run(rejection.code, CROWD_RETRY_AFTER),
            // The guarantee of a 408 is that of a 503.
            Rejection { status: 408, code } => Refusal {
                status: 408,
                ..Refusal::not_run(code, CROWD_RETRY_AFTER)
            },
            Rejection { status, code } => Refusal::rejected(status, code),
        };
        refusal.to_bytes(None, false)
    }

    async fn handle(self: &Rc<Self>, head: RequestHead, body: Bytes, out: &TcpStream) -> bool {
        exchange(self, head, body, Instant::now(), Origin::Caller, out).await
    }
}
