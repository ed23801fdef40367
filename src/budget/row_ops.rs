//! Operations on the budget row. Each keeps the parts equal to the limit, or fails and changes
//! nothing.

use super::{
    LoweredLimit,
    Row,
    RowError,
    SealRecord,
    Share, //
};
use crate::model::Tokens;

impl Row {
    /// Raises the limit by `tokens`.
    ///
    /// # Errors
    ///
    /// [`RowError::OutOfRange`] when the limit would overflow 64 bits.
    ///
    /// # Examples
    ///
    /// ```
    /// let mut row = cuminloom::budget::Row::create("anod".into(), 1_000);
    /// row.top_up(500).unwrap();
    /// assert_eq!((row.limit, row.revision), (1_500, 2));
    /// ```
    pub fn top_up(&mut self, tokens: Tokens) -> Result<(), RowError> {
        self.limit = self.limit.checked_add(tokens).ok_or(RowError::OutOfRange)?;
        self.revision += 1;
        Ok(())
    }

    /// Lowers the limit. Tokens that shares hold beyond it stay spendable until they are returned.
    ///
    /// # Errors
    ///
    /// [`RowError::OutOfRange`] when `limit` is above the current limit or below what is
    /// billed.
    ///
    /// # Examples
    ///
    /// ```
    /// use cuminloom::budget::{Row, Share};
    /// let mut row = Row::create("anod".into(), 1_000);
    /// row.update_share("vm-1.0a", Share { drawn: 100, ..Share::default() }).unwrap();
    /// let lowered = row.lower_limit(40).unwrap();
    /// assert_eq!((lowered.in_force, lowered.pending), (100, 60));
    /// ```
    pub fn lower_limit(&mut self, limit: Tokens) -> Result<LoweredLimit, RowError> {
        let parts = self.breakdown();
        if limit > self.limit || i128::from(limit) < parts.billed {
            return Err(RowError::OutOfRange);
        }
        self.limit = limit;
        self.revision += 1;
        let pending = Tokens::try_from(-self.breakdown().free).unwrap_or(0);
        Ok(LoweredLimit {
            in_force: limit + pending,
            pending,
        })
    }

    /// Sets the counts of a live share; only the share's own daemon does this.
    ///
    /// # Errors
    ///
    /// [`RowError::Sealed`] after the seal, [`RowError::Inconsistent`] when a count decreases, and
    /// [`RowError::Exhausted`] when a draw leaves less than 0 free.
    ///
    /// # Examples
    ///
    /// ```
    /// use cuminloom::budget::{RowError, Row, Share};
    /// let mut row = Row::create("anod".into(), 1_000);
    /// let share = Share { drawn: 1_001, ..Share::default() };
    /// assert_eq!(row.update_share("vm-1.0a", share), Err(RowError::Exhausted));
    /// ```
    pub fn update_share(&mut self, inc: &str, share: Share) -> Result<(), RowError> {
        let old = self.shares.get(inc).copied().unwrap_or_default();
        if old.sealed || share.sealed {
            return Err(RowError::Sealed);
        }
        if !old.precedes(&share) || share.outstanding().is_none() {
            return Err(RowError::Inconsistent);
        }
        let change =
            i128::from(share.drawn - old.drawn) - i128::from(share.returned - old.returned);
        if share.drawn > old.drawn && change > self.breakdown().free.max(0) {
            return Err(RowError::Exhausted);
        }
        self.shares.insert(inc.into(), share);
        debug_assert!(self.is_balanced());
        Ok(())
    }

    /// Seals a share: the part that was never issued returns to the free tokens, the rest is
    /// orphaned. Sealing it again changes nothing.
    ///
    /// The record's issued tokens can exceed what the row shows, when the daemon had received a
    /// transfer and not yet written it; the difference is then written as received.
    ///
    /// # Errors
    ///
    /// [`RowError::NoShare`], or [`RowError::Inconsistent`] when the record contradicts the row.
    ///
    /// # Examples
    ///
    /// ```
    /// use cuminloom::budget::{Row, SealRecord, Share};
    /// let mut row = Row::create("anod".into(), 1_000);
    /// row.update_share("vm-1.0a", Share { drawn: 100, ..Share::default() }).unwrap();
    /// row.seal_share("vm-1.0a", SealRecord { issued: Some(40), sent: 0, billed: 30 }).unwrap();
    /// let parts = row.breakdown();
    /// assert_eq!((parts.billed, parts.orphaned, parts.free), (30, 10, 960));
    /// ```
    pub fn seal_share(&mut self, inc: &str, record: SealRecord) -> Result<(), RowError> {
        let old = self.shares.get(inc).copied().ok_or(RowError::NoShare)?;
        if old.sealed {
            return Ok(());
        }
        self.write_sealed(inc, old, record)
    }

