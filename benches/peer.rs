//! Cost of membership per daemon as the fleet grows, and cost of mirrored operations, in messages and
//! bytes. Fails when membership exceeds its limit.

use std::{
    collections::BTreeSet,
    time::Duration, //
};

use cuminloom::{
    peer::{
        Action,
        Ident,
        Input,
        Membership,
        Message,
        encode, //
    },
    settings::Peer,
};
use serde::Serialize;

/// Step of the simulated clock.
const STEP: Duration = Duration::from_millis(100);
/// Size of the header and mask of a WebSocket frame of up to 64 KiB.
const FRAMING_BYTES: usize = 8;
/// Length of the measurement in seconds; it starts with one configuration change.
const MEASURED_S: u64 = 60;
/// Most bytes per second that a daemon may send and receive for membership, which is its share of the
/// control overhead.
const MAX_BYTES_PER_S: usize = 22 * 1024;

/// Messages and bytes that the whole fleet sent.
#[derive(Clone, Copy, Default)]
struct Cost {
    heartbeats: usize,
    heartbeat_bytes: usize,
    gossip_messages: usize,
    gossip_bytes: usize,
}

/// Identity of the daemon number `n`.
fn ident(n: usize, dcs: usize) -> Ident {
    Ident {
        id: format!("ingress-{n:03}").into(),
        inc: format!("ingress-{n:03}.{n:016x}").into(),
        dc: format!("dc-{:02}", n % dcs).into(),
        vm: format!("vm-ingress-{n:03}").into(),
        addr: "127.0.0.1:9".parse().expect("an address"),
        started: 1_764_000_000_000,
    }
}

/// Runs a fleet without failures; returns what all daemons sent during the measurement, and the number
/// of links.
fn run_fleet(daemons: usize, dcs: usize) -> (Cost, usize) {
    let idents: Vec<Ident> = (0..daemons).map(|n| ident(n, dcs)).collect();
    let peers: Vec<Peer> = idents
        .iter()
        .map(|ident| Peer {
            id: ident.id.clone(),
            addr: ident.addr,
            dc: ident.dc.clone(),
        })
        .collect();
    let start = |(n, ident): (usize, &Ident)| {
        Membership::new(Duration::ZERO, ident.clone(), &peers, n as u64)
    };
    let mut members: Vec<Membership> = idents.iter().enumerate().map(start).collect();
    let index = |id: &str| id[8..].parse::<usize>().expect("a number");
    let mut links = BTreeSet::new();
    let (mut now, mut cost) = (Duration::ZERO, Cost::default());
    let (warm, end) = (
        Duration::from_secs(10),
        Duration::from_secs(10 + MEASURED_S),
    );
    let mut inputs: Vec<(usize, Input)> = Vec::new();
    while now < end {
        now += STEP;
        if now == warm {
            cost = Cost::default();
            inputs.extend((0..daemons).map(|n| (n, Input::Config(7))));
        }
        for (to, input) in std::mem::take(&mut inputs) {
            members[to].handle(now, input);
        }
        for n in 0..daemons {
            for action in members[n].poll(now) {
                match action {
                    Action::Dial { peer, .. } => {
                        let other = index(&peer);
                        links.insert((n.min(other), n.max(other)));
                        for (me, ident, dialled) in
                            [(n, &idents[other], true), (other, &idents[n], false)]
                        {
                            let ident = ident.clone();
                            inputs.push((me, Input::Linked { ident, dialled }));
                        }
                    }
                    Action::Heartbeat { to, beat } => {
                        let size = encode(&Message::<()>::Heartbeat(beat.clone())).len();
                        cost.heartbeats += to.len();
                        cost.heartbeat_bytes += to.len() * (size + FRAMING_BYTES);
                        let from = &idents[n].id;
                        inputs.extend(to.iter().map(|to| {
                            let (from, beat) = (from.clone(), beat.clone());
                            (index(to), Input::Heartbeat { from, beat })
                        }));
                    }
                    Action::Versions { to, entries } => {
                        let message = Message::<()>::Versions(entries.clone());
                        cost.gossip_messages += 1;
                        cost.gossip_bytes += encode(&message).len() + FRAMING_BYTES;
                        let from = idents[n].id.clone();
                        inputs.push((index(&to), Input::Versions { from, entries }));
                    }
                    Action::Close { .. } | Action::State { .. } => {}
                }
            }
        }
    }
    (cost, links.len())
}

/// Operation with the same fields as an operation of the mirror, whose types are independent of the
/// links.
#[derive(Serialize)]
enum Op {
    Open {
        seq: u64,
        customer: String,
        budget: String,
        profile: String,
        bound: u64,
    },
    Close {
        seq: u64,
        tokens: u64,
        verdict: String,
    },
}

/// Message with the same fields as a message of the mirror.
#[derive(Serialize)]
struct Mirror {
    inc: String,
    epoch: u64,
    first: u64,
    ops: Vec<Op>,
}

/// Size of a mirror message that opens and closes `requests` requests.
fn mirror_bytes(requests: u64) -> usize {
    let ops = (0..requests).flat_map(|n| {
        let seq = 1_000_000 + n;
        let open = Op::Open {
            seq,
            customer: "lamp-makers".into(),
            budget: "catalogue".into(),
            profile: "write-up".into(),
            bound: 4096,
        };
        let close = Op::Close {
            seq,
            tokens: 1234,
            verdict: "ran".into(),
        };
        [open, close]
    });
    let mirror = Mirror {
        inc: "ingress-001.00112233445566aa".into(),
        epoch: 3,
        first: 2_000_000,
        ops: ops.collect(),
    };
    encode(&Message::Node(mirror)).len() + FRAMING_BYTES
}

fn main() {
    println!("daemons dcs links/daemon messages/s bytes/s heartbeat-bytes gossip-bytes/s");
    for (daemons, dcs) in [(7, 4), (40, 8), (340, 21)] {
        let (cost, links) = run_fleet(daemons, dcs);
        let per_daemon = |sum: usize| sum as f64 / daemons as f64 / MEASURED_S as f64;
        let bytes = per_daemon(cost.heartbeat_bytes + cost.gossip_bytes);
        println!(
            "{daemons} {dcs} {:.1} {:.1} {bytes:.0} {} {:.0}",
            2.0 * links as f64 / daemons as f64,
            per_daemon(cost.heartbeats + cost.gossip_messages),
            cost.heartbeat_bytes / cost.heartbeats,
            per_daemon(cost.gossip_bytes),
        );
        // Each byte that a daemon sends is received by another one.
        assert!(
            2.0 * bytes <= MAX_BYTES_PER_S as f64,
            "membership exceeds {MAX_BYTES_PER_S} bytes/s"
        );
    }
    println!("requests/mirror-message bytes/request");
    for requests in [1, 10, 100] {
        let bytes = mirror_bytes(requests);
        println!("{requests} {:.1}", bytes as f64 / requests as f64);
    }
}
