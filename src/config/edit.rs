//! Edits of the configuration's items, the objects that store them, and why an edit is refused.

use std::{
    error::Error,
    fmt,
    str::FromStr,
    sync::Arc, //
};

use serde::{
    Deserialize,
    Serialize, //
};

use super::{
    SNAPSHOT_INTERVAL,
    check::ItemError, //
};
use crate::{
    model::Version,
    store::Write,
    wire::item::{
        Customer,
        Item,
        Profile,
        Service,
        Stop, //
    },
};

/// Kind of a configuration item.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ItemKind {
    /// An organisation that sends requests, with its keys.
    Customer,
    /// How one class of requests is treated: service, budget, urgency and deadline.
    Profile,
    /// A named group of targets that serve the same model.
    Service,
    /// A planned stop of a VM or a target.
    Stop,
}

impl ItemKind {
    /// All kinds, each after the kinds to which its items refer.
    pub const ALL: [ItemKind; 4] = [
        ItemKind::Customer,
        ItemKind::Service,
        ItemKind::Profile,
        ItemKind::Stop,
    ];

    /// Name of the kind in settings, paths and messages.
    ///
    /// # Examples
    ///
    /// ```
    /// assert_eq!(cuminloom::config::ItemKind::Stop.as_str(), "stop");
    /// ```
    pub fn as_str(self) -> &'static str {
        match self {
            ItemKind::Customer => "customer",
            ItemKind::Profile => "profile",
            ItemKind::Service => "service",
            ItemKind::Stop => "stop",
        }
    }

    /// Name of the collection of this kind in the paths of the admin interface.
    ///
    /// # Examples
    ///
    /// ```
    /// assert_eq!(cuminloom::config::ItemKind::Stop.plural(), "stops");
    /// ```
    pub fn plural(self) -> &'static str {
        match self {
            ItemKind::Customer => "customers",
            ItemKind::Profile => "profiles",
            ItemKind::Service => "services",
            ItemKind::Stop => "stops",
        }
    }

    /// Parses the JSON body of an item of this kind.
    ///
    /// # Errors
    ///
    /// Fails when a field is missing, unknown or of the wrong type.
    ///
    /// # Examples
    ///
    /// ```
    /// use cuminloom::config::ItemKind;
    /// assert!(ItemKind::Stop.parse(br#"{"what":"vm","name":"vm-1"}"#).is_ok());
    /// let error = ItemKind::Stop.parse(br#"{"what":"vm","nam":"vm-1"}"#).unwrap_err();
    /// assert!(error.to_string().contains("unknown field `nam`"));
    /// ```
    pub fn parse(self, body: &[u8]) -> Result<Item, ItemError> {
        let item = match self {
            ItemKind::Customer => serde_json::from_slice::<Customer>(body).map(Item::from),
            ItemKind::Profile => serde_json::from_slice::<Profile>(body).map(Item::from),
            ItemKind::Service => serde_json::from_slice::<Service>(body).map(Item::from),
            ItemKind::Stop => serde_json::from_slice::<Stop>(body).map(Item::from),
        };
        item.map_err(|err| ItemError::new(self.as_str(), err.to_string()))
    }

    /// The kind of an item.
    ///
    /// # Examples
    ///
    /// ```
    /// use cuminloom::config::ItemKind;
    /// let item = ItemKind::Customer.parse(br#"{"keys":[]}"#).unwrap();
    /// assert_eq!(ItemKind::of(&item), ItemKind::Customer);
    /// ```
    pub fn of(item: &Item) -> Self {
        match item {
            Item::Customer(_) => ItemKind::Customer,
            Item::Profile(_) => ItemKind::Profile,
            Item::Service(_) => ItemKind::Service,
            Item::Stop(_) => ItemKind::Stop,
        }
    }
}

impl fmt::Display for ItemKind {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}

impl FromStr for ItemKind {
    type Err = ItemError;

    /// Parses the name or the plural of a kind.
    fn from_str(text: &str) -> Result<Self, ItemError> {
        let mut all = ItemKind::ALL.into_iter();
        all.find(|kind| kind.as_str() == text || kind.plural() == text)
            .ok_or_else(|| ItemError::new("", format!("{text:?} is no kind of item")))
    }
}

/// JSON of an item without its kind, as [`ItemKind::parse`] reads it.
pub(crate) fn item_json(item: &Item) -> serde_json::Value {
    match item {
        Item::Customer(it) => serde_json::to_value(it),
        Item::Profile(it) => serde_json::to_value(it),
        Item::Service(it) => serde_json::to_value(it),
        Item::Stop(it) => serde_json::to_value(it),
    }
    .expect("items have string keys")
}

