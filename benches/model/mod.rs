//! Discrete-event simulation of daemons that share targets and learn their load from delayed
//! reports.

mod baseline;
mod result;

use std::{
    cmp::Reverse,
    collections::{
        BTreeMap,
        BinaryHeap,
        VecDeque, //
    },
    net::SocketAddr,
    time::Duration, //
};

use cuminloom::{
    model::{
        RetryPolicy,
        Service,
        Target,
        TargetKind,
        Urgency,
        Verdict, //
    },
    route::{
        Action,
        AttemptOutcome,
        Job,
        Load,
        Router,
        Settings, //
    }, //
};
use rand::{
    RngExt,
    SeedableRng,
    rngs::StdRng, //
};

pub(crate) use baseline::{
    Baseline,
    BaselinePolicy, //
};
pub(crate) use result::RunResult;

/// Number of daemons.
pub(crate) const DAEMONS: usize = 7;
/// Number of targets.
pub(crate) const TARGETS: usize = 20;
/// Requests that a target runs at once.
pub(crate) const CAPACITY: u32 = 32;
/// Mean time for which a request occupies a slot, in seconds: prefill and output.
const MEAN_HOLD_S: f64 = 0.3 * URGENT_SHARE + 0.8 * (1.0 - URGENT_SHARE) + MEAN_OUTPUT_S;
/// Mean time from first byte to completion, in seconds.
const MEAN_OUTPUT_S: f64 = 3.5;
/// Share of the requests that is urgent.
const URGENT_SHARE: f64 = 0.3;
/// Interval between load reports of a target.
const REPORT_INTERVAL_MS: u64 = 500;
/// Time until the queues reach a steady state, at low and at high load; at high load the queues
/// fill, so it exceeds the patient deadline.
const WARM_UP_S: [f64; 2] = [20.0, 80.0];
/// Time in which the measured requests end: the patient deadline and a long output.
const DRAIN_S: f64 = 90.0;
/// Deadline for the first byte, by `Urgency as usize`.
const DEADLINES_S: [u64; 2] = [10, 60];

/// Fault of the first target, from the end of the warm-up.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum TargetFault {
    /// No fault.
    Well,
    /// Requests take four times as long.
    Slow,
    /// It rejects each request.
    Failing,
    /// It crashes, and connections to it time out.
    Gone,
}

/// Parameters of one run.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Scenario {
    /// Baseline policy, or `None` for the router.
    pub(crate) policy: Option<BaselinePolicy>,
    /// Offered load relative to the total capacity.
    pub(crate) load: f64,
    /// Delay of load reports.
    pub(crate) lag: Duration,
    pub(crate) fault: TargetFault,
    /// Measured time after the warm-up.
    pub(crate) seconds: f64,
    pub(crate) seed: u64,
}

impl Scenario {
    /// Warm-up time for the load, in seconds.
    fn warm_up_s(self) -> f64 {
        WARM_UP_S[usize::from(self.load > 0.75)]
    }
}

/// An event of the simulation. Requests are named by identifier and attempt, so that events of
/// earlier attempts can be ignored.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    /// A request arrives at a daemon.
    Arrive,
    /// A target takes a load report.
    Report(usize),
    /// The load report of a target reaches the daemons: running and waiting requests.
    Deliver(usize, u32, u32),
    /// The first byte of a response arrives.
    FirstByte(u64, u32),
    /// A response is complete.
    Done(u64, u32),
    /// An attempt fails; the flag tells a failed connection from a rejection.
    Fail(u64, u32, bool),
    /// The fault of the first target begins.
    Break,
    /// A daemon is polled at its wake-up time.
    Wake(usize),
}

/// An open request. `prefill` and `output` are its times on a healthy target, in seconds.
#[derive(Debug)]
struct Request {
    daemon: usize,
    urgency: Urgency,
    arrived: Duration,
    prefill: f64,
    output: f64,
    target: usize,
    attempt: u32,
    answered: bool,
}

/// Running and waiting requests of a target.
#[derive(Debug, Default)]
struct Engine {
    running: Vec<u64>,
    waiting: [VecDeque<u64>; 2],
}

/// A daemon with the router or with a baseline policy.
enum Daemon {
    Router(Box<Router>),
    Baseline(Box<Baseline>),
}

