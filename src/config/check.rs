//! Validates the items of the configuration and converts them to the types of the model.

use std::{
    collections::BTreeSet,
    error::Error,
    fmt,
    net::SocketAddr,
    sync::Arc,
    time::Duration, //
};

use super::edit::ItemKind;
use crate::{
    model::{
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
    },
    wire::item as wire,
};

/// Longest deadline of a profile: one day.
const MAX_DEADLINE_MS: u64 = 86_400_000;
/// Largest output limit or charge of a profile; keeps sums of reserved tokens within 64 bits.
const MAX_TOKENS: u64 = 1 << 40;
/// Largest weight of a customer.
const MAX_WEIGHT: u32 = 1_000;

/// Why an item was refused: one field and what is wrong with it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ItemError {
    /// Path of the field, such as `service.targets[1].addr`; empty for the whole item.
    pub path: String,
    /// What is wrong, and where it helps which values are accepted.
    pub message: String,
}

impl ItemError {
    pub(super) fn new(path: impl Into<String>, message: impl Into<String>) -> Self {
        Self {
            path: path.into(),
            message: message.into(),
        }
    }
}

impl fmt::Display for ItemError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        if !self.path.is_empty() {
            write!(f, "{}: ", self.path)?;
        }
        f.write_str(&self.message)
    }
}

impl Error for ItemError {}

/// Whether a text is a valid item name: 1 to 64 letters, digits, "-", "_" or ".", without a leading
/// dot. Such a name needs no escaping in a path, a key or a header.
///
/// # Examples
///
/// ```
/// use cuminloom::config::is_valid_name;
/// assert!(is_valid_name("buyer-chat") && !is_valid_name("a/b") && !is_valid_name(".."));
/// ```
pub fn is_valid_name(text: &str) -> bool {
    let plain = |c: char| c.is_ascii_alphanumeric() || "-_.".contains(c);
    (1..=64).contains(&text.len()) && text.chars().all(plain) && !text.starts_with('.')
}

/// An item converted to the type of the model.
pub(super) enum CheckedItem {
    Customer(Customer),
    Profile(Profile),
    Service(Service),
    Stop(Stop),
}

/// Collects the errors of one item.
struct Checker {
    errors: Vec<ItemError>,
}

impl Checker {
    /// Records an error for the field at `path` unless the condition holds.
    fn require(&mut self, holds: bool, path: &str, message: impl FnOnce() -> String) {
        if !holds {
            self.errors.push(ItemError::new(path, message()));
        }
    }

    /// Checks an item name.
    fn name(&mut self, text: &str, path: &str) -> Arc<str> {
        self.require(is_valid_name(text), path, || {
            format!("{text:?} is no name of 1 to 64 letters, digits, \"-\", \"_\" or \".\"")
        });
        text.into()
    }

    /// Checks a number of tokens.
    fn tokens(&mut self, number: u64, path: &str) -> u64 {
        self.require(number <= MAX_TOKENS, path, || {
            format!("{number} is above {MAX_TOKENS} tokens")
        });
        number
    }

    /// Records an error when `seen` already holds the value.
    fn unique<T: Ord>(&mut self, seen: &mut BTreeSet<T>, value: T, path: &str) {
        self.require(seen.insert(value), path, || "repeats an earlier one".into());
    }
}

/// Converts one item and checks everything that does not depend on other items.
pub(super) fn convert(name: &str, item: &wire::Item) -> Result<CheckedItem, Vec<ItemError>> {
    let mut checker = Checker { errors: Vec::new() };
    let id = checker.name(name, "name");
    let checked = match item {
        wire::Item::Customer(it) => CheckedItem::Customer(convert_customer(id, it, &mut checker)),
        wire::Item::Profile(it) => CheckedItem::Profile(convert_profile(id, it, &mut checker)),
        wire::Item::Service(it) => CheckedItem::Service(convert_service(id, it, &mut checker)),
        wire::Item::Stop(it) => CheckedItem::Stop(convert_stop(it, &mut checker)),
    };
    if checker.errors.is_empty() {
        return Ok(checked);
    }
    Err(checker.errors)
}

