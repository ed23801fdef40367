//! Reads each group of settings.

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
        BYTES,
        COUNT,
        FRACTION,
        HASH,
        HEADROOM,
        LEVEL,
        LISTEN,
        MILLIS,
        NAME,
        NO_ADDR,
        PATH,
        REMOTE,
        SECONDS,
        SHARE,
        SWITCH,
        VARIABLE, //
    },
    read::{
        Faults,
        Group, //
    },
};

/// Default limit of a caller's body, in bytes.
const BODY_LIMIT: usize = 4 << 20;
const READ_TIMEOUT: Duration = Duration::from_secs(10);
const VM_LIST_LAG: Duration = Duration::from_secs(600);
pub(super) const RESERVE: Duration = Duration::from_secs(3_600);
pub(super) const FRACTION_OF_FREE: f64 = 0.125;
const URGENT: usize = 256;
const PATIENT: usize = 1024;
const URGENT_HEADROOM: f64 = 0.2;
const SAMPLE: f64 = 0.01;

pub(super) fn all(root: &Value<'_>, faults: &mut Faults<'_>) -> Settings {
    let mut root = Group::of(root, String::new(), faults);
    let daemon = daemon(root.need_group("daemon", faults), faults);
    let settings = Settings {
        caller: caller(root.need_group("caller", faults), faults),
        admin: admin(root.need_group("admin", faults), faults),
        platform: platform(root.need_group("platform", faults), faults),
        peer: peers(root.need_group("peer", faults), &daemon, faults),
        budget: budget(root.group("budget", faults), faults),
        queue: queue(root.group("queue", faults), faults),
        trace: trace(root.group("trace", faults), faults),
        log: log(root.group("log", faults), faults),
        daemon,
    };
    listeners(&root, &settings, faults);
    root.finish(faults);
    settings
}

fn daemon(mut group: Group<'_, '_>, faults: &mut Faults<'_>) -> DaemonSettings {
    let daemon = DaemonSettings {
        id: group.need("id", &NAME, "".into(), faults),
        vm: group.need("vm", &NAME, "".into(), faults),
        dc: group.need("dc", &NAME, "".into(), faults),
    };
    group.finish(faults);
    daemon
}

fn caller(mut group: Group<'_, '_>, faults: &mut Faults<'_>) -> CallerSettings {
    let caller = CallerSettings {
        listen: group.need("listen", &LISTEN, NO_ADDR, faults),
        body_limit: group.or("body_limit", &BYTES, BODY_LIMIT, faults),
        read_timeout: group.or("read_timeout_ms", &MILLIS, READ_TIMEOUT, faults),
        metrics: group.or("metrics", &SWITCH, true, faults),
    };
    group.finish(faults);
    caller
}

fn admin(mut group: Group<'_, '_>, faults: &mut Faults<'_>) -> AdminSettings {
    let listen = group.need("listen", &LISTEN, NO_ADDR, faults);
    let mut operators: Vec<Operator> = Vec::new();
    for mut each in group.groups("operators", faults) {
        let name = each.need("name", &NAME, "".into(), faults);
        let hash = each.need("token_sha256", &HASH, [0; 32], faults);
        if operators
            .iter()
            .any(|other| !name.is_empty() && other.name == name)
        {
            each.reject(
                "name",
                &format!("{name:?} again"),
                "a name of its own",
                faults,
            );
        }
        if operators
            .iter()
            .any(|other| hash != [0; 32] && other.token_hash == hash)
        {
            let expected = "a token of its own";
            each.reject(
                "token_sha256",
                "the hash of another operator",
                expected,
                faults,
            );
        }
        each.finish(faults);
        operators.push(Operator {
            name,
            token_hash: hash,
        });
    }
    if !group.has("operators") {
        group.reject("operators", "nothing", "an array of operators", faults);
    }
    group.finish(faults);
    AdminSettings { listen, operators }
}

