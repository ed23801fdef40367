//! Nodes over a platform in memory with a fake clock and fixed delays.

use std::{
    collections::{
        BTreeMap,
        HashMap, //
    },
    time::{
        Duration,
        Instant, //
    },
};

use cuminloom::{
    budget::Row,
    mirror::{
        Message,
        Peer,
        StoreReply,
        StoreRequest, //
    },
    model::{
        BudgetId,
        Incarnation,
        RequestError,
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
        Node,
        budget_key, //
    },
    peer,
    store::{
        Change,
        CommitOutcome,
        Precondition,
        Write, //
    },
};
use cuminloom_standins::store::MemStore;
use rand::{
    RngExt,
    SeedableRng,
    rngs::StdRng, //
};

use super::alloc;

const TICK: Duration = Duration::from_millis(25);
const LINK: Duration = Duration::from_millis(1);
const PLATFORM: Duration = Duration::from_millis(5);
/// Time for all daemons to have a witness.
const WARM: Duration = Duration::from_secs(5);
const BOUND: Tokens = 3_000;
/// Tokens of a request at the target size: 3.9 million per second over 17,000 requests.
const TOKENS: Tokens = 229;

/// Parameters of one run.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Setup {
    pub(crate) daemons: usize,
    pub(crate) dcs: usize,
    pub(crate) budgets: usize,
    /// Requests per second and daemon.
    pub(crate) rate: u64,
    pub(crate) seconds: u64,
    /// Time that a request runs.
    pub(crate) hold: Duration,
}

/// Number and bytes of one kind of exchange.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Sum {
    pub(crate) count: u64,
    pub(crate) bytes: u64,
}

impl Sum {
    fn add(&mut self, bytes: usize) {
        self.count += 1;
        self.bytes += bytes as u64;
    }
}

/// What a run cost after the warm-up.
#[derive(Clone, Debug, Default)]
pub(crate) struct Cost {
    pub(crate) finished: u64,
    pub(crate) refused: u64,
    /// Refusals by code.
    pub(crate) codes: BTreeMap<&'static str, u64>,
    pub(crate) waited: u64,
    /// Peer messages by kind.
    pub(crate) messages: BTreeMap<&'static str, Sum>,
    /// Platform operations by kind; a commit counts once.
    pub(crate) platform: BTreeMap<&'static str, Sum>,
    pub(crate) conflicts: u64,
    /// Time in the machines of all daemons.
    pub(crate) time: Duration,
    /// Bytes in use by all nodes at the end.
    pub(crate) memory: u64,
    /// Open requests at the end.
    pub(crate) open: u64,
    /// Time from the first request until the last one that waited was admitted.
    pub(crate) settled: Duration,
}

impl Cost {
    pub(crate) fn sent(&self) -> Sum {
        total(self.messages.values())
    }

    /// Commits and object writes.
    pub(crate) fn writes(&self) -> u64 {
        let writes = self.platform.iter().filter(|(kind, _)| is_write(kind));
        writes.map(|(_, sum)| sum.count).sum()
    }

    pub(crate) fn reads(&self) -> u64 {
        total(self.platform.values()).count - self.writes()
    }

    pub(crate) fn count(&self, kind: &str) -> u64 {
        self.platform.get(kind).map_or(0, |sum| sum.count)
    }
}

fn is_write(kind: &str) -> bool {
    kind.starts_with("commit") || kind.starts_with("put")
}

fn total<'a>(sums: impl Iterator<Item = &'a Sum>) -> Sum {
    sums.fold(Sum::default(), |all, sum| Sum {
        count: all.count + sum.count,
        bytes: all.bytes + sum.bytes,
    })
}

/// Simulated event. The first field of each variant is the index of the daemon.
enum Item {
    Tick(usize),
    Arrive(usize),
    Finish(usize, Seq),
    Message(usize, Incarnation, Message),
    Request(usize, u64, StoreRequest),
    Answer(usize, u64, StoreReply),
}

/// Daemons and platform of one run; a daemon is named by its index in `nodes`.
struct Fleet {
    setup: Setup,
    now: Duration,
    rng: StdRng,
    nodes: Vec<Node>,
    store: MemStore,
    /// Scheduled events by time and serial number.
    events: BTreeMap<(Duration, u64), Item>,
    /// Serial number of the last scheduled event, which keeps events of the same time in order.
    serial: u64,
    /// Requests that wait for tokens, by daemon and budget.
    waiting: HashMap<(usize, BudgetId), Vec<AdmissionRequest>>,
    cost: Cost,
}

/// Runs the fleet with a fixed seed.
pub(crate) fn run(setup: Setup) -> Cost {
    let mut fleet = Fleet::new(setup);
    fleet.run(WARM);
    fleet.cost = Cost::default();
    for n in 0..setup.daemons {
        fleet.after(Duration::ZERO, Item::Arrive(n));
    }
    fleet.run(WARM + Duration::from_secs(setup.seconds));
    let mut cost = fleet.cost;
    cost.open = fleet
        .nodes
        .iter()
        .map(|n| n.stats().open_requests as u64)
        .sum();
    cost.waited = fleet.waiting.values().map(|w| w.len() as u64).sum();
    let before = alloc::live();
    drop(fleet.nodes);
    cost.memory = before - alloc::live();
    cost
}

