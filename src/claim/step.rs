//! Claim of a key that the caller chose, as a state machine without I/O: it takes replies of the
//! platform's table and returns the next table operation.

use std::sync::Arc;

use super::{
    ClaimRow,
    ClaimState,
    KEY_LIFETIME,
    RecordedResponse,
    key_time, //
};
use crate::{
    model::{
        Code,
        RequestError,
        Verdict,
        Version, //
    },
    store::{
        Change,
        CommitOutcome,
        Precondition,
        Row,
        StoreError,
        Write, //
    },
};

/// Largest number of reads after a lost reply; then the request is refused.
const MAX_READS: u32 = 3;

/// Reply of the table to the operation of the last step.
#[derive(Clone, Debug, PartialEq)]
pub enum TableReply {
    /// Reply to a commit.
    Commit(Result<CommitOutcome, StoreError>),
    /// Reply to a read.
    Read(Result<Option<Row>, StoreError>),
}

/// What the owner of a [`Claim`] does next.
#[derive(Clone, Debug, PartialEq)]
pub enum ClaimStep {
    /// Commit this write and pass the reply to [`Claim::handle_reply`].
    Commit(Write),
    /// Read the row with this key and pass the reply to [`Claim::handle_reply`].
    Read(Arc<str>),
    /// The claim is decided.
    Decided(Decision),
}

/// Result of a claim: whether the request may run.
#[derive(Clone, Debug, PartialEq)]
pub enum Decision {
    /// The key is claimed for this request, which may now be sent.
    Proceed,
    /// The request ran before; return its recorded response again.
    Replay(RecordedResponse),
    /// The request must not be sent.
    Refuse {
        /// RequestError that is returned to the caller.
        fault: RequestError,
        /// Whether this claim may have been written and therefore has to be released.
        needs_release: bool,
    },
}

/// Claim of one idempotency key by one request.
#[derive(Clone, Debug)]
pub struct Claim {
    /// Key of the table row.
    row_key: Arc<str>,
    row: ClaimRow,
    /// Version of the row once this claim has been written.
    version: Option<Version>,
    /// Number of reads after a lost reply.
    reads: u32,
}

impl Claim {
    /// Starts the claim of `key` for `customer`.
    ///
    /// # Examples
    ///
    /// ```
    /// use cuminloom::claim::{Claim, ClaimRow, ClaimState, ClaimStep};
    /// let row = ClaimRow {
    ///     owner: "vm-1.0a".into(),
    ///     nonce: 1,
    ///     fingerprint: "ff".into(),
    ///     claimed_at: 1_764_800_000,
    ///     state: ClaimState::Claimed,
    /// };
    /// let claim = Claim::new("anod", "deposit-17", row);
    /// assert!(matches!(claim.first_step(), ClaimStep::Commit(_)));
    /// ```
    pub fn new(customer: &str, key: &str, row: ClaimRow) -> Self {
        Self {
            row_key: row_key(customer, key),
            row,
            version: None,
            reads: 0,
        }
    }

    /// Returns the first step. A key older than [`KEY_LIFETIME`] is refused: its claim may have
    /// been deleted, so the request may have run before.
    ///
    /// # Examples
    ///
    /// ```
    /// use cuminloom::claim::{Claim, ClaimRow, ClaimState, Decision, ClaimStep};
    /// let row = ClaimRow {
    ///     owner: "vm-1.0a".into(),
    ///     nonce: 1,
    ///     fingerprint: "ff".into(),
    ///     claimed_at: 1_764_800_000,
    ///     state: ClaimState::Claimed,
    /// };
    /// let claim = Claim::new("anod", "1700000000-deposit-17", row);
    /// assert!(matches!(claim.first_step(), ClaimStep::Decided(Decision::Refuse { .. })));
    /// ```
    pub fn first_step(&self) -> ClaimStep {
        let caller_key = self.row_key.rsplit('/').next().unwrap_or_default();
        let age = key_time(caller_key).map(|time| self.row.claimed_at.saturating_sub(time));
        if age.is_some_and(|age| age > KEY_LIFETIME.as_secs()) {
            let fault =
                RequestError::may_have_run(Code::KeyExpired, "the idempotency key is too old");
            return ClaimStep::Decided(Decision::Refuse {
                fault,
                needs_release: false,
            });
        }
        ClaimStep::Commit(self.write(Precondition::Absent, Change::Put(self.row.encode())))
    }

