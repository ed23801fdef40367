//! What a deployment consists of, and its configuration.

use cuminloom::{
    config::ItemKind,
    model::Tokens, //
};
use serde_json::{
    Value,
    json, //
};
use sha2::{
    Digest,
    Sha256, //
};

use crate::{
    fleet::KEY,
    process::Process, //
};

/// What to start.
#[derive(Clone, Debug)]
pub struct Plan {
    /// Data centres and the number of daemons in each.
    pub dcs: Vec<(&'static str, usize)>,
    /// Limit of the only budget, `lamps`, in tokens.
    pub limit: Tokens,
    /// Arguments of each engine.
    pub engine: Vec<&'static str>,
    /// Engines of each data centre.
    pub engines: usize,
    /// Level of the daemons' logs.
    pub log: &'static str,
    /// Items of the configuration beside those that every deployment has.
    pub items: Vec<(ItemKind, &'static str, Value)>,
    /// Budgets beside `lamps`, with their limits in tokens.
    pub budgets: Vec<(&'static str, Tokens)>,
    /// Groups of the daemons' settings that replace or add to the usual ones.
    pub settings: Value,
    /// Whether the daemons' logs go to [`Member::log`](crate::fleet::Member::log) instead of the standard error output.
    pub capture: bool,
}

impl Default for Plan {
    fn default() -> Self {
        Self {
            dcs: vec![("cebu-north", 2), ("cebu-south", 1)],
            limit: 1_000_000,
            engine: vec!["--ttft-ms", "5", "--tokens-per-second", "500"],
            engines: 1,
            log: "warn",
            items: Vec::new(),
            budgets: Vec::new(),
            settings: json!({}),
            capture: false,
        }
    }
}

/// Items of the configuration that every deployment has.
pub(crate) fn items(
    plan: &Plan,
    engines: &[Process],
    service: &Process,
) -> Vec<(ItemKind, &'static str, Value)> {
    let hash = hex::encode(Sha256::digest(KEY));
    let other = hex::encode(Sha256::digest("hsin-key"));
    let engines: Vec<Value> = engines
        .iter()
        .enumerate()
        .map(|(index, engine)| {
            let (dc, _) = plan.dcs[index / plan.engines];
            let id = match index % plan.engines {
                0 => format!("runner-{dc}"),
                n => format!("runner-{dc}-{}", n + 1),
            };
            json!({ "id": id, "addr": engine.addr("engine").to_string(), "dc": dc })
        })
        .collect();
    let desk = json!({
        "id": "desk-1",
        "addr": service.addr("service").to_string(),
        "dc": plan.dcs[0].0,
    });
    let profile = |service: &str, urgency: &str, repeat: &str, charge: u64| {
        json!({ "profile": {
            "customers": ["anod"], "service": service, "budget": "lamps",
            "urgency": urgency, "repeat": repeat, "output": 64, "charge": charge,
        } })
    };
    vec![
        (
            ItemKind::Customer,
            "anod",
            json!({ "customer": { "keys": [hash] } }),
        ),
        (
            ItemKind::Customer,
            "hsin",
            json!({ "customer": { "keys": [other] } }),
        ),
        (
            ItemKind::Service,
            "loom-writers",
            json!({ "service": { "kind": "engine", "model": "small", "targets": engines } }),
        ),
        (
            ItemKind::Service,
            "order-desk",
            json!({ "service": { "kind": "plain", "targets": [desk] } }),
        ),
        (
            ItemKind::Profile,
            "chat",
            profile("loom-writers", "urgent", "idempotent", 0),
        ),
        (
            ItemKind::Profile,
            "write-up",
            profile("loom-writers", "patient", "idempotent", 0),
        ),
        (
            ItemKind::Profile,
            "deposit",
            profile("order-desk", "urgent", "once", 3),
        ),
        (
            ItemKind::Profile,
            "stock",
            profile("order-desk", "urgent", "idempotent", 1),
        ),
    ]
}
