//! The platform's tables, objects and list of VMs, in memory.

use std::{
    collections::BTreeMap,
    ops::Bound,
    sync::Arc, //
};

use cuminloom::{
    model::Version,
    store::{
        Change,
        CommitOutcome,
        Precondition,
        Row,
        Vm,
        Write, //
    },
};
use serde_json::Value;

/// State of the platform. Every call takes effect at once and never fails; callers inject faults by
/// not making a call or by dropping its answer.
#[derive(Clone, Debug, Default)]
pub struct MemStore {
    rows: BTreeMap<Arc<str>, (Version, Value)>,
    objects: BTreeMap<Arc<str>, Vec<u8>>,
    vms: Vec<Vm>,
    last: Version,
}

impl MemStore {
    /// Reads one row.
    ///
    /// # Examples
    ///
    /// ```
    /// let store = cuminloom_standins::store::MemStore::default();
    /// assert_eq!(store.read("config/head"), None);
    /// ```
    pub fn read(&self, key: &str) -> Option<Row> {
        let (key, (version, value)) = self.rows.get_key_value(key)?;
        Some(Row {
            key: key.clone(),
            version: *version,
            value: value.clone(),
        })
    }

    /// Lists at most `limit` rows whose keys start with `prefix` and sort after `after`.
    ///
    /// # Examples
    ///
    /// ```
    /// let store = cuminloom_standins::store::MemStore::default();
    /// assert!(store.list("budget/", "", 10).is_empty());
    /// ```
    pub fn list(&self, prefix: &str, after: &str, limit: usize) -> Vec<Row> {
        let from = if after < prefix {
            Bound::Included(prefix)
        } else {
            Bound::Excluded(after)
        };
        self.rows
            .range::<str, _>((from, Bound::Unbounded))
            .take_while(|(key, _)| key.starts_with(prefix))
            .take(limit)
            .map(|(key, (version, value))| Row {
                key: key.clone(),
                version: *version,
                value: value.clone(),
            })
            .collect()
    }

    /// Applies all `writes` or none. Versions rise over the whole table, so a row that was deleted
    /// and written again never gets a version that it had before.
    ///
    /// # Examples
    ///
    /// ```
    /// use cuminloom::store::{Change, CommitOutcome, Precondition, Write};
    /// let mut store = cuminloom_standins::store::MemStore::default();
    /// let write = Write { key: "a".into(), precondition: Precondition::Absent, change: Change::Put(1.into()) };
    /// assert_eq!(store.commit(&[write.clone()]), CommitOutcome::Applied(vec![1]));
    /// assert!(matches!(store.commit(&[write]), CommitOutcome::Conflict { .. }));
    /// ```
    pub fn commit(&mut self, writes: &[Write]) -> CommitOutcome {
        for write in writes {
            let version = self.rows.get(&write.key).map(|(version, _)| *version);
            let holds = match write.precondition {
                Precondition::Absent => version.is_none(),
                Precondition::Version(wanted) => version == Some(wanted),
                Precondition::Any => true,
            };
            if !holds {
                return CommitOutcome::Conflict {
                    key: write.key.clone(),
                    row: self.read(&write.key),
                };
            }
        }
        CommitOutcome::Applied(writes.iter().map(|write| self.apply(write)).collect())
    }

    fn apply(&mut self, write: &Write) -> Version {
        match &write.change {
            Change::Put(value) => {
                self.last += 1;
                self.rows
                    .insert(write.key.clone(), (self.last, value.clone()));
                self.last
            }
            Change::Delete => {
                self.rows.remove(&write.key);
                0
            }
            Change::Check => self.rows.get(&write.key).map_or(0, |(version, _)| *version),
        }
    }

    /// Reads an object.
    ///
    /// # Examples
    ///
    /// ```
    /// let store = cuminloom_standins::store::MemStore::default();
    /// assert_eq!(store.get("bills/a/1"), None);
    /// ```
    pub fn get(&self, name: &str) -> Option<&[u8]> {
        self.objects.get(name).map(Vec::as_slice)
    }

    /// Writes an object unless it exists; returns whether it was written.
    ///
    /// # Examples
    ///
    /// ```
    /// let mut store = cuminloom_standins::store::MemStore::default();
    /// assert!(store.put_new("bills/a/1", b"[]"));
    /// assert!(!store.put_new("bills/a/1", b"[]"));
    /// ```
    pub fn put_new(&mut self, name: &str, body: &[u8]) -> bool {
        if self.objects.contains_key(name) {
            return false;
        }
        self.objects.insert(name.into(), body.to_vec());
        true
    }

    /// Names of the objects that start with `prefix`.
    ///
    /// # Examples
    ///
    /// ```
    /// let store = cuminloom_standins::store::MemStore::default();
    /// assert_eq!(store.names("bills/").count(), 0);
    /// ```
    pub fn names<'a>(&'a self, prefix: &'a str) -> impl Iterator<Item = &'a Arc<str>> {
        self.objects
            .range::<str, _>((Bound::Included(prefix), Bound::Unbounded))
            .map(|(name, _)| name)
            .take_while(move |name| name.starts_with(prefix))
    }

    /// The list of VMs.
    ///
    /// # Examples
    ///
    /// ```
    /// assert!(cuminloom_standins::store::MemStore::default().vms().is_empty());
    /// ```
    pub fn vms(&self) -> &[Vm] {
        &self.vms
    }

    /// Replaces the list of VMs.
    ///
    /// # Examples
    ///
    /// ```
    /// use cuminloom::store::Vm;
    /// let mut store = cuminloom_standins::store::MemStore::default();
    /// store.set_vms(vec![Vm { name: "vm-1".into(), dc: "east".into(), leaving: false }]);
    /// assert_eq!(store.vms().len(), 1);
    /// ```
    pub fn set_vms(&mut self, vms: Vec<Vm>) {
        self.vms = vms;
    }
}
