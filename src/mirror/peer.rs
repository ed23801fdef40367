//! Choice of a peer by rendezvous hashing, for example of the witness.

use std::collections::BTreeMap;

use sha2::{
    Digest,
    Sha256, //
};

use crate::model::{
    DataCentre,
    Incarnation, //
};

/// Location of an incarnation.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Peer {
    /// VM of the daemon.
    pub vm: std::sync::Arc<str>,
    /// Data centre of the VM.
    pub dc: DataCentre,
}

/// Rendezvous weight of `candidate` for `key`. All daemons, of whatever version, must compute the
/// same weight.
fn weight(key: &str, candidate: &str) -> [u8; 32] {
    let mut hash = Sha256::new();
    hash.update(key.as_bytes());
    hash.update([0]);
    hash.update(candidate.as_bytes());
    hash.finalize().into()
}

/// Chooses one of the allowed `peers` for `key` by rendezvous hashing. The peer runs on another VM
/// than `home`, and in the same data centre if possible. Returns `None` if no peer qualifies.
///
/// # Examples
///
/// ```
/// use cuminloom::mirror::{Peer, choose_peer};
/// let home = Peer { vm: "vm-1".into(), dc: "east".into() };
/// let peers = [
///     ("a.1".into(), Peer { vm: "vm-1".into(), dc: "east".into() }),
///     ("b.1".into(), Peer { vm: "vm-2".into(), dc: "west".into() }),
///     ("c.1".into(), Peer { vm: "vm-3".into(), dc: "east".into() }),
/// ]
/// .into();
/// assert_eq!(choose_peer("x.1", &home, &peers, |_| true).as_deref(), Some("c.1"));
/// ```
pub fn choose_peer(
    key: &str,
    home: &Peer,
    peers: &BTreeMap<Incarnation, Peer>,
    allowed: impl Fn(&Incarnation) -> bool,
) -> Option<Incarnation> {
    peers
        .iter()
        .filter(|(inc, peer)| peer.vm != home.vm && allowed(inc))
        .max_by_key(|(inc, peer)| (peer.dc == home.dc, weight(key, inc)))
        .map(|(inc, _)| inc.clone())
}
