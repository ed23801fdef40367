//! Requests and the tokens that they take.

use cuminloom_edge::prepaid::{
    Admission,
    Reservation, //
};

use super::*;

impl World {
    /// Tries again the requests that wait for tokens at node `i`.
    pub(super) fn retry_waiting(&mut self, i: usize) {
        for waiting in std::mem::take(&mut self.nodes[i].waiting) {
            self.admit(i, waiting, false);
        }
    }

    /// Offers a request to holder `h`, or lets it wait there.
    pub(super) fn admit(&mut self, h: usize, mut waiting: Waiting, first: bool) {
        let (now, instant) = (self.now, self.instant(h));
        let request = &waiting.request;
        let node = &mut self.nodes[h];
        let Some(ledger) = &mut node.ledger else {
            let request = waiting.request;
            return self.refuse(&request);
        };
        let admission = ledger.admit(&request.customer, request.cost, instant);
        if first {
            waiting.here_since = now;
        }
        let waited = now - waiting.since;
        let here = now - waiting.here_since;
        let most = match waiting.asked.is_empty() {
            true if waiting.patient || self.mechanism == Mechanism::Everyone => MAX_WAIT_MS,
            true => FIRST_WAIT_MS,
            false => 0,
        };
        let waits = match admission {
            Admission::Grant => {
                let known = ledger.accepted_writes() - waiting.writes_before >= 2;
                let short = known && ledger.is_pool_short(&request.customer, request.cost, instant);
                if short && self.mechanism == Mechanism::Holders {
                    waiting.reclaimed_at.get_or_insert(now);
                }
                let in_vain = waiting
                    .reclaimed_at
                    .is_none_or(|at| now > at + RECLAIM_WAIT_MS);
                here < most && !(short && in_vain)
            }
            Admission::Release(time) => here + time.as_millis() as u64 <= 3 * most,
            Admission::Taken | Admission::Refused | Admission::Exhausted | Admission::Blocked => {
                false
            }
        };
        if waits && first {
            ledger.adjust_waiting(&request.customer, request.cost, true);
        }
        if !waits && !first {
            ledger.adjust_waiting(&request.customer, request.cost, false);
        }
        if waits {
            let reclaims = waiting.reclaimed_at == Some(now);
            let customer = waiting.request.customer.clone();
            node.waiting.push(waiting);
            if reclaims {
                self.reclaim(h, &customer);
            }
            return;
        }
        if admission != Admission::Taken {
            return self.ask_next(h, waiting, admission);
        }
        let request = waiting.request;
        self.outcome.waited_ms += waited;
        self.reservations += 1;
        let reservation = Reservation {
            customer: request.customer.as_str().into(),
            cost: request.cost,
        };
        let entry = (reservation, request.origin, now + EXPIRY_MS);
        node.open.insert(self.reservations, entry);
        self.running.push(Running {
            ends: now + request.duration_ms,
            origin: request.origin,
            holder: h,
            number: self.reservations,
            request,
        });
    }

    /// Makes the holders other than `h` return their reserves of `customer`.
    pub(super) fn reclaim(&mut self, h: usize, customer: &str) {
        for i in 0..self.nodes.len() {
            let instant = self.instant(i);
            if i == h || !self.is_up(i) {
                continue;
            }
            let node = &mut self.nodes[i];
            if let Some(ledger) = &mut node.ledger {
                ledger.reclaim(customer, instant);
                node.next_write = node.next_write.min(self.now);
            }
        }
    }

    /// Offers a request that holder `h` refused to another one.
    pub(super) fn ask_next(&mut self, h: usize, mut waiting: Waiting, admission: Admission) {
        waiting.asked.push(h);
        if matches!(admission, Admission::Grant | Admission::Release(_)) {
            waiting.later.get_or_insert(h);
        }
        let late = self.now - waiting.since > 3 * MAX_WAIT_MS;
        let mut next = self.other_holder(&waiting);
        if next.is_none() && !waiting.patient {
            waiting.patient = true;
            waiting.asked.clear();
            next = waiting.later;
        }
        let Some(next) = next.filter(|_| admission != Admission::Exhausted && !late) else {
            return self.refuse(&waiting.request);
        };
        let ledger = self.nodes[next].ledger.as_ref();
        waiting.writes_before = ledger.map_or(0, Ledger::accepted_writes);
        self.admit(next, waiting, true);
    }

    /// Holder that has not been asked for a request, if not too many have.
    pub(super) fn other_holder(&self, waiting: &Waiting) -> Option<usize> {
        if self.mechanism == Mechanism::Everyone || waiting.asked.len() > MAX_ASKED {
            return None;
        }
        let ledger = self.nodes[waiting.request.origin].ledger.as_ref()?;
        ledger
            .holders_for(&waiting.request.customer)
            .into_iter()
            .map(|a| usize::from(a.port()) - 10_000)
            .filter(|i| !waiting.asked.contains(i))
            .find(|i| self.is_up(*i))
    }

    /// Whether the daemon on node `i` replies.
    pub(super) fn is_up(&self, i: usize) -> bool {
        self.nodes[i].ledger.is_some() && self.now >= self.nodes[i].frozen_until
    }

    /// Daemon that decides about the tokens of a request at `origin`.
    pub(super) fn holder_of(&self, origin: usize, customer: &str) -> Option<usize> {
        let node = &self.nodes[origin];
        let ledger = node.ledger.as_ref()?;
        if ledger.is_holder() {
            return Some(origin);
        }
        let holders = ledger.holders_for(customer).into_iter();
        let up =
            |i: &usize| self.nodes[*i].ledger.is_some() && self.now >= self.nodes[*i].frozen_until;
        let first = holders.map(|a| usize::from(a.port()) - 10_000).find(up);
        Some(first.unwrap_or(origin))
    }

    /// Sends the requests of this step.
    pub(super) fn send_requests(&mut self) {
        for origin in 0..self.nodes.len() {
            let Some(request) = Request::draw(&mut self.random, origin, STEP_MS) else {
                continue;
            };
            if self.now < self.nodes[origin].frozen_until {
                continue;
            }
            let Some(holder) = self.holder_of(origin, &request.customer) else {
                continue;
            };
            self.outcome.asked += 1;
            let writes = self.nodes[holder].ledger.as_ref();
            let waiting = Waiting {
                request,
                since: self.now,
                here_since: self.now,
                later: None,
                patient: false,
                writes_before: writes.map_or(0, Ledger::accepted_writes),
                asked: Vec::new(),
                reclaimed_at: None,
            };
            self.admit(holder, waiting, true);
        }
    }

    /// Counts a refused request; it would have fitted if it was within 97% of the limit.
    pub(super) fn refuse(&mut self, request: &Request) {
        self.outcome.refused += 1;
        let reserved: u64 = self.usage(&request.customer, |r| r.cost);
        if reserved + request.cost <= self.limits[&request.customer] * 97 / 100 {
            self.outcome.refused_fitting += 1;
        }
    }
}
