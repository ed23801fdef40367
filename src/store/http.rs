//! Client of the platform's HTTP interface with JSON bodies.

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
    CommitOutcome,
    Objects,
    Precondition,
    Row,
    StoreError,
    Table,
    Vm,
    VmList,
    Write, //
};
use crate::wire::platform as wire;

/// Time limit of one call to the platform.
const CALL_TIMEOUT_S: u64 = 3;

/// Client of the platform's table service, object store and list of VMs.
#[derive(Clone, Debug)]
pub struct HttpStore {
    base: Arc<str>,
}

impl HttpStore {
    /// Returns a client of the platform at `addr`, which opens a connection for each call.
    ///
    /// # Examples
    ///
    /// ```
    /// use cuminloom::store::{HttpStore, StoreError, Table};
    /// // Nothing listens on port 1, so nothing can have been applied.
    /// let store = HttpStore::new("127.0.0.1:1".parse().unwrap());
    /// assert_eq!(store.read("config/head"), Err(StoreError::Unavailable));
    /// ```
    pub fn new(addr: SocketAddr) -> Self {
        Self {
            base: format!("http://{addr}").into(),
        }
    }

    /// Sends a request and returns the response if its status is one that the store defines.
    fn send(&self, request: minreq::Request) -> Result<minreq::Response, StoreError> {
        let reply = request
            .with_timeout(CALL_TIMEOUT_S)
            .with_follow_redirects(false)
            .send()
            .map_err(|err| store_error(&err))?;
        // `minreq` reports a connection that closes without a response as a 503 without headers; a
        // write may have been applied then.
        if reply.headers.is_empty() {
            return Err(StoreError::Unknown);
        }
        match reply.status_code {
            200 | 201 | 404 | 409 | 412 => Ok(reply),
            // The platform sends 503 before it processes the request.
            503 => Err(StoreError::Unavailable),
            _ => Err(StoreError::Unknown),
        }
    }

    /// Reads a JSON document; returns `None` if it does not exist.
    fn get_json<T: DeserializeOwned>(&self, path: &str) -> Result<Option<T>, StoreError> {
        let reply = self.send(minreq::get(format!("{}{path}", self.base)))?;
        if reply.status_code != 200 {
            return Ok(None);
        }
        decode(&reply).map(Some)
    }
}

/// Classifies an I/O error: only a refused connection shows that nothing was applied.
fn store_error(err: &minreq::Error) -> StoreError {
    match err {
        minreq::Error::IoError(io) if io.kind() == ErrorKind::ConnectionRefused => {
            StoreError::Unavailable
        }
        _ => StoreError::Unknown,
    }
}

/// Decodes a response body; an undecodable response counts as lost.
fn decode<T: DeserializeOwned>(reply: &minreq::Response) -> Result<T, StoreError> {
    serde_json::from_slice(reply.as_bytes()).map_err(|_| StoreError::Unknown)
}

fn encode<T: Serialize>(body: &T) -> Vec<u8> {
    serde_json::to_vec(body).expect("wire types have string keys")
}

/// Percent-encodes all characters but unreserved ones and the slash.
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

fn decode_row(row: wire::Row) -> Row {
    Row {
        key: row.key.into(),
        version: row.version,
        value: row.value,
    }
}

fn encode_write(write: &Write) -> wire::Write {
    wire::Write {
        key: write.key.to_string(),
        expect: match write.precondition {
            Precondition::Absent => wire::Expect::Absent,
            Precondition::Any => wire::Expect::Any,
            Precondition::Version(version) => wire::Expect::Version(version),
        },
        action: match &write.change {
            Change::Put(value) => wire::Action::Put(value.clone()),
            Change::Delete => wire::Action::Delete,
            Change::Check => wire::Action::Check,
        },
    }
}

impl Table for HttpStore {
    fn read(&self, key: &str) -> Result<Option<Row>, StoreError> {
        let row: Option<wire::Row> = self.get_json(&format!("/rows/{}", escape(key)))?;
        Ok(row.map(decode_row))
    }

    fn list(&self, prefix: &str, after: &str, limit: usize) -> Result<Vec<Row>, StoreError> {
        let (prefix, after) = (escape(prefix), escape(after));
        let path = format!("/rows?prefix={prefix}&after={after}&limit={limit}");
        let page: Option<wire::Rows> = self.get_json(&path)?;
        let rows = page.ok_or(StoreError::Unknown)?.rows;
        Ok(rows.into_iter().map(decode_row).collect())
    }

    fn commit(&self, writes: &[Write]) -> Result<CommitOutcome, StoreError> {
        let body = wire::Commit {
            writes: writes.iter().map(encode_write).collect(),
        };
        let request = minreq::post(format!("{}/commit", self.base)).with_body(encode(&body));
        let reply = self.send(request)?;
        match reply.status_code {
            200 => Ok(CommitOutcome::Applied(
                decode::<wire::Applied>(&reply)?.versions,
            )),
            409 => {
                let refused: wire::Refused = decode(&reply)?;
                let row = refused.row.map(decode_row);
                Ok(CommitOutcome::Conflict {
                    key: refused.key.into(),
                    row,
                })
            }
            _ => Err(StoreError::Unknown),
        }
    }
}

impl Objects for HttpStore {
    fn get(&self, name: &str) -> Result<Option<Vec<u8>>, StoreError> {
        let path = format!("{}/objects/{}", self.base, escape(name));
        let reply = self.send(minreq::get(path))?;
        Ok((reply.status_code == 200).then(|| reply.into_bytes()))
    }

    fn put_new(&self, name: &str, body: &[u8]) -> Result<bool, StoreError> {
        let path = format!("{}/objects/{}", self.base, escape(name));
        let request = minreq::put(path)
            .with_header("If-None-Match", "*")
            .with_body(body);
        match self.send(request)?.status_code {
            200 | 201 => Ok(true),
            412 => Ok(false),
            _ => Err(StoreError::Unknown),
        }
    }
}

impl VmList for HttpStore {
    fn list_vms(&self) -> Result<Vec<Vm>, StoreError> {
        let list: Option<wire::Vms> = self.get_json("/vms")?;
        let vms = list.ok_or(StoreError::Unknown)?.vms;
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
