//! The daemon process: routes events and store replies to its incarnations, its witness records and
//! the scan of the fence rows.

mod peers;

use std::{
    collections::BTreeMap,
    sync::Arc,
    time::Duration, //
};

use rand::{
    RngExt,
    SeedableRng,
    rngs::StdRng, //
};

use super::{
    Action,
    Admission,
    AdmissionRequest,
    Event,
    Identity,
    StateChange,
    Stats,
    health::Health,
    incarnation::{
        Env,
        IncarnationState,
        Requester, //
    },
    scan::Scan, //
};
use crate::{
    budget::{
        self,
        Mode, //
    },
    mirror::{
        Fence,
        Peer,
        Primary,
        SealTask,
        StoreReply,
        StoreRequest,
        Witness, //
    },
    model::{
        Code,
        Incarnation,
        RequestError,
        Seq,
        Tokens,
        Verdict, //
    },
};

/// Part of the node that requested a store operation.
#[derive(Clone, Debug, PartialEq, Eq)]
enum Origin {
    /// A part of an own incarnation.
    Own(Incarnation, Requester),
    /// The seal of another incarnation.
    Seal(Incarnation),
    /// The scan of the fence rows.
    Scan,
}

/// State machine of a daemon process. It does no I/O: it takes [`Event`]s and returns [`Action`]s.
#[derive(Debug)]
pub struct Node {
    identity: Identity,
    rng: StdRng,
    /// Incarnations of the process: the last one is current, the others are sealed.
    incarnations: Vec<IncarnationState>,
    witness: Witness,
    scan: Scan,
    health: Health<Origin>,
    platform_up: bool,
    peers: BTreeMap<Incarnation, Peer>,
    last_seq: Seq,
    stopping: bool,
    stopped: bool,
    actions: Vec<Action>,
}

impl Node {
    /// Starts a daemon process with its first incarnation. `seed` decides the name of the
    /// incarnation, so it must be random.
    ///
    /// # Examples
    ///
    /// ```
    /// use std::time::Duration;
    /// use cuminloom::node::{Action, Identity, Node};
    /// let identity = Identity {
    ///     daemon: "a".into(),
    ///     vm: "vm-1".into(),
    ///     dc: "east".into(),
    ///     vm_list_lag: Duration::from_secs(600),
    /// };
    /// let mut node = Node::start(Duration::ZERO, identity, 7);
    /// // Its first operation writes its fence row.
    /// let actions = node.poll(Duration::ZERO);
    /// assert!(actions.iter().any(|action| matches!(action, Action::Store { .. })));
    /// ```
    pub fn start(now: Duration, identity: Identity, seed: u64) -> Self {
        let mut node = Self {
            scan: Scan::new(now, identity.vm_list_lag),
            identity,
            rng: StdRng::seed_from_u64(seed),
            incarnations: Vec::new(),
            witness: Witness::default(),
            health: Health::new(),
            platform_up: true,
            peers: BTreeMap::new(),
            last_seq: 0,
            stopping: false,
            stopped: false,
            actions: Vec::new(),
        };
        node.start_incarnation(now);
        node
    }

    /// Starts a new incarnation with a random name and makes it the current one.
    fn start_incarnation(&mut self, now: Duration) {
        let daemon = &self.identity.daemon;
        let inc: Incarnation = format!("{daemon}.{:016x}", self.rng.random::<u64>()).into();
        let fence = Fence {
            daemon: daemon.clone(),
            vm: self.identity.vm.clone(),
            dc: self.identity.dc.clone(),
            witness: None,
            epoch: 0,
            stopping: false,
            sealed: None,
        };
        let primary = Primary::new(inc.clone(), fence);
        let state = IncarnationState::new(now, primary, inc.clone(), self.rng.random());
        self.incarnations.push(state);
        self.actions.push(Action::Change(StateChange::Started(inc)));
        self.update_members(now);
    }

    /// The current incarnation.
    fn current(&mut self) -> &mut IncarnationState {
        self.incarnations
            .last_mut()
            .expect("there is always an incarnation")
    }

    /// Name of the current incarnation.
    ///
    /// # Examples
    ///
    /// ```
    /// # use cuminloom::node::{Identity, Node};
    /// # let lag = std::time::Duration::from_secs(600);
    /// # let id = Identity { daemon: "a".into(), vm: "v".into(), dc: "d".into(), vm_list_lag: lag };
    /// let node = Node::start(std::time::Duration::ZERO, id, 7);
    /// assert!(node.incarnation().starts_with("a."));
    /// ```
    pub fn incarnation(&self) -> &Incarnation {
        &self
            .incarnations
            .last()
            .expect("there is always an incarnation")
            .inc
    }

    /// VM and data centre of the daemon.
    fn location(&self) -> Peer {
        Peer {
            vm: self.identity.vm.clone(),
            dc: self.identity.dc.clone(),
        }
    }

