//! Which daemons are asked by one that lost the store, against rows of machines that are gone.

use std::{
    collections::HashMap,
    net::SocketAddr, //
};

use super::rendezvous_weight;

/// Rounds for which a daemon that did not reply is asked only after those that may.
const FAILED_ROUNDS: u64 = 3;

/// What is known of the daemon at an address.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum PeerStanding {
    /// Its row is one of the newest.
    Newest,
    /// Its row was written recently.
    Running,
    /// The settings name it.
    Seed,
    /// Its row is old, or says that it is stopping.
    Gone,
}

/// Chooses the daemons to ask, round by round.
///
/// # Examples
///
/// ```
/// use cuminloom_edge::decide::{PeerChoice, PeerStanding};
///
/// let [own, gone, runs] = [1, 2, 3].map(|port| ([127, 0, 0, 1], port).into());
/// let known = [(gone, PeerStanding::Gone), (runs, PeerStanding::Running)];
/// let mut choice = PeerChoice::default();
/// assert_eq!(choice.choose(own, &known, 1), [runs]);
/// ```
#[derive(Debug, Default)]
pub struct PeerChoice {
    round: u64,
    /// Round in which a daemon last did not reply.
    failed: HashMap<SocketAddr, u64>,
}

impl PeerChoice {
    /// Starts a round and returns up to `count` of the daemons `known`, other than `own`. Each round takes other
    /// ones of equal standing, and each daemon begins with different ones.
    pub fn choose(
        &mut self,
        own: SocketAddr,
        known: &[(SocketAddr, PeerStanding)],
        count: usize,
    ) -> Vec<SocketAddr> {
        self.round += 1;
        let round = self.round;
        self.failed.retain(|_, at| *at + FAILED_ROUNDS >= round);
        let mut standings: HashMap<SocketAddr, PeerStanding> = HashMap::new();
        for (address, standing) in known.iter().filter(|(a, _)| *a != own) {
            let best = standings.entry(*address).or_insert(*standing);
            *best = (*best).min(*standing);
        }
        let mut groups: [Vec<SocketAddr>; 4] = Default::default();
        for (address, standing) in standings {
            groups[self.group(address, standing)].push(address);
        }
        let (candidates, gone) = (groups[0].len() + groups[1].len(), groups[3].len());
        for group in &mut groups {
            group.sort_by_key(|a| (rendezvous_weight(0, &format!("{own}/{a}")), *a));
            let turn = round as usize * count % group.len().max(1);
            group.rotate_left(turn);
        }
        // One place is left for the others, so that hundreds of daemons don't ask the same few only.
        let [mut newest, running, failed, gone_rows] = groups;
        let later = newest.split_off(newest.len().min(count.saturating_sub(1)));
        let mut list = [newest, running, later, failed, gone_rows].concat();
        // If none of those that run replies, what is known of the others may be wrong.
        if candidates == 0 && gone > 0 && count > 1 && list.len() > count {
            let first_gone = list.len() - gone;
            list.swap(count - 1, first_gone.max(count - 1));
        }
        list.truncate(count);
        list
    }

    /// Records whether the daemon at `address` replied in this round.
    pub fn record(&mut self, address: SocketAddr, replied: bool) {
        if replied {
            self.failed.remove(&address);
        } else {
            self.failed.insert(address, self.round);
        }
    }

    /// Order in which daemons are asked: those with the newest rows, those that run or are seeds, the ones of these
    /// that did not reply, others.
    fn group(&self, address: SocketAddr, standing: PeerStanding) -> usize {
        match standing {
            PeerStanding::Gone => 3,
            _ if self.failed.contains_key(&address) => 2,
            PeerStanding::Newest => 0,
            PeerStanding::Running | PeerStanding::Seed => 1,
        }
    }
}
