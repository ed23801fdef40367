//! One WebSocket link between two daemons: the handshake, then messages in both directions.

use std::{
    net::SocketAddr,
    sync::{
        Mutex,
        PoisonError, //
    },
    time::Duration,
};

use futures_util::{
    SinkExt,
    StreamExt,
    stream::{
        SplitSink,
        SplitStream, //
    }, //
};
use serde::{
    Serialize,
    de::DeserializeOwned, //
};
use tokio::{
    net::TcpStream,
    time::timeout, //
};
use tokio_tungstenite::{
    WebSocketStream,
    accept_async_with_config,
    client_async_with_config,
    tungstenite::{
        Error,
        Message as Frame,
        protocol::WebSocketConfig, //
    }, //
};

use super::{
    auth::{
        Greeting,
        Hello,
        Proof,
        Side,
        Welcome,
        compute_tag,
        verify_tag, //
    },
    message::{
        ByteString,
        Ident,
        decode,
        encode, //
    },
    outbox::Outbox,
};
use crate::model::DaemonId;

/// Longest time from the start of the connection to the end of the handshake.
const HANDSHAKE_TIMEOUT: Duration = Duration::from_secs(2);
/// Longest message of a side that has not yet proved that it knows the fleet secret.
const MAX_HANDSHAKE_BYTES: usize = 4096;
/// Size of the read buffer and of the write buffer of each link; the library's default of 128 KiB
/// would use more than 32 MB on a daemon with many links.
const BUFFER_BYTES: usize = 4096;

pub(crate) type Socket = WebSocketStream<TcpStream>;

/// Why a link was not established or ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum LinkError {
    /// The connection failed, timed out or was closed.
    Closed,
    /// The peer does not know the fleet secret, or it is not the expected daemon.
    Refused,
    /// The peer sent malformed bytes or a message that is too long.
    Malformed,
}

impl From<Error> for LinkError {
    fn from(err: Error) -> Self {
        match err {
            Error::Capacity(_) | Error::Utf8(_) | Error::Protocol(_) => LinkError::Malformed,
            _ => LinkError::Closed,
        }
    }
}

/// Connects to peers and accepts connections of peers, with mutual authentication.
#[derive(Debug)]
pub(crate) struct Handshaker {
    /// What this daemon states about itself.
    pub(crate) ident: Mutex<Ident>,
    /// The fleet secret.
    pub(crate) secret: Vec<u8>,
    /// Longest message, in bytes.
    pub(crate) max_message: usize,
}

/// WebSocket settings for messages of at most `limit` bytes.
fn socket_config(limit: usize) -> WebSocketConfig {
    WebSocketConfig::default()
        .read_buffer_size(BUFFER_BYTES)
        .write_buffer_size(BUFFER_BYTES)
        .max_message_size(Some(limit))
        .max_frame_size(Some(limit))
}

impl Handshaker {
    /// What this daemon states about itself.
    pub(crate) fn ident(&self) -> Ident {
        let ident = self.ident.lock();
        ident.unwrap_or_else(PoisonError::into_inner).clone()
    }

    /// Connects to `peer` and authenticates both sides.
    pub(crate) async fn dial(
        &self,
        peer: &DaemonId,
        addr: SocketAddr,
    ) -> Result<(Socket, Ident), LinkError> {
        let dialled = timeout(HANDSHAKE_TIMEOUT, async {
            let stream = TcpStream::connect(addr).await.map_err(Error::Io)?;
            stream.set_nodelay(true).map_err(Error::Io)?;
            let url = format!("ws://{addr}/");
            let config = socket_config(self.max_message);
            let (socket, _) = client_async_with_config(url, stream, Some(config)).await?;
            self.dial_handshake(socket, peer).await
        });
        dialled.await.unwrap_or(Err(LinkError::Closed))
    }

    /// Runs the handshake of the dialling side.
    async fn dial_handshake(
        &self,
        mut socket: Socket,
        peer: &DaemonId,
    ) -> Result<(Socket, Ident), LinkError> {
        let own = ByteString(encode(&Greeting::new(self.ident(), peer.clone())));
        let greeting = own.clone();
        send(&mut socket, &Hello { greeting }).await?;
        let welcome: Welcome = receive(&mut socket).await?;
        let both = [&own, &welcome.greeting];
        if !verify_tag(&self.secret, Side::Accepting, both, &welcome.tag) {
            return Err(LinkError::Refused);
        }
        let theirs: Greeting = decode_handshake(&welcome.greeting.0)?;
        if theirs.ident.id != *peer {
            return Err(LinkError::Refused);
        }
        let tag = compute_tag(&self.secret, Side::Dialling, both);
        send(&mut socket, &Proof { tag }).await?;
        Ok((socket, theirs.ident))
    }

