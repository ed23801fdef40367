//! Writes bill objects and commits them to the ledger row.

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
    encode_batch, //
    state::add_billed,
};
use crate::{
    budget,
    mirror::{
        Reply,
        Request,
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
        Expect,
        Outcome,
        Row,
        StoreFault,
        Write, //
    },
};

/// Time between batches.
pub(crate) const INTERVAL: Duration = Duration::from_secs(2);
/// Time between batches in a fleet of more than [`LARGE`] daemons.
const SLOW_INTERVAL: Duration = Duration::from_secs(4);
/// Fleet size above which batches are written half as often, to stay within the platform's writes.
const LARGE: usize = 170;
/// Bills after which a batch is cut although the one before it is not committed.
const FULL: usize = 4_096;
/// Pause before a failed operation is repeated.
const RETRY: Duration = Duration::from_millis(500);

/// Result of a step of the writer.
#[derive(Debug, PartialEq)]
pub(crate) enum WriterStep {
    /// Cut this batch now.
    Cut(u64),
    /// The ledger counts all batches up to this one.
    Committed(u64),
    /// A conflict showed the fence row.
    Fence(Option<Row>),
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Phase {
    Idle,
    Put(u64),
    /// Reads the budget row of a late batch.
    Row(u64),
    Commit(u64),
}

/// Bills of a sealed incarnation.
#[derive(Debug)]
struct Late {
    /// Batches that count.
    batches: u64,
    /// Whether the sealer has settled the budget rows.
    settled: bool,
    /// Requests that the seal object names.
    sealed: BTreeSet<Seq>,
    /// Finished requests that are in no late batch yet.
    bills: Vec<Bill>,
    /// Content of the late batch that is being written; all its bills are of one budget.
    batch: Vec<Bill>,
    /// Budget row with the bills of the batch, to be written in the commit that makes it count. A
    /// daemon that dies in between would leave them out of the row for ever.
    row: Option<(Version, budget::Row)>,
    /// Billed tokens per budget over everything that counts.
    billed: BTreeMap<BudgetId, Tokens>,
}

/// Writes the batches of one incarnation, and its late batches after the seal. A batch counts once
/// the ledger row says so.
#[derive(Debug)]
pub(crate) struct BillWriter {
    inc: Incarnation,
    expect: Expect,
    ledger: Ledger,
    phase: Phase,
    pending: bool,
    retry_at: Duration,
    cut_at: Duration,
    late: Option<Late>,
}

impl BillWriter {
    pub(crate) fn new(now: Duration, inc: Incarnation) -> Self {
        Self {
            inc,
            expect: Expect::Absent,
            ledger: Ledger::default(),
            phase: Phase::Idle,
            pending: false,
            retry_at: now,
            cut_at: now + INTERVAL,
            late: None,
        }
    }

    /// Returns the batch to cut if one is due in a fleet of `daemons`.
    pub(crate) fn due_batch(
        &mut self,
        now: Duration,
        book: &BillState,
        daemons: usize,
    ) -> Option<WriterStep> {
        let due = now >= self.cut_at && book.cut.is_empty() && !book.closed.is_empty();
        if self.late.is_some() || !(due || book.closed.len() >= FULL) {
            return None;
        }
        self.cut_at = now
            + match daemons > LARGE {
                true => SLOW_INTERVAL,
                false => INTERVAL,
            };
        Some(WriterStep::Cut(book.last + 1))
    }

    /// The platform operation that is due. `fence` is the version of the unsealed fence row.
    pub(crate) fn poll(
        &mut self,
        now: Duration,
        book: &BillState,
        fence: Option<Version>,
    ) -> Option<Request> {
        if self.pending || now < self.retry_at {
            return None;
        }
        if self.phase == Phase::Idle {
            self.phase = self.next(now, book)?;
        }
        let request = match self.phase {
            Phase::Put(n) => Request::Put(self.object(n), encode_batch(self.content(book, n))),
            Phase::Row(_) => Request::Read(self.late.as_ref()?.key()),
            Phase::Commit(n) => self.commit(n, fence)?,
            Phase::Idle => return None,
        };
        self.pending = true;
        Some(request)
    }

    fn next(&mut self, now: Duration, book: &BillState) -> Option<Phase> {
        let Some(late) = &mut self.late else {
            let batch = book.committed + 1;
            return book.cut.contains_key(&batch).then_some(Phase::Put(batch));
        };
        if late.batch.is_empty() {
            if late.bills.is_empty() || now < self.cut_at || !late.settled {
                return None;
            }
            self.cut_at = now + INTERVAL;
            let budget = late.bills[0].budget.clone();
            let (batch, rest) = mem::take(&mut late.bills)
                .into_iter()
                .partition(|bill| bill.budget == budget);
            (late.batch, late.bills) = (batch, rest);
        }
        Some(Phase::Put(self.ledger.late + 1))
    }

    fn object(&self, n: u64) -> Arc<str> {
        let late = if self.late.is_some() { "late-" } else { "" };
        format!("bills/{}/{late}{n}", self.inc).into()
    }

    fn content<'a>(&'a self, book: &'a BillState, n: u64) -> &'a [Bill] {
        match &self.late {
            Some(late) => &late.batch,
            None => &book.cut[&n],
        }
    }

