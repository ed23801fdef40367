//! Choice of the runner for services whose runners report how long work takes at this moment.
//!
//! Daemons that choose at the same moment by the same reports must not agree: each draws a few
//! candidates by their free capacity and takes the one with the lowest cost.

use rand::{
    RngExt,
    SeedableRng,
    rngs::StdRng, //
};

use super::{
    Candidate,
    KnownLoad,
    Learned,
    RequestNeeds,
    Turn, //
};

/// Candidates drawn by free capacity, beside those that may have the prompt in their caches.
const DRAWS: usize = 2;

/// Runners up to which only one is drawn. With two of three, most daemons would choose the same one.
const FEW_RUNNERS: usize = 6;

/// Affinity ranks whose runners are always compared.
const AFFINITY_RANKS: usize = 2;

/// Fraction of the shared tokens that a runner is assumed to have cached, by affinity rank.
const CACHED_FRACTIONS: [f64; AFFINITY_RANKS] = [1.0, 0.4];

/// Age at which a report has about a third (1/e) of its weight, in milliseconds, unless requests take less time.
/// The rest is the mean load of the service, which stands for what other daemons have sent and what has
/// ended since.
const MAX_REPORT_DECAY_MS: f64 = 400.0;

/// Load relative to the mean of the service above which a runner costs more.
const EVEN_LOAD: f64 = 1.05;

/// Cost of a load of twice the mean, in times of the whole request.
const CROWD_WEIGHT: f64 = 4.0;

/// Cost of a request that finds no free slot, in times of the whole request.
const QUEUE_WEIGHT: f64 = 10.0;

/// Cost of the time to the first event beyond half of the objective, relative to that time.
const LATE_WEIGHT: f64 = 3.0;

/// Cost of a runner that fails all of its requests, in times of the whole request.
const FAILURE_WEIGHT: f64 = 20.0;

/// Cost of a runner in another data centre, in times of the whole request.
const REMOTE_WEIGHT: f64 = 0.02;

/// Credit of a runner whose limit allows a request now, in times of the whole request: a turn that is not
/// used is lost.
const TURN_WEIGHT: f64 = 1.0;

/// Cost of a runner that is silent or unreachable, so that it is chosen only if no other is left.
const SUSPECT_WEIGHT: f64 = 1.0e9;

/// Chance of a suspect runner relative to others.
const SUSPECT_CHANCE: f64 = 1.0e-9;

/// Free capacity by which a runner without a free slot is drawn, as a fraction of its slots. It is not 0, because
/// slots become free between two reports, and less for a long queue.
const MIN_FREE: f64 = 0.1;

/// A runner with what is known of its load and speed.
#[derive(Clone, Copy, Debug, Default)]
pub struct LoadedCandidate {
    /// State on which every placement depends.
    pub base: Candidate,
    /// Load by the newest report.
    pub known: Option<KnownLoad>,
    /// Own requests there.
    pub own: f64,
    /// Milliseconds to read a prompt token.
    pub token_ms: Learned,
    /// Milliseconds for one request.
    pub work_ms: Learned,
}

/// Means of a service, against which its runners are compared.
struct Means {
    /// Time of one unit of work: a prompt token or a request.
    unit_ms: f64,
    /// Load per slot.
    load: f64,
    /// Age at which a report has about a third of its weight, in milliseconds.
    decay_ms: f64,
}

/// What the choice needs of one runner.
struct Estimate {
    index: usize,
    /// Requests there.
    load: f64,
    /// Requests that it runs at once, corrected by its speed relative to the mean.
    capacity: f64,
    /// Time of one unit of work at this moment, in milliseconds.
    unit_ms: f64,
    /// Chance to be drawn.
    chance: f64,
}

/// Time of one unit of work that was learned for a runner.
fn learned(c: &LoadedCandidate, needs: &RequestNeeds) -> Learned {
    match needs.prompt_tokens {
        0 => c.work_ms,
        _ => c.token_ms,
    }
}

