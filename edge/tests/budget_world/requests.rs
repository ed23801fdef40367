//! Requests and the tokens that they take.

use cuminloom_edge::prepaid::{
    Admission,
    Ledger,
    Reservation, //
};

use super::{
    OpenRequest,
    World,
    below,
    chance, //
};

/// Maximum number of writes for which one request waits, including conflicts.
const MAX_WRITES: usize = 8;

impl World {
    /// Sends one random request to a random daemon.
    pub(super) fn request(&mut self) {
        let i = below(&mut self.random, self.nodes.len() as u64) as usize;
        let mut names: Vec<String> = self.limits.keys().cloned().collect();
        names.sort();
        // The first customer sends half of the requests.
        let pick = below(&mut self.random, 2 * names.len() as u64) as usize;
        let customer = names.get(pick).unwrap_or(&names[0]).clone();
        let cost =
            300 + below(&mut self.random, 3000) + u64::from(chance(&mut self.random, 10)) * 20_000;
        let used = cost / 2 + below(&mut self.random, cost / 2 + 1);
        let ends = self.now + 100 + below(&mut self.random, 3000);
        let instant = self.instant(i);
        if self.now < self.nodes[i].frozen_until {
            return;
        }
        let Some(ledger) = &mut self.nodes[i].ledger else {
            return;
        };
        self.outcome.asked += 1;
        match ledger.admit(&customer, cost, instant) {
            Admission::Taken => {
                let spending = Reservation {
                    customer: customer.as_str().into(),
                    cost,
                };
                self.outcome.served += 1;
                self.nodes[i].open.push(OpenRequest {
                    spending,
                    used,
                    ends,
                });
            }
            Admission::Grant => {
                ledger.adjust_waiting(&customer, cost, true);
                self.wait_for_grant(i, &customer, cost, used, ends);
            }
            _ => self.refuse(&customer, cost),
        }
    }

    /// Writes until the request is admitted, or two accepted writes have not brought its tokens.
    fn wait_for_grant(&mut self, i: usize, customer: &str, cost: u64, used: u64, ends: u64) {
        let instant = self.instant(i);
        let before = self.nodes[i]
            .ledger
            .as_ref()
            .map_or(0, Ledger::accepted_writes);
        let mut admit = Admission::Grant;
        for _ in 0..MAX_WRITES {
            let idle = self.nodes[i].waiting_until.is_none()
                && self.now >= self.nodes[i].partitioned_until;
            if idle {
                self.write(i);
            }
            let Some(ledger) = &mut self.nodes[i].ledger else {
                return;
            };
            admit = ledger.admit(customer, cost, instant);
            if admit != Admission::Grant || !idle || ledger.accepted_writes() >= before + 2 {
                break;
            }
        }
        if let Some(ledger) = &mut self.nodes[i].ledger {
            ledger.adjust_waiting(customer, cost, false);
        }
        if admit != Admission::Taken {
            self.refuse(customer, cost);
            return;
        }
        self.outcome.served += 1;
        let spending = Reservation {
            customer: customer.into(),
            cost,
        };
        self.nodes[i].open.push(OpenRequest {
            spending,
            used,
            ends,
        });
    }

    /// Counts a refused request; it would have fitted if it was within 97% of the limit.
    fn refuse(&mut self, customer: &str, cost: u64) {
        self.outcome.refused += 1;
        let limit = self.limits[customer] * 97 / 100;
        if self.true_usage(customer, true) + cost <= limit {
            self.outcome.refused_fitting += 1;
        }
    }
}
