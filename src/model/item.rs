//! Items of the configuration, as checked and used by the daemon.

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    sync::Arc,
    time::Duration, //
};

use super::{
    BudgetId,
    CustomerId,
    DataCentre,
    ProfileId,
    ServiceId,
    TargetId,
    Tokens,
    Version, //
};

/// SHA-256 of a caller's key.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct KeyHash(pub [u8; 32]);

/// Somebody whose services send requests.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Customer {
    /// Name of the customer.
    pub id: CustomerId,
    /// Hashes of the keys that its services present.
    pub keys: Vec<KeyHash>,
    /// Share of a full service relative to other customers; 1 is usual.
    pub weight: u32,
}

/// How urgent a request is.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Urgency {
    /// Somebody waits for the answer.
    Urgent,
    /// The answer may be late.
    Patient,
}

/// Whether a request may be repeated.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum RetryPolicy {
    /// Running it twice has the same effect as running it once.
    Idempotent,
    /// It must run at most once and needs an idempotency key.
    Once,
}

/// How a kind of work is treated.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Profile {
    /// Name of the profile.
    pub id: ProfileId,
    /// Customers that may use the profile.
    pub customers: Vec<CustomerId>,
    /// Service that runs the work.
    pub service: ServiceId,
    /// Budget that pays.
    pub budget: BudgetId,
    /// How urgent the work is.
    pub urgency: Urgency,
    /// Whether the work may be repeated.
    pub retry: RetryPolicy,
    /// Longest time from arrival to the first byte of the answer.
    pub deadline: Duration,
    /// Output limit sent to an engine when the caller asks for more or for none.
    pub max_output: Tokens,
    /// Charge for a call to a plain service.
    pub charge: Tokens,
}

/// What a target speaks.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum TargetKind {
    /// A model engine with the chat-completions dialect.
    Engine,
    /// A plain HTTP service.
    Plain,
}

/// One back end of a service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Target {
    /// Name of the target.
    pub id: TargetId,
    /// Where it listens.
    pub addr: SocketAddr,
    /// Data centre in which it stands.
    pub dc: DataCentre,
    /// Whether the target refuses orders with an old fencing number.
    pub fences: bool,
}

/// A named group of targets.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Service {
    /// Name of the service.
    pub id: ServiceId,
    /// What its targets speak.
    pub kind: TargetKind,
    /// Model name sent to engines.
    pub model: Arc<str>,
    /// Its targets.
    pub targets: Vec<Target>,
}

/// An operator's plan to stop a VM or a target.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Stop {
    /// The daemons on this VM finish their work and exit.
    Vm(Arc<str>),
    /// The target gets no new work.
    Target(TargetId),
}

/// The whole configuration at one version.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Configuration {
    /// Version of the last accepted edit; 0 when nothing was accepted yet.
    pub version: Version,
    /// Customers by name.
    pub customers: BTreeMap<CustomerId, Customer>,
    /// Profiles by name.
    pub profiles: BTreeMap<ProfileId, Profile>,
    /// Services by name.
    pub services: BTreeMap<ServiceId, Service>,
    /// Planned stops by name.
    pub stops: BTreeMap<Arc<str>, Stop>,
}
