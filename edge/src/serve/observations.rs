//! What this daemon tells the others, and what they tell it.

use std::time::Instant;

use super::Core;
use crate::decide::{
    FleetTime,
    Observations, //
};

impl<D> Core<D> {
    /// The clock of the store; before its first response, the time since the start of the process.
    pub(super) fn fleet_time(&self, now: Instant) -> FleetTime {
        let known = self.ledger.borrow().store_now(now);
        known.unwrap_or_else(|| now.saturating_duration_since(self.started).as_millis() as u64)
    }

    /// What this daemon writes to its row.
    pub fn own_observations(&self, now: Instant) -> Observations {
        let time = self.fleet_time(now);
        Observations {
            suspects: self.evidence.borrow().own_reports(time),
            unresolved: self.own_unresolved(now, time),
            limits: self.availability.borrow().limits.own_reports(time),
            leaving: self.own_leaving(),
            streams: self.own_streams(now),
        }
    }

    /// What this daemon tells others that can't read the rows.
    pub fn all_observations(&self, now: Instant) -> Observations {
        let time = self.fleet_time(now);
        Observations {
            suspects: self.evidence.borrow().all_reports(time),
            unresolved: self.own_unresolved(now, time),
            limits: self.availability.borrow().limits.all_reports(),
            leaving: self.availability.borrow().all_leaving(),
            streams: self.own_streams(now),
        }
    }

    /// Adds what the daemon `source` has reported.
    pub fn merge_observations(&self, source: &str, observed: &Observations, now: Instant) {
        let time = self.fleet_time(now);
        self.merge_unresolved(source, &observed.unresolved, now, time);
        self.merge_suspects(source, &observed.suspects, time);
        self.merge_limits(source, &observed.limits, time, now);
        self.merge_leaving(Some(source), &observed.leaving, now);
        self.streams
            .borrow_mut()
            .merge(&observed.streams, false, now);
    }

    /// Takes over what the previous process on this VM has reported, once.
    pub fn restore_observations(&self, now: Instant) {
        let observed = self.ledger.borrow_mut().take_inherited_observations();
        let time = self.fleet_time(now);
        self.merge_unresolved("own", &observed.unresolved, now, time);
        self.restore_suspects(&observed.suspects, time);
        self.merge_limits("own", &observed.limits, time, now);
        self.merge_leaving(None, &observed.leaving, now);
        self.streams
            .borrow_mut()
            .merge(&observed.streams, true, now);
    }
}
