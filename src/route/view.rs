//! Load, concurrency limit and health of a target, as seen by one daemon.

use std::{
    collections::BTreeSet,
    time::Duration, //
};

use super::{
    Load,
    Settings,
    hash_name,
    mix, //
};
use crate::model::{
    Target,
    Urgency, //
};

/// Maximum lag of load reports that the limits allow for, in seconds.
const MAX_LAG_S: f64 = 5.0;
/// Weight of a new report in the moving average of the other daemons' load.
const OTHERS_ALPHA: f64 = 0.3;
/// Weight of a new time to first byte in the moving average of a target.
const LATENCY_ALPHA: f64 = 0.35;
/// Ratio of a target's time to first byte to the service's average above which it is degraded.
pub(super) const DEGRADED_RATIO: f64 = 2.5;
/// Ratio of a single time to first byte to the service's average above which the target's adaptive
/// concurrency limit is reduced.
const LATE_RATIO: f64 = 4.0;
/// Number of consecutive refusals after which a target counts as failed.
const MAX_REFUSALS: u32 = 3;

/// Whether a target responds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Health {
    /// It responds.
    Up,
    /// It failed; the next probe is due at `until`.
    Down {
        /// Time of the next probe.
        until: Duration,
        /// Delay of the probe after the failure.
        backoff: Duration,
    },
}

/// Rank and number of the daemons that share the targets of a data centre.
#[derive(Clone, Copy, Debug)]
pub(super) struct Fleet {
    /// Rank of this daemon, from 0.
    pub(super) rank: u32,
    /// Number of daemons, at least 1.
    pub(super) daemons: u32,
}

/// This daemon's view of a target.
#[derive(Debug)]
pub(super) struct TargetView {
    pub(super) target: Target,
    /// Whether the target is in the daemon's data centre.
    pub(super) local: bool,
    /// Whether the VM list or a plan says that the target is leaving.
    pub(super) listed_leaving: bool,
    /// Whether the target's last load report says that it is leaving.
    pub(super) reports_leaving: bool,
    /// Whether the target is no longer in the configuration.
    pub(super) removed: bool,
    pub(super) health: Health,
    /// Tickets of this daemon's requests in flight.
    pub(super) running: BTreeSet<u64>,
    /// Number of this daemon's patient requests in flight.
    pub(super) patient: u32,
    /// This daemon's requests without a first byte, per urgency, in order of dispatch.
    pub(super) pending: [BTreeSet<(Duration, u64)>; 2],
    /// Moving average of the ratio of the time to first byte to the service's average.
    pub(super) latency_ratio: f64,
    /// Capacity in the last load report.
    capacity: Option<u32>,
    /// Moving average of the other daemons' requests on the target.
    others_load: f64,
    /// Slots that this daemon may use beyond its equal share of the capacity, because the reports
    /// show that they are free.
    extra_slots: f64,
    /// Adaptive concurrency limit: additive increase, multiplicative decrease.
    limit: f64,
    /// Time of the last load report.
    last_report: Duration,
    /// Time of the last reduction of the limit.
    last_reduction: Duration,
    /// Consecutive refusals.
    refusals: u32,
    /// Offset in the rounding of fractional limits, equal on all daemons; also spreads the probes.
    rounding_phase: f64,
}

impl TargetView {
    pub(super) fn new(target: Target, settings: &Settings) -> Self {
        let phase = mix(hash_name(&target.id), 1) as f64 / u64::MAX as f64;
        Self {
            local: target.dc == settings.dc,
            target,
            listed_leaving: false,
            reports_leaving: false,
            removed: false,
            health: Health::Up,
            running: BTreeSet::new(),
            patient: 0,
            pending: [BTreeSet::new(), BTreeSet::new()],
            latency_ratio: 1.0,
            capacity: None,
            others_load: 0.0,
            extra_slots: 0.0,
            limit: f64::from(settings.initial_limit.max(1)),
            last_report: Duration::ZERO,
            last_reduction: Duration::ZERO,
            refusals: 0,
            rounding_phase: phase,
        }
    }

