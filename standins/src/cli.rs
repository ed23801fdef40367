//! Arguments and ready lines common to the stand-ins.

use std::{
    io::{
        self,
        Read,
        Write, //
    },
    net::SocketAddr,
    thread, //
};

use clap::{
    Arg,
    ArgAction,
    ArgMatches,
    Command,
    value_parser, //
};

/// Returns a command with `--control` and `--exit-on-eof`.
///
/// # Examples
///
/// ```
/// let matches = cuminloom_standins::cli::command("x").get_matches_from(["x"]);
/// assert!(!matches.get_flag("exit-on-eof"));
/// ```
pub fn command(name: &'static str) -> Command {
    Command::new(name)
        .version(clap::crate_version!())
        .arg(addr("control").help("Address of the control port"))
        .arg(
            Arg::new("exit-on-eof")
                .long("exit-on-eof")
                .action(ArgAction::SetTrue)
                .help("End when standard input closes"),
        )
}

/// Returns an argument for an address, by default a free port on loopback.
///
/// # Examples
///
/// ```
/// let command = clap::Command::new("x").arg(cuminloom_standins::cli::addr("listen"));
/// let matches = command.get_matches_from(["x"]);
/// assert_eq!(cuminloom_standins::cli::addr_of(&matches, "listen").port(), 0);
/// ```
pub fn addr(name: &'static str) -> Arg {
    Arg::new(name)
        .long(name)
        .value_name("ADDR")
        .value_parser(value_parser!(SocketAddr))
        .default_value("127.0.0.1:0")
}

/// Returns the value of an argument made by [`addr`].
///
/// # Examples
///
/// See [`addr`].
pub fn addr_of(matches: &ArgMatches, name: &str) -> SocketAddr {
    *matches.get_one(name).expect("has a default")
}

/// Parses `NAME=ADDR`.
///
/// # Errors
///
/// Fails with the reason as text.
///
/// # Examples
///
/// ```
/// let named = cuminloom_standins::cli::named_addr("east=127.0.0.1:80").unwrap();
/// assert_eq!(named.0, "east");
/// ```
pub fn named_addr(text: &str) -> Result<(String, SocketAddr), String> {
    let (name, addr) = text.split_once('=').ok_or("expected NAME=ADDR")?;
    let addr = addr
        .parse()
        .map_err(|_| format!("{addr:?} is no address"))?;
    Ok((name.into(), addr))
}

/// Prints the ready lines, then waits until standard input closes or for ever.
///
/// # Errors
///
/// Fails when standard output is closed.
///
/// # Examples
///
/// ```no_run
/// let matches = cuminloom_standins::cli::command("x").get_matches();
/// cuminloom_standins::cli::serve(&matches, &[]).unwrap();
/// ```
pub fn serve(matches: &ArgMatches, addrs: &[(String, SocketAddr)]) -> io::Result<()> {
    let mut out = io::stdout().lock();
    for (name, addr) in addrs {
        writeln!(out, "listening {name} {addr}")?;
    }
    out.flush()?;
    drop(out);
    if matches.get_flag("exit-on-eof") {
        return io::stdin().read_to_end(&mut Vec::new()).map(drop);
    }
    loop {
        thread::park();
    }
}
