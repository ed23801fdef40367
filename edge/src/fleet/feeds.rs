//! Follows the feeds of the store: the operator's changes and the runners.

use std::{
    rc::Rc,
    sync::Arc,
    time::{
        Duration,
        Instant, //
    },
};

use tokio::time::sleep;

use crate::{
    adapter::{
        Era,
        FeedUpdate,
        OperatorChange,
        Store,
        StoreError,
        StoreVersion, //
    },
    catalog::{
        Directory,
        RunnerChange,
        RunnerId, //
    },
    clock::boot_time,
    decide::OutageWatch,
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
    /// Calls that have failed since then.
    failures: u32,
}

impl FeedStatus {
    pub(super) fn new(name: &'static str) -> FeedStatus {
        FeedStatus {
            name,
            lost: None,
            failures: 0,
        }
    }

    /// Records a failed call.
    pub(super) fn failed(&mut self, fault: &StoreError) {
        if self.lost.is_none() {
            self.lost = Some(Instant::now());
            self.failures = 0;
            log::warn!("event=feed_lost feed={} error=\"{fault}\"", self.name);
        }
        self.failures += 1;
    }

    /// Records a successful call. Returns whether the feed was lost before.
    pub(super) fn succeeded(&mut self) -> bool {
        let Some(at) = self.lost.take() else {
            return false;
        };
        log::info!(
            "event=feed_regained feed={} after_ms={} failures={}",
            self.name,
            at.elapsed().as_millis(),
            self.failures
        );
        true
    }
}

/// Where a feed goes on.
#[derive(Default)]
struct FeedPosition {
    /// Era of the newest answer.
    era: Option<Era>,
    /// Version after which the next read continues; `None` to read all.
    version: Option<u64>,
    /// Time at which all is read again: what a copy lacks has been written again by then.
    reread_at: Option<Instant>,
    /// Whether the newest answer is the first one of an era that is not the first.
    is_first: bool,
}

impl FeedPosition {
    /// Version after which the read at `now` continues, if the newest known era is `era`; `None` to read all.
    fn since(&mut self, era: Option<Era>, now: Instant) -> Option<u64> {
        let is_due = self.reread_at.take_if(|at| now >= *at).is_some();
        if is_due || self.era != era {
            self.version = None;
        }
        self.version
    }

    /// Continues after `feed`, which was received at `now`. Returns whether its items are all changes since the
    /// position before: versions are given out again in a new era, so there they may not be.
    fn advance<T>(&mut self, feed: &FeedUpdate<T>, now: Instant, grace: Duration) -> bool {
        let is_new = self.era.is_some_and(|era| era != feed.era);
        self.era = Some(feed.era);
        if is_new {
            self.reread_at = Some(now + grace);
        }
        self.is_first = is_new;
        let is_complete = feed.is_snapshot || !is_new;
        self.version = is_complete.then_some(feed.version);
        is_complete
    }

    /// Reads all next: changes may have been missed.
    fn restart(&mut self) {
        self.version = None;
    }
}

/// Follows the operator's configuration and evacuations until the process ends.
pub async fn follow_configs<D, S: Store>(core: Rc<Core<D>>, store: Rc<S>) {
    let mut status = FeedStatus::new("config");
    let mut position = FeedPosition::default();
    loop {
        let asked = Instant::now();
        let since = position.since(core.store_era(), asked);
        match store.watch_configs(since, CONFIG_POLL_WAIT).await {
            Ok(feed) => {
                status.succeeded();
                let now = Instant::now();
                let grace = core.bounds.get().lapse_grace;
                if !core.note_era(feed.era, "configs") {
                    sleep(RETRY_PAUSE).await;
                    continue;
                }
                if !position.advance(&feed, now, grace) {
                    continue;
                }
                core.ledger.borrow_mut().record_store_time(feed.now_ms, now);
                let empty = feed.items.is_empty();
                apply_operator_changes(&core, feed, asked);
                // A copy may lack a newer configuration that was in force.
                if core.config().is_some() && !core.is_settling(asked) {
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
                position.restart();
                sleep(RETRY_PAUSE).await;
            }
        }
    }
}

/// Applies the changes of one call of `asked`: evacuations first, so that no request is routed by a new configuration
/// to a data centre that was evacuated before.
fn apply_operator_changes<D>(core: &Core<D>, feed: FeedUpdate<OperatorChange>, asked: Instant) {
    let mut evacuations = Vec::new();
    let mut configs = Vec::new();
    for change in feed.items {
        match change {
            OperatorChange::Evacuation(change) => evacuations.push(change),
            OperatorChange::Config(version) => configs.push(version),
        }
    }
    let version = StoreVersion {
        era: feed.era,
        number: feed.version,
    };
    core.apply_evacuations(evacuations, feed.is_snapshot, version, asked);
    for version in configs {
        core.apply_config(version, "store");
    }
}

/// Follows the runners' entries until the process ends.
pub async fn follow_runners<D, S: Store>(core: Rc<Core<D>>, store: Rc<S>) {
    let mut status = FeedStatus::new("runners");
    let mut position = FeedPosition::default();
    let mut outages = OutageWatch::default();
    loop {
        let (asked, asked_boot) = (Instant::now(), boot_time());
        let since = position.since(core.store_era(), asked);
        match store.watch_runners(since, RUNNER_POLL_WAIT).await {
            Ok(feed) => {
                let now = Instant::now();
                let bounds = core.bounds.get();
                let grace = bounds.lapse_grace;
                if !core.note_era(feed.era, "runners") {
                    sleep(RETRY_PAUSE).await;
                    continue;
                }
                let is_complete = position.advance(&feed, now, grace);
                status.succeeded();
                if outages.record_answer(now, bounds.heartbeat) {
                    core.directory.borrow_mut().start_grace(now + grace);
                }
                if position.is_first {
                    let returned = core.restored_at().unwrap_or(now);
                    core.directory.borrow_mut().start_grace(returned + grace);
                    core.directory.borrow_mut().withhold_departed(returned);
                }
                if !is_complete {
                    continue;
                }
                core.ledger.borrow_mut().record_store_time(feed.now_ms, now);
                core.record_entries(feed.era, feed.now_ms, asked_boot);
                // A read of all entries is not held back at the store.
                core.confirm_runners(match feed.is_snapshot {
                    true => asked,
                    false => core.entries_given_at(asked, now),
                });
                count_store_call(&core, "runners", "ok");
                apply_entries(&core, feed.items, feed.is_snapshot, now);
                sleep(RUNNER_PAUSE).await;
            }
            Err(fault) => {
                status.failed(&fault);
                outages.record_failure();
                count_store_call(&core, "runners", "failed");
                position.restart();
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
        let known: Vec<RunnerId> = match whole {
            true => directory.all().map(|r| Arc::clone(&r.id)).collect(),
            false => Vec::new(),
        };
        let lapsed = directory.lapsed_ids();
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
        log_missing(&directory, &known, &lapsed);
    }
    core.mark_all_cold(&cold, now);
    if changed {
        core.prune_upstreams();
        core.runner_freed.notify_waiters();
        core.state_changed.notify_waiters();
    }
}

/// Logs the runners whose entries stay usable for a grace period, but for those of `lapsed`, and those of `known` that
/// are dropped.
fn log_missing(directory: &Directory, known: &[RunnerId], lapsed: &[RunnerId]) {
    for id in directory.lapsed_ids() {
        if !lapsed.contains(&id) {
            log::info!("event=runner_lapsed runner={id}");
        }
    }
    for id in known.iter().filter(|id| directory.get(id).is_none()) {
        log::info!("event=runner_gone runner={id} cause=missing");
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
