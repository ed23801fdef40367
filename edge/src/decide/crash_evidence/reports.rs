//! What a daemon reports of its evidence.

use std::cmp::Reverse;

use super::{
    CrashEvidence,
    EVIDENCE_TTL_MS,
    FleetTime,
    Suspect,
    SuspectReport,
    record::Record, //
};

/// Largest number of suspects of each kind in one report.
const MAX_REPORTED: usize = 16;

impl CrashEvidence {
    /// What this daemon has seen itself, to write to its row.
    pub fn own_reports(&self, now: FleetTime) -> Vec<SuspectReport> {
        self.reports(now, |record, suspect| {
            let own = |late| {
                let ends = record.ends.iter();
                let own = ends.filter(move |e| e.source.is_none() && e.late == late);
                own.map(|e| (e.runner, e.at)).collect()
            };
            let vouches = now < record.vouch_until;
            SuspectReport {
                suspect,
                ends: own(false),
                late_ends: own(true),
                answered: if vouches { record.answered.begun } else { 0 },
                completed: if vouches { record.answered.complete } else { 0 },
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
        self.reports(now, |record, suspect| {
            let ends = |late| {
                let ends = record.ends.iter().filter(move |e| e.late == late);
                ends.map(|e| (e.runner, e.at)).collect()
            };
            SuspectReport {
                suspect,
                ends: ends(false),
                late_ends: ends(true),
                answered: record.answered.begun,
                completed: record.answered.complete,
                refused: record.refused,
            }
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
            .filter(|(_, r)| r.count_ends() > 0 || r.answered > 0 || r.refused > 0)
            .collect();
        list.sort_by_key(|(b, r)| (Reverse((*b, r.count_ends(), r.newest_end())), r.suspect));
        let mut counts = [0; 2];
        list.retain(|(_, r)| {
            let kind = usize::from(matches!(r.suspect, Suspect::Part(_)));
            counts[kind] += 1;
            counts[kind] <= MAX_REPORTED
        });
        list.into_iter().map(|(_, report)| report).collect()
    }
}
