//! Keys issued by this process: it alone may run the requests that carry them.

use std::{
    collections::{
        BTreeMap,
        HashMap, //
    },
    sync::Arc,
    time::Duration, //
};

use super::{
    Minted,
    Recorded, //
};
use crate::model::{
    Code,
    Incarnation, //
    RequestError,
};

/// Lifetime of an issued key. Keys are asked for just before their use, and each one costs memory
/// until it expires.
const ISSUED_LIFETIME: Duration = Duration::from_secs(3600);

/// Keys that may be in use at once; 64 bytes each without a recorded answer.
const MAX_KEYS: usize = 100_000;

/// Recorded answers kept for replay; older ones are dropped first.
const MAX_RECORDED: usize = 256;

/// State of a key that was presented.
#[derive(Clone, Debug, PartialEq, Eq)]
enum Used {
    Running,
    Ran(Option<Recorded>),
    MayHaveRun,
}

/// What a presented key allows.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Lookup {
    /// The request may run now; the key is taken.
    Proceed,
    /// The request ran before; repeat its answer.
    Replay(Recorded),
    /// Another process minted the key and alone may decide.
    Elsewhere(Incarnation),
    /// The request must not run.
    Refuse(RequestError),
}

/// Registry of the keys that this process minted.
#[derive(Debug)]
pub struct Issuer {
    owner: Incarnation,
    secret: Arc<[u8]>,
    next: u64,
    latest: u64,
    used: HashMap<u64, (Arc<str>, Used)>,
    expiry: BTreeMap<u64, u64>,
    recorded: Vec<u64>,
}

impl Issuer {
    /// Creates the registry of the process `owner`, which signs with `secret`.
    ///
    /// # Examples
    ///
    /// ```
    /// use cuminloom::claim::{Issuer, Lookup};
    /// let mut issuer = Issuer::new("vm-1.0a".into(), b"secret");
    /// let key = issuer.mint("anod", 100);
    /// assert_eq!(issuer.present(&key, "anod", "ff", 101), Lookup::Proceed);
    /// assert!(matches!(issuer.present(&key, "anod", "ff", 102), Lookup::Refuse(_)));
    /// ```
    pub fn new(owner: Incarnation, secret: &[u8]) -> Self {
        Self {
            owner,
            secret: secret.into(),
            next: 1,
            latest: 0,
            used: HashMap::new(),
            expiry: BTreeMap::new(),
            recorded: Vec::new(),
        }
    }

    /// Mints a key for `customer` at the Unix time `unix`, in seconds.
    ///
    /// # Examples
    ///
    /// ```
    /// let mut issuer = cuminloom::claim::Issuer::new("vm-1.0a".into(), b"secret");
    /// assert_ne!(issuer.mint("anod", 100), issuer.mint("anod", 100));
    /// ```
    pub fn mint(&mut self, customer: &str, unix: u64) -> Arc<str> {
        let key = Minted {
            owner: self.owner.clone(),
            at: unix,
            nonce: self.next,
        };
        self.next += 1;
        key.sign(&self.secret, customer)
    }

    /// Takes a key that came with a request whose fingerprint is `print`.
    ///
    /// # Examples
    ///
    /// ```
    /// use cuminloom::claim::{Issuer, Lookup};
    /// let mut issuer = Issuer::new("vm-1.0a".into(), b"secret");
    /// let other = Issuer::new("vm-2.0b".into(), b"secret").mint("anod", 100);
    /// assert_eq!(
    ///     issuer.present(&other, "anod", "ff", 101),
    ///     Lookup::Elsewhere("vm-2.0b".into())
    /// );
    /// ```
    pub fn present(&mut self, text: &str, customer: &str, print: &str, unix: u64) -> Lookup {
        let Some(key) = Minted::verify(text, &self.secret, customer) else {
            let detail = "the issued idempotency key is not valid for this customer";
            return Lookup::Refuse(RequestError::not_run(Code::BadRequest, detail));
        };
        if key.owner != self.owner {
            return Lookup::Elsewhere(key.owner);
        }
        // A wall clock that is set back must not make a forgotten key look fresh.
        self.latest = self.latest.max(unix);
        let unix = self.latest;
        self.expire(unix);
        if unix.saturating_sub(key.at) > ISSUED_LIFETIME.as_secs() {
            let detail = "the issued idempotency key is too old";
            return Lookup::Refuse(RequestError::may_have_run(Code::KeyExpired, detail));
        }
        if let Some((found, used)) = self.used.get(&key.nonce) {
            return judge(found, used, print);
        }
        if self.used.len() >= MAX_KEYS {
            let detail = "too many issued idempotency keys are in use";
            return Lookup::Refuse(RequestError::not_run(Code::Overloaded, detail));
        }
        self.used.insert(key.nonce, (print.into(), Used::Running));
        let until = key.at + ISSUED_LIFETIME.as_secs();
        self.expiry.insert(key.nonce, until);
        Lookup::Proceed
    }

