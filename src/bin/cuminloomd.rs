//! Router daemon.

use std::{
    path::PathBuf,
    process::ExitCode, //
};

use clap::{
    Arg,
    ArgAction,
    Command,
    value_parser, //
};
use cuminloom::{
    kernel::Daemon,
    settings::{
        Settings,
        sorted_errors, //
    },
    telemetry::init_log,
};
use signal_hook::{
    consts::{
        SIGINT,
        SIGTERM, //
    },
    iterator::Signals, //
};

/// Exit code for invalid settings.
const EXIT_BAD_SETTINGS: u8 = 2;

/// Command line of the daemon.
fn command() -> Command {
    Command::new("cuminloomd")
        .version(clap::crate_version!())
        .about("Routes requests to model engines and plain services within prepaid token budgets.")
        .after_help(
            "Examples:\n  cuminloomd --settings /etc/cuminloom.jsonc --check\n  \
             cuminloomd --settings /etc/cuminloom.jsonc\n\nSIGTERM and SIGINT start a planned stop. \
             Exit codes: 0 stopped, 1 failed, 2 invalid settings.",
        )
        .arg(
            Arg::new("settings")
                .long("settings")
                .value_name("FILE")
                .required(true)
                .value_parser(value_parser!(PathBuf))
                .help("Settings file: JSON with comments"),
        )
        .arg(
            Arg::new("check")
                .long("check")
                .action(ArgAction::SetTrue)
                .help("Check the settings, report every error and exit"),
        )
}

fn main() -> ExitCode {
    let matches = command().get_matches();
    let path = matches
        .get_one::<PathBuf>("settings")
        .expect("clap requires the argument");
    let settings = match Settings::load(path) {
        Ok(settings) => settings,
        Err(report) => {
            for error in sorted_errors(&report) {
                eprintln!("{}: {error}", path.display());
            }
            return ExitCode::from(EXIT_BAD_SETTINGS);
        }
    };
    if matches.get_flag("check") {
        println!("{}: ok", path.display());
        return ExitCode::SUCCESS;
    }
    init_log(settings.log.as_str());
    // The handlers are installed before the daemon starts, so that no signal is lost.
    let mut signals = Signals::new([SIGTERM, SIGINT]).expect("the system can handle signals");
    let daemon = match Daemon::start(settings) {
        Ok(daemon) => daemon,
        Err(report) => {
            eprintln!("cuminloomd: {report:?}");
            return ExitCode::FAILURE;
        }
    };
    let stop = daemon.stop_sender();
    std::thread::spawn(move || {
        for _ in signals.forever() {
            // Fails only if a stop was requested already.
            let _ = stop.try_send(());
        }
    });
    daemon.wait_for_stop();
    if daemon.drain() {
        ExitCode::SUCCESS
    } else {
        ExitCode::FAILURE
    }
}
