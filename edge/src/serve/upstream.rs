//! State that the daemon keeps for one runner: idle connections, load, failures.

use std::{
    cell::{
        Cell,
        RefCell, //
    },
    collections::HashMap,
    rc::Rc,
    sync::Arc,
    time::{
        Duration,
        Instant, //
    },
};

use tokio::sync::Notify;

use crate::{
    adapter::Load,
    catalog::Runner,
    decide::{
        Candidate,
        CautiousLoad,
        LoadView,
        LoadedCandidate,
        Places,
        PromptPart,
        RunnerKey,
        Speeds,
        Turn,
        runner_key, //
    },
    http::{
        Connection,
        ConnectionError,
        LinkActivity, //
    },
};

/// Idle time after which a connection is closed if the runner does not announce its own idle timeout.
const DEFAULT_KEEP_ALIVE: Duration = Duration::from_millis(400);

/// Part of the runner's announced idle timeout for which a connection may be reused.
const KEEP_ALIVE_FRACTION: f64 = 0.6;

/// Longest idle time of a connection that is reused for a request that must not be sent twice.
const MAX_ONCE_IDLE: Duration = Duration::from_millis(300);

/// Time for which a prompt part is assumed to stay in a runner's cache.
const PROMPT_CACHE_TTL: Duration = Duration::from_secs(10);

/// Prompt parts remembered for one runner above which expired ones are removed.
const MAX_CACHED_PARTS: usize = 1024;

/// Age up to which a reported load is used.
const MAX_LOAD_AGE: Duration = Duration::from_millis(1500);

/// Longest time for opening a connection that probes a silent runner.
const PROBE_TIMEOUT: Duration = Duration::from_millis(60);

/// Weight of one outcome in the failure rate.
const OUTCOME_WEIGHT: f64 = 0.2;

/// Time in which the failure rate decays to about a third (1/e), in seconds.
const FAILURE_DECAY_S: f64 = 4.0;

/// Time after which the rank at a runner is counted again.
const RANK_AGE: Duration = Duration::from_secs(1);

/// Result of a probe of a runner.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Probe {
    /// It accepts connections.
    Reachable,
    /// Its machine answers that nothing listens there, so its process has ended.
    Refused,
    /// It does not accept connections, for another reason.
    Unreachable,
    /// The probe failed for a reason that may lie with this VM.
    Inconclusive,
}

impl Probe {
    /// Whether the runner accepts no connections.
    pub fn is_down(self) -> bool {
        matches!(self, Probe::Refused | Probe::Unreachable)
    }

    /// Name in log lines.
    pub fn as_str(self) -> &'static str {
        match self {
            Probe::Reachable => "reachable",
            Probe::Refused => "refused",
            Probe::Unreachable => "unreachable",
            Probe::Inconclusive => "inconclusive",
        }
    }
}

/// Why a connection to a runner could not be opened.
#[derive(Debug)]
pub struct OpenError {
    /// The error.
    pub error: ConnectionError,
    /// What it tells about the runner.
    pub probe: Probe,
}

/// A connection that is kept for reuse.
struct IdleConnection {
    connection: Connection,
    /// Time of the last use.
    idle_since: Instant,
    /// Time after which the connection is not reused.
    expires_at: Instant,
}

/// State that the daemon keeps for one runner.
pub struct Upstream {
    /// Bytes received from any other machine, to tell a silent runner from a stalled link.
    pub link: Rc<LinkActivity>,
    /// Key of this process of the runner.
    pub key: RunnerKey,
    /// Newest entry of the runner.
    pub runner: RefCell<Arc<Runner>>,
    /// Open connections without a request.
    idle: RefCell<Vec<IdleConnection>>,
    /// Own requests at the runner.
    in_flight: Cell<u32>,
    /// Own prompt tokens that the runner has not read yet.
    backlog_tokens: Cell<u64>,
    /// Last reported load.
    load: Cell<Option<(Instant, Load)>>,
    /// Own requests started minus own requests ended since the last reported load.
    load_delta: Cell<i32>,
    /// Newest report, also of other daemons, and own requests since then.
    view: RefCell<LoadView>,
    /// What is remembered of own requests while the runner is brittle.
    pub(super) places: RefCell<Places>,
    /// Rank of this daemon at the runner and the number of daemons, with the time at which they were counted.
    rank: Cell<Option<(Instant, Option<usize>, usize)>>,
    /// Speeds learned from own requests.
    speeds: RefCell<Speeds>,
    /// Share of failed requests, 0 to 1, and the time at which it held.
    failure_rate: Cell<(f64, Option<Instant>)>,
    /// Time of the last bytes from the runner.
    last_heard: Cell<Instant>,
    /// Prompt parts by id, with the time of their last use.
    cached_parts: RefCell<HashMap<u64, Instant>>,
}

