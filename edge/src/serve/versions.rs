//! Keeps a stream at the software version that began it.

use std::{
    collections::{
        BTreeSet,
        HashMap, //
    },
    time::{
        Duration,
        Instant, //
    },
};

use tokio::time::timeout;

use super::{
    Core,
    call::Call, //
};
use crate::{
    adapter::{
        Era,
        StoreVersion, //
    },
    catalog::{
        Runner,
        ServiceId, //
    },
    clock::boot_time,
    decide::{
        FleetTime,
        OpenVersions,
        StreamKey,
        StreamReport,
        VERSION_LEASE,
        VersionHistory,
        VersionKey,
        rendezvous_weight,
        runner_key,
        stream_key, //
    },
    prepaid::{
        Batch,
        Precondition,
        Row, //
    },
};

/// Time for which a request waits for word of the stream that it takes up.
const WORD_WAIT: Duration = Duration::from_millis(400);

/// Interval between two looks for such word.
const WORD_INTERVAL: Duration = Duration::from_millis(100);

/// Time for which the first event of a stream waits until others can know that it has left its version.
const TELL_TIME: Duration = Duration::from_millis(1000);

/// Time between two daemons that write the shares of a service, so that only one does if the first succeeds.
const WRITE_STEP: Duration = Duration::from_millis(150);

/// Daemons between which [`WRITE_STEP`] passes.
const MAX_WRITE_STEPS: u32 = 10;

/// Runners at which a request may be served.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum VersionChoice {
    /// Any.
    Any,
    /// Any of a version at which streams may begin.
    Open,
    /// Of this version, or any if it has none: the stream has not begun.
    Prefer(VersionKey),
    /// Only of this version, which began the stream.
    Only(VersionKey),
}

impl VersionChoice {
    /// Whether the stream must not go on at `runner`.
    pub(super) fn forbids(self, runner: &Runner) -> bool {
        matches!(self, VersionChoice::Only(_)) && !self.admits(runner)
    }

    /// Whether a stream that begins at `version` leaves the one that its shares tell.
    pub(super) fn is_left_at(self, version: VersionKey) -> bool {
        matches!(self, VersionChoice::Prefer(preferred) if preferred != version)
    }

    /// Whether `runner` fits best.
    pub(super) fn admits(self, runner: &Runner) -> bool {
        match self {
            VersionChoice::Any | VersionChoice::Open => true,
            VersionChoice::Prefer(version) | VersionChoice::Only(version) => {
                runner.version_key == version
            }
        }
    }
}

/// The shares of one service as this daemon knows them.
#[derive(Debug, Default)]
pub(super) struct KnownShares {
    history: VersionHistory,
    /// Versions at which streams may begin.
    open: OpenVersions,
    /// Version of the row in the store, and the epoch in it.
    stored: Option<(StoreVersion, u64)>,
    /// Time since which the runners differ from the shares.
    outdated_since: Option<Instant>,
}

/// Key of the stream of which `call` is an attempt.
fn key_of(call: &Call) -> Option<StreamKey> {
    if call.meta.last_event.is_none() {
        return Some(stream_key(&call.meta.id));
    }
    call.meta.resumed.as_deref().map(stream_key)
}

/// Whether callers may take up the streams of the route of `call`.
fn may_resume(call: &Call) -> bool {
    call.route.retry.is_stream() && call.route.retry.allows_rerun()
}

impl<D> Core<D> {
    /// The version at which `call` has to be served; `None` if the version that began its stream is not known. Waits a
    /// moment for word of it.
    pub(super) async fn version_for(
        &self,
        call: &Call,
        service: &ServiceId,
    ) -> Option<VersionChoice> {
        if !may_resume(call) {
            return Some(VersionChoice::Any);
        }
        if call.meta.last_event.is_none() {
            return self.version_for_new(call, service);
        }
        let begun = Instant::now();
        loop {
            if let Some(version) = self.find_version(call, service) {
                return Some(VersionChoice::Only(version));
            }
            if begun.elapsed() >= WORD_WAIT {
                return None;
            }
            self.reader_wake.notify_one();
            let changed = self.state_changed.notified();
            let _ = timeout(WORD_INTERVAL, changed).await;
        }
    }

    /// The version at which the stream of `call` begins; `None` if its runners have several and this daemon does not know
    /// their shares, so that no other one could tell.
    fn version_for_new(&self, call: &Call, service: &ServiceId) -> Option<VersionChoice> {
        let key = stream_key(&call.meta.id);
        let is_open = |version| self.may_begin(service, version);
        let version = self.shares_of(service, |history| history.open_version_of(key, is_open));
        let choice = version.map(VersionChoice::Prefer);
        let alike = || self.ready_slots(service, Instant::now()).len() <= 1;
        choice.or_else(|| alike().then_some(VersionChoice::Any))
    }