    /// Takes the table's reply to the last step and returns the next step.
    ///
    /// # Examples
    ///
    /// ```
    /// use cuminloom::{
    ///     claim::{TableReply, Claim, ClaimRow, ClaimState, Decision, ClaimStep},
    ///     store::CommitOutcome,
    /// };
    /// let row = ClaimRow {
    ///     owner: "vm-1.0a".into(),
    ///     nonce: 1,
    ///     fingerprint: "ff".into(),
    ///     claimed_at: 1_764_800_000,
    ///     state: ClaimState::Claimed,
    /// };
    /// let mut claim = Claim::new("anod", "deposit-17", row);
    /// let step = claim.handle_reply(TableReply::Commit(Ok(CommitOutcome::Applied(vec![5]))));
    /// assert_eq!(step, ClaimStep::Decided(Decision::Proceed));
    /// ```
    pub fn handle_reply(&mut self, reply: TableReply) -> ClaimStep {
        match reply {
            TableReply::Commit(Ok(CommitOutcome::Applied(versions))) => {
                self.version = versions.first().copied();
                ClaimStep::Decided(Decision::Proceed)
            }
            TableReply::Commit(Ok(CommitOutcome::Conflict { row: Some(row), .. }))
            | TableReply::Read(Ok(Some(row))) => self.check_row(&row),
            // The write whose reply was lost has not been applied, or another claim was released
            // meanwhile. The write could still be applied later, so it is not repeated here: the
            // caller's next request claims the key again.
            TableReply::Commit(Ok(CommitOutcome::Conflict { row: None, .. }))
            | TableReply::Read(Ok(None)) => self.refuse(true),
            TableReply::Commit(Err(StoreError::Unavailable)) => self.refuse(false),
            TableReply::Commit(Err(StoreError::Unknown)) | TableReply::Read(Err(_)) => {
                self.read_after_loss()
            }
        }
    }

    /// Returns the write that releases the claim of a request that did not run; `None` if the
    /// version of the row is not known.
    ///
    /// # Examples
    ///
    /// ```
    /// use cuminloom::claim::{Claim, ClaimRow, ClaimState};
    /// let row = ClaimRow {
    ///     owner: "vm-1.0a".into(),
    ///     nonce: 1,
    ///     fingerprint: "ff".into(),
    ///     claimed_at: 1_764_800_000,
    ///     state: ClaimState::Claimed,
    /// };
    /// // The claim is not known to be written, so the row has to be read first.
    /// assert!(Claim::new("anod", "deposit-17", row).release_write().is_none());
    /// ```
    pub fn release_write(&self) -> Option<Write> {
        let version = self.version?;
        Some(self.write(
            Precondition::Version(version),
            Change::Put(self.released_row()),
        ))
    }

    /// Returns the write that releases the claim, given the row as it was read, or `None` if the
    /// row belongs to another request. The row is written even if it is absent, because a write of
    /// this claim may still be on its way: the released row makes its precondition fail.
    ///
    /// # Examples
    ///
    /// ```
    /// use cuminloom::claim::{Claim, ClaimRow, ClaimState};
    /// let row = ClaimRow {
    ///     owner: "vm-1.0a".into(),
    ///     nonce: 1,
    ///     fingerprint: "ff".into(),
    ///     claimed_at: 1_764_800_000,
    ///     state: ClaimState::Claimed,
    /// };
    /// assert!(Claim::new("anod", "deposit-17", row).release_after_read(None).is_some());
    /// ```
    pub fn release_after_read(&self, found: Option<&Row>) -> Option<Write> {
        let expect = match found {
            None => Precondition::Absent,
            Some(row) => {
                let claim = ClaimRow::decode(&row.value)?;
                if !self.is_own(&claim) && claim.state != ClaimState::Released {
                    return None;
                }
                Precondition::Version(row.version)
            }
        };
        Some(self.write(expect, Change::Put(self.released_row())))
    }

    /// Content of the row after the release.
    fn released_row(&self) -> serde_json::Value {
        let state = ClaimState::Released;
        ClaimRow {
            state,
            ..self.row.clone()
        }
        .encode()
    }

