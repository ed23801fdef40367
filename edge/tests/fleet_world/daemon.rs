//! Daemons: their evidence, and the rows and queries through which they share it.

use std::{
    collections::HashSet,
    time::{
        Duration,
        Instant, //
    },
};

use cuminloom_edge::{
    catalog::RunnerState,
    decide::{
        Availability,
        CrashEvidence,
        LeavingReport,
        Observations,
        RunnerKey,
        Suspect,
        SuspectReport,
        UnresolvedRequest,
        UnresolvedRequests,
        View, //
    },
    prepaid::{
        Ledger,
        Pacing,
        WriteScope,
        read_interval,
        write_interval, //
    },
};
use rand::RngExt;

use super::{
    PART_RATE,
    Request,
    STEP_MS,
    World, //
};

/// Response time of the store without a queue.
const STORE_MS: u64 = 4;

/// Pause after a call that the store did not answer, and between two queries to other daemons.
const RETRY_MS: u64 = 100;
const QUERY_MS: u64 = 300;

/// Time without a read of the rows after which a daemon asks others, and how many.
const QUERY_AFTER_MS: u64 = 1300;
const QUERIED: usize = 3;

/// What a process knows.
struct State {
    ledger: Ledger,
    evidence: CrashEvidence,
    unresolved: UnresolvedRequests,
    runners: Availability,
}

impl State {
    /// Blames the requests that were given up at `runner`, which has ended.
    fn blame_unresolved(&mut self, runner: RunnerKey, time: u64, instant: Instant) {
        for request in self.unresolved.take(runner, instant) {
            self.evidence
                .record_unresolved_end(&request.suspects, runner, time);
        }
    }

    /// Adds what the daemon `name` has reported. Returns whether the others are to be told soon.
    fn merge_suspects(
        &mut self,
        name: &str,
        reports: &[SuspectReport],
        time: u64,
        instant: Instant,
    ) -> bool {
        let urgent = self.evidence.merge(name, reports, time);
        let ends = reports
            .iter()
            .flat_map(|r| r.ends.iter().chain(&r.late_ends));
        for (runner, _) in ends {
            self.blame_unresolved(*runner, time, instant);
        }
        urgent
    }
}

/// A VM with its daemon.
pub(crate) struct Node {
    name: String,
    zone: String,
    state: Option<State>,
    pub(crate) process: u64,
    restart_at: u64,
    cut_until: u64,
    frozen_until: u64,
    /// Time since which it is without disruption.
    pub(crate) calm_from: u64,
    /// Time of the last begin of a process or end of a freeze, and of the last end of a cut.
    pub(crate) excused_from: u64,
    pub(crate) cut_from: u64,
    /// Time of the last look at the entries of the runners.
    pub(crate) seen_at: u64,
    /// Monotonic clock.
    pub(crate) clock: u64,
    next_write: u64,
    next_read: u64,
    next_query: u64,
    last_read: u64,
    wake: bool,
    pacing: Pacing,
}

impl Node {
    pub(crate) fn new(i: usize, zones: usize) -> Node {
        Node {
            name: format!("vm-{i}"),
            zone: format!("z-{}", i % zones),
            state: None,
            process: 0,
            restart_at: 0,
            cut_until: 0,
            frozen_until: 0,
            calm_from: 0,
            excused_from: 0,
            cut_from: 0,
            seen_at: 0,
            clock: 0,
            next_write: 0,
            next_read: 0,
            next_query: 0,
            last_read: 0,
            wake: false,
            pacing: Pacing::default(),
        }
    }

    pub(crate) fn kill(&mut self, restart_at: u64) {
        self.state = None;
        self.restart_at = restart_at;
        self.calm_from = self.calm_from.max(restart_at);
        self.excused_from = self.excused_from.max(restart_at);
    }

    pub(crate) fn cut(&mut self, until: u64) {
        self.cut_until = self.cut_until.max(until);
        self.calm_from = self.calm_from.max(until);
        self.cut_from = self.cut_from.max(until);
    }

    pub(crate) fn freeze(&mut self, until: u64) {
        self.frozen_until = self.frozen_until.max(until);
        self.calm_from = self.calm_from.max(until);
        self.excused_from = self.excused_from.max(until);
    }

