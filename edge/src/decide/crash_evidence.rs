//! Which requests crash runners, against prompts and requests that end one runner after the other.
//!
//! Each end of a runner makes all that it was about to answer suspect: the request itself and the parts of
//! its prompt that other requests share. A later answer clears a suspect. One that only ends runners is
//! blocked. All daemons add up what each of them has seen: an end is identified by the runner, so it counts
//! once however many report it.

use std::{
    cmp::Reverse,
    collections::{
        HashMap,
        HashSet, //
    },
    sync::Arc,
};

use serde::{
    Deserialize,
    Serialize, //
};

use super::{
    Fingerprint,
    PromptPart, //
};

/// Ends of different runners at different moments, without an answer since, from which a prompt part is
/// blocked. Runners also end for other reasons while they have a request with a rare part.
const MIN_PART_ENDS: usize = 3;

/// As [`MIN_PART_ENDS`], for a whole request. Sound requests are rarely repeated.
const MIN_REQUEST_ENDS: usize = 2;

/// Runners that end within this time under a part count as one, in milliseconds: the failure of a rack ends
/// many. One request reaches them one after the other, so it needs no such time.
const MOMENT_MS: u64 = 250;

/// Newest ends that are kept for one suspect.
const MAX_ENDS: usize = 8;

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

/// Largest number of prompt parts whose last answer is kept.
const MAX_ANSWERS: usize = 4096;

/// Largest number of suspects of each kind in one report.
const MAX_REPORTED: usize = 16;

/// Milliseconds on the clock of the store, which all daemons know.
pub type FleetTime = u64;

/// Hash of the id and the start of a runner.
pub type RunnerKey = u32;

/// What may have ended a runner.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Suspect {
    /// A request, whenever it is repeated.
    #[serde(rename = "r")]
    Request(Fingerprint),
    /// A prompt part, in any request.
    #[serde(rename = "p")]
    Part(u64),
}

impl Suspect {
    /// Ends from which the suspect is blocked.
    fn min_ends(self) -> usize {
        match self {
            Suspect::Request(_) => MIN_REQUEST_ENDS,
            Suspect::Part(_) => MIN_PART_ENDS,
        }
    }

    /// Number of `ends` that count, in the order of their times.
    fn count_ends<'a>(self, ends: impl Iterator<Item = &'a End>) -> usize {
        let gap = match self {
            Suspect::Request(_) => 0,
            Suspect::Part(_) => MOMENT_MS,
        };
        let mut count = 0;
        let mut begun = None;
        for end in ends {
            if begun.is_none_or(|begun| end.at >= begun + gap) {
                begun = Some(end.at);
                count += 1;
            }
        }
        count
    }
}

impl std::fmt::Display for Suspect {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Suspect::Request(id) => write!(f, "request:{id:016x}"),
            Suspect::Part(id) => write!(f, "part:{id:x}"),
        }
    }
}

/// Suspects of a request with this fingerprint and these shared parts.
///
/// # Examples
///
/// ```
/// use cuminloom_edge::decide::{Suspect, suspects};
///
/// assert_eq!(suspects(7, &[]), [Suspect::Request(7)]);
/// ```
pub fn suspects(request: Fingerprint, shared_parts: &[PromptPart]) -> Vec<Suspect> {
    let parts = shared_parts.iter().map(|p| Suspect::Part(p.id));
    std::iter::once(Suspect::Request(request))
        .chain(parts)
        .collect()
}

/// What a daemon reports of one suspect.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SuspectReport {
    /// The suspect.
    #[serde(rename = "s")]
    pub suspect: Suspect,
    /// Runners that ended, with the times.
    #[serde(rename = "e", default, skip_serializing_if = "Vec::is_empty")]
    pub ends: Vec<(RunnerKey, FleetTime)>,
    /// Time of the last answer; 0 for none.
    #[serde(rename = "a", default)]
    pub answered: FleetTime,
    /// Time of the last request that was refused; 0 for none.
    #[serde(rename = "q", default)]
    pub refused: FleetTime,
}

/// End of a runner.
#[derive(Clone, Debug)]
struct End {
    runner: RunnerKey,
    at: FleetTime,
    /// Daemon that reported it first; `None` if it is this one.
    source: Option<Arc<str>>,
}

