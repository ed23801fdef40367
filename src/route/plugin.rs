//! Threads that feed the router: time, and load reports of targets.

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
        Running,
        Stage, //
    },
    model::{
        Configuration,
        Target, //
    },
    peer::rank,
    target::fetch_load, //
};

/// Interval at which the router looks at its timers.
const TICK: Duration = Duration::from_millis(20);

/// Interval at which a target is asked for its load.
const LOAD_EVERY: Duration = Duration::from_secs(1);

/// Load reports that are fetched at the same time, so that a target that hangs delays few others.
const FETCHERS: usize = 4;

inventory::submit! {
    Plugin { name: "router", stage: Stage::Core, start: |ctx| Ok(spawn(ctx)) } as DaemonPlugin
}

inventory::submit! {
    Plugin { name: "load-reports", stage: Stage::Core, start: |ctx| Ok(spawn_loads(ctx)) } as DaemonPlugin
}

fn spawn(ctx: &Arc<Context>) -> Running {
    let ctx = ctx.clone();
    Running::spawn("router", move |stop| {
        while stop.recv_timeout(TICK) == Err(flume::RecvTimeoutError::Timeout) {
            ctx.router.tick();
        }
    })
}

fn spawn_loads(ctx: &Arc<Context>) -> Running {
    let ctx = ctx.clone();
    Running::spawn("load-reports", move |stop| {
        loop {
            fetch_all(&ctx);
            if stop.recv_timeout(LOAD_EVERY) != Err(flume::RecvTimeoutError::Timeout) {
                return;
            }
        }
    })
}

/// Asks the targets of the own data centre that fall to this daemon for their load, and shares the
/// reports. Each target is asked by one daemon only, so that the cost stays flat as the fleet grows.
fn fetch_all(ctx: &Context) {
    let config = ctx.config.load();
    let (work, queue) = flume::unbounded();
    for target in own_targets(ctx, &config) {
        work.send((target.id.clone(), target.addr))
            .expect("the queue is open");
    }
    drop(work);
    let (found, reports) = flume::unbounded();
    std::thread::scope(|scope| {
        for _ in 0..FETCHERS {
            scope.spawn(|| {
                for (id, addr) in queue.iter() {
                    if let Some(load) = fetch_load(addr) {
                        ctx.router.report_load(&id, load);
                        found.send((id, load)).expect("the queue is open");
                    }
                }
            });
        }
    });
    drop(found);
    let reports: Vec<_> = reports.iter().collect();
    if !reports.is_empty() {
        let _ = ctx.loads.send(reports);
    }
}

/// Targets of the own data centre for which this daemon comes first by rendezvous hash among the
/// daemons that are alive there.
fn own_targets<'a>(ctx: &Context, config: &'a Configuration) -> Vec<&'a Target> {
    let me = &ctx.settings.daemon;
    let near = ctx
        .near
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
            let own = rank(&target.id, &me.id);
            near.iter().all(|other| rank(&target.id, other) < own)
        })
        .collect()
}
