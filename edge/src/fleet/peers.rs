//! Queries between daemons while the store is unreachable.
//!
//! A daemon that has lost its feeds queries some of the others for a newer configuration, the
//! runners and the strikes against requests. While the store is reachable, daemons exchange no
//! messages.

use std::{
    cell::Cell,
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
use serde::{
    Deserialize,
    Serialize, //
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
    client_async,
    tungstenite::Message, //
};

use crate::{
    adapter::{
        ConfigVersion,
        Store, //
    },
    catalog::{
        Runner,
        RunnerState, //
    },
    decide::rendezvous_weight,
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

/// Time after which a connection without a query is closed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(5);

/// Query of a daemon to another one.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct PeerQuery {
    /// Version of the configuration that the sender has; 0 for none.
    pub version: u64,
}

/// Reply of a daemon to a query.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct PeerReply {
    /// Name of the replying daemon.
    pub node: String,
    /// Encoded configuration, if it is newer than the one in the query.
    pub config: Option<Vec<u8>>,
    /// Version of the configuration in force; 0 for none.
    pub version: u64,
    /// Time since that version was last confirmed as the newest, in milliseconds.
    pub age_ms: u64,
    /// The runners, if the daemon currently receives them from the store.
    pub runners: Option<Vec<PeerRunner>>,
    /// Fingerprints of requests that crashed runners, with the number of strikes.
    pub strikes: Vec<(u64, u32)>,
}

/// A runner as encoded in a reply.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct PeerRunner {
    id: String,
    service: String,
    address: SocketAddr,
    zone: String,
    slots: u32,
    ready: bool,
    born: u64,
}

impl From<&Runner> for PeerRunner {
    fn from(runner: &Runner) -> PeerRunner {
        PeerRunner {
            id: runner.id.to_string(),
            service: runner.service.to_string(),
            address: runner.address,
            zone: runner.zone.to_string(),
            slots: runner.slots,
            ready: runner.state == RunnerState::Ready,
            born: runner.born,
        }
    }
}

impl From<PeerRunner> for Runner {
    fn from(peer: PeerRunner) -> Runner {
        Runner {
            id: Arc::from(peer.id),
            service: Arc::from(peer.service),
            address: peer.address,
            zone: Arc::from(peer.zone),
            slots: peer.slots,
            state: if peer.ready {
                RunnerState::Ready
            } else {
                RunnerState::Draining
            },
            born: peer.born,
        }
    }
}

/// Encodes a query or reply as CBOR in a binary message.
fn encode<T: Serialize>(value: &T) -> io::Result<Message> {
    let mut bytes = Vec::new();
    ciborium::into_writer(value, &mut bytes).map_err(io::Error::other)?;
    Ok(Message::binary(bytes))
}

/// Decodes a query or reply from CBOR.
fn decode<T: for<'de> Deserialize<'de>>(message: &Message) -> io::Result<T> {
    ciborium::from_reader(&message.clone().into_data()[..]).map_err(io::Error::other)
}

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

/// Answers the queries on one connection until it is closed or idle.
async fn serve_connection<D>(core: &Core<D>, stream: TcpStream) -> io::Result<()> {
    let mut socket = timeout(QUERY_TIMEOUT, accept_async(stream))
        .await?
        .map_err(io::Error::other)?;
    while let Some(message) = timeout(IDLE_TIMEOUT, socket.next()).await? {
        let message = message.map_err(io::Error::other)?;
        if !message.is_binary() {
            continue;
        }
        let query: PeerQuery = decode(&message)?;
        let reply = encode(&build_reply(core, &query))?;
        socket.send(reply).await.map_err(io::Error::other)?;
    }
    Ok(())
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
        strikes: core.strikes.borrow().local_strikes(now),
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
        let replies = Rc::new(Cell::new(0_usize));
        let mut tasks = Vec::new();
        for address in chosen {
            let replies = Rc::clone(&replies);
            let core = Rc::clone(&core);
            let store = Rc::clone(&store);
            tasks.push(spawn_local(async move {
                match timeout(QUERY_TIMEOUT, query_peer(&core, address)).await {
                    Ok(Ok(reply)) => {
                        replies.set(replies.get() + 1);
                        apply_reply(&core, &*store, reply);
                    }
                    Ok(Err(e)) => {
                        log::debug!("event=peer_unreachable peer={address} error=\"{e}\"")
                    }
                    Err(_) => log::debug!("event=peer_unreachable peer={address} error=timeout"),
                }
            }));
        }
        for task in tasks {
            if let Err(e) = task.await {
                log::warn!("event=task_failed task=ask_peer error=\"{e}\"");
            }
        }
        if reached != (replies.get() > 0) {
            reached = !reached;
            log::info!(
                "event=peers_{} asked={asked} replied={}",
                if reached { "reached" } else { "lost" },
                replies.get()
            );
        }
    }
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

/// Applies a reply: configuration, its confirmation, strikes and runners.
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
    if !reply.strikes.is_empty() {
        core.strikes
            .borrow_mut()
            .set_peer_strikes(&reply.node, &reply.strikes, now);
    }
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
