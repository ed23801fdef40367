//! Messages between daemons.
//!
//! A daemon that has lost its feeds queries some of the others for a newer configuration, the
//! runners and what crashes runners. Daemons without grants reserve tokens at the holders.

use std::{
    cell::RefCell,
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
    StreamExt,
    stream::FuturesUnordered, //
};
use tokio::{
    net::{
        TcpListener,
        TcpStream, //
    },
    task::spawn_local,
    time::{
        sleep,
        timeout,
        timeout_at, //
    },
};
use tokio_tungstenite::{
    WebSocketStream, accept_async_with_config, client_async,
    tungstenite::{
        Message,
        protocol::WebSocketConfig, //
    },
};

use crate::{
    accept::{
        Client,
        Clients,
        accept_clients, //
    },
    adapter::{
        ConfigVersion,
        Dialect,
        Store, //
    },
    catalog::Runner,
    decide::{
        PeerChoice,
        PeerStanding,
        Stage, //
    },
    http::configure_stream,
    peer::{
        GrantsKnown,
        PeerMessage,
        PeerQuery,
        PeerReply,
        ReserveReply,
        TextMessage,
        decode,
        decode_text,
        encode,
        encode_text, //
    },
    serve::{
        Core,
        begins_handover,
        serve_handed_over, //
    },
};

/// Age of the last confirmation of the configuration at which other daemons are queried.
const QUERY_AFTER: Duration = Duration::from_millis(1300);

/// Pause between two rounds of queries.
const QUERY_PAUSE: Duration = Duration::from_millis(300);

/// Longest time for one query and its reply.
const QUERY_TIMEOUT: Duration = Duration::from_millis(400);

/// Maximum number of daemons that are queried in one round.
const MAX_QUERIED: usize = 3;

/// Time after the first reply of a round for which further ones are awaited: daemons that do not answer must
/// not delay those that do.
const LATER_REPLIES: Duration = Duration::from_millis(60);

/// Age of a row, in milliseconds before the newest one, up to which its daemon counts as running. Rows are
/// written every 7.5 s or more often.
const MAX_ROW_AGE_MS: u64 = 20_000;

/// Rows that count as the newest. Where machines are replaced all the time, most rows that were written recently are
/// those of machines that are gone, while those that run write theirs again.
const NEWEST_ROWS: usize = 12;

/// Age of the replying daemon's own confirmation up to which its reply confirms the configuration.
const MAX_CONFIRM_AGE: Duration = Duration::from_millis(1500);

/// Time after which a connection without a message is closed: longer than a request may last.
const IDLE_TIMEOUT: Duration = Duration::from_secs(60);

/// Largest message of another daemon. Reservations and settlements have a few hundred bytes, and the control
/// traffic of a daemon stays below 22 KB/s.
const MAX_MESSAGE_BYTES: usize = 64 * 1024;

/// Buffer of each connection for reading, and the least that is written at once.
const PEER_BUFFER_BYTES: usize = 4 * 1024;

/// Reply to a query.
struct TimedReply {
    reply: PeerReply,
    /// Time at which the query was sent. The reply may be of any moment since then.
    asked: Instant,
}

/// Listens on `address`, answers the queries of other daemons and takes the requests that they hand over.
///
/// # Errors
///
/// Fails if the address cannot be bound.
pub async fn serve_peers<D: Dialect>(
    core: &Rc<Core<D>>,
    address: SocketAddr,
    clients: &Rc<Clients>,
) -> io::Result<()> {
    let listener = TcpListener::bind(address).await?;
    let core = Rc::clone(core);
    let serve = move |stream, client: Client| {
        let core = Rc::clone(&core);
        spawn_local(async move {
            let ended = match begins_handover(&core, &stream).await {
                Ok(true) => serve_handed_over(&core, stream, client).await,
                Ok(false) => tokio::select! {
                    biased;
                    () = client.dropped() => return,
                    ended = serve_connection(&core, stream, &client) => ended,
                },
                Err(e) => Err(e),
            };
            if let Err(e) = ended {
                log::debug!("event=peer_link_ended error=\"{e}\"");
            }
        });
    };
    // Another daemon takes a closed connection for a lost one and asks elsewhere.
    spawn_local(accept_clients(listener, Rc::clone(clients), serve, |_| {}));
    Ok(())
}

