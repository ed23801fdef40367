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

/// Most entries in one gossip message, which bounds its size.
const MAX_BATCH_ENTRIES: usize = 128;
/// Number of entries in one repetition. Entries are repeated because a full queue may have dropped
/// them.
const REPEAT_ENTRIES: usize = 16;

/// Gossip over the link to one peer.
#[derive(Debug)]
struct GossipLink {
    /// Whether the peer is in the same data centre.
    same_dc: bool,
    /// Daemons whose entries the peer may not have.
    pending: BTreeSet<DaemonId>,
}

/// The known versions of all daemons, and the entries that each linked peer may not have.
///
/// A daemon that learns an entry from another data centre passes it on over all its links. One that
/// learns it from its own data centre passes it on only to other data centres, because the daemons
/// of a data centre are fully linked. So each entry crosses each link about once.
#[derive(Debug, Default)]
pub struct Versions {
    /// Start and version of each daemon, as in [`VersionEntry`].
    known: BTreeMap<DaemonId, (u64, Version)>,
    links: BTreeMap<DaemonId, GossipLink>,
    /// Last daemon of the previous repetition; `None` starts again at the first daemon.
    cursor: Option<DaemonId>,
}

impl Versions {
    /// Records an entry that `from` sent; `None` for the daemon's own entry. An entry of an older start
    /// of the daemon or with a lower version is ignored.
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
    /// // After a restart, a daemon has no configuration at first.
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
        let same_dc = from.is_some_and(|from| self.links.get(from).is_some_and(|l| l.same_dc));
        for (to, link) in &mut self.links {
            if Some(to) != from && *to != entry.id && !(same_dc && link.same_dc) {
                link.pending.insert(entry.id.clone());
            }
        }
    }

    /// Starts to gossip with `to`, first with all known entries. `same_dc` says whether `to` is in the
    /// same data centre.
    pub(crate) fn link(&mut self, to: &DaemonId, same_dc: bool) {
        let others = self.known.keys().filter(|id| *id != to);
        let pending = others.cloned().collect();
        self.links
            .insert(to.clone(), GossipLink { same_dc, pending });
    }

    /// Ends the gossip with `to`.
    pub(crate) fn unlink(&mut self, to: &DaemonId) {
        self.links.remove(to);
    }

    /// Returns the entries of the next message for `to`, if there are any that it may not have.
    pub(crate) fn next_batch(&mut self, to: &DaemonId) -> Option<Vec<VersionEntry>> {
        let link = self.links.get_mut(to).filter(|l| !l.pending.is_empty())?;
        let rest = match link.pending.iter().nth(MAX_BATCH_ENTRIES).cloned() {
            Some(first) => link.pending.split_off(&first),
            None => BTreeSet::new(),
        };
        let batch = std::mem::replace(&mut link.pending, rest);
        let entries = batch.into_iter().filter_map(|id| self.entry(id));
        Some(entries.collect())
    }

    /// Queues the next [`REPEAT_ENTRIES`] entries for `to` again, in the order of the daemons.
    pub(crate) fn queue_repeat(&mut self, to: &DaemonId) {
        let Some(link) = self.links.get_mut(to) else {
            return;
        };
        let after = |id: &&DaemonId| self.cursor.as_ref().is_none_or(|cursor| *id > cursor);
        let batch: Vec<_> = self
            .known
            .keys()
            .filter(after)
            .take(REPEAT_ENTRIES)
            .cloned()
            .collect();
        // A short batch ends a round over all entries.
        self.cursor = batch
            .last()
            .filter(|_| batch.len() == REPEAT_ENTRIES)
            .cloned();
        link.pending.extend(batch.into_iter().filter(|id| id != to));
    }

    /// Returns the entry of daemon `id`.
    fn entry(&self, id: DaemonId) -> Option<VersionEntry> {
        let (started, version) = *self.known.get(&id)?;
        Some(VersionEntry {
            id,
            started,
            version,
        })
    }

    /// Version that the daemon `id` has in force, if known.
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
