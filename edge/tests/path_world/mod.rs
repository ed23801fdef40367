//! Deterministic simulation of a fleet of which some VMs can't open connections to the runners, with the daemon's own
//! decisions on what is lost and who is asked. Times are simulated milliseconds. Tokens and processor time are not
//! simulated.

mod daemon;
mod faults;
mod handover;
mod outcome;
mod runner;

use std::{
    cmp::Reverse,
    collections::BinaryHeap,
    sync::Arc,
    time::{
        Duration,
        Instant, //
    },
};

use cuminloom_edge::{
    catalog::ServiceId,
    decide::{
        AskOutcome,
        ReachState, //
    },
};
use rand::{
    RngExt,
    SeedableRng,
    rngs::StdRng, //
};

use daemon::Daemon;
pub(crate) use faults::{
    Break,
    Faults,
    Who, //
};
use outcome::Record;
pub(crate) use outcome::{
    End,
    Outcome,
    Window, //
};
use runner::Runner;

/// Network delay of one direction.
const DELAY_MS: u64 = 2;

/// Time after which the opening of a connection is given up.
pub(crate) const CONNECT_MS: u64 = 100;

/// Time for which a runner may be silent before a request there is given up.
const SILENCE_MS: u64 = 1000;

/// Interval of the trials of lost services, as in the daemon.
pub(crate) const TRIAL_MS: u64 = 250;

/// Runners that may turn a request away before it is refused.
const MAX_REJECTED: u32 = 3;

/// Time after the last arrival in which all requests have ended.
const TAIL_MS: u64 = 8000;

/// Processor shares of the VMs of the large sites in turn, in thousandths of a core.
const CAPACITIES: [u32; 4] = [90, 180, 250, 500];

/// Size of a run.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Size {
    pub daemons: usize,
    pub data_centres: usize,
    pub regions: usize,
    /// Runners of each service, and the slots of each runner.
    pub runners: [(usize, u32); 2],
    /// `contactMs` of the users' sites.
    pub contact_ms: u64,
}

/// Size of the users' small sites.
pub(crate) const SMALL: Size = Size {
    daemons: 7,
    data_centres: 4,
    regions: 1,
    runners: [(9, 12), (4, 6)],
    contact_ms: 3000,
};

/// Size of the users' larger sites.
pub(crate) const MEDIUM: Size = Size {
    daemons: 81,
    data_centres: 4,
    regions: 2,
    runners: [(100, 8), (16, 6)],
    contact_ms: 4000,
};

/// Daemons of the target size, with fewer runners.
pub(crate) const LARGE: Size = Size {
    daemons: 340,
    data_centres: 21,
    regions: 7,
    runners: [(400, 6), (60, 6)],
    contact_ms: 4000,
};

/// Mean time that a request of each service takes at a runner.
const WORK_MS: [f64; 2] = [1000.0, 200.0];

/// Time within which a request of each service must begin at a runner.
const DEADLINE_MS: [u64; 2] = [3000, 600];

/// A service with its runners.
struct Service {
    id: ServiceId,
    runners: std::ops::Range<usize>,
    /// Requests a second.
    rate: f64,
}

/// A request and how far it has come.
struct Request {
    service: usize,
    hash: u64,
    arrived: u64,
    /// Time that it takes at a runner.
    work_ms: u64,
    /// Daemon that its caller has chosen.
    origin: usize,
    /// Daemon that handles it now.
    handler: usize,
    /// Runners that were tried.
    tried: Vec<usize>,
    rejected: u32,
    /// Connections that failed.
    refused: usize,
    /// Runner at which it runs or waits.
    runner: Option<usize>,
    /// Whether it began after its deadline.
    is_late: bool,
    /// Neighbours that are still to be asked, the next one last; `None` if the choice has not been made.
    left: Option<Vec<usize>>,
    asks: usize,
    ended: bool,
}

impl Request {
    fn is_handed(&self) -> bool {
        self.handler != self.origin
    }
}

