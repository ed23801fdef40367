//! State that all tasks of the daemon share.

use std::{
    cell::{
        Cell,
        OnceCell,
        RefCell, //
    },
    collections::{
        HashMap,
        HashSet, //
    },
    marker::PhantomData,
    net::SocketAddr,
    rc::Rc,
    sync::Arc,
    time::{
        Duration,
        Instant, //
    },
};

use tokio::sync::Notify;

use super::{
    Upstream,
    handover::{
        HopLinks,
        TakenRequests, //
    },
    receive::AnswerBytes,
    reservations::Reservations,
    turns::TurnQueue,
    versions::KnownShares, //
};
use crate::{
    accept::{
        Clients,
        Shutdown, //
    },
    adapter::{
        ConfigVersion,
        Era, //
    },
    catalog::{
        Config,
        CustomerId,
        Directory,
        Evacuations,
        RegionId,
        RunnerId,
        ServiceId, //
    },
    decide::{
        Availability,
        BrittleServices,
        CrashEvidence,
        Neighbours,
        PlannedStop,
        Reach,
        ReadAge,
        RetryBudget,
        RouteTimes,
        RunnerKey,
        StreamLog,
        UnresolvedRequests,
        runner_key, //
    },
    http::LinkActivity,
    peer::PeerLink,
    prepaid::Ledger,
    telemetry::Metrics, //
};

/// Age of the last confirmation up to which the configuration and the runner entries count as current.
const MAX_CONFIRMATION_AGE: Duration = Duration::from_millis(1800);

/// Shortest time between two reclaims of a customer's reserves by this daemon.
const RECLAIM_INTERVAL: Duration = Duration::from_millis(500);

/// Settings of the deployment that can change while the daemon runs.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Bounds {
    /// Retries that a service is allowed per request.
    pub retry_ratio: f64,
    /// Retries that a service is allowed in each window in addition.
    pub retry_extra: f64,
    /// Window over which retries are counted.
    pub retry_window: Duration,
    /// Time between the stop signal and the kill of the process.
    pub grace: Duration,
    /// Transactions per second that the store performs on the rows of the daemons.
    pub store_writes: f64,
    /// Interval at which a runner renews its entry.
    pub heartbeat: Duration,
    /// Time for which entries that expired during a store outage may be missing after it.
    pub lapse_grace: Duration,
    /// Factor on the requests a second that a cold runner tolerates, for any one second.
    pub cold_overshoot: f64,
    /// Requests that a cold runner may get in any one second beyond that.
    pub cold_tolerance: f64,
}

impl Default for Bounds {
    fn default() -> Bounds {
        Bounds {
            retry_ratio: 0.2,
            retry_extra: 54.0,
            retry_window: Duration::from_secs(10),
            grace: Duration::from_secs(8),
            store_writes: 300.0,
            heartbeat: Duration::from_millis(1200),
            // Entries reappear about 2 s after the end of a store outage. A runner whose entry is removed
            // just before this daemon sees the end must get no requests 2 s later.
            lapse_grace: Duration::from_millis(1800),
            cold_overshoot: 1.0,
            cold_tolerance: 0.0,
        }
    }
}

