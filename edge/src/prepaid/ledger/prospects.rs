//! What a request for tokens can hope for, by the rows that this daemon knows.

use std::{
    cmp::Reverse,
    net::SocketAddr,
    time::Instant, //
};

use super::{
    super::Grant,
    Ledger, //
};

/// Daemons that are not holders and are asked to return tokens, at most: after a loss of all holders, each of hundreds
/// of daemons may have drawn some.
const MAX_RETURNERS: usize = 16;

/// Tokens of a grant that are neither consumed nor reserved by open requests.
fn unused(grant: &Grant) -> u64 {
    grant.cap.saturating_sub(grant.spent + grant.open)
}

impl Ledger {
    /// Tokens of `customer` that have not been consumed or charged. What others consumed since their rows were
    /// read is missing, so it is never too low.
    pub fn unspent(&self, customer: &str) -> u64 {
        let limit = self.limits.get(customer).copied().unwrap_or(0);
        let grants = self
            .peer_rows
            .values()
            .filter_map(|(_, row)| row.grants.get(customer));
        let others: u64 = grants.map(|g| g.spent).sum();
        let own = self.accounts.get(customer).map_or(0, |a| a.spent);
        limit.saturating_sub(others + own)
    }

    /// Tokens of `customer` that requests may get within seconds: those that no open request has reserved, without
    /// those at daemons that have stopped writing their rows.
    pub fn obtainable(&self, customer: &str, now: Instant) -> u64 {
        let rows = self.peer_rows.iter();
        let silent: u64 = rows
            .filter(|(name, _)| self.is_silent(name, now))
            .filter_map(|(_, (_, row))| row.grants.get(customer))
            .map(unused)
            .sum();
        self.remaining(customer).saturating_sub(silent)
    }

    /// Whether the next write can't cover a request of `cost`, because the uncommitted tokens and
    /// the rest of the grant are too few.
    pub fn is_pool_short(&self, customer: &str, cost: u64, now: Instant) -> bool {
        let rest = self.accounts.get(customer).map_or(0, |a| {
            a.write_limit(self.contact, now).saturating_sub(a.used())
        });
        self.free(customer, now) + rest < cost
    }

    /// Addresses of daemons that are not holders but have unused tokens of `customer`, most tokens first.
    pub fn returners_for(&self, customer: &str, now: Instant) -> Vec<SocketAddr> {
        let mut found: Vec<(u64, SocketAddr)> = self
            .peer_rows
            .iter()
            .filter(|(name, _)| !self.holders.iter().any(|h| h.node == **name))
            .filter(|(name, _)| !self.is_silent(name, now))
            .filter_map(|(_, (_, row))| Some((unused(row.grants.get(customer)?), row.peer?)))
            .filter(|(tokens, _)| *tokens > 0)
            .collect();
        found.sort_by_key(|(tokens, address)| (Reverse(*tokens), *address));
        found.truncate(MAX_RETURNERS);
        found.into_iter().map(|(_, address)| address).collect()
    }
}
