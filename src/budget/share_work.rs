//! The share manager's work on one budget: issues, draws, returns and refusals.

use std::cmp::Reverse;

use super::{
    Action, Mode, Row, Share, ShareManager,
    budget_state::{
        Exchange,
        IDLE_TIMEOUT_MS,
        Millis,
        PendingCommit,
        Removal, //
    },
};
use crate::model::{
    Code,
    Incarnation,
    Tokens,
    Version, //
};

/// Interval between two reviews of the size of a share.
const REVIEW_INTERVAL_MS: Millis = 5_000;
/// First wait after a failed exchange with the table; it doubles up to [`MAX_BACKOFF_MS`].
const MIN_BACKOFF_MS: Millis = 20;
/// Longest wait after a failed exchange with the table.
const MAX_BACKOFF_MS: Millis = 5_000;
/// Failed exchanges in a row after which waiting requests are refused.
pub(super) const MAX_FAILURES: u8 = 3;
/// Time for other daemons to return tokens after they were told that the budget is short.
const SHORT_WAIT_MS: Millis = 1_000;
/// Shortest interval between two messages that a budget is short, and between two returns because
/// of such messages. With a shorter one the last tokens of a budget would move back and forth.
const SHORT_INTERVAL_MS: Millis = 30_000;
/// Shortest interval between two returns of a remainder that is too small for a request. It limits
/// the writes for an empty budget.
const SHED_INTERVAL_MS: Millis = 8_000;
/// First time span in which requests are refused without reading the row again; it doubles up to
/// [`MAX_REFUSAL_MS`].
const MIN_REFUSAL_MS: Millis = 500;
/// Longest time span in which requests are refused without reading the row again. A top-up takes
/// effect within this time.
const MAX_REFUSAL_MS: Millis = 4_000;

impl ShareManager {
    /// Whether the platform is expected to answer.
    pub(super) fn is_online(&self) -> bool {
        matches!(self.mode, Mode::Attached | Mode::Unpaired)
    }

    /// Reviews the size of a share: returns it when it is idle or too large, and closes an empty
    /// one.
    pub(super) fn review(&mut self, now: Millis, i: u32) {
        let (mode, online) = (self.mode, self.is_online());
        let slot = self.slot(i);
        slot.update_demand(now);
        slot.decay_bound();
        let idle = now >= slot.last_used + IDLE_TIMEOUT_MS
            && slot.reserved == 0
            && slot.waiting_tokens == 0;
        let want = slot.target_size(mode);
        if idle && slot.can_close() && !self.stopping {
            return self.close_slot(i, false);
        }
        let slot = self.slot(i);
        if idle {
            slot.keep = Some(0);
            slot.needs_read |= slot.share != slot.row_share;
        } else if online && slot.available() / 2 > want {
            slot.keep = Some(want);
        }
        slot.needs_read |= slot.free < 0 && slot.available() > 0;
        self.advance(now, i);
    }

    /// Advances the budget in slot `i` after an event, a reservation or a timer: issues, answers
    /// peers, and starts draws and returns.
    pub(super) fn advance(&mut self, now: Millis, i: u32) {
        if self.mode == Mode::Sealed {
            return self.retry_waiting(i);
        }
        if self.stopping || self.mode == Mode::Frozen {
            // The waiting requests are refused when they reserve again.
            self.retry_waiting(i);
        }
        self.slot(i).update_demand(now);
        self.start_removal(i);
        self.update_issue(i);
        self.serve_asks(now, i);
        self.start_exchange(now, i);
        let slot = self.slot(i);
        if slot.waiting_tokens > 0 && slot.min_waiting <= slot.spendable() {
            self.retry_waiting(i);
        }
        self.slot(i).assert_invariants();
        self.schedule(now, i);
    }

    /// Tells the owner that the waiting requests should reserve again.
    pub(super) fn retry_waiting(&mut self, i: u32) {
        let slot = self.slot(i);
        if slot.waiting_tokens > 0 {
            slot.waiting_tokens = 0;
            let budget = slot.id.clone();
            self.out.push(Action::Retry { budget });
        }
    }

