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

/// Who computed a tag. The tags of the two sides differ, so neither can be sent back as the other.
#[derive(Clone, Copy, Debug)]
pub(crate) enum Side {
    Accepting,
    Dialling,
}

/// What each side states. The nonce is new for each link, so that a recorded exchange proves nothing.
#[derive(Debug, Serialize, Deserialize)]
pub(crate) struct Greeting {
    pub(crate) ident: Ident,
    /// The daemon that the dialling side means to reach; the accepting side repeats its name.
    pub(crate) to: DaemonId,
    pub(crate) nonce: ByteString,
}

impl Greeting {
    pub(crate) fn new(ident: Ident, to: DaemonId) -> Self {
        Self {
            ident,
            to,
            nonce: ByteString(rand::random::<[u8; 32]>().to_vec()),
        }
    }
}

/// First message of the dialling side.
#[derive(Debug, Serialize, Deserialize)]
pub(crate) struct Hello {
    /// An encoded [`Greeting`].
    pub(crate) greeting: ByteString,
}

/// Answer of the accepting side.
#[derive(Debug, Serialize, Deserialize)]
pub(crate) struct Welcome {
    /// An encoded [`Greeting`].
    pub(crate) greeting: ByteString,
    pub(crate) tag: ByteString,
}

/// Second message of the dialling side.
#[derive(Debug, Serialize, Deserialize)]
pub(crate) struct Proof {
    pub(crate) tag: ByteString,
}

fn mac(secret: &[u8], side: Side, greetings: [&ByteString; 2]) -> Hmac<Sha256> {
    let mut mac = Hmac::<Sha256>::new_from_slice(secret).expect("HMAC takes keys of any length");
    let label = match side {
        Side::Accepting => "cuminloom peer accepting",
        Side::Dialling => "cuminloom peer dialling",
    };
    mac.update(&encode(&(label, greetings)));
    mac
}

/// Tag of `side` over the greetings of the dialling and the accepting side.
pub(crate) fn tag(secret: &[u8], side: Side, greetings: [&ByteString; 2]) -> ByteString {
    let tag = mac(secret, side, greetings).finalize();
    ByteString(tag.into_bytes().to_vec())
}

/// Whether `tag` is the tag of `side`, compared in constant time.
pub(crate) fn is_valid(
    secret: &[u8],
    side: Side,
    greetings: [&ByteString; 2],
    tag: &ByteString,
) -> bool {
    mac(secret, side, greetings).verify_slice(&tag.0).is_ok()
}
