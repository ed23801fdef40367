//! Replicated billing state of one incarnation: open requests, finished requests and batches.

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
/// same operations, so that both derive the same batch for each batch number.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct BillState {
    /// Requests that have not finished.
    pub open: BTreeMap<Seq, OpenRequest>,
    /// Bills that are not in a batch yet, in the order in which the requests finished.
    pub closed: Vec<Bill>,
    /// Batches that were cut and are not known to be committed, by batch number.
    pub cut: BTreeMap<u64, Vec<Bill>>,
    /// Number of the last batch that was cut.
    pub last: u64,
    /// Number of the last batch that is known to be committed.
    pub committed: u64,
    /// Billed tokens per budget in the committed batches.
    pub billed: BTreeMap<BudgetId, Tokens>,
}

impl BillState {
    /// Adds an admitted request.
    pub(crate) fn open(&mut self, seq: Seq, open: OpenRequest) {
        let old = self.open.insert(seq, open);
        assert!(old.is_none(), "request {seq} is opened twice");
    }

    /// Turns an open request that finished into a bill.
    pub(crate) fn close(&mut self, seq: Seq, tokens: Tokens, verdict: Verdict) {
        let open = self.open.remove(&seq);
        let open = open.unwrap_or_else(|| panic!("request {seq} is closed but not open"));
        assert!(tokens <= open.bound, "request {seq} exceeds its bound");
        self.closed.push(open.bill(seq, tokens, verdict));
    }

    /// Cuts a batch: the bills since the last batch become batch number `batch`.
    pub(crate) fn cut_batch(&mut self, batch: u64) {
        assert_eq!(batch, self.last + 1, "batch numbers are consecutive");
        self.last = batch;
        self.cut.insert(batch, mem::take(&mut self.closed));
    }

    /// Marks the batches up to `batch` as committed and adds them to the billed tokens.
    pub(crate) fn commit_batch(&mut self, batch: u64) {
        assert!(batch <= self.last, "batch {batch} was never cut");
        while self.committed < batch {
            self.committed += 1;
            let bills = self.cut.remove(&self.committed);
            add_billed(&mut self.billed, &bills.expect("a cut batch is kept"));
        }
    }

    /// Applies a committed batch that this state has not cut: its requests are closed and billed.
    pub(crate) fn apply_committed(&mut self, batch: u64, bills: &[Bill]) {
        assert_eq!(batch, self.last + 1, "batches are applied in order");
        let seqs: BTreeSet<Seq> = bills.iter().map(|bill| bill.seq).collect();
        self.open.retain(|seq, _| !seqs.contains(seq));
        self.closed.retain(|bill| !seqs.contains(&bill.seq));
        self.last = batch;
        self.cut.insert(batch, bills.to_vec());
        self.commit_batch(batch);
    }

    /// Returns the bills that are not committed, with open requests charged at their maximum.
    pub(crate) fn uncommitted(&self) -> Vec<Bill> {
        let open = self
            .open
            .iter()
            .map(|(seq, open)| open.bill(*seq, open.bound, Verdict::MayHaveRun));
        let cut = self.cut.values().flatten();
        cut.chain(&self.closed).cloned().chain(open).collect()
    }

    /// Number of open requests and uncommitted bills.
    pub(crate) fn len(&self) -> usize {
        let cut: usize = self.cut.values().map(Vec::len).sum();
        self.open.len() + self.closed.len() + cut
    }
}

/// Adds the tokens of bills to the billed tokens per budget.
pub(crate) fn add_billed(billed: &mut BTreeMap<BudgetId, Tokens>, bills: &[Bill]) {
    for bill in bills {
        *billed.entry(bill.budget.clone()).or_default() += bill.tokens;
    }
}
