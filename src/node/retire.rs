use std::{
    collections::BTreeSet,
    time::Duration, //
};

use super::life::{
    Asker,
    Life, //
};
use crate::{
    bill::Seal,
    budget::{
        Row,
        Share, //
    },
    mirror::{
        Fence,
        Reply,
        Request,
        fence_key, //
    },
    model::{
        BudgetId,
        Tokens,
        Version, //
    },
    store::{
        Change,
        Expect,
        Outcome,
        Row as Stored,
        Write, //
    },
};

/// Pause before a step is repeated.
const RETRY: Duration = Duration::from_secs(1);

#[derive(Debug)]
enum Step {
    /// Reads the seal object.
    Object,
    Idle,
    /// Waits until the sealer has settled the budget rows.
    Fence,
    Read,
    Write(Version, Row),
    Done,
}

/// The end of a sealed incarnation: late bills, and the return of what its own statement proves
/// unspent.
#[derive(Debug)]
pub(super) struct Retire {
    step: Step,
    pending: bool,
    retry_at: Duration,
    budgets: Vec<BudgetId>,
    /// Whether billed totals changed since the last pass over the budget rows.
    dirty: bool,
    pass: Pass,
}

/// What a pass over the budget rows does.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Pass {
    /// Raises the billed figures to the late bills.
    Bill,
    /// The same, and returns what is left, because nothing can be spent any more.
    Return,
    /// Removes the empty shares. It inserts none, so an earlier removal whose answer was lost is
    /// not undone.
    Remove,
}

impl Retire {
    pub(super) fn is_done(&self) -> bool {
        matches!(self.step, Step::Done)
    }
}

impl Life {
    /// Whether every request and bill of the sealed incarnation is accounted for.
    pub(super) fn is_retired(&self) -> bool {
        self.retire.as_ref().is_some_and(Retire::is_done)
    }

    pub(super) fn poll_retire(&mut self, now: Duration) {
        let sealed = self.pair.fence().sealed.as_ref();
        let object = sealed.expect("the incarnation is sealed").object.clone();
        if self.retire.is_none() {
            if self.writer.is_pending() {
                return;
            }
            // A planned stop leaves no object and nothing to account for.
            let step = match object.is_empty() {
                true => Step::Done,
                false => Step::Object,
            };
            self.retire = Some(Retire {
                step,
                pending: false,
                retry_at: now,
                budgets: Vec::new(),
                dirty: true,
                pass: Pass::Bill,
            });
        }
        self.start_pass();
        let inc = self.inc.clone();
        let retire = self.retire.as_mut().expect("set above");
        if retire.pending || now < retire.retry_at {
            return;
        }
        let budget = retire.budgets.last().map(|b| format!("budget/{b}").into());
        let request = match &retire.step {
            Step::Idle | Step::Done => return,
            Step::Object => Request::Get(object),
            Step::Fence => Request::Read(fence_key(&inc)),
            Step::Read => Request::Read(budget.expect("a budget is left")),
            Step::Write(version, row) => Request::Commit(vec![Write {
                key: budget.expect("a budget is left"),
                expect: Expect::Version(*version),
                change: Change::Put(row.into()),
            }]),
        };
        retire.pending = true;
        self.request(Asker::Retire, request);
    }

    fn start_pass(&mut self) {
        let last = self.open() == 0 && self.writer.is_flushed();
        let budgets = self.budgets();
        let retire = self.retire.as_mut().expect("the seal was found");
        if matches!(retire.step, Step::Idle) && (retire.dirty || last) {
            retire.step = Step::Fence;
            retire.dirty = false;
            retire.pass = match last {
                true => Pass::Return,
                false => Pass::Bill,
            };
            retire.budgets = budgets;
        }
    }

    fn budgets(&self) -> Vec<BudgetId> {
        let totals = self.writer.totals();
        let issued = self.pair.state().issued.keys();
        let budgets: BTreeSet<BudgetId> = issued.chain(totals.keys()).cloned().collect();
        budgets.into_iter().collect()
    }

