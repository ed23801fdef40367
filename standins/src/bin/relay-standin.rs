//! TCP relays that a test cuts, freezes and heals.

use std::{
    io,
    net::SocketAddr, //
};

use clap::{
    Arg,
    ArgAction,
    value_parser, //
};
use cuminloom_standins::{
    cli,
    relay::Relays, //
};

fn main() -> io::Result<()> {
    let listen = Arg::new("listen")
        .long("listen")
        .value_name("NAME=ADDR")
        .value_parser(cli::named_addr)
        .action(ArgAction::Append)
        .required(true)
        .help("Name and address of a relay; the n-th one goes to the n-th --to");
    let to = Arg::new("to")
        .long("to")
        .value_name("ADDR")
        .value_parser(value_parser!(SocketAddr))
        .action(ArgAction::Append)
        .required(true)
        .help("Address to which a relay connects");
    let command = cli::command("relay-standin").arg(listen).arg(to);
    let matches = command.get_matches();
    let listen = matches.get_many::<(String, SocketAddr)>("listen");
    let listen: Vec<_> = listen.into_iter().flatten().cloned().collect();
    let to: Vec<_> = matches
        .get_many("to")
        .into_iter()
        .flatten()
        .copied()
        .collect();
    if listen.len() != to.len() {
        return Err(io::Error::other("as many --to as --listen are needed"));
    }
    let relays = Relays::bind(&listen, &to, cli::addr_of(&matches, "control"))?;
    cli::serve(&matches, &relays.addrs())
}
