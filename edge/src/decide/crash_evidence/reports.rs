//! What a daemon reports of its evidence.

use std::cmp::Reverse;

use super::{
    CrashEvidence, EVIDENCE_TTL_MS, FleetTime, Suspect, SuspectReport,
    record::{
        EndKind,
        Record, //
    },
};

/// Largest number of suspects of each kind in one report.
const MAX_REPORTED: usize = 32;

impl CrashEvidence {
    /// What this daemon has seen itself, to write to its row.
    pub fn own_reports(&self, now: FleetTime) -> Vec<SuspectReport> {
        self.reports(now, |record, suspect| {
            let own = |kind| {
                let ends = record.ends.iter();
                let own = ends.filter(move |e| e.source.is_none() && e.kind == kind);
                own.map(|e| (e.runner, e.at)).collect()
            };
            let vouches = now < record.vouch_until;
            SuspectReport {
                suspect,
                ends: own(EndKind::Early),
                late_ends: own(EndKind::Late),
                unresolved_ends: own(EndKind::Unresolved),
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
            let ends = |kind| {
                let ends = record.ends.iter().filter(move |e| e.kind == kind);
                ends.map(|e| (e.runner, e.at)).collect()
            };
            SuspectReport {
                suspect,
                ends: ends(EndKind::Early),
                late_ends: ends(EndKind::Late),
                unresolved_ends: ends(EndKind::Unresolved),
                answered: record.answered.begun,
                completed: record.answered.complete,
                refused: record.refused,
            }
        })
    }

    /// How much others need to know of a suspect: 2 if it is blocked, and 0 if runners ended only after requests had been
    /// given up. Such reports must not displace those with answers.
    pub(super) fn urgency(&self, suspect: Suspect, record: &Record) -> u8 {
        let mut ends = record.ends.iter();
        let weak = !record.ends.is_empty() && ends.all(|e| e.kind == EndKind::Unresolved);
        match self.blocked.contains(&suspect) {
            true => 2,
            false => u8::from(!weak),
        }
    }

    /// Reports made by `report`, blocked suspects and those with the most ends first.
    fn reports(
        &self,
        now: FleetTime,
        report: impl Fn(&Record, Suspect) -> SuspectReport,
    ) -> Vec<SuspectReport> {
        let mut list: Vec<(u8, SuspectReport)> = self
            .records
            .iter()
            .filter(|(_, r)| r.fresh_at() + EVIDENCE_TTL_MS >= now)
            .map(|(s, r)| (self.urgency(*s, r), report(r, *s)))
            .filter(|(_, r)| r.count_ends() > 0 || r.answered > 0 || r.refused > 0)
            .collect();
        list.sort_by_key(|(u, r)| (Reverse((*u, r.count_ends(), r.newest_end())), r.suspect));
        let mut counts = [0; 2];
        list.retain(|(_, r)| {
            let kind = usize::from(matches!(r.suspect, Suspect::Part(_)));
            counts[kind] += 1;
            counts[kind] <= MAX_REPORTED
        });
        list.into_iter().map(|(_, report)| report).collect()
    }
}
