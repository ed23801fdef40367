//! State of one budget in the memory of the share manager, and the sizing of its share.

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

/// Time constant of the exponential average of demand, in seconds.
const DEMAND_WINDOW_S: f64 = 60.0;
/// Seconds of demand that an issue covers.
const ISSUE_COVER_S: f64 = 5.0;
/// Seconds of demand for which a daemon that does not draw asks other daemons.
const ASK_COVER_S: f64 = 30.0;
/// Most holders of other data centres to remember. They are asked for transfers while the platform
/// is unavailable.
const MAX_REMOTE_HOLDERS: usize = 8;
/// Time without admissions after which the share of a budget is returned.
pub(super) const IDLE_TIMEOUT_MS: Millis = 60_000;

/// Upper limit of token counts from requests and peers: more than any budget has, and small enough
/// that the sum of a few does not overflow.
pub(super) const MAX_TOKENS: Tokens = 1 << 53;

/// The read or commit of the budget row that is in progress.
#[derive(Debug)]
pub(super) enum Exchange {
    None,
    Read,
    Commit(Box<PendingCommit>),
}

/// Progress of removing a share in a planned stop. Before the share is removed, the witness logs 0
/// issued tokens for it. A daemon that seals this incarnation later would otherwise take the
/// missing share for one that was never written.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Removal {
    No,
    Proposed,
    Logged,
}

/// A commit that is not answered yet, and what holds when it is applied.
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
    /// Counts of the share. `drawn` is what the row confirmed; the others never decrease, even when
    /// the commit that carried them is lost, because a lost commit may still be applied.
    pub(super) share: Share,
    /// Counts of the share in the row when the row was last read or written.
    pub(super) row_share: Share,
    /// Cumulative tokens that requests may spend.
    pub(super) issued: Tokens,
    /// Issued tokens that the witness acknowledged last, cumulative.
    pub(super) acked_issued: Tokens,
    /// Issued tokens that wait for the witness's acknowledgement, cumulative.
    pub(super) proposed_issue: Option<Tokens>,
    /// Tokens that finished requests used, cumulative.
    pub(super) spent: Tokens,
    /// Sum of the bounds of open requests.
    pub(super) reserved: Tokens,
    /// An admission that leaves fewer spendable tokens than this triggers an issue or a draw.
    pub(super) low_water: Tokens,
    /// Largest bound of recent requests.
    pub(super) max_bound: Tokens,
    /// Largest bound of requests since the last review.
    peak_bound: Tokens,
    /// Sum of the bounds of waiting requests.
    pub(super) waiting_tokens: Tokens,
    /// Smallest bound of the waiting requests.
    pub(super) min_waiting: Tokens,
    /// Tokens for which other daemons have asked and that they have not got.
    pub(super) asked_tokens: Tokens,
    /// Tokens to keep while the rest is being returned.
    pub(super) keep: Option<Tokens>,
    /// Demand since `sampled_at`, in tokens; below 0 when requests used less than was reserved.
    unsampled: i64,
    /// Exponentially decayed demand, in tokens per `DEMAND_WINDOW_S`.
    recent_tokens: f64,
    sampled_at: Millis,
    /// Time of the last admission, waiting request or peer that asked for tokens.
    pub(super) last_used: Millis,
    pub(super) timer_at: Millis,
    /// Earliest time for the next exchange with the table.
    pub(super) retry_at: Millis,
    /// Until then requests that need more tokens are refused with `reason`.
    pub(super) refuse_until: Millis,
    /// When other daemons were last told that the budget is short.
    pub(super) short_sent: Option<Millis>,
    /// When tokens were last returned because another daemon was short.
    pub(super) yielded_at: Option<Millis>,
    /// When a remainder too small for a request was last returned.
    pub(super) shed_at: Option<Millis>,
    /// Earliest time to ask the next daemon for tokens.
    pub(super) next_ask: Millis,
    /// Free tokens in the row when it was last read or written.
    pub(super) free: i64,
    pub(super) version: Version,
    /// Seconds of recent demand that the share covers, from the row.
    reserve: u32,
    /// Largest part of the row's free tokens plus those available here that the share takes.
    share_fraction: f32,
    /// Other shares with the most outstanding tokens when the row was last read, the largest first.
    pub(super) remote_holders: Vec<Incarnation>,
    pub(super) exchange: Exchange,
    pub(super) reason: Code,
    /// Daemons asked for tokens in the current search.
    pub(super) ask_count: u8,
    /// Failed exchanges with the table in a row.
    pub(super) failures: u8,
    /// Times in a row that waiting requests were refused.
    pub(super) refusals: u8,
    /// The row was read at least once.
    pub(super) row_known: bool,
    /// This daemon is one of those that draw from the row.
    pub(super) may_draw: bool,
    /// The slot is in the manager's queue.
    pub(super) queued: bool,
    /// The row must be read even if nothing is to be drawn or returned.
    pub(super) needs_read: bool,
    /// Another daemon reported that the budget is short.
    pub(super) peer_short: bool,
    /// The share was opened by a transfer after the planned stop began. It is returned unspent, and
    /// the bills of this budget belong to the share that was removed before.
    pub(super) return_unspent: bool,
    /// Progress of removing the share in a planned stop.
    pub(super) removal: Removal,
}

