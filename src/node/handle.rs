//! Thread-safe handle of the node for the threads that serve requests and run its store operations.

use std::{
    collections::HashMap,
    sync::{
        Arc,
        Condvar,
        Mutex,
        MutexGuard,
        PoisonError, //
    },
    time::Duration,
};

use super::{
    Action,
    Admission,
    AdmissionRequest,
    Event,
    Identity,
    Node,
    StateChange,
    Stats, //
};
use crate::{
    kernel::Clock,
    mirror::{
        Message,
        StoreRequest, //
    },
    model::{
        BudgetId,
        Code,
        Incarnation,
        RequestError,
        Seq,
        Tokens,
        Verdict, //
    },
};

/// Longest wait between two tries to admit a request that waits for its budget. It is needed only
/// when a wake-up is missed.
const ADMIT_RETRY_INTERVAL: Duration = Duration::from_millis(250);

/// Channels that take the output of the node.
#[derive(Debug)]
pub struct Outbox {
    /// Store operations with their tokens.
    pub store_requests: flume::Sender<(u64, StoreRequest)>,
    /// Messages to peers.
    pub peer_messages: flume::Sender<(Incarnation, Message)>,
    /// State changes for the log.
    pub state_changes: flume::Sender<StateChange>,
}

/// The node with the callers that wait for it.
#[derive(Debug)]
struct State {
    node: Node,
    outbox: Outbox,
    /// Callers that wait until their admitted request is ready.
    ready_waiters: HashMap<Seq, flume::Sender<Result<(), RequestError>>>,
    /// Callers to wake up when the state of a budget has changed.
    budget_waiters: HashMap<BudgetId, Vec<flume::Sender<()>>>,
    stopped: bool,
}

#[derive(Debug)]
struct Shared {
    state: Mutex<State>,
    /// Signalled when the planned stop is complete.
    stopped: Condvar,
}

/// Handle of a daemon's node, shared by its threads.
#[derive(Clone, Debug)]
pub struct Handle {
    clock: Clock,
    shared: Arc<Shared>,
}

impl Handle {
    /// Starts a node whose output goes to `outbox`. `seed` decides the name of the incarnation, so it
    /// must be random.
    ///
    /// # Examples
    ///
    /// ```
    /// use std::time::Duration;
    /// use cuminloom::{
    ///     kernel::Clock,
    ///     node::{Handle, Identity, Outbox},
    /// };
    /// let (store_requests, _store) = flume::unbounded();
    /// let (peer_messages, _peers) = flume::unbounded();
    /// let (state_changes, _changes) = flume::unbounded();
    /// let identity = Identity {
    ///     daemon: "vm-1".into(),
    ///     vm: "vm-1".into(),
    ///     dc: "cebu-north".into(),
    ///     vm_list_lag: Duration::from_secs(600),
    /// };
    /// let outbox = Outbox { store_requests, peer_messages, state_changes };
    /// let handle = Handle::new(identity, 1, Clock::start(), outbox);
    /// assert_eq!(handle.stats().open_requests, 0);
    /// ```
    pub fn new(identity: Identity, seed: u64, clock: Clock, outbox: Outbox) -> Self {
        let node = Node::start(clock.now(), identity, seed);
        let state = State {
            node,
            outbox,
            ready_waiters: HashMap::new(),
            budget_waiters: HashMap::new(),
            stopped: false,
        };
        let shared = Shared {
            state: Mutex::new(state),
            stopped: Condvar::new(),
        };
        Self {
            clock,
            shared: Arc::new(shared),
        }
    }

    /// Locks the state, also when a thread panicked while it held the lock.
    fn lock(&self) -> MutexGuard<'_, State> {
        self.shared
            .state
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    /// Admits a request and blocks until it may be sent, at most until `deadline` on the daemon's clock.
    ///
    /// # Errors
    ///
    /// Fails with the verdict not-run when the budget has too few tokens or the request can't be
    /// mirrored in time.
    pub(crate) fn admit(
        &self,
        admission: AdmissionRequest,
        deadline: Duration,
    ) -> Result<Seq, RequestError> {
        loop {
            let waiter = match self.try_admit(&admission)? {
                AdmitAttempt::Ready(seq) => return Ok(seq),
                AdmitAttempt::Mirroring(seq, ready) => {
                    return self.wait_ready(seq, &ready, deadline);
                }
                AdmitAttempt::Waiting(waiter) => waiter,
            };
            let left = deadline.saturating_sub(self.clock.now());
            if left.is_zero() {
                let detail = "the budget could not be drawn on in time";
                return Err(RequestError::not_run(Code::BudgetUnavailable, detail));
            }
            let _ = waiter.recv_timeout(left.min(ADMIT_RETRY_INTERVAL));
        }
    }

    /// Tries to admit a request and registers the caller if it has to wait.
    fn try_admit(&self, admission: &AdmissionRequest) -> Result<AdmitAttempt, RequestError> {
        let mut state = self.lock();
        let now = self.clock.now();
        let tried = match state.node.admit(now, admission.clone()) {
            Admission::Admitted { seq, ready: true } => AdmitAttempt::Ready(seq),
            Admission::Admitted { seq, ready: false } => {
                let (sender, receiver) = flume::bounded(1);
                state.ready_waiters.insert(seq, sender);
                AdmitAttempt::Mirroring(seq, receiver)
            }
            Admission::Wait => {
                let (sender, receiver) = flume::bounded(1);
                state
                    .budget_waiters
                    .entry(admission.budget.clone())
                    .or_default()
                    .push(sender);
                AdmitAttempt::Waiting(receiver)
            }
            Admission::Refused(error) => return Err(error),
        };
        self.run_actions(&mut state, now);
        Ok(tried)
    }

