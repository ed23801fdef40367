//! The thread that keeps the configuration in force up to date.

use std::{
    sync::{
        Arc,
        PoisonError, //
    },
    time::Duration, //
};

use super::{
    poll,
    run::lock_config, //
};
use crate::{
    kernel::{
        Context,
        DaemonPlugin,
        Plugin,
        PluginThread,
        Stage, //
    },
    model::Stop, //
};

/// Interval between two polls of the configuration's head.
const POLL_INTERVAL: Duration = Duration::from_secs(2);

/// Every so many polls one also accepts an edit that a failed daemon left uncommitted.
const COMPLETE_EVERY_POLLS: u64 = 5;

inventory::submit! {
    Plugin { name: "config", stage: Stage::Core, start: |ctx| Ok(spawn(ctx)) } as DaemonPlugin
}

/// Starts the thread that polls the configuration's head.
fn spawn(ctx: &Arc<Context>) -> PluginThread {
    let ctx = ctx.clone();
    PluginThread::spawn("config", move |stop| {
        for round in 0_u64.. {
            // The node counts and logs an unavailable platform; the configuration stays in force.
            let _ = poll(
                &ctx.config_state,
                &ctx.store,
                round.is_multiple_of(COMPLETE_EVERY_POLLS),
            );
            apply_config(&ctx);
            // A peer's notice of a new version ends the wait early.
            let _ = ctx.queues.wake_config.recv_timeout(POLL_INTERVAL);
            if stop.is_disconnected() {
                return;
            }
        }
    })
}

/// Puts the latest known configuration in force: hands it to the router and applies its stops.
pub(crate) fn apply_config(ctx: &Context) {
    let config = lock_config(&ctx.config_state).current();
    if config.version <= ctx.config.load().version || !ctx.config.store(config.clone()) {
        return;
    }
    ctx.router.configure(&config);
    apply_stops(ctx);
    log::info!("configuration {} is in force", config.version);
}

/// Tells the router which targets get no new requests, and requests a stop of this daemon when a
/// stop of its VM is planned. A target is leaving when a planned stop or the platform's list of VMs
/// says so; the router itself handles targets whose own load report says it.
pub(crate) fn apply_stops(ctx: &Context) {
    let config = ctx.config.load();
    let vms = ctx
        .vms
        .lock()
        .unwrap_or_else(PoisonError::into_inner)
        .clone();
    let listed = vms.iter().filter(|vm| vm.leaving).map(|vm| vm.name.clone());
    let planned = config.stops.values().filter_map(|stop| match stop {
        Stop::Target(target) => Some(target.clone()),
        Stop::Vm(_) => None,
    });
    let leaving = listed.chain(planned).collect();
    let services = config.services.values();
    let targets = services
        .flat_map(|service| &service.targets)
        .map(|target| target.id.clone());
    ctx.router.set_leaving(&leaving, &targets.collect());
    let own = Stop::Vm(ctx.settings.daemon.vm.clone());
    if config.stops.values().any(|stop| *stop == own) {
        ctx.request_stop();
    }
}
