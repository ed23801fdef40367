//! The machines of this crate as a fleet, over a fake platform and a fake network without loss.

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
        Reply,
        Request, //
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
        StoreFault,
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
        execute,
        is_budget,
        name,
        put,
        row, //
    },
    trace::{
        DAEMONS,
        DCS,
        DEADLINE_MS,
        Trace, //
    },
};

/// Time before the first request, in which the daemons pair up.
const WARM_MS: u64 = 10_000;
/// Interval of heartbeats, polls and deadlines.
const TICK_MS: u64 = 100;
/// A peer without a heartbeat for this long is suspected.
const SUSPECT_MS: u64 = 3_000;
/// One-way delays, in ms.
const PEER_MS: u64 = 1;
const PLATFORM_MS: u64 = 8;

enum Item {
    Message(usize, Incarnation, Incarnation, Message),
    Request(usize, u64, u64, Request),
    Answer(usize, u64, u64, Reply),
    /// A target finishes request `n` for the incarnation's number `seq`.
    End(usize, u64, Seq, usize),
}

struct Proc {
    node: Option<Node>,
    generation: u64,
    heard: BTreeMap<Incarnation, u64>,
    /// Requests that wait for tokens, with their deadlines.
    waiting: Vec<(usize, u64)>,
    /// Admitted requests that are not ready.
    unsent: HashMap<Seq, usize>,
}

struct Fleet<'a> {
    trace: &'a Trace,
    now: u64,
    procs: Vec<Proc>,
    store: MemStore,
    heap: BinaryHeap<Reverse<(u64, u64)>>,
    items: HashMap<u64, Item>,
    order: u64,
    ledger: Ledger,
    log: bool,
}

/// Runs the fleet; `settings` are `reserve` and `fraction` of every budget.
pub(crate) fn run(trace: &Trace, settings: Option<(u32, f64)>) -> Outcome {
    let mut fleet = Fleet::new(trace, settings);
    let mut reqs = trace.reqs.iter().enumerate().peekable();
    let (mut topups, mut crashes) = (
        trace.topups.iter().peekable(),
        trace.crashes.iter().peekable(),
    );
    for tick in 0..(WARM_MS + trace.end + 60_000) / TICK_MS {
        let until = tick * TICK_MS;
        while let Some((n, req)) = reqs.next_if(|(_, req)| req.at + WARM_MS <= until) {
            fleet.advance(req.at + WARM_MS);
            let p = trace.target(req.at, req.daemon);
            fleet.admit(p, n, req.at + WARM_MS + DEADLINE_MS);
        }
        fleet.advance(until);
        while let Some((_, b, tokens)) = topups.next_if(|(at, ..)| at + WARM_MS <= until) {
            fleet.top_up(*b, *tokens);
        }
        while let Some((daemon, _)) = crashes.next_if(|(_, at)| at + WARM_MS <= until) {
            fleet.crash(*daemon);
        }
        fleet.tick();
    }
    fleet.ledger.out
}

impl<'a> Fleet<'a> {
    fn new(trace: &'a Trace, settings: Option<(u32, f64)>) -> Self {
        let mut store = MemStore::default();
        for (b, limit) in trace.limits.iter().enumerate() {
            let mut row = Row::create("anod".into(), *limit);
            if let Some((reserve, fraction)) = settings {
                (row.reserve_s, row.draw_fraction) = (reserve, fraction);
            }
            put(&mut store, b, &row);
        }
        let mut fleet = Self {
            trace,
            now: 0,
            procs: Vec::new(),
            store,
            heap: BinaryHeap::new(),
            items: HashMap::new(),
            order: 0,
            ledger: Ledger::new(trace),
            log: std::env::var_os("CUMINLOOM_TRACE").is_some(),
        };
        for p in 0..DAEMONS {
            fleet.procs.push(Proc {
                node: None,
                generation: 0,
                heard: BTreeMap::new(),
                waiting: Vec::new(),
                unsent: HashMap::new(),
            });
            fleet.start(p);
        }
        fleet
    }

    /// Time of the trace.
    fn at(&self) -> u64 {
        self.now.saturating_sub(WARM_MS)
    }

    fn clock(&self) -> Duration {
        Duration::from_millis(self.now)
    }

    fn vm(&self, p: usize) -> String {
        format!("vm-{p}-{}", self.procs[p].generation)
    }

    fn start(&mut self, p: usize) {
        self.procs[p].generation += 1;
        let id = Identity {
            daemon: format!("d{p}").into(),
            vm: self.vm(p).into(),
            dc: format!("dc-{}", DCS[p]).into(),
            vm_list_lag: Duration::from_secs(600),
        };
        let seed = self.trace.seed * 1_000 + self.procs[p].generation * 10 + p as u64;
        let node = Node::start(self.clock(), id, seed);
        let proc = &mut self.procs[p];
        proc.heard.clear();
        proc.node = Some(node);
    }

