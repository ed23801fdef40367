//! Membership: which daemons there are, which links to keep, who is suspect.

use std::{cmp::Reverse, collections::BTreeMap, net::SocketAddr, sync::Arc, time::Duration};

use rand::{
    RngExt,
    SeedableRng,
    rngs::StdRng, //
};

use super::{
    message::{
        Heartbeat,
        Ident, //
        VersionEntry,
    },
    rendezvous_weight,
    versions::Versions,
    view::{
        Action,
        Input,
        Link,
        PeerState,
        PeerView, //
    },
};
use crate::{
    model::{
        DaemonId,
        DataCentre,
        Version, //
    },
    settings::Peer,
};

/// Time between heartbeats, and between gossip messages over a link.
const HEARTBEAT: Duration = Duration::from_millis(500);
/// Silence after which a peer is suspect and its link is closed.
const SUSPECT: Duration = Duration::from_secs(3);
/// Links that a daemon keeps to other data centres.
const FAR_LINKS: usize = 2;
/// First and longest pause before a dropped link is dialled again. The longest one leaves time for
/// versions to spread within 7 s after a partition has healed.
const RETRY_MIN: Duration = Duration::from_millis(200);
const RETRY_MAX: Duration = Duration::from_secs(2);
/// Time for which a candidate that did not answer is passed over when a preferred link is down.
const PASS_OVER: Duration = Duration::from_secs(30);
/// Head start of the daemon with the lower name, so that two daemons seldom dial each other at once.
const YIELD: Duration = Duration::from_millis(1500);
/// Time after its last use for which a link that was opened on demand is kept.
const ON_DEMAND: Duration = Duration::from_secs(30);
/// Time between repetitions of some versions to one peer.
const REPEAT: Duration = Duration::from_secs(1);
/// Daemons that are known at most; greetings of further unknown ones are not kept.
const MAX_PEERS: usize = 2048;

/// The membership machine of one daemon.
#[derive(Debug)]
pub struct Membership {
    me: Ident,
    peers: BTreeMap<DaemonId, PeerView>,
    /// Peers in other data centres, the preferred ones first.
    far: Vec<DaemonId>,
    versions: Versions,
    vms: Option<BTreeMap<Arc<str>, bool>>,
    config: Version,
    stopping: bool,
    beat_at: Duration,
    repeat_at: Duration,
    rng: StdRng,
    states: Vec<Action>,
}

impl Membership {
    /// Starts with the peers of the settings.
    ///
    /// # Examples
    ///
    /// ```
    /// use cuminloom::peer::{Ident, Membership};
    /// use std::time::Duration;
    /// let me = Ident {
    ///     id: "vm-1".into(),
    ///     inc: "vm-1.0".into(),
    ///     dc: "east".into(),
    ///     vm: "vm-1".into(),
    ///     addr: "127.0.0.1:1".parse().unwrap(),
    ///     started: 1,
    /// };
    /// let mut members = Membership::new(Duration::ZERO, me, &[], 7);
    /// assert!(members.poll(Duration::ZERO).is_empty());
    /// ```
    pub fn new(now: Duration, me: Ident, peers: &[Peer], seed: u64) -> Self {
        let mut members = Self {
            me,
            peers: BTreeMap::new(),
            far: Vec::new(),
            versions: Versions::default(),
            vms: None,
            config: 0,
            stopping: false,
            beat_at: now,
            repeat_at: now,
            rng: StdRng::seed_from_u64(seed),
            states: Vec::new(),
        };
        members.learn_own();
        for peer in peers {
            members.add(now, &peer.id, &peer.dc, peer.addr);
        }
        members
    }

    fn add(&mut self, now: Duration, id: &DaemonId, dc: &DataCentre, addr: SocketAddr) {
        let is_full = self.peers.len() >= MAX_PEERS;
        if *id == self.me.id || is_full || self.peers.contains_key(id) {
            return;
        }
        let view = PeerView {
            dc: dc.clone(),
            inc: None,
            vm: None,
            state: PeerState::Unknown,
            leaving: false,
            last_heartbeat: None,
            addr,
            is_near: *dc == self.me.dc,
            is_wanted: false,
            weight: rendezvous_weight(&self.me.id, id),
            started: 0,
            link: Link::Down,
            stopping: false,
            since: now,
            failures: 0,
            failed: None,
            retry_at: if *id < self.me.id { now + YIELD } else { now },
            wanted_until: Duration::ZERO,
        };
        self.peers.insert(id.clone(), view);
        self.sort_far();
    }

