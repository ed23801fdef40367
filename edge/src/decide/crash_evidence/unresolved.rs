//! Requests that runners may still run although nobody waits for their answers.
//!
//! Load pattern: a request makes its runners hang and crashes them later, and its caller has left or its deadline has
//! passed by then, while many sound requests are left at the same runners.

use std::{
    cmp::Reverse,
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

use serde::{
    Deserialize,
    Serialize, //
};

use super::{
    FleetTime,
    RunnerKey,
    Suspect, //
};

/// Shortest time for which a request that was given up is remembered.
const MIN_TIME: Duration = Duration::from_secs(10);

/// Time after its deadline for which it is remembered. A runner stops work at the deadline.
const OVERTIME: Duration = Duration::from_secs(2);

/// Requests that are remembered for one runner.
const MAX_PER_RUNNER: usize = 32;

/// Requests that are remembered for all runners.
const MAX_REQUESTS: usize = 2048;

/// Requests in one report.
const MAX_REPORTED: usize = 64;

/// Runners of which it is remembered that they have ended.
const MAX_ENDED: usize = 64;

/// A request that was given up after it had been sent to a runner.
#[derive(Clone, Debug)]
pub struct UnresolvedRequest {
    /// Id of the attempt, for the log.
    pub id: Arc<str>,
    /// What may crash the runner.
    pub suspects: Vec<Suspect>,
    /// Time at which it was given up.
    pub left_at: Instant,
    /// Time until which the runner may run it.
    pub until: Instant,
}

impl UnresolvedRequest {
    /// A request that is given up at `now`; its runner was given `deadline`.
    pub fn new(
        id: &Arc<str>,
        suspects: &[Suspect],
        now: Instant,
        deadline: Instant,
    ) -> UnresolvedRequest {
        UnresolvedRequest {
            id: Arc::clone(id),
            suspects: suspects.to_vec(),
            left_at: now,
            until: (now + MIN_TIME).max(deadline + OVERTIME),
        }
    }
}

/// A request that was given up, as a daemon that stops tells of it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct UnresolvedReport {
    /// The runner.
    #[serde(rename = "k")]
    pub runner: RunnerKey,
    /// What may crash the runner.
    #[serde(rename = "s")]
    pub suspects: Vec<Suspect>,
    /// Time until which the runner may run it.
    #[serde(rename = "u")]
    pub until: FleetTime,
}

/// Requests that were given up after they had been sent, by runner. They outlive their callers: if the runner ends
/// while it may still run them, each of them may be the cause.
///
/// # Examples
///
/// ```
/// use std::time::{Duration, Instant};
/// use cuminloom_edge::decide::{Suspect, UnresolvedRequest, UnresolvedRequests};
///
/// let now = Instant::now();
/// let mut unresolved = UnresolvedRequests::default();
/// let deadline = now + Duration::from_secs(1);
/// let request = UnresolvedRequest::new(&"r-1".into(), &[Suspect::Request(7)], now, deadline);
/// assert!(unresolved.add(3, request).is_none());
/// assert_eq!(unresolved.take(3, now + Duration::from_secs(4)).len(), 1);
/// assert!(unresolved.is_empty());
/// ```
#[derive(Debug, Default)]
pub struct UnresolvedRequests {
    by_runner: HashMap<RunnerKey, VecDeque<UnresolvedRequest>>,
    count: usize,
    /// Runners that have ended lately.
    ended: VecDeque<RunnerKey>,
}

impl UnresolvedRequests {
    /// Whether there are none.
    pub fn is_empty(&self) -> bool {
        self.count == 0
    }

    /// Adds a request that was given up at `runner`. One that is there already is replaced. Returns it if the runner is
    /// known to have ended.
    pub fn add(
        &mut self,
        runner: RunnerKey,
        request: UnresolvedRequest,
    ) -> Option<UnresolvedRequest> {
        if self.ended.contains(&runner) {
            return Some(request);
        }
        let requests = self.by_runner.entry(runner).or_default();
        let before = requests.len();
        requests.retain(|r| r.suspects != request.suspects);
        if requests.len() >= MAX_PER_RUNNER {
            requests.pop_front();
        }
        requests.push_back(request);
        self.count = self.count + requests.len() - before;
        if self.count > MAX_REQUESTS {
            self.make_room();
        }
        None
    }

    /// Drops the oldest request of the runner that has most.
    fn make_room(&mut self) {
        let fullest = self.by_runner.values_mut().max_by_key(|r| r.len());
        if fullest.and_then(VecDeque::pop_front).is_some() {
            self.count -= 1;
        }
    }

    /// Drops the requests that no runner runs any more, and returns the runners that may run others.
    pub fn watched(&mut self, now: Instant) -> Vec<RunnerKey> {
        for requests in self.by_runner.values_mut() {
            requests.retain(|r| now < r.until);
        }
        self.by_runner.retain(|_, requests| !requests.is_empty());
        self.count = self.by_runner.values().map(VecDeque::len).sum();
        self.by_runner.keys().copied().collect()
    }

    /// Removes and returns the requests that `runner` may have run when it ended at `now`.
    pub fn take(&mut self, runner: RunnerKey, now: Instant) -> Vec<UnresolvedRequest> {
        if !self.ended.contains(&runner) {
            self.ended.push_back(runner);
            let surplus = self.ended.len().saturating_sub(MAX_ENDED);
            self.ended.drain(..surplus);
        }
        let Some(mut requests) = self.by_runner.remove(&runner) else {
            return Vec::new();
        };
        self.count -= requests.len();
        requests.retain(|r| now < r.until);
        requests.into()
    }

    /// The newest requests, for the other daemons; `time` is the store's time at `now`.
    pub fn reports(&self, now: Instant, time: FleetTime) -> Vec<UnresolvedReport> {
        let each = |(runner, requests): (&RunnerKey, &VecDeque<UnresolvedRequest>)| {
            let runner = *runner;
            let open: Vec<_> = requests.iter().filter(|r| now < r.until).cloned().collect();
            open.into_iter().map(move |request| (runner, request))
        };
        let mut list: Vec<_> = self.by_runner.iter().flat_map(each).collect();
        list.sort_by_key(|(_, request)| Reverse(request.left_at));
        list.truncate(MAX_REPORTED);
        let report = |(runner, request): (RunnerKey, UnresolvedRequest)| UnresolvedReport {
            runner,
            suspects: request.suspects,
            until: time + request.until.saturating_duration_since(now).as_millis() as u64,
        };
        list.into_iter().map(report).collect()
    }
}
