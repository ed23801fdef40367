//! The state machines of this crate as a fleet, over a fake platform and a fake network without
//! loss.

use std::{
    cmp::Reverse,
    collections::{
        BTreeMap,
        BinaryHeap,
        HashMap, //
    },
    time::Duration,
};

use cuminloom::{
    budget::{
        Breakdown,
        Row, //
    },
    mirror::{
        Message,
        Peer,
        StoreReply,
        StoreRequest, //
    },
    model::{
        Incarnation,
        Seq,
        Tokens,
        Verdict,
        daemon_of, //
    },
    node::{
        Action,
        Admission,
        AdmissionRequest,
        Event,
        Identity,
        Node, //
    },
    store::{
        StoreError,
        Vm, //
    },
};
use cuminloom_standins::store::MemStore;

use super::{
    ledger::{
        Ledger,
        Outcome, //
    },
    platform::{
        budget_name,
        handle_request,
        is_budget_write,
        put_row,
        read_row, //
    },
    trace::{
        DAEMONS,
        DCS,
        DEADLINE_MS,
        Trace, //
    },
};

/// Time before the first request, in which the daemons find their witnesses.
const WARM_UP_MS: u64 = 10_000;
/// Interval of heartbeats, polls and deadlines.
const TICK_INTERVAL_MS: u64 = 100;
/// A peer without a heartbeat for this long is suspected.
const SUSPECT_TIMEOUT_MS: u64 = 3_000;
/// One-way delay between daemons.
const PEER_DELAY_MS: u64 = 1;
/// One-way delay between a daemon and the platform.
const PLATFORM_DELAY_MS: u64 = 8;

/// Something that arrives later: at a daemon, at the platform, or as the end of a request. Daemons
/// are given by number and generation.
enum Delivery {
    Message(usize, Incarnation, Incarnation, Message),
    Request(usize, u64, u64, StoreRequest),
    Answer(usize, u64, u64, StoreReply),
    /// A target ends a request, given by its number in the incarnation and by its index in the
    /// trace.
    End(usize, u64, Seq, usize),
}

/// A VM and the daemon on it, if it runs.
struct Process {
    node: Option<Node>,
    generation: u64,
    /// Time of the last heartbeat from each peer.
    last_heard: BTreeMap<Incarnation, u64>,
    /// Requests that wait for tokens, with their deadlines.
    waiting: Vec<(usize, u64)>,
    /// Admitted requests that the witness does not have yet.
    unsent: HashMap<Seq, usize>,
}

struct Fleet<'a> {
    trace: &'a Trace,
    now: u64,
    procs: Vec<Process>,
    store: MemStore,
    /// Time and order of each delivery, the earliest first.
    due: BinaryHeap<Reverse<(u64, u64)>>,
    /// Deliveries by their order.
    items: HashMap<u64, Delivery>,
    last_order: u64,
    ledger: Ledger,
    /// Print each false refusal and each change of state.
    log_refusals: bool,
}

/// Runs the fleet; `settings` are `reserve_s` and `draw_fraction` of every budget.
pub(crate) fn run(trace: &Trace, settings: Option<(u32, f64)>) -> Outcome {
    let mut fleet = Fleet::new(trace, settings);
    let mut reqs = trace.reqs.iter().enumerate().peekable();
    let (mut topups, mut crashes) = (
        trace.topups.iter().peekable(),
        trace.crashes.iter().peekable(),
    );
    for tick in 0..(WARM_UP_MS + trace.end_ms + 60_000) / TICK_INTERVAL_MS {
        let until = tick * TICK_INTERVAL_MS;
        while let Some((n, req)) = reqs.next_if(|(_, req)| req.at + WARM_UP_MS <= until) {
            fleet.advance(req.at + WARM_UP_MS);
            let p = trace.serving_daemon(req.at, req.daemon);
            fleet.admit(p, n, req.at + WARM_UP_MS + DEADLINE_MS);
        }
        fleet.advance(until);
        while let Some((_, b, tokens)) = topups.next_if(|(at, ..)| at + WARM_UP_MS <= until) {
            fleet.top_up(*b, *tokens);
        }
        while let Some((daemon, _)) = crashes.next_if(|(_, at)| at + WARM_UP_MS <= until) {
            fleet.crash(*daemon);
        }
        fleet.on_tick();
    }
    fleet.ledger.outcome
}

