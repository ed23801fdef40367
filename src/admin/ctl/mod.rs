//! Command-line client for operators.
//!
//! Every command ends with one of the exit codes in [`Exit`]. A command that changes something
//! sends the same request id in all its attempts, so that it takes effect only once even if a
//! response is lost.

mod budgets;
mod cli;
mod client;
mod config;
mod fleet;
mod items;
mod table;

use std::{
    ffi::OsString,
    fmt,
    io::Write, //
};

use clap::ArgMatches;

use client::Client;

/// Environment variable that holds the operator's token.
pub const TOKEN_ENV: &str = "CUMINLOOM_TOKEN";

/// How a command ended; determines the exit code of the process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Exit {
    /// Done.
    Done,
    /// Refused or failed; the message says whether it may have taken effect.
    Failed,
    /// The command line is invalid.
    Usage,
    /// Somebody else changed the item.
    Conflict,
    /// Accepted, but not confirmed by all daemons in time.
    Unconfirmed,
    /// The audit found a discrepancy.
    Discrepancy,
    /// No daemon was reached.
    Unreachable,
}

impl Exit {
    /// Exit code of the process.
    ///
    /// # Examples
    ///
    /// ```
    /// assert_eq!(cuminloom::admin::ctl::Exit::Conflict.code(), 3);
    /// ```
    pub fn code(self) -> u8 {
        match self {
            Exit::Done => 0,
            Exit::Failed => 1,
            Exit::Usage => 2,
            Exit::Conflict => 3,
            Exit::Unconfirmed => 4,
            Exit::Discrepancy => 5,
            Exit::Unreachable => 6,
        }
    }
}

/// A failed command: its exit code and the message for standard error.
#[derive(Debug)]
pub(super) struct CommandError {
    exit: Exit,
    message: String,
}

impl CommandError {
    fn new(exit: Exit, message: impl Into<String>) -> Self {
        Self {
            exit,
            message: message.into(),
        }
    }

    /// An error in the command line or in a file that it names.
    fn usage(message: impl Into<String>) -> Self {
        Self::new(Exit::Usage, message)
    }
}

impl fmt::Display for CommandError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.message)
    }
}

impl From<std::io::Error> for CommandError {
    fn from(err: std::io::Error) -> Self {
        Self::new(Exit::Failed, format!("cannot write the output: {err}"))
    }
}

/// Result of a command.
type CommandResult = Result<Exit, CommandError>;

/// What every command needs: the client, the output and its format.
struct Context<'a> {
    client: Client,
    /// Whether to print JSON instead of tables.
    json: bool,
    out: &'a mut dyn Write,
}

impl Context<'_> {
    fn print_json<T: serde::Serialize>(&mut self, body: &T) -> Result<(), CommandError> {
        let text = serde_json::to_string_pretty(body).expect("wire types have string keys");
        Ok(writeln!(self.out, "{text}")?)
    }
}

/// Parses the command line and runs the command. `token` is the value of the environment variable
/// [`TOKEN_ENV`].
///
/// # Examples
///
/// ```
/// use cuminloom::admin::ctl::{self, Exit};
/// let (mut out, mut err) = (Vec::new(), Vec::new());
/// let exit = ctl::run(["cuminloomctl", "--help"], None, &mut out, &mut err);
/// assert_eq!(exit, Exit::Done);
/// assert!(String::from_utf8(out).unwrap().contains("Exit codes"));
/// let exit = ctl::run(["cuminloomctl", "bugdet"], None, &mut Vec::new(), &mut err);
/// assert_eq!(exit, Exit::Usage);
/// ```
pub fn run<I, T>(args: I, token: Option<String>, out: &mut dyn Write, err: &mut dyn Write) -> Exit
where
    I: IntoIterator<Item = T>,
    T: Into<OsString> + Clone,
{
    let matches = match cli::command().try_get_matches_from(args) {
        Ok(matches) => matches,
        Err(parse_error) => {
            let text = parse_error.render();
            let (written, exit) = match parse_error.use_stderr() {
                true => (write!(err, "{text}"), Exit::Usage),
                false => (write!(out, "{text}"), Exit::Done),
            };
            return written.map_or(Exit::Failed, |()| exit);
        }
    };
    match dispatch(&matches, token, out) {
        Ok(exit) => exit,
        Err(error) => {
            // A failure to write to standard error cannot be reported.
            let _ = writeln!(err, "error: {error}");
            error.exit
        }
    }
}

/// Connects to the daemons and runs the command that the arguments name.
fn dispatch(matches: &ArgMatches, token: Option<String>, out: &mut dyn Write) -> CommandResult {
    let (name, sub_matches) = matches.subcommand().expect("clap requires a subcommand");
    if name == "completion" {
        return cli::print_completion(sub_matches, out);
    }
    let mut context = Context {
        client: Client::from_args(matches, token)?,
        json: matches.get_flag("json"),
        out,
    };
    match name {
        "profile" | "customer" | "service" => items::run(&mut context, name, sub_matches),
        "stop" => items::stop(&mut context, sub_matches),
        "budget" => budgets::run(&mut context, sub_matches),
        "config" => config::run(&mut context, sub_matches),
        "order" => fleet::order(&mut context, sub_matches),
        "status" => fleet::status(&mut context),
        "audit" => fleet::audit(&mut context),
        other => unreachable!("clap accepts no command {other}"),
    }
}
