//! The accepted configuration: edits, conflicts, the configuration in force.
//!
//! An edit is decided when its object `config/edit/<version>` is written (objects are written only
//! if absent) and accepted when `config/head` names its version. A daemon that finds the object of
//! the version after the head completes it by advancing the head, so an edit whose daemon failed
//! between the two writes is neither lost nor overwritten.
//!
//! [`ConfigState`] and [`Job`] are machines without input or output; [`propose`] and [`poll`] run them
//! against the platform.

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
    EditError, //
    EditRequest,
    ItemKind,
    ProposedEdit,
};
pub use job::{
    Job,
    JobError,
    Step, //
    StepResult,
};
pub(crate) use plugin::{
    apply_config, //
    apply_stops,
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
/// Edits between two snapshot objects.
pub const SNAPSHOT_INTERVAL: u64 = 64;
/// Edits that a daemon keeps for the history, for its peers and to recognise repeated requests.
pub const MAX_HISTORY: usize = 256;
