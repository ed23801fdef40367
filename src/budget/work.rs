//! What the drawer does with one budget: issues, draws, returns and refusals.

use std::cmp::Reverse;

use super::{
    Action, Mode, Row, Share, ShareManager,
    slot::{
        Flight,
        IDLE_MS,
        Millis,
        Pending,
        Retire, //
    },
};
use crate::model::{
    Code,
    Incarnation,
    Tokens,
    Version, //
};

/// Interval in which the size of a share is reviewed.
const REVIEW_MS: Millis = 5_000;
/// First wait after a failed exchange; it doubles up to `BACKOFF_MAX`.
const BACKOFF_MS: Millis = 20;
/// Longest wait after a failed exchange.
const BACKOFF_MAX_MS: Millis = 5_000;
/// Failed exchanges after which waiting requests are refused.
pub(super) const FAILS: u8 = 3;
/// Wait for other drawers to return tokens after they were told that the budget is short.
const SHORT_WAIT_MS: Millis = 1_000;
/// Shortest interval between two such messages for one budget, and between two returns because of
/// them. More often, the last tokens of a budget would move back and forth.
const SHORT_EVERY_MS: Millis = 30_000;
/// Shortest interval between two returns of a remainder. It bounds the writes for an empty budget.
const SHED_EVERY_MS: Millis = 8_000;
/// First time for which requests are refused without reading the row again; it doubles.
const DRY_MS: Millis = 500;
/// Longest such time. A top-up is in force within this time.
const DRY_MAX_MS: Millis = 4_000;

impl ShareManager {
    /// Whether the platform is expected to answer.
    pub(super) fn online(&self) -> bool {
        matches!(self.mode, Mode::Attached | Mode::Unpaired)
    }

    /// Reviews the size of a share.
    pub(super) fn tick(&mut self, now: Millis, i: u32) {
        let (mode, online) = (self.mode, self.online());
        let slot = self.slot(i);
        slot.sample(now);
        slot.review();
        let idle = now >= slot.used + IDLE_MS && slot.reserved == 0 && slot.need == 0;
        let want = slot.want(mode);
        if idle && slot.is_closed() && !self.stopping {
            return self.close(i, false);
        }
        let slot = self.slot(i);
        if idle {
            slot.keep = Some(0);
            slot.fresh |= slot.share != slot.posted;
        } else if online && slot.avail() / 2 > want {
            slot.keep = Some(want);
        }
        slot.fresh |= slot.free < 0 && slot.avail() > 0;
        self.step(now, i);
    }

    /// Does what the state of a budget calls for.
    pub(super) fn step(&mut self, now: Millis, i: u32) {
        if self.mode == Mode::Sealed {
            return self.wake(i);
        }
        if self.stopping || self.mode == Mode::Frozen {
            // They are refused when they reserve again.
            self.wake(i);
        }
        self.slot(i).sample(now);
        self.retire(i);
        self.issue(i);
        self.serve(now, i);
        self.seek(now, i);
        let slot = self.slot(i);
        if slot.need > 0 && slot.least <= slot.spendable() {
            self.wake(i);
        }
        self.slot(i).check();
        self.schedule(now, i);
    }

    /// Lets the waiting requests reserve again.
    pub(super) fn wake(&mut self, i: u32) {
        let slot = self.slot(i);
        if slot.need > 0 {
            slot.need = 0;
            let budget = slot.id.clone();
            self.out.push(Action::Retry { budget });
        }
    }

    fn issue(&mut self, i: u32) {
        let (mode, stopping) = (self.mode, self.stopping);
        let slot = self.slot(i);
        if stopping {
            slot.keep = Some(0);
        } else if slot.need > 0 && slot.free >= 0 {
            slot.keep = None;
        }
        if slot.keep.is_some_and(|keep| slot.avail() <= keep) {
            slot.keep = None;
        }
        match mode {
            Mode::Detached => slot.issue_all(),
            Mode::Attached | Mode::Unpaired => {
                let changed = match slot.keep {
                    Some(keep) => slot.retire == Retire::No && slot.lower(keep),
                    None => !stopping && slot.raise(),
                };
                let Some(total) = slot.proposed.filter(|_| changed) else {
                    return;
                };
                if mode == Mode::Unpaired {
                    slot.acknowledge(total);
                } else {
                    let budget = slot.id.clone();
                    self.out.push(Action::Issue { budget, total });
                }
            }
            Mode::Frozen | Mode::Sealed => {}
        }
    }

