//! Open requests, finished requests and their batches of one incarnation.

use std::{
    collections::{
        BTreeMap,
        BTreeSet, //
    },
    mem, //
};

use serde::{
    Deserialize,
    Serialize, //
};

use super::{
    Bill,
    OpenRequest, //
};
use crate::model::{
    BudgetId,
    Seq,
    Tokens,
    Verdict, //
};

/// Open requests and uncommitted bills of an incarnation. The incarnation and its witness apply the
/// same operations, so that both derive the same content for each batch number.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct BillState {
    /// Requests that have not finished.
    pub open: BTreeMap<Seq, OpenRequest>,
    /// Bills that are in no batch yet, in the order in which the requests finished.
    pub closed: Vec<Bill>,
    /// Batches that have been cut and are not known to be committed.
    pub cut: BTreeMap<u64, Vec<Bill>>,
    /// Number of the last batch that was cut.
    pub last: u64,
    /// Number of the last batch that is known to be committed.
    pub committed: u64,
    /// Billed tokens per budget over the committed batches.
    pub billed: BTreeMap<BudgetId, Tokens>,
}

impl BillState {
    pub(crate) fn open(&mut self, seq: Seq, open: OpenRequest) {
        let old = self.open.insert(seq, open);
        assert!(old.is_none(), "request {seq} is opened twice");
    }

    pub(crate) fn close(&mut self, seq: Seq, tokens: Tokens, verdict: Verdict) {
        let open = self.open.remove(&seq);
        let open = open.unwrap_or_else(|| panic!("request {seq} is closed but not open"));
        assert!(tokens <= open.bound, "request {seq} exceeds its bound");
        self.closed.push(open.bill(seq, tokens, verdict));
    }

    /// Makes the bills of the requests closed since the last cut batch `batch`.
    pub(crate) fn cut_batch(&mut self, batch: u64) {
        assert_eq!(batch, self.last + 1, "batch numbers are consecutive");
        self.last = batch;
        self.cut.insert(batch, mem::take(&mut self.closed));
    }

    /// Accounts for the committed batches up to `batch`.
    pub(crate) fn commit_batch(&mut self, batch: u64) {
        assert!(batch <= self.last, "batch {batch} was never cut");
        while self.committed < batch {
            self.committed += 1;
            let bills = self.cut.remove(&self.committed);
            add_billed(&mut self.billed, &bills.expect("a cut batch is kept"));
        }
    }

    /// Accounts for a committed batch that this book does not know as cut.
    pub(crate) fn apply_committed(&mut self, batch: u64, bills: &[Bill]) {
        assert_eq!(batch, self.last + 1, "batches are absorbed in order");
        let seqs: BTreeSet<Seq> = bills.iter().map(|bill| bill.seq).collect();
        self.open.retain(|seq, _| !seqs.contains(seq));
        self.closed.retain(|bill| !seqs.contains(&bill.seq));
        self.last = batch;
        self.cut.insert(batch, bills.to_vec());
        self.commit_batch(batch);
    }

    /// Bills after the committed batches, with the open requests charged at their bound.
    pub(crate) fn uncommitted(&self) -> Vec<Bill> {
        let open = self
            .open
            .iter()
            .map(|(seq, open)| open.bill(*seq, open.bound, Verdict::MayHaveRun));
        let cut = self.cut.values().flatten();
        cut.chain(&self.closed).cloned().chain(open).collect()
    }

    /// Requests and bills in memory.
    pub(crate) fn len(&self) -> usize {
        let cut: usize = self.cut.values().map(Vec::len).sum();
        self.open.len() + self.closed.len() + cut
    }
}

pub(crate) fn add_billed(billed: &mut BTreeMap<BudgetId, Tokens>, bills: &[Bill]) {
    for bill in bills {
        *billed.entry(bill.budget.clone()).or_default() += bill.tokens;
    }
}
