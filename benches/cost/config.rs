//! Size of the configuration and cost of applying it.

use std::{
    sync::Arc,
    time::{
        Duration,
        Instant, //
    },
};

use cuminloom::config::{
    ConfigState,
    Edit,
    EditBatch,
    ItemKind,
    ReceiveOutcome, //
};
use serde_json::{
    Value,
    json, //
};

use super::alloc;

/// Number of items.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Size {
    pub(crate) customers: usize,
    pub(crate) profiles: usize,
    pub(crate) services: usize,
    pub(crate) targets: usize,
}

impl Size {
    pub(crate) fn items(self) -> usize {
        self.customers + self.profiles + self.services + self.targets
    }
}

/// The target size.
pub(crate) const TARGET: Size = Size {
    customers: 4_500,
    profiles: 1_000,
    services: 17,
    targets: 1_700,
};
pub(crate) const SMALL: Size = Size {
    customers: 45,
    profiles: 10,
    services: 17,
    targets: 17,
};

/// Cost of a configuration.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Cost {
    /// Bytes of the snapshot object.
    pub(crate) snapshot: u64,
    /// Time to decode and apply it.
    pub(crate) load: Duration,
    /// Bytes in use by the configuration in force.
    pub(crate) memory: u64,
    /// Bytes in use while one edit is applied and a reader holds the configuration before it.
    pub(crate) peak: u64,
    /// Bytes of the object of an edit of a customer, a profile and a service.
    pub(crate) edits: [u64; 3],
    /// Time and allocations to apply an edit of a profile.
    pub(crate) apply: Duration,
    pub(crate) calls: u64,
}

fn edit(version: u64, kind: ItemKind, name: String, value: Value) -> Arc<Edit> {
    Arc::new(Edit {
        version,
        kind,
        name: name.into(),
        value: Some(serde_json::from_value(value).expect("a valid item")),
        operator: "board-member".into(),
        time: 1_764_000_000,
        request: format!("request-{version:08}").into(),
    })
}

fn customer(version: u64, n: usize) -> Arc<Edit> {
    let key = |k: usize| format!("{n:032x}{k:032x}");
    let value = json!({ "customer": { "keys": [key(1), key(2)] } });
    edit(
        version,
        ItemKind::Customer,
        format!("customer-{n:04}"),
        value,
    )
}

fn profile(version: u64, n: usize, size: Size) -> Arc<Edit> {
    // Every customer may use some profile.
    let each = size.customers.div_ceil(size.profiles);
    let customers: Vec<String> = (0..each)
        .map(|k| format!("customer-{:04}", (n * each + k) % size.customers))
        .collect();
    let value = json!({ "profile": {
        "customers": customers, "service": format!("service-{:02}", n % size.services),
        "budget": format!("budget-{n:06}"), "urgency": "urgent", "repeat": "idempotent",
    } });
    edit(version, ItemKind::Profile, format!("profile-{n:04}"), value)
}

fn service(version: u64, n: usize, size: Size) -> Arc<Edit> {
    let targets: Vec<Value> = (n..size.targets)
        .step_by(size.services)
        .map(|t| {
            json!({
                "id": format!("runner-{t:04}"), "dc": format!("dc-{:02}", t % 21),
                "addr": format!("10.{}.{}.{}:8000", t % 21, t / 250, t % 250),
            })
        })
        .collect();
    let value = json!({ "service": {
        "kind": "engine", "model": format!("model-{n:02}"), "targets": targets,
    } });
    edit(version, ItemKind::Service, format!("service-{n:02}"), value)
}

fn whole(size: Size) -> EditBatch {
    let mut edits: Vec<Arc<Edit>> = Vec::new();
    let mut version = 0;
    let mut next = || {
        version += 1;
        version
    };
    edits.extend((0..size.customers).map(|n| customer(next(), n)));
    edits.extend((0..size.services).map(|n| service(next(), n, size)));
    edits.extend((0..size.profiles).map(|n| profile(next(), n, size)));
    EditBatch {
        version,
        full: true,
        edits,
    }
}

fn bytes(value: &impl serde::Serialize) -> u64 {
    serde_json::to_vec(value).expect("string keys").len() as u64
}

/// Measures a configuration of this size.
pub(crate) fn measure(size: Size) -> Cost {
    let body = serde_json::to_vec(&whole(size)).expect("string keys");
    let before = alloc::live();
    let start = Instant::now();
    let batch: EditBatch = serde_json::from_slice(&body).expect("a batch");
    let mut config = ConfigState::default();
    let received = config.apply_batch(&batch).expect("valid items");
    let load = start.elapsed();
    assert_eq!(received, ReceiveOutcome::Advanced(batch.version));
    drop(batch);
    let memory = alloc::live() - before;
    let version = config.version() + 1;
    let changed = profile(version, 0, size);
    let edits = [
        bytes(&customer(version, 0)),
        bytes(&changed),
        bytes(&service(version, 0, size)),
    ];
    let batch = EditBatch {
        version,
        full: false,
        edits: vec![changed],
    };
    let reader = config.current();
    let (calls, start) = (alloc::calls(), Instant::now());
    config.apply_batch(&batch).expect("valid items");
    let (apply, calls) = (start.elapsed(), alloc::calls() - calls);
    let peak = alloc::live() - before;
    drop(reader);
    Cost {
        snapshot: body.len() as u64,
        load,
        memory,
        peak,
        edits,
        apply,
        calls,
    }
}
