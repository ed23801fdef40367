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
const DEMAND_S: f64 = 60.0;
/// Seconds of demand that an issue covers.
const ISSUE_S: f64 = 5.0;
/// Seconds of demand that a daemon which is no drawer asks for.
const ASK_S: f64 = 30.0;
/// Holders that are remembered, because they are asked for transfers while the platform is unavailable.
const FAR: usize = 8;
/// A budget without admissions for this long returns its share.
pub(super) const IDLE_MS: Millis = 60_000;

/// More tokens than any budget has, small enough that sums of a few do not overflow.
pub(super) const HUGE: Tokens = 1 << 53;

/// The exchange with the table that is in progress.
#[derive(Debug)]
pub(super) enum Flight {
    None,
    Read,
    Commit(Box<Pending>),
}

/// Before a planned stop removes a share, the witness learns that its issued figure is 0. A sealer
/// that comes later would otherwise take the missing share for one that was never written.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Retire {
    No,
    Proposed,
    Logged,
}

/// A commit without an answer.
#[derive(Debug)]
pub(super) struct Pending {
    pub(super) share: Share,
    pub(super) free: i64,
    pub(super) removes: bool,
}

/// State of one budget.
#[derive(Debug)]
pub(super) struct Slot {
    pub(super) id: BudgetId,
    /// Figures of the share. `drawn` is what the row confirmed; the others never fall, even when
    /// the commit that carried them is lost, because a lost commit may still be applied.
    pub(super) share: Share,
    /// Figures in the row when it was last read or written.
    pub(super) posted: Share,
    /// Cumulative tokens that may be spent.
    pub(super) issued: Tokens,
    /// Issued figure that the witness acknowledged last.
    pub(super) logged: Tokens,
    /// Issued figure that waits for the witness.
    pub(super) proposed: Option<Tokens>,
    pub(super) spent: Tokens,
    pub(super) reserved: Tokens,
    /// An admission that leaves less than this triggers an issue or a draw.
    pub(super) low: Tokens,
    /// Largest bound of recent requests, and of those since the last review.
    pub(super) bound: Tokens,
    peak: Tokens,
    /// Sum of the bounds of waiting requests, and the smallest of them.
    pub(super) need: Tokens,
    pub(super) least: Tokens,
    /// Tokens that other daemons asked for.
    pub(super) asked: Tokens,
    /// Tokens to keep while the rest is being returned.
    pub(super) keep: Option<Tokens>,
    tally: i64,
    recent: f64,
    sampled: Millis,
    pub(super) used: Millis,
    pub(super) due: Millis,
    pub(super) retry_at: Millis,
    /// Until then requests that need more tokens are refused with `reason`.
    pub(super) dry_until: Millis,
    pub(super) short_at: Option<Millis>,
    pub(super) gave_at: Option<Millis>,
    pub(super) shed_at: Option<Millis>,
    pub(super) ask_at: Millis,
    /// Free tokens in the row when it was last read or written.
    pub(super) free: i64,
    pub(super) version: Version,
    reserve: u32,
    /// Largest part of what is free and available here that the share takes.
    part: f32,
    /// Other holders, most tokens first, when the row was last read.
    pub(super) far: Vec<Incarnation>,
    pub(super) flight: Flight,
    pub(super) reason: Code,
    pub(super) asks: u8,
    pub(super) fails: u8,
    pub(super) dry: u8,
    pub(super) loaded: bool,
    pub(super) drawer: bool,
    pub(super) queued: bool,
    /// Read the row even if nothing is to be drawn or returned.
    pub(super) fresh: bool,
    /// Another drawer is short.
    pub(super) yields: bool,
    /// The share was opened by a transfer after the planned stop began. It is returned unspent, and
    /// the bills of this budget belong to the share that was removed before.
    pub(super) returns: bool,
    /// Progress of the entry that tells the witness that the share is about to be removed.
    pub(super) retire: Retire,
}

impl Slot {
    pub(super) fn open(id: BudgetId, share: Share, now: Millis, drawer: bool) -> Self {
        Self {
            id,
            posted: share,
            issued: share.billed,
            logged: share.billed,
            spent: share.billed,
            share,
            proposed: None,
            reserved: 0,
            low: 0,
            bound: 0,
            peak: 0,
            need: 0,
            least: 0,
            asked: 0,
            keep: None,
            tally: 0,
            recent: 0.0,
            sampled: now,
            used: now,
            due: 0,
            retry_at: 0,
            dry_until: 0,
            short_at: None,
            gave_at: None,
            shed_at: None,
            ask_at: 0,
            free: 0,
            version: 0,
            reserve: 3_600,
            part: 0.125,
            far: Vec::new(),
            flight: Flight::None,
            reason: Code::BudgetExhausted,
            asks: 0,
            fails: 0,
            dry: 0,
            loaded: false,
            drawer,
            queued: false,
            fresh: false,
            yields: false,
            returns: false,
            retire: Retire::No,
        }
    }

