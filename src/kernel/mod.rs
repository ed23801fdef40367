//! Life cycle of the daemon: plug-in registry, start and stop order, and the context that plug-ins
//! share.
//!
//! A plug-in registers itself with [`inventory::submit!`]. [`PluginHost::start`] starts all plug-ins
//! in the order of their stages, and [`PluginHost::stop`] stops them in the reverse order.

mod clock;
mod context;
mod daemon;
mod plugin;

pub use clock::Clock;
pub use context::{
    Context,
    CurrentConfig,
    Queues, //
};
pub use daemon::{
    Daemon,
    DaemonPlugin, //
};
pub use plugin::{
    Plugin,
    PluginHost,
    PluginThread,
    Stage,
    StartError, //
};
