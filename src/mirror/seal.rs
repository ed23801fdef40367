//! The seal of a lost incarnation, step by step.

use std::{
    collections::BTreeMap,
    sync::Arc,
    time::Duration, //
};

use super::{
    Fence,
    Reply,
    Request,
    SealedBy,
    State,
    fence_key,
    ledger_key,
    step::{
        Kind,
        Step, //
    },
    witness::Record, //
};
use crate::{
    bill::{
        self,
        Account,
        Ledger, //
    },
    budget,
    model::{
        BudgetId,
        Incarnation,
        Version, //
    },
    store::{
        Change,
        Expect,
        Outcome,
        Row,
        StoreFault,
        Write, //
    },
};

/// Pause before a failed step is repeated.
const RETRY: Duration = Duration::from_secs(1);
/// Rows per page when the budgets of an incarnation are not known.
const PAGE: usize = 64;

/// The seal of one incarnation: fixes its final account, seals its fence row, and settles its
/// budget rows. Each step can be repeated.
#[derive(Debug)]
pub(crate) struct Seal {
    pub(crate) inc: Incarnation,
    by: Incarnation,
    kind: Kind,
    step: Step,
    pending: bool,
    retry_at: Duration,
    fence: Option<(Version, Fence)>,
    ledger: (Expect, Ledger),
    state: State,
    seal: bill::Seal,
    object: Arc<str>,
    /// Budgets whose rows are not settled yet.
    budgets: Vec<BudgetId>,
}

impl Seal {
    /// A seal by the witness.
    pub(crate) fn new(inc: Incarnation, by: Incarnation) -> Self {
        Self {
            inc,
            by,
            kind: Kind::Witness,
            step: Step::Fence,
            pending: false,
            retry_at: Duration::ZERO,
            fence: None,
            ledger: (Expect::Absent, Ledger::default()),
            state: State::default(),
            seal: bill::Seal::default(),
            object: "".into(),
            budgets: Vec::new(),
        }
    }

    /// A seal of an incarnation whose witness is lost too, or the rest of a seal whose sealer is.
    pub(crate) fn third(inc: Incarnation, by: Incarnation) -> Self {
        Self {
            kind: Kind::Third,
            ..Self::new(inc, by)
        }
    }

    /// Returns the orphans of an incarnation that was attached when it was sealed and whose VM has
    /// been absent for the time by which the list of VMs may lag.
    pub(crate) fn release(inc: Incarnation, by: Incarnation) -> Self {
        Self {
            kind: Kind::Release,
            ..Self::new(inc, by)
        }
    }

    /// Whether nothing has been fixed yet, so that the incarnation may live on.
    pub(crate) fn can_stop(&self) -> bool {
        matches!(self.step, Step::Fence | Step::Ledger)
    }

    /// Whether the procedure ended, and if so, whether the records can be dropped.
    pub(crate) fn done(&self) -> Option<bool> {
        match self.step {
            Step::Done { drop } => Some(drop),
            _ => None,
        }
    }

    /// The platform operation that is due.
    pub(crate) fn poll(&mut self, now: Duration) -> Option<Request> {
        if self.pending || now < self.retry_at {
            return None;
        }
        self.pending = true;
        Some(match &self.step {
            Step::Fence => Request::Read(fence_key(&self.inc)),
            Step::Ledger => Request::Read(ledger_key(&self.inc)),
            Step::Batch => {
                let batch = self.state.book.last + 1;
                Request::Get(format!("bills/{}/{batch}", self.inc).into())
            }
            Step::Put => Request::Put(self.object.clone(), self.seal.encode()),
            Step::Commit => self.commit(),
            Step::Resume => Request::Get(self.object.clone()),
            Step::List(after) => Request::List("budget/".into(), after.clone(), PAGE),
            Step::Read => Request::Read(self.budget_key()),
            Step::Settle(version, row) => self.settlement(*version, row),
            Step::Mark => self.mark(),
            Step::Done { .. } => return None,
        })
    }