    /// Tells the witness that the share is about to be removed.
    fn retire(&mut self, i: u32) {
        let (mode, stopping) = (self.mode, self.stopping);
        let slot = self.slot(i);
        if !stopping || slot.retire != Retire::No || !slot.is_settled() || slot.is_unused() {
            return;
        }
        if slot.posted == Share::default() {
            // A share that lived on transfers only is written first, so that a sealer that finds 0
            // as issued and no share knows that the share was removed.
            slot.fresh |= matches!(slot.flight, Flight::None);
            return;
        }
        match mode {
            Mode::Attached => {
                slot.retire = Retire::Proposed;
                slot.issued = slot.spent;
                let budget = slot.id.clone();
                self.out.push(Action::Issue { budget, total: 0 });
            }
            Mode::Unpaired => slot.retired(),
            Mode::Detached | Mode::Frozen | Mode::Sealed => {}
        }
    }

    /// Starts an exchange with the table, or asks another daemon.
    fn seek(&mut self, now: Millis, i: u32) {
        let (mode, online, stopping) = (self.mode, self.online(), self.stopping);
        let slot = self.slot(i);
        // A daemon that starts during an outage is unpaired and can only ask others.
        let lost = mode == Mode::Unpaired && slot.fails >= FAILS;
        let draws = online && slot.drawer && !stopping && !lost;
        let wants = draws && now >= slot.dry_until && slot.wants_draw(mode);
        let gives = slot.keep.is_some_and(|keep| slot.returnable(keep) > 0);
        let gives = gives && slot.retire != Retire::Proposed;
        let idle = matches!(slot.flight, Flight::None) && now >= slot.retry_at;
        // The commit that removes the share waits for the witness; the one before does not.
        let ends = stopping && (slot.retire == Retire::Logged || slot.is_unused());
        if online && idle && (wants || gives || slot.fresh || ends) {
            slot.flight = Flight::Read;
            let budget = slot.id.clone();
            self.out.push(Action::Read { budget });
        }
        let slot = self.slot(i);
        if !draws && slot.need > slot.avail() {
            self.ask(now, i);
        }
        self.slot(i).low = self.low(i);
    }

    /// Admissions that leave less than this are worth a look at the slot.
    fn low(&mut self, i: u32) -> Tokens {
        let mode = self.mode;
        let slot = self.slot(i);
        let more = slot.drawer && (slot.free > 0 || !slot.loaded);
        match (slot.unissued(), more) {
            (0, false) => 0,
            (0, true) => slot.want(mode) / 2,
            _ => slot.issue_size() / 2,
        }
    }

    fn schedule(&mut self, now: Millis, i: u32) {
        let slot = self.slot(i);
        let mut due = now + REVIEW_MS;
        for early in [slot.retry_at, slot.ask_at] {
            if early > now {
                due = due.min(early);
            }
        }
        if slot.due <= now || due < slot.due {
            slot.due = due;
            self.timers.push(Reverse((due, i)));
        }
    }

    pub(super) fn on_row(&mut self, now: Millis, budget: &str, row: Option<(Version, Row)>) {
        let Some(i) = self.find(budget) else { return };
        if !matches!(self.slot(i).flight, Flight::Read) {
            return;
        }
        self.slot(i).flight = Flight::None;
        self.mark(i);
        match row {
            Some((version, row)) => self.on_content(now, i, version, row),
            None if self.slot(i).posted == Share::default() => {
                self.slot(i).fresh = false;
                if self.stopping && self.slot(i).is_unused() {
                    return self.close(i, true);
                }
                self.refuse(now, i, Code::NotFound);
            }
            None => self.on_lost_share(i),
        }
    }

    fn on_content(&mut self, now: Millis, i: u32, version: Version, row: Row) {
        let inc = self.inc.clone();
        let slot = self.slot(i);
        let old = row.shares.get(&inc).copied().unwrap_or_default();
        if old.sealed || (old == Share::default() && slot.posted != old) {
            return self.on_lost_share(i);
        }
        assert!(slot.share.drawn <= old.drawn, "a read is never stale");
        slot.share.drawn = old.drawn;
        slot.posted = old;
        slot.fails = 0;
        slot.fresh = false;
        slot.adopt(version, &row, &inc);
        if slot.reason == Code::BudgetUnavailable {
            slot.dry_until = 0;
        }
        self.recall(now, i);
        self.write(now, i, row);
    }

