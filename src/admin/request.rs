//! Authentication and parsing of operators' requests.

use std::sync::Arc;

use cuminloom_edge::http::Fields;
use hmac::digest::CtOutput;
use serde::de::DeserializeOwned;
use sha2::{
    Digest,
    Sha256, //
};

use super::reply::{
    Failure,
    refuse, //
};
use crate::{
    inbound,
    model::{
        Code,
        Version, //
    },
    settings::Operator,
};

/// Prefix of all paths of the API.
const ROOT_PATH: &str = "/admin/v1/";
/// Longest request id (`idempotency-key`).
const MAX_ID_BYTES: usize = 128;

/// State that the item or budget to be changed must have.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Precondition {
    /// It does not exist (`If-None-Match: *`).
    Absent,
    /// It has this version (`If-Match`).
    Version(Version),
}

/// A request of an authenticated operator.
#[derive(Debug)]
pub(super) struct Request {
    pub(super) method: String,
    /// Segments of the path below [`ROOT_PATH`].
    pub(super) path: Vec<String>,
    pub(super) query: Vec<(String, String)>,
    /// Name of the operator.
    pub(super) operator: Arc<str>,
    pub(super) precondition: Option<Precondition>,
    /// Value of the `Idempotency-Key` field.
    id: Option<Arc<str>>,
    pub(super) body: Vec<u8>,
}

impl Request {
    /// Authenticates the operator, then parses the request.
    pub(super) fn from_http(
        http: &inbound::Request,
        operators: &[Operator],
    ) -> Result<Self, Failure> {
        let operator = authenticate(http.fields(), operators)?;
        let (path, query) = split_url(http.url())?;
        Ok(Self {
            method: http.method().to_owned(),
            path,
            query,
            operator,
            precondition: parse_precondition(http.fields())?,
            id: parse_request_id(http.fields())?,
            body: http.body().to_vec(),
        })
    }

    /// Id of a request whose result is recorded; fails when none was given.
    pub(super) fn required_id(&self) -> Result<Arc<str>, Failure> {
        self.id.clone().ok_or_else(|| {
            let detail = "this request needs an idempotency-key header, so that repeating it has \
                          no second effect";
            refuse(Code::KeyRequired, detail)
        })
    }

    /// Id of a request that a precondition protects as well; a random one when none was given.
    pub(super) fn id_or_random(&self) -> Arc<str> {
        let random = || format!("{:032x}", rand::random::<u128>()).into();
        self.id.clone().unwrap_or_else(random)
    }

    /// Decodes the JSON body.
    pub(super) fn parse_body<T: DeserializeOwned>(&self) -> Result<T, Failure> {
        serde_json::from_slice(&self.body)
            .map_err(|err| refuse(Code::BadRequest, format!("the body is malformed: {err}")))
    }

    fn query_value(&self, name: &str) -> Option<&str> {
        let mut pairs = self.query.iter();
        pairs
            .find(|(key, _)| key == name)
            .map(|(_, it)| it.as_str())
    }

    /// Value of a query parameter; empty when it is missing.
    pub(super) fn query_text(&self, name: &str) -> &str {
        self.query_value(name).unwrap_or("")
    }

    /// Value of a numeric query parameter.
    pub(super) fn query_number(&self, name: &str) -> Result<Option<u64>, Failure> {
        let Some(text) = self.query_value(name) else {
            return Ok(None);
        };
        let detail = || format!("{name}={text} is not a whole number");
        let number = text.parse().map_err(|_| refuse(Code::BadRequest, detail()));
        number.map(Some)
    }
}

/// Returns the name of the operator whose token the request carries. Tokens are compared in
/// constant time.
pub(super) fn authenticate(fields: &Fields, operators: &[Operator]) -> Result<Arc<str>, Failure> {
    let token = fields
        .get("Authorization")
        .and_then(|text| text.strip_prefix("Bearer "));
    let denied = || {
        refuse(
            Code::Unauthorized,
            "the operator's token is missing or unknown",
        )
    };
    let hash = Sha256::digest(token.ok_or_else(denied)?.trim());
    let presented = CtOutput::<Sha256>::new(hash);
    let known = |operator: &&Operator| presented == CtOutput::new(operator.token_hash.into());
    // All operators are compared, so the time does not depend on which one matched.
    let mut found: Vec<&Operator> = operators.iter().filter(known).collect();
    Ok(found.pop().ok_or_else(denied)?.name.clone())
}

/// Path segments and query pairs of a URL.
type UrlParts = (Vec<String>, Vec<(String, String)>);

/// Splits a URL into the segments below [`ROOT_PATH`] and the pairs of the query. Paths with
/// percent-encoding are refused.
fn split_url(url: &str) -> Result<UrlParts, Failure> {
    let (path, query) = url.split_once('?').unwrap_or((url, ""));
    let relative = path
        .strip_prefix(ROOT_PATH)
        .filter(|path| !path.contains('%'));
    let relative =
        relative.ok_or_else(|| refuse(Code::NotFound, format!("no such path: {path}")))?;
    let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
    Ok((
        relative.split('/').map(Into::into).collect(),
        pairs.map(|(key, it)| (key.into(), it.into())).collect(),
    ))
}

/// Precondition in the fields `If-Match` and `If-None-Match`.
fn parse_precondition(fields: &Fields) -> Result<Option<Precondition>, Failure> {
    let if_match = fields.get("If-Match");
    let if_none_match = fields.get("If-None-Match");
    match (if_match, if_none_match) {
        (None, None) => Ok(None),
        (None, Some("*")) => Ok(Some(Precondition::Absent)),
        (Some(tag), None) => {
            let version = tag.trim_matches('"').parse().map(Precondition::Version);
            let detail = "If-Match must hold one ETag that this API returned";
            version
                .map(Some)
                .map_err(|_| refuse(Code::BadRequest, detail))
        }
        _ => {
            let detail = "send either If-Match with an ETag or If-None-Match: *";
            Err(refuse(Code::BadRequest, detail))
        }
    }
}

/// Request id in the field `Idempotency-Key`.
fn parse_request_id(fields: &Fields) -> Result<Option<Arc<str>>, Failure> {
    let Some(id) = fields.get("Idempotency-Key") else {
        return Ok(None);
    };
    match (1..=MAX_ID_BYTES).contains(&id.len()) {
        true => Ok(Some(id.into())),
        false => {
            let detail = format!("idempotency-key must have 1 to {MAX_ID_BYTES} characters");
            Err(refuse(Code::BadRequest, detail))
        }
    }
}