    /// The VM is lost. Its targets run on; its callers see broken streams.
    fn crash(&mut self, p: usize) {
        let node = self.procs[p].node.take().expect("the daemon runs");
        let unspent = |s: &cuminloom::budget::ShareState| s.issued - s.spent;
        self.ledger.out.issued_lost += node.share_states().iter().map(unspent).sum::<Tokens>();
        self.procs[p].unsent.clear();
        for (n, deadline) in std::mem::take(&mut self.procs[p].waiting) {
            let q = self.trace.target(self.at(), p);
            self.admit(q, n, deadline);
        }
    }

    fn linked(&self, a: usize, b: usize) -> bool {
        if self.trace.is_alone(self.at()) {
            return false;
        }
        let hot = |p: usize| DCS[p] == super::trace::HOT;
        hot(a) == hot(b) || !self.trace.cut.contains(&self.at())
    }

    fn push(&mut self, at: u64, item: Item) {
        self.order += 1;
        self.heap.push(Reverse((at, self.order)));
        self.items.insert(self.order, item);
    }

    /// Delivers everything that is due up to `until`.
    fn advance(&mut self, until: u64) {
        while let Some(Reverse((at, order))) = self.heap.peek().copied().filter(|e| e.0.0 <= until)
        {
            self.heap.pop();
            self.now = self.now.max(at);
            let item = self.items.remove(&order).expect("each item arrives once");
            self.arrive(item);
        }
        self.now = self.now.max(until);
    }

    fn arrive(&mut self, item: Item) {
        let now = self.clock();
        match item {
            Item::Message(from, sender, to, message) => {
                let Ok(p) = daemon_of(&to)[1..].parse::<usize>() else {
                    return;
                };
                let linked = self.linked(from, p);
                if let Some(node) = self.procs[p].node.as_mut().filter(|_| linked) {
                    let event = Event::Message {
                        from: sender,
                        message,
                    };
                    node.handle(now, event);
                    self.poll(p);
                }
            }
            Item::Request(p, generation, token, request) => {
                let reply = match self.trace.reaches(self.at(), p) {
                    true => execute(&mut self.store, &request),
                    false => Reply::Failed(StoreFault::Unavailable),
                };
                let at = self.now + PLATFORM_MS;
                self.push(at, Item::Answer(p, generation, token, reply));
            }
            Item::Answer(p, generation, token, reply) => {
                let proc = &mut self.procs[p];
                let live = proc.node.as_mut().filter(|_| proc.generation == generation);
                if let Some(node) = live {
                    node.handle(now, Event::StoreReply { token, reply });
                    self.poll(p);
                }
            }
            Item::End(p, generation, seq, n) => {
                let req = &self.trace.reqs[n];
                self.ledger.end(req.budget, req.bound, req.tokens);
                let proc = &mut self.procs[p];
                let live = proc.node.as_mut().filter(|_| proc.generation == generation);
                if let Some(node) = live {
                    node.finish(now, seq, req.tokens, Verdict::Ran);
                    self.poll(p);
                }
            }
        }
    }

    fn tick(&mut self) {
        if self.now.is_multiple_of(500) {
            self.heartbeats();
        }
        for p in 0..DAEMONS {
            if self.procs[p].node.is_none() && !self.trace.is_down(self.at(), p) {
                self.start(p);
            }
            if self.procs[p].node.is_some() {
                self.expire(p);
                self.poll(p);
            }
        }
        if self.now.is_multiple_of(10_000) {
            let orphaned = |b| self.figures(b).orphaned;
            let tokens: i128 = (0..self.trace.limits.len()).map(orphaned).sum();
            self.ledger.orphans(Tokens::try_from(tokens).unwrap_or(0));
        }
    }

