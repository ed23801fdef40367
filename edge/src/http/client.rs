//! HTTP client of one server, which keeps connections open and notices those that have gone silent.

use std::{
    cell::{
        Cell,
        RefCell, //
    },
    fmt,
    net::SocketAddr,
    rc::Rc,
    time::{
        Duration,
        Instant, //
    },
};

use bytes::BytesMut;
use tokio::{
    pin,
    time::{
        Instant as Deadline,
        sleep_until,
        timeout_at, //
    },
};

use super::{
    BodyDecoder,
    Connection,
    ConnectionError,
    Fields,
    LinkActivity,
    ParseError, //
};

/// Time by which an answer must be overdue before the call is repeated on a new connection.
const MIN_OVERDUE: Duration = Duration::from_millis(300);

/// Multiple of the time that answers take by which one must be overdue before the call is repeated: a slow server
/// must not get twice as many calls.
const OVERDUE_FACTOR: u32 = 2;

/// Limits of a client.
#[derive(Clone, Copy, Debug)]
pub struct ClientLimits {
    /// Time for opening a connection.
    pub connect_time: Duration,
    /// Time for an answer, beside the time for which the server may hold it back.
    pub answer_time: Duration,
    /// Idle time after which a connection is not used again.
    pub idle_time: Duration,
    /// Idle connections that are kept.
    pub idle_connections: usize,
    /// Largest body of an answer.
    pub body_bytes: usize,
}

/// One call.
#[derive(Clone, Copy, Debug)]
pub struct Call<'a> {
    /// Bytes of the request.
    pub request: &'a [u8],
    /// Time for which the server may hold the answer back.
    pub wait: Duration,
    /// Bytes of the request that repeats an idempotent call, whose answer the server does not hold back; `None` for one
    /// that may not be repeated.
    pub repeat: Option<&'a [u8]>,
}

/// Answer to a call.
#[derive(Debug)]
pub struct ServerAnswer {
    /// Status.
    pub status: u16,
    /// Header fields.
    pub fields: Fields,
    /// Whole body.
    pub body: BytesMut,
}

/// Why a call got no answer.
#[derive(Debug)]
pub enum CallError {
    /// No connection could be opened, so that the server did nothing.
    Unreachable(ConnectionError),
    /// The server may have performed the call.
    Unanswered(ConnectionError),
}

impl fmt::Display for CallError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            CallError::Unreachable(e) | CallError::Unanswered(e) => e.fmt(f),
        }
    }
}

impl std::error::Error for CallError {}

/// Which connection a call uses.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Source {
    /// An idle one, if there is any.
    Idle,
    /// A new one.
    New,
}

/// HTTP client of one server.
///
/// An open connection can go silent for good without being reset, while new ones work. Waiting for the timeout would
/// leave the caller without news for as long as from a server that is away, and could not tell the two apart. So an
/// idempotent call whose answer is overdue is repeated on a new connection while the first one goes on, and the first
/// answer counts. If it comes on the new connection, the idle ones that are as old as the silent one are closed.
#[derive(Debug)]
pub struct Client {
    address: SocketAddr,
    limits: ClientLimits,
    /// Activity and delay of this VM's link.
    activity: Rc<LinkActivity>,
    /// Idle connections, with the time of their last answers.
    idle: RefCell<Vec<(Connection, Instant)>>,
    /// Smoothed time that answers take.
    answer_time: Cell<Duration>,
}

impl Client {
    /// Returns a client of the server at `address`. Connections are opened on demand; timeouts are extended for the
    /// delay of this VM's link.
    pub fn new(address: SocketAddr, limits: ClientLimits, activity: Rc<LinkActivity>) -> Client {
        Client {
            address,
            limits,
            activity,
            idle: RefCell::default(),
            answer_time: Cell::new(Duration::ZERO),
        }
    }

