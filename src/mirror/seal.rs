//! Seal procedure of a lost incarnation, as a state machine without I/O.

use std::{
    collections::BTreeMap,
    sync::Arc,
    time::Duration, //
};

use super::{
    Fence,
    LogState,
    SealedBy,
    StoreReply,
    StoreRequest,
    fence_key,
    ledger_key,
    seal_step::{
        SealReason,
        SealStep, //
    },
    witness::WitnessRecord, //
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
        CommitOutcome,
        Precondition,
        Row,
        StoreError,
        Write, //
    },
};

/// Delay before a failed step is repeated.
const RETRY_DELAY: Duration = Duration::from_secs(1);
/// Largest number of rows per page when the budget rows are listed.
const MAX_PAGE_ROWS: usize = 64;

/// Seal procedure of one incarnation: writes its final account as the seal object, seals its fence
/// row, and settles its budget rows. Each step can be repeated.
#[derive(Debug)]
pub(crate) struct SealTask {
    /// Incarnation to seal.
    pub(crate) inc: Incarnation,
    /// Incarnation that runs the procedure.
    by: Incarnation,
    reason: SealReason,
    step: SealStep,
    /// Whether an operation has been sent and its reply is missing.
    pending: bool,
    retry_at: Duration,
    fence: Option<(Version, Fence)>,
    /// Ledger row, with the precondition that it has not changed.
    ledger: (Precondition, Ledger),
    /// State from the record, or from the bill batches if there is no record.
    state: LogState,
    /// Final account.
    seal: bill::Seal,
    /// Name of the seal object.
    object: Arc<str>,
    /// Budgets whose rows are not settled yet.
    budgets: Vec<BudgetId>,
}

impl SealTask {
    /// Seals `inc` from the record that its witness `by` keeps.
    pub(crate) fn new(inc: Incarnation, by: Incarnation) -> Self {
        Self {
            inc,
            by,
            reason: SealReason::Witness,
            step: SealStep::Fence,
            pending: false,
            retry_at: Duration::ZERO,
            fence: None,
            ledger: (Precondition::Absent, Ledger::default()),
            state: LogState::default(),
            seal: bill::Seal::default(),
            object: "".into(),
            budgets: Vec::new(),
        }
    }

    /// Seals `inc` without a record because its witness is lost too, or finishes a seal whose
    /// sealing daemon is lost.
    pub(crate) fn without_witness(inc: Incarnation, by: Incarnation) -> Self {
        Self {
            reason: SealReason::NoWitness,
            ..Self::new(inc, by)
        }
    }

    /// Returns the orphaned tokens of an incarnation that was attached when it was sealed and whose
    /// VM has been absent for longer than the list of VMs may lag.
    pub(crate) fn release_orphans(inc: Incarnation, by: Incarnation) -> Self {
        Self {
            reason: SealReason::ReleaseOrphans,
            ..Self::new(inc, by)
        }
    }

    /// Whether the procedure can be cancelled because nothing has been fixed yet.
    pub(crate) fn can_cancel(&self) -> bool {
        matches!(self.step, SealStep::Fence | SealStep::Ledger)
    }

    /// Returns whether the witness's records can be dropped, once the procedure has ended.
    pub(crate) fn ended(&self) -> Option<bool> {
        match self.step {
            SealStep::Done { drop } => Some(drop),
            _ => None,
        }
    }

    /// Returns the platform operation that is due.
    pub(crate) fn poll(&mut self, now: Duration) -> Option<StoreRequest> {
        if self.pending || now < self.retry_at {
            return None;
        }
        self.pending = true;
        Some(match &self.step {
            SealStep::Fence => StoreRequest::Read(fence_key(&self.inc)),
            SealStep::Ledger => StoreRequest::Read(ledger_key(&self.inc)),
            SealStep::Batch => {
                let batch = self.state.bills.last + 1;
                StoreRequest::Get(format!("bills/{}/{batch}", self.inc).into())
            }
            SealStep::Put => StoreRequest::Put(self.object.clone(), self.seal.encode()),
            SealStep::Commit => self.seal_commit(),
            SealStep::Resume => StoreRequest::Get(self.object.clone()),
            SealStep::List(after) => {
                StoreRequest::List("budget/".into(), after.clone(), MAX_PAGE_ROWS)
            }
            SealStep::Read => StoreRequest::Read(self.budget_key()),
            SealStep::Settle(version, row) => self.settle_commit(*version, row),
            SealStep::Mark => self.mark_commit(),
            SealStep::Done { .. } => return None,
        })
    }

