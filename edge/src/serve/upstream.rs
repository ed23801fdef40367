//! One runner as this daemon sees it: kept connections, load, failures.

use std::{
    cell::{
        Cell,
        RefCell, //
    },
    collections::HashMap,
    io,
    rc::Rc,
    sync::Arc,
    time::{
        Duration,
        Instant, //
    },
};

use crate::{
    border::Load,
    catalog::Runner,
    decide::{
        Candidate,
        PromptPart, //
    },
    http::{
        Link,
        LinkFault, //
    },
};

/// Time for which a connection is kept if the runner does not say how long it keeps it.
const KEEP: Duration = Duration::from_millis(400);

/// Part of the runner's own idle time after which a connection is not used again.
const KEEP_PART: f64 = 0.6;

/// Idle time up to which a request that may not be repeated uses a kept connection.
const KEEP_ONCE: Duration = Duration::from_millis(300);

/// Time for which a prompt part is assumed to stay in a runner's memory.
const WARM: Duration = Duration::from_secs(10);

/// Prompt parts that are remembered at most for one runner.
const MAX_WARM: usize = 1024;

/// Age up to which a reported load counts.
const LOAD_AGE: Duration = Duration::from_millis(1500);

/// First pause after a failed connection, doubled up to [`MAX_PAUSE`].
const PAUSE: Duration = Duration::from_millis(300);

/// Longest pause after a failed connection.
const MAX_PAUSE: Duration = Duration::from_millis(1200);

/// Longest time for a connection that only asks whether a silent runner is there.
const PROBE_TIME: Duration = Duration::from_millis(60);

/// Time for which a runner gets no requests after another one has answered at its address, unless
/// its entry changes.
const REPLACED: Duration = Duration::from_secs(4);

/// Weight of one outcome in the share of failures.
const OUTCOME_WEIGHT: f64 = 0.2;

/// Time in which the share of failures falls to a third, in seconds.
const FAILING_S: f64 = 4.0;

struct Idle {
    link: Link,
    since: Instant,
    until: Instant,
}

/// One runner as this daemon sees it.
pub struct Upstream {
    /// Entry of the runner.
    pub runner: RefCell<Arc<Runner>>,
    idle: RefCell<Vec<Idle>>,
    flying: Cell<u32>,
    backlog: Cell<u64>,
    load: Cell<Option<(Instant, Load)>>,
    since_load: Cell<i32>,
    failing: Cell<(f64, Option<Instant>)>,
    pause: Cell<Duration>,
    down: Cell<Option<Instant>>,
    heard: Cell<Instant>,
    replaced: Cell<Option<Instant>>,
    warm: RefCell<HashMap<u64, Instant>>,
}

impl Upstream {
    /// State for a runner of which nothing is known yet.
    pub fn new(runner: Arc<Runner>) -> Upstream {
        Upstream {
            runner: RefCell::new(runner),
            idle: RefCell::default(),
            flying: Cell::new(0),
            backlog: Cell::new(0),
            load: Cell::new(None),
            since_load: Cell::new(0),
            failing: Cell::new((0.0, None)),
            pause: Cell::new(PAUSE),
            down: Cell::new(None),
            heard: Cell::new(Instant::now()),
            replaced: Cell::new(None),
            warm: RefCell::default(),
        }
    }

    /// Whether this state is of the same life of the runner as `entry`; takes the entry over if so.
    pub fn is_life_of(&self, entry: &Arc<Runner>) -> bool {
        let same = {
            let own = self.runner.borrow();
            own.born == entry.born && own.address == entry.address
        };
        if same {
            *self.runner.borrow_mut() = Arc::clone(entry);
        }
        same
    }

    /// What placement knows of the runner, without what depends on the request.
    pub fn candidate(&self, now: Instant, parts: &[PromptPart], connections: u32) -> Candidate {
        let slots = self.runner.borrow().slots;
        let fresh = self
            .load
            .get()
            .filter(|(at, _)| now.duration_since(*at) < LOAD_AGE);
        let own = f64::from(self.flying.get());
        let (running, waiting) = match fresh {
            Some((_, load)) => (
                (f64::from(load.running) + f64::from(self.since_load.get()))
                    .max(own)
                    .max(0.0),
                f64::from(load.waiting),
            ),
            None => (own, 0.0),
        };
        let held = self.flying.get() + self.idle.borrow().len() as u32;
        Candidate {
            affinity_rank: usize::MAX,
            cached_tokens: self.warm_tokens(now, parts),
            running,
            waiting,
            slots,
            backlog_tokens: self.backlog.get(),
            failure_rate: self.failing(now),
            suspect: self.down.get().is_some_and(|until| now < until),
            full: held >= connections && self.idle.borrow().is_empty(),
            tried: self
                .replaced
                .get()
                .is_some_and(|at| now.duration_since(at) < REPLACED),
            remote: false,
        }
    }