/// Limits of the WebSocket of an accepted connection.
fn socket_config() -> WebSocketConfig {
    WebSocketConfig::default()
        .read_buffer_size(PEER_BUFFER_BYTES)
        .write_buffer_size(PEER_BUFFER_BYTES)
        .max_message_size(Some(MAX_MESSAGE_BYTES))
        .max_frame_size(Some(MAX_MESSAGE_BYTES))
}

/// Answers the messages on one connection until it is closed or idle.
async fn serve_connection<D: 'static>(
    core: &Rc<Core<D>>,
    stream: TcpStream,
    client: &Client,
) -> io::Result<()> {
    configure_stream(&stream);
    let limit = QUERY_TIMEOUT + core.link.allowance(Instant::now());
    let socket = timeout(
        limit,
        accept_async_with_config(stream, Some(socket_config())),
    )
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
                client.set_stage(Stage::Idle);
                if message.is_text()
                    && let Some(reply) = handle_text(core, &message)
                {
                    sink.send(encode_text(&reply)?).await.map_err(io::Error::other)?;
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

/// Handles one text message; returns the reply to a notice. One that can't be decoded may be of a later version.
fn handle_text<D>(core: &Core<D>, message: &Message) -> Option<GrantsKnown> {
    match decode_text(message) {
        Ok(TextMessage::Loads(loads)) => core.merge_loads(&loads, Instant::now()),
        Ok(TextMessage::Grants { grants }) if grants.is_plausible() => {
            let known = grants.number;
            core.ledger.borrow_mut().record_notice(grants);
            return Some(GrantsKnown { known });
        }
        Ok(TextMessage::Grants { grants }) => {
            log::warn!("event=notice_unusable node={}", grants.node.escape_debug());
        }
        Err(e) => log::debug!("event=text_unusable error=\"{e}\""),
    }
    None
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
        PeerMessage::Grants { grants } => {
            log::debug!("event=notice_unusable node={}", grants.node.escape_debug());
        }
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
        evacuations: core.known_evacuations(),
    }
}

/// Queries other daemons whenever the store has not confirmed the configuration recently.
pub async fn query_peers<D: 'static, S: Store>(
    core: Rc<Core<D>>,
    store: Rc<S>,
    seeds: Vec<SocketAddr>,
    own: SocketAddr,
) {
    let choice = Rc::new(RefCell::new(PeerChoice::default()));
    let mut reached = true;
    loop {
        sleep(QUERY_PAUSE).await;
        let age = core.config_age_ms(Instant::now());
        if age < QUERY_AFTER.as_millis() as u64 {
            continue;
        }
        let known = known_peers(&core, &seeds);
        let chosen = choice.borrow_mut().choose(own, &known, MAX_QUERIED);
        let asked = chosen.len();
        let replies = query_all(&core, &choice, chosen).await;
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
async fn query_all<D: 'static>(
    core: &Rc<Core<D>>,
    choice: &Rc<RefCell<PeerChoice>>,
    addresses: Vec<SocketAddr>,
) -> Vec<TimedReply> {
    let query = |address| {
        let (core, choice) = (Rc::clone(core), Rc::clone(choice));
        // Goes on after the end of the round, and so learns whether the daemon replies.
        spawn_local(async move {
            let limit = QUERY_TIMEOUT + core.link.allowance(Instant::now());
            let result = timeout(limit, query_peer(&core, address)).await;
            choice
                .borrow_mut()
                .record(address, matches!(result, Ok(Ok(_))));
            match result {
                Ok(Ok(reply)) => return Some(reply),
                Ok(Err(e)) => log::debug!("event=peer_unreachable peer={address} error=\"{e}\""),
                Err(_) => log::debug!("event=peer_unreachable peer={address} error=timeout"),
            }
            None
        })
    };
    let mut tasks: FuturesUnordered<_> = addresses.into_iter().map(query).collect();
    let mut replies = Vec::new();
    // Each query ends by itself, so that the wait for the first reply needs no further limit.
    while let Some(ended) = tasks.next().await {
        match ended {
            Ok(Some(reply)) => {
                replies.push(reply);
                break;
            }
            Ok(None) => {}
            Err(e) => log::warn!("event=task_failed task=query error=\"{e}\""),
        }
    }
    let end = tokio::time::Instant::now() + LATER_REPLIES;
    while let Ok(Some(ended)) = timeout_at(end, tasks.next()).await {
        match ended {
            Ok(reply) => replies.extend(reply),
            Err(e) => log::warn!("event=task_failed task=query error=\"{e}\""),
        }
    }
    replies.sort_by_key(|timed: &TimedReply| Reverse(timed.reply.version));
    replies
}

/// The daemons of all rows and the seeds. Ages of rows are counted from the newest one, because this daemon may
/// have read none for long.
fn known_peers<D>(core: &Core<D>, seeds: &[SocketAddr]) -> Vec<(SocketAddr, PeerStanding)> {
    let ledger = core.ledger.borrow();
    // A row that is dated later than the store's clock says nothing about its daemon.
    let now = ledger.store_now(Instant::now()).unwrap_or(u64::MAX);
    let seen = ledger.peer_rows().map(|(_, row)| row.seen);
    let newest = seen.filter(|seen| *seen <= now).max().unwrap_or(0);
    let mut times: Vec<u64> = ledger
        .peer_rows()
        .filter(|(_, row)| !row.leaving && row.seen <= now)
        .map(|(_, row)| row.seen)
        .collect();
    times.sort_unstable_by_key(|seen| Reverse(*seen));
    let newest_from = times.get(NEWEST_ROWS - 1).copied().unwrap_or(0);
    let rows = ledger.peer_rows().filter_map(|(_, row)| {
        let recent = row.seen <= now && row.seen.saturating_add(MAX_ROW_AGE_MS) >= newest;
        let standing = match recent && !row.leaving {
            true if row.seen >= newest_from => PeerStanding::Newest,
            true => PeerStanding::Running,
            false => PeerStanding::Gone,
        };
        Some((row.peer?, standing))
    });
    let seeds = seeds.iter().map(|a| (*a, PeerStanding::Seed));
    rows.chain(seeds).collect()
}

/// Sends one query to the daemon at `address` and returns its reply.
async fn query_peer<D>(core: &Core<D>, address: SocketAddr) -> io::Result<TimedReply> {
    let stream = TcpStream::connect(address).await?;
    let (mut socket, _) = client_async(format!("ws://{address}/"), stream)
        .await
        .map_err(io::Error::other)?;
    let query = PeerQuery {
        version: core.config().map_or(0, |c| c.version),
    };
    let asked = Instant::now();
    socket
        .send(encode(&query)?)
        .await
        .map_err(io::Error::other)?;
    let reply = read_reply(&mut socket).await?;
    Ok(TimedReply { reply, asked })
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

/// Applies a reply: evacuations, configuration, its confirmation, observations and runners.
fn apply_reply<D, S: Store>(core: &Core<D>, store: &S, timed: TimedReply) {
    let TimedReply { reply, asked } = timed;
    let now = Instant::now();
    core.link.record(now);
    if let Some(state) = reply.evacuations {
        core.merge_evacuations(&reply.node, state);
    }
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
        && let Some(at) = asked.checked_sub(age)
    {
        core.confirm_config(at);
    }
    core.merge_observations(&reply.node, &reply.observed, now);
    if let Some(runners) = reply.runners
        && !core.runners_fresh(now)
    {
        let entries: Vec<Runner> = runners.into_iter().map(Runner::from).collect();
        let cold = core.find_cold(&entries);
        let changed = core.directory.borrow_mut().replace(entries, now);
        core.mark_all_cold(&cold, now);
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
