//! Reads the groups of settings, with defaults and checks across values.

use std::{
    net::SocketAddr,
    time::Duration, //
};

use jsonc_parser::ast::Value;
use log::LevelFilter;

use super::{
    AdminSettings, BudgetDefaults, CallerSettings, DaemonSettings, Operator, Peer, PeerSettings,
    PlatformSettings, QueueSettings, SecretSource, Settings, TraceSettings,
    kind::{
        BOOLEAN,
        BYTES,
        COUNT,
        ENV_NAME,
        FRACTION,
        HEADROOM,
        LISTEN_ADDR,
        LOG_LEVEL,
        MILLIS,
        NAME,
        NO_ADDR,
        RATIO,
        REMOTE_ADDR,
        SECONDS,
        SECRET_PATH,
        SHA256_HEX, //
    },
    read::{
        Errors,
        Group, //
    },
};

/// Default of `caller.body_limit`.
const DEFAULT_BODY_BYTES: usize = 4 << 20;
/// Default of `caller.read_timeout_ms`.
const DEFAULT_READ_TIMEOUT: Duration = Duration::from_secs(10);
/// Default of `platform.vm_list_lag_s`.
const DEFAULT_VM_LIST_LAG: Duration = Duration::from_secs(600);
/// Default of `budget.reserve_s`.
pub(super) const DEFAULT_RESERVE: Duration = Duration::from_secs(3_600);
/// Default of `budget.fraction`.
pub(super) const DEFAULT_DRAW_FRACTION: f64 = 0.125;
/// Default of `queue.urgent`.
const DEFAULT_MAX_URGENT: usize = 256;
/// Default of `queue.patient`.
const DEFAULT_MAX_PATIENT: usize = 1024;
/// Default of `queue.headroom`.
const DEFAULT_HEADROOM: f64 = 0.2;
/// Default of `trace.sample`.
const DEFAULT_SAMPLE_RATIO: f64 = 0.01;

/// Reads all settings from the root of the file; errors are added to `errors`.
pub(super) fn read_all(root: &Value<'_>, errors: &mut Errors<'_>) -> Settings {
    let mut root = Group::new(root, String::new(), errors);
    let daemon = read_daemon(root.required_group("daemon", errors), errors);
    let settings = Settings {
        caller: read_caller(root.required_group("caller", errors), errors),
        admin: read_admin(root.required_group("admin", errors), errors),
        platform: read_platform(root.required_group("platform", errors), errors),
        peer: read_peers(root.required_group("peer", errors), &daemon, errors),
        budget: read_budget(root.group("budget", errors), errors),
        queue: read_queue(root.group("queue", errors), errors),
        trace: read_trace(root.group("trace", errors), errors),
        log: read_log(root.group("log", errors), errors),
        daemon,
    };
    check_listeners(&root, &settings, errors);
    root.finish(errors);
    settings
}

fn read_daemon(mut group: Group<'_, '_>, errors: &mut Errors<'_>) -> DaemonSettings {
    let daemon = DaemonSettings {
        id: group.required("id", &NAME, "".into(), errors),
        vm: group.required("vm", &NAME, "".into(), errors),
        dc: group.required("dc", &NAME, "".into(), errors),
    };
    group.finish(errors);
    daemon
}

fn read_caller(mut group: Group<'_, '_>, errors: &mut Errors<'_>) -> CallerSettings {
    let caller = CallerSettings {
        listen: group.required("listen", &LISTEN_ADDR, NO_ADDR, errors),
        body_limit: group.or_default("body_limit", &BYTES, DEFAULT_BODY_BYTES, errors),
        read_timeout: group.or_default("read_timeout_ms", &MILLIS, DEFAULT_READ_TIMEOUT, errors),
        metrics: group.or_default("metrics", &BOOLEAN, true, errors),
    };
    group.finish(errors);
    caller
}

fn read_admin(mut group: Group<'_, '_>, errors: &mut Errors<'_>) -> AdminSettings {
    let listen = group.required("listen", &LISTEN_ADDR, NO_ADDR, errors);
    let mut operators: Vec<Operator> = Vec::new();
    for mut item in group.groups("operators", errors) {
        let name = item.required("name", &NAME, "".into(), errors);
        let hash = item.required("token_sha256", &SHA256_HEX, [0; 32], errors);
        if operators
            .iter()
            .any(|other| !name.is_empty() && other.name == name)
        {
            item.reject(
                "name",
                &format!("{name:?} again"),
                "a name of its own",
                errors,
            );
        }
        if operators
            .iter()
            .any(|other| hash != [0; 32] && other.token_hash == hash)
        {
            let expected = "a token of its own";
            item.reject(
                "token_sha256",
                "the hash of another operator",
                expected,
                errors,
            );
        }
        item.finish(errors);
        operators.push(Operator {
            name,
            token_hash: hash,
        });
    }
    if !group.has("operators") {
        group.reject("operators", "nothing", "an array of operators", errors);
    }
    group.finish(errors);
    AdminSettings { listen, operators }
}