    /// Key of the budget row that is settled next.
    fn budget_key(&self) -> Arc<str> {
        let budget = self.budgets.last().expect("a budget is left to settle");
        format!("budget/{budget}").into()
    }

    /// Seals the fence row, and checks that the ledger row has not changed.
    fn seal_commit(&self) -> StoreRequest {
        let (version, fence) = self.fence.as_ref().expect("the fence row was read");
        let mut fence = fence.clone();
        fence.sealed = Some(SealedBy {
            by: self.by.clone(),
            object: self.object.clone(),
            settled: false,
            attached: self.seal.known && !self.seal.detached,
            released: false,
        });
        StoreRequest::Commit(vec![
            Write {
                key: fence_key(&self.inc),
                precondition: Precondition::Version(*version),
                change: Change::Put(fence.to_value()),
            },
            Write {
                key: ledger_key(&self.inc),
                precondition: self.ledger.0,
                change: Change::Check,
            },
        ])
    }

    /// Commits a settled budget row. The check of the fence row stops this procedure if another
    /// daemon has finished the seal: once all rows are settled, a share may be removed from its
    /// row, and must not be inserted again.
    fn settle_commit(&self, version: Version, row: &budget::Row) -> StoreRequest {
        let (fence, _) = self.fence.as_ref().expect("the fence row was read");
        StoreRequest::Commit(vec![
            Write {
                key: self.budget_key(),
                precondition: Precondition::Version(version),
                change: Change::Put(row.into()),
            },
            Write {
                key: fence_key(&self.inc),
                precondition: Precondition::Version(*fence),
                change: Change::Check,
            },
        ])
    }

    /// Marks the seal as settled, or its orphaned tokens as released, in the fence row.
    fn mark_commit(&self) -> StoreRequest {
        let (version, fence) = self.fence.as_ref().expect("the fence row was read");
        let mut fence = fence.clone();
        let sealed = fence.sealed.as_mut().expect("the fence row is sealed");
        sealed.settled = true;
        sealed.released = self.reason == SealReason::ReleaseOrphans;
        StoreRequest::Commit(vec![Write {
            key: fence_key(&self.inc),
            precondition: Precondition::Version(*version),
            change: Change::Put(fence.to_value()),
        }])
    }

    /// Handles the reply to the operation; returns whether the operation sealed the fence row.
    pub(crate) fn handle_reply(
        &mut self,
        now: Duration,
        reply: StoreReply,
        records: Option<&mut BTreeMap<u64, WitnessRecord>>,
    ) -> bool {
        self.pending = false;
        match (&self.step, reply) {
            (
                SealStep::Commit | SealStep::Settle(..) | SealStep::Mark,
                StoreReply::Failed(StoreError::Unknown),
            ) => {
                self.retry_at = now + RETRY_DELAY;
                self.step = match self.step {
                    SealStep::Settle(..) => SealStep::Read,
                    _ => SealStep::Fence,
                };
            }
            (_, StoreReply::Failed(_)) => self.retry_at = now + RETRY_DELAY,
            (SealStep::Fence, StoreReply::Row(row)) => self.handle_fence(row, records.as_deref()),
            (SealStep::Ledger, StoreReply::Row(row)) => self.handle_ledger(row, records),
            (SealStep::Batch, StoreReply::Object(body)) => self.handle_batch(body),
            (SealStep::Put, StoreReply::Put(_)) => self.step = SealStep::Commit,
            (SealStep::Commit, StoreReply::Commit(outcome)) => {
                return self.handle_seal_commit(&outcome);
            }
            (SealStep::Resume, StoreReply::Object(body)) => self.handle_seal_object(body),
            (SealStep::List(_), StoreReply::Rows(rows)) => self.handle_page(&rows),
            (SealStep::Read, StoreReply::Row(row)) => self.handle_budget(row),
            (SealStep::Settle(..), StoreReply::Commit(outcome)) => {
                self.handle_settle_commit(&outcome)
            }
            (SealStep::Mark, StoreReply::Commit(CommitOutcome::Applied(_))) => {
                self.step = SealStep::Done { drop: true };
            }
            (SealStep::Mark, StoreReply::Commit(_)) => self.step = SealStep::Fence,
            (step, reply) => panic!("reply {reply:?} does not answer {step:?}"),
        }
        false
    }

