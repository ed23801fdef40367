//! State of one incarnation of the daemon: its open requests, budget shares, mirror and bills.

mod shares;

use std::{
    collections::{
        BTreeMap,
        VecDeque, //
    },
    time::Duration,
};

use super::{
    Action,
    Admission,
    AdmissionRequest,
    StateChange,
    retire::Retirement, //
};
use crate::{
    bill::{
        self,
        BillWriter, //
    },
    budget::{
        self,
        Mode,
        Reservation,
        ReserveOutcome,
        Row,
        ShareManager,
        TransferId, //
    },
    mirror::{
        Message,
        Op,
        Output,
        Peer,
        Primary,
        StoreReply,
        StoreRequest,
        fence_key, //
    },
    model::{
        BudgetId,
        Code,
        Incarnation,
        RequestError,
        Seq,
        Tokens,
        Verdict,
        Version, //
    },
};

/// Requests and uncommitted bills kept in memory; above this number requests are refused.
const MAX_UNBILLED: usize = 65_536;
/// Interval between reads of the own fence row. They detect a seal, and show whether the platform
/// responds.
const PROBE_INTERVAL: Duration = Duration::from_secs(2);

/// What is to be done when the witness has acknowledged an operation.
#[derive(Debug)]
enum Waiter {
    /// The request may be sent.
    Ready(Seq),
    /// The total issued from the share of the budget is in force.
    Issued(BudgetId, Tokens),
    /// The transfer to another daemon may be sent.
    Logged(TransferId),
    /// The budget row may be written, if it still has the version.
    Commit(BudgetId, Version, Row),
}

/// Part of an incarnation that requested a store operation and gets its reply.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum Requester {
    /// Own side of the mirror.
    Primary,
    /// Regular read of the own fence row.
    Probe,
    /// Writer of bill batches.
    Writer,
    /// Share of a budget.
    Shares(BudgetId),
    /// Retirement after a seal.
    Retire,
}

/// State of the process that is the same for all its incarnations.
pub(super) struct Env<'a> {
    pub(super) platform_up: bool,
    pub(super) peers: &'a BTreeMap<Incarnation, Peer>,
}

/// State machine of one incarnation of the daemon.
#[derive(Debug)]
pub(super) struct IncarnationState {
    pub(super) inc: Incarnation,
    pub(super) primary: Primary,
    pub(super) writer: BillWriter,
    shares: ShareManager,
    mode: Mode,
    /// Reservation of each open request, and whether the request is ready.
    open_requests: BTreeMap<Seq, (Reservation, bool)>,
    /// Waiters by the number of the operation that must be acknowledged.
    waiters: BTreeMap<u64, Vec<Waiter>>,
    /// Number of the operation that told the witness of a budget. The budget row is written only after
    /// the witness has acknowledged it; otherwise a sealer would not know that it has to settle the row.
    known_budgets: BTreeMap<BudgetId, u64>,
    /// Time of the next read of the own fence row.
    probe_at: Duration,
    /// Progress after a seal; `None` until the incarnation is sealed.
    pub(super) retirement: Option<Retirement>,
    stopping: bool,
    requests: VecDeque<(Requester, StoreRequest)>,
    actions: Vec<Action>,
}

impl IncarnationState {
    pub(super) fn new(now: Duration, primary: Primary, inc: Incarnation, seed: u64) -> Self {
        Self {
            shares: ShareManager::start(inc.clone(), seed),
            writer: BillWriter::new(now, inc.clone()),
            primary,
            inc,
            mode: Mode::Frozen,
            open_requests: BTreeMap::new(),
            waiters: BTreeMap::new(),
            known_budgets: BTreeMap::new(),
            probe_at: now,
            retirement: None,
            stopping: false,
            requests: VecDeque::new(),
            actions: Vec::new(),
        }
    }

    pub(super) fn mode(&self) -> Mode {
        self.mode
    }

    /// Number of open requests.
    pub(super) fn open(&self) -> usize {
        self.open_requests.len()
    }

    pub(super) fn has_request(&self, seq: Seq) -> bool {
        self.open_requests.contains_key(&seq)
    }

    /// State of the budget shares, for an audit.
    pub(super) fn share_states(&self) -> Vec<budget::ShareState> {
        self.shares.share_states().collect()
    }

    /// Open requests that are not ready, because the witness has not acknowledged them.
    pub(super) fn waiting_requests(&self) -> Vec<Seq> {
        let unready = self.open_requests.iter().filter(|(_, (_, ready))| !ready);
        unready.map(|(seq, _)| *seq).collect()
    }

