//! Seeded simulations of the membership state machine with a simulated clock.

use std::{
    collections::{
        BTreeMap,
        BTreeSet, //
    },
    time::Duration,
};

use cuminloom::{
    model::{
        DaemonId,
        Version, //
    },
    peer::{
        Action,
        Ident,
        Input,
        Membership,
        Message,
        PeerState,
        encode, //
    },
    settings::Peer,
    store::Vm,
};
use rand::{
    RngExt,
    SeedableRng,
    rngs::StdRng, //
};

/// Step of the simulated clock.
const STEP: Duration = Duration::from_millis(100);
/// Most bytes per second that a daemon may send and receive for membership, which is its share of the
/// control overhead.
const MAX_BYTES_PER_S: usize = 22 * 1024;
/// Size of the header and mask of a WebSocket frame of up to 64 KiB.
const FRAMING_BYTES: usize = 8;

/// Simulated fleet whose links deliver each message in the next step.
struct Fleet {
    now: Duration,
    ids: Vec<DaemonId>,
    members: BTreeMap<DaemonId, Membership>,
    idents: BTreeMap<DaemonId, Ident>,
    /// Established links, each with the lower name first.
    links: BTreeSet<(DaemonId, DaemonId)>,
    /// Inputs of the next step.
    inputs: Vec<(DaemonId, Input)>,
    /// Side of the partition of each daemon; empty without a partition.
    sides: BTreeMap<DaemonId, u32>,
    /// Bytes that each daemon has sent and received.
    bytes: BTreeMap<DaemonId, usize>,
    /// Attempts to connect.
    dials: usize,
    /// How often a peer became suspect.
    suspects: usize,
}

/// Identity of a daemon in the data centre `dc-{dc}`.
fn ident(id: &DaemonId, dc: usize) -> Ident {
    Ident {
        id: id.clone(),
        inc: format!("{id}.00000000000000aa").into(),
        dc: format!("dc-{dc}").into(),
        vm: format!("vm-{id}").into(),
        addr: "127.0.0.1:9".parse().unwrap(),
        started: 1_764_000_000_000,
    }
}

impl Fleet {
    /// Starts `daemons` daemons, distributed over `dcs` data centres.
    fn new(daemons: usize, dcs: usize, seed: u64) -> Self {
        let ids: Vec<DaemonId> = (0..daemons).map(|n| format!("d{n:03}").into()).collect();
        let idents: BTreeMap<_, _> = ids
            .iter()
            .enumerate()
            .map(|(n, id)| (id.clone(), ident(id, n % dcs)))
            .collect();
        let peers: Vec<Peer> = idents
            .values()
            .map(|ident| Peer {
                id: ident.id.clone(),
                addr: ident.addr,
                dc: ident.dc.clone(),
            })
            .collect();
        let start = |(n, id): (usize, &DaemonId)| {
            let me = idents[id].clone();
            let seed = seed * 1000 + n as u64;
            (
                id.clone(),
                Membership::new(Duration::ZERO, me, &peers, seed),
            )
        };
        Self {
            now: Duration::ZERO,
            members: ids.iter().enumerate().map(start).collect(),
            ids,
            idents,
            links: BTreeSet::new(),
            inputs: Vec::new(),
            sides: BTreeMap::new(),
            bytes: BTreeMap::new(),
            dials: 0,
            suspects: 0,
        }
    }

    /// Whether the partition separates two daemons.
    fn is_partitioned(&self, a: &DaemonId, b: &DaemonId) -> bool {
        self.sides.get(a) != self.sides.get(b)
    }

    /// Key of a link in `links`.
    fn link(&self, a: &DaemonId, b: &DaemonId) -> (DaemonId, DaemonId) {
        (a.min(b).clone(), a.max(b).clone())
    }

