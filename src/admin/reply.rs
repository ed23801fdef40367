//! Replies and failures of the administration API.

use std::sync::Arc;

use serde::Serialize;

use crate::{
    budget,
    config::{
        Edit,
        EditError,
        ItemError,
        JobError, //
    },
    inbound,
    model::{
        Code,
        RequestError, //
    },
    store::StoreError,
    wire::admin as wire,
};

/// A reply with a JSON body.
#[derive(Debug)]
pub(super) struct Reply {
    pub(super) status: u16,
    /// Version or revision that the `ETag` field carries.
    pub(super) etag: Option<u64>,
    pub(super) body: Vec<u8>,
}

impl Reply {
    /// Reply with status 200 and no ETag.
    pub(super) fn ok<T: Serialize>(body: &T) -> Self {
        Self {
            status: 200,
            etag: None,
            body: serde_json::to_vec(body).expect("wire types have string keys"),
        }
    }

    /// Reply with status 200 and an ETag.
    pub(super) fn with_etag<T: Serialize>(body: &T, etag: u64) -> Self {
        Self {
            etag: Some(etag),
            ..Self::ok(body)
        }
    }
}

impl From<Reply> for inbound::Reply {
    fn from(reply: Reply) -> Self {
        let mut fields = vec![("Content-Type", "application/json".to_owned())];
        if let Some(etag) = reply.etag {
            fields.push(("ETag", format!("\"{etag}\"")));
        }
        Self {
            status: reply.status,
            fields,
            body: reply.body,
        }
    }
}

/// Why a request was refused or failed.
#[derive(Debug)]
pub(super) struct Failure {
    error: RequestError,
    /// Fields of the item that are invalid.
    fields: Vec<ItemError>,
    /// The edit with which the request conflicts.
    conflict: Option<Arc<Edit>>,
}

/// Result of a request handler.
pub(super) type HandlerResult = Result<Reply, Failure>;

/// Failure of a request that had no effect.
pub(super) fn refuse(code: Code, detail: impl Into<Arc<str>>) -> Failure {
    RequestError::not_run(code, detail).into()
}

impl From<RequestError> for Failure {
    fn from(error: RequestError) -> Self {
        Self {
            error,
            fields: Vec::new(),
            conflict: None,
        }
    }
}

impl From<ItemError> for Failure {
    fn from(err: ItemError) -> Self {
        EditError::Invalid(vec![err]).into()
    }
}

/// A read that failed; it had no effect.
impl From<StoreError> for Failure {
    fn from(err: StoreError) -> Self {
        refuse(Code::StoreUnavailable, err.to_string())
    }
}

impl From<budget::RowError> for Failure {
    fn from(err: budget::RowError) -> Self {
        let code = match err {
            budget::RowError::NoShare => Code::NotFound,
            budget::RowError::Malformed(_) => Code::Internal,
            _ => Code::BadRequest,
        };
        refuse(code, err.to_string())
    }
}

impl From<EditError> for Failure {
    fn from(err: EditError) -> Self {
        let detail = err.to_string();
        let (code, fields, conflict) = match err {
            EditError::Conflict(edit) => (Code::Conflict, Vec::new(), edit),
            EditError::NotFound => (Code::NotFound, Vec::new(), None),
            EditError::Invalid(fields) => (Code::BadRequest, fields, None),
            EditError::RequestReused(edit) => (Code::KeyReused, Vec::new(), Some(edit)),
            EditError::Outdated => (Code::Internal, Vec::new(), None),
        };
        Self {
            error: RequestError::not_run(code, detail),
            fields,
            conflict,
        }
    }
}

impl From<JobError> for Failure {
    fn from(err: JobError) -> Self {
        let detail = err.to_string();
        match err {
            JobError::Refused(err) => err.into(),
            JobError::Unavailable => refuse(Code::StoreUnavailable, detail),
            JobError::Uncertain => {
                RequestError::may_have_run(Code::StoreUnavailable, detail).into()
            }
            JobError::Corrupt(_) => refuse(Code::Internal, detail),
        }
    }
}

impl From<Failure> for Reply {
    fn from(failure: Failure) -> Self {
        let fields = failure.fields.into_iter().map(|field| wire::Field {
            path: field.path,
            message: field.message,
        });
        let body = wire::Failure {
            error: wire::Problem {
                message: failure.error.detail.to_string(),
                code: failure.error.code.as_str().into(),
                verdict: failure.error.verdict.to_string(),
                fields: fields.collect(),
                conflict: failure.conflict.as_deref().map(wire_edit),
            },
        };
        Self {
            status: failure.error.code.status(),
            ..Self::ok(&body)
        }
    }
}

/// An edit in its wire form. The request id is left out, as it may belong to another operator.
pub(super) fn wire_edit(edit: &Edit) -> wire::Edited {
    wire::Edited {
        version: edit.version,
        kind: edit.kind.to_string(),
        name: edit.name.to_string(),
        value: edit.value.as_ref().map(crate::config::item_json),
        operator: edit.operator.to_string(),
        time: edit.time,
    }
}
