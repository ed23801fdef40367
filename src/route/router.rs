//! The router of one daemon: events in, actions out.

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
    outcome::release,
    request::{
        Place,
        Ticket, //
    },
    service::{
        Service,
        entry_of, //
    },
    strikes::{
        Standing,
        Strikes, //
    },
    view::Fleet, //
};
use crate::model::{
    self,
    Code,
    CustomerId,
    Fault,
    ServiceId,
    TargetId,
    Verdict, //
};

/// Time between reviews of the queues for requests that can no longer be served in time.
const REVIEW: Duration = Duration::from_millis(250);

/// Routes the requests of one daemon to the targets of all its services.
///
/// After each event the daemon calls [`Router::poll`], and again at [`Router::next_wakeup`].
#[derive(Debug)]
pub struct Router {
    pub(super) settings: Settings,
    pub(super) rng: StdRng,
    pub(super) services: BTreeMap<ServiceId, Service>,
    pub(super) weights: BTreeMap<CustomerId, u32>,
    pub(super) tickets: BTreeMap<u64, Ticket>,
    pub(super) strikes: Strikes,
    fleet: Fleet,
    pub(super) reviewed: Duration,
    pub(super) stats: Stats,
    pub(super) actions: Vec<Action>,
}

impl Router {
    /// Returns a router without services. Daemons should use different seeds.
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
            reviewed: Duration::ZERO,
            stats: Stats::default(),
            actions: Vec::new(),
        }
    }

    /// Sets the targets of a service. Targets that stay keep their state; removed ones get no new
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
            .or_insert_with(|| Service::new(settings, fleet))
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

    /// Sets the number of daemons in the data centre and this daemon's number among them, from 0.
    /// Daemons share the capacity of local targets evenly, and each target has one daemon that may run
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
        assert!(rank < daemons, "the rank is below the number of daemons");
        self.fleet = Fleet { rank, daemons };
        for service in self.services.values_mut() {
            service.fleet = self.fleet;
        }
    }

    /// Queues a request. The next [`Router::poll`] dispatches or refuses it, or a later one.
    ///
    /// # Errors
    ///
    /// A fault with verdict not-run if the service is unknown or has no target, a queue is full,
    /// the deadline cannot be met, or the fingerprint crashes targets.
    ///
    /// # Examples
    ///
    /// ```
    /// # use std::time::Duration;
    /// use cuminloom::{model::{Code, Repeat, Urgency}, route::{Job, Router, Settings}};
    /// let mut router = Router::new(Settings::new("cebu-north".into()), 7);
    /// let job = Job {
    ///     ticket: 1,
    ///     service: "loom-writers".into(),
    ///     customer: "guild".into(),
    ///     urgency: Urgency::Urgent,
    ///     repeat: Repeat::Idempotent,
    ///     deadline: Duration::from_secs(10),
    ///     fingerprint: 17,
    ///     affinity: 0,
    ///     cost: 500,
    /// };
    /// let fault = router.offer(Duration::ZERO, job).unwrap_err();
    /// assert_eq!(fault.code, Code::NotFound);
    /// ```
    pub fn offer(&mut self, now: Duration, job: Job) -> Result<(), Fault> {
        assert!(
            !self.tickets.contains_key(&job.ticket),
            "a ticket is offered once"
        );
        self.stats.offered += 1;
        let result = self.admit(now, job);
        self.stats.refused += u64::from(result.is_err());
        result
    }

    fn admit(&mut self, now: Duration, job: Job) -> Result<(), Fault> {
        let Some(service) = self.services.get_mut(&job.service) else {
            let detail = format!("no service \"{}\"", job.service);
            return Err(Fault::not_run(Code::NotFound, detail));
        };
        if self.strikes.standing(now, job.fingerprint) == Standing::Blocked {
            return Err(crashes());
        }
        service.check(now, &job, &self.settings, weight_of(&self.weights))?;
        service.retries.offered();
        service.queue(job.urgency).push(entry_of(&job));
        self.tickets.insert(job.ticket, Ticket::new(job));
        Ok(())
    }

    /// Returns what is to be done now.
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
        let review = now >= self.reviewed + REVIEW;
        if review {
            self.reviewed = now;
        }
        self.services.values_mut().for_each(|s| s.observe(now));
        let busy = self.services.iter().filter(|(_, s)| s.queued() > 0);
        let names: Vec<ServiceId> = busy.map(|(id, _)| id.clone()).collect();
        for name in names {
            if review {
                self.review(now, &name);
            }
            self.run_suspects(now, &name);
            while self.advance(now, &name) {}
            self.run_suspects(now, &name);
        }
        std::mem::take(&mut self.actions)
    }

    /// Time at which [`Router::poll`] is due without an event; `None` if nothing is queued.
    ///
    /// # Examples
    ///
    /// ```
    /// # use cuminloom::route::{Router, Settings};
    /// # let router = Router::new(Settings::new("cebu-north".into()), 7);
    /// assert_eq!(router.next_wakeup(), None);
    /// ```
    pub fn next_wakeup(&self) -> Option<Duration> {
        // A probe that becomes due is also found at a review.
        let queued = self.services.values().any(|s| s.queued() > 0);
        queued.then(|| self.reviewed + REVIEW)
    }

    /// Takes in a load report of a target.
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
            service.report(now, target, load);
        }
    }

    /// Notes that the VM list or an operator's plan says that the target is leaving. It gets no
    /// new work until [`Router::clear_leaving`].
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
        self.plan(target, true);
    }

    /// Notes that neither the VM list nor a plan says any longer that the target is leaving.
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
        self.plan(target, false);
    }

    fn plan(&mut self, target: &TargetId, leaving: bool) {
        for service in self.services.values_mut() {
            if let Some(view) = service.views.get_mut(target) {
                view.planned = leaving;
            }
        }
    }

    /// Notes that the first byte of the answer arrived.
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
        let Place::Running {
            target,
            sent,
            answered: answered @ false,
        } = &mut open.place
        else {
            return;
        };
        *answered = true;
        let service = service_of(&mut self.services, &open.job);
        let ratio = service.first_byte(open.job.urgency, now.saturating_sub(*sent));
        if let Some(view) = service.views.get_mut(target) {
            view.pending[open.job.urgency as usize].remove(&(*sent, ticket));
            view.first_byte(now, ratio, self.settings.max_limit);
        }
    }

    /// Notes that a request ended. Returns whether it was queued again, and the strike to send to
    /// the linked peers before the caller gets its answer.
    ///
    /// # Examples
    ///
    /// ```
    /// # use std::time::Duration;
    /// use cuminloom::route::{FollowUp, AttemptOutcome, Router, Settings};
    /// # let mut router = Router::new(Settings::new("cebu-north".into()), 7);
    /// // The caller may disconnect after the ticket was closed.
    /// assert_eq!(router.finish(Duration::ZERO, 1, AttemptOutcome::Cancelled), FollowUp::default());
    /// ```
    pub fn finish(&mut self, now: Duration, ticket: u64, ended: AttemptOutcome) -> FollowUp {
        if ended == AttemptOutcome::Success {
            self.first_byte(now, ticket);
        }
        let Some(mut open) = self.tickets.remove(&ticket) else {
            assert_eq!(ended, AttemptOutcome::Cancelled, "an open ticket ends once");
            return FollowUp::default();
        };
        let service = service_of(&mut self.services, &open.job);
        let Place::Running { target, sent, .. } = open.place.clone() else {
            assert_eq!(
                ended,
                AttemptOutcome::Cancelled,
                "a queued ticket can only be cancelled"
            );
            service.remove(ticket);
            return FollowUp::default();
        };
        release(service, &open, &target, sent);
        self.judge(now, &open, &target, sent, ended);
        let strike = self.strike_for(now, &open, &target, ended);
        let retry = self.may_retry(now, &open, ended);
        if retry {
            open.crashed |= ended == AttemptOutcome::Crashed(Verdict::MayHaveRun);
            open.tried = Some(target);
            open.place = Place::Queued;
            let service = service_of(&mut self.services, &open.job);
            service
                .queue(open.job.urgency)
                .push_again(entry_of(&open.job));
            self.tickets.insert(ticket, open);
            self.stats.retries += 1;
        }
        FollowUp { retry, strike }
    }

    /// Takes in a strike from a peer.
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
            running: views().map(|v| u64::from(v.own())).sum(),
            targets: views().filter(|v| !v.removed).count() as u64,
            usable: views().filter(|v| v.up()).count() as u64,
            strikes: self.strikes.len() as u64,
            ..self.stats
        }
    }
}

/// Explanation of a refusal after two strikes.
pub(super) const CRASHES: &str = "the request crashed the targets that ran it";

fn crashes() -> Fault {
    Fault::not_run(Code::CrashesTargets, CRASHES)
}

/// Returns the weight of each customer; the default is 1.
pub(super) fn weight_of(weights: &BTreeMap<CustomerId, u32>) -> impl Fn(&CustomerId) -> u32 + '_ {
    |customer| weights.get(customer).copied().unwrap_or(1)
}

pub(super) fn service_of<'a>(
    services: &'a mut BTreeMap<ServiceId, Service>,
    job: &Job,
) -> &'a mut Service {
    services
        .get_mut(&job.service)
        .expect("service of an open ticket")
}
