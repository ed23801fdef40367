//! HTTP servers with one thread per request, whose connections can be closed without an answer.

use std::{
    io::{
        self,
        Write, //
    },
    net::SocketAddr,
    sync::Arc,
    thread,
    time::{
        Duration,
        Instant, //
    },
};

use chunked_transfer::Encoder;
use serde::{
    Serialize,
    de::DeserializeOwned, //
};
use tiny_http::{
    Header,
    Request,
    Response, //
};

use crate::relay::{
    Mode,
    Relay, //
};

/// Pause between two looks at whether the client of a waiting request has gone.
const LOOK: Duration = Duration::from_millis(2);

/// Largest chunk of a stream; an event is one chunk unless it is larger.
const EVENT_BYTES: usize = 0x4000;

/// A running server. The relay in front of it holds the sockets of the clients, which `tiny_http`
/// doesn't give out.
#[derive(Clone, Debug)]
pub struct Server {
    relay: Arc<Relay>,
}

impl Server {
    /// Listens on `listen` and calls `handle` in a new thread for each request.
    ///
    /// # Errors
    ///
    /// Fails when `listen` is in use.
    ///
    /// # Examples
    ///
    /// ```
    /// use cuminloom_standins::server::Server;
    /// let any = "127.0.0.1:0".parse().unwrap();
    /// let server = Server::bind(any, |call| call.answer(200, &"hello")).unwrap();
    /// let reply = minreq::get(format!("http://{}/", server.addr())).send().unwrap();
    /// assert_eq!(reply.as_str().unwrap(), "\"hello\"");
    /// ```
    pub fn bind<F>(listen: SocketAddr, handle: F) -> io::Result<Self>
    where
        F: Fn(Call) + Send + Sync + 'static,
    {
        let inner = tiny_http::Server::http("127.0.0.1:0").map_err(io::Error::other)?;
        let to = inner.server_addr().to_ip().expect("bound to an address");
        let server = Self {
            relay: Arc::new(Relay::bind(listen, to)?),
        };
        let (relay, handle) = (Arc::downgrade(&server.relay), Arc::new(handle));
        thread::spawn(move || {
            while let Ok(request) = inner.recv() {
                let Some(relay) = relay.upgrade() else { return };
                let handle = handle.clone();
                thread::spawn(move || {
                    if let Some(call) = Call::read(request, relay) {
                        handle(call);
                    }
                });
            }
        });
        Ok(server)
    }

    /// Address on which the server listens.
    ///
    /// # Examples
    ///
    /// ```
    /// use cuminloom_standins::server::Server;
    /// let server = Server::bind("127.0.0.1:0".parse().unwrap(), drop).unwrap();
    /// assert!(server.addr().ip().is_loopback());
    /// ```
    pub fn addr(&self) -> SocketAddr {
        self.relay.addr()
    }

    /// Cuts, freezes or heals all connections.
    ///
    /// # Examples
    ///
    /// ```
    /// use cuminloom_standins::{relay::Mode, server::Server};
    /// let server = Server::bind("127.0.0.1:0".parse().unwrap(), drop).unwrap();
    /// server.set(Mode::Cut);
    /// assert!(minreq::get(format!("http://{}/", server.addr())).send().is_err());
    /// ```
    pub fn set(&self, mode: Mode) {
        self.relay.set(mode);
    }
}

/// A request with its body. Dropping it closes the connection without an answer.
#[derive(Debug)]
pub struct Call {
    /// Method in capitals.
    pub method: String,
    /// Path without the query.
    pub path: String,
    /// Text after the question mark.
    pub query: String,
    /// Body.
    pub body: Vec<u8>,
    request: Option<Request>,
    client: Client,
}

/// The connection of a request.
#[derive(Clone, Debug)]
pub(crate) struct Client {
    relay: Arc<Relay>,
    port: u16,
}

impl Client {
    pub(crate) fn gone(&self) -> bool {
        self.relay.gone(self.port)
    }

    pub(crate) fn close(&self) {
        self.relay.close(self.port);
    }

    /// Sleeps for `time`; returns false at once when the client closes the connection.
    pub(crate) fn sleep(&self, time: Duration) -> bool {
        let end = Instant::now() + time;
        loop {
            let left = end.saturating_duration_since(Instant::now());
            if left.is_zero() || self.gone() {
                return !self.gone();
            }
            thread::sleep(left.min(LOOK));
        }
    }
}

impl Call {
    fn read(mut request: Request, relay: Arc<Relay>) -> Option<Self> {
        let port = request.remote_addr()?.port();
        let mut body = Vec::new();
        request.as_reader().read_to_end(&mut body).ok()?;
        let (path, query) = request.url().split_once('?').unwrap_or((request.url(), ""));
        Some(Self {
            method: request.method().to_string(),
            path: unescape(path),
            query: query.into(),
            body,
            request: Some(request),
            client: Client { relay, port },
        })
    }

