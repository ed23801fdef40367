//! Deterministic simulation of daemons before the brittle runners of one service. Times are simulated milliseconds.

use std::{
    cmp::Reverse,
    collections::{
        BinaryHeap,
        VecDeque, //
    },
    sync::Arc,
    time::{
        Duration,
        Instant, //
    },
};

use cuminloom_edge::{
    adapter::Load,
    decide::{
        BrittleServices,
        LoadView,
        Place,
        PlaceView,
        Places,
        hold_time,
        mean_load,
        rendezvous_weight, //
    },
};
use rand::{
    RngExt,
    SeedableRng,
    rngs::StdRng, //
};

/// Time at which the runners begin to say that they are brittle, the users' `contactMs` later, and the end.
const NAMED_AT: u64 = 1_000;
const COUNTED_FROM: u64 = 4_000;
const END: u64 = 14_000;

/// Requests that may wait at a runner before [`COUNTED_FROM`].
const ROOM: usize = 16;

/// Time for which a runner that fell over is away.
const FALL_MS: u64 = 3_000;

/// Time for which a message is under way.
const LINK_MS: u64 = 1;

/// Time to the head of a stream.
const HEAD_MS: u64 = 20;

/// Time for which a request waits at a daemon.
const WAIT_MS: u64 = 75;

/// Interval at which waiting requests look again, and in which a daemon passes loads on.
const POLL_MS: u64 = 50;
const PASS_MS: u64 = 150;

/// Reports in a message, and daemons in a data centre.
const PASSED: usize = 16;
const ZONE: usize = 16;

/// Size of a run.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Size {
    pub daemons: usize,
    pub runners: usize,
    pub slots: u32,
    pub work_ms: u64,
    /// Whether the head of an answer comes at the beginning of the work.
    pub stream: bool,
    /// Refusals in a second that a runner bears.
    pub refusals: u32,
    /// Demand in relation to what all runners can do.
    pub demand: f64,
}

/// What a run has counted from [`COUNTED_FROM`] on.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Outcome {
    pub falls: usize,
    pub refused: usize,
    /// Requests that were served, as a part of the demand that fits.
    pub used: f64,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    /// A request of a daemon reaches a runner, in its life.
    Sent(usize, usize),
    /// A runner ends a request of a daemon, in its life.
    Done(usize, usize, usize),
    /// The head of an answer reaches a daemon; whether it is a refusal; the load.
    Head(usize, usize, bool, u32, u32),
    /// The end of an answer that was run reaches a daemon.
    Ended(usize, usize),
    /// A request reaches a daemon.
    Asked(usize),
    /// A daemon looks again.
    Poll(usize),
    /// A daemon passes loads on.
    Pass(usize),
    /// A connection has broken, or could not be opened.
    Lost(usize, usize),
}

#[derive(Debug, Default)]
struct Runner {
    running: u32,
    waiting: VecDeque<usize>,
    refusals: VecDeque<u64>,
    life: usize,
    back_at: u64,
    open: Vec<usize>,
}

#[derive(Debug)]
struct Peer {
    rank: usize,
    view: LoadView,
    places: Places,
    own: u32,
    down_until: u64,
}

#[derive(Debug, Default)]
struct Daemon {
    services: BrittleServices,
    peers: Vec<Peer>,
    /// Times at which requests came that wait.
    queue: VecDeque<u64>,
    polls: bool,
    /// Interval between two requests, in milliseconds.
    interval: f64,
}

/// Order of a runner, its number, and why it may get a request if it is brittle.
type Ranked = ((u32, u64, u64), usize, Option<(Place, PlaceView)>);

pub(crate) struct World {
    size: Size,
    random: StdRng,
    start: Instant,
    now: u64,
    service: Arc<str>,
    runners: Vec<Runner>,
    daemons: Vec<Daemon>,
    events: BinaryHeap<Reverse<(u64, u64, Event)>>,
    number: u64,
    outcome: Outcome,
    served: u64,
    asked: u64,
    /// Daemons take no notice of what the runners say, to show that the bounds find it.
    pub deaf: bool,
}

impl World {
    pub(crate) fn new(seed: u64, size: Size) -> World {
        let capacity = size.runners as f64 * f64::from(size.slots) / size.work_ms as f64;
        let mut world = World {
            size,
            random: StdRng::seed_from_u64(seed),
            start: Instant::now(),
            now: 0,
            service: Arc::from("desk"),
            runners: (0..size.runners).map(|_| Runner::default()).collect(),
            daemons: Vec::new(),
            events: BinaryHeap::new(),
            number: 0,
            outcome: Outcome::default(),
            served: 0,
            asked: 0,
            deaf: false,
        };
        // Every third daemon is asked for twice as much as the others.
        let weight = |i: usize| if i.is_multiple_of(3) { 2.0 } else { 1.0 };
        let total: f64 = (0..size.daemons).map(weight).sum();
        for i in 0..size.daemons {
            let rank = |r: usize| {
                let own = rendezvous_weight(r as u64, &i.to_string());
                let others = (0..size.daemons).map(|d| rendezvous_weight(r as u64, &d.to_string()));
                others.filter(|other| *other > own).count()
            };
            let peer = |r| Peer {
                rank: rank(r),
                view: LoadView::default(),
                places: Places::default(),
                own: 0,
                down_until: 0,
            };
            world.daemons.push(Daemon {
                peers: (0..size.runners).map(peer).collect(),
                interval: total / weight(i) / (capacity * size.demand),
                ..Daemon::default()
            });
            world.push(0, Event::Asked(i));
            world.push(i as u64 % PASS_MS, Event::Pass(i));
        }
        world
    }

