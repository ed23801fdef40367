//! Recovery after the store came back from an older copy of its rows.
//!
//! The copy lacks the newest writes, so tokens that daemons hold look uncommitted in it. Each daemon writes its own
//! row again, and the newest rows that it has known of others whose daemons do not; committed totals follow by the
//! differences. Until all have done so, nobody draws tokens and no process takes a row of the copy over.

use std::{
    collections::BTreeMap,
    time::{
        Duration,
        Instant, //
    },
};

use super::{
    super::{
        Account,
        Batch,
        CustomerRow,
        DaemonRow,
        Grant,
        Precondition, //
    },
    Ledger, WritePlan, WriteScope,
    sizing::LARGEST_REQUEST,
    writes::{
        MAX_CUSTOMER_ROWS,
        PlannedRow, //
    },
};
use crate::{
    adapter::{
        Era,
        StoreVersion, //
    },
    decide::{
        Observations,
        fingerprint,
        rendezvous_weight, //
    },
};

/// Time after which nobody waits any longer for daemons that have not written in a new era: longer than a
/// partition, a suspension or a restart that the users state.
const SETTLE_LIMIT: Duration = Duration::from_secs(10);

/// Time for which a row of the copy is left to its own daemon.
const OWNER_TIME: Duration = Duration::from_millis(500);

/// Time between two daemons that restore the same row, so that only one does if the first succeeds.
const RESTORE_STEP: Duration = Duration::from_millis(100);

/// Daemons between which [`RESTORE_STEP`] passes; the others follow at the same moment.
const MAX_RESTORE_STEPS: u32 = 10;

/// Multiple of the demand in a row that its process is taken to have spent since, if nobody knows: demand varies.
const LOST_DEMAND_FACTOR: f64 = 2.0;

/// Earlier eras that are marked beside the present one, in case their marks were lost with a later copy.
const MARKED_ERAS: Era = 3;

impl Ledger {
    /// Records that the store has answered in `era`. Returns whether the answer counts: what it said in an earlier
    /// era does not hold any more.
    pub fn enter_era(&mut self, era: Era, now: Instant) -> bool {
        match self.era {
            Some(known) if era < known => return false,
            Some(known) if era == known => return true,
            Some(_) => self.begin_recovery(),
            None => self.began = Some(era),
        }
        self.era = Some(era);
        self.era_since = Some(now);
        true
    }

    /// Remembers what this process holds and knows, as the store may have lost it.
    fn begin_recovery(&mut self) {
        self.remember_rows();
        self.version = 0;
        self.stored = None;
        self.rows_read = false;
        self.settled = false;
        self.era_marked = false;
        if !self.owned {
            self.inherited = None;
            return;
        }
        let caps = self.accounts.iter();
        self.claims = Some(
            caps.map(|(n, account)| (n.clone(), account.least_cap()))
                .collect(),
        );
    }

    /// Adds the newest known rows of other daemons to those that may have to be restored.
    fn remember_rows(&mut self) {
        for (name, (_, row)) in &self.peer_rows {
            let mut row = row.clone();
            if let Some(notice) = self.notices.get(name) {
                notice.add_to(&mut row);
            }
            remember(&mut self.former, name, row);
        }
        for (name, notice) in &self.notices {
            if !self.peer_rows.contains_key(name) {
                remember(&mut self.former, name, notice.row());
            }
        }
    }

    /// Row of the daemon on the VM `name`, if the store has one in this era, with its version.
    fn row_in_era(&self, name: &str) -> Option<(u64, &DaemonRow)> {
        let (version, row) = self.peer_rows.get(name)?;
        (Some(version.era) == self.era).then_some((version.number, row))
    }

    /// Forgets the remembered rows that the store has, or newer ones.
    pub(super) fn forget_written_rows(&mut self) {
        let mut former = std::mem::take(&mut self.former);
        former.retain(|name, row| self.is_missing(name, row));
        self.former = former;
        if self.former.is_empty() {
            self.reconciled = self.era;
        }
    }

    /// Whether the store lacks what the remembered `row` of the VM `name` says.
    fn is_missing(&self, name: &str, row: &DaemonRow) -> bool {
        let holds = |row: &DaemonRow| row.grants.values().any(|g| g.cap > 0);
        match self.row_in_era(name) {
            None => holds(row),
            Some((_, stored)) if stored.era == self.era => false,
            Some((_, stored)) => stored.order() < row.order() && (holds(row) || row.leaving),
        }
    }