    /// The share is not in the row any more: removed after a planned stop, or the incarnation was
    /// sealed.
    fn on_lost_share(&mut self, i: u32) {
        if self.stopping && self.slot(i).reserved == 0 {
            return self.close(i, true);
        }
        self.out.push(Action::Sealed);
        self.on_mode(Mode::Sealed);
    }

    /// Decides what to give back because the limit was lowered or another drawer is short.
    fn recall(&mut self, now: Millis, i: u32) {
        let slot = self.slot(i);
        let yields = std::mem::take(&mut slot.yields);
        if slot.free < 0 {
            slot.keep = Some(0);
            return;
        }
        let recent = slot.gave_at.is_some_and(|at| now < at + SHORT_EVERY_MS);
        let keep = match now >= slot.used + REVIEW_MS {
            true => 0,
            false => slot.issue_size(),
        };
        if yields && !recent && slot.need == 0 && slot.avail() / 2 >= keep && slot.avail() > 0 {
            slot.keep = Some(keep);
            slot.gave_at = Some(now);
        }
    }

    /// Writes the share with a draw or a return, if there is anything to write.
    fn write(&mut self, now: Millis, i: u32, mut row: Row) {
        let (mode, stopping, inc) = (self.mode, self.stopping, self.inc.clone());
        if !self.online() {
            return;
        }
        let slot = self.slot(i);
        let mut draw = 0;
        if let Some(keep) = slot.keep {
            slot.share.returned += slot.returnable(keep);
        } else if slot.drawer && !stopping {
            draw = slot.draw(mode);
        }
        let mut next = slot.share;
        next.drawn += draw;
        // A share is written before it is removed. Otherwise a removal whose answer was lost would
        // look the same as one that was not applied.
        let removes = slot.retire == Retire::Logged
            && slot.posted != Share::default()
            && next.outstanding() == Some(0);
        if slot.need > 0 && slot.avail() + draw < slot.least && slot.drawer {
            self.short(now, i, &row);
        } else if draw > 0 {
            slot.dry = 0;
        }
        let slot = self.slot(i);
        if next == slot.posted && !removes {
            return self.written(i, draw);
        }
        row.update_share(&inc, next)
            .expect("the figures never fall");
        if removes {
            row.remove_share(&inc).expect("nothing is outstanding");
        }
        let free = row.breakdown().free;
        assert!(draw == 0 || free >= 0, "a draw never leaves less than 0");
        slot.flight = Flight::Commit(Box::new(Pending {
            share: next,
            free: i64::try_from(free).unwrap_or(i64::MAX),
            removes,
        }));
        let (budget, expect) = (slot.id.clone(), slot.version);
        self.out.push(Action::Commit {
            budget,
            expect,
            row,
        });
    }

    /// Nothing had to be written.
    fn written(&mut self, i: u32, draw: Tokens) {
        let slot = self.slot(i);
        slot.asked = 0;
        if draw == 0 {
            self.transfers.drop_asks(i);
        }
        let stopping = self.stopping;
        let slot = self.slot(i);
        if stopping && slot.is_unused() {
            self.close(i, true);
        }
    }

    /// The row has too few tokens: tells the other drawers first, and refuses after that.
    fn short(&mut self, now: Millis, i: u32, row: &Row) {
        let inc = self.inc.clone();
        let slot = self.slot(i);
        let told = slot.short_at.is_some_and(|at| now < at + SHORT_EVERY_MS);
        let to: Vec<Incarnation> = row
            .shares
            .iter()
            .filter(|(id, share)| **id != inc && !share.sealed && share.outstanding() != Some(0))
            .map(|(id, _)| id.clone())
            .collect();
        if told || to.is_empty() {
            let recent = slot.shed_at.is_some_and(|at| now < at + SHED_EVERY_MS);
            if slot.avail() > 0 && !recent {
                // Less than a request needs here, but with other remainders enough for another one.
                slot.keep = Some(0);
                slot.shed_at = Some(now);
                self.mark(i);
            }
            return self.refuse(now, i, Code::BudgetExhausted);
        }
        slot.short_at = Some(now);
        slot.retry_at = now + SHORT_WAIT_MS;
        let budget = slot.id.clone();
        self.out.push(Action::Short { budget, to });
    }

