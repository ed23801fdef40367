//! Plans writes of the rows and applies their outcomes.

use std::{
    cmp::Reverse,
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
use crate::decide::Observations;

/// Which rows a write contains.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WriteScope {
    /// Only the daemon's own row, which no other daemon writes, so that it can't conflict: what the
    /// daemon has consumed, and that it still runs.
    OwnRow,
    /// Also the rows of up to this number of customers for whom requests wait, here or at other daemons.
    Waiting(usize),
    /// Also the rows of up to this number of customers whose committed tokens should change; those for
    /// whom requests wait come first, here and then at other daemons. With fewer rows, a write conflicts less often.
    Customers(usize),
}

/// Most customers' rows in one write: a transaction of the store holds at most 100 entries, two for each
/// row.
const MAX_CUSTOMER_ROWS: usize = 45;

/// A customer whose row a write concerns.
#[derive(Debug)]
struct GrantChange {
    /// Whether requests wait for tokens, whether another daemon waits for them, and how many they are.
    urgency: (bool, bool, u64),
    customer: String,
    old_cap: u64,
    new_cap: u64,
}

impl GrantChange {
    /// Whether requests wait for the change, here or at another daemon.
    fn is_awaited(&self) -> bool {
        self.urgency.0 || self.urgency.1
    }
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
    pub fn plan_write(&mut self, now: Instant, observed: Observations) -> Option<WritePlan> {
        self.plan_scoped(now, observed, WriteScope::Customers(usize::MAX))
    }

    /// Plans the next write with the rows of `scope`, as [`Ledger::plan_write`] does.
    pub fn plan_scoped(
        &mut self,
        now: Instant,
        observed: Observations,
        scope: WriteScope,
    ) -> Option<WritePlan> {
        if self.fenced || !self.rows_read {
            return None;
        }
        if !self.owned {
            return self.plan_first(now, observed);
        }
        let mut batch = Batch {
            preconditions: vec![Precondition::Daemon(self.node.clone(), self.version)],
            ..Batch::default()
        };
        let (mut grants, mut changes) = self.next_grants(now);
        changes.sort_by_key(|change| Reverse(change.urgency));
        let most = match scope {
            WriteScope::OwnRow => 0,
            WriteScope::Waiting(most) => {
                let awaited = changes.iter().filter(|change| change.is_awaited());
                awaited.count().min(most).min(MAX_CUSTOMER_ROWS)
            }
            WriteScope::Customers(most) => most.min(MAX_CUSTOMER_ROWS),
        };
        for kept in changes.split_off(most.min(changes.len())) {
            if let Some(grant) = grants.get_mut(&kept.customer) {
                grant.keep_cap(kept.old_cap);
            }
        }
        for change in changes {
            self.add_change(&mut batch, change);
        }
        Some(self.finish_plan(batch, grants, observed, now))
    }

    /// The grants of all customers that the next write would contain at best, and which of them concern
    /// the customers' rows.
    fn next_grants(&self, now: Instant) -> (BTreeMap<String, Grant>, Vec<GrantChange>) {
        let mut grants = BTreeMap::new();
        let mut changes = Vec::new();
        for name in self.account_names() {
            let account = self.accounts.get(&name);
            let old_cap = account.map_or(0, |a| a.confirmed.cap);
            let new = self.next_grant(&name, now);
            if new.cap != old_cap || self.lacks_tokens(&name, new.cap) {
                changes.push(GrantChange {
                    urgency: (
                        account.is_some_and(|a| a.waiting_tokens > 0),
                        account.is_some_and(|a| a.is_reclaimed(now)),
                        new.cap.abs_diff(old_cap),
                    ),
                    customer: name.clone(),
                    old_cap,
                    new_cap: new.cap,
                });
            }
            grants.insert(name, new);
        }
        (grants, changes)
    }

    /// Adds the customer's row to `batch`. Without a change it is only a precondition: the write conflicts
    /// if the row is newer than known, and so tells of tokens that others have returned.
    fn add_change(&self, batch: &mut Batch, change: GrantChange) {
        let row = self.customer_rows.get(&change.customer);
        let (version, sum) = row.copied().unwrap_or_default();
        batch
            .preconditions
            .push(Precondition::Customer(change.customer.clone(), version));
        if change.new_cap != change.old_cap {
            let committed = (sum.committed + change.new_cap).saturating_sub(change.old_cap);
            batch
                .customers
                .push((change.customer, CustomerRow { committed }));
        }
    }

    /// Whether requests of `customer` wait that `cap` tokens do not cover.
    fn lacks_tokens(&self, customer: &str, cap: u64) -> bool {
        let account = self.accounts.get(customer);
        account.is_some_and(|a| a.waiting_tokens > 0 && a.used() + a.waiting_tokens > cap)
    }

    /// Names of all customers with a limit or an account, sorted.
    fn account_names(&self) -> Vec<String> {
        let mut names: Vec<String> = self.limits.keys().cloned().collect();
        names.extend(self.accounts.keys().cloned());
        names.sort();
        names.dedup();
        names
    }

    /// Plans the write that replaces the row of the previous process.
    fn plan_first(&mut self, now: Instant, observed: Observations) -> Option<WritePlan> {
        let row = self.inherited.clone()?;
        let batch = Batch {
            preconditions: vec![Precondition::Daemon(self.node.clone(), self.version)],
            ..Batch::default()
        };
        Some(self.finish_plan(batch, row.grants, observed, now))
    }

    /// Adds this daemon's row with `grants` and `observed` to `batch`, and returns the plan of the
    /// write. The grants count as uncertain from then on, until the outcome of the write is known.
    /// `observed` is what this daemon reports to the others; `sent` is the time of planning.
    fn finish_plan(
        &mut self,
        mut batch: Batch,
        grants: BTreeMap<String, Grant>,
        observed: Observations,
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
                strikes: Vec::new(),
                observed,
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
        if first {
            log::info!("event=row_owned process={} version={version}", self.process);
        }
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
            CommitOutcome::Done {
                version, now: time, ..
            } => {
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
