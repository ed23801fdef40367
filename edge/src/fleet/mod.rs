//! Following what the daemons share: the configuration, the runners, the rows of the store.

mod follow;
mod peers;
mod stop;
mod writer;

pub use follow::{
    follow_configs,
    follow_runners, //
};
pub use peers::{
    Answer,
    PeerRunner,
    Question,
    ask_peers,
    bind_peers, //
};
pub use stop::run_until_stopped;
pub use writer::{
    follow_rows,
    write_rows, //
};