    /// Admits a request: reserves its tokens and mirrors it.
    pub(super) fn admit(
        &mut self,
        now: Duration,
        seq: Seq,
        admission: &AdmissionRequest,
    ) -> Admission {
        if let Some(error) = self.admission_error() {
            return Admission::Refused(error);
        }
        let reservation = match self.shares.reserve(now, &admission.budget, admission.bound) {
            ReserveOutcome::Held(reservation) => reservation,
            ReserveOutcome::Wait => return Admission::Wait,
            ReserveOutcome::Refused(error) => return Admission::Refused(error),
        };
        let number = self.primary.append(
            now,
            Op::Open {
                seq,
                customer: admission.customer.clone(),
                budget: admission.budget.clone(),
                profile: admission.profile.clone(),
                bound: admission.bound,
            },
        );
        let ready = self.primary.last_counted() >= number;
        self.open_requests.insert(seq, (reservation, ready));
        if !ready {
            self.wait_for_ack(number, Waiter::Ready(seq));
        }
        Admission::Admitted { seq, ready }
    }

    /// Why no request can be admitted at present, if so.
    fn admission_error(&self) -> Option<RequestError> {
        let (code, detail) = match self.mode {
            Mode::Sealed => (Code::Stopping, "the daemon was sealed"),
            Mode::Frozen => (Code::StoreUnavailable, "platform and witness are lost"),
            _ if self.primary.is_full() => (Code::Overloaded, "the operation log is full"),
            _ if self.primary.state().bills.len() >= MAX_UNBILLED => {
                (Code::Overloaded, "too many bills are not committed")
            }
            _ => return None,
        };
        Some(RequestError::not_run(code, detail))
    }

    /// Ends an open request and mirrors the tokens that it is charged.
    pub(super) fn finish(&mut self, now: Duration, seq: Seq, tokens: Tokens, verdict: Verdict) {
        let (reservation, ready) = self
            .open_requests
            .remove(&seq)
            .expect("the request is open");
        assert!(
            ready || tokens == 0,
            "request {seq} ran before it was ready"
        );
        self.shares.settle(now, reservation, tokens);
        let op = Op::Close {
            seq,
            tokens,
            verdict,
        };
        self.primary.append(now, op);
        if self.writer.has_seal() {
            let bill = self.primary.state().bills.closed.last();
            self.writer
                .push(bill.expect("the request was closed").clone());
        }
    }

    /// Lets an open request be sent.
    pub(super) fn set_ready(&mut self, seq: Seq) {
        if let Some((_, ready)) = self.open_requests.get_mut(&seq)
            && !*ready
        {
            *ready = true;
            self.actions.push(Action::Ready { seq });
        }
    }

    /// Ends an open request that was never ready.
    pub(super) fn refuse(&mut self, now: Duration, seq: Seq) {
        self.finish(now, seq, 0, Verdict::NotRun);
        let fault = RequestError::not_run(Code::Stopping, "the daemon was sealed");
        self.actions.push(Action::Refuse { seq, fault });
    }

    /// Runs `waiter` when the operation `number` is acknowledged.
    fn wait_for_ack(&mut self, number: u64, waiter: Waiter) {
        self.waiters.entry(number).or_default().push(waiter);
    }

    /// Passes an event to the budget shares.
    pub(super) fn handle_share_event(&mut self, now: Duration, event: budget::Event) {
        self.shares.handle(now, event);
    }

    /// Begins a planned stop.
    pub(super) fn stop(&mut self) {
        self.stopping = true;
    }

    /// Handles a message about this incarnation from its witness.
    pub(super) fn receive(&mut self, now: Duration, from: &Incarnation, message: &Message) {
        match message {
            Message::Sealed { .. } => self.probe_at = now,
            _ => self.primary.receive(now, from, message),
        }
    }

    /// Runs what is due and returns the requested store operations and other actions.
    pub(super) fn poll(
        &mut self,
        now: Duration,
        env: &Env<'_>,
    ) -> (VecDeque<(Requester, StoreRequest)>, Vec<Action>) {
        self.update_mode(now, env.platform_up);
        self.poll_shares(now);
        if self.mode != Mode::Sealed {
            self.poll_primary(now, env);
            self.update_mode(now, env.platform_up);
            self.poll_shares(now);
            self.poll_stop(now);
        }
        self.poll_writer(now, env.peers.len() + 1);
        if self.probe_at <= now && self.primary.is_registered() && self.mode != Mode::Sealed {
            self.probe_at = now + PROBE_INTERVAL;
            let request = StoreRequest::Read(fence_key(&self.inc));
            self.requests.push_back((Requester::Probe, request));
        }
        if self.mode == Mode::Sealed {
            self.poll_retire(now);
        }
        (
            std::mem::take(&mut self.requests),
            std::mem::take(&mut self.actions),
        )
    }

