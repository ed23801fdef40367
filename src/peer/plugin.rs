//! Connects the links to peers with the rest of the daemon.

use std::{
    collections::BTreeMap,
    sync::{
        Arc,
        PoisonError,
        atomic::Ordering, //
    },
    time::{
        Duration,
        SystemTime,
        UNIX_EPOCH, //
    },
};

use error_stack::{
    Report,
    ResultExt, //
};

use super::{
    ByteString,
    Edit,
    Event,
    Ident,
    Input,
    LoadReport,
    Message,
    PeerState,
    Peers,
    Settings, //
};
use crate::{
    admin::PeerStatus,
    caller::{
        ForwardedRequest,
        ForwardedResponse,
        run_forwarded, //
    },
    config,
    kernel::{
        Context,
        DaemonPlugin,
        Plugin,
        PluginThread,
        Stage,
        StartError, //
    },
    mirror,
    model::{
        DaemonId,
        DataCentre,
        Incarnation,
        TargetId,
        Version,
        daemon_of, //
    },
    node,
    route, //
};

/// Longest message between daemons. A configuration snapshot of 4,500 customers must fit.
const MAX_MESSAGE_BYTES: usize = 16 << 20;

/// Most events in the queue; while it is full, the links are not read.
const MAX_QUEUED_EVENTS: usize = 4_096;

/// Interval at which state that changes without an event is polled.
const POLL_INTERVAL: Duration = Duration::from_millis(100);

/// Links that carry the mirror's messages.
type Links = Peers<mirror::Message>;

inventory::submit! {
    Plugin { name: "peers", stage: Stage::Link, start: spawn } as DaemonPlugin
}

/// Starts the links and the threads that exchange messages with them.
fn spawn(ctx: &Arc<Context>) -> Result<PluginThread, Report<StartError>> {
    let (sender, events) = flume::bounded(MAX_QUEUED_EVENTS);
    let links =
        Links::bind(link_settings(ctx), sender).change_context(StartError { name: "peers" })?;
    log::info!("listening for peers on {}", links.addr());
    let ctx = ctx.clone();
    Ok(PluginThread::spawn("peers-io", move |stop| {
        std::thread::scope(|scope| {
            scope.spawn(|| send_node_messages(&ctx, &links, &stop));
            scope.spawn(|| send_queued(&ctx, &links, &stop));
            scope.spawn(|| sync_state(&ctx, &links, &stop));
            receive_messages(&ctx, &links, &events, &stop);
        });
        links.stop();
    }))
}

/// Settings of the links from the settings of the daemon.
fn link_settings(ctx: &Context) -> Settings {
    let own = &ctx.settings;
    let started = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    let peers = own
        .peer
        .peers
        .iter()
        .filter(|peer| peer.id != own.daemon.id);
    Settings {
        ident: Ident {
            id: own.daemon.id.clone(),
            inc: ctx.node.incarnation(),
            dc: own.daemon.dc.clone(),
            vm: own.daemon.vm.clone(),
            addr: own.peer.listen,
            started: u64::try_from(started.as_millis()).unwrap_or(u64::MAX),
        },
        listen: own.peer.listen,
        peers: peers.cloned().collect(),
        secret: ctx.secret.to_vec(),
        max_message: MAX_MESSAGE_BYTES,
        seed: rand::random(),
    }
}

/// Sends the messages of the node. A message to an incarnation that is no longer the current one of
/// its daemon is dropped, as if it had been lost.
fn send_node_messages(ctx: &Context, links: &Links, stop: &flume::Receiver<()>) {
    while !stop.is_disconnected() {
        let Ok((to, message)) = ctx.queues.peer_messages.recv_timeout(POLL_INTERVAL) else {
            continue;
        };
        let daemon: DaemonId = daemon_of(&to).into();
        let current = links.members(|members| {
            members
                .peers()
                .get(&daemon)
                .is_some_and(|view| view.inc.as_ref() == Some(&to))
        });
        if current {
            links.send(&daemon, &Message::Node(message));
        }
    }
}

/// Sends strikes, notices of accepted versions, forwarded requests and load reports.
fn send_queued(ctx: &Context, links: &Links, stop: &flume::Receiver<()>) {
    while !stop.is_disconnected() {
        flume::Selector::new()
            .recv(&ctx.queues.strikes, |strike| {
                if let Ok(strike) = strike {
                    links.broadcast(&strike_message(&strike));
                }
            })
            .recv(&ctx.queues.version_notices, |version| {
                if let Ok(version) = version {
                    links.broadcast(&Message::Notice { version });
                }
            })
            .recv(&ctx.queues.forwards, |outgoing| {
                if let Ok((to, message)) = outgoing {
                    links.send(&to, &message);
                }
            })
            .recv(&ctx.queues.load_reports, |reports| {
                if let Ok(reports) = reports {
                    links.broadcast(&Message::Load {
                        reports: load_reports(reports),
                    });
                }
            })
            .wait_timeout(POLL_INTERVAL)
            .ok();
    }
}

