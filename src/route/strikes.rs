//! Strikes against request fingerprints.

use std::{
    collections::BTreeMap,
    time::Duration, //
};

use crate::model::TargetId;

/// What is known of a fingerprint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum StrikeStatus {
    /// No strike.
    Clear,
    /// It was running on one target that crashed.
    Struck,
    /// It was running on two targets that crashed.
    Blocked,
}

#[derive(Debug)]
struct StrikeRecord {
    targets: Vec<TargetId>,
    last: Duration,
}

/// The strikes that are remembered.
#[derive(Debug)]
pub(super) struct Strikes {
    records: BTreeMap<u64, StrikeRecord>,
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

    pub(super) fn len(&self) -> usize {
        self.records.len()
    }

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
        // A repeated message must not prolong the refusal, and two targets are enough to refuse.
        if record.targets.len() < 2 && !record.targets.contains(target) {
            record.targets.push(target.clone());
            record.last = now;
        }
        assert!(
            self.records.len() <= self.max_records,
            "strikes are bounded"
        );
    }

    pub(super) fn status(&self, now: Duration, fingerprint: u64) -> StrikeStatus {
        match self.live_record(now, fingerprint).map(|r| r.targets.len()) {
            None => StrikeStatus::Clear,
            Some(1) => StrikeStatus::Struck,
            Some(_) => StrikeStatus::Blocked,
        }
    }

    /// Whether the fingerprint has a strike from this target.
    pub(super) fn is_struck_by(&self, now: Duration, fingerprint: u64, target: &TargetId) -> bool {
        self.live_record(now, fingerprint)
            .is_some_and(|r| r.targets.contains(target))
    }

    fn live_record(&self, now: Duration, fingerprint: u64) -> Option<&StrikeRecord> {
        let record = self.records.get(&fingerprint)?;
        (now < record.last + self.ttl).then_some(record)
    }

    /// Forgets the oldest record. Fingerprints with one strike go first: a crash adds one for
    /// each request that was running, and these must not displace a refusal in force.
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
