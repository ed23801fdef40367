//! Turns of the holders in changing customers' rows.
//!
//! A daemon learns the versions of the customers' rows when it reads all rows, so a write right after that
//! conflicts least. The holders read one after another, in the order in which all know them and by the store's
//! clock, which each response tells. Turns only make conflicts rarer; the store's preconditions decide.

use std::time::{
    Duration,
    Instant, //
};

use super::Ledger;

/// Time after a read of all rows for which their versions count as fresh: the pause before a write, and the
/// part of a round of eight holders.
const TURN_TIME: Duration = Duration::from_millis(120);

impl Ledger {
    /// Whether this daemon may change rows of customers for whom no request waits. Daemons that are no holders
    /// do so seldom, and a stopping one has no time to wait.
    pub fn has_turn(&self, now: Instant) -> bool {
        if !self.is_holder() {
            return true;
        }
        let read_at = self.read_at;
        read_at.is_some_and(|at| now.saturating_duration_since(at) < TURN_TIME)
    }

    /// Time until the next turn of this daemon in rounds of the length `round`; `None` if it holds no grants or
    /// does not know the store's time.
    pub fn turn_wait(&self, round: Duration, now: Instant) -> Option<Duration> {
        if !self.is_holder() {
            return None;
        }
        let rank = self.holders.iter().position(|h| h.node == self.node)?;
        let round_ms = round.as_millis() as u64;
        let turn = round_ms * rank as u64 / self.holders.len() as u64;
        let wait = (turn + round_ms).checked_sub(self.store_now(now)? % round_ms)? % round_ms;
        Some(Duration::from_millis(wait))
    }
}
