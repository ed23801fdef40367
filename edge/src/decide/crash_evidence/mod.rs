//! Which requests crash runners, against prompts and requests that end one runner after the other.
//!
//! Each end of a runner makes the request and the shared parts of its prompt suspect. An answer that goes on for
//! a while clears the suspect of earlier ends before the first event; only a complete answer clears ends after it.
//! A suspect that only ends runners is blocked. All daemons add up their observations; an end is identified by its
//! runner, so it counts once however many daemons report it.

mod record;
mod reports;
mod suspect;
mod unresolved;

use std::{
    collections::{
        HashMap,
        HashSet, //
    },
    sync::Arc,
};

pub use suspect::{
    FleetTime,
    RunnerKey,
    Suspect,
    SuspectReport,
    suspects, //
};
pub use unresolved::{
    UnresolvedReport,
    UnresolvedRequest,
    UnresolvedRequests, //
};

use suspect::MIN_UNRESOLVED_PART_ENDS;

use record::{
    Answers,
    End,
    EndKind,
    MAX_ENDS,
    Record, //
};

/// Time after the last end, or the last request refused, for which evidence counts, in milliseconds.
const EVIDENCE_TTL_MS: u64 = 600_000;

/// Time since the last end after which one daemon sends a request of a suspect that has just been blocked,
/// in milliseconds; doubled with each further end.
const TRIAL_AFTER_MS: u64 = 30_000;

/// Time for which an answer is reported after another daemon has reported an end before it, in milliseconds.
const VOUCH_MS: u64 = 10_000;

/// Time for which the last answer of a suspect without ends is kept, in milliseconds: reports of ends before
/// it may still be in rows that are written seldom.
const CLEARED_TTL_MS: u64 = 60_000;

/// Largest number of suspects that are kept.
const MAX_RECORDS: usize = 1024;

/// Ended runners that are kept.
const MAX_ENDED: usize = 256;

/// Largest number of prompt parts whose last answer is kept.
const MAX_ANSWERS: usize = 4096;

/// Why a request is refused, for the log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Blame {
    /// What is blocked.
    pub suspect: Suspect,
    /// Runners that ended since the last answer.
    pub ends: usize,
    /// Time since the last of these ends, in milliseconds.
    pub age_ms: u64,
    /// Time since the last answer, in milliseconds; `None` if none is known.
    pub answer_age_ms: Option<u64>,
    /// Daemons that reported the ends; "own" stands for this one.
    pub sources: Vec<Arc<str>>,
}

/// Change of what is blocked, for the log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct BlockChange {
    /// The suspect.
    pub suspect: Suspect,
    /// Whether it is blocked now.
    pub blocked: bool,
    /// Runners that ended since the last answer.
    pub ends: usize,
}

/// Evidence of all daemons about what crashes runners.
///
/// # Examples
///
/// ```
/// use cuminloom_edge::decide::{CrashEvidence, Suspect};
///
/// let bad = [Suspect::Part(7)];
/// let mut evidence = CrashEvidence::default();
/// evidence.record_end(&bad, 1, 1_000);
/// evidence.record_end(&bad, 2, 2_000);
/// assert!(evidence.find_blocked(&bad, 2_100).is_none());
/// // The third end is known from another daemon.
/// let mut other = CrashEvidence::default();
/// other.record_end(&bad, 3, 3_000);
/// evidence.merge("vm-2", &other.own_reports(3_000), 3_100);
/// assert!(evidence.find_blocked(&bad, 3_100).is_some());
/// ```
#[derive(Debug, Default)]
pub struct CrashEvidence {
    records: HashMap<Suspect, Record>,
    /// Last answers of this daemon, by prompt part.
    answers: HashMap<u64, Answers>,
    /// Runners that have ended, with the times.
    ended: HashMap<RunnerKey, FleetTime>,
    blocked: HashSet<Suspect>,
    changes: Vec<BlockChange>,
}

