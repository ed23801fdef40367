//! Thread-safe handle of the router, with blocking calls for the threads that serve requests.

use std::{
    collections::{
        BTreeSet,
        HashMap, //
    },
    net::SocketAddr,
    sync::{
        Arc,
        Mutex,
        MutexGuard,
        PoisonError, //
    },
};

use super::{
    Action,
    AttemptOutcome,
    Job,
    Load,
    Router,
    Settings,
    Stats,
    Strike, //
};
use crate::{
    inbound::CallerGone,
    kernel::Clock,
    model::{
        Code,
        Configuration,
        RequestError,
        TargetId, //
    },
};

/// Target that is assigned to a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Assignment {
    /// Ticket of the request.
    pub ticket: u64,
    /// Target that is to run the request.
    pub target: TargetId,
    /// Address of the target.
    pub addr: SocketAddr,
    /// Whether the request has a strike.
    pub has_strike: bool,
}

/// Channel on which the assignment or refusal of a queued request is delivered.
type Waiter = (
    flume::Sender<Result<Assignment, RequestError>>,
    flume::Receiver<Result<Assignment, RequestError>>,
);

/// Router with the waiters of its open tickets.
#[derive(Debug)]
struct State {
    router: Router,
    waiters: HashMap<u64, Waiter>,
    /// Ticket of the next request.
    next_ticket: u64,
}

/// Handle of the router of a daemon, shared by its threads.
#[derive(Clone, Debug)]
pub struct Handle {
    clock: Clock,
    state: Arc<Mutex<State>>,
    /// Strikes to be sent to the peers.
    strikes: flume::Sender<Strike>,
}

impl Handle {
    /// Returns a handle of a new router. Strikes for the peers are sent to `strikes`.
    ///
    /// # Examples
    ///
    /// ```
    /// use cuminloom::{
    ///     kernel::Clock,
    ///     route::{Handle, Settings},
    /// };
    /// let (strikes, _) = flume::unbounded();
    /// let handle = Handle::new(Settings::new("cebu-north".into()), 1, Clock::start(), strikes);
    /// assert_eq!(handle.stats().queued, 0);
    /// ```
    pub fn new(
        settings: Settings,
        seed: u64,
        clock: Clock,
        strikes: flume::Sender<Strike>,
    ) -> Self {
        let router = Router::new(settings, seed);
        let state = State {
            router,
            waiters: HashMap::new(),
            next_ticket: 1,
        };
        Self {
            clock,
            state: Arc::new(Mutex::new(state)),
            strikes,
        }
    }

    /// Locks the state; a panic of another thread while it held the lock is ignored.
    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Sets the ticket of a request, queues it and blocks until a target is assigned.
    ///
    /// # Errors
    ///
    /// Fails when no target can take the request before its deadline, or when the caller leaves.
    pub(crate) fn enqueue(
        &self,
        mut job: Job,
        left: Option<&CallerGone>,
    ) -> Result<Assignment, RequestError> {
        let ticket = {
            let mut state = self.lock();
            let now = self.clock.now();
            let ticket = state.next_ticket;
            state.next_ticket += 1;
            job.ticket = ticket;
            state.router.offer(now, job)?;
            state.waiters.insert(ticket, flume::bounded(1));
            state.run_actions(now);
            ticket
        };
        self.wait(ticket, left)
    }

    /// Blocks until a target is assigned to a queued request.
    ///
    /// # Errors
    ///
    /// Fails when no target can take the request before its deadline, or when the caller leaves.
    pub(crate) fn wait(
        &self,
        ticket: u64,
        left: Option<&CallerGone>,
    ) -> Result<Assignment, RequestError> {
        let waiter = self
            .lock()
            .waiters
            .get(&ticket)
            .map(|(_, receiver)| receiver.clone());
        let not_queued = || RequestError::not_run(Code::Internal, "the request is not queued");
        let result = waiter
            .ok_or_else(not_queued)
            .and_then(|receiver| match left {
                Some(left) => flume::Selector::new()
                    .recv(&receiver, |result| {
                        result.unwrap_or_else(|_| Err(not_queued()))
                    })
                    .recv(left, |_| Err(caller_left()))
                    .wait(),
                None => receiver.recv().unwrap_or_else(|_| Err(not_queued())),
            });
        match &result {
            Ok(_) => {}
            // Removes the request from the queue, or frees its slot if a target was just assigned.
            Err(fault) if fault.code == Code::CallerLeft => {
                self.finish(ticket, AttemptOutcome::Cancelled);
            }
            Err(_) => drop(self.lock().waiters.remove(&ticket)),
        }
        result
    }

    /// Reports that the first byte of a response arrived.
    pub(crate) fn first_byte(&self, ticket: u64) {
        let now = self.clock.now();
        self.lock().router.first_byte(now, ticket);
    }

