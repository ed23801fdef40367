//! One budget in the memory of a drawer, and the size of its share.

use super::{
    Mode,
    Row,
    Share, //
};
use crate::model::{
    BudgetId,
    Code,
    Incarnation,
    Tokens,
    Version, //
};

/// Milliseconds since the process started.
pub(super) type Millis = u64;

/// Time constant of the demand estimate.
const DEMAND_WINDOW_S: f64 = 60.0;
/// Seconds of demand that an issue covers.
const ISSUE_COVER_S: f64 = 5.0;
/// Seconds of demand that a daemon which is no drawer asks for.
const ASK_COVER_S: f64 = 30.0;
/// Holders that are remembered, because they are asked for transfers while the platform is unavailable.
const MAX_REMOTE_HOLDERS: usize = 8;
/// A budget without admissions for this long returns its share.
pub(super) const IDLE_TIMEOUT_MS: Millis = 60_000;

/// More tokens than any budget has, small enough that sums of a few do not overflow.
pub(super) const MAX_TOKENS: Tokens = 1 << 53;

/// The exchange with the table that is in progress.
#[derive(Debug)]
pub(super) enum Exchange {
    None,
    Read,
    Commit(Box<PendingCommit>),
}

/// Before a planned stop removes a share, the witness learns that its issued figure is 0. A sealer
/// that comes later would otherwise take the missing share for one that was never written.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Removal {
    No,
    Proposed,
    Logged,
}

/// A commit without an answer.
#[derive(Debug)]
pub(super) struct PendingCommit {
    pub(super) share: Share,
    pub(super) free: i64,
    pub(super) removes: bool,
}

/// State of one budget.
#[derive(Debug)]
pub(super) struct BudgetState {
    pub(super) id: BudgetId,
    /// Figures of the share. `drawn` is what the row confirmed; the others never fall, even when
    /// the commit that carried them is lost, because a lost commit may still be applied.
    pub(super) share: Share,
    /// Figures in the row when it was last read or written.
    pub(super) row_share: Share,
    /// Cumulative tokens that may be spent.
    pub(super) issued: Tokens,
    /// Issued figure that the witness acknowledged last.
    pub(super) acked_issued: Tokens,
    /// Issued figure that waits for the witness.
    pub(super) proposed_issue: Option<Tokens>,
    pub(super) spent: Tokens,
    pub(super) reserved: Tokens,
    /// An admission that leaves less than this triggers an issue or a draw.
    pub(super) low_water: Tokens,
    /// Largest bound of recent requests, and of those since the last review.
    pub(super) max_bound: Tokens,
    peak_bound: Tokens,
    /// Sum of the bounds of waiting requests, and the smallest of them.
    pub(super) waiting_tokens: Tokens,
    pub(super) min_waiting: Tokens,
    /// Tokens that other daemons asked for.
    pub(super) asked_tokens: Tokens,
    /// Tokens to keep while the rest is being returned.
    pub(super) keep: Option<Tokens>,
    unsampled: i64,
    recent_tokens: f64,
    sampled_at: Millis,
    pub(super) last_used: Millis,
    pub(super) timer_at: Millis,
    pub(super) retry_at: Millis,
    /// Until then requests that need more tokens are refused with `reason`.
    pub(super) refuse_until: Millis,
    pub(super) short_sent: Option<Millis>,
    pub(super) yielded_at: Option<Millis>,
    pub(super) shed_at: Option<Millis>,
    pub(super) next_ask: Millis,
    /// Free tokens in the row when it was last read or written.
    pub(super) free: i64,
    pub(super) version: Version,
    reserve: u32,
    /// Largest part of what is free and available here that the share takes.
    share_fraction: f32,
    /// Other holders, most tokens first, when the row was last read.
    pub(super) remote_holders: Vec<Incarnation>,
    pub(super) exchange: Exchange,
    pub(super) reason: Code,
    pub(super) ask_count: u8,
    pub(super) failures: u8,
    pub(super) refusals: u8,
    pub(super) row_known: bool,
    pub(super) may_draw: bool,
    pub(super) queued: bool,
    /// Read the row even if nothing is to be drawn or returned.
    pub(super) needs_read: bool,
    /// Another drawer is short.
    pub(super) peer_short: bool,
    /// The share was opened by a transfer after the planned stop began. It is returned unspent, and
    /// the bills of this budget belong to the share that was removed before.
    pub(super) return_unspent: bool,
    /// Progress of the entry that tells the witness that the share is about to be removed.
    pub(super) removal: Removal,
}