    /// Tokens that the share may spend over its life.
    pub(super) fn capacity(&self) -> Tokens {
        self.share.drawn + self.share.received - self.share.returned - self.share.sent
    }

    /// Tokens that are spent or may be spent by open requests.
    pub(super) fn taken(&self) -> Tokens {
        self.spent + self.reserved
    }

    /// Highest issued figure that the witness may know.
    pub(super) fn ceiling(&self) -> Tokens {
        self.issued.max(self.logged).max(self.proposed.unwrap_or(0))
    }

    /// Tokens that can be reserved now.
    pub(super) fn spendable(&self) -> Tokens {
        self.issued - self.taken()
    }

    /// Tokens of the share that are neither spent nor reserved.
    pub(super) fn avail(&self) -> Tokens {
        self.capacity() - self.taken()
    }

    /// Tokens that the witness cannot know as issued; only these may be returned or sent.
    pub(super) fn unissued(&self) -> Tokens {
        self.capacity() - self.ceiling()
    }

    /// Takes `bound` from the issued tokens.
    #[inline]
    pub(super) fn admit(&mut self, now: Millis, bound: Tokens) -> bool {
        if bound > self.spendable() {
            return false;
        }
        self.reserved += bound;
        assert!(self.taken() <= self.issued, "spent + reserved <= issued");
        self.tally += signed(bound);
        self.peak = self.peak.max(bound);
        self.bound = self.bound.max(bound);
        self.used = now;
        true
    }

    /// Replaces a reservation by what was used.
    #[inline]
    pub(super) fn settle(&mut self, bound: Tokens, used: Tokens) {
        assert!(used <= bound, "a request never uses more than its bound");
        self.reserved -= bound;
        self.spent += used;
        self.tally -= signed(bound - used);
    }

    /// Records a request that waits.
    pub(super) fn starve(&mut self, now: Millis, bound: Tokens) {
        let bound = bound.min(HUGE);
        self.least = match self.need {
            0 => bound,
            _ => self.least.min(bound),
        };
        self.need = (self.need + bound).min(HUGE);
        self.peak = self.peak.max(bound);
        self.bound = self.bound.max(bound);
        self.used = now;
    }

    /// Lets the bound follow smaller requests.
    pub(super) fn review(&mut self) {
        self.bound = self.peak.max(self.bound - self.bound / 8);
        self.peak = 0;
    }

    /// Brings the demand estimate up to date.
    pub(super) fn sample(&mut self, now: Millis) {
        let age = Millis::min(now - self.sampled, 3_600_000);
        let decay = (-(age as f64) / (DEMAND_S * 1_000.0)).exp();
        self.recent = (self.recent * decay + self.tally as f64).max(0.0);
        self.tally = 0;
        self.sampled = now;
    }

    fn demand(&self, seconds: f64) -> Tokens {
        (self.recent / DEMAND_S * seconds) as Tokens
    }

    /// Wanted size of an issue. It is renewed when half of it is left, which must still be enough
    /// for a request.
    pub(super) fn issue_size(&self) -> Tokens {
        self.demand(ISSUE_S).max(2 * self.bound)
    }

    /// Wanted size of the share.
    pub(super) fn want(&self, mode: Mode) -> Tokens {
        if mode == Mode::Unpaired {
            return self.issue_size();
        }
        if !self.drawer {
            return self.demand(ASK_S).max(self.bound);
        }
        let pool = self.free.max(0) as f64 + self.avail() as f64;
        let cap = (f64::from(self.part) * pool) as Tokens;
        self.demand(self.reserve.into()).min(cap).max(self.bound)
    }

    /// Tokens to draw so that other daemons' questions can be answered. Issued tokens can't be sent,
    /// so a share that is issued whole answers none however much of it is left.
    fn lacking(&self) -> Tokens {
        match self.asked {
            0 => 0,
            asked => (self.need + asked).saturating_sub(self.unissued()),
        }
    }

    /// Whether the share is below its low-water mark and the row may have tokens for it.
    pub(super) fn wants_draw(&self, mode: Mode) -> bool {
        let wanted = self.need + self.asked;
        wanted > self.avail()
            || self.lacking() > 0
            || (self.avail() < self.want(mode) / 2 && (self.free > 0 || !self.loaded))
    }

    /// Tokens to draw from a row with `free` tokens: at most `fraction` of them, but at least what
    /// waits and one request's bound.
    pub(super) fn draw(&self, mode: Mode) -> Tokens {
        let Ok(free) = Tokens::try_from(self.free) else {
            return 0;
        };
        if !self.wants_draw(mode) {
            return 0;
        }
        let cap = (f64::from(self.part) * free as f64) as Tokens;
        let avail = self.avail();
        let sized = self.want(mode).saturating_sub(avail).min(cap);
        let floor = (self.need + self.asked).max(self.bound);
        let floor = floor.saturating_sub(avail).max(self.lacking());
        let draw = sized.max(floor).min(free);
        // Less than one request's bound is of no use here, but may be of use to another drawer.
        let useful = match self.need {
            0 if self.asked > 0 => 0,
            0 => self.bound,
            _ => self.least,
        };
        match avail + draw >= useful {
            true => draw,
            false => 0,
        }
    }

