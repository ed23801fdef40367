//! Messages between daemons.
//!
//! A daemon that has lost its feeds queries some of the others for a newer configuration, the
//! runners and what crashes runners. Daemons without grants reserve tokens at the holders.

use std::{
    cell::Cell,
    cmp::Reverse,
    io,
    net::SocketAddr,
    rc::Rc,
    sync::Arc,
    time::{
        Duration,
        Instant, //
    },
};

use futures_util::{
    SinkExt,
    StreamExt, //
};
use tokio::{
    net::{
        TcpListener,
        TcpStream, //
    },
    task::spawn_local,
    time::{
        sleep,
        timeout, //
    },
};
use tokio_tungstenite::{
    WebSocketStream,
    accept_async,
    client_async, //
};

use crate::{
    adapter::{
        ConfigVersion,
        Store, //
    },
    catalog::Runner,
    decide::rendezvous_weight,
    http::configure_stream,
    peer::{
        PeerMessage,
        PeerQuery,
        PeerReply,
        ReserveReply,
        decode,
        decode_loads,
        encode, //
    },
    serve::Core,
};

/// Age of the last confirmation of the configuration at which other daemons are queried.
const QUERY_AFTER: Duration = Duration::from_millis(1300);

/// Pause between two rounds of queries.
const QUERY_PAUSE: Duration = Duration::from_millis(300);

/// Longest time for one query and its reply.
const QUERY_TIMEOUT: Duration = Duration::from_millis(400);

/// Maximum number of daemons that are queried in one round.
const MAX_QUERIED: usize = 3;

/// Age of the replying daemon's own confirmation up to which its reply confirms the configuration.
const MAX_CONFIRM_AGE: Duration = Duration::from_millis(1500);

/// Time after which a connection without a message is closed: longer than a request may last.
const IDLE_TIMEOUT: Duration = Duration::from_secs(60);

/// Listens on `address` and answers the queries of other daemons.
///
/// # Errors
///
/// Fails if the address cannot be bound.
pub async fn serve_peers<D: 'static>(core: &Rc<Core<D>>, address: SocketAddr) -> io::Result<()> {
    let listener = TcpListener::bind(address).await?;
    let core = Rc::clone(core);
    spawn_local(async move {
        loop {
            match listener.accept().await {
                Ok((stream, _)) => {
                    let core = Rc::clone(&core);
                    spawn_local(async move {
                        if let Err(e) = serve_connection(&core, stream).await {
                            log::debug!("event=peer_link_ended error=\"{e}\"");
                        }
                    });
                }
                Err(e) => {
                    log::warn!("event=accept_failed error=\"{e}\"");
                    sleep(QUERY_PAUSE).await;
                }
            }
        }
    });
    Ok(())
}

/// Answers the messages on one connection until it is closed or idle.
async fn serve_connection<D: 'static>(core: &Rc<Core<D>>, stream: TcpStream) -> io::Result<()> {
    configure_stream(&stream);
    let limit = QUERY_TIMEOUT + core.link.allowance(Instant::now());
    let socket = timeout(limit, accept_async(stream))
        .await?
        .map_err(io::Error::other)?;
    let (mut sink, mut messages) = socket.split();
    let (reserved, outcomes) = flume::unbounded();
    loop {
        tokio::select! {
            message = timeout(IDLE_TIMEOUT, messages.next()) => {
                let Some(message) = message? else {
                    return Ok(());
                };
                let message = message.map_err(io::Error::other)?;
                if message.is_text() {
                    match decode_loads(&message) {
                        Ok(loads) => core.merge_loads(&loads, Instant::now()),
                        Err(e) => log::debug!("event=loads_unusable error=\"{e}\""),
                    }
                }
                if !message.is_binary() {
                    continue;
                }
                if let Some(reply) = handle_message(core, decode(&message)?, &reserved) {
                    sink.send(encode(&reply)?).await.map_err(io::Error::other)?;
                }
            }
            Ok(reply) = outcomes.recv_async() => {
                sink.send(encode(&reply)?).await.map_err(io::Error::other)?;
            }
        }
    }
}

/// Handles one message. The outcomes of a reservation are sent to `reserved`, as it may have to wait;
/// returns the reply to a query.
fn handle_message<D: 'static>(
    core: &Rc<Core<D>>,
    message: PeerMessage,
    reserved: &flume::Sender<ReserveReply>,
) -> Option<PeerReply> {
    core.link.record(Instant::now());
    match message {
        PeerMessage::Query(query) => return Some(build_reply(core, &query)),
        PeerMessage::Loads { loads } => core.merge_loads(&loads, Instant::now()),
        PeerMessage::Settle { settle } => core.settle_for_peer(&settle),
        PeerMessage::Reclaim { reclaim } => {
            log::info!("event=reserve_reclaimed customer={reclaim}");
            core.ledger.borrow_mut().reclaim(&reclaim, Instant::now());
            core.writer_wake.notify_one();
        }
        PeerMessage::Reserve { reserve } => {
            let (core, reserved) = (Rc::clone(core), reserved.clone());
            spawn_local(async move { core.reserve_for_peer(reserve, reserved).await });
        }
    }
    None
}

/// Builds the reply to a query.
fn build_reply<D>(core: &Core<D>, query: &PeerQuery) -> PeerReply {
    let now = Instant::now();
    let version = core.version();
    let number = version.as_ref().map_or(0, |v| v.config.version);
    let follows = core.runners_fresh(now);
    PeerReply {
        node: core.node.clone(),
        config: version
            .filter(|v| v.config.version > query.version)
            .map(|v| v.bytes.to_vec()),
        version: number,
        age_ms: core.config_age_ms(now),
        runners: follows.then(|| {
            core.directory
                .borrow()
                .all()
                .map(|r| (&**r).into())
                .collect()
        }),
        strikes: Vec::new(),
        observed: core.all_observations(now),
    }
}

