//! Invariants of the simulated fleet: some hold at every step, others once all faults have ended.

use std::{
    collections::BTreeMap,
    time::Duration, //
};

use cuminloom::{
    bill::{
        Bill,
        Ledger,
        Seal,
        decode_batch, //
    },
    budget,
    mirror::{
        Fence,
        fence_key,
        ledger_key, //
    },
    model::{
        BudgetId,
        Incarnation,
        Seq, //
    },
};

use super::World;

impl World {
    /// The fence row of an incarnation.
    pub(crate) fn fence(&self, inc: &str) -> Option<Fence> {
        let row = self.store.read(&fence_key(inc))?;
        Fence::from_value(&row.value)
    }

    /// All bills of an incarnation: regular and late batches of its ledger, and those in its seal.
    pub(crate) fn bills(&self, inc: &str) -> Vec<Bill> {
        let ledger = self.store.read(&ledger_key(inc));
        let ledger = ledger.map_or(Ledger::default(), |row| {
            Ledger::from_value(&row.value).unwrap()
        });
        let regular = (1..=ledger.batches).map(|n| format!("bills/{inc}/{n}"));
        let late = (1..=ledger.late).map(|n| format!("bills/{inc}/late-{n}"));
        let mut bills: Vec<Bill> = regular
            .chain(late)
            .flat_map(|name| decode_batch(self.store.get(&name).unwrap()).unwrap())
            .collect();
        bills.extend(self.seal(inc).into_iter().flat_map(|seal| seal.bills));
        bills
    }

    /// The seal object of an incarnation, if it was sealed by another daemon.
    pub(crate) fn seal(&self, inc: &str) -> Option<Seal> {
        let sealed = self.fence(inc)?.sealed?;
        Seal::decode(self.store.get(&sealed.object)?)
    }

    /// Ends all faults, runs `heal` steps in which lost daemons are sealed, then stops every daemon
    /// within `stop` steps and checks the final state.
    pub(crate) fn heal_and_stop(&mut self, heal: u64, stop: u64) {
        (self.message_loss, self.reply_loss) = (0, 0);
        self.script.clear();
        self.partitions.clear();
        self.outage_until = Duration::ZERO;
        for proc in &mut self.procs {
            proc.paused_until = Duration::ZERO;
            proc.restart_at = Duration::ZERO;
            proc.cut_off_until = Duration::ZERO;
        }
        for _ in 0..heal {
            self.step();
        }
        for proc in &mut self.procs {
            proc.node.as_mut().unwrap().begin_stop();
        }
        for _ in 0..stop {
            if self.procs.iter().any(|proc| !proc.stopped) {
                self.step();
            }
        }
        for proc in &self.procs {
            let stats = proc.node.as_ref().map(|node| node.stats());
            assert!(proc.stopped, "a planned stop did not end: {stats:?}");
        }
        self.check_end();
    }

    /// Checks at every step that no budget is overspent and no row has more drawn than was free.
    pub(super) fn check_step(&self) {
        for name in &self.budgets {
            let row = self.row(name);
            let spent = self.generated_tokens.get(name).copied().unwrap_or(0);
            assert!(spent <= row.limit, "overspend: {spent} of {}", row.limit);
            assert!(row.breakdown().free >= 0, "more drawn than free");
        }
    }

    /// All incarnations that have a fence row.
    pub(super) fn incarnations(&self) -> Vec<Incarnation> {
        let rows = self.store.list("fence/", "", usize::MAX);
        let key = |key: &str| key.strip_prefix("fence/").unwrap().into();
        rows.iter().map(|row| key(&row.key)).collect()
    }

    /// Checks the final state, when every daemon has stopped: all incarnations are settled, every
    /// request is billed once, and the rows agree with the bills.
    pub(super) fn check_end(&self) {
        let mut bills: BTreeMap<BudgetId, budget::BilledTokens> = BTreeMap::new();
        for inc in self.incarnations() {
            let fence = self.fence(&inc).unwrap();
            let sealed = fence.sealed.expect("every incarnation is sealed");
            assert!(sealed.settled, "the budget rows of {inc} are settled");
            let mut count: BTreeMap<Seq, Bill> = BTreeMap::new();
            for bill in self.bills(&inc) {
                let shares = bills.entry(bill.budget.clone()).or_default();
                *shares.entry(inc.clone()).or_default() += bill.tokens;
                let old = count.insert(bill.seq, bill);
                assert!(old.is_none(), "{inc} bills a request twice: {old:?}");
            }
            self.check_bills(&inc, &count);
        }
        for name in &self.budgets {
            let row = self.row(name);
            let empty = budget::BilledTokens::new();
            let audit = budget::audit(name, &row, bills.get(name).unwrap_or(&empty), &[]);
            assert!(audit.discrepancies.is_empty(), "{name}: {audit:?} {row:?}");
            self.check_orphans(name, &row);
        }
    }

    /// Checks that the bills (`count`) cover every request of an incarnation that reached a target.
    pub(super) fn check_bills(&self, inc: &Incarnation, count: &BTreeMap<Seq, Bill>) {
        // The last bills of a daemon that crashed while detached or without a witness are lost.
        let exact = match self.seal(inc) {
            Some(seal) => seal.known && !seal.detached,
            None => true,
        };
        let range = (inc.clone(), 0)..=(inc.clone(), Seq::MAX);
        for ((_, seq), reached) in self.reached.range(range) {
            let Some(bill) = count.get(seq) else {
                let crashed = self.crashed.contains(inc);
                assert!(crashed && !exact, "{inc}/{seq} is not billed: {reached:?}");
                continue;
            };
            assert_eq!(bill.budget, reached.budget);
            assert!(bill.tokens >= reached.tokens && bill.tokens <= reached.bound);
        }
    }

    /// Checks that the crash of an attached daemon orphaned no more tokens than it had issued.
    pub(super) fn check_orphans(&self, name: &BudgetId, row: &budget::Row) {
        for (inc, share) in &row.shares {
            let Some(issued) = self.issued_at_crash.get(&(inc.clone(), name.clone())) else {
                continue;
            };
            // A daemon that crashed while it attached again still counts as detached.
            if !self.seal(inc).is_some_and(|s| s.known && !s.detached) {
                continue;
            }
            let kept = share.billed + share.outstanding().unwrap();
            let seal = self.seal(inc).unwrap().accounts[name];
            assert!(
                kept <= *issued,
                "{inc} keeps {kept} of {issued} issued: {share:?} {seal:?}"
            );
        }
    }
}