/// State of a simulation run.
struct Simulation {
    scenario: Scenario,
    rng: StdRng,
    now: Duration,
    events: BinaryHeap<Reverse<(Duration, u64, Event)>>,
    /// Last identifier given to an event or request.
    last_id: u64,
    daemons: Vec<Daemon>,
    /// Scheduled wake-up of each daemon.
    wakeups: [Option<Duration>; DAEMONS],
    engines: Vec<Engine>,
    /// Whether the fault of the first target has begun.
    fault_active: bool,
    requests: BTreeMap<u64, Request>,
    result: RunResult,
}

/// Runs the simulation.
pub(crate) fn run(scenario: Scenario) -> RunResult {
    let mut simulation = Simulation {
        scenario,
        rng: StdRng::seed_from_u64(scenario.seed),
        now: Duration::ZERO,
        events: BinaryHeap::new(),
        last_id: 0,
        daemons: (0..DAEMONS).map(|d| new_daemon(d, scenario)).collect(),
        wakeups: [None; DAEMONS],
        engines: (0..TARGETS).map(|_| Engine::default()).collect(),
        fault_active: false,
        requests: BTreeMap::new(),
        result: RunResult::default(),
    };
    simulation.schedule(0.0, Event::Arrive);
    simulation.schedule(scenario.warm_up_s(), Event::Break);
    for target in 0..TARGETS {
        simulation.schedule(0.025 * target as f64, Event::Report(target));
    }
    let end = Duration::from_secs_f64(scenario.warm_up_s() + scenario.seconds + DRAIN_S);
    while let Some(Reverse((at, _, event))) = simulation.events.pop() {
        if at > end {
            break;
        }
        simulation.now = at;
        simulation.handle(event);
    }
    simulation.result
}

/// Returns a daemon with the policy of the scenario.
fn new_daemon(rank: usize, scenario: Scenario) -> Daemon {
    let seed = scenario.seed * 100 + rank as u64;
    if let Some(policy) = scenario.policy {
        return Daemon::Baseline(Box::new(Baseline::new(policy, seed)));
    }
    let mut router = Router::new(Settings::new("dc".into()), seed);
    router.set_fleet(rank as u32, DAEMONS as u32);
    let targets = (0..TARGETS).map(|t| Target {
        id: format!("t{t:02}").into(),
        addr: SocketAddr::from(([127, 0, 0, 1], 9000 + t as u16)),
        dc: "dc".into(),
        fences: true,
    });
    router.set_service(
        Duration::ZERO,
        &Service {
            id: "s".into(),
            kind: TargetKind::Engine,
            model: "m".into(),
            targets: targets.collect(),
        },
    );
    Daemon::Router(Box::new(router))
}

impl Simulation {
    /// Schedules an event after a delay.
    fn schedule(&mut self, seconds: f64, event: Event) {
        self.last_id += 1;
        let at = self.now + Duration::from_secs_f64(seconds);
        self.events.push(Reverse((at, self.last_id, event)));
    }

    /// Applies an event.
    fn handle(&mut self, event: Event) {
        match event {
            Event::Arrive => self.add_request(),
            Event::Report(target) => self.take_report(target),
            Event::Deliver(target, running, waiting) => {
                self.deliver_report(target, running, waiting)
            }
            Event::FirstByte(id, attempt) => self.first_byte(id, attempt),
            Event::Done(id, attempt) => {
                if self.is_current(id, attempt) {
                    let target = self.requests[&id].target;
                    self.free_slot(target, id);
                    self.finish(id, AttemptOutcome::Success);
                }
            }
            Event::Fail(id, attempt, gone) => {
                if self.is_current(id, attempt) {
                    let outcome = if gone {
                        AttemptOutcome::Unreachable
                    } else {
                        AttemptOutcome::Refused
                    };
                    self.finish(id, outcome);
                }
            }
            Event::Break => self.break_target(),
            Event::Wake(daemon) => {
                self.wakeups[daemon] = None;
                self.poll(daemon);
            }
        }
    }

    /// Whether the request is open and in this attempt.
    fn is_current(&self, id: u64, attempt: u32) -> bool {
        self.requests.get(&id).is_some_and(|r| r.attempt == attempt)
    }