    /// Executes an action of the daemon `me`.
    fn execute(&mut self, me: &DaemonId, action: Action) {
        match action {
            Action::Dial { peer, .. } => {
                self.dials += 1;
                let link = self.link(me, &peer);
                if self.is_partitioned(me, &peer) {
                    self.inputs.push((me.clone(), Input::Lost { peer }));
                    return;
                }
                self.links.insert(link);
                for (at, other, dialled) in [(me, &peer, true), (&peer, me, false)] {
                    let ident = self.idents[other].clone();
                    self.inputs
                        .push((at.clone(), Input::Linked { ident, dialled }));
                }
            }
            Action::Close { peer } => {
                let link = self.link(me, &peer);
                if self.links.remove(&link) {
                    let peer_lost = Input::Lost { peer: me.clone() };
                    self.inputs.push((peer, peer_lost));
                }
            }
            Action::Heartbeat { to, beat } => {
                let size = encode(&Message::<()>::Heartbeat(beat.clone())).len();
                for peer in to {
                    let (from, beat) = (me.clone(), beat.clone());
                    self.deliver(me, peer, size, Input::Heartbeat { from, beat });
                }
            }
            Action::Versions { to, entries } => {
                let size = encode(&Message::<()>::Versions(entries.clone())).len();
                let from = me.clone();
                self.deliver(me, to, size, Input::Versions { from, entries });
            }
            Action::State { state, .. } => {
                self.suspects += usize::from(state == PeerState::Suspect)
            }
        }
    }

    /// Counts a message and delivers it if the link is established and not partitioned.
    fn deliver(&mut self, from: &DaemonId, to: DaemonId, size: usize, input: Input) {
        *self.bytes.entry(from.clone()).or_default() += size + FRAMING_BYTES;
        *self.bytes.entry(to.clone()).or_default() += size + FRAMING_BYTES;
        if self.links.contains(&self.link(from, &to)) && !self.is_partitioned(from, &to) {
            self.inputs.push((to, input));
        }
    }

    /// Runs the fleet for `time`.
    fn run(&mut self, time: Duration) {
        let end = self.now + time;
        while self.now < end {
            self.now += STEP;
            for (to, input) in std::mem::take(&mut self.inputs) {
                let members = self.members.get_mut(&to).unwrap();
                members.handle(self.now, input);
            }
            for id in self.ids.clone() {
                let actions = self.members.get_mut(&id).unwrap().poll(self.now);
                for action in actions {
                    self.execute(&id, action);
                }
            }
        }
    }

    /// Puts `version` in force at each daemon within 2 s, the interval at which daemons poll the store.
    fn roll_out(&mut self, version: Version, rng: &mut StdRng) {
        for _ in 0..20 {
            for id in self.ids.clone() {
                if rng.random_ratio(1, 4) {
                    self.set(&id, version);
                }
            }
            self.run(STEP);
        }
        for id in self.ids.clone() {
            self.set(&id, version);
        }
    }

    /// Puts `version` in force at one daemon.
    fn set(&mut self, id: &DaemonId, version: Version) {
        let members = self.members.get_mut(id).unwrap();
        members.handle(self.now, Input::Config(version));
    }

    /// Number of pairs of daemons of which the first does not know that the second has `version`.
    fn count_missing(&self, version: Version) -> usize {
        let known = |members: &Membership| {
            let versions = members.versions().iter();
            versions.filter(|(_, found)| *found == version).count()
        };
        let all = self.members.values();
        all.map(|members| self.ids.len() - known(members)).sum()
    }

    /// Highest number of links of a daemon, and highest number of bytes that a daemon sent and received.
    fn max_load(&self) -> (usize, usize) {
        let links = |members: &Membership| {
            let peers = members.peers().values();
            peers.filter(|view| view.is_linked()).count()
        };
        (
            self.members.values().map(links).max().unwrap(),
            self.bytes.values().copied().max().unwrap_or(0),
        )
    }
}