#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    /// A caller sends a request of this service.
    Arrive(usize),
    /// A connection for a request to a runner is open, or has failed.
    Opened(usize, usize, bool),
    /// A runner has answered a request.
    Finish(usize, usize),
    /// A request on a connection that has fallen silent is given up.
    GiveUp(usize, usize),
    /// A neighbour is asked.
    Ask(usize, usize),
    /// A neighbour has declined.
    Declined(usize, usize, Decline),
    /// A daemon tries the services that it has lost.
    Trial(usize),
    /// What came of the trial of a runner.
    Tried(usize, usize, bool),
    /// The faults that begin now.
    Faults,
}

/// [`AskOutcome`] of a neighbour that does not take a request, with an order for the queue of events.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Decline {
    Lost,
    Busy,
    Unreachable,
}

impl From<Decline> for AskOutcome {
    fn from(decline: Decline) -> AskOutcome {
        match decline {
            Decline::Lost => AskOutcome::Lost,
            Decline::Busy => AskOutcome::Busy,
            Decline::Unreachable => AskOutcome::Unreachable,
        }
    }
}

/// A fleet with its runners and callers.
pub(crate) struct World {
    faults: Faults,
    random: StdRng,
    /// Draws the arrivals, which do not depend on the faults.
    arrivals: StdRng,
    base: Instant,
    now: u64,
    run_ms: u64,
    events: BinaryHeap<Reverse<(u64, u64, Event)>>,
    number: u64,
    services: Vec<Service>,
    daemons: Vec<Daemon>,
    runners: Vec<Runner>,
    requests: Vec<Request>,
    outcome: Outcome,
}

impl World {
    /// A fleet whose callers use `load` of the runners' slots.
    pub(crate) fn new(seed: u64, size: Size, faults: Faults, load: f64) -> World {
        let mut first = 0;
        let services = (0..2).map(|i| {
            let (count, slots) = size.runners[i];
            let runners = first..first + count;
            first += count;
            Service {
                id: Arc::from(["text", "jobs"][i]),
                runners,
                rate: load * count as f64 * f64::from(slots) * 1000.0 / WORK_MS[i],
            }
        });
        let services: Vec<Service> = services.collect();
        let slots = |i: usize| size.runners[usize::from(i >= size.runners[0].0)].1;
        let runners = (0..first).map(|i| Runner::new(i % size.data_centres, slots(i)));
        let runners = runners.collect();
        let mut random = StdRng::seed_from_u64(seed);
        let mut daemons = daemon::fleet(size);
        faults.choose(&mut daemons, size, &mut random);
        World {
            faults,
            random,
            arrivals: StdRng::seed_from_u64(seed + 1),
            base: Instant::now(),
            now: 0,
            run_ms: faults.end() + size.contact_ms + 3000,
            events: BinaryHeap::new(),
            number: 0,
            outcome: Outcome::new(&daemons),
            services,
            daemons,
            runners,
            requests: Vec::new(),
        }
    }

    /// Plays the run.
    pub(crate) fn run(mut self) -> Outcome {
        for service in 0..self.services.len() {
            self.schedule(0, Event::Arrive(service));
        }
        for at in self.faults.times() {
            self.schedule(at, Event::Faults);
        }
        while let Some(Reverse((at, _, event))) = self.events.pop() {
            if at > self.run_ms + TAIL_MS {
                break;
            }
            self.now = at;
            self.handle(event);
        }
        let open = self.requests.iter().filter(|r| !r.ended).count();
        assert_eq!(open, 0, "requests that never end");
        self.outcome.end = self.run_ms;
        self.outcome
    }

    fn schedule(&mut self, delay: u64, event: Event) {
        self.number += 1;
        let entry = (self.now + delay, self.number, event);
        self.events.push(Reverse(entry));
    }

    fn time(&self) -> Instant {
        self.base + Duration::from_millis(self.now)
    }

    /// Whether `event` is for a request that has ended.
    fn is_void(&self, event: Event) -> bool {
        match event {
            Event::Opened(request, ..)
            | Event::GiveUp(request, _)
            | Event::Ask(request, _)
            | Event::Declined(request, ..) => self.requests[request].ended,
            _ => false,
        }
    }

