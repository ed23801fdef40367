//! The drawer: all budgets of one incarnation.

use std::time::Duration;

use super::{
    Action,
    Event,
    Mode,
    Reservation,
    Reserve,
    Statement, //
};
use crate::model::{
    BudgetId,
    Code,
    Fault,
    Incarnation,
    Tokens, //
};

/// Draws, issues and returns the shares of one incarnation.
#[derive(Debug)]
pub struct Drawer {
    inc: Incarnation,
    mode: Mode,
    seed: u64,
}

impl Drawer {
    /// Returns a drawer without shares, in mode `Frozen` until the first [`Event::Mode`].
    pub fn start(inc: Incarnation, seed: u64) -> Self {
        Self {
            inc,
            mode: Mode::Frozen,
            seed,
        }
    }

    /// Reserves `bound` tokens from what is issued.
    pub fn reserve(&mut self, now: Duration, budget: &BudgetId, bound: Tokens) -> Reserve {
        let _ = (now, budget, bound, self.seed);
        Reserve::Refused(Fault::not_run(Code::BudgetUnavailable, "not implemented"))
    }

    /// Ends a reservation and charges `used` tokens.
    pub fn settle(&mut self, now: Duration, held: Reservation, used: Tokens) {
        let _ = (now, held, used);
    }

    /// Takes an event.
    pub fn handle(&mut self, now: Duration, event: Event) {
        let _ = (now, event);
    }

    /// Runs what is due and returns the actions since the last call.
    pub fn poll(&mut self, now: Duration) -> Vec<Action> {
        let _ = (now, &self.inc, self.mode);
        Vec::new()
    }

    /// When [`Drawer::poll`] has to be called next unless an event arrives earlier.
    pub fn next_due(&self) -> Option<Duration> {
        None
    }

    /// Figures of all shares that are not closed, for a snapshot or an audit.
    pub fn statements(&self) -> impl Iterator<Item = Statement> + '_ {
        std::iter::empty()
    }

    /// Whether a planned stop has returned and removed every share.
    pub fn is_done(&self) -> bool {
        false
    }
}
