//! Operations on the budget row. Each keeps the identity or changes nothing.

use super::{
    Lowered,
    Record,
    Refusal,
    Row,
    Share, //
};
use crate::model::Tokens;

impl Row {
    /// Raises the limit.
    ///
    /// # Errors
    ///
    /// [`Refusal::TooMany`] when the limit would exceed 64 bits.
    ///
    /// # Examples
    ///
    /// ```
    /// let mut row = cuminloom::budget::Row::create("anod".into(), 1_000);
    /// row.top_up(500).unwrap();
    /// assert_eq!((row.limit, row.revision), (1_500, 2));
    /// ```
    pub fn top_up(&mut self, tokens: Tokens) -> Result<(), Refusal> {
        self.limit = self.limit.checked_add(tokens).ok_or(Refusal::TooMany)?;
        self.revision += 1;
        Ok(())
    }

    /// Lowers the limit. What shares hold beyond it stays spendable until it is returned.
    ///
    /// # Errors
    ///
    /// [`Refusal::TooMany`] when `limit` is above the current limit or below what is billed.
    ///
    /// # Examples
    ///
    /// ```
    /// use cuminloom::budget::{Row, Share};
    /// let mut row = Row::create("anod".into(), 1_000);
    /// row.post("vm-1.0a", Share { drawn: 100, ..Share::default() }).unwrap();
    /// let lowered = row.lower(40).unwrap();
    /// assert_eq!((lowered.in_force, lowered.pending), (100, 60));
    /// ```
    pub fn lower(&mut self, limit: Tokens) -> Result<Lowered, Refusal> {
        let figures = self.figures();
        if limit > self.limit || i128::from(limit) < figures.billed {
            return Err(Refusal::TooMany);
        }
        self.limit = limit;
        self.revision += 1;
        let pending = Tokens::try_from(-self.figures().free).unwrap_or(0);
        Ok(Lowered {
            in_force: limit + pending,
            pending,
        })
    }

    /// Sets the figures of a live share, as its own daemon does.
    ///
    /// # Errors
    ///
    /// [`Refusal::Sealed`] after the seal, [`Refusal::Backwards`] when a figure falls, and
    /// [`Refusal::Exhausted`] when a draw leaves less than 0 free.
    ///
    /// # Examples
    ///
    /// ```
    /// use cuminloom::budget::{Refusal, Row, Share};
    /// let mut row = Row::create("anod".into(), 1_000);
    /// let share = Share { drawn: 1_001, ..Share::default() };
    /// assert_eq!(row.post("vm-1.0a", share), Err(Refusal::Exhausted));
    /// ```
    pub fn post(&mut self, inc: &str, share: Share) -> Result<(), Refusal> {
        let old = self.shares.get(inc).copied().unwrap_or_default();
        if old.sealed || share.sealed {
            return Err(Refusal::Sealed);
        }
        if !old.precedes(&share) || share.outstanding().is_none() {
            return Err(Refusal::Backwards);
        }
        let change =
            i128::from(share.drawn - old.drawn) - i128::from(share.returned - old.returned);
        if share.drawn > old.drawn && change > self.figures().free.max(0) {
            return Err(Refusal::Exhausted);
        }
        self.shares.insert(inc.into(), share);
        debug_assert!(self.holds());
        Ok(())
    }

    /// Seals a share: the part that was never issued returns to free, the rest is orphaned.
    /// Repeating it with the same record changes nothing.
    ///
    /// The record's issued figure can exceed what the row shows, when the daemon had received a
    /// transfer and not yet written it; the difference is then written as received.
    ///
    /// # Errors
    ///
    /// [`Refusal::NoShare`], or [`Refusal::Backwards`] when the record contradicts the row.
    ///
    /// # Examples
    ///
    /// ```
    /// use cuminloom::budget::{Record, Row, Share};
    /// let mut row = Row::create("anod".into(), 1_000);
    /// row.post("vm-1.0a", Share { drawn: 100, ..Share::default() }).unwrap();
    /// row.settle_sealed("vm-1.0a", Record { issued: Some(40), sent: 0, billed: 30 }).unwrap();
    /// let figures = row.figures();
    /// assert_eq!((figures.billed, figures.orphaned, figures.free), (30, 10, 960));
    /// ```
    pub fn settle_sealed(&mut self, inc: &str, record: Record) -> Result<(), Refusal> {
        let old = self.shares.get(inc).copied().ok_or(Refusal::NoShare)?;
        if old.sealed {
            return Ok(());
        }
        self.insert_sealed(inc, old, record)
    }

