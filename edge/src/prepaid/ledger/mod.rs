//! The state machine of a daemon's grants.

mod admission;
mod sizing;
mod takeover;

use std::{
    collections::{
        BTreeMap,
        HashMap, //
    },
    net::SocketAddr,
    time::{
        Duration,
        Instant, //
    },
};

pub use admission::Admission;

use super::{
    Account,
    Audit,
    Batch,
    CommitOutcome,
    CustomerRow,
    DaemonRow,
    Grant,
    Precondition,
    Row,
    Rows,
    UncertainGrant,
    audit, //
};
use crate::{
    catalog::CustomerId,
    decide::Fingerprint, //
};

/// Time between two writes of the daemon's row. The age of the row at a restart contains it twice.
pub const WRITE_INTERVAL: Duration = Duration::from_millis(400);

/// Time since the last accepted write within which another write is likely to bring tokens.
const ATTACHED: Duration = Duration::from_millis(900);

/// Time without a new version of a daemon's row after which its tokens count as orphaned. The longest
/// cut that the users name is 9 s.
const SILENT: Duration = Duration::from_secs(20);

/// Tokens that one request has taken.
#[derive(Clone, Debug)]
pub struct Reservation {
    /// Customer who pays.
    pub customer: CustomerId,
    /// Tokens that it may consume at most.
    pub cost: u64,
}

/// A write that was sent.
#[derive(Clone, Debug)]
pub struct WritePlan {
    /// The rows.
    pub batch: Batch,
    number: u64,
    grants: BTreeMap<String, Grant>,
    sent: Instant,
}

/// State of the daemon's grants.
///
/// # Examples
///
/// ```
/// use std::time::Instant;
/// use cuminloom_edge::prepaid::{Admission, CommitOutcome, Ledger, Rows};
///
/// let now = Instant::now();
/// let mut ledger = Ledger::new("vm-1", 1, None);
/// ledger.set_limits([("ann".to_owned(), 1_000)].into());
/// assert_eq!(ledger.admit("ann", 100, now), Admission::Grant);
/// // The store has no rows yet. The first write takes the row, the second one draws tokens.
/// ledger.apply_rows(Rows::default(), true, now, now);
/// for version in [1, 2] {
///     ledger.adjust_waiting("ann", 100, true);
///     let plan = ledger.plan_write(now, Vec::new()).unwrap();
///     ledger.apply_outcome(&plan, CommitOutcome::Done { version, now: version }, now);
/// }
/// assert_eq!(ledger.admit("ann", 100, now), Admission::Taken);
/// ```
#[derive(Debug)]
pub struct Ledger {
    node: String,
    process: u64,
    peer: Option<SocketAddr>,
    /// Whether the row of the process before was read and replaced.
    owned: bool,
    /// Whether another process has replaced the row.
    fenced: bool,
    leaving: bool,
    number: u64,
    version: u64,
    /// Newest time of the store that is known, in milliseconds, and the receipt of the answer with it.
    seen: (u64, Option<Instant>),
    contact: Option<Instant>,
    /// Time since which no process before can have run on this VM.
    alone: Option<Instant>,
    accounts: HashMap<String, Account>,
    sums: HashMap<String, (u64, CustomerRow)>,
    peer_rows: HashMap<String, (u64, DaemonRow)>,
    /// Time at which a new version of each other daemon's row was read first.
    changed: HashMap<String, Instant>,
    audits: BTreeMap<String, Audit>,
    limits: HashMap<String, u64>,
    inherited: Option<DaemonRow>,
    known: bool,
    accepted_writes: u64,
}

impl Ledger {
    /// A ledger of the process `process` on the VM `node`.
    pub fn new(node: &str, process: u64, peer: Option<SocketAddr>) -> Ledger {
        Ledger {
            node: node.to_owned(),
            process,
            peer,
            owned: false,
            fenced: false,
            leaving: false,
            number: 0,
            version: 0,
            seen: (0, None),
            contact: None,
            alone: None,
            accounts: HashMap::new(),
            sums: HashMap::new(),
            peer_rows: HashMap::new(),
            changed: HashMap::new(),
            audits: BTreeMap::new(),
            limits: HashMap::new(),
            inherited: None,
            known: false,
            accepted_writes: 0,
        }
    }

    /// Notes that this process has bound the address of the VM's daemon, so that none before it runs
    /// any more.
    pub fn note_exclusive(&mut self, now: Instant) {
        self.alone = Some(now);
    }

    /// Takes over the limits of a configuration, in tokens by customer.
    pub fn set_limits(&mut self, limits: HashMap<String, u64>) {
        self.limits = limits;
    }

    /// Marks the daemon as stopping: what open requests don't need goes back.
    pub fn leave(&mut self) {
        self.leaving = true;
    }

    /// Whether another process has replaced the row; nothing may be spent then.
    pub fn is_fenced(&self) -> bool {
        self.fenced
    }

    /// Whether the row is this process's own.
    pub fn is_owned(&self) -> bool {
        self.owned
    }

    /// Whether the store has accepted a write lately.
    pub fn is_attached(&self, now: Instant) -> bool {
        self.contact
            .is_some_and(|at| now.duration_since(at) < ATTACHED)
    }