    /// Decides from the fence row whether the incarnation still has to be sealed or settled.
    fn handle_fence(&mut self, row: Option<Row>, records: Option<&BTreeMap<u64, WitnessRecord>>) {
        let fence = row.and_then(|row| Some((row.version, Fence::from_value(&row.value)?)));
        // The incarnation never wrote its fence row, so it has no share.
        let Some((version, fence)) = fence else {
            self.step = SealStep::Done { drop: true };
            return;
        };
        if let Some(sealed) = &fence.sealed {
            let due = match self.reason {
                SealReason::Witness => !sealed.settled && sealed.by == self.by,
                SealReason::NoWitness => !sealed.settled,
                SealReason::ReleaseOrphans => sealed.settled && sealed.attached && !sealed.released,
            };
            self.object = sealed.object.clone();
            self.step = match due {
                true => SealStep::Resume,
                false => SealStep::Done { drop: true },
            };
        } else if self.reason != SealReason::Witness {
            self.step = SealStep::Ledger;
        } else {
            let newest = records.and_then(|r| r.last_key_value()).map_or(0, |r| *r.0);
            let watched = records.is_some_and(|r| r.contains_key(&fence.epoch));
            self.step = match watched {
                true => SealStep::Ledger,
                // Another daemon is the witness. A record of a newer epoch than the row's is kept,
                // because that epoch may still come into force.
                false => SealStep::Done {
                    drop: fence.epoch > newest,
                },
            };
        }
        self.fence = Some((version, fence));
    }

    /// Takes the ledger row and freezes the record.
    fn handle_ledger(
        &mut self,
        row: Option<Row>,
        records: Option<&mut BTreeMap<u64, WitnessRecord>>,
    ) {
        self.ledger = match &row {
            Some(row) => (
                Precondition::Version(row.version),
                Ledger::from_value(&row.value).expect("a ledger row holds two numbers"),
            ),
            None => (Precondition::Absent, Ledger::default()),
        };
        if self.reason != SealReason::Witness {
            // Without a record, all batches are read, so that the billed tokens are exact.
            self.state = LogState::default();
            return self.next_batch();
        }
        let epoch = self.fence.as_ref().expect("the fence row was read").1.epoch;
        let Some(record) = records.and_then(|records| records.get_mut(&epoch)) else {
            self.step = SealStep::Done { drop: false };
            return;
        };
        record.frozen = true;
        self.state = record.state.clone();
        self.next_batch();
    }

    /// Reads the next batch that the ledger counts and the state lacks, or builds the seal.
    fn next_batch(&mut self) {
        let state = &mut self.state.bills;
        state.commit_batch(state.last.min(self.ledger.1.batches));
        match state.last < self.ledger.1.batches {
            true => self.step = SealStep::Batch,
            false => self.build_seal(),
        }
    }

    /// Adds the bills of a batch that counts.
    fn handle_batch(&mut self, body: Option<Vec<u8>>) {
        let bills = body.and_then(|body| bill::decode_batch(&body));
        let bills = bills.expect("each batch that counts has an object");
        let state = &mut self.state.bills;
        state.apply_committed(state.last + 1, &bills);
        self.next_batch();
    }