    /// Address of the server.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Makes one call and returns the answer. The connection of a call without an answer is dropped.
    ///
    /// # Errors
    ///
    /// Fails if the server can't be reached or does not answer in time.
    ///
    /// # Examples
    ///
    /// ```
    /// use std::{
    ///     io::{Read, Write},
    ///     net::TcpListener,
    ///     rc::Rc,
    ///     time::{Duration, Instant},
    /// };
    /// use cuminloom_edge::http::{Call, Client, ClientLimits, LinkActivity};
    ///
    /// let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    /// let address = listener.local_addr().unwrap();
    /// std::thread::spawn(move || {
    ///     let (mut stream, _) = listener.accept().unwrap();
    ///     stream.read(&mut [0; 1024]).unwrap();
    ///     stream.write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok").unwrap();
    /// });
    /// let limits = ClientLimits {
    ///     connect_time: Duration::from_millis(300),
    ///     answer_time: Duration::from_secs(5),
    ///     idle_time: Duration::from_secs(2),
    ///     idle_connections: 4,
    ///     body_bytes: 1024,
    /// };
    /// let client = Client::new(address, limits, Rc::new(LinkActivity::new(Instant::now())));
    /// let call = Call {
    ///     request: b"POST / HTTP/1.1\r\nContent-Length: 0\r\n\r\n",
    ///     wait: Duration::ZERO,
    ///     repeat: None,
    /// };
    /// let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    /// let answer = runtime.block_on(client.call(call)).unwrap();
    /// assert_eq!((answer.status, &answer.body[..]), (200, &b"ok"[..]));
    /// ```
    pub async fn call(&self, call: Call<'_>) -> Result<ServerAnswer, CallError> {
        let sent = Instant::now();
        let wait = call.wait + self.activity.allowance(sent);
        let end = Deadline::from_std(sent + wait + self.limits.answer_time);
        let first = self.attempt(call.request, Source::Idle, end);
        pin!(first);
        let Some(repeat) = call.repeat else {
            return self.finish(first.await, call.wait, sent);
        };
        let overdue = MIN_OVERDUE.max(self.answer_time.get() * OVERDUE_FACTOR);
        tokio::select! {
            biased;
            result = &mut first => return self.finish(result, call.wait, sent),
            () = sleep_until(Deadline::from_std(sent + wait + overdue)) => {}
        }
        let second = self.attempt(repeat, Source::New, end);
        pin!(second);
        tokio::select! {
            biased;
            result = &mut first => match self.finish(result, call.wait, sent) {
                Ok(answer) => Ok(answer),
                Err(_) => second.await,
            },
            result = &mut second => match result {
                Ok(answer) => {
                    self.drop_older(sent);
                    let ms = sent.elapsed().as_millis();
                    log::info!("event=connection_silent server={} after_ms={ms}", self.address);
                    Ok(answer)
                }
                Err(_) => self.finish(first.await, call.wait, sent),
            },
        }
    }

    /// Learns from `result` of the first attempt of a call that was sent at `sent`: the time that answers take, or that
    /// other connections may be silent as well.
    fn finish(
        &self,
        result: Result<ServerAnswer, CallError>,
        wait: Duration,
        sent: Instant,
    ) -> Result<ServerAnswer, CallError> {
        match result {
            Ok(_) if wait.is_zero() => self.record_answer_time(sent.elapsed()),
            Err(CallError::Unanswered(ConnectionError::Timeout)) => self.drop_older(sent),
            _ => {}
        }
        result
    }

    /// Records that an answer that was not held back took `time`. Rises at once and falls slowly.
    fn record_answer_time(&self, time: Duration) {
        let old = self.answer_time.get();
        let new = if time > old {
            time
        } else {
            (old * 7 + time) / 8
        };
        self.answer_time.set(new);
    }

    /// Closes the idle connections without an answer since `time`.
    fn drop_older(&self, time: Instant) {
        self.idle.borrow_mut().retain(|(_, at)| *at >= time);
    }

    /// Sends `request` on one connection and reads the answer until `end`.
    async fn attempt(
        &self,
        request: &[u8],
        source: Source,
        end: Deadline,
    ) -> Result<ServerAnswer, CallError> {
        let mut link = self.acquire(source).await?;
        let answer = timeout_at(end, self.exchange(&mut link, request)).await;
        let (answer, keep) = answer
            .map_err(|_| CallError::Unanswered(ConnectionError::Timeout))?
            .map_err(CallError::Unanswered)?;
        if keep && self.idle.borrow().len() < self.limits.idle_connections {
            self.idle.borrow_mut().push((link, Instant::now()));
        }
        Ok(answer)
    }

    /// Takes an idle connection that is still usable.
    fn take_idle(&self, now: Instant) -> Option<Connection> {
        loop {
            let (mut link, since) = self.idle.borrow_mut().pop()?;
            if now.duration_since(since) < self.limits.idle_time && !link.is_stale() {
                return Some(link);
            }
        }
    }

    /// Returns a connection from `source`.
    async fn acquire(&self, source: Source) -> Result<Connection, CallError> {
        let now = Instant::now();
        if source == Source::Idle
            && let Some(link) = self.take_idle(now)
        {
            return Ok(link);
        }
        let limit = self.limits.connect_time + self.activity.allowance(now);
        let link = Connection::open(self.address, limit)
            .await
            .map_err(CallError::Unreachable)?;
        let opened = Instant::now();
        self.activity.record_round_trip(opened, opened - now);
        Ok(link)
    }

    /// Sends a request and reads the answer. Returns with it whether the connection can be used again.
    async fn exchange(
        &self,
        link: &mut Connection,
        request: &[u8],
    ) -> Result<(ServerAnswer, bool), ConnectionError> {
        link.write(request).await.map_err(ConnectionError::Io)?;
        let head = link.read_response().await?;
        let mut decoder = BodyDecoder::new(head.framing);
        let mut body = BytesMut::new();
        let mut keep = head.keep_alive;
        loop {
            while let Some(piece) = decoder
                .take(&mut link.buf)
                .map_err(ConnectionError::Protocol)?
            {
                body.extend_from_slice(&piece);
            }
            if decoder.is_done() {
                break;
            }
            if body.len() > self.limits.body_bytes {
                return Err(ConnectionError::Protocol(ParseError::Malformed));
            }
            if link.fill().await.map_err(ConnectionError::Io)? == 0 {
                if !decoder.ends_with_connection() {
                    return Err(ConnectionError::Closed);
                }
                keep = false;
                break;
            }
        }
        let answer = ServerAnswer {
            status: head.status,
            fields: head.fields,
            body,
        };
        Ok((answer, keep))
    }
}
