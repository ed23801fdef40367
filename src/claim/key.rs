//! Idempotency keys: the time encoded in a caller's key, and the format of keys that a daemon
//! issues.

use std::{
    sync::Arc,
    time::Duration, //
};

use hmac::{
    Hmac,
    KeyInit,
    Mac, //
};
use sha2::Sha256;

use crate::model::Incarnation;

/// Age above which a caller's key that encodes its time is refused as too old.
pub const KEY_LIFETIME: Duration = Duration::from_secs(24 * 3600);

/// Prefix of issued keys; names the version of the format.
const TAG: &str = "ck1";

/// Smallest number in front of a key that is read as a Unix time, so that a short number is not.
const MIN_TIME_S: u64 = 1_500_000_000;

/// Returns the time encoded in a caller's key, in seconds since the Unix epoch. The key is a UUIDv7
/// or has the form `<unix seconds>-<text>`; returns `None` for any other key.
///
/// # Examples
///
/// ```
/// use cuminloom::claim::key_time;
/// assert_eq!(key_time("1764800000-deposit-17"), Some(1_764_800_000));
/// assert_eq!(key_time("019ae6c5-6a00-7abc-8def-0123456789ab"), Some(1_764_808_288));
/// assert_eq!(key_time("deposit-17"), None);
/// ```
pub fn key_time(key: &str) -> Option<u64> {
    uuid7_time(key).or_else(|| {
        let (time, _) = key.split_once('-')?;
        let time = time.parse().ok()?;
        (time >= MIN_TIME_S).then_some(time)
    })
}

/// Returns the time encoded in a UUIDv7, in seconds since the Unix epoch.
fn uuid7_time(key: &str) -> Option<u64> {
    let bytes = key.as_bytes();
    let dashes = [8, 13, 18, 23];
    if bytes.len() != 36 || bytes[14] != b'7' || dashes.iter().any(|&at| bytes[at] != b'-') {
        return None;
    }
    let millis = format!("{}{}", &key[..8], &key[9..13]);
    Some(u64::from_str_radix(&millis, 16).ok()? / 1000)
}

/// An idempotency key issued by a daemon: only the process `owner` may run a request with this key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct IssuedKey {
    /// Process that issued the key.
    pub owner: Incarnation,
    /// Time of issue, in seconds since the Unix epoch.
    pub issued_at: u64,
    /// Number of the key, unique within its owner.
    pub nonce: u64,
}

impl IssuedKey {
    /// Formats the key with a MAC that binds it to `customer`.
    ///
    /// # Examples
    ///
    /// ```
    /// use cuminloom::claim::IssuedKey;
    /// let key = IssuedKey { owner: "vm-1.0a".into(), issued_at: 7, nonce: 1 };
    /// let text = key.sign(b"secret", "anod");
    /// assert_eq!(IssuedKey::verify(&text, b"secret", "anod"), Some(key));
    /// assert_eq!(IssuedKey::verify(&text, b"secret", "other"), None);
    /// ```
    pub fn sign(&self, secret: &[u8], customer: &str) -> Arc<str> {
        let payload = self.payload();
        let mac = hex::encode(self.mac(secret, customer).finalize().into_bytes());
        format!("{payload}:{mac}").into()
    }

    /// Whether `text` starts like an issued key; does not check that the key is valid.
    ///
    /// # Examples
    ///
    /// ```
    /// assert!(!cuminloom::claim::IssuedKey::has_issued_form("deposit-17"));
    /// ```
    pub fn has_issued_form(text: &str) -> bool {
        text.starts_with(TAG) && text[TAG.len()..].starts_with(':')
    }

    /// Parses a key and checks its MAC for `customer`; returns `None` if the key is malformed or
    /// the MAC does not match.
    ///
    /// # Examples
    ///
    /// ```
    /// assert!(cuminloom::claim::IssuedKey::verify("ck1:a:1:1:00", b"secret", "anod").is_none());
    /// ```
    pub fn verify(text: &str, secret: &[u8], customer: &str) -> Option<Self> {
        let mut parts = text.split(':');
        if parts.next()? != TAG {
            return None;
        }
        let owner = parts.next()?.into();
        let issued_at = parts.next()?.parse().ok()?;
        let nonce = parts.next()?.parse().ok()?;
        let mac = hex::decode(parts.next()?).ok()?;
        let key = Self {
            owner,
            issued_at,
            nonce,
        };
        key.mac(secret, customer).verify_slice(&mac).ok()?;
        Some(key)
    }

    /// The part of the key that the MAC covers.
    fn payload(&self) -> String {
        format!("{TAG}:{}:{}:{}", self.owner, self.issued_at, self.nonce)
    }

    /// MAC over the key and the customer.
    fn mac(&self, secret: &[u8], customer: &str) -> Hmac<Sha256> {
        let mut mac = Hmac::<Sha256>::new_from_slice(secret).expect("HMAC takes any key length");
        mac.update(self.payload().as_bytes());
        mac.update(b"\n");
        mac.update(customer.as_bytes());
        mac
    }
}
