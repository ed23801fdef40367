//! The choice of a runner, against hot prefixes, slow runners and reports that lag.

use std::hash::{
    DefaultHasher,
    Hash,
    Hasher, //
};

/// Prompt tokens that one request at a runner costs the others there: the tokens of a batch step
/// that a running request delays.
const RUNNING_TOKENS: f64 = 50.0;

/// Prompt tokens that a waiting request stands for. Reports are old when they arrive and all daemons
/// read the same ones, so they count for less than the mean prompt.
const WAITING_TOKENS: f64 = 1000.0;

/// Score of a plain service whose places are all taken.
const FULL_TOKENS: f64 = 4000.0;

/// Weight of the prompt tokens that this daemon has sent and that have no first event yet; other
/// daemons send there too, but their backlog is not known.
const BACKLOG_WEIGHT: f64 = 2.0;

/// Part of the shared tokens that the runner preferred by all daemons is assumed to hold, and the
/// next one.
const AFFINITY_PARTS: [f64; 2] = [1.0, 0.4];

/// Prompt tokens that an engine reads in a millisecond, from the users' sheet.
const PREFILL_TOKENS_PER_MS: f64 = 64.0;

/// Weight of the time to the first event, beside the tokens that are read again.
const TIME_WEIGHT: f64 = 0.3;

/// Part of the objective up to which the time to the first event counts little.
const EASY_PART: f64 = 0.5;

/// Weight of the time beyond that.
const LATE_WEIGHT: f64 = 3.0;

/// Score of a runner that fails all of its requests, in prompt tokens.
const FAILING_TOKENS: f64 = 60_000.0;

/// Score of a runner that is silent or can't be reached.
const SUSPECT_TOKENS: f64 = 1.0e9;

/// Score of a runner in another data centre.
const REMOTE_TOKENS: f64 = 60.0;

/// One part of a prompt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PromptPart {
    /// Id of the part.
    pub id: u64,
    /// Size in tokens.
    pub tokens: u32,
}

/// What the request brings.
#[derive(Clone, Copy, Debug, Default)]
pub struct RequestNeeds {
    /// Prompt tokens.
    pub prompt_tokens: u64,
    /// Tokens of the parts that other requests share.
    pub shared_tokens: u64,
    /// Time within which the first event is worth most, in milliseconds.
    pub objective_ms: f64,
}

/// What is known of a runner.
#[derive(Clone, Copy, Debug, Default)]
pub struct Candidate {
    /// Rank among all runners for the request's shared parts, 0 first.
    pub affinity_rank: usize,
    /// Tokens of the request's shared parts that this daemon has sent there lately.
    pub cached_tokens: u64,
    /// Requests running there: the last report, and what this daemon has sent since.
    pub running: f64,
    /// Requests waiting there by the last report.
    pub waiting: f64,
    /// Requests that run at once.
    pub slots: u32,
    /// Prompt tokens that this daemon has sent and that have no first event.
    pub backlog_tokens: u64,
    /// Share of failed requests, 0 to 1, recent ones first.
    pub failure_rate: f64,
    /// Whether it is silent or can't be reached.
    pub suspect: bool,
    /// Whether this daemon may open no more requests there.
    pub full: bool,
    /// Whether the request has been there, or another runner answers at the address.
    pub tried: bool,
    /// Whether it is in another data centre.
    pub remote: bool,
}

/// Score of an engine: the tokens that it reads, and the time to the first event.
fn engine_score(c: &Candidate, demand: &RequestNeeds) -> f64 {
    let part = AFFINITY_PARTS.get(c.affinity_rank).copied().unwrap_or(0.0);
    let warm = (part * demand.shared_tokens as f64)
        .max(c.cached_tokens as f64)
        .min(demand.prompt_tokens as f64);
    let read = demand.prompt_tokens as f64 - warm;
    let over = (c.running - f64::from(c.slots)).max(0.0);
    let ahead = BACKLOG_WEIGHT * c.backlog_tokens as f64
        + RUNNING_TOKENS * c.running
        + WAITING_TOKENS * (c.waiting + over);
    let time = ahead + read;
    let easy = EASY_PART * demand.objective_ms * PREFILL_TOKENS_PER_MS;
    read + TIME_WEIGHT * time + LATE_WEIGHT * (time - easy).max(0.0)
}

fn score(c: &Candidate, demand: &RequestNeeds) -> f64 {
    let mut score = if demand.prompt_tokens > 0 {
        engine_score(c, demand)
    } else {
        FULL_TOKENS * (c.running + c.waiting) / f64::from(c.slots.max(1))
    };
    score += FAILING_TOKENS * c.failure_rate * c.failure_rate;
    if c.remote {
        score += REMOTE_TOKENS;
    }
    if c.suspect {
        score += SUSPECT_TOKENS;
    }
    score
}

/// Index of the runner to send the request to; `None` if none may take it.
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
pub fn select_runner(candidates: &[Candidate], demand: &RequestNeeds, salt: u64) -> Option<usize> {
    let usable = |c: &Candidate| !c.full && !c.tried;
    candidates
        .iter()
        .enumerate()
        .filter(|(_, c)| usable(c))
        .map(|(i, c)| {
            let mut hasher = DefaultHasher::new();
            (salt, i).hash(&mut hasher);
            (i, score(c, demand), hasher.finish())
        })
        .min_by(|a, b| a.1.total_cmp(&b.1).then(a.2.cmp(&b.2)))
        .map(|(i, _, _)| i)
}

/// Weight of the runner `id` for `key`; the runner with the largest weight is preferred by all
/// daemons alike.
pub fn rendezvous_weight(key: u64, id: &str) -> u64 {
    // FNV-1a with a final mix: the same in each build of the daemon.
    let mut hash = 0xcbf2_9ce4_8422_2325_u64 ^ key;
    for byte in id.bytes() {
        hash = (hash ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3);
    }
    hash ^= hash >> 33;
    hash = hash.wrapping_mul(0xff51_afd7_ed55_8ccd);
    hash ^ (hash >> 33)
}
