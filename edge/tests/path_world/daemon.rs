//! Daemons: what they know of the runners, and their connections to them.

use std::{
    collections::HashMap,
    net::SocketAddr,
    sync::Arc, //
};

use cuminloom_edge::{
    catalog::{
        RunnerState,
        ServiceId, //
    },
    decide::{
        Availability,
        Distance,
        DownCause,
        Neighbour,
        Neighbours,
        Reach,
        ReachState,
        RunnerKey, //
    },
};
use rand::RngExt;

use super::{
    Break,
    CAPACITIES,
    CONNECT_MS,
    DELAY_MS,
    Event,
    SILENCE_MS,
    Size,
    TRIAL_MS,
    World, //
};

/// Time for which an idle connection is kept.
const KEEP_ALIVE_MS: u64 = 400;

/// Runners that are drawn before all are looked through.
const DRAWS: usize = 8;

/// A VM with its daemon.
pub(super) struct Daemon {
    pub(super) data_centre: usize,
    pub(super) capacity: u32,
    /// Whether it is one of those that are cut off.
    pub(super) is_cut: bool,
    pub(super) is_killed: bool,
    pub(super) reach: Reach,
    pub(super) neighbours: Neighbours,
    pub(super) known: Vec<Neighbour>,
    /// Open requests of other daemons.
    pub(super) taken: u32,
    runners: Availability,
    /// Times at which idle connections to runners expire.
    idle: HashMap<usize, Vec<u64>>,
    /// Whether trials go on, and how many there were.
    is_trying: bool,
    turn: usize,
}

/// Address of a daemon for others.
pub(super) fn address(daemon: usize) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 10_000 + daemon as u16))
}

/// Daemon with an address.
pub(super) fn daemon_at(address: SocketAddr) -> usize {
    usize::from(address.port() - 10_000)
}

/// All daemons, spread over the data centres in turn.
pub(super) fn fleet(size: Size) -> Vec<Daemon> {
    let region = |daemon: usize| daemon % size.data_centres * size.regions / size.data_centres;
    let capacity = |daemon: usize| match size.daemons < 10 {
        true => 250,
        false => CAPACITIES[daemon / size.data_centres % CAPACITIES.len()],
    };
    let known = |own: usize| {
        let others = (0..size.daemons).filter(move |i| *i != own && region(*i) == region(own));
        others.map(move |i| Neighbour {
            address: address(i),
            distance: match i % size.data_centres == own % size.data_centres {
                true => Distance::DataCentre,
                false => Distance::Region,
            },
            capacity: capacity(i),
        })
    };
    let daemons = (0..size.daemons).map(|i| Daemon {
        data_centre: i % size.data_centres,
        capacity: capacity(i),
        is_cut: false,
        is_killed: false,
        reach: Reach::default(),
        neighbours: Neighbours::default(),
        known: known(i).collect(),
        taken: 0,
        runners: Availability::default(),
        idle: HashMap::new(),
        is_trying: false,
        turn: 0,
    });
    daemons.collect()
}

impl Daemon {
    /// Closes the idle connections.
    pub(super) fn close_all(&mut self) {
        self.idle.clear();
    }

    /// Closes the idle connections to `runner`.
    pub(super) fn close_idle(&mut self, runner: usize) {
        self.idle.remove(&runner);
    }

    pub(super) fn keep_idle(&mut self, runner: usize, now: u64) {
        let idle = self.idle.entry(runner).or_default();
        idle.push(now + KEEP_ALIVE_MS);
    }

    fn has_idle(&self, runner: usize, now: u64) -> bool {
        let mut idle = self.idle.get(&runner).into_iter().flatten();
        idle.any(|expires| now < *expires)
    }

    fn take_idle(&mut self, runner: usize, now: u64) -> bool {
        let Some(idle) = self.idle.get_mut(&runner) else {
            return false;
        };
        idle.retain(|expires| now < *expires);
        idle.pop().is_some()
    }
}

impl World {
    /// Runners of `service` that are listed as ready.
    fn ready(&self, service: usize) -> impl Iterator<Item = usize> {
        let runners = self.services[service].runners.clone();
        runners.filter(|i| self.now < self.runners[*i].lapses)
    }

    /// Service of `runner`.
    fn service_of(&self, runner: usize) -> usize {
        usize::from(runner >= self.services[1].runners.start)
    }

    /// Whether no connection to `runner` could be opened lately.
    fn is_doubtful(&self, daemon: usize, runner: usize) -> bool {
        let entry = Some(RunnerState::Ready);
        let runners = &self.daemons[daemon].runners;
        let view = runners.view(runner as RunnerKey, entry, self.time());
        view.doubtful
    }

    /// Runner for a request: the less loaded of two.
    pub(super) fn choose(&mut self, request: usize) -> Option<usize> {
        let (daemon, service) = {
            let r = &self.requests[request];
            (r.handler, r.service)
        };
        let range = self.services[service].runners.clone();
        let draws: Vec<usize> = (0..DRAWS)
            .map(|_| self.random.random_range(range.clone()))
            .collect();
        let tried = &self.requests[request].tried;
        let is_new = |i: &usize| !tried.contains(i) && self.now < self.runners[*i].lapses;
        let is_sound = |i: &usize| is_new(i) && !self.is_doubtful(daemon, *i);
        let load = |i: &usize| self.runners[*i].load();
        let drawn = draws.iter().copied().filter(is_sound).take(2);
        let drawn = drawn.min_by_key(load);
        let sound = || range.clone().filter(is_sound).min_by_key(load);
        let any = || draws.iter().copied().find(is_new);
        let last = || range.clone().find(is_new);
        drawn.or_else(sound).or_else(any).or_else(last)
    }

