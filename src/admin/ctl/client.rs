//! Connection to the administration API.

use std::{
    io::ErrorKind,
    net::SocketAddr,
    thread,
    time::{
        Duration,
        Instant, //
    },
};

use clap::ArgMatches;
use serde::{
    Serialize,
    de::DeserializeOwned, //
};

use super::{
    Exit,
    Failed,
    TOKEN_ENV, //
};
use crate::wire::admin as wire;

/// Address when none is given.
const DEFAULT: SocketAddr =
    SocketAddr::new(std::net::IpAddr::V4(std::net::Ipv4Addr::LOCALHOST), 8090);
/// Attempts of one request, over all daemons.
const ATTEMPTS: usize = 3;
/// Pause between two looks at where a version is in force.
const PAUSE: Duration = Duration::from_millis(200);

/// Which state of the item a request expects.
#[derive(Clone, Copy)]
pub(super) enum Seen {
    Nothing,
    Absent,
    Version(u64),
}

/// An answer with its ETag.
pub(super) struct Tagged<T> {
    pub(super) body: T,
    pub(super) etag: u64,
}

pub(super) struct Client {
    daemons: Vec<SocketAddr>,
    token: String,
    timeout: u64,
    wait: Duration,
    request: String,
}

enum Attempt {
    Answer(minreq::Response),
    /// The daemon is not there.
    Away(String),
    /// The request may have arrived.
    Lost(String),
}

impl Client {
    pub(super) fn open(matches: &ArgMatches, token: Option<String>) -> Result<Self, Failed> {
        let token = match matches.get_one::<String>("token-file") {
            Some(path) => std::fs::read_to_string(path)
                .map_err(|err| Failed::usage(format!("token file {path}: {err}")))?,
            None => token.ok_or_else(|| {
                Failed::usage(format!(
                    "give --token-file, or set {TOKEN_ENV} to the token"
                ))
            })?,
        };
        let daemons = matches.get_many::<SocketAddr>("daemon");
        let number = |name| *matches.get_one::<u64>(name).expect("it has a default");
        let random = || format!("{:032x}", rand::random::<u128>());
        Ok(Self {
            daemons: daemons.map_or(vec![DEFAULT], |all| all.copied().collect()),
            token: token.trim().into(),
            timeout: number("timeout"),
            wait: Duration::from_secs(number("wait")),
            request: matches
                .get_one::<String>("request")
                .cloned()
                .unwrap_or_else(random),
        })
    }

    pub(super) fn get<T: DeserializeOwned>(&self, path: &str) -> Result<Tagged<T>, Failed> {
        self.send(minreq::Method::Get, path, Seen::Nothing, "", Vec::new())
    }

    pub(super) fn put<T: DeserializeOwned, B: Serialize>(
        &self,
        path: &str,
        seen: Seen,
        body: &B,
    ) -> Result<Tagged<T>, Failed> {
        self.send(minreq::Method::Put, path, seen, path, encode(body))
    }

    pub(super) fn post<T: DeserializeOwned, B: Serialize>(
        &self,
        path: &str,
        body: &B,
    ) -> Result<Tagged<T>, Failed> {
        let method = minreq::Method::Post;
        self.send(method, path, Seen::Nothing, "", encode(body))
    }

    pub(super) fn delete<T: DeserializeOwned>(
        &self,
        path: &str,
        seen: Seen,
    ) -> Result<Tagged<T>, Failed> {
        self.send(minreq::Method::Delete, path, seen, path, Vec::new())
    }