    /// Whether a process that lived through the begin of the era has written its row, so that the rows show what dead
    /// ones had told others.
    pub(super) fn has_witness(&self) -> bool {
        let mut rows = self.peer_rows.values().map(|(_, row)| row);
        rows.any(|row| row.era == self.era && row.began < self.era)
    }

    /// Tokens of `customer` that a process has likely spent in total, `age` seconds after it wrote `grant`, if nobody
    /// knows what it has drawn since.
    pub(super) fn likely_spent(&self, customer: &str, grant: &Grant, age: f64) -> u64 {
        let holders = self.holder_count() as u64;
        let burst = grant.release.map_or(0, |rule| rule.burst) + LARGEST_REQUEST / holders;
        let demand = (grant.rate as f64 * LOST_DEMAND_FACTOR * age) as u64 + burst;
        let limit = self.limits.get(customer).copied().unwrap_or(0);
        let (_, sum) = self.customer_row(customer);
        let drawn = limit.saturating_sub(sum.committed) / holders;
        (grant.spent + grant.open + demand).min(grant.cap + drawn)
    }

    /// Whether all daemons have written in this era what they know of the rows, or are known to be gone, so that the
    /// rows show all tokens that are committed.
    pub fn is_settled(&self, now: Instant) -> bool {
        let Some(since) = self.era_since.filter(|_| self.rows_read) else {
            return false;
        };
        if self.settled {
            return true;
        }
        if now.saturating_duration_since(since) >= SETTLE_LIMIT {
            return true;
        }
        let mut rows = self.peer_rows.iter();
        rows.all(|(name, (version, row))| {
            let current = Some(version.era) == self.era;
            let contributed = current && row.reconciled.is_none_or(|era| Some(era) >= self.era);
            contributed || row.leaving || self.is_silent(name, now)
        })
    }

    /// Whether this process has something to write for the recovery.
    pub fn is_recovering(&self) -> bool {
        self.claims.is_some() || !self.former.is_empty() || self.is_unattested()
    }

    /// Whether the row of the copy, which this process is to take over, does not say that this VM has nothing to add.
    fn is_unattested(&self) -> bool {
        let stored = self.stored.as_ref();
        self.has_doubtful_row() && stored.is_some_and(|row| row.reconciled < self.era)
    }

    /// Whether the row to take over is of an earlier era, so that the newest writes of its process may be missing.
    fn has_doubtful_row(&self) -> bool {
        let stored = self.stored.as_ref().filter(|_| !self.owned);
        stored.is_some_and(|row| self.is_doubtful(row))
    }

    /// Whether `row` was written in an earlier era.
    pub(super) fn is_doubtful(&self, row: &DaemonRow) -> bool {
        row.era.is_some() && row.era < self.era
    }

    /// Applies a row of this VM that is not of this process in this era: the copy of an older one.
    pub(super) fn apply_copied_row(&mut self, version: u64, row: DaemonRow) {
        if row.process != self.process && row.takeovers >= self.takeovers {
            self.fenced = true;
            return;
        }
        self.version = version;
        self.stored = Some(row);
    }

    /// Adds to `batch` what keeps writes of earlier eras from taking effect later than it: versions are given out
    /// again, so they could meet the versions that they expect.
    pub(super) fn guard_era(&self, batch: &mut Batch) {
        let Some(era) = self.era else {
            return;
        };
        batch.preconditions.push(Precondition::NoEra(era + 1));
        if !self.era_marked {
            batch.eras = (era.saturating_sub(MARKED_ERAS - 1)..=era).collect();
        }
    }

    /// Plans the write of the own row with the tokens that it had before the store lost them. If they concern more
    /// customers than one write may change, it first plans to change the row of the copy for some of them.
    pub(super) fn plan_reassertion(
        &mut self,
        now: Instant,
        observed: Observations,
        scope: WriteScope,
    ) -> Option<WritePlan> {
        let claims = self.claims.clone()?;
        let stored = self.stored.clone().unwrap_or_default();
        let changes = cap_changes(&stored, &claims, |old, new| old != new);
        let batch = match self.plan_changes(stored, changes, scope, now) {
            Ok(batch) => batch,
            Err(plan) => return Some(*plan),
        };
        let names = self.account_names().into_iter();
        let grants = names.map(|name| {
            let claim = claims.get(&name).copied().unwrap_or(0);
            let mut grant = self.next_grant(&name, now);
            let used = self.accounts.get(&name).map_or(0, Account::used);
            grant.keep_cap(claim);
            grant.issued = grant.issued.max(used.min(claim));
            (name, grant)
        });
        let grants = grants.collect();
        Some(self.finish_plan(batch, grants, observed, now))
    }