    /// Only a regular batch needs an unsealed fence row: after the seal nobody else writes the
    /// ledger row.
    fn commit(&self, n: u64, fence: Option<Version>) -> Option<Request> {
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
            expect: self.expect,
            change: Change::Put(ledger.to_value()),
        }];
        let other = match &self.late {
            None => Some(Write {
                key: fence_key(&self.inc),
                expect: Expect::Version(fence?),
                change: Change::Check,
            }),
            Some(late) => late.row.as_ref().map(|(version, row)| Write {
                key: late.key(),
                expect: Expect::Version(*version),
                change: Change::Put(row.into()),
            }),
        };
        writes.extend(other);
        Some(Request::Commit(writes))
    }

    /// Takes the answer to the operation.
    pub(crate) fn handle_reply(&mut self, now: Duration, reply: Reply) -> Option<WriterStep> {
        self.pending = false;
        match (self.phase, reply) {
            (_, Reply::Failed(StoreFault::Unavailable | StoreFault::Unknown)) => {
                self.retry_at = now + RETRY;
                None
            }
            // An object that exists has this content: it was written before the answer was lost.
            (Phase::Put(n), Reply::Put(_)) => {
                self.phase = match self.late {
                    Some(_) => Phase::Row(n),
                    None => Phase::Commit(n),
                };
                None
            }
            (Phase::Row(n), Reply::Row(row)) => {
                let late = self.late.as_mut().expect("only late batches read the row");
                late.row = row.and_then(|row| late.bill(&self.inc, row));
                self.phase = Phase::Commit(n);
                None
            }
            (Phase::Commit(n), Reply::Commit(Outcome::Applied(versions))) => {
                self.counted(n, versions[0])
            }
            (Phase::Commit(n), Reply::Commit(Outcome::Conflict { key, row })) => {
                self.conflicted(now, n, &key, row)
            }
            // The answer belongs to an operation that the seal made void.
            _ => None,
        }
    }

    fn counted(&mut self, n: u64, version: Version) -> Option<WriterStep> {
        self.expect = Expect::Version(version);
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

    fn conflicted(
        &mut self,
        now: Duration,
        n: u64,
        key: &str,
        row: Option<Row>,
    ) -> Option<WriterStep> {
        if key == &*fence_key(&self.inc) {
            self.retry_at = now + RETRY;
            return Some(WriterStep::Fence(row));
        }
        if key != &*ledger_key(&self.inc) {
            self.phase = Phase::Row(n);
            return None;
        }
        let row = row.expect("the ledger row is never deleted");
        let ledger = Ledger::from_value(&row.value).expect("a ledger row holds two numbers");
        self.expect = Expect::Version(row.version);
        let done = match &self.late {
            Some(_) => ledger.late >= n,
            None => ledger.batches >= n,
        };
        match done {
            true => self.counted(n, row.version),
            false => None,
        }
    }

    /// Whether an operation is under way.
    pub(crate) fn is_pending(&self) -> bool {
        self.pending
    }

    /// Changes to late batches after the seal object was read. `book` must have accounted for the
    /// batches that count.
    pub(crate) fn start_late(&mut self, now: Duration, book: &BillState, seal: &Seal) {
        assert!(!self.pending, "an operation is under way");
        assert_eq!(book.committed, seal.batches, "the ledger row counts");
        let sealed: BTreeSet<Seq> = seal.bills.iter().map(|bill| bill.seq).collect();
        let mut billed = book.billed.clone();
        add_billed(&mut billed, &seal.bills);
        self.phase = Phase::Idle;
        self.cut_at = now;
        self.retry_at = now;
        self.ledger.batches = seal.batches;
        let mut late = Late {
            batches: seal.batches,
            settled: false,
            sealed,
            bills: Vec::new(),
            batch: Vec::new(),
            row: None,
            billed,
        };
        let done = book.cut.values().flatten().chain(&book.closed);
        done.for_each(|bill| late.push(bill.clone()));
        self.late = Some(late);
    }

    /// Adds the bill of a request that finished after the seal object was read.
    pub(crate) fn push(&mut self, bill: Bill) {
        self.late
            .as_mut()
            .expect("the incarnation is sealed")
            .push(bill);
    }

    /// The sealer has settled the budget rows, so late bills can be added to them.
    pub(crate) fn set_settled(&mut self) {
        self.late
            .as_mut()
            .expect("the seal object was read")
            .settled = true;
    }

    /// Whether the seal object names the request.
    pub(crate) fn in_seal(&self, seq: Seq) -> bool {
        self.late
            .as_ref()
            .is_some_and(|late| late.sealed.contains(&seq))
    }

    /// Whether the seal object was read.
    pub(crate) fn is_late(&self) -> bool {
        self.late.is_some()
    }

    /// Whether no late bill is left to write.
    pub(crate) fn is_flushed(&self) -> bool {
        self.late
            .as_ref()
            .is_some_and(|late| late.bills.is_empty() && late.batch.is_empty())
    }
}

impl Late {
    fn push(&mut self, bill: Bill) {
        if !self.sealed.contains(&bill.seq) {
            self.bills.push(bill);
        }
    }

    fn key(&self) -> Arc<str> {
        format!("budget/{}", self.batch[0].budget).into()
    }

    /// The budget row with the bills of the batch. Bills beyond what the row shows were paid by
    /// transfers that the incarnation received and could not write before the seal.
    fn bill(&self, inc: &Incarnation, row: Row) -> Option<(Version, budget::Row)> {
        let version = row.version;
        let mut row = budget::Row::try_from(row.value).ok()?;
        let mut billed = self.billed.clone();
        add_billed(&mut billed, &self.batch);
        let total = billed[&self.batch[0].budget];
        let share = row.shares.entry(inc.clone()).or_insert(budget::Share {
            sealed: true,
            ..budget::Share::default()
        });
        let left = share.outstanding().expect("rows that are read are sound");
        share.received += total.saturating_sub(share.billed + left);
        row.bill_late(inc, total)
            .expect("the share is sealed and has the tokens");
        Some((version, row))
    }
}