    /// Raises or lowers the issued tokens, with the witness's acknowledgement where the mode needs
    /// it.
    fn update_issue(&mut self, i: u32) {
        let (mode, stopping) = (self.mode, self.stopping);
        let slot = self.slot(i);
        if stopping {
            slot.keep = Some(0);
        } else if slot.waiting_tokens > 0 && slot.free >= 0 {
            slot.keep = None;
        }
        if slot.keep.is_some_and(|keep| slot.available() <= keep) {
            slot.keep = None;
        }
        match mode {
            Mode::Detached => slot.issue_all(),
            Mode::Attached | Mode::Unpaired => {
                let changed = match slot.keep {
                    Some(keep) => slot.removal == Removal::No && slot.propose_lower(keep),
                    None => !stopping && slot.propose_higher(),
                };
                let Some(total) = slot.proposed_issue.filter(|_| changed) else {
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

    /// In a planned stop, tells the witness that a settled share is about to be removed.
    fn start_removal(&mut self, i: u32) {
        let (mode, stopping) = (self.mode, self.stopping);
        let slot = self.slot(i);
        if !stopping || slot.removal != Removal::No || !slot.is_settled() || slot.is_unused() {
            return;
        }
        if slot.row_share == Share::default() {
            // A share with only transferred tokens is written before it is removed. A sealing
            // daemon that finds 0 issued tokens and no share then knows that the share was removed.
            slot.needs_read |= matches!(slot.exchange, Exchange::None);
            return;
        }
        match mode {
            Mode::Attached => {
                slot.removal = Removal::Proposed;
                slot.issued = slot.spent;
                let budget = slot.id.clone();
                self.out.push(Action::Issue { budget, total: 0 });
            }
            Mode::Unpaired => slot.mark_removal_logged(),
            Mode::Detached | Mode::Frozen | Mode::Sealed => {}
        }
    }

    /// Starts an exchange with the table by reading the row, or asks another daemon for tokens.
    fn start_exchange(&mut self, now: Millis, i: u32) {
        let (mode, online, stopping) = (self.mode, self.is_online(), self.stopping);
        let slot = self.slot(i);
        // A daemon that starts during an outage is unpaired and can only ask other daemons.
        let lost = mode == Mode::Unpaired && slot.failures >= MAX_FAILURES;
        let draws = online && slot.may_draw && !stopping && !lost;
        let wants = draws && now >= slot.refuse_until && slot.needs_draw(mode);
        let gives = slot.keep.is_some_and(|keep| slot.returnable(keep) > 0);
        let gives = gives && slot.removal != Removal::Proposed;
        let idle = matches!(slot.exchange, Exchange::None) && now >= slot.retry_at;
        // The commit that removes the share waits for the witness; the commit before it does not.
        let ends = stopping && (slot.removal == Removal::Logged || slot.is_unused());
        if online && idle && (wants || gives || slot.needs_read || ends) {
            slot.exchange = Exchange::Read;
            let budget = slot.id.clone();
            self.out.push(Action::Read { budget });
        }
        let slot = self.slot(i);
        if !draws && slot.waiting_tokens > slot.available() {
            self.ask_next(now, i);
        }
        self.slot(i).low_water = self.low_water(i);
    }

    /// Number of spendable tokens below which an admission queues the slot for an issue or a draw.
    fn low_water(&mut self, i: u32) -> Tokens {
        let mode = self.mode;
        let slot = self.slot(i);
        let more = slot.may_draw && (slot.free > 0 || !slot.row_known);
        match (slot.unissued(), more) {
            (0, false) => 0,
            (0, true) => slot.target_size(mode) / 2,
            _ => slot.issue_size() / 2,
        }
    }

    /// Sets the slot's timer to its next review, its retry, or the next ask of a peer.
    fn schedule(&mut self, now: Millis, i: u32) {
        let slot = self.slot(i);
        let mut due = now + REVIEW_INTERVAL_MS;
        for early in [slot.retry_at, slot.next_ask] {
            if early > now {
                due = due.min(early);
            }
        }
        if slot.timer_at <= now || due < slot.timer_at {
            slot.timer_at = due;
            self.timers.push(Reverse((due, i)));
        }
    }

    /// Handles the answer to a read of the row; `None` when there is no such row.
    pub(super) fn on_row(&mut self, now: Millis, budget: &str, row: Option<(Version, Row)>) {
        let Some(i) = self.find(budget) else { return };
        if !matches!(self.slot(i).exchange, Exchange::Read) {
            return;
        }
        self.slot(i).exchange = Exchange::None;
        self.enqueue(i);
        match row {
            Some((version, row)) => self.on_row_content(now, i, version, row),
            None if self.slot(i).row_share == Share::default() => {
                self.slot(i).needs_read = false;
                if self.stopping && self.slot(i).is_unused() {
                    return self.close_slot(i, true);
                }
                self.refuse_waiting(now, i, Code::NotFound);
            }
            None => self.on_lost_share(i),
        }
    }

    /// Takes over the content of a row that was read, and commits what is to be drawn or returned.
    fn on_row_content(&mut self, now: Millis, i: u32, version: Version, row: Row) {
        let inc = self.inc.clone();
        let slot = self.slot(i);
        let old = row.shares.get(&inc).copied().unwrap_or_default();
        if old.sealed || (old == Share::default() && slot.row_share != old) {
            return self.on_lost_share(i);
        }
        assert!(slot.share.drawn <= old.drawn, "a read is never stale");
        slot.share.drawn = old.drawn;
        slot.row_share = old;
        slot.failures = 0;
        slot.needs_read = false;
        slot.apply_row(version, &row, &inc);
        if slot.reason == Code::BudgetUnavailable {
            slot.refuse_until = 0;
        }
        self.plan_return(now, i);
        self.commit_share(now, i, row);
    }

    /// Handles a share that is no longer in the row: it was removed in a planned stop, or the
    /// incarnation was sealed.
    fn on_lost_share(&mut self, i: u32) {
        if self.stopping && self.slot(i).reserved == 0 {
            return self.close_slot(i, true);
        }
        self.out.push(Action::Sealed);
        self.on_mode(Mode::Sealed);
    }

    /// Decides how many tokens to return because the limit was lowered or another daemon is short.
    fn plan_return(&mut self, now: Millis, i: u32) {
        let slot = self.slot(i);
        let yields = std::mem::take(&mut slot.peer_short);
        if slot.free < 0 {
            slot.keep = Some(0);
            return;
        }
        let recent = slot
            .yielded_at
            .is_some_and(|at| now < at + SHORT_INTERVAL_MS);
        let keep = match now >= slot.last_used + REVIEW_INTERVAL_MS {
            true => 0,
            false => slot.issue_size(),
        };
        if yields
            && !recent
            && slot.waiting_tokens == 0
            && slot.available() / 2 >= keep
            && slot.available() > 0
        {
            slot.keep = Some(keep);
            slot.yielded_at = Some(now);
        }
    }

    /// Commits the share to the row with a draw, a return or its removal, if anything has changed.
    fn commit_share(&mut self, now: Millis, i: u32, mut row: Row) {
        let (mode, stopping, inc) = (self.mode, self.stopping, self.inc.clone());
        if !self.is_online() {
            return;
        }
        let slot = self.slot(i);
        let mut draw = 0;
        if let Some(keep) = slot.keep {
            slot.share.returned += slot.returnable(keep);
        } else if slot.may_draw && !stopping {
            draw = slot.draw_size(mode);
        }
        let mut next = slot.share;
        next.drawn += draw;
        // A share is written before it is removed. Otherwise a removal whose answer was lost could
        // not be told from one that was not applied.
        let removes = slot.removal == Removal::Logged
            && slot.row_share != Share::default()
            && next.outstanding() == Some(0);
        if slot.waiting_tokens > 0 && slot.available() + draw < slot.min_waiting && slot.may_draw {
            self.report_short(now, i, &row);
        } else if draw > 0 {
            slot.refusals = 0;
        }
        let slot = self.slot(i);
        if next == slot.row_share && !removes {
            return self.skip_commit(i, draw);
        }
        row.update_share(&inc, next)
            .expect("the counts never decrease");
        if removes {
            row.remove_share(&inc).expect("nothing is outstanding");
        }
        let free = row.breakdown().free;
        assert!(draw == 0 || free >= 0, "a draw never leaves less than 0");
        slot.exchange = Exchange::Commit(Box::new(PendingCommit {
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

    /// Ends an exchange in which nothing had to be written.
    fn skip_commit(&mut self, i: u32, draw: Tokens) {
        let slot = self.slot(i);
        slot.asked_tokens = 0;
        if draw == 0 {
            self.transfers.drop_asks(i);
        }
        let stopping = self.stopping;
        let slot = self.slot(i);
        if stopping && slot.is_unused() {
            self.close_slot(i, true);
        }
    }

    /// Handles a row with too few free tokens: first tells the other daemons with tokens, and
    /// refuses the waiting requests if they were told before.
    fn report_short(&mut self, now: Millis, i: u32, row: &Row) {
        let inc = self.inc.clone();
        let slot = self.slot(i);
        let told = slot
            .short_sent
            .is_some_and(|at| now < at + SHORT_INTERVAL_MS);
        let to: Vec<Incarnation> = row
            .shares
            .iter()
            .filter(|(id, share)| **id != inc && !share.sealed && share.outstanding() != Some(0))
            .map(|(id, _)| id.clone())
            .collect();
        if told || to.is_empty() {
            let recent = slot.shed_at.is_some_and(|at| now < at + SHED_INTERVAL_MS);
            if slot.available() > 0 && !recent {
                // Returns a remainder that is too small for a request here; with the remainders of
                // other daemons it may be enough for one.
                slot.keep = Some(0);
                slot.shed_at = Some(now);
                self.enqueue(i);
            }
            return self.refuse_waiting(now, i, Code::BudgetExhausted);
        }
        slot.short_sent = Some(now);
        slot.retry_at = now + SHORT_WAIT_MS;
        let budget = slot.id.clone();
        self.out.push(Action::Short { budget, to });
    }

    /// Refuses the waiting requests, and new ones until `refuse_until`.
    pub(super) fn refuse_waiting(&mut self, now: Millis, i: u32, reason: Code) {
        let slot = self.slot(i);
        slot.reason = reason;
        slot.refuse_until = now + (MIN_REFUSAL_MS << slot.refusals.min(8)).min(MAX_REFUSAL_MS);
        slot.refusals = slot.refusals.saturating_add(1);
        slot.asked_tokens = 0;
        self.transfers.drop_asks(i);
        self.retry_waiting(i);
    }

    /// Takes over the counts of a commit that was applied.
    pub(super) fn on_committed(&mut self, budget: &str, version: Version) {
        let Some(i) = self.find(budget) else { return };
        let slot = self.slot(i);
        let Exchange::Commit(pending) = std::mem::replace(&mut slot.exchange, Exchange::None)
        else {
            return;
        };
        if pending.removes {
            return self.close_slot(i, true);
        }
        slot.share.drawn = pending.share.drawn;
        slot.row_share = pending.share;
        slot.free = pending.free;
        slot.version = version;
        slot.failures = 0;
        self.enqueue(i);
    }

    /// Handles a conflict, a failure or a lost answer: in each case the row is read again, and its
    /// share shows what was applied.
    pub(super) fn on_failed(&mut self, now: Millis, budget: &str, conflict: bool) {
        let jitter = self.next_random();
        let Some(i) = self.find(budget) else { return };
        let slot = self.slot(i);
        slot.exchange = Exchange::None;
        // The row must be read even when the demand that caused the commit has ended.
        slot.needs_read = true;
        slot.failures = slot.failures.saturating_add(1);
        let wait = (MIN_BACKOFF_MS << slot.failures.min(8)).min(MAX_BACKOFF_MS);
        slot.retry_at = now + wait / 2 + jitter % wait;
        let (fails, asks) = (slot.failures, self.mode == Mode::Unpaired);
        if !conflict && fails >= MAX_FAILURES && !asks {
            self.refuse_waiting(now, i, Code::BudgetUnavailable);
        }
        self.enqueue(i);
    }

    /// Next random number for the spread of retries.
    fn next_random(&mut self) -> u64 {
        // xorshift64; used only to spread retries.
        self.seed ^= self.seed << 13;
        self.seed ^= self.seed >> 7;
        self.seed ^= self.seed << 17;
        self.seed
    }
}