/// Message that tells peers of a strike.
fn strike_message(strike: &route::Strike) -> Message<mirror::Message> {
    let fingerprint = ByteString(strike.fingerprint.to_be_bytes().to_vec());
    Message::Strike {
        fingerprint,
        target: strike.target.clone(),
    }
}

/// Converts the router's load reports for a message.
fn load_reports(reports: Vec<(TargetId, route::Load)>) -> Vec<LoadReport> {
    let convert = |(target, load): (TargetId, route::Load)| LoadReport {
        target,
        running: load.running,
        waiting: load.waiting,
        capacity: load.capacity,
        leaving: load.leaving,
    };
    reports.into_iter().map(convert).collect()
}

/// Handles messages from peers until the daemon stops.
fn receive_messages(
    ctx: &Arc<Context>,
    links: &Links,
    events: &flume::Receiver<Event<mirror::Message>>,
    stop: &flume::Receiver<()>,
) {
    while !stop.is_disconnected() {
        if let Ok(Event::Message { from, message }) = events.recv_timeout(POLL_INTERVAL) {
            handle_message(ctx, links, &from, message);
        }
    }
}

/// Passes a message from a peer to the part of the daemon that handles it.
fn handle_message(
    ctx: &Arc<Context>,
    links: &Links,
    from: &DaemonId,
    message: Message<mirror::Message>,
) {
    match message {
        Message::Node(message) => {
            let inc = links.members(|m| m.peers().get(from).and_then(|view| view.inc.clone()));
            if let Some(from) = inc {
                ctx.node.handle(node::Event::Message { from, message });
            }
        }
        Message::Strike {
            fingerprint,
            target,
        } => {
            if let Ok(bytes) = fingerprint.0.try_into() {
                let fingerprint = u64::from_be_bytes(bytes);
                ctx.router.add_strike(&route::Strike {
                    fingerprint,
                    target,
                });
            }
        }
        Message::Load { reports } => reports.into_iter().for_each(|report| {
            let LoadReport {
                target,
                running,
                waiting,
                capacity,
                leaving,
            } = report;
            ctx.router.report_load(
                &target,
                route::Load {
                    running,
                    waiting,
                    capacity,
                    leaving,
                },
            );
        }),
        Message::Notice { version } => {
            if config::lock_config(&ctx.config_state).record_announced(version) {
                let _ = ctx.wake_config.try_send(());
                links.send(
                    from,
                    &Message::Fetch {
                        after: config::lock_config(&ctx.config_state).version(),
                    },
                );
            }
        }
        Message::Fetch { after } => {
            let batch = config::lock_config(&ctx.config_state).edits_since(after);
            let body = serde_json::to_string(&batch).expect("edits can be written as JSON");
            let edit = Edit {
                version: batch.version,
                body: body.into(),
            };
            links.send(from, &Message::Edits { edits: vec![edit] });
        }
        Message::Edits { edits } => edits.iter().for_each(|edit| apply_edits(ctx, edit)),
        Message::Forward {
            id,
            customer,
            profile,
            key,
            line,
            kind,
            body,
            ..
        } => {
            let request = ForwardedRequest {
                customer: customer.to_string(),
                profile: profile.to_string(),
                key: key.to_string(),
                request_line: line.to_string(),
                content_type: kind.to_string(),
                body: body.0,
            };
            spawn_forwarded(ctx, from, id, request);
        }
        Message::Reply {
            id,
            status,
            verdict,
            kind,
            body,
        } => {
            let relayed = ForwardedResponse {
                status,
                verdict,
                content_type: kind.to_string(),
                body: body.0,
            };
            ctx.forwards.handle_reply(id, relayed);
        }
        // Handled in `shared`.
        Message::Heartbeat(_) | Message::Versions(_) => {}
    }
}

/// Runs a forwarded request in its own thread and sends the response back. When no thread can be
/// started, nothing is sent and the other daemon tells its caller that the request may have run.
fn spawn_forwarded(ctx: &Arc<Context>, from: &DaemonId, id: u64, request: ForwardedRequest) {
    let (worker, to) = (ctx.clone(), from.clone());
    let spawned = std::thread::Builder::new()
        .name("forwarded".into())
        .spawn(move || {
            let ForwardedResponse {
                status,
                verdict,
                content_type,
                body,
            } = run_forwarded(&worker, request);
            let body = ByteString(body);
            worker.forwards.send(
                to,
                Message::Reply {
                    id,
                    status,
                    verdict,
                    kind: content_type.into(),
                    body,
                },
            );
        });
    if spawned.is_err() {
        log::warn!("cannot start a thread for a forwarded request");
    }
}

/// Applies accepted edits from a peer. They are the same objects that the store holds, so a daemon
/// that can't reach the store can put them in force.
fn apply_edits(ctx: &Context, edit: &Edit) {
    let Ok(batch) = serde_json::from_str(&edit.body) else {
        log::warn!("a peer sent a configuration that cannot be decoded");
        return;
    };
    if config::lock_config(&ctx.config_state)
        .apply_batch(&batch)
        .is_ok()
    {
        config::apply_config(ctx);
    }
}