    /// Sends a request until a daemon answers. All attempts carry the same request id; `part` tells
    /// the requests of one command apart.
    fn send<T: DeserializeOwned>(
        &self,
        method: minreq::Method,
        path: &str,
        seen: Seen,
        part: &str,
        body: Vec<u8>,
    ) -> Result<Tagged<T>, Failed> {
        let (mut last, mut lost) = (String::new(), false);
        for daemon in self
            .daemons
            .iter()
            .cycle()
            .take(ATTEMPTS.max(self.daemons.len()))
        {
            let url = format!("http://{daemon}/admin/v1/{path}");
            let request = minreq::Request::new(method.clone(), url)
                .with_header("Idempotency-Key", self.key(part))
                .with_body(body.clone());
            match self.attempt(with_seen(request, seen)) {
                Attempt::Answer(reply) => return decode(&reply),
                Attempt::Away(why) => last = format!("{daemon}: {why}"),
                Attempt::Lost(why) => {
                    last = format!("{daemon}: {why}");
                    lost = true;
                }
            }
        }
        let message = match method {
            minreq::Method::Get => format!("no daemon answered; {last}"),
            _ if !lost => format!("no daemon was reached, nothing was changed; {last}"),
            _ => format!(
                "no daemon answered, and the change may have been made; repeat the command with \
                 --request {} to learn its result; {last}",
                self.request
            ),
        };
        Err(Failed::new(Exit::Unreachable, message))
    }

    fn key(&self, part: &str) -> String {
        match part {
            "" => self.request.clone(),
            part => {
                use sha2::Digest;
                let digest = sha2::Sha256::digest(format!("{} {part}", self.request));
                hex::encode(&digest[..16])
            }
        }
    }

    fn attempt(&self, request: minreq::Request) -> Attempt {
        let reply = request
            .with_header("Authorization", format!("Bearer {}", self.token))
            .with_timeout(self.timeout)
            .with_follow_redirects(false)
            .send();
        match reply {
            Ok(reply) if reply.status_code == 503 => {
                let text = String::from_utf8_lossy(reply.as_bytes()).into_owned();
                match text.contains("may-have-run") {
                    true => Attempt::Lost(text),
                    false => Attempt::Answer(reply),
                }
            }
            Ok(reply) => Attempt::Answer(reply),
            Err(minreq::Error::IoError(io)) if io.kind() == ErrorKind::ConnectionRefused => {
                Attempt::Away(io.to_string())
            }
            Err(err) => Attempt::Lost(err.to_string()),
        }
    }

    /// Waits until a version is in force; returns the daemons that have not confirmed it in time.
    pub(super) fn wait(&self, version: u64) -> Result<wire::InForce, Failed> {
        let start = Instant::now();
        loop {
            let path = format!("config/wait?version={version}");
            let answer: Tagged<wire::InForce> = self.get(&path)?;
            if answer.body.in_force || start.elapsed() >= self.wait {
                return Ok(answer.body);
            }
            thread::sleep(PAUSE);
        }
    }

    pub(super) fn waits(&self) -> bool {
        !self.wait.is_zero()
    }
}

fn with_seen(request: minreq::Request, seen: Seen) -> minreq::Request {
    match seen {
        Seen::Nothing => request,
        Seen::Absent => request.with_header("If-None-Match", "*"),
        Seen::Version(version) => request.with_header("If-Match", format!("\"{version}\"")),
    }
}

fn encode<B: Serialize>(body: &B) -> Vec<u8> {
    serde_json::to_vec(body).expect("wire types have string keys")
}

fn decode<T: DeserializeOwned>(reply: &minreq::Response) -> Result<Tagged<T>, Failed> {
    if reply.status_code != 200 {
        return Err(failure(reply));
    }
    let body = serde_json::from_slice(reply.as_bytes())
        .map_err(|err| Failed::new(Exit::Failed, format!("the answer is malformed: {err}")))?;
    let etag = reply.header("ETag").map(|tag| tag.trim_matches('"'));
    Ok(Tagged {
        body,
        etag: etag.and_then(|tag| tag.parse().ok()).unwrap_or(0),
    })
}

fn failure(reply: &minreq::Response) -> Failed {
    let exit = match reply.status_code {
        409 => Exit::Conflict,
        _ => Exit::Failed,
    };
    let Ok(body) = serde_json::from_slice::<wire::Failure>(reply.as_bytes()) else {
        let message = format!("the daemon answered with status {}", reply.status_code);
        return Failed::new(exit, message);
    };
    let problem = body.error;
    let mut message = format!("{} ({})", problem.message, problem.verdict);
    if let Some(edit) = problem.conflict {
        let value = edit.value.unwrap_or_default();
        let text = format!("\nversion {} by {}: {value}", edit.version, edit.operator);
        message.push_str(&text);
    }
    Failed::new(exit, message)
}