    /// Whether it takes requests.
    pub(crate) fn is_up(&self, now: u64) -> bool {
        self.state.is_some() && now >= self.frozen_until
    }
}

/// Leaving runners that a daemon reports itself: of several, the one with the smallest name does.
fn own_leaving(name: &str, ledger: &Ledger, runners: &Availability) -> Vec<LeavingReport> {
    let before = ledger.peer_rows().filter(|(other, _)| *other < name);
    let reports = before.flat_map(|(_, row)| &row.observed.leaving);
    let reported: HashSet<RunnerKey> = reports.map(|r| r.runner).collect();
    runners.own_leaving(|runner| reported.contains(&runner))
}

/// Rank of a daemon among those that share the limit of `runner`; first of one if each is `alone`.
fn rank_for(
    ledger: &Ledger,
    runner: RunnerKey,
    now: Instant,
    alone: bool,
) -> (Option<usize>, usize) {
    match alone {
        true => (Some(0), 1),
        false => ledger.rank_for(u64::from(runner), now),
    }
}

impl World {
    /// Advances daemon `i` by one step.
    pub(crate) fn step_daemon(&mut self, i: usize) {
        if self.now < self.nodes[i].frozen_until {
            return;
        }
        self.nodes[i].clock += STEP_MS;
        if self.reaches_store(i) {
            self.nodes[i].seen_at = self.now;
        }
        if self.nodes[i].state.is_none() {
            if self.now < self.nodes[i].restart_at {
                return;
            }
            self.start_process(i);
        }
        self.read(i);
        self.write(i);
        self.query(i);
    }

    fn start_process(&mut self, i: usize) {
        self.processes += 1;
        let instant = self.instant(i);
        let node = &mut self.nodes[i];
        let mut ledger = Ledger::new(&node.name, self.processes, None).with_place(&node.zone, 120);
        ledger.mark_exclusive(instant);
        node.state = Some(State {
            ledger,
            evidence: CrashEvidence::default(),
            unresolved: UnresolvedRequests::default(),
            runners: Availability::default(),
        });
        node.process = self.processes;
        (node.next_write, node.next_read, node.wake) = (self.now, self.now, false);
        node.pacing = Pacing::default();
    }

    /// Whether daemon `i` reaches the store.
    fn reaches_store(&self, i: usize) -> bool {
        self.store_answers() && self.now >= self.nodes[i].cut_until
    }

    /// Time on the clock of the store as daemon `i` knows it.
    fn fleet_time(&self, i: usize) -> u64 {
        let instant = self.instant(i);
        let node = &self.nodes[i];
        let state = node.state.as_ref();
        state
            .and_then(|s| s.ledger.store_now(instant))
            .unwrap_or(node.clock)
    }

    fn read(&mut self, i: usize) {
        let (now, instant) = (self.now, self.instant(i));
        if now < self.nodes[i].next_read {
            return;
        }
        if !self.reaches_store(i) {
            self.nodes[i].next_read = now + RETRY_MS;
            return;
        }
        let rows = self.store.rows(now);
        let node = &mut self.nodes[i];
        let State {
            ledger,
            evidence,
            runners,
            ..
        } = node.state.as_mut().unwrap();
        ledger.apply_rows(rows, true, instant, instant);
        let inherited = ledger.take_inherited_observations();
        evidence.restore(&inherited.suspects, now);
        evidence.expire(now);
        let alone = self.faults.unshared;
        let rank = |key| rank_for(ledger, key, instant, alone);
        runners.limits.merge(&inherited.limits, now, instant, rank);
        runners.restore_leaving(&inherited.leaving, instant);
        runners.limits.update_shares(now, instant, rank);
        let shared = !self.faults.unshared;
        let mut reports = Vec::new();
        for (name, row) in ledger.peer_rows().filter(|_| shared) {
            reports.push((name.to_owned(), row.observed.suspects.clone()));
            runners
                .limits
                .merge(&row.observed.limits, now, instant, rank);
            runners.merge_leaving(name, &row.observed.leaving, instant);
        }
        node.last_read = now;
        let interval = read_interval(ledger, instant, self.random.random());
        let state = node.state.as_mut().unwrap();
        for (name, reports) in reports {
            node.wake |= state.merge_suspects(&name, &reports, now, instant);
        }
        node.next_read = now + interval.as_millis() as u64;
    }

