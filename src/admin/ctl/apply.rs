//! Commands for the configuration as a whole.

use std::collections::BTreeMap;

use clap::ArgMatches;
use serde_json::{
    Value,
    json, //
};

use super::{
    Context, Ended, Exit, Failed,
    client::{
        Seen,
        Tagged, //
    },
    items::{
        self,
        text, //
    },
};
use crate::{
    config::{
        ItemKind,
        item_json, //
    },
    wire::admin as wire,
};

pub(super) fn run(context: &mut Context<'_>, matches: &ArgMatches) -> Ended {
    let (verb, matches) = matches.subcommand().expect("clap requires one");
    let number = |name: &str| *matches.get_one::<u64>(name).expect("clap requires it");
    match verb {
        "get" => get(context),
        "history" => {
            let path = format!("config/history?limit={}", number("limit"));
            let list: Tagged<wire::Edits> = context.client.get(&path)?;
            items::print(context, &list.body)
        }
        "wait" => items::wait(context, number("version"), !context.json),
        _ => apply(context, &read(text(matches, "file"))?),
    }
}

fn get(context: &mut Context<'_>) -> Ended {
    let all: Tagged<wire::Edits> = context.client.get("config")?;
    if context.json {
        context.json(&all.body)?;
        return Ok(Exit::Done);
    }
    let mut file = json!({ "version": all.body.version });
    for edit in all.body.edits {
        let kind: ItemKind = parse_kind(&edit.kind)?;
        file[kind.plural()][edit.name] = edit.value.unwrap_or_default();
    }
    context.json(&file)?;
    Ok(Exit::Done)
}

fn parse_kind(text: &str) -> Result<ItemKind, Failed> {
    text.parse().map_err(|err| Failed::usage(format!("{err}")))
}

/// Items of a file, checked and with all defaults filled in.
struct File {
    version: u64,
    items: Vec<(ItemKind, String, Value)>,
}

fn read(path: &str) -> Result<File, Failed> {
    let Value::Object(mut groups) = items::read(path)? else {
        return Err(Failed::usage(format!("{path}: the file holds no object")));
    };
    let version = groups.remove("version").and_then(|it| it.as_u64());
    let message = "the file needs a \"version\": the one that \"config get\" printed, or 0";
    let version = version.ok_or_else(|| Failed::usage(message))?;
    let mut items = Vec::new();
    // Services come before the profiles that refer to them.
    for kind in ItemKind::ALL {
        let Some(group) = groups.remove(kind.plural()) else {
            continue;
        };
        let group: BTreeMap<String, Value> = serde_json::from_value(group)
            .map_err(|err| Failed::usage(format!("{}: {err}", kind.plural())))?;
        for (name, body) in group {
            let item = kind.parse(body.to_string().as_bytes());
            let item = item.map_err(|err| Failed::usage(format!("{kind} {name:?}: {err}")))?;
            items.push((kind, name, item_json(&item)));
        }
    }
    match groups.keys().next() {
        Some(key) => Err(Failed::usage(format!("{path}: unknown group {key:?}"))),
        None => Ok(File { version, items }),
    }
}

fn apply(context: &mut Context<'_>, file: &File) -> Ended {
    let all: Tagged<wire::Edits> = context.client.get("config")?;
    let known: BTreeMap<(String, String), wire::Edited> = all
        .body
        .edits
        .into_iter()
        .map(|edit| ((edit.kind.clone(), edit.name.clone()), edit))
        .collect();
    let mut wanted = Vec::new();
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
            return Err(Failed::new(Exit::Conflict, message));
        }
        let seen = edit.map_or(Seen::Absent, |edit| Seen::Version(edit.version));
        wanted.push((format!("{}/{name}", kind.plural()), seen, body));
    }
    let mut last = all.body.version;
    for (path, seen, body) in wanted {
        let edit: Tagged<wire::Edited> = context.client.put(&path, seen, body)?;
        last = edit.body.version;
        if !context.json {
            writeln!(context.out, "{path} accepted as version {last}")?;
        } else {
            context.json(&edit.body)?;
        }
    }
    match context.client.waits() {
        true => items::wait(context, last, !context.json),
        false => Ok(Exit::Done),
    }
}
