//! The router shared by the threads that serve requests.

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
    inbound::Left,
    kernel::Clock,
    model::{
        Code,
        Configuration,
        Fault,
        TargetId, //
    },
};

/// A target that is to run a request now.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Assignment {
    /// Number of the request at the router.
    pub ticket: u64,
    /// Target that runs the request.
    pub target: TargetId,
    /// Where the target listens.
    pub addr: SocketAddr,
    /// Whether the request was on a target when that crashed.
    pub has_strike: bool,
}

type Waiter = (
    flume::Sender<Result<Assignment, Fault>>,
    flume::Receiver<Result<Assignment, Fault>>,
);

#[derive(Debug)]
struct State {
    router: Router,
    waiters: HashMap<u64, Waiter>,
    next: u64,
}

/// The router of a daemon, shared by its threads.
#[derive(Clone, Debug)]
pub struct Handle {
    clock: Clock,
    state: Arc<Mutex<State>>,
    strikes: flume::Sender<Strike>,
}

impl Handle {
    /// Opens a router; strikes to be sent to peers go to `strikes`.
    ///
    /// # Examples
    ///
    /// ```
    /// use cuminloom::{
    ///     kernel::Clock,
    ///     route::{Handle, Settings},
    /// };
    /// let (strikes, _) = flume::unbounded();
    /// let handle = Handle::open(Settings::new("cebu-north".into()), 1, Clock::open(), strikes);
    /// assert_eq!(handle.stats().queued, 0);
    /// ```
    pub fn open(
        settings: Settings,
        seed: u64,
        clock: Clock,
        strikes: flume::Sender<Strike>,
    ) -> Self {
        let router = Router::new(settings, seed);
        let state = State {
            router,
            waiters: HashMap::new(),
            next: 1,
        };
        Self {
            clock,
            state: Arc::new(Mutex::new(state)),
            strikes,
        }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Queues a request, whose ticket is set here, and waits for a target.
    ///
    /// # Errors
    ///
    /// Fails when no target can take the request before its deadline, or when the caller leaves.
    pub(crate) fn enqueue(&self, mut job: Job, left: Option<&Left>) -> Result<Assignment, Fault> {
        let ticket = {
            let mut state = self.lock();
            let now = self.clock.now();
            let ticket = state.next;
            state.next += 1;
            job.ticket = ticket;
            state.router.offer(now, job)?;
            state.waiters.insert(ticket, flume::bounded(1));
            state.pump(now);
            ticket
        };
        self.wait(ticket, left)
    }

    /// Waits for a target of a request that is queued.
    ///
    /// # Errors
    ///
    /// Fails when no target can take the request before its deadline, or when the caller leaves.
    pub(crate) fn wait(&self, ticket: u64, left: Option<&Left>) -> Result<Assignment, Fault> {
        let waiter = self
            .lock()
            .waiters
            .get(&ticket)
            .map(|(_, receiver)| receiver.clone());
        let lost = || Fault::not_run(Code::Internal, "the request is not queued");
        let slot = waiter.ok_or_else(lost).and_then(|slot| match left {
            Some(left) => flume::Selector::new()
                .recv(&slot, |slot| slot.unwrap_or_else(|_| Err(lost())))
                .recv(left, |_| Err(caller_left()))
                .wait(),
            None => slot.recv().unwrap_or_else(|_| Err(lost())),
        });
        match &slot {
            Ok(_) => {}
            // Frees the place in the queue, or the slot if a target was chosen just now.
            Err(fault) if fault.code == Code::CallerLeft => {
                self.finish(ticket, AttemptOutcome::Cancelled);
            }
            Err(_) => drop(self.lock().waiters.remove(&ticket)),
        }
        slot
    }

    /// Reports the first byte of an answer.
    pub(crate) fn first_byte(&self, ticket: u64) {
        let now = self.clock.now();
        self.lock().router.first_byte(now, ticket);
    }

    /// Reports how a request ended; returns whether it was queued again. A strike is handed to the
    /// peer links before this returns, so that peers learn of it before the caller can send again.
    pub(crate) fn finish(&self, ticket: u64, ended: AttemptOutcome) -> bool {
        let mut state = self.lock();
        let now = self.clock.now();
        let after = state.router.finish(now, ticket, ended);
        if let Some(strike) = after.strike {
            let _ = self.strikes.send(strike);
        }
        if !after.retry {
            state.waiters.remove(&ticket);
        }
        state.pump(now);
        after.retry
    }

    /// Takes a load report of a target.
    ///
    /// # Examples
    ///
    /// ```
    /// use cuminloom::{
    ///     kernel::Clock,
    ///     route::{Handle, Load, Settings},
    /// };
    /// let (strikes, _) = flume::unbounded();
    /// let handle = Handle::open(Settings::new("cebu-north".into()), 1, Clock::open(), strikes);
    /// let load = Load { running: 1, waiting: 0, capacity: 8, leaving: false };
    /// handle.report_load(&"runner-1".into(), load);
    /// ```
    pub fn report_load(&self, target: &TargetId, load: Load) {
        let mut state = self.lock();
        let now = self.clock.now();
        state.router.report_load(now, target, load);
        state.pump(now);
    }

    /// Sets which targets are leaving according to the platform's list and the operators' plans.
    /// Others take new work again.
    pub(crate) fn set_leaving(&self, leaving: &BTreeSet<TargetId>, targets: &BTreeSet<TargetId>) {
        let mut state = self.lock();
        let now = self.clock.now();
        for target in targets {
            match leaving.contains(target) {
                true => state.router.set_leaving(now, target),
                false => state.router.clear_leaving(now, target),
            }
        }
        state.pump(now);
    }

    /// Sets the number of live daemons in the data centre and this daemon's number among them.
    pub(crate) fn set_fleet(&self, rank: u32, daemons: u32) {
        self.lock().router.set_fleet(rank, daemons);
    }

    /// Takes a strike from a peer.
    ///
    /// # Examples
    ///
    /// ```
    /// use cuminloom::{
    ///     kernel::Clock,
    ///     route::{Handle, Settings, Strike},
    /// };
    /// let (strikes, _) = flume::unbounded();
    /// let handle = Handle::open(Settings::new("cebu-north".into()), 1, Clock::open(), strikes);
    /// handle.add_strike(&Strike { fingerprint: 7, target: "runner-1".into() });
    /// assert_eq!(handle.stats().strikes, 1);
    /// ```
    pub fn add_strike(&self, strike: &Strike) {
        let now = self.clock.now();
        self.lock()
            .router
            .add_strike(now, strike.fingerprint, &strike.target);
    }

    /// Takes the services and customers of a configuration.
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
        state.pump(now);
    }

    /// Executes what is due.
    pub(crate) fn tick(&self) {
        let now = self.clock.now();
        self.lock().pump(now);
    }

    /// Counts for metrics.
    ///
    /// # Examples
    ///
    /// ```
    /// use cuminloom::{
    ///     kernel::Clock,
    ///     route::{Handle, Settings},
    /// };
    /// let (strikes, _) = flume::unbounded();
    /// let handle = Handle::open(Settings::new("cebu-north".into()), 1, Clock::open(), strikes);
    /// assert_eq!(handle.stats().offered, 0);
    /// ```
    pub fn stats(&self) -> Stats {
        self.lock().router.stats()
    }
}

fn caller_left() -> Fault {
    Fault::not_run(Code::CallerLeft, "the caller closed the connection")
}

impl State {
    fn pump(&mut self, now: std::time::Duration) {
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