    /// Runner for a request to which a connection is open.
    pub(super) fn choose_open(&self, request: usize) -> Option<usize> {
        let r = &self.requests[request];
        let node = &self.daemons[r.handler];
        let range = self.services[r.service].runners.clone();
        let mut new = range.filter(|i| !r.tried.contains(i));
        new.find(|i| node.has_idle(*i, self.now))
    }

    /// Sends a request over an idle connection, or opens one.
    pub(super) fn send(&mut self, request: usize, runner: usize) {
        let daemon = self.requests[request].handler;
        if self.daemons[daemon].take_idle(runner, self.now) {
            match self.breaks(daemon, runner) {
                Some(Break::Silent) => self.schedule(SILENCE_MS, Event::GiveUp(request, runner)),
                _ => self.reach_runner(request, runner),
            }
            return;
        }
        let (delay, open) = self.connect(daemon, runner);
        self.schedule(delay, Event::Opened(request, runner, open));
    }

    /// When a connection that is opened now is open or has failed, and which of both.
    fn connect(&self, daemon: usize, runner: usize) -> (u64, bool) {
        let state = &self.runners[runner];
        match self.breaks(daemon, runner) {
            Some(Break::Silent) => (CONNECT_MS, false),
            Some(Break::Reset | Break::HalfOpen) => (2 * DELAY_MS, false),
            None if state.is_ended => (2 * DELAY_MS, false),
            None if self.now < state.silent_until => (CONNECT_MS, false),
            None => (2 * DELAY_MS, true),
        }
    }

    /// A connection for a request is open, or has failed.
    pub(super) fn opened(&mut self, request: usize, runner: usize, open: bool) {
        let daemon = self.requests[request].handler;
        self.record_opened(daemon, runner, open);
        if open {
            self.reach_runner(request, runner);
        } else {
            self.requests[request].refused += 1;
            self.proceed(request);
        }
    }

    /// Records whether `runner` accepted a connection of `daemon`.
    pub(super) fn record_opened(&mut self, daemon: usize, runner: usize, open: bool) {
        let (now, service) = (self.time(), self.service_of(runner));
        let ready = self.ready(service).count();
        let id = Arc::clone(&self.services[service].id);
        let key = runner as RunnerKey;
        let node = &mut self.daemons[daemon];
        let before = node.reach.state(&id);
        if open {
            node.runners.mark_alive(key);
            node.reach.record_success(&id, key, ready, now);
        } else {
            node.close_idle(runner);
            node.runners.mark_down(key, DownCause::Silent, now);
            node.reach.record_failure(&id, key, ready, now);
        }
        self.note_state(daemon, service, before);
    }

    /// Notes a change, and begins to try the lost services.
    fn note_state(&mut self, daemon: usize, service: usize, before: ReachState) {
        let state = self.state(daemon, service);
        if state == before {
            return;
        }
        self.outcome.note_state(daemon, service, self.now, state);
        if state != ReachState::Open && !self.daemons[daemon].is_trying {
            self.daemons[daemon].is_trying = true;
            self.schedule(0, Event::Trial(daemon));
        }
    }

    /// Services that `daemon` does not fully reach.
    fn impaired(&self, daemon: usize) -> Vec<usize> {
        let reach = &self.daemons[daemon].reach;
        let impaired = reach.impaired();
        let service = |id: &ServiceId| self.services.iter().position(|s| s.id == *id);
        let mut found: Vec<usize> = impaired.filter_map(service).collect();
        found.sort_unstable();
        found
    }

    /// Services whose runners `daemon` tries: those that are not fully reached, and all if one is lost.
    fn services_to_try(&self, daemon: usize) -> Vec<usize> {
        match self.daemons[daemon].reach.any_lost() {
            true => (0..self.services.len()).collect(),
            false => self.impaired(daemon),
        }
    }

    /// Tries one runner of each of these services, as long as there is one.
    pub(super) fn try_lost(&mut self, daemon: usize) {
        for service in self.impaired(daemon) {
            self.refresh(daemon, service);
        }
        let services = self.services_to_try(daemon);
        self.daemons[daemon].is_trying = !services.is_empty();
        if services.is_empty() {
            return;
        }
        for service in services {
            self.try_one(daemon, service);
        }
        self.daemons[daemon].turn += 1;
        self.schedule(TRIAL_MS, Event::Trial(daemon));
    }

    fn refresh(&mut self, daemon: usize, service: usize) {
        let (now, ready) = (self.time(), self.ready(service).count());
        let before = self.state(daemon, service);
        let id = &self.services[service].id;
        self.daemons[daemon].reach.refresh(id, ready, now);
        self.note_state(daemon, service, before);
    }

    /// Tries a connection to a runner of `service`.
    fn try_one(&mut self, daemon: usize, service: usize) {
        let ready: Vec<RunnerKey> = self.ready(service).map(|i| i as RunnerKey).collect();
        let node = &self.daemons[daemon];
        let id = &self.services[service].id;
        let Some(key) = node.reach.next_trial(id, &ready, node.turn) else {
            return;
        };
        let (delay, open) = self.connect(daemon, key as usize);
        self.schedule(delay, Event::Tried(daemon, key as usize, open));
    }
}
