//! Membership state machine: which daemons exist, which links to keep and which peers are suspect.

use std::{cmp::Reverse, collections::BTreeMap, net::SocketAddr, sync::Arc, time::Duration};

use rand::{
    RngExt,
    SeedableRng,
    rngs::StdRng, //
};

use super::{
    message::{
        Heartbeat,
        Ident,
        VersionEntry, //
    },
    rendezvous_weight,
    versions::Versions,
    view::{
        Action,
        Input,
        LinkState,
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

/// Interval between heartbeats, and between gossip messages over a link.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(500);
/// Time without a heartbeat after which a peer is suspect and its link is closed.
const SUSPECT_TIMEOUT: Duration = Duration::from_secs(3);
/// Number of links that a daemon keeps to other data centres.
const REMOTE_LINKS: usize = 2;
/// Delay before a lost link is dialled again for the first time.
const MIN_RETRY_DELAY: Duration = Duration::from_millis(200);
/// Longest delay before a lost link is dialled again; it leaves time for versions to spread within
/// 7 s after a partition has healed.
const MAX_RETRY_DELAY: Duration = Duration::from_secs(2);
/// Time for which a peer that did not answer is not chosen as the substitute of a preferred peer.
const FAILURE_BACKOFF: Duration = Duration::from_secs(30);
/// Time by which the daemon with the lower name dials first, so that two daemons seldom dial each
/// other at once.
const DIAL_HEAD_START: Duration = Duration::from_millis(1500);
/// Time for which a link that was opened on demand is kept after its last use.
const ON_DEMAND_TTL: Duration = Duration::from_secs(30);
/// Interval at which some versions are repeated to a random peer.
const REPEAT_INTERVAL: Duration = Duration::from_secs(1);
/// Most peers that are known; further unknown daemons that connect are ignored.
const MAX_PEERS: usize = 2048;

/// The membership state machine of one daemon. It does no I/O: it takes [`Input`]s and returns
/// [`Action`]s.
#[derive(Debug)]
pub struct Membership {
    me: Ident,
    peers: BTreeMap<DaemonId, PeerView>,
    /// Peers in other data centres, in order of preference.
    remote: Vec<DaemonId>,
    versions: Versions,
    /// The platform's list of VMs, once known, and whether each VM is leaving.
    vms: Option<BTreeMap<Arc<str>, bool>>,
    /// Configuration version that this daemon has in force.
    config: Version,
    stopping: bool,
    /// When the next heartbeat is due.
    heartbeat_at: Duration,
    /// When the next repetition of versions is due.
    repeat_at: Duration,
    rng: StdRng,
    /// Changes of peer states that [`Membership::poll`] has not returned yet.
    state_changes: Vec<Action>,
}

impl Membership {
    /// Creates the state machine with the peers of the settings.
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
            remote: Vec::new(),
            versions: Versions::default(),
            vms: None,
            config: 0,
            stopping: false,
            heartbeat_at: now,
            repeat_at: now,
            rng: StdRng::seed_from_u64(seed),
            state_changes: Vec::new(),
        };
        members.record_own_version();
        for peer in peers {
            members.add(now, &peer.id, &peer.dc, peer.addr);
        }
        members
    }

    /// Adds a peer unless it is known already or there are [`MAX_PEERS`].
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
            same_dc: *dc == self.me.dc,
            is_needed: false,
            weight: rendezvous_weight(&self.me.id, id),
            started: 0,
            link: LinkState::Down,
            stopping: false,
            silent_since: now,
            failures: 0,
            last_failure: None,
            retry_at: if *id < self.me.id {
                now + DIAL_HEAD_START
            } else {
                now
            },
            needed_until: Duration::ZERO,
        };
        self.peers.insert(id.clone(), view);
        self.sort_remote();
    }

    /// Orders the peers in other data centres by preference.
    fn sort_remote(&mut self) {
        let others = self.peers.iter().filter(|(_, view)| !view.same_dc);
        let mut far: Vec<_> = others
            .map(|(id, view)| (Reverse(view.weight), id.clone()))
            .collect();
        far.sort_unstable();
        self.remote = far.into_iter().map(|(_, id)| id).collect();
    }

    /// Records the version of this daemon for gossip.
    fn record_own_version(&mut self) {
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
            Input::Linked { ident, dialled } => self.on_linked(now, ident, dialled),
            Input::Lost { peer } => self.on_lost(now, &peer),
            Input::Heartbeat { from, beat } => self.on_heartbeat(now, &from, beat),
            Input::Versions { from, entries } => {
                for entry in entries {
                    let is_known = self.peers.contains_key(&entry.id);
                    if entry.id != self.me.id && (is_known || self.has_room()) {
                        self.versions.learn(Some(&from), &entry);
                    }
                }
            }
            Input::LinkNeeded { peer } => {
                if let Some(view) = self.peers.get_mut(&peer) {
                    view.needed_until = now + ON_DEMAND_TTL;
                }
            }
            Input::Vms(vms) => {
                let listed = vms.into_iter().map(|vm| (vm.name, vm.leaving));
                self.vms = Some(listed.collect());
                let ids: Vec<_> = self.peers.keys().cloned().collect();
                ids.iter().for_each(|id| self.update_leaving(id));
            }
            Input::Config(version) => {
                self.config = self.config.max(version);
                self.record_own_version();
            }
            Input::Stopping => self.stopping = true,
            Input::Restarted(inc) => self.me.inc = inc,
        }
    }

    /// Whether there is room for versions of daemons that are not known peers.
    fn has_room(&self) -> bool {
        self.versions.iter().count() < MAX_PEERS
    }

    /// Records a new link and what the peer stated about itself.
    fn on_linked(&mut self, now: Duration, ident: Ident, dialled: bool) {
        self.add(now, &ident.id, &ident.dc, ident.addr);
        let Some(view) = self.peers.get_mut(&ident.id) else {
            return;
        };
        view.link = LinkState::Up { dialled };
        view.inc = Some(ident.inc);
        view.vm = Some(ident.vm);
        view.started = ident.started;
        view.stopping = false;
        view.failures = 0;
        view.last_failure = None;
        self.versions.link(&ident.id, view.same_dc);
        self.mark_alive(now, &ident.id);
        self.update_leaving(&ident.id);
    }

    /// Records that something was received from a peer now.
    fn mark_alive(&mut self, now: Duration, id: &DaemonId) {
        let Some(view) = self.peers.get_mut(id) else {
            return;
        };
        view.last_heartbeat = Some(now);
        set_state(&mut self.state_changes, id, view, PeerState::Alive);
    }

    /// Schedules the next attempt to connect after a link was lost or dialling failed.
    fn on_lost(&mut self, now: Duration, id: &DaemonId) {
        let Some(view) = self.peers.get_mut(id) else {
            return;
        };
        view.link = LinkState::Down;
        view.last_failure = Some(now);
        let delay =
            (MIN_RETRY_DELAY * 2u32.saturating_pow(view.failures.min(16))).min(MAX_RETRY_DELAY);
        view.failures += 1;
        // Half of the delay is random, so that the daemons of a rack don't all reconnect at once.
        view.retry_at = now + delay / 2 + delay.mul_f64(self.rng.random_range(0.0..0.5));
        self.versions.unlink(id);
    }

    /// Records a heartbeat and the configuration version in it.
    fn on_heartbeat(&mut self, now: Duration, from: &DaemonId, beat: Heartbeat) {
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
        self.mark_alive(now, from);
        self.update_leaving(from);
    }

    /// Updates whether a peer is leaving: its heartbeat says so, or its VM is leaving or no longer
    /// listed.
    fn update_leaving(&mut self, id: &DaemonId) {
        if let Some(view) = self.peers.get_mut(id) {
            let vm_leaving = match (&self.vms, &view.vm) {
                (Some(vms), Some(vm)) => vms.get(vm).is_none_or(|is_leaving| *is_leaving),
                _ => false,
            };
            view.leaving = view.stopping || vm_leaving;
        }
    }

    /// Returns the actions that are due; must be called at least every 100 ms.
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
        self.select_links(now);
        let mut actions = self.check_links(now);
        actions.append(&mut self.state_changes);
        if now >= self.heartbeat_at {
            self.heartbeat_at = now + HEARTBEAT_INTERVAL;
            self.send_heartbeats(now, &mut actions);
        }
        actions
    }

    /// Selects the links to keep: all in the own data centre, the preferred ones in other data centres,
    /// a substitute for each preferred one that is down, and those opened on demand.
    fn select_links(&mut self, now: Duration) {
        for view in self.peers.values_mut() {
            let is_gone = view.leaving && !view.is_linked();
            view.is_needed = view.needed_until > now || (view.same_dc && !is_gone);
        }
        let (mut preferred, mut missing) = (0, 0);
        for id in &self.remote {
            let view = self.peers.get_mut(id).expect("`remote` lists known peers");
            if view.leaving {
                continue;
            } else if preferred < REMOTE_LINKS {
                preferred += 1;
                missing += usize::from(view.last_failure.is_some());
            } else if missing == 0 {
                return;
            } else if view
                .last_failure
                .is_some_and(|at| now < at + FAILURE_BACKOFF)
            {
                continue;
            } else {
                missing -= 1;
            }
            view.is_needed = true;
        }
    }

    /// Updates the states of peers and returns the links to dial and to close.
    fn check_links(&mut self, now: Duration) -> Vec<Action> {
        let mut actions = Vec::new();
        let mut closing = Vec::new();
        for (id, view) in &mut self.peers {
            let is_silent = view.silence(now) >= SUSPECT_TIMEOUT;
            if is_silent && (view.is_needed || view.is_linked()) {
                set_state(&mut self.state_changes, id, view, PeerState::Suspect);
            } else if !view.is_needed && !view.is_linked() {
                set_state(&mut self.state_changes, id, view, PeerState::Unknown);
            }
            match view.link {
                LinkState::Down if view.is_needed && now >= view.retry_at => {
                    view.link = LinkState::Dialling;
                    let (peer, addr) = (id.clone(), view.addr);
                    actions.push(Action::Dial { peer, addr });
                }
                LinkState::Up { dialled } if is_silent || (dialled && !view.is_needed) => {
                    closing.push((id.clone(), is_silent));
                }
                _ => {}
            }
        }
        for (peer, is_silent) in closing {
            self.on_lost(now, &peer);
            if !is_silent && let Some(view) = self.peers.get_mut(&peer) {
                view.last_failure = None;
                view.failures = 0;
            }
            actions.push(Action::Close { peer });
        }
        actions
    }

    /// Adds the heartbeats, and the versions that peers may not have, to `actions`.
    fn send_heartbeats(&mut self, now: Duration, actions: &mut Vec<Action>) {
        let linked = self.peers.iter().filter(|(_, view)| view.is_linked());
        let to: Vec<_> = linked.map(|(id, _)| id.clone()).collect();
        if to.is_empty() {
            return;
        }
        if now >= self.repeat_at {
            self.repeat_at = now + REPEAT_INTERVAL;
            let peer = &to[self.rng.random_range(0..to.len())];
            self.versions.queue_repeat(peer);
        }
        for peer in &to {
            if let Some(entries) = self.versions.next_batch(peer) {
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

    /// The known peers.
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

    /// The known configuration versions that the daemons have in force.
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

/// Sets the state of a peer and records a change in `changes`.
fn set_state(changes: &mut Vec<Action>, id: &DaemonId, view: &mut PeerView, state: PeerState) {
    if view.state != state {
        view.state = state;
        let peer = id.clone();
        changes.push(Action::State { peer, state });
    }
}