    /// Seals a share, or adds a sealed one for a daemon that spent only transferred tokens and had
    /// not written its share yet. Must not be called for a share that a planned stop has removed:
    /// such an incarnation has 0 issued tokens in the record, or without a record is marked as
    /// stopping in its fence row.
    ///
    /// # Errors
    ///
    /// [`RowError::NoShare`] when the record names no tokens, and [`RowError::OutOfRange`]
    /// when neither tokens in transit nor orphaned tokens of a sender without a record can be their
    /// source.
    ///
    /// # Examples
    ///
    /// ```
    /// use cuminloom::budget::{Row, SealRecord, Share};
    /// let mut row = Row::create("anod".into(), 1_000);
    /// row.update_share("vm-1.0a", Share { drawn: 100, sent: 40, ..Share::default() }).unwrap();
    /// row.seal_or_add_share("vm-2.0b", SealRecord { issued: Some(40), sent: 0, billed: 30 }).unwrap();
    /// assert_eq!((row.in_transit(), row.breakdown().orphaned), (0, 10));
    /// ```
    pub fn seal_or_add_share(&mut self, inc: &str, record: SealRecord) -> Result<(), RowError> {
        if self.shares.contains_key(inc) {
            return self.seal_share(inc, record);
        }
        let issued = record.issued.unwrap_or(record.billed);
        if issued == 0 {
            return Err(RowError::NoShare);
        }
        if self.unclaimed() < i128::from(issued.max(record.billed)) {
            return Err(RowError::OutOfRange);
        }
        self.write_sealed(inc, Share::default(), record)
    }

    /// Computes the sealed form of `old` from the record and writes it to the row.
    fn write_sealed(&mut self, inc: &str, old: Share, record: SealRecord) -> Result<(), RowError> {
        let mut share = Share {
            sent: old.sent.max(record.sent),
            billed: old.billed.max(record.billed),
            sealed: true,
            ..old
        };
        let gone = share
            .returned
            .checked_add(share.sent)
            .ok_or(RowError::OutOfRange)?;
        let least = gone + record.issued.unwrap_or(0).max(share.billed);
        let has = share.drawn + share.received;
        share.received += least.saturating_sub(has);
        if record.issued.is_some() {
            share.returned += has.saturating_sub(least);
        }
        share.outstanding().ok_or(RowError::Inconsistent)?;
        self.shares.insert(inc.into(), share);
        debug_assert!(self.is_balanced());
        Ok(())
    }

    /// Raises the billed count of a sealed share to the tokens of its bills including its late
    /// batches. Tokens beyond the outstanding ones came from a transfer that the share had not
    /// written, and are taken from those in transit.
    ///
    /// # Errors
    ///
    /// [`RowError::NoShare`], [`RowError::NotSealed`], or [`RowError::OutOfRange`] beyond
    /// what is orphaned and in transit; the sender of a transfer may not have written it yet. On
    /// `NoShare` the share had only transferred tokens, and [`Row::seal_or_add_share`] writes it.
    ///
    /// # Examples
    ///
    /// ```
    /// use cuminloom::budget::{Row, SealRecord, Share};
    /// let mut row = Row::create("anod".into(), 1_000);
    /// row.update_share("vm-1.0a", Share { drawn: 100, ..Share::default() }).unwrap();
    /// row.seal_share("vm-1.0a", SealRecord { issued: Some(40), ..SealRecord::default() }).unwrap();
    /// row.bill_late("vm-1.0a", 25).unwrap();
    /// assert_eq!((row.breakdown().billed, row.breakdown().orphaned), (25, 15));
    /// ```
    pub fn bill_late(&mut self, inc: &str, billed: Tokens) -> Result<(), RowError> {
        let unclaimed = self.unclaimed();
        let share = self.sealed_share(inc)?;
        let left = share.outstanding().ok_or(RowError::Inconsistent)?;
        let missing = billed.saturating_sub(share.billed + left);
        if i128::from(missing) > (unclaimed - i128::from(left)).max(0) {
            return Err(RowError::OutOfRange);
        }
        share.received += missing;
        share.billed = share.billed.max(billed);
        Ok(())
    }

    /// Returns orphaned tokens of a share to the free tokens. The caller must have proof that the
    /// share's daemon can no longer spend.
    ///
    /// # Errors
    ///
    /// [`RowError::NoShare`], [`RowError::NotSealed`], or [`RowError::OutOfRange`] beyond
    /// what is orphaned. Tokens that another share has received and no share has written as sent
    /// belong to some orphaned share, so they are not released either.
    ///
    /// # Examples
    ///
    /// ```
    /// use cuminloom::budget::{Row, RowError, SealRecord, Share};
    /// let mut row = Row::create("anod".into(), 1_000);
    /// row.update_share("vm-1.0a", Share { drawn: 100, ..Share::default() }).unwrap();
    /// row.seal_share("vm-1.0a", SealRecord::default()).unwrap();
    /// assert_eq!(row.release_orphaned("vm-1.0a", 101), Err(RowError::OutOfRange));
    /// row.release_orphaned("vm-1.0a", 100).unwrap();
    /// assert_eq!(row.breakdown().free, 1_000);
    /// ```
    pub fn release_orphaned(&mut self, inc: &str, tokens: Tokens) -> Result<(), RowError> {
        let unsent = self.in_transit().min(0);
        let safe = self.breakdown().orphaned + unsent;
        let share = self.sealed_share(inc)?;
        let left = share.outstanding().ok_or(RowError::Inconsistent)?;
        if tokens > left || i128::from(tokens) > safe {
            return Err(RowError::OutOfRange);
        }
        share.returned += tokens;
        Ok(())
    }