impl Upstream {
    /// Creates the state of a runner that has not been used yet.
    pub fn new(runner: Arc<Runner>, link: Rc<LinkActivity>) -> Upstream {
        Upstream {
            link,
            key: runner_key(&runner),
            runner: RefCell::new(runner),
            idle: RefCell::default(),
            in_flight: Cell::new(0),
            backlog_tokens: Cell::new(0),
            load: Cell::new(None),
            load_delta: Cell::new(0),
            view: RefCell::default(),
            places: RefCell::default(),
            rank: Cell::new(None),
            speeds: RefCell::default(),
            failure_rate: Cell::new((0.0, None)),
            last_heard: Cell::new(Instant::now()),
            cached_parts: RefCell::default(),
        }
    }

    /// Replaces the entry if `newer` is of the same process and address. Returns whether it is.
    pub fn update_entry(&self, newer: &Arc<Runner>) -> bool {
        let same = {
            let own = self.runner.borrow();
            own.born == newer.born && own.address == newer.address
        };
        if same {
            *self.runner.borrow_mut() = Arc::clone(newer);
        }
        same
    }

    /// Input to the placement decision. Affinity, zone, availability and the runners already tried are
    /// left to the caller.
    pub fn candidate(&self, now: Instant, parts: &[PromptPart], max_connections: u32) -> Candidate {
        let slots = self.runner.borrow().slots;
        let fresh = self
            .load
            .get()
            .filter(|(at, _)| now.duration_since(*at) < MAX_LOAD_AGE);
        let own = f64::from(self.in_flight.get());
        let (running, waiting) = match fresh {
            Some((_, load)) => (
                (f64::from(load.running) + f64::from(self.load_delta.get()))
                    .max(own)
                    .max(0.0),
                f64::from(load.waiting),
            ),
            None => (own, 0.0),
        };
        let open_connections = self.in_flight.get() + self.idle.borrow().len() as u32;
        Candidate {
            affinity_rank: usize::MAX,
            cached_tokens: self.estimate_cached(now, parts),
            running,
            waiting,
            slots,
            backlog_tokens: self.backlog_tokens.get(),
            failure_rate: self.current_failure_rate(now),
            suspect: false,
            full: open_connections >= max_connections && self.idle.borrow().is_empty(),
            tried: false,
            remote: false,
            turn: Turn::Unlimited,
        }
    }

    /// Tokens at the start of a prompt that are assumed to be cached by the runner.
    pub fn estimate_cached(&self, now: Instant, parts: &[PromptPart]) -> u64 {
        let cached_parts = self.cached_parts.borrow();
        parts
            .iter()
            .take_while(|p| {
                cached_parts
                    .get(&p.id)
                    .is_some_and(|at| now.duration_since(*at) < PROMPT_CACHE_TTL)
            })
            .map(|p| u64::from(p.tokens))
            .sum()
    }

    /// Records that the runner has read the parts of a prompt.
    pub fn mark_cached(&self, now: Instant, parts: &[PromptPart]) {
        let mut cached_parts = self.cached_parts.borrow_mut();
        if cached_parts.len() > MAX_CACHED_PARTS {
            cached_parts.retain(|_, at| now.duration_since(*at) < PROMPT_CACHE_TTL);
        }
        for part in parts {
            cached_parts.insert(part.id, now);
        }
    }

    /// The failure rate, decayed to `now`.
    fn current_failure_rate(&self, now: Instant) -> f64 {
        let (share, at) = self.failure_rate.get();
        let age = at.map_or(0.0, |at| now.duration_since(at).as_secs_f64());
        share * (-age / FAILURE_DECAY_S).exp()
    }

    /// Records whether a request failed.
    pub fn record_outcome(&self, now: Instant, failed: bool) {
        let old = self.current_failure_rate(now);
        let new = old + OUTCOME_WEIGHT * (f64::from(u8::from(failed)) - old);
        self.failure_rate.set((new, Some(now)));
    }

    /// Closes the idle connections.
    pub fn close_idle(&self) {
        self.idle.borrow_mut().clear();
    }

    /// Records that the runner has sent bytes or accepted a connection.
    pub fn record_activity(&self, now: Instant) {
        self.last_heard.set(now);
        self.link.record(now);
    }

    /// Time since the runner last sent bytes or accepted a connection.
    pub fn silence(&self, now: Instant) -> Duration {
        now.duration_since(self.last_heard.get())
    }

    /// Prompt tokens that this daemon has sent and for which no first event has arrived.
    pub fn backlog_tokens(&self) -> u64 {
        self.backlog_tokens.get()
    }

