//! Checks at every step and at the end of a run.

use super::*;

impl World {
    /// Tokens that were spent or may be spent by open requests, counted without the share managers.
    pub(crate) fn consumed(&self, budget: &str) -> Tokens {
        let daemons = self.daemons.iter();
        daemons
            .map(|d| {
                let open = d.open.iter().filter(|o| *o.budget == *budget && !o.charged);
                let done = d.used_tokens.get(budget).copied().unwrap_or(0);
                done + open.map(|o| o.held.bound()).sum::<Tokens>()
            })
            .sum()
    }

    /// Checks that no budget is overspent, and that draws leave no budget below 0 free tokens.
    pub(super) fn check_invariants(&self) -> Result<(), String> {
        for budget in &self.budgets {
            let (row, figures) = (self.row(budget), self.row(budget).breakdown());
            let consumed = self.consumed(budget);
            let drawn = i128::from(row.limit) - figures.free;
            if i128::from(consumed) > drawn {
                return Err(format!(
                    "{budget}: {consumed} consumed of {drawn} at {}",
                    self.now
                ));
            }
            if figures.free < 0 && !self.lowered.contains(budget) {
                return Err(format!("{budget}: {figures:?} at {}", self.now));
            }
        }
        Ok(())
    }

    /// Ends all faults, stops all daemons, seals those that crashed, and checks that every token is
    /// accounted for.
    pub(crate) fn stop_and_account(&mut self) -> Result<(), String> {
        (self.outage, self.cut_dcs, self.fault_free) = (false, [false; 2], true);
        self.daemons.iter_mut().for_each(|d| d.witness_up = true);
        self.resume();
        for round in 0..400 {
            if round == 100 {
                (0..self.daemons.len()).for_each(|d| self.begin_stop(d));
            }
            self.step(100 + 900 * u64::from(round > 200))?;
        }
        let ids = self.budgets.clone();
        ids.iter()
            .try_for_each(|budget| self.check_accounts(budget))
    }

    /// Audits a budget, releases all orphaned tokens, and checks that the billed tokens are those
    /// consumed.
    pub(super) fn check_accounts(&mut self, budget: &BudgetId) -> Result<(), String> {
        let mut row = self.row(budget);
        let bills = self.bills.entry(budget.clone()).or_default();
        // An operator decides on shares of incarnations that failed during a planned stop.
        for d in self
            .daemons
            .iter()
            .filter(|d| d.stopping && d.no_record && !d.retired)
        {
            let billed = bills.get(&d.inc).copied().unwrap_or(0);
            let removed = bills
                .iter()
                .filter(|(inc, _)| !row.shares.contains_key(*inc));
            let missing = removed.map(|(_, n)| n).sum::<Tokens>();
            if !row.shares.contains_key(&d.inc) && missing >= row.settled + billed {
                let record = SealRecord {
                    billed,
                    ..SealRecord::default()
                };
                let _ = row.seal_or_add_share(&d.inc, record);
            }
        }
        let found = audit(budget, &row, bills, &[]).discrepancies;
        let lowered = |d: &Discrepancy| matches!(d, Discrepancy::Overdrawn { .. });
        if !found.iter().all(lowered) {
            return Err(format!("{budget}: {found:?} {row:?}"));
        }
        // No holder runs any more, which is the proof that a release needs.
        for (inc, share) in row.shares.clone() {
            let left = share.outstanding().unwrap_or(0);
            let unsent = Tokens::try_from(-row.in_transit()).unwrap_or(0).min(left);
            row.count_as_sent(&inc, unsent)
                .map_err(|err| format!("{budget}: {inc}: {err} {row:?}"))?;
            row.release_orphaned(&inc, left - unsent)
                .map_err(|err| format!("{budget}: {inc}: {err} {row:?}"))?;
        }
        let transit =
            Tokens::try_from(row.in_transit()).map_err(|_| format!("{budget}: {row:?}"))?;
        row.reclaim_transit(transit).expect("checked above");
        let (figures, consumed) = (row.breakdown(), i128::from(self.consumed(budget)));
        if figures.billed != consumed || figures.free != i128::from(row.limit) - consumed {
            return Err(format!("{budget}: {consumed} consumed, {figures:?}"));
        }
        Ok(())
    }
}