    /// Counts orphaned tokens of a share as sent, after its daemon was sealed without a record of
    /// its transfers and a receiver has written them.
    ///
    /// # Errors
    ///
    /// [`RowError::NoShare`], [`RowError::NotSealed`], or [`RowError::OutOfRange`] beyond
    /// what is orphaned or what was received and not sent.
    ///
    /// # Examples
    ///
    /// ```
    /// use cuminloom::budget::{Row, SealRecord, Share};
    /// let mut row = Row::create("anod".into(), 1_000);
    /// row.update_share("vm-1.0a", Share { drawn: 100, ..Share::default() }).unwrap();
    /// row.update_share("vm-2.0b", Share { received: 40, ..Share::default() }).unwrap();
    /// row.seal_share("vm-1.0a", SealRecord::default()).unwrap();
    /// row.count_as_sent("vm-1.0a", 40).unwrap();
    /// assert_eq!((row.in_transit(), row.breakdown().orphaned), (0, 60));
    /// ```
    pub fn count_as_sent(&mut self, inc: &str, tokens: Tokens) -> Result<(), RowError> {
        let unsent = -self.in_transit();
        let share = self.sealed_share(inc)?;
        let left = share.outstanding().ok_or(RowError::Inconsistent)?;
        if tokens > left || i128::from(tokens) > unsent.max(0) {
            return Err(RowError::OutOfRange);
        }
        share.sent += tokens;
        Ok(())
    }

    /// Returns tokens in transit to the free tokens. The caller must have proof that sender and
    /// receiver can no longer spend them.
    ///
    /// # Errors
    ///
    /// [`RowError::OutOfRange`] beyond what is in transit.
    ///
    /// # Examples
    ///
    /// ```
    /// use cuminloom::budget::{Row, Share};
    /// let mut row = Row::create("anod".into(), 1_000);
    /// row.update_share("vm-1.0a", Share { drawn: 100, sent: 100, ..Share::default() }).unwrap();
    /// row.reclaim_transit(100).unwrap();
    /// assert_eq!((row.breakdown().held, row.breakdown().free), (0, 1_000));
    /// ```
    pub fn reclaim_transit(&mut self, tokens: Tokens) -> Result<(), RowError> {
        if i128::from(tokens) > self.in_transit() {
            return Err(RowError::OutOfRange);
        }
        self.received = self
            .received
            .checked_add(tokens)
            .ok_or(RowError::OutOfRange)?;
        Ok(())
    }

    /// Removes a share without outstanding tokens and adds its counts to the totals of removed
    /// shares.
    ///
    /// # Errors
    ///
    /// [`RowError::NoShare`], or [`RowError::Outstanding`].
    ///
    /// # Examples
    ///
    /// ```
    /// use cuminloom::budget::{Row, Share};
    /// let mut row = Row::create("anod".into(), 1_000);
    /// row.update_share("vm-1.0a", Share { drawn: 100, billed: 100, ..Share::default() }).unwrap();
    /// row.remove_share("vm-1.0a").unwrap();
    /// assert_eq!((row.settled, row.breakdown().free), (100, 900));
    /// ```
    pub fn remove_share(&mut self, inc: &str) -> Result<(), RowError> {
        let share = self.shares.get(inc).ok_or(RowError::NoShare)?;
        if share.outstanding() != Some(0) {
            return Err(RowError::Outstanding);
        }
        self.settled += share.billed;
        self.sent += share.sent;
        self.received += share.received;
        self.shares.remove(inc);
        debug_assert!(self.is_balanced());
        Ok(())
    }

    /// Tokens that some share may have received without having written them to the row.
    fn unclaimed(&self) -> i128 {
        self.in_transit() + self.breakdown().orphaned
    }

    /// Returns the share of `inc`, or an error when there is none or it is not sealed.
    fn sealed_share(&mut self, inc: &str) -> Result<&mut Share, RowError> {
        let share = self.shares.get_mut(inc).ok_or(RowError::NoShare)?;
        match share.sealed {
            true => Ok(share),
            false => Err(RowError::NotSealed),
        }
    }
}