    fn heartbeats(&mut self) {
        let now = self.clock();
        let live: Vec<usize> = (0..DAEMONS)
            .filter(|p| self.procs[*p].node.is_some())
            .collect();
        let vms: Vec<Vm> = live
            .iter()
            .map(|p| Vm {
                name: self.vm(*p).into(),
                dc: format!("dc-{}", DCS[*p]).into(),
                leaving: false,
            })
            .collect();
        self.store.set_vms(vms.clone());
        for p in live.iter().copied() {
            for q in live.iter().copied().filter(|q| *q != p) {
                if self.linked(p, q) {
                    self.hear(p, q);
                }
            }
            let at = self.now;
            let list = self.now.is_multiple_of(2_000) && self.trace.reaches(self.at(), p);
            let proc = &mut self.procs[p];
            let node = proc.node.as_mut().expect("it runs");
            proc.heard.retain(|inc, heard| {
                let up = *heard + SUSPECT_MS > at;
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

    fn hear(&mut self, p: usize, q: usize) {
        let now = self.clock();
        let inc = self.procs[q].node.as_ref().expect("it runs");
        let inc = inc.incarnation().clone();
        let peer = Peer {
            vm: self.vm(q).into(),
            dc: format!("dc-{}", DCS[q]).into(),
        };
        let at = self.now;
        let proc = &mut self.procs[p];
        if proc.heard.insert(inc.clone(), at).is_none() {
            proc.heard
                .retain(|old, _| *old == inc || daemon_of(old) != daemon_of(&inc));
            let node = proc.node.as_mut().expect("it runs");
            node.handle(now, Event::PeerUp { inc, peer });
        }
    }

    fn expire(&mut self, p: usize) {
        let now = self.now;
        let waiting = std::mem::take(&mut self.procs[p].waiting);
        for (n, deadline) in waiting {
            match deadline <= now {
                true => self.refuse(n, "deadline"),
                false => self.procs[p].waiting.push((n, deadline)),
            }
        }
    }

    fn refuse(&mut self, n: usize, why: &str) {
        let req = &self.trace.reqs[n];
        if self.log && self.ledger.left(req.budget) >= req.bound {
            let (at, left, figures) = (
                self.at(),
                self.ledger.left(req.budget),
                self.figures(req.budget),
            );
            println!(
                "{at} d{} b{} bound {}: {why}; left {left} {figures:?}",
                req.daemon, req.budget, req.bound
            );
        }
        self.ledger.refuse(req.budget, req.bound);
    }

    fn admit(&mut self, p: usize, n: usize, deadline: u64) {
        let (now, req) = (self.clock(), &self.trace.reqs[n]);
        let Some(node) = self.procs[p].node.as_mut() else {
            return self.refuse(n, "no daemon");
        };
        let admission = AdmissionRequest {
            customer: "anod".into(),
            profile: "chat".into(),
            budget: name(req.budget).into(),
            bound: req.bound,
        };
        match node.admit(now, admission) {
            Admission::Admitted { seq, ready: true } => self.begin(p, seq, n),
            Admission::Admitted { seq, .. } => {
                self.procs[p].unsent.insert(seq, n);
            }
            Admission::Wait => self.procs[p].waiting.push((n, deadline)),
            Admission::Refused(fault) => self.refuse(n, &format!("{fault:?}")),
        }
        self.poll(p);
    }

    fn begin(&mut self, p: usize, seq: Seq, n: usize) {
        let req = &self.trace.reqs[n];
        self.ledger.begin(req.budget, req.bound);
        let end = Item::End(p, self.procs[p].generation, seq, n);
        self.push(self.now + req.lasts, end);
    }

    fn poll(&mut self, p: usize) {
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
                    self.count(&request);
                    let at = self.now + PLATFORM_MS;
                    self.push(at, Item::Request(p, generation, token, request));
                }
                Action::Send { to, message } => {
                    let from = match &message {
                        Message::Mirror { inc, .. } | Message::Attach { inc, .. } => inc.clone(),
                        _ => me.clone(),
                    };
                    self.push(self.now + PEER_MS, Item::Message(p, from, to, message));
                }
                Action::Ready { seq } => {
                    let n = self.procs[p].unsent.remove(&seq);
                    self.begin(p, seq, n.expect("it is admitted"));
                }
                Action::Refuse { seq, .. } => {
                    let n = self.procs[p].unsent.remove(&seq);
                    self.refuse(n.expect("it is admitted"), "not mirrored");
                }
                Action::Retry { budget } => retries.push(budget),
                Action::Change(change) if self.log => println!("{} d{p}: {change:?}", self.at()),
                Action::Change(_) | Action::Stopped => {}
            }
        }
        for budget in retries {
            let of = |(n, _): &(usize, u64)| name(self.trace.reqs[*n].budget) == *budget;
            let waiting = std::mem::take(&mut self.procs[p].waiting);
            let (again, rest) = waiting.into_iter().partition(of);
            self.procs[p].waiting = rest;
            let again: Vec<(usize, u64)> = again;
            for (n, deadline) in again {
                self.admit(p, n, deadline);
            }
        }
    }

    fn count(&mut self, request: &Request) {
        let out = &mut self.ledger.out;
        match request {
            Request::Read(_) | Request::List(..) | Request::Get(_) => out.reads += 1,
            Request::Commit(writes) => match writes.iter().any(is_budget) {
                true => out.writes += 1,
                false => out.others += 1,
            },
            Request::Put(..) => out.others += 1,
        }
    }

    fn figures(&self, budget: usize) -> Breakdown {
        row(&self.store, budget).breakdown()
    }

    fn top_up(&mut self, budget: usize, tokens: Tokens) {
        self.ledger.top_up(budget, tokens);
        let mut row = row(&self.store, budget);
        row.top_up(tokens).expect("the limit has 64 bits");
        put(&mut self.store, budget, &row);
    }
}
