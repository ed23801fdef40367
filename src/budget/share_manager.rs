//! The share manager: the shares that one incarnation has in all budgets.

use std::{
    cmp::Reverse,
    collections::{
        BTreeMap,
        BinaryHeap,
        HashMap, //
    },
    time::Duration,
};

use super::{
    Action, Event, Mode, Reservation, ReserveOutcome, Share, ShareState,
    budget_state::{
        BudgetState,
        Millis, //
    },
    selection::drawing_daemons,
    transfer::Transfers,
};
use crate::model::{
    BudgetId,
    Code,
    Incarnation,
    RequestError,
    Tokens, //
};

/// Most budgets whose shares a planned stop returns at the same time.
const MAX_STOPPING_BUDGETS: usize = 64;

/// State machine that draws, issues and returns the budget shares of one incarnation. It does no
/// I/O: its owner passes events to [`ShareManager::handle`] and carries out the actions of
/// [`ShareManager::poll`]. All times are since the start of the process.
///
/// # Examples
///
/// ```
/// use cuminloom::budget::{Action, Event, Mode, ReserveOutcome, Row, ShareManager};
/// use std::time::Duration;
///
/// let (now, chat) = (Duration::ZERO, "chat".into());
/// let mut manager = ShareManager::start("vm-1.0a".into(), 7);
/// manager.handle(now, Event::Mode(Mode::Attached));
/// assert_eq!(manager.reserve(now, &chat, 10), ReserveOutcome::Wait);
/// assert_eq!(manager.poll(now), [Action::Read { budget: chat.clone() }]);
/// let row = Some((1, Row::create("anod".into(), 1_000)));
/// manager.handle(now, Event::Row { budget: chat.clone(), row });
/// assert!(matches!(manager.poll(now)[..], [Action::Commit { expect: 1, .. }]));
/// manager.handle(now, Event::Committed { budget: chat.clone(), version: 2 });
/// assert_eq!(manager.poll(now), [Action::Issue { budget: chat.clone(), total: 10 }]);
/// manager.handle(now, Event::Issued { budget: chat.clone(), total: 10 });
/// assert_eq!(manager.poll(now), [Action::Retry { budget: chat.clone() }]);
/// let ReserveOutcome::Held(held) = manager.reserve(now, &chat, 10) else { panic!("10 are issued") };
/// manager.settle(now, held, 4);
/// ```
#[derive(Debug)]
pub struct ShareManager {
    pub(super) inc: Incarnation,
    pub(super) mode: Mode,
    pub(super) stopping: bool,
    /// State of the random number generator; never 0.
    pub(super) seed: u64,
    /// Slot number of each budget in memory.
    pub(super) index: HashMap<BudgetId, u32>,
    pub(super) slots: Vec<Option<Box<BudgetState>>>,
    /// Numbers of unused slots.
    pub(super) free_slots: Vec<u32>,
    /// Counts of shares that have no slot, because they are empty and idle.
    pub(super) closed: BTreeMap<BudgetId, Box<Share>>,
    /// Slots to advance in the next poll.
    pub(super) queue: Vec<u32>,
    /// Next review or retry of each slot; an entry counts if it equals the slot's `timer_at`.
    pub(super) timers: BinaryHeap<Reverse<(Millis, u32)>>,
    /// Live incarnations of the data centre, including this one.
    pub(super) members: Vec<Incarnation>,
    pub(super) transfers: Transfers,
    /// Actions for the next poll to return.
    pub(super) out: Vec<Action>,
}

impl ShareManager {
    /// Returns a manager without shares, in mode [`Mode::Frozen`] until the first [`Event::Mode`].
    /// `seed` spreads the retries of different daemons.
    ///
    /// # Examples
    ///
    /// ```
    /// use cuminloom::budget::{ReserveOutcome, ShareManager};
    /// let mut manager = ShareManager::start("vm-1.0a".into(), 7);
    /// let answer = manager.reserve(std::time::Duration::ZERO, &"chat".into(), 1);
    /// assert!(matches!(answer, ReserveOutcome::Refused(_)));
    /// ```
    pub fn start(inc: Incarnation, seed: u64) -> Self {
        Self {
            inc,
            mode: Mode::Frozen,
            stopping: false,
            seed: seed | 1,
            index: HashMap::new(),
            slots: Vec::new(),
            free_slots: Vec::new(),
            closed: BTreeMap::new(),
            queue: Vec::new(),
            timers: BinaryHeap::new(),
            members: Vec::new(),
            transfers: Transfers::default(),
            out: Vec::new(),
        }
    }

    /// Reserves `bound` of the issued tokens for a request. Sends no message and allocates no
    /// memory when the issued tokens suffice.
    ///
    /// # Examples
    ///
    /// See [`ShareManager`].
    pub fn reserve(&mut self, now: Duration, budget: &BudgetId, bound: Tokens) -> ReserveOutcome {
        if let Some(fault) = self.mode_refusal() {
            return ReserveOutcome::Refused(fault);
        }
        let now = millis(now);
        let i = match self.index.get(budget) {
            Some(i) => *i,
            None => self.open_slot(now, budget),
        };
        let slot = self.slot(i);
        if slot.admit(now, bound) {
            if slot.spendable() < slot.low_water {
                self.enqueue(i);
            }
            return ReserveOutcome::Held(Reservation { slot: i, bound });
        }
        if now < slot.refuse_until {
            return ReserveOutcome::Refused(refusal_fault(slot));
        }
        slot.record_wait(now, bound);
        self.enqueue(i);
        ReserveOutcome::Wait
    }