    /// Admits a request and reserves its bound from the budget.
    ///
    /// # Examples
    ///
    /// ```
    /// use cuminloom::node::{AdmissionRequest, Admission};
    /// # use cuminloom::node::{Identity, Node};
    /// # let now = std::time::Duration::ZERO;
    /// # let id = Identity { daemon: "a".into(), vm: "v".into(), dc: "d".into(), vm_list_lag: now };
    /// let mut node = Node::start(now, id, 7);
    /// let admission = AdmissionRequest {
    ///     customer: "anod".into(),
    ///     profile: "chat".into(),
    ///     budget: "anod-chat".into(),
    ///     bound: 500,
    /// };
    /// // No budget row has been read yet.
    /// assert!(!matches!(node.admit(now, admission), Admission::Admitted { .. }));
    /// ```
    pub fn admit(&mut self, now: Duration, admission: AdmissionRequest) -> Admission {
        if self.stopping {
            let error = RequestError::not_run(Code::Stopping, "the daemon is stopping");
            return Admission::Refused(error);
        }
        let seq = self.last_seq + 1;
        let admit = self.current().admit(now, seq, &admission);
        if let Admission::Admitted { .. } = admit {
            self.last_seq = seq;
        }
        admit
    }

    /// Ends an admitted request that consumed `tokens`, which is 0 with verdict `NotRun` when it was
    /// not sent. Every admitted request must be finished exactly once, unless it is refused by
    /// [`Action::Refuse`].
    ///
    /// # Panics
    ///
    /// Panics when the request is not open, or consumed more than its bound.
    pub fn finish(&mut self, now: Duration, seq: Seq, tokens: Tokens, verdict: Verdict) {
        let state = self
            .incarnations
            .iter_mut()
            .find(|state| state.has_request(seq));
        let state = state.expect("the request is open");
        state.finish(now, seq, tokens, verdict);
    }

    /// Begins a planned stop: new requests are refused, open ones finish, then all bills are
    /// committed, all budget shares returned and the own fence row is sealed. [`Action::Stopped`]
    /// reports the end.
    ///
    /// # Examples
    ///
    /// ```
    /// # use cuminloom::node::{Identity, Node};
    /// # let now = std::time::Duration::ZERO;
    /// # let id = Identity { daemon: "a".into(), vm: "v".into(), dc: "d".into(), vm_list_lag: now };
    /// let mut node = Node::start(now, id, 7);
    /// node.begin_stop();
    /// ```
    pub fn begin_stop(&mut self) {
        self.stopping = true;
        self.current().stop();
    }

    /// Handles an event.
    ///
    /// # Examples
    ///
    /// ```
    /// use cuminloom::{mirror::Peer, node::Event};
    /// # use cuminloom::node::{Identity, Node};
    /// # let now = std::time::Duration::ZERO;
    /// # let id = Identity { daemon: "a".into(), vm: "v".into(), dc: "d".into(), vm_list_lag: now };
    /// let mut node = Node::start(now, id, 7);
    /// let peer = Peer { vm: "vm-2".into(), dc: "d".into() };
    /// node.handle(now, Event::PeerUp { inc: "b.1".into(), peer });
    /// ```
    pub fn handle(&mut self, now: Duration, event: Event) {
        match event {
            Event::StoreReply { token, reply } => self.handle_reply(now, token, reply),
            Event::Message { from, message } => self.receive_message(now, from, message),
            Event::PeerUp { inc, peer } => self.peer_up(now, inc, peer),
            Event::PeerDown { inc } => self.peer_down(now, &inc),
            Event::VmList(vms) => self.scan.record_vms(now, &vms),
        }
    }

    /// Passes the reply of a store operation to the part that requested it.
    fn handle_reply(&mut self, now: Duration, token: u64, reply: StoreReply) {
        let failed = matches!(reply, StoreReply::Failed(_));
        let Some(origin) = self.health.finish(now, token, failed) else {
            return;
        };
        match origin {
            Origin::Own(inc, requester) => {
                if let Some(state) = self.incarnations.iter_mut().find(|state| state.inc == inc) {
                    state.handle_reply(now, requester, reply);
                }
            }
            Origin::Seal(inc) => {
                if self.witness.handle_reply(now, &inc, reply) {
                    self.report_sealed(now, inc);
                }
            }
            Origin::Scan => {
                let me = (self.incarnation().clone(), self.location());
                let found = self
                    .scan
                    .handle_reply(now, reply, &self.peers, (&me.0, &me.1));
                for inc in found.to_seal {
                    self.witness
                        .start_task(SealTask::without_witness(inc, me.0.clone()));
                }
                for inc in found.to_release {
                    self.witness
                        .start_task(SealTask::release_orphans(inc, me.0.clone()));
                }
                for inc in found.sealed {
                    self.current()
                        .handle_share_event(now, budget::Event::PeerSealed(inc));
                }
            }
        }
    }

