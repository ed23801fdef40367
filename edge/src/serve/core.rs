//! State that all tasks of the daemon share.

use std::{
    cell::{
        Cell,
        RefCell, //
    },
    collections::HashMap,
    marker::PhantomData,
    rc::Rc,
    sync::Arc,
    time::{
        Duration,
        Instant, //
    },
};

use tokio::sync::Notify;

use super::Upstream;
use crate::{
    accept::Closing,
    border::Version,
    catalog::{
        Config,
        Directory,
        RunnerId,
        ServiceId, //
    },
    decide::{
        RetryBudget,
        Strikes, //
    },
    prepaid::Ledger,
    telemetry::Metrics, //
};

/// Age of the newest confirmation up to which the configuration counts as the newest.
const FRESH: Duration = Duration::from_millis(1800);

/// Bounds that the deployment sets.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Bounds {
    /// Repeats a service may get for each request.
    pub retry_ratio: f64,
    /// Repeats a service may get besides, in each window.
    pub retry_extra: f64,
    /// Window of the repeats.
    pub retry_window: Duration,
    /// Time from the request to stop until the process is killed.
    pub grace: Duration,
    /// Time for which entries that lapsed during a disturbance of the store may be missing.
    pub lapse_grace: Duration,
}

impl Default for Bounds {
    fn default() -> Bounds {
        Bounds {
            retry_ratio: 0.2,
            retry_extra: 54.0,
            retry_window: Duration::from_secs(10),
            grace: Duration::from_secs(8),
            // Entries are back about 2 s after the store's return; one that is removed just before this
            // daemon sees the return must get nothing 2 s later.
            lapse_grace: Duration::from_millis(1800),
        }
    }
}

/// State that all tasks of the daemon share. One thread owns it.
pub struct Core<D> {
    /// Name of the VM.
    pub node: String,
    /// Data centre of the VM.
    pub zone: Arc<str>,
    /// Bounds that the deployment sets.
    pub bounds: Cell<Bounds>,
    /// Metrics.
    pub metrics: Metrics,
    /// Prepaid budgets.
    pub ledger: RefCell<Ledger>,
    /// Wakes requests that wait for tokens.
    pub granted: Notify,
    /// Wakes the writer of the daemon's row.
    pub wanted: Notify,
    /// Wakes requests that wait for a runner.
    pub freed: Notify,
    /// Wakes tasks that spread what has changed.
    pub changed: Notify,
    /// Registered runners.
    pub directory: RefCell<Directory>,
    /// Requests that crash runners.
    pub strikes: RefCell<Strikes>,
    version: RefCell<Option<Version>>,
    confirmed: Cell<Option<Instant>>,
    followed: Cell<Option<Instant>>,
    upstreams: RefCell<HashMap<RunnerId, Rc<Upstream>>>,
    allowances: RefCell<HashMap<ServiceId, RetryBudget>>,
    stopping: Cell<Option<Instant>>,
    /// Whether no more requests are taken.
    pub closing: Closing,
    open: Cell<u32>,
    dialect: PhantomData<D>,
}

impl<D> Core<D> {
    /// The state at the start of a process.
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
            ledger: RefCell::new(ledger),
            granted: Notify::new(),
            wanted: Notify::new(),
            freed: Notify::new(),
            changed: Notify::new(),
            directory: RefCell::default(),
            strikes: RefCell::default(),
            version: RefCell::new(None),
            confirmed: Cell::new(None),
            followed: Cell::new(None),
            upstreams: RefCell::default(),
            allowances: RefCell::default(),
            stopping: Cell::new(None),
            closing: Closing::default(),
            open: Cell::new(0),
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

    /// The version in force with the bytes that it was read from.
    pub fn version(&self) -> Option<Version> {
        self.version.borrow().clone()
    }

    /// Puts a configuration in force unless it is older than the one in force. Returns whether it was
    /// put in force.
    pub fn apply(&self, version: Version, source: &str) -> bool {
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
        *self.version.borrow_mut() = Some(version);
        self.changed.notify_waiters();
        self.granted.notify_waiters();
        true
    }

