//! A daemon: what it has read, and the streams that it knows.

use std::time::Duration;

use cuminloom_edge::decide::{
    OpenVersions,
    ReadAge,
    StreamLog,
    VERSION_LEASE,
    VersionHistory,
    VersionKey, //
};

use super::CONTACT_MS;

/// A daemon.
pub(super) struct Node {
    pub(super) log: StreamLog,
    pub(super) history: VersionHistory,
    pub(super) up_at: u64,
    pub(super) frozen_until: u64,
    pub(super) cut_until: u64,
    pub(super) next_read: u64,
    pub(super) last_read: u64,
    pub(super) next_write: u64,
    /// Entries of the runners as last read, their age, and the time at which they were received.
    pub(super) entries: Vec<(VersionKey, u32)>,
    pub(super) age: ReadAge,
    pub(super) received: u64,
    pub(super) next_poll: u64,
    /// An answer that the store has given and the daemon has not yet received.
    pub(super) waiting: Option<(u64, Vec<(VersionKey, u32)>)>,
    pub(super) open: OpenVersions,
}

impl Node {
    pub(super) fn new(at: u64) -> Node {
        Node {
            log: StreamLog::default(),
            history: VersionHistory::default(),
            entries: Vec::new(),
            age: ReadAge::default(),
            received: 0,
            next_poll: at,
            waiting: None,
            open: OpenVersions::default(),
            up_at: at,
            frozen_until: 0,
            cut_until: 0,
            next_read: at,
            last_read: 0,
            next_write: at,
        }
    }

    pub(super) fn runs(&self, now: u64) -> bool {
        now >= self.up_at.max(self.frozen_until)
    }

    /// Receives the entries that the store has given at `time`.
    pub(super) fn receive(&mut self, entries: Vec<(VersionKey, u32)>, time: u64, now: u64) {
        self.entries = entries;
        let call = Duration::from_millis(time)..Duration::from_millis(now);
        self.age.record(1, time, call);
        self.received = now;
    }

    /// Whether streams may begin at `version`.
    pub(super) fn admits(&self, version: VersionKey, now: u64) -> bool {
        let at = Duration::from_millis(now);
        self.open.admits(version, &self.history, at, now)
    }

    /// The only version that the entries show, while they are recent.
    pub(super) fn only_version(&self, now: u64, unleased: bool) -> Option<VersionKey> {
        let [(version, _)] = self.entries[..] else {
            return None;
        };
        let age = match unleased {
            true => Some(Duration::from_millis(now - self.received)),
            false => self.age.at(Duration::from_millis(now)),
        };
        age.is_some_and(|age| age < VERSION_LEASE)
            .then_some(version)
    }

    pub(super) fn in_touch(&self, now: u64) -> bool {
        now >= self.up_at.max(self.frozen_until).max(self.cut_until) + CONTACT_MS
    }
}
