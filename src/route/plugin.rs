//! Threads that feed the router: time, and load reports of targets.

use std::{
    net::SocketAddr,
    sync::Arc,
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
    model::TargetId,
    target::fetch_load, //
};

/// Interval at which the router looks at its timers.
const TICK: Duration = Duration::from_millis(10);

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

/// Asks the targets of the own data centre for their load.
fn fetch_all(ctx: &Context) {
    let config = ctx.config.load();
    let own = |target: &&crate::model::Target| target.dc == ctx.settings.daemon.dc;
    let targets: Vec<(TargetId, SocketAddr)> = config
        .services
        .values()
        .flat_map(|service| service.targets.iter().filter(own))
        .map(|target| (target.id.clone(), target.addr))
        .collect();
    let (work, queue) = flume::unbounded();
    targets
        .into_iter()
        .for_each(|target| work.send(target).expect("the queue is open"));
    drop(work);
    std::thread::scope(|scope| {
        for _ in 0..FETCHERS {
            scope.spawn(|| {
                for (id, addr) in queue.iter() {
                    if let Some(load) = fetch_load(addr) {
                        ctx.router.report(&id, load);
                    }
                }
            });
        }
    });
}
