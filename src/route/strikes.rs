//! Strikes against request fingerprints. A fingerprint gets a strike for each target that crashed
//! while a request with it was running there.

use std::{
    collections::BTreeMap,
    time::Duration, //
};

use crate::model::TargetId;

/// Number of strikes of a fingerprint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum StrikeStatus {
    /// No strike.
    Clear,
    /// One strike: the request runs only apart from other suspects.
    Struck,
    /// Two strikes: requests with the fingerprint are refused.
    Blocked,
}

/// Strikes of one fingerprint.
#[derive(Debug)]
struct StrikeRecord {
    /// Targets that crashed, at most two.
    targets: Vec<TargetId>,
    /// Time of the last strike that counted.
    last: Duration,
}

/// Bounded table of recent strikes.
#[derive(Debug)]
pub(super) struct Strikes {
    /// Records by fingerprint.
    records: BTreeMap<u64, StrikeRecord>,
    /// Lifetime of a record after its last strike.
    ttl: Duration,
    max_records: usize,
}

impl Strikes {
    pub(super) fn new(ttl: Duration, max_records: usize) -> Self {
        Self {
            records: BTreeMap::new(),
            ttl,
            max_records: max_records.max(1),
        }
    }

    /// Number of fingerprints with a record.
    pub(super) fn len(&self) -> usize {
        self.records.len()
    }

    /// Records a strike, after dropping expired ones.
    pub(super) fn add(&mut self, now: Duration, fingerprint: u64, target: &TargetId) {
        let ttl = self.ttl;
        self.records.retain(|_, r| now < r.last + ttl);
        if !self.records.contains_key(&fingerprint) && self.records.len() >= self.max_records {
            self.evict();
        }
        let record = self.records.entry(fingerprint).or_insert(StrikeRecord {
            targets: Vec::new(),
            last: now,
        });
        // A repeated message must not extend the refusal, and two targets are enough for a refusal.
        if record.targets.len() < 2 && !record.targets.contains(target) {
            record.targets.push(target.clone());
            record.last = now;
        }
        assert!(
            self.records.len() <= self.max_records,
            "too many strike records"
        );
    }

    /// Returns how many strikes of the fingerprint are in force.
    pub(super) fn status(&self, now: Duration, fingerprint: u64) -> StrikeStatus {
        match self.live_record(now, fingerprint).map(|r| r.targets.len()) {
            None => StrikeStatus::Clear,
            Some(1) => StrikeStatus::Struck,
            Some(_) => StrikeStatus::Blocked,
        }
    }

    /// Whether the fingerprint has a strike for a crash of this target.
    pub(super) fn is_struck_by(&self, now: Duration, fingerprint: u64, target: &TargetId) -> bool {
        self.live_record(now, fingerprint)
            .is_some_and(|r| r.targets.contains(target))
    }

    /// Returns the record of the fingerprint unless it expired.
    fn live_record(&self, now: Duration, fingerprint: u64) -> Option<&StrikeRecord> {
        let record = self.records.get(&fingerprint)?;
        (now < record.last + self.ttl).then_some(record)
    }

    /// Evicts the oldest record. Fingerprints with one strike go first: a crash adds one for each
    /// request that was running, and these must not displace a refusal that is in force.
    fn evict(&mut self) {
        let oldest = self
            .records
            .iter()
            .min_by_key(|(_, r)| (r.targets.len(), r.last))
            .map(|(fingerprint, _)| *fingerprint);
        if let Some(fingerprint) = oldest {
            self.records.remove(&fingerprint);
        }
    }
}
