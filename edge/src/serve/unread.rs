//! Writes complete responses, and bounds the bytes of those that wait for callers that read slowly.

use std::{
    io,
    time::Duration, //
};

use tokio::{
    net::TcpStream,
    time::timeout, //
};

use super::Core;
use crate::{
    decide::Stage,
    http::{
        reset_on_drop,
        write_all, //
    },
};

/// Largest body that is copied behind its head, so that both are sent by one call. Longer ones are sent from where
/// they are buffered, as a copy would count twice towards the memory.
const MAX_COPIED_BYTES: usize = 16 * 1024;

/// Time a caller has to take its response when no bytes are free, slightly above the stall time after which
/// others are dropped.
const FULL_WRITE_TIMEOUT: Duration = Duration::from_millis(300);

/// Whether `body` is sent together with its head.
pub(super) fn is_copied(body: &[u8]) -> bool {
    body.len() <= MAX_COPIED_BYTES
}

impl<D> Core<D> {
    /// Writes a response to its caller. If too many bytes wait for callers, those that take longest lose their
    /// connections, and the responses remain visibly incomplete.
    ///
    /// # Errors
    ///
    /// Fails if the connection breaks or has to make room.
    pub(super) async fn write_answer(
        &self,
        out: &TcpStream,
        mut head: Vec<u8>,
        body: &[u8],
    ) -> io::Result<()> {
        if is_copied(body) {
            head.extend_from_slice(body);
            return write_all(out, &head).await;
        }
        let Some(answers) = self.unread_responses.get() else {
            return write_both(out, &head, body).await;
        };
        let Some(client) = answers.admit(out) else {
            return Err(io::ErrorKind::ConnectionRefused.into());
        };
        // Marks the response as one that may be dropped.
        client.set_stage(Stage::Reading);
        let written = if client.hold(body.len()) {
            tokio::select! {
                biased;
                () = client.dropped() => Err(io::ErrorKind::TimedOut.into()),
                written = write_both(out, &head, body) => written,
            }
        } else {
            let written = timeout(FULL_WRITE_TIMEOUT, write_both(out, &head, body)).await;
            written.unwrap_or_else(|_| Err(io::ErrorKind::TimedOut.into()))
        };
        if written.is_err() {
            reset_on_drop(out);
        }
        written
    }
}

/// Writes head and body one after the other.
async fn write_both(out: &TcpStream, head: &[u8], body: &[u8]) -> io::Result<()> {
    write_all(out, head).await?;
    write_all(out, body).await
}
