//! Where requests may go while runners are brittle: such a runner falls over if it has to turn too many away in a
//! second, counted over all daemons.
//!
//! A request goes only where a place is known to be free, or where this daemon's turn to try has come. The turns of all
//! daemons together stay within what the runner bears.

use std::{
    collections::{
        HashMap,
        VecDeque, //
    },
    sync::Arc,
    time::{
        Duration,
        Instant, //
    },
};

use super::{
    CautiousLoad,
    FleetTime, //
};

/// Time after which a service is no longer brittle if no answer has said so.
const BRITTLE_TTL: Duration = Duration::from_secs(30);

/// Time after the last answer that said so from which one that doesn't ends it: answers cross each other.
const END_DELAY: Duration = Duration::from_millis(500);

/// Time for which places are scarce after a request found none.
const SCARCE_TIME: Duration = Duration::from_secs(1);

/// Least and longest time for which a place that an own request has left is kept for the next one.
const MIN_HOLD: Duration = Duration::from_millis(20);
const MAX_HOLD: Duration = Duration::from_millis(250);

/// Time for which a runner that has turned a request away gets none, but for places that own requests leave.
const REST: Duration = Duration::from_secs(1);

/// Part of the refusals that a runner bears which daemons risk together, by their probabilities.
const RISK_SHARE: f64 = 0.2;

/// What a runner that bears no refusal counts for, or it would get no request after it was silent.
const LEAST_BORNE: f64 = 0.25;

/// Time for which a daemon saves what it may risk.
const CREDIT_TIME: Duration = Duration::from_secs(1);

/// Time from a report to the arrival of a request that was placed by it, in addition to its age.
const SEND_LAG: Duration = Duration::from_millis(3);

/// Load per slot above which places are shared out.
const HIGH_LOAD: f64 = 0.6;

/// Least standard deviation of a load that is known, in requests.
const MIN_SPREAD: f64 = 0.3;

/// Least and greatest length of a turn at a runner with known free places: half of the time of a request.
const MIN_TURN_MS: u64 = 15;
const MAX_TURN_MS: u64 = 250;

/// Steps in which the risks of places are compared, as a part of 1.
const RISK_STEPS: f64 = 50.0;

/// Length of a turn at a runner that bears one refusal in a second and of whose places nothing is known.
const BLIND_TURN_MS: f64 = 4000.0;

/// Fraction of the known free places for which there are turns.
const TURN_FRACTION: f64 = 0.5;

/// A service whose runners say that they are brittle.
#[derive(Clone, Copy, Debug)]
struct Service {
    refusals: u32,
    /// Time of the last answer that said so.
    at: Instant,
    scarce_until: Instant,
    /// Requests that wait for a place.
    waiting: usize,
    /// Refusals that this daemon may still cause, by their probabilities, at `updated`.
    credit: f64,
    updated: Instant,
}

/// Services whose runners say that they are brittle. What one runner says holds for all of its service.
///
/// # Examples
///
/// ```
/// use std::{sync::Arc, time::{Duration, Instant}};
/// use cuminloom_edge::decide::BrittleServices;
///
/// let now = Instant::now();
/// let desk = Arc::from("desk");
/// let mut services = BrittleServices::default();
/// assert!(services.record(&desk, Some(3), now));
/// assert_eq!(services.refusals("desk", now), Some(3));
/// assert!(services.record(&desk, None, now + Duration::from_secs(1)));
/// assert_eq!(services.refusals("desk", now + Duration::from_secs(1)), None);
/// ```
#[derive(Clone, Debug, Default)]
pub struct BrittleServices(HashMap<Arc<str>, Service>);