    pub(crate) fn run(mut self) -> Outcome {
        while let Some(Reverse((at, _, event))) = self.events.pop() {
            if at >= END {
                break;
            }
            self.now = at;
            self.handle(event);
        }
        let time = (END - COUNTED_FROM) as f64;
        let slots = self.size.runners as f64 * f64::from(self.size.slots);
        let fits = (slots * time / self.size.work_ms as f64).min(self.asked as f64);
        self.outcome.used = self.served as f64 / fits;
        self.outcome
    }

    fn push(&mut self, after: u64, event: Event) {
        self.number += 1;
        let entry = (self.now + after, self.number, event);
        self.events.push(Reverse(entry));
    }

    fn instant(&self) -> Instant {
        self.start + Duration::from_millis(self.now)
    }

    fn counts(&self) -> bool {
        self.now >= COUNTED_FROM
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Sent(d, r) => self.receive(d, r),
            Event::Done(d, r, life) => self.finish(d, r, life),
            Event::Head(d, r, refused, running, waiting) => {
                self.read_head(d, r, refused, running, waiting);
            }
            Event::Ended(d, r) => {
                let now = self.instant();
                let peer = &mut self.daemons[d].peers[r];
                peer.own -= 1;
                peer.view.end(now);
                peer.places.record_end(now);
                self.place(d);
            }
            Event::Asked(d) => {
                let next = self.daemons[d].interval * -(1.0 - self.random.random::<f64>()).ln();
                self.push(next.round() as u64, Event::Asked(d));
                self.asked += u64::from(self.counts());
                self.daemons[d].queue.push_back(self.now);
                self.place(d);
            }
            Event::Poll(d) => {
                self.daemons[d].polls = false;
                self.place(d);
            }
            Event::Pass(d) => self.pass(d),
            Event::Lost(d, r) => {
                let now = self.instant();
                let peer = &mut self.daemons[d].peers[r];
                peer.own -= 1;
                peer.view.end(now);
                peer.places.reset();
                peer.down_until = self.now + 500;
            }
        }
    }

    /// A runner takes a request or turns it away.
    fn receive(&mut self, d: usize, r: usize) {
        let room = if self.counts() { 0 } else { ROOM };
        let runner = &mut self.runners[r];
        if self.now < runner.back_at {
            return self.push(LINK_MS, Event::Lost(d, r));
        }
        if runner.running < self.size.slots {
            runner.open.push(d);
            return self.begin(d, r);
        }
        if runner.waiting.len() < room {
            runner.open.push(d);
            return runner.waiting.push_back(d);
        }
        runner.refusals.push_back(self.now);
        while runner.refusals[0] + 1000 <= self.now {
            runner.refusals.pop_front();
        }
        let (running, waiting) = (runner.running, runner.waiting.len() as u32);
        let falls = self.now >= COUNTED_FROM && runner.refusals.len() > self.size.refusals as usize;
        self.outcome.refused += usize::from(self.counts());
        if falls {
            return self.fall(d, r);
        }
        self.push(LINK_MS, Event::Head(d, r, true, running, waiting));
    }

    fn fall(&mut self, d: usize, r: usize) {
        self.outcome.falls += usize::from(self.counts());
        let runner = std::mem::take(&mut self.runners[r]);
        self.runners[r].life = runner.life + 1;
        self.runners[r].back_at = self.now + FALL_MS;
        for caller in runner.open.into_iter().chain([d]) {
            self.push(LINK_MS, Event::Lost(caller, r));
        }
    }

    fn begin(&mut self, d: usize, r: usize) {
        let runner = &mut self.runners[r];
        runner.running += 1;
        let (running, waiting, life) = (runner.running, runner.waiting.len() as u32, runner.life);
        if self.size.stream {
            self.push(HEAD_MS, Event::Head(d, r, false, running, waiting));
        }
        let work = self.size.work_ms as f64 * self.random.random_range(0.6..1.4);
        self.push(work as u64, Event::Done(d, r, life));
    }

    fn finish(&mut self, d: usize, r: usize, life: usize) {
        let runner = &mut self.runners[r];
        if runner.life != life {
            return;
        }
        runner.running -= 1;
        let at = runner.open.iter().position(|o| *o == d).unwrap();
        runner.open.swap_remove(at);
        let next = runner.waiting.pop_front();
        let (running, waiting) = (runner.running, runner.waiting.len() as u32);
        self.served += u64::from(self.counts());
        if let Some(next) = next {
            self.begin(next, r);
        }
        if !self.size.stream {
            self.push(LINK_MS, Event::Head(d, r, false, running, waiting));
        }
        self.push(LINK_MS, Event::Ended(d, r));
    }

    fn read_head(&mut self, d: usize, r: usize, refused: bool, running: u32, waiting: u32) {
        let now = self.instant();
        let load = Load {
            running,
            waiting,
            slots: self.size.slots,
            percent: Some(100),
        };
        let names = self.now >= NAMED_AT && !self.deaf;
        let named = names.then_some(self.size.refusals);
        let daemon = &mut self.daemons[d];
        daemon.services.record(&self.service, named, now);
        let peer = &mut daemon.peers[r];
        peer.view.record(now, load);
        if refused {
            peer.own -= 1;
            peer.view.end(now);
            peer.places.record_refusal(now);
            daemon.services.record_scarce(&self.service, now);
        }
    }

    fn pass(&mut self, d: usize) {
        self.push(PASS_MS, Event::Pass(d));
        let zones = self.size.daemons.div_ceil(ZONE);
        let members: Vec<usize> = (0..self.size.daemons)
            .filter(|o| o % zones == d % zones)
            .collect();
        let to = members[self.random.random_range(0..members.len())];
        let now = self.instant();
        let mut newest: Vec<(Instant, usize, Load)> = Vec::new();
        for (r, peer) in self.daemons[d].peers.iter().enumerate() {
            let reported = peer.view.newest();
            if let Some((at, load)) =
                reported.filter(|(at, _)| now - *at < Duration::from_millis(800))
            {
                newest.push((at, r, load));
            }
        }
        newest.sort_by_key(|(at, ..)| Reverse(*at));
        for (at, r, load) in newest.into_iter().take(PASSED) {
            self.daemons[to].peers[r].view.record(at, load);
        }
    }

    /// Places the requests that wait at a daemon.
    fn place(&mut self, d: usize) {
        while let Some(came) = self.daemons[d].queue.front().copied() {
            if self.now >= came + WAIT_MS {
                self.daemons[d].queue.pop_front();
                continue;
            }
            let Some(r) = self.choose(d) else {
                break;
            };
            let now = self.instant();
            let daemon = &mut self.daemons[d];
            daemon.queue.pop_front();
            daemon.peers[r].own += 1;
            daemon.peers[r].view.begin(now);
            self.push(LINK_MS, Event::Sent(d, r));
        }
        let daemon = &mut self.daemons[d];
        if !daemon.queue.is_empty() && !daemon.polls {
            daemon.polls = true;
            self.push(POLL_MS, Event::Poll(d));
        }
    }

    /// The least loaded runner that may get a request.
    fn choose(&mut self, d: usize) -> Option<usize> {
        let now = self.instant();
        let salt = self.random.random::<u64>();
        let daemon = &mut self.daemons[d];
        let refusals = daemon.services.refusals(&self.service, now);
        let work = Duration::from_millis(self.size.work_ms);
        let hold = hold_time(work);
        let members = self.size.daemons;
        let credit = daemon
            .services
            .credit(&self.service, self.size.runners, members, now);
        let scarce = daemon.services.is_scarce(&self.service, now);
        let loads = daemon.peers.iter().map(|p| p.view.cautious(now, hold * 2));
        let loads: Vec<_> = loads.collect();
        let slots = f64::from(self.size.slots);
        let mean = mean_load(loads.iter().flatten().map(|k| k.load / slots), scarce);
        let mut best: Option<Ranked> = None;
        for (r, peer) in daemon.peers.iter().enumerate() {
            if self.now < peer.down_until {
                continue;
            }
            let load = loads[r].map_or(mean.unwrap_or(0.0) * slots, |k| k.load);
            let mut place = None;
            if let Some(refusals) = refusals {
                let view = PlaceView {
                    refusals,
                    slots: self.size.slots,
                    known: loads[r],
                    own: peer.own,
                    mean,
                    scarce,
                    at_end: !self.size.stream,
                    work,
                    waiting: if scarce { daemon.queue.len() } else { 0 },
                    credit,
                    runners: self.size.runners,
                    rank: Some(peer.rank),
                    members: self.size.daemons,
                    time: self.now,
                };
                let Some(found) = peer.places.place(&view, now) else {
                    continue;
                };
                place = Some((found, view));
            }
            let tie = rendezvous_weight(salt, &r.to_string());
            let order = place.map_or(0, |(place, _)| place.order(scarce));
            let key = (order, (load * 16.0) as u64, tie);
            if best.as_ref().is_none_or(|(k, ..)| key < *k) {
                best = Some((key, r, place));
            }
        }
        match best {
            Some((_, r, place)) => {
                if let Some((place, view)) = place {
                    if let Place::Free(risk) = place {
                        daemon.services.spend(&self.service, credit, risk, now);
                    }
                    daemon.peers[r].places.take(place, &view);
                }
                Some(r)
            }
            None => {
                daemon.services.record_scarce(&self.service, now);
                None
            }
        }
    }
}
