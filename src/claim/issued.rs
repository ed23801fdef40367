//! Idempotency keys issued by this process, which alone may run the requests that carry them.

use std::{
    collections::{
        BTreeMap,
        HashMap, //
    },
    sync::Arc,
    time::Duration, //
};

use super::{
    IssuedKey,
    RecordedResponse, //
};
use crate::model::{
    Code,
    Incarnation,
    RequestError, //
};

/// Lifetime of an issued key. Callers ask for a key just before they use it, and a used key takes
/// memory until it expires.
const ISSUED_LIFETIME: Duration = Duration::from_secs(3600);

/// Largest number of used keys that have not expired; each takes 64 bytes without its response.
const MAX_KEYS: usize = 100_000;

/// Largest number of responses kept for replay; the oldest is dropped first.
const MAX_RESPONSES: usize = 256;

/// State of the request that used a key.
#[derive(Clone, Debug, PartialEq, Eq)]
enum KeyUse {
    Running,
    /// The request ran; the response is `None` once it has been dropped.
    Ran(Option<RecordedResponse>),
    MayHaveRun,
}

/// Whether a request with an issued key may run.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum KeyDecision {
    /// The request may run now; the key is in use from here on.
    Proceed,
    /// The request ran before; return its response again.
    Replay(RecordedResponse),
    /// Another process issued the key and has to decide.
    OtherOwner(Incarnation),
    /// The request must not run; return this error to the caller.
    Refuse(RequestError),
}

/// Issues idempotency keys and keeps the state of those in use.
#[derive(Debug)]
pub struct Issuer {
    owner: Incarnation,
    secret: Arc<[u8]>,
    next_nonce: u64,
    /// Latest Unix time seen, in seconds.
    latest_s: u64,
    /// Fingerprint and state of the request that used a key, by nonce.
    used: HashMap<u64, (Arc<str>, KeyUse)>,
    /// Unix time in seconds at which a used key expires, by nonce.
    expiry_s: BTreeMap<u64, u64>,
    /// Nonces of the keys whose response is kept, oldest first.
    recorded: Vec<u64>,
}

impl Issuer {
    /// Creates the issuer of the process `owner`, which signs keys with `secret`.
    ///
    /// # Examples
    ///
    /// ```
    /// use cuminloom::claim::{Issuer, KeyDecision};
    /// let mut issuer = Issuer::new("vm-1.0a".into(), b"secret");
    /// let key = issuer.issue("anod", 100);
    /// assert_eq!(issuer.begin(&key, "anod", "ff", 101), KeyDecision::Proceed);
    /// assert!(matches!(issuer.begin(&key, "anod", "ff", 102), KeyDecision::Refuse(_)));
    /// ```
    pub fn new(owner: Incarnation, secret: &[u8]) -> Self {
        Self {
            owner,
            secret: secret.into(),
            next_nonce: 1,
            latest_s: 0,
            used: HashMap::new(),
            expiry_s: BTreeMap::new(),
            recorded: Vec::new(),
        }
    }

    /// Issues a key for `customer` at the Unix time `unix`, in seconds.
    ///
    /// # Examples
    ///
    /// ```
    /// let mut issuer = cuminloom::claim::Issuer::new("vm-1.0a".into(), b"secret");
    /// assert_ne!(issuer.issue("anod", 100), issuer.issue("anod", 100));
    /// ```
    pub fn issue(&mut self, customer: &str, unix: u64) -> Arc<str> {
        let key = IssuedKey {
            owner: self.owner.clone(),
            issued_at: unix,
            nonce: self.next_nonce,
        };
        self.next_nonce += 1;
        key.sign(&self.secret, customer)
    }

