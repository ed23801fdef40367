//! Edits of items and how they are written.

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

/// Kind of an item.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ItemKind {
    /// Somebody whose services send requests.
    Customer,
    /// How a kind of work is treated.
    Profile,
    /// A named group of targets.
    Service,
    /// A planned stop.
    Stop,
}

impl ItemKind {
    /// All kinds, in the order in which items refer to each other.
    pub const ALL: [ItemKind; 4] = [
        ItemKind::Customer,
        ItemKind::Service,
        ItemKind::Profile,
        ItemKind::Stop,
    ];

    /// Name of the kind.
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

    /// Name of the collection of the kind in paths.
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
    /// let fault = ItemKind::Stop.parse(br#"{"what":"vm","nam":"vm-1"}"#).unwrap_err();
    /// assert!(fault.to_string().contains("unknown field `nam`"));
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

    /// Kind of an item.
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

    /// Accepts the name and the plural.
    fn from_str(text: &str) -> Result<Self, ItemError> {
        let mut all = ItemKind::ALL.into_iter();
        all.find(|kind| kind.as_str() == text || kind.plural() == text)
            .ok_or_else(|| ItemError::new("", format!("{text:?} is no kind of item")))
    }
}

/// JSON of an item, without its kind.
pub(crate) fn item_json(item: &Item) -> serde_json::Value {
    match item {
        Item::Customer(it) => serde_json::to_value(it),
        Item::Profile(it) => serde_json::to_value(it),
        Item::Service(it) => serde_json::to_value(it),
        Item::Stop(it) => serde_json::to_value(it),
    }
    .expect("items have string keys")
}

/// A change that an operator wants.
#[derive(Clone, Debug)]
pub struct EditRequest {
    /// Kind of the item.
    pub kind: ItemKind,
    /// Name of the item.
    pub name: Arc<str>,
    /// New content; `None` deletes the item.
    pub value: Option<Item>,
    /// Version of the item that the operator saw; `None` when it must not exist.
    pub if_match: Option<Version>,
    /// Operator who asks.
    pub operator: Arc<str>,
    /// Seconds since the Unix epoch.
    pub time: u64,
    /// Identifies the request, so that repeating it has no second effect.
    pub request: Arc<str>,
}

/// An edit, the content of the object `config/edit/<version>`.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Edit {
    /// Version of the configuration that the edit makes.
    pub version: Version,
    /// Kind of the item.
    pub kind: ItemKind,
    /// Name of the item.
    pub name: Arc<str>,
    /// Content of the item; `None` when it was deleted.
    pub value: Option<Item>,
    /// Operator who asked.
    pub operator: Arc<str>,
    /// Seconds since the Unix epoch.
    pub time: u64,
    /// Identifies the operator's request.
    pub request: Arc<str>,
}

impl Edit {
    /// Whether this edit was made for the request of `change`.
    pub(super) fn is_for(&self, change: &EditRequest) -> bool {
        self.request == change.request && self.operator == change.operator
    }

    /// Whether this edit does what `change` asks for.
    pub(super) fn makes_change(&self, change: &EditRequest) -> bool {
        self.kind == change.kind
            && self.name == change.name
            && self.value.as_ref().map(item_json) == change.value.as_ref().map(item_json)
    }
}

/// Edits in the order of their versions: the content of the object `config/snapshot/<version>`,
/// and what a daemon sends to a peer.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct EditBatch {
    /// Version of the configuration after the edits.
    pub version: Version,
    /// Whether the edits make the whole configuration. Otherwise they follow each other and the
    /// receiver needs the version before the first one.
    pub full: bool,
    /// The edits.
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

/// Whether a snapshot is written at this version.
pub(super) fn is_snapshot_due(version: Version) -> bool {
    version > 0 && version.is_multiple_of(SNAPSHOT_INTERVAL)
}

/// What must be written to accept an edit: first the object, then the commit.
#[derive(Clone, Debug)]
pub struct ProposedEdit {
    /// The edit.
    pub edit: Arc<Edit>,
    /// Name and content of the object.
    pub object: (Arc<str>, Vec<u8>),
    /// Advances the head by compare-and-set.
    pub commit: Vec<Write>,
}

/// Why a change was refused. Nothing was changed.
#[derive(Clone, Debug)]
pub enum EditError {
    /// The item changed since the operator saw it; its last edit, if it is still known.
    Conflict(Option<Arc<Edit>>),
    /// There is no such item to delete.
    NotFound,
    /// The item is faulty or does not fit the others.
    Invalid(Vec<ItemError>),
    /// The request id was used for another change.
    RequestReused(Arc<Edit>),
    /// The configuration at hand is not the one that the head names.
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
