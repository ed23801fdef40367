//! Taking over the row of the process before.

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

/// Factor on the age of a row for the error of the two steady clocks.
const CLOCK_ERROR: f64 = 1.02;

impl Ledger {
    /// Takes over the daemon's own row: its own write, or what the process before has left. The store
    /// read it within `call`, at `now` by its own clock.
    pub(super) fn read_own(
        &mut self,
        version: u64,
        row: DaemonRow,
        now: u64,
        call: Range<Instant>,
    ) {
        if version < self.version {
            return;
        }
        if self.owned && row.process != self.process {
            self.fenced = true;
            return;
        }
        if row.process == self.process {
            if version > self.version {
                self.landed(version, row.number, &row.grants);
                // The row may name a later time of the store than the last accepted write, so the release
                // starts anew.
                self.contact = self.contact.max(Some(call.end));
            }
            return;
        }
        self.version = version;
        // The store's clock was read after the call began, so this takes no more off than the time for which
        // the process before cannot have run.
        let alone = self.alone.map_or(Duration::ZERO, |at| {
            call.start.saturating_duration_since(at)
        });
        let since = Duration::from_millis(now.saturating_sub(row.seen)).saturating_sub(alone);
        let age = since.as_secs_f64() * CLOCK_ERROR;
        let mut taken = row.clone();
        for grant in taken.grants.values_mut() {
            grant.spent = grant.released(age);
            grant.issued = grant.spent;
            grant.open = 0;
        }
        let charged: u64 = row
            .grants
            .iter()
            .map(|(name, old)| {
                taken.grants[name]
                    .spent
                    .saturating_sub(old.spent + old.open)
            })
            .sum();
        log::info!(
            "event=grants_inherited process={} age_ms={} customers={} charged_unknown={charged}",
            row.process,
            since.as_millis(),
            taken.grants.len()
        );
        self.inherited = Some(taken);
    }
}