    /// Refuses the waiting requests, and new ones for a while.
    pub(super) fn refuse(&mut self, now: Millis, i: u32, reason: Code) {
        let slot = self.slot(i);
        slot.reason = reason;
        slot.dry_until = now + (DRY_MS << slot.dry.min(8)).min(DRY_MAX_MS);
        slot.dry = slot.dry.saturating_add(1);
        slot.asked = 0;
        self.transfers.drop_asks(i);
        self.wake(i);
    }

    pub(super) fn on_committed(&mut self, budget: &str, version: Version) {
        let Some(i) = self.find(budget) else { return };
        let slot = self.slot(i);
        let Flight::Commit(pending) = std::mem::replace(&mut slot.flight, Flight::None) else {
            return;
        };
        if pending.removes {
            return self.close(i, true);
        }
        slot.share.drawn = pending.share.drawn;
        slot.posted = pending.share;
        slot.free = pending.free;
        slot.version = version;
        slot.fails = 0;
        self.mark(i);
    }

    /// A lost answer and a conflict are handled alike: the row is read again, and what it says
    /// about the share is what was applied.
    pub(super) fn on_failed(&mut self, now: Millis, budget: &str, conflict: bool) {
        let jitter = self.random();
        let Some(i) = self.find(budget) else { return };
        let slot = self.slot(i);
        slot.flight = Flight::None;
        // The row must be read even when the demand that caused the commit has ended.
        slot.fresh = true;
        slot.fails = slot.fails.saturating_add(1);
        let wait = (BACKOFF_MS << slot.fails.min(8)).min(BACKOFF_MAX_MS);
        slot.retry_at = now + wait / 2 + jitter % wait;
        let (fails, asks) = (slot.fails, self.mode == Mode::Unpaired);
        if !conflict && fails >= FAILS && !asks {
            self.refuse(now, i, Code::BudgetUnavailable);
        }
        self.mark(i);
    }

    fn random(&mut self) -> u64 {
        // xorshift64; only spreads retries.
        self.seed ^= self.seed << 13;
        self.seed ^= self.seed >> 7;
        self.seed ^= self.seed << 17;
        self.seed
    }

    pub(super) fn on_issued(&mut self, budget: &str, total: Tokens) {
        let Some(i) = self.find(budget).filter(|_| self.mode != Mode::Sealed) else {
            return;
        };
        let slot = self.slot(i);
        if total == 0 && slot.retire == Retire::Proposed {
            slot.retired();
            self.mark(i);
        } else if slot.acknowledge(total) {
            self.mark(i);
        }
    }

    pub(super) fn on_billed(&mut self, budget: &str, total: Tokens) {
        let Some(i) = self.find(budget) else { return };
        let slot = self.slot(i);
        if slot.returns {
            return;
        }
        slot.share.billed = slot.share.billed.max(total);
        assert!(slot.share.billed <= slot.spent, "billed <= spent");
        if self.stopping {
            self.mark(i);
        }
    }

    pub(super) fn on_short(&mut self, budget: &str) {
        if let Some(i) = self.find(budget) {
            let slot = self.slot(i);
            if slot.avail() > 0 {
                slot.fresh = true;
                slot.yields = true;
                self.mark(i);
            }
        }
    }

    pub(super) fn on_mode(&mut self, mode: Mode) {
        if self.mode == Mode::Sealed {
            return;
        }
        self.mode = mode;
        for slot in self.slots.iter_mut().flatten() {
            slot.ask_at = 0;
            slot.asks = 0;
            if !matches!(mode, Mode::Frozen | Mode::Sealed) {
                slot.retry_at = 0;
            }
            // Detaching issues everything again, and a new witness has not seen the entry.
            slot.retire = Retire::No;
            let Some(total) = slot.proposed else { continue };
            let budget = slot.id.clone();
            match mode {
                Mode::Attached => self.out.push(Action::Issue { budget, total }),
                Mode::Detached => slot.issue_all(),
                Mode::Unpaired => {
                    slot.acknowledge(total);
                }
                Mode::Frozen | Mode::Sealed => {}
            }
        }
        self.relog();
        self.mark_all();
    }
}
