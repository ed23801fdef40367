//! Model of an engine that reads prompts one after another and caches their shared parts.

use std::collections::{
    HashMap,
    VecDeque, //
};

/// Prefill rate of an engine, in prompt tokens per millisecond; from the users' workload description.
const PREFILL_PER_MS: f64 = 64.2;

/// Time for which an unused prompt part stays in the cache.
const CACHE_TTL_MS: u64 = 60_000;

/// Age of load reports when they reach a daemon; from the users' workload description.
pub(crate) const REPORT_DELAY_MS: u64 = 200;

/// A queued request; `request` is its index.
#[derive(Clone, Copy, Debug)]
struct Job {
    request: usize,
    tokens_left: f64,
}

/// State of one engine.
#[derive(Clone, Debug, Default)]
pub(crate) struct Engine {
    /// Requests whose prompts are not read completely, in order.
    queue: VecDeque<Job>,
    /// End time of each request that streams its response.
    running_until: Vec<u64>,
    /// Cached subjects, with the time of their last use.
    cache: HashMap<u64, u64>,
    /// Times with the numbers of running and queued requests; the oldest is the one daemons see.
    reports: VecDeque<(u64, usize, usize)>,
    /// Tokens of shared parts that were read although another engine had them cached.
    pub(crate) reread_tokens: u64,
}

impl Engine {
    /// Whether the shared part of `subject` is cached at `now`.
    pub(crate) fn has_cached(&self, subject: u64, now: u64) -> bool {
        self.cache
            .get(&subject)
            .is_some_and(|at| now.saturating_sub(*at) < CACHE_TTL_MS)
    }

    /// Adds a request to the queue. `cached_elsewhere` says that an engine has its shared part cached.
    pub(crate) fn enqueue(
        &mut self,
        request: usize,
        subject: u64,
        shared_tokens: u64,
        own_tokens: u64,
        cached_elsewhere: bool,
        now: u64,
    ) {
        let is_cached = self.has_cached(subject, now);
        let prompt_tokens = if is_cached {
            own_tokens
        } else {
            own_tokens + shared_tokens
        };
        if !is_cached && cached_elsewhere {
            self.reread_tokens += shared_tokens;
        }
        self.cache.insert(subject, now);
        self.queue.push_back(Job {
            request,
            tokens_left: prompt_tokens as f64,
        });
    }

    /// Simulates one millisecond. Returns the requests that have sent their first event; `stream_ms` gives
    /// the time for which a request then streams.
    pub(crate) fn advance(&mut self, now: u64, stream_ms: impl Fn(usize) -> u64) -> Vec<usize> {
        let mut budget = PREFILL_PER_MS;
        let mut done = Vec::new();
        while budget > 0.0 {
            let Some(job) = self.queue.front_mut() else {
                break;
            };
            let tokens = job.tokens_left.min(budget);
            job.tokens_left -= tokens;
            budget -= tokens;
            if job.tokens_left <= 0.0 {
                done.push(job.request);
                self.running_until.push(now + stream_ms(job.request));
                self.queue.pop_front();
            }
        }
        self.running_until.retain(|end| *end > now);
        self.reports
            .push_back((now, self.running_until.len(), self.queue.len()));
        while self.reports.len() as u64 > REPORT_DELAY_MS {
            self.reports.pop_front();
        }
        done
    }

    /// Running and queued requests by the newest report that has reached the daemons.
    pub(crate) fn report(&self) -> (usize, usize) {
        self.reports.front().map_or((0, 0), |(_, r, w)| (*r, *w))
    }
}
