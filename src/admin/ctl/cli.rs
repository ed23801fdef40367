//! The command line.

use std::io::Write;

use clap::{
    Arg,
    ArgAction,
    ArgGroup,
    ArgMatches,
    Command,
    builder::NonEmptyStringValueParser,
    value_parser, //
};
use clap_complete::Shell;

use super::{
    Ended,
    Exit, //
};

const EXITS: &str = "\
Exit codes:
  0  done
  1  refused or failed; the message says whether it may have taken effect
  2  the command line is faulty
  3  somebody else changed the item
  4  accepted, but not confirmed by all daemons in time
  5  the audit found a discrepancy
  6  no daemon was reached

Examples:
  cuminloomctl --token-file ~/.cuminloom status
  cuminloomctl -d 10.20.1.11:8090 -d 10.20.2.11:8090 budget top-up chat 5000000
  cuminloomctl profile edit buyer-chat urgency=urgent deadline_ms=20000
  cuminloomctl config get > config.json
  cuminloomctl config apply -f config.json";

fn name(help: &'static str) -> Arg {
    Arg::new("name")
        .required(true)
        .value_name("NAME")
        .value_parser(NonEmptyStringValueParser::new())
        .help(help)
}

fn number(id: &'static str, help: &'static str) -> Arg {
    Arg::new(id).value_parser(value_parser!(u64)).help(help)
}

fn option(id: &'static str, help: &'static str) -> Arg {
    number(id, help).long(id).value_name("N")
}

fn file(help: &'static str) -> Arg {
    Arg::new("file")
        .short('f')
        .long("file")
        .value_name("FILE")
        .help(help)
}

fn sub(name: &'static str, about: &'static str) -> Command {
    Command::new(name).about(about)
}

fn group(name: &'static str, about: &'static str) -> Command {
    sub(name, about).subcommand_required(true)
}

pub(super) fn command() -> Command {
    group("cuminloomctl", "Administers a fleet of cuminloom daemons")
        .version(clap::crate_version!())
        .after_help(EXITS)
        .args(global())
        .subcommands([
            items("customer", "Customers: who sends requests"),
            items("service", "Services: named groups of targets"),
            items("profile", "Profiles: how a kind of work is treated"),
            stops(),
            budgets(),
            config(),
            order(),
            sub("status", "Shows the fleet as one daemon sees it"),
            sub(
                "audit",
                "Checks that every token of every budget is accounted for",
            ),
            sub("completion", "Prints the completion script of a shell").arg(
                Arg::new("shell")
                    .required(true)
                    .value_parser(value_parser!(Shell)),
            ),
        ])
}

fn global() -> [Arg; 6] {
    [
        Arg::new("daemon")
            .short('d')
            .long("daemon")
            .value_name("ADDR")
            .action(ArgAction::Append)
            .value_parser(value_parser!(std::net::SocketAddr))
            .global(true)
            .help("Administration address of a daemon [default: 127.0.0.1:8090]; further ones are tried in turn"),
        Arg::new("token-file")
            .long("token-file")
            .value_name("FILE")
            .global(true)
            .help("File with the operator's token; without it CUMINLOOM_TOKEN is used"),
        Arg::new("json")
            .long("json")
            .action(ArgAction::SetTrue)
            .global(true)
            .help("Prints the answers of the API"),
        option("timeout", "Longest time for one attempt, in seconds")
            .default_value("10")
            .value_parser(value_parser!(u64).range(1..=600))
            .global(true),
        option("wait", "How long to wait until an edit is in force, in seconds; 0 does not wait")
            .default_value("10")
            .global(true),
        Arg::new("request")
            .long("request")
            .value_name("ID")
            .global(true)
            .help("Request id; give the id of an earlier attempt to repeat it without a second effect"),
    ]
}

fn items(kind: &'static str, about: &'static str) -> Command {
    let seen = || option("if-match", "Version of the item as you saw it").value_name("VERSION");
    group(kind, about).subcommands([
        sub("list", "Lists the items"),
        sub("get", "Prints one item").arg(name("Name of the item")),
        sub("put", "Replaces or creates an item")
            .arg(name("Name of the item"))
            .arg(file("JSON of the item; \"-\" is standard input").required(true))
            .arg(seen())
            .arg(
                Arg::new("new")
                    .long("new")
                    .action(ArgAction::SetTrue)
                    .help("The item must not exist"),
            )
            .group(
                ArgGroup::new("seen")
                    .args(["if-match", "new"])
                    .required(true),
            ),
        sub("edit", "Changes fields of an item")
            .arg(name("Name of the item"))
            .arg(seen())
            .arg(
                Arg::new("set")
                    .required(true)
                    .num_args(1..)
                    .value_name("FIELD=VALUE")
                    .help("New value of a field: JSON, or else a text"),
            )
            .after_help(format!(
                "Example:\n  cuminloomctl {kind} edit NAME FIELD=VALUE OTHER='[\"a\", \"b\"]'"
            )),
        sub("delete", "Deletes an item")
            .arg(name("Name of the item"))
            .arg(seen()),
    ])
}