    /// Notes that the configuration in force is the newest one, as of now.
    pub fn confirm(&self, now: Instant) {
        self.confirmed.set(Some(now));
    }

    /// Whether the configuration in force was the newest one lately.
    pub fn is_fresh(&self, now: Instant) -> bool {
        self.confirmed
            .get()
            .is_some_and(|at| now.duration_since(at) < FRESH)
    }

    /// Notes that the store has told the runners' entries, as of now.
    pub fn follow_runners(&self, now: Instant) {
        self.followed.set(Some(now));
    }

    /// Whether the store has told the runners' entries lately.
    pub fn runners_followed(&self, now: Instant) -> bool {
        self.followed
            .get()
            .is_some_and(|at| now.duration_since(at) < FRESH)
    }

    /// Takes over changed bounds.
    pub fn set_bounds(&self, bounds: Bounds) {
        self.bounds.set(bounds);
        self.allowances.borrow_mut().clear();
    }

    /// Time since the configuration was known to be the newest, in milliseconds.
    pub fn config_age_ms(&self, now: Instant) -> u64 {
        self.confirmed
            .get()
            .map_or(u64::MAX, |at| now.duration_since(at).as_millis() as u64)
    }

    /// State of the runner `id`.
    pub fn upstream(&self, runner: &Arc<crate::catalog::Runner>) -> Rc<Upstream> {
        let mut map = self.upstreams.borrow_mut();
        let known = map
            .get(&runner.id)
            .filter(|u| u.is_life_of(runner))
            .map(Rc::clone);
        if let Some(upstream) = known {
            return upstream;
        }
        let upstream = Rc::new(Upstream::new(Arc::clone(runner)));
        map.insert(Arc::clone(&runner.id), Rc::clone(&upstream));
        upstream
    }

    /// Forgets runners that have no entry.
    pub fn prune(&self) {
        let directory = self.directory.borrow();
        self.upstreams
            .borrow_mut()
            .retain(|id, _| directory.get(id).is_some());
    }

    /// Closes kept connections to runners whose time has passed.
    pub fn sweep(&self, now: Instant) {
        self.upstreams.borrow().values().for_each(|u| u.sweep(now));
    }

    /// Runs `f` on the retry allowance of `service`.
    pub fn allowance<R>(&self, service: &ServiceId, f: impl FnOnce(&mut RetryBudget) -> R) -> R {
        let mut map = self.allowances.borrow_mut();
        let allowance = map.entry(Arc::clone(service)).or_insert_with(|| {
            let bounds = self.bounds.get();
            RetryBudget::new(bounds.retry_ratio, bounds.retry_extra, bounds.retry_window)
        });
        f(allowance)
    }

    /// Begins the planned stop.
    pub fn stop(&self, now: Instant) {
        if self.stopping.get().is_none() {
            self.stopping.set(Some(now));
            self.ledger.borrow_mut().leave();
            self.changed.notify_waiters();
        }
    }

    /// Time since the planned stop began.
    pub fn stopping_for(&self, now: Instant) -> Option<Duration> {
        self.stopping.get().map(|at| now.duration_since(at))
    }

    /// Whether the daemon takes new connections.
    pub fn is_ready(&self) -> bool {
        self.stopping.get().is_none()
            && self.version.borrow().is_some()
            && !self.directory.borrow().is_empty()
    }

    /// Requests that are being served.
    pub fn open(&self) -> u32 {
        self.open.get()
    }

    /// Counts a request as open until the guard is dropped.
    pub fn enter(self: &Rc<Self>) -> OpenGuard<D> {
        self.open.set(self.open.get() + 1);
        OpenGuard(Rc::clone(self))
    }
}

/// Counts one open request.
pub struct OpenGuard<D>(Rc<Core<D>>);

impl<D> Drop for OpenGuard<D> {
    fn drop(&mut self) {
        self.0.open.set(self.0.open.get() - 1);
    }
}
