//! The claim of a caller's own key, as a state machine: table answers in, table operations out.

use std::sync::Arc;

use super::{
    ClaimRow,
    ClaimState,
    KEY_LIFETIME,
    Recorded,
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
        Expect,
        Outcome,
        Row,
        StoreFault,
        Write, //
    },
};

/// Reads after a lost answer before the request is refused.
const MAX_READS: u32 = 3;

/// Answer of the table to the last step.
#[derive(Clone, Debug, PartialEq)]
pub enum Answer {
    /// Answer to a commit.
    Commit(Result<Outcome, StoreFault>),
    /// Answer to a read.
    Read(Result<Option<Row>, StoreFault>),
}

/// What to do next.
#[derive(Clone, Debug, PartialEq)]
pub enum Step {
    /// Commit this write and feed the answer back.
    Commit(Write),
    /// Read the claim's row and feed the answer back.
    Read(Arc<str>),
    /// The claim is decided.
    Decided(Decision),
}

/// Result of a claim.
#[derive(Clone, Debug, PartialEq)]
pub enum Decision {
    /// The key is claimed for this request, which may now be sent.
    Proceed,
    /// The request ran before; repeat its recorded answer.
    Replay(Recorded),
    /// The request must not be sent. `cleanup` says that a claim of ours may have been recorded
    /// and has to be released.
    Refuse {
        /// What to tell the caller.
        fault: RequestError,
        /// Whether the row may hold a claim that is ours.
        cleanup: bool,
    },
}

/// Claim of one key by one request.
#[derive(Clone, Debug)]
pub struct Claim {
    key: Arc<str>,
    row: ClaimRow,
    version: Option<Version>,
    reads: u32,
}

impl Claim {
    /// Starts the claim of `key` for `customer`.
    ///
    /// # Examples
    ///
    /// ```
    /// use cuminloom::claim::{Claim, ClaimRow, ClaimState, Step};
    /// let row = ClaimRow {
    ///     owner: "vm-1.0a".into(),
    ///     nonce: 1,
    ///     print: "ff".into(),
    ///     at: 1_764_800_000,
    ///     state: ClaimState::Claimed,
    /// };
    /// let claim = Claim::new("anod", "deposit-17", row);
    /// assert!(matches!(claim.first(), Step::Commit(_)));
    /// ```
    pub fn new(customer: &str, key: &str, row: ClaimRow) -> Self {
        Self {
            key: row_key(customer, key),
            row,
            version: None,
            reads: 0,
        }
    }

    /// Returns the first step, or the refusal of a key that is older than its lifetime: its claim
    /// may have been deleted, so it may have run before.
    ///
    /// # Examples
    ///
    /// ```
    /// use cuminloom::claim::{Claim, ClaimRow, ClaimState, Decision, Step};
    /// let row = ClaimRow {
    ///     owner: "vm-1.0a".into(),
    ///     nonce: 1,
    ///     print: "ff".into(),
    ///     at: 1_764_800_000,
    ///     state: ClaimState::Claimed,
    /// };
    /// let claim = Claim::new("anod", "1700000000-deposit-17", row);
    /// assert!(matches!(claim.first(), Step::Decided(Decision::Refuse { .. })));
    /// ```
    pub fn first(&self) -> Step {
        let caller_key = self.key.rsplit('/').next().unwrap_or_default();
        let age = key_time(caller_key).map(|time| self.row.at.saturating_sub(time));
        if age.is_some_and(|age| age > KEY_LIFETIME.as_secs()) {
            let fault =
                RequestError::may_have_run(Code::KeyExpired, "the idempotency key is too old");
            return Step::Decided(Decision::Refuse {
                fault,
                cleanup: false,
            });
        }
        Step::Commit(self.write(Expect::Absent, Change::Put(self.row.encode())))
    }

    /// Takes the table's answer to the last step.
    ///
    /// # Examples
    ///
    /// ```
    /// use cuminloom::{
    ///     claim::{Answer, Claim, ClaimRow, ClaimState, Decision, Step},
    ///     store::Outcome,
    /// };
    /// let row = ClaimRow {
    ///     owner: "vm-1.0a".into(),
    ///     nonce: 1,
    ///     print: "ff".into(),
    ///     at: 1_764_800_000,
    ///     state: ClaimState::Claimed,
    /// };
    /// let mut claim = Claim::new("anod", "deposit-17", row);
    /// let step = claim.answer(Answer::Commit(Ok(Outcome::Applied(vec![5]))));
    /// assert_eq!(step, Step::Decided(Decision::Proceed));
    /// ```
    pub fn answer(&mut self, answer: Answer) -> Step {
        match answer {
            Answer::Commit(Ok(Outcome::Applied(versions))) => {
                self.version = versions.first().copied();
                Step::Decided(Decision::Proceed)
            }
            Answer::Commit(Ok(Outcome::Conflict { row: Some(row), .. }))
            | Answer::Read(Ok(Some(row))) => self.judge(&row),
            // The lost write was not applied, or another claim was released meanwhile. An older
            // copy of the write could still arrive, so writing again waits for the next request.
            Answer::Commit(Ok(Outcome::Conflict { row: None, .. })) | Answer::Read(Ok(None)) => {
                self.refuse(true)
            }
            Answer::Commit(Err(StoreFault::Unavailable)) => self.refuse(false),
            Answer::Commit(Err(StoreFault::Unknown)) | Answer::Read(Err(_)) => self.read_again(),
        }
    }

