//! State machine of a daemon's grants: admits requests, and plans and confirms writes of the rows.

mod admission;
mod membership;
mod notices;
mod prospects;
mod reads;
mod recovery;
mod sizing;
mod takeover;
mod turns;
mod writes;

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
pub use membership::RunningMember;
pub use notices::GrantNotice;
pub use writes::{
    WritePlan,
    WriteScope, //
};

use super::{
    Account,
    Audit,
    CustomerRow,
    DaemonRow,
    Grant,
    Member,
    TokenPlace,
    Whereabouts, //
};
use crate::{
    adapter::{
        Era,
        StoreVersion, //
    },
    catalog::CustomerId,
};
use notices::{
    NoticedGrants,
    OwnNotice, //
};

/// Interval between two writes of the daemon's row. The age of the row after a restart includes up
/// to two intervals.
pub const WRITE_INTERVAL: Duration = Duration::from_millis(400);

/// Time since the last accepted write within which the store counts as reachable, so that the next
/// write is likely to bring tokens.
const MAX_CONTACT_AGE: Duration = Duration::from_millis(900);

/// Time since any response of the store within which it counts as reachable for a daemon that writes
/// seldom: its feeds are answered at least each second.
const MAX_ANSWER_AGE: Duration = Duration::from_millis(1500);

/// Time without a new version of a daemon's row after which its tokens count as orphaned. The
/// longest partition that the users state is 9 s.
const SILENT_AFTER: Duration = Duration::from_secs(20);

/// Time for which a reclaimed reserve is not held again: several writes of the daemon that lacks tokens.
const RECLAIM_TIME: Duration = Duration::from_millis(1500);

/// Tokens reserved for one open request.
#[derive(Clone, Debug)]
pub struct Reservation {
    /// Customer to whom the tokens belong.
    pub customer: CustomerId,
    /// Tokens that the request may consume at most.
    pub cost: u64,
}

/// State of the daemon's grants of all customers.
///
/// The owner reads the rows, sends the planned writes and reports their outcomes; the ledger does
/// no I/O.
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
/// // The store is empty. The first write creates the daemon's row, the second one commits tokens.
/// ledger.apply_rows(Rows::default(), true, now, now);
/// for version in [1, 2] {
///     ledger.adjust_waiting("ann", 100, true);
///     let plan = ledger.plan_write(now, Default::default()).unwrap();
///     ledger.apply_outcome(&plan, CommitOutcome::Done { version, now: version, era: 0 }, now);
/// }
/// assert_eq!(ledger.admit("ann", 100, now), Admission::Taken);
/// ```
#[derive(Debug)]
pub struct Ledger {
    /// Name of this VM.
    node: String,
    /// Id of this process.
    process: u64,
    peer: Option<SocketAddr>,
    /// Data centre of this VM.
    zone: String,
    /// Processor share of this VM, in thousandths of a core.
    capacity: u32,
    /// Daemons that hold grants, as of the newest read of all rows.
    holders: Vec<Member>,
    /// Time since which this daemon is a holder and so writes often.
    holder_since: Option<Instant>,
    /// Whether this process has replaced the row of the previous one.
    owned: bool,
    /// Whether another process has replaced the row of this one.
    fenced: bool,
    /// Whether the daemon is stopping.
    leaving: bool,
    /// Sequence number of the newest write.
    number: u64,
    /// Newest era of the store that any answer has named.
    era: Option<Era>,
    /// Era in which this process began.
    began: Option<Era>,
    /// Time at which this process learned of the newest era.
    era_since: Option<Instant>,
    /// Whether all daemons were found to have written in this era: each plan asks for each customer.
    settled: bool,
    /// Whether the store has the mark of the era.
    era_marked: bool,
    /// Newest era in which the store has all that this process knows of the rows of others.
    reconciled: Option<Era>,
    /// Tokens committed to this daemon by customer, from the begin of an era until its row has them again.
    claims: Option<BTreeMap<String, u64>>,
    /// Own row in the store while it is not one that this process wrote in this era.
    stored: Option<DaemonRow>,
    /// Newest rows of other daemons known from before this era, until the store has them or later ones.
    former: BTreeMap<String, DaemonRow>,
    /// Number of processes on this VM that had a row before this one.
    takeovers: u64,
    /// What others have told of tokens that their rows may not show yet.
    notices: HashMap<String, NoticedGrants>,
    /// Own notices that no other VM has acknowledged.
    unacknowledged: Vec<OwnNotice>,
    /// Version of the own row in this era.
    version: u64,
    /// Newest known store time, in milliseconds, and the local time at which it was received.
    store_time: (u64, Option<Instant>),
    /// Time at which the last accepted write was confirmed.
    contact: Option<Instant>,
    /// Time since which no previous process can have run on this VM.
    exclusive_since: Option<Instant>,
    accounts: HashMap<String, Account>,
    /// Version and content of the customer rows.
    customer_rows: HashMap<String, (StoreVersion, CustomerRow)>,
    /// Version and content of the rows of other daemons.
    peer_rows: HashMap<String, (StoreVersion, DaemonRow)>,
    /// Time of the newest read of all rows.
    last_read: Option<Instant>,
    /// Time at which it was received.
    read_at: Option<Instant>,
    /// Time of the read that first returned the current version of each other daemon's row, later by the
    /// times without a read since.
    changed_at: HashMap<String, Instant>,
    audits: BTreeMap<String, Audit>,
    limits: HashMap<String, u64>,
    /// Row of the previous process with its possible reservation charged; empty if there was none.
    inherited: Option<DaemonRow>,
    /// Whether all rows have been read once in this era.
    rows_read: bool,
    accepted_writes: u64,
    /// Rows in the newest answer that are older than known ones.
    older_rows: usize,
}

