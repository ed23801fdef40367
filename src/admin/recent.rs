//! Changes of a row whose results are recorded, so that a repeated request has no second effect.
//!
//! The record stands in a row of its own, `request/<key of the changed row>`, and is written in the
//! same commit as the change. The daemons that draw from a budget replace its row as a whole, so a
//! record inside that row would have to pass through each of them.

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

/// Requests that are remembered for each row.
const REMEMBERED: usize = 16;
/// Attempts after lost races; each one means that the row was changed by somebody else.
const ATTEMPTS: u32 = 32;
/// Lost answers after which a request ends. Each one takes the store's deadline of 3 s, and the
/// operator's client waits for 10 s by default.
const MOST_LOST: u32 = 3;

/// One request and its result.
#[derive(Clone, Debug, Serialize, Deserialize)]
struct Recorded {
    id: Arc<str>,
    operator: Arc<str>,
    /// SHA-256 of what was asked.
    asked: String,
    /// Differs for each attempt to answer the request.
    nonce: u64,
    answer: Value,
}

/// Content of the row `request/<key>`.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
struct Recent {
    recent: VecDeque<Recorded>,
}

/// A request whose effect is recorded.
pub(super) struct Asked {
    key: Arc<str>,
    record: Arc<str>,
    id: Arc<str>,
    operator: Arc<str>,
    asked: String,
    nonce: u64,
}

/// New content of a row and the answer to its request.
pub(super) struct Effect {
    pub(super) value: Value,
    pub(super) answer: Value,
}

/// Answer to a request, and whether an earlier request with the same id made it.
pub(super) struct Told {
    pub(super) answer: Value,
    pub(super) repeated: bool,
}

impl Asked {
    /// A request that changes the row `key`.
    pub(super) fn of(request: &Request, key: String) -> Result<Self, Failure> {
        let head = format!("{} {}\n", request.method, request.path.join("/"));
        let asked = Sha256::new_with_prefix(head).chain_update(&request.body);
        Ok(Self {
            record: format!("request/{key}").into(),
            key: key.into(),
            id: request.id()?,
            operator: request.operator.clone(),
            asked: hex::encode(asked.finalize()),
            nonce: rand::random(),
        })
    }

    fn find(&self, recent: &Recent) -> Result<Option<Told>, Failure> {
        let mut all = recent.recent.iter();
        let same = |it: &&Recorded| it.id == self.id && it.operator == self.operator;
        let Some(recorded) = all.find(same) else {
            return Ok(None);
        };
        if recorded.asked != self.asked {
            let detail = "this idempotency-key was used for another request";
            return Err(refuse(Code::KeyReused, detail));
        }
        Ok(Some(Told {
            answer: recorded.answer.clone(),
            repeated: recorded.nonce != self.nonce,
        }))
    }

    fn remember(&self, recent: &mut Recent, answer: Value) {
        recent.recent.push_back(Recorded {
            id: self.id.clone(),
            operator: self.operator.clone(),
            asked: self.asked.clone(),
            nonce: self.nonce,
            answer,
        });
        while recent.recent.len() > REMEMBERED {
            recent.recent.pop_front();
        }
    }

    /// Changes the row at most once. `effect` is computed again after a lost race.
    pub(super) fn change<T: Table>(
        &self,
        store: &T,
        mut effect: impl FnMut(Option<Row>) -> Result<Effect, Failure>,
    ) -> Result<Told, Failure> {
        let mut lost = 0;
        for _ in 0..ATTEMPTS {
            match self.attempt(store, &mut effect) {
                Ok(Some(told)) => return Ok(told),
                Ok(None) => {}
                Err(Stopped::Store(StoreError::Unknown)) if lost < MOST_LOST => lost += 1,
                Err(Stopped::Store(_)) => break,
                // A commit without an answer cannot apply any more: the row has changed since, or
                // the effect would not be refused now.
                Err(Stopped::Refused(failure)) => return Err(failure),
            }
        }
        if lost == 0 {
            let detail = "the platform's store is unavailable, or others change the row all the \
                          time; nothing was changed";
            return Err(refuse(Code::StoreUnavailable, detail));
        }
        let detail = "the platform's store stopped answering; repeat the request with its key";
        Err(RequestError::may_have_run(Code::StoreUnavailable, detail).into())
    }

    fn attempt<T: Table>(
        &self,
        store: &T,
        effect: &mut impl FnMut(Option<Row>) -> Result<Effect, Failure>,
    ) -> Result<Option<Told>, Stopped> {
        // The row is read before the record, so a row that has the effect never meets a record
        // without it.
        let row = store.read(&self.key)?;
        let (version, mut recent) = self.read(store)?;
        if let Some(told) = self.find(&recent)? {
            return Ok(Some(told));
        }
        let expect = expect(row.as_ref().map(|row| row.version));
        let effect = effect(row)?;
        self.remember(&mut recent, effect.answer.clone());
        let outcome = store.commit(&[
            put(&self.key, expect, effect.value),
            put(&self.record, version, to_value(&recent)),
        ])?;
        let told = Told {
            answer: effect.answer,
            repeated: false,
        };
        Ok(matches!(outcome, CommitOutcome::Applied(_)).then_some(told))
    }

    fn read<T: Table>(&self, store: &T) -> Result<(Precondition, Recent), Stopped> {
        let Some(row) = store.read(&self.record)? else {
            return Ok((Precondition::Absent, Recent::default()));
        };
        let recent = serde_json::from_value(row.value)
            .map_err(|err| refuse(Code::Internal, format!("{}: {err}", self.record)))?;
        Ok((Precondition::Version(row.version), recent))
    }

    /// Replaces the recorded answer. A failure leaves the one that was recorded first.
    pub(super) fn amend<T: Table>(&self, store: &T, answer: &Value) {
        for _ in 0..ATTEMPTS {
            let Ok((expect, mut recent)) = self.read(store) else {
                return;
            };
            let mut all = recent.recent.iter_mut();
            let Some(own) = all.find(|it| it.nonce == self.nonce) else {
                return;
            };
            own.answer = answer.clone();
            match store.commit(&[put(&self.record, expect, to_value(&recent))]) {
                Ok(CommitOutcome::Conflict { .. }) => {}
                Ok(CommitOutcome::Applied(_)) | Err(_) => return,
            }
        }
    }
}

enum Stopped {
    Store(StoreError),
    Refused(Failure),
}

impl From<StoreError> for Stopped {
    fn from(fault: StoreError) -> Self {
        Stopped::Store(fault)
    }
}

impl From<Failure> for Stopped {
    fn from(failure: Failure) -> Self {
        Stopped::Refused(failure)
    }
}

fn to_value<T: Serialize>(it: &T) -> Value {
    serde_json::to_value(it).expect("rows have string keys")
}

fn expect(version: Option<u64>) -> Precondition {
    version.map_or(Precondition::Absent, Precondition::Version)
}

fn put(key: &Arc<str>, expect: Precondition, value: Value) -> Write {
    Write {
        key: key.clone(),
        precondition: expect,
        change: Change::Put(value),
    }
}
