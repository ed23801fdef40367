//! The configuration in force at one daemon.

use std::{
    collections::{
        BTreeMap,
        VecDeque, //
    },
    sync::Arc, //
};

use super::{
    HEAD, HISTORY, SNAPSHOT_EVERY,
    check::{
        Checked,
        ItemFault,
        convert,
        fits,
        removable, //
    },
    edit::{
        Batch,
        Change,
        Edit,
        Kind,
        Proposed,
        Refusal,
        edit_name, //
    },
};
use crate::{
    model::{
        Configuration,
        Version, //
    },
    store::{
        self,
        Precondition,
        Write, //
    },
};

/// What became of edits that a daemon received.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Received {
    /// The configuration advanced to this version.
    Advanced(Version),
    /// Nothing new; also the answer to an old version that arrives late.
    Stale,
    /// Edits between the version in force and the received ones are missing.
    Gap,
}

/// The configuration in force, the last edit of each item and the recent edits.
#[derive(Clone, Debug, Default)]
pub struct Config {
    current: Arc<Configuration>,
    announced: Version,
    items: BTreeMap<(Kind, Arc<str>), Arc<Edit>>,
    history: VecDeque<Arc<Edit>>,
}

impl Config {
    /// The configuration in force.
    ///
    /// # Examples
    ///
    /// ```
    /// assert_eq!(cuminloom::config::Config::default().current().version, 0);
    /// ```
    pub fn current(&self) -> Arc<Configuration> {
        self.current.clone()
    }

    /// Version of the configuration in force.
    ///
    /// # Examples
    ///
    /// ```
    /// assert_eq!(cuminloom::config::Config::default().version(), 0);
    /// ```
    pub fn version(&self) -> Version {
        self.current.version
    }

    /// Takes note of a version that a peer or the head named; returns whether it must be fetched.
    ///
    /// # Examples
    ///
    /// ```
    /// let mut config = cuminloom::config::Config::default();
    /// assert!(config.notice(3));
    /// assert!(config.notice(2), "version 3 is still missing");
    /// ```
    pub fn notice(&mut self, version: Version) -> bool {
        self.announced = self.announced.max(version);
        self.announced > self.version()
    }

    /// Last edit of an item that exists.
    ///
    /// # Examples
    ///
    /// ```
    /// use cuminloom::config::{Config, Kind};
    /// assert!(Config::default().item(Kind::Profile, "chat").is_none());
    /// ```
    pub fn item(&self, kind: Kind, name: &str) -> Option<&Arc<Edit>> {
        self.items.get(&(kind, name.into()))
    }

    /// Last edits of all items of a kind, by name.
    ///
    /// # Examples
    ///
    /// ```
    /// use cuminloom::config::{Config, Kind};
    /// assert_eq!(Config::default().items(Kind::Profile).count(), 0);
    /// ```
    pub fn items(&self, kind: Kind) -> impl Iterator<Item = &Arc<Edit>> {
        let all = self.items.iter();
        all.filter(move |((other, _), _)| *other == kind)
            .map(|(_, edit)| edit)
    }

    /// The recent edits, oldest first; at most [`HISTORY`].
    ///
    /// # Examples
    ///
    /// ```
    /// assert_eq!(cuminloom::config::Config::default().history().count(), 0);
    /// ```
    pub fn history(&self) -> impl DoubleEndedIterator<Item = &Arc<Edit>> {
        self.history.iter()
    }

    /// The accepted edit that was made for the request of `change`, if it is recent.
    pub(super) fn recorded(&self, change: &Change) -> Option<Result<Arc<Edit>, Refusal>> {
        let edit = self.history.iter().find(|edit| edit.answers(change))?;
        Some(match edit.does(change) {
            true => Ok(edit.clone()),
            false => Err(Refusal::Reused(edit.clone())),
        })
    }

