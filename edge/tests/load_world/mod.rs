//! Daemons and runners in virtual time: runners with slots and a queue, and daemons that learn of them from
//! their own responses and, under the new rule, from one another.

use std::{
    cmp::Reverse,
    collections::{
        BinaryHeap,
        VecDeque, //
    },
    fmt,
    time::{
        Duration,
        Instant, //
    },
};

use cuminloom_edge::{
    adapter::Load,
    decide::{
        Candidate,
        LoadView,
        LoadedCandidate,
        RequestNeeds,
        Speeds,
        select_even,
        select_runner, //
    },
};
use rand::{
    RngExt,
    SeedableRng,
    rngs::StdRng, //
};

/// Interval at which each daemon passes reports on.
const EXCHANGE_MS: u64 = 150;

/// Reports in one message.
const MAX_REPORTS: usize = 16;

/// Daemons to which a message goes in turn.
const PARTNERS: [usize; 4] = [1, 4, 11, 19];

/// Network delay of one direction.
const DELAY_MS: u64 = 2;

/// Rule by which daemons choose.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Rule {
    /// `select_runner`, by own responses.
    LowestScore,
    /// `select_even`, by own responses and those of others.
    Even,
}

/// A load pattern.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Plan {
    pub daemons: usize,
    pub runners: usize,
    pub slots: u32,
    /// Requests that wait at a runner before it rejects.
    pub queue: usize,
    pub work_ms: f64,
    pub prompt_tokens: u64,
    pub per_s: f64,
    /// Requests that arrive at the same moment.
    pub burst: usize,
    /// Times that work takes relative to the usual, in turn over the runners.
    pub speeds: &'static [f64],
    /// When all runners work at the usual speed again.
    pub recovers_ms: Option<u64>,
    /// Runners that are gone in the second half.
    pub lost: usize,
    pub run_ms: u64,
}

/// Figures of one run.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Outcome {
    /// Requests of the busiest runner relative to the mean, in the second half.
    pub busiest: f64,
    pub requests: usize,
    pub rejected: usize,
    pub rejected_beside_free: usize,
    pub queued_beside_free: usize,
    /// Time to the first event, 95th percentile.
    pub p95_ms: u64,
    /// Requests of the first runner relative to the mean in the last quarter.
    pub slow_share_late: f64,
    /// Share of placements whose runner's report was younger than 300 ms.
    pub fresh: f64,
}

impl fmt::Display for Outcome {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "busiest={:.2} requests={} rejected={} rejected_beside_free={} queued_beside_free={} p95_ms={} late_share={:.2} fresh={:.2}",
            self.busiest,
            self.requests,
            self.rejected,
            self.rejected_beside_free,
            self.queued_beside_free,
            self.p95_ms,
            self.slow_share_late,
            self.fresh
        )
    }
}

#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct Request {
    daemon: usize,
    runner: usize,
    sent_ms: u64,
    backlog: u64,
}

#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Arrive,
    Reach(Request),
    PromptRead(Request),
    Finish(Request),
    Respond(Request, u32, u32, bool),
    End(Request),
    Exchange(usize),
}

#[derive(Clone, Default)]
struct Site {
    view: LoadView,
    speeds: Speeds,
    own: u32,
    backlog: u64,
}

#[derive(Default)]
struct Runner {
    running: u32,
    waiting: VecDeque<Request>,
    /// When it has read all prompts that it has been sent.
    read_until: u64,
    unread: u32,
}

struct World<'a> {
    plan: &'a Plan,
    rule: Rule,
    rng: StdRng,
    /// Draws the arrivals, which are the same under both rules.
    arrivals: StdRng,
    base: Instant,
    now: u64,
    events: BinaryHeap<Reverse<(u64, u64, Event)>>,
    number: u64,
    sites: Vec<Vec<Site>>,
    runners: Vec<Runner>,
    counts: Vec<usize>,
    late: Vec<usize>,
    times: Vec<u64>,
    placed: usize,
    known: usize,
    out: Outcome,
    round: usize,
}

