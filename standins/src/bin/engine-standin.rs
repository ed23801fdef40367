//! Stand-in for a model engine.

use std::io;

use clap::{
    Arg,
    ArgAction,
    ArgMatches,
    Command,
    value_parser, //
};
use cuminloom_standins::{
    cli,
    engine::{
        Engine,
        Settings, //
    },
};

fn command() -> Command {
    let value = |name: &'static str| Arg::new(name).long(name).value_name("VALUE");
    let number = |name| value(name).value_parser(value_parser!(u64));
    let flag = |name| Arg::new(name).long(name).action(ArgAction::SetTrue);
    cli::command("engine-standin")
        .arg(cli::addr("listen").help("Address for requests"))
        .arg(
            value("tokens-per-second")
                .value_parser(value_parser!(f64))
                .help("Rate of each request, 0 for no pause"),
        )
        .arg(number("ttft-ms").help("Time to the first token"))
        .arg(
            value("capacity")
                .value_parser(value_parser!(u32))
                .help("Requests that run at once"),
        )
        .arg(number("output-tokens").help("Tokens of an answer, unless max_tokens is lower"))
        .arg(value("crash-marker").help("Text in a prompt that crashes the engine"))
        .arg(number("crash-ms").help("Time for which a crashed engine refuses connections"))
        .arg(flag("exit-on-crash").help("End the process on a crash"))
        .arg(flag("ignore-fencing").help("Obey orders with a stale fencing number"))
}

fn settings(matches: &ArgMatches) -> Settings {
    let mut settings = Settings {
        exit_on_crash: matches.get_flag("exit-on-crash"),
        fences: !matches.get_flag("ignore-fencing"),
        ..Settings::default()
    };
    let set = |name: &str, field: &mut u64| {
        *field = matches.get_one(name).copied().unwrap_or(*field);
    };
    set("ttft-ms", &mut settings.ttft_ms);
    set("output-tokens", &mut settings.output_tokens);
    set("crash-ms", &mut settings.crash_ms);
    if let Some(rate) = matches.get_one("tokens-per-second") {
        settings.tokens_per_second = *rate;
    }
    if let Some(capacity) = matches.get_one("capacity") {
        settings.capacity = *capacity;
    }
    if let Some(marker) = matches.get_one::<String>("crash-marker") {
        settings.crash_marker.clone_from(marker);
    }
    settings
}

fn main() -> io::Result<()> {
    let matches = command().get_matches();
    let (listen, control) = (
        cli::addr_of(&matches, "listen"),
        cli::addr_of(&matches, "control"),
    );
    let engine = Engine::bind(listen, control, settings(&matches))?;
    cli::serve(&matches, &engine.addrs())
}