    /// Batch with `changes` of the customers' rows for the write that replaces the `stored` row of this VM. If they are
    /// too many for one write, the plan of one that changes `stored` for some of them.
    pub(super) fn plan_changes(
        &self,
        stored: DaemonRow,
        mut changes: Vec<CapChange>,
        scope: WriteScope,
        now: Instant,
    ) -> Result<Batch, Box<WritePlan>> {
        let most = match scope {
            WriteScope::OwnRow => 1,
            WriteScope::Waiting(most) | WriteScope::Customers(most) => {
                most.clamp(1, MAX_CUSTOMER_ROWS)
            }
        };
        let is_last = changes.len() <= most;
        changes.truncate(most);
        let mut batch = self.own_batch();
        for change in &changes {
            self.add_cap_change(&mut batch, change);
        }
        if is_last {
            return Ok(batch);
        }
        let name = self.node.clone();
        let plan = self.plan_copied_row(name, stored, &changes, batch, now);
        Err(Box::new(plan))
    }

    /// Plans to write the row that another daemon had, if that is due: its own daemon has had time for it.
    pub(super) fn plan_restoration(&self, now: Instant) -> Option<WritePlan> {
        let passed = now.saturating_duration_since(self.era_since?);
        let due = self
            .former
            .iter()
            .find(|(name, row)| passed >= self.restore_delay(name) && self.is_missing(name, row));
        if let Some((name, row)) = due {
            return Some(self.plan_former_row(name.clone(), row, now));
        }
        self.plan_write_off(now)
    }

    /// Plans the write of the remembered `row` of the VM `name`: what the store has, with the tokens that `row` has
    /// beyond it. Its era stays an old one, so that its next process takes it for what it is.
    fn plan_former_row(&self, name: String, row: &DaemonRow, now: Instant) -> WritePlan {
        let (version, stored) = self
            .row_in_era(&name)
            .map_or_else(Default::default, |(v, r)| (v, r.clone()));
        let caps = row.grants.iter().map(|(c, g)| (c.clone(), g.cap));
        let caps: BTreeMap<String, u64> = caps.collect();
        let mut changes = cap_changes(&stored, &caps, |old, new| new > old);
        let is_whole = changes.len() <= MAX_CUSTOMER_ROWS;
        changes.truncate(MAX_CUSTOMER_ROWS);
        let mut base = DaemonRow {
            reconciled: stored.reconciled,
            ..row.clone()
        };
        if !is_whole {
            // The store still lacks a part of the row.
            (base.takeovers, base.number) = (stored.takeovers, stored.number);
        }
        // Tokens that were returned meanwhile stay committed until the next process returns them again.
        for (customer, grant) in &stored.grants {
            base.grants.entry(customer.clone()).or_insert(*grant);
        }
        for (customer, grant) in &mut base.grants {
            grant.cap = stored.cap(customer);
        }
        let mut batch = Batch {
            preconditions: vec![Precondition::Daemon(name.clone(), version)],
            ..Batch::default()
        };
        for change in &changes {
            self.add_cap_change(&mut batch, change);
        }
        log::info!(
            "event=row_restored vm={name} customers={} whole={is_whole}",
            changes.len()
        );
        self.plan_copied_row(name, base, &changes, batch, now)
    }

    /// Plans to mark the row of a daemon for which nobody waits any longer, so that processes that start later do not
    /// wait for it either.
    fn plan_write_off(&self, now: Instant) -> Option<WritePlan> {
        if !self.is_settled(now) || !self.former.is_empty() {
            return None;
        }
        let passed = now.saturating_duration_since(self.era_since?);
        let behind = |row: &DaemonRow| row.reconciled.is_some() && row.reconciled < self.era;
        let mut names = self.peer_rows.keys();
        let name = names.find(|name| {
            let row = self.row_in_era(name);
            row.is_some_and(|(_, row)| behind(row)) && passed >= self.restore_delay(name)
        })?;
        let (version, row) = self.row_in_era(name)?;
        let row = DaemonRow {
            reconciled: self.era,
            ..row.clone()
        };
        let batch = Batch {
            preconditions: vec![Precondition::Daemon(name.clone(), version)],
            ..Batch::default()
        };
        Some(self.plan_copied_row(name.clone(), row, &[], batch, now))
    }

