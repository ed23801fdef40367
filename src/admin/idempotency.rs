//! Idempotent changes of a row: the answer is recorded, so a repeated request has no second effect.
//!
//! The record has a row of its own, `request/<key of the changed row>`, which is written in the
//! same commit as the change. It is not part of the changed row: the daemons that draw from a
//! budget replace its row as a whole, and each of them would have to carry the record along.

use std::{
    collections::VecDeque,
    sync::Arc, //
};

use serde::{
    Deserialize,
    Serialize, //
};
use serde_json::Value;
use sha2::{
    Digest,
    Sha256, //
};

use super::{
    reply::{
        Failure,
        refuse, //
    },
    request::Request,
};
use crate::{
    model::{
        Code,
        RequestError, //
    },
    store::{
        Change,
        CommitOutcome,
        Precondition,
        Row,
        StoreError,
        Table,
        Write, //
    },
};

/// Requests that are recorded for each row; the oldest is dropped first.
const MAX_RECORDED: usize = 16;
/// Attempts to commit; one that is lost to a conflict means that somebody else changed the row.
const MAX_ATTEMPTS: u32 = 32;
/// Store calls with an unknown outcome that are repeated before the request fails. Each takes the
/// store's deadline of 3 s, and the operator's client waits for 10 s by default.
const MAX_UNKNOWN: u32 = 3;

/// One request and its answer.
#[derive(Clone, Debug, Serialize, Deserialize)]
struct RequestRecord {
    id: Arc<str>,
    operator: Arc<str>,
    /// SHA-256 of the method, path and body.
    #[serde(rename = "asked")]
    fingerprint: String,
    /// Random number of the [`IdempotentRequest`] that made the change; tells a repetition by the
    /// operator from the daemon's own attempts.
    nonce: u64,
    answer: Value,
}

/// Content of the row `request/<key>`.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
struct RecentRequests {
    #[serde(rename = "recent")]
    requests: VecDeque<RequestRecord>,
}

/// A request that changes one row and whose answer is recorded.
pub(super) struct IdempotentRequest {
    /// Key of the row to be changed.
    row_key: Arc<str>,
    /// Key of the row with the record.
    record_key: Arc<str>,
    id: Arc<str>,
    operator: Arc<str>,
    /// SHA-256 of the method, path and body.
    fingerprint: String,
    nonce: u64,
}

/// New content of a row and the answer to the request that changes it.
pub(super) struct RowUpdate {
    pub(super) value: Value,
    pub(super) answer: Value,
}

/// Recorded answer to a request.
pub(super) struct RecordedAnswer {
    pub(super) answer: Value,
    /// Whether an earlier request with the same id made the change.
    pub(super) is_repeat: bool,
}

impl IdempotentRequest {
    /// A request that changes the row `key`; fails when it carries no request id.
    pub(super) fn new(request: &Request, key: String) -> Result<Self, Failure> {
        let head = format!("{} {}\n", request.method, request.path.join("/"));
        let hash = Sha256::new_with_prefix(head).chain_update(&request.body);
        Ok(Self {
            record_key: format!("request/{key}").into(),
            row_key: key.into(),
            id: request.required_id()?,
            operator: request.operator.clone(),
            fingerprint: hex::encode(hash.finalize()),
            nonce: rand::random(),
        })
    }

    /// The recorded answer to this request, if there is one.
    fn find(&self, recent: &RecentRequests) -> Result<Option<RecordedAnswer>, Failure> {
        let mut all = recent.requests.iter();
        let same = |it: &&RequestRecord| it.id == self.id && it.operator == self.operator;
        let Some(recorded) = all.find(same) else {
            return Ok(None);
        };
        if recorded.fingerprint != self.fingerprint {
            let detail = "this idempotency-key was used for a different request";
            return Err(refuse(Code::KeyReused, detail));
        }
        Ok(Some(RecordedAnswer {
            answer: recorded.answer.clone(),
            is_repeat: recorded.nonce != self.nonce,
        }))
    }

    /// Adds this request to the records, and drops the oldest beyond [`MAX_RECORDED`].
    fn add_record(&self, recent: &mut RecentRequests, answer: Value) {
        recent.requests.push_back(RequestRecord {
            id: self.id.clone(),
            operator: self.operator.clone(),
            fingerprint: self.fingerprint.clone(),
            nonce: self.nonce,
            answer,
        });
        while recent.requests.len() > MAX_RECORDED {
            recent.requests.pop_front();
        }
    }