    fn write(&mut self, i: usize) {
        let (now, instant) = (self.now, self.instant(i));
        let due = self.nodes[i].wake || now >= self.nodes[i].next_write;
        if !due {
            return;
        }
        if !self.reaches_store(i) {
            self.nodes[i].next_write = now + RETRY_MS;
            return;
        }
        let time = self.fleet_time(i);
        let node = &mut self.nodes[i];
        let State {
            ledger,
            evidence,
            runners,
            ..
        } = node.state.as_mut().unwrap();
        if node.pacing.spacing(ledger, PART_RATE, instant) > Duration::ZERO {
            return;
        }
        let observed = Observations {
            suspects: evidence.own_reports(time),
            unresolved: Vec::new(),
            limits: runners.limits.own_reports(time),
            leaving: own_leaving(&node.name, ledger, runners),
            streams: Vec::new(),
        };
        let bytes = serde_json::to_vec(&observed).unwrap().len();
        let Some(plan) = ledger.plan_scoped(instant, observed, WriteScope::OwnRow) else {
            return;
        };
        // A queue of transactions at the store delays the next write as it would delay the answer.
        self.part_free = self.part_free.max(now as f64) + 1000.0 / PART_RATE;
        let commit = self.store.apply(&plan.batch, now);
        ledger.apply_outcome(&plan, commit, instant);
        node.pacing.record_write(instant);
        node.wake = false;
        let interval = write_interval(ledger, self.random.random()).as_millis() as u64;
        node.next_write = (now + interval).max(self.part_free as u64 + STORE_MS);
        self.outcome.report_bytes = self.outcome.report_bytes.max(bytes);
    }

    /// Asks other daemons if the store does not answer.
    fn query(&mut self, i: usize) {
        let now = self.now;
        let node = &self.nodes[i];
        if now < node.next_query || now < node.last_read + QUERY_AFTER_MS || self.reaches_store(i) {
            return;
        }
        self.nodes[i].next_query = now + QUERY_MS;
        for _ in 0..QUERIED {
            let peer = self.random.random_range(0..self.nodes.len());
            if peer == i || !self.nodes[peer].is_up(now) {
                continue;
            }
            let peer_time = self.fleet_time(peer);
            let known = self.nodes[peer].state.as_ref().unwrap();
            let reports = known.evidence.all_reports(peer_time);
            let limits = known.runners.limits.all_reports();
            let leaving = known.runners.all_leaving();
            let (name, time) = (self.nodes[peer].name.clone(), self.fleet_time(i));
            let instant = self.instant(i);
            let state = self.nodes[i].state.as_mut().unwrap();
            state.merge_suspects(&name, &reports, time, instant);
            let rank = |key| rank_for(&state.ledger, key, instant, false);
            state.runners.limits.merge(&limits, time, instant, rank);
            state.runners.merge_leaving(&name, &leaving, instant);
        }
    }

    /// Whether daemon `i` refuses a request of `suspects`.
    pub(crate) fn refuses(&mut self, i: usize, suspects: &[Suspect]) -> bool {
        let (instant, time) = (self.instant(i), self.fleet_time(i));
        let State {
            ledger, evidence, ..
        } = self.nodes[i].state.as_mut().unwrap();
        let Some(blame) = evidence.find_blocked(suspects, time) else {
            return false;
        };
        let (Suspect::Part(key) | Suspect::Request(key)) = blame.suspect;
        if ledger.rank_for(key, instant).0 == Some(0) && evidence.start_trial(blame.suspect, time) {
            return false;
        }
        evidence.record_refusal(blame.suspect, time);
        true
    }

    /// Records the end of a runner at the daemon that sent `request`, if its process still runs.
    pub(crate) fn record_end(&mut self, request: &Request, runner: RunnerKey) {
        let time = self.fleet_time(request.daemon);
        let instant = self.instant(request.daemon);
        let node = &mut self.nodes[request.daemon];
        if let Some(state) = node
            .state
            .as_mut()
            .filter(|_| node.process == request.process)
        {
            state.evidence.record_end(&request.suspects, runner, time);
            state.blame_unresolved(runner, time, instant);
            node.wake = true;
        }
    }