    /// Takes the settings and the free tokens of a row.
    pub(super) fn adopt(&mut self, version: Version, row: &Row, inc: &Incarnation) {
        self.version = version;
        self.reserve = row.reserve_s;
        self.part = part(row, inc) as f32;
        self.far = far(row, inc);
        self.free = i64::try_from(row.breakdown().free).unwrap_or(i64::MAX);
        self.loaded = true;
    }

    /// Lowers the issued figure so that all but `keep` tokens can be returned. The tokens stop
    /// being spendable at once, and are returned only after the witness knows the lower figure.
    pub(super) fn lower(&mut self, keep: Tokens) -> bool {
        let target = self.taken() + keep;
        if self.proposed.is_some() || self.ceiling() <= target {
            return false;
        }
        self.issued = self.issued.min(target);
        self.proposed = Some(target.min(self.ceiling()));
        true
    }

    /// Tokens to return now so that `keep` remain. While open requests end, the witness's figure
    /// may be a little above the target; half of the excess is then worth a commit.
    pub(super) fn returnable(&self, keep: Tokens) -> Tokens {
        let excess = self.avail().saturating_sub(keep);
        let safe = excess.min(self.unissued());
        match self.proposed.is_none() && safe >= excess.div_ceil(2) {
            true => safe,
            false => 0,
        }
    }

    /// Proposes a higher issued figure when the issue runs low.
    pub(super) fn raise(&mut self) -> bool {
        let size = self.issue_size();
        if self.proposed.is_some()
            || self.unissued() == 0
            || self.spendable() >= (size / 2).max(self.need)
        {
            return false;
        }
        let target = (self.taken() + size.max(self.need)).min(self.capacity());
        self.proposed = (target > self.issued).then_some(target);
        self.proposed.is_some()
    }

    /// The witness knows `total`.
    pub(super) fn acknowledge(&mut self, total: Tokens) -> bool {
        if self.proposed != Some(total) {
            return false;
        }
        self.proposed = None;
        self.logged = total;
        self.issued = total;
        true
    }

    /// Issues the whole share without the witness.
    pub(super) fn issue_all(&mut self) {
        self.proposed = None;
        self.issued = self.capacity();
        self.logged = self.issued;
    }

    /// Whether no request is open and all finished ones are billed.
    pub(super) fn is_settled(&self) -> bool {
        self.reserved == 0
            && self.need == 0
            && self.proposed.is_none()
            && self.spent == self.share.billed
    }

    /// The witness knows that nothing is issued any more.
    pub(super) fn retired(&mut self) {
        self.retire = Retire::Logged;
        self.issued = self.spent;
        self.logged = self.spent;
    }

    /// Whether the budget never had a share.
    pub(super) fn is_unused(&self) -> bool {
        self.share == Share::default() && self.is_closed()
    }

    /// Whether nothing but the closed figures has to be remembered.
    pub(super) fn is_closed(&self) -> bool {
        self.is_settled()
            && self.capacity() == self.spent
            && self.asked == 0
            && self.share == self.posted
            && matches!(self.flight, Flight::None)
    }

    /// Asserts the invariants of the share.
    pub(super) fn check(&self) {
        assert!(self.taken() <= self.issued, "spent + reserved <= issued");
        assert!(
            self.ceiling() <= self.capacity(),
            "issued <= drawn + received - sent - returned"
        );
        assert!(self.share.billed <= self.spent, "billed <= spent");
        assert!(self.posted.precedes(&self.share), "the row is not ahead");
    }
}

/// Part of the free tokens and its own that a drawer may hold. Together the drawers hold as much as
/// with `fraction` for each of them, divided by what they have billed: with the same part for each,
/// the busiest data centre would run dry first when it is cut off.
fn part(row: &Row, inc: &str) -> f64 {
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
fn far(row: &Row, inc: &Incarnation) -> Vec<Incarnation> {
    let live = row
        .shares
        .iter()
        .filter(|(id, share)| *id != inc && !share.sealed);
    let mut holders: Vec<_> = live.map(|(id, s)| (s.outstanding(), id)).collect();
    holders.sort_by(|a, b| b.cmp(a));
    let holders = holders.into_iter().take(FAR);
    holders.map(|(_, id)| id.clone()).collect()
}

fn signed(tokens: Tokens) -> i64 {
    i64::try_from(tokens).unwrap_or(i64::MAX)
}
