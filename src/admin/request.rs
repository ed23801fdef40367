//! Requests of operators.

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

/// Path below which everything lies.
const ROOT: &str = "/admin/v1/";
/// Longest request id, in bytes.
const LONGEST_ID: usize = 128;

/// What an operator expects of the item to be changed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Match {
    /// It does not exist (`If-None-Match: *`).
    Absent,
    /// It has this version (`If-Match`).
    Version(Version),
}

/// A request of an operator whose token is known.
#[derive(Debug)]
pub(super) struct Request {
    pub(super) method: String,
    /// Segments of the path below the root.
    pub(super) path: Vec<String>,
    pub(super) query: Vec<(String, String)>,
    pub(super) operator: Arc<str>,
    pub(super) expect: Option<Match>,
    id: Option<Arc<str>>,
    pub(super) body: Vec<u8>,
}

impl Request {
    /// Reads a request, the token first.
    pub(super) fn read(http: &inbound::Request, operators: &[Operator]) -> Result<Self, Failure> {
        let operator = authenticate(http.fields(), operators)?;
        let (path, query) = split(http.url())?;
        Ok(Self {
            method: http.method().to_owned(),
            path,
            query,
            operator,
            expect: expectation(http.fields())?,
            id: request_id(http.fields())?,
            body: http.body().to_vec(),
        })
    }

    /// Id of a request whose effect is recorded.
    pub(super) fn id(&self) -> Result<Arc<str>, Failure> {
        self.id.clone().ok_or_else(|| {
            let detail = "this request needs an idempotency-key header, so that repeating it has \
                          no second effect";
            refuse(Code::KeyRequired, detail)
        })
    }

    /// Id of a request that `If-Match` protects too; a random one when none was given.
    pub(super) fn id_or_random(&self) -> Arc<str> {
        let random = || format!("{:032x}", rand::random::<u128>()).into();
        self.id.clone().unwrap_or_else(random)
    }

    pub(super) fn parse<T: DeserializeOwned>(&self) -> Result<T, Failure> {
        serde_json::from_slice(&self.body)
            .map_err(|err| refuse(Code::BadRequest, format!("the body is malformed: {err}")))
    }

    fn query(&self, name: &str) -> Option<&str> {
        let mut pairs = self.query.iter();
        pairs
            .find(|(key, _)| key == name)
            .map(|(_, it)| it.as_str())
    }

    pub(super) fn text(&self, name: &str) -> &str {
        self.query(name).unwrap_or("")
    }

    pub(super) fn number(&self, name: &str) -> Result<Option<u64>, Failure> {
        let Some(text) = self.query(name) else {
            return Ok(None);
        };
        let detail = || format!("{name}={text} is no whole number");
        let number = text.parse().map_err(|_| refuse(Code::BadRequest, detail()));
        number.map(Some)
    }
}

/// Compares the token with all operators' in constant time.
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
    // `filter` compares all, so the time does not tell which one matched.
    let mut found: Vec<&Operator> = operators.iter().filter(known).collect();
    Ok(found.pop().ok_or_else(denied)?.name.clone())
}

type Target = (Vec<String>, Vec<(String, String)>);

fn split(url: &str) -> Result<Target, Failure> {
    let (path, query) = url.split_once('?').unwrap_or((url, ""));
    let below = path.strip_prefix(ROOT).filter(|path| !path.contains('%'));
    let below = below.ok_or_else(|| refuse(Code::NotFound, format!("there is no {path}")))?;
    let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
    Ok((
        below.split('/').map(Into::into).collect(),
        pairs.map(|(key, it)| (key.into(), it.into())).collect(),
    ))
}

fn expectation(fields: &Fields) -> Result<Option<Match>, Failure> {
    let known = fields.get("If-Match");
    let absent = fields.get("If-None-Match");
    match (known, absent) {
        (None, None) => Ok(None),
        (None, Some("*")) => Ok(Some(Match::Absent)),
        (Some(tag), None) => {
            let version = tag.trim_matches('"').parse().map(Match::Version);
            let detail = "If-Match must hold one ETag that this API gave out";
            version
                .map(Some)
                .map_err(|_| refuse(Code::BadRequest, detail))
        }
        _ => {
            let detail = "give either If-Match with an ETag or If-None-Match: *";
            Err(refuse(Code::BadRequest, detail))
        }
    }
}

fn request_id(fields: &Fields) -> Result<Option<Arc<str>>, Failure> {
    let Some(id) = fields.get("Idempotency-Key") else {
        return Ok(None);
    };
    match (1..=LONGEST_ID).contains(&id.len()) {
        true => Ok(Some(id.into())),
        false => {
            let detail = format!("idempotency-key must have 1 to {LONGEST_ID} characters");
            Err(refuse(Code::BadRequest, detail))
        }
    }
}