impl BudgetState {
    pub(super) fn open(id: BudgetId, share: Share, now: Millis, drawer: bool) -> Self {
        Self {
            id,
            row_share: share,
            issued: share.billed,
            acked_issued: share.billed,
            spent: share.billed,
            share,
            proposed_issue: None,
            reserved: 0,
            low_water: 0,
            max_bound: 0,
            peak_bound: 0,
            waiting_tokens: 0,
            min_waiting: 0,
            asked_tokens: 0,
            keep: None,
            unsampled: 0,
            recent_tokens: 0.0,
            sampled_at: now,
            last_used: now,
            timer_at: 0,
            retry_at: 0,
            refuse_until: 0,
            short_sent: None,
            yielded_at: None,
            shed_at: None,
            next_ask: 0,
            free: 0,
            version: 0,
            reserve: 3_600,
            share_fraction: 0.125,
            remote_holders: Vec::new(),
            exchange: Exchange::None,
            reason: Code::BudgetExhausted,
            ask_count: 0,
            failures: 0,
            refusals: 0,
            row_known: false,
            may_draw: drawer,
            queued: false,
            needs_read: false,
            peer_short: false,
            return_unspent: false,
            removal: Removal::No,
        }
    }

    /// Tokens that the share may spend over its life.
    pub(super) fn capacity(&self) -> Tokens {
        self.share.drawn + self.share.received - self.share.returned - self.share.sent
    }

    /// Tokens that are spent or may be spent by open requests.
    pub(super) fn spent_or_reserved(&self) -> Tokens {
        self.spent + self.reserved
    }

    /// Highest issued figure that the witness may know.
    pub(super) fn max_issued(&self) -> Tokens {
        self.issued
            .max(self.acked_issued)
            .max(self.proposed_issue.unwrap_or(0))
    }

    /// Tokens that can be reserved now.
    pub(super) fn spendable(&self) -> Tokens {
        self.issued - self.spent_or_reserved()
    }

    /// Tokens of the share that are neither spent nor reserved.
    pub(super) fn available(&self) -> Tokens {
        self.capacity() - self.spent_or_reserved()
    }

    /// Tokens that the witness cannot know as issued; only these may be returned or sent.
    pub(super) fn unissued(&self) -> Tokens {
        self.capacity() - self.max_issued()
    }

    /// Takes `bound` from the issued tokens.
    #[inline]
    pub(super) fn admit(&mut self, now: Millis, bound: Tokens) -> bool {
        if bound > self.spendable() {
            return false;
        }
        self.reserved += bound;
        assert!(
            self.spent_or_reserved() <= self.issued,
            "spent + reserved <= issued"
        );
        self.unsampled += to_signed(bound);
        self.peak_bound = self.peak_bound.max(bound);
        self.max_bound = self.max_bound.max(bound);
        self.last_used = now;
        true
    }

    /// Replaces a reservation by what was used.
    #[inline]
    pub(super) fn settle(&mut self, bound: Tokens, used: Tokens) {
        assert!(used <= bound, "a request never uses more than its bound");
        self.reserved -= bound;
        self.spent += used;
        self.unsampled -= to_signed(bound - used);
    }

    /// Records a request that waits.
    pub(super) fn record_wait(&mut self, now: Millis, bound: Tokens) {
        let bound = bound.min(MAX_TOKENS);
        self.min_waiting = match self.waiting_tokens {
            0 => bound,
            _ => self.min_waiting.min(bound),
        };
        self.waiting_tokens = (self.waiting_tokens + bound).min(MAX_TOKENS);
        self.peak_bound = self.peak_bound.max(bound);
        self.max_bound = self.max_bound.max(bound);
        self.last_used = now;
    }

    /// Lets the bound follow smaller requests.
    pub(super) fn decay_bound(&mut self) {
        self.max_bound = self.peak_bound.max(self.max_bound - self.max_bound / 8);
        self.peak_bound = 0;
    }