/// What is known of one suspect.
#[derive(Clone, Debug, Default)]
struct Record {
    /// Ends since the last answer, in the order of their times.
    ends: Vec<End>,
    /// Time of the last answer that is known; 0 for none.
    answered: FleetTime,
    /// Time of the last request refused by any daemon; 0 for none.
    refused: FleetTime,
    /// Time of the last request refused by this one.
    own_refused: FleetTime,
    /// Time until which own answers are reported, because another daemon has reported ends before them.
    vouch_until: FleetTime,
    /// Time of the last trial by this daemon.
    tried: FleetTime,
}

impl Record {
    /// Adds an end unless it is known. Returns whether it was added.
    fn add_end(&mut self, end: End) -> bool {
        if end.at <= self.answered {
            return false;
        }
        if let Some(known) = self.ends.iter_mut().find(|e| e.runner == end.runner) {
            known.at = known.at.min(end.at);
            if end.source.is_none() {
                known.source = None;
            }
            return false;
        }
        self.ends.push(end);
        self.ends.sort_by_key(|e| e.at);
        if self.ends.len() > MAX_ENDS {
            self.drop_end();
        }
        true
    }

    /// Drops the oldest end at the same moment as the one before it, or else the oldest one.
    fn drop_end(&mut self) {
        let pairs = self.ends.windows(2);
        let same = pairs.map(|pair| pair[1].at - pair[0].at < MOMENT_MS);
        let index = same.enumerate().find(|(_, same)| *same);
        self.ends.remove(index.map_or(0, |(i, _)| i + 1));
    }

    /// Records an answer at `at`, which clears the suspect of the ends before it.
    fn set_answered(&mut self, at: FleetTime) {
        self.answered = self.answered.max(at);
        self.ends.retain(|e| e.at > self.answered);
    }

    /// Time of the last sign that the evidence is still needed.
    fn fresh_at(&self) -> FleetTime {
        let seen = self.last_end().max(self.answered);
        seen.max(self.refused).max(self.vouch_until)
    }

    /// Time of the last end.
    fn last_end(&self) -> FleetTime {
        self.ends.last().map_or(0, |e| e.at)
    }
}

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
    /// Time of the last answer of this daemon, by prompt part.
    answers: HashMap<u64, FleetTime>,
    blocked: HashSet<Suspect>,
    changes: Vec<BlockChange>,
}

impl CrashEvidence {
    /// Records that a runner ended before it had begun to answer a request of `suspects`.
    pub fn record_end(&mut self, suspects: &[Suspect], runner: RunnerKey, now: FleetTime) {
        for suspect in suspects {
            self.make_room();
            let answered = self.own_answer(*suspect);
            let record = self.records.entry(*suspect).or_default();
            record.answered = record.answered.max(answered);
            record.add_end(End {
                runner,
                at: now,
                source: None,
            });
            self.update_block(*suspect);
        }
    }

