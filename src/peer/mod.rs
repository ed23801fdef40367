//! Links between daemons, and the membership of the fleet.
//!
//! [`Membership`] decides which links a daemon keeps and gossips the configuration versions that
//! daemons have in force; it is a state machine without I/O. [`Peers`] runs it in its own thread,
//! with WebSocket links that carry [`Message`]s in CBOR. A wrong view of the fleet may waste work but
//! never breaks an invariant, because only conditional commits to the store are authoritative.

mod auth;
mod link;
mod membership;
mod message;
mod outbox;
mod peers;
mod plugin;
mod shared;
mod versions;
mod view;

pub use membership::Membership;
pub use message::{
    ByteString,
    DecodeError,
    Edit,
    Heartbeat,
    Ident,
    LoadReport,
    Message,
    VersionEntry,
    decode,
    encode, //
};
pub use peers::{
    BindError,
    Counts,
    Event,
    Peers,
    Settings, //
};
pub use versions::Versions;
pub use view::{
    Action,
    Input,
    PeerState,
    PeerView, //
};

use sha2::{
    Digest,
    Sha256, //
};

/// Weight of the candidate `id` for `key` in rendezvous hashing: the candidate with the highest
/// weight is chosen first. All daemons compute the same weight.
///
/// # Examples
///
/// ```
/// use cuminloom::peer::rendezvous_weight;
/// let mut ids = ["vm-1", "vm-2", "vm-3"];
/// ids.sort_by_key(|id| std::cmp::Reverse(rendezvous_weight("budget-7", id)));
/// let first = ids[0];
/// // Removing another candidate doesn't change the choice.
/// let rest = ids.iter().filter(|id| **id != ids[1]);
/// assert_eq!(rest.max_by_key(|id| rendezvous_weight("budget-7", id)), Some(&first));
/// ```
pub fn rendezvous_weight(key: &str, id: &str) -> u64 {
    let mut hasher = Sha256::new();
    // The length makes ("ab", "c") and ("a", "bc") hash differently.
    hasher.update((key.len() as u64).to_be_bytes());
    hasher.update(key);
    hasher.update(id);
    let digest = hasher.finalize();
    let head: [u8; 8] = digest[..8].try_into().expect("a digest has 32 bytes");
    u64::from_be_bytes(head)
}