    /// Changes the row at most once. `update` is computed again after a conflict.
    pub(super) fn execute<T: Table>(
        &self,
        store: &T,
        mut update: impl FnMut(Option<Row>) -> Result<RowUpdate, Failure>,
    ) -> Result<RecordedAnswer, Failure> {
        let mut unknown = 0;
        for _ in 0..MAX_ATTEMPTS {
            match self.attempt(store, &mut update) {
                Ok(Some(answer)) => return Ok(answer),
                Ok(None) => {}
                Err(AttemptError::Store(StoreError::Unknown)) if unknown < MAX_UNKNOWN => {
                    unknown += 1
                }
                Err(AttemptError::Store(_)) => break,
                // A commit of unknown outcome cannot apply any more: the row has changed since,
                // otherwise the update would not be refused now.
                Err(AttemptError::Refused(failure)) => return Err(failure),
            }
        }
        if unknown == 0 {
            let detail = "the platform's store is unavailable, or the row is changed by others too \
                          often; nothing was changed";
            return Err(refuse(Code::StoreUnavailable, detail));
        }
        let detail = "the platform's store did not answer; repeat the request with the same \
                      idempotency-key";
        Err(RequestError::may_have_run(Code::StoreUnavailable, detail).into())
    }

    /// Makes one attempt to change the row; returns [`None`] after a conflict.
    fn attempt<T: Table>(
        &self,
        store: &T,
        update: &mut impl FnMut(Option<Row>) -> Result<RowUpdate, Failure>,
    ) -> Result<Option<RecordedAnswer>, AttemptError> {
        // The row is read before the record, so a row that has the change is never paired with a
        // record that lacks it.
        let row = store.read(&self.row_key)?;
        let (record_precondition, mut recent) = self.read_record(store)?;
        if let Some(answer) = self.find(&recent)? {
            return Ok(Some(answer));
        }
        let precondition = precondition(row.as_ref().map(|row| row.version));
        let update = update(row)?;
        self.add_record(&mut recent, update.answer.clone());
        let outcome = store.commit(&[
            put(&self.row_key, precondition, update.value),
            put(&self.record_key, record_precondition, to_value(&recent)),
        ])?;
        let answer = RecordedAnswer {
            answer: update.answer,
            is_repeat: false,
        };
        Ok(matches!(outcome, CommitOutcome::Applied(_)).then_some(answer))
    }

    /// Reads the record and the precondition for replacing it.
    fn read_record<T: Table>(
        &self,
        store: &T,
    ) -> Result<(Precondition, RecentRequests), AttemptError> {
        let Some(row) = store.read(&self.record_key)? else {
            return Ok((Precondition::Absent, RecentRequests::default()));
        };
        let recent = serde_json::from_value(row.value)
            .map_err(|err| refuse(Code::Internal, format!("{}: {err}", self.record_key)))?;
        Ok((Precondition::Version(row.version), recent))
    }

    /// Replaces the recorded answer; when that fails, the first answer remains.
    pub(super) fn replace_answer<T: Table>(&self, store: &T, answer: &Value) {
        for _ in 0..MAX_ATTEMPTS {
            let Ok((precondition, mut recent)) = self.read_record(store) else {
                return;
            };
            let mut all = recent.requests.iter_mut();
            let Some(own) = all.find(|it| it.nonce == self.nonce) else {
                return;
            };
            own.answer = answer.clone();
            match store.commit(&[put(&self.record_key, precondition, to_value(&recent))]) {
                Ok(CommitOutcome::Conflict { .. }) => {}
                Ok(CommitOutcome::Applied(_)) | Err(_) => return,
            }
        }
    }
}

/// Why an attempt ended without a result.
enum AttemptError {
    Store(StoreError),
    Refused(Failure),
}

impl From<StoreError> for AttemptError {
    fn from(err: StoreError) -> Self {
        AttemptError::Store(err)
    }
}

impl From<Failure> for AttemptError {
    fn from(failure: Failure) -> Self {
        AttemptError::Refused(failure)
    }
}

fn to_value<T: Serialize>(it: &T) -> Value {
    serde_json::to_value(it).expect("rows have string keys")
}

/// Precondition that the row still has the version that was read, or is still absent.
fn precondition(version: Option<u64>) -> Precondition {
    version.map_or(Precondition::Absent, Precondition::Version)
}

/// Write that replaces the content of a row.
fn put(key: &Arc<str>, precondition: Precondition, value: Value) -> Write {
    Write {
        key: key.clone(),
        precondition,
        change: Change::Put(value),
    }
}
