//! A TCP connection with a read buffer.

use std::{
    fmt,
    io,
    net::SocketAddr,
    time::Duration, //
};

use bytes::BytesMut;
use tokio::{
    net::{
        TcpSocket,
        TcpStream, //
    },
    time::timeout,
};

use super::{
    ParseError,
    ResponseHead,
    parse_response, //
};

/// Largest response head.
const MAX_HEAD_BYTES: usize = 64 * 1024;

/// Minimum free space in the buffer for each read.
const READ_SIZE_BYTES: usize = 8 * 1024;

/// Time without an acknowledgement from the peer after which the kernel closes a connection; shorter
/// than the time after which a machine counts as unreachable.
const USER_TIMEOUT: Duration = Duration::from_millis(2500);

/// Why a connection failed.
#[derive(Debug)]
pub enum ConnectionError {
    /// The connection could not be opened.
    Connect(io::Error),
    /// The connection broke.
    Io(io::Error),
    /// The peer closed the connection before the end of a message.
    Closed,
    /// The peer sent bytes that are not a valid message.
    Protocol(ParseError),
    /// The peer did not respond in time.
    Timeout,
}

impl fmt::Display for ConnectionError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            ConnectionError::Connect(e) => write!(f, "connect: {e}"),
            ConnectionError::Io(e) => write!(f, "connection: {e}"),
            ConnectionError::Closed => f.write_str("closed before the end of the message"),
            ConnectionError::Protocol(e) => write!(f, "protocol: {e}"),
            ConnectionError::Timeout => f.write_str("no response in time"),
        }
    }
}

impl std::error::Error for ConnectionError {}

impl ConnectionError {
    /// Whether the connection could not be opened in time.
    pub fn is_timeout(&self) -> bool {
        matches!(self, ConnectionError::Connect(e) if e.kind() == io::ErrorKind::TimedOut)
    }

    /// Whether the other machine answered that nothing listens at the address.
    pub fn is_refused(&self) -> bool {
        matches!(self, ConnectionError::Connect(e) if e.kind() == io::ErrorKind::ConnectionRefused)
    }

    /// Whether the connection could not be opened for a reason on this VM, such as a lack of file
    /// descriptors or local ports.
    pub fn is_local(&self) -> bool {
        let ConnectionError::Connect(e) = self else {
            return false;
        };
        !matches!(
            e.kind(),
            io::ErrorKind::TimedOut
                | io::ErrorKind::ConnectionRefused
                | io::ErrorKind::ConnectionReset
                | io::ErrorKind::ConnectionAborted
                | io::ErrorKind::HostUnreachable
                | io::ErrorKind::NetworkUnreachable
        )
    }
}

/// A TCP connection with a read buffer.
#[derive(Debug)]
pub struct Connection {
    stream: TcpStream,
    /// Bytes that were received and not yet consumed.
    pub buf: BytesMut,
}

/// Reads more bytes from `stream` into `buf`; returns 0 at the end of the stream.
///
/// # Errors
///
/// Fails if the connection breaks.
pub async fn read_some(stream: &TcpStream, buf: &mut BytesMut) -> io::Result<usize> {
    loop {
        buf.reserve(READ_SIZE_BYTES);
        match stream.try_read_buf(buf) {
            Err(e) if e.kind() == io::ErrorKind::WouldBlock => stream.readable().await?,
            result => return result,
        }
    }
}

/// Fills `buf` with bytes from `stream`.
///
/// # Errors
///
/// Fails if the connection breaks or ends before that.
pub async fn read_exact(stream: &TcpStream, mut buf: &mut [u8]) -> io::Result<()> {
    while !buf.is_empty() {
        match stream.try_read(buf) {
            Ok(0) => return Err(io::ErrorKind::UnexpectedEof.into()),
            Ok(n) => buf = &mut buf[n..],
            Err(e) if e.kind() == io::ErrorKind::WouldBlock => stream.readable().await?,
            Err(e) => return Err(e),
        }
    }
    Ok(())
}

/// Writes all of `bytes` to `stream`.
///
/// # Errors
///
/// Fails if the connection breaks.
pub async fn write_all(stream: &TcpStream, mut bytes: &[u8]) -> io::Result<()> {
    while !bytes.is_empty() {
        match stream.try_write(bytes) {
            Ok(0) => return Err(io::ErrorKind::WriteZero.into()),
            Ok(n) => bytes = &bytes[n..],
            Err(e) if e.kind() == io::ErrorKind::WouldBlock => stream.writable().await?,
            Err(e) => return Err(e),
        }
    }
    Ok(())
}

