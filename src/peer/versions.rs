//! Gossip of the configuration version that each daemon has in force.

use std::collections::{
    BTreeMap,
    BTreeSet, //
};

use super::message::VersionEntry;
use crate::model::{
    DaemonId,
    Version, //
};

/// Entries of one gossip message at most, which bounds its size.
const BATCH: usize = 128;
/// Entries that are repeated at once, in case a full queue dropped them.
const REPEAT: usize = 16;

/// Who a link leads to.
#[derive(Debug)]
struct Link {
    /// Whether it stays in the own data centre.
    is_near: bool,
    /// Entries that the peer may lack.
    pending: BTreeSet<DaemonId>,
}

/// The versions of all daemons as far as they are known, and what each linked peer may lack.
///
/// A daemon that learns an entry from outside its data centre passes it to all its links; one that
/// learns it from inside passes it only to its links outside, because the daemons of a data centre
/// are fully linked. So each entry crosses each link about once.
#[derive(Debug, Default)]
pub struct Versions {
    known: BTreeMap<DaemonId, (u64, Version)>,
    links: BTreeMap<DaemonId, Link>,
    /// VersionEntry after which the next repetition starts.
    cursor: Option<DaemonId>,
}

impl Versions {
    /// Takes in an entry that `from` sent; `None` for the daemon's own entry. An entry of an older
    /// start or with a lower version changes nothing.
    ///
    /// # Examples
    ///
    /// ```
    /// use cuminloom::peer::{VersionEntry, Versions};
    /// let mut versions = Versions::default();
    /// let entry = |started, version| VersionEntry { id: "vm-1".into(), started, version };
    /// versions.learn(None, &entry(1, 7));
    /// versions.learn(None, &entry(1, 6));
    /// assert_eq!(versions.get("vm-1"), Some(7));
    /// // A daemon that started again has no configuration at first.
    /// versions.learn(None, &entry(2, 0));
    /// assert_eq!(versions.get("vm-1"), Some(0));
    /// ```
    pub fn learn(&mut self, from: Option<&DaemonId>, entry: &VersionEntry) {
        let new = (entry.started, entry.version);
        let old = self.known.get(&entry.id).copied();
        if let Some(link) = from.and_then(|from| self.links.get_mut(from))
            && old.is_none_or(|old| new >= old)
        {
            link.pending.remove(&entry.id);
        }
        if old.is_some_and(|old| new <= old) {
            return;
        }
        self.known.insert(entry.id.clone(), new);
        let is_near = from.is_some_and(|from| self.links.get(from).is_some_and(|l| l.is_near));
        for (to, link) in &mut self.links {
            if Some(to) != from && *to != entry.id && !(is_near && link.is_near) {
                link.pending.insert(entry.id.clone());
            }
        }
    }

    /// Starts to gossip with `to`, beginning with all that is known; `is_near` when it is in the
    /// same data centre.
    pub(crate) fn link(&mut self, to: &DaemonId, is_near: bool) {
        let others = self.known.keys().filter(|id| *id != to);
        let pending = others.cloned().collect();
        self.links.insert(to.clone(), Link { is_near, pending });
    }

    pub(crate) fn unlink(&mut self, to: &DaemonId) {
        self.links.remove(to);
    }

    /// Takes the next message for `to`, if it may lack anything.
    pub(crate) fn take(&mut self, to: &DaemonId) -> Option<Vec<VersionEntry>> {
        let link = self.links.get_mut(to).filter(|l| !l.pending.is_empty())?;
        let rest = match link.pending.iter().nth(BATCH).cloned() {
            Some(first) => link.pending.split_off(&first),
            None => BTreeSet::new(),
        };
        let batch = std::mem::replace(&mut link.pending, rest);
        let entries = batch.into_iter().filter_map(|id| self.entry(id));
        Some(entries.collect())
    }

    /// Marks some entries as lacking at `to`, others each time.
    pub(crate) fn repeat(&mut self, to: &DaemonId) {
        let Some(link) = self.links.get_mut(to) else {
            return;
        };
        let after = |id: &&DaemonId| self.cursor.as_ref().is_none_or(|cursor| *id > cursor);
        let batch: Vec<_> = self
            .known
            .keys()
            .filter(after)
            .take(REPEAT)
            .cloned()
            .collect();
        // A short batch is the last one of the round.
        self.cursor = batch.last().filter(|_| batch.len() == REPEAT).cloned();
        link.pending.extend(batch.into_iter().filter(|id| id != to));
    }

    fn entry(&self, id: DaemonId) -> Option<VersionEntry> {
        let (started, version) = *self.known.get(&id)?;
        Some(VersionEntry {
            id,
            started,
            version,
        })
    }

    /// Version of `id`, if known.
    ///
    /// # Examples
    ///
    /// ```
    /// assert_eq!(cuminloom::peer::Versions::default().get("vm-1"), None);
    /// ```
    pub fn get(&self, id: &str) -> Option<Version> {
        self.known.get(id).map(|(_, version)| *version)
    }

    /// All known daemons with their versions.
    ///
    /// # Examples
    ///
    /// ```
    /// assert_eq!(cuminloom::peer::Versions::default().iter().count(), 0);
    /// ```
    pub fn iter(&self) -> impl Iterator<Item = (&DaemonId, Version)> {
        self.known.iter().map(|(id, (_, version))| (id, *version))
    }
}
