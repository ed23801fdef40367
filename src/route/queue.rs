//! Deficit round robin between the customers of one service and urgency.

use std::{
    collections::{
        BTreeMap,
        VecDeque, //
    },
    time::Duration, //
};

use crate::model::CustomerId;

/// Most quanta that one request is charged, which bounds the rounds of one `pop`.
const MAX_QUANTA: u64 = 64;

/// A queued request.
#[derive(Clone, Debug)]
pub(super) struct Entry {
    pub(super) ticket: u64,
    pub(super) customer: CustomerId,
    pub(super) cost: u64,
    pub(super) deadline: Duration,
}

/// The requests of one customer, in order of arrival.
#[derive(Debug, Default)]
struct CustomerQueue {
    entries: VecDeque<Entry>,
    deficit: u64,
    /// The customer got its quantum in its current turn.
    has_quantum: bool,
}

/// Requests of one urgency that wait for a target.
#[derive(Debug)]
pub(super) struct Queue {
    quantum: u64,
    customers: BTreeMap<CustomerId, CustomerQueue>,
    /// Customers with queued requests, in the order of their turns.
    turns: VecDeque<CustomerId>,
    /// Retries; they have already been charged to their customer, so they go first.
    retries: VecDeque<Entry>,
    len: usize,
}

impl Queue {
    pub(super) fn new(quantum: u64) -> Self {
        Self {
            quantum: quantum.max(1),
            customers: BTreeMap::new(),
            turns: VecDeque::new(),
            retries: VecDeque::new(),
            len: 0,
        }
    }

    pub(super) fn len(&self) -> usize {
        self.len
    }

    pub(super) fn customer_len(&self, customer: &CustomerId) -> usize {
        self.customers.get(customer).map_or(0, |l| l.entries.len())
    }

    pub(super) fn push(&mut self, entry: Entry) {
        let queue = self.customers.entry(entry.customer.clone()).or_default();
        if queue.entries.is_empty() {
            self.turns.push_back(entry.customer.clone());
        }
        queue.entries.push_back(entry);
        self.len += 1;
    }

    pub(super) fn push_retry(&mut self, entry: Entry) {
        self.retries.push_back(entry);
        self.len += 1;
    }

    /// Returns the next request. `weight` gives the weight of a customer. Repeated calls return the
    /// same request until it is popped or removed.
    pub(super) fn peek(&mut self, weight: impl Fn(&CustomerId) -> u32) -> Option<&Entry> {
        if self.retries.is_empty() {
            while !self.grant_turn(&weight)? {}
            let queue = self.customers.get(self.turns.front()?)?;
            return queue.entries.front();
        }
        self.retries.front()
    }

    /// Takes the request that `peek` returned.
    pub(super) fn pop(&mut self) -> Option<Entry> {
        let entry = match self.retries.pop_front() {
            Some(entry) => entry,
            None => self.pop_customer()?,
        };
        self.len -= 1;
        Some(entry)
    }

    /// Grants the quantum of the current turn and ends the turn if the first request of the
    /// customer costs more than its deficit. Returns whether the request can be taken.
    fn grant_turn(&mut self, weight: impl Fn(&CustomerId) -> u32) -> Option<bool> {
        let customer = self.turns.front()?;
        let queue = self.customers.get_mut(customer).expect("queue of a turn");
        if !queue.has_quantum {
            queue.has_quantum = true;
            queue.deficit += self.quantum * u64::from(weight(customer).max(1));
        }
        let head = queue.entries.front().expect("a queue in turn has entries");
        let enough = queue.deficit >= charge(head, self.quantum);
        if !enough {
            queue.has_quantum = false;
            self.turns.rotate_left(1);
        }
        Some(enough)
    }

    fn pop_customer(&mut self) -> Option<Entry> {
        let customer = self.turns.front()?.clone();
        let queue = self.customers.get_mut(&customer).expect("queue of a turn");
        let entry = queue.entries.pop_front()?;
        queue.deficit = queue.deficit.saturating_sub(charge(&entry, self.quantum));
        if queue.entries.is_empty() {
            self.drop_customer(&customer);
        }
        Some(entry)
    }

    /// Removes a request; returns whether it was queued here.
    pub(super) fn remove(&mut self, ticket: u64) -> bool {
        let before = self.len;
        self.remove_if(|_| 1, |entry, _| entry.ticket == ticket);
        self.len < before
    }

    /// Removes and returns the tickets for which `gone` holds. Its second argument is the number
    /// of requests that are expected to be dispatched before the entry.
    pub(super) fn remove_if(
        &mut self,
        weight: impl Fn(&CustomerId) -> u32,
        gone: impl Fn(&Entry, usize) -> bool,
    ) -> Vec<u64> {
        let lengths: Vec<(f64, usize)> = self
            .customers
            .iter()
            .map(|(id, queue)| (f64::from(weight(id).max(1)), queue.entries.len()))
            .collect();
        let mut tickets = Vec::new();
        let mut place = 0;
        self.retries.retain(|entry| {
            let drop = gone(entry, place);
            place += 1;
            if drop {
                tickets.push(entry.ticket);
            }
            !drop
        });
        let retries = place;
        let mut empty = Vec::new();
        for (customer, queue) in &mut self.customers {
            let own = f64::from(weight(customer).max(1));
            let mut place = 0_usize;
            queue.entries.retain(|entry| {
                let ahead: usize = lengths
                    .iter()
                    .map(|(w, len)| (*len).min((place as f64 * w / own) as usize))
                    .sum();
                let drop = gone(entry, retries + ahead);
                place += 1;
                if drop {
                    tickets.push(entry.ticket);
                }
                !drop
            });
            if queue.entries.is_empty() {
                empty.push(customer.clone());
            }
        }
        for customer in empty {
            self.drop_customer(&customer);
        }
        self.len -= tickets.len();
        tickets
    }

    /// Number of requests expected to be dispatched before a new one of `customer`.
    pub(super) fn ahead(
        &self,
        customer: &CustomerId,
        weight: impl Fn(&CustomerId) -> u32,
    ) -> usize {
        let own = self.customer_len(customer);
        let own_weight = f64::from(weight(customer).max(1));
        let others = self.customers.iter().filter(|(id, _)| *id != customer);
        let before: f64 = others
            .map(|(id, queue)| {
                let turns = (own + 1) as f64 * f64::from(weight(id).max(1)) / own_weight;
                turns.min(queue.entries.len() as f64)
            })
            .sum();
        self.retries.len() + own + before as usize
    }

    fn drop_customer(&mut self, customer: &CustomerId) {
        self.customers.remove(customer);
        self.turns.retain(|id| id != customer);
    }
}

/// What a request is charged.
fn charge(entry: &Entry, quantum: u64) -> u64 {
    entry.cost.clamp(1, quantum.saturating_mul(MAX_QUANTA))
}