/// Makes dropping `stream` reset the connection, so that the peer does not mistake the close for the
/// orderly end of a response.
pub fn reset_on_drop(stream: &TcpStream) {
    if let Err(e) = socket2::SockRef::from(stream).set_linger(Some(Duration::ZERO)) {
        log::debug!("event=socket_option option=linger error=\"{e}\"");
    }
}

/// Sets the socket options of every connection of the data plane: no delay and a user timeout.
pub fn configure_stream(stream: &TcpStream) {
    if let Err(e) = socket2::SockRef::from(stream).set_tcp_nodelay(true) {
        log::debug!("event=socket_option option=nodelay error=\"{e}\"");
    }
    set_user_timeout(stream, USER_TIMEOUT);
}

/// Makes the kernel close a connection whose peer has acknowledged no data for `time`
/// (`TCP_USER_TIMEOUT`).
pub fn set_user_timeout(stream: &TcpStream, time: Duration) {
    if let Err(e) = socket2::SockRef::from(stream).set_tcp_user_timeout(Some(time)) {
        log::debug!("event=socket_option option=user_timeout error=\"{e}\"");
    }
}

impl Connection {
    /// Wraps an accepted connection.
    pub fn new(stream: TcpStream) -> Connection {
        configure_stream(&stream);
        Connection {
            stream,
            buf: BytesMut::new(),
        }
    }

    /// Opens a connection to `address`.
    ///
    /// # Errors
    ///
    /// Fails if the connection is refused or not open within `time`.
    pub async fn open(address: SocketAddr, time: Duration) -> Result<Connection, ConnectionError> {
        let socket = TcpSocket::new_v4().map_err(ConnectionError::Connect)?;
        let stream = timeout(time, socket.connect(address))
            .await
            .map_err(|_| ConnectionError::Connect(io::ErrorKind::TimedOut.into()))?
            .map_err(ConnectionError::Connect)?;
        Ok(Connection::new(stream))
    }

    /// Reads more bytes into the buffer; returns 0 at the end of the stream.
    ///
    /// # Errors
    ///
    /// Fails if the connection breaks.
    pub async fn fill(&mut self) -> io::Result<usize> {
        read_some(&self.stream, &mut self.buf).await
    }

    /// Reads what has already arrived into the buffer; `None` if that is nothing.
    pub fn try_fill(&mut self) -> Option<io::Result<usize>> {
        self.buf.reserve(READ_SIZE_BYTES);
        match self.stream.try_read_buf(&mut self.buf) {
            Err(e) if e.kind() == io::ErrorKind::WouldBlock => None,
            result => Some(result),
        }
    }

    /// Writes all of `bytes`.
    ///
    /// # Errors
    ///
    /// Fails if the connection breaks.
    pub async fn write(&mut self, bytes: &[u8]) -> io::Result<()> {
        write_all(&self.stream, bytes).await
    }

    /// Whether an idle connection cannot be reused because the peer has closed it or sent unexpected
    /// bytes.
    pub fn is_stale(&mut self) -> bool {
        if !self.buf.is_empty() {
            return true;
        }
        let mut byte = [0_u8; 1];
        !matches!(
            self.stream.try_read(&mut byte),
            Err(e) if e.kind() == io::ErrorKind::WouldBlock
        )
    }

    /// Reads the next response head, skipping interim responses.
    ///
    /// # Errors
    ///
    /// Fails if the connection closes or breaks first, or the bytes are not a valid response head.
    pub async fn read_response(&mut self) -> Result<ResponseHead, ConnectionError> {
        loop {
            match parse_response(&mut self.buf).map_err(ConnectionError::Protocol)? {
                Some(head) if head.status < 200 => continue,
                Some(head) => return Ok(head),
                None if self.buf.len() > MAX_HEAD_BYTES => {
                    return Err(ConnectionError::Protocol(ParseError::Malformed));
                }
                None => {}
            }
            if self.fill().await.map_err(ConnectionError::Io)? == 0 {
                return Err(ConnectionError::Closed);
            }
        }
    }
}
