//! Tasks that keep the daemon in step with the others: feeds of the configuration and the runners,
//! rows of the store, queries between daemons, and the planned stop.

mod feeds;
mod loads;
mod peers;
mod rows;
mod service;
mod shutdown;
mod versions;

pub use feeds::{
    follow_configs,
    follow_runners, //
};
pub use loads::{
    choose_partner,
    pass_loads, //
};
pub use peers::{
    query_peers,
    serve_peers, //
};
pub use rows::{
    poll_rows,
    write_rows, //
};
pub use service::spawn_service;
pub use shutdown::run_until_stopped;
pub use versions::keep_shares;