/// Weight of a report by its age. A queue lasts longer than the requests that run.
fn report_weight(c: &LoadedCandidate, known: &KnownLoad, decay_ms: f64) -> f64 {
    let slots = f64::from(c.base.slots.max(1));
    let rounds = ((known.running + known.waiting) / slots).max(1.0);
    (-known.age.as_secs_f64() * 1000.0 / (decay_ms * rounds)).exp()
}

/// Mean of what was learned for all candidates; `None` if nothing was.
fn mean_of(values: impl Iterator<Item = Learned>) -> Option<f64> {
    let (mut sum, mut weight) = (0.0, 0.0);
    for learned in values {
        // The root keeps one much used runner from standing for all.
        sum += learned.value * learned.weight.sqrt();
        weight += learned.weight.sqrt();
    }
    (weight > 0.0).then(|| sum / weight)
}

/// Means over all candidates, weighted by what is known of each.
fn means(candidates: &[LoadedCandidate], needs: &RequestNeeds) -> Means {
    let work_ms = mean_of(candidates.iter().map(|c| c.work_ms));
    let decay_ms = work_ms.map_or(MAX_REPORT_DECAY_MS, |ms| ms.clamp(1.0, MAX_REPORT_DECAY_MS));
    let (mut load, mut slots) = (0.0, 0.0);
    for c in candidates {
        if let Some(known) = &c.known {
            let w = report_weight(c, known, decay_ms);
            load += w * (known.running + known.waiting);
            slots += w * f64::from(c.base.slots.max(1));
        }
    }
    Means {
        unit_ms: mean_of(candidates.iter().map(|c| learned(c, needs))).unwrap_or(1.0),
        load: if slots > 0.0 { load / slots } else { 0.0 },
        decay_ms,
    }
}

/// Estimates load, speed and free capacity of one runner.
fn estimate(index: usize, c: &LoadedCandidate, needs: &RequestNeeds, means: &Means) -> Estimate {
    let slots = f64::from(c.base.slots.max(1));
    let mean_load = means.load * slots;
    let (load, percent) = match &c.known {
        Some(known) => {
            let w = report_weight(c, known, means.decay_ms);
            let load = w * (known.running + known.waiting) + (1.0 - w) * mean_load;
            (load, w * f64::from(known.percent) + (1.0 - w) * 100.0)
        }
        None => (mean_load, 100.0),
    };
    let load = load.max(c.own);
    let unit_ms = learned(c, needs).blend(means.unit_ms) * percent.max(1.0) / 100.0;
    let capacity = slots * (means.unit_ms / unit_ms.max(f64::MIN_POSITIVE)).clamp(0.05, 4.0);
    let over = (load - slots).max(0.0) / slots;
    let soon = MIN_FREE / (1.0 + over).powi(2);
    let free = (((slots - load) / slots).max(0.0) + soon) * capacity;
    let health = (1.0 - c.base.failure_rate).max(0.01);
    let mut chance = free * health;
    if c.base.suspect {
        chance *= SUSPECT_CHANCE;
    }
    Estimate {
        index,
        load,
        capacity,
        unit_ms,
        chance,
    }
}

/// Prompt tokens that the runner has to read for the request.
fn unread_tokens(c: &Candidate, needs: &RequestNeeds) -> f64 {
    let fraction = CACHED_FRACTIONS
        .get(c.affinity_rank)
        .copied()
        .unwrap_or(0.0);
    let cached = (fraction * needs.shared_tokens as f64).max(c.cached_tokens as f64);
    (needs.prompt_tokens as f64 - cached).max(0.0)
}