    /// Whether a request that arrived then is measured.
    fn is_measured(&self, arrived: Duration) -> bool {
        let at = arrived.as_secs_f64() - self.scenario.warm_up_s();
        (0.0..self.scenario.seconds).contains(&at)
    }

    /// Generates a request, offers it to a random daemon and schedules the next arrival.
    fn add_request(&mut self) {
        let rate = self.scenario.load * TARGETS as f64 * f64::from(CAPACITY) / MEAN_HOLD_S;
        let gap = -(1.0 - self.rng.random::<f64>()).ln() / rate;
        self.schedule(gap, Event::Arrive);
        let urgent = self.rng.random_bool(URGENT_SHARE);
        let (urgency, prefill) = if urgent {
            (Urgency::Urgent, self.rng.random_range(0.15..0.45))
        } else {
            (Urgency::Patient, self.rng.random_range(0.4..1.2))
        };
        let output = -(1.0 - self.rng.random::<f64>()).ln() * MEAN_OUTPUT_S;
        let (id, daemon) = (self.last_id, self.rng.random_range(0..DAEMONS));
        let job = Job {
            ticket: id,
            service: "s".into(),
            customer: format!("c{}", self.rng.random_range(0..10_u32).pow(2) / 20).into(),
            urgency,
            repeat: RetryPolicy::Idempotent,
            deadline: self.now + Duration::from_secs(DEADLINES_S[urgency as usize]),
            fingerprint: id,
            affinity: 0,
            cost: 500,
        };
        let request = Request {
            daemon,
            urgency,
            arrived: self.now,
            prefill,
            output,
            target: 0,
            attempt: 0,
            answered: false,
        };
        let measured = self.is_measured(self.now);
        let class = &mut self.result.by_urgency[urgency as usize];
        class.offered += u64::from(measured);
        let queued = match &mut self.daemons[daemon] {
            Daemon::Router(router) => router.offer(self.now, job).is_ok(),
            Daemon::Baseline(baseline) => baseline.offer(job),
        };
        if queued {
            self.requests.insert(id, request);
            self.poll(daemon);
        } else {
            class.refused += u64::from(measured);
        }
    }

    /// Executes the actions of a daemon and schedules its wake-up.
    fn poll(&mut self, daemon: usize) {
        let (actions, wakeup) = match &mut self.daemons[daemon] {
            Daemon::Router(router) => (router.poll(self.now), router.next_wakeup()),
            Daemon::Baseline(baseline) => (baseline.poll(self.now), None),
        };
        for action in actions {
            match action {
                Action::Dispatch { ticket, addr, .. } => {
                    self.dispatch(ticket, usize::from(addr.port()) - 9000);
                }
                Action::Refuse { ticket, .. } => {
                    let request = self.requests.remove(&ticket).expect("an open request");
                    let measured = self.is_measured(request.arrived);
                    self.result.by_urgency[request.urgency as usize].refused += u64::from(measured);
                }
            }
        }
        if let Some(at) = wakeup
            && self.wakeups[daemon].is_none()
        {
            self.wakeups[daemon] = Some(at);
            let wait = at.saturating_sub(self.now).as_secs_f64();
            self.schedule(wait, Event::Wake(daemon));
        }
    }

    /// Sends a request to a target.
    fn dispatch(&mut self, id: u64, target: usize) {
        let request = self.requests.get_mut(&id).expect("an open request");
        request.target = target;
        request.attempt += 1;
        let (attempt, urgency) = (request.attempt, request.urgency);
        let measured = self.is_measured(self.requests[&id].arrived);
        self.result.dispatched += u64::from(measured);
        let broken = matches!(
            self.fault_of(target),
            TargetFault::Failing | TargetFault::Gone
        );
        self.result.sent_broken += u64::from(measured && broken);
        match self.fault_of(target) {
            TargetFault::Failing => self.schedule(0.01, Event::Fail(id, attempt, false)),
            TargetFault::Gone => self.schedule(1.0, Event::Fail(id, attempt, true)),
            TargetFault::Well | TargetFault::Slow => {
                self.result.per_target[target] += u64::from(measured);
                self.engines[target].waiting[urgency as usize].push_back(id);
                self.start_waiting(target);
            }
        }
    }

    /// Returns the present fault of a target.
    fn fault_of(&self, target: usize) -> TargetFault {
        if self.fault_active && target == 0 {
            self.scenario.fault
        } else {
            TargetFault::Well
        }
    }

