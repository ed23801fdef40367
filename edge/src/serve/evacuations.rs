//! Keeps the requests away from the runners of evacuated data centres.

use std::time::Instant;

use super::Core;
use crate::{
    adapter::StoreVersion,
    catalog::{
        EvacuationChange,
        Runner, //
    },
    decide::{
        Standing,
        Turn,
        View, //
    },
    peer::PeerEvacuations,
};

impl<D> Core<D> {
    /// Applies what the feed of the store has said of evacuations up to `version`; `whole` if `changes` are all
    /// evacuations in force, read by a call of `asked`. Those that a copy of the store lacks hold until they may be
    /// written again.
    pub fn apply_evacuations(
        &self,
        changes: Vec<EvacuationChange>,
        whole: bool,
        version: StoreVersion,
        asked: Instant,
    ) {
        let mut evacuations = self.evacuations.borrow_mut();
        let begun = |changes: Vec<EvacuationChange>| {
            let begun = changes.into_iter().filter(|c| c.evacuated);
            begun.map(|c| c.zone)
        };
        let changed = match whole {
            true if self.is_settling(asked) => evacuations.extend(begun(changes), version),
            true => evacuations.replace(begun(changes), version),
            false => evacuations.update(changes, version),
        };
        drop(evacuations);
        self.announce_evacuations(&changed, "store", version);
    }

    /// Applies the evacuations that the daemon `source` knows, if its state is newer.
    pub fn merge_evacuations(&self, source: &str, state: PeerEvacuations) {
        let zones = state.zones.into_iter().map(Into::into);
        let version = StoreVersion {
            era: state.era,
            number: state.version,
        };
        let changed = self.evacuations.borrow_mut().replace(zones, version);
        self.announce_evacuations(&changed, source, version);
    }

    /// The evacuations that this daemon knows, for others that can't read the store; `None` before it knows any
    /// state.
    pub fn known_evacuations(&self) -> Option<PeerEvacuations> {
        let evacuations = self.evacuations.borrow();
        let version = evacuations.version()?;
        Some(PeerEvacuations {
            era: version.era,
            version: version.number,
            zones: evacuations.zones().map(ToString::to_string).collect(),
        })
    }

    /// Logs and counts changes, closes idle connections to evacuated runners and wakes waiting requests.
    fn announce_evacuations(
        &self,
        changed: &[EvacuationChange],
        source: &str,
        version: StoreVersion,
    ) {
        for change in changed {
            let directory = self.directory.borrow();
            let runners = directory.all().filter(|r| r.zone == change.zone).count();
            log::info!(
                "event={} zone=\"{}\" source={source} era={} row_version={} runners={runners}",
                if change.evacuated {
                    "evacuation_begun"
                } else {
                    "evacuation_ended"
                },
                change.zone.escape_debug(),
                version.era,
                version.number,
            );
            let labels = [&*change.zone];
            if change.evacuated {
                self.metrics.evacuated.with_label_values(&labels).set(1);
                self.close_idle_in(&change.zone);
            } else if let Err(e) = self.metrics.evacuated.remove_label_values(&labels) {
                log::warn!("event=metrics_failed error=\"{e}\"");
            }
            if !change.evacuated {
                let inside = directory.all().filter(|r| r.zone == change.zone);
                inside.for_each(|r| self.mark_started(r, "returned", Instant::now()));
            }
        }
        if !changed.is_empty() {
            self.runner_freed.notify_waiters();
            self.state_changed.notify_waiters();
        }
    }

    /// Whether the data centre of `runner` is evacuated.
    pub(super) fn is_evacuated(&self, runner: &Runner) -> bool {
        self.evacuations.borrow().contains(&runner.zone)
    }

    /// Whether `service` has runners that take requests, and all of them are in evacuated data centres.
    pub(super) fn is_service_evacuated(&self, service: &str, now: Instant) -> bool {
        let directory = self.directory.borrow();
        let mut runners = directory.ready(service, now).peekable();
        runners.peek().is_some() && runners.all(|r| self.is_evacuated(r))
    }
}

/// What is known of a runner whose data centre is evacuated.
pub(super) fn evacuated_view() -> View {
    View {
        standing: Standing::Evacuated,
        since: None,
        excluded: true,
        turn: Turn::Never,
        doubtful: false,
    }
}