    /// Returns why the mode or a planned stop refuses every request, if it does.
    fn mode_refusal(&self) -> Option<RequestError> {
        let (code, detail) = match self.mode {
            Mode::Sealed => (Code::Stopping, "the daemon was sealed"),
            _ if self.stopping => (Code::Stopping, "the daemon is stopping"),
            Mode::Frozen => (
                Code::BudgetUnavailable,
                "witness and platform are both unreachable",
            ),
            _ => return None,
        };
        Some(RequestError::not_run(code, detail))
    }

    /// Ends a reservation and charges `used` tokens.
    ///
    /// # Panics
    ///
    /// When `used` exceeds the bound; the caller must end a stream before that.
    ///
    /// # Examples
    ///
    /// See [`ShareManager`].
    pub fn settle(&mut self, now: Duration, held: Reservation, used: Tokens) {
        let _ = now;
        let closing = self.stopping;
        let slot = self.slot(held.slot);
        slot.settle(held.bound, used);
        // Waiting requests and a pending return can use the freed tokens.
        if slot.waiting_tokens > 0 || closing {
            self.enqueue(held.slot);
        }
    }

    /// Handles an event; the actions that follow come from the next [`ShareManager::poll`].
    ///
    /// # Examples
    ///
    /// See [`ShareManager`].
    pub fn handle(&mut self, now: Duration, event: Event) {
        let now = millis(now);
        match event {
            Event::Row { budget, row } => self.on_row(now, &budget, row),
            Event::Committed { budget, version } => self.on_committed(&budget, version),
            Event::Conflict { budget } => self.on_failed(now, &budget, true),
            Event::Failed { budget, .. } => self.on_failed(now, &budget, false),
            Event::Issued { budget, total } => self.on_issued(&budget, total),
            Event::Mode(mode) => self.on_mode(mode),
            Event::Billed { budget, total } => self.on_billed(&budget, total),
            Event::Short { budget } => self.on_short(&budget),
            Event::Ask {
                from,
                budget,
                tokens,
            } => self.on_ask(now, from, budget, tokens),
            Event::TransferLogged(id) => self.on_logged(now, &id),
            Event::TransferReceived(transfer) => self.on_received(now, transfer),
            Event::TransferConfirmed(id) => self.on_delivered(&id),
            Event::Members(members) => self.on_members(members),
            Event::PeerSealed(inc) => self.transfers.forget_peer(&inc),
            Event::Stop => {
                self.stopping = true;
                self.enqueue_all();
            }
        }
    }

    /// Runs due timers, advances the budgets that changed, and returns the actions since the last
    /// call.
    ///
    /// # Examples
    ///
    /// See [`ShareManager`].
    pub fn poll(&mut self, now: Duration) -> Vec<Action> {
        let now = millis(now);
        while let Some(Reverse((due, i))) = self.timers.peek().copied() {
            if due > now {
                break;
            }
            self.timers.pop();
            if self.slots[i as usize]
                .as_ref()
                .is_some_and(|s| s.timer_at == due)
            {
                self.review(now, i);
            }
        }
        if self.stopping {
            self.reopen_closed(now);
        }
        let mut queue = std::mem::take(&mut self.queue);
        for i in queue.drain(..) {
            if let Some(slot) = self.slots[i as usize].as_mut() {
                slot.queued = false;
                self.advance(now, i);
            }
        }
        // Keeps the queue's capacity, so that queueing a slot does not allocate.
        queue.append(&mut self.queue);
        self.queue = queue;
        self.resend_due(now);
        std::mem::take(&mut self.out)
    }

    /// When [`ShareManager::poll`] has to be called next unless an event arrives earlier.
    ///
    /// # Examples
    ///
    /// ```
    /// let manager = cuminloom::budget::ShareManager::start("vm-1.0a".into(), 7);
    /// assert_eq!(manager.next_due(), None);
    /// ```
    pub fn next_due(&self) -> Option<Duration> {
        if !self.queue.is_empty() || !self.out.is_empty() {
            return Some(Duration::ZERO);
        }
        let timer = self.timers.peek().map(|Reverse((due, _))| *due);
        let due = timer.into_iter().chain(self.transfers.next_due()).min()?;
        Some(Duration::from_millis(due))
    }

