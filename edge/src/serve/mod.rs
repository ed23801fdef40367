//! Serves requests: chooses a runner, sends the request there and relays the response.

mod attempts;
mod availability;
mod brittle;
mod call;
mod choose;
mod cold;
mod confirmations;
mod core;
mod evacuations;
mod even_load;
mod exchange;
mod forward;
mod grant_notices;
mod handler;
mod handover;
mod history;
mod holders;
mod load_reports;
mod observations;
mod reach;
mod ready;
mod receive;
mod relay;
mod reservations;
mod residency;
mod response;
mod send;
mod stop;
mod store_era;
mod suspects;
mod tokens;
mod turns;
mod unread;
mod unresolved;
mod upstream;
mod versions;

pub use self::core::{
    Bounds,
    Core, //
};
pub(crate) use handover::{
    begins_handover,
    serve_handed_over, //
};
pub use reach::watch_reach;
pub use ready::bind_ready;
pub use unresolved::watch_unresolved;
pub use upstream::{
    Probe,
    Upstream, //
};
