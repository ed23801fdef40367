//! Handlers for configuration items: list, show, edit and history.

use std::sync::Arc;

use super::{
    fleet::Fleet,
    reply::{
        HandlerResult,
        Reply,
        refuse,
        wire_edit, //
    },
    request::{
        Precondition,
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

/// Edits that the history shows when the request names no limit.
const DEFAULT_HISTORY: u64 = 20;

/// Reply that lists edits under the configuration version `version`.
fn edits_reply<'a>(version: u64, list: impl Iterator<Item = &'a Arc<Edit>>) -> Reply {
    Reply::ok(&wire::Edits {
        version,
        edits: list.map(|edit| wire_edit(edit)).collect(),
    })
}

impl<S: Table + Objects, F: Fleet> Shared<S, F> {
    /// The last edit of every item, in an order in which the edits can be made again.
    pub(super) fn show_config(&self) -> HandlerResult {
        let config = config::lock_config(&self.config);
        let all = ItemKind::ALL
            .into_iter()
            .flat_map(|kind| config.items(kind));
        Ok(edits_reply(config.version(), all))
    }

    /// The last edit of every item of one kind.
    pub(super) fn list_items(&self, kind: &ItemKind) -> HandlerResult {
        let config = config::lock_config(&self.config);
        Ok(edits_reply(config.version(), config.items(*kind)))
    }

    /// The recent edits, newest first.
    pub(super) fn show_history(&self, request: &Request) -> HandlerResult {
        let limit = request.query_number("limit")?.unwrap_or(DEFAULT_HISTORY);
        let config = config::lock_config(&self.config);
        let newest = config.history().rev();
        let limit = usize::try_from(limit).unwrap_or(usize::MAX);
        Ok(edits_reply(config.version(), newest.take(limit)))
    }

    /// Shows, replaces or deletes one item.
    pub(super) fn handle_item(
        &self,
        request: &Request,
        kind: ItemKind,
        name: &str,
    ) -> HandlerResult {
        match &*request.method {
            "GET" => self.show_item(kind, name),
            "PUT" => self.edit_item(request, kind, name, Some(kind.parse(&request.body)?)),
            "DELETE" => self.edit_item(request, kind, name, None),
            _ => Err(refuse(Code::NotFound, "items support GET, PUT and DELETE")),
        }
    }

    fn show_item(&self, kind: ItemKind, name: &str) -> HandlerResult {
        let edit = config::lock_config(&self.config).item(kind, name).cloned();
        let detail = || format!("there is no {kind} {name:?}");
        let edit = edit.ok_or_else(|| refuse(Code::NotFound, detail()))?;
        Ok(Reply::with_etag(&wire_edit(&edit), edit.version))
    }

    /// Proposes an edit, and announces it once it is committed. `value` is [`None`] for a deletion.
    fn edit_item(
        &self,
        request: &Request,
        kind: ItemKind,
        name: &str,
        value: Option<Item>,
    ) -> HandlerResult {
        let if_match = match request.precondition {
            Some(Precondition::Version(version)) => Some(version),
            Some(Precondition::Absent) => None,
            None => {
                let detail = "an edit needs If-Match with the ETag of the version being edited, or \
                              If-None-Match: * for a new item";
                return Err(refuse(Code::BadRequest, detail));
            }
        };
        let proposal = EditRequest {
            kind,
            name: name.into(),
            value,
            if_match,
            operator: request.operator.clone(),
            time: (self.options.unix_time_s)(),
            request: request.id_or_random(),
        };
        let edit = config::propose(&self.config, &self.store, proposal)?;
        log::info!(
            "operator {} edited {kind} {name:?}: version {}",
            edit.operator,
            edit.version
        );
        self.fleet.announce(edit.version);
        Ok(Reply::with_etag(&wire_edit(&edit), edit.version))
    }
}
