//! The row that claims an idempotency key.

use std::sync::Arc;

use base64::{
    Engine,
    engine::general_purpose::STANDARD, //
};
use serde_json::Value;

use crate::{
    model::Incarnation,
    wire::claim as wire, //
};

/// Largest body that is recorded for replay, in bytes. Larger answers are remembered without body.
const MAX_RECORDED: usize = 16 * 1024;

/// TableReply of a target, kept to be repeated to a caller that sends the same key again.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RecordedResponse {
    /// HTTP status.
    pub status: u16,
    /// Content type.
    pub content_type: Arc<str>,
    /// Body; `None` when it was too large to keep.
    pub body: Option<Arc<[u8]>>,
}

impl RecordedResponse {
    /// Records an answer, without its body when that is too large to keep.
    ///
    /// # Examples
    ///
    /// ```
    /// use cuminloom::claim::RecordedResponse;
    /// assert!(RecordedResponse::new(200, "text/plain", b"ok").body.is_some());
    /// assert!(RecordedResponse::new(200, "text/plain", &[0; 20_000]).body.is_none());
    /// ```
    pub fn new(status: u16, kind: &str, body: &[u8]) -> Self {
        let body = (body.len() <= MAX_RECORDED).then(|| Arc::from(body));
        Self {
            status,
            content_type: kind.into(),
            body,
        }
    }
}

/// Whether the request of a claim may still run.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ClaimState {
    /// The owner may run the request, or may have run it.
    Claimed,
    /// The target answered.
    Ran(RecordedResponse),
    /// The request certainly did not run. The row stays, so that a write of this claim that arrives
    /// late finds another version and has no effect; the key may be claimed again.
    Released,
}

/// A claimed key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ClaimRow {
    /// Process that claimed the key.
    pub owner: Incarnation,
    /// Number of the claim within its owner.
    pub nonce: u64,
    /// SHA-256 of the request, in hex.
    pub fingerprint: Arc<str>,
    /// Time of the claim, in seconds since the Unix epoch.
    pub claimed_at: u64,
    /// Whether the request may still run.
    pub state: ClaimState,
}

impl ClaimRow {
    /// Content of the table row.
    ///
    /// # Examples
    ///
    /// ```
    /// use cuminloom::claim::{ClaimRow, ClaimState};
    /// let row = ClaimRow {
    ///     owner: "vm-1.0a".into(),
    ///     nonce: 1,
    ///     fingerprint: "ff".into(),
    ///     claimed_at: 0,
    ///     state: ClaimState::Claimed,
    /// };
    /// assert_eq!(ClaimRow::decode(&row.encode()), Some(row));
    /// ```
    pub fn encode(&self) -> Value {
        let outcome = match &self.state {
            ClaimState::Claimed | ClaimState::Released => None,
            ClaimState::Ran(recorded) => Some(wire::Recorded {
                status: recorded.status,
                kind: recorded.content_type.to_string(),
                body: recorded.body.as_ref().map(|body| STANDARD.encode(body)),
            }),
        };
        let row = wire::ClaimRow {
            owner: self.owner.to_string(),
            nonce: self.nonce,
            print: self.fingerprint.to_string(),
            at: self.claimed_at,
            released: self.state == ClaimState::Released,
            outcome,
        };
        serde_json::to_value(row).expect("wire types have string keys")
    }

    /// Reads the content of a table row; `None` when it is not a claim.
    ///
    /// # Examples
    ///
    /// ```
    /// use cuminloom::claim::ClaimRow;
    /// assert_eq!(ClaimRow::decode(&serde_json::json!({"owner": 1})), None);
    /// ```
    pub fn decode(value: &Value) -> Option<Self> {
        let row: wire::ClaimRow = serde_json::from_value(value.clone()).ok()?;
        let state = match row.outcome {
            None if row.released => ClaimState::Released,
            None => ClaimState::Claimed,
            Some(recorded) => ClaimState::Ran(decode_recorded(recorded)?),
        };
        Some(Self {
            owner: row.owner.into(),
            nonce: row.nonce,
            fingerprint: row.print.into(),
            claimed_at: row.at,
            state,
        })
    }
}

fn decode_recorded(recorded: wire::Recorded) -> Option<RecordedResponse> {
    let body = match recorded.body {
        None => None,
        Some(text) => Some(STANDARD.decode(text).ok()?.into()),
    };
    Some(RecordedResponse {
        status: recorded.status,
        content_type: recorded.kind.into(),
        body,
    })
}
