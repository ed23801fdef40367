//! What a daemon tells the others of what it has seen.

use serde::{
    Deserialize,
    Serialize, //
};

use super::{
    LeavingReport,
    LimitReport,
    StreamReport,
    SuspectReport,
    UnresolvedReport, //
};

/// What a daemon has seen, in its row and in its replies to other daemons.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Observations {
    /// Requests and prompt parts that crash runners.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub suspects: Vec<SuspectReport>,
    /// Requests that a daemon that stops has given up, and that runners may still run.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub unresolved: Vec<UnresolvedReport>,
    /// Limits that runners name.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub limits: Vec<LimitReport>,
    /// Runners that leave.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub leaving: Vec<LeavingReport>,
    /// Streams of which others can't work out the version that began them.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub streams: Vec<StreamReport>,
}
