//! Fair queue: deficit round robin between the customers of one service and urgency.

use std::{
    collections::{
        BTreeMap,
        VecDeque, //
    },
    time::Duration, //
};

use crate::model::CustomerId;

/// Maximum charge of one request, in quanta; bounds the number of rounds of one `peek`.
const MAX_QUANTA: u64 = 64;

/// A queued request.
#[derive(Clone, Debug)]
pub(super) struct Entry {
    pub(super) ticket: u64,
    pub(super) customer: CustomerId,
    /// Expected work, in tokens.
    pub(super) cost: u64,
    pub(super) deadline: Duration,
}

/// The requests of one customer, in order of arrival.
#[derive(Debug, Default)]
struct CustomerQueue {
    entries: VecDeque<Entry>,
    /// Cost that the customer may still dispatch in this round.
    deficit: u64,
    /// Whether the quantum of the current turn was added to the deficit.
    has_quantum: bool,
}

/// Queued requests of one service and urgency.
#[derive(Debug)]
pub(super) struct Queue {
    /// Cost granted per round to a customer of weight 1.
    quantum: u64,
    customers: BTreeMap<CustomerId, CustomerQueue>,
    /// Customers with queued requests, in round-robin order.
    turns: VecDeque<CustomerId>,
    /// Retries; they go first, because they have already been charged to their customer.
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

    /// Number of queued requests, including retries.
    pub(super) fn len(&self) -> usize {
        self.len
    }

    /// Number of the customer's queued requests, without retries.
    pub(super) fn customer_len(&self, customer: &CustomerId) -> usize {
        self.customers
            .get(customer)
            .map_or(0, |queue| queue.entries.len())
    }

    /// Adds a request at the end of its customer's queue.
    pub(super) fn push(&mut self, entry: Entry) {
        let queue = self.customers.entry(entry.customer.clone()).or_default();
        if queue.entries.is_empty() {
            self.turns.push_back(entry.customer.clone());
        }
        queue.entries.push_back(entry);
        self.len += 1;
    }

    /// Adds a request that is retried.
    pub(super) fn push_retry(&mut self, entry: Entry) {
        self.retries.push_back(entry);
        self.len += 1;
    }

    /// Returns the next request, where `weight` returns the weight of a customer. Repeated calls
    /// return the same request until it is popped or removed.
    pub(super) fn peek(&mut self, weight: impl Fn(&CustomerId) -> u32) -> Option<&Entry> {
        if self.retries.is_empty() {
            while !self.grant_turn(&weight)? {}
            let queue = self.customers.get(self.turns.front()?)?;
            return queue.entries.front();
        }
        self.retries.front()
    }

    /// Removes the request that `peek` returned.
    pub(super) fn pop(&mut self) -> Option<Entry> {
        let entry = match self.retries.pop_front() {
            Some(entry) => entry,
            None => self.pop_customer()?,
        };
        self.len -= 1;
        Some(entry)
    }

    /// Adds the quantum of the current turn to the customer's deficit, and ends the turn if its
    /// first request costs more than the deficit. Returns whether the request can be taken, or
    /// `None` if no customer has requests.
    fn grant_turn(&mut self, weight: impl Fn(&CustomerId) -> u32) -> Option<bool> {
        let customer = self.turns.front()?;
        let queue = self
            .customers
            .get_mut(customer)
            .expect("a customer in turn has a queue");
        if !queue.has_quantum {
            queue.has_quantum = true;
            queue.deficit += self.quantum * u64::from(weight(customer).max(1));
        }
        let head = queue
            .entries
            .front()
            .expect("a customer in turn has requests");
        let enough = queue.deficit >= charge(head, self.quantum);
        if !enough {
            queue.has_quantum = false;
            self.turns.rotate_left(1);
        }
        Some(enough)
    }

    /// Removes the first request of the customer in turn and charges it.
    fn pop_customer(&mut self) -> Option<Entry> {
        let customer = self.turns.front()?.clone();
        let queue = self
            .customers
            .get_mut(&customer)
            .expect("a customer in turn has a queue");
        let entry = queue.entries.pop_front()?;
        queue.deficit = queue.deficit.saturating_sub(charge(&entry, self.quantum));
        if queue.entries.is_empty() {
            self.drop_customer(&customer);
        }
        Some(entry)
    }

    /// Removes a request; returns whether it was in this queue.
    pub(super) fn remove(&mut self, ticket: u64) -> bool {
        let before = self.len;
        self.remove_if(|_| 1, |entry, _| entry.ticket == ticket);
        self.len < before
    }

    /// Removes the requests for which `is_removed` returns true and returns their tickets. Its
    /// second argument is the number of requests that are expected to be dispatched before the
    /// entry.
    pub(super) fn remove_if(
        &mut self,
        weight: impl Fn(&CustomerId) -> u32,
        is_removed: impl Fn(&Entry, usize) -> bool,
    ) -> Vec<u64> {
        let lengths: Vec<(f64, usize)> = self
            .customers
            .iter()
            .map(|(id, queue)| (f64::from(weight(id).max(1)), queue.entries.len()))
            .collect();
        let mut tickets = Vec::new();
        let mut position = 0;
        self.retries.retain(|entry| {
            let remove = is_removed(entry, position);
            position += 1;
            if remove {
                tickets.push(entry.ticket);
            }
            !remove
        });
        let retries = position;
        let mut empty = Vec::new();
        for (customer, queue) in &mut self.customers {
            let own = f64::from(weight(customer).max(1));
            let mut position = 0_usize;
            queue.entries.retain(|entry| {
                let ahead: usize = lengths
                    .iter()
                    .map(|(w, len)| (*len).min((position as f64 * w / own) as usize))
                    .sum();
                let remove = is_removed(entry, retries + ahead);
                position += 1;
                if remove {
                    tickets.push(entry.ticket);
                }
                !remove
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

    /// Estimates how many requests will be dispatched before a new one of `customer`.
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

    /// Removes a customer without queued requests from the rounds.
    fn drop_customer(&mut self, customer: &CustomerId) {
        self.customers.remove(customer);
        self.turns.retain(|id| id != customer);
    }
}

/// Cost that is charged to the customer's deficit for a request.
fn charge(entry: &Entry, quantum: u64) -> u64 {
    entry.cost.clamp(1, quantum.saturating_mul(MAX_QUANTA))
}
