//! Items of the configuration: read, edit, history.

use std::sync::Arc;

use super::{
    fleet::Fleet,
    reply::{
        Answer,
        Reply,
        edited,
        refuse, //
    },
    request::{
        Match,
        Request, //
    },
    server::Shared,
};
use crate::{
    config::{
        self,
        Edit,
        EditRequest,
        ItemKind, //
    },
    model::Code,
    store::{
        Objects,
        Table, //
    },
    wire::{
        admin as wire,
        item::Item, //
    },
};

/// Edits that the history shows unless asked for another number.
const SHOWN: u64 = 20;

fn edits<'a>(version: u64, list: impl Iterator<Item = &'a Arc<Edit>>) -> Reply {
    Reply::ok(&wire::Edits {
        version,
        edits: list.map(|edit| edited(edit)).collect(),
    })
}

impl<S: Table + Objects, F: Fleet> Shared<S, F> {
    /// The last edits of all items, in an order in which they can be accepted again.
    pub(super) fn configuration(&self) -> Answer {
        let config = config::lock_config(&self.config);
        let all = ItemKind::ALL
            .into_iter()
            .flat_map(|kind| config.items(kind));
        Ok(edits(config.version(), all))
    }

    pub(super) fn list(&self, kind: &ItemKind) -> Answer {
        let config = config::lock_config(&self.config);
        Ok(edits(config.version(), config.items(*kind)))
    }

    /// The recent edits, newest first.
    pub(super) fn history(&self, request: &Request) -> Answer {
        let limit = request.number("limit")?.unwrap_or(SHOWN);
        let config = config::lock_config(&self.config);
        let newest = config.history().rev();
        let limit = usize::try_from(limit).unwrap_or(usize::MAX);
        Ok(edits(config.version(), newest.take(limit)))
    }

    pub(super) fn item(&self, request: &Request, kind: ItemKind, name: &str) -> Answer {
        match &*request.method {
            "GET" => self.show(kind, name),
            "PUT" => self.edit(request, kind, name, Some(kind.parse(&request.body)?)),
            "DELETE" => self.edit(request, kind, name, None),
            _ => Err(refuse(Code::NotFound, "items take GET, PUT and DELETE")),
        }
    }

    fn show(&self, kind: ItemKind, name: &str) -> Answer {
        let edit = config::lock_config(&self.config).item(kind, name).cloned();
        let detail = || format!("there is no {kind} {name:?}");
        let edit = edit.ok_or_else(|| refuse(Code::NotFound, detail()))?;
        Ok(Reply::tagged(&edited(&edit), edit.version))
    }

    fn edit(&self, request: &Request, kind: ItemKind, name: &str, value: Option<Item>) -> Answer {
        let if_match = match request.expect {
            Some(Match::Version(version)) => Some(version),
            Some(Match::Absent) => None,
            None => {
                let detail = "an edit needs If-Match with the ETag of the item as you saw it, or \
                              If-None-Match: * for a new item";
                return Err(refuse(Code::BadRequest, detail));
            }
        };
        let change = EditRequest {
            kind,
            name: name.into(),
            value,
            if_match,
            operator: request.operator.clone(),
            time: (self.options.unix_time_s)(),
            request: request.id_or_random(),
        };
        let edit = config::propose(&self.config, &self.store, change)?;
        log::info!(
            "{} edited {kind} {name:?} in version {}",
            edit.operator,
            edit.version
        );
        self.fleet.announce(edit.version);
        Ok(Reply::tagged(&edited(&edit), edit.version))
    }
}