/// Runs a plan with a fixed seed.
pub(crate) fn run(plan: &Plan, rule: Rule, seed: u64) -> Outcome {
    let mut world = World {
        plan,
        rule,
        rng: StdRng::seed_from_u64(seed),
        arrivals: StdRng::seed_from_u64(seed + 1),
        base: Instant::now(),
        now: 0,
        events: BinaryHeap::new(),
        number: 0,
        sites: vec![vec![Site::default(); plan.runners]; plan.daemons],
        runners: (0..plan.runners).map(|_| Runner::default()).collect(),
        counts: vec![0; plan.runners],
        late: vec![0; plan.runners],
        times: Vec::new(),
        placed: 0,
        known: 0,
        out: Outcome {
            busiest: 0.0,
            requests: 0,
            rejected: 0,
            rejected_beside_free: 0,
            queued_beside_free: 0,
            p95_ms: 0,
            slow_share_late: 0.0,
            fresh: 0.0,
        },
        round: 0,
    };
    world.schedule(0, Event::Arrive);
    for daemon in 0..plan.daemons {
        world.schedule(daemon as u64 % EXCHANGE_MS, Event::Exchange(daemon));
    }
    while let Some(Reverse((at, _, event))) = world.events.pop() {
        if at > plan.run_ms {
            break;
        }
        world.now = at;
        world.handle(event);
    }
    world.outcome()
}

