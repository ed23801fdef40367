//! Tells other VMs of tokens that were committed to this daemon, before it spends them.
//!
//! The store can come back from a copy in which the newest writes are missing. A daemon that has drawn tokens writes
//! them again, but it may end before that; so it spends tokens only when another VM knows of them too.

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    time::Instant, //
};

use serde::{
    Deserialize,
    Serialize, //
};

use super::{
    super::{
        DaemonRow,
        DatedGrant,
        Grant,
        MAX_TOTAL,
        OwnGrant,
        RowOrder, //
    },
    Ledger,
};
use crate::{
    adapter::Era,
    decide::{
        fingerprint,
        rendezvous_weight, //
    },
};

/// Own notices for which an acknowledgement is awaited, at most: those of some seconds.
const MAX_UNACKNOWLEDGED: usize = 64;

/// Tokens that were committed to a daemon, for another one.
///
/// # Examples
///
/// ```
/// use cuminloom_edge::prepaid::GrantNotice;
///
/// let mut notice = GrantNotice { node: "vm-1".into(), ..Default::default() };
/// notice.grants.insert("ann".into(), Default::default());
/// assert!(notice.is_plausible());
/// ```
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct GrantNotice {
    /// VM of the daemon.
    pub node: String,
    /// Its process.
    pub process: u64,
    /// Number of processes on the VM that had a row before it.
    pub takeovers: u64,
    /// Sequence number of the write that committed the tokens.
    pub number: u64,
    /// Era of the store that accepted it.
    pub era: Option<Era>,
    /// Newest store time that the process knew then, in milliseconds.
    pub seen: u64,
    /// Grants by customer.
    pub grants: BTreeMap<String, Grant>,
}

impl GrantNotice {
    /// Whether a daemon can have sent it.
    pub fn is_plausible(&self) -> bool {
        self.seen <= MAX_TOTAL && self.grants.values().all(Grant::is_plausible)
    }
}

/// A notice that this process has sent.
#[derive(Clone, Debug)]
pub(super) struct OwnNotice {
    number: u64,
    era: Option<Era>,
    grants: BTreeMap<String, OwnGrant>,
}

/// What the notices of one process say beyond its row.
#[derive(Clone, Debug, Default)]
pub(super) struct NoticedGrants {
    process: u64,
    era: Option<Era>,
    takeovers: u64,
    /// Oldest store time of the notices.
    seen: u64,
    /// Number of the write and grant, by customer.
    grants: BTreeMap<String, (u64, Grant)>,
}

impl NoticedGrants {
    /// Era and process of the notices.
    fn source(&self) -> (Option<Era>, u64) {
        (self.era, self.takeovers)
    }

    /// Number of the newest write.
    fn number(&self) -> u64 {
        self.grants.values().map(|(n, _)| *n).max().unwrap_or(0)
    }

    fn order(&self) -> RowOrder {
        (self.era, self.takeovers, self.number())
    }

    /// Changes `row` of the same VM to what the notices say, as far as they are newer.
    pub(super) fn add_to(&self, row: &mut DaemonRow) {
        let older = self.order() <= row.order();
        if older {
            return;
        }
        if self.source() != (row.era, row.takeovers) {
            (row.process, row.era, row.takeovers) = (self.process, self.era, self.takeovers);
            row.seen = self.seen;
        }
        row.number = self.number();
        for (customer, (_, grant)) in &self.grants {
            row.grants.insert(customer.clone(), *grant);
        }
    }

    /// A row with nothing but what the notices say.
    pub(super) fn row(&self) -> DaemonRow {
        let mut row = DaemonRow::default();
        self.add_to(&mut row);
        row
    }
}

impl Ledger {
    /// The notice of the tokens that could be spent at `now` if another VM knew of them; `None` if there are none. Call
    /// it after each accepted write.
    pub fn take_notice(&mut self, now: Instant) -> Option<GrantNotice> {
        let held_back = self.accounts.iter().filter(|(_, account)| {
            account.write_limit(self.contact, now) > account.witnessed_limit(now)
        });
        let basis = self.contact.unwrap_or(now);
        let own = |grant: Grant| OwnGrant {
            dated: DatedGrant { grant, basis },
            number: self.number,
            at: now,
        };
        let grants: BTreeMap<String, OwnGrant> = held_back
            .map(|(name, account)| (name.clone(), own(account.confirmed)))
            .collect();
        let sent = self.unacknowledged.iter().any(|n| n.number == self.number);
        if grants.is_empty() || sent {
            return None;
        }
        let notice = GrantNotice {
            node: self.node.clone(),
            process: self.process,
            takeovers: self.takeovers,
            number: self.number,
            era: self.era,
            seen: self.store_time.0,
            grants: grants
                .iter()
                .map(|(n, g)| (n.clone(), g.dated.grant))
                .collect(),
        };
        let (number, era) = (self.number, self.era);
        self.unacknowledged.push(OwnNotice {
            number,
            era,
            grants,
        });
        if self.unacknowledged.len() > MAX_UNACKNOWLEDGED {
            self.unacknowledged.remove(0);
        }
        Some(notice)
    }

    /// Records that another VM knows what the own notice of the write `number` says.
    pub fn acknowledge(&mut self, number: u64) {
        let Some(i) = self.unacknowledged.iter().position(|n| n.number == number) else {
            return;
        };
        let notice = self.unacknowledged.remove(i);
        if notice.era != self.era {
            return;
        }
        for (customer, grant) in notice.grants {
            if let Some(account) = self.accounts.get_mut(&customer) {
                account.record_witness(grant);
            }
        }
    }

    /// Records the notice of another daemon.
    pub fn record_notice(&mut self, notice: GrantNotice) {
        let known = self.notices.entry(notice.node).or_default();
        let source = (notice.era, notice.takeovers);
        if source < known.source() {
            return;
        }
        if source > known.source() || known.grants.is_empty() {
            known.grants.clear();
            (known.era, known.takeovers) = source;
            known.seen = notice.seen;
        }
        known.process = notice.process;
        for (customer, grant) in notice.grants {
            let entry = known.grants.entry(customer).or_default();
            if notice.number >= entry.0 {
                *entry = (notice.number, grant);
            }
        }
    }

    /// Forgets the notices of the VM `name` that its `row` contains.
    pub(super) fn forget_notices(&mut self, name: &str, row: &DaemonRow) {
        let Some(known) = self.notices.get_mut(name) else {
            return;
        };
        if known.source() < (row.era, row.takeovers) {
            known.grants.clear();
        } else if known.source() == (row.era, row.takeovers) {
            known.grants.retain(|_, (number, _)| *number > row.number);
        }
        if known.grants.is_empty() {
            self.notices.remove(name);
        }
    }

    /// Addresses of the daemons to which notices are sent, best first: holders, and always the same ones, so that
    /// what they know is complete.
    pub fn witnesses(&self, now: Instant) -> Vec<SocketAddr> {
        let key = fingerprint(&self.node, "", &[]);
        let mut found: Vec<(bool, u64, SocketAddr)> = self
            .running_peers(now)
            .filter_map(|(name, row)| {
                let holds = self.holders.iter().any(|h| h.node == *name);
                Some((holds, rendezvous_weight(key, name), row.peer?))
            })
            .collect();
        found.sort_unstable_by(|a, b| b.cmp(a));
        found.into_iter().map(|(.., address)| address).collect()
    }

    /// Forgets that `customer` is in own notices: the tokens that they tell of were returned.
    pub(super) fn withdraw_notices(&mut self, customer: &str) {
        for notice in &mut self.unacknowledged {
            notice.grants.remove(customer);
        }
    }
}