fn convert_customer(id: Arc<str>, item: &wire::Customer, checker: &mut Checker) -> Customer {
    let mut seen = BTreeSet::new();
    let mut keys = Vec::new();
    for (at, text) in item.keys.iter().enumerate() {
        let path = format!("customer.keys[{at}]");
        let mut key = [0; 32];
        let read = hex::decode_to_slice(text, &mut key).is_ok();
        // The message doesn't repeat the text: it may be the key itself instead of its hash.
        checker.require(read, &path, || "is no SHA-256 of 64 hex digits".into());
        if read {
            checker.unique(&mut seen, key, &path);
        }
        keys.push(KeyHash(key));
    }
    let weight = item.weight.get();
    checker.require(weight <= MAX_WEIGHT, "customer.weight", || {
        format!("{weight} is above {MAX_WEIGHT}")
    });
    Customer { id, keys, weight }
}

fn convert_profile(id: Arc<str>, item: &wire::Profile, checker: &mut Checker) -> Profile {
    let mut seen = BTreeSet::new();
    let mut customers = Vec::new();
    for (at, name) in item.customers.iter().enumerate() {
        let path = format!("profile.customers[{at}]");
        customers.push(checker.name(name, &path));
        checker.unique(&mut seen, name, &path);
    }
    let deadline = item.deadline_ms;
    let fits = (1..=MAX_DEADLINE_MS).contains(&deadline);
    checker.require(fits, "profile.deadline_ms", || {
        format!("{deadline} is not from 1 to {MAX_DEADLINE_MS}")
    });
    Profile {
        id,
        customers,
        service: checker.name(&item.service, "profile.service"),
        budget: checker.name(&item.budget, "profile.budget"),
        urgency: match item.urgency {
            wire::ProfileUrgency::Urgent => Urgency::Urgent,
            wire::ProfileUrgency::Patient => Urgency::Patient,
        },
        retry: match item.repeat {
            wire::ProfileRepeat::Idempotent => RetryPolicy::Idempotent,
            wire::ProfileRepeat::Once => RetryPolicy::Once,
        },
        deadline: Duration::from_millis(deadline),
        max_output: checker.tokens(item.output, "profile.output"),
        charge: checker.tokens(item.charge, "profile.charge"),
    }
}

fn convert_service(id: Arc<str>, item: &wire::Service, checker: &mut Checker) -> Service {
    let (mut ids, mut addrs) = (BTreeSet::new(), BTreeSet::new());
    let mut targets = Vec::new();
    for (at, target) in item.targets.iter().enumerate() {
        let path = |field: &str| format!("service.targets[{at}].{field}");
        checker.unique(&mut ids, &target.id, &path("id"));
        let dc = checker.name(&target.dc, &path("dc"));
        let id = checker.name(&target.id, &path("id"));
        let read = target.addr.parse::<SocketAddr>().ok();
        let addr = read.filter(|addr| addr.port() != 0 && !addr.ip().is_unspecified());
        checker.require(addr.is_some(), &path("addr"), || {
            format!("{:?} is no IP address with a port above 0", target.addr)
        });
        let Some(addr) = addr else { continue };
        checker.unique(&mut addrs, addr, &path("addr"));
        targets.push(Target {
            id,
            addr,
            dc,
            fences: target.fences,
        });
    }
    let model = item.model.as_str();
    checker.require(!model.is_empty(), "service.model", || "is empty".into());
    Service {
        id,
        kind: match item.kind {
            wire::ServiceKind::Engine => TargetKind::Engine,
            wire::ServiceKind::Plain => TargetKind::Plain,
        },
        model: model.into(),
        targets,
    }
}

fn convert_stop(item: &wire::Stop, checker: &mut Checker) -> Stop {
    let name = checker.name(&item.name, "stop.name");
    match item.what {
        wire::StopWhat::Vm => Stop::Vm(name),
        wire::StopWhat::Target => Stop::Target(name),
    }
}

