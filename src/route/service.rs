//! Queues, targets and estimates of one service.

use std::{
    collections::{
        BTreeMap,
        VecDeque, //
    },
    time::Duration, //
};

use super::{
    Job,
    Settings,
    estimate::{
        Mean,
        RetryBudget,
        WaitEstimator, //
    },
    queue::{
        Entry,
        Queue, //
    },
    view::{
        Fleet,
        TargetView, //
    }, //
};
use crate::model::{
    self,
    Code,
    CustomerId,
    RequestError,
    TargetId,
    Urgency, //
};

/// Part of the estimated wait that is used to refuse a request that is already queued. The estimate
/// varies, and an accepted request should not be refused because of a short disturbance.
const REVIEW_FACTOR: f64 = 0.6;

/// Headroom per share of the limits that urgent work uses. Urgent work needs slots for its
/// fluctuation, which grows with its volume; a larger headroom only takes slots from patient work.
const HEADROOM_PER_USE: f64 = 0.37;
/// Part of the configured headroom that is always reserved.
const MIN_HEADROOM_FACTOR: f64 = 0.5;
/// Time constant of the average of the use by urgent work, in seconds.
const USE_WINDOW_S: f64 = 10.0;

/// State of one service.
#[derive(Debug)]
pub(super) struct ServiceState {
    pub(super) views: BTreeMap<TargetId, TargetView>,
    /// Queued urgent requests without a strike.
    pub(super) urgent: Queue,
    /// Queued patient requests without a strike.
    pub(super) patient: Queue,
    /// Queued requests with a strike, in order of arrival.
    pub(super) suspects: VecDeque<u64>,
    pub(super) retries: RetryBudget,
    /// Estimator of the wait in the queues.
    pub(super) wait_estimator: WaitEstimator,
    pub(super) fleet: Fleet,
    /// Time to first byte, by `Urgency as usize`.
    first_byte: [Mean; 2],
    /// Maximum share of each limit that is reserved for urgent work.
    headroom: f64,
    /// Moving average of the share of the limits that urgent work uses.
    urgent_use: f64,
    /// Time of the last update of `urgent_use`.
    last_observed: Duration,
    /// Minimum share of the limits for queued patient work.
    patient_min: f64,
}

impl ServiceState {
    pub(super) fn new(settings: &Settings, fleet: Fleet) -> Self {
        Self {
            views: BTreeMap::new(),
            urgent: Queue::new(settings.quantum),
            patient: Queue::new(settings.quantum),
            suspects: VecDeque::new(),
            retries: RetryBudget::new(settings.retry_fraction, settings.retry_burst),
            wait_estimator: WaitEstimator::default(),
            fleet,
            first_byte: [Mean::default(), Mean::default()],
            headroom: settings.headroom,
            // Reserves the full headroom until the use is known.
            urgent_use: 1.0,
            last_observed: Duration::ZERO,
            patient_min: settings.patient_min,
        }
    }

    /// Replaces the targets; targets that remain keep their state.
    pub(super) fn configure(&mut self, targets: &[model::Target], settings: &Settings) {
        for view in self.views.values_mut() {
            view.removed = !targets.iter().any(|t| t.id == view.target.id);
        }
        for target in targets {
            match self.views.get_mut(&target.id) {
                Some(view) => {
                    view.local = target.dc == settings.dc;
                    view.target = target.clone();
                }
                None => {
                    let view = TargetView::new(target.clone(), settings);
                    self.views.insert(target.id.clone(), view);
                }
            }
        }
        self.drop_removed();
    }

    /// Drops removed targets that no longer run a request.
    pub(super) fn drop_removed(&mut self) {
        self.views
            .retain(|_, v| !v.removed || !v.running.is_empty());
    }

    /// Returns the queue of an urgency.
    pub(super) fn queue(&mut self, urgency: Urgency) -> &mut Queue {
        match urgency {
            Urgency::Urgent => &mut self.urgent,
            Urgency::Patient => &mut self.patient,
        }
    }

    /// Number of queued requests.
    pub(super) fn queued(&self) -> usize {
        self.urgent.len() + self.patient.len() + self.suspects.len()
    }

    /// Number of requests of this urgency that may run on the target.
    pub(super) fn limit(&self, view: &TargetView, urgency: Urgency) -> u32 {
        view.limit(urgency, self.fleet, self.effective_headroom())
    }

    /// Records a load report of a target.
    pub(super) fn report_load(&mut self, now: Duration, target: &TargetId, load: super::Load) {
        let headroom = self.effective_headroom();
        if let Some(view) = self.views.get_mut(target) {
            view.report_load(now, load, self.fleet, headroom);
        }
    }

    /// Updates the average share of the limits that urgent work uses.
    pub(super) fn update_urgent_use(&mut self, now: Duration) {
        let elapsed = now.saturating_sub(self.last_observed).as_secs_f64();
        if elapsed < USE_WINDOW_S / 100.0 {
            return;
        }
        let limits = f64::from(self.total_limit(Urgency::Urgent)).max(1.0);
        let urgent = f64::from(self.running() - self.patient_running());
        let alpha = 1.0 - (-elapsed / USE_WINDOW_S).exp();
        self.urgent_use += alpha * ((urgent / limits).min(1.0) - self.urgent_use);
        self.last_observed = now;
    }

    /// Share of each limit that is reserved for urgent work at present.
    fn effective_headroom(&self) -> f64 {
        (self.urgent_use * HEADROOM_PER_USE)
            .max(self.headroom * MIN_HEADROOM_FACTOR)
            .min(self.headroom)
    }

    /// Mean time to first byte per urgency, in seconds.
    pub(super) fn first_byte_means(&self) -> [Option<f64>; 2] {
        self.first_byte.each_ref().map(Mean::seconds)
    }

