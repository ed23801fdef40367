//! The operators' command-line tool.
//!
//! Every command ends with one of the exit codes in [`Exit`]. A command that changes something
//! carries one request id through all its attempts, so a lost answer cannot make it take effect
//! twice.

mod apply;
mod budgets;
mod cli;
mod client;
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

/// Exit codes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Exit {
    /// Done.
    Done,
    /// Refused or failed; the message says whether it may have taken effect.
    Failed,
    /// The command line is faulty.
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
    /// The code for the operating system.
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

/// Why a command failed.
#[derive(Debug)]
pub(super) struct Failed {
    exit: Exit,
    message: String,
}

impl Failed {
    fn new(exit: Exit, message: impl Into<String>) -> Self {
        Self {
            exit,
            message: message.into(),
        }
    }

    fn usage(message: impl Into<String>) -> Self {
        Self::new(Exit::Usage, message)
    }
}

impl fmt::Display for Failed {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.message)
    }
}

impl From<std::io::Error> for Failed {
    fn from(err: std::io::Error) -> Self {
        Self::new(Exit::Failed, format!("cannot write: {err}"))
    }
}

type Ended = Result<Exit, Failed>;

/// What every command has: the connection, where it prints, and how.
struct Context<'a> {
    client: Client,
    json: bool,
    out: &'a mut dyn Write,
}

impl Context<'_> {
    fn json<T: serde::Serialize>(&mut self, body: &T) -> Result<(), Failed> {
        let text = serde_json::to_string_pretty(body).expect("wire types have string keys");
        Ok(writeln!(self.out, "{text}")?)
    }
}

/// Runs the tool. `token` is the value of the environment variable [`TOKEN_ENV`].
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
        Err(fault) => {
            let text = fault.render();
            let (written, exit) = match fault.use_stderr() {
                true => (write!(err, "{text}"), Exit::Usage),
                false => (write!(out, "{text}"), Exit::Done),
            };
            return written.map_or(Exit::Failed, |()| exit);
        }
    };
    match dispatch(&matches, token, out) {
        Ok(exit) => exit,
        Err(failed) => {
            // Nothing is left to do when standard error is closed.
            let _ = writeln!(err, "error: {failed}");
            failed.exit
        }
    }
}

fn dispatch(matches: &ArgMatches, token: Option<String>, out: &mut dyn Write) -> Ended {
    let (name, matched) = matches.subcommand().expect("clap requires a subcommand");
    if name == "completion" {
        return cli::completion(matched, out);
    }
    let mut context = Context {
        client: Client::open(matches, token)?,
        json: matches.get_flag("json"),
        out,
    };
    match name {
        "profile" | "customer" | "service" => items::run(&mut context, name, matched),
        "stop" => items::stop(&mut context, matched),
        "budget" => budgets::run(&mut context, matched),
        "config" => apply::run(&mut context, matched),
        "order" => fleet::order(&mut context, matched),
        "status" => fleet::status(&mut context),
        "audit" => fleet::audit(&mut context),
        other => unreachable!("clap knows no {other}"),
    }
}