    /// Brings the demand estimate up to date.
    pub(super) fn update_demand(&mut self, now: Millis) {
        let age = Millis::min(now - self.sampled_at, 3_600_000);
        let decay = (-(age as f64) / (DEMAND_WINDOW_S * 1_000.0)).exp();
        self.recent_tokens = (self.recent_tokens * decay + self.unsampled as f64).max(0.0);
        self.unsampled = 0;
        self.sampled_at = now;
    }

    fn demand_for(&self, seconds: f64) -> Tokens {
        (self.recent_tokens / DEMAND_WINDOW_S * seconds) as Tokens
    }

    /// Wanted size of an issue. It is renewed when half of it is left, which must still be enough
    /// for a request.
    pub(super) fn issue_size(&self) -> Tokens {
        self.demand_for(ISSUE_COVER_S).max(2 * self.max_bound)
    }

    /// Wanted size of the share.
    pub(super) fn target_size(&self, mode: Mode) -> Tokens {
        if mode == Mode::Unpaired {
            return self.issue_size();
        }
        if !self.may_draw {
            return self.demand_for(ASK_COVER_S).max(self.max_bound);
        }
        let pool = self.free.max(0) as f64 + self.available() as f64;
        let cap = (f64::from(self.share_fraction) * pool) as Tokens;
        self.demand_for(self.reserve.into())
            .min(cap)
            .max(self.max_bound)
    }

    /// Tokens to draw so that other daemons' questions can be answered. Issued tokens can't be sent,
    /// so a share that is issued whole answers none however much of it is left.
    fn missing_for_peers(&self) -> Tokens {
        match self.asked_tokens {
            0 => 0,
            asked => (self.waiting_tokens + asked).saturating_sub(self.unissued()),
        }
    }

    /// Whether the share is below its low-water mark and the row may have tokens for it.
    pub(super) fn needs_draw(&self, mode: Mode) -> bool {
        let wanted = self.waiting_tokens + self.asked_tokens;
        wanted > self.available()
            || self.missing_for_peers() > 0
            || (self.available() < self.target_size(mode) / 2 && (self.free > 0 || !self.row_known))
    }

    /// Tokens to draw from a row with `free` tokens: at most `fraction` of them, but at least what
    /// waits and one request's bound.
    pub(super) fn draw_size(&self, mode: Mode) -> Tokens {
        let Ok(free) = Tokens::try_from(self.free) else {
            return 0;
        };
        if !self.needs_draw(mode) {
            return 0;
        }
        let cap = (f64::from(self.share_fraction) * free as f64) as Tokens;
        let avail = self.available();
        let sized = self.target_size(mode).saturating_sub(avail).min(cap);
        let floor = (self.waiting_tokens + self.asked_tokens).max(self.max_bound);
        let floor = floor.saturating_sub(avail).max(self.missing_for_peers());
        let draw = sized.max(floor).min(free);
        // Less than one request's bound is of no use here, but may be of use to another drawer.
        let useful = match self.waiting_tokens {
            0 if self.asked_tokens > 0 => 0,
            0 => self.max_bound,
            _ => self.min_waiting,
        };
        match avail + draw >= useful {
            true => draw,
            false => 0,
        }
    }

    /// Takes the settings and the free tokens of a row.
    pub(super) fn apply_row(&mut self, version: Version, row: &Row, inc: &Incarnation) {
        self.version = version;
        self.reserve = row.reserve_s;
        self.share_fraction = share_fraction(row, inc) as f32;
        self.remote_holders = largest_holders(row, inc);
        self.free = i64::try_from(row.breakdown().free).unwrap_or(i64::MAX);
        self.row_known = true;
    }

    /// Lowers the issued figure so that all but `keep` tokens can be returned. The tokens stop
    /// being spendable at once, and are returned only after the witness knows the lower figure.
    pub(super) fn propose_lower(&mut self, keep: Tokens) -> bool {
        let target = self.spent_or_reserved() + keep;
        if self.proposed_issue.is_some() || self.max_issued() <= target {
            return false;
        }
        self.issued = self.issued.min(target);
        self.proposed_issue = Some(target.min(self.max_issued()));
        true
    }

