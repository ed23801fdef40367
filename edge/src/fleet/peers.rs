//! Asking other daemons for what the store does not tell.
//!
//! A daemon whose feeds are lost asks some of the others for a newer configuration, the runners and
//! the requests that crash runners. While the store answers, no message passes between daemons.

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
    border::{
        Store,
        Version, //
    },
    catalog::{
        Runner,
        RunnerState, //
    },
    decide::rendezvous_weight,
    serve::Core,
};

/// Time without a confirmation of the configuration after which other daemons are asked.
const ASK_AFTER: Duration = Duration::from_millis(1300);

/// Pause between two rounds of questions.
const ASK_PAUSE: Duration = Duration::from_millis(300);

/// Longest time for one question with its answer.
const ASK_TIME: Duration = Duration::from_millis(400);

/// Daemons that are asked in one round.
const MAX_ASKED: usize = 3;

/// Age of an answerer's own confirmation up to which its answer confirms the configuration.
const CONFIRM_AGE: Duration = Duration::from_millis(1500);

/// Time for which a question is awaited on an open link.
const LINK_IDLE: Duration = Duration::from_secs(5);

/// What a daemon asks.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct PeerQuery {
    /// Version of the configuration that it has; 0 for none.
    pub version: u64,
}

/// What a daemon answers.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct PeerReply {
    /// Name of the daemon.
    pub node: String,
    /// The configuration, if it is newer than the one of the question.
    pub config: Option<Vec<u8>>,
    /// Version in force.
    pub version: u64,
    /// Time since it was known to be the newest, in milliseconds.
    pub age_ms: u64,
    /// The runners, if the daemon follows them at the store now.
    pub runners: Option<Vec<PeerRunner>>,
    /// Requests that crash runners.
    pub strikes: Vec<(u64, u32)>,
}

/// A runner in an answer.
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

fn encode<T: Serialize>(value: &T) -> io::Result<Message> {
    let mut bytes = Vec::new();
    ciborium::into_writer(value, &mut bytes).map_err(io::Error::other)?;
    Ok(Message::binary(bytes))
}

fn decode<T: for<'de> Deserialize<'de>>(message: &Message) -> io::Result<T> {
    ciborium::from_reader(&message.clone().into_data()[..]).map_err(io::Error::other)
}

/// Answers the questions of other daemons at `address`.
///
/// # Errors
///
/// Fails if the address can't be bound.
pub async fn serve_peers<D: 'static>(core: &Rc<Core<D>>, address: SocketAddr) -> io::Result<()> {
    let listener = TcpListener::bind(address).await?;
    let core = Rc::clone(core);
    spawn_local(async move {
        loop {
            match listener.accept().await {
                Ok((stream, _)) => {
                    let core = Rc::clone(&core);
                    spawn_local(async move {
                        if let Err(e) = serve_peer(&core, stream).await {
                            log::debug!("event=peer_link_ended error=\"{e}\"");
                        }
                    });
                }
                Err(e) => {
                    log::warn!("event=accept_failed error=\"{e}\"");
                    sleep(ASK_PAUSE).await;
                }
            }
        }
    });
    Ok(())
}

async fn serve_peer<D>(core: &Core<D>, stream: TcpStream) -> io::Result<()> {
    let mut link = timeout(ASK_TIME, accept_async(stream))
        .await?
        .map_err(io::Error::other)?;
    while let Some(message) = timeout(LINK_IDLE, link.next()).await? {
        let message = message.map_err(io::Error::other)?;
        if !message.is_binary() {
            continue;
        }
        let question: PeerQuery = decode(&message)?;
        let answer = encode(&answer(core, &question))?;
        link.send(answer).await.map_err(io::Error::other)?;
    }
    Ok(())
}

