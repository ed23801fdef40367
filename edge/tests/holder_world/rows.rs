//! Reads and writes of the rows.

use cuminloom_edge::prepaid::{
    CommitOutcome,
    WriteScope, //
};
use rand::RngExt;

use super::*;

impl World {
    pub(super) fn read(&mut self, i: usize) {
        let (now, instant) = (self.now, self.instant(i));
        let node = &mut self.nodes[i];
        let Some(ledger) = node.ledger.as_mut().filter(|_| now >= node.next_read) else {
            return;
        };
        ledger.apply_rows(self.store.rows(now), true, instant, instant);
        let frequent = ledger.is_holder() || !ledger.knows_holders();
        node.next_read = now + if frequent { READ_MS } else { MEMBER_READ_MS };
    }

    /// Sends the next write of node `i` to the store, if it is due.
    pub(super) fn write(&mut self, i: usize) {
        let (now, instant) = (self.now, self.instant(i));
        let scope = match (self.mechanism, self.nodes[i].conflicts) {
            (Mechanism::Everyone, _) | (_, 0) => WriteScope::Customers(usize::MAX),
            (_, n) if !n.is_multiple_of(2) => WriteScope::OwnRow,
            (_, 2) => WriteScope::Customers(4),
            _ => WriteScope::Customers(1),
        };
        let lost = self.chance(self.faults.lost);
        let node = &mut self.nodes[i];
        let Some(ledger) = &mut node.ledger else {
            return;
        };
        let spacing = write_spacing(ledger);
        let spaced = self.mechanism == Mechanism::Everyone || now >= node.last_write + spacing;
        let wanted = ledger.has_waiting() && node.conflicts == 0 && spaced;
        let due = now >= node.next_write || wanted;
        if node.in_flight.is_some() || !due {
            return;
        }
        let Some(plan) = ledger.plan_scoped(instant, Vec::new(), scope) else {
            return;
        };
        node.last_write = now;
        self.part_free = self.part_free.max(now as f64) + 1000.0 / PART_RATE;
        let commit = self.store.apply(&plan.batch, self.part_free as u64);
        node.in_flight = Some(InFlight {
            done_at: if lost {
                now + ANSWER_TIMEOUT_MS
            } else {
                (self.part_free + STORE_MS) as u64
            },
            sent: now,
            plan,
            commit: (!lost).then_some(commit),
        });
    }

    /// Applies the answer to the write of node `i` that has arrived.
    pub(super) fn finish_write(&mut self, i: usize) {
        let (now, instant) = (self.now, self.instant(i));
        let pause = match self.mechanism {
            Mechanism::Everyone => 0.0,
            Mechanism::Holders => self.random.random_range(0.0..CONFLICT_PAUSE),
        };
        let member_write = self
            .random
            .random_range(MEMBER_WRITE_MS / 2..MEMBER_WRITE_MS * 3 / 2);
        let node = &mut self.nodes[i];
        let Some(write) = node.in_flight.take_if(|w| w.done_at <= now) else {
            return;
        };
        let Some(ledger) = &mut node.ledger else {
            return;
        };
        let frequent = ledger.is_holder() || !ledger.is_owned() || ledger.holds_tokens();
        node.next_write = now + if frequent { WRITE_MS } else { member_write };
        let Some(commit) = write.commit else {
            return;
        };
        self.outcome.commits += 1;
        self.outcome.commit_ms += now - write.sent;
        let conflict = matches!(commit, CommitOutcome::Conflict(_));
        ledger.apply_outcome(&write.plan, commit, instant);
        let rest = node.conflicts > 0 && write.plan.batch.customers.is_empty();
        if conflict || (rest && ledger.has_waiting()) {
            self.outcome.conflicts += u64::from(conflict);
            node.conflicts += 1;
            node.next_write = now + (write_spacing(ledger) as f64 * pause) as u64;
        } else {
            node.conflicts = 0;
        }
    }
}
