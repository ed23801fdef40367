//! Passes the load reports of runners on to other daemons of the data centre.

use std::{
    net::SocketAddr,
    rc::Rc,
    time::{
        Duration,
        Instant, //
    },
};

use tokio::time::sleep;

use crate::serve::Core;

/// Pause between two messages. With up to 16 reports of 25 bytes in each, a daemon sends and receives about
/// 3 KB/s, whatever the number of daemons.
const PASS_PAUSE: Duration = Duration::from_millis(150);

/// Places in the order of the data centre's daemons to which messages go in turn. Few connections stay open,
/// and a report that is passed on again reaches each of 85 daemons in at most six steps.
const HOPS: [usize; 4] = [1, 4, 11, 19];

/// Passes the newest load reports on to one daemon after another.
pub async fn pass_loads<D: 'static>(core: Rc<Core<D>>) {
    let mut turn = 0;
    loop {
        sleep(PASS_PAUSE).await;
        let now = Instant::now();
        let loads = core.loads_to_pass(now);
        if loads.is_empty() {
            continue;
        }
        turn += 1;
        let members = core.ledger.borrow().zone_members(now);
        if let Some(address) = choose_partner(&members, &core.node, turn) {
            core.peer_link(address).pass_loads(loads, now);
        }
    }
}

/// The daemon of `members`, ordered by name, that gets the message number `turn` of `own`; `None` if there is
/// no other.
///
/// # Examples
///
/// ```
/// use cuminloom_edge::fleet::choose_partner;
///
/// let members = [("b".to_owned(), "127.0.0.1:1".parse().unwrap())];
/// assert_eq!(choose_partner(&members, "a", 5), Some(members[0].1));
/// assert_eq!(choose_partner(&[], "a", 5), None);
/// ```
pub fn choose_partner(
    members: &[(String, SocketAddr)],
    own: &str,
    turn: usize,
) -> Option<SocketAddr> {
    let after = members.partition_point(|(name, _)| name.as_str() < own);
    let hop = HOPS[turn % HOPS.len()] - 1;
    let index = (after + hop).checked_rem(members.len())?;
    members.get(index).map(|(_, address)| *address)
}