    fn budget_key(&self) -> Arc<str> {
        let budget = self.budgets.last().expect("a budget is left to settle");
        format!("budget/{budget}").into()
    }

    fn commit(&self) -> Request {
        let (version, fence) = self.fence.as_ref().expect("the fence row was read");
        let mut fence = fence.clone();
        fence.sealed = Some(SealedBy {
            by: self.by.clone(),
            object: self.object.clone(),
            settled: false,
            attached: self.seal.known && !self.seal.detached,
            released: false,
        });
        Request::Commit(vec![
            Write {
                key: fence_key(&self.inc),
                expect: Expect::Version(*version),
                change: Change::Put(fence.to_value()),
            },
            Write {
                key: ledger_key(&self.inc),
                expect: self.ledger.0,
                change: Change::Check,
            },
        ])
    }

    /// The check of the fence row stops a sealer that another one has overtaken: after all rows
    /// are settled a share may be removed, and must not be inserted again.
    fn settlement(&self, version: Version, row: &budget::Row) -> Request {
        let (fence, _) = self.fence.as_ref().expect("the fence row was read");
        Request::Commit(vec![
            Write {
                key: self.budget_key(),
                expect: Expect::Version(version),
                change: Change::Put(row.into()),
            },
            Write {
                key: fence_key(&self.inc),
                expect: Expect::Version(*fence),
                change: Change::Check,
            },
        ])
    }

    fn mark(&self) -> Request {
        let (version, fence) = self.fence.as_ref().expect("the fence row was read");
        let mut fence = fence.clone();
        let sealed = fence.sealed.as_mut().expect("the fence row is sealed");
        sealed.settled = true;
        sealed.released = self.kind == Kind::Release;
        Request::Commit(vec![Write {
            key: fence_key(&self.inc),
            expect: Expect::Version(*version),
            change: Change::Put(fence.to_value()),
        }])
    }

    /// Takes the answer to the operation; returns whether the fence row was sealed by it.
    pub(crate) fn answer(
        &mut self,
        now: Duration,
        reply: Reply,
        records: Option<&mut BTreeMap<u64, Record>>,
    ) -> bool {
        self.pending = false;
        match (&self.step, reply) {
            (Step::Commit | Step::Settle(..) | Step::Mark, Reply::Failed(StoreFault::Unknown)) => {
                self.retry_at = now + RETRY;
                self.step = match self.step {
                    Step::Settle(..) => Step::Read,
                    _ => Step::Fence,
                };
            }
            (_, Reply::Failed(_)) => self.retry_at = now + RETRY,
            (Step::Fence, Reply::Row(row)) => self.fence_read(row, records.as_deref()),
            (Step::Ledger, Reply::Row(row)) => self.ledger_read(row, records),
            (Step::Batch, Reply::Object(body)) => self.batch_read(body),
            (Step::Put, Reply::Put(_)) => self.step = Step::Commit,
            (Step::Commit, Reply::Commit(outcome)) => return self.committed(&outcome),
            (Step::Resume, Reply::Object(body)) => self.resumed(body),
            (Step::List(_), Reply::Rows(rows)) => self.listed(&rows),
            (Step::Read, Reply::Row(row)) => self.budget_read(row),
            (Step::Settle(..), Reply::Commit(outcome)) => self.settled(&outcome),
            (Step::Mark, Reply::Commit(Outcome::Applied(_))) => {
                self.step = Step::Done { drop: true };
            }
            (Step::Mark, Reply::Commit(_)) => self.step = Step::Fence,
            (step, reply) => panic!("reply {reply:?} does not answer {step:?}"),
        }
        false
    }

