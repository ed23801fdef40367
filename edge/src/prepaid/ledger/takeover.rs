//! Takeover of the row of the previous process on this VM.

use std::{
    ops::Range,
    time::{
        Duration,
        Instant, //
    },
};

use super::{
    super::DaemonRow,
    Ledger, //
};
use crate::decide::Observations;

/// Factor on the age of a row that allows for the drift between the two monotonic clocks.
const CLOCK_DRIFT: f64 = 1.02;

impl Ledger {
    /// Takes what the previous process on this VM has reported to the others.
    pub fn take_inherited_observations(&mut self) -> Observations {
        let row = self.inherited.as_mut();
        row.map(|row| std::mem::take(&mut row.observed))
            .unwrap_or_default()
    }

    /// Applies the row of this VM: a write of this process, or the row that the previous process
    /// left. The store read it during `call`, at the store time `now`.
    pub(super) fn apply_own_row(
        &mut self,
        version: u64,
        row: DaemonRow,
        now: u64,
        call: Range<Instant>,
    ) {
        if version < self.version {
            return;
        }
        let is_own = row.process == self.process && row.era == self.era;
        if self.claims.is_some() && !is_own {
            self.apply_copied_row(version, row);
            return;
        }
        if self.owned && row.process != self.process {
            self.fenced = true;
            return;
        }
        if row.process == self.process {
            if version > self.version {
                self.confirm_write(version, row.number, &row.grants, (call.end, call.end));
                // The row may contain a later store time than the last accepted write, so the
                // release starts again.
                self.contact = self.contact.max(Some(call.end));
            }
            return;
        }
        self.version = version;
        // The store read its clock after the call began, so this subtracts no more than the time
        // for which the previous process cannot have run.
        let exclusive = self.exclusive_since.map_or(Duration::ZERO, |at| {
            call.start.saturating_duration_since(at)
        });
        let elapsed = Duration::from_millis(now.saturating_sub(row.seen)).saturating_sub(exclusive);
        let age = elapsed.as_secs_f64() * CLOCK_DRIFT;
        let mut inherited = row.clone();
        let doubtful = self.is_doubtful(&row);
        let vouched = !doubtful || self.has_witness();
        for (name, grant) in &mut inherited.grants {
            let released = grant.released(age);
            grant.spent = match vouched {
                true => released,
                false => released.max(self.likely_spent(name, grant, age)),
            };
            grant.issued = grant.spent;
            grant.open = 0;
            if doubtful {
                grant.cap = grant.spent;
            }
        }
        let charged: u64 = row
            .grants
            .iter()
            .map(|(name, old)| {
                inherited.grants[name]
                    .spent
                    .saturating_sub(old.spent + old.open)
            })
            .sum();
        log::info!(
            "event=grants_inherited process={} age_ms={} customers={} charged_unknown={charged} doubtful={doubtful} vouched={vouched}",
            row.process,
            elapsed.as_millis(),
            inherited.grants.len()
        );
        self.takeovers = row.takeovers + 1;
        self.inherited = Some(inherited);
        self.stored = Some(row);
    }
}