impl BudgetState {
    /// Returns the state of a budget with the counts of its closed share, if any; all of its tokens
    /// are billed.
    pub(super) fn open(id: BudgetId, share: Share, now: Millis, may_draw: bool) -> Self {
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
            may_draw,
            queued: false,
            needs_read: false,
            peer_short: false,
            return_unspent: false,
            removal: Removal::No,
        }
    }

    /// Tokens that the share may spend in total: drawn and received, less returned and sent.
    pub(super) fn capacity(&self) -> Tokens {
        self.share.drawn + self.share.received - self.share.returned - self.share.sent
    }

    /// Tokens that are spent or may be spent by open requests.
    pub(super) fn spent_or_reserved(&self) -> Tokens {
        self.spent + self.reserved
    }

    /// Highest issued count that the witness may know.
    pub(super) fn max_issued(&self) -> Tokens {
        self.issued
            .max(self.acked_issued)
            .max(self.proposed_issue.unwrap_or(0))
    }

    /// Issued tokens that can be reserved now.
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

    /// Reserves `bound` of the issued tokens; returns whether they suffice.
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

    /// Replaces a reservation of `bound` tokens by the tokens that the request used.
    #[inline]
    pub(super) fn settle(&mut self, bound: Tokens, used: Tokens) {
        assert!(used <= bound, "a request never uses more than its bound");
        self.reserved -= bound;
        self.spent += used;
        self.unsampled -= to_signed(bound - used);
    }

    /// Records a request that waits for `bound` tokens.
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

    /// Lowers the largest bound towards the peak since the last review, by at most one eighth.
    pub(super) fn decay_bound(&mut self) {
        self.max_bound = self.peak_bound.max(self.max_bound - self.max_bound / 8);
        self.peak_bound = 0;
    }

    /// Brings the demand estimate up to `now`.
    pub(super) fn update_demand(&mut self, now: Millis) {
        let age = Millis::min(now - self.sampled_at, 3_600_000);
        let decay = (-(age as f64) / (DEMAND_WINDOW_S * 1_000.0)).exp();
        self.recent_tokens = (self.recent_tokens * decay + self.unsampled as f64).max(0.0);
        self.unsampled = 0;
        self.sampled_at = now;
    }

    /// Estimated demand in `seconds`, in tokens.
    fn demand_for(&self, seconds: f64) -> Tokens {
        (self.recent_tokens / DEMAND_WINDOW_S * seconds) as Tokens
    }

    /// Target size of an issue, in tokens. It is renewed when half of it is left, which must still
    /// be enough for one request.
    pub(super) fn issue_size(&self) -> Tokens {
        self.demand_for(ISSUE_COVER_S).max(2 * self.max_bound)
    }

    /// Target size of the share, in available tokens.
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

    /// Tokens to draw so that the tokens that other daemons ask for can be sent. Issued tokens
    /// can't be sent, so a wholly issued share can send none, however many of its tokens are left.
    fn missing_for_peers(&self) -> Tokens {
        match self.asked_tokens {
            0 => 0,
            asked => (self.waiting_tokens + asked).saturating_sub(self.unissued()),
        }
    }

    /// Whether the share has too few tokens for waiting requests or peers, or is below half of its
    /// target size and the row may have tokens for it.
    pub(super) fn needs_draw(&self, mode: Mode) -> bool {
        let wanted = self.waiting_tokens + self.asked_tokens;
        wanted > self.available()
            || self.missing_for_peers() > 0
            || (self.available() < self.target_size(mode) / 2 && (self.free > 0 || !self.row_known))
    }

    /// Tokens to draw from a row with `free` tokens: at most `share_fraction` of them, but at least
    /// enough for the waiting requests and one request's bound.
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
        // Less than one request's bound is of no use here, but may be of use to another daemon.
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

    /// Takes over the sizing, the holders and the free tokens of a row.
    pub(super) fn apply_row(&mut self, version: Version, row: &Row, inc: &Incarnation) {
        self.version = version;
        self.reserve = row.reserve_s;
        self.share_fraction = share_fraction(row, inc) as f32;
        self.remote_holders = largest_holders(row, inc);
        self.free = i64::try_from(row.breakdown().free).unwrap_or(i64::MAX);
        self.row_known = true;
    }

    /// Lowers the issued tokens so that all but `keep` can be returned. They stop being spendable
    /// at once, and are returned only after the witness has acknowledged the lower count. Returns
    /// whether a lower count was proposed.
    pub(super) fn propose_lower(&mut self, keep: Tokens) -> bool {
        let target = self.spent_or_reserved() + keep;
        if self.proposed_issue.is_some() || self.max_issued() <= target {
            return false;
        }
        self.issued = self.issued.min(target);
        self.proposed_issue = Some(target.min(self.max_issued()));
        true
    }

    /// Tokens to return now so that `keep` remain. While open requests end, the witness's count may
    /// be a little above the target; a commit is worth it when at least half of the excess can be
    /// returned.
    pub(super) fn returnable(&self, keep: Tokens) -> Tokens {
        let excess = self.available().saturating_sub(keep);
        let safe = excess.min(self.unissued());
        match self.proposed_issue.is_none() && safe >= excess.div_ceil(2) {
            true => safe,
            false => 0,
        }
    }

    /// Proposes a higher issued count when the spendable tokens run low; returns whether it did.
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

    /// Puts the proposed count in force after the witness has acknowledged it; returns whether
    /// `total` is the proposed one.
    pub(super) fn acknowledge(&mut self, total: Tokens) -> bool {
        if self.proposed_issue != Some(total) {
            return false;
        }
        self.proposed_issue = None;
        self.acked_issued = total;
        self.issued = total;
        true
    }

    /// Issues the whole share without the witness's acknowledgement.
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

    /// Records that the witness has logged 0 issued tokens before the share is removed.
    pub(super) fn mark_removal_logged(&mut self) {
        self.removal = Removal::Logged;
        self.issued = self.spent;
        self.acked_issued = self.spent;
    }

    /// Whether the share never had tokens and nothing is in progress.
    pub(super) fn is_unused(&self) -> bool {
        self.share == Share::default() && self.can_close()
    }

    /// Whether nothing but the counts of the share has to be kept.
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

/// Part of the free tokens and its own that the share of `inc` may hold. Together the shares hold
/// as much as with `draw_fraction` for each of them, divided in proportion to their billed tokens.
/// With the same part for each, the busiest data centre would be the first to run out of tokens
/// when it is cut off.
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

/// Other live incarnations with the most outstanding tokens, the largest share first.
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

/// Converts a token count, saturating at `i64::MAX`.
fn to_signed(tokens: Tokens) -> i64 {
    i64::try_from(tokens).unwrap_or(i64::MAX)
}
