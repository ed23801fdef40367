//! HTTP client of the administration API.

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
    CommandError,
    Exit,
    TOKEN_ENV, //
};
use crate::wire::admin as wire;

/// Address of the daemon when the command line names none.
const DEFAULT_ADDR: SocketAddr =
    SocketAddr::new(std::net::IpAddr::V4(std::net::Ipv4Addr::LOCALHOST), 8090);
/// Least number of attempts of one request; with more daemons, each is tried once.
const MIN_ATTEMPTS: usize = 3;
/// Interval between two checks whether a version is in force.
const POLL_INTERVAL: Duration = Duration::from_millis(200);

/// State that the item to be changed must have.
#[derive(Clone, Copy)]
pub(super) enum Precondition {
    /// Any state.
    Any,
    /// The item does not exist.
    Absent,
    /// The item has this version.
    Version(u64),
}

/// Body of a response with its ETag; the ETag is 0 when there was none.
pub(super) struct Tagged<T> {
    pub(super) body: T,
    pub(super) etag: u64,
}

/// Sends requests to the first daemon that answers.
pub(super) struct Client {
    daemons: Vec<SocketAddr>,
    /// Token of the operator.
    token: String,
    /// Longest time for one attempt.
    timeout_s: u64,
    /// How long to wait until an edit is in force.
    max_wait: Duration,
    /// Request id of the command.
    request_id: String,
}

/// Outcome of one attempt of a request.
enum AttemptOutcome {
    Answered(minreq::Response),
    /// The connection was refused, so the request had no effect.
    Unreachable(String),
    /// The request may have taken effect: no response arrived, or the daemon does not know.
    Lost(String),
}

impl Client {
    /// Client with the options of the command line. `token` is used when no token file is named.
    pub(super) fn from_args(
        matches: &ArgMatches,
        token: Option<String>,
    ) -> Result<Self, CommandError> {
        let token = match matches.get_one::<String>("token-file") {
            Some(path) => std::fs::read_to_string(path)
                .map_err(|err| CommandError::usage(format!("token file {path}: {err}")))?,
            None => token.ok_or_else(|| {
                CommandError::usage(format!(
                    "give --token-file, or set {TOKEN_ENV} to the token"
                ))
            })?,
        };
        let daemons = matches.get_many::<SocketAddr>("daemon");
        let number = |name| {
            *matches
                .get_one::<u64>(name)
                .expect("clap supplies a default")
        };
        let random = || format!("{:032x}", rand::random::<u128>());
        Ok(Self {
            daemons: daemons.map_or(vec![DEFAULT_ADDR], |all| all.copied().collect()),
            token: token.trim().into(),
            timeout_s: number("timeout"),
            max_wait: Duration::from_secs(number("wait")),
            request_id: matches
                .get_one::<String>("request")
                .cloned()
                .unwrap_or_else(random),
        })
    }

    /// Reads a resource.
    pub(super) fn get<T: DeserializeOwned>(&self, path: &str) -> Result<Tagged<T>, CommandError> {
        self.send(minreq::Method::Get, path, Precondition::Any, "", Vec::new())
    }

    /// Creates or replaces a resource.
    pub(super) fn put<T: DeserializeOwned, B: Serialize>(
        &self,
        path: &str,
        precondition: Precondition,
        body: &B,
    ) -> Result<Tagged<T>, CommandError> {
        self.send(minreq::Method::Put, path, precondition, path, encode(body))
    }

    /// Performs an action.
    pub(super) fn post<T: DeserializeOwned, B: Serialize>(
        &self,
        path: &str,
        body: &B,
    ) -> Result<Tagged<T>, CommandError> {
        let method = minreq::Method::Post;
        self.send(method, path, Precondition::Any, "", encode(body))
    }

    /// Deletes a resource.
    pub(super) fn delete<T: DeserializeOwned>(
        &self,
        path: &str,
        precondition: Precondition,
    ) -> Result<Tagged<T>, CommandError> {
        self.send(minreq::Method::Delete, path, precondition, path, Vec::new())
    }