    /// Number of this daemon's requests in flight.
    pub(super) fn in_flight(&self) -> u32 {
        self.running.len() as u32
    }

    /// Whether the target must get no new work, not even a probe.
    pub(super) fn is_leaving(&self) -> bool {
        self.listed_leaving || self.reports_leaving || self.removed
    }

    /// Whether the target accepts new work.
    pub(super) fn is_usable(&self) -> bool {
        !self.is_leaving() && self.health == Health::Up
    }

    /// Whether a probe may be sent: the backoff has passed and nothing is in flight.
    pub(super) fn probe_due(&self, now: Duration) -> bool {
        let Health::Down { until, .. } = self.health else {
            return false;
        };
        !self.is_leaving() && now >= until && self.running.is_empty() && self.capacity != Some(0)
    }

    /// Returns the time of the next probe if the target failed.
    pub(super) fn probe_at(&self) -> Option<Duration> {
        match self.health {
            Health::Down { until, .. } if !self.is_leaving() => Some(until),
            _ => None,
        }
    }

    /// Records a load report. The daemons of `fleet` share the target.
    pub(super) fn report_load(&mut self, now: Duration, load: Load, fleet: Fleet, headroom: f64) {
        let total = f64::from(load.running) + f64::from(load.waiting);
        let others = (total - f64::from(self.in_flight())).max(0.0);
        match self.capacity {
            None => {
                self.others_load = others;
                self.limit = f64::from(load.capacity.max(1));
            }
            Some(_) => self.others_load += OTHERS_ALPHA * (others - self.others_load),
        }
        self.capacity = Some(load.capacity);
        self.reports_leaving = load.leaving;
        let elapsed = now
            .saturating_sub(self.last_report)
            .as_secs_f64()
            .min(MAX_LAG_S);
        self.last_report = now;
        // Each daemon takes its share of the free slots, spread over the lag: it must not take the
        // same slots again before its own requests show up in the reports.
        let usable = f64::from(load.capacity) * (1.0 - headroom);
        let free = usable - total;
        let share = if free > 0.0 {
            free / f64::from(fleet.daemons)
        } else {
            free
        };
        self.extra_slots =
            (self.extra_slots + share * elapsed / MAX_LAG_S).clamp(0.0, usable.max(0.0));
        self.limit = self.limit.min(f64::from(load.capacity)).max(1.0);
    }

    /// Maximum number of this daemon's requests in flight, for work of this urgency.
    pub(super) fn limit(&self, urgency: Urgency, fleet: Fleet, headroom: f64) -> u32 {
        if self.is_leaving() || self.capacity == Some(0) {
            return 0;
        }
        let share = match self.capacity {
            Some(capacity) if self.local => f64::from(capacity) / f64::from(fleet.daemons),
            // The daemons in the target's data centre divide its capacity; others only get free
            // slots.
            Some(_) => 0.0,
            None => self.limit,
        };
        let limit = match urgency {
            Urgency::Urgent => (share + self.extra_slots).min(self.limit).max(1.0),
            Urgency::Patient => {
                (share * (1.0 - headroom) + self.extra_slots).min(self.limit * (1.0 - headroom))
            }
        };
        // Systematic rounding: the rounded shares of all daemons add up to the capacity.
        let rank_phase = f64::from(fleet.rank) / f64::from(fleet.daemons);
        let rounded = (limit + (self.rounding_phase + rank_phase).fract())
            .floor()
            .max(0.0) as u32;
        let max = self.capacity.unwrap_or(self.limit as u32);
        rounded.min(max)
    }