    /// Records a time to first byte; returns its ratio to the previous average.
    pub(super) fn record_first_byte(&mut self, urgency: Urgency, time: Duration) -> f64 {
        let mean = &mut self.first_byte[urgency as usize];
        let ratio = match mean.seconds() {
            Some(mean) if mean > 0.0 => time.as_secs_f64() / mean,
            _ => 1.0,
        };
        mean.add(time);
        ratio
    }

    /// Sum of the limits of the usable targets.
    fn total_limit(&self, urgency: Urgency) -> u32 {
        let up = self.views.values().filter(|v| v.is_usable());
        up.map(|v| self.limit(v, urgency)).sum()
    }

    /// Number of running patient requests.
    fn patient_running(&self) -> u32 {
        self.views.values().map(|v| v.patient).sum()
    }

    /// Number of running requests.
    pub(super) fn running(&self) -> u32 {
        self.views.values().map(TargetView::in_flight).sum()
    }

    /// Number of slots that patient work gets even while urgent work is queued.
    fn patient_reserve(&self) -> u32 {
        let share = f64::from(self.total_limit(Urgency::Urgent)) * self.patient_min;
        (share as u32).max(1)
    }

    /// Whether queued patient work has less than its minimum share.
    pub(super) fn patient_starved(&self) -> bool {
        self.patient.len() > 0 && self.patient_running() < self.patient_reserve()
    }

    /// Returns the number of slots that work of this urgency can get, and how many of them are
    /// free.
    fn slots(&self, now: Duration, urgency: Urgency) -> (f64, f64) {
        // A failed target accepts one request as a probe.
        let probes = self.views.values().filter(|v| v.probe_due(now)).count() as u32;
        let limits = self.total_limit(urgency) + probes;
        let running = self.running();
        let patient = self.patient_running();
        let reserve = self.patient_reserve();
        let free = f64::from(limits.saturating_sub(running));
        match urgency {
            Urgency::Urgent => (f64::from(limits.saturating_sub(reserve)), free),
            Urgency::Patient => {
                let slots = limits.saturating_sub(running - patient).max(reserve);
                (f64::from(slots), free - self.urgent.len() as f64)
            }
        }
    }

    /// Checks that the request fits in the queues and that its deadline can be met.
    pub(super) fn check_admission(
        &self,
        now: Duration,
        job: &Job,
        settings: &Settings,
        weight: impl Fn(&CustomerId) -> u32,
    ) -> Result<(), RequestError> {
        self.check_targets(job.deadline)?;
        let queue = match job.urgency {
            Urgency::Urgent => &self.urgent,
            Urgency::Patient => &self.patient,
        };
        if queue.len() >= settings.max_queue {
            return Err(overloaded("the queue of the service is full"));
        }
        if queue.customer_len(&job.customer) >= settings.customer_max {
            return Err(overloaded("the queue of the customer is full"));
        }
        let ahead = queue.ahead(&job.customer, weight);
        let (slots, free) = self.slots(now, job.urgency);
        let wait = self.wait_estimator.expected_wait(now, ahead, slots, free);
        if now + wait.unwrap_or_default() + self.mean_first_byte(job.urgency) > job.deadline {
            return Err(overloaded("the wait would exceed the deadline"));
        }
        Ok(())
    }

    /// Checks that some target can accept work before the deadline.
    pub(super) fn check_targets(&self, deadline: Duration) -> Result<(), RequestError> {
        let usable = |v: &TargetView| v.is_usable() || v.probe_at().is_some_and(|at| at < deadline);
        if self.views.values().any(usable) {
            return Ok(());
        }
        Err(RequestError::not_run(
            Code::NoTarget,
            "all targets are leaving or failed",
        ))
    }

    /// Mean time to first byte, or zero until it is known.
    fn mean_first_byte(&self, urgency: Urgency) -> Duration {
        Duration::from_secs_f64(self.first_byte_means()[urgency as usize].unwrap_or(0.0))
    }

    /// Removes the queued requests whose deadline can no longer be met, and returns their tickets.
    pub(super) fn remove_expired(
        &mut self,
        now: Duration,
        weight: impl Fn(&CustomerId) -> u32,
    ) -> Vec<u64> {
        let mut tickets = Vec::new();
        for urgency in [Urgency::Urgent, Urgency::Patient] {
            let (slots, free) = self.slots(now, urgency);
            let first_byte = self.mean_first_byte(urgency);
            let queue = match urgency {
                Urgency::Urgent => &mut self.urgent,
                Urgency::Patient => &mut self.patient,
            };
            let estimator = &self.wait_estimator;
            tickets.extend(queue.remove_if(&weight, |entry, ahead| {
                let wait = estimator.expected_wait(now, ahead, slots, free);
                let wait = wait.unwrap_or_default().mul_f64(REVIEW_FACTOR);
                now + wait + first_byte >= entry.deadline
            }));
        }
        tickets
    }

    /// Removes a queued request from its queue.
    pub(super) fn remove(&mut self, ticket: u64) {
        let suspects = self.suspects.len();
        self.suspects.retain(|t| *t != ticket);
        let found = self.suspects.len() < suspects
            || self.urgent.remove(ticket)
            || self.patient.remove(ticket);
        assert!(found, "a queued ticket must be in a queue");
    }
}

/// Returns the queue entry of a job.
pub(super) fn entry_of(job: &Job) -> Entry {
    Entry {
        ticket: job.ticket,
        customer: job.customer.clone(),
        cost: job.cost,
        deadline: job.deadline,
    }
}

/// Refusal because of load; the request did not run.
fn overloaded(detail: &str) -> RequestError {
    RequestError::not_run(Code::Overloaded, detail)
}