    /// Records a reported load.
    pub fn record_load(&self, now: Instant, load: Load) {
        self.load.set(Some((now, load)));
        self.load_delta.set(0);
        self.view.borrow_mut().record(now, load);
    }

    /// Records a report that another daemon passed on, made at `at`.
    pub fn record_passed_load(&self, at: Instant, load: Load) {
        self.view.borrow_mut().record(at, load);
    }

    /// Newest report with its time, if it has the fourth figure.
    pub fn newest_load(&self) -> Option<(Instant, Load)> {
        let newest = self.view.borrow().newest();
        newest.filter(|(_, load)| load.percent.is_some())
    }

    /// Newest report with its time.
    pub fn newest_report(&self) -> Option<(Instant, Load)> {
        self.view.borrow().newest()
    }

    /// Load of the runner, rather too high than too low; reports up to the age `recent` count for its peak.
    pub(super) fn cautious_load(&self, now: Instant, recent: Duration) -> Option<CautiousLoad> {
        self.view.borrow().cautious(now, recent)
    }

    /// Own requests at the runner.
    pub(super) fn own_requests(&self) -> u32 {
        self.in_flight.get()
    }

    /// Rank of this daemon at the runner and the number of daemons, counted by `count` now and then.
    pub(super) fn rank(
        &self,
        now: Instant,
        count: impl Fn() -> (Option<usize>, usize),
    ) -> (Option<usize>, usize) {
        if let Some((at, rank, members)) = self.rank.get()
            && now.saturating_duration_since(at) < RANK_AGE
        {
            return (rank, members);
        }
        let (rank, members) = count();
        self.rank.set(Some((now, rank, members)));
        (rank, members)
    }

    /// Adds what is known of load and speed to a candidate.
    pub fn loaded_candidate(&self, now: Instant, base: Candidate) -> LoadedCandidate {
        let speeds = self.speeds.borrow();
        LoadedCandidate {
            base,
            known: self.view.borrow().estimate(now),
            own: f64::from(self.in_flight.get()),
            token_ms: speeds.token_ms(now),
            work_ms: speeds.work_ms(now),
        }
    }

    /// Opens a connection. The timeout `base` is extended for the delay of this VM's link.
    ///
    /// # Errors
    ///
    /// Fails if the connection is refused or not open in time, and says what that tells about the runner.
    pub async fn open(&self, base: Duration) -> Result<Connection, OpenError> {
        let address = self.runner.borrow().address;
        let begun = Instant::now();
        let limit = base + self.link.allowance(begun);
        match Connection::open(address, limit).await {
            Ok(connection) => {
                let now = Instant::now();
                self.link.record_round_trip(now, now - begun);
                Ok(connection)
            }
            Err(error) => {
                let probe = self.classify(&error, begun, limit);
                Err(OpenError { error, probe })
            }
        }
    }

    /// Probes whether the runner accepts connections. Tries twice, as a packet may be lost.
    pub async fn probe(&self) -> Probe {
        let mut result = Probe::Unreachable;
        for _ in 0..2 {
            let Err(failed) = self.open(PROBE_TIMEOUT).await else {
                return Probe::Reachable;
            };
            if !failed.error.is_timeout() {
                return failed.probe;
            }
            if failed.probe == Probe::Inconclusive {
                result = Probe::Inconclusive;
            }
        }
        result
    }

    /// What a failure to connect, begun at `begun` with the timeout `limit`, tells about the runner.
    /// A timeout counts against it only if this process ran on time and heard from other machines
    /// meanwhile; else the VM or its link may have stalled.
    pub fn classify(&self, error: &ConnectionError, begun: Instant, limit: Duration) -> Probe {
        if error.is_timeout() {
            return match self.link.is_conclusive(begun, limit, Instant::now()) {
                true => Probe::Unreachable,
                false => Probe::Inconclusive,
            };
        }
        if error.is_local() {
            log::warn!(
                "event=connect_failed_locally runner={} error=\"{error}\"",
                self.runner.borrow().id
            );
            return Probe::Inconclusive;
        }
        if error.is_refused() {
            return Probe::Refused;
        }
        Probe::Unreachable
    }

    /// Takes an idle connection that may be reused; `once` says that the request must not be sent
    /// twice.
    pub fn take_idle(&self, now: Instant, once: bool) -> Option<Connection> {
        let mut idle = self.idle.borrow_mut();
        while let Some(mut entry) = idle.pop() {
            let young = !once || now.duration_since(entry.idle_since) < MAX_ONCE_IDLE;
            if now < entry.expires_at && young && !entry.connection.is_stale() {
                return Some(entry.connection);
            }
        }
        None
    }