/// Passes on state that is polled: to the links the incarnation, the configuration in force, the list
/// of VMs and a stop; to the node the live incarnations; to the administration API the versions that
/// peers have confirmed.
fn sync_state(ctx: &Context, links: &Links, stop: &flume::Receiver<()>) {
    let mut known: BTreeMap<DaemonId, Incarnation> = BTreeMap::new();
    let mut own = ctx.node.incarnation();
    let mut version = 0;
    let mut vms = Arc::from([]);
    while stop.recv_timeout(POLL_INTERVAL) == Err(flume::RecvTimeoutError::Timeout) {
        let current = ctx.node.incarnation();
        if current != own {
            links.update(Input::Restarted(current.clone()));
            own = current;
        }
        let in_force = ctx.config.load().version;
        if in_force != version {
            links.update(Input::Config(in_force));
            version = in_force;
        }
        let list = ctx
            .vms
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .clone();
        if !Arc::ptr_eq(&list, &vms) {
            links.update(Input::Vms(list.to_vec()));
            vms = list;
        }
        if ctx.stopping.load(Ordering::Relaxed) {
            links.update(Input::Stopping);
        }
        report_peers(ctx, links, &mut known);
        record_versions(ctx, links, version);
    }
}

/// Tells the node which incarnations of peers have come up or gone down.
fn report_peers(ctx: &Context, links: &Links, known: &mut BTreeMap<DaemonId, Incarnation>) {
    let alive: BTreeMap<DaemonId, (Incarnation, mirror::Peer)> = links.members(|members| {
        let views = members.peers().iter();
        let alive = views.filter(|(_, view)| view.state == PeerState::Alive);
        alive
            .filter_map(|(id, view)| {
                let peer = mirror::Peer {
                    vm: view.vm.clone()?,
                    dc: view.dc.clone(),
                };
                Some((id.clone(), (view.inc.clone()?, peer)))
            })
            .collect()
    });
    known.retain(|id, inc| {
        let is_alive = alive.contains_key(id);
        if !is_alive {
            ctx.node.handle(node::Event::PeerDown { inc: inc.clone() });
        }
        is_alive
    });
    divide_targets(ctx, &alive);
    for (id, (inc, peer)) in alive {
        if known.get(&id) != Some(&inc) {
            known.insert(id, inc.clone());
            ctx.node.handle(node::Event::PeerUp { inc, peer });
        }
    }
}

/// Tells the router how many live daemons the data centre has, and the index of this one, so that each
/// uses its part of the targets.
fn divide_targets(ctx: &Context, alive: &BTreeMap<DaemonId, (Incarnation, mirror::Peer)>) {
    let own = &ctx.settings.daemon;
    let near: Vec<DaemonId> = alive
        .iter()
        .filter(|(_, (_, peer))| peer.dc == own.dc)
        .map(|(id, _)| id.clone())
        .collect();
    let mut known = ctx
        .local_daemons
        .lock()
        .unwrap_or_else(PoisonError::into_inner);
    if *known == near {
        return;
    }
    let before = near.iter().filter(|id| **id < own.id).count();
    let count = |number: usize| u32::try_from(number).unwrap_or(u32::MAX);
    ctx.router.set_fleet(count(before), count(near.len() + 1));
    *known = near;
}

/// Records the versions that the other daemons have confirmed, requests the edits from a peer that has
/// a later version, and updates the traffic metrics.
fn record_versions(ctx: &Context, links: &Links, own: Version) {
    let seen: Vec<(DaemonId, DataCentre, bool, Version)> = links.members(|members| {
        let versions = members.versions();
        let views = members.peers().iter();
        views
            .map(|(id, view)| {
                let reachable = view.state == PeerState::Alive;
                (
                    id.clone(),
                    view.dc.clone(),
                    reachable,
                    versions.get(id).unwrap_or(0),
                )
            })
            .collect()
    });
    if let Some((id, ..)) = seen
        .iter()
        .find(|(_, _, reachable, v)| *reachable && *v > own)
    {
        links.send(id, &Message::Fetch { after: own });
    }
    let confirmed = seen.into_iter().map(|(daemon, dc, reachable, version)| {
        (
            daemon.clone(),
            PeerStatus {
                daemon,
                dc,
                version,
                reachable,
            },
        )
    });
    *ctx.peer_status
        .lock()
        .unwrap_or_else(PoisonError::into_inner) = confirmed.collect();
    let counts = links.counts();
    let bytes = |direction: &str, count: u64| {
        let value = i64::try_from(count).unwrap_or(i64::MAX);
        ctx.metrics
            .peer_bytes
            .with_label_values(&[direction])
            .set(value);
    };
    bytes("sent", counts.bytes_sent);
    bytes("received", counts.bytes_received);
}
