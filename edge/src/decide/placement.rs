//! Choice of the runner for a request, against hot prefixes, slow runners and stale load reports.
//!
//! A score is a cost in prompt tokens; the runner with the lowest score gets the request.

use std::hash::{
    DefaultHasher,
    Hash,
    Hasher, //
};

use super::Turn;

/// Cost of each request that runs at the runner: the prompt tokens by which it delays a batch step
/// of the others.
const RUNNING_TOKENS: f64 = 50.0;

/// Cost of each request that waits at the runner. It is less than the mean prompt, because reports
/// are stale when they arrive and all daemons act on the same ones.
const WAITING_TOKENS: f64 = 1000.0;

/// Cost of a runner whose slots are all taken, for requests without prompt tokens.
const FULL_TOKENS: f64 = 4000.0;

/// Weight of the prompt tokens that this daemon has sent and that have no first event yet. It is
/// above 1 because other daemons send to the runner too and their backlog is not known.
const BACKLOG_WEIGHT: f64 = 2.0;

/// Fraction of the shared tokens that a runner is assumed to hold in its cache, by its affinity
/// rank: the first and the second choice of all daemons.
const AFFINITY_FRACTIONS: [f64; 2] = [1.0, 0.4];

/// Prompt tokens that an engine prefills in a millisecond, as the users state.
const PREFILL_TOKENS_PER_MS: f64 = 64.0;

/// Weight of the time to the first event, relative to the tokens that have to be prefilled.
const TIME_WEIGHT: f64 = 0.3;

/// Fraction of the latency objective up to which the time to the first event has only
/// [`TIME_WEIGHT`].
const EASY_FRACTION: f64 = 0.5;

/// Weight of the time to the first event beyond [`EASY_FRACTION`] of the objective.
const LATE_WEIGHT: f64 = 3.0;

/// Cost of a runner that fails all of its requests; grows with the square of the failure rate.
const FAILURE_TOKENS: f64 = 60_000.0;

/// Cost of a runner that is silent or unreachable, so that it is chosen only if no other is left.
const SUSPECT_TOKENS: f64 = 1.0e9;

/// Cost of a runner in another data centre.
const REMOTE_TOKENS: f64 = 60.0;

/// Credit of a runner whose limit allows a request now: only this daemon can use its share, and a share that is
/// left lying is lost. Less than a large prompt, so that these stay where their parts are.
const TURN_TOKENS: f64 = 3000.0;

/// One part of a prompt. Requests with the same part can share its cache entry at a runner.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PromptPart {
    /// Id of the content.
    pub id: u64,
    /// Size in tokens.
    pub tokens: u32,
}

/// Properties of a request on which the choice of its runner depends.
#[derive(Clone, Copy, Debug, Default)]
pub struct RequestNeeds {
    /// Length of the prompt; 0 for a service that is no engine.
    pub prompt_tokens: u64,
    /// Tokens of the prompt parts that other requests share.
    pub shared_tokens: u64,
    /// Latency objective for the first event, in milliseconds.
    pub objective_ms: f64,
}

/// State of a runner as this daemon knows it.
#[derive(Clone, Copy, Debug, Default)]
pub struct Candidate {
    /// Rank by [`rendezvous_weight`] for the request's shared parts; 0 is the preferred runner.
    pub affinity_rank: usize,
    /// Tokens of the request's shared parts that this daemon has sent there recently, so that the
    /// runner probably has them in its cache.
    pub cached_tokens: u64,
    /// Requests running there: by the last report, plus those that this daemon has sent since.
    pub running: f64,
    /// Requests waiting there, by the last report.
    pub waiting: f64,
    /// Requests that it runs at once.
    pub slots: u32,
    /// Prompt tokens that this daemon has sent and that have no first event yet.
    pub backlog_tokens: u64,
    /// Fraction of failed requests, 0 to 1; recent requests weigh more.
    pub failure_rate: f64,
    /// Whether it is silent or unreachable.
    pub suspect: bool,
    /// Whether this daemon has reached its limit of connections to it.
    pub full: bool,
    /// Whether the request was already sent there, or another runner answers at the address.
    pub tried: bool,
    /// Whether it is in another data centre.
    pub remote: bool,
    /// When it may be sent the next request.
    pub turn: Turn,
}

