//! Reading of HTTP/1.1 requests from a connection, for the stand-ins.

use std::io::Read;
use std::net::TcpStream;

/// A request as received.
#[derive(Clone, Debug)]
pub struct Request {
    pub method: String,
    pub target: String,
    pub fields: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Request {
    /// Value of a field; the name is in lower case.
    pub fn field(&self, name: &str) -> Option<&str> {
        let mut found = self.fields.iter().filter(|(n, _)| n == name);
        found.next().map(|(_, v)| v.as_str())
    }

    /// Path without the query.
    pub fn path(&self) -> &str {
        self.target.split('?').next().unwrap_or("")
    }

    /// Parameter of the query.
    pub fn query(&self, name: &str) -> Option<String> {
        let query = self.target.split_once('?')?.1;
        query
            .split('&')
            .filter_map(|p| p.split_once('='))
            .find(|(n, _)| *n == name)
            .map(|(_, v)| v.to_owned())
    }
}

/// Splits a head into its first line and its fields.
pub fn parse_head(head: &str) -> (String, Vec<(String, String)>) {
    let mut lines = head.split("\r\n");
    let first = lines.next().unwrap_or("").to_owned();
    let fields = lines
        .filter_map(|l| l.split_once(':'))
        .map(|(n, v)| (n.trim().to_ascii_lowercase(), v.trim().to_owned()))
        .collect();
    (first, fields)
}

/// Position after the head in `buf`.
pub fn head_end(buf: &[u8]) -> Option<usize> {
    buf.windows(4).position(|w| w == b"\r\n\r\n").map(|n| n + 4)
}

/// Reads more bytes; `false` at the end of the connection.
fn more(stream: &mut TcpStream, buf: &mut Vec<u8>) -> bool {
    let mut piece = [0; 16 * 1024];
    match stream.read(&mut piece) {
        Ok(n) if n > 0 => {
            buf.extend_from_slice(&piece[..n]);
            true
        }
        _ => false,
    }
}

/// Reads the next request; `None` at the end of the connection.
pub fn read_request(stream: &mut TcpStream, buf: &mut Vec<u8>) -> Option<Request> {
    let end = loop {
        if let Some(end) = head_end(buf) {
            break end;
        }
        if !more(stream, buf) {
            return None;
        }
    };
    let head = String::from_utf8_lossy(&buf[..end - 4]).into_owned();
    buf.drain(..end);
    let (first, fields) = parse_head(&head);
    let mut words = first.split(' ');
    let mut request = Request {
        method: words.next()?.to_owned(),
        target: words.next()?.to_owned(),
        fields,
        body: Vec::new(),
    };
    let length = request.field("content-length").and_then(|v| v.parse().ok());
    let length: usize = length.unwrap_or(0);
    while buf.len() < length {
        if !more(stream, buf) {
            return None;
        }
    }
    request.body = buf.drain(..length).collect();
    Some(request)
}
