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
