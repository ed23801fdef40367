//! Follows the feeds of the store: the operator's changes and the runners.

use std::{
    rc::Rc,
    time::{
        Duration,
        Instant, //
    },
};

use tokio::time::sleep;

use crate::{
    adapter::{
        FeedUpdate,
        OperatorChange,
        Store,
        StoreError, //
    },
    catalog::RunnerChange,
    serve::Core, //
};

/// Longest wait of one call to the configuration feed. Its end confirms that the configuration is
/// the newest, so it must be shorter than the age at which a confirmation expires.
const CONFIG_POLL_WAIT: Duration = Duration::from_millis(1000);

/// Longest wait of one call to the runner feed.
const RUNNER_POLL_WAIT: Duration = Duration::from_millis(1000);

/// Pause between two calls to the runner feed, so that one call returns several changes. It is well
/// below the time within which a draining runner must get no more requests.
const RUNNER_PAUSE: Duration = Duration::from_millis(150);

/// Pause after a failed call, or after an empty one that returned at once.
const RETRY_PAUSE: Duration = Duration::from_millis(150);

/// Whether a feed is reachable; logs each change once.
pub(super) struct FeedStatus {
    name: &'static str,
    /// Time of the first failed call; `None` while the feed is reachable.
    lost: Option<Instant>,
}

impl FeedStatus {
    pub(super) fn new(name: &'static str) -> FeedStatus {
        FeedStatus { name, lost: None }
    }

    /// Records a failed call.
    pub(super) fn failed(&mut self, fault: &StoreError) {
        if self.lost.is_none() {
            self.lost = Some(Instant::now());
            log::warn!("event=feed_lost feed={} error=\"{fault}\"", self.name);
        }
    }

    /// Records a successful call. Returns whether the feed was lost before.
    pub(super) fn succeeded(&mut self) -> bool {
        let Some(at) = self.lost.take() else {
            return false;
        };
        log::info!(
            "event=feed_regained feed={} after_ms={}",
            self.name,
            at.elapsed().as_millis()
        );
        true
    }
}

/// Follows the operator's configuration and evacuations until the process ends.
pub async fn follow_configs<D, S: Store>(core: Rc<Core<D>>, store: Rc<S>) {
    let mut status = FeedStatus::new("config");
    let mut since = None;
    loop {
        let asked = Instant::now();
        match store.watch_configs(since, CONFIG_POLL_WAIT).await {
            Ok(feed) => {
                status.succeeded();
                core.note_era(feed.era, "configs");
                core.ledger
                    .borrow_mut()
                    .record_store_time(feed.now_ms, Instant::now());
                since = Some(feed.version);
                let empty = feed.items.is_empty();
                apply_operator_changes(&core, feed);
                if core.config().is_some() {
                    core.confirm_config(asked);
                }
                count_store_call(&core, "configs", "ok");
                if empty && asked.elapsed() < RETRY_PAUSE {
                    sleep(RETRY_PAUSE).await;
                }
            }
            Err(fault) => {
                status.failed(&fault);
                count_store_call(&core, "configs", "failed");
                // Changes during the failure may be missing from the feed: start from the newest
                // version.
                since = None;
                sleep(RETRY_PAUSE).await;
            }
        }
    }
}

/// Applies the changes of one call: evacuations first, so that no request is routed by a new configuration to
/// a data centre that was evacuated before.
fn apply_operator_changes<D>(core: &Core<D>, feed: FeedUpdate<OperatorChange>) {
    let mut evacuations = Vec::new();
    let mut configs = Vec::new();
    for change in feed.items {
        match change {
            OperatorChange::Evacuation(change) => evacuations.push(change),
            OperatorChange::Config(version) => configs.push(version),
        }
    }
    core.apply_evacuations(evacuations, feed.is_snapshot, feed.version);
    for version in configs {
        core.apply_config(version, "store");
    }
}

/// Follows the runners' entries until the process ends.
pub async fn follow_runners<D, S: Store>(core: Rc<Core<D>>, store: Rc<S>) {
    let mut status = FeedStatus::new("runners");
    let mut since = None;
    loop {
        match store.watch_runners(since, RUNNER_POLL_WAIT).await {
            Ok(feed) => {
                let now = Instant::now();
                core.note_era(feed.era, "runners");
                core.ledger.borrow_mut().record_store_time(feed.now_ms, now);
                if status.succeeded() {
                    let grace = core.bounds.get().lapse_grace;
                    core.directory.borrow_mut().start_grace(now, grace);
                }
                since = Some(feed.version);
                core.confirm_runners(now);
                count_store_call(&core, "runners", "ok");
                apply_entries(&core, feed.items, feed.is_snapshot, now);
                sleep(RUNNER_PAUSE).await;
            }
            Err(fault) => {
                status.failed(&fault);
                count_store_call(&core, "runners", "failed");
                since = None;
                sleep(RETRY_PAUSE).await;
            }
        }
        let now = Instant::now();
        core.sweep_idle(now);
        let gone = core.directory.borrow_mut().expire(now);
        for id in gone {
            log::info!("event=runner_gone runner={id} cause=lapsed");
        }
    }
}

/// Applies the entries of one call to the directory; `whole` if they are all entries.
fn apply_entries<D>(core: &Core<D>, items: Vec<RunnerChange>, whole: bool, now: Instant) {
    let entries = items.iter().filter_map(|change| match change {
        RunnerChange::Put(runner) => Some(runner),
        RunnerChange::Gone(_) => None,
    });
    let cold = core.find_cold(entries);
    let mut changed = false;
    {
        let mut directory = core.directory.borrow_mut();
        if whole {
            let entries = items
                .into_iter()
                .filter_map(|c| match c {
                    RunnerChange::Put(runner) => Some(runner),
                    RunnerChange::Gone(_) => None,
                })
                .collect();
            changed = directory.replace(entries, now);
            log::info!("event=runners_read count={}", directory.len());
        } else {
            for change in items {
                let text = format!("{change:?}");
                if directory.apply(change, now) {
                    changed = true;
                    log::info!("event=runner_changed change=\"{}\"", text.replace('"', ""));
                }
            }
        }
    }
    core.mark_all_cold(&cold, now);
    if changed {
        core.prune_upstreams();
        core.runner_freed.notify_waiters();
        core.state_changed.notify_waiters();
    }
}

/// Counts one call to the store in the metrics, and records that the link works if it was answered.
pub(super) fn count_store_call<D>(core: &Core<D>, call: &str, outcome: &str) {
    if outcome != "failed" {
        core.link.record(Instant::now());
    }
    core.metrics
        .store_calls
        .with_label_values(&[call, outcome])
        .inc();
}
