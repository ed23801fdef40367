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
    config::put_in_force,
    kernel::{
        Context,
        DaemonPlugin,
        Plugin,
        Running,
        Stage,
        StartFault, //
    },
    model::{
        BudgetId,
        Version, //
    },
    store::StoreFault,
};

inventory::submit! {
    Plugin { name: "admin", stage: Stage::Border, start: spawn } as DaemonPlugin
}

/// This daemon as the administration API sees it.
struct Local(Arc<Context>);

impl Fleet for Local {
    fn peers(&self) -> Vec<Confirmed> {
        self.0
            .versions
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .values()
            .cloned()
            .collect()
    }

    fn standing(&self) -> Standing {
        let figures = self.0.node.figures();
        let routing = self.0.router.stats();
        let count = |name: &str, value: usize| (Arc::from(name), value as f64);
        Standing {
            mode: format!("{:?}", figures.mode).to_lowercase().into(),
            figures: BTreeMap::from([
                count("open_requests", figures.open),
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
        put_in_force(&self.0);
        let _ = self.0.notices.send(version);
    }

    fn bills(&self) -> Result<BTreeMap<BudgetId, BilledTokens>, StoreFault> {
        bill::sum_bills(&self.0.store)
    }
}

fn spawn(ctx: &Arc<Context>) -> Result<Running, Report<StartFault>> {
    let setup = Setup::of(&ctx.settings);
    let admin = bind(
        setup,
        ctx.store.clone(),
        Local(ctx.clone()),
        ctx.edits.clone(),
    )
    .change_context(StartFault { name: "admin" })?;
    log::info!("listening for operators on {}", admin.addr());
    Ok(Running::spawn("admin", move |stop| {
        let _ = stop.recv();
        drop(admin);
    }))
}
