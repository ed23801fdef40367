//! Reads and writes of the rows.

use cuminloom_edge::prepaid::{
    CommitOutcome,
    WriteScope,
    read_interval,
    write_interval, //
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
        let interval = read_interval(ledger, instant, self.random.random());
        node.next_read = now + interval.as_millis() as u64;
    }

    /// Sends the next write of node `i` to the store, if it is due.
    pub(super) fn write(&mut self, i: usize) {
        let (now, instant) = (self.now, self.instant(i));
        let lost = self.chance(self.faults.lost);
        let node = &mut self.nodes[i];
        let Some(ledger) = &mut node.ledger else {
            return;
        };
        let spacing = match self.mechanism {
            Mechanism::Everyone => Duration::ZERO,
            Mechanism::Holders => node.pacing.spacing(ledger, PART_RATE, instant),
        };
        let wanted = ledger.has_waiting() && !node.unfinished;
        let due = now >= node.next_write || wanted;
        if node.in_flight.is_some() || !due || !spacing.is_zero() {
            return;
        }
        let scope = match self.mechanism {
            Mechanism::Everyone => WriteScope::Customers(usize::MAX),
            Mechanism::Holders => node.pacing.scope(ledger, instant),
        };
        let Some(plan) = ledger.plan_scoped(instant, Default::default(), scope) else {
            return;
        };
        node.pacing.record_write(instant);
        node.unfinished = false;
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
        let node = &mut self.nodes[i];
        let Some(write) = node.in_flight.take_if(|w| w.done_at <= now) else {
            return;
        };
        let Some(ledger) = &mut node.ledger else {
            return;
        };
        let interval = write_interval(ledger, self.random.random());
        node.next_write = now + interval.as_millis() as u64;
        let Some(commit) = write.commit else {
            return;
        };
        self.outcome.commits += 1;
        self.outcome.commit_ms += now - write.sent;
        let conflict = matches!(commit, CommitOutcome::Conflict(_));
        ledger.apply_outcome(&write.plan, commit, instant);
        self.tell(i);
        let node = &mut self.nodes[i];
        let Some(ledger) = &node.ledger else {
            return;
        };
        if !conflict && !node.pacing.leaves_rows() {
            node.pacing.record_success();
            return;
        }
        self.outcome.conflicts += u64::from(conflict);
        node.pacing.record_conflict();
        node.unfinished = true;
        let pause = match self.mechanism {
            Mechanism::Everyone => Duration::ZERO,
            Mechanism::Holders => {
                let random = self.random.random();
                node.pacing.conflict_pause(ledger, PART_RATE, random)
            }
        };
        node.next_write = now + pause.as_millis() as u64;
    }

    /// Tells up to seven other daemons of the tokens that node `i` has drawn.
    fn tell(&mut self, i: usize) {
        let instant = self.instant(i);
        let Some(ledger) = &mut self.nodes[i].ledger else {
            return;
        };
        let Some(notice) = ledger.take_notice(instant) else {
            return;
        };
        let witnesses = ledger.witnesses(instant).into_iter();
        let nodes = witnesses.map(|a| usize::from(a.port()) - 10_000);
        let up: Vec<usize> = nodes.filter(|j| self.is_up(*j)).take(7).collect();
        for j in &up {
            if let Some(ledger) = &mut self.nodes[*j].ledger {
                ledger.record_notice(notice.clone());
            }
        }
        if let Some(ledger) = self.nodes[i].ledger.as_mut().filter(|_| !up.is_empty()) {
            ledger.acknowledge(notice.number);
        }
    }
}