/// Guards against a cost per daemon that grows with the fleet, and against versions that are not known
/// to all daemons within 7 s. 340 daemons in 21 data centres are the target size.
#[test]
fn cost_stays_flat_and_versions_converge() {
    for (daemons, dcs, seed) in [(7, 4, 1), (340, 21, 2)] {
        let mut rng = StdRng::seed_from_u64(seed);
        let mut fleet = Fleet::new(daemons, dcs, seed);
        fleet.run(Duration::from_secs(7));
        assert_eq!(
            fleet.count_missing(0),
            0,
            "{daemons} daemons after their start"
        );
        // One change per minute, nearly the target of 1,500 changes a day.
        fleet.bytes.clear();
        fleet.roll_out(7, &mut rng);
        fleet.run(Duration::from_secs(5));
        assert_eq!(
            fleet.count_missing(7),
            0,
            "{daemons} daemons after a change"
        );
        fleet.run(Duration::from_secs(53));
        let (links, bytes) = fleet.max_load();
        // The number of links dialled by daemons of other data centres varies with the hash; 12 is far
        // above its mean of 2.
        assert!(links <= daemons.div_ceil(dcs) - 1 + 2 + 12, "{links} links");
        assert!(bytes <= 60 * MAX_BYTES_PER_S, "{} bytes/s", bytes / 60);
        assert_eq!(fleet.suspects, 0);
    }
}

/// Guards against a fleet that stays divided after a partition has healed, and against a daemon that
/// dials the whole fleet while it is partitioned.
#[test]
fn partitions_heal() {
    for (daemons, dcs, seed) in [(7, 4, 4), (340, 21, 5)] {
        let mut rng = StdRng::seed_from_u64(seed);
        let mut fleet = Fleet::new(daemons, dcs, seed);
        fleet.run(Duration::from_secs(7));
        for (n, id) in fleet.ids.iter().enumerate() {
            // The first data centre is alone; the others form two groups.
            let dc = n % dcs;
            let side = if dc == 0 { 0 } else { 1 + dc as u32 % 2 };
            fleet.sides.insert(id.clone(), side);
        }
        fleet.run(Duration::from_secs(10));
        assert!(fleet.suspects > 0);
        fleet.dials = 0;
        fleet.roll_out(9, &mut rng);
        fleet.run(Duration::from_secs(28));
        // Two preferred peers and two substitutes, each dialled at most once a second.
        assert!(
            fleet.dials <= 30 * 4 * daemons,
            "{} dials in 30 s",
            fleet.dials
        );
        fleet.sides.clear();
        fleet.run(Duration::from_secs(7));
        assert_eq!(
            fleet.count_missing(9),
            0,
            "{daemons} daemons after the partition"
        );
    }
}

/// Guards against on-demand links that are never closed, and against links to other data centres that
/// still lead to peers on leaving VMs.
#[test]
fn links_on_demand_close_and_leaving_peers_are_passed_over() {
    let mut fleet = Fleet::new(40, 8, 6);
    fleet.run(Duration::from_secs(7));
    let me = fleet.ids[0].clone();
    let linked = |fleet: &Fleet, to: &DaemonId| fleet.members[&me].peers()[to].is_linked();
    let far = fleet
        .ids
        .iter()
        .find(|id| **id != me && !linked(&fleet, id))
        .unwrap()
        .clone();
    let want = Input::LinkNeeded { peer: far.clone() };
    let now = fleet.now;
    fleet.members.get_mut(&me).unwrap().handle(now, want);
    fleet.run(Duration::from_millis(300));
    assert!(linked(&fleet, &far));
    fleet.run(Duration::from_secs(31));
    assert!(!linked(&fleet, &far));

    let own_dc = fleet.idents[&me].dc.clone();
    let idents = fleet.idents.clone();
    let is_far = |id: &&DaemonId| idents[*id].dc != own_dc;
    let leaving: BTreeSet<DaemonId> = fleet
        .ids
        .iter()
        .filter(is_far)
        .filter(|id| linked(&fleet, id))
        .cloned()
        .collect();
    let vms = fleet.idents.values().map(|ident| Vm {
        name: ident.vm.clone(),
        dc: ident.dc.clone(),
        leaving: leaving.contains(&ident.id),
    });
    let vms = Input::Vms(vms.collect());
    for id in fleet.ids.clone() {
        let now = fleet.now;
        fleet.members.get_mut(&id).unwrap().handle(now, vms.clone());
    }
    fleet.run(Duration::from_secs(3));
    let others = fleet.ids.iter().filter(is_far);
    let fresh = others.filter(|id| !leaving.contains(*id) && linked(&fleet, id));
    assert!(fresh.count() >= 2);
}