/// Queries other daemons whenever the store has not confirmed the configuration recently.
pub async fn query_peers<D: 'static, S: Store>(
    core: Rc<Core<D>>,
    store: Rc<S>,
    seeds: Vec<SocketAddr>,
    own: SocketAddr,
) {
    let round = Cell::new(0_u64);
    let mut reached = true;
    loop {
        sleep(QUERY_PAUSE).await;
        let age = core.config_age_ms(Instant::now());
        if age < QUERY_AFTER.as_millis() as u64 {
            continue;
        }
        round.set(round.get() + 1);
        let chosen = choose_peers(&core, &seeds, own, round.get());
        let asked = chosen.len();
        let replies = query_all(&core, chosen).await;
        if reached == replies.is_empty() {
            reached = !reached;
            log::info!(
                "event=peers_{} asked={asked} replied={}",
                if reached { "reached" } else { "lost" },
                replies.len()
            );
        }
        for reply in replies {
            apply_reply(&core, &*store, reply);
        }
    }
}

/// Queries the daemons at `addresses` at the same time. Returns their replies, the newest configuration first,
/// so that an older one never comes into force before it.
async fn query_all<D: 'static>(core: &Rc<Core<D>>, addresses: Vec<SocketAddr>) -> Vec<PeerReply> {
    let query = |address| {
        let core = Rc::clone(core);
        spawn_local(async move {
            let limit = QUERY_TIMEOUT + core.link.allowance(Instant::now());
            match timeout(limit, query_peer(&core, address)).await {
                Ok(Ok(reply)) => return Some(reply),
                Ok(Err(e)) => log::debug!("event=peer_unreachable peer={address} error=\"{e}\""),
                Err(_) => log::debug!("event=peer_unreachable peer={address} error=timeout"),
            }
            None
        })
    };
    let tasks: Vec<_> = addresses.into_iter().map(query).collect();
    let mut replies = Vec::new();
    for task in tasks {
        match task.await {
            Ok(reply) => replies.extend(reply),
            Err(e) => log::warn!("event=task_failed task=query error=\"{e}\""),
        }
    }
    replies.sort_by_key(|reply: &PeerReply| Reverse(reply.version));
    replies
}

/// Chooses the daemons to query in this round, from the other daemons' rows and the seeds; each
/// round prefers different ones.
fn choose_peers<D>(
    core: &Core<D>,
    seeds: &[SocketAddr],
    own: SocketAddr,
    round: u64,
) -> Vec<SocketAddr> {
    let ledger = core.ledger.borrow();
    let mut list: Vec<SocketAddr> = ledger.peer_rows().filter_map(|(_, row)| row.peer).collect();
    list.extend_from_slice(seeds);
    list.sort_unstable();
    list.dedup();
    list.retain(|a| *a != own);
    list.sort_by_key(|a| rendezvous_weight(round, &a.to_string()));
    list.truncate(MAX_QUERIED);
    list
}

/// Sends one query to the daemon at `address` and returns its reply.
async fn query_peer<D>(core: &Core<D>, address: SocketAddr) -> io::Result<PeerReply> {
    let stream = TcpStream::connect(address).await?;
    let (mut socket, _) = client_async(format!("ws://{address}/"), stream)
        .await
        .map_err(io::Error::other)?;
    let query = PeerQuery {
        version: core.config().map_or(0, |c| c.version),
    };
    socket
        .send(encode(&query)?)
        .await
        .map_err(io::Error::other)?;
    read_reply(&mut socket).await
}

/// Waits for the reply, and skips messages that are not binary.
async fn read_reply(socket: &mut WebSocketStream<TcpStream>) -> io::Result<PeerReply> {
    while let Some(message) = socket.next().await {
        let message = message.map_err(io::Error::other)?;
        if message.is_binary() {
            return decode(&message);
        }
    }
    Err(io::ErrorKind::UnexpectedEof.into())
}

/// Applies a reply: configuration, its confirmation, observations and runners.
fn apply_reply<D, S: Store>(core: &Core<D>, store: &S, reply: PeerReply) {
    let now = Instant::now();
    core.link.record(now);
    if let Some(bytes) = reply.config {
        match store.decode_config(&bytes) {
            Ok(config) => {
                let version = ConfigVersion {
                    config: Arc::new(config),
                    bytes: Arc::from(bytes),
                };
                core.apply_config(version, &reply.node);
            }
            Err(fault) => {
                log::warn!(
                    "event=peer_config_unusable peer={} error=\"{fault}\"",
                    reply.node
                );
            }
        }
    }
    let age = Duration::from_millis(reply.age_ms.min(60_000));
    let same = core.config().is_some_and(|c| c.version == reply.version);
    if same
        && age < MAX_CONFIRM_AGE
        && let Some(at) = now.checked_sub(age)
    {
        core.confirm_config(at);
    }
    core.merge_observations(&reply.node, &reply.observed, now);
    if let Some(runners) = reply.runners
        && !core.runners_fresh(now)
    {
        let entries = runners.into_iter().map(Runner::from).collect();
        let changed = core.directory.borrow_mut().replace(entries, now);
        if changed {
            log::info!(
                "event=runners_read count={} source={}",
                core.directory.borrow().len(),
                reply.node
            );
            core.prune_upstreams();
            core.runner_freed.notify_waiters();
        }
    }
}