    /// Runs what is due and returns the actions since the last call. It must be called after each
    /// event and at least every 100 ms.
    ///
    /// # Examples
    ///
    /// ```
    /// # use cuminloom::node::{Identity, Node};
    /// # let now = std::time::Duration::ZERO;
    /// # let id = Identity { daemon: "a".into(), vm: "v".into(), dc: "d".into(), vm_list_lag: now };
    /// let mut node = Node::start(now, id, 7);
    /// assert!(!node.poll(now).is_empty());
    /// ```
    pub fn poll(&mut self, now: Duration) -> Vec<Action> {
        let up = self.health.is_up(now);
        if up != self.platform_up {
            self.platform_up = up;
            self.actions
                .push(Action::Change(StateChange::PlatformUp(up)));
        }
        self.poll_incarnations(now);
        let me = self.incarnation().clone();
        for (inc, request) in self.witness.poll(now, &me) {
            self.call_store(now, Origin::Seal(inc), request);
        }
        if !self.stopped
            && let Some(request) = self.scan.poll(now)
        {
            self.call_store(now, Origin::Scan, request);
        }
        std::mem::take(&mut self.actions)
    }

    /// Runs all incarnations, and drops the ones that have been accounted for.
    fn poll_incarnations(&mut self, now: Duration) {
        if self.current().primary.fence().sealed.is_some() {
            self.replace_incarnation(now);
        }
        for index in 0..self.incarnations.len() {
            let env = Env {
                platform_up: self.platform_up,
                peers: &self.peers,
            };
            let state = &mut self.incarnations[index];
            let inc = state.inc.clone();
            let (requests, actions) = state.poll(now, &env);
            self.actions.extend(actions);
            for (requester, request) in requests {
                self.call_store(now, Origin::Own(inc.clone(), requester), request);
            }
        }
        let (current, actions) = (self.incarnation().clone(), &mut self.actions);
        self.incarnations.retain(|state| {
            let keep = state.inc == current || !state.is_retired();
            if !keep {
                actions.push(Action::Change(StateChange::Retired(state.inc.clone())));
            }
            keep
        });
        let done = self.incarnations.iter().all(IncarnationState::is_retired);
        if self.stopping && done && !self.stopped {
            self.stopped = true;
            self.actions.push(Action::Stopped);
        }
    }

    /// Replaces the sealed current incarnation, unless the daemon is stopping. If another daemon sealed
    /// it, this daemon also settles its budget rows, in case the sealer is lost before it does.
    fn replace_incarnation(&mut self, now: Duration) {
        let me = self.incarnation().clone();
        let sealed = self.current().primary.fence().sealed.clone();
        let foreign = sealed.is_some_and(|sealed| sealed.by != me);
        if foreign && self.current().mode() != Mode::Sealed {
            self.witness
                .start_task(SealTask::without_witness(me.clone(), me));
        }
        if !self.stopping {
            self.start_incarnation(now);
        }
    }

    /// Requests a store operation whose reply goes to `origin`.
    fn call_store(&mut self, now: Duration, origin: Origin, request: StoreRequest) {
        let token = self.health.start(now, origin);
        self.actions.push(Action::Store { token, request });
    }

    /// State of the budget shares of the current incarnation, for an audit.
    ///
    /// # Examples
    ///
    /// ```
    /// # use cuminloom::node::{Identity, Node};
    /// # let now = std::time::Duration::ZERO;
    /// # let id = Identity { daemon: "a".into(), vm: "v".into(), dc: "d".into(), vm_list_lag: now };
    /// let node = Node::start(now, id, 7);
    /// assert!(node.share_states().is_empty());
    /// ```
    pub fn share_states(&self) -> Vec<budget::ShareState> {
        self.incarnations
            .last()
            .expect("there is always an incarnation")
            .share_states()
    }

    /// Counts and state of the node for metrics.
    ///
    /// # Examples
    ///
    /// ```
    /// # use cuminloom::node::{Identity, Node};
    /// # let now = std::time::Duration::ZERO;
    /// # let id = Identity { daemon: "a".into(), vm: "v".into(), dc: "d".into(), vm_list_lag: now };
    /// let node = Node::start(now, id, 7);
    /// assert_eq!(node.stats().open_requests, 0);
    /// ```
    pub fn stats(&self) -> Stats {
        let state = self
            .incarnations
            .last()
            .expect("there is always an incarnation");
        let fence = state.primary.fence();
        let (watched, seals) = self.witness.counts();
        Stats {
            inc: state.inc.clone(),
            mode: state.mode(),
            witness: fence.witness.clone(),
            epoch: fence.epoch,
            platform_up: self.platform_up,
            open_requests: self.incarnations.iter().map(IncarnationState::open).sum(),
            unbilled: self
                .incarnations
                .iter()
                .map(|l| l.primary.state().bills.len())
                .sum(),
            backlog: state.primary.backlog(),
            retiring: self.incarnations.len() - 1,
            watched,
            seals,
            pending_ops: self.health.pending(),
        }
    }
}

/// Key of a budget's row in the store.
///
/// # Examples
///
/// ```
/// assert_eq!(&*cuminloom::node::budget_key("chat"), "budget/chat");
/// ```
pub fn budget_key(budget: &str) -> Arc<str> {
    format!("budget/{budget}").into()
}