    /// Returns the write that records the response of the target; `None` if the version of the row
    /// is not known.
    ///
    /// # Examples
    ///
    /// ```
    /// use cuminloom::claim::{Claim, ClaimRow, ClaimState, RecordedResponse};
    /// let row = ClaimRow {
    ///     owner: "vm-1.0a".into(),
    ///     nonce: 1,
    ///     fingerprint: "ff".into(),
    ///     claimed_at: 1_764_800_000,
    ///     state: ClaimState::Claimed,
    /// };
    /// let claim = Claim::new("anod", "deposit-17", row);
    /// assert!(claim.record_write(RecordedResponse::new(200, "text/plain", b"ok")).is_none());
    /// ```
    pub fn record_write(&self, response: RecordedResponse) -> Option<Write> {
        let version = self.version?;
        let row = ClaimRow {
            state: ClaimState::Ran(response),
            ..self.row.clone()
        };
        Some(self.write(Precondition::Version(version), Change::Put(row.encode())))
    }

    /// Key of the table row that holds the claim.
    ///
    /// # Examples
    ///
    /// ```
    /// use cuminloom::claim::{Claim, ClaimRow, ClaimState};
    /// let row = ClaimRow {
    ///     owner: "vm-1.0a".into(),
    ///     nonce: 1,
    ///     fingerprint: "ff".into(),
    ///     claimed_at: 1_764_800_000,
    ///     state: ClaimState::Claimed,
    /// };
    /// assert_eq!(&*Claim::new("anod", "deposit-17", row).row_key(), "claim/anod/deposit-17");
    /// ```
    pub fn row_key(&self) -> Arc<str> {
        self.row_key.clone()
    }

    fn write(&self, expect: Precondition, change: Change) -> Write {
        Write {
            key: self.row_key.clone(),
            precondition: expect,
            change,
        }
    }

    /// Whether the row was written by this claim.
    fn is_own(&self, found: &ClaimRow) -> bool {
        found.owner == self.row.owner && found.nonce == self.row.nonce
    }

    /// Decides on a row that exists already.
    fn check_row(&mut self, row: &Row) -> ClaimStep {
        let Some(found) = ClaimRow::decode(&row.value) else {
            let fault = RequestError::may_have_run(
                Code::Internal,
                "the stored claim of the idempotency key is malformed",
            );
            return ClaimStep::Decided(Decision::Refuse {
                fault,
                needs_release: false,
            });
        };
        if found.state == ClaimState::Released {
            let claim = Change::Put(self.row.encode());
            return ClaimStep::Commit(self.write(Precondition::Version(row.version), claim));
        }
        if self.is_own(&found) {
            self.version = Some(row.version);
            return ClaimStep::Decided(Decision::Proceed);
        }
        let fault = if found.fingerprint != self.row.fingerprint {
            let detail = "the idempotency key was used with another request";
            RequestError::not_run(Code::KeyReused, detail)
        } else if let ClaimState::Ran(response) = found.state {
            return ClaimStep::Decided(Decision::Replay(response));
        } else {
            let detail = "a request with this idempotency key was accepted before";
            RequestError::may_have_run(Code::AlreadyClaimed, detail)
        };
        ClaimStep::Decided(Decision::Refuse {
            fault,
            needs_release: false,
        })
    }

    /// Reads the row after a lost reply, at most [`MAX_READS`] times.
    fn read_after_loss(&mut self) -> ClaimStep {
        self.reads += 1;
        if self.reads > MAX_READS {
            return self.refuse(true);
        }
        ClaimStep::Read(self.row_key.clone())
    }

    /// Refuses the request because the row could not be read or written.
    fn refuse(&self, cleanup: bool) -> ClaimStep {
        let detail = "the idempotency key could not be claimed";
        let fault = RequestError {
            verdict: Verdict::NotRun,
            code: Code::StoreUnavailable,
            detail: detail.into(),
        };
        ClaimStep::Decided(Decision::Refuse {
            fault,
            needs_release: cleanup,
        })
    }
}

/// Key of the table row for a caller's key. A slash in the caller's key is escaped, so that the key
/// cannot address another customer's row.
fn row_key(customer: &str, key: &str) -> Arc<str> {
    format!(
        "claim/{customer}/{}",
        key.replace('%', "%25").replace('/', "%2F")
    )
    .into()
}
