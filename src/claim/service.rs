//! Key state of this process: issued keys, claim numbers, and the pending writes of finished
//! claims.

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

/// Largest number of writes kept while the platform is unavailable; the oldest is dropped first. A
/// dropped release leaves a claim that says "may have run", which is safe.
const MAX_PENDING: usize = 4_096;

/// A write that is due after the end of a claimed request.
#[derive(Clone, Debug)]
enum PendingWrite {
    Release(Claim),
    Record(Claim, RecordedResponse),
}

/// Idempotency keys of this process: issued keys, the numbers of claims, and pending writes.
#[derive(Debug)]
pub struct Claims {
    issuer: Mutex<Issuer>,
    nonce: AtomicU64,
    pending: Mutex<VecDeque<PendingWrite>>,
}

impl Claims {
    /// Creates the key state of the process `owner`, which signs issued keys with `secret`.
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

    /// Returns a new number for a claim, unique within the process.
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

    /// Locks the issuer of keys.
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

    /// Queues the release of a claim whose request did not run, for the next [`Claims::flush`].
    pub(crate) fn queue_release(&self, claim: Claim) {
        self.push(PendingWrite::Release(claim));
    }

    /// Queues the response of a claimed request, for the next [`Claims::flush`].
    pub(crate) fn queue_record(&self, claim: Claim, response: RecordedResponse) {
        self.push(PendingWrite::Record(claim, response));
    }

    fn push(&self, write: PendingWrite) {
        let mut pending = self.pending.lock().unwrap_or_else(PoisonError::into_inner);
        if pending.len() >= MAX_PENDING {
            pending.pop_front();
        }
        pending.push_back(write);
    }

    /// Whether there are writes that have not been applied.
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

    /// Applies the pending writes in order; stops at the first failure and keeps the rest.
    ///
    /// # Errors
    ///
    /// Returns the error of the failed store call; the next call tries again.
    ///
    /// # Examples
    ///
    /// ```
    /// use cuminloom::{claim::Claims, store::HttpStore};
    /// let claims = Claims::new("vm-1.0a".into(), b"secret");
    /// // Nothing is pending, so the platform is not called.
    /// assert!(claims.flush(&HttpStore::new("127.0.0.1:1".parse().unwrap())).is_ok());
    /// ```
    pub fn flush<T: Table>(&self, table: &T) -> Result<(), StoreError> {
        loop {
            let next = self
                .pending
                .lock()
                .unwrap_or_else(PoisonError::into_inner)
                .pop_front();
            let Some(write) = next else {
                return Ok(());
            };
            if let Err(err) = apply(table, write.clone()) {
                let mut pending = self.pending.lock().unwrap_or_else(PoisonError::into_inner);
                pending.push_front(write);
                return Err(err);
            }
        }
    }
}

/// Applies one write. A conflict means that the row has changed: a release reads the row again, and
/// a response was recorded by an earlier attempt.
fn apply<T: Table>(table: &T, write: PendingWrite) -> Result<(), StoreError> {
    match write {
        PendingWrite::Release(claim) => release(table, &claim),
        PendingWrite::Record(claim, response) => match claim.record_write(response) {
            None => Ok(()),
            Some(row_write) => table.commit(&[row_write]).map(drop),
        },
    }
}

/// Releases a claim; reads the row and tries again after a conflict.
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
