//! When a daemon reads and writes the rows, and which rows a write contains.

use std::time::{
    Duration,
    Instant, //
};

use super::{
    Ledger,
    WRITE_INTERVAL,
    WriteScope, //
};

/// Interval between two reads of all rows by a daemon that holds grants.
const READ_INTERVAL: Duration = Duration::from_millis(1000);

/// Interval between two reads while daemons that hold grants wait for others to write their rows again.
const RECOVERY_READ_INTERVAL: Duration = Duration::from_millis(200);

/// Shortest time between two reads, as a fraction of [`READ_INTERVAL`]; a nearer turn is skipped.
const MIN_READ_FRACTION: f64 = 0.3;

/// Longest interval between two reads of all rows by any other daemon, which needs them only for the members
/// and what crashes runners. These must be known to all daemons within 3 s.
const MEMBER_READ_INTERVAL: Duration = Duration::from_millis(2000);

/// Longest part of [`MEMBER_READ_INTERVAL`] by which a read comes early.
const MEMBER_READ_SPREAD: f64 = 0.3;

/// Longest interval between two writes of a daemon without grants, of which only its presence matters. Each
/// is a random part of it, from a third up, so that daemons that started together do not write together.
const MEMBER_WRITE_INTERVAL: Duration = Duration::from_millis(7500);

/// Part of the store's rate of transactions that all holders together use for waiting requests. One write
/// brings the tokens for many of them.
const HOLDER_WRITE_FRACTION: f64 = 0.5;

/// Customers' rows in a write after one conflict, and after more.
const ROWS_AFTER_CONFLICTS: [usize; 2] = [4, 1];

/// Interval between writes of a daemon without grants that returns tokens it drew. Holders come first: many
/// daemons may have drawn some at the same moment.
const RETURN_INTERVAL: Duration = Duration::from_millis(2000);

/// Interval between writes while requests wait for tokens that the last write did not bring: others may
/// have returned some.
const WAITING_WRITE_INTERVAL: Duration = Duration::from_millis(50);

/// Longest random pause after a conflict, in units of the spacing of writes.
const CONFLICT_PAUSE_SPACINGS: f64 = 1.5;

/// Decides when the rows are read and written. Randomness is passed in, as numbers from 0 to 1.
///
/// # Examples
///
/// ```
/// use std::time::Instant;
/// use cuminloom_edge::prepaid::{Ledger, Pacing, WriteScope};
///
/// let (ledger, now) = (Ledger::new("vm-1", 1, None), Instant::now());
/// let mut pacing = Pacing::default();
/// assert_eq!(pacing.scope(&ledger, now), WriteScope::Customers(usize::MAX));
/// pacing.record_conflict();
/// assert_eq!(pacing.scope(&ledger, now), WriteScope::OwnRow);
/// pacing.record_success();
/// assert_eq!(pacing.scope(&ledger, now), WriteScope::Customers(usize::MAX));
/// ```
#[derive(Clone, Copy, Debug, Default)]
pub struct Pacing {
    /// Writes in a row that conflicted, or that left the customers' rows to the next one after that.
    conflicts: u32,
    /// Time of the last write.
    last: Option<Instant>,
}

impl Pacing {
    /// Rows of the next write. A holder changes rows of customers for whom no request waits only in its turn.
    /// After a conflict, every other write has the own row alone, so that rows that others write do not delay
    /// it.
    pub fn scope(&self, ledger: &Ledger, now: Instant) -> WriteScope {
        let most = match self.conflicts {
            0 => usize::MAX,
            n if !n.is_multiple_of(2) => return WriteScope::OwnRow,
            2 => ROWS_AFTER_CONFLICTS[0],
            _ => ROWS_AFTER_CONFLICTS[1],
        };
        if ledger.has_turn(now) {
            WriteScope::Customers(most)
        } else {
            WriteScope::Waiting(most)
        }
    }

    /// Records that a write was sent.
    pub fn record_write(&mut self, now: Instant) {
        self.last = Some(now);
    }

    /// Records that the last write conflicted.
    pub fn record_conflict(&mut self) {
        self.conflicts += 1;
    }

    /// Records that the last write was accepted or failed otherwise.
    pub fn record_success(&mut self) {
        self.conflicts = 0;
    }

    /// Whether the write that [`Pacing::scope`] describes has the own row alone after a conflict, and leaves rows
    /// of customers to the next one.
    pub fn leaves_rows(&self) -> bool {
        !self.conflicts.is_multiple_of(2)
    }

    /// Time until the next write may be sent, for all holders together to stay within their part of
    /// `rate` transactions per second.
    pub fn spacing(&self, ledger: &Ledger, rate: f64, now: Instant) -> Duration {
        let Some(last) = self.last.filter(|_| self.conflicts == 0) else {
            return Duration::ZERO;
        };
        let passed = now.saturating_duration_since(last);
        spacing(ledger, rate).saturating_sub(passed)
    }

    /// Pause after a conflict: none before the own row, which can't conflict, and else a random one, so
    /// that daemons that conflicted do not meet again.
    pub fn conflict_pause(&self, ledger: &Ledger, rate: f64, random: f64) -> Duration {
        if self.leaves_rows() {
            return Duration::ZERO;
        }
        spacing(ledger, rate).mul_f64(random * CONFLICT_PAUSE_SPACINGS)
    }
}

/// Time between two writes of this daemon at which all that may write as often as it does stay within their
/// part of `rate`: the holders, or all daemons if those without grants draw tokens themselves. A stopping
/// daemon writes as often as a holder, as it has little time to return its tokens.
fn spacing(ledger: &Ledger, rate: f64) -> Duration {
    let writers = if ledger.is_holder() || ledger.is_leaving() {
        ledger.holder_count() as f64
    } else {
        f64::from(ledger.members())
    };
    let rate = rate.max(1.0) * HOLDER_WRITE_FRACTION;
    Duration::from_secs_f64(writers / rate).min(WRITE_INTERVAL)
}

/// Interval until the next regular write of the own row.
pub fn write_interval(ledger: &Ledger, random: f64) -> Duration {
    if ledger.has_waiting() || ledger.is_recovering() {
        return WAITING_WRITE_INTERVAL;
    }
    if !ledger.is_owned() || ledger.is_holder() || ledger.is_leaving() {
        return WRITE_INTERVAL;
    }
    if ledger.holds_tokens() {
        return RETURN_INTERVAL;
    }
    MEMBER_WRITE_INTERVAL.mul_f64((1.0 + 2.0 * random) / 3.0)
}

/// Interval until the next read of all rows. A holder reads at its turn.
pub fn read_interval(ledger: &Ledger, now: Instant, random: f64) -> Duration {
    if !ledger.is_settled(now) && (ledger.is_holder() || !ledger.is_owned()) {
        return RECOVERY_READ_INTERVAL;
    }
    if let Some(wait) = ledger.turn_wait(READ_INTERVAL, now) {
        return match wait < READ_INTERVAL.mul_f64(MIN_READ_FRACTION) {
            true => wait + READ_INTERVAL,
            false => wait,
        };
    }
    if ledger.is_holder() || !ledger.knows_holders() {
        return READ_INTERVAL;
    }
    MEMBER_READ_INTERVAL.mul_f64(1.0 - MEMBER_READ_SPREAD * random)
}
