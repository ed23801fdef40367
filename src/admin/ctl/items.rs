//! Commands for customers, services, profiles and planned stops.

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
    CommandError, CommandResult, Context, Exit,
    client::{
        Precondition,
        Tagged, //
    },
    table,
};
use crate::{
    config::ItemKind,
    settings,
    wire::admin as wire, //
};

/// Value of a required text argument.
pub(super) fn text_arg<'a>(matches: &'a ArgMatches, name: &str) -> &'a str {
    let text = matches.get_one::<String>(name);
    text.expect("clap requires it").as_str()
}

/// Reads JSON with comments from a file, or from standard input for `-`.
pub(super) fn read_json(path: &str) -> Result<Value, CommandError> {
    let mut text = String::new();
    let result = match path {
        "-" => std::io::stdin().read_to_string(&mut text).map(drop),
        path => std::fs::read_to_string(path).map(|content| text = content),
    };
    result.map_err(|err| CommandError::usage(format!("{path}: {err}")))?;
    // Comments are accepted: "get" prints the version as one, and its output can be put again.
    let parsed = parse_to_ast(
        &text,
        &CollectOptions::default(),
        &settings::parse_options(),
    )
    .map_err(|err| CommandError::usage(format!("{path}: {err}")))?;
    let value = parsed.value.map(Value::from);
    value.ok_or_else(|| CommandError::usage(format!("{path}: the file is empty")))
}

/// Runs a subcommand for items of one kind.
pub(super) fn run(context: &mut Context<'_>, kind: &str, matches: &ArgMatches) -> CommandResult {
    let kind: ItemKind = kind.parse().expect("the command is named after a kind");
    let (verb, matches) = matches.subcommand().expect("clap requires one");
    if verb == "list" {
        return list(context, kind);
    }
    let path = format!("{}/{}", kind.plural(), text_arg(matches, "name"));
    let if_match = |matches: &ArgMatches| {
        let version = matches.get_one::<u64>("if-match");
        version.map(|version| Precondition::Version(*version))
    };
    match verb {
        "get" => get(context, &path),
        "put" => {
            let body = read_json(text_arg(matches, "file"))?;
            put(
                context,
                &path,
                if_match(matches).unwrap_or(Precondition::Absent),
                &body,
            )
        }
        "edit" => edit(context, &path, if_match(matches), matches),
        _ => delete(context, &path, if_match(matches)),
    }
}

fn list(context: &mut Context<'_>, kind: ItemKind) -> CommandResult {
    let list: Tagged<wire::Edits> = context.client.get(kind.plural())?;
    print_edits(context, &list.body)
}

/// Prints edits as JSON or as a table.
pub(super) fn print_edits(context: &mut Context<'_>, list: &wire::Edits) -> CommandResult {
    if context.json {
        context.print_json(list)?;
        return Ok(Exit::Done);
    }
    let rows: Vec<Vec<String>> = list.edits.iter().map(edit_row).collect();
    let header = ["version", "kind", "name", "operator", "unix time", "value"];
    table::print(context.out, &header, &rows)?;
    Ok(Exit::Done)
}

/// Cells of an edit in the table.
fn edit_row(edit: &wire::Edited) -> Vec<String> {
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

fn get(context: &mut Context<'_>, path: &str) -> CommandResult {
    let item: Tagged<wire::Edited> = context.client.get(path)?;
    if context.json {
        context.print_json(&item.body)?;
        return Ok(Exit::Done);
    }
    // The value alone can be edited and put again; its version is the argument of --if-match.
    let (version, operator) = (item.body.version, &item.body.operator);
    writeln!(context.out, "// version {version}, by {operator}")?;
    context.print_json(&item.body.value)?;
    Ok(Exit::Done)
}

fn put(
    context: &mut Context<'_>,
    path: &str,
    precondition: Precondition,
    body: &Value,
) -> CommandResult {
    let edit: Tagged<wire::Edited> = context.client.put(path, precondition, body)?;
    report_accepted(context, &edit.body)
}

/// Changes fields of the item as it is now, on the condition that it has not changed meanwhile or
/// still has the version of `--if-match`.
fn edit(
    context: &mut Context<'_>,
    path: &str,
    precondition: Option<Precondition>,
    matches: &ArgMatches,
) -> CommandResult {
    let item: Tagged<wire::Edited> = context.client.get(path)?;
    let mut body = item.body.value.unwrap_or_default();
    let fields = body.as_object_mut();
    let fields =
        fields.ok_or_else(|| CommandError::new(Exit::Failed, "the item is not a JSON object"))?;
    for pair in matches.get_many::<String>("set").into_iter().flatten() {
        set_field(fields, pair)?;
    }
    put(
        context,
        path,
        precondition.unwrap_or(Precondition::Version(item.etag)),
        &body,
    )
}

/// Sets a field from `FIELD=VALUE`; a value that is not JSON is taken as a string.
fn set_field(fields: &mut Map<String, Value>, pair: &str) -> Result<(), CommandError> {
    let Some((field, value)) = pair.split_once('=') else {
        return Err(CommandError::usage(format!(
            "{pair:?} is not of the form FIELD=VALUE"
        )));
    };
    let value = serde_json::from_str(value).unwrap_or_else(|_| value.into());
    fields.insert(field.into(), value);
    Ok(())
}

fn delete(
    context: &mut Context<'_>,
    path: &str,
    precondition: Option<Precondition>,
) -> CommandResult {
    let precondition = match precondition {
        Some(precondition) => precondition,
        None => {
            let item: Tagged<wire::Edited> = context.client.get(path)?;
            Precondition::Version(item.etag)
        }
    };
    let edit: Tagged<wire::Edited> = context.client.delete(path, precondition)?;
    report_accepted(context, &edit.body)
}

/// Reports an accepted edit and, if asked to, waits until it is in force.
fn report_accepted(context: &mut Context<'_>, edit: &wire::Edited) -> CommandResult {
    if context.json {
        context.print_json(edit)?;
    } else {
        let (kind, name, version) = (&edit.kind, &edit.name, edit.version);
        writeln!(context.out, "{kind} {name:?} accepted as version {version}")?;
    }
    match context.client.should_wait() {
        true => wait_in_force(context, edit.version, !context.json),
        false => Ok(Exit::Done),
    }
}

/// Waits until a version is in force everywhere. The error names the daemons that have not
/// confirmed it.
pub(super) fn wait_in_force(context: &mut Context<'_>, version: u64, print: bool) -> CommandResult {
    let answer = context.client.wait_in_force(version)?;
    if answer.in_force {
        if print {
            writeln!(context.out, "version {version} is in force everywhere")?;
        }
        return Ok(Exit::Done);
    }
    let unconfirmed = answer.unconfirmed.join(", ");
    let message = format!("version {version} is not confirmed by: {unconfirmed}");
    Err(CommandError::new(Exit::Unconfirmed, message))
}

/// Lists, plans or cancels planned stops of VMs and targets.
pub(super) fn stop(context: &mut Context<'_>, matches: &ArgMatches) -> CommandResult {
    let (what, matches) = matches.subcommand().expect("clap requires one");
    if what == "list" {
        return list(context, ItemKind::Stop);
    }
    let name = text_arg(matches, "name");
    let path = format!("stops/{what}-{name}");
    if matches.get_flag("cancel") {
        return delete(context, &path, None);
    }
    let body = serde_json::json!({ "what": what, "name": name });
    put(context, &path, Precondition::Absent, &body)
}