impl BrittleServices {
    /// Records that an answer of a runner names `refusals`, the most that it can turn away in a second, or none.
    /// Returns whether that changes what is known.
    pub fn record(&mut self, service: &Arc<str>, refusals: Option<u32>, now: Instant) -> bool {
        let known = self.0.get(&**service).copied();
        let Some(refusals) = refusals else {
            let ended = known.is_some_and(|s| now >= s.at + END_DELAY);
            if ended {
                self.0.remove(&**service);
            }
            return ended;
        };
        let changed = self.refusals(service, now) != Some(refusals);
        let entry = Service {
            refusals,
            at: now,
            scarce_until: known.map_or(now, |s| s.scarce_until),
            waiting: known.map_or(0, |s| s.waiting),
            credit: known.map_or(0.0, |s| s.credit),
            updated: known.map_or(now, |s| s.updated),
        };
        self.0.insert(Arc::clone(service), entry);
        changed
    }

    /// Requests that a runner of `service` can turn away in a second; `None` if it is not brittle.
    pub fn refusals(&self, service: &str, now: Instant) -> Option<u32> {
        let known = self.0.get(service).filter(|s| now < s.at + BRITTLE_TTL);
        known.map(|s| s.refusals)
    }

    /// Records that a request of `service` found no place.
    pub fn record_scarce(&mut self, service: &str, now: Instant) {
        if let Some(known) = self.0.get_mut(service) {
            known.scarce_until = now + SCARCE_TIME;
        }
    }

    /// Whether a request of `service` has found no place lately.
    pub fn is_scarce(&self, service: &str, now: Instant) -> bool {
        self.0.get(service).is_some_and(|s| now < s.scarce_until)
    }

    /// Counts a request that waits for a place.
    pub fn enter(&mut self, service: &str) {
        if let Some(known) = self.0.get_mut(service) {
            known.waiting += 1;
        }
    }

    /// Counts a request that no longer waits.
    pub fn leave(&mut self, service: &str) {
        if let Some(known) = self.0.get_mut(service) {
            known.waiting = known.waiting.saturating_sub(1);
        }
    }

    /// Number of requests that wait for a place.
    pub fn waiting(&self, service: &str) -> usize {
        self.0.get(service).map_or(0, |s| s.waiting)
    }

    /// Refusals that this daemon may still cause at the runners of `service`, by their probabilities. All daemons
    /// together may cause a part of what each runner bears.
    pub fn credit(&self, service: &str, runners: usize, members: usize, now: Instant) -> f64 {
        let Some(known) = self.0.get(service) else {
            return 0.0;
        };
        let borne = f64::from(known.refusals).max(LEAST_BORNE);
        let income = borne * RISK_SHARE * runners as f64 / members.max(1) as f64;
        let passed = now.saturating_duration_since(known.updated);
        (known.credit + income * passed.as_secs_f64()).min(income * CREDIT_TIME.as_secs_f64())
    }

    /// Counts a request that is sent with the probability `risk` of being turned away; `credit` is what there was.
    pub fn spend(&mut self, service: &str, credit: f64, risk: f64, now: Instant) {
        if let Some(known) = self.0.get_mut(service) {
            known.credit = credit - risk;
            known.updated = now;
        }
    }
}

/// Why a place at a brittle runner may be used.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Place {
    /// It is probably free: the request is turned away with this probability.
    Free(f64),
    /// An own request has left it.
    Left,
    /// It is this daemon's turn to try.
    Turn,
}

impl Place {
    /// Order in which places are used, the smallest first; those of the same order are alike.
    pub fn order(self, scarce: bool) -> u32 {
        match self {
            Place::Left if scarce => 0,
            Place::Left => 1,
            Place::Free(risk) => 1 + (risk * RISK_STEPS) as u32,
            Place::Turn => u32::MAX,
        }
    }
}