    /// Whether streams may begin at `version`: other daemons may not have heard of a new one. While no shares are known,
    /// there is no other one.
    pub(super) fn may_begin(&self, service: &str, version: VersionKey) -> bool {
        let shares = self.versions.borrow();
        let Some(known) = shares.get(service).filter(|s| s.history.epoch > 0) else {
            return true;
        };
        let time = self.fleet_time(Instant::now());
        known
            .open
            .admits(version, &known.history, boot_time(), time)
    }

    /// Whether `service` has a runner that is known to answer, of a version at which streams may begin.
    pub(super) fn has_open_runner(&self, service: &str, now: Instant) -> bool {
        let directory = self.directory.borrow();
        let availability = self.availability.borrow();
        let mut ready = directory.ready(service, now);
        ready.any(|runner| {
            let view = availability.view(runner_key(runner), Some(runner.state), now);
            !view.excluded && !view.doubtful && self.may_begin(service, runner.version_key)
        })
    }

    /// Records that the store gave the runners' entries at `time` in `era`, to a call that was made at `asked` on the
    /// clock of [`boot_time`].
    pub fn record_entries(&self, era: Era, time: FleetTime, asked: Duration) {
        let mut age = self.entries_age.borrow_mut();
        age.record(era, time, asked..boot_time());
    }

    /// Time at which the store gave the recorded entries, by its own clock: the answer to a call of `asked` that is
    /// handled at `now` may have lain unread.
    pub fn entries_given_at(&self, asked: Instant, now: Instant) -> Instant {
        let age = self.entries_age.borrow().at(boot_time());
        let given = now.checked_sub(age.unwrap_or_default());
        given.map_or(asked, |at| at.max(asked))
    }

    /// The version that began the stream that `call` takes up, as far as this daemon knows.
    fn find_version(&self, call: &Call, service: &ServiceId) -> Option<VersionKey> {
        let now = Instant::now();
        let Some(key) = key_of(call) else {
            return self.only_version(service, now);
        };
        let time = self.fleet_time(now);
        let has_read = self.ledger.borrow().has_read_since(call.received_at);
        let only = self.only_version(service, now);
        let directory = self.directory.borrow();
        let has_runner = |version| {
            let mut ready = directory.ready(service, now);
            ready.any(|r| r.version_key == version)
        };
        let streams = self.streams.borrow();
        self.shares_of(service, |history| {
            let is_current = has_read || only.is_some();
            streams.resume_at(key, (history, is_current), time, has_runner)
        })
        .or_else(|| streams.version_of(key))
    }

    /// The version of all runners of `service`, if there was no other one lately, as far as the entries and the shares
    /// tell. New shares follow the entries.
    fn only_version(&self, service: &ServiceId, now: Instant) -> Option<VersionKey> {
        let time = self.fleet_time(now);
        let slots = self.ready_slots(service, now);
        let in_entries = *slots.keys().next().filter(|_| slots.len() == 1)?;
        let in_shares = self.shares_of(service, |history| history.only_version(time))?;
        let age = self.entries_age.borrow().at(boot_time());
        let is_recent = age.is_some_and(|age| age < VERSION_LEASE);
        (in_entries == in_shares && is_recent).then_some(in_entries)
    }

    /// Applies `f` to the shares of `service`; `None` if there are none yet.
    fn shares_of<R>(
        &self,
        service: &ServiceId,
        f: impl FnOnce(&VersionHistory) -> Option<R>,
    ) -> Option<R> {
        let shares = self.versions.borrow();
        f(&shares.get(service)?.history)
    }

    /// Whether all ready runners of `service` fit `version`, so that there is no other choice.
    pub(super) fn all_admitted(&self, service: &str, version: VersionChoice, now: Instant) -> bool {
        let directory = self.directory.borrow();
        let mut ready = directory.ready(service, now);
        ready.all(|runner| version.admits(runner))
    }

    /// Records that a runner of `service` with `version` passes on an event of the stream of `call`.
    pub(super) fn record_stream(&self, call: &Call, service: &ServiceId, version: VersionKey) {
        if let Some(key) = key_of(call).filter(|_| may_resume(call)) {
            let now = Instant::now();
            let mut streams = self.streams.borrow_mut();
            streams.record(key, service, version, now);
        }
    }

    /// Whether streams may leave the version that their shares tell: others go by the shares unless the row of this daemon
    /// tells them.
    pub(super) fn may_leave_version(&self) -> bool {
        !self.writes_lost.get()
    }

    /// Records whether the store accepts the row of this daemon.
    pub fn record_writes(&self, lost: bool) {
        self.writes_lost.set(lost);
    }

    /// Records that a row that the store has accepted tells of `reports`.
    pub fn mark_told(&self, reports: &[StreamReport]) {
        self.streams.borrow_mut().mark_told(reports);
        self.state_changed.notify_waiters();
    }