fn stops() -> Command {
    let cancel = || {
        Arg::new("cancel")
            .long("cancel")
            .action(ArgAction::SetTrue)
            .help("Withdraws the plan")
    };
    group("stop", "Planned stops").subcommands([
        sub("list", "Lists the planned stops"),
        sub("vm", "Plans a graceful shutdown of the daemons on a VM")
            .arg(name("Name of the VM"))
            .arg(cancel()),
        sub("target", "Plans that a target gets no new work")
            .arg(name("Name of the target"))
            .arg(cancel()),
    ])
}

fn budgets() -> Command {
    let sizing = || {
        [
            option("reserve", "Seconds of demand that a share covers"),
            Arg::new("fraction")
                .long("fraction")
                .value_name("X")
                .value_parser(value_parser!(f64))
                .help("Largest part of the free tokens that one draw takes"),
        ]
    };
    group("budget", "Prepaid budgets").subcommands([
        sub("list", "Lists the budgets"),
        sub("show", "Shows a budget and its shares").arg(name("Name of the budget")),
        sub("create", "Creates a budget")
            .arg(name("Name of the budget"))
            .arg(
                Arg::new("customer")
                    .long("customer")
                    .value_name("NAME")
                    .required(true)
                    .help("Customer that prepaid it"),
            )
            .arg(option("limit", "Prepaid tokens").required(true))
            .args(sizing()),
        sub("top-up", "Adds tokens to the limit")
            .arg(name("Name of the budget"))
            .arg(
                number("tokens", "Tokens to add")
                    .value_name("TOKENS")
                    .required(true),
            ),
        sub("lower", "Lowers the limit")
            .arg(name("Name of the budget"))
            .arg(
                number("limit", "Wanted limit, in tokens")
                    .value_name("TOKENS")
                    .required(true),
            ),
        sub("size", "Changes how large shares are")
            .arg(name("Name of the budget"))
            .args(sizing())
            .group(
                ArgGroup::new("sizing")
                    .args(["reserve", "fraction"])
                    .required(true)
                    .multiple(true),
            ),
        settle(),
    ])
}

fn settle() -> Command {
    sub("settle", "Releases orphaned tokens")
        .arg(name("Name of the budget"))
        .arg(
            Arg::new("incarnation")
                .long("incarnation")
                .value_name("INCARNATION")
                .help("Incarnation of the sealed share"),
        )
        .arg(
            option("tokens", "Tokens of the share to release [default: all]")
                .requires("incarnation"),
        )
        .arg(option("transit", "Tokens in transit to release"))
        .group(
            ArgGroup::new("what")
                .args(["incarnation", "transit"])
                .required(true),
        )
        .after_help(
            "Release tokens only when their holder can no longer spend them: its VM is gone for \
             good. Tokens released too early can be spent twice.",
        )
}

fn config() -> Command {
    group("config", "The configuration as a whole").subcommands([
        sub(
            "get",
            "Prints the configuration in the form that apply takes",
        ),
        sub("history", "Shows the last edits")
            .arg(option("limit", "Number of edits").default_value("20")),
        sub("wait", "Waits until a version is in force everywhere").arg(
            number("version", "Version of the configuration")
                .value_name("VERSION")
                .required(true),
        ),
        sub("apply", "Makes the edits that lead to the items of a file")
            .arg(file("JSON in the form that get prints; \"-\" is standard input").required(true))
            .after_help(
                "Items that the file does not name stay as they are. An item that was edited \
                 after the file's version is reported as a conflict.",
            ),
    ])
}

fn order() -> Command {
    sub("order", "Sends an order to a target")
        .arg(name("Name of the target"))
        .arg(Arg::new("order").required(true).value_parser([
            "load-model",
            "load-adapter",
            "change-role",
        ]))
        .arg(
            Arg::new("argument")
                .required(true)
                .help("Name of the model, adapter or role"),
        )
}

pub(super) fn completion(matches: &ArgMatches, out: &mut dyn Write) -> Ended {
    let shell = *matches.get_one::<Shell>("shell").expect("clap requires it");
    // The generator panics when its output is closed, so it writes to memory first.
    let mut script = Vec::new();
    clap_complete::generate(shell, &mut command(), "cuminloomctl", &mut script);
    out.write_all(&script)?;
    Ok(Exit::Done)
}