    /// Decides whether the request with the key `text` and the fingerprint `fingerprint` may run,
    /// and marks the key as used if it may.
    ///
    /// # Examples
    ///
    /// ```
    /// use cuminloom::claim::{Issuer, KeyDecision};
    /// let mut issuer = Issuer::new("vm-1.0a".into(), b"secret");
    /// let other = Issuer::new("vm-2.0b".into(), b"secret").issue("anod", 100);
    /// assert_eq!(
    ///     issuer.begin(&other, "anod", "ff", 101),
    ///     KeyDecision::OtherOwner("vm-2.0b".into())
    /// );
    /// ```
    pub fn begin(
        &mut self,
        text: &str,
        customer: &str,
        fingerprint: &str,
        unix: u64,
    ) -> KeyDecision {
        let Some(key) = IssuedKey::verify(text, &self.secret, customer) else {
            let detail = "the issued idempotency key is not valid for this customer";
            return KeyDecision::Refuse(RequestError::not_run(Code::BadRequest, detail));
        };
        if key.owner != self.owner {
            return KeyDecision::OtherOwner(key.owner);
        }
        // If the wall clock is set back, a key that has expired and was forgotten must not become
        // valid again.
        self.latest_s = self.latest_s.max(unix);
        let unix = self.latest_s;
        self.expire(unix);
        if unix.saturating_sub(key.issued_at) > ISSUED_LIFETIME.as_secs() {
            let detail = "the issued idempotency key is too old";
            return KeyDecision::Refuse(RequestError::may_have_run(Code::KeyExpired, detail));
        }
        if let Some((first, used)) = self.used.get(&key.nonce) {
            return decide_reuse(first, used, fingerprint);
        }
        if self.used.len() >= MAX_KEYS {
            let detail = "too many issued idempotency keys are in use";
            return KeyDecision::Refuse(RequestError::not_run(Code::Overloaded, detail));
        }
        self.used
            .insert(key.nonce, (fingerprint.into(), KeyUse::Running));
        let expiry = key.issued_at + ISSUED_LIFETIME.as_secs();
        self.expiry_s.insert(key.nonce, expiry);
        KeyDecision::Proceed
    }

    /// Records that the request with this key did not run, so that the key may be used again.
    ///
    /// # Examples
    ///
    /// ```
    /// use cuminloom::claim::{Issuer, KeyDecision};
    /// let mut issuer = Issuer::new("vm-1.0a".into(), b"secret");
    /// let key = issuer.issue("anod", 100);
    /// issuer.begin(&key, "anod", "ff", 101);
    /// issuer.release(&key, "anod");
    /// assert_eq!(issuer.begin(&key, "anod", "ff", 102), KeyDecision::Proceed);
    /// ```
    pub fn release(&mut self, text: &str, customer: &str) {
        if let Some(key) = IssuedKey::verify(text, &self.secret, customer) {
            self.used.remove(&key.nonce);
            self.expiry_s.remove(&key.nonce);
        }
    }

    /// Records the end of the request: its response, or `None` if it is unknown whether the request
    /// ran.
    ///
    /// # Examples
    ///
    /// ```
    /// use cuminloom::claim::{Issuer, KeyDecision, RecordedResponse};
    /// let mut issuer = Issuer::new("vm-1.0a".into(), b"secret");
    /// let key = issuer.issue("anod", 100);
    /// issuer.begin(&key, "anod", "ff", 101);
    /// let response = RecordedResponse::new(200, "text/plain", b"ok");
    /// issuer.record(&key, "anod", Some(response.clone()));
    /// assert_eq!(issuer.begin(&key, "anod", "ff", 102), KeyDecision::Replay(response));
    /// ```
    pub fn record(&mut self, text: &str, customer: &str, response: Option<RecordedResponse>) {
        let Some(key) = IssuedKey::verify(text, &self.secret, customer) else {
            return;
        };
        let Some((_, used)) = self.used.get_mut(&key.nonce) else {
            return;
        };
        let Some(response) = response else {
            *used = KeyUse::MayHaveRun;
            return;
        };
        *used = KeyUse::Ran(Some(response));
        self.recorded.push(key.nonce);
        self.drop_oldest_response();
    }

    /// Drops the oldest response if there are more than [`MAX_RESPONSES`].
    fn drop_oldest_response(&mut self) {
        if self.recorded.len() <= MAX_RESPONSES {
            return;
        }
        let oldest = self.recorded.remove(0);
        if let Some((_, used)) = self.used.get_mut(&oldest) {
            *used = KeyUse::Ran(None);
        }
    }

    /// Forgets keys past their lifetime. Nonces increase with time, so the oldest keys come first.
    fn expire(&mut self, unix: u64) {
        while let Some((&nonce, &expiry)) = self.expiry_s.first_key_value() {
            if expiry >= unix {
                return;
            }
            self.expiry_s.remove(&nonce);
            self.used.remove(&nonce);
        }
    }
}

/// Decides on a key that was used before by a request with the fingerprint `first`.
fn decide_reuse(first: &str, used: &KeyUse, fingerprint: &str) -> KeyDecision {
    if first != fingerprint {
        let detail = "the idempotency key was used with another request";
        return KeyDecision::Refuse(RequestError::not_run(Code::KeyReused, detail));
    }
    let (code, detail) = match used {
        KeyUse::Ran(Some(response)) => return KeyDecision::Replay(response.clone()),
        KeyUse::Ran(None) => (
            Code::AlreadyClaimed,
            "the request ran; its response was not kept",
        ),
        KeyUse::Running => (Code::InProgress, "a request with this key is in progress"),
        KeyUse::MayHaveRun => (Code::AlreadyClaimed, "a request with this key may have run"),
    };
    KeyDecision::Refuse(RequestError::may_have_run(code, detail))
}
