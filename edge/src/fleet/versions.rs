//! Writes the shares of the runners' software versions.

use std::{
    rc::Rc,
    time::{
        Duration,
        Instant, //
    },
};

use tokio::time::sleep;

use super::feeds::count_store_call;
use crate::{
    adapter::Store,
    prepaid::{
        CommitOutcome,
        Row, //
    },
    serve::Core,
};

/// Interval between two looks at the runners' versions.
const LOOK_INTERVAL: Duration = Duration::from_millis(200);

/// Writes the shares of a service's versions when its runners have changed, until the process ends.
pub async fn keep_shares<D, S: Store>(core: Rc<Core<D>>, store: Rc<S>) {
    let mut reported = Vec::new();
    loop {
        sleep(LOOK_INTERVAL).await;
        let streams = core.own_streams(Instant::now());
        if streams != reported {
            // Others need the word as soon as a caller comes back.
            core.writer_wake.notify_one();
            reported = streams;
        }
        let Some((service, batch)) = core.plan_shares(Instant::now()) else {
            continue;
        };
        let commit = match store.commit(&batch).await {
            Ok(commit) => commit,
            Err(fault) => {
                count_store_call(&core, "shares", "failed");
                log::info!("event=shares_unwritten service={service} error=\"{fault}\"");
                continue;
            }
        };
        count_store_call(&core, "shares", "ok");
        let era = commit.era();
        if !core.note_era(era, "shares") {
            continue;
        }
        match commit {
            CommitOutcome::Done { version, .. } => {
                let written = batch.versions.into_iter();
                let rows: Vec<Row> = written
                    .map(|(service, history)| Row::Versions(service, version, history))
                    .collect();
                core.apply_shares(&rows, era);
            }
            CommitOutcome::Conflict(rows) => core.apply_shares(&rows.rows, era),
        }
    }
}
