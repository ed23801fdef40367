//! Engines that read prompts one after another and keep the parts that they have read.

use std::collections::{
    HashMap,
    VecDeque, //
};

/// Prompt tokens that an engine reads in a millisecond, from the users' sheet.
const PREFILL_PER_MS: f64 = 64.2;

/// Time for which a part stays in memory without use, in milliseconds.
const KEPT_MS: u64 = 60_000;

/// Age of reports when they reach a daemon, in milliseconds, from the users' sheet.
pub(crate) const REPORT_MS: u64 = 200;

#[derive(Clone, Copy, Debug)]
struct Job {
    request: usize,
    left: f64,
}

/// One engine.
#[derive(Clone, Debug, Default)]
pub(crate) struct Engine {
    queue: VecDeque<Job>,
    running: Vec<u64>,
    kept: HashMap<u64, u64>,
    reports: VecDeque<(u64, usize, usize)>,
    /// Tokens of shared parts that were read though some engine had them.
    pub(crate) again: u64,
}

impl Engine {
    /// Whether the engine keeps the part `subject`.
    pub(crate) fn keeps(&self, subject: u64, now: u64) -> bool {
        self.kept
            .get(&subject)
            .is_some_and(|at| now.saturating_sub(*at) < KEPT_MS)
    }

    /// Takes a request; `elsewhere` tells that another engine keeps its shared part.
    pub(crate) fn take(
        &mut self,
        request: usize,
        subject: u64,
        shared: u64,
        own: u64,
        elsewhere: bool,
        now: u64,
    ) {
        let warm = self.keeps(subject, now);
        let read = if warm { own } else { own + shared };
        if !warm && elsewhere {
            self.again += shared;
        }
        self.kept.insert(subject, now);
        self.queue.push_back(Job {
            request,
            left: read as f64,
        });
    }

    /// Works for a millisecond. Returns requests whose first event is out.
    pub(crate) fn step(&mut self, now: u64, stream: impl Fn(usize) -> u64) -> Vec<usize> {
        let mut budget = PREFILL_PER_MS;
        let mut done = Vec::new();
        while budget > 0.0 {
            let Some(job) = self.queue.front_mut() else {
                break;
            };
            let part = job.left.min(budget);
            job.left -= part;
            budget -= part;
            if job.left <= 0.0 {
                done.push(job.request);
                self.running.push(now + stream(job.request));
                self.queue.pop_front();
            }
        }
        self.running.retain(|end| *end > now);
        self.reports
            .push_back((now, self.running.len(), self.queue.len()));
        while self.reports.len() as u64 > REPORT_MS {
            self.reports.pop_front();
        }
        done
    }

    /// Requests running and waiting, as the newest report that has arrived tells.
    pub(crate) fn report(&self) -> (usize, usize) {
        self.reports.front().map_or((0, 0), |(_, r, w)| (*r, *w))
    }
}