/// An operator's request to write or delete one item.
#[derive(Clone, Debug)]
pub struct EditRequest {
    /// Kind of the item.
    pub kind: ItemKind,
    /// Name of the item.
    pub name: Arc<str>,
    /// New content of the item; `None` deletes it.
    pub value: Option<Item>,
    /// Version of the item on which the request is based; `None` when the item must not exist.
    pub if_match: Option<Version>,
    /// Operator who sent the request.
    pub operator: Arc<str>,
    /// Time of the request, in seconds since the Unix epoch.
    pub time: u64,
    /// Id of the request; a repeated request with the same id has no second effect.
    pub request: Arc<str>,
}

/// An edit of one item: the content of the object `config/edit/<version>`.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Edit {
    /// Version of the configuration that results from the edit.
    pub version: Version,
    /// Kind of the item.
    pub kind: ItemKind,
    /// Name of the item.
    pub name: Arc<str>,
    /// Content of the item; `None` when it was deleted.
    pub value: Option<Item>,
    /// Operator who requested the edit.
    pub operator: Arc<str>,
    /// Time of the request, in seconds since the Unix epoch.
    pub time: u64,
    /// Id of the operator's request.
    pub request: Arc<str>,
}

impl Edit {
    /// Whether this edit carries the request id and the operator of `change`.
    pub(super) fn is_for(&self, change: &EditRequest) -> bool {
        self.request == change.request && self.operator == change.operator
    }

    /// Whether this edit has the same item and content as `change`.
    pub(super) fn makes_change(&self, change: &EditRequest) -> bool {
        self.kind == change.kind
            && self.name == change.name
            && self.value.as_ref().map(item_json) == change.value.as_ref().map(item_json)
    }
}

/// Edits in the order of their versions: the content of the object `config/snapshot/<version>`,
/// and the form in which a daemon sends edits to a peer.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct EditBatch {
    /// Version of the configuration after the edits.
    pub version: Version,
    /// Whether the edits make up the whole configuration. Otherwise their versions are consecutive,
    /// and the receiver needs the version before the first one.
    pub full: bool,
    /// Edits by rising version.
    pub edits: Vec<Arc<Edit>>,
}

/// Name of the object that holds an edit.
pub(super) fn edit_name(version: Version) -> Arc<str> {
    format!("config/edit/{version}").into()
}

/// Name of the object that holds a snapshot.
pub(super) fn snapshot_name(version: Version) -> Arc<str> {
    format!("config/snapshot/{version}").into()
}

/// Whether a snapshot object is written at this version.
pub(super) fn is_snapshot_due(version: Version) -> bool {
    version > 0 && version.is_multiple_of(SNAPSHOT_INTERVAL)
}

/// An edit with the writes that get it accepted: first the object, then the commit.
#[derive(Clone, Debug)]
pub struct ProposedEdit {
    /// The edit itself.
    pub edit: Arc<Edit>,
    /// Name and content of the edit object.
    pub object: (Arc<str>, Vec<u8>),
    /// Writes that advance the head by compare-and-set.
    pub commit: Vec<Write>,
}

/// Why an edit was refused. The configuration is unchanged.
#[derive(Clone, Debug)]
pub enum EditError {
    /// The item is not at the expected version. Holds its last edit, if that is still known.
    Conflict(Option<Arc<Edit>>),
    /// The item to delete does not exist.
    NotFound,
    /// The item is invalid or conflicts with other items.
    Invalid(Vec<ItemError>),
    /// The request id was already used for a different edit, which is given.
    RequestReused(Arc<Edit>),
    /// The local configuration is not at the version that the head names.
    Outdated,
}

impl fmt::Display for EditError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            EditError::Conflict(Some(edit)) => write!(
                f,
                "{} {:?} was changed by {} in version {}",
                edit.kind, edit.name, edit.operator, edit.version
            ),
            EditError::Conflict(None) => f.write_str("the item is not at the expected version"),
            EditError::NotFound => f.write_str("there is no such item"),
            EditError::Invalid(errors) => {
                let texts: Vec<String> = errors.iter().map(ToString::to_string).collect();
                f.write_str(&texts.join("; "))
            }
            EditError::RequestReused(edit) => {
                write!(
                    f,
                    "the request id belongs to the edit of version {}",
                    edit.version
                )
            }
            EditError::Outdated => f.write_str("the configuration is behind the head"),
        }
    }
}

impl Error for EditError {}