impl World<'_> {
    fn schedule(&mut self, delay: u64, event: Event) {
        self.number += 1;
        let entry = (self.now + delay, self.number, event);
        self.events.push(Reverse(entry));
    }

    fn time(&self) -> Instant {
        self.base + Duration::from_millis(self.now)
    }

    /// Time that work takes at a runner, relative to the usual.
    fn slowness(&self, runner: usize) -> f64 {
        match self.plan.recovers_ms {
            Some(at) if self.now >= at => 1.0,
            _ => self.plan.speeds[runner % self.plan.speeds.len()],
        }
    }

    fn work_ms(&mut self, runner: usize) -> u64 {
        let spread = 0.5 + self.rng.random::<f64>();
        (self.plan.work_ms * spread * self.slowness(runner)) as u64
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Arrive => self.arrive(),
            Event::Reach(request) => self.reach(request),
            Event::PromptRead(request) => {
                self.runners[request.runner].unread -= 1;
                self.times.push(self.now - request.sent_ms);
                self.respond(request, false);
                let work = self.work_ms(request.runner);
                self.schedule(work, Event::Finish(request));
            }
            Event::Finish(request) => self.finish(request),
            Event::Respond(request, running, waiting, ended) => {
                self.learn(request, running, waiting, ended);
            }
            Event::End(request) => {
                let now = self.time();
                let site = &mut self.sites[request.daemon][request.runner];
                site.own -= 1;
                site.view.end(now);
            }
            Event::Exchange(daemon) => self.exchange(daemon),
        }
    }

    fn arrive(&mut self) {
        let gap = -(1.0 - self.arrivals.random::<f64>()).ln() * 1000.0 * self.plan.burst as f64;
        self.schedule((gap / self.plan.per_s) as u64, Event::Arrive);
        for _ in 0..self.plan.burst {
            let daemon = self.arrivals.random_range(0..self.plan.daemons);
            self.place(daemon);
        }
    }

    fn place(&mut self, daemon: usize) {
        let half = self.now > self.plan.run_ms / 2;
        let first = if half { self.plan.lost } else { 0 };
        let seed = self.rng.random::<u64>();
        let needs = RequestNeeds {
            prompt_tokens: self.plan.prompt_tokens,
            shared_tokens: 0,
            objective_ms: 1000.0,
        };
        let now = self.time();
        let loaded: Vec<LoadedCandidate> = self.sites[daemon]
            .iter()
            .enumerate()
            .map(|(i, site)| self.candidate(site, now, i < first))
            .collect();
        let chosen = match self.rule {
            Rule::Even => select_even(&loaded, &needs, seed),
            Rule::LowestScore => {
                let plain: Vec<Candidate> = loaded.iter().map(|c| c.base).collect();
                select_runner(&plain, &needs, seed)
            }
        };
        let Some(runner) = chosen else {
            return;
        };
        self.placed += 1;
        let known = loaded[runner].known;
        self.known += usize::from(known.is_some_and(|k| k.age.as_millis() <= 300));
        self.out.requests += 1;
        self.counts[runner] += usize::from(half);
        self.late[runner] += usize::from(self.now > self.plan.run_ms * 3 / 4);
        let site = &mut self.sites[daemon][runner];
        site.own += 1;
        site.view.begin(now);
        site.backlog += needs.prompt_tokens;
        let request = Request {
            daemon,
            runner,
            sent_ms: self.now,
            backlog: site.backlog,
        };
        self.schedule(DELAY_MS, Event::Reach(request));
    }

    fn candidate(&self, site: &Site, now: Instant, lost: bool) -> LoadedCandidate {
        let known = site.view.estimate(now);
        let own = f64::from(site.own);
        LoadedCandidate {
            base: Candidate {
                affinity_rank: usize::MAX,
                running: known.map_or(own, |k| k.running.max(own)),
                waiting: known.map_or(0.0, |k| k.waiting),
                slots: self.plan.slots,
                backlog_tokens: site.backlog,
                tried: lost,
                ..Candidate::default()
            },
            known: known.filter(|_| !lost),
            own,
            token_ms: site.speeds.token_ms(now),
            work_ms: site.speeds.work_ms(now),
        }
    }

    /// Whether a runner other than `runner` has a free slot.
    fn other_free(&self, runner: usize) -> bool {
        let slots = self.plan.slots;
        let mut others = self.runners.iter().enumerate();
        others.any(|(i, r)| i != runner && r.running < slots)
    }

    fn reach(&mut self, request: Request) {
        let plan = self.plan;
        let index = request.runner;
        if self.runners[index].running < plan.slots {
            self.runners[index].running += 1;
            self.start(request);
            return;
        }
        let free = self.other_free(index);
        if self.runners[index].waiting.len() >= plan.queue {
            self.out.rejected += 1;
            self.out.rejected_beside_free += usize::from(free);
            self.respond(request, true);
            return;
        }
        self.out.queued_beside_free += usize::from(free);
        self.runners[index].waiting.push_back(request);
    }

    fn start(&mut self, request: Request) {
        if self.plan.prompt_tokens == 0 {
            self.times.push(self.now - request.sent_ms);
            let work = self.work_ms(request.runner);
            self.schedule(work, Event::Finish(request));
            return;
        }
        let slowness = self.slowness(request.runner);
        let read = (self.plan.prompt_tokens as f64 / 64.0 * slowness) as u64;
        let runner = &mut self.runners[request.runner];
        runner.unread += 1;
        runner.read_until = runner.read_until.max(self.now) + read;
        let wait = runner.read_until - self.now;
        self.schedule(wait, Event::PromptRead(request));
    }

    fn finish(&mut self, request: Request) {
        let runner = &mut self.runners[request.runner];
        match runner.waiting.pop_front() {
            Some(next) => self.start(next),
            None => runner.running -= 1,
        }
        if self.plan.prompt_tokens == 0 {
            self.respond(request, true);
        } else {
            self.schedule(DELAY_MS, Event::End(request));
        }
    }

    fn respond(&mut self, request: Request, ended: bool) {
        let runner = &self.runners[request.runner];
        let unread = runner.unread.saturating_sub(1);
        let waiting = runner.waiting.len() as u32 + unread;
        let running = runner.running - unread.min(runner.running);
        let event = Event::Respond(request, running, waiting, ended);
        self.schedule(DELAY_MS, event);
    }

    fn learn(&mut self, request: Request, running: u32, waiting: u32, ended: bool) {
        let now = self.time();
        let time = Duration::from_millis(self.now - request.sent_ms);
        let tokens = self.plan.prompt_tokens;
        let site = &mut self.sites[request.daemon][request.runner];
        let load = Load {
            running,
            waiting,
            slots: self.plan.slots,
            percent: Some(100),
        };
        site.view
            .record(now - Duration::from_millis(DELAY_MS), load);
        if tokens > 0 {
            site.speeds.record_prompt(now, request.backlog, time, 100);
            site.backlog -= tokens;
        } else {
            site.speeds.record_work(now, time, load);
        }
        if ended {
            site.own -= 1;
            site.view.end(now);
        }
    }

    /// Passes the newest reports of a daemon to one other.
    fn exchange(&mut self, daemon: usize) {
        self.schedule(EXCHANGE_MS, Event::Exchange(daemon));
        if self.rule == Rule::LowestScore {
            return;
        }
        self.round += 1;
        let hop = PARTNERS[self.round / self.plan.daemons % PARTNERS.len()];
        let partner = (daemon + hop) % self.plan.daemons;
        let mut reports: Vec<(Instant, Load, usize)> = self.sites[daemon]
            .iter()
            .enumerate()
            .filter_map(|(i, site)| site.view.newest().map(|(at, load)| (at, load, i)))
            .collect();
        reports.sort_by_key(|(at, _, _)| Reverse(*at));
        for (at, load, i) in reports.into_iter().take(MAX_REPORTS) {
            self.sites[partner][i].view.record(at, load);
        }
    }

    fn outcome(mut self) -> Outcome {
        let left = &self.counts[self.plan.lost..];
        let mean = left.iter().sum::<usize>() as f64 / left.len() as f64;
        let most = left.iter().max().copied().unwrap_or(0) as f64;
        let late = self.late.iter().sum::<usize>() as f64 / self.late.len() as f64;
        self.times.sort_unstable();
        let p95 = self.times.len() * 95 / 100;
        Outcome {
            busiest: most / mean,
            p95_ms: self.times.get(p95).copied().unwrap_or(0),
            slow_share_late: self.late[0] as f64 / late,
            fresh: self.known as f64 / self.placed.max(1) as f64,
            ..self.out
        }
    }
}
