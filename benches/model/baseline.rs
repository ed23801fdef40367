//! Simple policies to compare with: one queue with urgent work first, no headroom, no health.

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
        Fault, //
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

const QUEUE: usize = 2048;
const ATTEMPTS: u32 = 3;

/// How a baseline chooses a target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Choice {
    Random,
    RoundRobin,
    LeastReported,
}

/// One daemon of a baseline. It sends at most its part of the capacity of all targets.
pub(crate) struct Baseline {
    choice: Choice,
    rng: StdRng,
    next: usize,
    loads: [u32; TARGETS],
    queues: [VecDeque<Job>; 2],
    open: BTreeMap<u64, (Job, u32)>,
}

impl Baseline {
    pub(crate) fn new(choice: Choice, seed: u64) -> Self {
        Self {
            choice,
            rng: StdRng::seed_from_u64(seed),
            next: seed as usize % TARGETS,
            loads: [0; TARGETS],
            queues: [VecDeque::new(), VecDeque::new()],
            open: BTreeMap::new(),
        }
    }

    pub(crate) fn offer(&mut self, job: Job) -> bool {
        let queue = &mut self.queues[job.urgency as usize];
        let room = queue.len() < QUEUE;
        if room {
            queue.push_back(job);
        }
        room
    }

    pub(crate) fn poll(&mut self, now: Duration) -> Vec<Action> {
        let mut actions = Vec::new();
        while self.open.len() < TARGETS * CAPACITY as usize / DAEMONS {
            let Some(job) = self.queues.iter_mut().find_map(VecDeque::pop_front) else {
                break;
            };
            let ticket = job.ticket;
            if now >= job.deadline {
                let fault = Fault::not_run(Code::Deadline, "the deadline passed");
                actions.push(Action::Refuse { ticket, fault });
                continue;
            }
            self.open.insert(ticket, (job, 1));
            actions.push(self.dispatch(ticket));
        }
        // Retries keep their slot.
        let retries: Vec<u64> = self
            .open
            .iter()
            .filter(|(_, o)| o.1 == 0)
            .map(|(t, _)| *t)
            .collect();
        for ticket in retries {
            self.open.get_mut(&ticket).expect("an open ticket").1 = ATTEMPTS;
            actions.push(self.dispatch(ticket));
        }
        actions
    }

    pub(crate) fn report(&mut self, target: usize, load: u32) {
        self.loads[target] = load;
    }

    pub(crate) fn finished(&mut self, ticket: u64, ended: AttemptOutcome) -> bool {
        let Some((_, attempts)) = self.open.get_mut(&ticket) else {
            return false;
        };
        let retry = !matches!(ended, AttemptOutcome::Success | AttemptOutcome::Cancelled)
            && *attempts < ATTEMPTS;
        if retry {
            *attempts = 0;
        } else {
            self.open.remove(&ticket);
        }
        retry
    }

    fn dispatch(&mut self, ticket: u64) -> Action {
        let index = match self.choice {
            Choice::Random => self.rng.random_range(0..TARGETS),
            Choice::RoundRobin => {
                self.next = (self.next + 1) % TARGETS;
                self.next
            }
            Choice::LeastReported => {
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