    /// State of the shares in memory, for a snapshot to the witness or an audit.
    ///
    /// # Examples
    ///
    /// ```
    /// let manager = cuminloom::budget::ShareManager::start("vm-1.0a".into(), 7);
    /// assert_eq!(manager.share_states().count(), 0);
    /// ```
    pub fn share_states(&self) -> impl Iterator<Item = ShareState> + '_ {
        self.slots.iter().flatten().map(|slot| ShareState {
            budget: slot.id.clone(),
            inc: self.inc.clone(),
            issued: slot.max_issued(),
            spent: slot.spent,
            reserved: slot.reserved,
            billed: slot.share.billed,
            sent: slot.share.sent,
            received: slot.share.received,
        })
    }

    /// Whether a planned stop has returned and removed every share.
    ///
    /// # Examples
    ///
    /// ```
    /// use cuminloom::budget::{Event, ShareManager};
    /// let mut manager = ShareManager::start("vm-1.0a".into(), 7);
    /// manager.handle(std::time::Duration::ZERO, Event::Stop);
    /// assert!(manager.is_done());
    /// ```
    pub fn is_done(&self) -> bool {
        self.stopping
            && self.index.is_empty()
            && self.closed.is_empty()
            && self.transfers.is_empty()
    }

    /// State of the budget in slot `i`.
    pub(super) fn slot(&mut self, i: u32) -> &mut BudgetState {
        self.slots[i as usize].as_mut().expect("the slot is in use")
    }

    /// Slot number of a budget in memory.
    pub(super) fn find(&self, budget: &str) -> Option<u32> {
        self.index.get(budget).copied()
    }

    /// Puts a budget into a slot, with the counts of its closed share if there is one.
    pub(super) fn open_slot(&mut self, now: Millis, budget: &BudgetId) -> u32 {
        let share = self
            .closed
            .remove(budget)
            .map_or_else(Share::default, |s| *s);
        let may_draw = self.is_drawing(budget);
        let mut slot = Box::new(BudgetState::open(budget.clone(), share, now, may_draw));
        slot.return_unspent = self.stopping && share == Share::default();
        let slot = Some(slot);
        let i = match self.free_slots.pop() {
            Some(i) => {
                self.slots[i as usize] = slot;
                i
            }
            None => {
                self.slots.push(slot);
                u32::try_from(self.slots.len() - 1).expect("fewer than 2^32 budgets")
            }
        };
        self.index.insert(budget.clone(), i);
        self.enqueue(i);
        i
    }

    /// Frees a slot; the counts of its share are kept unless the share was removed from the row.
    pub(super) fn close_slot(&mut self, i: u32, removed: bool) {
        let slot = self.slots[i as usize].take().expect("the slot is in use");
        assert!(slot.reserved == 0, "an open request keeps its slot");
        self.index.remove(&slot.id);
        self.transfers.drop_asks(i);
        self.free_slots.push(i);
        if !removed && slot.share != Share::default() {
            self.closed.insert(slot.id, Box::new(slot.share));
        }
    }

    /// Whether this incarnation draws from the row of the budget. It does until it knows its
    /// members.
    fn is_drawing(&self, budget: &str) -> bool {
        !self.members.contains(&self.inc)
            || drawing_daemons(budget, &self.members).contains(&self.inc)
    }

    /// Takes over the live incarnations, and with them which budgets this daemon draws from.
    fn on_members(&mut self, members: Vec<Incarnation>) {
        self.members = members;
        for i in 0..self.slots.len() {
            let Some(id) = self.slots[i].as_ref().map(|slot| slot.id.clone()) else {
                continue;
            };
            let may_draw = self.is_drawing(&id);
            if let Some(slot) = self.slots[i].as_mut() {
                slot.may_draw = may_draw;
            }
        }
        self.enqueue_all();
    }

    /// Queues a slot to be advanced in the next poll.
    #[inline]
    pub(super) fn enqueue(&mut self, i: u32) {
        let slot = self.slot(i);
        if !slot.queued {
            slot.queued = true;
            self.queue.push(i);
        }
    }

    /// Queues all slots to be advanced in the next poll.
    pub(super) fn enqueue_all(&mut self) {
        for (i, slot) in (0..).zip(&mut self.slots) {
            if let Some(slot) = slot.as_mut().filter(|slot| !slot.queued) {
                slot.queued = true;
                self.queue.push(i);
            }
        }
    }

    /// Opens closed shares during a planned stop, a limited number at a time, so that they are
    /// returned.
    fn reopen_closed(&mut self, now: Millis) {
        while self.index.len() < MAX_STOPPING_BUDGETS {
            let Some(budget) = self.closed.keys().next().cloned() else {
                return;
            };
            self.open_slot(now, &budget);
        }
    }
}

/// Converts a time since the start of the process to milliseconds.
fn millis(now: Duration) -> Millis {
    Millis::try_from(now.as_millis()).expect("a process runs for less than 2^64 ms")
}

/// Fault for requests that are refused because of the state of one budget.
fn refusal_fault(slot: &BudgetState) -> RequestError {
    let detail = match slot.reason {
        Code::NotFound => format!("budget {:?} does not exist", slot.id),
        Code::BudgetUnavailable => format!(
            "cannot draw from budget {:?}: no answer for its row",
            slot.id
        ),
        _ => format!("budget {:?} has {} free tokens", slot.id, slot.free.max(0)),
    };
    RequestError::not_run(slot.reason, detail)
}