    /// Authenticates both sides of a connection that a peer opened.
    pub(crate) async fn accept(&self, stream: TcpStream) -> Result<(Socket, Ident), LinkError> {
        let accepted = timeout(HANDSHAKE_TIMEOUT, async {
            stream.set_nodelay(true).map_err(Error::Io)?;
            let socket =
                accept_async_with_config(stream, Some(socket_config(self.max_message))).await?;
            self.accept_handshake(socket).await
        });
        accepted.await.unwrap_or(Err(LinkError::Closed))
    }

    /// Runs the handshake of the accepting side.
    async fn accept_handshake(&self, mut socket: Socket) -> Result<(Socket, Ident), LinkError> {
        let hello: Hello = receive(&mut socket).await?;
        let theirs: Greeting = decode_handshake(&hello.greeting.0)?;
        let ident = self.ident();
        if theirs.to != ident.id || theirs.ident.id == ident.id {
            return Err(LinkError::Refused);
        }
        let greeting = ByteString(encode(&Greeting::new(ident, theirs.ident.id.clone())));
        let both = [&hello.greeting, &greeting];
        let welcome = Welcome {
            tag: compute_tag(&self.secret, Side::Accepting, both),
            greeting: greeting.clone(),
        };
        send(&mut socket, &welcome).await?;
        let proof: Proof = receive(&mut socket).await?;
        if !verify_tag(&self.secret, Side::Dialling, both, &proof.tag) {
            return Err(LinkError::Refused);
        }
        Ok((socket, theirs.ident))
    }
}

/// Sends a message of the handshake.
async fn send<T: Serialize>(socket: &mut Socket, message: &T) -> Result<(), LinkError> {
    Ok(socket.send(Frame::binary(encode(message))).await?)
}

/// Receives the next message of the handshake.
async fn receive<T: DeserializeOwned>(socket: &mut Socket) -> Result<T, LinkError> {
    loop {
        match socket.next().await.ok_or(LinkError::Closed)?? {
            Frame::Binary(bytes) if bytes.len() <= MAX_HANDSHAKE_BYTES => {
                return decode_handshake(&bytes);
            }
            Frame::Ping(_) | Frame::Pong(_) => {}
            Frame::Close(_) => return Err(LinkError::Closed),
            _ => return Err(LinkError::Malformed),
        }
    }
}

fn decode_handshake<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, LinkError> {
    decode(bytes).map_err(|_| LinkError::Malformed)
}

/// Handles the messages that arrive on a link.
pub(crate) trait MessageHandler {
    /// Handles the bytes of one message; an error ends the link.
    fn handle(&self, bytes: &[u8]) -> impl Future<Output = Result<(), LinkError>> + Send;
}

/// Sends the queued messages and passes each message that arrives to `handler`, until the link ends.
/// Sending and receiving run concurrently, so two daemons with full buffers can't deadlock.
pub(crate) async fn run_link(
    socket: Socket,
    outbox: &Outbox,
    handler: &impl MessageHandler,
) -> LinkError {
    let (sink, stream) = socket.split();
    tokio::select! {
        result = send_queued(sink, outbox) => result.err().unwrap_or(LinkError::Closed),
        result = receive_messages(stream, handler) => result.err().unwrap_or(LinkError::Closed),
    }
}

/// Sends messages from the queue until it is closed and empty, then closes the link.
async fn send_queued(mut sink: SplitSink<Socket, Frame>, outbox: &Outbox) -> Result<(), LinkError> {
    loop {
        let frames = outbox.next().await;
        if frames.is_empty() {
            return Ok(sink.close().await?);
        }
        for frame in frames {
            sink.feed(Frame::Binary(frame.bytes)).await?;
        }
        sink.flush().await?;
    }
}

/// Passes arriving messages to `handler` until the peer closes the link.
async fn receive_messages(
    mut stream: SplitStream<Socket>,
    handler: &impl MessageHandler,
) -> Result<(), LinkError> {
    while let Some(frame) = stream.next().await {
        match frame? {
            Frame::Binary(bytes) => handler.handle(&bytes).await?,
            Frame::Ping(_) | Frame::Pong(_) => {}
            Frame::Close(_) => return Ok(()),
            _ => return Err(LinkError::Malformed),
        }
    }
    Ok(())
}
