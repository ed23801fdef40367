//! Which requests are admitted by a VM whose link or processor is saturated, against a load balancer that
//! sends one VM far more clients than the others.
//!
//! Nothing is refused unless the use that was measured exceeds what the settings say that the VM carries. Then
//! new requests are refused before they run: those for whose learned bytes the link has no credit, and, if the use
//! stays too high, a growing share, expensive ones rather than cheap ones. Urgent ones are refused last.

mod rotation;
mod use_meter;

use std::{
    collections::HashMap,
    sync::Arc,
    time::{
        Duration,
        Instant, //
    },
};

pub use rotation::Rotation;
pub use use_meter::{
    Capacity,
    Usage, //
};

use use_meter::UseMeter;

/// Use of the capacity above which requests are refused. A saturated link of 1.25 MB/s carries 1.0 to 1.25
/// MB/s of payload.
const MAX_USE: f64 = 0.8;

/// Use of the capacity that is aimed at while requests are refused.
const TARGET_USE: f64 = 0.72;

/// Change of the refused share per second and unit of use above the target. A larger value goes on refusing
/// requests after an overload has ended.
const GAIN_PER_S: f64 = 0.3;

/// Largest share that is refused: what is admitted shows when the VM has room again.
const MAX_SHARE: f64 = 0.95;

/// Share of other requests from which urgent ones are refused too.
const URGENT_FROM: f64 = 0.6;

/// Weight of the newest request in the learned cost of its route.
const COST_WEIGHT: f64 = 0.1;

/// Part of the link's rate at which the credit for new requests grows. The rest is for messages between daemons,
/// the store and the heads.
const CREDIT_USE: f64 = 0.8;

/// Time of the link's rate that the credit holds at most, in seconds. Streams move their bytes over seconds, so
/// short bursts need no refusal.
const CREDIT_S: f64 = 1.0;

/// Measured use of the link from which the credit counts. Below it, learned costs refuse nothing.
const CREDIT_FROM: f64 = 0.5;

/// Limits of a request's cost relative to the mean, for its chance of being refused.
const RELATIVE_COST: (f64, f64) = (0.25, 4.0);

/// Shortest and longest time after which a refused request may be sent again. Retries must not come at once
/// together.
const RETRY_MS: (u64, u64) = (40, 300);

/// A new request, as far as it matters for its admission.
#[derive(Clone, Copy, Debug)]
pub struct Arrival<'a> {
    /// Name of its route.
    pub route: &'a str,
    /// Whether its priority is the highest.
    pub urgent: bool,
    /// Time until its deadline.
    pub time_left: Duration,
    /// Number by which retries of refused requests are spread.
    pub spread: u64,
}

/// Change of whether requests are refused, for the log.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct OverloadChange {
    /// Whether requests are refused from now on.
    pub overloaded: bool,
    /// Use of the capacity.
    pub load: f64,
    /// Requests refused since the change before.
    pub refused: u64,
}

/// Decides which requests a VM admits.
///
/// # Examples
///
/// ```
/// use std::time::{Duration, Instant};
/// use cuminloom_edge::decide::{AdmissionControl, Arrival, Capacity, Usage};
///
/// let start = Instant::now();
/// let capacity = Capacity { link_rate: Some(1e6), cores: None };
/// let mut admission = AdmissionControl::new(capacity);
/// let arrival = Arrival { route: "a", urgent: false, time_left: Duration::from_secs(5), spread: 7 };
/// assert!(admission.admit(arrival).is_ok());
/// // The link carries all that it can for three seconds.
/// for tick in 0..30 {
///     let usage = Usage { written: tick * 100_000, ..Usage::default() };
///     admission.update(start + Duration::from_millis(100) * tick as u32, usage);
/// }
/// assert!((0..20).any(|_| admission.admit(arrival).is_err()));
/// ```
#[derive(Debug)]
pub struct AdmissionControl {
    capacity: Capacity,
    meter: UseMeter,
    /// Whether requests are refused.
    overloaded: bool,
    /// Time since which `overloaded` holds.
    since: Option<Instant>,
    /// Share of requests that are not urgent to refuse.
    share: f64,
    /// Refusals that are due, for requests that are not urgent and for urgent ones. Exact shares need no random
    /// numbers.
    due: [f64; 2],
    /// Learned bytes of a request, by route.
    costs: HashMap<Arc<str>, f64>,
    /// Mean cost of all requests.
    mean_cost: f64,
    /// Bytes that new requests may move, by their learned costs. Negative after urgent ones.
    credit: f64,
    /// Requests refused since the last change.
    refused: u64,
}

impl AdmissionControl {
    /// Creates the state of a VM with this capacity.
    pub fn new(capacity: Capacity) -> AdmissionControl {
        AdmissionControl {
            capacity,
            meter: UseMeter::default(),
            overloaded: false,
            since: None,
            share: 0.0,
            due: [0.0; 2],
            costs: HashMap::new(),
            mean_cost: 0.0,
            credit: capacity.link_rate.unwrap_or(0.0) * CREDIT_USE * CREDIT_S,
            refused: 0,
        }
    }