    /// Records at its daemon that the caller of `request` has left.
    pub(crate) fn leave(&mut self, request: &Request, runner: RunnerKey) {
        let instant = self.instant(request.daemon);
        if let Some(state) = self.process_of(request) {
            let deadline = instant + Duration::from_secs(5);
            let unresolved =
                UnresolvedRequest::new(&"r".into(), &request.suspects, instant, deadline);
            state.unresolved.add(runner, unresolved);
        }
    }

    /// The probe of daemon `i` finds that `runner` has ended.
    pub(crate) fn probe_ended(&mut self, i: usize, runner: RunnerKey) {
        let (time, instant) = (self.fleet_time(i), self.instant(i));
        let node = &mut self.nodes[i];
        if node.is_up(self.now)
            && let Some(state) = &mut node.state
        {
            state.blame_unresolved(runner, time, instant);
            node.wake = true;
        }
    }

    /// Records at the daemon that sent `request` that its answer has begun.
    pub(crate) fn observe_answer(&mut self, request: &Request) {
        let time = self.fleet_time(request.daemon);
        let node = &mut self.nodes[request.daemon];
        if let Some(state) = node
            .state
            .as_mut()
            .filter(|_| node.process == request.process)
        {
            state.evidence.record_answer(&request.suspects, time);
        }
    }

    /// What daemon `i` knows of `runner`, whose entry says `entry`.
    pub(crate) fn view(&self, i: usize, runner: RunnerKey, entry: Option<RunnerState>) -> View {
        let state = self.nodes[i].state.as_ref().unwrap();
        state.runners.view(runner, entry, self.instant(i))
    }

    /// Counts a request that daemon `i` sends to `runner`.
    pub(crate) fn take_turn(&mut self, i: usize, runner: RunnerKey) {
        let instant = self.instant(i);
        let state = self.nodes[i].state.as_mut().unwrap();
        state.runners.take(runner, instant);
    }

    /// Records at the daemon that sent `request` what its answer says of a limit. Returns whether it was told.
    pub(crate) fn record_limit(
        &mut self,
        request: &Request,
        runner: RunnerKey,
        limit: Option<f64>,
    ) -> bool {
        let (time, instant) = (
            self.fleet_time(request.daemon),
            self.instant(request.daemon),
        );
        let node = &mut self.nodes[request.daemon];
        let state = node.state.as_mut();
        let Some(state) = state.filter(|_| node.process == request.process) else {
            return false;
        };
        let alone = self.faults.unshared;
        let rank = |key| rank_for(&state.ledger, key, instant, alone);
        node.wake |= state
            .runners
            .limits
            .record(runner, limit, time, instant, rank);
        true
    }

    /// Records at the daemon that sent `request` that the runner leaves. Returns whether it was told.
    pub(crate) fn tell_leaving(&mut self, request: &Request, runner: RunnerKey) -> bool {
        let time = self.fleet_time(request.daemon);
        let instant = self.instant(request.daemon);
        let Some(state) = self.process_of(request) else {
            return false;
        };
        state.runners.record_leaving(runner, time, instant);
        true
    }

    /// Records at the daemon that sent `request` that the runner wants nothing for `ms`. Returns whether it
    /// was told.
    pub(crate) fn tell_pause(&mut self, request: &Request, runner: RunnerKey, ms: u64) -> bool {
        let instant = self.instant(request.daemon);
        let random = self.random.random();
        let Some(state) = self.process_of(request) else {
            return false;
        };
        let time = Duration::from_millis(ms);
        state.runners.pause(runner, time, random, instant);
        true
    }

    /// Records at the daemon that sent `request` that the runner has answered it.
    pub(crate) fn tell_answer(&mut self, request: &Request, runner: RunnerKey) {
        let instant = self.instant(request.daemon);
        if let Some(state) = self.process_of(request) {
            state.runners.record_answer(runner, instant);
        }
    }

    /// State of the process that sent `request`, if it still runs.
    fn process_of(&mut self, request: &Request) -> Option<&mut State> {
        let node = &mut self.nodes[request.daemon];
        node.state
            .as_mut()
            .filter(|_| node.process == request.process)
    }
}