    /// Records that a runner has begun to answer a request of `suspects`, and did not end.
    pub fn record_answer(&mut self, suspects: &[Suspect], now: FleetTime) {
        for suspect in suspects {
            if let Suspect::Part(part) = suspect {
                self.answers.insert(*part, now);
            }
            if let Some(record) = self.records.get_mut(suspect) {
                record.set_answered(now);
                if record.vouch_until > 0 || self.blocked.contains(suspect) {
                    record.vouch_until = now + VOUCH_MS;
                }
                self.update_block(*suspect);
            }
        }
        if self.answers.len() > MAX_ANSWERS {
            let mut times: Vec<FleetTime> = self.answers.values().copied().collect();
            let middle = times.len() / 2;
            let (_, median, _) = times.select_nth_unstable(middle);
            let median = *median;
            self.answers.retain(|_, at| *at > median);
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
        let newest = report.ends.iter().map(|(_, at)| *at).max().unwrap_or(0);
        if newest.max(report.refused).max(report.answered) + EVIDENCE_TTL_MS < now {
            return false;
        }
        self.make_room();
        let own_answer = self.own_answer(suspect);
        let record = self.records.entry(suspect).or_default();
        record.refused = record.refused.max(report.refused.min(now));
        record.set_answered(report.answered.min(now).max(own_answer));
        let mut cleared = 0;
        for (runner, at) in report.ends.iter().rev().take(MAX_ENDS) {
            // An end in the future was dated by a daemon whose estimate of the store's clock is ahead.
            let at = (*at).min(now);
            cleared += usize::from(at <= own_answer);
            record.add_end(End {
                runner: *runner,
                at,
                source: source.cloned(),
            });
        }
        if cleared > 0 && source.is_some() {
            record.vouch_until = now + VOUCH_MS;
        }
        self.update_block(suspect);
        cleared + 1 >= suspect.min_ends()
    }

    /// Time of the last answer of this daemon for a prompt part; 0 for none.
    fn own_answer(&self, suspect: Suspect) -> FleetTime {
        match suspect {
            Suspect::Part(part) => self.answers.get(&part).copied().unwrap_or(0),
            Suspect::Request(_) => 0,
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
            .min_by_key(|(s, r)| (self.blocked.contains(s), r.ends.len(), r.fresh_at()))
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
            let cleared_at = record.answered.max(record.vouch_until);
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
        let blocked = suspect.count_ends(ends.iter()) >= suspect.min_ends();
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
    /// one is not held against requests without that other one.
    pub fn find_blocked(&self, suspects: &[Suspect], now: FleetTime) -> Option<Blame> {
        if self.blocked.is_empty() {
            return None;
        }
        let suspect = suspects
            .iter()
            .filter(|s| self.blocked.contains(s))
            .find(|s| self.unexplained(**s, suspects) >= s.min_ends())?;
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
            answer_age_ms: (record.answered > 0).then(|| now.saturating_sub(record.answered)),
            sources,
        })
    }

    /// Ends of runners under `suspect` that no other blocked part explains: one that the
    /// request of `suspects` does not have.
    fn unexplained(&self, suspect: Suspect, suspects: &[Suspect]) -> usize {
        let record = &self.records[&suspect];
        let others: Vec<&Record> = self
            .blocked
            .iter()
            .filter(|s| matches!(s, Suspect::Part(_)) && !suspects.contains(s))
            .map(|s| &self.records[s])
            // A part that was answered once is a worse explanation than one that never was.
            .filter(|other| other.answered == 0 || record.answered > 0)
            .collect();
        let explained = |end: &End| {
            others
                .iter()
                .any(|o| o.ends.iter().any(|e| e.runner == end.runner))
        };
        suspect.count_ends(record.ends.iter().filter(|e| !explained(e)))
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

    /// What this daemon has seen itself, to write to its row.
    pub fn own_reports(&self, now: FleetTime) -> Vec<SuspectReport> {
        self.reports(now, |record, suspect| {
            let own = record.ends.iter().filter(|e| e.source.is_none());
            let vouches = now < record.vouch_until;
            SuspectReport {
                suspect,
                ends: own.map(|e| (e.runner, e.at)).collect(),
                answered: if vouches { record.answered } else { 0 },
                // Refreshes evidence that would expire; not with every refusal.
                refused: match record.own_refused > record.last_end() + EVIDENCE_TTL_MS / 4 {
                    true => record.own_refused,
                    false => 0,
                },
            }
        })
    }

    /// What this daemon knows from all daemons, for others that can't read the rows.
    pub fn all_reports(&self, now: FleetTime) -> Vec<SuspectReport> {
        self.reports(now, |record, suspect| SuspectReport {
            suspect,
            ends: record.ends.iter().map(|e| (e.runner, e.at)).collect(),
            answered: record.answered,
            refused: record.refused,
        })
    }

    /// Reports made by `report`, blocked suspects and those with the most ends first.
    fn reports(
        &self,
        now: FleetTime,
        report: impl Fn(&Record, Suspect) -> SuspectReport,
    ) -> Vec<SuspectReport> {
        let mut list: Vec<(bool, SuspectReport)> = self
            .records
            .iter()
            .filter(|(_, r)| r.fresh_at() + EVIDENCE_TTL_MS >= now)
            .map(|(s, r)| (self.blocked.contains(s), report(r, *s)))
            .filter(|(_, r)| !r.ends.is_empty() || r.answered > 0 || r.refused > 0)
            .collect();
        let newest = |r: &SuspectReport| r.ends.last().map_or(0, |(_, at)| *at);
        list.sort_by_key(|(b, r)| (Reverse((*b, r.ends.len(), newest(r))), r.suspect));
        let mut counts = [0; 2];
        list.retain(|(_, r)| {
            let kind = usize::from(matches!(r.suspect, Suspect::Part(_)));
            counts[kind] += 1;
            counts[kind] <= MAX_REPORTED
        });
        list.into_iter().map(|(_, report)| report).collect()
    }
}
