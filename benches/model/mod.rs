//! Discrete-event model: daemons that share targets and learn their load from late reports.

mod baseline;
mod outcome;

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
        Repeat,
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
    Choice, //
};
pub(crate) use outcome::Outcome;

pub(crate) const DAEMONS: usize = 7;
pub(crate) const TARGETS: usize = 20;
pub(crate) const CAPACITY: u32 = 32;
/// Mean time of a request on a target, in seconds: time to first byte and output.
const HOLD_S: f64 = 0.3 * URGENT + 0.8 * (1.0 - URGENT) + OUTPUT_S;
const OUTPUT_S: f64 = 3.5;
/// Part of the requests that is urgent.
const URGENT: f64 = 0.3;
const REPORT_MS: u64 = 500;
/// Time until the queues are in steady state: longer than the patient deadline if they fill.
const WARM_S: [f64; 2] = [20.0, 80.0];
/// Time for the measured requests to end: the patient deadline and a long output.
const DRAIN_S: f64 = 90.0;
const DEADLINES_S: [u64; 2] = [10, 60];

/// What the first target does from the end of the warm-up on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Mode {
    /// It works.
    Well,
    /// It takes four times as long.
    Slow,
    /// It refuses each request.
    Failing,
    /// It crashes, and connecting to it times out.
    Gone,
}

/// Parameters of one run.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Setup {
    pub(crate) policy: Option<Choice>,
    pub(crate) load: f64,
    pub(crate) lag: Duration,
    pub(crate) mode: Mode,
    pub(crate) seconds: f64,
    pub(crate) seed: u64,
}

