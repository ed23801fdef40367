//! Messages between daemons.

use std::{
    io,
    net::SocketAddr,
    sync::Arc,
    time::Duration, //
};

use serde::{
    Deserialize,
    Serialize, //
};
use tokio_tungstenite::tungstenite::Message;

use crate::{
    adapter::Era,
    catalog::{
        Runner,
        RunnerState, //
    },
    decide::{
        Observations,
        RunnerKey,
        version_key, //
    },
    prepaid::{
        Admission,
        GrantNotice, //
    },
};

/// Message of a daemon that opened a connection.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(untagged)]
pub enum PeerMessage {
    /// Reserves tokens for one request.
    Reserve {
        /// The reservation.
        reserve: ReserveRequest,
    },
    /// Ends a reservation.
    Settle {
        /// What was consumed.
        settle: Settlement,
    },
    /// Asks a holder to return its reserve of a customer.
    Reclaim {
        /// Name of the customer.
        reclaim: String,
    },
    /// Load reports of runners. It is sent as a text message, which daemons of the earlier version ignore.
    Loads {
        /// The reports, newest first.
        loads: Vec<PassedLoad>,
    },
    /// Tells of tokens that were committed to the sender. It is sent as a text message, which daemons of the earlier
    /// version ignore; the reply is one too.
    Grants {
        /// The tokens.
        grants: GrantNotice,
    },
    /// Asks for newer state. It has no tag, so that daemons of the earlier version understand it.
    Query(PeerQuery),
}

/// Load report of a runner that a daemon passes on: key of the runner's process, requests running and
/// waiting, percentage of the usual time that work takes (0 if the runner doesn't say), and age in milliseconds. It is a tuple because
/// names of fields would double its size.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PassedLoad(pub RunnerKey, pub u32, pub u32, pub u32, pub u32);

/// Text message of a daemon that opened a connection.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(untagged)]
pub enum TextMessage {
    /// Load reports of runners.
    Loads(Vec<PassedLoad>),
    /// Tokens that were committed to the sender.
    Grants {
        /// The tokens.
        grants: GrantNotice,
    },
}

/// Reply to [`PeerMessage::Grants`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct GrantsKnown {
    /// Sequence number of the write in the notice.
    pub known: u64,
}

/// Reservation of tokens at a holder.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReserveRequest {
    /// Process that sends the request.
    pub process: u64,
    /// Number of the reservation, unique within the process.
    pub number: u64,
    /// Attempt id of the caller's request, for the log.
    pub request: String,
    /// Customer to whom the tokens belong.
    pub customer: String,
    /// Tokens that the request may consume at most.
    pub cost: u64,
    /// Version of the configuration by which the sender knows the customer's limit.
    pub config: u64,
    /// Time for which the request can wait for tokens, in milliseconds.
    pub wait_ms: u64,
    /// Time after which the request has ended in any case, in milliseconds.
    pub expires_ms: u64,
}

/// End of a reservation.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Settlement {
    /// Process that made the reservation.
    pub process: u64,
    /// Number of the reservation.
    pub number: u64,
    /// Tokens that the request consumed.
    pub used: u64,
}

/// Reply to a [`ReserveRequest`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReserveReply {
    /// Number of the reservation.
    pub number: u64,
    /// Outcome.
    pub outcome: ReserveOutcome,
}

/// Outcome of a reservation.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ReserveOutcome {
    /// The tokens are reserved.
    Taken,
    /// The holder waits for tokens; the final reply follows.
    Waiting,
    /// The holder got no tokens from the store in time.
    Grant,
    /// The store is unreachable; the reserve covers the request after this many milliseconds.
    Release(u64),
    /// The store is unreachable and the reserve is spent, or no write brings the tokens.
    Refused,
    /// The customer's remaining tokens do not cover the request.
    Exhausted,
    /// This daemon can't tell: it does not know the customer or the newest limit.
    Unavailable,
    /// This daemon is stopping and reserves nothing more.
    Stopping,
}

impl From<Admission> for ReserveOutcome {
    fn from(admission: Admission) -> ReserveOutcome {
        match admission {
            Admission::Taken => ReserveOutcome::Taken,
            Admission::Grant => ReserveOutcome::Grant,
            Admission::Release(time) => ReserveOutcome::Release(time.as_millis() as u64),
            // Daemons of earlier versions know no outcome for blocked tokens.
            Admission::Refused | Admission::Blocked => ReserveOutcome::Refused,
            Admission::Exhausted => ReserveOutcome::Exhausted,
        }
    }
}

impl ReserveOutcome {
    /// The final outcome as an admission; `None` if the holder decided nothing.
    pub fn admission(self) -> Option<Admission> {
        match self {
            ReserveOutcome::Taken => Some(Admission::Taken),
            ReserveOutcome::Grant => Some(Admission::Grant),
            ReserveOutcome::Release(ms) => Some(Admission::Release(Duration::from_millis(ms))),
            ReserveOutcome::Refused => Some(Admission::Refused),
            ReserveOutcome::Exhausted => Some(Admission::Exhausted),
            ReserveOutcome::Waiting | ReserveOutcome::Unavailable | ReserveOutcome::Stopping => {
                None
            }
        }
    }
}

