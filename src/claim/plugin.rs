//! Plug-in whose thread writes the pending releases and responses of claimed keys.

use std::{
    sync::Arc,
    time::Duration, //
};

use crate::kernel::{
    Context,
    DaemonPlugin,
    Plugin,
    PluginThread,
    Stage, //
};

/// Interval between attempts to write pending changes.
const FLUSH_INTERVAL: Duration = Duration::from_millis(50);

inventory::submit! {
    Plugin { name: "claims", stage: Stage::Core, start: |ctx| Ok(spawn(ctx)) } as DaemonPlugin
}

/// Starts the thread.
fn spawn(ctx: &Arc<Context>) -> PluginThread {
    let ctx = ctx.clone();
    PluginThread::spawn("claims", move |stop| {
        while stop.recv_timeout(FLUSH_INTERVAL) == Err(flume::RecvTimeoutError::Timeout) {
            // While the platform is unavailable, the writes stay pending until the next attempt.
            let _ = ctx.claims.flush(&ctx.store);
        }
    })
}