    /// Plans to say in the row of the copy that this VM has nothing to add to the rows, if it does not say so.
    pub(super) fn plan_attestation(&self, now: Instant) -> Option<WritePlan> {
        let stored = self.stored.as_ref()?;
        if stored.reconciled >= self.era || !self.former.is_empty() {
            return None;
        }
        let row = DaemonRow {
            reconciled: self.era,
            ..stored.clone()
        };
        Some(self.plan_copied_row(self.node.clone(), row, &[], self.own_batch(), now))
    }

    /// Plans to write `row`, which is not one of this process, with `changes`.
    fn plan_copied_row(
        &self,
        name: String,
        mut row: DaemonRow,
        changes: &[CapChange],
        mut batch: Batch,
        now: Instant,
    ) -> WritePlan {
        for change in changes {
            let grant = row.grants.entry(change.customer.clone()).or_default();
            grant.keep_cap(change.new);
        }
        // A row without an era would look like one of a version that knows none.
        let before = self.era.map(|era| era.saturating_sub(1));
        row.era = row.era.or(before);
        self.guard_era(&mut batch);
        batch.daemon = Some((name.clone(), row));
        WritePlan::new(batch, PlannedRow::Copied(name), self.era, now)
    }

    /// Records that the store has the copied row of the VM `name` that `batch` contains, as `version`.
    pub(super) fn confirm_copied_row(&mut self, name: &str, batch: &Batch, version: StoreVersion) {
        let Some((_, row)) = batch.daemon.clone() else {
            return;
        };
        if name == self.node {
            self.version = version.number;
            self.stored = Some(row);
            return;
        }
        self.peer_rows.insert(name.to_owned(), (version, row));
        self.forget_written_rows();
    }

    /// Time from the begin of an era after which this process restores the row of the VM `name`.
    fn restore_delay(&self, name: &str) -> Duration {
        let key = fingerprint(name, "", &[]);
        let own = rendezvous_weight(key, &self.node);
        let others = self.peer_rows.keys().filter(|other| *other != name);
        let rank = others
            .filter(|other| rendezvous_weight(key, other) > own)
            .count();
        let steps = u32::try_from(rank).unwrap_or(u32::MAX);
        OWNER_TIME + RESTORE_STEP * steps.min(MAX_RESTORE_STEPS)
    }

    /// Adds the change of a grant to the customer's row in `batch`.
    fn add_cap_change(&self, batch: &mut Batch, change: &CapChange) {
        let (version, sum) = self.customer_row(&change.customer);
        let committed = (sum.committed + change.new).saturating_sub(change.old);
        let name = change.customer.clone();
        batch
            .preconditions
            .push(Precondition::Customer(name.clone(), version));
        batch.customers.push((name, CustomerRow { committed }));
    }

    /// Batch for a write of the own row.
    pub(super) fn own_batch(&self) -> Batch {
        Batch {
            preconditions: vec![Precondition::Daemon(self.node.clone(), self.version)],
            ..Batch::default()
        }
    }
}

/// Keeps `row` in `former` if it is the newest of the VM `name`.
fn remember(former: &mut BTreeMap<String, DaemonRow>, name: &str, row: DaemonRow) {
    let known = former.get(name);
    if known.is_none_or(|known| known.order() <= row.order()) {
        former.insert(name.to_owned(), row);
    }
}

/// Change of the tokens that one grant has in the store.
pub(super) struct CapChange {
    customer: String,
    old: u64,
    new: u64,
}

/// Customers for whom the tokens in `row` have to become those of `caps`, if `differ` says so.
pub(super) fn cap_changes(
    row: &DaemonRow,
    caps: &BTreeMap<String, u64>,
    differ: impl Fn(u64, u64) -> bool,
) -> Vec<CapChange> {
    let mut names: Vec<&String> = caps.keys().chain(row.grants.keys()).collect();
    names.sort_unstable();
    names.dedup();
    let change = |customer: &String| CapChange {
        old: row.cap(customer),
        new: caps.get(customer).copied().unwrap_or(0),
        customer: customer.clone(),
    };
    let changes = names.into_iter().map(change);
    changes.filter(|c| differ(c.old, c.new)).collect()
}
