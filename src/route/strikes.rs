//! Strikes against request fingerprints.

use std::{
    collections::BTreeMap,
    time::Duration, //
};

use crate::model::TargetId;

/// What is known of a fingerprint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Standing {
    /// No strike.
    Clear,
    /// It was running on one target that crashed.
    Struck,
    /// It was running on two targets that crashed.
    Blocked,
}

#[derive(Debug)]
struct Record {
    targets: Vec<TargetId>,
    last: Duration,
}

/// The strikes that are remembered.
#[derive(Debug)]
pub(super) struct Strikes {
    records: BTreeMap<u64, Record>,
    time: Duration,
    memory: usize,
}

impl Strikes {
    pub(super) fn new(time: Duration, memory: usize) -> Self {
        Self {
            records: BTreeMap::new(),
            time,
            memory: memory.max(1),
        }
    }

    pub(super) fn len(&self) -> usize {
        self.records.len()
    }

    pub(super) fn add(&mut self, now: Duration, fingerprint: u64, target: &TargetId) {
        let time = self.time;
        self.records.retain(|_, r| now < r.last + time);
        if !self.records.contains_key(&fingerprint) && self.records.len() >= self.memory {
            self.evict();
        }
        let record = self.records.entry(fingerprint).or_insert(Record {
            targets: Vec::new(),
            last: now,
        });
        // A repeated message must not prolong the refusal, and two targets are enough to refuse.
        if record.targets.len() < 2 && !record.targets.contains(target) {
            record.targets.push(target.clone());
            record.last = now;
        }
        assert!(self.records.len() <= self.memory, "strikes are bounded");
    }

    pub(super) fn standing(&self, now: Duration, fingerprint: u64) -> Standing {
        match self.live(now, fingerprint).map(|r| r.targets.len()) {
            None => Standing::Clear,
            Some(1) => Standing::Struck,
            Some(_) => Standing::Blocked,
        }
    }

    /// Whether the fingerprint has a strike from this target.
    pub(super) fn has(&self, now: Duration, fingerprint: u64, target: &TargetId) -> bool {
        self.live(now, fingerprint)
            .is_some_and(|r| r.targets.contains(target))
    }

    fn live(&self, now: Duration, fingerprint: u64) -> Option<&Record> {
        let record = self.records.get(&fingerprint)?;
        (now < record.last + self.time).then_some(record)
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