/// Cost of sending the request to a runner, in times of the whole request at the mean speed.
fn cost(e: &Estimate, c: &LoadedCandidate, needs: &RequestNeeds, means: &Means) -> f64 {
    let slots = f64::from(c.base.slots.max(1));
    let queued = (e.load + 1.0 - slots).max(0.0);
    let speed = e.unit_ms / means.unit_ms.max(f64::MIN_POSITIVE);
    let mut cost = if needs.prompt_tokens > 0 {
        let prompt = needs.prompt_tokens as f64;
        let unread = unread_tokens(&c.base, needs);
        let wait = c.base.backlog_tokens as f64 + unread + queued * prompt;
        let late = (wait * e.unit_ms - needs.objective_ms / 2.0).max(0.0);
        let late_units = match learned(c, needs).weight > 0.0 {
            true => late / means.unit_ms.max(f64::MIN_POSITIVE),
            false => 0.0,
        };
        // What the runner reads for this request delays the others that it runs by the same time.
        ((unread + wait) * speed + LATE_WEIGHT * late_units) / prompt
    } else {
        speed * (1.0 + queued / slots)
    };
    if queued > 0.0 {
        cost += QUEUE_WEIGHT * queued / slots;
    }
    let even = (means.load * slots).max(1.0) / slots;
    let relative = (e.load + 1.0) / e.capacity / even;
    cost += CROWD_WEIGHT * (relative - EVEN_LOAD).max(0.0);
    cost += FAILURE_WEIGHT * c.base.failure_rate * c.base.failure_rate;
    if c.base.remote {
        cost += REMOTE_WEIGHT;
    }
    if c.base.turn == Turn::Ready {
        cost -= TURN_WEIGHT;
    }
    if c.base.suspect {
        cost += SUSPECT_WEIGHT;
    }
    cost
}

/// Draws one of the runners by its chance and removes it.
fn draw(estimates: &mut Vec<Estimate>, rng: &mut StdRng) -> Option<Estimate> {
    let total: f64 = estimates.iter().map(|e| e.chance).sum();
    let mut point = rng.random::<f64>() * total;
    let found = estimates.iter().position(|e| {
        point -= e.chance;
        point < 0.0
    });
    let last = estimates.len().checked_sub(1)?;
    Some(estimates.swap_remove(found.unwrap_or(last)))
}

/// Index of the runner to which the request goes; `None` if no runner may get it. Daemons with different
/// `seed` choose differently by the same figures.
///
/// # Examples
///
/// ```
/// use std::time::Duration;
/// use cuminloom_edge::decide::{Candidate, KnownLoad, LoadedCandidate, RequestNeeds, select_even};
///
/// let known = |running| LoadedCandidate {
///     base: Candidate { slots: 6, ..Candidate::default() },
///     known: Some(KnownLoad { running, waiting: 0.0, percent: 100, age: Duration::ZERO }),
///     ..LoadedCandidate::default()
/// };
/// assert_eq!(select_even(&[known(6.0), known(0.0)], &RequestNeeds::default(), 0), Some(1));
/// ```
pub fn select_even(
    candidates: &[LoadedCandidate],
    needs: &RequestNeeds,
    seed: u64,
) -> Option<usize> {
    let means = means(candidates, needs);
    let usable = |c: &Candidate| !c.full && !c.tried && c.has_turn();
    let (mut compared, mut others): (Vec<Estimate>, Vec<Estimate>) = candidates
        .iter()
        .enumerate()
        .filter(|(_, c)| usable(&c.base))
        .map(|(i, c)| estimate(i, c, needs, &means))
        .partition(|e| may_have_cached(&candidates[e.index].base, needs));
    let mut rng = StdRng::seed_from_u64(seed);
    let draws = if others.len() > FEW_RUNNERS { DRAWS } else { 1 };
    for _ in 0..draws {
        compared.extend(draw(&mut others, &mut rng));
    }
    compared
        .iter()
        .map(|e| (e.index, cost(e, &candidates[e.index], needs, &means)))
        .min_by(|a, b| a.1.total_cmp(&b.1))
        .map(|(index, _)| index)
}

/// Whether the runner may have parts of the prompt in its cache, or a turn that only this daemon can use.
fn may_have_cached(c: &Candidate, needs: &RequestNeeds) -> bool {
    let preferred = needs.shared_tokens > 0 && c.affinity_rank < AFFINITY_RANKS;
    preferred || c.cached_tokens > 0 || c.turn == Turn::Ready
}