/// State that all tasks of the daemon share. One thread owns it.
pub struct Core<D> {
    /// Name of the VM.
    pub node: String,
    /// Data centre of the VM.
    pub zone: Arc<str>,
    /// Settings of the deployment that can change while the daemon runs.
    pub bounds: Cell<Bounds>,
    /// Metrics.
    pub metrics: Metrics,
    /// Bytes received from other machines.
    pub link: Rc<LinkActivity>,
    /// Prepaid budgets.
    pub ledger: RefCell<Ledger>,
    /// Notified when tokens may have become available; wakes requests that wait for them.
    pub tokens_freed: Notify,
    /// Wakes the task that writes the daemon's row.
    pub writer_wake: Notify,
    /// Wakes the task that reads the rows.
    pub reader_wake: Notify,
    /// Notified when a runner may have become available; wakes requests that wait for one.
    pub runner_freed: Rc<Notify>,
    /// Notified when state changes that other daemons are told of.
    pub state_changed: Notify,
    /// Registered runners.
    pub directory: RefCell<Directory>,
    /// Data centres whose runners get no requests.
    pub(super) evacuations: RefCell<Evacuations>,
    /// Region of each data centre.
    pub(super) regions: RefCell<HashMap<String, RegionId>>,
    /// Evidence of what crashes runners.
    pub(super) evidence: RefCell<CrashEvidence>,
    /// Requests that were given up and that their runners may still run.
    pub(super) unresolved: RefCell<UnresolvedRequests>,
    /// Accepted writes of rows after which the others can know them.
    pub(super) unresolved_writes: Cell<u64>,
    /// Wakes the task that watches these runners.
    pub(super) unresolved_added: Notify,
    /// What is known of whether runners may be sent requests.
    pub(super) availability: RefCell<Availability>,
    /// Services whose runners are brittle.
    pub(super) brittle: RefCell<BrittleServices>,
    /// Services to whose runners this daemon can open connections.
    pub(super) reach: RefCell<Reach>,
    /// Wakes the task that tries the runners of lost services.
    pub(super) reach_changed: Notify,
    /// Neighbours that were asked to serve requests.
    pub(super) neighbours: RefCell<Neighbours>,
    /// Idle connections to them.
    pub(super) hop_links: HopLinks,
    /// Requests that they have handed over.
    pub(super) taken: TakenRequests,
    /// Shares of the runners' software versions, by service.
    pub(super) versions: RefCell<HashMap<ServiceId, KnownShares>>,
    /// Streams that callers may take up.
    pub(super) streams: RefCell<StreamLog>,
    /// Whether the store accepts no row of this daemon.
    pub(super) writes_lost: Cell<bool>,
    /// Requests that wait for a turn at runners with limits.
    pub(super) turn_queue: Rc<TurnQueue>,
    /// Start of the process.
    pub(super) started: Instant,
    /// Configuration in force.
    version: RefCell<Option<ConfigVersion>>,
    /// Time at which the configuration was last known to be the newest.
    config_confirmed: Cell<Option<Instant>>,
    /// Newest era of the store that any of its answers has named.
    pub(super) store_era: Cell<Option<Era>>,
    /// Time at which this process learned that the store had come back from a copy.
    pub(super) restored_at: Cell<Option<Instant>>,
    /// Time at which the store gave the runner entries.
    runners_confirmed: Cell<Option<Instant>>,
    /// State of each runner that has been considered for a request.
    upstreams: RefCell<HashMap<RunnerId, Rc<Upstream>>>,
    /// Age of the runner entries.
    pub(super) entries_age: RefCell<ReadAge>,
    /// Retry budget of each service.
    retry_budgets: RefCell<HashMap<ServiceId, RetryBudget>>,
    /// Links to the daemons at which tokens are reserved.
    peer_links: RefCell<HashMap<SocketAddr, Rc<PeerLink>>>,
    /// Number of the last reservation at another daemon.
    last_reservation: Cell<u64>,
    /// Time at which the reserves of each customer were last reclaimed from other daemons.
    reclaimed_at: RefCell<HashMap<CustomerId, Instant>>,
    /// Tokens reserved for requests of other daemons.
    pub(super) reservations: Reservations,
    /// The planned stop, once it has begun.
    pub(super) stop: Cell<Option<PlannedStop>>,
    /// Notified when open requests are answered because the process ends.
    pub(super) stop_answers: Notify,
    /// Time that requests took, by route.
    pub(super) route_times: RefCell<RouteTimes>,
    /// State of the shutdown of the callers' listener.
    pub shutdown: Shutdown,
    /// Responses that wait for their callers; unbounded while it is not set.
    pub unread_responses: OnceCell<Rc<Clients>>,
    /// Bytes of the responses that are being read.
    pub(super) answers: AnswerBytes,
    /// Number of requests in progress.
    open_requests: Cell<u32>,
    /// Type that encodes and decodes the header fields.
    dialect: PhantomData<D>,
}

impl<D> Core<D> {
    /// Creates the state at the start of a process.
    pub fn new(
        node: &str,
        zone: &str,
        bounds: Bounds,
        ledger: Ledger,
        metrics: Metrics,
    ) -> Rc<Core<D>> {
        Rc::new(Core {
            node: node.to_owned(),
            zone: Arc::from(zone),
            bounds: Cell::new(bounds),
            metrics,
            link: Rc::new(LinkActivity::new(Instant::now())),
            ledger: RefCell::new(ledger),
            tokens_freed: Notify::new(),
            writer_wake: Notify::new(),
            reader_wake: Notify::new(),
            runner_freed: Rc::default(),
            state_changed: Notify::new(),
            directory: RefCell::default(),
            evacuations: RefCell::default(),
            regions: RefCell::default(),
            evidence: RefCell::default(),
            unresolved: RefCell::default(),
            unresolved_writes: Cell::new(0),
            unresolved_added: Notify::new(),
            availability: RefCell::default(),
            brittle: RefCell::default(),
            reach: RefCell::default(),
            reach_changed: Notify::new(),
            neighbours: RefCell::default(),
            hop_links: HopLinks::default(),
            taken: TakenRequests::default(),
            versions: RefCell::default(),
            streams: RefCell::default(),
            writes_lost: Cell::default(),
            turn_queue: Rc::default(),
            started: Instant::now(),
            version: RefCell::new(None),
            config_confirmed: Cell::new(None),
            store_era: Cell::new(None),
            restored_at: Cell::new(None),
            runners_confirmed: Cell::new(None),
            upstreams: RefCell::default(),
            entries_age: RefCell::default(),
            retry_budgets: RefCell::default(),
            peer_links: RefCell::default(),
            last_reservation: Cell::new(0),
            reclaimed_at: RefCell::default(),
            reservations: Reservations::default(),
            stop: Cell::new(None),
            stop_answers: Notify::new(),
            route_times: RefCell::default(),
            shutdown: Shutdown::default(),
            unread_responses: OnceCell::new(),
            answers: AnswerBytes::default(),
            open_requests: Cell::new(0),
            dialect: PhantomData,
        })
    }

