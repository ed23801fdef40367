//! Plans writes of the rows and applies their outcomes.

use std::{
    collections::BTreeMap,
    time::Instant, //
};

use super::{
    super::{
        Batch,
        CommitOutcome,
        CustomerRow,
        DaemonRow,
        Grant,
        Precondition,
        UncertainGrant, //
    },
    Ledger,
};
use crate::decide::Fingerprint;

/// Which rows a write contains.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WriteScope {
    /// Only the daemon's own row, which no other daemon writes, so that it can't conflict: what the
    /// daemon has consumed, and that it still runs.
    OwnRow,
    /// Also the rows of up to this number of customers whose committed tokens should change; those for
    /// whom requests wait come first. With fewer rows, a write conflicts less often.
    Customers(usize),
}

/// A planned write of the daemon's row, to be passed back with its outcome.
#[derive(Clone, Debug)]
pub struct WritePlan {
    /// Rows to write.
    pub batch: Batch,
    number: u64,
    grants: BTreeMap<String, Grant>,
    /// Time at which the write was planned.
    sent: Instant,
}

impl Ledger {
    /// Plans the next write; `None` if the rows have not been read yet or another process has
    /// replaced the own row.
    pub fn plan_write(
        &mut self,
        now: Instant,
        strikes: Vec<(Fingerprint, u32)>,
    ) -> Option<WritePlan> {
        self.plan_scoped(now, strikes, WriteScope::Customers(usize::MAX))
    }

    /// Plans the next write with the rows of `scope`, as [`Ledger::plan_write`] does.
    pub fn plan_scoped(
        &mut self,
        now: Instant,
        strikes: Vec<(Fingerprint, u32)>,
        scope: WriteScope,
    ) -> Option<WritePlan> {
        if self.fenced || !self.rows_read {
            return None;
        }
        if !self.owned {
            return self.plan_first(now, strikes);
        }
        let mut batch = Batch {
            preconditions: vec![Precondition::Daemon(self.node.clone(), self.version)],
            ..Batch::default()
        };
        let mut left = match scope {
            WriteScope::OwnRow => 0,
            WriteScope::Customers(most) => most,
        };
        let mut grants = BTreeMap::new();
        for name in self.account_names() {
            let old = self
                .accounts
                .get(&name)
                .map(|a| a.confirmed)
                .unwrap_or_default();
            let mut new = self.next_grant(&name, now);
            if new.cap != old.cap && left == 0 {
                new.keep_cap(old.cap);
            }
            if new.cap != old.cap {
                left -= 1;
                let (version, sum) = self.customer_rows.get(&name).copied().unwrap_or_default();
                let committed = (sum.committed + new.cap).saturating_sub(old.cap);
                batch
                    .preconditions
                    .push(Precondition::Customer(name.clone(), version));
                batch
                    .customers
                    .push((name.clone(), CustomerRow { committed }));
            }
            grants.insert(name, new);
        }
        Some(self.finish_plan(batch, grants, strikes, now))
    }

    /// Names of all customers with a limit or an account: first those for whom requests wait, then by
    /// name.
    fn account_names(&self) -> Vec<String> {
        let mut names: Vec<String> = self.limits.keys().cloned().collect();
        names.extend(self.accounts.keys().cloned());
        names.sort();
        names.dedup();
        names.sort_by_key(|name| {
            let waiting = self.accounts.get(name).map_or(0, |a| a.waiting_tokens);
            std::cmp::Reverse(waiting)
        });
        names
    }

    /// Plans the write that replaces the row of the previous process.
    fn plan_first(&mut self, now: Instant, strikes: Vec<(Fingerprint, u32)>) -> Option<WritePlan> {
        let row = self.inherited.clone()?;
        let batch = Batch {
            preconditions: vec![Precondition::Daemon(self.node.clone(), self.version)],
            ..Batch::default()
        };
        Some(self.finish_plan(batch, row.grants, strikes, now))
    }

    /// Adds this daemon's row with `grants` and `strikes` to `batch`, and returns the plan of the
    /// write. The grants count as uncertain from then on, until the outcome of the write is known.
    /// `strikes` are the strike counts by request fingerprint; `sent` is the time of planning.
    fn finish_plan(
        &mut self,
        mut batch: Batch,
        grants: BTreeMap<String, Grant>,
        strikes: Vec<(Fingerprint, u32)>,
        sent: Instant,
    ) -> WritePlan {
        self.number += 1;
        batch.daemon = Some((
            self.node.clone(),
            DaemonRow {
                process: self.process,
                number: self.number,
                seen: self.store_time.0,
                peer: self.peer,
                zone: self.zone.clone(),
                capacity: self.capacity,
                leaving: self.leaving,
                grants: grants
                    .iter()
                    .filter(|(_, grant)| !grant.is_empty())
                    .map(|(name, grant)| (name.clone(), *grant))
                    .collect(),
                strikes,
            },
        ));
        if self.owned {
            for (name, grant) in &grants {
                let account = self.accounts.entry(name.clone()).or_default();
                account.uncertain.push(UncertainGrant {
                    grant: *grant,
                    basis: self.store_time.1.unwrap_or(sent),
                });
            }
        }
        WritePlan {
            batch,
            number: self.number,
            grants,
            sent,
        }
    }

    /// Records that the store contains the write `number` as `version` of the own row.
    pub(super) fn confirm_write(
        &mut self,
        version: u64,
        number: u64,
        grants: &BTreeMap<String, Grant>,
    ) {
        let first = !self.owned;
        self.owned = true;
        self.version = version;
        self.number = self.number.max(number);
        for name in grants.keys() {
            self.accounts.entry(name.clone()).or_default();
        }
        for (name, account) in &mut self.accounts {
            // A row does not contain empty grants.
            account.confirmed = grants.get(name).copied().unwrap_or_default();
            account.uncertain.clear();
            if first {
                account.spent += account.confirmed.spent;
            }
        }
    }

    /// Applies the outcome of `plan`.
    pub fn apply_outcome(&mut self, plan: &WritePlan, commit: CommitOutcome, now: Instant) {
        match commit {
            CommitOutcome::Done { version, now: time } => {
                self.confirm_write(version, plan.number, &plan.grants);
                for (name, sum) in &plan.batch.customers {
                    self.customer_rows.insert(name.clone(), (version, *sum));
                }
                self.contact = Some(now);
                self.accepted_writes += 1;
                self.record_store_time(time, now);
            }
            CommitOutcome::Conflict(rows) => {
                // The write had no effect. An earlier write of unknown outcome either shows in the
                // rows or may still take effect.
                self.discard_plan(plan);
                self.apply_rows(rows, false, plan.sent, now);
            }
        }
    }

    /// Discards `plan`, which the store has not applied and never will.
    pub fn discard_plan(&mut self, plan: &WritePlan) {
        for (name, grant) in &plan.grants {
            if let Some(account) = self.accounts.get_mut(name)
                && let Some(i) = account.uncertain.iter().rposition(|d| d.grant == *grant)
            {
                account.uncertain.remove(i);
            }
        }
    }
}
