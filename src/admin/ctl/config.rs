//! Commands for the whole configuration: get, history, wait and apply.

use std::collections::BTreeMap;

use clap::ArgMatches;
use serde_json::{
    Value,
    json, //
};

use super::{
    CommandError, CommandResult, Context, Exit,
    client::{
        Precondition,
        Tagged, //
    },
    items::{
        self,
        text_arg, //
    },
};
use crate::{
    config::{
        ItemKind,
        item_json, //
    },
    wire::admin as wire,
};

/// Runs a `config` subcommand.
pub(super) fn run(context: &mut Context<'_>, matches: &ArgMatches) -> CommandResult {
    let (verb, matches) = matches.subcommand().expect("clap requires one");
    let number = |name: &str| *matches.get_one::<u64>(name).expect("clap requires it");
    match verb {
        "get" => get(context),
        "history" => {
            let path = format!("config/history?limit={}", number("limit"));
            let list: Tagged<wire::Edits> = context.client.get(&path)?;
            items::print_edits(context, &list.body)
        }
        "wait" => items::wait_in_force(context, number("version"), !context.json),
        _ => apply(context, &read_file(text_arg(matches, "file"))?),
    }
}

/// Prints all items, grouped by kind, in the form that `config apply` takes.
fn get(context: &mut Context<'_>) -> CommandResult {
    let all: Tagged<wire::Edits> = context.client.get("config")?;
    if context.json {
        context.print_json(&all.body)?;
        return Ok(Exit::Done);
    }
    let mut file = json!({ "version": all.body.version });
    for edit in all.body.edits {
        let kind: ItemKind = parse_kind(&edit.kind)?;
        file[kind.plural()][edit.name] = edit.value.unwrap_or_default();
    }
    context.print_json(&file)?;
    Ok(Exit::Done)
}

fn parse_kind(text: &str) -> Result<ItemKind, CommandError> {
    text.parse()
        .map_err(|err| CommandError::usage(format!("{err}")))
}

/// Version and items of a configuration file. The items are valid and have all defaults filled in.
struct ConfigFile {
    version: u64,
    items: Vec<(ItemKind, String, Value)>,
}

/// Reads a file in the form that `config get` prints.
fn read_file(path: &str) -> Result<ConfigFile, CommandError> {
    let Value::Object(mut groups) = items::read_json(path)? else {
        return Err(CommandError::usage(format!(
            "{path}: the file does not hold a JSON object"
        )));
    };
    let version = groups.remove("version").and_then(|it| it.as_u64());
    let message = "the file needs a \"version\": the one that \"config get\" printed, or 0";
    let version = version.ok_or_else(|| CommandError::usage(message))?;
    let mut items = Vec::new();
    // Services come before the profiles that refer to them.
    for kind in ItemKind::ALL {
        let Some(group) = groups.remove(kind.plural()) else {
            continue;
        };
        let group: BTreeMap<String, Value> = serde_json::from_value(group)
            .map_err(|err| CommandError::usage(format!("{}: {err}", kind.plural())))?;
        for (name, body) in group {
            let item = kind.parse(body.to_string().as_bytes());
            let item =
                item.map_err(|err| CommandError::usage(format!("{kind} {name:?}: {err}")))?;
            items.push((kind, name, item_json(&item)));
        }
    }
    match groups.keys().next() {
        Some(key) => Err(CommandError::usage(format!(
            "{path}: unknown group {key:?}"
        ))),
        None => Ok(ConfigFile { version, items }),
    }
}

/// Makes the edits that lead to the items of the file. Makes none if an item that differs was
/// changed after the file's version.
fn apply(context: &mut Context<'_>, file: &ConfigFile) -> CommandResult {
    let all: Tagged<wire::Edits> = context.client.get("config")?;
    let known: BTreeMap<(String, String), wire::Edited> = all
        .body
        .edits
        .into_iter()
        .map(|edit| ((edit.kind.clone(), edit.name.clone()), edit))
        .collect();
    let mut edits = Vec::new();
    for (kind, name, body) in &file.items {
        let edit = known.get(&(kind.to_string(), name.clone()));
        if edit.and_then(|edit| edit.value.as_ref()) == Some(body) {
            continue;
        }
        if let Some(edit) = edit.filter(|edit| edit.version > file.version) {
            let message = format!(
                "{kind} {name:?} was changed by {} in version {}; nothing was applied",
                edit.operator, edit.version
            );
            return Err(CommandError::new(Exit::Conflict, message));
        }
        let precondition = edit.map_or(Precondition::Absent, |edit| {
            Precondition::Version(edit.version)
        });
        edits.push((format!("{}/{name}", kind.plural()), precondition, body));
    }
    let mut last_version = all.body.version;
    for (path, precondition, body) in edits {
        let edit: Tagged<wire::Edited> = context.client.put(&path, precondition, body)?;
        last_version = edit.body.version;
        if !context.json {
            writeln!(context.out, "{path} accepted as version {last_version}")?;
        } else {
            context.print_json(&edit.body)?;
        }
    }
    match context.client.should_wait() {
        true => items::wait_in_force(context, last_version, !context.json),
        false => Ok(Exit::Done),
    }
}
