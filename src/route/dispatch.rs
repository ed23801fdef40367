//! Dispatches queued requests to targets, or refuses them.

use std::time::Duration;

use super::{
    Action,
    Router,
    choice::{
        self,
        SuspectChoice, //
    },
    request::RequestState,
    router::{
        CRASHES_DETAIL,
        service_of,
        weight_of, //
    },
    strikes::StrikeStatus,
    view::{
        Health,
        TargetView, //
    }, //
};
use crate::model::{
    Code,
    ServiceId,
    TargetId,
    Urgency, //
};

impl Router {
    /// Refuses the queued requests of a service whose deadline cannot be met, and all of them if no
    /// target can serve them.
    pub(super) fn refuse_overdue(&mut self, now: Duration, service_id: &ServiceId) {
        let service = self.services.get_mut(service_id).expect("a known service");
        for ticket in service.remove_expired(now, weight_of(&self.weights)) {
            self.refuse_queued(
                ticket,
                Code::Overloaded,
                "the wait would exceed the deadline",
            );
        }
        let service = self.services.get_mut(service_id).expect("a known service");
        // Without a deadline, because a failed target may recover at any later probe.
        if service.check_targets(Duration::MAX).is_err() {
            let mut tickets = service.urgent.remove_if(|_| 1, |_, _| true);
            tickets.extend(service.patient.remove_if(|_| 1, |_, _| true));
            for ticket in tickets {
                self.refuse_queued(ticket, Code::NoTarget, "all targets are leaving");
            }
        }
    }

    /// Dispatches, refuses or moves to the suspects the next request of a service. Returns false if
    /// no queue has a request that can be dispatched now.
    pub(super) fn dispatch_next(&mut self, now: Duration, service_id: &ServiceId) -> bool {
        let service = self.services.get_mut(service_id).expect("a known service");
        let starved = service.patient_starved();
        let order = if starved {
            [(Urgency::Patient, true), (Urgency::Urgent, false)]
        } else {
            [(Urgency::Urgent, false), (Urgency::Patient, false)]
        };
        order
            .into_iter()
            .any(|(urgency, reserve)| self.dispatch_from(now, service_id, urgency, reserve))
    }

    /// As `dispatch_next`, for the queue of one urgency. With `reserve`, patient work may use the
    /// slots that are reserved for urgent work.
    fn dispatch_from(
        &mut self,
        now: Duration,
        service_id: &ServiceId,
        urgency: Urgency,
        reserve: bool,
    ) -> bool {
        let service = self.services.get_mut(service_id).expect("a known service");
        let queue = service.queue(urgency);
        let Some(entry) = queue.peek(weight_of(&self.weights)) else {
            return false;
        };
        let id = entry.ticket;
        let request = &self.tickets[&id];
        match self.strikes.status(now, request.job.fingerprint) {
            StrikeStatus::Blocked => {
                queue.pop();
                self.refuse_queued(id, Code::CrashesTargets, CRASHES_DETAIL);
                return true;
            }
            StrikeStatus::Struck => {
                queue.pop();
                service.suspects.push_back(id);
                return true;
            }
            StrikeStatus::Clear => {}
        }
        match choice::choose_target(service, request, now, reserve, &mut self.rng) {
            Some(target) => {
                service.queue(urgency).pop();
                self.dispatch(now, id, target, false);
                true
            }
            None => false,
        }
    }

    /// Dispatches the suspects of a service that may run now, and refuses those that never may.
    pub(super) fn dispatch_suspects(&mut self, now: Duration, service_id: &ServiceId) {
        let service = self.services.get_mut(service_id).expect("a known service");
        for id in std::mem::take(&mut service.suspects) {
            let service = &self.services[service_id];
            let request = &self.tickets[&id];
            let status = self.strikes.status(now, request.job.fingerprint);
            let runs_suspect = |view: &TargetView| {
                let fingerprint = |t: &u64| self.tickets[t].job.fingerprint;
                let mut running = view.running.iter().map(fingerprint);
                running.any(|f| self.strikes.status(now, f) != StrikeStatus::Clear)
            };
            let found =
                choice::choose_for_suspect(service, request, now, &self.strikes, runs_suspect);
            match found {
                _ if status == StrikeStatus::Blocked => {
                    self.refuse_queued(id, Code::CrashesTargets, CRASHES_DETAIL);
                }
                _ if now >= request.job.deadline => {
                    self.refuse_queued(id, Code::Deadline, "the deadline passed");
                }
                SuspectChoice::Run(target) => {
                    assert!(
                        !runs_suspect(&service.views[&target]),
                        "a target runs one suspect at a time"
                    );
                    self.dispatch(now, id, target, status == StrikeStatus::Struck);
                }
                SuspectChoice::Wait => {
                    let service = self.services.get_mut(service_id).expect("a known service");
                    service.suspects.push_back(id);
                }
                SuspectChoice::Never => {
                    let detail =
                        "no target may run a request that was running when a target crashed";
                    self.refuse_queued(id, Code::NoTarget, detail);
                }
            }
        }
    }

    /// Marks a queued request as running on the target and instructs the daemon to send it.
    fn dispatch(&mut self, now: Duration, id: u64, target: TargetId, has_strike: bool) {
        let request = self.tickets.get_mut(&id).expect("an open ticket");
        assert_eq!(
            request.state,
            RequestState::Queued,
            "a request is dispatched once per offer or retry"
        );
        let service = service_of(&mut self.services, &request.job);
        if service.running() == 0 {
            service.wait_estimator.mark_resumed(now);
        }
        let limit = service.limit(&service.views[&target], Urgency::Urgent);
        let view = service.views.get_mut(&target).expect("a known target");
        assert!(!view.is_leaving(), "no dispatch to a leaving target");
        assert!(
            view.in_flight() < limit,
            "requests in flight exceed the limit"
        );
        assert!(
            view.health == Health::Up || view.probe_due(now),
            "no dispatch to a failed target"
        );
        view.running.insert(id);
        view.pending[request.job.urgency as usize].insert((now, id));
        view.patient += u32::from(request.job.urgency == Urgency::Patient);
        request.state = RequestState::Running {
            target: target.clone(),
            sent: now,
            answered: false,
        };
        self.stats.dispatched += 1;
        self.actions.push(Action::Dispatch {
            ticket: id,
            addr: view.target.addr,
            target,
            has_strike,
        });
    }

    /// Closes a queued request with a fault.
    fn refuse_queued(&mut self, id: u64, code: Code, detail: &str) {
        let request = self.tickets.remove(&id).expect("an open ticket");
        assert_eq!(
            request.state,
            RequestState::Queued,
            "a running request is not refused"
        );
        self.stats.refused += 1;
        self.actions.push(Action::Refuse {
            ticket: id,
            fault: request.refusal(code, detail),
        });
    }
}
