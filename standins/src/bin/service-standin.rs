//! Stand-in for a plain service.

use std::io;

use cuminloom_standins::{
    cli,
    service::Service, //
};

fn main() -> io::Result<()> {
    let command = cli::command("service-standin");
    let matches = command
        .arg(cli::addr("listen").help("Address for requests"))
        .get_matches();
    let (listen, control) = (
        cli::addr_of(&matches, "listen"),
        cli::addr_of(&matches, "control"),
    );
    let service = Service::bind(listen, control)?;
    cli::serve(&matches, &service.addrs())
}