    /// Returns the write that releases the claim of a request that certainly did not run.
    ///
    /// # Examples
    ///
    /// ```
    /// use cuminloom::claim::{Claim, ClaimRow, ClaimState};
    /// let row = ClaimRow {
    ///     owner: "vm-1.0a".into(),
    ///     nonce: 1,
    ///     print: "ff".into(),
    ///     at: 1_764_800_000,
    ///     state: ClaimState::Claimed,
    /// };
    /// // Nothing is known to be recorded, so the row has to be read first.
    /// assert!(Claim::new("anod", "deposit-17", row).release().is_none());
    /// ```
    pub fn release(&self) -> Option<Write> {
        let version = self.version?;
        Some(self.write(Expect::Version(version), Change::Put(self.released())))
    }

    /// Returns the write that releases the claim when the row was found as `found`, or `None` when
    /// the row belongs to another request. A write of this claim may still be on its way: the
    /// released row makes its expectation fail.
    ///
    /// # Examples
    ///
    /// ```
    /// use cuminloom::claim::{Claim, ClaimRow, ClaimState};
    /// let row = ClaimRow {
    ///     owner: "vm-1.0a".into(),
    ///     nonce: 1,
    ///     print: "ff".into(),
    ///     at: 1_764_800_000,
    ///     state: ClaimState::Claimed,
    /// };
    /// assert!(Claim::new("anod", "deposit-17", row).release_found(None).is_some());
    /// ```
    pub fn release_found(&self, found: Option<&Row>) -> Option<Write> {
        let expect = match found {
            None => Expect::Absent,
            Some(row) => {
                let claim = ClaimRow::decode(&row.value)?;
                if !self.is_ours(&claim) && claim.state != ClaimState::Released {
                    return None;
                }
                Expect::Version(row.version)
            }
        };
        Some(self.write(expect, Change::Put(self.released())))
    }

    fn released(&self) -> serde_json::Value {
        let state = ClaimState::Released;
        ClaimRow {
            state,
            ..self.row.clone()
        }
        .encode()
    }

    /// Returns the write that records the answer of the target.
    ///
    /// # Examples
    ///
    /// ```
    /// use cuminloom::claim::{Claim, ClaimRow, ClaimState, Recorded};
    /// let row = ClaimRow {
    ///     owner: "vm-1.0a".into(),
    ///     nonce: 1,
    ///     print: "ff".into(),
    ///     at: 1_764_800_000,
    ///     state: ClaimState::Claimed,
    /// };
    /// let claim = Claim::new("anod", "deposit-17", row);
    /// assert!(claim.record(Recorded::new(200, "text/plain", b"ok")).is_none());
    /// ```
    pub fn record(&self, recorded: Recorded) -> Option<Write> {
        let version = self.version?;
        let row = ClaimRow {
            state: ClaimState::Ran(recorded),
            ..self.row.clone()
        };
        Some(self.write(Expect::Version(version), Change::Put(row.encode())))
    }

    /// Key of the claim's row.
    ///
    /// # Examples
    ///
    /// ```
    /// use cuminloom::claim::{Claim, ClaimRow, ClaimState};
    /// let row = ClaimRow {
    ///     owner: "vm-1.0a".into(),
    ///     nonce: 1,
    ///     print: "ff".into(),
    ///     at: 1_764_800_000,
    ///     state: ClaimState::Claimed,
    /// };
    /// assert_eq!(&*Claim::new("anod", "deposit-17", row).row_key(), "claim/anod/deposit-17");
    /// ```
    pub fn row_key(&self) -> Arc<str> {
        self.key.clone()
    }

    fn write(&self, expect: Expect, change: Change) -> Write {
        Write {
            key: self.key.clone(),
            expect,
            change,
        }
    }

    fn is_ours(&self, found: &ClaimRow) -> bool {
        found.owner == self.row.owner && found.nonce == self.row.nonce
    }

    fn judge(&mut self, row: &Row) -> Step {
        let Some(found) = ClaimRow::decode(&row.value) else {
            let fault =
                RequestError::may_have_run(Code::Internal, "the claim of the key is unreadable");
            return Step::Decided(Decision::Refuse {
                fault,
                cleanup: false,
            });
        };
        if found.state == ClaimState::Released {
            let claim = Change::Put(self.row.encode());
            return Step::Commit(self.write(Expect::Version(row.version), claim));
        }
        if self.is_ours(&found) {
            self.version = Some(row.version);
            return Step::Decided(Decision::Proceed);
        }
        let fault = if found.print != self.row.print {
            let detail = "the idempotency key was used with another request";
            RequestError::not_run(Code::KeyReused, detail)
        } else if let ClaimState::Ran(recorded) = found.state {
            return Step::Decided(Decision::Replay(recorded));
        } else {
            let detail = "a request with this idempotency key was accepted before";
            RequestError::may_have_run(Code::AlreadyClaimed, detail)
        };
        Step::Decided(Decision::Refuse {
            fault,
            cleanup: false,
        })
    }

    fn read_again(&mut self) -> Step {
        self.reads += 1;
        if self.reads > MAX_READS {
            return self.refuse(true);
        }
        Step::Read(self.key.clone())
    }

    fn refuse(&self, cleanup: bool) -> Step {
        let detail = "the idempotency key could not be claimed";
        let fault = RequestError {
            verdict: Verdict::NotRun,
            code: Code::StoreUnavailable,
            detail: detail.into(),
        };
        Step::Decided(Decision::Refuse { fault, cleanup })
    }
}

/// Key of a claim's row. A slash in the caller's key is escaped, so that it cannot name another
/// customer's row.
fn row_key(customer: &str, key: &str) -> Arc<str> {
    format!(
        "claim/{customer}/{}",
        key.replace('%', "%25").replace('/', "%2F")
    )
    .into()
}