    fn fence_read(&mut self, row: Option<Row>, records: Option<&BTreeMap<u64, Record>>) {
        let fence = row.and_then(|row| Some((row.version, Fence::from_value(&row.value)?)));
        // The incarnation never registered, so it has no share.
        let Some((version, fence)) = fence else {
            self.step = Step::Done { drop: true };
            return;
        };
        if let Some(sealed) = &fence.sealed {
            let due = match self.kind {
                Kind::Witness => !sealed.settled && sealed.by == self.by,
                Kind::Third => !sealed.settled,
                Kind::Release => sealed.settled && sealed.attached && !sealed.released,
            };
            self.object = sealed.object.clone();
            self.step = match due {
                true => Step::Resume,
                false => Step::Done { drop: true },
            };
        } else if self.kind != Kind::Witness {
            self.step = Step::Ledger;
        } else {
            let newest = records.and_then(|r| r.last_key_value()).map_or(0, |r| *r.0);
            let watched = records.is_some_and(|r| r.contains_key(&fence.epoch));
            self.step = match watched {
                true => Step::Ledger,
                // Another daemon is the witness; a newer epoch than the row's may still come
                // into force.
                false => Step::Done {
                    drop: fence.epoch > newest,
                },
            };
        }
        self.fence = Some((version, fence));
    }

    fn ledger_read(&mut self, row: Option<Row>, records: Option<&mut BTreeMap<u64, Record>>) {
        self.ledger = match &row {
            Some(row) => (
                Expect::Version(row.version),
                Ledger::from_value(&row.value).expect("a ledger row holds two numbers"),
            ),
            None => (Expect::Absent, Ledger::default()),
        };
        if self.kind != Kind::Witness {
            // Without a record every batch is read, so that the billed figures are exact.
            self.state = State::default();
            return self.next_batch();
        }
        let epoch = self.fence.as_ref().expect("the fence row was read").1.epoch;
        let Some(record) = records.and_then(|records| records.get_mut(&epoch)) else {
            self.step = Step::Done { drop: false };
            return;
        };
        record.frozen = true;
        self.state = record.state.clone();
        self.next_batch();
    }

    fn next_batch(&mut self) {
        let book = &mut self.state.book;
        book.commit_batch(book.last.min(self.ledger.1.batches));
        match book.last < self.ledger.1.batches {
            true => self.step = Step::Batch,
            false => self.build(),
        }
    }

    fn batch_read(&mut self, body: Option<Vec<u8>>) {
        let bills = body.and_then(|body| bill::decode_batch(&body));
        let bills = bills.expect("a batch that counts has an object");
        let book = &mut self.state.book;
        book.apply_committed(book.last + 1, &bills);
        self.next_batch();
    }

    /// Fixes the final account. The record is frozen, so the content depends on the name only.
    fn build(&mut self) {
        let batches = self.ledger.1.batches;
        let epoch = self.fence.as_ref().expect("the fence row was read").1.epoch;
        self.object = format!("bills/{}/seal-{batches}-{epoch}-{}", self.inc, self.by).into();
        let bills = self.state.book.uncommitted();
        let mut billed = self.state.book.billed.clone();
        bill::add_billed(&mut billed, &bills);
        let account = |budget: &BudgetId, issued: u64| Account {
            issued,
            sent: self.state.sent.get(budget).copied().unwrap_or(0),
            billed: billed.get(budget).copied().unwrap_or(0),
        };
        let issued = self.state.issued.clone();
        let accounts: BTreeMap<_, _> = billed.keys().map(|b| (b.clone(), 0)).collect();
        let accounts = accounts.into_iter().chain(issued);
        self.seal = bill::Seal {
            batches,
            known: self.kind == Kind::Witness,
            detached: self.state.detached,
            accounts: accounts.map(|(b, i)| (b.clone(), account(&b, i))).collect(),
            bills,
        };
        self.step = Step::Put;
    }

    fn committed(&mut self, outcome: &Outcome) -> bool {
        match outcome {
            Outcome::Applied(versions) => {
                let (version, fence) = self.fence.as_mut().expect("the fence row was read");
                *version = versions[0];
                fence.sealed = Some(SealedBy {
                    by: self.by.clone(),
                    object: self.object.clone(),
                    settled: false,
                    attached: self.seal.known && !self.seal.detached,
                    released: false,
                });
                self.settle();
                true
            }
            Outcome::Conflict { .. } => {
                self.step = Step::Fence;
                false
            }
        }
    }

