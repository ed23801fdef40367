//! Definition of the command line.

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
    CommandResult,
    Exit, //
};

/// Text after the help of the tool.
const AFTER_HELP: &str = "\
Exit codes:
  0  done
  1  refused or failed; the message says whether it may have taken effect
  2  the command line is invalid
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

/// Required argument `NAME`.
fn name_arg(help: &'static str) -> Arg {
    Arg::new("name")
        .required(true)
        .value_name("NAME")
        .value_parser(NonEmptyStringValueParser::new())
        .help(help)
}

/// Positional argument that is a whole number.
fn number_arg(id: &'static str, help: &'static str) -> Arg {
    Arg::new(id).value_parser(value_parser!(u64)).help(help)
}

/// Option `--id N` that takes a whole number.
fn number_option(id: &'static str, help: &'static str) -> Arg {
    number_arg(id, help).long(id).value_name("N")
}

/// Option `-f FILE`.
fn file_option(help: &'static str) -> Arg {
    Arg::new("file")
        .short('f')
        .long("file")
        .value_name("FILE")
        .help(help)
}

fn subcommand(name: &'static str, about: &'static str) -> Command {
    Command::new(name).about(about)
}

/// Command that only groups its subcommands.
fn command_group(name: &'static str, about: &'static str) -> Command {
    subcommand(name, about).subcommand_required(true)
}

/// The tool with all its commands.
pub(super) fn command() -> Command {
    command_group("cuminloomctl", "Administers a fleet of cuminloom daemons")
        .version(clap::crate_version!())
        .after_help(AFTER_HELP)
        .args(global_args())
        .subcommands([
            item_commands("customer", "Customers: who sends requests"),
            item_commands("service", "Services: named groups of targets"),
            item_commands("profile", "Profiles: how a kind of work is treated"),
            stop_commands(),
            budget_commands(),
            config_commands(),
            order_command(),
            subcommand("status", "Shows the fleet as one daemon sees it"),
            subcommand(
                "audit",
                "Checks that every token of every budget is accounted for",
            ),
            subcommand("completion", "Prints the completion script of a shell").arg(
                Arg::new("shell")
                    .required(true)
                    .value_parser(value_parser!(Shell)),
            ),
        ])
}

/// Options that every command takes.
fn global_args() -> [Arg; 6] {
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
            .help("Prints the responses of the API as JSON"),
        number_option("timeout", "Time limit of one attempt, in seconds")
            .default_value("10")
            .value_parser(value_parser!(u64).range(1..=600))
            .global(true),
        number_option("wait", "How long to wait until an edit is in force, in seconds; 0 does not wait")
            .default_value("10")
            .global(true),
        Arg::new("request")
            .long("request")
            .value_name("ID")
            .global(true)
            .help("Request id; give the id of an earlier attempt to repeat it without a second effect"),
    ]
}

/// Commands for the items of one kind.
fn item_commands(kind: &'static str, about: &'static str) -> Command {
    let if_match =
        || number_option("if-match", "Version that the item must have").value_name("VERSION");
    command_group(kind, about).subcommands([
        subcommand("list", "Lists the items"),
        subcommand("get", "Prints one item").arg(name_arg("Name of the item")),
        subcommand("put", "Replaces or creates an item")
            .arg(name_arg("Name of the item"))
            .arg(file_option("JSON of the item; \"-\" is standard input").required(true))
            .arg(if_match())
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
        subcommand("edit", "Changes fields of an item")
            .arg(name_arg("Name of the item"))
            .arg(if_match())
            .arg(
                Arg::new("set")
                    .required(true)
                    .num_args(1..)
                    .value_name("FIELD=VALUE")
                    .help("New value of a field: JSON, or else a string"),
            )
            .after_help(format!(
                "Example:\n  cuminloomctl {kind} edit NAME FIELD=VALUE OTHER='[\"a\", \"b\"]'"
            )),
        subcommand("delete", "Deletes an item")
            .arg(name_arg("Name of the item"))
            .arg(if_match()),
    ])
}

