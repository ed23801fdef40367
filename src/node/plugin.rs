//! Threads that feed the node: platform operations, the list of VMs, time, and its log.

use std::{
    sync::{
        Arc,
        PoisonError, //
    },
    time::Duration, //
};

use super::{
    Event, //
    StateChange,
};
use crate::{
    config::apply_stops,
    kernel::{
        Context,
        DaemonPlugin,
        Plugin,
        PluginThread,
        Stage, //
    },
    mirror,
    store::VmList, //
};

/// Platform operations that run at the same time.
const WORKERS: usize = 6;

/// Interval at which the node looks at its timers.
const TICK: Duration = Duration::from_millis(50);

/// Interval at which an idle worker looks whether it has to stop.
const STOP_EVERY: Duration = Duration::from_millis(500);

/// Interval at which the list of VMs is read.
const VMS_EVERY: Duration = Duration::from_secs(5);

inventory::submit! {
    Plugin { name: "node", stage: Stage::Core, start: |ctx| Ok(spawn(ctx)) } as DaemonPlugin
}

inventory::submit! {
    Plugin { name: "node-store", stage: Stage::Link, start: |ctx| Ok(spawn_workers(ctx)) } as DaemonPlugin
}

inventory::submit! {
    Plugin { name: "vm-list", stage: Stage::Link, start: |ctx| Ok(spawn_vms(ctx)) } as DaemonPlugin
}

fn spawn(ctx: &Arc<Context>) -> PluginThread {
    let ctx = ctx.clone();
    PluginThread::spawn("node", move |stop| {
        while stop.recv_timeout(TICK) == Err(flume::RecvTimeoutError::Timeout) {
            ctx.node.tick();
            ctx.queues
                .changes
                .try_iter()
                .for_each(|change| log_change(&change));
        }
        ctx.queues
            .changes
            .try_iter()
            .for_each(|change| log_change(&change));
    })
}

fn spawn_workers(ctx: &Arc<Context>) -> PluginThread {
    let ctx = ctx.clone();
    PluginThread::spawn("node-store", move |stop| {
        std::thread::scope(|scope| {
            for _ in 0..WORKERS {
                scope.spawn(|| work(&ctx, &stop));
            }
        });
    })
}

fn work(ctx: &Context, stop: &flume::Receiver<()>) {
    while !stop.is_disconnected() {
        let Ok((token, request)) = ctx.queues.store.recv_timeout(STOP_EVERY) else {
            continue;
        };
        let reply = mirror::execute(&ctx.store, &request);
        let result = match &reply {
            mirror::StoreReply::Failed(fault) => format!("{fault:?}").to_lowercase(),
            _ => "ok".into(),
        };
        ctx.metrics
            .store_calls
            .with_label_values(&[operation(&request), &result])
            .inc();
        ctx.node.handle(Event::StoreReply { token, reply });
    }
}

fn operation(request: &mirror::StoreRequest) -> &'static str {
    match request {
        mirror::StoreRequest::Read(_) => "read",
        mirror::StoreRequest::List(..) => "list",
        mirror::StoreRequest::Commit(_) => "commit",
        mirror::StoreRequest::Get(_) => "get",
        mirror::StoreRequest::Put(..) => "put",
    }
}

fn spawn_vms(ctx: &Arc<Context>) -> PluginThread {
    let ctx = ctx.clone();
    PluginThread::spawn("vm-list", move |stop| {
        loop {
            if let Ok(vms) = ctx.store.list_vms() {
                *ctx.vms.lock().unwrap_or_else(PoisonError::into_inner) = vms.clone().into();
                ctx.node.handle(Event::VmList(vms));
                apply_stops(&ctx);
            }
            if stop.recv_timeout(VMS_EVERY) != Err(flume::RecvTimeoutError::Timeout) {
                return;
            }
        }
    })
}

fn log_change(change: &StateChange) {
    match change {
        StateChange::Started(inc) => log::info!("incarnation {inc} started"),
        StateChange::Mode(inc, mode) => log::info!("incarnation {inc} is now {mode:?}"),
        StateChange::PlatformUp(true) => log::info!("the platform responds"),
        StateChange::PlatformUp(false) => log::warn!("the platform does not respond"),
        StateChange::PeerSealed(inc) => log::warn!("sealed the lost incarnation {inc}"),
        StateChange::Retired(inc) => log::info!("incarnation {inc} is accounted for"),
    }
}
