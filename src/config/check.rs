//! Conversion of items to the types of the model, with all checks.

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

/// Longest deadline of a profile, in milliseconds: one day.
const LONGEST_DEADLINE_MS: u64 = 86_400_000;
/// Largest output limit or charge of a profile, in tokens; keeps sums of reserves within 64 bits.
const MOST_TOKENS: u64 = 1 << 40;
/// Largest weight of a customer.
const MOST_WEIGHT: u32 = 1_000;

/// A fault of an item.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ItemError {
    /// Path of the field, for example `service.targets[1].addr`.
    pub path: String,
    /// What is wrong and what is accepted.
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

/// Whether a text can name an item: 1 to 64 letters, digits, "-", "_" or ".". Such a name needs no
/// escape in a path, a key or a header.
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

/// An item as the model has it.
pub(super) enum Checked {
    Customer(Customer),
    Profile(Profile),
    Service(Service),
    Stop(Stop),
}

struct Checks {
    faults: Vec<ItemError>,
}

impl Checks {
    fn must(&mut self, holds: bool, path: &str, message: impl FnOnce() -> String) {
        if !holds {
            self.faults.push(ItemError::new(path, message()));
        }
    }

    fn name(&mut self, text: &str, path: &str) -> Arc<str> {
        self.must(is_valid_name(text), path, || {
            format!("{text:?} is no name of 1 to 64 letters, digits, \"-\", \"_\" or \".\"")
        });
        text.into()
    }

    fn tokens(&mut self, number: u64, path: &str) -> u64 {
        self.must(number <= MOST_TOKENS, path, || {
            format!("{number} is above {MOST_TOKENS} tokens")
        });
        number
    }

    fn unique<T: Ord>(&mut self, seen: &mut BTreeSet<T>, value: T, path: &str) {
        self.must(seen.insert(value), path, || "repeats an earlier one".into());
    }
}

/// Converts one item; checks everything that does not depend on other items.
pub(super) fn convert(name: &str, item: &wire::Item) -> Result<Checked, Vec<ItemError>> {
    let mut checks = Checks { faults: Vec::new() };
    let id = checks.name(name, "name");
    let checked = match item {
        wire::Item::Customer(it) => Checked::Customer(customer(id, it, &mut checks)),
        wire::Item::Profile(it) => Checked::Profile(profile(id, it, &mut checks)),
        wire::Item::Service(it) => Checked::Service(service(id, it, &mut checks)),
        wire::Item::Stop(it) => Checked::Stop(stop(it, &mut checks)),
    };
    if checks.faults.is_empty() {
        return Ok(checked);
    }
    Err(checks.faults)
}

fn customer(id: Arc<str>, item: &wire::Customer, checks: &mut Checks) -> Customer {
    let mut seen = BTreeSet::new();
    let mut keys = Vec::new();
    for (at, text) in item.keys.iter().enumerate() {
        let path = format!("customer.keys[{at}]");
        let mut key = [0; 32];
        let read = hex::decode_to_slice(text, &mut key).is_ok();
        // The text is not repeated, because it may be the key itself in place of its hash.
        checks.must(read, &path, || "is no SHA-256 of 64 hex digits".into());
        if read {
            checks.unique(&mut seen, key, &path);
        }
        keys.push(KeyHash(key));
    }
    let weight = item.weight.get();
    checks.must(weight <= MOST_WEIGHT, "customer.weight", || {
        format!("{weight} is above {MOST_WEIGHT}")
    });
    Customer { id, keys, weight }
}

fn profile(id: Arc<str>, item: &wire::Profile, checks: &mut Checks) -> Profile {
    let mut seen = BTreeSet::new();
    let mut customers = Vec::new();
    for (at, name) in item.customers.iter().enumerate() {
        let path = format!("profile.customers[{at}]");
        customers.push(checks.name(name, &path));
        checks.unique(&mut seen, name, &path);
    }
    let deadline = item.deadline_ms;
    let fits = (1..=LONGEST_DEADLINE_MS).contains(&deadline);
    checks.must(fits, "profile.deadline_ms", || {
        format!("{deadline} is not from 1 to {LONGEST_DEADLINE_MS}")
    });
    Profile {
        id,
        customers,
        service: checks.name(&item.service, "profile.service"),
        budget: checks.name(&item.budget, "profile.budget"),
        urgency: match item.urgency {
            wire::ProfileUrgency::Urgent => Urgency::Urgent,
            wire::ProfileUrgency::Patient => Urgency::Patient,
        },
        retry: match item.repeat {
            wire::ProfileRepeat::Idempotent => RetryPolicy::Idempotent,
            wire::ProfileRepeat::Once => RetryPolicy::Once,
        },
        deadline: Duration::from_millis(deadline),
        max_output: checks.tokens(item.output, "profile.output"),
        charge: checks.tokens(item.charge, "profile.charge"),
    }
}

