//! The configuration at one daemon as a state machine: proposes and applies edits.

use std::{
    collections::{
        BTreeMap,
        VecDeque, //
    },
    sync::Arc, //
};

use super::{
    HEAD_KEY, MAX_HISTORY, SNAPSHOT_INTERVAL,
    check::{
        CheckedItem,
        ItemError,
        check_references,
        check_removal,
        convert, //
    },
    edit::{
        Edit,
        EditBatch,
        EditError,
        EditRequest,
        ItemKind,
        ProposedEdit,
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

/// What happened to received edits.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReceiveOutcome {
    /// The configuration advanced to this version.
    Advanced(Version),
    /// The edits contain nothing new, for example because they arrived late.
    Stale,
    /// Edits between the version in force and the received edits are missing.
    Gap,
}

/// The configuration in force, the last edit of each item and the recent edits.
#[derive(Clone, Debug, Default)]
pub struct ConfigState {
    current: Arc<Configuration>,
    /// Highest version that a peer or the head has named.
    announced: Version,
    /// Last edit of each item that exists.
    items: BTreeMap<(ItemKind, Arc<str>), Arc<Edit>>,
    /// Recent edits with consecutive versions, oldest first.
    history: VecDeque<Arc<Edit>>,
}

impl ConfigState {
    /// The configuration in force.
    ///
    /// # Examples
    ///
    /// ```
    /// assert_eq!(cuminloom::config::ConfigState::default().current().version, 0);
    /// ```
    pub fn current(&self) -> Arc<Configuration> {
        self.current.clone()
    }

    /// Version of the configuration in force.
    ///
    /// # Examples
    ///
    /// ```
    /// assert_eq!(cuminloom::config::ConfigState::default().version(), 0);
    /// ```
    pub fn version(&self) -> Version {
        self.current.version
    }

    /// Records a version that a peer or the head named; returns whether newer edits must be fetched.
    ///
    /// # Examples
    ///
    /// ```
    /// let mut config = cuminloom::config::ConfigState::default();
    /// assert!(config.record_announced(3));
    /// assert!(config.record_announced(2), "version 3 is still missing");
    /// ```
    pub fn record_announced(&mut self, version: Version) -> bool {
        self.announced = self.announced.max(version);
        self.announced > self.version()
    }

    /// The last edit of an item, if the item exists.
    ///
    /// # Examples
    ///
    /// ```
    /// use cuminloom::config::{ConfigState, ItemKind};
    /// assert!(ConfigState::default().item(ItemKind::Profile, "chat").is_none());
    /// ```
    pub fn item(&self, kind: ItemKind, name: &str) -> Option<&Arc<Edit>> {
        self.items.get(&(kind, name.into()))
    }

    /// The last edits of all items of a kind, sorted by name.
    ///
    /// # Examples
    ///
    /// ```
    /// use cuminloom::config::{ConfigState, ItemKind};
    /// assert_eq!(ConfigState::default().items(ItemKind::Profile).count(), 0);
    /// ```
    pub fn items(&self, kind: ItemKind) -> impl Iterator<Item = &Arc<Edit>> {
        let all = self.items.iter();
        all.filter(move |((other, _), _)| *other == kind)
            .map(|(_, edit)| edit)
    }

    /// The recent edits, oldest first; at most [`MAX_HISTORY`].
    ///
    /// # Examples
    ///
    /// ```
    /// assert_eq!(cuminloom::config::ConfigState::default().history().count(), 0);
    /// ```
    pub fn history(&self) -> impl DoubleEndedIterator<Item = &Arc<Edit>> {
        self.history.iter()
    }

    /// The recent edit that was accepted for the request of `change`, if any; an error when the request
    /// id was used for a different edit.
    pub(super) fn find_recorded(
        &self,
        change: &EditRequest,
    ) -> Option<Result<Arc<Edit>, EditError>> {
        let edit = self.history.iter().find(|edit| edit.is_for(change))?;
        Some(match edit.makes_change(change) {
            true => Ok(edit.clone()),
            false => Err(EditError::RequestReused(edit.clone())),
        })
    }

    /// Checks a requested edit against the configuration in force and returns the writes that get it
    /// accepted. `head` is the row [`HEAD_KEY`] as it was read.
    ///
    /// # Errors
    ///
    /// Fails with an [`EditError`]; for a conflict it holds the other edit.
    ///
    /// # Examples
    ///
    /// ```
    /// use cuminloom::config::{EditRequest, ConfigState, ItemKind};
    /// let change = EditRequest {
    ///     kind: ItemKind::Stop,
    ///     name: "friday".into(),
    ///     value: Some(ItemKind::Stop.parse(br#"{"what":"vm","name":"vm-1"}"#).unwrap()),
    ///     if_match: None,
    ///     operator: "ann".into(),
    ///     time: 0,
    ///     request: "1".into(),
    /// };
    /// let proposed = ConfigState::default().prepare_edit(&change, None).unwrap();
    /// assert_eq!(&*proposed.object.0, "config/edit/1");
    /// ```
    pub fn prepare_edit(
        &self,
        change: &EditRequest,
        head: Option<&store::Row>,
    ) -> Result<ProposedEdit, EditError> {
        if head_version(head) != self.version() {
            return Err(EditError::Outdated);
        }
        self.check_version(change)?;
        self.check_item(change)?;
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
        Ok(ProposedEdit {
            object: (edit_name(edit.version), body),
            commit: vec![advance(head, edit.version)],
            edit: Arc::new(edit),
        })
    }

    /// Checks that the item is at the version that the request expects.
    fn check_version(&self, change: &EditRequest) -> Result<(), EditError> {
        let item = self.item(change.kind, &change.name);
        if item.map(|edit| edit.version) == change.if_match {
            if item.is_none() && change.value.is_none() {
                return Err(EditError::NotFound);
            }
            return Ok(());
        }
        // The last edit of a deleted item is in the history only.
        let touches = |edit: &&Arc<Edit>| edit.kind == change.kind && edit.name == change.name;
        let last = item.or_else(|| self.history.iter().rev().find(touches));
        Err(EditError::Conflict(last.cloned()))
    }

    /// Checks the item of a request by itself and against the other items.
    fn check_item(&self, change: &EditRequest) -> Result<(), EditError> {
        let errors = match &change.value {
            None => check_removal(change.kind, &change.name, &self.current),
            Some(item) if ItemKind::of(item) != change.kind => {
                let message = format!("is a {}, not a {}", ItemKind::of(item), change.kind);
                vec![ItemError::new("", message)]
            }
            Some(item) => {
                let checked = convert(&change.name, item).map_err(EditError::Invalid)?;
                check_references(&checked, &change.name, &self.current)
            }
        };
        match errors.is_empty() {
            true => Ok(()),
            false => Err(EditError::Invalid(errors)),
        }
    }

    /// Applies accepted edits that come from the store or a peer. A batch at or below the version in
    /// force is ignored, so batches may arrive in any order.
    ///
    /// # Errors
    ///
    /// Fails when an edit can't be converted, for example one of a newer release; the configuration
    /// is unchanged.
    ///
    /// # Examples
    ///
    /// ```
    /// use cuminloom::config::{EditBatch, ConfigState, ReceiveOutcome};
    /// let mut config = ConfigState::default();
    /// let batch = EditBatch { version: 0, full: true, edits: Vec::new() };
    /// assert_eq!(config.apply_batch(&batch), Ok(ReceiveOutcome::Stale));
    /// ```
    pub fn apply_batch(&mut self, batch: &EditBatch) -> Result<ReceiveOutcome, Vec<ItemError>> {
        if batch.version <= self.version() {
            return Ok(ReceiveOutcome::Stale);
        }
        let mut next = match batch.full {
            true => ConfigState::default(),
            false => self.clone(),
        };
        for edit in &batch.edits {
            if !batch.full && edit.version <= next.version() {
                continue;
            }
            if !batch.full && edit.version != next.version() + 1 {
                return Ok(ReceiveOutcome::Gap);
            }
            next.apply(edit)?;
        }
        if next.version() != batch.version {
            return Ok(ReceiveOutcome::Gap);
        }
        assert!(next.version() > self.version(), "a version was lowered");
        next.announced = self.announced;
        *self = next;
        Ok(ReceiveOutcome::Advanced(self.version()))
    }

    /// Applies one edit of a higher version.
    fn apply(&mut self, edit: &Arc<Edit>) -> Result<(), Vec<ItemError>> {
        assert!(edit.version > self.version(), "a version was lowered");
        let checked = edit.value.as_ref().map(|item| convert(&edit.name, item));
        let current = Arc::make_mut(&mut self.current);
        apply_item(current, edit, checked.transpose()?);
        current.version = edit.version;
        let key = (edit.kind, edit.name.clone());
        match edit.value {
            Some(_) => self.items.insert(key, edit.clone()),
            None => self.items.remove(&key),
        };
        // The first edits of a full batch are old and not consecutive; the history has no gaps.
        if self
            .history
            .back()
            .is_some_and(|last| last.version + 1 != edit.version)
        {
            self.history.clear();
        }
        self.history.push_back(edit.clone());
        if self.history.len() > MAX_HISTORY {
            self.history.pop_front();
        }
        Ok(())
    }

    /// The edits after `version`, for a peer that has this version; a snapshot when older edits are
    /// needed than the history holds.
    ///
    /// # Examples
    ///
    /// ```
    /// let batch = cuminloom::config::ConfigState::default().edits_since(0);
    /// assert!(batch.edits.is_empty());
    /// ```
    pub fn edits_since(&self, version: Version) -> EditBatch {
        let first = self.history.front().map(|edit| edit.version);
        if first.is_none_or(|first| first > version + 1) {
            return self.snapshot();
        }
        let edits = self.history.iter();
        EditBatch {
            version: self.version(),
            full: false,
            edits: edits
                .filter(|edit| edit.version > version)
                .cloned()
                .collect(),
        }
    }

    /// The whole configuration: the last edit of each item, and the last [`SNAPSHOT_INTERVAL`] edits,
    /// by which the receiver still recognises conflicts and repeated requests.
    ///
    /// # Examples
    ///
    /// ```
    /// assert!(cuminloom::config::ConfigState::default().snapshot().full);
    /// ```
    pub fn snapshot(&self) -> EditBatch {
        let from = self.version().saturating_sub(SNAPSHOT_INTERVAL);
        let recent = self.history.iter().filter(|edit| edit.version > from);
        let all: BTreeMap<Version, &Arc<Edit>> = self
            .items
            .values()
            .chain(recent)
            .map(|edit| (edit.version, edit))
            .collect();
        EditBatch {
            version: self.version(),
            full: true,
            edits: all.into_values().cloned().collect(),
        }
    }
}

/// Writes or removes one item of the model.
fn apply_item(config: &mut Configuration, edit: &Edit, item: Option<CheckedItem>) {
    let name = edit.name.clone();
    match item {
        Some(CheckedItem::Customer(it)) => drop(config.customers.insert(name, it)),
        Some(CheckedItem::Profile(it)) => drop(config.profiles.insert(name, it)),
        Some(CheckedItem::Service(it)) => drop(config.services.insert(name, it)),
        Some(CheckedItem::Stop(it)) => drop(config.stops.insert(name, it)),
        None => match edit.kind {
            ItemKind::Customer => drop(config.customers.remove(&name)),
            ItemKind::Profile => drop(config.profiles.remove(&name)),
            ItemKind::Service => drop(config.services.remove(&name)),
            ItemKind::Stop => drop(config.stops.remove(&name)),
        },
    }
}

/// Version that the row [`HEAD_KEY`] names; 0 when there is no row.
pub(super) fn head_version(head: Option<&store::Row>) -> Version {
    head.and_then(|row| row.value.get("version")?.as_u64())
        .unwrap_or(0)
}

/// The write that advances the head to `version`. It applies only to the row that was read, so a
/// delayed write of a lower version fails.
pub(super) fn advance(head: Option<&store::Row>, version: Version) -> Write {
    Write {
        key: HEAD_KEY.into(),
        precondition: head.map_or(Precondition::Absent, |row| {
            Precondition::Version(row.version)
        }),
        change: store::Change::Put(serde_json::json!({ "version": version })),
    }
}
