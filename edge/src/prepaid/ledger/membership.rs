//! Which daemons hold grants, as this daemon sees it.

use std::{
    net::SocketAddr,
    time::Instant, //
};

use super::{
    super::{
        DaemonRow,
        Member,
        choose_holders,
        rank_holders, //
    },
    Ledger,
};
use crate::decide::rendezvous_weight;

/// Another daemon that is known to run.
#[derive(Clone, Copy, Debug)]
pub struct RunningMember<'a> {
    /// Address for other daemons.
    pub address: SocketAddr,
    /// Data centre.
    pub zone: &'a str,
    /// Processor share of its VM, in thousandths of a core.
    pub capacity: u32,
}

impl Ledger {
    /// Sets the data centre of this VM and its processor share, in thousandths of a core.
    #[must_use]
    pub fn with_place(mut self, zone: &str, capacity: u32) -> Ledger {
        zone.clone_into(&mut self.zone);
        self.capacity = capacity;
        self
    }

    /// Processor share of this VM, in thousandths of a core.
    pub fn capacity(&self) -> u32 {
        self.capacity
    }

    /// Whether this daemon holds grants. A stopping one returns them.
    pub fn is_holder(&self) -> bool {
        !self.leaving && self.holders.iter().any(|h| h.node == self.node)
    }

    /// Whether the holders have been chosen. On a new VM that takes a read of all rows after the first write
    /// of the own one: when all VMs start at once, the others have written theirs by then.
    pub fn knows_holders(&self) -> bool {
        !self.holders.is_empty()
    }

    /// Rank of this daemon in the order in which all choose one for `key`, among those that are known to run,
    /// and their number; `None` if it is stopping.
    pub fn rank_for(&self, key: u64, now: Instant) -> (Option<usize>, usize) {
        let own = rendezvous_weight(key, &self.node);
        let (mut before, mut members) = (0, 1);
        for (name, _) in self.running_peers(now) {
            members += 1;
            before += usize::from(rendezvous_weight(key, name) > own);
        }
        ((!self.leaving).then_some(before), members)
    }

    /// Rows of the other daemons that are known to run, with the names of their VMs.
    pub(super) fn running_peers(
        &self,
        now: Instant,
    ) -> impl Iterator<Item = (&String, &DaemonRow)> {
        self.peer_rows
            .iter()
            .map(|(name, (_, row))| (name, row))
            .filter(move |(name, row)| !row.leaving && !self.is_silent(name, now))
    }

    /// The other daemons that are known to run and can be asked.
    pub fn running_members(&self, now: Instant) -> impl Iterator<Item = RunningMember<'_>> {
        self.running_peers(now).filter_map(|(_, row)| {
            Some(RunningMember {
                address: row.peer?,
                zone: &row.zone,
                capacity: row.capacity,
            })
        })
    }

    /// Names and addresses of the other daemons of this data centre that are known to run, ordered by name.
    pub fn zone_members(&self, now: Instant) -> Vec<(String, SocketAddr)> {
        let others = self
            .running_peers(now)
            .filter(|(_, row)| row.zone == self.zone);
        let mut members: Vec<(String, SocketAddr)> = others
            .filter_map(|(name, row)| Some((name.clone(), row.peer?)))
            .collect();
        members.sort_unstable();
        members
    }

    /// Number of daemons that hold grants.
    pub fn holder_count(&self) -> usize {
        self.holders.len().max(1)
    }

    /// Addresses of the daemons at which tokens of `customer` can be reserved, best first.
    pub fn holders_for(&self, customer: &str) -> Vec<SocketAddr> {
        let mut order = rank_holders(&self.holders, &self.zone, customer);
        order.retain(|address| Some(*address) != self.peer);
        order
    }

    /// Whether this daemon is the holder that the daemons of its data centre ask first for `customer`. Without
    /// addresses none can be asked, and each holder counts as the first.
    pub(super) fn is_preferred_for(&self, customer: &str) -> bool {
        let order = rank_holders(&self.holders, &self.zone, customer);
        order
            .first()
            .is_none_or(|address| Some(*address) == self.peer)
    }

    /// Whether this daemon has grants, so that the age of its row matters.
    pub fn holds_tokens(&self) -> bool {
        self.accounts
            .values()
            .any(|a| a.confirmed.cap > a.spent || !a.uncertain.is_empty())
    }

    /// Whether a previous process has left a row, and so the other VMs have rows too.
    fn replaces_process(&self) -> bool {
        self.version > 0
    }

    /// Chooses the holders among the daemons whose rows were requested at `asked` and received at `received`.
    pub(super) fn update_holders(&mut self, asked: Instant, received: Instant) {
        if !self.owned && !self.replaces_process() {
            return;
        }
        let own = Member {
            node: self.node.clone(),
            zone: self.zone.clone(),
            capacity: self.capacity,
            peer: self.peer,
        };
        let others = self.running_peers(asked).map(|(name, row)| Member {
            node: name.clone(),
            zone: row.zone.clone(),
            capacity: row.capacity,
            peer: row.peer,
        });
        let members: Vec<Member> = others.chain((!self.leaving).then_some(own)).collect();
        let before = self.knows_holders().then_some(self.is_holder());
        self.holders = choose_holders(&members);
        let after = self.is_holder();
        self.holder_since = after.then(|| self.holder_since.unwrap_or(received));
        if before != Some(after) {
            log::info!(
                "event=holder_role holds={after} holders={} members={}",
                self.holders.len(),
                members.len()
            );
        }
    }
}