    fn warm_tokens(&self, now: Instant, parts: &[PromptPart]) -> u64 {
        let warm = self.warm.borrow();
        parts
            .iter()
            .take_while(|p| {
                warm.get(&p.id)
                    .is_some_and(|at| now.duration_since(*at) < WARM)
            })
            .map(|p| u64::from(p.tokens))
            .sum()
    }

    /// Notes that the runner has read the parts of a prompt.
    pub fn warm(&self, now: Instant, parts: &[PromptPart]) {
        let mut warm = self.warm.borrow_mut();
        if warm.len() > MAX_WARM {
            warm.retain(|_, at| now.duration_since(*at) < WARM);
        }
        for part in parts {
            warm.insert(part.id, now);
        }
    }

    fn failing(&self, now: Instant) -> f64 {
        let (share, at) = self.failing.get();
        let age = at.map_or(0.0, |at| now.duration_since(at).as_secs_f64());
        share * (-age / FAILING_S).exp()
    }

    /// Notes whether a request failed.
    pub fn outcome(&self, now: Instant, failed: bool) {
        let old = self.failing(now);
        let new = old + OUTCOME_WEIGHT * (f64::from(u8::from(failed)) - old);
        self.failing.set((new, Some(now)));
    }

    /// Notes that the runner can't be reached or is silent.
    pub fn mark_down(&self, now: Instant) {
        self.down.set(Some(now + self.pause.get()));
        self.pause.set((self.pause.get() * 2).min(MAX_PAUSE));
        self.idle.borrow_mut().clear();
    }

    /// Notes that another runner answers at the address.
    pub fn mark_replaced(&self, now: Instant) {
        self.replaced.set(Some(now));
        self.idle.borrow_mut().clear();
    }

    /// Notes that the runner has sent something.
    pub fn hear(&self, now: Instant) {
        self.heard.set(now);
        if self.down.get().is_some() {
            self.down.set(None);
            self.pause.set(PAUSE);
        }
    }

    /// Time since the runner has sent something.
    pub fn quiet(&self, now: Instant) -> Duration {
        now.duration_since(self.heard.get())
    }

    /// Prompt tokens that this daemon has sent and that have no first event.
    pub fn backlog(&self) -> u64 {
        self.backlog.get()
    }

    /// Notes a reported load.
    pub fn report(&self, now: Instant, load: Load) {
        self.load.set(Some((now, load)));
        self.since_load.set(0);
    }

    /// Whether nothing at the runner's address accepts connections. Asks twice, for a packet may be
    /// lost.
    pub async fn is_gone(&self) -> bool {
        let address = self.runner.borrow().address;
        for _ in 0..2 {
            match Link::open(address, PROBE_TIME).await {
                Ok(_) => return false,
                Err(LinkFault::Connect(e)) if e.kind() == io::ErrorKind::TimedOut => {}
                Err(_) => return true,
            }
        }
        true
    }

    /// Takes a kept connection that is young enough.
    pub fn take(&self, now: Instant, once: bool) -> Option<Link> {
        let mut idle = self.idle.borrow_mut();
        while let Some(mut kept) = idle.pop() {
            let young = !once || now.duration_since(kept.since) < KEEP_ONCE;
            if now < kept.until && young && !kept.link.is_stale() {
                return Some(kept.link);
            }
        }
        None
    }

    /// Keeps a connection for another request.
    pub fn keep(&self, now: Instant, link: Link, idle: Option<Duration>) {
        let time = idle.map_or(KEEP, |t| t.mul_f64(KEEP_PART));
        self.idle.borrow_mut().push(Idle {
            link,
            since: now,
            until: now + time,
        });
    }

    /// Closes kept connections whose time has passed.
    pub fn sweep(&self, now: Instant) {
        self.idle.borrow_mut().retain(|kept| now < kept.until);
    }

    /// Counts a request as sent to the runner until the guard is dropped.
    pub fn enter(self: &Rc<Self>, prompt: u64) -> Flight {
        self.flying.set(self.flying.get() + 1);
        self.since_load.set(self.since_load.get() + 1);
        self.backlog.set(self.backlog.get() + prompt);
        Flight {
            upstream: Rc::clone(self),
            prompt,
        }
    }
}

/// Counts one request at a runner.
pub struct Flight {
    upstream: Rc<Upstream>,
    prompt: u64,
}

impl Flight {
    /// Notes that the prompt has been read.
    pub fn first_event(&mut self) {
        let upstream = &self.upstream;
        upstream.backlog.set(upstream.backlog.get() - self.prompt);
        self.prompt = 0;
    }
}

impl Drop for Flight {
    fn drop(&mut self) {
        self.first_event();
        let upstream = &self.upstream;
        upstream.flying.set(upstream.flying.get() - 1);
        upstream.since_load.set(upstream.since_load.get() - 1);
    }
}
