//! Baseline policies: strict priority for urgent work, no headroom and no health checks.

use std::{
    collections::{
        BTreeMap,
        VecDeque, //
    },
    net::SocketAddr,
    time::Duration, //
};

use cuminloom::{
    model::{
        Code,
        RequestError, //
    },
    route::{
        Action,
        AttemptOutcome,
        Job, //
    }, //
};
use rand::{
    RngExt,
    SeedableRng,
    rngs::StdRng, //
};

use super::{
    CAPACITY,
    DAEMONS,
    TARGETS, //
};

/// Maximum number of queued requests per urgency.
const MAX_QUEUE: usize = 2048;
/// Attempt count from which a request is not retried. The first retry sets it, so that a request is
/// retried once.
const MAX_ATTEMPTS: u32 = 3;

/// How a baseline selects a target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum BaselinePolicy {
    /// A random target.
    Random,
    /// Each target in turn.
    RoundRobin,
    /// The target with the lowest reported load.
    LeastReported,
}

/// One daemon with a baseline policy. Its requests in flight are limited to its equal share of the
/// capacity of all targets.
pub(crate) struct Baseline {
    policy: BaselinePolicy,
    rng: StdRng,
    /// Last target of the round robin.
    next: usize,
    /// Last reported load of each target.
    loads: [u32; TARGETS],
    /// Queued requests, by `Urgency as usize`.
    queues: [VecDeque<Job>; 2],
    /// Running requests with their number of attempts; 0 if one is to be retried.
    open: BTreeMap<u64, (Job, u32)>,
}

impl Baseline {
    pub(crate) fn new(policy: BaselinePolicy, seed: u64) -> Self {
        Self {
            policy,
            rng: StdRng::seed_from_u64(seed),
            next: seed as usize % TARGETS,
            loads: [0; TARGETS],
            queues: [VecDeque::new(), VecDeque::new()],
            open: BTreeMap::new(),
        }
    }

    /// Queues a request; returns false if the queue is full.
    pub(crate) fn offer(&mut self, job: Job) -> bool {
        let queue = &mut self.queues[job.urgency as usize];
        let room = queue.len() < MAX_QUEUE;
        if room {
            queue.push_back(job);
        }
        room
    }

    /// Returns the actions that are due now.
    pub(crate) fn poll(&mut self, now: Duration) -> Vec<Action> {
        let mut actions = Vec::new();
        while self.open.len() < TARGETS * CAPACITY as usize / DAEMONS {
            let Some(job) = self.queues.iter_mut().find_map(VecDeque::pop_front) else {
                break;
            };
            let ticket = job.ticket;
            if now >= job.deadline {
                let fault = RequestError::not_run(Code::Deadline, "the deadline passed");
                actions.push(Action::Refuse { ticket, fault });
                continue;
            }
            self.open.insert(ticket, (job, 1));
            actions.push(self.dispatch(ticket));
        }
        // Retries keep their slot. Zero attempts marks a request that is to be retried.
        let retries: Vec<u64> = self
            .open
            .iter()
            .filter(|(_, o)| o.1 == 0)
            .map(|(t, _)| *t)
            .collect();
        for ticket in retries {
            self.open.get_mut(&ticket).expect("an open ticket").1 = MAX_ATTEMPTS;
            actions.push(self.dispatch(ticket));
        }
        actions
    }

    /// Records the load of a target.
    pub(crate) fn report(&mut self, target: usize, load: u32) {
        self.loads[target] = load;
    }

    /// Records the outcome of an attempt; returns whether the request is to be retried.
    pub(crate) fn finish(&mut self, ticket: u64, outcome: AttemptOutcome) -> bool {
        let Some((_, attempts)) = self.open.get_mut(&ticket) else {
            return false;
        };
        let retry = !matches!(outcome, AttemptOutcome::Success | AttemptOutcome::Cancelled)
            && *attempts < MAX_ATTEMPTS;
        if retry {
            *attempts = 0;
        } else {
            self.open.remove(&ticket);
        }
        retry
    }

    /// Selects a target by the policy.
    fn dispatch(&mut self, ticket: u64) -> Action {
        let index = match self.policy {
            BaselinePolicy::Random => self.rng.random_range(0..TARGETS),
            BaselinePolicy::RoundRobin => {
                self.next = (self.next + 1) % TARGETS;
                self.next
            }
            BaselinePolicy::LeastReported => {
                let start = self.rng.random_range(0..TARGETS);
                (0..TARGETS)
                    .map(|i| (start + i) % TARGETS)
                    .min_by_key(|t| self.loads[*t])
                    .unwrap_or(start)
            }
        };
        Action::Dispatch {
            ticket,
            target: format!("t{index:02}").into(),
            addr: SocketAddr::from(([127, 0, 0, 1], 9000 + index as u16)),
            has_strike: false,
        }
    }
}