    /// Late bills were committed.
    pub(super) fn late(&mut self) {
        let retire = self.retire.as_mut().expect("the seal was found");
        retire.dirty = true;
    }

    pub(super) fn retired(&mut self, now: Duration, reply: Reply) {
        let retire = self.retire.as_mut().expect("the seal was found");
        retire.pending = false;
        match (&retire.step, reply) {
            (Step::Object, Reply::Object(body)) => {
                let seal = body.and_then(|body| Seal::decode(&body));
                self.take_seal(now, &seal.expect("a committed seal has an object"));
            }
            (Step::Fence, Reply::Row(row)) => {
                let fence = row.and_then(|row| Fence::from_value(&row.value));
                match fence.and_then(|fence| fence.sealed) {
                    Some(sealed) if sealed.settled => self.next_budget(),
                    _ => retire.retry_at = now + RETRY,
                }
            }
            (Step::Read, Reply::Row(row)) => match self.statement(row) {
                Some((version, row)) => self.set_step(Step::Write(version, row)),
                None => self.budget_done(),
            },
            (Step::Write(..), Reply::Commit(Outcome::Applied(_))) => self.budget_done(),
            (Step::Write(..), _) => {
                retire.step = Step::Read;
                retire.retry_at = now;
            }
            _ => retire.retry_at = now + RETRY,
        }
    }

    fn set_step(&mut self, step: Step) {
        self.retire.as_mut().expect("the seal was found").step = step;
    }

    fn budget_done(&mut self) {
        let retire = self.retire.as_mut().expect("the seal was found");
        retire.budgets.pop();
        self.next_budget();
    }

    fn next_budget(&mut self) {
        let budgets = self.budgets();
        let retire = self.retire.as_mut().expect("the seal was found");
        if retire.budgets.is_empty() && retire.pass == Pass::Return {
            retire.pass = Pass::Remove;
            retire.budgets = budgets;
        }
        retire.step = match (retire.budgets.is_empty(), retire.pass) {
            (false, _) => Step::Read,
            (true, Pass::Bill) => Step::Idle,
            (true, _) => Step::Done,
        };
    }

    /// Requests that the witness recorded and never confirmed are charged by the seal, so they may
    /// run; the other ones that wait are refused.
    fn take_seal(&mut self, now: Duration, seal: &Seal) {
        self.pair.settle(seal.batches);
        self.writer.seal(now, &self.pair.state().book, seal);
        for seq in self.unready() {
            match seal.bills.iter().any(|bill| bill.seq == seq) {
                true => self.set_ready(seq),
                false => self.refuse(now, seq),
            }
        }
        self.set_step(Step::Idle);
    }

    /// The budget row after the pass; `None` when nothing changes.
    fn statement(&self, row: Option<Stored>) -> Option<(Version, Row)> {
        let retire = self.retire.as_ref().expect("the seal was found");
        let budget = retire.budgets.last().expect("a budget is left");
        let row = row?;
        let old = Row::try_from(row.value).ok()?;
        let mut new = old.clone();
        if retire.pass == Pass::Remove {
            new.remove(&self.inc).ok()?;
            return Some((row.version, new));
        }
        let total = self.writer.totals().get(budget).copied().unwrap_or(0);
        self.bill_late(&mut new, total);
        if retire.pass == Pass::Return
            && let Some(left) = new.shares.get(&self.inc).and_then(Share::outstanding)
        {
            // Refused while another share's figures are behind; an operator settles the rest.
            let _ = new.release(&self.inc, left);
        }
        (new != old).then_some((row.version, new))
    }

    /// Raises the billed figure. Bills beyond what the row shows were paid by transfers that this
    /// incarnation received and could not write to the row before the seal.
    fn bill_late(&self, row: &mut Row, total: Tokens) {
        if total == 0 {
            return;
        }
        let share = row.shares.entry(self.inc.clone()).or_insert(Share {
            sealed: true,
            ..Share::default()
        });
        let left = share.outstanding().expect("rows that are read are sound");
        share.received += total.saturating_sub(share.billed + left);
        row.bill_late(&self.inc, total)
            .expect("the share has the tokens");
    }
}