    /// The configuration in force.
    pub fn config(&self) -> Option<Arc<Config>> {
        self.version
            .borrow()
            .as_ref()
            .map(|v| Arc::clone(&v.config))
    }

    /// The configuration in force with its encoded bytes.
    pub fn version(&self) -> Option<ConfigVersion> {
        self.version.borrow().clone()
    }

    /// Puts a configuration in force if it is newer than the current one. Returns whether it did;
    /// `source` is the store or the daemon that the configuration comes from.
    pub fn apply_config(&self, version: ConfigVersion, source: &str) -> bool {
        let old = self.config().map(|c| c.version);
        let new = version.config.version;
        if old.is_some_and(|old| new <= old) {
            return false;
        }
        log::info!(
            "event=config_in_force version={new} old={} source={source} routes={} customers={}",
            old.unwrap_or(0),
            version.config.hosts.values().map(Vec::len).sum::<usize>(),
            version.config.customers.len()
        );
        let limits = version
            .config
            .customers
            .iter()
            .filter_map(|c| c.prepaid.map(|p| (c.name.to_string(), p)))
            .collect();
        self.ledger.borrow_mut().set_limits(limits);
        let names: HashSet<Arc<str>> = version
            .config
            .hosts
            .values()
            .flatten()
            .map(|route| Arc::clone(&route.name))
            .collect();
        self.route_times
            .borrow_mut()
            .retain(|route| names.contains(route));
        *self.version.borrow_mut() = Some(version);
        if old.is_none() {
            self.mark_cold_entries(Instant::now());
        }
        self.state_changed.notify_waiters();
        self.tokens_freed.notify_waiters();
        true
    }

    /// Records that the configuration in force was the newest one at `at`.
    pub fn confirm_config(&self, at: Instant) {
        let known = self.config_confirmed.get();
        self.config_confirmed.set(known.max(Some(at)));
    }

    /// Whether the configuration in force was recently confirmed to be the newest one.
    pub fn config_fresh(&self, now: Instant) -> bool {
        self.config_confirmed
            .get()
            .is_some_and(|at| now.duration_since(at) < MAX_CONFIRMATION_AGE)
    }

    /// Records that the store gave the runner entries at `at`.
    pub fn confirm_runners(&self, at: Instant) {
        let known = self.runners_confirmed.get();
        self.runners_confirmed.set(known.max(Some(at)));
    }

    /// Whether the runner entries were recently read from the store.
    pub fn runners_fresh(&self, now: Instant) -> bool {
        let confirmed = self.runners_confirmed.get();
        confirmed.is_some_and(|at| now.saturating_duration_since(at) < MAX_CONFIRMATION_AGE)
    }

    /// Sets the most bytes that responses of runners may hold while they are being read.
    pub fn set_answer_bytes(&self, bytes: u64) {
        self.answers.set_bound(bytes);
    }

    /// Replaces the settings. The retry budgets keep what they have counted.
    pub fn set_bounds(&self, bounds: Bounds) {
        self.bounds.set(bounds);
        let mut budgets = self.retry_budgets.borrow_mut();
        for budget in budgets.values_mut() {
            budget.set_limits(bounds.retry_ratio, bounds.retry_extra, bounds.retry_window);
        }
    }

    /// Time since the configuration was last known to be the newest, in milliseconds.
    pub fn config_age_ms(&self, now: Instant) -> u64 {
        self.config_confirmed
            .get()
            .map_or(u64::MAX, |at| now.duration_since(at).as_millis() as u64)
    }