impl Fleet {
    fn new(setup: Setup) -> Self {
        let mut fleet = Self {
            setup,
            now: Duration::ZERO,
            rng: StdRng::seed_from_u64(1),
            nodes: Vec::new(),
            store: MemStore::default(),
            events: BTreeMap::new(),
            serial: 0,
            waiting: HashMap::new(),
            cost: Cost::default(),
        };
        for n in 0..setup.budgets {
            let row = Row::create("customer-0001".into(), 1_000_000_000_000);
            fleet.store.commit(&[Write {
                key: budget_key(&budget(n)),
                precondition: Precondition::Absent,
                change: Change::Put((&row).into()),
            }]);
        }
        for n in 0..setup.daemons {
            let identity = Identity {
                daemon: format!("ingress-{n:03}").into(),
                vm: format!("vm-ingress-{n:03}").into(),
                dc: format!("dc-{:02}", n % setup.dcs).into(),
                vm_list_lag: Duration::from_secs(600),
            };
            let node = Node::start(Duration::ZERO, identity, 1 + n as u64);
            fleet.nodes.push(node);
            fleet.after(TICK * n as u32 / setup.daemons as u32, Item::Tick(n));
        }
        fleet.introduce();
        fleet
    }

    /// Connects all daemons with each other.
    fn introduce(&mut self) {
        let dcs = self.setup.dcs;
        let peers = self.nodes.iter().enumerate().map(|(n, node)| {
            let vm = format!("vm-ingress-{n:03}").into();
            let dc = format!("dc-{:02}", n % dcs).into();
            (node.incarnation().clone(), Peer { vm, dc })
        });
        let peers: Vec<_> = peers.collect();
        for (n, node) in self.nodes.iter_mut().enumerate() {
            for (other, (inc, peer)) in peers.iter().enumerate() {
                if other != n {
                    let (inc, peer) = (inc.clone(), peer.clone());
                    node.handle(Duration::ZERO, Event::PeerUp { inc, peer });
                }
            }
        }
    }

    /// Schedules `item` after the time `wait`.
    fn after(&mut self, wait: Duration, item: Item) {
        self.serial += 1;
        self.events.insert((self.now + wait, self.serial), item);
    }

    /// Processes the events up to the time `end`.
    fn run(&mut self, end: Duration) {
        while let Some(entry) = self.events.first_entry() {
            if entry.key().0 > end {
                break;
            }
            let ((at, _), item) = entry.remove_entry();
            self.now = at;
            self.step(item);
        }
        self.now = end;
    }

    /// Processes one event.
    fn step(&mut self, item: Item) {
        match item {
            Item::Tick(n) => {
                self.after(TICK, Item::Tick(n));
                self.poll(n);
            }
            Item::Arrive(n) => {
                let gap = 1_000_000 / self.setup.rate;
                let wait = self.rng.random_range(gap / 2..gap * 3 / 2);
                self.after(Duration::from_micros(wait), Item::Arrive(n));
                let number = self.rng.random_range(0..self.setup.budgets);
                self.admit(
                    n,
                    AdmissionRequest {
                        customer: "customer-0001".into(),
                        profile: "profile-0001".into(),
                        budget: budget(number),
                        bound: BOUND,
                    },
                );
                self.poll(n);
            }
            Item::Finish(n, seq) => {
                let now = self.now;
                self.timed(n, |node| node.finish(now, seq, TOKENS, Verdict::Ran));
                self.cost.finished += 1;
                self.poll(n);
            }
            Item::Message(n, from, message) => {
                let now = self.now;
                self.timed(n, |node| node.handle(now, Event::Message { from, message }));
                self.poll(n);
            }
            Item::Request(n, token, request) => {
                let reply = self.execute(&request);
                self.after(PLATFORM, Item::Answer(n, token, reply));
            }
            Item::Answer(n, token, reply) => {
                let now = self.now;
                self.timed(n, |node| {
                    node.handle(now, Event::StoreReply { token, reply })
                });
                self.poll(n);
            }
        }
    }

    /// Runs `f` on the node of daemon `n` and adds the elapsed time to the cost.
    fn timed<T>(&mut self, n: usize, f: impl FnOnce(&mut Node) -> T) -> T {
        let start = Instant::now();
        let result = f(&mut self.nodes[n]);
        self.cost.time += start.elapsed();
        result
    }

