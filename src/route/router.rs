//! State machine of the router: events in, actions out.

use std::{
    collections::BTreeMap,
    time::Duration, //
};

use rand::{
    SeedableRng,
    rngs::StdRng, //
};

use super::{
    Action,
    AttemptOutcome,
    FollowUp,
    Job,
    Load,
    Settings,
    Stats,
    outcome::free_slot,
    request::{
        Request,
        RequestState, //
    },
    service::{
        ServiceState,
        entry_of, //
    },
    strikes::{
        StrikeStatus,
        Strikes, //
    },
    view::Fleet, //
};
use crate::model::{
    self,
    Code,
    CustomerId,
    RequestError,
    ServiceId,
    TargetId,
    Verdict, //
};

/// Interval at which queued requests whose deadline cannot be met are refused.
const REVIEW_INTERVAL: Duration = Duration::from_millis(250);

/// Routes the requests of one daemon to the targets of all its services.
///
/// The daemon calls [`Router::poll`] after each event and at [`Router::next_wakeup`].
#[derive(Debug)]
pub struct Router {
    pub(super) settings: Settings,
    pub(super) rng: StdRng,
    pub(super) services: BTreeMap<ServiceId, ServiceState>,
    /// Weights of the customers whose weight was set.
    pub(super) weights: BTreeMap<CustomerId, u32>,
    /// Open requests by ticket.
    pub(super) tickets: BTreeMap<u64, Request>,
    pub(super) strikes: Strikes,
    /// This daemon's rank among the daemons that share the targets.
    fleet: Fleet,
    /// Time of the last review of the queues.
    pub(super) last_review: Duration,
    /// Cumulative counts; the gauges are computed on demand.
    pub(super) stats: Stats,
    /// Actions to return from the next poll.
    pub(super) actions: Vec<Action>,
}

impl Router {
    /// Returns a router without services. Each daemon should use a different seed, so that daemons
    /// do not choose the same targets.
    ///
    /// # Examples
    ///
    /// ```
    /// use cuminloom::route::{Router, Settings};
    /// let router = Router::new(Settings::new("cebu-north".into()), 7);
    /// assert_eq!(router.stats().queued, 0);
    /// ```
    pub fn new(settings: Settings, seed: u64) -> Self {
        Self {
            strikes: Strikes::new(settings.strike_ttl, settings.max_strikes),
            settings,
            rng: StdRng::seed_from_u64(seed),
            services: BTreeMap::new(),
            weights: BTreeMap::new(),
            tickets: BTreeMap::new(),
            fleet: Fleet {
                rank: 0,
                daemons: 1,
            },
            last_review: Duration::ZERO,
            stats: Stats::default(),
            actions: Vec::new(),
        }
    }

    /// Sets the targets of a service. Targets that remain keep their state; removed ones get no new
    /// work.
    ///
    /// # Examples
    ///
    /// ```
    /// # use std::time::Duration;
    /// use cuminloom::{model, route::{Router, Settings}};
    /// let mut router = Router::new(Settings::new("cebu-north".into()), 7);
    /// let target = model::Target {
    ///     id: "runner-1".into(),
    ///     addr: "127.0.0.1:9000".parse().unwrap(),
    ///     dc: "cebu-north".into(),
    ///     fences: true,
    /// };
    /// router.set_service(Duration::ZERO, &model::Service {
    ///     id: "loom-writers".into(),
    ///     kind: model::TargetKind::Engine,
    ///     model: "m".into(),
    ///     targets: vec![target],
    /// });
    /// assert_eq!(router.stats().usable, 1);
    /// ```
    pub fn set_service(&mut self, _now: Duration, service: &model::Service) {
        let settings = &self.settings;
        let fleet = self.fleet;
        self.services
            .entry(service.id.clone())
            .or_insert_with(|| ServiceState::new(settings, fleet))
            .configure(&service.targets, settings);
    }

    /// Sets the weight of a customer; the default is 1.
    ///
    /// # Examples
    ///
    /// ```
    /// # use cuminloom::route::{Router, Settings};
    /// # let mut router = Router::new(Settings::new("cebu-north".into()), 7);
    /// router.set_weight("guild".into(), 3);
    /// ```
    pub fn set_weight(&mut self, customer: CustomerId, weight: u32) {
        self.weights.insert(customer, weight);
    }

