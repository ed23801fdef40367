//! Following the feeds of the store.

use std::{
    rc::Rc,
    time::{
        Duration,
        Instant, //
    },
};

use tokio::time::sleep;

use crate::{
    border::{
        Store,
        StoreFault, //
    },
    catalog::RunnerChange,
    serve::Core, //
};

/// Longest wait of one call of the configuration's feed; its end confirms that the configuration is
/// the newest, so it is shorter than the age up to which that counts.
const CONFIG_WAIT: Duration = Duration::from_millis(1000);

/// Longest wait of one call of the runners' feed.
const RUNNER_WAIT: Duration = Duration::from_millis(1000);

/// Pause between two calls of the runners' feed, so that several changes come with one call; well
/// below the time in which a leaving runner must get no more requests.
const RUNNER_PAUSE: Duration = Duration::from_millis(150);

/// Pause after a failed call.
const PAUSE: Duration = Duration::from_millis(150);

/// Tells of a dependency that was lost or regained, once for each change.
struct Contact {
    name: &'static str,
    lost: Option<Instant>,
}

impl Contact {
    fn new(name: &'static str) -> Contact {
        Contact { name, lost: None }
    }

    fn failed(&mut self, fault: &StoreFault) {
        if self.lost.is_none() {
            self.lost = Some(Instant::now());
            log::warn!("event=feed_lost feed={} error=\"{fault}\"", self.name);
        }
    }

    /// Returns whether the dependency was lost before.
    fn succeeded(&mut self) -> bool {
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

/// Follows the operator's configuration for as long as the process runs.
pub async fn follow_configs<D, S: Store>(core: Rc<Core<D>>, store: Rc<S>) {
    let mut contact = Contact::new("config");
    let mut since = None;
    loop {
        let asked = Instant::now();
        match store.configs(since, CONFIG_WAIT).await {
            Ok(feed) => {
                contact.succeeded();
                core.ledger
                    .borrow_mut()
                    .note_store_time(feed.now, Instant::now());
                since = Some(feed.version);
                let empty = feed.items.is_empty();
                for version in feed.items {
                    core.apply(version, "store");
                }
                if core.config().is_some() {
                    core.confirm(asked);
                }
                count_store_call(&core, "configs", "ok");
                if empty && asked.elapsed() < PAUSE {
                    sleep(PAUSE).await;
                }
            }
            Err(fault) => {
                contact.failed(&fault);
                count_store_call(&core, "configs", "failed");
                // The feed may have skipped what came meanwhile: read the newest version.
                since = None;
                sleep(PAUSE).await;
            }
        }
    }
}

/// Follows the runners' entries for as long as the process runs.
pub async fn follow_runners<D, S: Store>(core: Rc<Core<D>>, store: Rc<S>) {
    let mut contact = Contact::new("runners");
    let mut since = None;
    loop {
        match store.runners(since, RUNNER_WAIT).await {
            Ok(feed) => {
                let now = Instant::now();
                core.ledger.borrow_mut().note_store_time(feed.now, now);
                if contact.succeeded() {
                    let grace = core.bounds.get().lapse_grace;
                    core.directory.borrow_mut().start_grace(now, grace);
                }
                since = Some(feed.version);
                core.follow_runners(now);
                count_store_call(&core, "runners", "ok");
                apply(&core, feed.items, feed.whole, now);
                sleep(RUNNER_PAUSE).await;
            }
            Err(fault) => {
                contact.failed(&fault);
                count_store_call(&core, "runners", "failed");
                since = None;
                sleep(PAUSE).await;
            }
        }
        let now = Instant::now();
        core.sweep(now);
        let gone = core.directory.borrow_mut().expire(now);
        for id in gone {
            log::info!("event=runner_gone runner={id} cause=lapsed");
        }
    }
}

fn apply<D>(core: &Core<D>, items: Vec<RunnerChange>, whole: bool, now: Instant) {
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
    if changed {
        core.prune();
        core.freed.notify_waiters();
        core.changed.notify_waiters();
    }
}

/// Counts one call to the store.
pub(super) fn count_store_call<D>(core: &Core<D>, call: &str, outcome: &str) {
    core.metrics.store.with_label_values(&[call, outcome]).inc();
}
