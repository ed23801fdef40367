//! Stand-in of the callers.

use std::{
    io::{Read, Write},
    net::{SocketAddr, TcpStream},
    time::{Duration, Instant},
};

/// A request of one caller for a stream.
#[derive(Clone, Debug)]
pub struct StreamRequest {
    pub id: String,
    pub path: String,
    pub key: String,
    pub prompt: u64,
    pub output: u64,
    /// Parts of the prompt; the last one belongs to the request.
    pub parts: String,
    pub body: String,
    pub deadline: Duration,
}

/// What the caller got.
#[derive(Clone, Debug)]
pub struct Answer {
    /// Status; 0 if the connection ended without an answer, or was not opened.
    pub status: u16,
    /// Whether the connection was opened.
    pub connected: bool,
    /// Value of `Retry-After`, in seconds.
    pub retry_after: Option<f64>,
    pub sealed: bool,
    pub events: u64,
    /// Whether the answer is whole.
    pub complete: bool,
    pub took: Duration,
}

impl Answer {
    /// Whether the request was served.
    pub fn is_served(&self) -> bool {
        self.status == 200 && self.sealed && self.complete
    }
}

/// Sends a request for a stream on a new connection and reads the answer.
pub fn send(address: SocketAddr, request: &StreamRequest) -> Answer {
    let text = format!(
        "POST {} HTTP/1.1\r\nHost: shop.example\r\nX-Cuminloom-Attempt-Id: {}\r\n\
         X-Cuminloom-Model: m\r\nX-Cuminloom-Token-Counts: {},{}\r\nX-Cuminloom-Prefix-Hash: {}\r\n\
         X-Cuminloom-Deadline-Ms: {}\r\nAuthorization: Bearer {}\r\nConnection: close\r\n\
         Content-Length: {}\r\n\r\n{}",
        request.path,
        request.id,
        request.prompt,
        request.output,
        request.parts,
        request.deadline.as_millis(),
        request.key,
        request.body.len(),
        request.body
    );
    send_text(address, &text, request.deadline)
}

/// Sends a `GET` on a new connection and reads the answer.
pub fn get(address: SocketAddr, path: &str, id: &str, key: &str, deadline: Duration) -> Answer {
    let text = format!(
        "GET {path} HTTP/1.1\r\nHost: shop.example\r\nX-Cuminloom-Attempt-Id: {id}\r\n\
         X-Cuminloom-Deadline-Ms: {}\r\nAuthorization: Bearer {key}\r\nConnection: close\r\n\r\n",
        deadline.as_millis()
    );
    send_text(address, &text, deadline)
}

/// Sends the text of a request on a new connection and reads the answer.
fn send_text(address: SocketAddr, text: &str, deadline: Duration) -> Answer {
    let begun = Instant::now();
    let mut answer = Answer {
        status: 0,
        connected: false,
        retry_after: None,
        sealed: false,
        events: 0,
        complete: false,
        took: Duration::ZERO,
    };
    if let Ok(stream) = TcpStream::connect_timeout(&address, Duration::from_secs(1)) {
        answer.connected = true;
        let bytes = exchange(stream, text, deadline, begun);
        read_answer(&bytes, &mut answer);
    }
    answer.took = begun.elapsed();
    answer
}

/// Returns the bytes received until the connection ends or the deadline passes.
fn exchange(mut stream: TcpStream, text: &str, deadline: Duration, begun: Instant) -> Vec<u8> {
    let mut bytes = Vec::new();
    if stream.write_all(text.as_bytes()).is_err() {
        return bytes;
    }
    let mut piece = [0; 4096];
    loop {
        let left = deadline.saturating_sub(begun.elapsed());
        if left.is_zero() || stream.set_read_timeout(Some(left)).is_err() {
            return bytes;
        }
        match stream.read(&mut piece) {
            Ok(n) if n > 0 => bytes.extend_from_slice(&piece[..n]),
            _ => return bytes,
        }
    }
}

/// Reads the bytes of an answer.
fn read_answer(bytes: &[u8], answer: &mut Answer) {
    let text = String::from_utf8_lossy(bytes);
    let Some((head, body)) = text.split_once("\r\n\r\n") else {
        return;
    };
    let status = head.split(' ').nth(1).and_then(|s| s.parse().ok());
    answer.status = status.unwrap_or(0);
    let mut length = None;
    for line in head.lines() {
        let Some((name, value)) = line.split_once(':') else {
            continue;
        };
        match name.to_ascii_lowercase().as_str() {
            "retry-after" => answer.retry_after = value.trim().parse().ok(),
            "x-cuminloom-response-seal" => answer.sealed = true,
            "content-length" => length = value.trim().parse::<usize>().ok(),
            _ => {}
        }
    }
    answer.events = body.lines().filter(|l| l.starts_with("id: ")).count() as u64;
    answer.complete = match length {
        Some(length) => body.len() == length,
        None => body.ends_with("0\r\n\r\n"),
    };
}
