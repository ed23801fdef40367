//! Following what the daemons share: the configuration, the runners, the rows of the store.

mod feeds;
mod peers;
mod rows;
mod shutdown;

pub use feeds::{
    follow_configs,
    follow_runners, //
};
pub use peers::{
    PeerQuery,
    PeerReply,
    PeerRunner,
    query_peers,
    serve_peers, //
};
pub use rows::{
    poll_rows,
    write_rows, //
};
pub use shutdown::run_until_stopped;