    /// Waits until the store has word that the stream of `call` begins at `version`, which its shares don't tell. Returns
    /// whether it has in time.
    pub(super) async fn tell_stream(&self, call: &Call, version: VersionKey) -> bool {
        let key = stream_key(&call.meta.id);
        let begun = Instant::now();
        let is_told = || self.streams.borrow().is_told(key);
        while !is_told() && begun.elapsed() < TELL_TIME {
            self.writer_wake.notify_one();
            let changed = self.state_changed.notified();
            let _ = timeout(WORD_INTERVAL, changed).await;
        }
        let told = is_told();
        log::info!(
            "event=stream_left_version id={} version={version:x} told={told} ms={}",
            call.meta.id,
            begun.elapsed().as_millis()
        );
        told
    }

    /// Records that the caller has the whole stream of `call`, or nothing of it.
    pub(super) fn end_stream(&self, call: &Call) {
        if let Some(key) = key_of(call) {
            self.streams.borrow_mut().end(key);
        }
    }

    /// The streams of this daemon of which others can't work out the version.
    pub fn own_streams(&self, now: Instant) -> Vec<StreamReport> {
        let time = self.fleet_time(now);
        let mut streams = self.streams.borrow_mut();
        streams.prune(now);
        let shares = self.versions.borrow();
        let is_clear = |service: &ServiceId, key, version| {
            let known = shares.get(service);
            known.and_then(|s| s.history.began_at(key, time)) == Some(version)
        };
        streams.reports(is_clear)
    }

    /// Slots of the ready runners of `service`, by version.
    fn ready_slots(&self, service: &str, now: Instant) -> HashMap<VersionKey, u32> {
        let directory = self.directory.borrow();
        let mut slots = HashMap::new();
        for runner in directory.ready(service, now) {
            let sum: &mut u32 = slots.entry(runner.version_key).or_default();
            *sum = sum.saturating_add(runner.slots);
        }
        slots
    }

    /// Applies the shares among `rows`, which the store read in `era`.
    pub fn apply_shares(&self, rows: &[Row], era: Era) {
        let mut shares = self.versions.borrow_mut();
        for row in rows {
            let Row::Versions(service, number, history) = row else {
                continue;
            };
            let number = *number;
            let version = StoreVersion { era, number };
            let known = shares.entry(service.as_str().into()).or_default();
            if known.stored.is_some_and(|(stored, _)| version < stored) {
                continue;
            }
            known.stored = Some((version, history.epoch));
            if history.epoch > known.history.epoch {
                log::info!(
                    "event=version_shares service={service} epoch={} shares=\"{:x?}\"",
                    history.epoch,
                    history.tables.last().map(|t| &t.weights)
                );
                known.history = history.clone();
                known.open.record(history, boot_time());
            }
        }
    }

    /// The write of shares that is due, with the service that it concerns: its runners have changed, or the store has
    /// lost its shares.
    pub fn plan_shares(&self, now: Instant) -> Option<(ServiceId, Batch)> {
        let era = self.store_era()?;
        let config = self.config()?;
        let routes = config.hosts.values().flatten();
        let resumable = routes.filter(|r| r.retry.is_stream() && r.retry.allows_rerun());
        // There may be thousands of routes to a few services.
        let services = resumable.flat_map(|r| &r.services);
        let services: BTreeSet<&ServiceId> = services.map(|(service, _)| service).collect();
        for service in services {
            let slots = self.ready_slots(service, now);
            if slots.is_empty() || !self.is_write_due(service, &slots, era, now) {
                continue;
            }
            let mut weights: Vec<(VersionKey, u32)> = slots.into_iter().collect();
            weights.sort_unstable();
            let shares = self.versions.borrow();
            let known = shares.get(service)?;
            let history = known.history.next(weights, self.fleet_time(now));
            let stored = known.stored.filter(|(version, _)| version.era == era);
            let number = stored.map_or(0, |(version, _)| version.number);
            let batch = Batch {
                preconditions: vec![
                    Precondition::Versions(service.to_string(), number),
                    Precondition::NoEra(era + 1),
                ],
                versions: vec![(service.to_string(), history)],
                ..Batch::default()
            };
            return Some((ServiceId::clone(service), batch));
        }
        None
    }

    /// Whether this daemon should write the shares of `service` now. The others wait longer, by a rank in which all
    /// know them.
    fn is_write_due(
        &self,
        service: &ServiceId,
        slots: &HashMap<VersionKey, u32>,
        era: Era,
        now: Instant,
    ) -> bool {
        let (rank, _) = {
            let ledger = self.ledger.borrow();
            if !ledger.has_read_rows() {
                return false;
            }
            ledger.rank_for(rendezvous_weight(3, service), now)
        };
        let mut shares = self.versions.borrow_mut();
        let known = shares.entry(ServiceId::clone(service)).or_default();
        let is_stored = known
            .stored
            .is_some_and(|(version, epoch)| version.era == era && epoch >= known.history.epoch);
        if is_stored && !known.history.is_outdated(slots) {
            known.outdated_since = None;
            return false;
        }
        let since = *known.outdated_since.get_or_insert(now);
        let steps = rank.map_or(MAX_WRITE_STEPS, |r| u32::try_from(r).unwrap_or(u32::MAX));
        now >= since + WRITE_STEP * steps.min(MAX_WRITE_STEPS)
    }
}