    /// Writes a sealed share for a daemon that lived on transfers only and had not written its share
    /// yet. Must not be called for a share that a planned stop has removed: such an incarnation has
    /// issued 0 in the record, or without a record is marked as stopping in its fence row.
    ///
    /// # Errors
    ///
    /// [`Refusal::NoShare`] when the record names no tokens, and [`Refusal::TooMany`] when neither
    /// tokens in transit nor orphans of a sender without a record can be their source.
    ///
    /// # Examples
    ///
    /// ```
    /// use cuminloom::budget::{Record, Row, Share};
    /// let mut row = Row::create("anod".into(), 1_000);
    /// row.post("vm-1.0a", Share { drawn: 100, sent: 40, ..Share::default() }).unwrap();
    /// row.adopt_sealed("vm-2.0b", Record { issued: Some(40), sent: 0, billed: 30 }).unwrap();
    /// assert_eq!((row.transit(), row.figures().orphaned), (0, 10));
    /// ```
    pub fn adopt_sealed(&mut self, inc: &str, record: Record) -> Result<(), Refusal> {
        if self.shares.contains_key(inc) {
            return self.settle_sealed(inc, record);
        }
        let issued = record.issued.unwrap_or(record.billed);
        if issued == 0 {
            return Err(Refusal::NoShare);
        }
        if self.unclaimed() < i128::from(issued.max(record.billed)) {
            return Err(Refusal::TooMany);
        }
        self.insert_sealed(inc, Share::default(), record)
    }

    fn insert_sealed(&mut self, inc: &str, old: Share, record: Record) -> Result<(), Refusal> {
        let mut share = Share {
            sent: old.sent.max(record.sent),
            billed: old.billed.max(record.billed),
            sealed: true,
            ..old
        };
        let gone = share
            .returned
            .checked_add(share.sent)
            .ok_or(Refusal::TooMany)?;
        let least = gone + record.issued.unwrap_or(0).max(share.billed);
        let has = share.drawn + share.received;
        share.received += least.saturating_sub(has);
        if record.issued.is_some() {
            share.returned += has.saturating_sub(least);
        }
        share.outstanding().ok_or(Refusal::Backwards)?;
        self.shares.insert(inc.into(), share);
        debug_assert!(self.holds());
        Ok(())
    }

    /// Raises the billed figure of a sealed share to the tokens of its bills including its late
    /// batches. What exceeds the outstanding tokens came from a transfer that the share had not
    /// written, and is taken from what is in transit.
    ///
    /// # Errors
    ///
    /// [`Refusal::NoShare`], [`Refusal::Live`], or [`Refusal::TooMany`] beyond what is orphaned and
    /// in transit; the sender of a transfer may not have written it yet. On `NoShare` the share
    /// lived on transfers only, and [`Row::adopt_sealed`] writes it.
    ///
    /// # Examples
    ///
    /// ```
    /// use cuminloom::budget::{Record, Row, Share};
    /// let mut row = Row::create("anod".into(), 1_000);
    /// row.post("vm-1.0a", Share { drawn: 100, ..Share::default() }).unwrap();
    /// row.settle_sealed("vm-1.0a", Record { issued: Some(40), ..Record::default() }).unwrap();
    /// row.bill_late("vm-1.0a", 25).unwrap();
    /// assert_eq!((row.figures().billed, row.figures().orphaned), (25, 15));
    /// ```
    pub fn bill_late(&mut self, inc: &str, billed: Tokens) -> Result<(), Refusal> {
        let unclaimed = self.unclaimed();
        let share = self.sealed_share(inc)?;
        let left = share.outstanding().ok_or(Refusal::Backwards)?;
        let missing = billed.saturating_sub(share.billed + left);
        if i128::from(missing) > (unclaimed - i128::from(left)).max(0) {
            return Err(Refusal::TooMany);
        }
        share.received += missing;
        share.billed = share.billed.max(billed);
        Ok(())
    }

