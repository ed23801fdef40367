//! The table row that claims an idempotency key.

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

/// Largest body that is kept for replay. A response with a larger body is kept without it.
const MAX_BODY_BYTES: usize = 16 * 1024;

/// Response of a target, kept for callers that send the same key again.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RecordedResponse {
    /// HTTP status.
    pub status: u16,
    /// Content type.
    pub content_type: Arc<str>,
    /// Body; `None` if it was too large to keep.
    pub body: Option<Arc<[u8]>>,
}

impl RecordedResponse {
    /// Creates the record of a response, without its body if that is too large to keep.
    ///
    /// # Examples
    ///
    /// ```
    /// use cuminloom::claim::RecordedResponse;
    /// assert!(RecordedResponse::new(200, "text/plain", b"ok").body.is_some());
    /// assert!(RecordedResponse::new(200, "text/plain", &[0; 20_000]).body.is_none());
    /// ```
    pub fn new(status: u16, content_type: &str, body: &[u8]) -> Self {
        let body = (body.len() <= MAX_BODY_BYTES).then(|| Arc::from(body));
        Self {
            status,
            content_type: content_type.into(),
            body,
        }
    }
}

/// State of the request that claimed a key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ClaimState {
    /// The owner may be about to run the request, or may have run it.
    Claimed,
    /// The request ran, with this response.
    Ran(RecordedResponse),
    /// The request did not run, and the key may be claimed again. The row is kept so that a delayed
    /// write of the earlier claim finds another version and has no effect.
    Released,
}

/// Content of the table row that claims a key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ClaimRow {
    /// Process that claimed the key.
    pub owner: Incarnation,
    /// Number of the claim, unique within its owner.
    pub nonce: u64,
    /// SHA-256 of the request in hex; tells whether the key was used with another request.
    pub fingerprint: Arc<str>,
    /// Time of the claim, in seconds since the Unix epoch.
    pub claimed_at: u64,
    /// State of the request.
    pub state: ClaimState,
}

impl ClaimRow {
    /// Encodes the content of the table row.
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
            ClaimState::Ran(response) => Some(wire::Recorded {
                status: response.status,
                kind: response.content_type.to_string(),
                body: response.body.as_ref().map(|body| STANDARD.encode(body)),
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

    /// Decodes the content of a table row; returns `None` if it is not a valid claim.
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
            Some(response) => ClaimState::Ran(decode_response(response)?),
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

/// Decodes a recorded response; returns `None` if its body is not valid base64.
fn decode_response(response: wire::Recorded) -> Option<RecordedResponse> {
    let body = match response.body {
        None => None,
        Some(text) => Some(STANDARD.decode(text).ok()?.into()),
    };
    Some(RecordedResponse {
        status: response.status,
        content_type: response.kind.into(),
        body,
    })
}