fn stop_commands() -> Command {
    let cancel = || {
        Arg::new("cancel")
            .long("cancel")
            .action(ArgAction::SetTrue)
            .help("Cancels the planned stop")
    };
    command_group("stop", "Planned stops").subcommands([
        subcommand("list", "Lists the planned stops"),
        subcommand("vm", "Plans a graceful shutdown of the daemons on a VM")
            .arg(name_arg("Name of the VM"))
            .arg(cancel()),
        subcommand("target", "Plans that a target gets no new work")
            .arg(name_arg("Name of the target"))
            .arg(cancel()),
    ])
}

fn budget_commands() -> Command {
    let sizing = || {
        [
            number_option("reserve", "Seconds of demand that a share covers"),
            Arg::new("fraction")
                .long("fraction")
                .value_name("X")
                .value_parser(value_parser!(f64))
                .help("Largest part of the free tokens that one draw takes"),
        ]
    };
    command_group("budget", "Prepaid budgets").subcommands([
        subcommand("list", "Lists the budgets"),
        subcommand("show", "Shows a budget and its shares").arg(name_arg("Name of the budget")),
        subcommand("create", "Creates a budget")
            .arg(name_arg("Name of the budget"))
            .arg(
                Arg::new("customer")
                    .long("customer")
                    .value_name("NAME")
                    .required(true)
                    .help("Customer that prepaid it"),
            )
            .arg(number_option("limit", "Prepaid tokens").required(true))
            .args(sizing()),
        subcommand("top-up", "Adds tokens to the limit")
            .arg(name_arg("Name of the budget"))
            .arg(
                number_arg("tokens", "Tokens to add")
                    .value_name("TOKENS")
                    .required(true),
            ),
        subcommand("lower", "Lowers the limit")
            .arg(name_arg("Name of the budget"))
            .arg(
                number_arg("limit", "Wanted limit, in tokens")
                    .value_name("TOKENS")
                    .required(true),
            ),
        subcommand("size", "Changes how large shares are")
            .arg(name_arg("Name of the budget"))
            .args(sizing())
            .group(
                ArgGroup::new("sizing")
                    .args(["reserve", "fraction"])
                    .required(true)
                    .multiple(true),
            ),
        settle_command(),
    ])
}

fn settle_command() -> Command {
    subcommand("settle", "Releases orphaned tokens")
        .arg(name_arg("Name of the budget"))
        .arg(
            Arg::new("incarnation")
                .long("incarnation")
                .value_name("INCARNATION")
                .help("Incarnation of the sealed share"),
        )
        .arg(
            number_option("tokens", "Tokens of the share to release [default: all]")
                .requires("incarnation"),
        )
        .arg(number_option("transit", "Tokens in transit to release"))
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

fn config_commands() -> Command {
    command_group("config", "The configuration as a whole").subcommands([
        subcommand(
            "get",
            "Prints the configuration in the form that apply takes",
        ),
        subcommand("history", "Shows the last edits")
            .arg(number_option("limit", "Number of edits").default_value("20")),
        subcommand("wait", "Waits until a version is in force everywhere").arg(
            number_arg("version", "Version of the configuration")
                .value_name("VERSION")
                .required(true),
        ),
        subcommand("apply", "Makes the edits that lead to the items of a file")
            .arg(
                file_option("JSON in the form that get prints; \"-\" is standard input")
                    .required(true),
            )
            .after_help(
                "Items that the file does not name stay as they are. An item that was edited \
                 after the file's version is reported as a conflict.",
            ),
    ])
}

fn order_command() -> Command {
    subcommand("order", "Sends an order to a target")
        .arg(name_arg("Name of the target"))
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

/// Prints the completion script of a shell.
pub(super) fn print_completion(matches: &ArgMatches, out: &mut dyn Write) -> CommandResult {
    let shell = *matches.get_one::<Shell>("shell").expect("clap requires it");
    // The generator panics when it cannot write, so it writes to memory first.
    let mut script = Vec::new();
    clap_complete::generate(shell, &mut command(), "cuminloomctl", &mut script);
    out.write_all(&script)?;
    Ok(Exit::Done)
}