/// What the decision needs of a runner.
#[derive(Clone, Copy, Debug, Default)]
pub struct PlaceView {
    /// Requests that it can turn away in a second.
    pub refusals: u32,
    /// Requests that it runs at once.
    pub slots: u32,
    /// Load by the newest report.
    pub known: Option<CautiousLoad>,
    /// Whether reports come with the ends of requests, and may leave out the one that has just ended.
    pub at_end: bool,
    /// Own requests there.
    pub own: u32,
    /// Load per slot of all runners of the service, by the newest reports.
    pub mean: Option<f64>,
    /// Time that a request takes.
    pub work: Duration,
    /// Own requests that found no place and wait.
    pub waiting: usize,
    /// Whether requests have found no place lately.
    pub scarce: bool,
    /// What this daemon may still spend on risks.
    pub credit: f64,
    /// Number of runners of the service.
    pub runners: usize,
    /// Number of daemons that come before this one at the runner; `None` if it is stopping.
    pub rank: Option<usize>,
    /// Number of daemons.
    pub members: usize,
    /// Time on which all daemons agree.
    pub time: FleetTime,
}

/// Time for which a place that an own request has left is kept for the next one, if a request takes `work`.
pub fn hold_time(work: Duration) -> Duration {
    work.clamp(MIN_HOLD, MAX_HOLD)
}

/// Load per slot of the runners of a service, by the `loads` per slot that are known; `None` if none is. While places
/// are `scarce`, a full runner is added: a few reports may miss the others' requests.
///
/// # Examples
///
/// ```
/// use cuminloom_edge::decide::mean_load;
///
/// assert_eq!(mean_load([0.25, 0.75].into_iter(), false), Some(0.5));
/// assert_eq!(mean_load([0.5].into_iter(), true), Some(0.75));
/// assert_eq!(mean_load([].into_iter(), true), None);
/// ```
pub fn mean_load(loads: impl Iterator<Item = f64>, scarce: bool) -> Option<f64> {
    let (mut sum, mut count) = (0.0, 0.0);
    for load in loads {
        sum += load;
        count += 1.0;
    }
    let full = f64::from(u8::from(scarce));
    (count > 0.0).then(|| (sum + full) / (count + full))
}

impl PlaceView {
    /// Whether many daemons would choose the few free places at once.
    fn is_tight(&self) -> bool {
        self.scarce || self.mean.is_some_and(|mean| mean > HIGH_LOAD)
    }

    /// Load that counts: while places are scarce, one that is free for an instant is about to be taken again.
    fn load(&self) -> Option<f64> {
        let known = self.known?;
        let left_out = f64::from(u8::from(self.at_end));
        match known.peak {
            Some(peak) if self.is_tight() => Some(peak.max(known.load) + left_out),
            _ => Some(known.load),
        }
    }

    /// Probability that the runner has no room: each of the known requests ends within the time of one, and others
    /// come as they do at the other runners.
    fn risk(&self, now_turn: bool) -> f64 {
        let slots = f64::from(self.slots);
        let usual = self.mean.map(|mean| mean * slots);
        let (load, age) = match (self.known, self.load(), usual) {
            (Some(k), Some(load), _) => (load, k.age),
            (.., Some(usual)) => (usual.max(f64::from(self.own)), Duration::MAX),
            _ if f64::from(self.own + 1) * self.members as f64 <= slots => return 0.0,
            _ => return 1.0,
        };
        let usual = usual.unwrap_or(load);
        let rounds = (age + SEND_LAG.min(Duration::MAX - age)).as_secs_f64()
            / self.work.as_secs_f64().max(1e-3);
        let kept = (-rounds).exp();
        let come = usual * (1.0 - kept);
        let rush = match now_turn {
            true => 0.0,
            false => (self.members * self.waiting) as f64 / self.runners.max(1) as f64,
        };
        let mean = load * kept + come + rush;
        let spread = (load * kept * (1.0 - kept) + come + rush).sqrt();
        upper_tail((slots - 0.5 - mean) / spread.max(MIN_SPREAD))
    }

    /// Length of a turn at a runner with known free places, in milliseconds.
    fn turn_ms(&self) -> u64 {
        let half = self.work.as_millis() as u64 / 2;
        half.clamp(MIN_TURN_MS, MAX_TURN_MS)
    }

