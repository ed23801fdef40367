//! Registers the administration API.

use std::{
    collections::BTreeMap,
    sync::{
        Arc,
        PoisonError, //
    },
};

use error_stack::{
    Report,
    ResultExt, //
};

use super::{
    Confirmed,
    Fleet,
    Setup,
    Standing,
    bind, //
};
use crate::{
    bill,
    budget::BilledTokens,
    config::apply_config,
    kernel::{
        Context,
        DaemonPlugin,
        Plugin,
        PluginThread,
        Stage,
        StartError, //
    },
    model::{
        BudgetId,
        Version, //
    },
    store::StoreFault,
};

inventory::submit! {
    Plugin { name: "admin", stage: Stage::Interface, start: spawn } as DaemonPlugin
}

/// This daemon as the administration API sees it.
struct Local(Arc<Context>);

impl Fleet for Local {
    fn peers(&self) -> Vec<Confirmed> {
        self.0
            .peer_status
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .values()
            .cloned()
            .collect()
    }

    fn standing(&self) -> Standing {
        let figures = self.0.node.stats();
        let routing = self.0.router.stats();
        let count = |name: &str, value: usize| (Arc::from(name), value as f64);
        Standing {
            mode: format!("{:?}", figures.mode).to_lowercase().into(),
            figures: BTreeMap::from([
                count("open_requests", figures.open_requests),
                count("unbilled_requests", figures.unbilled),
                count("mirror_backlog", figures.backlog),
                count("watched_daemons", figures.watched),
                count(
                    "queued_requests",
                    usize::try_from(routing.queued).unwrap_or(usize::MAX),
                ),
            ]),
        }
    }

    fn notice(&self, version: Version) {
        apply_config(&self.0);
        let _ = self.0.version_notices.send(version);
    }

    fn bills(&self) -> Result<BTreeMap<BudgetId, BilledTokens>, StoreFault> {
        bill::sum_bills(&self.0.store)
    }
}

fn spawn(ctx: &Arc<Context>) -> Result<PluginThread, Report<StartError>> {
    let setup = Setup::of(&ctx.settings);
    let admin = bind(
        setup,
        ctx.store.clone(),
        Local(ctx.clone()),
        ctx.config_state.clone(),
    )
    .change_context(StartError { name: "admin" })?;
    log::info!("listening for operators on {}", admin.addr());
    Ok(PluginThread::spawn("admin", move |stop| {
        let _ = stop.recv();
        drop(admin);
    }))
}
