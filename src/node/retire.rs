//! Retirement of a sealed incarnation of this process: its late bills are written and its unspent
//! tokens returned.

use std::time::Duration;

use super::incarnation::{
    IncarnationState,
    Requester, //
};
use crate::{
    bill::Seal,
    budget::Row,
    mirror::{
        Fence,
        StoreReply,
        StoreRequest,
        fence_key, //
    },
    model::{
        BudgetId,
        Version, //
    },
    store::{
        Change,
        CommitOutcome,
        Precondition,
        Row as Stored,
        Write, //
    },
};

/// Pause before a failed step is repeated.
const RETRY_INTERVAL: Duration = Duration::from_secs(1);

#[derive(Debug)]
enum Step {
    /// Reading the seal object.
    ReadSeal,
    /// Reading the fence row until the sealer has settled the budget rows.
    AwaitSettled,
    /// Waiting until all requests have finished and their bills are committed.
    AwaitBills,
    /// Reading the row of the last budget in the list.
    ReadRow,
    /// Writing the row of the last budget in the list.
    WriteRow(Version, Row),
    /// Everything is accounted for.
    Done,
}

/// Progress of the retirement of a sealed incarnation: its late bills are committed, then the tokens
/// that its own records prove unspent are returned.
#[derive(Debug)]
pub(super) struct Retirement {
    step: Step,
    pending: bool,
    retry_at: Duration,
    /// Budgets whose rows are still to be written in this pass; the last one is next.
    budgets: Vec<BudgetId>,
    /// Whether the shares have been returned and are now being removed from the rows. The removal is
    /// a separate pass, so that a lost reply to it does no harm.
    removing: bool,
}

impl Retirement {
    pub(super) fn is_done(&self) -> bool {
        matches!(self.step, Step::Done)
    }
}

impl IncarnationState {
    /// Whether every request and bill of the sealed incarnation is accounted for.
    pub(super) fn is_retired(&self) -> bool {
        self.retirement.as_ref().is_some_and(Retirement::is_done)
    }

    /// Runs the next step of the retirement.
    pub(super) fn poll_retire(&mut self, now: Duration) {
        let sealed = self.primary.fence().sealed.as_ref();
        let object = sealed.expect("the incarnation is sealed").object.clone();
        if self.retirement.is_none() {
            if self.writer.is_pending() {
                return;
            }
            // A planned stop writes no seal object and leaves nothing to account for.
            let step = match object.is_empty() {
                true => Step::Done,
                false => Step::ReadSeal,
            };
            self.retirement = Some(Retirement {
                step,
                pending: false,
                retry_at: now,
                budgets: Vec::new(),
                removing: false,
            });
        }
        self.check_flushed();
        let inc = self.inc.clone();
        let retirement = self.retirement.as_mut().expect("set above");
        if retirement.pending || now < retirement.retry_at {
            return;
        }
        let budget = retirement
            .budgets
            .last()
            .map(|b| format!("budget/{b}").into());
        let request = match &retirement.step {
            Step::AwaitBills | Step::Done => return,
            Step::ReadSeal => StoreRequest::Get(object),
            Step::AwaitSettled => StoreRequest::Read(fence_key(&inc)),
            Step::ReadRow => StoreRequest::Read(budget.expect("a budget is left")),
            Step::WriteRow(version, row) => StoreRequest::Commit(vec![Write {
                key: budget.expect("a budget is left"),
                precondition: Precondition::Version(*version),
                change: Change::Put(row.into()),
            }]),
        };
        retirement.pending = true;
        self.push_request(Requester::Retire, request);
    }

    /// Begins to return the shares when all requests have finished and their bills are committed.
    fn check_flushed(&mut self) {
        let done = self.open() == 0 && self.writer.is_flushed();
        let retirement = self.retirement.as_mut().expect("the retirement has begun");
        if matches!(retirement.step, Step::AwaitBills) && done {
            retirement.budgets = self.primary.state().issued.keys().cloned().collect();
            self.next_budget();
        }
    }

    /// Handles the reply to the store operation of the current step.
    pub(super) fn handle_retire_reply(&mut self, now: Duration, reply: StoreReply) {
        let retirement = self.retirement.as_mut().expect("the retirement has begun");
        retirement.pending = false;
        match (&retirement.step, reply) {
            (Step::ReadSeal, StoreReply::Object(body)) => {
                let seal = body.and_then(|body| Seal::decode(&body));
                self.apply_seal(now, &seal.expect("a committed seal has an object"));
            }
            (Step::AwaitSettled, StoreReply::Row(row)) => {
                let fence = row.and_then(|row| Fence::from_value(&row.value));
                match fence.and_then(|fence| fence.sealed) {
                    Some(sealed) if sealed.settled => {
                        retirement.step = Step::AwaitBills;
                        self.writer.set_settled();
                    }
                    _ => retirement.retry_at = now + RETRY_INTERVAL,
                }
            }
            (Step::ReadRow, StoreReply::Row(row)) => match self.returned_row(row) {
                Some((version, row)) => self.set_step(Step::WriteRow(version, row)),
                None => self.finish_budget(),
            },
            (Step::WriteRow(..), StoreReply::Commit(CommitOutcome::Applied(_))) => {
                self.finish_budget()
            }
            (Step::WriteRow(..), _) => {
                retirement.step = Step::ReadRow;
                retirement.retry_at = now;
            }
            _ => retirement.retry_at = now + RETRY_INTERVAL,
        }
    }

    fn set_step(&mut self, step: Step) {
        self.retirement
            .as_mut()
            .expect("the retirement has begun")
            .step = step;
    }

    /// Goes on from a budget whose row needs no more writes in this pass.
    fn finish_budget(&mut self) {
        let retirement = self.retirement.as_mut().expect("the retirement has begun");
        retirement.budgets.pop();
        self.next_budget();
    }

    /// Goes on with the next budget, the next pass or the end.
    fn next_budget(&mut self) {
        let budgets = self.primary.state().issued.keys().cloned().collect();
        let retirement = self.retirement.as_mut().expect("the retirement has begun");
        if retirement.budgets.is_empty() && !retirement.removing {
            retirement.removing = true;
            retirement.budgets = budgets;
        }
        retirement.step = match retirement.budgets.is_empty() {
            true => Step::Done,
            false => Step::ReadRow,
        };
    }

    /// Takes over the bills that the seal holds. A waiting request that the witness recorded without
    /// the acknowledgement arriving is charged by the seal, so it may run; other waiting requests are
    /// refused.
    fn apply_seal(&mut self, now: Duration, seal: &Seal) {
        self.primary.commit_batches(seal.batches);
        self.writer
            .start_late(now, &self.primary.state().bills, seal);
        for seq in self.waiting_requests() {
            match self.writer.in_seal(seq) {
                true => self.set_ready(seq),
                false => self.refuse(now, seq),
            }
        }
        self.set_step(Step::AwaitSettled);
    }

    /// The budget row with the share's tokens returned, or with the share removed; `None` when nothing
    /// changes.
    fn returned_row(&self, row: Option<Stored>) -> Option<(Version, Row)> {
        let row = row?;
        let version = row.version;
        let mut row = Row::try_from(row.value).ok()?;
        if self
            .retirement
            .as_ref()
            .is_some_and(|retirement| retirement.removing)
        {
            row.remove_share(&self.inc).ok()?;
            return Some((version, row));
        }
        let left = row.shares.get(&self.inc)?.outstanding()?;
        // This fails while the billed tokens of another share are not in the row; an operator settles
        // what is left then.
        row.release_orphaned(&self.inc, left).ok()?;
        (left > 0).then_some((version, row))
    }
}
