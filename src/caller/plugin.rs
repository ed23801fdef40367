//! Registers the interface to callers.

use std::sync::Arc;

use error_stack::Report;

use super::Callers;
use crate::kernel::{
    Context,
    DaemonPlugin,
    Plugin,
    Running,
    Stage,
    StartFault, //
};

inventory::submit! {
    Plugin { name: "callers", stage: Stage::Border, start: spawn } as DaemonPlugin
}

fn spawn(ctx: &Arc<Context>) -> Result<Running, Report<StartFault>> {
    let (stop, stopped) = flume::bounded(0);
    let callers = Callers::bind(ctx, stopped)?;
    log::info!("listening for callers on {}", callers.addr());
    Ok(Running::spawn("callers", move |outer| {
        let _ = outer.recv();
        drop(stop);
        callers.join();
    }))
}