    /// Sets the number of daemons in the data centre and this daemon's rank among them, from 0. The
    /// daemons share the capacity of local targets evenly, and each target has one daemon that runs
    /// requests with a strike there.
    ///
    /// # Examples
    ///
    /// ```
    /// # use cuminloom::route::{Router, Settings};
    /// # let mut router = Router::new(Settings::new("cebu-north".into()), 7);
    /// router.set_fleet(2, 7);
    /// ```
    pub fn set_fleet(&mut self, rank: u32, daemons: u32) {
        assert!(
            rank < daemons,
            "the rank must be below the number of daemons"
        );
        self.fleet = Fleet { rank, daemons };
        for service in self.services.values_mut() {
            service.fleet = self.fleet;
        }
    }

    /// Queues a request. The next or a later [`Router::poll`] dispatches or refuses it.
    ///
    /// # Errors
    ///
    /// Fails with the verdict not-run if the service is unknown or has no usable target, a queue is
    /// full, the deadline cannot be met, or the fingerprint has two strikes.
    ///
    /// # Examples
    ///
    /// ```
    /// # use std::time::Duration;
    /// use cuminloom::{model::{Code, RetryPolicy, Urgency}, route::{Job, Router, Settings}};
    /// let mut router = Router::new(Settings::new("cebu-north".into()), 7);
    /// let job = Job {
    ///     ticket: 1,
    ///     service: "loom-writers".into(),
    ///     customer: "guild".into(),
    ///     urgency: Urgency::Urgent,
    ///     repeat: RetryPolicy::Idempotent,
    ///     deadline: Duration::from_secs(10),
    ///     fingerprint: 17,
    ///     affinity: 0,
    ///     cost: 500,
    /// };
    /// let fault = router.offer(Duration::ZERO, job).unwrap_err();
    /// assert_eq!(fault.code, Code::NotFound);
    /// ```
    pub fn offer(&mut self, now: Duration, job: Job) -> Result<(), RequestError> {
        assert!(
            !self.tickets.contains_key(&job.ticket),
            "the ticket is already open"
        );
        self.stats.offered += 1;
        let result = self.try_enqueue(now, job);
        self.stats.refused += u64::from(result.is_err());
        result
    }

    /// Checks a request and queues it.
    fn try_enqueue(&mut self, now: Duration, job: Job) -> Result<(), RequestError> {
        let Some(service) = self.services.get_mut(&job.service) else {
            let detail = format!("no service \"{}\"", job.service);
            return Err(RequestError::not_run(Code::NotFound, detail));
        };
        if self.strikes.status(now, job.fingerprint) == StrikeStatus::Blocked {
            return Err(crashes_fault());
        }
        service.check_admission(now, &job, &self.settings, weight_of(&self.weights))?;
        service.retries.record_offer();
        service.queue(job.urgency).push(entry_of(&job));
        self.tickets.insert(job.ticket, Request::new(job));
        Ok(())
    }

    /// Returns the actions that are due now.
    ///
    /// # Examples
    ///
    /// ```
    /// # use std::time::Duration;
    /// # use cuminloom::route::{Router, Settings};
    /// # let mut router = Router::new(Settings::new("cebu-north".into()), 7);
    /// assert!(router.poll(Duration::ZERO).is_empty());
    /// ```
    pub fn poll(&mut self, now: Duration) -> Vec<Action> {
        let review = now >= self.last_review + REVIEW_INTERVAL;
        if review {
            self.last_review = now;
        }
        self.services
            .values_mut()
            .for_each(|s| s.update_urgent_use(now));
        let busy = self.services.iter().filter(|(_, s)| s.queued() > 0);
        let service_ids: Vec<ServiceId> = busy.map(|(id, _)| id.clone()).collect();
        for service_id in service_ids {
            if review {
                self.refuse_overdue(now, &service_id);
            }
            self.dispatch_suspects(now, &service_id);
            while self.dispatch_next(now, &service_id) {}
            self.dispatch_suspects(now, &service_id);
        }
        std::mem::take(&mut self.actions)
    }