impl Candidate {
    /// Whether its limit, if it has one, allows a request now.
    pub fn has_turn(&self) -> bool {
        self.turn.is_now()
    }
}

/// Score of an engine: the tokens that it has to prefill, and the time to the first event.
fn engine_score(c: &Candidate, needs: &RequestNeeds) -> f64 {
    let fraction = AFFINITY_FRACTIONS
        .get(c.affinity_rank)
        .copied()
        .unwrap_or(0.0);
    let cached = (fraction * needs.shared_tokens as f64)
        .max(c.cached_tokens as f64)
        .min(needs.prompt_tokens as f64);
    let prefill = needs.prompt_tokens as f64 - cached;
    let over = (c.running - f64::from(c.slots)).max(0.0);
    let ahead = BACKLOG_WEIGHT * c.backlog_tokens as f64
        + RUNNING_TOKENS * c.running
        + WAITING_TOKENS * (c.waiting + over);
    let time = ahead + prefill;
    let allowed = EASY_FRACTION * needs.objective_ms * PREFILL_TOKENS_PER_MS;
    prefill + TIME_WEIGHT * time + LATE_WEIGHT * (time - allowed).max(0.0)
}

/// Score of a runner: its load, plus the costs of failures, distance and silence.
fn score(c: &Candidate, needs: &RequestNeeds) -> f64 {
    let mut score = if needs.prompt_tokens > 0 {
        engine_score(c, needs)
    } else {
        FULL_TOKENS * (c.running + c.waiting) / f64::from(c.slots.max(1))
    };
    score += FAILURE_TOKENS * c.failure_rate * c.failure_rate;
    if c.remote {
        score += REMOTE_TOKENS;
    }
    if c.turn == Turn::Ready {
        score -= TURN_TOKENS;
    }
    if c.suspect {
        score += SUSPECT_TOKENS;
    }
    score
}

/// Index of the runner to which the request goes; `None` if no runner may get it. `salt` breaks
/// ties, so that equal runners are chosen evenly.
///
/// # Examples
///
/// ```
/// use cuminloom_edge::decide::{Candidate, RequestNeeds, select_runner};
///
/// let idle = Candidate { slots: 8, ..Candidate::default() };
/// let busy = Candidate { running: 8.0, ..idle };
/// assert_eq!(select_runner(&[busy, idle], &RequestNeeds::default(), 0), Some(1));
/// ```
pub fn select_runner(candidates: &[Candidate], needs: &RequestNeeds, salt: u64) -> Option<usize> {
    let usable = |c: &Candidate| !c.full && !c.tried && c.has_turn();
    candidates
        .iter()
        .enumerate()
        .filter(|(_, c)| usable(c))
        .map(|(i, c)| {
            let mut hasher = DefaultHasher::new();
            (salt, i).hash(&mut hasher);
            (i, score(c, needs), hasher.finish())
        })
        .min_by(|a, b| a.1.total_cmp(&b.1).then(a.2.cmp(&b.2)))
        .map(|(i, _, _)| i)
}

/// Weight of the runner `id` for `key` in rendezvous hashing: all daemons prefer the runner with
/// the largest weight.
pub fn rendezvous_weight(key: u64, id: &str) -> u64 {
    // FNV-1a with a final mix; unlike `DefaultHasher` it is the same in every build of the daemon.
    let mut hash = 0xcbf2_9ce4_8422_2325_u64 ^ key;
    for byte in id.bytes() {
        hash = (hash ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3);
    }
    hash ^= hash >> 33;
    hash = hash.wrapping_mul(0xff51_afd7_ed55_8ccd);
    hash ^ (hash >> 33)
}