fn platform(mut group: Group<'_, '_>, faults: &mut Faults<'_>) -> PlatformSettings {
    let platform = PlatformSettings {
        addr: group.need("addr", &REMOTE, NO_ADDR, faults),
        vm_list_lag: group.or("vm_list_lag_s", &SECONDS, VM_LIST_LAG, faults),
    };
    group.finish(faults);
    platform
}

fn peers(
    mut group: Group<'_, '_>,
    daemon: &DaemonSettings,
    faults: &mut Faults<'_>,
) -> PeerSettings {
    let listen = group.need("listen", &LISTEN, NO_ADDR, faults);
    let secret = secret(group.need_group("secret", faults), faults);
    let mut peers: Vec<Peer> = Vec::new();
    for mut each in group.groups("peers", faults) {
        let peer = Peer {
            id: each.need("id", &NAME, "".into(), faults),
            addr: each.need("addr", &REMOTE, NO_ADDR, faults),
            dc: each.need("dc", &NAME, "".into(), faults),
        };
        if peers
            .iter()
            .any(|other| !peer.id.is_empty() && other.id == peer.id)
        {
            let found = format!("{:?} again", peer.id);
            each.reject("id", &found, "a name of its own", faults);
        }
        if peers
            .iter()
            .any(|other| peer.addr != NO_ADDR && other.addr == peer.addr)
        {
            let found = format!("{} again", peer.addr);
            each.reject("addr", &found, "an address of its own", faults);
        }
        each.finish(faults);
        peers.push(peer);
    }
    group.finish(faults);
    // All daemons may share one list, which then names this one too.
    peers.retain(|peer| peer.id != daemon.id);
    PeerSettings {
        listen,
        secret,
        peers,
    }
}

fn secret(mut group: Group<'_, '_>, faults: &mut Faults<'_>) -> SecretSource {
    let file = group.optional("file", &PATH, faults);
    let variable = group.optional("env", &VARIABLE, faults);
    let given = (group.has("file"), group.has("env"));
    if given.0 == given.1 {
        let found = if given.0 { "both" } else { "neither" };
        group.reject("file", found, "either \"file\" or \"env\"", faults);
    }
    group.finish(faults);
    match variable {
        Some(name) => SecretSource::Variable(name),
        None => SecretSource::File(file.unwrap_or_default()),
    }
}

fn budget(mut group: Group<'_, '_>, faults: &mut Faults<'_>) -> BudgetDefaults {
    let budget = BudgetDefaults {
        reserve: group.or("reserve_s", &SECONDS, RESERVE, faults),
        draw_fraction: group.or("fraction", &FRACTION, FRACTION_OF_FREE, faults),
    };
    group.finish(faults);
    budget
}

fn queue(mut group: Group<'_, '_>, faults: &mut Faults<'_>) -> QueueSettings {
    let queue = QueueSettings {
        max_urgent: group.or("urgent", &COUNT, URGENT, faults),
        max_patient: group.or("patient", &COUNT, PATIENT, faults),
        headroom: group.or("headroom", &HEADROOM, URGENT_HEADROOM, faults),
    };
    group.finish(faults);
    queue
}

fn trace(mut group: Group<'_, '_>, faults: &mut Faults<'_>) -> TraceSettings {
    let trace = TraceSettings {
        addr: group.optional("addr", &REMOTE, faults),
        sample_ratio: group.or("sample", &SHARE, SAMPLE, faults),
    };
    group.finish(faults);
    trace
}

fn log(mut group: Group<'_, '_>, faults: &mut Faults<'_>) -> LevelFilter {
    let level = group.or("level", &LEVEL, LevelFilter::Info, faults);
    group.finish(faults);
    level
}

/// Reports listeners that share an address.
fn listeners(root: &Group<'_, '_>, settings: &Settings, faults: &mut Faults<'_>) {
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
            root.reject(name, &found, "an address of its own", faults);
        }
    }
}
