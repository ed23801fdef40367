//! Applies rows that were read from the store.

use std::time::{
    Duration,
    Instant, //
};

use super::{
    super::{
        CustomerRow,
        DaemonRow,
        Row,
        Rows,
        audit, //
    },
    Ledger,
};
use crate::adapter::StoreVersion;

/// Longest time between two reads of all rows that is not an outage: more than two of the interval of a
/// daemon without grants.
const MAX_READ_GAP: Duration = Duration::from_secs(5);

impl Ledger {
    /// Applies rows that were requested at `asked` and received at `received`; `whole` if these are
    /// all rows of the store. Rows of an earlier era are ignored.
    pub fn apply_rows(&mut self, rows: Rows, whole: bool, asked: Instant, received: Instant) {
        let now = rows.now;
        if !self.enter_era(rows.era, received) {
            return;
        }
        let era = rows.era;
        self.record_store_time(now, received);
        self.older_rows = rows
            .rows
            .iter()
            .filter(|row| self.is_older(row, era))
            .count();
        if whole {
            self.rows_read = true;
            self.read_at = Some(received);
            self.skip_unread_time(asked);
            self.audits = audit(&rows, &self.limits, |name| self.is_silent(name, asked));
        }
        for row in rows.rows {
            let version = StoreVersion {
                era,
                number: row.version(),
            };
            match row {
                Row::Customer(name, _, sum) => {
                    let entry = self
                        .customer_rows
                        .entry(name)
                        .or_insert((StoreVersion::default(), CustomerRow::default()));
                    if version >= entry.0 {
                        *entry = (version, sum);
                    }
                }
                // What another writer has put in place of the row of the previous process hides its grants:
                // they stay committed, and this process begins without any.
                Row::Unreadable(name, number) if name == self.node && !self.owned => {
                    self.apply_own_row(number, DaemonRow::default(), now, asked..received);
                }
                Row::Unreadable(name, number) if name == self.node && self.claims.is_some() => {
                    (self.version, self.stored) = (number, None);
                }
                Row::Unreadable(..) => {}
                Row::Daemon(name, number, row) if name == self.node => {
                    self.apply_own_row(number, *row, now, asked..received);
                }
                Row::Daemon(name, _, row) => self.apply_peer_row(name, version, *row, asked),
                Row::Versions(..) => {}
                Row::Era(marked, _) => self.era_marked |= Some(marked) == self.era,
            }
        }
        if whole && !self.owned && self.inherited.is_none() {
            // There is no row of a previous process to take over.
            self.inherited = Some(DaemonRow::default());
        }
        if whole {
            self.forget_written_rows();
            self.settled = self.is_settled(asked);
            self.update_holders(asked, received);
        }
    }

    /// Applies the row of the daemon on the VM `name`, which was requested at `asked`.
    fn apply_peer_row(
        &mut self,
        name: String,
        version: StoreVersion,
        row: DaemonRow,
        asked: Instant,
    ) {
        let known = self.peer_rows.get(&name);
        if known.is_some_and(|(known, _)| version < *known) {
            return;
        }
        // A row of a copy is no sign of its daemon.
        let alive = known.is_none_or(|(known, old)| match known.era == version.era {
            true => *known != version,
            false => row.order() > old.order() || row.reconciled > old.reconciled,
        });
        if alive {
            self.changed_at.insert(name.clone(), asked);
        }
        self.forget_notices(&name, &row);
        self.peer_rows.insert(name, (version, row));
    }

    /// Whether a newer version of `row`, which was read in the era `era`, is known.
    fn is_older(&self, row: &Row, era: u64) -> bool {
        let known = match row {
            Row::Customer(name, ..) => self.customer_rows.get(name).map(|(v, _)| *v),
            Row::Daemon(name, ..) | Row::Unreadable(name, _) if *name == self.node => {
                Some(StoreVersion {
                    era,
                    number: self.version,
                })
            }
            Row::Daemon(name, ..) | Row::Unreadable(name, _) => {
                self.peer_rows.get(name).map(|(v, _)| *v)
            }
            Row::Era(..) | Row::Versions(..) => None,
        };
        let number = row.version();
        known.is_some_and(|known| StoreVersion { era, number } < known)
    }

    /// Lets a time without a read of all rows count for no daemon: it says nothing about their writes, and
    /// in an outage of the store none of them can write. `asked` is the time of the present read.
    fn skip_unread_time(&mut self, asked: Instant) {
        let last = self.last_read.replace(asked);
        let gap = last.map_or(Duration::ZERO, |at| asked.saturating_duration_since(at));
        if gap > MAX_READ_GAP {
            self.changed_at.values_mut().for_each(|at| *at += gap);
        }
    }
}
