//! Validation of items before an edit is accepted.

use std::sync::Arc;

use cuminloom::{
    config::{
        ConfigState,
        EditBatch,
        EditError,
        EditRequest,
        ItemKind, //
    },
    store::Row,
};

/// SHA-256 of a caller's key.
const KEY: &str = "9f86d081884c7d659a2feaa0c55ad015a3bf4f1b2b0b822cd15d6c15b0f00a08";

/// Request of an operator to write an item, or to delete it without a body.
fn change(config: &ConfigState, kind: ItemKind, name: &str, body: Option<&str>) -> EditRequest {
    EditRequest {
        kind,
        name: name.into(),
        value: body.map(|body| kind.parse(body.as_bytes()).unwrap()),
        if_match: config.item(kind, name).map(|edit| edit.version),
        operator: "ann".into(),
        time: 0,
        request: format!("{}", config.version()).into(),
    }
}

/// Head row at the version of `config`.
fn head(config: &ConfigState) -> Row {
    Row {
        key: cuminloom::config::HEAD_KEY.into(),
        version: 1,
        value: serde_json::json!({ "version": config.version() }),
    }
}

/// Makes an edit that must be accepted.
fn accept(config: &mut ConfigState, kind: ItemKind, name: &str, body: Option<&str>) {
    let change = change(config, kind, name, body);
    let edit = config
        .prepare_edit(&change, Some(&head(config)))
        .unwrap()
        .edit;
    let batch = EditBatch {
        version: edit.version,
        full: false,
        edits: vec![Arc::clone(&edit)],
    };
    config.apply_batch(&batch).unwrap();
}

/// Errors for which an edit is refused.
fn refusal_errors(
    config: &ConfigState,
    kind: ItemKind,
    name: &str,
    body: Option<&str>,
) -> Vec<String> {
    let change = change(config, kind, name, body);
    match config.prepare_edit(&change, Some(&head(config))) {
        Err(EditError::Invalid(faults)) => faults.iter().map(ToString::to_string).collect(),
        other => panic!("{other:?}"),
    }
}

/// A configuration with one customer, one service and one profile.
fn sample_config() -> ConfigState {
    let mut config = ConfigState::default();
    let customer = format!(r#"{{"keys":["{KEY}"]}}"#);
    accept(&mut config, ItemKind::Customer, "lamps", Some(&customer));
    let service = r#"{"kind":"engine","targets":[{"id":"w1","addr":"10.0.0.1:80","dc":"east"}]}"#;
    accept(
        &mut config,
        ItemKind::Service,
        "loom-writers",
        Some(service),
    );
    let profile = r#"{"customers":["lamps"],"service":"loom-writers","budget":"b",
        "urgency":"urgent","repeat":"idempotent"}"#;
    accept(&mut config, ItemKind::Profile, "chat", Some(profile));
    config
}

/// Guards against accepted items that the daemons can't use, and against error messages that don't
/// name the field.
#[test]
fn faulty_items_are_refused_with_all_faults() {
    let config = sample_config();
    let profile = r#"{"customers":["nobody","lamps"],"service":"no-such","budget":"b",
        "urgency":"urgent","repeat":"once"}"#;
    assert_eq!(
        refusal_errors(&config, ItemKind::Profile, "p", Some(profile)),
        [
            "profile.customers[0]: there is no customer \"nobody\"",
            "profile.service: there is no service \"no-such\""
        ]
    );
    let profile = r#"{"customers":["lamps","lamps"],"service":"loom-writers","budget":"a/b",
        "urgency":"urgent","repeat":"once","deadline_ms":0,"output":9999999999999}"#;
    let all = refusal_errors(&config, ItemKind::Profile, "p/q", Some(profile));
    let paths: Vec<&str> = all.iter().map(|it| it.split(':').next().unwrap()).collect();
    let expected = ["name", "profile.customers[1]", "profile.deadline_ms"];
    assert_eq!(paths[..3], expected);
    assert_eq!(paths[3..], ["profile.budget", "profile.output"]);
    let service = r#"{"kind":"plain","targets":[{"id":"a","addr":"10.0.0.1:80","dc":"east"},
        {"id":"a","addr":"10.0.0.1:80","dc":"east"},{"id":"b","addr":"host:80","dc":"east"}]}"#;
    assert_eq!(
        refusal_errors(&config, ItemKind::Service, "desk", Some(service)),
        [
            "service.targets[1].id: repeats an earlier one",
            "service.targets[1].addr: repeats an earlier one",
            "service.targets[2].addr: \"host:80\" is no IP address with a port above 0"
        ]
    );
    let service = r#"{"kind":"plain","targets":[{"id":"w1","addr":"10.0.0.2:80","dc":"east"}]}"#;
    let taken = "service.targets[0].id: \"w1\" is a target of service \"loom-writers\"";
    assert_eq!(
        refusal_errors(&config, ItemKind::Service, "desk", Some(service)),
        [taken]
    );
    let customer = format!(r#"{{"keys":["{KEY}","my-plain-key"],"weight":2000}}"#);
    let all = refusal_errors(&config, ItemKind::Customer, "other", Some(&customer)).join("\n");
    assert!(
        all.contains("customer.keys[1]") && all.contains("customer.weight"),
        "{all}"
    );
    assert!(!all.contains("my-plain-key"), "a key is printed: {all}");
    let customer = format!(r#"{{"keys":["{KEY}"]}}"#);
    let all = refusal_errors(&config, ItemKind::Customer, "other", Some(&customer));
    assert_eq!(all, ["customer.keys[0]: is a key of customer \"lamps\""]);
    let stop = r#"{"what":"target","name":"w9"}"#;
    let all = refusal_errors(&config, ItemKind::Stop, "friday", Some(stop));
    assert_eq!(all, ["stop.name: there is no target \"w9\""]);
    for (kind, name) in [
        (ItemKind::Customer, "lamps"),
        (ItemKind::Service, "loom-writers"),
    ] {
        let all = refusal_errors(&config, kind, name, None);
        assert_eq!(all, ["name: profile \"chat\" refers to it"]);
    }
    assert!(
        ItemKind::Customer
            .parse(br#"{"keys":[],"weight":0}"#)
            .is_err()
    );
}

/// Guards against defaults of omitted fields that don't reach the model.
#[test]
fn accepted_items_reach_the_model() {
    let current = sample_config().current();
    let profile = &current.profiles["chat"];
    assert_eq!((profile.deadline.as_secs(), profile.max_output), (30, 1024));
    assert_eq!(current.customers["lamps"].weight, 1);
    assert_eq!(&*current.services["loom-writers"].model, "default");
    assert_eq!(current.version, 3);
}