    fn handle(&mut self, event: Event) {
        if self.is_void(event) {
            return;
        }
        match event {
            Event::Arrive(service) => self.arrive(service),
            Event::Opened(request, runner, open) => self.opened(request, runner, open),
            Event::Finish(request, runner) => self.finish(request, runner),
            Event::GiveUp(request, runner) => {
                let daemon = self.requests[request].handler;
                self.record_opened(daemon, runner, false);
                self.end(request, End::Failed);
            }
            Event::Ask(request, neighbour) => self.asked(request, neighbour),
            Event::Declined(request, neighbour, why) => self.declined(request, neighbour, why),
            Event::Trial(daemon) => self.try_lost(daemon),
            Event::Tried(daemon, runner, open) => {
                self.record_opened(daemon, runner, open);
                if open {
                    self.daemons[daemon].keep_idle(runner, self.now);
                }
            }
            Event::Faults => self.begin_faults(),
        }
    }

    /// A caller sends a request to any daemon that runs.
    fn arrive(&mut self, service: usize) {
        if self.now > self.run_ms {
            return;
        }
        let rate = self.services[service].rate;
        let draws = &mut self.arrivals;
        let gap = -(1.0 - draws.random::<f64>()).ln() * 1000.0 / rate;
        // Whole milliseconds, rounded at random so that the rate is kept.
        let gap = (gap + draws.random::<f64>()) as u64;
        let spread = 0.5 + draws.random::<f64>();
        let mut request = Request {
            service,
            hash: draws.random(),
            arrived: self.now,
            work_ms: (WORK_MS[service] * spread) as u64,
            origin: draws.random_range(0..self.daemons.len()),
            handler: 0,
            tried: Vec::new(),
            rejected: 0,
            refused: 0,
            runner: None,
            is_late: false,
            left: None,
            asks: 0,
            ended: false,
        };
        while self.daemons[request.origin].is_killed {
            request.origin = (request.origin + 1) % self.daemons.len();
        }
        request.handler = request.origin;
        self.schedule(gap, Event::Arrive(service));
        self.requests.push(request);
        self.proceed(self.requests.len() - 1);
    }

    fn state(&self, daemon: usize, service: usize) -> ReachState {
        self.daemons[daemon].reach.state(&self.services[service].id)
    }

    /// Takes the next step for a request that no runner has. Neighbours are asked once, by the daemon of its caller; one that
    /// finds that it has lost the runners, too, gives the request back.
    fn proceed(&mut self, request: usize) {
        let r = &self.requests[request];
        let is_asked = r.left.as_ref().is_some_and(Vec::is_empty);
        let is_open = self.state(r.handler, r.service) == ReachState::Open;
        match r.is_handed() {
            true if !is_open => self.decline(request),
            false if !is_open && !is_asked && !self.faults.alone => self.hand_over(request),
            _ => self.try_own(request),
        }
    }

    /// Tries the next runner for a request.
    fn try_own(&mut self, request: usize) {
        let r = &self.requests[request];
        if self.now - r.arrived > DEADLINE_MS[r.service] {
            return self.end(request, End::Failed);
        }
        let runner = match self.state(r.handler, r.service) {
            ReachState::Lost => self.choose_open(request),
            _ => self.choose(request),
        };
        let Some(runner) = runner else {
            return self.end(request, End::Refused);
        };
        self.requests[request].tried.push(runner);
        self.send(request, runner);
    }

    /// Records how a request ended.
    fn end(&mut self, request: usize, end: End) {
        let r = &mut self.requests[request];
        assert!(!r.ended, "a request has ended twice");
        r.ended = true;
        if r.is_handed() {
            self.daemons[r.handler].taken -= 1;
        }
        let record = Record {
            arrived: r.arrived,
            took: self.now - r.arrived,
            origin: r.origin,
            asks: r.asks,
            refused: r.refused,
            handed: r.is_handed(),
            end,
        };
        self.outcome.records.push(record);
    }
}