    /// Reports the outcome of an attempt; returns whether the request was queued again. A strike is
    /// handed to the peer links before this returns, so that the peers learn of it before the
    /// caller can resend the request.
    pub(crate) fn finish(&self, ticket: u64, outcome: AttemptOutcome) -> bool {
        let mut state = self.lock();
        let now = self.clock.now();
        let follow_up = state.router.finish(now, ticket, outcome);
        if let Some(strike) = follow_up.strike {
            let _ = self.strikes.send(strike);
        }
        if !follow_up.retry {
            state.waiters.remove(&ticket);
        }
        state.run_actions(now);
        follow_up.retry
    }

    /// Records a load report of a target.
    ///
    /// # Examples
    ///
    /// ```
    /// use cuminloom::{
    ///     kernel::Clock,
    ///     route::{Handle, Load, Settings},
    /// };
    /// let (strikes, _) = flume::unbounded();
    /// let handle = Handle::new(Settings::new("cebu-north".into()), 1, Clock::start(), strikes);
    /// let load = Load { running: 1, waiting: 0, capacity: 8, leaving: false };
    /// handle.report_load(&"runner-1".into(), load);
    /// ```
    pub fn report_load(&self, target: &TargetId, load: Load) {
        let mut state = self.lock();
        let now = self.clock.now();
        state.router.report_load(now, target, load);
        state.run_actions(now);
    }

    /// Sets which of `targets` are leaving, according to the platform's VM list and the operators'
    /// plans. The others accept new work again.
    pub(crate) fn set_leaving(&self, leaving: &BTreeSet<TargetId>, targets: &BTreeSet<TargetId>) {
        let mut state = self.lock();
        let now = self.clock.now();
        for target in targets {
            match leaving.contains(target) {
                true => state.router.set_leaving(now, target),
                false => state.router.clear_leaving(now, target),
            }
        }
        state.run_actions(now);
    }

    /// Sets the number of live daemons in the data centre and this daemon's rank among them.
    pub(crate) fn set_fleet(&self, rank: u32, daemons: u32) {
        self.lock().router.set_fleet(rank, daemons);
    }

    /// Records a strike that a peer reported.
    ///
    /// # Examples
    ///
    /// ```
    /// use cuminloom::{
    ///     kernel::Clock,
    ///     route::{Handle, Settings, Strike},
    /// };
    /// let (strikes, _) = flume::unbounded();
    /// let handle = Handle::new(Settings::new("cebu-north".into()), 1, Clock::start(), strikes);
    /// handle.add_strike(&Strike { fingerprint: 7, target: "runner-1".into() });
    /// assert_eq!(handle.stats().strikes, 1);
    /// ```
    pub fn add_strike(&self, strike: &Strike) {
        let now = self.clock.now();
        self.lock()
            .router
            .add_strike(now, strike.fingerprint, &strike.target);
    }

    /// Applies the services and customer weights of a configuration.
    pub(crate) fn configure(&self, config: &Configuration) {
        let mut state = self.lock();
        let now = self.clock.now();
        for service in config.services.values() {
            state.router.set_service(now, service);
        }
        for customer in config.customers.values() {
            state
                .router
                .set_weight(customer.id.clone(), customer.weight);
        }
        state.run_actions(now);
    }

    /// Runs the timers of the router. Called periodically.
    pub(crate) fn tick(&self) {
        let now = self.clock.now();
        self.lock().run_actions(now);
    }

    /// Returns counts for metrics.
    ///
    /// # Examples
    ///
    /// ```
    /// use cuminloom::{
    ///     kernel::Clock,
    ///     route::{Handle, Settings},
    /// };
    /// let (strikes, _) = flume::unbounded();
    /// let handle = Handle::new(Settings::new("cebu-north".into()), 1, Clock::start(), strikes);
    /// assert_eq!(handle.stats().offered, 0);
    /// ```
    pub fn stats(&self) -> Stats {
        self.lock().router.stats()
    }
}

/// Error of a request whose caller closed the connection.
fn caller_left() -> RequestError {
    RequestError::not_run(Code::CallerLeft, "the caller closed the connection")
}

impl State {
    /// Polls the router and delivers each action to the thread that waits for it.
    fn run_actions(&mut self, now: std::time::Duration) {
        for action in self.router.poll(now) {
            let (ticket, outcome) = match action {
                Action::Dispatch {
                    ticket,
                    target,
                    addr,
                    has_strike: struck,
                } => (
                    ticket,
                    Ok(Assignment {
                        ticket,
                        target,
                        addr,
                        has_strike: struck,
                    }),
                ),
                Action::Refuse { ticket, fault } => (ticket, Err(fault)),
            };
            if let Some((sender, _)) = self.waiters.get(&ticket) {
                let _ = sender.try_send(outcome);
            }
        }
    }
}