    /// Returns the time at which [`Router::poll`] is due even without an event, or `None` if
    /// nothing is queued.
    ///
    /// # Examples
    ///
    /// ```
    /// # use cuminloom::route::{Router, Settings};
    /// # let router = Router::new(Settings::new("cebu-north".into()), 7);
    /// assert_eq!(router.next_wakeup(), None);
    /// ```
    pub fn next_wakeup(&self) -> Option<Duration> {
        // The review also finds probes that became due.
        let queued = self.services.values().any(|s| s.queued() > 0);
        queued.then(|| self.last_review + REVIEW_INTERVAL)
    }

    /// Records a load report of a target.
    ///
    /// # Examples
    ///
    /// ```
    /// # use std::time::Duration;
    /// use cuminloom::route::{Load, Router, Settings};
    /// # let mut router = Router::new(Settings::new("cebu-north".into()), 7);
    /// let load = Load { running: 3, waiting: 0, capacity: 8, leaving: false };
    /// router.report_load(Duration::ZERO, &"runner-1".into(), load);
    /// ```
    pub fn report_load(&mut self, now: Duration, target: &TargetId, load: Load) {
        for service in self.services.values_mut() {
            service.report_load(now, target, load);
        }
    }

    /// Marks a target as leaving, according to the VM list or an operator's plan. It gets no new
    /// work until [`Router::clear_leaving`].
    ///
    /// # Examples
    ///
    /// ```
    /// # use std::time::Duration;
    /// # use cuminloom::route::{Router, Settings};
    /// # let mut router = Router::new(Settings::new("cebu-north".into()), 7);
    /// router.set_leaving(Duration::ZERO, &"runner-1".into());
    /// ```
    pub fn set_leaving(&mut self, _now: Duration, target: &TargetId) {
        self.mark_leaving(target, true);
    }

    /// Undoes [`Router::set_leaving`]: neither the VM list nor a plan names the target any longer.
    ///
    /// # Examples
    ///
    /// ```
    /// # use std::time::Duration;
    /// # use cuminloom::route::{Router, Settings};
    /// # let mut router = Router::new(Settings::new("cebu-north".into()), 7);
    /// router.clear_leaving(Duration::ZERO, &"runner-1".into());
    /// ```
    pub fn clear_leaving(&mut self, _now: Duration, target: &TargetId) {
        self.mark_leaving(target, false);
    }

    /// Sets whether the VM list or a plan says that the target is leaving.
    fn mark_leaving(&mut self, target: &TargetId, leaving: bool) {
        for service in self.services.values_mut() {
            if let Some(view) = service.views.get_mut(target) {
                view.listed_leaving = leaving;
            }
        }
    }

    /// Records that the first byte of the response arrived.
    ///
    /// # Examples
    ///
    /// ```
    /// # use std::time::Duration;
    /// # use cuminloom::route::{Router, Settings};
    /// # let mut router = Router::new(Settings::new("cebu-north".into()), 7);
    /// router.first_byte(Duration::ZERO, 1); // Ignored: the ticket is closed.
    /// ```
    pub fn first_byte(&mut self, now: Duration, ticket: u64) {
        let Some(open) = self.tickets.get_mut(&ticket) else {
            return;
        };
        let RequestState::Running {
            target,
            sent,
            answered: answered @ false,
        } = &mut open.state
        else {
            return;
        };
        *answered = true;
        let service = service_of(&mut self.services, &open.job);
        let ratio = service.record_first_byte(open.job.urgency, now.saturating_sub(*sent));
        if let Some(view) = service.views.get_mut(target) {
            view.pending[open.job.urgency as usize].remove(&(*sent, ticket));
            view.record_first_byte(now, ratio, self.settings.max_limit);
        }
    }