impl Setup {
    fn warm(self) -> f64 {
        WARM_S[usize::from(self.load > 0.75)]
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Arrive,
    Report(usize),
    Deliver(usize, u32, u32),
    FirstByte(u64, u32),
    Done(u64, u32),
    Fail(u64, u32, bool),
    Break,
    Wake(usize),
}

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

#[derive(Debug, Default)]
struct Engine {
    running: Vec<u64>,
    waiting: [VecDeque<u64>; 2],
}

enum Daemon {
    Router(Box<Router>),
    Baseline(Box<Baseline>),
}

struct World {
    setup: Setup,
    rng: StdRng,
    now: Duration,
    events: BinaryHeap<Reverse<(Duration, u64, Event)>>,
    serial: u64,
    daemons: Vec<Daemon>,
    wakes: [Option<Duration>; DAEMONS],
    engines: Vec<Engine>,
    broken: bool,
    requests: BTreeMap<u64, Request>,
    outcome: Outcome,
}

/// Runs the model.
pub(crate) fn run(setup: Setup) -> Outcome {
    let mut world = World {
        setup,
        rng: StdRng::seed_from_u64(setup.seed),
        now: Duration::ZERO,
        events: BinaryHeap::new(),
        serial: 0,
        daemons: (0..DAEMONS).map(|d| daemon(d, setup)).collect(),
        wakes: [None; DAEMONS],
        engines: (0..TARGETS).map(|_| Engine::default()).collect(),
        broken: false,
        requests: BTreeMap::new(),
        outcome: Outcome::default(),
    };
    world.after(0.0, Event::Arrive);
    world.after(setup.warm(), Event::Break);
    for target in 0..TARGETS {
        world.after(0.025 * target as f64, Event::Report(target));
    }
    let end = Duration::from_secs_f64(setup.warm() + setup.seconds + DRAIN_S);
    while let Some(Reverse((at, _, event))) = world.events.pop() {
        if at > end {
            break;
        }
        world.now = at;
        world.handle(event);
    }
    world.outcome
}

fn daemon(rank: usize, setup: Setup) -> Daemon {
    let seed = setup.seed * 100 + rank as u64;
    if let Some(choice) = setup.policy {
        return Daemon::Baseline(Box::new(Baseline::new(choice, seed)));
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

impl World {
    fn after(&mut self, seconds: f64, event: Event) {
        self.serial += 1;
        let at = self.now + Duration::from_secs_f64(seconds);
        self.events.push(Reverse((at, self.serial, event)));
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Arrive => self.arrive(),
            Event::Report(target) => self.snapshot(target),
            Event::Deliver(target, running, waiting) => self.deliver(target, running, waiting),
            Event::FirstByte(id, attempt) => self.first_byte(id, attempt),
            Event::Done(id, attempt) => {
                if self.current(id, attempt) {
                    let target = self.requests[&id].target;
                    self.leave(target, id);
                    self.end(id, AttemptOutcome::Success);
                }
            }
            Event::Fail(id, attempt, gone) => {
                if self.current(id, attempt) {
                    let ended = if gone {
                        AttemptOutcome::Unreachable
                    } else {
                        AttemptOutcome::Refused
                    };
                    self.end(id, ended);
                }
            }
            Event::Break => self.breakdown(),
            Event::Wake(daemon) => {
                self.wakes[daemon] = None;
                self.poll(daemon);
            }
        }
    }

    fn current(&self, id: u64, attempt: u32) -> bool {
        self.requests.get(&id).is_some_and(|r| r.attempt == attempt)
    }

    fn measured(&self, arrived: Duration) -> bool {
        let at = arrived.as_secs_f64() - self.setup.warm();
        (0.0..self.setup.seconds).contains(&at)
    }

    fn arrive(&mut self) {
        let rate = self.setup.load * TARGETS as f64 * f64::from(CAPACITY) / HOLD_S;
        let gap = -(1.0 - self.rng.random::<f64>()).ln() / rate;
        self.after(gap, Event::Arrive);
        let urgent = self.rng.random_bool(URGENT);
        let (urgency, prefill) = if urgent {
            (Urgency::Urgent, self.rng.random_range(0.15..0.45))
        } else {
            (Urgency::Patient, self.rng.random_range(0.4..1.2))
        };
        let output = -(1.0 - self.rng.random::<f64>()).ln() * OUTPUT_S;
        let (id, daemon) = (self.serial, self.rng.random_range(0..DAEMONS));
        let job = Job {
            ticket: id,
            service: "s".into(),
            customer: format!("c{}", self.rng.random_range(0..10_u32).pow(2) / 20).into(),
            urgency,
            repeat: Repeat::Idempotent,
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
        let measured = self.measured(self.now);
        let class = &mut self.outcome.classes[urgency as usize];
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

    fn poll(&mut self, daemon: usize) {
        let (actions, wakeup) = match &mut self.daemons[daemon] {
            Daemon::Router(router) => (router.poll(self.now), router.next_wakeup()),
            Daemon::Baseline(baseline) => (baseline.poll(self.now), None),
        };
        for action in actions {
            match action {
                Action::Dispatch { ticket, addr, .. } => {
                    self.send(ticket, usize::from(addr.port()) - 9000);
                }
                Action::Refuse { ticket, .. } => {
                    let request = self.requests.remove(&ticket).expect("an open request");
                    let measured = self.measured(request.arrived);
                    self.outcome.classes[request.urgency as usize].refused += u64::from(measured);
                }
            }
        }
        if let Some(at) = wakeup
            && self.wakes[daemon].is_none()
        {
            self.wakes[daemon] = Some(at);
            let wait = at.saturating_sub(self.now).as_secs_f64();
            self.after(wait, Event::Wake(daemon));
        }
    }

    fn send(&mut self, id: u64, target: usize) {
        let request = self.requests.get_mut(&id).expect("an open request");
        request.target = target;
        request.attempt += 1;
        let (attempt, urgency) = (request.attempt, request.urgency);
        let measured = self.measured(self.requests[&id].arrived);
        self.outcome.dispatched += u64::from(measured);
        let broken = matches!(self.mode(target), Mode::Failing | Mode::Gone);
        self.outcome.sent_broken += u64::from(measured && broken);
        match self.mode(target) {
            Mode::Failing => self.after(0.01, Event::Fail(id, attempt, false)),
            Mode::Gone => self.after(1.0, Event::Fail(id, attempt, true)),
            Mode::Well | Mode::Slow => {
                self.outcome.per_target[target] += u64::from(measured);
                self.engines[target].waiting[urgency as usize].push_back(id);
                self.start(target);
            }
        }
    }

    fn mode(&self, target: usize) -> Mode {
        if self.broken && target == 0 {
            self.setup.mode
        } else {
            Mode::Well
        }
    }

    /// Starts waiting requests, urgent ones first, while the engine has slots.
    fn start(&mut self, target: usize) {
        while self.engines[target].running.len() < CAPACITY as usize {
            let engine = &mut self.engines[target];
            let Some(id) = engine.waiting.iter_mut().find_map(VecDeque::pop_front) else {
                return;
            };
            engine.running.push(id);
            let factor = if self.mode(target) == Mode::Slow {
                4.0
            } else {
                1.0
            };
            let request = &self.requests[&id];
            let (attempt, prefill) = (request.attempt, request.prefill * factor);
            let total = prefill + request.output * factor;
            self.after(prefill, Event::FirstByte(id, attempt));
            self.after(total, Event::Done(id, attempt));
        }
    }

    fn leave(&mut self, target: usize, id: u64) {
        self.engines[target].running.retain(|r| *r != id);
        self.start(target);
    }

    fn first_byte(&mut self, id: u64, attempt: u32) {
        if !self.current(id, attempt) {
            return;
        }
        let request = self.requests.get_mut(&id).expect("an open request");
        request.answered = true;
        let (daemon, arrived, urgency) = (request.daemon, request.arrived, request.urgency);
        if self.measured(arrived) {
            let time = (self.now - arrived).as_secs_f64();
            let class = &mut self.outcome.classes[urgency as usize];
            class.times.push(time);
            class.in_time += u64::from(time <= DEADLINES_S[urgency as usize] as f64);
        }
        if let Daemon::Router(router) = &mut self.daemons[daemon] {
            router.first_byte(self.now, id);
        }
    }

    fn end(&mut self, id: u64, ended: AttemptOutcome) {
        let request = &self.requests[&id];
        let (daemon, urgency) = (request.daemon, request.urgency);
        let measured = self.measured(request.arrived);
        let retry = match &mut self.daemons[daemon] {
            Daemon::Router(router) => router.finish(self.now, id, ended).retry,
            Daemon::Baseline(baseline) => baseline.finished(id, ended),
        };
        if retry {
            self.requests.get_mut(&id).expect("an open request").attempt += 1;
        } else {
            self.requests.remove(&id);
            let failed = ended != AttemptOutcome::Success;
            self.outcome.classes[urgency as usize].failed += u64::from(measured && failed);
            self.outcome.answered += u64::from(measured && !failed);
        }
        self.poll(daemon);
    }

    fn breakdown(&mut self) {
        self.broken = true;
        if self.setup.mode != Mode::Gone {
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
            self.end(id, AttemptOutcome::Crashed(verdict));
        }
    }

    fn snapshot(&mut self, target: usize) {
        self.after(REPORT_MS as f64 / 1000.0, Event::Report(target));
        if self.mode(target) == Mode::Gone {
            return;
        }
        let engine = &self.engines[target];
        let waiting = engine.waiting.iter().map(VecDeque::len).sum::<usize>();
        let event = Event::Deliver(target, engine.running.len() as u32, waiting as u32);
        self.after(self.setup.lag.as_secs_f64(), event);
    }

    fn deliver(&mut self, target: usize, running: u32, waiting: u32) {
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