    /// Requests a store operation whose reply goes to `requester`.
    pub(super) fn push_request(&mut self, requester: Requester, request: StoreRequest) {
        self.requests.push_back((requester, request));
    }

    /// Follows the mode of the mirror.
    fn update_mode(&mut self, now: Duration, platform: bool) {
        let mode = self.primary.mode(platform);
        if mode == self.mode {
            return;
        }
        assert_ne!(self.mode, Mode::Sealed, "a seal is final");
        self.mode = mode;
        self.shares.handle(now, budget::Event::Mode(mode));
        let change = StateChange::Mode(self.inc.clone(), mode);
        self.actions.push(Action::Change(change));
    }

    /// Queues a message to another incarnation.
    fn send(&mut self, to: Incarnation, message: Message) {
        self.actions.push(Action::Send { to, message });
    }

    /// Runs the own side of the mirror: the fence row and the messages to the witness.
    fn poll_primary(&mut self, now: Duration, env: &Env<'_>) {
        if self.primary.is_preparing() {
            self.primary.sync_issued(self.issued_totals());
        }
        for out in self.primary.poll(now, env.platform_up, env.peers) {
            match out {
                Output::Send(to, message) => self.send(to, message),
                Output::Request(request) => self.push_request(Requester::Primary, request),
            }
        }
    }

    /// Cuts and writes bill batches. `daemons` is the number of live daemons.
    fn poll_writer(&mut self, now: Duration, daemons: usize) {
        let bills = &self.primary.state().bills;
        if self.mode != Mode::Sealed
            && let Some(bill::WriterStep::Cut(batch)) = self.writer.due_batch(now, bills, daemons)
        {
            self.primary.append(now, Op::Cut { batch });
        }
        if self.mode == Mode::Sealed && !self.writer.has_seal() {
            return;
        }
        let version = self.primary.version();
        let bills = &self.primary.state().bills;
        if let Some(request) = self.writer.poll(now, bills, version) {
            self.push_request(Requester::Writer, request);
        }
    }

    /// Continues a planned stop once all requests have finished.
    fn poll_stop(&mut self, now: Duration) {
        if !self.stopping || !self.open_requests.is_empty() || !self.primary.announce_stop() {
            return;
        }
        self.shares.handle(now, budget::Event::Stop);
        self.poll_shares(now);
        if self.shares.is_done()
            && self.primary.state().bills.len() == 0
            && !self.writer.is_pending()
        {
            self.primary.seal_row();
        }
    }

    /// Passes the reply of a store operation to the part that requested it.
    pub(super) fn handle_reply(&mut self, now: Duration, requester: Requester, reply: StoreReply) {
        match requester {
            Requester::Primary => self.primary.handle_reply(now, reply),
            Requester::Probe => {
                if let StoreReply::Row(row) = reply {
                    self.primary.observe_row(now, row.as_ref());
                }
            }
            Requester::Writer => self.handle_writer_reply(now, reply),
            Requester::Shares(budget) => self.handle_share_reply(now, budget, reply),
            Requester::Retire => self.handle_retire_reply(now, reply),
        }
    }

    /// Handles the reply to a bill write; committed bills are reported to the witness and the shares.
    fn handle_writer_reply(&mut self, now: Duration, reply: StoreReply) {
        match self.writer.handle_reply(now, reply) {
            Some(bill::WriterStep::Committed(batch)) => {
                let mut tokens = BTreeMap::new();
                bill::add_billed(&mut tokens, &self.primary.state().bills.cut[&batch]);
                self.primary.append(now, Op::Committed { batch });
                for budget in tokens.into_keys() {
                    let total = self.primary.state().bills.billed[&budget];
                    self.handle_share_event(now, budget::Event::Billed { budget, total });
                }
            }
            Some(bill::WriterStep::Fence(row)) => self.primary.observe_row(now, row.as_ref()),
            Some(bill::WriterStep::Cut(_)) | None => {}
        }
    }
}
