//! The thread that writes what follows the end of claimed requests.

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

/// Interval at which pending writes are tried.
const FLUSH_EVERY: Duration = Duration::from_millis(50);

inventory::submit! {
    Plugin { name: "claims", stage: Stage::Core, start: |ctx| Ok(spawn(ctx)) } as DaemonPlugin
}

fn spawn(ctx: &Arc<Context>) -> PluginThread {
    let ctx = ctx.clone();
    PluginThread::spawn("claims", move |stop| {
        while stop.recv_timeout(FLUSH_EVERY) == Err(flume::RecvTimeoutError::Timeout) {
            // A platform that is away keeps the rest pending.
            let _ = ctx.claims.flush(&ctx.store);
        }
    })
}
