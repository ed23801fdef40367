//! Mutual authentication of a link: HMAC-SHA256 with the fleet secret over both greetings.

use hmac::{
    Hmac,
    KeyInit,
    Mac, //
};
use serde::{
    Deserialize,
    Serialize, //
};
use sha2::Sha256;

use super::message::{
    ByteString,
    Ident,
    encode, //
};
use crate::model::DaemonId;

/// Side of a link that computed an authentication tag. The tags of the two sides differ, so a tag
/// can't be reflected to the side that sent it.
#[derive(Clone, Copy, Debug)]
pub(crate) enum Side {
    Accepting,
    Dialling,
}

/// What each side states in the handshake. The nonce is random for each link, so that a recorded
/// handshake can't be replayed.
#[derive(Debug, Serialize, Deserialize)]
pub(crate) struct Greeting {
    pub(crate) ident: Ident,
    /// Name of the daemon on the other side, as the sender expects it.
    pub(crate) to: DaemonId,
    pub(crate) nonce: ByteString,
}

impl Greeting {
    /// Makes a greeting with a random nonce.
    pub(crate) fn new(ident: Ident, to: DaemonId) -> Self {
        Self {
            ident,
            to,
            nonce: ByteString(rand::random::<[u8; 32]>().to_vec()),
        }
    }
}

/// First message of the handshake, from the dialling side.
#[derive(Debug, Serialize, Deserialize)]
pub(crate) struct Hello {
    /// An encoded [`Greeting`].
    pub(crate) greeting: ByteString,
}

/// Second message of the handshake, from the accepting side.
#[derive(Debug, Serialize, Deserialize)]
pub(crate) struct Welcome {
    /// An encoded [`Greeting`].
    pub(crate) greeting: ByteString,
    /// Tag of [`Side::Accepting`].
    pub(crate) tag: ByteString,
}

/// Third message of the handshake, from the dialling side.
#[derive(Debug, Serialize, Deserialize)]
pub(crate) struct Proof {
    /// Tag of [`Side::Dialling`].
    pub(crate) tag: ByteString,
}

/// HMAC of `side` over the greetings of the dialling and the accepting side.
fn tag_mac(secret: &[u8], side: Side, greetings: [&ByteString; 2]) -> Hmac<Sha256> {
    let mut mac = Hmac::<Sha256>::new_from_slice(secret).expect("HMAC takes keys of any length");
    let label = match side {
        Side::Accepting => "cuminloom peer accepting",
        Side::Dialling => "cuminloom peer dialling",
    };
    mac.update(&encode(&(label, greetings)));
    mac
}

/// Computes the authentication tag of `side` over the greetings of the dialling and the accepting
/// side.
pub(crate) fn compute_tag(secret: &[u8], side: Side, greetings: [&ByteString; 2]) -> ByteString {
    let tag = tag_mac(secret, side, greetings).finalize();
    ByteString(tag.into_bytes().to_vec())
}

/// Whether `tag` is the authentication tag of `side`; compares in constant time.
pub(crate) fn verify_tag(
    secret: &[u8],
    side: Side,
    greetings: [&ByteString; 2],
    tag: &ByteString,
) -> bool {
    tag_mac(secret, side, greetings)
        .verify_slice(&tag.0)
        .is_ok()
}