    fn sort_far(&mut self) {
        let others = self.peers.iter().filter(|(_, view)| !view.is_near);
        let mut far: Vec<_> = others
            .map(|(id, view)| (Reverse(view.weight), id.clone()))
            .collect();
        far.sort_unstable();
        self.far = far.into_iter().map(|(_, id)| id).collect();
    }

    fn learn_own(&mut self) {
        let own = VersionEntry {
            id: self.me.id.clone(),
            started: self.me.started,
            version: self.config,
        };
        self.versions.learn(None, &own);
    }

    /// Handles an input.
    ///
    /// # Examples
    ///
    /// ```no_run
    /// use cuminloom::peer::{Input, Membership};
    /// # let (mut members, now): (Membership, _) = todo!();
    /// members.handle(now, Input::Config(7));
    /// ```
    pub fn handle(&mut self, now: Duration, input: Input) {
        match input {
            Input::Linked { ident, dialled } => self.linked(now, ident, dialled),
            Input::Lost { peer } => self.lost(now, &peer),
            Input::Heartbeat { from, beat } => self.heartbeat(now, &from, beat),
            Input::Versions { from, entries } => {
                for entry in entries {
                    let is_known = self.peers.contains_key(&entry.id);
                    if entry.id != self.me.id && (is_known || self.may_learn()) {
                        self.versions.learn(Some(&from), &entry);
                    }
                }
            }
            Input::LinkNeeded { peer } => {
                if let Some(view) = self.peers.get_mut(&peer) {
                    view.wanted_until = now + ON_DEMAND;
                }
            }
            Input::Vms(vms) => {
                let listed = vms.into_iter().map(|vm| (vm.name, vm.leaving));
                self.vms = Some(listed.collect());
                let ids: Vec<_> = self.peers.keys().cloned().collect();
                ids.iter().for_each(|id| self.mark_leaving(id));
            }
            Input::Config(version) => {
                self.config = self.config.max(version);
                self.learn_own();
            }
            Input::Stopping => self.stopping = true,
            Input::Restarted(inc) => self.me.inc = inc,
        }
    }

    /// Whether there is room for versions of daemons that the settings don't name.
    fn may_learn(&self) -> bool {
        self.versions.iter().count() < MAX_PEERS
    }

    fn linked(&mut self, now: Duration, ident: Ident, dialled: bool) {
        self.add(now, &ident.id, &ident.dc, ident.addr);
        let Some(view) = self.peers.get_mut(&ident.id) else {
            return;
        };
        view.link = Link::Up { dialled };
        view.inc = Some(ident.inc);
        view.vm = Some(ident.vm);
        view.started = ident.started;
        view.stopping = false;
        view.failures = 0;
        view.failed = None;
        self.versions.link(&ident.id, view.is_near);
        self.hear(now, &ident.id);
        self.mark_leaving(&ident.id);
    }

    fn hear(&mut self, now: Duration, id: &DaemonId) {
        let Some(view) = self.peers.get_mut(id) else {
            return;
        };
        view.last_heartbeat = Some(now);
        set_state(&mut self.states, id, view, PeerState::Alive);
    }

    fn lost(&mut self, now: Duration, id: &DaemonId) {
        let Some(view) = self.peers.get_mut(id) else {
            return;
        };
        view.link = Link::Down;
        view.failed = Some(now);
        let pause = (RETRY_MIN * 2u32.saturating_pow(view.failures.min(16))).min(RETRY_MAX);
        view.failures += 1;
        // Half of the pause is random, so that a whole rack does not come back at once.
        view.retry_at = now + pause / 2 + pause.mul_f64(self.rng.random_range(0.0..0.5));
        self.versions.unlink(id);
    }

    fn heartbeat(&mut self, now: Duration, from: &DaemonId, beat: Heartbeat) {
        let Some(view) = self.peers.get_mut(from).filter(|view| view.is_linked()) else {
            return;
        };
        view.inc = Some(beat.inc);
        view.stopping = beat.stopping;
        view.vm = Some(beat.vm);
        let entry = VersionEntry {
            id: from.clone(),
            started: view.started,
            version: beat.config,
        };
        self.versions.learn(Some(from), &entry);
        self.hear(now, from);
        self.mark_leaving(from);
    }

    /// A peer is leaving when it says so, or when its VM is leaving or gone from the list.
    fn mark_leaving(&mut self, id: &DaemonId) {
        if let Some(view) = self.peers.get_mut(id) {
            let listed = match (&self.vms, &view.vm) {
                (Some(vms), Some(vm)) => vms.get(vm).is_none_or(|is_leaving| *is_leaving),
                _ => false,
            };
            view.leaving = view.stopping || listed;
        }
    }

