//! The queues and target views of one service.

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
        Completions,
        Mean,
        RetryBudget, //
    },
    queue::{
        Entry,
        Queue, //
    },
    view::{
        Fleet,
        View, //
    }, //
};
use crate::model::{
    self,
    Code,
    CustomerId,
    Fault,
    TargetId,
    Urgency, //
};

/// Part of the estimated wait that a queued request is refused on. The estimate varies, and a
/// request that was accepted should not be refused for a short disturbance.
const REVIEW_FACTOR: f64 = 0.6;

/// Headroom per used share of the limits: urgent work needs room for its fluctuation, which grows
/// with its amount, and any more is lost to patient work.
const HEADROOM_FACTOR: f64 = 0.37;
/// Part of the configured headroom that is kept while there is little urgent work.
const HEADROOM_MIN: f64 = 0.5;
/// Time over which the use by urgent work is averaged, in seconds.
const USE_S: f64 = 10.0;

/// State of one service.
#[derive(Debug)]
pub(super) struct Service {
    pub(super) views: BTreeMap<TargetId, View>,
    pub(super) urgent: Queue,
    pub(super) patient: Queue,
    /// Requests with a strike, in order of arrival.
    pub(super) suspects: VecDeque<u64>,
    pub(super) retries: RetryBudget,
    pub(super) completions: Completions,
    pub(super) fleet: Fleet,
    first_byte: [Mean; 2],
    headroom: f64,
    /// Average share of the limits that urgent work uses.
    urgent_use: f64,
    observed: Duration,
    patient_min: f64,
}

impl Service {
    pub(super) fn new(settings: &Settings, fleet: Fleet) -> Self {
        Self {
            views: BTreeMap::new(),
            urgent: Queue::new(settings.quantum),
            patient: Queue::new(settings.quantum),
            suspects: VecDeque::new(),
            retries: RetryBudget::new(settings.retry_fraction, settings.retry_burst),
            completions: Completions::default(),
            fleet,
            first_byte: [Mean::default(), Mean::default()],
            headroom: settings.headroom,
            // The full headroom until the use is known.
            urgent_use: 1.0,
            observed: Duration::ZERO,
            patient_min: settings.patient_min,
        }
    }