    /// Checks a change against the configuration in force and says what to write. `head` is the
    /// row [`HEAD`] as it was read.
    ///
    /// # Errors
    ///
    /// Fails with the [`Refusal`]; for a conflict it holds the other edit.
    ///
    /// # Examples
    ///
    /// ```
    /// use cuminloom::config::{Change, Config, Kind};
    /// let change = Change {
    ///     kind: Kind::Stop,
    ///     name: "friday".into(),
    ///     value: Some(Kind::Stop.parse(br#"{"what":"vm","name":"vm-1"}"#).unwrap()),
    ///     if_match: None,
    ///     operator: "ann".into(),
    ///     time: 0,
    ///     request: "1".into(),
    /// };
    /// let proposed = Config::default().edit(&change, None).unwrap();
    /// assert_eq!(&*proposed.object.0, "config/edit/1");
    /// ```
    pub fn edit(&self, change: &Change, head: Option<&store::Row>) -> Result<Proposed, Refusal> {
        if head_version(head) != self.version() {
            return Err(Refusal::Behind);
        }
        self.matches(change)?;
        self.acceptable(change)?;
        let edit = Edit {
            version: self.version() + 1,
            kind: change.kind,
            name: change.name.clone(),
            value: change.value.clone(),
            operator: change.operator.clone(),
            time: change.time,
            request: change.request.clone(),
        };
        let body = serde_json::to_vec(&edit).expect("edits have string keys");
        Ok(Proposed {
            object: (edit_name(edit.version), body),
            commit: vec![advance(head, edit.version)],
            edit: Arc::new(edit),
        })
    }

    fn matches(&self, change: &Change) -> Result<(), Refusal> {
        let item = self.item(change.kind, &change.name);
        if item.map(|edit| edit.version) == change.if_match {
            if item.is_none() && change.value.is_none() {
                return Err(Refusal::Missing);
            }
            return Ok(());
        }
        // The last edit of a deleted item is in the history only.
        let touches = |edit: &&Arc<Edit>| edit.kind == change.kind && edit.name == change.name;
        let last = item.or_else(|| self.history.iter().rev().find(touches));
        Err(Refusal::Conflict(last.cloned()))
    }

    fn acceptable(&self, change: &Change) -> Result<(), Refusal> {
        let faults = match &change.value {
            None => removable(change.kind, &change.name, &self.current),
            Some(item) if Kind::of(item) != change.kind => {
                let message = format!("is a {}, not a {}", Kind::of(item), change.kind);
                vec![ItemFault::new("", message)]
            }
            Some(item) => {
                let checked = convert(&change.name, item).map_err(Refusal::Invalid)?;
                fits(&checked, &change.name, &self.current)
            }
        };
        match faults.is_empty() {
            true => Ok(()),
            false => Err(Refusal::Invalid(faults)),
        }
    }

    /// Applies edits that were accepted, from the platform or a peer. A version that is in force or
    /// older is ignored, in whatever order the edits arrive.
    ///
    /// # Errors
    ///
    /// Fails when an edit cannot be converted, for example one of a newer program; the
    /// configuration stays as it is.
    ///
    /// # Examples
    ///
    /// ```
    /// use cuminloom::config::{Batch, Config, Received};
    /// let mut config = Config::default();
    /// let batch = Batch { version: 0, full: true, edits: Vec::new() };
    /// assert_eq!(config.receive(&batch), Ok(Received::Stale));
    /// ```
    pub fn receive(&mut self, batch: &Batch) -> Result<Received, Vec<ItemFault>> {
        if batch.version <= self.version() {
            return Ok(Received::Stale);
        }
        let mut next = match batch.full {
            true => Config::default(),
            false => self.clone(),
        };
        for edit in &batch.edits {
            if !batch.full && edit.version <= next.version() {
                continue;
            }
            if !batch.full && edit.version != next.version() + 1 {
                return Ok(Received::Gap);
            }
            next.apply(edit)?;
        }
        if next.version() != batch.version {
            return Ok(Received::Gap);
        }
        assert!(next.version() > self.version(), "a version was lowered");
        next.announced = self.announced;
        *self = next;
        Ok(Received::Advanced(self.version()))
    }