    /// Whether an idle connection is open, so that the process has not ended.
    pub fn has_open(&self, now: Instant) -> bool {
        let mut idle = self.idle.borrow_mut();
        // A look takes a byte of a connection with unexpected ones.
        idle.retain_mut(|entry| !entry.connection.is_stale());
        idle.iter().any(|entry| now < entry.expires_at)
    }

    /// Keeps a connection for reuse; `keep_alive` is the idle timeout that the runner has announced.
    pub fn keep_idle(&self, now: Instant, connection: Connection, keep_alive: Option<Duration>) {
        let time = keep_alive.map_or(DEFAULT_KEEP_ALIVE, |t| t.mul_f64(KEEP_ALIVE_FRACTION));
        self.idle.borrow_mut().push(IdleConnection {
            connection,
            idle_since: now,
            expires_at: now + time,
        });
    }

    /// Whether a connection without a request is open, usable or not, so that the process has not ended.
    pub fn is_held_open(&self) -> bool {
        let mut idle = self.idle.borrow_mut();
        idle.retain_mut(|entry| !entry.connection.is_stale());
        !idle.is_empty()
    }

    /// Closes idle connections that have expired, but for one while requests are open: it shows whether the process ends.
    pub fn sweep_idle(&self, now: Instant) {
        let mut kept = self.in_flight.get() == 0;
        self.idle.borrow_mut().retain(|entry| {
            let is_expired = now >= entry.expires_at;
            !is_expired || !std::mem::replace(&mut kept, true)
        });
    }

    /// Counts a request as in flight until the guard is dropped.
    pub fn track_request(self: &Rc<Self>, now: Instant, prompt_tokens: u64) -> InFlight {
        self.view.borrow_mut().begin(now);
        let backlog = self.backlog_tokens.get();
        self.in_flight.set(self.in_flight.get() + 1);
        self.load_delta.set(self.load_delta.get() + 1);
        self.backlog_tokens
            .set(self.backlog_tokens.get() + prompt_tokens);
        InFlight {
            upstream: Rc::clone(self),
            prompt_tokens,
            sent_at: now,
            taken: None,
            unread_tokens: backlog + prompt_tokens,
        }
    }
}

/// Counts one request as in flight at a runner until it is dropped.
pub struct InFlight {
    upstream: Rc<Upstream>,
    prompt_tokens: u64,
    sent_at: Instant,
    /// Wakes requests that wait for the place of this one, if the runner has taken it.
    taken: Option<Rc<Notify>>,
    /// Tokens that the runner was to read before the first event: own backlog and this prompt.
    unread_tokens: u64,
}

impl InFlight {
    /// Takes the part of the prompt that the runner has cached out of what it has to read.
    pub fn discount_cached(&mut self, tokens: u64) {
        self.unread_tokens -= tokens.min(self.prompt_tokens).min(self.unread_tokens);
    }

    /// Records that the first event arrived at `now`, as an observation of the runner's speed.
    pub fn record_prompt_time(&self, now: Instant) {
        let upstream = &self.upstream;
        let time = now.saturating_duration_since(self.sent_at);
        let percent = upstream.newest_load().and_then(|(_, load)| load.percent);
        let mut speeds = upstream.speeds.borrow_mut();
        speeds.record_prompt(now, self.unread_tokens, time, percent.unwrap_or(100));
    }

    /// Records that the response was complete at `now`, as an observation of the runner's speed.
    pub fn record_work_time(&self, now: Instant) {
        let upstream = &self.upstream;
        if let Some((_, load)) = upstream.newest_load() {
            let time = now.saturating_duration_since(self.sent_at);
            upstream.speeds.borrow_mut().record_work(now, time, load);
        }
    }

    /// Records that the runner has taken the request, so that its end leaves a place, and wakes those that wait for one.
    pub fn mark_taken(&mut self, waiting: &Rc<Notify>) {
        self.taken = Some(Rc::clone(waiting));
    }

    /// Records that the runner has read the prompt.
    pub fn prompt_read(&mut self) {
        let upstream = &self.upstream;
        upstream
            .backlog_tokens
            .set(upstream.backlog_tokens.get() - self.prompt_tokens);
        self.prompt_tokens = 0;
    }
}

impl Drop for InFlight {
    fn drop(&mut self) {
        self.prompt_read();
        let upstream = &self.upstream;
        upstream.in_flight.set(upstream.in_flight.get() - 1);
        upstream.load_delta.set(upstream.load_delta.get() - 1);
        let now = Instant::now();
        upstream.view.borrow_mut().end(now);
        if let Some(waiting) = &self.taken {
            upstream.places.borrow_mut().record_end(now);
            waiting.notify_waiters();
        }
    }
}