    fn resumed(&mut self, body: Option<Vec<u8>>) {
        let seal = body.and_then(|body| bill::Seal::decode(&body));
        self.seal = seal.expect("a seal that was committed has an object");
        self.settle();
    }

    fn settle(&mut self) {
        self.budgets.clear();
        if self.seal.known {
            self.budgets.extend(self.seal.accounts.keys().cloned());
            return self.next_budget();
        }
        self.step = Step::List("".into());
    }

    fn listed(&mut self, rows: &[Row]) {
        // Shares that exist on transfers only have no entry yet.
        if matches!(&self.step, Step::List(after) if after.is_empty()) {
            self.budgets.extend(self.seal.accounts.keys().cloned());
        }
        for row in rows {
            let share = row.value["shares"].get(&*self.inc);
            if let (Some(budget), true) = (row.key.strip_prefix("budget/"), share.is_some()) {
                self.budgets.push(budget.into());
            }
        }
        match rows.last() {
            Some(row) if rows.len() == PAGE => self.step = Step::List(row.key.clone()),
            _ => self.next_budget(),
        }
    }

    fn next_budget(&mut self) {
        self.step = match self.budgets.is_empty() {
            true => Step::Mark,
            false => Step::Read,
        };
    }

    fn budget_read(&mut self, row: Option<Row>) {
        let budget = self.budgets.last().expect("a budget is left to settle");
        let account = self.seal.accounts.get(budget).copied().unwrap_or_default();
        if self.kind == Kind::Release {
            return self.release_row(row);
        }
        let next = row.and_then(|row| {
            let old = budget::Row::try_from(row.value).ok()?;
            let fence = &self.fence.as_ref().expect("the fence row was read").1;
            // A planned stop removed the share after all its bills were committed.
            if fence.stopping && !old.shares.contains_key(&self.inc) {
                return None;
            }
            let new = settle_row(&self.inc, &old, &self.seal, account)?;
            (new != old).then_some((row.version, new))
        });
        match next {
            Some((version, row)) => self.step = Step::Settle(version, row),
            None => {
                self.budgets.pop();
                self.next_budget();
            }
        }
    }

    fn release_row(&mut self, row: Option<Row>) {
        let row = row.and_then(|row| Some((row.version, budget::Row::try_from(row.value).ok()?)));
        let share = row.as_ref().and_then(|(_, row)| row.shares.get(&self.inc));
        let (Some((version, mut row)), Some(share)) = (row.clone(), share) else {
            self.budgets.pop();
            return self.next_budget();
        };
        let left = share.outstanding().unwrap_or(0);
        // Refused while another share's figures are behind; a later scan tries again.
        self.step = match row
            .release_orphaned(&self.inc, left)
            .and_then(|()| row.remove_share(&self.inc))
        {
            Ok(()) => Step::Settle(version, row),
            Err(_) => Step::Done { drop: false },
        };
    }

    fn settled(&mut self, outcome: &Outcome) {
        match outcome {
            Outcome::Applied(_) => {
                self.budgets.pop();
                self.next_budget();
            }
            Outcome::Conflict { key, .. } if *key == fence_key(&self.inc) => {
                self.step = Step::Fence;
            }
            Outcome::Conflict { .. } => self.step = Step::Read,
        }
    }
}

/// The budget row with the share sealed; `None` when there is nothing to settle.
fn settle_row(
    inc: &Incarnation,
    old: &budget::Row,
    seal: &bill::Seal,
    account: Account,
) -> Option<budget::Row> {
    let exact = seal.known && !seal.detached;
    let record = budget::SealRecord {
        issued: exact.then_some(account.issued),
        sent: account.sent,
        billed: account.billed,
    };
    let mut row = old.clone();
    // A share that exists on transfers only has no entry yet.
    if account != Account::default() {
        row.shares.entry(inc.clone()).or_default();
    }
    row.seal_share(inc, record).ok()?;
    Some(row)
}
