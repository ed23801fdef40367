//! Which neighbour is asked to serve a request that this daemon can't, against all daemons that choose the same one and
//! against neighbours that are asked again and again although they can't either.

use std::{
    collections::HashMap,
    net::SocketAddr,
    time::{
        Duration,
        Instant, //
    },
};

use super::rendezvous_weight;

/// Neighbours that are asked for one request.
pub const MAX_ASKED: usize = 3;

/// Open requests of other daemons that one takes at most, for each thousandth of a core.
const TAKEN_PER_CAPACITY: u32 = 1;

/// Open requests of other daemons that each daemon takes.
const MIN_TAKEN: u32 = 16;

/// Time for which a neighbour is not asked after it has declined for want of a path; doubled with each further time.
const LOST_REST: Duration = Duration::from_millis(500);

/// Time for which a neighbour is not asked after it has declined for want of room.
const BUSY_REST: Duration = Duration::from_millis(200);

/// Longest time for which a neighbour is not asked.
const MAX_REST: Duration = Duration::from_secs(4);

/// Time for which a neighbour that has taken a request is likely to take another one.
const HELPFUL_TIME: Duration = Duration::from_secs(10);

/// Most open requests of other daemons that a daemon with `capacity` thousandths of a core takes, so that its own callers
/// are served first.
///
/// # Examples
///
/// ```
/// use cuminloom_edge::decide::max_taken;
///
/// assert!(max_taken(500) > max_taken(90));
/// assert!(max_taken(0) > 0);
/// ```
pub fn max_taken(capacity: u32) -> u32 {
    (capacity * TAKEN_PER_CAPACITY).max(MIN_TAKEN)
}

/// How far away a neighbour is.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Distance {
    /// In the same data centre.
    DataCentre,
    /// In the same region.
    Region,
}

/// A daemon that can be asked.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Neighbour {
    /// Address for other daemons.
    pub address: SocketAddr,
    /// How far away it is.
    pub distance: Distance,
    /// Processor share of its VM, in thousandths of a core.
    pub capacity: u32,
}

/// What came of asking a neighbour.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AskOutcome {
    /// It took the request.
    Taken,
    /// It does not reach the runners either, or is stopping.
    Lost,
    /// It has no room.
    Busy,
    /// It could not be reached.
    Unreachable,
}

impl AskOutcome {
    /// Name in log lines and metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            AskOutcome::Taken => "taken",
            AskOutcome::Lost => "lost",
            AskOutcome::Busy => "busy",
            AskOutcome::Unreachable => "unreachable",
        }
    }
}

/// A neighbour that is not asked for a while.
#[derive(Clone, Copy, Debug)]
struct Rest {
    until: Instant,
    /// Time for which the next failure keeps it from being asked.
    next: Duration,
    /// Whether it lacked a path, rather than room.
    lost: bool,
}

/// A neighbour that may be asked for a request.
#[derive(Clone, Copy, Debug)]
struct Ranked {
    distance: Distance,
    score: f64,
    address: SocketAddr,
}

/// Chooses neighbours.
///
/// # Examples
///
/// ```
/// use std::time::Instant;
/// use cuminloom_edge::decide::{AskOutcome, Distance, Neighbour, Neighbours};
///
/// let now = Instant::now();
/// let known = [1, 2].map(|port| Neighbour {
///     address: ([127, 0, 0, 1], port).into(),
///     distance: Distance::DataCentre,
///     capacity: 250,
/// });
/// let mut neighbours = Neighbours::default();
/// let first = neighbours.order(7, &known, now)[0];
/// neighbours.record(first, AskOutcome::Lost, now);
/// assert_ne!(neighbours.order(7, &known, now), [first]);
/// ```
#[derive(Debug, Default)]
pub struct Neighbours {
    resting: HashMap<SocketAddr, Rest>,
    /// Times at which neighbours that have had a path since took a request.
    taken_at: HashMap<SocketAddr, Instant>,
}