impl CrashEvidence {
    /// Records that a runner ended before it had begun to answer a request of `suspects`.
    pub fn record_end(&mut self, suspects: &[Suspect], runner: RunnerKey, now: FleetTime) {
        self.add_ends(suspects, runner, now, EndKind::Early);
    }

    /// As [`record_end`](Self::record_end), after the answer had begun.
    pub fn record_late_end(&mut self, suspects: &[Suspect], runner: RunnerKey, now: FleetTime) {
        self.add_ends(suspects, runner, now, EndKind::Late);
    }

    /// As [`record_end`](Self::record_end), after the request had been given up.
    pub fn record_unresolved_end(
        &mut self,
        suspects: &[Suspect],
        runner: RunnerKey,
        now: FleetTime,
    ) {
        self.add_ends(suspects, runner, now, EndKind::Unresolved);
    }

    fn add_ends(&mut self, suspects: &[Suspect], runner: RunnerKey, now: FleetTime, kind: EndKind) {
        self.note_end(runner, now);
        for suspect in suspects {
            self.make_room();
            let answered = self.own_answer(*suspect);
            let record = self.records.entry(*suspect).or_default();
            record.set_answered(answered);
            record.add_end(End {
                runner,
                at: now,
                kind,
                source: None,
            });
            self.update_block(*suspect);
        }
    }

    /// Records that a runner has answered a request of `suspects` completely.
    pub fn record_answer(&mut self, suspects: &[Suspect], now: FleetTime) {
        let complete = Answers {
            begun: now,
            complete: now,
        };
        self.add_answers(suspects, complete, now);
    }

    /// Records that a runner has begun to answer a request of `suspects` and has gone on for a while. It may
    /// still end because of it.
    pub fn record_progress(&mut self, suspects: &[Suspect], now: FleetTime) {
        let begun = Answers {
            begun: now,
            complete: 0,
        };
        self.add_answers(suspects, begun, now);
    }

    fn add_answers(&mut self, suspects: &[Suspect], answers: Answers, now: FleetTime) {
        for suspect in suspects {
            if let Suspect::Part(part) = suspect {
                let known = self.answers.entry(*part).or_default();
                *known = known.max(answers);
            }
            if let Some(record) = self.records.get_mut(suspect) {
                record.set_answered(answers);
                if self.blocked.contains(suspect) {
                    record.vouch_until = now + VOUCH_MS;
                }
                self.update_block(*suspect);
            }
        }
        if self.answers.len() > MAX_ANSWERS {
            let mut times: Vec<FleetTime> = self.answers.values().map(|a| a.begun).collect();
            let middle = times.len() / 2;
            let (_, median, _) = times.select_nth_unstable(middle);
            let median = *median;
            self.answers.retain(|_, a| a.begun > median);
        }
    }

    /// Adds what the daemon `source` has reported. Returns whether this daemon knows an answer that
    /// clears a suspect which others are about to block, so that they have to be told soon.
    pub fn merge(&mut self, source: &str, reports: &[SuspectReport], now: FleetTime) -> bool {
        let source = Arc::from(source);
        let mut urgent = false;
        for report in reports {
            urgent |= self.merge_report(Some(&source), report, now);
        }
        urgent
    }

    /// Takes over what the previous process on this VM has reported.
    pub fn restore(&mut self, reports: &[SuspectReport], now: FleetTime) {
        for report in reports {
            self.merge_report(None, report, now);
        }
    }