    /// Replaces the targets; views of targets that stay are kept.
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
                    let view = View::new(target.clone(), settings);
                    self.views.insert(target.id.clone(), view);
                }
            }
        }
        self.purge();
    }

    /// Drops views of removed targets that run nothing.
    pub(super) fn purge(&mut self) {
        self.views
            .retain(|_, v| !v.removed || !v.running.is_empty());
    }

    pub(super) fn queue(&mut self, urgency: Urgency) -> &mut Queue {
        match urgency {
            Urgency::Urgent => &mut self.urgent,
            Urgency::Patient => &mut self.patient,
        }
    }

    pub(super) fn queued(&self) -> usize {
        self.urgent.len() + self.patient.len() + self.suspects.len()
    }

    pub(super) fn limit(&self, view: &View, urgency: Urgency) -> u32 {
        view.limit(urgency, self.fleet, self.reserved())
    }

    pub(super) fn report(&mut self, now: Duration, target: &TargetId, load: super::Load) {
        let headroom = self.reserved();
        if let Some(view) = self.views.get_mut(target) {
            view.report(now, load, self.fleet, headroom);
        }
    }

    /// Takes in how much of the limits urgent work uses now.
    pub(super) fn observe(&mut self, now: Duration) {
        let elapsed = now.saturating_sub(self.observed).as_secs_f64();
        if elapsed < USE_S / 100.0 {
            return;
        }
        let limits = f64::from(self.limits(Urgency::Urgent)).max(1.0);
        let urgent = f64::from(self.running() - self.patient_running());
        let alpha = 1.0 - (-elapsed / USE_S).exp();
        self.urgent_use += alpha * ((urgent / limits).min(1.0) - self.urgent_use);
        self.observed = now;
    }

    /// Share of each limit that only urgent work may use at present.
    fn reserved(&self) -> f64 {
        (self.urgent_use * HEADROOM_FACTOR)
            .max(self.headroom * HEADROOM_MIN)
            .min(self.headroom)
    }

    /// Mean times to first byte per urgency, in seconds.
    pub(super) fn first_byte_means(&self) -> [Option<f64>; 2] {
        self.first_byte.each_ref().map(Mean::seconds)
    }

    /// Takes in a time to first byte; returns its ratio to the average.
    pub(super) fn first_byte(&mut self, urgency: Urgency, time: Duration) -> f64 {
        let mean = &mut self.first_byte[urgency as usize];
        let ratio = match mean.seconds() {
            Some(mean) if mean > 0.0 => time.as_secs_f64() / mean,
            _ => 1.0,
        };
        mean.add(time);
        ratio
    }

    fn limits(&self, urgency: Urgency) -> u32 {
        let up = self.views.values().filter(|v| v.up());
        up.map(|v| self.limit(v, urgency)).sum()
    }

    fn patient_running(&self) -> u32 {
        self.views.values().map(|v| v.patient).sum()
    }

    pub(super) fn running(&self) -> u32 {
        self.views.values().map(View::own).sum()
    }

    /// Slots that patient work gets even while urgent work waits.
    fn patient_reserve(&self) -> u32 {
        let share = f64::from(self.limits(Urgency::Urgent)) * self.patient_min;
        (share as u32).max(1)
    }

    /// Whether patient work has less than its minimum share.
    pub(super) fn patient_starved(&self) -> bool {
        self.patient.len() > 0 && self.patient_running() < self.patient_reserve()
    }

    /// Slots that work of this urgency can get, and how many of them are free.
    fn slots(&self, now: Duration, urgency: Urgency) -> (f64, f64) {
        // A failed target takes one request as a probe.
        let probes = self.views.values().filter(|v| v.probe_due(now)).count() as u32;
        let limits = self.limits(urgency) + probes;
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

    /// Returns the fault if the request cannot be queued or its deadline cannot be met.
    pub(super) fn check(
        &self,
        now: Duration,
        job: &Job,
        settings: &Settings,
        weight: impl Fn(&CustomerId) -> u32,
    ) -> Result<(), Fault> {
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
        let wait = self.completions.wait(now, ahead, slots, free);
        if now + wait.unwrap_or_default() + self.answer_time(job.urgency) > job.deadline {
            return Err(overloaded("the wait would exceed the deadline"));
        }
        Ok(())
    }

    /// Returns the fault if no target can take work before the deadline.
    pub(super) fn check_targets(&self, deadline: Duration) -> Result<(), Fault> {
        let usable = |v: &View| v.up() || v.probe_at().is_some_and(|at| at < deadline);
        if self.views.values().any(usable) {
            return Ok(());
        }
        Err(Fault::not_run(
            Code::NoTarget,
            "all targets are leaving or failed",
        ))
    }

    fn answer_time(&self, urgency: Urgency) -> Duration {
        Duration::from_secs_f64(self.first_byte_means()[urgency as usize].unwrap_or(0.0))
    }

    /// Removes queued requests whose deadline can no longer be met.
    pub(super) fn expire(
        &mut self,
        now: Duration,
        weight: impl Fn(&CustomerId) -> u32,
    ) -> Vec<u64> {
        let mut tickets = Vec::new();
        for urgency in [Urgency::Urgent, Urgency::Patient] {
            let (slots, free) = self.slots(now, urgency);
            let answer = self.answer_time(urgency);
            let queue = match urgency {
                Urgency::Urgent => &mut self.urgent,
                Urgency::Patient => &mut self.patient,
            };
            let completions = &self.completions;
            tickets.extend(queue.drain(&weight, |entry, ahead| {
                let wait = completions.wait(now, ahead, slots, free);
                let wait = wait.unwrap_or_default().mul_f64(REVIEW_FACTOR);
                now + wait + answer >= entry.deadline
            }));
        }
        tickets
    }

    /// Removes a queued request.
    pub(super) fn remove(&mut self, ticket: u64) {
        let suspects = self.suspects.len();
        self.suspects.retain(|t| *t != ticket);
        let found = self.suspects.len() < suspects
            || self.urgent.remove(ticket)
            || self.patient.remove(ticket);
        assert!(found, "a queued ticket is in one queue");
    }
}

/// The queue entry of a job.
pub(super) fn entry_of(job: &Job) -> Entry {
    Entry {
        ticket: job.ticket,
        customer: job.customer.clone(),
        cost: job.cost,
        deadline: job.deadline,
    }
}

fn overloaded(detail: &str) -> Fault {
    Fault::not_run(Code::Overloaded, detail)
}
