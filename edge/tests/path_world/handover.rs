//! Requests that pass from one daemon to another.

use cuminloom_edge::decide::{
    AskOutcome,
    ReachState,
    max_taken, //
};

use super::{
    CONNECT_MS,
    DELAY_MS,
    Decline,
    Event,
    World,
    daemon::{
        address,
        daemon_at, //
    }, //
};

impl World {
    /// Asks the next neighbour to handle a request; the own runners are the last resort.
    pub(super) fn hand_over(&mut self, request: usize) {
        let now = self.time();
        let r = &mut self.requests[request];
        assert!(!r.is_handed(), "a request makes a second hop");
        let node = &self.daemons[r.origin];
        let left = r.left.get_or_insert_with(|| {
            let order = node.neighbours.order(r.hash, &node.known, now);
            order.into_iter().rev().map(daemon_at).collect()
        });
        let Some(neighbour) = left.pop() else {
            return self.try_own(request);
        };
        r.asks += 1;
        self.schedule(DELAY_MS, Event::Ask(request, neighbour));
    }

    /// A neighbour is asked to handle a request.
    pub(super) fn asked(&mut self, request: usize, neighbour: usize) {
        let service = self.requests[request].service;
        let node = &self.daemons[neighbour];
        if node.is_killed {
            // Of every second one, the machine is gone, too.
            let delay = match neighbour % 2 {
                0 => CONNECT_MS,
                _ => DELAY_MS,
            };
            let event = Event::Declined(request, neighbour, Decline::Unreachable);
            return self.schedule(delay, event);
        }
        let why = if self.state(neighbour, service) != ReachState::Open {
            Decline::Lost
        } else if node.taken >= max_taken(node.capacity) {
            Decline::Busy
        } else {
            self.daemons[neighbour].taken += 1;
            self.requests[request].handler = neighbour;
            return self.try_own(request);
        };
        self.schedule(DELAY_MS, Event::Declined(request, neighbour, why));
    }

    /// A neighbour that has taken a request gives it back before any runner may have begun it.
    pub(super) fn decline(&mut self, request: usize) {
        let r = &mut self.requests[request];
        let neighbour = r.handler;
        r.handler = r.origin;
        r.tried.clear();
        r.rejected = 0;
        self.daemons[neighbour].taken -= 1;
        let event = Event::Declined(request, neighbour, Decline::Lost);
        self.schedule(DELAY_MS, event);
    }

    /// The first daemon is told that a neighbour does not take a request.
    pub(super) fn declined(&mut self, request: usize, neighbour: usize, why: Decline) {
        let now = self.time();
        let origin = self.requests[request].origin;
        self.outcome.declined.push((self.now, origin, neighbour));
        let choice = &mut self.daemons[origin].neighbours;
        choice.record(address(neighbour), why.into(), now);
        self.hand_over(request);
    }

    /// A runner begins with a request that was handed over.
    pub(super) fn note_taken(&mut self, request: usize) {
        let now = self.time();
        let r = &self.requests[request];
        let (origin, neighbour) = (r.origin, r.handler);
        let choice = &mut self.daemons[origin].neighbours;
        choice.record(address(neighbour), AskOutcome::Taken, now);
        self.outcome.taken[neighbour] += 1;
        self.share_out(origin, neighbour);
    }

    /// Adds one request that `neighbour` took for `origin` to what all sound ones as near as it are expected to take,
    /// by their capacity.
    fn share_out(&mut self, origin: usize, neighbour: usize) {
        let daemons = &self.daemons;
        let known = &daemons[origin].known;
        let taker = known.iter().find(|n| daemon_at(n.address) == neighbour);
        let Some(distance) = taker.map(|n| n.distance) else {
            return;
        };
        let sound = known.iter().filter(|n| {
            let node = &daemons[daemon_at(n.address)];
            n.distance == distance && !node.is_cut && !node.is_killed
        });
        let total: u32 = sound.clone().map(|n| n.capacity).sum();
        for neighbour in sound {
            let share = f64::from(neighbour.capacity) / f64::from(total);
            self.outcome.expected[daemon_at(neighbour.address)] += share;
        }
    }
}
