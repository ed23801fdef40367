//! Commands for items.

use std::io::Read;

use clap::ArgMatches;
use jsonc_parser::{
    CollectOptions,
    parse_to_ast, //
};
use serde_json::{
    Map,
    Value, //
};

use super::{
    Context, Ended, Exit, Failed,
    client::{
        Seen,
        Tagged, //
    },
    table,
};
use crate::{
    config::ItemKind,
    settings,
    wire::admin as wire, //
};

pub(super) fn text<'a>(matches: &'a ArgMatches, name: &str) -> &'a str {
    let text = matches.get_one::<String>(name);
    text.expect("clap requires it").as_str()
}

pub(super) fn read(path: &str) -> Result<Value, Failed> {
    let mut text = String::new();
    let read = match path {
        "-" => std::io::stdin().read_to_string(&mut text).map(drop),
        path => std::fs::read_to_string(path).map(|read| text = read),
    };
    read.map_err(|err| Failed::usage(format!("{path}: {err}")))?;
    // "get" prints the version as a comment, so what it prints can be put again.
    let parsed = parse_to_ast(
        &text,
        &CollectOptions::default(),
        &settings::parse_options(),
    )
    .map_err(|err| Failed::usage(format!("{path}: {err}")))?;
    let value = parsed.value.map(Value::from);
    value.ok_or_else(|| Failed::usage(format!("{path}: the file is empty")))
}

pub(super) fn run(context: &mut Context<'_>, kind: &str, matches: &ArgMatches) -> Ended {
    let kind: ItemKind = kind.parse().expect("the commands are kinds");
    let (verb, matches) = matches.subcommand().expect("clap requires one");
    if verb == "list" {
        return list(context, kind);
    }
    let path = format!("{}/{}", kind.plural(), text(matches, "name"));
    let seen = |matches: &ArgMatches| {
        let version = matches.get_one::<u64>("if-match");
        version.map(|version| Seen::Version(*version))
    };
    match verb {
        "get" => get(context, &path),
        "put" => {
            let body = read(text(matches, "file"))?;
            put(context, &path, seen(matches).unwrap_or(Seen::Absent), &body)
        }
        "edit" => edit(context, &path, seen(matches), matches),
        _ => delete(context, &path, seen(matches)),
    }
}

fn list(context: &mut Context<'_>, kind: ItemKind) -> Ended {
    let list: Tagged<wire::Edits> = context.client.get(kind.plural())?;
    print(context, &list.body)
}

/// Prints edits as they are, or as a table.
pub(super) fn print(context: &mut Context<'_>, list: &wire::Edits) -> Ended {
    if context.json {
        context.json(list)?;
        return Ok(Exit::Done);
    }
    let rows: Vec<Vec<String>> = list.edits.iter().map(row).collect();
    let head = ["version", "kind", "name", "operator", "unix time", "value"];
    table::print(context.out, &head, &rows)?;
    Ok(Exit::Done)
}

fn row(edit: &wire::Edited) -> Vec<String> {
    let value = edit.value.as_ref().filter(|value| !value.is_null());
    vec![
        edit.version.to_string(),
        edit.kind.clone(),
        edit.name.clone(),
        edit.operator.clone(),
        edit.time.to_string(),
        value.map_or("deleted".into(), ToString::to_string),
    ]
}

fn get(context: &mut Context<'_>, path: &str) -> Ended {
    let item: Tagged<wire::Edited> = context.client.get(path)?;
    if context.json {
        context.json(&item.body)?;
        return Ok(Exit::Done);
    }
    // The body alone can be edited and put again; the version goes to --if-match.
    let (version, operator) = (item.body.version, &item.body.operator);
    writeln!(context.out, "// version {version}, by {operator}")?;
    context.json(&item.body.value)?;
    Ok(Exit::Done)
}

fn put(context: &mut Context<'_>, path: &str, seen: Seen, body: &Value) -> Ended {
    let edit: Tagged<wire::Edited> = context.client.put(path, seen, body)?;
    accepted(context, &edit.body)
}

fn edit(context: &mut Context<'_>, path: &str, seen: Option<Seen>, matches: &ArgMatches) -> Ended {
    let item: Tagged<wire::Edited> = context.client.get(path)?;
    let mut body = item.body.value.unwrap_or_default();
    let fields = body.as_object_mut();
    let fields = fields.ok_or_else(|| Failed::new(Exit::Failed, "the item is no object"))?;
    for pair in matches.get_many::<String>("set").into_iter().flatten() {
        set(fields, pair)?;
    }
    put(
        context,
        path,
        seen.unwrap_or(Seen::Version(item.etag)),
        &body,
    )
}

fn set(fields: &mut Map<String, Value>, pair: &str) -> Result<(), Failed> {
    let Some((field, value)) = pair.split_once('=') else {
        return Err(Failed::usage(format!("{pair:?} is no FIELD=VALUE")));
    };
    let value = serde_json::from_str(value).unwrap_or_else(|_| value.into());
    fields.insert(field.into(), value);
    Ok(())
}

fn delete(context: &mut Context<'_>, path: &str, seen: Option<Seen>) -> Ended {
    let seen = match seen {
        Some(seen) => seen,
        None => {
            let item: Tagged<wire::Edited> = context.client.get(path)?;
            Seen::Version(item.etag)
        }
    };
    let edit: Tagged<wire::Edited> = context.client.delete(path, seen)?;
    accepted(context, &edit.body)
}

/// Reports an accepted edit and waits until it is in force.
fn accepted(context: &mut Context<'_>, edit: &wire::Edited) -> Ended {
    if context.json {
        context.json(edit)?;
    } else {
        let (kind, name, version) = (&edit.kind, &edit.name, edit.version);
        writeln!(context.out, "{kind} {name:?} accepted as version {version}")?;
    }
    match context.client.waits() {
        true => wait(context, edit.version, !context.json),
        false => Ok(Exit::Done),
    }
}

/// Waits until a version is in force and names the daemons that are late.
pub(super) fn wait(context: &mut Context<'_>, version: u64, print: bool) -> Ended {
    let answer = context.client.wait(version)?;
    if answer.in_force {
        if print {
            writeln!(context.out, "version {version} is in force everywhere")?;
        }
        return Ok(Exit::Done);
    }
    let late = answer.unconfirmed.join(", ");
    let message = format!("version {version} is not confirmed by: {late}");
    Err(Failed::new(Exit::Unconfirmed, message))
}

pub(super) fn stop(context: &mut Context<'_>, matches: &ArgMatches) -> Ended {
    let (what, matches) = matches.subcommand().expect("clap requires one");
    if what == "list" {
        return list(context, ItemKind::Stop);
    }
    let name = text(matches, "name");
    let path = format!("stops/{what}-{name}");
    if matches.get_flag("cancel") {
        return delete(context, &path, None);
    }
    let body = serde_json::json!({ "what": what, "name": name });
    put(context, &path, Seen::Absent, &body)
}
