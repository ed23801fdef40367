//! Choice of the daemons that hold grants.
//!
//! With many daemons, a grant for each of them would be too small for one large prompt, and all of them
//! would write the same customers' rows. So only a few daemons of each data centre, the *holders*, hold
//! grants; the others reserve tokens at a holder for each request. Daemons whose views differ for a while
//! choose different holders, which costs tokens in more places but is safe.

use std::{
    cmp::Reverse,
    collections::BTreeMap,
    net::SocketAddr, //
};

use crate::decide::{
    fingerprint,
    rendezvous_weight, //
};

/// Number of holders over all data centres, if there are as many daemons.
const MIN_HOLDERS: usize = 8;

/// Minimum number of holders in each data centre, so that one may fail.
const MIN_ZONE_HOLDERS: usize = 2;

/// A daemon as far as the choice of the holders depends on it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Member {
    /// Name of the VM.
    pub node: String,
    /// Data centre.
    pub zone: String,
    /// Processor share of the VM, in thousandths of a core.
    pub capacity: u32,
    /// Address for other daemons.
    pub peer: Option<SocketAddr>,
}

/// Chooses the holders among `members`: in each data centre the VMs with the largest processor share.
///
/// # Examples
///
/// ```
/// use cuminloom_edge::prepaid::{Member, choose_holders};
///
/// let member = |node: &str, capacity| Member {
///     node: node.into(),
///     zone: "z-1".into(),
///     capacity,
///     peer: None,
/// };
/// let mut members: Vec<Member> = (0..20).map(|i| member(&format!("vm-{i}"), 120)).collect();
/// members.push(member("large", 500));
/// let holders = choose_holders(&members);
/// assert_eq!(holders.len(), 8);
/// assert!(holders.iter().any(|h| h.node == "large"));
/// ```
pub fn choose_holders(members: &[Member]) -> Vec<Member> {
    let mut zones: BTreeMap<&str, Vec<&Member>> = BTreeMap::new();
    for member in members {
        zones.entry(&member.zone).or_default().push(member);
    }
    let per_zone = MIN_HOLDERS
        .div_ceil(zones.len().max(1))
        .max(MIN_ZONE_HOLDERS);
    let mut holders = Vec::new();
    for mut list in zones.into_values() {
        list.sort_by_key(|m| (Reverse(m.capacity), fingerprint(&m.node, "", &[])));
        holders.extend(list.into_iter().take(per_zone).cloned());
    }
    holders
}

/// Orders `holders` by preference for `customer` at a daemon in `zone`: those in the same data centre
/// first. All daemons of a data centre prefer the same one, so that a customer's tokens are in few places.
pub fn rank_holders(holders: &[Member], zone: &str, customer: &str) -> Vec<SocketAddr> {
    let key = fingerprint(customer, "", &[]);
    let mut order: Vec<&Member> = holders.iter().filter(|h| h.peer.is_some()).collect();
    order.sort_by_key(|h| (h.zone != zone, Reverse(rendezvous_weight(key, &h.node))));
    order.into_iter().filter_map(|h| h.peer).collect()
}
