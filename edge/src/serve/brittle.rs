//! Keeps what is known of services whose runners are brittle, and finds places for requests there.

use std::{
    rc::Rc,
    sync::Arc,
    time::{
        Duration,
        Instant, //
    },
};

use super::{
    Core,
    Upstream,
    call::Call,
    upstream::InFlight, //
};
use crate::{
    adapter::{
        BrittleField,
        ResponseMeta, //
    },
    catalog::ServiceId,
    decide::{
        Candidate,
        Place,
        PlaceView,
        hold_time,
        mean_load, //
    },
};

/// Time that a request takes on a route of which none has ended.
const UNKNOWN_WORK: Duration = Duration::from_millis(400);

/// Code of requests for which no runner of a brittle service has a place.
pub(super) const NO_PLACE_CODE: &str = "no_place";

/// Place of a request at a brittle runner, with what it was found by.
pub(super) struct FoundPlace {
    place: Place,
    view: PlaceView,
}

impl<D> Core<D> {
    /// Whether the runner of `upstream` is brittle.
    pub(super) fn is_brittle(&self, upstream: &Upstream, now: Instant) -> bool {
        let service = Arc::clone(&upstream.runner.borrow().service);
        self.brittle.borrow().refusals(&service, now).is_some()
    }

    /// Records whether a response with `status` says that its runner is brittle, and whether it had room.
    pub(super) fn record_brittle(
        &self,
        upstream: &Upstream,
        status: u16,
        meta: &ResponseMeta,
        in_flight: &mut InFlight,
    ) {
        let refusals = match meta.brittle {
            BrittleField::Named(refusals) => Some(refusals),
            BrittleField::Absent => None,
            BrittleField::Unusable => {
                let id = &upstream.runner.borrow().id;
                log::warn!("event=runner_brittle_unusable runner={id}");
                return;
            }
        };
        let now = Instant::now();
        let service = Arc::clone(&upstream.runner.borrow().service);
        let mut brittle = self.brittle.borrow_mut();
        if brittle.record(&service, refusals, now) {
            log::info!(
                "event=service_brittle service={service} runner={} refusals={}",
                upstream.runner.borrow().id,
                refusals.map_or(-1, i64::from)
            );
        }
        if brittle.refusals(&service, now).is_none() {
            return;
        }
        if !meta.not_run {
            in_flight.mark_taken(&self.runner_freed);
        } else if status == 503 {
            brittle.record_scarce(&service, now);
            upstream.places.borrow_mut().record_refusal(now);
            let outcome = self.metrics.brittle.with_label_values(&["turned_away"]);
            outcome.inc();
            log::info!(
                "event=brittle_turned_away runner={} load={:?}",
                upstream.runner.borrow().id,
                meta.load.map(|load| (load.running, load.waiting))
            );
        }
    }

    /// Marks the candidates of a brittle service that have no place for the request as full, and those whose places
    /// others come before. Returns the places.
    pub(super) fn find_places(
        &self,
        call: &Call,
        service: &ServiceId,
        upstreams: &[Rc<Upstream>],
        candidates: &mut [Candidate],
        now: Instant,
    ) -> Vec<Option<FoundPlace>> {
        let brittle = self.brittle.borrow();
        let Some(refusals) = brittle.refusals(service, now) else {
            return Vec::new();
        };
        let work = self.route_times.borrow().mean(&call.route.name);
        let work = work.unwrap_or(UNKNOWN_WORK);
        let recent = hold_time(work) * 2;
        let scarce = brittle.is_scarce(service, now);
        let loads: Vec<_> = upstreams
            .iter()
            .map(|u| u.cautious_load(now, recent))
            .collect();
        let slots = |u: &Upstream| u.runner.borrow().slots.max(1);
        let known = upstreams.iter().zip(&loads);
        let per_slot = known.filter_map(|(u, k)| Some(k.as_ref()?.load / f64::from(slots(u))));
        let mean = mean_load(per_slot, scarce);
        let members = self.ledger.borrow().members() as usize;
        let service_view = PlaceView {
            refusals,
            at_end: !call.route.retry.is_stream(),
            mean,
            work,
            waiting: if scarce { brittle.waiting(service) } else { 0 },
            scarce,
            credit: brittle.credit(service, upstreams.len(), members, now),
            runners: upstreams.len(),
            time: self.fleet_time(now),
            ..PlaceView::default()
        };
        let find = |(upstream, known): (&Rc<Upstream>, &Option<_>)| {
            let count = || self.rank_for_runner(upstream.key, now);
            let (rank, members) = upstream.rank(now, count);
            let view = PlaceView {
                slots: slots(upstream),
                known: *known,
                own: upstream.own_requests(),
                rank,
                members,
                ..service_view
            };
            let place = upstream.places.borrow().place(&view, now)?;
            Some(FoundPlace { place, view })
        };
        let places: Vec<_> = upstreams.iter().zip(&loads).map(find).collect();
        let orders = || {
            let order = |found: &Option<FoundPlace>| found.as_ref().map(|f| f.place.order(scarce));
            places.iter().map(order)
        };
        let usable = orders().zip(&*candidates);
        let usable = usable.filter(|(_, c)| !c.tried && !c.full && !c.suspect && c.has_turn());
        let first = usable.filter_map(|(order, _)| order).min();
        for (order, candidate) in orders().zip(candidates) {
            candidate.full |= order.is_none() || order > first && first.is_some();
        }
        places
    }

    /// Counts a request that is about to be sent to the runner of `upstream`, at the place that was found.
    pub(super) fn take_place(
        &self,
        upstream: &Upstream,
        service: &ServiceId,
        found: &FoundPlace,
        now: Instant,
    ) {
        if let Place::Free(risk) = found.place {
            let mut brittle = self.brittle.borrow_mut();
            brittle.spend(service, found.view.credit, risk, now);
        }
        let mut places = upstream.places.borrow_mut();
        places.take(found.place, &found.view);
    }

    /// Records that no runner has a place for a request of `service`. Returns whether that is because they are
    /// brittle.
    pub(super) fn record_no_place(&self, service: &ServiceId, now: Instant) -> bool {
        let mut brittle = self.brittle.borrow_mut();
        brittle.record_scarce(service, now);
        brittle.refusals(service, now).is_some()
    }

    /// Counts a request that waits for a place until the guard is dropped.
    pub(super) fn wait_for_place(self: &Rc<Self>, service: &ServiceId) -> WaitingGuard<D> {
        self.brittle.borrow_mut().enter(service);
        WaitingGuard {
            core: Rc::clone(self),
            service: Arc::clone(service),
        }
    }

    /// Logs and counts a request that is refused because no runner has a place for it.
    pub(super) fn refuse_without_place(&self, call: &Call, service: &ServiceId) {
        self.metrics.brittle.with_label_values(&["no_place"]).inc();
        log::info!(
            "event=no_place id={} service={service} refusals={} waiting={}",
            call.meta.id,
            self.brittle
                .borrow()
                .refusals(service, Instant::now())
                .map_or(-1, i64::from),
            self.brittle.borrow().waiting(service)
        );
    }
}

/// Counts one request as waiting for a place until it is dropped.
pub(super) struct WaitingGuard<D> {
    core: Rc<Core<D>>,
    service: ServiceId,
}

impl<D> Drop for WaitingGuard<D> {
    fn drop(&mut self) {
        self.core.brittle.borrow_mut().leave(&self.service);
    }
}
