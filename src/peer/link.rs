//! One WebSocket link: handshake, then messages both ways.

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
        is_valid,
        tag, //
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

/// Longest time from the connection to the end of the handshake.
const HANDSHAKE: Duration = Duration::from_secs(2);
/// Longest message of a side that has not proved that it knows the secret.
const MAX_GREETING: usize = 4096;
/// Buffer of each link for reading and for writing; the library's 128 KiB would exceed 32 MB on a
/// daemon with many links.
const BUFFER: usize = 4096;

pub(crate) type Socket = WebSocketStream<TcpStream>;

/// Why a link was not made or ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum LinkError {
    /// The connection failed or was closed.
    Closed,
    /// The peer does not know the secret or is not the daemon that was meant.
    Refused,
    /// The peer sent something that is no message, or a message that is too long.
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

/// What a daemon needs to make links.
#[derive(Debug)]
pub(crate) struct Identity {
    pub(crate) ident: Mutex<Ident>,
    pub(crate) secret: Vec<u8>,
    /// Longest message, in bytes.
    pub(crate) max_message: usize,
}

fn config(limit: usize) -> WebSocketConfig {
    WebSocketConfig::default()
        .read_buffer_size(BUFFER)
        .write_buffer_size(BUFFER)
        .max_message_size(Some(limit))
        .max_frame_size(Some(limit))
}

impl Identity {
    pub(crate) fn ident(&self) -> Ident {
        let ident = self.ident.lock();
        ident.unwrap_or_else(PoisonError::into_inner).clone()
    }

    /// Connects to `peer` and proves to each other that both know the secret.
    pub(crate) async fn dial(
        &self,
        peer: &DaemonId,
        addr: SocketAddr,
    ) -> Result<(Socket, Ident), LinkError> {
        let dialled = timeout(HANDSHAKE, async {
            let stream = TcpStream::connect(addr).await.map_err(Error::Io)?;
            stream.set_nodelay(true).map_err(Error::Io)?;
            let url = format!("ws://{addr}/");
            let config = config(self.max_message);
            let (socket, _) = client_async_with_config(url, stream, Some(config)).await?;
            self.greet(socket, peer).await
        });
        dialled.await.unwrap_or(Err(LinkError::Closed))
    }

    async fn greet(
        &self,
        mut socket: Socket,
        peer: &DaemonId,
    ) -> Result<(Socket, Ident), LinkError> {
        let own = ByteString(encode(&Greeting::new(self.ident(), peer.clone())));
        let greeting = own.clone();
        send(&mut socket, &Hello { greeting }).await?;
        let welcome: Welcome = receive(&mut socket).await?;
        let both = [&own, &welcome.greeting];
        if !is_valid(&self.secret, Side::Accepting, both, &welcome.tag) {
            return Err(LinkError::Refused);
        }
        let theirs: Greeting = read(&welcome.greeting.0)?;
        if theirs.ident.id != *peer {
            return Err(LinkError::Refused);
        }
        let tag = tag(&self.secret, Side::Dialling, both);
        send(&mut socket, &Proof { tag }).await?;
        Ok((socket, theirs.ident))
    }

    /// Answers the handshake of a daemon that dialled.
    pub(crate) async fn accept(&self, stream: TcpStream) -> Result<(Socket, Ident), LinkError> {
        let accepted = timeout(HANDSHAKE, async {
            stream.set_nodelay(true).map_err(Error::Io)?;
            let socket = accept_async_with_config(stream, Some(config(self.max_message))).await?;
            self.welcome(socket).await
        });
        accepted.await.unwrap_or(Err(LinkError::Closed))
    }

    async fn welcome(&self, mut socket: Socket) -> Result<(Socket, Ident), LinkError> {
        let hello: Hello = receive(&mut socket).await?;
        let theirs: Greeting = read(&hello.greeting.0)?;
        let ident = self.ident();
        if theirs.to != ident.id || theirs.ident.id == ident.id {
            return Err(LinkError::Refused);
        }
        let greeting = ByteString(encode(&Greeting::new(ident, theirs.ident.id.clone())));
        let both = [&hello.greeting, &greeting];
        let welcome = Welcome {
            tag: tag(&self.secret, Side::Accepting, both),
            greeting: greeting.clone(),
        };
        send(&mut socket, &welcome).await?;
        let proof: Proof = receive(&mut socket).await?;
        if !is_valid(&self.secret, Side::Dialling, both, &proof.tag) {
            return Err(LinkError::Refused);
        }
        Ok((socket, theirs.ident))
    }
}

async fn send<T: Serialize>(socket: &mut Socket, message: &T) -> Result<(), LinkError> {
    Ok(socket.send(Frame::binary(encode(message))).await?)
}

async fn receive<T: DeserializeOwned>(socket: &mut Socket) -> Result<T, LinkError> {
    loop {
        match socket.next().await.ok_or(LinkError::Closed)?? {
            Frame::Binary(bytes) if bytes.len() <= MAX_GREETING => return read(&bytes),
            Frame::Ping(_) | Frame::Pong(_) => {}
            Frame::Close(_) => return Err(LinkError::Closed),
            _ => return Err(LinkError::Malformed),
        }
    }
}

fn read<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, LinkError> {
    decode(bytes).map_err(|_| LinkError::Malformed)
}

/// Takes in the messages of a link.
pub(crate) trait Take {
    /// Handles the bytes of one message; a fault ends the link.
    fn take(&self, bytes: &[u8]) -> impl Future<Output = Result<(), LinkError>> + Send;
}

/// Sends what is queued and gives each message that arrives to `take`, until the link ends. Sending
/// and receiving don't wait for each other, so two daemons with full buffers can't block each other.
pub(crate) async fn run(socket: Socket, outbox: &Outbox, take: &impl Take) -> LinkError {
    let (sink, stream) = socket.split();
    tokio::select! {
        result = write_all(sink, outbox) => result.err().unwrap_or(LinkError::Closed),
        result = read_all(stream, take) => result.err().unwrap_or(LinkError::Closed),
    }
}

async fn write_all(mut sink: SplitSink<Socket, Frame>, outbox: &Outbox) -> Result<(), LinkError> {
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

async fn read_all(mut stream: SplitStream<Socket>, take: &impl Take) -> Result<(), LinkError> {
    while let Some(frame) = stream.next().await {
        match frame? {
            Frame::Binary(bytes) => take.take(&bytes).await?,
            Frame::Ping(_) | Frame::Pong(_) => {}
            Frame::Close(_) => return Ok(()),
            _ => return Err(LinkError::Malformed),
        }
    }
    Ok(())
}