impl Ledger {
    /// Ledger of the process with the id `process` on the VM `node`. `peer` is the address at which
    /// other daemons can query this one.
    pub fn new(node: &str, process: u64, peer: Option<SocketAddr>) -> Ledger {
        Ledger {
            node: node.to_owned(),
            process,
            peer,
            zone: String::new(),
            capacity: 0,
            holders: Vec::new(),
            holder_since: None,
            owned: false,
            fenced: false,
            leaving: false,
            number: 0,
            era: None,
            began: None,
            era_since: None,
            settled: false,
            era_marked: false,
            reconciled: None,
            claims: None,
            stored: None,
            former: BTreeMap::new(),
            takeovers: 0,
            notices: HashMap::new(),
            unacknowledged: Vec::new(),
            version: 0,
            store_time: (0, None),
            contact: None,
            exclusive_since: None,
            accounts: HashMap::new(),
            customer_rows: HashMap::new(),
            peer_rows: HashMap::new(),
            last_read: None,
            read_at: None,
            changed_at: HashMap::new(),
            audits: BTreeMap::new(),
            limits: HashMap::new(),
            inherited: None,
            rows_read: false,
            accepted_writes: 0,
            older_rows: 0,
        }
    }

    /// Id of this process.
    pub fn process(&self) -> u64 {
        self.process
    }

    /// Records that this process has bound the listen address of the VM's daemon, so that no
    /// previous process runs any more.
    pub fn mark_exclusive(&mut self, now: Instant) {
        self.exclusive_since = Some(now);
    }

    /// Sets the limits from a configuration, in tokens by customer.
    pub fn set_limits(&mut self, limits: HashMap<String, u64>) {
        self.limits = limits;
    }

    /// Marks the daemon as stopping: the next writes return the tokens that open requests do not
    /// need.
    pub fn leave(&mut self) {
        self.leaving = true;
    }

    /// Whether the daemon is stopping.
    pub fn is_leaving(&self) -> bool {
        self.leaving
    }

    /// Whether another process has replaced the row, so that this one may spend nothing more.
    pub fn is_fenced(&self) -> bool {
        self.fenced
    }

    /// Whether this process has written the row of its VM, and so holds the grants in it.
    pub fn is_owned(&self) -> bool {
        self.owned
    }

    /// Whether the store has answered recently, so that the next write is likely to bring tokens. A
    /// holder writes often, so for it only accepted writes count, from the time at which it became one;
    /// the others write seldom.
    pub fn is_attached(&self, now: Instant) -> bool {
        let recent = |at: Option<Instant>, limit| {
            at.is_some_and(|at| now.saturating_duration_since(at) < limit)
        };
        let expected_since = self
            .contact
            .map(|at| at.max(self.holder_since.unwrap_or(at)));
        recent(expected_since, MAX_CONTACT_AGE)
            || (!self.is_holder() && recent(self.store_time.1, MAX_ANSWER_AGE))
    }

    /// Estimate of the store's clock at `now`, in milliseconds; `None` before the first response.
    pub fn store_now(&self, now: Instant) -> Option<u64> {
        let (time, received) = self.store_time;
        let passed = now.saturating_duration_since(received?);
        Some(time + passed.as_millis() as u64)
    }

    /// Rows in the newest answer of the store that are older than those known before.
    pub fn older_rows(&self) -> usize {
        self.older_rows
    }

    /// Whether all rows have been read in this era.
    pub fn has_read_rows(&self) -> bool {
        self.rows_read
    }

    /// Whether all rows have been read in a call that began after `at`.
    pub fn has_read_since(&self, at: Instant) -> bool {
        self.rows_read && self.last_read.is_some_and(|asked| asked >= at)
    }

    /// Number of writes that the store has accepted.
    pub fn accepted_writes(&self) -> u64 {
        self.accepted_writes
    }

    /// Time since the last accepted write; `None` before the first one.
    pub fn contact_age(&self, now: Instant) -> Option<Duration> {
        self.contact.map(|at| now.duration_since(at))
    }

    /// Rows of the other daemons, with the names of their VMs.
    pub fn peer_rows(&self) -> impl Iterator<Item = (&str, &DaemonRow)> {
        self.peer_rows.iter().map(|(n, (_, row))| (n.as_str(), row))
    }

    /// Number of daemons that are not stopping, including this one.
    pub fn members(&self) -> u32 {
        1 + self
            .peer_rows
            .values()
            .filter(|(_, row)| !row.leaving)
            .count() as u32
    }

