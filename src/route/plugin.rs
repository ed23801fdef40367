//! Background threads of the router: timers, and load reports of targets.

use std::{
    sync::{
        Arc,
        PoisonError, //
    },
    time::Duration, //
};

use crate::{
    kernel::{
        Context,
        DaemonPlugin,
        Plugin,
        PluginThread,
        Stage, //
    },
    model::{
        Configuration,
        Target, //
    },
    peer::rendezvous_weight,
    target::fetch_load, //
};

/// Interval at which the timers of the router run.
const TICK_INTERVAL: Duration = Duration::from_millis(20);

/// Interval at which the load of a target is fetched.
const LOAD_INTERVAL: Duration = Duration::from_secs(1);

/// Number of concurrent fetches of load reports, so that a target that hangs delays few others.
const MAX_FETCHES: usize = 4;

inventory::submit! {
    Plugin { name: "router", stage: Stage::Core, start: |ctx| Ok(spawn_ticker(ctx)) } as DaemonPlugin
}

inventory::submit! {
    Plugin { name: "load-reports", stage: Stage::Core, start: |ctx| Ok(spawn_load_fetcher(ctx)) } as DaemonPlugin
}

/// Starts the thread that runs the timers of the router.
fn spawn_ticker(ctx: &Arc<Context>) -> PluginThread {
    let ctx = ctx.clone();
    PluginThread::spawn("router", move |stop| {
        while stop.recv_timeout(TICK_INTERVAL) == Err(flume::RecvTimeoutError::Timeout) {
            ctx.router.tick();
        }
    })
}

/// Starts the thread that fetches load reports.
fn spawn_load_fetcher(ctx: &Arc<Context>) -> PluginThread {
    let ctx = ctx.clone();
    PluginThread::spawn("load-reports", move |stop| {
        loop {
            fetch_loads(&ctx);
            if stop.recv_timeout(LOAD_INTERVAL) != Err(flume::RecvTimeoutError::Timeout) {
                return;
            }
        }
    })
}

/// Fetches the load of the targets that are assigned to this daemon, and passes the reports on to
/// the peers. Each target is asked by only one daemon, so that its cost stays constant as the fleet
/// grows.
fn fetch_loads(ctx: &Context) {
    let config = ctx.config.load();
    let (work, queue) = flume::unbounded();
    for target in own_targets(ctx, &config) {
        work.send((target.id.clone(), target.addr))
            .expect("the receiver is alive");
    }
    drop(work);
    let (found, reports) = flume::unbounded();
    std::thread::scope(|scope| {
        for _ in 0..MAX_FETCHES {
            scope.spawn(|| {
                for (id, addr) in queue.iter() {
                    if let Some(load) = fetch_load(addr) {
                        ctx.router.report_load(&id, load);
                        found.send((id, load)).expect("the receiver is alive");
                    }
                }
            });
        }
    });
    drop(found);
    let reports: Vec<_> = reports.iter().collect();
    if !reports.is_empty() {
        let _ = ctx.load_reports.send(reports);
    }
}

/// Returns the targets of this daemon's data centre for which it has the highest rendezvous hash
/// among the live daemons there.
fn own_targets<'a>(ctx: &Context, config: &'a Configuration) -> Vec<&'a Target> {
    let me = &ctx.settings.daemon;
    let near = ctx
        .local_daemons
        .lock()
        .unwrap_or_else(PoisonError::into_inner)
        .clone();
    let targets = config
        .services
        .values()
        .flat_map(|service| &service.targets);
    targets
        .filter(|target| target.dc == me.dc)
        .filter(|target| {
            let own = rendezvous_weight(&target.id, &me.id);
            near.iter()
                .all(|other| rendezvous_weight(&target.id, other) < own)
        })
        .collect()
}