    /// Returns the connections and load of `runner` as an upstream. The state starts afresh if the
    /// runner is new, or if its process or address has changed.
    pub fn upstream(&self, runner: &Arc<crate::catalog::Runner>) -> Rc<Upstream> {
        let mut map = self.upstreams.borrow_mut();
        let known = map
            .get(&runner.id)
            .filter(|u| u.update_entry(runner))
            .map(Rc::clone);
        if let Some(upstream) = known {
            return upstream;
        }
        let upstream = Rc::new(Upstream::new(Arc::clone(runner), Rc::clone(&self.link)));
        self.availability.borrow_mut().reset_contact(upstream.key);
        map.insert(Arc::clone(&runner.id), Rc::clone(&upstream));
        upstream
    }

    /// State of the process `key` of a runner; `None` if it has no entry.
    pub(super) fn upstream_of(&self, key: RunnerKey) -> Option<Rc<Upstream>> {
        let directory = self.directory.borrow();
        let entry = directory.all().find(|r| runner_key(r) == key)?;
        Some(self.upstream(entry))
    }

    /// Calls `f` with the state of each runner that has been considered for a request.
    pub(super) fn each_upstream(&self, mut f: impl FnMut(&Upstream)) {
        self.upstreams.borrow().values().for_each(|u| f(u));
    }

    /// Removes the state of runners that are no longer in the directory.
    pub fn prune_upstreams(&self) {
        let time = self.fleet_time(Instant::now());
        let directory = self.directory.borrow();
        let present = directory.all().map(|r| runner_key(r)).collect();
        self.availability.borrow_mut().prune(&present, time);
        let has_runner = |service: &str| directory.all().any(|r| *r.service == *service);
        self.reach.borrow_mut().retain(has_runner);
        self.upstreams
            .borrow_mut()
            .retain(|id, _| directory.get(id).is_some());
    }

    /// Closes the idle connections to the runners of `zone`.
    pub(super) fn close_idle_in(&self, zone: &str) {
        let upstreams = self.upstreams.borrow();
        let inside = upstreams
            .values()
            .filter(|u| *u.runner.borrow().zone == *zone);
        inside.for_each(|u| u.close_idle());
    }

    /// Closes expired idle connections to runners and neighbours.
    pub fn sweep_idle(&self, now: Instant) {
        self.hop_links.sweep(now);
        self.neighbours.borrow_mut().prune(now);
        self.upstreams
            .borrow()
            .values()
            .for_each(|u| u.sweep_idle(now));
    }

    /// Runs `f` on the retry budget of `service`.
    pub fn with_retry_budget<R>(
        &self,
        service: &ServiceId,
        f: impl FnOnce(&mut RetryBudget) -> R,
    ) -> R {
        let mut map = self.retry_budgets.borrow_mut();
        let budget = map.entry(Arc::clone(service)).or_insert_with(|| {
            let bounds = self.bounds.get();
            RetryBudget::new(bounds.retry_ratio, bounds.retry_extra, bounds.retry_window)
        });
        f(budget)
    }

    /// Returns the link to the daemon at `address`.
    pub fn peer_link(&self, address: SocketAddr) -> Rc<PeerLink> {
        let mut links = self.peer_links.borrow_mut();
        let link = links
            .entry(address)
            .or_insert_with(|| PeerLink::spawn(address, Rc::clone(&self.link)));
        Rc::clone(link)
    }

    /// Whether reserves of `customer` may be reclaimed now; if so, not again for a while.
    pub(super) fn may_reclaim(&self, customer: &str, now: Instant) -> bool {
        let mut reclaimed = self.reclaimed_at.borrow_mut();
        let recent = reclaimed
            .get(customer)
            .is_some_and(|at| now.duration_since(*at) < RECLAIM_INTERVAL);
        if !recent {
            reclaimed.insert(Arc::from(customer), now);
        }
        !recent
    }

    /// Returns a number for a reservation at another daemon.
    pub(super) fn next_reservation(&self) -> u64 {
        let number = self.last_reservation.get() + 1;
        self.last_reservation.set(number);
        number
    }

    /// Whether the load balancer may send new connections.
    pub fn is_ready(&self) -> bool {
        !self.is_stopping()
            && self.version.borrow().is_some()
            && !self.directory.borrow().is_empty()
    }

    /// Number of requests in progress.
    pub fn open_requests(&self) -> u32 {
        self.open_requests.get()
    }

    /// Counts a request as open until the guard is dropped.
    pub fn track_request(self: &Rc<Self>) -> OpenGuard<D> {
        self.open_requests.set(self.open_requests.get() + 1);
        OpenGuard(Rc::clone(self))
    }
}

/// Counts one request as open until it is dropped.
pub struct OpenGuard<D>(Rc<Core<D>>);

impl<D> Drop for OpenGuard<D> {
    fn drop(&mut self) {
        self.0.open_requests.set(self.0.open_requests.get() - 1);
    }
}