    fn merge_report(
        &mut self,
        source: Option<&Arc<str>>,
        report: &SuspectReport,
        now: FleetTime,
    ) -> bool {
        let suspect = report.suspect;
        let newest = report.newest_end().max(report.refused);
        let newest = newest.max(report.answered).max(report.completed);
        if newest.saturating_add(EVIDENCE_TTL_MS) < now {
            return false;
        }
        self.make_room();
        let own_answer = self.own_answer(suspect);
        let record = self.records.entry(suspect).or_default();
        record.refused = record.refused.max(report.refused.min(now));
        let reported = Answers {
            begun: report.answered.max(report.completed).min(now),
            complete: report.completed.min(now),
        };
        record.set_answered(reported.max(own_answer));
        let mut cleared = 0;
        let mut seen = Vec::new();
        let ends = EndKind::ALL.into_iter().flat_map(|kind| {
            let ends = report.ends_of(kind).iter().rev().take(MAX_ENDS);
            ends.map(move |end| (end, kind))
        });
        for ((runner, at), kind) in ends {
            // An end in the future was dated by a daemon whose estimate of the store's clock is ahead.
            let at = (*at).min(now);
            seen.push((*runner, at));
            if own_answer.outweighs(at, kind) {
                match kind {
                    EndKind::Unresolved => record.add_outweighed(*runner),
                    _ => cleared += 1,
                }
            }
            record.add_end(End {
                runner: *runner,
                at,
                kind,
                source: source.cloned(),
            });
        }
        let first = record.vouch_until == 0;
        // A single weak end, of which there are many, needs no answer.
        let is_near = record.outweighed.len() + 1 >= MIN_UNRESOLVED_PART_ENDS;
        if (cleared > 0 || is_near) && source.is_some() {
            record.vouch_until = now + VOUCH_MS;
        }
        for (runner, at) in seen {
            self.note_end(runner, at);
        }
        self.update_block(suspect);
        // A row that is written seldom may report the same ends for long.
        first && (is_near || cleared + 1 >= suspect.min_ends())
    }

    /// Records that a runner has ended, whatever the cause.
    fn note_end(&mut self, runner: RunnerKey, at: FleetTime) {
        let known = self.ended.entry(runner).or_insert(at);
        *known = at.min(*known);
        if self.ended.len() > MAX_ENDED {
            let oldest = self.ended.iter().min_by_key(|(_, at)| **at);
            let oldest = oldest.map(|(runner, _)| *runner);
            self.ended.retain(|runner, _| Some(*runner) != oldest);
        }
    }