impl<'a> Fleet<'a> {
    fn new(trace: &'a Trace, settings: Option<(u32, f64)>) -> Self {
        let mut store = MemStore::default();
        for (b, limit) in trace.limits.iter().enumerate() {
            let mut row = Row::create("anod".into(), *limit);
            if let Some((reserve, fraction)) = settings {
                (row.reserve_s, row.draw_fraction) = (reserve, fraction);
            }
            put_row(&mut store, b, &row);
        }
        let mut fleet = Self {
            trace,
            now: 0,
            procs: Vec::new(),
            store,
            due: BinaryHeap::new(),
            items: HashMap::new(),
            last_order: 0,
            ledger: Ledger::new(trace),
            log_refusals: std::env::var_os("CUMINLOOM_TRACE").is_some(),
        };
        for p in 0..DAEMONS {
            fleet.procs.push(Process {
                node: None,
                generation: 0,
                last_heard: BTreeMap::new(),
                waiting: Vec::new(),
                unsent: HashMap::new(),
            });
            fleet.start_daemon(p);
        }
        fleet
    }

    /// Present time of the trace, in ms from its first request.
    fn trace_time(&self) -> u64 {
        self.now.saturating_sub(WARM_UP_MS)
    }

    /// Present time as the nodes get it.
    fn clock(&self) -> Duration {
        Duration::from_millis(self.now)
    }

    /// Name of the VM of a daemon; a replaced VM gets a new one.
    fn vm_name(&self, p: usize) -> String {
        format!("vm-{p}-{}", self.procs[p].generation)
    }

    /// Starts a daemon on a new VM.
    fn start_daemon(&mut self, p: usize) {
        self.procs[p].generation += 1;
        let id = Identity {
            daemon: format!("d{p}").into(),
            vm: self.vm_name(p).into(),
            dc: format!("dc-{}", DCS[p]).into(),
            vm_list_lag: Duration::from_secs(600),
        };
        let seed = self.trace.seed * 1_000 + self.procs[p].generation * 10 + p as u64;
        let node = Node::start(self.clock(), id, seed);
        let proc = &mut self.procs[p];
        proc.last_heard.clear();
        proc.node = Some(node);
    }

    /// Loses a VM. Its targets go on; its waiting callers try another daemon.
    fn crash(&mut self, p: usize) {
        let node = self.procs[p].node.take().expect("the daemon runs");
        let unspent = |s: &cuminloom::budget::ShareState| s.issued - s.spent;
        self.ledger.outcome.issued_lost += node.share_states().iter().map(unspent).sum::<Tokens>();
        self.procs[p].unsent.clear();
        for (n, deadline) in std::mem::take(&mut self.procs[p].waiting) {
            let q = self.trace.serving_daemon(self.trace_time(), p);
            self.admit(q, n, deadline);
        }
    }

    /// Whether two daemons reach each other.
    fn is_linked(&self, a: usize, b: usize) -> bool {
        if self.trace.is_isolated(self.trace_time()) {
            return false;
        }
        let hot = |p: usize| DCS[p] == super::trace::HOT_DC;
        hot(a) == hot(b) || !self.trace.cut.contains(&self.trace_time())
    }

    /// Schedules a delivery.
    fn schedule(&mut self, at: u64, item: Delivery) {
        self.last_order += 1;
        self.due.push(Reverse((at, self.last_order)));
        self.items.insert(self.last_order, item);
    }

    /// Delivers everything that is due up to `until`.
    fn advance(&mut self, until: u64) {
        while let Some(Reverse((at, order))) = self.due.peek().copied().filter(|e| e.0.0 <= until) {
            self.due.pop();
            self.now = self.now.max(at);
            let item = self.items.remove(&order).expect("each item arrives once");
            self.deliver(item);
        }
        self.now = self.now.max(until);
    }

    /// Makes a delivery; one for a daemon that no longer runs is dropped.
    fn deliver(&mut self, item: Delivery) {
        let now = self.clock();
        match item {
            Delivery::Message(from, sender, to, message) => {
                let Ok(p) = daemon_of(&to)[1..].parse::<usize>() else {
                    return;
                };
                let linked = self.is_linked(from, p);
                if let Some(node) = self.procs[p].node.as_mut().filter(|_| linked) {
                    let event = Event::Message {
                        from: sender,
                        message,
                    };
                    node.handle(now, event);
                    self.run_actions(p);
                }
            }
            Delivery::Request(p, generation, token, request) => {
                let reply = match self.trace.reaches(self.trace_time(), p) {
                    true => handle_request(&mut self.store, &request),
                    false => StoreReply::Failed(StoreError::Unavailable),
                };
                let at = self.now + PLATFORM_DELAY_MS;
                self.schedule(at, Delivery::Answer(p, generation, token, reply));
            }
            Delivery::Answer(p, generation, token, reply) => {
                let proc = &mut self.procs[p];
                let live = proc.node.as_mut().filter(|_| proc.generation == generation);
                if let Some(node) = live {
                    node.handle(now, Event::StoreReply { token, reply });
                    self.run_actions(p);
                }
            }
            Delivery::End(p, generation, seq, n) => {
                let req = &self.trace.reqs[n];
                self.ledger.end_request(req.budget, req.bound, req.tokens);
                let proc = &mut self.procs[p];
                let live = proc.node.as_mut().filter(|_| proc.generation == generation);
                if let Some(node) = live {
                    node.finish(now, seq, req.tokens, Verdict::Ran);
                    self.run_actions(p);
                }
            }
        }
    }