    /// Records that the request with this key certainly did not run, so that it may be sent again.
    ///
    /// # Examples
    ///
    /// ```
    /// use cuminloom::claim::{Issuer, Lookup};
    /// let mut issuer = Issuer::new("vm-1.0a".into(), b"secret");
    /// let key = issuer.mint("anod", 100);
    /// issuer.present(&key, "anod", "ff", 101);
    /// issuer.release(&key, "anod");
    /// assert_eq!(issuer.present(&key, "anod", "ff", 102), Lookup::Proceed);
    /// ```
    pub fn release(&mut self, text: &str, customer: &str) {
        if let Some(key) = Minted::verify(text, &self.secret, customer) {
            self.used.remove(&key.nonce);
            self.expiry.remove(&key.nonce);
        }
    }

    /// Records the end of the request: the answer, or `None` when it may have run.
    ///
    /// # Examples
    ///
    /// ```
    /// use cuminloom::claim::{Issuer, Lookup, Recorded};
    /// let mut issuer = Issuer::new("vm-1.0a".into(), b"secret");
    /// let key = issuer.mint("anod", 100);
    /// issuer.present(&key, "anod", "ff", 101);
    /// let answer = Recorded::new(200, "text/plain", b"ok");
    /// issuer.record(&key, "anod", Some(answer.clone()));
    /// assert_eq!(issuer.present(&key, "anod", "ff", 102), Lookup::Replay(answer));
    /// ```
    pub fn record(&mut self, text: &str, customer: &str, answer: Option<Recorded>) {
        let Some(key) = Minted::verify(text, &self.secret, customer) else {
            return;
        };
        let Some((_, used)) = self.used.get_mut(&key.nonce) else {
            return;
        };
        let Some(answer) = answer else {
            *used = Used::MayHaveRun;
            return;
        };
        *used = Used::Ran(Some(answer));
        self.recorded.push(key.nonce);
        self.drop_oldest_answer();
    }

    fn drop_oldest_answer(&mut self) {
        if self.recorded.len() <= MAX_RECORDED {
            return;
        }
        let oldest = self.recorded.remove(0);
        if let Some((_, used)) = self.used.get_mut(&oldest) {
            *used = Used::Ran(None);
        }
    }

    /// Forgets keys past their lifetime. Nonces rise with time, so the oldest come first.
    fn expire(&mut self, unix: u64) {
        while let Some((&nonce, &until)) = self.expiry.first_key_value() {
            if until >= unix {
                return;
            }
            self.expiry.remove(&nonce);
            self.used.remove(&nonce);
        }
    }
}

fn judge(found: &str, used: &Used, print: &str) -> Lookup {
    if found != print {
        let detail = "the idempotency key was used with another request";
        return Lookup::Refuse(RequestError::not_run(Code::KeyReused, detail));
    }
    let (code, detail) = match used {
        Used::Ran(Some(answer)) => return Lookup::Replay(answer.clone()),
        Used::Ran(None) => (
            Code::AlreadyClaimed,
            "the request ran; its answer was not kept",
        ),
        Used::Running => (Code::InProgress, "a request with this key is in progress"),
        Used::MayHaveRun => (Code::AlreadyClaimed, "a request with this key may have run"),
    };
    Lookup::Refuse(RequestError::may_have_run(code, detail))
}
