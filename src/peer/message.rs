//! Messages between daemons and their encoding.

use std::{
    error::Error,
    fmt,
    net::SocketAddr,
    sync::Arc, //
};

use serde::{
    Deserialize,
    Deserializer,
    Serialize,
    Serializer,
    de::{
        DeserializeOwned,
        Visitor, //
    }, //
};

use crate::model::{
    BudgetId,
    CustomerId,
    DaemonId,
    DataCentre,
    Incarnation,
    ProfileId,
    TargetId,
    Verdict,
    Version, //
};

/// What a daemon states about itself in the handshake of a link.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Ident {
    /// Name of the daemon.
    pub id: DaemonId,
    /// Its incarnation.
    pub inc: Incarnation,
    /// Its data centre.
    pub dc: DataCentre,
    /// Its VM.
    pub vm: Arc<str>,
    /// Address on which it listens for peers.
    pub addr: SocketAddr,
    /// Start of its process in milliseconds since 1970; it orders the starts of one daemon.
    pub started: u64,
}

/// Heartbeat, sent over each link at a fixed interval.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// Incarnation of the sender.
    pub inc: Incarnation,
    /// Its data centre.
    pub dc: DataCentre,
    /// Its VM.
    pub vm: Arc<str>,
    /// Configuration version that the sender has in force; 0 for none.
    pub config: Version,
    /// Whether the sender is about to stop.
    pub stopping: bool,
}

/// Configuration version that a daemon has in force.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct VersionEntry {
    /// The daemon.
    #[serde(rename = "d")]
    pub id: DaemonId,
    /// Start of its process, as in [`Ident`].
    #[serde(rename = "s")]
    pub started: u64,
    /// The version; 0 for none.
    #[serde(rename = "v")]
    pub version: Version,
}

/// Load report of a target.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadReport {
    /// The target.
    pub target: TargetId,
    /// Requests running on the target.
    pub running: u32,
    /// Requests queued in the target.
    pub waiting: u32,
    /// Requests that can run concurrently.
    pub capacity: u32,
    /// Whether the target takes no new work.
    pub leaving: bool,
}

/// One accepted edit of the configuration.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Edit {
    /// Version of the configuration after the edit.
    pub version: Version,
    /// The edit as JSON text.
    pub body: Arc<str>,
}

/// Bytes that are encoded as a CBOR byte string and not as an array.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ByteString(pub Vec<u8>);

impl Serialize for ByteString {
    fn serialize<S: Serializer>(&self, out: S) -> Result<S::Ok, S::Error> {
        out.serialize_bytes(&self.0)
    }
}

impl<'de> Deserialize<'de> for ByteString {
    fn deserialize<D: Deserializer<'de>>(from: D) -> Result<Self, D::Error> {
        struct BytesVisitor;
        impl Visitor<'_> for BytesVisitor {
            type Value = ByteString;

            fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str("a byte string")
            }

            fn visit_bytes<E>(self, bytes: &[u8]) -> Result<ByteString, E> {
                Ok(ByteString(bytes.to_vec()))
            }

            fn visit_byte_buf<E>(self, bytes: Vec<u8>) -> Result<ByteString, E> {
                Ok(ByteString(bytes))
            }
        }
        from.deserialize_byte_buf(BytesVisitor)
    }
}

/// A message between daemons. `M` is the payload of the state machines that use the links, such as
/// the operations of the mirror and budget transfers.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Message<M> {
    /// Heartbeat of the sender.
    Heartbeat(Heartbeat),
    /// Configuration versions that changed.
    Versions(Vec<VersionEntry>),
    /// A configuration version was accepted.
    Notice {
        /// The version.
        version: Version,
    },
    /// Requests the edits after a version.
    Fetch {
        /// The version.
        after: Version,
    },
    /// Edits in the order of their versions.
    Edits {
        /// The edits; the first may be a snapshot.
        edits: Vec<Edit>,
    },
    /// A request that was running on a target when the target crashed.
    Strike {
        /// Fingerprint of the request.
        fingerprint: ByteString,
        /// The target.
        target: TargetId,
    },
    /// Load reports of targets.
    Load {
        /// The reports.
        reports: Vec<LoadReport>,
    },
    /// A request whose issued idempotency key names the receiver.
    Forward {
        /// Number of the exchange, chosen by the sender.
        id: u64,
        /// Customer that sent the request.
        customer: CustomerId,
        /// Profile of the request.
        profile: ProfileId,
        /// Budget that pays for it.
        budget: BudgetId,
        /// The issued key.
        key: Arc<str>,
        /// Method and path, separated by a space.
        line: Arc<str>,
        /// Content type of the body.
        kind: Arc<str>,
        /// Body of the request.
        body: ByteString,
    },
    /// Response to a forwarded request.
    Reply {
        /// Number of the exchange.
        id: u64,
        /// HTTP status for the caller.
        status: u16,
        /// Verdict for the caller.
        verdict: Verdict,
        /// Content type of the body.
        kind: Arc<str>,
        /// Body of the response.
        body: ByteString,
    },
    /// Message of a state machine.
    Node(M),
}

impl<M> Message<M> {
    /// Whether a full queue may drop the message, because a newer message of the same kind supersedes
    /// it.
    pub(crate) fn is_droppable(&self) -> bool {
        matches!(
            self,
            Message::Heartbeat(_)
                | Message::Versions(_)
                | Message::Notice { .. }
                | Message::Load { .. }
        )
    }
}

/// The bytes are not an encoded message.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DecodeError;

impl fmt::Display for DecodeError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("malformed bytes from a peer")
    }
}

impl Error for DecodeError {}

/// Encodes a message in CBOR.
///
/// # Examples
///
/// ```
/// use cuminloom::peer::{Message, decode, encode};
/// let message = Message::Node("payload".to_string());
/// assert_eq!(decode(&encode(&message)), Ok(message));
/// ```
pub fn encode<T: Serialize>(message: &T) -> Vec<u8> {
    let mut out = Vec::new();
    ciborium::into_writer(message, &mut out).expect("writing to a Vec does not fail");
    out
}

/// Decodes a message.
///
/// # Errors
///
/// Fails when `bytes` are malformed or contain more than the message.
///
/// # Examples
///
/// ```
/// use cuminloom::peer::{DecodeError, Message, decode};
/// assert_eq!(decode::<Message<()>>(b"\xff"), Err(DecodeError));
/// ```
pub fn decode<T: DeserializeOwned>(mut bytes: &[u8]) -> Result<T, DecodeError> {
    let message = ciborium::from_reader(&mut bytes).map_err(|_| DecodeError)?;
    if bytes.is_empty() {
        Ok(message)
    } else {
        Err(DecodeError)
    }
}
