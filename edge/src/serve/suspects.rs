//! Keeps requests that crash runners away from them.

use std::time::Instant;

use super::{
    Core,
    Upstream,
    call::Call, //
};
use crate::decide::{
    Blame,
    FleetTime,
    RunnerKey,
    Suspect,
    SuspectReport,
    UnresolvedRequest, //
};

/// Key by which all daemons choose the one that may try a suspect.
fn suspect_key(suspect: Suspect) -> u64 {
    match suspect {
        Suspect::Request(id) | Suspect::Part(id) => id,
    }
}

/// Logs what was decided about a request that may crash a runner, and on what evidence.
fn log_decision(decision: &str, call: &Call, blame: &Blame) {
    log::info!(
        "event=suspect_{decision} id={} suspect={} ends={} age_ms={} answer_age_ms={} sources={}",
        call.meta.id,
        blame.suspect,
        blame.ends,
        blame.age_ms,
        blame.answer_age_ms.map_or(-1, u64::cast_signed),
        blame.sources.join(",")
    );
}

impl<D> Core<D> {
    /// Records that a runner has answered `call` completely.
    pub(super) fn record_answer(&self, call: &Call, now: Instant) {
        let time = self.fleet_time(now);
        self.evidence
            .borrow_mut()
            .record_answer(&call.suspects, time);
        self.log_block_changes();
    }

    /// Records that a runner has begun to answer `call` and has gone on for a while.
    pub(super) fn record_progress(&self, call: &Call, now: Instant) {
        let time = self.fleet_time(now);
        self.evidence
            .borrow_mut()
            .record_progress(&call.suspects, time);
        self.log_block_changes();
    }

    /// Records that the runner of `upstream` ended while it had `call`; `begun` says that its answer had
    /// begun.
    pub(super) fn record_crash(&self, call: &Call, upstream: &Upstream, begun: bool, now: Instant) {
        let id = upstream.runner.borrow().id.clone();
        let planned = self.is_leaving(upstream, now);
        let parts: Vec<String> = call
            .shared_parts()
            .iter()
            .map(|p| format!("{:x}", p.id))
            .collect();
        log::info!(
            "event=runner_crashed runner={id} id={} fingerprint={:016x} begun={begun} planned={planned} parts={}",
            call.meta.id,
            call.fingerprint,
            parts.join(",")
        );
        if planned {
            return;
        }
        let time = self.fleet_time(now);
        let key = upstream.key;
        let mut evidence = self.evidence.borrow_mut();
        if begun {
            evidence.record_late_end(&call.suspects, key, time);
        } else {
            evidence.record_end(&call.suspects, key, time);
        }
        drop(evidence);
        self.tell_evidence();
    }

    /// Records that the runner of `upstream` ended while it may have run the requests that were given up there. Sound
    /// ones may be among them, so such an end is weak evidence.
    pub(super) fn blame_unresolved(&self, upstream: &Upstream, now: Instant) {
        let requests = self.unresolved.borrow_mut().take(upstream.key, now);
        if requests.is_empty() || self.is_leaving(upstream, now) {
            return;
        }
        self.record_ends(upstream.key, &requests, "own", now);
    }

    /// Records that the process `runner` ended, as `source` has seen, while it may have run `requests`.
    pub(super) fn record_ends(
        &self,
        runner: RunnerKey,
        requests: &[UnresolvedRequest],
        source: &str,
        now: Instant,
    ) {
        let time = self.fleet_time(now);
        for request in requests {
            log::info!(
                "event=runner_ended key={runner:08x} id={} suspect={} left_ms={} source={source}",
                request.id,
                request
                    .suspects
                    .first()
                    .map_or_else(String::new, Suspect::to_string),
                now.saturating_duration_since(request.left_at).as_millis()
            );
            let mut evidence = self.evidence.borrow_mut();
            evidence.record_unresolved_end(&request.suspects, runner, time);
        }
        self.tell_evidence();
    }

    /// Logs what has changed and tells the other daemons soon.
    fn tell_evidence(&self) {
        self.log_block_changes();
        self.writer_wake.notify_one();
        self.state_changed.notify_waiters();
    }

    /// Whether the next send of `call` must not be made because requests like it crash runners.
    pub(super) fn is_suspect(&self, call: &Call, now: Instant) -> bool {
        let time = self.fleet_time(now);
        let mut evidence = self.evidence.borrow_mut();
        let Some(blame) = evidence.find_blocked(&call.suspects, time) else {
            return false;
        };
        if call.trial.take() {
            return false;
        }
        evidence.record_refusal(blame.suspect, time);
        log_decision("refused", call, &blame);
        true
    }

    /// Whether `call` is sent: it is not suspect, or it is a trial that shows whether such requests still crash
    /// runners. All daemons choose the same one for trials.
    pub(super) fn try_suspect(&self, call: &Call, now: Instant) -> bool {
        let time = self.fleet_time(now);
        let mut evidence = self.evidence.borrow_mut();
        let Some(blame) = evidence.find_blocked(&call.suspects, time) else {
            return true;
        };
        let key = suspect_key(blame.suspect);
        let (rank, _) = self.ledger.borrow().rank_for(key, now);
        if rank != Some(0) || !evidence.start_trial(blame.suspect, time) {
            return false;
        }
        log_decision("tried", call, &blame);
        call.trial.set(true);
        true
    }

    /// Adds what the daemon `source` has reported.
    pub(super) fn merge_suspects(&self, source: &str, reports: &[SuspectReport], time: FleetTime) {
        let mut evidence = self.evidence.borrow_mut();
        evidence.expire(time);
        let urgent = evidence.merge(source, reports, time);
        drop(evidence);
        self.log_block_changes();
        self.merge_ends(source, reports);
        if urgent {
            self.writer_wake.notify_one();
        }
    }

    /// Blames the requests that were given up at runners whose ends the daemon `source` has reported.
    fn merge_ends(&self, source: &str, reports: &[SuspectReport]) {
        if self.unresolved.borrow().is_empty() {
            return;
        }
        let now = Instant::now();
        for (runner, _) in reports
            .iter()
            .flat_map(|r| r.ends.iter().chain(&r.late_ends))
        {
            let requests = self.unresolved.borrow_mut().take(*runner, now);
            if !requests.is_empty() {
                self.record_ends(*runner, &requests, source, now);
            }
        }
    }

    /// Takes over what the previous process on this VM has reported.
    pub(super) fn restore_suspects(&self, reports: &[SuspectReport], time: FleetTime) {
        if reports.is_empty() {
            return;
        }
        log::info!("event=suspects_restored count={}", reports.len());
        self.evidence.borrow_mut().restore(reports, time);
        self.log_block_changes();
    }

    /// Logs what has been blocked or cleared.
    pub(super) fn log_block_changes(&self) {
        for change in self.evidence.borrow_mut().take_changes() {
            log::warn!(
                "event=suspect_{} suspect={} ends={}",
                if change.blocked { "blocked" } else { "cleared" },
                change.suspect,
                change.ends
            );
        }
    }
}