    pub(crate) fn client(&self) -> Client {
        self.client.clone()
    }

    pub(crate) fn header(&self, name: &'static str) -> Option<&str> {
        let mut headers = self.request.as_ref()?.headers().iter();
        let found = headers.find(|header| header.field.equiv(name))?;
        Some(found.value.as_str())
    }

    pub(crate) fn param(&self, name: &str) -> Option<String> {
        let mut pairs = self
            .query
            .split('&')
            .filter_map(|pair| pair.split_once('='));
        let (_, value) = pairs.find(|(key, _)| *key == name)?;
        Some(unescape(value))
    }

    /// Calls `f` with the decoded body, or answers 400.
    pub(crate) fn with_json<T: DeserializeOwned>(self, f: impl FnOnce(Call, T)) {
        match serde_json::from_slice(&self.body) {
            Ok(body) => f(self, body),
            Err(err) => self.answer(400, &err.to_string()),
        }
    }

    /// Answers with a JSON body.
    ///
    /// # Examples
    ///
    /// ```
    /// use cuminloom_standins::server::Server;
    /// let any = "127.0.0.1:0".parse().unwrap();
    /// let server = Server::bind(any, |call| call.answer(404, &())).unwrap();
    /// let reply = minreq::get(format!("http://{}/", server.addr())).send().unwrap();
    /// assert_eq!(reply.status_code, 404);
    /// ```
    pub fn answer<T: Serialize + ?Sized>(self, status: u16, body: &T) {
        let body = serde_json::to_vec(body).expect("bodies have string keys");
        self.answer_bytes(status, "application/json", body);
    }

    pub(crate) fn answer_bytes(mut self, status: u16, kind: &str, body: Vec<u8>) {
        let Some(request) = self.request.take() else {
            return;
        };
        let response = Response::from_data(body)
            .with_status_code(status)
            .with_header(header("content-type", kind));
        let _ = request.respond(response);
    }

    /// Starts an answer of server-sent events.
    pub(crate) fn events(mut self) -> io::Result<Events> {
        let request = self.request.take().expect("taken once");
        let mut writer = request.into_writer();
        writer.write_all(
            b"HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\n\
              transfer-encoding: chunked\r\n\r\n",
        )?;
        writer.flush()?;
        Ok(Events {
            out: Some(Encoder::with_chunks_size(Flushing(writer), EVENT_BYTES)),
            client: self.client.clone(),
        })
    }
}

impl Drop for Call {
    fn drop(&mut self) {
        if self.request.is_some() {
            // The connection is closed first, because a dropped request is answered with 500.
            self.client.close();
        }
    }
}

/// A stream of server-sent events. Dropping it without `end` closes the connection.
pub(crate) struct Events {
    out: Option<Encoder<Flushing>>,
    client: Client,
}

/// Flushes after each write, because the encoder doesn't pass a flush on.
struct Flushing(Box<dyn Write + Send>);

impl Write for Flushing {
    fn write(&mut self, data: &[u8]) -> io::Result<usize> {
        self.0.write_all(data)?;
        self.0.flush()?;
        Ok(data.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        self.0.flush()
    }
}

impl Events {
    pub(crate) fn send(&mut self, data: &str) -> io::Result<()> {
        let out = self.out.as_mut().expect("present until `end`");
        write!(out, "data: {data}\n\n")?;
        out.flush()
    }

    /// Ends the answer as a complete one.
    pub(crate) fn end(mut self) {
        drop(self.out.take());
    }
}

impl Drop for Events {
    fn drop(&mut self) {
        if self.out.is_some() {
            // The encoder writes the last chunk when it is dropped, so the connection is closed first.
            self.client.close();
        }
    }
}

fn header(name: &str, value: &str) -> Header {
    Header::from_bytes(name.as_bytes(), value.as_bytes()).expect("plain text")
}

fn unescape(text: &str) -> String {
    let bytes = text.as_bytes();
    let (mut out, mut at) = (Vec::with_capacity(bytes.len()), 0);
    while at < bytes.len() {
        let code = text.get(at + 1..at + 3).filter(|_| bytes[at] == b'%');
        match code.and_then(|code| u8::from_str_radix(code, 16).ok()) {
            Some(byte) => {
                out.push(byte);
                at += 3;
            }
            None => {
                out.push(bytes[at]);
                at += 1;
            }
        }
    }
    String::from_utf8_lossy(&out).into_owned()
}