    /// Writes that the store has accepted.
    pub fn accepted_writes(&self) -> u64 {
        self.accepted_writes
    }

    /// Time since the store accepted a write.
    pub fn contact_age(&self, now: Instant) -> Option<Duration> {
        self.contact.map(|at| now.duration_since(at))
    }

    /// Rows of the other daemons.
    pub fn peer_rows(&self) -> impl Iterator<Item = (&str, &DaemonRow)> {
        self.peer_rows.iter().map(|(n, (_, row))| (n.as_str(), row))
    }

    /// Daemons that may be there, this one among them.
    pub fn members(&self) -> u32 {
        1 + self
            .peer_rows
            .values()
            .filter(|(_, row)| !row.leaving)
            .count() as u32
    }

    /// Where the tokens of each customer were at the newest reading of all rows.
    pub fn audits(&self) -> &BTreeMap<String, Audit> {
        &self.audits
    }

    /// Tokens of `customer` that this daemon holds, and of these the ones that were consumed or taken
    /// by open requests.
    pub fn held_and_used(&self, customer: &str) -> (u64, u64) {
        let account = self.accounts.get(customer);
        account.map_or((0, 0), |a| (a.confirmed.cap, a.used()))
    }

    /// Tokens of `customer` that are neither consumed nor taken by an open request, as far as this
    /// daemon knows.
    pub fn remaining(&self, customer: &str) -> u64 {
        let limit = self.limits.get(customer).copied().unwrap_or(0);
        let others: u64 = self
            .peer_rows
            .values()
            .filter_map(|(_, row)| row.grants.get(customer))
            .map(|g| g.spent + g.open)
            .sum();
        let own = self.accounts.get(customer).map_or(0, Account::used);
        limit.saturating_sub(others + own)
    }

    fn free(&self, customer: &str) -> u64 {
        let limit = self.limits.get(customer).copied().unwrap_or(0);
        let committed = self.sums.get(customer).map_or(0, |(_, s)| s.committed);
        limit.saturating_sub(committed)
    }

    /// Takes `cost` tokens of `customer` for a request.
    pub fn admit(&mut self, customer: &str, cost: u64, now: Instant) -> Admission {
        if self.fenced {
            return Admission::Refused;
        }
        if !self.owned {
            return Admission::Grant;
        }
        let attached = self.is_attached(now);
        let contact = self.contact;
        let account = self.accounts.entry(customer.to_owned()).or_default();
        if account.reserve(cost, contact, now) {
            account.record_cost(cost);
            return Admission::Taken;
        }
        if !attached {
            return self.release_wait(customer, cost, now);
        }
        if self.known && self.remaining(customer) < cost {
            return Admission::Exhausted;
        }
        Admission::Grant
    }

    /// Time until the release of the reserve covers `cost`.
    fn release_wait(&self, customer: &str, cost: u64, now: Instant) -> Admission {
        let (Some(account), Some(contact)) = (self.accounts.get(customer), self.contact) else {
            return Admission::Refused;
        };
        let Some(at) = account.confirmed.release_time(account.used() + cost) else {
            return Admission::Refused;
        };
        let age = now.duration_since(contact).as_secs_f64();
        Admission::Release(Duration::from_secs_f64((at - age).max(0.02)))
    }

    /// Whether the store has no tokens that the next write could bring for a request of `cost`.
    pub fn is_pool_short(&self, customer: &str, cost: u64, now: Instant) -> bool {
        let room = self.accounts.get(customer).map_or(0, |a| {
            a.spend_limit(self.contact, now).saturating_sub(a.used())
        });
        self.free(customer) + room < cost
    }

    /// Adds to or takes from the tokens that requests wait for.
    pub fn adjust_waiting(&mut self, customer: &str, cost: u64, waits: bool) {
        let account = self.accounts.entry(customer.to_owned()).or_default();
        account.waiting_tokens = if waits {
            account.waiting_tokens + cost
        } else {
            account.waiting_tokens.saturating_sub(cost)
        };
    }

    /// Whether requests wait for a write.
    pub fn has_waiting(&self) -> bool {
        self.accounts.values().any(|a| a.waiting_tokens > 0)
    }

    /// Ends a request that consumed `used` tokens.
    pub fn settle(&mut self, spending: &Reservation, used: u64, now: Instant) {
        let account = self
            .accounts
            .entry(spending.customer.to_string())
            .or_default();
        account.settle(spending.cost, used);
        account.rate.add(used, now);
    }

    /// Notes the store's steady clock, in milliseconds, from an answer that came at `received`. Each write
    /// names the newest one, by which a successor tells the age of the row.
    pub fn note_store_time(&mut self, time: u64, received: Instant) {
        if time > self.seen.0 {
            self.seen = (time, Some(received));
        }
    }