    /// Estimated load relative to capacity, multiplied by the slowness; lower is better.
    pub(super) fn score(&self, now: Duration, fleet: Fleet, averages: [Option<f64>; 2]) -> f64 {
        let own = f64::from(self.in_flight());
        let capacity = self.capacity.map_or(self.limit, f64::from).max(1.0);
        // The reports lag and vary. This daemon's own requests are known exactly, and the other
        // daemons balance theirs in the same way, so half of the estimate extrapolates from them.
        let reported = self.others_load + own + 1.0;
        let extrapolated = (own + 1.0) * f64::from(fleet.daemons);
        let load = (reported + extrapolated) / 2.0 / capacity;
        load * self.slowness(now, averages).max(1.0)
    }

    /// Ratio of the target's time to first byte to the service's average, including requests that
    /// still wait for their first byte. `averages` are the service's mean times to first byte per
    /// urgency, in seconds.
    pub(super) fn slowness(&self, now: Duration, averages: [Option<f64>; 2]) -> f64 {
        let ages = self
            .pending
            .iter()
            .zip(averages)
            .filter_map(|(p, average)| {
                let (sent, _) = p.first()?;
                let age = now.saturating_sub(*sent).as_secs_f64();
                // Half of the age, because one request with a long prompt does not make a target
                // slow.
                average.filter(|a| *a > 0.0).map(|a| age / a / 2.0)
            });
        ages.fold(self.latency_ratio, f64::max)
    }

    /// Records a time to first byte, as a ratio to the service's average. `max` is the maximum
    /// limit if the target reports no capacity.
    pub(super) fn record_first_byte(&mut self, now: Duration, ratio: f64, max: u32) {
        self.latency_ratio += LATENCY_ALPHA * (ratio.min(2.0 * LATE_RATIO) - self.latency_ratio);
        if ratio > LATE_RATIO {
            self.reduce_limit(now);
        } else {
            let max = f64::from(self.capacity.unwrap_or(max)).max(1.0);
            // Grows by one per `limit` responses, as in TCP congestion avoidance. A target that
            // recovers from a limit of 1 doubles it.
            self.limit = (self.limit + 1.0 / self.limit.max(1.0)).min(max);
        }
        self.record_response();
    }

    /// Records that the target responded, which ends a failure.
    pub(super) fn record_response(&mut self) {
        self.refusals = 0;
        if self.health != Health::Up {
            self.health = Health::Up;
            self.latency_ratio = 1.0;
            self.limit = self.capacity.map_or(self.limit, f64::from).max(1.0);
        }
    }

    /// Records that the target rejected a request.
    pub(super) fn record_refusal(&mut self, now: Duration, settings: &Settings) {
        self.reduce_limit(now);
        self.refusals += 1;
        if self.refusals >= MAX_REFUSALS || self.health != Health::Up {
            self.record_failure(now, settings);
        }
    }

    /// Marks the target as failed; a failed probe doubles the backoff delay.
    pub(super) fn record_failure(&mut self, now: Duration, settings: &Settings) {
        let backoff = match self.health {
            Health::Up => settings.backoff_min,
            Health::Down { until, backoff } if now >= until => {
                (backoff * 2).min(settings.backoff_max)
            }
            // One failure of a target ends many requests, of which only the first counts.
            Health::Down { .. } => return,
        };
        // The offset spreads the probes of different targets over time.
        let until = now + backoff.mul_f64(1.0 + self.rounding_phase / 2.0);
        self.health = Health::Down { until, backoff };
        self.extra_slots = 0.0;
        self.latency_ratio = 1.0;
    }

    /// Reduces the limit, at most once per second, because all requests that were sent before the
    /// reduction may still report the same congestion.
    fn reduce_limit(&mut self, now: Duration) {
        if now.saturating_sub(self.last_reduction) >= Duration::from_secs(1) {
            self.last_reduction = now;
            // Starts from the requests in flight, because the limit may be far above them.
            self.limit = (self.limit.min(f64::from(self.in_flight()) + 1.0) * 0.7).max(1.0);
            self.extra_slots /= 2.0;
        }
    }
}