    /// Does what time asks for; call it at least every 100 ms.
    ///
    /// # Examples
    ///
    /// ```no_run
    /// # let (mut members, now): (cuminloom::peer::Membership, _) = todo!();
    /// for action in members.poll(now) {
    ///     println!("{action:?}");
    /// }
    /// ```
    pub fn poll(&mut self, now: Duration) -> Vec<Action> {
        self.mark_wanted(now);
        let mut actions = self.check_links(now);
        actions.append(&mut self.states);
        if now >= self.beat_at {
            self.beat_at = now + HEARTBEAT;
            self.send_beats(now, &mut actions);
        }
        actions
    }

    /// Marks the links to keep: the own data centre, the preferred ones elsewhere, a substitute for
    /// each of these that is down, and those opened on demand.
    fn mark_wanted(&mut self, now: Duration) {
        for view in self.peers.values_mut() {
            let is_gone = view.leaving && !view.is_linked();
            view.is_wanted = view.wanted_until > now || (view.is_near && !is_gone);
        }
        let (mut preferred, mut missing) = (0, 0);
        for id in &self.far {
            let view = self.peers.get_mut(id).expect("lists peers");
            if view.leaving {
                continue;
            } else if preferred < FAR_LINKS {
                preferred += 1;
                missing += usize::from(view.failed.is_some());
            } else if missing == 0 {
                return;
            } else if view.failed.is_some_and(|at| now < at + PASS_OVER) {
                continue;
            } else {
                missing -= 1;
            }
            view.is_wanted = true;
        }
    }

    fn check_links(&mut self, now: Duration) -> Vec<Action> {
        let mut actions = Vec::new();
        let mut silent = Vec::new();
        for (id, view) in &mut self.peers {
            let is_silent = view.silent(now) >= SUSPECT;
            if is_silent && (view.is_wanted || view.is_linked()) {
                set_state(&mut self.states, id, view, PeerState::Suspect);
            } else if !view.is_wanted && !view.is_linked() {
                set_state(&mut self.states, id, view, PeerState::Unknown);
            }
            match view.link {
                Link::Down if view.is_wanted && now >= view.retry_at => {
                    view.link = Link::Dialling;
                    let (peer, addr) = (id.clone(), view.addr);
                    actions.push(Action::Dial { peer, addr });
                }
                Link::Up { dialled } if is_silent || (dialled && !view.is_wanted) => {
                    silent.push((id.clone(), is_silent));
                }
                _ => {}
            }
        }
        for (peer, is_silent) in silent {
            self.lost(now, &peer);
            if !is_silent && let Some(view) = self.peers.get_mut(&peer) {
                view.failed = None;
                view.failures = 0;
            }
            actions.push(Action::Close { peer });
        }
        actions
    }

    fn send_beats(&mut self, now: Duration, actions: &mut Vec<Action>) {
        let linked = self.peers.iter().filter(|(_, view)| view.is_linked());
        let to: Vec<_> = linked.map(|(id, _)| id.clone()).collect();
        if to.is_empty() {
            return;
        }
        if now >= self.repeat_at {
            self.repeat_at = now + REPEAT;
            let peer = &to[self.rng.random_range(0..to.len())];
            self.versions.repeat(peer);
        }
        for peer in &to {
            if let Some(entries) = self.versions.take(peer) {
                let to = peer.clone();
                actions.push(Action::Versions { to, entries });
            }
        }
        let beat = Heartbeat {
            inc: self.me.inc.clone(),
            dc: self.me.dc.clone(),
            vm: self.me.vm.clone(),
            config: self.config,
            stopping: self.stopping,
        };
        actions.push(Action::Heartbeat { to, beat });
    }

    /// The other daemons.
    ///
    /// # Examples
    ///
    /// ```no_run
    /// # let members: cuminloom::peer::Membership = todo!();
    /// let linked = members.peers().values().filter(|view| view.is_linked());
    /// println!("{} links", linked.count());
    /// ```
    pub fn peers(&self) -> &BTreeMap<DaemonId, PeerView> {
        &self.peers
    }

    /// The configuration versions in force, as far as they are known.
    ///
    /// # Examples
    ///
    /// ```no_run
    /// # let members: cuminloom::peer::Membership = todo!();
    /// let behind = members.versions().iter().filter(|(_, version)| *version < 7);
    /// println!("{} daemons have not confirmed version 7", behind.count());
    /// ```
    pub fn versions(&self) -> &Versions {
        &self.versions
    }
}

fn set_state(states: &mut Vec<Action>, id: &DaemonId, view: &mut PeerView, state: PeerState) {
    if view.state != state {
        view.state = state;
        let peer = id.clone();
        states.push(Action::State { peer, state });
    }
}
