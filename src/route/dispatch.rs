//! Moves queued requests to targets.

use std::time::Duration;

use super::{
    Action,
    Router,
    choice::{
        self,
        Suspect, //
    },
    request::Place,
    router::{
        CRASHES,
        service_of,
        weight_of, //
    },
    strikes::Standing,
    view::{
        Health,
        View, //
    }, //
};
use crate::model::{
    Code,
    ServiceId,
    TargetId,
    Urgency, //
};

impl Router {
    /// Refuses the queued requests that can no longer be served in time.
    pub(super) fn review(&mut self, now: Duration, name: &ServiceId) {
        let service = self.services.get_mut(name).expect("a known service");
        for ticket in service.expire(now, weight_of(&self.weights)) {
            self.refuse(
                ticket,
                Code::Overloaded,
                "the wait would exceed the deadline",
            );
        }
        let service = self.services.get_mut(name).expect("a known service");
        // No deadline: a probe may bring a target back at any later time.
        if service.check_targets(Duration::MAX).is_err() {
            let mut tickets = service.urgent.drain(|_| 1, |_, _| true);
            tickets.extend(service.patient.drain(|_| 1, |_, _| true));
            for ticket in tickets {
                self.refuse(ticket, Code::NoTarget, "all targets are leaving");
            }
        }
    }

    /// Dispatches, refuses or sets aside the next request; returns false if there is no room.
    pub(super) fn advance(&mut self, now: Duration, name: &ServiceId) -> bool {
        let service = self.services.get_mut(name).expect("a known service");
        let starved = service.patient_starved();
        let order = if starved {
            [(Urgency::Patient, true), (Urgency::Urgent, false)]
        } else {
            [(Urgency::Urgent, false), (Urgency::Patient, false)]
        };
        order
            .into_iter()
            .any(|(urgency, reserve)| self.advance_queue(now, name, urgency, reserve))
    }

    fn advance_queue(
        &mut self,
        now: Duration,
        name: &ServiceId,
        urgency: Urgency,
        reserve: bool,
    ) -> bool {
        let service = self.services.get_mut(name).expect("a known service");
        let queue = service.queue(urgency);
        let Some(entry) = queue.peek(weight_of(&self.weights)) else {
            return false;
        };
        let id = entry.ticket;
        let ticket = &self.tickets[&id];
        match self.strikes.standing(now, ticket.job.fingerprint) {
            Standing::Blocked => {
                queue.pop();
                self.refuse(id, Code::CrashesTargets, CRASHES);
                return true;
            }
            Standing::Struck => {
                queue.pop();
                service.suspects.push_back(id);
                return true;
            }
            Standing::Clear => {}
        }
        match choice::choose(service, ticket, now, reserve, &mut self.rng) {
            Some(target) => {
                service.queue(urgency).pop();
                self.dispatch(now, id, target, false);
                true
            }
            None => false,
        }
    }

    /// Dispatches the requests with a strike that may run, and refuses those that never may.
    pub(super) fn run_suspects(&mut self, now: Duration, name: &ServiceId) {
        let service = self.services.get_mut(name).expect("a known service");
        for id in std::mem::take(&mut service.suspects) {
            let service = &self.services[name];
            let ticket = &self.tickets[&id];
            let standing = self.strikes.standing(now, ticket.job.fingerprint);
            let suspected = |view: &View| {
                let fingerprint = |t: &u64| self.tickets[t].job.fingerprint;
                let mut running = view.running.iter().map(fingerprint);
                running.any(|f| self.strikes.standing(now, f) != Standing::Clear)
            };
            let found = choice::choose_for_suspect(service, ticket, now, &self.strikes, suspected);
            match found {
                _ if standing == Standing::Blocked => {
                    self.refuse(id, Code::CrashesTargets, CRASHES);
                }
                _ if now >= ticket.job.deadline => {
                    self.refuse(id, Code::Deadline, "the deadline passed");
                }
                Suspect::Run(target) => {
                    assert!(
                        !suspected(&service.views[&target]),
                        "one suspect per target"
                    );
                    self.dispatch(now, id, target, standing == Standing::Struck);
                }
                Suspect::Wait => {
                    let service = self.services.get_mut(name).expect("a known service");
                    service.suspects.push_back(id);
                }
                Suspect::Never => {
                    let detail = "no target may run a request that was running in a crash";
                    self.refuse(id, Code::NoTarget, detail);
                }
            }
        }
    }

    fn dispatch(&mut self, now: Duration, id: u64, target: TargetId, struck: bool) {
        let ticket = self.tickets.get_mut(&id).expect("an open ticket");
        assert_eq!(
            ticket.place,
            Place::Queued,
            "dispatched once per offer or retry"
        );
        let service = service_of(&mut self.services, &ticket.job);
        if service.running() == 0 {
            service.completions.resume(now);
        }
        let limit = service.limit(&service.views[&target], Urgency::Urgent);
        let view = service.views.get_mut(&target).expect("a known target");
        assert!(!view.leaving(), "no dispatch to a leaving target");
        assert!(view.own() < limit, "in flight never above the limit");
        assert!(
            view.health == Health::Up || view.probe_due(now),
            "no dispatch to a failed target"
        );
        view.running.insert(id);
        view.pending[ticket.job.urgency as usize].insert((now, id));
        view.patient += u32::from(ticket.job.urgency == Urgency::Patient);
        ticket.place = Place::Running {
            target: target.clone(),
            sent: now,
            answered: false,
        };
        self.stats.dispatched += 1;
        self.actions.push(Action::Dispatch {
            ticket: id,
            addr: view.target.addr,
            target,
            has_strike: struck,
        });
    }

    fn refuse(&mut self, id: u64, code: Code, detail: &str) {
        let ticket = self.tickets.remove(&id).expect("an open ticket");
        assert_eq!(
            ticket.place,
            Place::Queued,
            "a running request is not refused"
        );
        self.stats.refused += 1;
        self.actions.push(Action::Refuse {
            ticket: id,
            fault: ticket.fault(code, detail),
        });
    }
}