/// Checks an item against the other items of the configuration.
pub(super) fn check_references(
    item: &CheckedItem,
    name: &str,
    config: &Configuration,
) -> Vec<ItemError> {
    let mut checker = Checker { errors: Vec::new() };
    match item {
        CheckedItem::Customer(it) => check_customer_keys(it, config, &mut checker),
        CheckedItem::Profile(it) => check_profile_refs(it, config, &mut checker),
        CheckedItem::Service(it) => check_target_ids(it, config, &mut checker),
        CheckedItem::Stop(Stop::Target(target)) => {
            let known = all_targets(config).any(|(_, it)| it.id == *target);
            checker.require(known, "stop.name", || {
                format!("there is no target {target:?}")
            });
        }
        // The configuration does not list the VMs.
        CheckedItem::Stop(Stop::Vm(_)) => {}
    }
    debug_assert!(is_valid_name(name));
    checker.errors
}

/// Refuses a key that another customer has: a shared key would let one customer read the other's
/// answers.
fn check_customer_keys(item: &Customer, config: &Configuration, checker: &mut Checker) {
    let others = || {
        config
            .customers
            .values()
            .filter(|other| other.id != item.id)
    };
    for (at, key) in item.keys.iter().enumerate() {
        if let Some(other) = others().find(|other| other.keys.contains(key)) {
            let message = format!("is a key of customer {:?}", other.id);
            let path = format!("customer.keys[{at}]");
            checker.errors.push(ItemError::new(path, message));
        }
    }
}

/// Checks that the customers and the service of a profile exist, and that an engine gets an output
/// limit.
fn check_profile_refs(item: &Profile, config: &Configuration, checker: &mut Checker) {
    for (at, id) in item.customers.iter().enumerate() {
        let known = config.customers.contains_key(id);
        checker.require(known, &format!("profile.customers[{at}]"), || {
            format!("there is no customer {id:?}")
        });
    }
    let Some(service) = config.services.get(&item.service) else {
        let message = format!("there is no service {:?}", item.service);
        checker
            .errors
            .push(ItemError::new("profile.service", message));
        return;
    };
    let bounded = service.kind == TargetKind::Plain || item.max_output > 0;
    checker.require(bounded, "profile.output", || {
        "is 0, so no answer of an engine fits".into()
    });
}

/// Refuses a target id that another service uses. Fencing numbers and strikes are kept by target
/// id, so an id must be unique across services.
fn check_target_ids(item: &Service, config: &Configuration, checker: &mut Checker) {
    for (at, target) in item.targets.iter().enumerate() {
        let mut others = all_targets(config).filter(|(service, _)| **service != item.id);
        if let Some((service, _)) = others.find(|(_, other)| other.id == target.id) {
            let message = format!("{:?} is a target of service {service:?}", target.id);
            let path = format!("service.targets[{at}].id");
            checker.errors.push(ItemError::new(path, message));
        }
    }
}

/// The targets of all services, with the name of their service.
fn all_targets(config: &Configuration) -> impl Iterator<Item = (&Arc<str>, &Target)> {
    let services = config.services.iter();
    services.flat_map(|(name, service)| service.targets.iter().map(move |it| (name, it)))
}

/// Checks whether an item can be deleted: one error for each profile that refers to it.
pub(super) fn check_removal(kind: ItemKind, name: &str, config: &Configuration) -> Vec<ItemError> {
    let refers = |profile: &&Profile| match kind {
        ItemKind::Customer => profile.customers.iter().any(|it| **it == *name),
        ItemKind::Service => *profile.service == *name,
        ItemKind::Profile | ItemKind::Stop => false,
    };
    let profiles = config.profiles.values().filter(refers);
    profiles
        .map(|it| ItemError::new("name", format!("profile {:?} refers to it", it.id)))
        .collect()
}
