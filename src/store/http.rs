//! The platform over HTTP with JSON bodies.

use std::{
    io::ErrorKind,
    net::SocketAddr,
    sync::Arc, //
};

use serde::{
    Serialize,
    de::DeserializeOwned, //
};

use super::{
    Change,
    Expect,
    Objects,
    Outcome,
    Row,
    StoreFault,
    Table,
    Vm,
    Vms,
    Write, //
};
use crate::wire::platform as wire;

/// Deadline of one exchange with the platform, in seconds.
const TIMEOUT_S: u64 = 3;

/// Client of the platform's table service, object store and list of VMs.
#[derive(Clone, Debug)]
pub struct HttpStore {
    base: Arc<str>,
}

impl HttpStore {
    /// Returns a client of the platform at `addr`; it connects for each exchange.
    ///
    /// # Examples
    ///
    /// ```
    /// use cuminloom::store::{HttpStore, StoreFault, Table};
    /// // Nothing listens on port 1, so nothing can have been applied.
    /// let store = HttpStore::open("127.0.0.1:1".parse().unwrap());
    /// assert_eq!(store.read("config/head"), Err(StoreFault::Unavailable));
    /// ```
    pub fn open(addr: SocketAddr) -> Self {
        Self {
            base: format!("http://{addr}").into(),
        }
    }

    fn send(&self, request: minreq::Request) -> Result<minreq::Response, StoreFault> {
        let reply = request
            .with_timeout(TIMEOUT_S)
            .with_follow_redirects(false)
            .send()
            .map_err(|err| fault_of(&err))?;
        // `minreq` makes up a 503 when the connection closes without an answer; such a reply has no
        // headers, and a write may have been applied.
        if reply.headers.is_empty() {
            return Err(StoreFault::Unknown);
        }
        match reply.status_code {
            200 | 201 | 404 | 409 | 412 => Ok(reply),
            // The platform answers 503 before it looks at the request.
            503 => Err(StoreFault::Unavailable),
            _ => Err(StoreFault::Unknown),
        }
    }

    fn get_json<T: DeserializeOwned>(&self, path: &str) -> Result<Option<T>, StoreFault> {
        let reply = self.send(minreq::get(format!("{}{path}", self.base)))?;
        if reply.status_code != 200 {
            return Ok(None);
        }
        decode(&reply).map(Some)
    }
}

fn fault_of(err: &minreq::Error) -> StoreFault {
    match err {
        minreq::Error::IoError(io) if io.kind() == ErrorKind::ConnectionRefused => {
            StoreFault::Unavailable
        }
        _ => StoreFault::Unknown,
    }
}

fn decode<T: DeserializeOwned>(reply: &minreq::Response) -> Result<T, StoreFault> {
    serde_json::from_slice(reply.as_bytes()).map_err(|_| StoreFault::Unknown)
}

fn encode<T: Serialize>(body: &T) -> Vec<u8> {
    serde_json::to_vec(body).expect("wire types have string keys")
}

/// Escapes the characters that would end a path segment or a query value.
fn escape(text: &str) -> String {
    text.bytes()
        .fold(String::with_capacity(text.len()), |mut out, byte| {
            match byte {
                b'A'..=b'Z' | b'a'..=b'z' | b'0'..=b'9' | b'-' | b'_' | b'.' | b'~' | b'/' => {
                    out.push(char::from(byte));
                }
                _ => out.push_str(&format!("%{byte:02X}")),
            }
            out
        })
}

fn row_from(row: wire::Row) -> Row {
    Row {
        key: row.key.into(),
        version: row.version,
        value: row.value,
    }
}

fn write_to(write: &Write) -> wire::Write {
    wire::Write {
        key: write.key.to_string(),
        expect: match write.expect {
            Expect::Absent => wire::Expect::Absent,
            Expect::Any => wire::Expect::Any,
            Expect::Version(version) => wire::Expect::Version(version),
        },
        action: match &write.change {
            Change::Put(value) => wire::Action::Put(value.clone()),
            Change::Delete => wire::Action::Delete,
            Change::Check => wire::Action::Check,
        },
    }
}

impl Table for HttpStore {
    fn read(&self, key: &str) -> Result<Option<Row>, StoreFault> {
        let row: Option<wire::Row> = self.get_json(&format!("/rows/{}", escape(key)))?;
        Ok(row.map(row_from))
    }

    fn list(&self, prefix: &str, after: &str, limit: usize) -> Result<Vec<Row>, StoreFault> {
        let (prefix, after) = (escape(prefix), escape(after));
        let path = format!("/rows?prefix={prefix}&after={after}&limit={limit}");
        let page: Option<wire::Rows> = self.get_json(&path)?;
        let rows = page.ok_or(StoreFault::Unknown)?.rows;
        Ok(rows.into_iter().map(row_from).collect())
    }

    fn commit(&self, writes: &[Write]) -> Result<Outcome, StoreFault> {
        let body = wire::Commit {
            writes: writes.iter().map(write_to).collect(),
        };
        let request = minreq::post(format!("{}/commit", self.base)).with_body(encode(&body));
        let reply = self.send(request)?;
        match reply.status_code {
            200 => Ok(Outcome::Applied(decode::<wire::Applied>(&reply)?.versions)),
            409 => {
                let refused: wire::Refused = decode(&reply)?;
                let row = refused.row.map(row_from);
                Ok(Outcome::Conflict {
                    key: refused.key.into(),
                    row,
                })
            }
            _ => Err(StoreFault::Unknown),
        }
    }
}

impl Objects for HttpStore {
    fn get(&self, name: &str) -> Result<Option<Vec<u8>>, StoreFault> {
        let path = format!("{}/objects/{}", self.base, escape(name));
        let reply = self.send(minreq::get(path))?;
        Ok((reply.status_code == 200).then(|| reply.into_bytes()))
    }

    fn put_new(&self, name: &str, body: &[u8]) -> Result<bool, StoreFault> {
        let path = format!("{}/objects/{}", self.base, escape(name));
        let request = minreq::put(path)
            .with_header("If-None-Match", "*")
            .with_body(body);
        match self.send(request)?.status_code {
            200 | 201 => Ok(true),
            412 => Ok(false),
            _ => Err(StoreFault::Unknown),
        }
    }
}

impl Vms for HttpStore {
    fn vms(&self) -> Result<Vec<Vm>, StoreFault> {
        let list: Option<wire::Vms> = self.get_json("/vms")?;
        let vms = list.ok_or(StoreFault::Unknown)?.vms;
        Ok(vms
            .into_iter()
            .map(|vm| Vm {
                name: vm.name.into(),
                dc: vm.dc.into(),
                leaving: matches!(vm.state, wire::VmState::Leaving),
            })
            .collect())
    }
}