    /// Records the outcome of an attempt. Returns whether the request was queued again, and the
    /// strike to send to the linked peers before the caller gets its response.
    ///
    /// # Examples
    ///
    /// ```
    /// # use std::time::Duration;
    /// use cuminloom::route::{FollowUp, AttemptOutcome, Router, Settings};
    /// # let mut router = Router::new(Settings::new("cebu-north".into()), 7);
    /// // The caller may disconnect after the ticket was closed.
    /// let follow_up = router.finish(Duration::ZERO, 1, AttemptOutcome::Cancelled);
    /// assert_eq!(follow_up, FollowUp::default());
    /// ```
    pub fn finish(&mut self, now: Duration, ticket: u64, outcome: AttemptOutcome) -> FollowUp {
        if outcome == AttemptOutcome::Success {
            self.first_byte(now, ticket);
        }
        let Some(mut open) = self.tickets.remove(&ticket) else {
            assert_eq!(
                outcome,
                AttemptOutcome::Cancelled,
                "the ticket is already closed"
            );
            return FollowUp::default();
        };
        let service = service_of(&mut self.services, &open.job);
        let RequestState::Running { target, sent, .. } = open.state.clone() else {
            assert_eq!(
                outcome,
                AttemptOutcome::Cancelled,
                "a queued ticket can only be cancelled"
            );
            service.remove(ticket);
            return FollowUp::default();
        };
        free_slot(service, &open, &target, sent);
        self.update_target(now, &open, &target, sent, outcome);
        let strike = self.record_crash(now, &open, &target, outcome);
        let retry = self.take_retry(now, &open, outcome);
        if retry {
            open.crash_retried |= outcome == AttemptOutcome::Crashed(Verdict::MayHaveRun);
            open.last_target = Some(target);
            open.state = RequestState::Queued;
            let service = service_of(&mut self.services, &open.job);
            service
                .queue(open.job.urgency)
                .push_retry(entry_of(&open.job));
            self.tickets.insert(ticket, open);
            self.stats.retries += 1;
        }
        FollowUp { retry, strike }
    }

    /// Records a strike that a peer reported.
    ///
    /// # Examples
    ///
    /// ```
    /// # use std::time::Duration;
    /// # use cuminloom::route::{Router, Settings};
    /// # let mut router = Router::new(Settings::new("cebu-north".into()), 7);
    /// router.add_strike(Duration::ZERO, 17, &"runner-1".into());
    /// assert_eq!(router.stats().strikes, 1);
    /// ```
    pub fn add_strike(&mut self, now: Duration, fingerprint: u64, target: &TargetId) {
        self.strikes.add(now, fingerprint, target);
    }

    /// Returns counts for metrics.
    ///
    /// # Examples
    ///
    /// ```
    /// # use cuminloom::route::{Router, Settings};
    /// # let router = Router::new(Settings::new("cebu-north".into()), 7);
    /// assert_eq!(router.stats().dispatched, 0);
    /// ```
    pub fn stats(&self) -> Stats {
        let views = || self.services.values().flat_map(|s| s.views.values());
        Stats {
            queued: self.services.values().map(|s| s.queued() as u64).sum(),
            running: views().map(|v| u64::from(v.in_flight())).sum(),
            targets: views().filter(|v| !v.removed).count() as u64,
            usable: views().filter(|v| v.is_usable()).count() as u64,
            strikes: self.strikes.len() as u64,
            ..self.stats
        }
    }
}

/// Detail of a refusal after two strikes.
pub(super) const CRASHES_DETAIL: &str = "the request crashed the targets that ran it";

/// Refusal of a request that has two strikes.
fn crashes_fault() -> RequestError {
    RequestError::not_run(Code::CrashesTargets, CRASHES_DETAIL)
}

/// Returns the weight of each customer; the default is 1.
pub(super) fn weight_of(weights: &BTreeMap<CustomerId, u32>) -> impl Fn(&CustomerId) -> u32 + '_ {
    |customer| weights.get(customer).copied().unwrap_or(1)
}

/// Returns the state of the service of an open request.
pub(super) fn service_of<'a>(
    services: &'a mut BTreeMap<ServiceId, ServiceState>,
    job: &Job,
) -> &'a mut ServiceState {
    services
        .get_mut(&job.service)
        .expect("service of an open ticket")
}
