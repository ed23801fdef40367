//! Identifiers, token counts, request errors and the items of the configuration.

mod error;
mod item;

use std::sync::Arc;

pub use error::{
    Code,
    RequestError,
    Verdict, //
};
pub use item::{
    Configuration,
    Customer,
    KeyHash,
    Profile,
    RetryPolicy,
    Service,
    Stop,
    Target,
    TargetKind,
    Urgency, //
};

/// A number of model tokens.
pub type Tokens = u64;
/// Name of a prepaid budget.
pub type BudgetId = Arc<str>;
/// Name of a customer.
pub type CustomerId = Arc<str>;
/// Name of a profile.
pub type ProfileId = Arc<str>;
/// Name of a service (a group of targets).
pub type ServiceId = Arc<str>;
/// Name of a target.
pub type TargetId = Arc<str>;
/// Name of a daemon; it stays the same across restarts.
pub type DaemonId = Arc<str>;
/// Name of a data centre.
pub type DataCentre = Arc<str>;
/// Identifies one start of a daemon: `<daemon id>.<random 64-bit number in hex>`.
pub type Incarnation = Arc<str>;
/// Sequence number of a request within its incarnation, from 1.
pub type Seq = u64;
/// Version of the configuration or of a table row, from 1.
pub type Version = u64;

/// Identifies one request across the fleet.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct RequestId {
    /// Incarnation that accepted the request.
    pub inc: Incarnation,
    /// Sequence number of the request within the incarnation.
    pub seq: Seq,
}

impl std::fmt::Display for RequestId {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{}/{}", self.inc, self.seq)
    }
}

/// Returns the daemon id part of an incarnation.
///
/// # Examples
///
/// ```
/// assert_eq!(cuminloom::model::daemon_of("vm-1.00ff"), "vm-1");
/// ```
pub fn daemon_of(inc: &str) -> &str {
    inc.rsplit_once('.').map_or(inc, |(id, _)| id)
}