    /// Audit of each customer by the newest read of all rows.
    pub fn audits(&self) -> &BTreeMap<String, Audit> {
        &self.audits
    }

    /// Tokens of `customer` that are committed to this daemon, and how many of them are consumed or
    /// reserved by open requests.
    pub fn held_and_used(&self, customer: &str) -> (u64, u64) {
        let account = self.accounts.get(customer);
        account.map_or((0, 0), |a| (a.confirmed.cap, a.used()))
    }

    /// Tokens of `customer` that are neither consumed nor reserved by an open request, as far as
    /// this daemon knows.
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

    /// Where the tokens of `customer` are, as far as this daemon knows.
    pub fn whereabouts(&self, customer: &str, now: Instant) -> Whereabouts {
        let limit = self.limits.get(customer).copied().unwrap_or(0);
        let (_, sum) = self.customer_row(customer);
        let mut found = Whereabouts::new(limit, sum.committed);
        if let Some(account) = self.accounts.get(customer) {
            let grant = Grant {
                spent: account.spent,
                open: account.open,
                ..account.confirmed
            };
            found.add(&grant, TokenPlace::Own);
        }
        for (name, (_, row)) in &self.peer_rows {
            let Some(grant) = row.grants.get(customer) else {
                continue;
            };
            let holds = || self.holders.iter().any(|h| h.node == *name);
            let place = match () {
                () if self.is_silent(name, now) => TokenPlace::Silent,
                () if holds() => TokenPlace::Holder,
                () => TokenPlace::Other,
            };
            found.add(grant, place);
        }
        found
    }

    /// Version and content of the customer's row in this era; version 0 if there is none.
    fn customer_row(&self, customer: &str) -> (u64, CustomerRow) {
        let row = self.customer_rows.get(customer);
        row.filter(|(version, _)| Some(version.era) == self.era)
            .map_or_else(Default::default, |(version, sum)| (version.number, *sum))
    }

    /// Tokens of `customer` that are not committed to any daemon. After the store came back from a copy, what
    /// daemons have drawn since is not known before they have written it again.
    fn free(&self, customer: &str, now: Instant) -> u64 {
        if !self.is_settled(now) {
            return 0;
        }
        let limit = self.limits.get(customer).copied().unwrap_or(0);
        let (_, sum) = self.customer_row(customer);
        limit.saturating_sub(sum.committed)
    }

    /// Reserves `cost` tokens of `customer` for a request.
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
        match () {
            () if !self.rows_read => Admission::Grant,
            () if self.unspent(customer) < cost => Admission::Exhausted,
            () if self.obtainable(customer, now) < cost => Admission::Blocked,
            () => Admission::Grant,
        }
    }

    /// Outcome for a request of `cost` while the store is unreachable: the time until the released
    /// reserve covers it, or a refusal.
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

    /// Adds `cost` to the tokens for which requests wait, or subtracts it if `waits` is false.
    pub fn adjust_waiting(&mut self, customer: &str, cost: u64, waits: bool) {
        let account = self.accounts.entry(customer.to_owned()).or_default();
        account.waiting_tokens = if waits {
            account.waiting_tokens + cost
        } else {
            account.waiting_tokens.saturating_sub(cost)
        };
    }

    /// Returns the reserve of `customer` with the next writes, and holds none for a while: a
    /// request at another daemon needs more tokens than the store has left.
    pub fn reclaim(&mut self, customer: &str, now: Instant) {
        if let Some(account) = self.accounts.get_mut(customer) {
            account.reclaimed_until = Some(now + RECLAIM_TIME);
        }
    }

    /// Whether requests wait for tokens that a write may bring.
    pub fn has_waiting(&self) -> bool {
        self.accounts.values().any(|a| a.waiting_tokens > 0)
    }

    /// Settles a finished request that consumed `used` tokens.
    pub fn settle(&mut self, reservation: &Reservation, used: u64, now: Instant) {
        let account = self
            .accounts
            .entry(reservation.customer.to_string())
            .or_default();
        account.settle(reservation.cost, used);
        account.rate.add(used, now);
    }

    /// Records the store time `time`, in milliseconds, from a response received at `received`. Each
    /// write contains the newest one, from which a successor computes the age of the row.
    pub fn record_store_time(&mut self, time: u64, received: Instant) {
        if time > self.store_time.0 {
            self.store_time = (time, Some(received));
        }
    }

    /// Whether the daemon on the VM `name` has not written its row for [`SILENT_AFTER`], not counting
    /// times without a read.
    fn is_silent(&self, name: &str, now: Instant) -> bool {
        let changed_at = self.changed_at.get(name);
        changed_at.is_some_and(|at| now.saturating_duration_since(*at) > SILENT_AFTER)
    }

    /// Whether all tokens that are neither consumed nor reserved by open requests have been
    /// returned.
    pub fn is_returned(&self) -> bool {
        self.accounts
            .values()
            .all(|a| a.uncertain.is_empty() && a.confirmed.cap <= a.used())
    }
}