/// Query of a daemon to another one.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct PeerQuery {
    /// Version of the configuration that the sender has; 0 for none.
    pub version: u64,
}

/// Reply of a daemon to a query.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct PeerReply {
    /// Name of the replying daemon.
    pub node: String,
    /// Encoded configuration, if it is newer than the one in the query.
    pub config: Option<Vec<u8>>,
    /// Version of the configuration in force; 0 for none.
    pub version: u64,
    /// Time since that version was last confirmed as the newest, in milliseconds.
    pub age_ms: u64,
    /// The runners, if the daemon currently receives them from the store.
    pub runners: Option<Vec<PeerRunner>>,
    /// Time since the store gave them, in milliseconds; daemons of the earlier version leave it out.
    #[serde(default)]
    pub runners_age_ms: Option<u64>,
    /// Always empty; daemons of the earlier version require it.
    #[serde(default)]
    pub strikes: Vec<(u64, u32)>,
    /// What the daemon and those that it has heard of have seen.
    #[serde(default)]
    pub observed: Observations,
    /// The evacuated data centres; daemons of the earlier version leave them out.
    #[serde(default)]
    pub evacuations: Option<PeerEvacuations>,
}

/// The evacuated data centres as encoded in a reply.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PeerEvacuations {
    /// Era of the store; daemons of the earlier version leave it out.
    #[serde(default)]
    pub era: Era,
    /// Version of the store up to which the list is complete.
    pub version: u64,
    /// Names of the data centres.
    pub zones: Vec<String>,
}

/// A runner as encoded in a reply.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct PeerRunner {
    id: String,
    service: String,
    address: SocketAddr,
    zone: String,
    slots: u32,
    ready: bool,
    born: u64,
    /// Time for which it stays cold, in milliseconds; daemons of the earlier version leave it out.
    #[serde(default)]
    cold_ms: u64,
    /// Version of its software; daemons of the earlier version leave it out.
    #[serde(default)]
    version: String,
}

impl From<&Runner> for PeerRunner {
    fn from(runner: &Runner) -> PeerRunner {
        PeerRunner {
            id: runner.id.to_string(),
            service: runner.service.to_string(),
            address: runner.address,
            zone: runner.zone.to_string(),
            slots: runner.slots,
            ready: runner.state == RunnerState::Ready,
            born: runner.born,
            cold_ms: runner.cold_time.as_millis() as u64,
            version: runner.version.to_string(),
        }
    }
}

impl From<PeerRunner> for Runner {
    fn from(peer: PeerRunner) -> Runner {
        Runner {
            id: Arc::from(peer.id),
            service: Arc::from(peer.service),
            address: peer.address,
            zone: Arc::from(peer.zone),
            version_key: version_key(&peer.version),
            version: Arc::from(peer.version),
            slots: peer.slots,
            state: if peer.ready {
                RunnerState::Ready
            } else {
                RunnerState::Draining
            },
            born: peer.born,
            cold_time: Duration::from_millis(peer.cold_ms),
        }
    }
}

/// Encodes a message of a link: load reports and notices as JSON in a text message, others by [`encode`].
///
/// # Errors
///
/// Fails if the message can't be encoded.
///
/// # Examples
///
/// ```
/// use cuminloom_edge::peer::{PassedLoad, PeerMessage, TextMessage, decode_text, encode_for_link};
///
/// let loads = vec![PassedLoad(7, 3, 0, 110, 40)];
/// let message = encode_for_link(&PeerMessage::Loads { loads: loads.clone() }).unwrap();
/// assert!(message.is_text());
/// assert_eq!(decode_text::<TextMessage>(&message).unwrap(), TextMessage::Loads(loads));
/// ```
pub fn encode_for_link(message: &PeerMessage) -> io::Result<Message> {
    match message {
        PeerMessage::Loads { loads } => encode_text(loads),
        PeerMessage::Grants { .. } => encode_text(message),
        message => encode(message),
    }
}

/// Encodes a value as JSON in a text message.
///
/// # Errors
///
/// Fails if the value can't be encoded.
pub fn encode_text<T: Serialize>(value: &T) -> io::Result<Message> {
    Ok(Message::text(serde_json::to_string(value)?))
}

/// Decodes a text message.
///
/// # Errors
///
/// Fails if the text is no such message.
pub fn decode_text<T: for<'de> Deserialize<'de>>(message: &Message) -> io::Result<T> {
    let text = message.to_text().map_err(io::Error::other)?;
    Ok(serde_json::from_str(text)?)
}

/// Encodes a message as CBOR in a binary WebSocket message.
///
/// # Errors
///
/// Fails if the value can't be encoded.
pub fn encode<T: Serialize>(value: &T) -> io::Result<Message> {
    let mut bytes = Vec::new();
    ciborium::into_writer(value, &mut bytes).map_err(io::Error::other)?;
    Ok(Message::binary(bytes))
}

/// Decodes a message from CBOR.
///
/// # Errors
///
/// Fails if the bytes are no such message.
pub fn decode<T: for<'de> Deserialize<'de>>(message: &Message) -> io::Result<T> {
    ciborium::from_reader(&message.clone().into_data()[..]).map_err(io::Error::other)
}