    /// Sends a request to one daemon after the other until one answers. All attempts carry the same
    /// idempotency key; `part` gives each request of one command a key of its own.
    fn send<T: DeserializeOwned>(
        &self,
        method: minreq::Method,
        path: &str,
        precondition: Precondition,
        part: &str,
        body: Vec<u8>,
    ) -> Result<Tagged<T>, CommandError> {
        let (mut last_error, mut lost) = (String::new(), false);
        for daemon in self
            .daemons
            .iter()
            .cycle()
            .take(MIN_ATTEMPTS.max(self.daemons.len()))
        {
            let url = format!("http://{daemon}/admin/v1/{path}");
            let request = minreq::Request::new(method.clone(), url)
                .with_header("Idempotency-Key", self.idempotency_key(part))
                .with_body(body.clone());
            match self.attempt(with_precondition(request, precondition)) {
                AttemptOutcome::Answered(reply) => return decode(&reply),
                AttemptOutcome::Unreachable(err) => last_error = format!("{daemon}: {err}"),
                AttemptOutcome::Lost(err) => {
                    last_error = format!("{daemon}: {err}");
                    lost = true;
                }
            }
        }
        let message = match method {
            minreq::Method::Get => format!("no daemon answered; {last_error}"),
            _ if !lost => format!("no daemon was reached, nothing was changed; {last_error}"),
            _ => format!(
                "no daemon answered, and the change may have been made; repeat the command with \
                 --request {} to learn its result; {last_error}",
                self.request_id
            ),
        };
        Err(CommandError::new(Exit::Unreachable, message))
    }

    /// Idempotency key of a request: the request id, or its hash with `part` unless that is empty.
    fn idempotency_key(&self, part: &str) -> String {
        match part {
            "" => self.request_id.clone(),
            part => {
                use sha2::Digest;
                let digest = sha2::Sha256::digest(format!("{} {part}", self.request_id));
                hex::encode(&digest[..16])
            }
        }
    }

    /// Sends a request once, to one daemon.
    fn attempt(&self, request: minreq::Request) -> AttemptOutcome {
        let reply = request
            .with_header("Authorization", format!("Bearer {}", self.token))
            .with_timeout(self.timeout_s)
            .with_follow_redirects(false)
            .send();
        match reply {
            Ok(reply) if reply.status_code == 503 => {
                let text = String::from_utf8_lossy(reply.as_bytes()).into_owned();
                match text.contains("may-have-run") {
                    true => AttemptOutcome::Lost(text),
                    false => AttemptOutcome::Answered(reply),
                }
            }
            Ok(reply) => AttemptOutcome::Answered(reply),
            Err(minreq::Error::IoError(io)) if io.kind() == ErrorKind::ConnectionRefused => {
                AttemptOutcome::Unreachable(io.to_string())
            }
            Err(err) => AttemptOutcome::Lost(err.to_string()),
        }
    }

    /// Polls until a version is in force or the waiting time is over; returns the last response,
    /// which names the daemons that have not confirmed it.
    pub(super) fn wait_in_force(&self, version: u64) -> Result<wire::InForce, CommandError> {
        let start = Instant::now();
        loop {
            let path = format!("config/wait?version={version}");
            let answer: Tagged<wire::InForce> = self.get(&path)?;
            if answer.body.in_force || start.elapsed() >= self.max_wait {
                return Ok(answer.body);
            }
            thread::sleep(POLL_INTERVAL);
        }
    }

    /// Whether to wait until an edit is in force.
    pub(super) fn should_wait(&self) -> bool {
        !self.max_wait.is_zero()
    }
}

/// Adds the `If-None-Match` or `If-Match` field of the precondition.
fn with_precondition(request: minreq::Request, precondition: Precondition) -> minreq::Request {
    match precondition {
        Precondition::Any => request,
        Precondition::Absent => request.with_header("If-None-Match", "*"),
        Precondition::Version(version) => request.with_header("If-Match", format!("\"{version}\"")),
    }
}

fn encode<B: Serialize>(body: &B) -> Vec<u8> {
    serde_json::to_vec(body).expect("wire types have string keys")
}

/// Decodes the body of a response with status 200; any other status is an error.
fn decode<T: DeserializeOwned>(reply: &minreq::Response) -> Result<Tagged<T>, CommandError> {
    if reply.status_code != 200 {
        return Err(error_of(reply));
    }
    let body = serde_json::from_slice(reply.as_bytes()).map_err(|err| {
        CommandError::new(Exit::Failed, format!("the response is malformed: {err}"))
    })?;
    let etag = reply.header("ETag").map(|tag| tag.trim_matches('"'));
    Ok(Tagged {
        body,
        etag: etag.and_then(|tag| tag.parse().ok()).unwrap_or(0),
    })
}

/// Error for a response with a status other than 200; shows the other edit of a conflict.
fn error_of(reply: &minreq::Response) -> CommandError {
    let exit = match reply.status_code {
        409 => Exit::Conflict,
        _ => Exit::Failed,
    };
    let Ok(body) = serde_json::from_slice::<wire::Failure>(reply.as_bytes()) else {
        let message = format!("the daemon answered with status {}", reply.status_code);
        return CommandError::new(exit, message);
    };
    let problem = body.error;
    let mut message = format!("{} ({})", problem.message, problem.verdict);
    if let Some(edit) = problem.conflict {
        let value = edit.value.unwrap_or_default();
        let text = format!("\nversion {} by {}: {value}", edit.version, edit.operator);
        message.push_str(&text);
    }
    CommandError::new(exit, message)
}
