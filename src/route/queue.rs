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
struct Lane {
    entries: VecDeque<Entry>,
    deficit: u64,
    /// The customer got its quantum in its current turn.
    granted: bool,
}

/// Requests of one urgency that wait for a target.
#[derive(Debug)]
pub(super) struct Queue {
    quantum: u64,
    lanes: BTreeMap<CustomerId, Lane>,
    /// Customers with queued requests, in the order of their turns.
    turns: VecDeque<CustomerId>,
    /// Retries; they have already been charged to their customer, so they go first.
    again: VecDeque<Entry>,
    len: usize,
}

impl Queue {
    pub(super) fn new(quantum: u64) -> Self {
        Self {
            quantum: quantum.max(1),
            lanes: BTreeMap::new(),
            turns: VecDeque::new(),
            again: VecDeque::new(),
            len: 0,
        }
    }

    pub(super) fn len(&self) -> usize {
        self.len
    }

    pub(super) fn customer_len(&self, customer: &CustomerId) -> usize {
        self.lanes.get(customer).map_or(0, |l| l.entries.len())
    }

    pub(super) fn push(&mut self, entry: Entry) {
        let lane = self.lanes.entry(entry.customer.clone()).or_default();
        if lane.entries.is_empty() {
            self.turns.push_back(entry.customer.clone());
        }
        lane.entries.push_back(entry);
        self.len += 1;
    }

    pub(super) fn push_again(&mut self, entry: Entry) {
        self.again.push_back(entry);
        self.len += 1;
    }

    /// Returns the next request. `weight` gives the weight of a customer. Repeated calls return the
    /// same request until it is popped or removed.
    pub(super) fn peek(&mut self, weight: impl Fn(&CustomerId) -> u32) -> Option<&Entry> {
        if self.again.is_empty() {
            while !self.turn(&weight)? {}
            let lane = self.lanes.get(self.turns.front()?)?;
            return lane.entries.front();
        }
        self.again.front()
    }

    /// Takes the request that `peek` returned.
    pub(super) fn pop(&mut self) -> Option<Entry> {
        let entry = match self.again.pop_front() {
            Some(entry) => entry,
            None => self.pop_lane()?,
        };
        self.len -= 1;
        Some(entry)
    }

    /// Grants the quantum of the current turn and ends the turn if the first request of the
    /// customer costs more than its deficit. Returns whether the request can be taken.
    fn turn(&mut self, weight: impl Fn(&CustomerId) -> u32) -> Option<bool> {
        let customer = self.turns.front()?;
        let lane = self.lanes.get_mut(customer).expect("lane of a turn");
        if !lane.granted {
            lane.granted = true;
            lane.deficit += self.quantum * u64::from(weight(customer).max(1));
        }
        let head = lane.entries.front().expect("a lane in turn has entries");
        let enough = lane.deficit >= charge(head, self.quantum);
        if !enough {
            lane.granted = false;
            self.turns.rotate_left(1);
        }
        Some(enough)
    }

    fn pop_lane(&mut self) -> Option<Entry> {
        let customer = self.turns.front()?.clone();
        let lane = self.lanes.get_mut(&customer).expect("lane of a turn");
        let entry = lane.entries.pop_front()?;
        lane.deficit = lane.deficit.saturating_sub(charge(&entry, self.quantum));
        if lane.entries.is_empty() {
            self.drop_lane(&customer);
        }
        Some(entry)
    }

    /// Removes a request; returns whether it was queued here.
    pub(super) fn remove(&mut self, ticket: u64) -> bool {
        let before = self.len;
        self.drain(|_| 1, |entry, _| entry.ticket == ticket);
        self.len < before
    }

    /// Removes and returns the tickets for which `gone` holds. Its second argument is the number
    /// of requests that are expected to be dispatched before the entry.
    pub(super) fn drain(
        &mut self,
        weight: impl Fn(&CustomerId) -> u32,
        gone: impl Fn(&Entry, usize) -> bool,
    ) -> Vec<u64> {
        let lengths: Vec<(f64, usize)> = self
            .lanes
            .iter()
            .map(|(id, lane)| (f64::from(weight(id).max(1)), lane.entries.len()))
            .collect();
        let mut tickets = Vec::new();
        let mut place = 0;
        self.again.retain(|entry| {
            let drop = gone(entry, place);
            place += 1;
            if drop {
                tickets.push(entry.ticket);
            }
            !drop
        });
        let retries = place;
        let mut empty = Vec::new();
        for (customer, lane) in &mut self.lanes {
            let own = f64::from(weight(customer).max(1));
            let mut place = 0_usize;
            lane.entries.retain(|entry| {
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
            if lane.entries.is_empty() {
                empty.push(customer.clone());
            }
        }
        for customer in empty {
            self.drop_lane(&customer);
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
        let others = self.lanes.iter().filter(|(id, _)| *id != customer);
        let before: f64 = others
            .map(|(id, lane)| {
                let turns = (own + 1) as f64 * f64::from(weight(id).max(1)) / own_weight;
                turns.min(lane.entries.len() as f64)
            })
            .sum();
        self.again.len() + own + before as usize
    }

    fn drop_lane(&mut self, customer: &CustomerId) {
        self.lanes.remove(customer);
        self.turns.retain(|id| id != customer);
    }
}

/// What a request is charged.
fn charge(entry: &Entry, quantum: u64) -> u64 {
    entry.cost.clamp(1, quantum.saturating_mul(MAX_QUANTA))
}