    /// Starts waiting requests, urgent ones first, while the target has free slots.
    fn start_waiting(&mut self, target: usize) {
        while self.engines[target].running.len() < CAPACITY as usize {
            let engine = &mut self.engines[target];
            let Some(id) = engine.waiting.iter_mut().find_map(VecDeque::pop_front) else {
                return;
            };
            engine.running.push(id);
            let factor = if self.fault_of(target) == TargetFault::Slow {
                4.0
            } else {
                1.0
            };
            let request = &self.requests[&id];
            let (attempt, prefill) = (request.attempt, request.prefill * factor);
            let total = prefill + request.output * factor;
            self.schedule(prefill, Event::FirstByte(id, attempt));
            self.schedule(total, Event::Done(id, attempt));
        }
    }

    /// Removes a completed request from its target.
    fn free_slot(&mut self, target: usize, id: u64) {
        self.engines[target].running.retain(|r| *r != id);
        self.start_waiting(target);
    }

    /// Records the time to first byte.
    fn first_byte(&mut self, id: u64, attempt: u32) {
        if !self.is_current(id, attempt) {
            return;
        }
        let request = self.requests.get_mut(&id).expect("an open request");
        request.answered = true;
        let (daemon, arrived, urgency) = (request.daemon, request.arrived, request.urgency);
        if self.is_measured(arrived) {
            let time = (self.now - arrived).as_secs_f64();
            let class = &mut self.result.by_urgency[urgency as usize];
            class.first_byte_s.push(time);
            class.in_time += u64::from(time <= DEADLINES_S[urgency as usize] as f64);
        }
        if let Daemon::Router(router) = &mut self.daemons[daemon] {
            router.first_byte(self.now, id);
        }
    }

    /// Reports the outcome of an attempt to the daemon.
    fn finish(&mut self, id: u64, outcome: AttemptOutcome) {
        let request = &self.requests[&id];
        let (daemon, urgency) = (request.daemon, request.urgency);
        let measured = self.is_measured(request.arrived);
        let retry = match &mut self.daemons[daemon] {
            Daemon::Router(router) => router.finish(self.now, id, outcome).retry,
            Daemon::Baseline(baseline) => baseline.finish(id, outcome),
        };
        if retry {
            self.requests.get_mut(&id).expect("an open request").attempt += 1;
        } else {
            self.requests.remove(&id);
            let failed = outcome != AttemptOutcome::Success;
            self.result.by_urgency[urgency as usize].failed += u64::from(measured && failed);
            self.result.answered += u64::from(measured && !failed);
        }
        self.poll(daemon);
    }

    /// Starts the fault of the first target.
    fn break_target(&mut self) {
        self.fault_active = true;
        if self.scenario.fault != TargetFault::Gone {
            return;
        }
        let engine = std::mem::take(&mut self.engines[0]);
        for id in engine
            .running
            .into_iter()
            .chain(engine.waiting.into_iter().flatten())
        {
            let verdict = if self.requests[&id].answered {
                Verdict::Ran
            } else {
                Verdict::MayHaveRun
            };
            self.finish(id, AttemptOutcome::Crashed(verdict));
        }
    }

    /// Takes a load report and schedules its delivery after the lag.
    fn take_report(&mut self, target: usize) {
        self.schedule(REPORT_INTERVAL_MS as f64 / 1000.0, Event::Report(target));
        if self.fault_of(target) == TargetFault::Gone {
            return;
        }
        let engine = &self.engines[target];
        let waiting = engine.waiting.iter().map(VecDeque::len).sum::<usize>();
        let event = Event::Deliver(target, engine.running.len() as u32, waiting as u32);
        self.schedule(self.scenario.lag.as_secs_f64(), event);
    }

    /// Delivers a load report to all daemons.
    fn deliver_report(&mut self, target: usize, running: u32, waiting: u32) {
        let load = Load {
            running,
            waiting,
            capacity: CAPACITY,
            leaving: false,
        };
        for index in 0..DAEMONS {
            match &mut self.daemons[index] {
                Daemon::Router(router) => {
                    router.report_load(self.now, &format!("t{target:02}").into(), load);
                }
                Daemon::Baseline(baseline) => baseline.report(target, running + waiting),
            }
            self.poll(index);
        }
    }
}