fn read_platform(mut group: Group<'_, '_>, errors: &mut Errors<'_>) -> PlatformSettings {
    let platform = PlatformSettings {
        addr: group.required("addr", &REMOTE_ADDR, NO_ADDR, errors),
        vm_list_lag: group.or_default("vm_list_lag_s", &SECONDS, DEFAULT_VM_LIST_LAG, errors),
    };
    group.finish(errors);
    platform
}

fn read_peers(
    mut group: Group<'_, '_>,
    daemon: &DaemonSettings,
    errors: &mut Errors<'_>,
) -> PeerSettings {
    let listen = group.required("listen", &LISTEN_ADDR, NO_ADDR, errors);
    let secret = read_secret(group.required_group("secret", errors), errors);
    let mut peers: Vec<Peer> = Vec::new();
    for mut item in group.groups("peers", errors) {
        let peer = Peer {
            id: item.required("id", &NAME, "".into(), errors),
            addr: item.required("addr", &REMOTE_ADDR, NO_ADDR, errors),
            dc: item.required("dc", &NAME, "".into(), errors),
        };
        if peers
            .iter()
            .any(|other| !peer.id.is_empty() && other.id == peer.id)
        {
            let found = format!("{:?} again", peer.id);
            item.reject("id", &found, "a name of its own", errors);
        }
        if peers
            .iter()
            .any(|other| peer.addr != NO_ADDR && other.addr == peer.addr)
        {
            let found = format!("{} again", peer.addr);
            item.reject("addr", &found, "an address of its own", errors);
        }
        item.finish(errors);
        peers.push(peer);
    }
    group.finish(errors);
    // All daemons may use the same list, which then includes this one.
    peers.retain(|peer| peer.id != daemon.id);
    PeerSettings {
        listen,
        secret,
        peers,
    }
}

fn read_secret(mut group: Group<'_, '_>, errors: &mut Errors<'_>) -> SecretSource {
    let file = group.optional("file", &SECRET_PATH, errors);
    let variable = group.optional("env", &ENV_NAME, errors);
    let given = (group.has("file"), group.has("env"));
    if given.0 == given.1 {
        let found = if given.0 { "both" } else { "neither" };
        group.reject("file", found, "either \"file\" or \"env\"", errors);
    }
    group.finish(errors);
    match variable {
        Some(name) => SecretSource::Variable(name),
        None => SecretSource::File(file.unwrap_or_default()),
    }
}

fn read_budget(mut group: Group<'_, '_>, errors: &mut Errors<'_>) -> BudgetDefaults {
    let budget = BudgetDefaults {
        reserve: group.or_default("reserve_s", &SECONDS, DEFAULT_RESERVE, errors),
        draw_fraction: group.or_default("fraction", &FRACTION, DEFAULT_DRAW_FRACTION, errors),
    };
    group.finish(errors);
    budget
}

fn read_queue(mut group: Group<'_, '_>, errors: &mut Errors<'_>) -> QueueSettings {
    let queue = QueueSettings {
        max_urgent: group.or_default("urgent", &COUNT, DEFAULT_MAX_URGENT, errors),
        max_patient: group.or_default("patient", &COUNT, DEFAULT_MAX_PATIENT, errors),
        headroom: group.or_default("headroom", &HEADROOM, DEFAULT_HEADROOM, errors),
    };
    group.finish(errors);
    queue
}

fn read_trace(mut group: Group<'_, '_>, errors: &mut Errors<'_>) -> TraceSettings {
    let trace = TraceSettings {
        addr: group.optional("addr", &REMOTE_ADDR, errors),
        sample_ratio: group.or_default("sample", &RATIO, DEFAULT_SAMPLE_RATIO, errors),
    };
    group.finish(errors);
    trace
}

fn read_log(mut group: Group<'_, '_>, errors: &mut Errors<'_>) -> LevelFilter {
    let level = group.or_default("level", &LOG_LEVEL, LevelFilter::Info, errors);
    group.finish(errors);
    level
}

/// Reports listeners with the same address.
fn check_listeners(root: &Group<'_, '_>, settings: &Settings, errors: &mut Errors<'_>) {
    let all: [(&str, SocketAddr); 3] = [
        ("caller", settings.caller.listen),
        ("admin", settings.admin.listen),
        ("peer", settings.peer.listen),
    ];
    for (at, (name, addr)) in all.iter().enumerate() {
        let mut earlier = all[..at].iter();
        let shares = |other: &&(&str, SocketAddr)| addr.port() != 0 && other.1 == *addr;
        if let Some((other, _)) = earlier.find(shares) {
            let found = format!("the listen address of {other:?}");
            root.reject(name, &found, "an address of its own", errors);
        }
    }
}
