//! Stand-in for the platform.

use std::{
    io,
    net::SocketAddr, //
};

use clap::{
    Arg,
    ArgAction, //
};
use cuminloom_standins::{
    cli,
    platform::Platform, //
};

fn main() -> io::Result<()> {
    let listen = Arg::new("listen")
        .long("listen")
        .value_name("DC=ADDR")
        .value_parser(cli::named_addr)
        .action(ArgAction::Append)
        .required(true)
        .help("Listener of a data centre");
    let matches = cli::command("platform-standin").arg(listen).get_matches();
    let listen = matches.get_many::<(String, SocketAddr)>("listen");
    let listen: Vec<_> = listen.into_iter().flatten().cloned().collect();
    let platform = Platform::bind(&listen, cli::addr_of(&matches, "control"))?;
    cli::serve(&matches, &platform.addrs())
}