    /// Takes over rows that were asked for at `asked` and came at `received`.
    pub fn apply_rows(&mut self, rows: Rows, whole: bool, asked: Instant, received: Instant) {
        let now = rows.now;
        self.note_store_time(now, received);
        if whole {
            self.known = true;
            self.audits = audit(&rows, &self.limits, |name| self.is_silent(name, asked));
        }
        for row in rows.rows {
            match row {
                Row::Customer(name, version, sum) => {
                    let entry = self.sums.entry(name).or_insert((0, CustomerRow::default()));
                    if version >= entry.0 {
                        *entry = (version, sum);
                    }
                }
                Row::Daemon(name, version, row) if name == self.node => {
                    self.read_own(version, row, now, asked..received);
                }
                Row::Daemon(name, version, row) => {
                    let newer = self.peer_rows.get(&name).is_none_or(|(v, _)| version >= *v);
                    if newer {
                        let old = self.peer_rows.insert(name.clone(), (version, row));
                        if old.is_none_or(|(v, _)| v != version) {
                            self.changed.insert(name, asked);
                        }
                    }
                }
            }
        }
        if whole && !self.owned && self.inherited.is_none() {
            // No row of a process before: there is nothing to take over.
            self.inherited = Some(DaemonRow::default());
        }
    }

    /// Whether the daemon on another VM has not written its row for long.
    fn is_silent(&self, name: &str, now: Instant) -> bool {
        let changed = self.changed.get(name);
        changed.is_some_and(|at| now.saturating_duration_since(*at) > SILENT)
    }

    /// Composes the next write; `None` if the rows have not been read yet or the row is lost.
    pub fn plan_write(
        &mut self,
        now: Instant,
        strikes: Vec<(Fingerprint, u32)>,
    ) -> Option<WritePlan> {
        if self.fenced || !self.known {
            return None;
        }
        if !self.owned {
            return self.plan_first(now, strikes);
        }
        let mut batch = Batch {
            preconditions: vec![Precondition::Daemon(self.node.clone(), self.version)],
            ..Batch::default()
        };
        let mut grants = BTreeMap::new();
        let names: Vec<String> = self.account_names();
        for name in names {
            let old = self
                .accounts
                .get(&name)
                .map(|a| a.confirmed)
                .unwrap_or_default();
            let new = self.next_grant(&name, now);
            if new.cap != old.cap {
                let (version, sum) = self.sums.get(&name).copied().unwrap_or_default();
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

    fn account_names(&mut self) -> Vec<String> {
        let mut names: Vec<String> = self.limits.keys().cloned().collect();
        names.extend(self.accounts.keys().cloned());
        names.sort();
        names.dedup();
        names
    }

    fn plan_first(&mut self, now: Instant, strikes: Vec<(Fingerprint, u32)>) -> Option<WritePlan> {
        let row = self.inherited.clone()?;
        let batch = Batch {
            preconditions: vec![Precondition::Daemon(self.node.clone(), self.version)],
            ..Batch::default()
        };
        Some(self.finish_plan(batch, row.grants, strikes, now))
    }

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
                seen: self.seen.0,
                peer: self.peer,
                leaving: self.leaving,
                grants: grants.clone(),
                strikes,
            },
        ));
        if self.owned {
            for (name, grant) in &grants {
                let account = self.accounts.entry(name.clone()).or_default();
                account.uncertain.push(UncertainGrant {
                    grant: *grant,
                    basis: self.seen.1.unwrap_or(sent),
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

    fn landed(&mut self, version: u64, number: u64, grants: &BTreeMap<String, Grant>) {
        let first = !self.owned;
        self.owned = true;
        self.version = version;
        self.number = self.number.max(number);
        for (name, grant) in grants {
            let account = self.accounts.entry(name.clone()).or_default();
            account.confirmed = *grant;
            if first {
                account.spent += grant.spent;
            }
        }
        for account in self.accounts.values_mut() {
            account.uncertain.clear();
        }
    }

    /// Notes the outcome of `plan`.
    pub fn apply_outcome(&mut self, plan: &WritePlan, commit: CommitOutcome, now: Instant) {
        match commit {
            CommitOutcome::Done { version, now: time } => {
                self.landed(version, plan.number, &plan.grants);
                for (name, sum) in &plan.batch.customers {
                    self.sums.insert(name.clone(), (version, *sum));
                }
                self.contact = Some(now);
                self.accepted_writes += 1;
                self.note_store_time(time, now);
            }
            CommitOutcome::Conflict(rows) => {
                // The write did not happen, and an earlier one in doubt has either landed, which the
                // rows show, or may still do so.
                self.discard_plan(plan);
                self.apply_rows(rows, false, plan.sent, now);
            }
        }
    }

    /// Notes that the store refused `plan`: nothing was done and nothing will be.
    pub fn discard_plan(&mut self, plan: &WritePlan) {
        for (name, grant) in &plan.grants {
            if let Some(account) = self.accounts.get_mut(name)
                && let Some(i) = account.uncertain.iter().rposition(|d| d.grant == *grant)
            {
                account.uncertain.remove(i);
            }
        }
    }

    /// Whether the store holds no tokens for this daemon beyond what it consumed.
    pub fn is_returned(&self) -> bool {
        self.accounts
            .values()
            .all(|a| a.uncertain.is_empty() && a.confirmed.cap <= a.used())
    }
}
