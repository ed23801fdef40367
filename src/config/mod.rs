//! The accepted configuration: edits, conflicts, the configuration in force.
//!
//! An edit is decided when its object `config/edit/<version>` is written (objects are written only
//! if absent) and accepted when `config/head` names its version. A daemon that finds the object of
//! the version after the head completes it by advancing the head, so an edit whose daemon failed
//! between the two writes is neither lost nor overwritten.
//!
//! [`Config`] and [`Job`] are machines without input or output; [`propose`] and [`poll`] run them
//! against the platform.

mod check;
mod edit;
mod job;
mod machine;
mod plugin;
mod shell;

pub(crate) use edit::body_of;
pub(crate) use shell::lock;

pub use check::{
    ItemFault,
    valid_name, //
};
pub use edit::{
    Batch,
    Change,
    Edit,
    Kind,
    Proposed,
    Refusal, //
};
pub use job::{
    Answer,
    Job,
    JobFault,
    Step, //
};
pub use machine::{
    Config,
    Received, //
};
pub(crate) use plugin::{
    follow_stops,
    put_in_force, //
};
pub use shell::{
    poll,
    propose, //
};

/// Key of the row that names the version of the last accepted edit.
pub const HEAD: &str = "config/head";
/// Edits between two snapshot objects.
pub const SNAPSHOT_EVERY: u64 = 64;
/// Edits that a daemon keeps for the history, for its peers and to recognise repeated requests.
pub const HISTORY: usize = 256;