    fn apply(&mut self, edit: &Arc<Edit>) -> Result<(), Vec<ItemFault>> {
        assert!(edit.version > self.version(), "a version was lowered");
        let checked = edit.value.as_ref().map(|item| convert(&edit.name, item));
        let current = Arc::make_mut(&mut self.current);
        set(current, edit, checked.transpose()?);
        current.version = edit.version;
        let key = (edit.kind, edit.name.clone());
        match edit.value {
            Some(_) => self.items.insert(key, edit.clone()),
            None => self.items.remove(&key),
        };
        // A full batch starts with old edits that do not follow each other.
        if self
            .history
            .back()
            .is_some_and(|last| last.version + 1 != edit.version)
        {
            self.history.clear();
        }
        self.history.push_back(edit.clone());
        if self.history.len() > HISTORY {
            self.history.pop_front();
        }
        Ok(())
    }

    /// The edits after `version` for a peer that has this version.
    ///
    /// # Examples
    ///
    /// ```
    /// let batch = cuminloom::config::Config::default().since(0);
    /// assert!(batch.edits.is_empty());
    /// ```
    pub fn since(&self, version: Version) -> Batch {
        let first = self.history.front().map(|edit| edit.version);
        if first.is_none_or(|first| first > version + 1) {
            return self.snapshot();
        }
        let edits = self.history.iter();
        Batch {
            version: self.version(),
            full: false,
            edits: edits
                .filter(|edit| edit.version > version)
                .cloned()
                .collect(),
        }
    }

    /// The whole configuration: the last edit of each item, and the last [`SNAPSHOT_EVERY`] edits
    /// so that conflicts and repeated requests are still recognised.
    ///
    /// # Examples
    ///
    /// ```
    /// assert!(cuminloom::config::Config::default().snapshot().full);
    /// ```
    pub fn snapshot(&self) -> Batch {
        let from = self.version().saturating_sub(SNAPSHOT_EVERY);
        let recent = self.history.iter().filter(|edit| edit.version > from);
        let all: BTreeMap<Version, &Arc<Edit>> = self
            .items
            .values()
            .chain(recent)
            .map(|edit| (edit.version, edit))
            .collect();
        Batch {
            version: self.version(),
            full: true,
            edits: all.into_values().cloned().collect(),
        }
    }
}

fn set(config: &mut Configuration, edit: &Edit, item: Option<Checked>) {
    let name = edit.name.clone();
    match item {
        Some(Checked::Customer(it)) => drop(config.customers.insert(name, it)),
        Some(Checked::Profile(it)) => drop(config.profiles.insert(name, it)),
        Some(Checked::Service(it)) => drop(config.services.insert(name, it)),
        Some(Checked::Stop(it)) => drop(config.stops.insert(name, it)),
        None => match edit.kind {
            Kind::Customer => drop(config.customers.remove(&name)),
            Kind::Profile => drop(config.profiles.remove(&name)),
            Kind::Service => drop(config.services.remove(&name)),
            Kind::Stop => drop(config.stops.remove(&name)),
        },
    }
}

/// Version that the row [`HEAD`] names; 0 when there is no row.
pub(super) fn head_version(head: Option<&store::Row>) -> Version {
    head.and_then(|row| row.value.get("version")?.as_u64())
        .unwrap_or(0)
}

/// Advances the head. It applies only to the row that was read, so a delayed write of a lower
/// version is refused.
pub(super) fn advance(head: Option<&store::Row>, version: Version) -> Write {
    Write {
        key: HEAD.into(),
        precondition: head.map_or(Precondition::Absent, |row| {
            Precondition::Version(row.version)
        }),
        change: store::Change::Put(serde_json::json!({ "version": version })),
    }
}
