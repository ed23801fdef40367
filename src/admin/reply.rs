//! Answers and failures of the administration API.

use std::sync::Arc;

use serde::Serialize;

use crate::{
    budget,
    config::{
        Edit,
        EditError, //
        ItemError,
        JobError,
    },
    inbound,
    model::{
        Code,
        RequestError, //
    },
    store::StoreError,
    wire::admin as wire,
};

/// An answer with its ETag.
#[derive(Debug)]
pub(super) struct Reply {
    pub(super) status: u16,
    pub(super) etag: Option<u64>,
    pub(super) body: Vec<u8>,
}

impl Reply {
    pub(super) fn ok<T: Serialize>(body: &T) -> Self {
        Self {
            status: 200,
            etag: None,
            body: serde_json::to_vec(body).expect("wire types have string keys"),
        }
    }

    pub(super) fn tagged<T: Serialize>(body: &T, etag: u64) -> Self {
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
    fault: RequestError,
    fields: Vec<ItemError>,
    conflict: Option<Arc<Edit>>,
}

pub(super) type Answer = Result<Reply, Failure>;

pub(super) fn refuse(code: Code, detail: impl Into<Arc<str>>) -> Failure {
    RequestError::not_run(code, detail).into()
}

impl From<RequestError> for Failure {
    fn from(fault: RequestError) -> Self {
        Self {
            fault,
            fields: Vec::new(),
            conflict: None,
        }
    }
}

impl From<ItemError> for Failure {
    fn from(fault: ItemError) -> Self {
        EditError::Invalid(vec![fault]).into()
    }
}

/// A read without answer.
impl From<StoreError> for Failure {
    fn from(fault: StoreError) -> Self {
        refuse(Code::StoreUnavailable, fault.to_string())
    }
}

impl From<budget::RowError> for Failure {
    fn from(refusal: budget::RowError) -> Self {
        let code = match refusal {
            budget::RowError::NoShare => Code::NotFound,
            budget::RowError::Malformed(_) => Code::Internal,
            _ => Code::BadRequest,
        };
        refuse(code, refusal.to_string())
    }
}

impl From<EditError> for Failure {
    fn from(refusal: EditError) -> Self {
        let detail = refusal.to_string();
        let (code, fields, conflict) = match refusal {
            EditError::Conflict(edit) => (Code::Conflict, Vec::new(), edit),
            EditError::NotFound => (Code::NotFound, Vec::new(), None),
            EditError::Invalid(fields) => (Code::BadRequest, fields, None),
            EditError::RequestReused(edit) => (Code::KeyReused, Vec::new(), Some(edit)),
            EditError::Outdated => (Code::Internal, Vec::new(), None),
        };
        Self {
            fault: RequestError::not_run(code, detail),
            fields,
            conflict,
        }
    }
}

impl From<JobError> for Failure {
    fn from(fault: JobError) -> Self {
        let detail = fault.to_string();
        match fault {
            JobError::Refused(refusal) => refusal.into(),
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
                message: failure.fault.detail.to_string(),
                code: failure.fault.code.as_str().into(),
                verdict: failure.fault.verdict.to_string(),
                fields: fields.collect(),
                conflict: failure.conflict.as_deref().map(edited),
            },
        };
        Self {
            status: failure.fault.code.status(),
            ..Self::ok(&body)
        }
    }
}

/// An edit as the API shows it; the request id of another operator is not shown.
pub(super) fn edited(edit: &Edit) -> wire::Edited {
    wire::Edited {
        version: edit.version,
        kind: edit.kind.to_string(),
        name: edit.name.to_string(),
        value: edit.value.as_ref().map(crate::config::item_json),
        operator: edit.operator.to_string(),
        time: edit.time,
    }
}
