//! State machine that writes batch objects and commits them in the ledger row.

use std::{
    collections::{
        BTreeMap,
        BTreeSet, //
    },
    mem,
    sync::Arc,
    time::Duration, //
};

use super::{
    Bill,
    BillState,
    Ledger,
    Seal,
    encode_batch,
    state::add_billed, //
};
use crate::{
    budget,
    mirror::{
        StoreReply,
        StoreRequest,
        fence_key,
        ledger_key, //
    },
    model::{
        BudgetId,
        Incarnation,
        Seq,
        Tokens,
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

/// Interval between batches.
pub(crate) const BATCH_INTERVAL: Duration = Duration::from_secs(2);
/// Interval between batches in a fleet of more than [`LARGE_FLEET`] daemons.
const LARGE_FLEET_INTERVAL: Duration = Duration::from_secs(4);
/// Fleet size in daemons above which batches are written half as often, to stay within the write
/// limits of the platform.
const LARGE_FLEET: usize = 170;
/// Number of bills from which a batch is cut even if the previous one is not committed.
const MAX_BATCH_BILLS: usize = 4_096;
/// Delay before a failed operation is repeated.
const RETRY_DELAY: Duration = Duration::from_millis(500);

/// What the owner of the writer must do next.
#[derive(Debug, PartialEq)]
pub(crate) enum WriterStep {
    /// Cut the batch with this number now.
    Cut(u64),
    /// Record that all batches up to this one are committed.
    Committed(u64),
    /// Apply the fence row that a conflicting commit returned.
    Fence(Option<Row>),
}

/// Store operation that is due or under way for the batch with this number.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Phase {
    /// No batch is being written.
    Idle,
    /// Write the batch object.
    Put(u64),
    /// Read the budget row for a late batch.
    ReadBudget(u64),
    /// Commit the batch in the ledger row.
    Commit(u64),
}

/// Bills of a sealed incarnation that are not in its seal object.
#[derive(Debug)]
struct LateBills {
    /// Number of regular batches that count.
    batches: u64,
    /// Whether the sealer has settled the budget rows, so that late bills can be added to them.
    settled: bool,
    /// Requests that are billed in the seal object.
    sealed: BTreeSet<Seq>,
    /// Bills that are not in a late batch yet.
    bills: Vec<Bill>,
    /// Late batch that is being written; all its bills charge the same budget.
    batch: Vec<Bill>,
    /// Budget row with the bills of the batch, to be written in the commit that makes the batch
    /// count. With separate commits, a crash in between would leave the bills out of the row
    /// permanently.
    row: Option<(Version, budget::Row)>,
    /// Billed tokens per budget over all bills that count.
    billed: BTreeMap<BudgetId, Tokens>,
}

/// Writes the batches of one incarnation, and its late batches after the seal. A batch counts as
/// soon as the ledger row includes it.
#[derive(Debug)]
pub(crate) struct BillWriter {
    inc: Incarnation,
    /// Expected state of the ledger row.
    expect: Precondition,
    /// Ledger row as last committed.
    ledger: Ledger,
    phase: Phase,
    /// Whether an operation is under way.
    pending: bool,
    /// Time before which no operation is started.
    retry_at: Duration,
    /// Time at which the next batch is due.
    cut_at: Duration,
    /// State after the seal object was read.
    late: Option<LateBills>,
}

impl BillWriter {
    /// Returns the writer of a new incarnation.
    pub(crate) fn new(now: Duration, inc: Incarnation) -> Self {
        Self {
            inc,
            expect: Precondition::Absent,
            ledger: Ledger::default(),
            phase: Phase::Idle,
            pending: false,
            retry_at: now,
            cut_at: now + BATCH_INTERVAL,
            late: None,
        }
    }

    /// Returns the batch to cut if one is due. `daemons` is the fleet size.
    pub(crate) fn due_batch(
        &mut self,
        now: Duration,
        state: &BillState,
        daemons: usize,
    ) -> Option<WriterStep> {
        let due = now >= self.cut_at && state.cut.is_empty() && !state.closed.is_empty();
        if self.late.is_some() || !(due || state.closed.len() >= MAX_BATCH_BILLS) {
            return None;
        }
        self.cut_at = now
            + match daemons > LARGE_FLEET {
                true => LARGE_FLEET_INTERVAL,
                false => BATCH_INTERVAL,
            };
        Some(WriterStep::Cut(state.last + 1))
    }

    /// Returns the store operation that is due. `fence` is the version of the unsealed fence row.
    pub(crate) fn poll(
        &mut self,
        now: Duration,
        state: &BillState,
        fence: Option<Version>,
    ) -> Option<StoreRequest> {
        if self.pending || now < self.retry_at {
            return None;
        }
        if self.phase == Phase::Idle {
            self.phase = self.next_phase(now, state)?;
        }
        let request = match self.phase {
            Phase::Put(n) => StoreRequest::Put(
                self.object_name(n),
                encode_batch(self.batch_bills(state, n)),
            ),
            Phase::ReadBudget(_) => StoreRequest::Read(self.late.as_ref()?.budget_key()),
            Phase::Commit(n) => self.commit_request(n, fence)?,
            Phase::Idle => return None,
        };
        self.pending = true;
        Some(request)
    }

    /// Selects the next batch to write.
    fn next_phase(&mut self, now: Duration, state: &BillState) -> Option<Phase> {
        let Some(late) = &mut self.late else {
            let batch = state.committed + 1;
            return state.cut.contains_key(&batch).then_some(Phase::Put(batch));
        };
        if late.batch.is_empty() {
            if late.bills.is_empty() || now < self.cut_at || !late.settled {
                return None;
            }
            self.cut_at = now + BATCH_INTERVAL;
            let budget = late.bills[0].budget.clone();
            let (batch, rest) = mem::take(&mut late.bills)
                .into_iter()
                .partition(|bill| bill.budget == budget);
            (late.batch, late.bills) = (batch, rest);
        }
        Some(Phase::Put(self.ledger.late + 1))
    }

    /// Name of the object of batch `n`.
    fn object_name(&self, n: u64) -> Arc<str> {
        let late = if self.late.is_some() { "late-" } else { "" };
        format!("bills/{}/{late}{n}", self.inc).into()
    }

    /// Bills of batch `n`.
    fn batch_bills<'a>(&'a self, state: &'a BillState, n: u64) -> &'a [Bill] {
        match &self.late {
            Some(late) => &late.batch,
            None => &state.cut[&n],
        }
    }

    /// Returns the commit that makes batch `n` count. Only a regular batch requires an unsealed
    /// fence row, because after the seal no other daemon writes the ledger row.
    fn commit_request(&self, n: u64, fence: Option<Version>) -> Option<StoreRequest> {
        let ledger = match &self.late {
            Some(late) => Ledger {
                batches: late.batches,
                late: n,
            },
            None => Ledger {
                batches: n,
                late: 0,
            },
        };
        let mut writes = vec![Write {
            key: ledger_key(&self.inc),
            precondition: self.expect,
            change: Change::Put(ledger.to_value()),
        }];
        let other = match &self.late {
            None => Some(Write {
                key: fence_key(&self.inc),
                precondition: Precondition::Version(fence?),
                change: Change::Check,
            }),
            Some(late) => late.row.as_ref().map(|(version, row)| Write {
                key: late.budget_key(),
                precondition: Precondition::Version(*version),
                change: Change::Put(row.into()),
            }),
        };
        writes.extend(other);
        Some(StoreRequest::Commit(writes))
    }

    /// Handles the reply to the operation under way.
    pub(crate) fn handle_reply(&mut self, now: Duration, reply: StoreReply) -> Option<WriterStep> {
        self.pending = false;
        match (self.phase, reply) {
            (_, StoreReply::Failed(StoreError::Unavailable | StoreError::Unknown)) => {
                self.retry_at = now + RETRY_DELAY;
                None
            }
            // An object that already exists has this content: an earlier reply was lost.
            (Phase::Put(n), StoreReply::Put(_)) => {
                self.phase = match self.late {
                    Some(_) => Phase::ReadBudget(n),
                    None => Phase::Commit(n),
                };
                None
            }
            (Phase::ReadBudget(n), StoreReply::Row(row)) => {
                let late = self
                    .late
                    .as_mut()
                    .expect("only late batches read the budget row");
                late.row = row.and_then(|row| late.bill_row(&self.inc, row));
                self.phase = Phase::Commit(n);
                None
            }
            (Phase::Commit(n), StoreReply::Commit(CommitOutcome::Applied(versions))) => {
                self.record_commit(n, versions[0])
            }
            (Phase::Commit(n), StoreReply::Commit(CommitOutcome::Conflict { key, row })) => {
                self.handle_conflict(now, n, &key, row)
            }
            // The reply belongs to an operation that the seal cancelled.
            _ => None,
        }
    }

    /// Records that batch `n` counts. `version` is that of the ledger row.
    fn record_commit(&mut self, n: u64, version: Version) -> Option<WriterStep> {
        self.expect = Precondition::Version(version);
        self.phase = Phase::Idle;
        let Some(late) = &mut self.late else {
            self.ledger.batches = n;
            return Some(WriterStep::Committed(n));
        };
        self.ledger.late = n;
        add_billed(&mut late.billed, &late.batch);
        late.batch.clear();
        late.row = None;
        None
    }

    /// Handles a commit that failed because of a changed row.
    fn handle_conflict(
        &mut self,
        now: Duration,
        n: u64,
        key: &str,
        row: Option<Row>,
    ) -> Option<WriterStep> {
        if key == &*fence_key(&self.inc) {
            self.retry_at = now + RETRY_DELAY;
            return Some(WriterStep::Fence(row));
        }
        if key != &*ledger_key(&self.inc) {
            self.phase = Phase::ReadBudget(n);
            return None;
        }
        let row = row.expect("the ledger row is never deleted");
        let ledger = Ledger::from_value(&row.value).expect("a ledger row holds two numbers");
        self.expect = Precondition::Version(row.version);
        let done = match &self.late {
            Some(_) => ledger.late >= n,
            None => ledger.batches >= n,
        };
        match done {
            true => self.record_commit(n, row.version),
            false => None,
        }
    }

    /// Whether an operation is under way.
    pub(crate) fn is_pending(&self) -> bool {
        self.pending
    }

    /// Switches to late batches after the seal object was read. `state` must include the committed
    /// batches that the seal counts.
    pub(crate) fn start_late(&mut self, now: Duration, state: &BillState, seal: &Seal) {
        assert!(!self.pending, "an operation is under way");
        assert_eq!(
            state.committed, seal.batches,
            "the committed batches differ from the seal"
        );
        let sealed: BTreeSet<Seq> = seal.bills.iter().map(|bill| bill.seq).collect();
        let mut billed = state.billed.clone();
        add_billed(&mut billed, &seal.bills);
        self.phase = Phase::Idle;
        self.cut_at = now;
        self.retry_at = now;
        self.ledger.batches = seal.batches;
        let mut late = LateBills {
            batches: seal.batches,
            settled: false,
            sealed,
            bills: Vec::new(),
            batch: Vec::new(),
            row: None,
            billed,
        };
        let done = state.cut.values().flatten().chain(&state.closed);
        done.for_each(|bill| late.push(bill.clone()));
        self.late = Some(late);
    }

    /// Adds the bill of a request that finished after the seal object was read, unless it is billed
    /// there.
    pub(crate) fn push(&mut self, bill: Bill) {
        self.late
            .as_mut()
            .expect("the incarnation is sealed")
            .push(bill);
    }

    /// Records that the sealer has settled the budget rows, so that late bills can be added to
    /// them.
    pub(crate) fn set_settled(&mut self) {
        self.late
            .as_mut()
            .expect("the seal object was read")
            .settled = true;
    }

    /// Whether the request is billed in the seal object.
    pub(crate) fn in_seal(&self, seq: Seq) -> bool {
        self.late
            .as_ref()
            .is_some_and(|late| late.sealed.contains(&seq))
    }

    /// Whether the seal object was read.
    pub(crate) fn has_seal(&self) -> bool {
        self.late.is_some()
    }

    /// Whether all late bills are written.
    pub(crate) fn is_flushed(&self) -> bool {
        self.late
            .as_ref()
            .is_some_and(|late| late.bills.is_empty() && late.batch.is_empty())
    }
}

impl LateBills {
    /// Adds a bill unless it is in the seal object.
    fn push(&mut self, bill: Bill) {
        if !self.sealed.contains(&bill.seq) {
            self.bills.push(bill);
        }
    }

    /// Key of the budget row of the batch.
    fn budget_key(&self) -> Arc<str> {
        format!("budget/{}", self.batch[0].budget).into()
    }

    /// Returns the budget row with the bills of the batch added. Bills that exceed the share in the
    /// row were paid from transfers that the incarnation received and could not write before the
    /// seal.
    fn bill_row(&self, inc: &Incarnation, row: Row) -> Option<(Version, budget::Row)> {
        let version = row.version;
        let mut row = budget::Row::try_from(row.value).ok()?;
        let mut billed = self.billed.clone();
        add_billed(&mut billed, &self.batch);
        let total = billed[&self.batch[0].budget];
        let share = row.shares.entry(inc.clone()).or_insert(budget::Share {
            sealed: true,
            ..budget::Share::default()
        });
        let left = share.outstanding().expect("a decoded row is consistent");
        share.received += total.saturating_sub(share.billed + left);
        row.bill_late(inc, total)
            .expect("the share is sealed and has the tokens");
        Some((version, row))
    }
}