    /// Waits until an admitted request is ready, and finishes it as not run when the deadline passes.
    fn wait_ready(
        &self,
        seq: Seq,
        ready: &flume::Receiver<Result<(), RequestError>>,
        deadline: Duration,
    ) -> Result<Seq, RequestError> {
        let left = deadline.saturating_sub(self.clock.now());
        if let Ok(outcome) = ready.recv_timeout(left) {
            return outcome.map(|()| seq);
        }
        let mut state = self.lock();
        if state.ready_waiters.remove(&seq).is_none() {
            // The outcome arrived between the timeout and the lock.
            return ready
                .recv()
                .unwrap_or_else(|_| Err(mirror_timeout()))
                .map(|()| seq);
        }
        let now = self.clock.now();
        state.node.finish(now, seq, 0, Verdict::NotRun);
        self.run_actions(&mut state, now);
        Err(mirror_timeout())
    }

    /// Reports that a request has ended and how many tokens it is charged.
    pub(crate) fn finish(&self, seq: Seq, tokens: Tokens, verdict: Verdict) {
        let mut state = self.lock();
        let now = self.clock.now();
        state.node.finish(now, seq, tokens, verdict);
        self.run_actions(&mut state, now);
    }

    /// Passes an event to the node.
    pub(crate) fn handle(&self, event: Event) {
        let mut state = self.lock();
        let now = self.clock.now();
        state.node.handle(now, event);
        self.run_actions(&mut state, now);
    }

    /// Runs what is due by the clock.
    pub(crate) fn tick(&self) {
        let mut state = self.lock();
        let now = self.clock.now();
        self.run_actions(&mut state, now);
    }

    /// Name of the current incarnation.
    ///
    /// # Examples
    ///
    /// ```no_run
    /// # fn show(handle: &cuminloom::node::Handle) {
    /// println!("{}", handle.incarnation());
    /// # }
    /// ```
    pub fn incarnation(&self) -> Incarnation {
        self.lock().node.incarnation().clone()
    }

    /// Counts and state of the node for metrics.
    ///
    /// # Examples
    ///
    /// ```no_run
    /// # fn show(handle: &cuminloom::node::Handle) {
    /// println!("{} open requests", handle.stats().open_requests);
    /// # }
    /// ```
    pub fn stats(&self) -> Stats {
        self.lock().node.stats()
    }

    /// Begins a planned stop: new requests are refused, all bills are committed and all budget shares
    /// returned.
    pub(crate) fn begin_stop(&self) {
        let mut state = self.lock();
        let now = self.clock.now();
        state.node.begin_stop();
        self.run_actions(&mut state, now);
    }

    /// Waits at most `limit` for the planned stop and returns whether it is complete.
    pub(crate) fn wait_stopped(&self, limit: Duration) -> bool {
        let state = self.lock();
        let waited = self
            .shared
            .stopped
            .wait_timeout_while(state, limit, |state| !state.stopped);
        waited.is_ok_and(|(state, _)| state.stopped)
    }

    /// Runs the actions of the node until none is left.
    fn run_actions(&self, state: &mut State, now: Duration) {
        loop {
            let actions = state.node.poll(now);
            if actions.is_empty() {
                return;
            }
            for action in actions {
                state.execute(action);
            }
            if state.stopped {
                self.shared.stopped.notify_all();
            }
        }
    }
}

/// Result of one try to admit a request: it may be sent, it waits to be mirrored, or it waits for
/// its budget.
enum AdmitAttempt {
    Ready(Seq),
    Mirroring(Seq, flume::Receiver<Result<(), RequestError>>),
    Waiting(flume::Receiver<()>),
}

/// Refusal of a request that was not mirrored before its deadline.
fn mirror_timeout() -> RequestError {
    RequestError::not_run(
        Code::BudgetUnavailable,
        "the request could not be mirrored in time",
    )
}

impl State {
    /// Runs an action. The channels are unbounded and their receivers outlive the node, so a send fails
    /// only while the process ends.
    fn execute(&mut self, action: Action) {
        match action {
            Action::Store { token, request } => {
                let _ = self.outbox.store_requests.send((token, request));
            }
            Action::Send { to, message } => {
                let _ = self.outbox.peer_messages.send((to, message));
            }
            Action::Ready { seq } => self.send_outcome(seq, Ok(())),
            Action::Refuse { seq, fault } => self.send_outcome(seq, Err(fault)),
            Action::Retry { budget } => {
                let waiters = self.budget_waiters.remove(&budget).unwrap_or_default();
                for waiter in waiters {
                    let _ = waiter.try_send(());
                }
            }
            Action::Change(change) => {
                let _ = self.outbox.state_changes.send(change);
            }
            Action::Stopped => self.stopped = true,
        }
    }

    /// Passes the outcome to the caller that waits for the request.
    fn send_outcome(&mut self, seq: Seq, outcome: Result<(), RequestError>) {
        if let Some(waiter) = self.ready_waiters.remove(&seq) {
            let _ = waiter.try_send(outcome);
        }
    }
}
