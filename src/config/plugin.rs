//! The thread that keeps the configuration in force up to date.

use std::{
    sync::Arc,
    time::Duration, //
};

use super::{
    poll,
    shell::lock, //
};
use crate::{
    kernel::{
        Context,
        DaemonPlugin,
        Plugin,
        Running,
        Stage, //
    },
    model::Stop, //
};

/// Interval at which the head of the configuration is read.
const POLL_EVERY: Duration = Duration::from_secs(2);

/// One poll in so many also completes an edit that a failed daemon left after the head.
const COMPLETE_EVERY: u64 = 5;

inventory::submit! {
    Plugin { name: "config", stage: Stage::Core, start: |ctx| Ok(spawn(ctx)) } as DaemonPlugin
}

fn spawn(ctx: &Arc<Context>) -> Running {
    let ctx = ctx.clone();
    Running::spawn("config", move |stop| {
        for round in 0_u64.. {
            // A platform that is away is counted and logged by the node; the configuration stays.
            let _ = poll(&ctx.edits, &ctx.store, round.is_multiple_of(COMPLETE_EVERY));
            put_in_force(&ctx);
            if stop.recv_timeout(POLL_EVERY) != Err(flume::RecvTimeoutError::Timeout) {
                return;
            }
        }
    })
}

/// Puts the latest known configuration in force on this daemon.
pub(crate) fn put_in_force(ctx: &Context) {
    let config = lock(&ctx.edits).current();
    if config.version <= ctx.config.load().version || !ctx.config.store(config.clone()) {
        return;
    }
    ctx.router.configure(&config);
    for stop in config.stops.values() {
        if let Stop::Target(target) = stop {
            ctx.router.leaving(target);
        }
    }
    log::info!("configuration {} is in force", config.version);
}
