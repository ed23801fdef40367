//! Plug-in registry, start and stop order, and the context that plug-ins share.
//!
//! A plug-in registers itself with [`inventory::submit!`]; [`Kernel::start`] starts all plug-ins in
//! the order of their stages, and [`Kernel::stop`] stops them in the reverse order.

mod clock;
mod context;
mod daemon;
mod plugin;

pub use clock::Clock;
pub use context::{
    Context,
    InForce,
    Queues, //
};
pub use daemon::{
    Daemon,
    DaemonPlugin, //
};
pub use plugin::{
    Kernel,
    Plugin,
    Running,
    Stage,
    StartFault, //
};