    /// Tokens to return now so that `keep` remain. While open requests end, the witness's figure
    /// may be a little above the target; half of the excess is then worth a commit.
    pub(super) fn returnable(&self, keep: Tokens) -> Tokens {
        let excess = self.available().saturating_sub(keep);
        let safe = excess.min(self.unissued());
        match self.proposed_issue.is_none() && safe >= excess.div_ceil(2) {
            true => safe,
            false => 0,
        }
    }

    /// Proposes a higher issued figure when the issue runs low.
    pub(super) fn propose_higher(&mut self) -> bool {
        let size = self.issue_size();
        if self.proposed_issue.is_some()
            || self.unissued() == 0
            || self.spendable() >= (size / 2).max(self.waiting_tokens)
        {
            return false;
        }
        let target =
            (self.spent_or_reserved() + size.max(self.waiting_tokens)).min(self.capacity());
        self.proposed_issue = (target > self.issued).then_some(target);
        self.proposed_issue.is_some()
    }

    /// The witness knows `total`.
    pub(super) fn acknowledge(&mut self, total: Tokens) -> bool {
        if self.proposed_issue != Some(total) {
            return false;
        }
        self.proposed_issue = None;
        self.acked_issued = total;
        self.issued = total;
        true
    }

    /// Issues the whole share without the witness.
    pub(super) fn issue_all(&mut self) {
        self.proposed_issue = None;
        self.issued = self.capacity();
        self.acked_issued = self.issued;
    }

    /// Whether no request is open and all finished ones are billed.
    pub(super) fn is_settled(&self) -> bool {
        self.reserved == 0
            && self.waiting_tokens == 0
            && self.proposed_issue.is_none()
            && self.spent == self.share.billed
    }

    /// The witness knows that nothing is issued any more.
    pub(super) fn mark_removal_logged(&mut self) {
        self.removal = Removal::Logged;
        self.issued = self.spent;
        self.acked_issued = self.spent;
    }

    /// Whether the budget never had a share.
    pub(super) fn is_unused(&self) -> bool {
        self.share == Share::default() && self.can_close()
    }

    /// Whether nothing but the closed figures has to be remembered.
    pub(super) fn can_close(&self) -> bool {
        self.is_settled()
            && self.capacity() == self.spent
            && self.asked_tokens == 0
            && self.share == self.row_share
            && matches!(self.exchange, Exchange::None)
    }

    /// Asserts the invariants of the share.
    pub(super) fn assert_invariants(&self) {
        assert!(
            self.spent_or_reserved() <= self.issued,
            "spent + reserved <= issued"
        );
        assert!(
            self.max_issued() <= self.capacity(),
            "issued <= drawn + received - sent - returned"
        );
        assert!(self.share.billed <= self.spent, "billed <= spent");
        assert!(self.row_share.precedes(&self.share), "the row is not ahead");
    }
}

/// Part of the free tokens and its own that a drawer may hold. Together the drawers hold as much as
/// with `fraction` for each of them, divided by what they have billed: with the same part for each,
/// the busiest data centre would run dry first when it is cut off.
fn share_fraction(row: &Row, inc: &str) -> f64 {
    let live = || row.shares.iter().filter(|(_, share)| !share.sealed);
    let total: f64 = live().map(|(_, share)| share.billed as f64).sum();
    let own = row.shares.get(inc).map_or(0, |share| share.billed) as f64;
    if total <= 0.0 || row.draw_fraction >= 1.0 {
        return row.draw_fraction;
    }
    let weight = live().count() as f64 * own / total;
    let ratio = weight * row.draw_fraction / (1.0 - row.draw_fraction);
    (ratio / (1.0 + ratio)).max(row.draw_fraction)
}

/// The live holders of most tokens.
fn largest_holders(row: &Row, inc: &Incarnation) -> Vec<Incarnation> {
    let live = row
        .shares
        .iter()
        .filter(|(id, share)| *id != inc && !share.sealed);
    let mut holders: Vec<_> = live.map(|(id, s)| (s.outstanding(), id)).collect();
    holders.sort_by(|a, b| b.cmp(a));
    let holders = holders.into_iter().take(MAX_REMOTE_HOLDERS);
    holders.map(|(_, id)| id.clone()).collect()
}

fn to_signed(tokens: Tokens) -> i64 {
    i64::try_from(tokens).unwrap_or(i64::MAX)
}