    /// Does the periodic work: heartbeats, restarts, deadlines, polls, and the count of orphaned
    /// tokens.
    fn on_tick(&mut self) {
        if self.now.is_multiple_of(500) {
            self.send_heartbeats();
        }
        for p in 0..DAEMONS {
            if self.procs[p].node.is_none() && !self.trace.is_down(self.trace_time(), p) {
                self.start_daemon(p);
            }
            if self.procs[p].node.is_some() {
                self.refuse_expired(p);
                self.run_actions(p);
            }
        }
        if self.now.is_multiple_of(10_000) {
            let orphaned = |b| self.breakdown(b).orphaned;
            let tokens: i128 = (0..self.trace.limits.len()).map(orphaned).sum();
            self.ledger
                .set_orphaned(Tokens::try_from(tokens).unwrap_or(0));
        }
    }

    /// Exchanges heartbeats between the running daemons, and gives them the list of VMs.
    fn send_heartbeats(&mut self) {
        let now = self.clock();
        let live: Vec<usize> = (0..DAEMONS)
            .filter(|p| self.procs[*p].node.is_some())
            .collect();
        let vms: Vec<Vm> = live
            .iter()
            .map(|p| Vm {
                name: self.vm_name(*p).into(),
                dc: format!("dc-{}", DCS[*p]).into(),
                leaving: false,
            })
            .collect();
        self.store.set_vms(vms.clone());
        for p in live.iter().copied() {
            for q in live.iter().copied().filter(|q| *q != p) {
                if self.is_linked(p, q) {
                    self.receive_heartbeat(p, q);
                }
            }
            let at = self.now;
            let list = self.now.is_multiple_of(2_000) && self.trace.reaches(self.trace_time(), p);
            let proc = &mut self.procs[p];
            let node = proc.node.as_mut().expect("it runs");
            proc.last_heard.retain(|inc, heard| {
                let up = *heard + SUSPECT_TIMEOUT_MS > at;
                if !up {
                    node.handle(now, Event::PeerDown { inc: inc.clone() });
                }
                up
            });
            if list {
                node.handle(now, Event::VmList(vms.clone()));
            }
        }
    }

    /// Takes a heartbeat of daemon `q` at daemon `p`.
    fn receive_heartbeat(&mut self, p: usize, q: usize) {
        let now = self.clock();
        let inc = self.procs[q].node.as_ref().expect("it runs");
        let inc = inc.incarnation().clone();
        let peer = Peer {
            vm: self.vm_name(q).into(),
            dc: format!("dc-{}", DCS[q]).into(),
        };
        let at = self.now;
        let proc = &mut self.procs[p];
        if proc.last_heard.insert(inc.clone(), at).is_none() {
            proc.last_heard
                .retain(|old, _| *old == inc || daemon_of(old) != daemon_of(&inc));
            let node = proc.node.as_mut().expect("it runs");
            node.handle(now, Event::PeerUp { inc, peer });
        }
    }

    /// Refuses the waiting requests whose deadline has passed.
    fn refuse_expired(&mut self, p: usize) {
        let now = self.now;
        let waiting = std::mem::take(&mut self.procs[p].waiting);
        for (n, deadline) in waiting {
            match deadline <= now {
                true => self.refuse(n, "deadline"),
                false => self.procs[p].waiting.push((n, deadline)),
            }
        }
    }

    /// Refuses request `n` of the trace.
    fn refuse(&mut self, n: usize, why: &str) {
        let req = &self.trace.reqs[n];
        if self.log_refusals && self.ledger.left(req.budget) >= req.bound {
            let (at, left, figures) = (
                self.trace_time(),
                self.ledger.left(req.budget),
                self.breakdown(req.budget),
            );
            println!(
                "{at} d{} b{} bound {}: {why}; left {left} {figures:?}",
                req.daemon, req.budget, req.bound
            );
        }
        self.ledger.refuse(req.budget, req.bound);
    }