impl Neighbours {
    /// Neighbours to ask for the request with the hash `request`, best first: the nearest ones, each in proportion to its
    /// capacity. Those that failed recently are left out.
    ///
    /// Of those that had no path when they were asked last, one is asked at most. Unless one of the own data centre has
    /// taken a request lately, the second one is of another, as all VMs of one may be partitioned. One that is asked has taken
    /// a request lately, if there is one.
    pub fn order(&self, request: u64, known: &[Neighbour], now: Instant) -> Vec<SocketAddr> {
        let mut ranked = self.rank(request, known, now);
        let mut lost = 0;
        ranked.retain(|n| {
            lost += usize::from(self.was_lost(n.address));
            lost <= 1 || !self.was_lost(n.address)
        });
        if ranked.len() > MAX_ASKED {
            self.mix(&mut ranked, now);
        }
        ranked.truncate(MAX_ASKED);
        ranked.into_iter().map(|n| n.address).collect()
    }

    /// All that may be asked, best first.
    fn rank(&self, request: u64, known: &[Neighbour], now: Instant) -> Vec<Ranked> {
        let is_resting = |a: &SocketAddr| self.resting.get(a).is_some_and(|r| now < r.until);
        let awake = known.iter().filter(|n| !is_resting(&n.address));
        let ranked = awake.map(|n| Ranked {
            distance: n.distance,
            score: score(request, n),
            address: n.address,
        });
        let mut ranked: Vec<Ranked> = ranked.collect();
        ranked.sort_unstable_by(|a, b| {
            let nearer = a.distance.cmp(&b.distance);
            nearer.then(a.score.total_cmp(&b.score))
        });
        ranked
    }

    /// Moves one of another data centre, and one that has taken a request lately, to the places of those that are asked.
    fn mix(&self, ranked: &mut [Ranked], now: Instant) {
        let helps = |n: &Ranked| {
            let taken = self.taken_at.get(&n.address);
            taken.is_some_and(|at| now.saturating_duration_since(*at) < HELPFUL_TIME)
        };
        let is_far = |n: &Ranked| n.distance > Distance::DataCentre;
        let near_helps = ranked.iter().any(|n| helps(n) && !is_far(n));
        let far = ranked.iter().position(is_far).filter(|_| !near_helps);
        if let Some(far) = far.filter(|far| *far > 1) {
            ranked.swap(1, far);
        }
        let helpful = ranked.iter().position(helps);
        if let Some(helpful) = helpful.filter(|helpful| *helpful >= MAX_ASKED) {
            ranked.swap(MAX_ASKED - 1, helpful);
        }
    }

    /// Whether the neighbour had no path when it was asked last.
    fn was_lost(&self, address: SocketAddr) -> bool {
        self.resting.get(&address).is_some_and(|r| r.lost)
    }

    /// Records what came of asking the neighbour at `address`.
    pub fn record(&mut self, address: SocketAddr, outcome: AskOutcome, now: Instant) {
        let rest = match outcome {
            AskOutcome::Taken => {
                self.resting.remove(&address);
                self.taken_at.insert(address, now);
                return;
            }
            AskOutcome::Busy => BUSY_REST,
            AskOutcome::Lost | AskOutcome::Unreachable => {
                self.taken_at.remove(&address);
                let old = self.resting.get(&address);
                old.map_or(LOST_REST, |r| r.next)
            }
        };
        // Several requests that were under way may fail at the same time.
        if self.resting.get(&address).is_some_and(|r| now < r.until) {
            return;
        }
        let rest = Rest {
            until: now + rest,
            next: (rest * 2).min(MAX_REST),
            lost: outcome != AskOutcome::Busy,
        };
        self.resting.insert(address, rest);
    }

    /// Forgets neighbours that have not been asked for long.
    pub fn prune(&mut self, now: Instant) {
        self.resting.retain(|_, rest| now < rest.until + MAX_REST);
        let is_recent = |at: &Instant| now.saturating_duration_since(*at) < HELPFUL_TIME;
        self.taken_at.retain(|_, at| is_recent(at));
    }
}

/// Score of a neighbour for a request, the smallest first: each gets a share in proportion to its capacity (weighted
/// rendezvous).
fn score(request: u64, neighbour: &Neighbour) -> f64 {
    let hash = rendezvous_weight(request, &neighbour.address.to_string());
    // Uniform in (0, 1].
    let uniform = (hash as f64 + 1.0) / (u64::MAX as f64 + 1.0);
    -uniform.ln() / f64::from(neighbour.capacity.max(1))
}
