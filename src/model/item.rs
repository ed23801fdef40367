//! Items of the configuration after validation.

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

/// SHA-256 of a caller's API key.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct KeyHash(pub [u8; 32]);

/// Owner of services that send requests.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Customer {
    /// Name of the customer.
    pub id: CustomerId,
    /// Hashes of the API keys that its services present.
    pub keys: Vec<KeyHash>,
    /// Share of an overloaded service relative to other customers; usually 1.
    pub weight: u32,
}

/// How urgent a request is.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Urgency {
    /// A caller waits for the response.
    Urgent,
    /// The response may be delayed.
    Patient,
}

/// Whether a request may be sent again after it may have run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum RetryPolicy {
    /// Running the request twice has the same effect as running it once.
    Idempotent,
    /// The request must run at most once and needs an idempotency key.
    Once,
}

/// How a class of requests is handled.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Profile {
    /// Name of the profile.
    pub id: ProfileId,
    /// Customers that may use the profile.
    pub customers: Vec<CustomerId>,
    /// Service that runs the requests.
    pub service: ServiceId,
    /// Budget to which the requests are charged.
    pub budget: BudgetId,
    /// How urgent the requests are.
    pub urgency: Urgency,
    /// Whether the requests may run more than once.
    pub retry: RetryPolicy,
    /// Longest time from the arrival of a request to the first byte of its response.
    pub deadline: Duration,
    /// Most output tokens per request; sent to an engine when the caller sets a higher limit or none.
    pub max_output: Tokens,
    /// Tokens charged for a request to a plain service.
    pub charge: Tokens,
}

/// Protocol of a target.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum TargetKind {
    /// A model engine with the chat completions API.
    Engine,
    /// A plain HTTP service.
    Plain,
}

/// A back end of a service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Target {
    /// Name of the target.
    pub id: TargetId,
    /// Address on which it listens.
    pub addr: SocketAddr,
    /// Its data centre.
    pub dc: DataCentre,
    /// Whether the target refuses orders with an outdated fencing number.
    pub fences: bool,
}

/// A named group of targets.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Service {
    /// Name of the service.
    pub id: ServiceId,
    /// Protocol of its targets.
    pub kind: TargetKind,
    /// Model name sent to engines.
    pub model: Arc<str>,
    /// Its targets.
    pub targets: Vec<Target>,
}

/// An operator's plan to stop a VM or a target.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Stop {
    /// The daemons on this VM finish their requests and exit.
    Vm(Arc<str>),
    /// The target gets no new requests.
    Target(TargetId),
}

/// A version of the whole configuration.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Configuration {
    /// Version of the last accepted edit; 0 before the first one.
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
