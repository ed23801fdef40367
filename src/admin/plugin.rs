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
    AdminOptions,
    DaemonStatus,
    Fleet,
    PeerStatus,
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
    store::StoreError,
};

inventory::submit! {
    Plugin { name: "admin", stage: Stage::Interface, start: spawn } as DaemonPlugin
}

/// This daemon as the administration API sees it.
struct Local(Arc<Context>);

impl Fleet for Local {
    fn peers(&self) -> Vec<PeerStatus> {
        self.0
            .peer_status
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .values()
            .cloned()
            .collect()
    }

    fn status(&self) -> DaemonStatus {
        let node = self.0.node.stats();
        let routing = self.0.router.stats();
        let count = |name: &str, value: usize| (Arc::from(name), value as f64);
        DaemonStatus {
            mode: format!("{:?}", node.mode).to_lowercase().into(),
            stats: BTreeMap::from([
                count("open_requests", node.open_requests),
                count("unbilled_requests", node.unbilled),
                count("mirror_backlog", node.backlog),
                count("watched_daemons", node.watched),
                count(
                    "queued_requests",
                    usize::try_from(routing.queued).unwrap_or(usize::MAX),
                ),
            ]),
        }
    }

    fn announce(&self, version: Version) {
        apply_config(&self.0);
        let _ = self.0.version_notices.send(version);
    }

    fn billed_tokens(&self) -> Result<BTreeMap<BudgetId, BilledTokens>, StoreError> {
        bill::sum_bills(&self.0.store)
    }
}

fn spawn(ctx: &Arc<Context>) -> Result<PluginThread, Report<StartError>> {
    let options = AdminOptions::from_settings(&ctx.settings);
    let admin = bind(
        options,
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