    /// Submits a request to daemon `n`, and schedules its end if it is admitted and ready.
    fn admit(&mut self, n: usize, admission: AdmissionRequest) {
        let now = self.now;
        let wanted = admission.clone();
        match self.timed(n, |node| node.admit(now, wanted)) {
            Admission::Admitted { seq, ready } => {
                if ready {
                    self.after(self.setup.hold, Item::Finish(n, seq));
                }
            }
            Admission::Wait => {
                let key = (n, admission.budget.clone());
                self.waiting.entry(key).or_default().push(admission);
            }
            Admission::Refused(fault) => self.refuse(&fault),
        }
    }

    /// Counts a refusal.
    fn refuse(&mut self, fault: &RequestError) {
        self.cost.refused += 1;
        *self.cost.codes.entry(fault.code.as_str()).or_default() += 1;
    }

    /// Takes the pending actions of daemon `n` and carries them out.
    fn poll(&mut self, n: usize) {
        let now = self.now;
        let actions = self.timed(n, |node| node.poll(now));
        let me = self.nodes[n].incarnation().clone();
        for action in actions {
            match action {
                Action::Store { token, request } => {
                    self.after(PLATFORM, Item::Request(n, token, request));
                }
                Action::Send { to, message } => self.send(&me, &to, message),
                Action::Ready { seq } => self.after(self.setup.hold, Item::Finish(n, seq)),
                Action::Refuse { fault, .. } => self.refuse(&fault),
                Action::Retry { budget } => {
                    let again = self.waiting.remove(&(n, budget)).unwrap_or_default();
                    for admission in again {
                        self.cost.settled = now.saturating_sub(WARM);
                        self.admit(n, admission);
                    }
                }
                Action::Change(_) | Action::Stopped => {}
            }
        }
    }

    /// Counts a peer message from `me` and schedules its delivery at `to`.
    fn send(&mut self, me: &Incarnation, to: &Incarnation, message: Message) {
        let kind = match &message {
            Message::Mirror { .. } => "mirror",
            Message::MirrorAck { .. } => "mirror-ack",
            Message::Attach { .. } | Message::AttachAck { .. } => "attach",
            Message::Ask { .. } => "ask",
            Message::Transfer { .. } | Message::TransferAck { .. } => "transfer",
            Message::Short { .. } => "short",
            Message::Sealed { .. } => "sealed",
        };
        let bytes = peer::encode(&peer::Message::Node(message.clone())).len();
        self.cost.messages.entry(kind).or_default().add(bytes);
        let number = daemon_of(to)["ingress-".len()..].parse().expect("a number");
        self.after(LINK, Item::Message(number, me.clone(), message));
    }

    /// Executes a platform operation, and counts it with the bytes sent and received.
    fn execute(&mut self, request: &StoreRequest) -> StoreReply {
        let (kind, sent) = describe(request);
        let reply = match request {
            StoreRequest::Read(key) => StoreReply::Row(self.store.read(key)),
            StoreRequest::List(prefix, after, limit) => {
                StoreReply::Rows(self.store.list(prefix, after, *limit))
            }
            StoreRequest::Commit(writes) => StoreReply::Commit(self.store.commit(writes)),
            StoreRequest::Get(name) => StoreReply::Object(self.store.get(name).map(<[u8]>::to_vec)),
            StoreRequest::Put(name, body) => StoreReply::Put(self.store.put_new(name, body)),
        };
        let got = match &reply {
            StoreReply::Row(row) => row.iter().map(|row| row.value.to_string().len()).sum(),
            StoreReply::Rows(rows) => rows.iter().map(|row| row.value.to_string().len()).sum(),
            StoreReply::Object(body) => body.as_ref().map_or(0, Vec::len),
            StoreReply::Commit(CommitOutcome::Conflict { row, .. }) => {
                self.cost.conflicts += 1;
                row.iter().map(|row| row.value.to_string().len()).sum()
            }
            _ => 0,
        };
        self.cost.platform.entry(kind).or_default().add(sent + got);
        reply
    }
}

/// Kind of a platform operation, and the bytes that it sends without headers.
fn describe(request: &StoreRequest) -> (&'static str, usize) {
    match request {
        StoreRequest::Read(key) => (subject(key, "read-budget", "read-other"), key.len()),
        StoreRequest::List(prefix, ..) => ("list", prefix.len()),
        StoreRequest::Commit(writes) => {
            let size = |write: &Write| match &write.change {
                Change::Put(value) => value.to_string().len() + write.key.len(),
                _ => write.key.len(),
            };
            let budget = writes.iter().any(|write| write.key.starts_with("budget/"));
            let kind = match budget {
                true => "commit-budget",
                false => "commit-other",
            };
            (kind, writes.iter().map(size).sum())
        }
        StoreRequest::Get(name) => ("get", name.len()),
        StoreRequest::Put(name, body) => ("put", name.len() + body.len()),
    }
}

fn subject(key: &str, budget: &'static str, other: &'static str) -> &'static str {
    match key.starts_with("budget/") {
        true => budget,
        false => other,
    }
}

fn budget(n: usize) -> BudgetId {
    format!("budget-{n:06}").into()
}
