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
        DatedGrant,
        Grant,
        OwnGrant,
        Precondition, //
    },
    Ledger,
    recovery::cap_changes,
};
use crate::{
    adapter::{
        Era,
        StoreVersion, //
    },
    decide::Observations,
};

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
pub(super) const MAX_CUSTOMER_ROWS: usize = 45;

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

/// Which daemon's row a write contains.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum PlannedRow {
    /// Row of this process.
    Own,
    /// Row of an earlier process on this VM, whose name it is.
    Copied(String),
}

/// A planned write of a daemon's row, to be passed back with its outcome.
#[derive(Clone, Debug)]
pub struct WritePlan {
    /// Rows to write.
    pub batch: Batch,
    row: PlannedRow,
    /// Era in which the write was planned. It tells nothing of another one.
    era: Option<Era>,
    number: u64,
    grants: BTreeMap<String, Grant>,
    /// Time at which the write was planned.
    sent: Instant,
}

impl WritePlan {
    /// Plan of a write that is not the next one of this process.
    pub(super) fn new(batch: Batch, row: PlannedRow, era: Option<Era>, sent: Instant) -> WritePlan {
        WritePlan {
            batch,
            row,
            era,
            number: 0,
            grants: BTreeMap::new(),
            sent,
        }
    }
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
            return self.plan_takeover(now, observed, scope);
        }
        if self.claims.is_some() {
            return self.plan_reassertion(now, observed, scope);
        }
        if let Some(plan) = self.plan_restoration(now) {
            return Some(plan);
        }
        let mut batch = self.own_batch();
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
        let (version, sum) = self.customer_row(&change.customer);
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
    pub(super) fn account_names(&self) -> Vec<String> {
        let mut names: Vec<String> = self.limits.keys().cloned().collect();
        names.extend(self.accounts.keys().cloned());
        names.sort();
        names.dedup();
        names
    }

    /// Plans the write that replaces the row of the previous process. A row of the copy is left alone until all
    /// daemons have written what they know of it; what its process cannot have spent of it is returned, as others may
    /// have got it since.
    fn plan_takeover(
        &mut self,
        now: Instant,
        observed: Observations,
        scope: WriteScope,
    ) -> Option<WritePlan> {
        if let Some(plan) = self.plan_restoration(now) {
            return Some(plan);
        }
        let row = self.inherited.clone()?;
        let Some(stored) = self.stored.clone().filter(|row| self.is_doubtful(row)) else {
            return Some(self.finish_plan(self.own_batch(), row.grants, observed, now));
        };
        if !self.is_settled(now) {
            return self.plan_attestation(now);
        }
        let caps = row
            .grants
            .iter()
            .map(|(name, grant)| (name.clone(), grant.cap));
        let changes = cap_changes(&stored, &caps.collect(), |old, new| old != new);
        match self.plan_changes(stored, changes, scope, now) {
            Ok(batch) => Some(self.finish_plan(batch, row.grants, observed, now)),
            Err(plan) => Some(*plan),
        }
    }

    /// Adds this daemon's row with `grants` and `observed` to `batch`, and returns the plan of the
    /// write. The grants count as uncertain from then on, until the outcome of the write is known.
    /// `observed` is what this daemon reports to the others; `sent` is the time of planning.
    pub(super) fn finish_plan(
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
                era: self.era,
                began: self.began,
                takeovers: self.takeovers,
                reconciled: self.reconciled,
            },
        ));
        self.guard_era(&mut batch);
        if self.owned {
            for (name, grant) in &grants {
                let account = self.accounts.entry(name.clone()).or_default();
                account.uncertain.push(DatedGrant {
                    grant: *grant,
                    basis: self.store_time.1.unwrap_or(sent),
                });
            }
        }
        WritePlan {
            batch,
            row: PlannedRow::Own,
            era: self.era,
            number: self.number,
            grants,
            sent,
        }
    }

    /// Records that the store contains the write `number` as `version` of the own row, since `at` at the latest. The
    /// store time in the row was received at `basis` or before.
    pub(super) fn confirm_write(
        &mut self,
        version: u64,
        number: u64,
        grants: &BTreeMap<String, Grant>,
        (basis, at): (Instant, Instant),
    ) {
        let first = !self.owned;
        if first {
            log::info!("event=row_owned process={} version={version}", self.process);
        }
        self.owned = true;
        self.version = version;
        self.number = self.number.max(number);
        self.claims = None;
        self.stored = None;
        for name in grants.keys() {
            self.accounts.entry(name.clone()).or_default();
        }
        let alone = self.peer_rows.values().all(|(_, row)| row.leaving);
        let mut returned = Vec::new();
        for (name, account) in &mut self.accounts {
            // A row does not contain empty grants.
            let grant = grants.get(name).copied().unwrap_or_default();
            if grant.cap < account.confirmed.cap {
                returned.push(name.clone());
            }
            let dated = DatedGrant { grant, basis };
            account.record_row(OwnGrant { dated, number, at }, alone || first);
            account.confirmed = grant;
            account.uncertain.clear();
            if first {
                account.spent += account.confirmed.spent;
            }
        }
        returned.iter().for_each(|name| self.withdraw_notices(name));
    }

    /// Applies the outcome of `plan`.
    pub fn apply_outcome(&mut self, plan: &WritePlan, commit: CommitOutcome, now: Instant) {
        match commit {
            CommitOutcome::Done {
                version,
                now: time,
                era,
            } => {
                // In a later era the store has performed it on the rows of the copy.
                if !self.enter_era(era, now) || plan.era.is_some_and(|planned| planned != era) {
                    return;
                }
                self.record_store_time(time, now);
                self.era_marked |= !plan.batch.eras.is_empty();
                let number = version;
                let version = StoreVersion { era, number };
                for (name, sum) in &plan.batch.customers {
                    self.customer_rows.insert(name.clone(), (version, *sum));
                }
                if let PlannedRow::Copied(name) = &plan.row {
                    self.confirm_copied_row(name, &plan.batch, version);
                    return;
                }
                self.confirm_write(number, plan.number, &plan.grants, (plan.sent, now));
                self.contact = Some(now);
                self.accepted_writes += 1;
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