    /// Number of the turn that this daemon has now by the known free places; `None` if others have it.
    fn known_turn(&self) -> Option<u64> {
        let usual = || self.mean.map(|mean| mean * f64::from(self.slots));
        let load = self
            .load()
            .or_else(|| usual().map(|usual| usual + usual.sqrt()));
        let free = f64::from(self.slots) - load?;
        self.turn(self.turn_ms(), (free * TURN_FRACTION) as u64)
    }

    /// Number of the turn in which this daemon may try without knowing of room.
    fn blind_turn(&self) -> Option<u64> {
        let borne = f64::from(self.refusals).max(LEAST_BORNE);
        self.turn((BLIND_TURN_MS / borne).max(1.0) as u64, 1)
    }

    /// Number of the current turn of `length` milliseconds, if this daemon is one of its `holders`.
    fn turn(&self, length: u64, holders: u64) -> Option<u64> {
        let number = self.time / length;
        let place = (self.rank? as u64 + number) % self.members.max(1) as u64;
        (place < holders).then_some(number)
    }
}

/// Probability that a normal deviate is above `z`, by the logistic approximation.
fn upper_tail(z: f64) -> f64 {
    1.0 / (1.0 + (0.07056 * z.powi(3) + 1.5976 * z).exp())
}

/// What a daemon remembers of its own requests at one runner.
///
/// # Examples
///
/// ```
/// use std::time::Instant;
/// use cuminloom_edge::decide::{CautiousLoad, PlaceView, Places};
///
/// let now = Instant::now();
/// let places = Places::default();
/// let known = |load| Some(CautiousLoad { load, ..CautiousLoad::default() });
/// let view = PlaceView { refusals: 3, slots: 6, credit: 0.1, ..PlaceView::default() };
/// assert_eq!(places.place(&PlaceView { known: known(6.0), ..view }, now), None);
/// assert!(places.place(&PlaceView { known: known(2.0), ..view }, now).is_some());
/// ```
#[derive(Clone, Debug, Default)]
pub struct Places {
    /// Times at which own requests left places that were not used since.
    left: VecDeque<Instant>,
    rests_until: Option<Instant>,
    /// Number of the last turn that was used.
    tried: Option<u64>,
}

impl Places {
    /// Whether a request may go to the runner, and why.
    pub fn place(&self, view: &PlaceView, now: Instant) -> Option<Place> {
        let full = |k: CautiousLoad| k.load + 1.0 > f64::from(view.slots);
        if view.known.is_some_and(full) {
            return None;
        }
        let hold = hold_time(view.work);
        if self.left.back().is_some_and(|at| now < *at + hold) {
            return Some(Place::Left);
        }
        if self.rests_until.is_some_and(|until| now < until) {
            return None;
        }
        let turn = view.known_turn().filter(|turn| self.tried != Some(*turn));
        let risk = view.risk(turn.is_some());
        if risk <= view.credit && (!view.is_tight() || turn.is_some()) {
            return Some(Place::Free(risk));
        }
        let turn = view.blind_turn()?;
        let has_room = view
            .load()
            .is_none_or(|load| load + 1.0 <= f64::from(view.slots));
        (has_room && self.tried != Some(turn)).then_some(Place::Turn)
    }

    /// Counts a request that is about to be sent to `place`.
    pub fn take(&mut self, place: Place, view: &PlaceView) {
        match place {
            Place::Free(_) => self.tried = view.known_turn().or(self.tried),
            Place::Left => {
                self.left.pop_back();
            }
            Place::Turn => self.tried = view.blind_turn(),
        }
    }

    /// Records that a request that the runner had taken has ended.
    pub fn record_end(&mut self, now: Instant) {
        while self.left.front().is_some_and(|at| now >= *at + MAX_HOLD) {
            self.left.pop_front();
        }
        self.left.push_back(now);
    }

    /// Records that the runner has turned a request away. What was known of its places is void.
    pub fn record_refusal(&mut self, now: Instant) {
        self.left.clear();
        self.rests_until = Some(now + REST);
    }

    /// Records that the process of the runner has ended.
    pub fn reset(&mut self) {
        *self = Places::default();
    }
}
