//! Operators' command-line tool for the fleet on the users' machines.

use std::{
    fmt, fs,
    net::SocketAddr,
    path::{
        Path,
        PathBuf, //
    },
    process::ExitCode,
};

use clap::{
    Arg,
    ArgMatches,
    Command,
    value_parser, //
};
use cuminloom_fleetctl::{
    audit,
    explain::{
        explain,
        parse_log, //
    },
};
use cuminloom_platform::{
    config,
    settings, //
};
use error_stack::{
    Report,
    ResultExt, //
};

/// Timeout for reading a daemon's metrics, in seconds.
const METRICS_TIMEOUT_S: u64 = 3;

/// Exit codes and examples, shown after the help text.
const AFTER_HELP: &str = "\
Exit codes:
  0  done
  1  failed, or not found
  2  invalid command line
  5  the audit found tokens that do not add up

Examples:
  cuminloom-fleetctl explain 3447fe351ee24fec vm-1.log vm-2.log
  cuminloom-fleetctl audit 10.20.1.11:9002 10.20.2.11:9002
  cuminloom-fleetctl check --settings settings.json --config config.json";

/// Error that ends a subcommand; the report holds its causes.
#[derive(Debug)]
struct CommandError;

impl fmt::Display for CommandError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("command failed")
    }
}

impl std::error::Error for CommandError {}

/// Argument that takes the path of a file.
fn path_arg(name: &'static str, help: &'static str) -> Arg {
    Arg::new(name)
        .value_name("FILE")
        .value_parser(value_parser!(PathBuf))
        .help(help)
}

/// Defines the command line.
fn command() -> Command {
    Command::new("cuminloom-fleetctl")
        .version(clap::crate_version!())
        .about("Explains requests, audits budgets and checks settings of cuminloom-platform.")
        .after_help(AFTER_HELP)
        .subcommand_required(true)
        .subcommand(
            Command::new("explain")
                .about("Explains from the daemons' logs why a request ended as it did")
                .arg(
                    Arg::new("id")
                        .required(true)
                        .help("The caller's attempt id"),
                )
                .arg(
                    path_arg("logs", "Log files of the daemons")
                        .required(true)
                        .num_args(1..),
                ),
        )
        .subcommand(
            Command::new("audit")
                .about("Shows each customer's token accounts in the metrics of each daemon")
                .arg(
                    Arg::new("daemons")
                        .required(true)
                        .num_args(1..)
                        .value_name("ADDRESS")
                        .value_parser(value_parser!(SocketAddr))
                        .help("Metrics addresses of the daemons"),
                ),
        )
        .subcommand(
            Command::new("check")
                .about("Checks a settings file or the operator's configuration")
                .arg(path_arg("settings", "Settings, JSON with comments").long("settings"))
                .arg(path_arg("config", "Configuration, JSON").long("config"))
                .group(
                    clap::ArgGroup::new("what")
                        .args(["settings", "config"])
                        .required(true)
                        .multiple(true),
                ),
        )
}

/// Reads a file; the error names its path.
fn read_file(path: &Path) -> Result<Vec<u8>, Report<CommandError>> {
    fs::read(path)
        .change_context(CommandError)
        .attach_with(|| path.display().to_string())
}

/// Runs `explain`; returns the text to print and the exit code.
fn run_explain(args: &ArgMatches) -> Result<(String, ExitCode), Report<CommandError>> {
    let id = args.get_one::<String>("id").map_or("", String::as_str);
    let mut entries = Vec::new();
    for path in args.get_many::<PathBuf>("logs").into_iter().flatten() {
        let name = path.file_stem().unwrap_or_default().to_string_lossy();
        let text = read_file(path)?;
        entries.extend(parse_log(&name, &String::from_utf8_lossy(&text)));
    }
    match explain(&entries, id) {
        Some(text) => Ok((text, ExitCode::SUCCESS)),
        None => Err(Report::new(CommandError).attach(format!("no log line has id={id}"))),
    }
}

/// Runs `audit`; the exit code is 5 if accounts of a customer do not add up.
fn run_audit(args: &ArgMatches) -> Result<(String, ExitCode), Report<CommandError>> {
    let mut out = String::new();
    let mut all_balanced = true;
    for address in args.get_many::<SocketAddr>("daemons").into_iter().flatten() {
        let reply = minreq::get(format!("http://{address}/metrics"))
            .with_timeout(METRICS_TIMEOUT_S)
            .send()
            .change_context(CommandError)
            .attach_with(|| address.to_string())?;
        let metrics = String::from_utf8_lossy(reply.as_bytes()).into_owned();
        let (text, balanced) =
            audit::report(&address.to_string(), &audit::parse_accounts(&metrics));
        out.push_str(&text);
        all_balanced &= balanced;
    }
    let code = if all_balanced {
        ExitCode::SUCCESS
    } else {
        ExitCode::from(5)
    };
    Ok((out, code))
}

/// Runs `check`; returns the decoded settings and a summary of the configuration.
fn run_check(args: &ArgMatches) -> Result<(String, ExitCode), Report<CommandError>> {
    let mut out = String::new();
    if let Some(path) = args.get_one::<PathBuf>("settings") {
        let settings = settings::load(path).change_context(CommandError)?;
        out.push_str(&format!("{settings:#?}\n"));
    }
    if let Some(path) = args.get_one::<PathBuf>("config") {
        let config = config::decode(&read_file(path)?)
            .change_context(CommandError)
            .attach_with(|| path.display().to_string())?;
        let routes: usize = config.hosts.values().map(Vec::len).sum();
        out.push_str(&format!(
            "version {}: {routes} routes, {} services, {} customers\n",
            config.version,
            config.services.len(),
            config.customers.len()
        ));
    }
    Ok((out, ExitCode::SUCCESS))
}

fn main() -> ExitCode {
    let matches = command().get_matches();
    let result = match matches.subcommand() {
        Some(("explain", args)) => run_explain(args),
        Some(("audit", args)) => run_audit(args),
        Some(("check", args)) => run_check(args),
        _ => return ExitCode::from(2),
    };
    match result {
        Ok((text, code)) => {
            print!("{text}");
            code
        }
        Err(report) => {
            eprintln!("{report:?}");
            ExitCode::FAILURE
        }
    }
}