    /// Returns orphaned tokens of a share to free, on proof that its holder can no longer spend.
    ///
    /// # Errors
    ///
    /// [`Refusal::NoShare`], [`Refusal::Live`], or [`Refusal::TooMany`] beyond what is orphaned.
    /// Tokens that another share has received and no share has sent yet are part of some orphan, so
    /// they are not released either.
    ///
    /// # Examples
    ///
    /// ```
    /// use cuminloom::budget::{Record, Refusal, Row, Share};
    /// let mut row = Row::create("anod".into(), 1_000);
    /// row.post("vm-1.0a", Share { drawn: 100, ..Share::default() }).unwrap();
    /// row.settle_sealed("vm-1.0a", Record::default()).unwrap();
    /// assert_eq!(row.release("vm-1.0a", 101), Err(Refusal::TooMany));
    /// row.release("vm-1.0a", 100).unwrap();
    /// assert_eq!(row.figures().free, 1_000);
    /// ```
    pub fn release(&mut self, inc: &str, tokens: Tokens) -> Result<(), Refusal> {
        let unsent = self.transit().min(0);
        let safe = self.figures().orphaned + unsent;
        let share = self.sealed_share(inc)?;
        let left = share.outstanding().ok_or(Refusal::Backwards)?;
        if tokens > left || i128::from(tokens) > safe {
            return Err(Refusal::TooMany);
        }
        share.returned += tokens;
        Ok(())
    }

    /// Counts orphaned tokens of a share as sent, after its holder was sealed without a record of its
    /// transfers and a receiver has written them.
    ///
    /// # Errors
    ///
    /// [`Refusal::NoShare`], [`Refusal::Live`], or [`Refusal::TooMany`] beyond what is orphaned or
    /// what was received and not sent.
    ///
    /// # Examples
    ///
    /// ```
    /// use cuminloom::budget::{Record, Row, Share};
    /// let mut row = Row::create("anod".into(), 1_000);
    /// row.post("vm-1.0a", Share { drawn: 100, ..Share::default() }).unwrap();
    /// row.post("vm-2.0b", Share { received: 40, ..Share::default() }).unwrap();
    /// row.settle_sealed("vm-1.0a", Record::default()).unwrap();
    /// row.attribute("vm-1.0a", 40).unwrap();
    /// assert_eq!((row.transit(), row.figures().orphaned), (0, 60));
    /// ```
    pub fn attribute(&mut self, inc: &str, tokens: Tokens) -> Result<(), Refusal> {
        let unsent = -self.transit();
        let share = self.sealed_share(inc)?;
        let left = share.outstanding().ok_or(Refusal::Backwards)?;
        if tokens > left || i128::from(tokens) > unsent.max(0) {
            return Err(Refusal::TooMany);
        }
        share.sent += tokens;
        Ok(())
    }

    /// Returns tokens in transit to free, on proof that sender and receiver can no longer spend.
    ///
    /// # Errors
    ///
    /// [`Refusal::TooMany`] beyond what is in transit.
    ///
    /// # Examples
    ///
    /// ```
    /// use cuminloom::budget::{Row, Share};
    /// let mut row = Row::create("anod".into(), 1_000);
    /// row.post("vm-1.0a", Share { drawn: 100, sent: 100, ..Share::default() }).unwrap();
    /// row.reclaim(100).unwrap();
    /// assert_eq!((row.figures().held, row.figures().free), (0, 1_000));
    /// ```
    pub fn reclaim(&mut self, tokens: Tokens) -> Result<(), Refusal> {
        if i128::from(tokens) > self.transit() {
            return Err(Refusal::TooMany);
        }
        self.received = self.received.checked_add(tokens).ok_or(Refusal::TooMany)?;
        Ok(())
    }

    /// Removes a share that has nothing outstanding and adds its figures to the totals.
    ///
    /// # Errors
    ///
    /// [`Refusal::NoShare`], or [`Refusal::Outstanding`].
    ///
    /// # Examples
    ///
    /// ```
    /// use cuminloom::budget::{Row, Share};
    /// let mut row = Row::create("anod".into(), 1_000);
    /// row.post("vm-1.0a", Share { drawn: 100, billed: 100, ..Share::default() }).unwrap();
    /// row.remove("vm-1.0a").unwrap();
    /// assert_eq!((row.settled, row.figures().free), (100, 900));
    /// ```
    pub fn remove(&mut self, inc: &str) -> Result<(), Refusal> {
        let share = self.shares.get(inc).ok_or(Refusal::NoShare)?;
        if share.outstanding() != Some(0) {
            return Err(Refusal::Outstanding);
        }
        self.settled += share.billed;
        self.sent += share.sent;
        self.received += share.received;
        self.shares.remove(inc);
        debug_assert!(self.holds());
        Ok(())
    }

    /// Tokens that some share may have received without writing it.
    fn unclaimed(&self) -> i128 {
        self.transit() + self.figures().orphaned
    }

    fn sealed_share(&mut self, inc: &str) -> Result<&mut Share, Refusal> {
        let share = self.shares.get_mut(inc).ok_or(Refusal::NoShare)?;
        match share.sealed {
            true => Ok(share),
            false => Err(Refusal::Live),
        }
    }
}