fn service(id: Arc<str>, item: &wire::Service, checks: &mut Checks) -> Service {
    let (mut ids, mut addrs) = (BTreeSet::new(), BTreeSet::new());
    let mut targets = Vec::new();
    for (at, target) in item.targets.iter().enumerate() {
        let path = |field: &str| format!("service.targets[{at}].{field}");
        checks.unique(&mut ids, &target.id, &path("id"));
        let dc = checks.name(&target.dc, &path("dc"));
        let id = checks.name(&target.id, &path("id"));
        let read = target.addr.parse::<SocketAddr>().ok();
        let addr = read.filter(|addr| addr.port() != 0 && !addr.ip().is_unspecified());
        checks.must(addr.is_some(), &path("addr"), || {
            format!("{:?} is no IP address with a port above 0", target.addr)
        });
        let Some(addr) = addr else { continue };
        checks.unique(&mut addrs, addr, &path("addr"));
        targets.push(Target {
            id,
            addr,
            dc,
            fences: target.fences,
        });
    }
    let model = item.model.as_str();
    checks.must(!model.is_empty(), "service.model", || "is empty".into());
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

fn stop(item: &wire::Stop, checks: &mut Checks) -> Stop {
    let name = checks.name(&item.name, "stop.name");
    match item.what {
        wire::StopWhat::Vm => Stop::Vm(name),
        wire::StopWhat::Target => Stop::Target(name),
    }
}

/// Checks an item against the other items.
pub(super) fn check_references(
    item: &Checked,
    name: &str,
    config: &Configuration,
) -> Vec<ItemError> {
    let mut checks = Checks { faults: Vec::new() };
    match item {
        Checked::Customer(it) => customer_fits(it, config, &mut checks),
        Checked::Profile(it) => profile_fits(it, config, &mut checks),
        Checked::Service(it) => service_fits(it, config, &mut checks),
        Checked::Stop(Stop::Target(target)) => {
            let known = targets(config).any(|(_, it)| it.id == *target);
            checks.must(known, "stop.name", || {
                format!("there is no target {target:?}")
            });
        }
        // The configuration does not list the VMs.
        Checked::Stop(Stop::Vm(_)) => {}
    }
    debug_assert!(is_valid_name(name));
    checks.faults
}

/// A key that belongs to two customers would let one read the other's answers.
fn customer_fits(item: &Customer, config: &Configuration, checks: &mut Checks) {
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
            checks.faults.push(ItemError::new(path, message));
        }
    }
}

fn profile_fits(item: &Profile, config: &Configuration, checks: &mut Checks) {
    for (at, id) in item.customers.iter().enumerate() {
        let known = config.customers.contains_key(id);
        checks.must(known, &format!("profile.customers[{at}]"), || {
            format!("there is no customer {id:?}")
        });
    }
    let Some(service) = config.services.get(&item.service) else {
        let message = format!("there is no service {:?}", item.service);
        checks
            .faults
            .push(ItemError::new("profile.service", message));
        return;
    };
    let bounded = service.kind == TargetKind::Plain || item.max_output > 0;
    checks.must(bounded, "profile.output", || {
        "is 0, so no answer of an engine fits".into()
    });
}

/// Fencing numbers and strikes are kept by target id, so an id names one target in all services.
fn service_fits(item: &Service, config: &Configuration, checks: &mut Checks) {
    for (at, target) in item.targets.iter().enumerate() {
        let mut others = targets(config).filter(|(service, _)| **service != item.id);
        if let Some((service, _)) = others.find(|(_, other)| other.id == target.id) {
            let message = format!("{:?} is a target of service {service:?}", target.id);
            let path = format!("service.targets[{at}].id");
            checks.faults.push(ItemError::new(path, message));
        }
    }
}

fn targets(config: &Configuration) -> impl Iterator<Item = (&Arc<str>, &Target)> {
    let services = config.services.iter();
    services.flat_map(|(name, service)| service.targets.iter().map(move |it| (name, it)))
}

/// Faults of deleting an item: the items that refer to it.
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