    /// Takes in what this process has used in all until `now`. Returns the change if requests begin or cease to
    /// be refused.
    pub fn update(&mut self, now: Instant, usage: Usage) -> Option<OverloadChange> {
        let passed = self.meter.update(now, usage, self.capacity)?;
        self.grow_credit(passed);
        let load = self.meter.load();
        if self.overloaded || load > MAX_USE {
            let step = GAIN_PER_S * passed.as_secs_f64() * (load - TARGET_USE);
            self.share = (self.share + step).clamp(0.0, MAX_SHARE);
        }
        let overloaded = match self.overloaded {
            true => self.share > 0.0,
            false => load > MAX_USE,
        };
        if overloaded == self.overloaded {
            return None;
        }
        self.overloaded = overloaded;
        self.since = Some(now);
        self.due = [0.0; 2];
        Some(OverloadChange {
            overloaded,
            load,
            refused: std::mem::take(&mut self.refused),
        })
    }

    /// Admits a request, or tells after which time it may be sent again.
    ///
    /// # Errors
    ///
    /// Fails with that time if the request is refused.
    pub fn admit(&mut self, arrival: Arrival<'_>) -> Result<(), Duration> {
        let cost = self.cost(arrival.route);
        if !self.has_credit(cost, arrival.urgent) {
            return Err(self.refuse(arrival));
        }
        self.admit_share(arrival, cost)?;
        self.credit -= cost;
        Ok(())
    }

    /// Lets the credit grow by the time `passed`.
    fn grow_credit(&mut self, passed: Duration) {
        let rate = self.capacity.link_rate.unwrap_or(0.0) * CREDIT_USE;
        let most = rate * CREDIT_S;
        self.credit = (self.credit + rate * passed.as_secs_f64()).clamp(-most, most);
    }

    /// Whether the link has room for `cost` bytes: the refusals begin with the request that is too much, and not
    /// only when the link is saturated. Urgent requests may use what grows in the next second.
    fn has_credit(&self, cost: f64, urgent: bool) -> bool {
        let Some(rate) = self.capacity.link_rate else {
            return true;
        };
        let reserve = if urgent {
            rate * CREDIT_USE * CREDIT_S
        } else {
            0.0
        };
        self.meter.link_use() < CREDIT_FROM || self.credit + reserve >= cost
    }

    /// Counts a refusal and returns the time after which the request may be sent again.
    fn refuse(&mut self, arrival: Arrival<'_>) -> Duration {
        self.refused += 1;
        let spread = arrival.spread % (RETRY_MS.1 - RETRY_MS.0);
        Duration::from_millis(RETRY_MS.0 + spread)
    }

    /// Admits a request of `cost` bytes by the share that is refused while the VM is overloaded.
    fn admit_share(&mut self, arrival: Arrival<'_>, cost: f64) -> Result<(), Duration> {
        if !self.overloaded {
            return Ok(());
        }
        let relative = match self.mean_cost > 0.0 {
            true => (cost / self.mean_cost).clamp(RELATIVE_COST.0, RELATIVE_COST.1),
            false => 1.0,
        };
        let share = match arrival.urgent {
            true => (self.share - URGENT_FROM).max(0.0) / (1.0 - URGENT_FROM),
            false => self.share * relative,
        };
        // It would still be on the link when its caller has given up.
        let late = self.transfer_time(cost) > arrival.time_left;
        let due = &mut self.due[usize::from(arrival.urgent)];
        *due += share.min(MAX_SHARE);
        if *due < 1.0 && !late {
            return Ok(());
        }
        *due = (*due - 1.0).max(0.0);
        Err(self.refuse(arrival))
    }

    /// Time that the link needs for `bytes` while it is shared as now.
    fn transfer_time(&self, bytes: f64) -> Duration {
        let free = |rate| rate * (1.0 - TARGET_USE);
        self.capacity.link_rate.map_or(Duration::ZERO, |rate| {
            Duration::try_from_secs_f64(bytes / free(rate)).unwrap_or(Duration::MAX)
        })
    }

    /// Records the bytes that a request of `route` moved over the link.
    pub fn record_cost(&mut self, route: &Arc<str>, bytes: u64) {
        let bytes = bytes as f64;
        if self.mean_cost > 0.0 {
            self.mean_cost += COST_WEIGHT * (bytes - self.mean_cost);
        } else {
            self.mean_cost = bytes;
        }
        match self.costs.get_mut(route) {
            Some(cost) => *cost += COST_WEIGHT * (bytes - *cost),
            None => {
                self.costs.insert(Arc::clone(route), bytes);
            }
        }
    }

    /// Expected bytes of a request of `route`; the mean of all for one that is not known.
    fn cost(&self, route: &str) -> f64 {
        self.costs.get(route).copied().unwrap_or(self.mean_cost)
    }

    /// Forgets the routes that are not `kept`.
    pub fn retain(&mut self, kept: impl Fn(&str) -> bool) {
        self.costs.retain(|route, _| kept(route));
    }

    /// Use of the capacity, 1 for all of it.
    pub fn load(&self) -> f64 {
        self.meter.load()
    }

    /// Time for which requests have been refused.
    pub fn overloaded_for(&self, now: Instant) -> Option<Duration> {
        let since = self.since.filter(|_| self.overloaded)?;
        Some(now.saturating_duration_since(since))
    }

    /// Share of the requests that are not urgent that is refused.
    pub fn refused_share(&self) -> f64 {
        self.share
    }
}
