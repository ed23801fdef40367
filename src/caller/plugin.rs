//! Plug-in that starts the listener for callers.

use std::sync::Arc;

use error_stack::Report;

use super::CallerListener;
use crate::kernel::{
    Context,
    DaemonPlugin,
    Plugin,
    PluginThread,
    Stage,
    StartError, //
};

inventory::submit! {
    Plugin { name: "callers", stage: Stage::Interface, start: spawn } as DaemonPlugin
}

fn spawn(ctx: &Arc<Context>) -> Result<PluginThread, Report<StartError>> {
    let callers = CallerListener::bind(ctx)?;
    log::info!("listening for callers on {}", callers.addr());
    Ok(PluginThread::spawn("callers", move |stop| {
        let _ = stop.recv();
        drop(callers);
    }))
}