    /// Builds the final account. The record is frozen, so the name of the seal object determines
    /// its content.
    fn build_seal(&mut self) {
        let batches = self.ledger.1.batches;
        let epoch = self.fence.as_ref().expect("the fence row was read").1.epoch;
        self.object = format!("bills/{}/seal-{batches}-{epoch}-{}", self.inc, self.by).into();
        let bills = self.state.bills.uncommitted();
        let mut billed = self.state.bills.billed.clone();
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
            known: self.reason == SealReason::Witness,
            detached: self.state.detached,
            accounts: accounts.map(|(b, i)| (b.clone(), account(&b, i))).collect(),
            bills,
        };
        self.step = SealStep::Put;
    }

    /// Handles the outcome of [`Self::seal_commit`]; returns whether the fence row was sealed.
    fn handle_seal_commit(&mut self, outcome: &CommitOutcome) -> bool {
        match outcome {
            CommitOutcome::Applied(versions) => {
                let (version, fence) = self.fence.as_mut().expect("the fence row was read");
                *version = versions[0];
                fence.sealed = Some(SealedBy {
                    by: self.by.clone(),
                    object: self.object.clone(),
                    settled: false,
                    attached: self.seal.known && !self.seal.detached,
                    released: false,
                });
                self.start_settling();
                true
            }
            CommitOutcome::Conflict { .. } => {
                self.step = SealStep::Fence;
                false
            }
        }
    }

    /// Takes the account of a seal that was committed before.
    fn handle_seal_object(&mut self, body: Option<Vec<u8>>) {
        let seal = body.and_then(|body| bill::Seal::decode(&body));
        self.seal = seal.expect("each committed seal has an object");
        self.start_settling();
    }

    /// Starts to settle the budget rows.
    fn start_settling(&mut self) {
        self.budgets.clear();
        if self.seal.known {
            self.budgets.extend(self.seal.accounts.keys().cloned());
            return self.next_budget();
        }
        self.step = SealStep::List("".into());
    }

    /// Collects the budgets with a share of the incarnation from one page of budget rows.
    fn handle_page(&mut self, rows: &[Row]) {
        // A share that only received transfers has no entry in its budget row yet.
        if matches!(&self.step, SealStep::List(after) if after.is_empty()) {
            self.budgets.extend(self.seal.accounts.keys().cloned());
        }
        for row in rows {
            let share = row.value["shares"].get(&*self.inc);
            if let (Some(budget), true) = (row.key.strip_prefix("budget/"), share.is_some()) {
                self.budgets.push(budget.into());
            }
        }
        match rows.last() {
            Some(row) if rows.len() == MAX_PAGE_ROWS => self.step = SealStep::List(row.key.clone()),
            _ => self.next_budget(),
        }
    }

    /// Reads the next budget row, or marks the end if none is left.
    fn next_budget(&mut self) {
        self.step = match self.budgets.is_empty() {
            true => SealStep::Mark,
            false => SealStep::Read,
        };
    }

    /// Settles one budget row, or skips it if there is nothing to settle.
    fn handle_budget(&mut self, row: Option<Row>) {
        let budget = self.budgets.last().expect("a budget is left to settle");
        let account = self.seal.accounts.get(budget).copied().unwrap_or_default();
        if self.reason == SealReason::ReleaseOrphans {
            return self.release_row(row);
        }
        let next = row.and_then(|row| {
            let old = budget::Row::try_from(row.value).ok()?;
            let fence = &self.fence.as_ref().expect("the fence row was read").1;
            // A planned stop has removed the share after all its bills were committed.
            if fence.stopping && !old.shares.contains_key(&self.inc) {
                return None;
            }
            let new = settle_row(&self.inc, &old, &self.seal, account)?;
            (new != old).then_some((row.version, new))
        });
        match next {
            Some((version, row)) => self.step = SealStep::Settle(version, row),
            None => {
                self.budgets.pop();
                self.next_budget();
            }
        }
    }

    /// Releases the orphaned tokens of the share in one budget row and removes the share.
    fn release_row(&mut self, row: Option<Row>) {
        let row = row.and_then(|row| Some((row.version, budget::Row::try_from(row.value).ok()?)));
        let share = row.as_ref().and_then(|(_, row)| row.shares.get(&self.inc));
        let (Some((version, mut row)), Some(share)) = (row.clone(), share) else {
            self.budgets.pop();
            return self.next_budget();
        };
        let left = share.outstanding().unwrap_or(0);
        // This fails while the row's data of another share are out of date; a later scan tries
        // again.
        self.step = match row
            .release_orphaned(&self.inc, left)
            .and_then(|()| row.remove_share(&self.inc))
        {
            Ok(()) => SealStep::Settle(version, row),
            Err(_) => SealStep::Done { drop: false },
        };
    }

    /// Handles the outcome of [`Self::settle_commit`].
    fn handle_settle_commit(&mut self, outcome: &CommitOutcome) {
        match outcome {
            CommitOutcome::Applied(_) => {
                self.budgets.pop();
                self.next_budget();
            }
            CommitOutcome::Conflict { key, .. } if *key == fence_key(&self.inc) => {
                self.step = SealStep::Fence;
            }
            CommitOutcome::Conflict { .. } => self.step = SealStep::Read,
        }
    }
}

/// Returns the budget row with the share of `inc` sealed, or `None` if there is nothing to settle.
fn settle_row(
    inc: &Incarnation,
    old: &budget::Row,
    seal: &bill::Seal,
    account: Account,
) -> Option<budget::Row> {
    let is_exact = seal.known && !seal.detached;
    let record = budget::SealRecord {
        issued: is_exact.then_some(account.issued),
        sent: account.sent,
        billed: account.billed,
    };
    let mut row = old.clone();
    // A share that only received transfers has no entry in its budget row yet.
    if account != Account::default() {
        row.shares.entry(inc.clone()).or_default();
    }
    row.seal_share(inc, record).ok()?;
    Some(row)
}
