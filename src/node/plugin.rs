//! Plug-ins of the node: threads for its timers and log, its store operations and the list of VMs.

use std::{
    sync::{
        Arc,
        PoisonError, //
    },
    time::Duration, //
};

use super::{
    Event,
    StateChange, //
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

/// Threads that run store operations, and so the most that run at the same time.
const STORE_WORKERS: usize = 6;

/// Interval at which the node runs its timers.
const TICK_INTERVAL: Duration = Duration::from_millis(50);

/// Interval at which an idle worker checks whether it has to stop.
const STOP_POLL_INTERVAL: Duration = Duration::from_millis(500);

/// Interval at which the list of VMs is read.
const VM_LIST_INTERVAL: Duration = Duration::from_secs(5);

inventory::submit! {
    Plugin { name: "node", stage: Stage::Core, start: |ctx| Ok(spawn(ctx)) } as DaemonPlugin
}

inventory::submit! {
    Plugin { name: "node-store", stage: Stage::Link, start: |ctx| Ok(spawn_workers(ctx)) } as DaemonPlugin
}

inventory::submit! {
    Plugin { name: "vm-list", stage: Stage::Link, start: |ctx| Ok(spawn_vms(ctx)) } as DaemonPlugin
}

/// Starts the thread that runs the node's timers and logs its state changes.
fn spawn(ctx: &Arc<Context>) -> PluginThread {
    let ctx = ctx.clone();
    PluginThread::spawn("node", move |stop| {
        while stop.recv_timeout(TICK_INTERVAL) == Err(flume::RecvTimeoutError::Timeout) {
            ctx.node.tick();
            ctx.queues
                .state_changes
                .try_iter()
                .for_each(|change| log_change(&change));
        }
        ctx.queues
            .state_changes
            .try_iter()
            .for_each(|change| log_change(&change));
    })
}

/// Starts the threads that run the node's store operations.
fn spawn_workers(ctx: &Arc<Context>) -> PluginThread {
    let ctx = ctx.clone();
    PluginThread::spawn("node-store", move |stop| {
        std::thread::scope(|scope| {
            for _ in 0..STORE_WORKERS {
                scope.spawn(|| run_store_calls(&ctx, &stop));
            }
        });
    })
}

/// Runs store operations and passes their replies to the node, until the plug-in stops.
fn run_store_calls(ctx: &Context, stop: &flume::Receiver<()>) {
    while !stop.is_disconnected() {
        let Ok((token, request)) = ctx.queues.store_requests.recv_timeout(STOP_POLL_INTERVAL)
        else {
            continue;
        };
        let reply = mirror::execute(&ctx.store, &request);
        let result = match &reply {
            mirror::StoreReply::Failed(fault) => format!("{fault:?}").to_lowercase(),
            _ => "ok".into(),
        };
        ctx.metrics
            .store_calls
            .with_label_values(&[operation_name(&request), &result])
            .inc();
        ctx.node.handle(Event::StoreReply { token, reply });
    }
}

/// Name of a store operation in the metrics.
fn operation_name(request: &mirror::StoreRequest) -> &'static str {
    match request {
        mirror::StoreRequest::Read(_) => "read",
        mirror::StoreRequest::List(..) => "list",
        mirror::StoreRequest::Commit(_) => "commit",
        mirror::StoreRequest::Get(_) => "get",
        mirror::StoreRequest::Put(..) => "put",
    }
}

/// Starts the thread that reads the platform's list of VMs.
fn spawn_vms(ctx: &Arc<Context>) -> PluginThread {
    let ctx = ctx.clone();
    PluginThread::spawn("vm-list", move |stop| {
        loop {
            if let Ok(vms) = ctx.store.list_vms() {
                *ctx.vms.lock().unwrap_or_else(PoisonError::into_inner) = vms.clone().into();
                ctx.node.handle(Event::VmList(vms));
                apply_stops(&ctx);
            }
            if stop.recv_timeout(VM_LIST_INTERVAL) != Err(flume::RecvTimeoutError::Timeout) {
                return;
            }
        }
    })
}

/// Writes a state change of the node to the log.
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
