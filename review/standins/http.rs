//! HTTP/1.1 over blocking sockets.

use std::{
    collections::BTreeMap,
    io::{BufRead, BufReader, Read},
    net::TcpStream,
};

/// A request as received.
#[derive(Clone, Debug)]
pub struct Request {
    pub method: String,
    pub target: String,
    /// Header fields, with names in lower case.
    pub fields: BTreeMap<String, String>,
    pub body: Vec<u8>,
}

impl Request {
    /// Value of the header field `name`, or an empty text.
    pub fn field(&self, name: &str) -> &str {
        self.fields.get(name).map_or("", |v| v)
    }

    /// Path, and the parameters of the query.
    pub fn query(&self) -> (String, BTreeMap<String, String>) {
        let (path, query) = self.target.split_once('?').unwrap_or((&self.target, ""));
        let pairs = query.split('&').filter_map(|p| p.split_once('='));
        let pairs = pairs.map(|(k, v)| (k.to_owned(), decode(v)));
        (path.to_owned(), pairs.collect())
    }
}

/// Decodes percent-encoded bytes.
fn decode(text: &str) -> String {
    let bytes = text.as_bytes();
    let (mut out, mut at) = (Vec::new(), 0);
    while at < bytes.len() {
        let code = (bytes[at] == b'%').then(|| text.get(at + 1..at + 3));
        match code.flatten().and_then(|c| u8::from_str_radix(c, 16).ok()) {
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

/// Reads a request; `None` when the connection ends.
pub fn read_request(reader: &mut BufReader<TcpStream>) -> Option<Request> {
    let mut line = String::new();
    if reader.read_line(&mut line).ok()? == 0 {
        return None;
    }
    let mut words = line.split_whitespace().map(str::to_owned);
    let (method, target) = (words.next()?, words.next()?);
    let mut fields = BTreeMap::new();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line).ok()? == 0 {
            return None;
        }
        let line = line.trim_end();
        if line.is_empty() {
            break;
        }
        let (name, value) = line.split_once(':')?;
        fields.insert(name.to_ascii_lowercase(), value.trim().to_owned());
    }
    let length = fields.get("content-length").and_then(|v| v.parse().ok());
    let mut body = vec![0; length.unwrap_or(0)];
    reader.read_exact(&mut body).ok()?;
    Some(Request {
        method,
        target,
        fields,
        body,
    })
}