    /// Offers request `n` of the trace to daemon `p`.
    fn admit(&mut self, p: usize, n: usize, deadline: u64) {
        let (now, req) = (self.clock(), &self.trace.reqs[n]);
        let Some(node) = self.procs[p].node.as_mut() else {
            return self.refuse(n, "no daemon");
        };
        let admission = AdmissionRequest {
            customer: "anod".into(),
            profile: "chat".into(),
            budget: budget_name(req.budget).into(),
            bound: req.bound,
        };
        match node.admit(now, admission) {
            Admission::Admitted { seq, ready: true } => self.start_request(p, seq, n),
            Admission::Admitted { seq, .. } => {
                self.procs[p].unsent.insert(seq, n);
            }
            Admission::Wait => self.procs[p].waiting.push((n, deadline)),
            Admission::Refused(fault) => self.refuse(n, &format!("{fault:?}")),
        }
        self.run_actions(p);
    }

    /// Sends an admitted request to its target.
    fn start_request(&mut self, p: usize, seq: Seq, n: usize) {
        let req = &self.trace.reqs[n];
        self.ledger.start_request(req.budget, req.bound);
        let end = Delivery::End(p, self.procs[p].generation, seq, n);
        self.schedule(self.now + req.duration_ms, end);
    }

    /// Polls a daemon's node and carries out its actions.
    fn run_actions(&mut self, p: usize) {
        let (now, generation) = (self.clock(), self.procs[p].generation);
        let Some(node) = self.procs[p].node.as_mut() else {
            return;
        };
        let actions = node.poll(now);
        let me = node.incarnation().clone();
        let mut retries = Vec::new();
        for action in actions {
            match action {
                Action::Store { token, request } => {
                    self.count_call(&request);
                    let at = self.now + PLATFORM_DELAY_MS;
                    self.schedule(at, Delivery::Request(p, generation, token, request));
                }
                Action::Send { to, message } => {
                    let from = match &message {
                        Message::Mirror { inc, .. } | Message::Attach { inc, .. } => inc.clone(),
                        _ => me.clone(),
                    };
                    self.schedule(
                        self.now + PEER_DELAY_MS,
                        Delivery::Message(p, from, to, message),
                    );
                }
                Action::Ready { seq } => {
                    let n = self.procs[p].unsent.remove(&seq);
                    self.start_request(p, seq, n.expect("it is admitted"));
                }
                Action::Refuse { seq, .. } => {
                    let n = self.procs[p].unsent.remove(&seq);
                    self.refuse(n.expect("it is admitted"), "not mirrored");
                }
                Action::Retry { budget } => retries.push(budget),
                Action::Change(change) if self.log_refusals => {
                    println!("{} d{p}: {change:?}", self.trace_time())
                }
                Action::Change(_) | Action::Stopped => {}
            }
        }
        for budget in retries {
            let of = |(n, _): &(usize, u64)| budget_name(self.trace.reqs[*n].budget) == *budget;
            let waiting = std::mem::take(&mut self.procs[p].waiting);
            let (again, rest) = waiting.into_iter().partition(of);
            self.procs[p].waiting = rest;
            let again: Vec<(usize, u64)> = again;
            for (n, deadline) in again {
                self.admit(p, n, deadline);
            }
        }
    }

    /// Counts a call to the platform.
    fn count_call(&mut self, request: &StoreRequest) {
        let out = &mut self.ledger.outcome;
        match request {
            StoreRequest::Read(_) | StoreRequest::List(..) | StoreRequest::Get(_) => out.reads += 1,
            StoreRequest::Commit(writes) => match writes.iter().any(is_budget_write) {
                true => out.budget_writes += 1,
                false => out.other_writes += 1,
            },
            StoreRequest::Put(..) => out.other_writes += 1,
        }
    }

    /// Parts of a budget's limit according to its row.
    fn breakdown(&self, budget: usize) -> Breakdown {
        read_row(&self.store, budget).breakdown()
    }

    /// Raises the limit of a budget.
    fn top_up(&mut self, budget: usize, tokens: Tokens) {
        self.ledger.top_up(budget, tokens);
        let mut row = read_row(&self.store, budget);
        row.top_up(tokens).expect("the limit has 64 bits");
        put_row(&mut self.store, budget, &row);
    }
}