    /// Whether `ends`, in the order of their times, suffice to block `suspect`.
    fn is_blocked_by<'a>(
        &self,
        suspect: Suspect,
        ends: impl Iterator<Item = &'a End> + Clone,
    ) -> bool {
        let first = ends.clone().next().map_or(0, |e| e.at);
        let all = || self.ended.values().filter(|at| **at >= first).count();
        suspect.is_blocked_by(ends, all)
    }

    /// Last answers of this daemon for a prompt part.
    fn own_answer(&self, suspect: Suspect) -> Answers {
        match suspect {
            Suspect::Part(part) => self.answers.get(&part).copied().unwrap_or_default(),
            Suspect::Request(_) => Answers::default(),
        }
    }

    /// Drops the least useful record if there is no room for another one: requests that merely waited at
    /// a runner must not displace what ends runners.
    fn make_room(&mut self) {
        if self.records.len() < MAX_RECORDS {
            return;
        }
        let weakest = self
            .records
            .iter()
            .min_by_key(|(s, r)| (self.urgency(**s, r), r.ends.len(), r.fresh_at()))
            .map(|(s, _)| *s);
        if let Some(suspect) = weakest {
            self.records.remove(&suspect);
            self.blocked.remove(&suspect);
        }
    }

    /// Drops evidence that has expired.
    pub fn expire(&mut self, now: FleetTime) {
        let mut expired = Vec::new();
        for (suspect, record) in &self.records {
            let cleared_at = record.answered.begun.max(record.vouch_until);
            let idle = record.ends.is_empty() && cleared_at + CLEARED_TTL_MS < now;
            if idle || record.fresh_at() + EVIDENCE_TTL_MS < now {
                expired.push(*suspect);
            }
        }
        for suspect in expired {
            self.records.remove(&suspect);
            self.update_block(suspect);
        }
    }

    /// Blocks or unblocks a suspect by its record.
    fn update_block(&mut self, suspect: Suspect) {
        let ends = self.records.get(&suspect).map_or(&[][..], |r| &r.ends);
        let blocked = self.is_blocked_by(suspect, ends.iter());
        let changed = match blocked {
            true => self.blocked.insert(suspect),
            false => self.blocked.remove(&suspect),
        };
        if changed {
            self.changes.push(BlockChange {
                suspect,
                blocked,
                ends: ends.len(),
            });
        }
    }

    /// Changes of what is blocked since the last call.
    pub fn take_changes(&mut self) -> Vec<BlockChange> {
        std::mem::take(&mut self.changes)
    }

    /// Whether a request of `suspects` is refused, and why. A part that was always beside another blocked
    /// one is not held against requests without that other one, and a request that lost its runners to a
    /// worse one beside it is not refused.
    pub fn find_blocked(&self, suspects: &[Suspect], now: FleetTime) -> Option<Blame> {
        if self.blocked.is_empty() {
            return None;
        }
        let suspect = suspects
            .iter()
            .filter(|s| self.blocked.contains(s))
            .find(|s| self.is_blocked_by(**s, self.unexplained(**s, suspects).into_iter()))?;
        let record = &self.records[suspect];
        let own: Arc<str> = Arc::from("own");
        let mut sources: Vec<Arc<str>> = record
            .ends
            .iter()
            .map(|e| e.source.clone().unwrap_or_else(|| Arc::clone(&own)))
            .collect();
        sources.sort();
        sources.dedup();
        Some(Blame {
            suspect: *suspect,
            ends: record.ends.len(),
            age_ms: now.saturating_sub(record.last_end()),
            answer_age_ms: (record.answered.begun > 0)
                .then(|| now.saturating_sub(record.answered.begun)),
            sources,
        })
    }

    /// Ends of runners under `suspect` that no other blocked suspect explains: one that the
    /// request of `suspects` does not have. Requests explain only ends of requests: each request with a bad part
    /// may be blocked by itself.
    fn unexplained(&self, suspect: Suspect, suspects: &[Suspect]) -> Vec<&End> {
        let record = &self.records[&suspect];
        let others: Vec<&Record> = self
            .blocked
            .iter()
            .filter(|s| !suspects.contains(s))
            .filter(|s| match s {
                // A part that was answered once is a worse explanation than one that never was.
                Suspect::Part(_) => self.records[s].soundness() <= record.soundness(),
                // Of two requests, at most one explains the other.
                Suspect::Request(_) => {
                    matches!(suspect, Suspect::Request(_))
                        && self.records[s].ends.len() > record.ends.len()
                }
            })
            .map(|s| &self.records[s])
            .collect();
        let explained = |end: &End| {
            others
                .iter()
                .any(|o| o.ends.iter().any(|e| e.runner == end.runner))
        };
        record.ends.iter().filter(|e| !explained(e)).collect()
    }

    /// Records that a request of `suspect` was refused.
    pub fn record_refusal(&mut self, suspect: Suspect, now: FleetTime) {
        if let Some(record) = self.records.get_mut(&suspect) {
            record.refused = record.refused.max(now);
            record.own_refused = now;
        }
    }

    /// Whether this daemon may send one request of `suspect` to find out whether it still ends runners. Only
    /// one daemon of the fleet is to ask. Records the trial if so.
    pub fn start_trial(&mut self, suspect: Suspect, now: FleetTime) -> bool {
        let Some(record) = self.records.get_mut(&suspect) else {
            return false;
        };
        let doublings = record.ends.len().saturating_sub(suspect.min_ends());
        let wait = TRIAL_AFTER_MS << doublings;
        let due = now >= record.last_end().max(record.tried) + wait;
        if due {
            record.tried = now;
        }
        due
    }
}
