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
    let callers = Callers::bind(ctx)?;
    log::info!("listening for callers on {}", callers.addr());
    Ok(Running::spawn("callers", move |stop| {
        let _ = stop.recv();
        drop(callers);
    }))
}
