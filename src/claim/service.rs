//! Claims in progress of this process, and the writes that follow the end of a request.

use std::{
    collections::VecDeque,
    sync::{
        Mutex,
        MutexGuard,
        PoisonError,
        atomic::{
            AtomicU64,
            Ordering, //
        }, //
    }, //
};

use super::{
    Claim,
    Issuer,
    RecordedResponse, //
};
use crate::{
    model::Incarnation,
    store::{
        CommitOutcome,
        StoreError,
        Table, //
    }, //
};

/// Writes kept for repetition while the platform is away. A release that is dropped leaves a claim
/// that says "may have run", which is safe.
const MAX_PENDING: usize = 4_096;

/// A write that follows the end of a request.
#[derive(Clone, Debug)]
enum After {
    Release(Claim),
    Record(Claim, RecordedResponse),
}

/// Claims of this process.
#[derive(Debug)]
pub struct Claims {
    issuer: Mutex<Issuer>,
    nonce: AtomicU64,
    pending: Mutex<VecDeque<After>>,
}

impl Claims {
    /// Creates the claims of the process `owner`, which signs issued keys with `secret`.
    ///
    /// # Examples
    ///
    /// ```
    /// let claims = cuminloom::claim::Claims::new("vm-1.0a".into(), b"secret");
    /// assert_ne!(claims.next_nonce(), claims.next_nonce());
    /// ```
    pub fn new(owner: Incarnation, secret: &[u8]) -> Self {
        Self {
            issuer: Mutex::new(Issuer::new(owner, secret)),
            nonce: AtomicU64::new(1),
            pending: Mutex::new(VecDeque::new()),
        }
    }

    /// Number of the next claim.
    ///
    /// # Examples
    ///
    /// ```
    /// let claims = cuminloom::claim::Claims::new("vm-1.0a".into(), b"secret");
    /// assert_eq!(claims.next_nonce(), 1);
    /// ```
    pub fn next_nonce(&self) -> u64 {
        self.nonce.fetch_add(1, Ordering::Relaxed)
    }

    /// The registry of issued keys.
    ///
    /// # Examples
    ///
    /// ```
    /// let claims = cuminloom::claim::Claims::new("vm-1.0a".into(), b"secret");
    /// assert!(claims.issuer().issue("anod", 100).starts_with("ck1:vm-1.0a:100:1:"));
    /// ```
    pub fn issuer(&self) -> MutexGuard<'_, Issuer> {
        self.issuer.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Releases a claim whose request certainly did not run, at the next [`Claims::flush`].
    pub(crate) fn queue_release(&self, claim: Claim) {
        self.push(After::Release(claim));
    }

    /// Records the answer of a claimed request at the next [`Claims::flush`].
    pub(crate) fn queue_record(&self, claim: Claim, recorded: RecordedResponse) {
        self.push(After::Record(claim, recorded));
    }

    fn push(&self, after: After) {
        let mut pending = self.pending.lock().unwrap_or_else(PoisonError::into_inner);
        if pending.len() >= MAX_PENDING {
            pending.pop_front();
        }
        pending.push_back(after);
    }

    /// Whether writes wait for the platform.
    ///
    /// # Examples
    ///
    /// ```
    /// assert!(!cuminloom::claim::Claims::new("vm-1.0a".into(), b"secret").has_pending());
    /// ```
    pub fn has_pending(&self) -> bool {
        !self
            .pending
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .is_empty()
    }

    /// Writes what follows the ends of requests; stops at the first failure and keeps the rest.
    ///
    /// # Errors
    ///
    /// Fails with the platform's fault; the call may be repeated.
    ///
    /// # Examples
    ///
    /// ```
    /// use cuminloom::{claim::Claims, store::HttpStore};
    /// let claims = Claims::new("vm-1.0a".into(), b"secret");
    /// // Nothing is pending, so the platform is not asked.
    /// assert!(claims.flush(&HttpStore::new("127.0.0.1:1".parse().unwrap())).is_ok());
    /// ```
    pub fn flush<T: Table>(&self, table: &T) -> Result<(), StoreError> {
        loop {
            let next = self
                .pending
                .lock()
                .unwrap_or_else(PoisonError::into_inner)
                .pop_front();
            let Some(after) = next else {
                return Ok(());
            };
            if let Err(fault) = apply(table, after.clone()) {
                let mut pending = self.pending.lock().unwrap_or_else(PoisonError::into_inner);
                pending.push_front(after);
                return Err(fault);
            }
        }
    }
}

/// Applies one write. A conflict means that the row has changed: a release looks at it again, and a
/// record was applied by an earlier try.
fn apply<T: Table>(table: &T, after: After) -> Result<(), StoreError> {
    match after {
        After::Release(claim) => release(table, &claim),
        After::Record(claim, recorded) => match claim.record_write(recorded) {
            None => Ok(()),
            Some(write) => table.commit(&[write]).map(drop),
        },
    }
}

fn release<T: Table>(table: &T, claim: &Claim) -> Result<(), StoreError> {
    let mut write = claim.release_write();
    loop {
        if let Some(write) = write.take()
            && let CommitOutcome::Applied(_) = table.commit(&[write])?
        {
            return Ok(());
        }
        let row = table.read(&claim.row_key())?;
        write = claim.release_after_read(row.as_ref());
        if write.is_none() {
            return Ok(());
        }
    }
}
