//! The replicated configuration: edits by operators, their conflicts, and the version in force.
//!
//! The content of a version is fixed when the object `config/edit/<version>` is written (objects are
//! written only if absent). The edit is accepted when the row `config/head` names its version. A
//! daemon that finds an edit object after the head advances the head to it, so an edit whose daemon
//! failed between the two writes is neither lost nor overwritten.
//!
//! [`ConfigState`] and [`Job`] are state machines without I/O; [`propose`] and [`poll`] run them
//! against the store.

mod check;
mod edit;
mod job;
mod plugin;
mod run;
mod state;

pub(crate) use edit::item_json;
pub(crate) use run::lock_config;

pub use check::{
    ItemError,
    is_valid_name, //
};
pub use edit::{
    Edit,
    EditBatch,
    EditError,
    EditRequest,
    ItemKind,
    ProposedEdit, //
};
pub use job::{
    Job,
    JobError,
    Step,
    StepResult, //
};
pub(crate) use plugin::{
    apply_config,
    apply_stops, //
};
pub use run::{
    poll,
    propose, //
};
pub use state::{
    ConfigState,
    ReceiveOutcome, //
};

/// Key of the row that names the version of the last accepted edit.
pub const HEAD_KEY: &str = "config/head";
/// Number of edits from one snapshot object to the next.
pub const SNAPSHOT_INTERVAL: u64 = 64;
/// Number of recent edits that a daemon keeps: for the history, for its peers and to recognise
/// repeated requests.
pub const MAX_HISTORY: usize = 256;