fn answer<D>(core: &Core<D>, question: &PeerQuery) -> PeerReply {
    let now = Instant::now();
    let version = core.version();
    let number = version.as_ref().map_or(0, |v| v.config.version);
    let follows = core.runners_followed(now);
    PeerReply {
        node: core.node.clone(),
        config: version
            .filter(|v| v.config.version > question.version)
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

/// Asks other daemons for as long as the store does not confirm the configuration.
pub async fn query_peers<D: 'static, S: Store>(
    core: Rc<Core<D>>,
    store: Rc<S>,
    seeds: Vec<SocketAddr>,
    own: SocketAddr,
) {
    let round = Cell::new(0_u64);
    loop {
        sleep(ASK_PAUSE).await;
        let age = core.config_age_ms(Instant::now());
        if age < ASK_AFTER.as_millis() as u64 {
            continue;
        }
        round.set(round.get() + 1);
        let asked = choose(&core, &seeds, own, round.get());
        let mut tasks = Vec::new();
        for address in asked {
            let core = Rc::clone(&core);
            let store = Rc::clone(&store);
            tasks.push(spawn_local(async move {
                match timeout(ASK_TIME, ask(&core, address)).await {
                    Ok(Ok(answer)) => take(&core, &*store, answer),
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
    }
}

/// The daemons to ask in this round: others that have a row, else the seeds; in turn.
fn choose<D>(core: &Core<D>, seeds: &[SocketAddr], own: SocketAddr, round: u64) -> Vec<SocketAddr> {
    let ledger = core.ledger.borrow();
    let mut list: Vec<SocketAddr> = ledger.peer_rows().filter_map(|(_, row)| row.peer).collect();
    list.extend_from_slice(seeds);
    list.sort_unstable();
    list.dedup();
    list.retain(|a| *a != own);
    list.sort_by_key(|a| rendezvous_weight(round, &a.to_string()));
    list.truncate(MAX_ASKED);
    list
}

async fn ask<D>(core: &Core<D>, address: SocketAddr) -> io::Result<PeerReply> {
    let stream = TcpStream::connect(address).await?;
    let (mut link, _) = client_async(format!("ws://{address}/"), stream)
        .await
        .map_err(io::Error::other)?;
    let question = PeerQuery {
        version: core.config().map_or(0, |c| c.version),
    };
    link.send(encode(&question)?)
        .await
        .map_err(io::Error::other)?;
    read_answer(&mut link).await
}

async fn read_answer(link: &mut WebSocketStream<TcpStream>) -> io::Result<PeerReply> {
    while let Some(message) = link.next().await {
        let message = message.map_err(io::Error::other)?;
        if message.is_binary() {
            return decode(&message);
        }
    }
    Err(io::ErrorKind::UnexpectedEof.into())
}

fn take<D, S: Store>(core: &Core<D>, store: &S, answer: PeerReply) {
    let now = Instant::now();
    if let Some(bytes) = answer.config {
        match store.decode(&bytes) {
            Ok(config) => {
                let version = Version {
                    config: Arc::new(config),
                    bytes: Arc::from(bytes),
                };
                core.apply(version, &answer.node);
            }
            Err(fault) => {
                log::warn!(
                    "event=peer_config_unusable peer={} error=\"{fault}\"",
                    answer.node
                );
            }
        }
    }
    let age = Duration::from_millis(answer.age_ms.min(60_000));
    let same = core.config().is_some_and(|c| c.version == answer.version);
    if same
        && age < CONFIRM_AGE
        && let Some(at) = now.checked_sub(age)
    {
        core.confirm(at);
    }
    if !answer.strikes.is_empty() {
        core.strikes
            .borrow_mut()
            .set_peer_strikes(&answer.node, &answer.strikes, now);
    }
    if let Some(runners) = answer.runners
        && !core.runners_followed(now)
    {
        let entries = runners.into_iter().map(Runner::from).collect();
        let changed = core.directory.borrow_mut().replace(entries, now);
        if changed {
            log::info!(
                "event=runners_read count={} source={}",
                core.directory.borrow().len(),
                answer.node
            );
            core.prune();
            core.freed.notify_waiters();
        }
    }
}
