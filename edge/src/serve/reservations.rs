//! Tokens that this daemon has reserved for requests of other daemons.

use std::{
    cell::RefCell,
    collections::HashMap,
    rc::Rc,
    sync::Arc,
    time::{
        Duration,
        Instant, //
    },
};

use tokio::sync::Notify;

use super::{
    Core,
    tokens::{
        TokenRequest,
        try_admit,
        wait_for_tokens, //
    },
};
use crate::{
    peer::{
        ReserveOutcome,
        ReserveReply,
        ReserveRequest,
        Settlement, //
    },
    prepaid::{
        Admission,
        MAX_TOTAL,
        Reservation, //
    },
};

/// Longest time for which a reservation is kept or waits, whatever its sender asks for.
const MAX_RESERVATION_TIME: Duration = Duration::from_secs(3600);

/// Process and number of a reservation.
type ReservationId = (u64, u64);

/// A reservation for another daemon.
#[derive(Debug)]
struct Entry {
    /// The tokens; `None` while the request waits for them.
    tokens: Option<Reservation>,
    /// Time at which the request has ended in any case.
    expires: Instant,
}

/// Open reservations for other daemons.
#[derive(Debug, Default)]
pub(super) struct Reservations {
    open: RefCell<HashMap<ReservationId, Entry>>,
    /// Notified when a reservation ends.
    ended: Notify,
}

impl<D> Core<D> {
    /// Number of reservations for other daemons that are open or wait for tokens.
    pub fn reservation_count(&self) -> usize {
        self.reservations.open.borrow().len()
    }

    /// Reserves tokens for a request of another daemon and sends the outcome to `replies`. Waits for
    /// tokens as for a request of this daemon's own callers.
    pub async fn reserve_for_peer(
        self: &Rc<Self>,
        request: ReserveRequest,
        replies: flume::Sender<ReserveReply>,
    ) {
        let received_at = Instant::now();
        let outcome = self
            .decide_reservation(&request, received_at, &replies)
            .await;
        log::info!(
            "event=reservation id={} customer={} cost={} process={} number={} outcome={outcome:?} waited_ms={}",
            request.request,
            request.customer,
            request.cost,
            request.process,
            request.number,
            received_at.elapsed().as_millis()
        );
        let delivered = send_reply(&replies, request.number, outcome);
        if !delivered && outcome == ReserveOutcome::Taken {
            // The sender does not know of the tokens, so it can't have used any.
            self.settle_for_peer(&Settlement {
                process: request.process,
                number: request.number,
                used: 0,
            });
        }
    }

    /// Decides about a reservation and records it if the tokens were taken.
    async fn decide_reservation(
        self: &Rc<Self>,
        request: &ReserveRequest,
        received_at: Instant,
        replies: &flume::Sender<ReserveReply>,
    ) -> ReserveOutcome {
        if self.is_stopping() {
            return ReserveOutcome::Stopping;
        }
        if !self.knows_limit(&request.customer) || request.cost > MAX_TOTAL {
            return ReserveOutcome::Unavailable;
        }
        let id = (request.process, request.number);
        let entry = Entry {
            tokens: None,
            expires: received_at + bounded_time(request.expires_ms),
        };
        self.reservations.open.borrow_mut().insert(id, entry);
        let reservation = Reservation {
            customer: Arc::from(&*request.customer),
            cost: request.cost,
        };
        let mut admission = try_admit(self, &reservation, received_at);
        let may_wait = request.wait_ms > 0;
        if may_wait && matches!(admission, Admission::Grant | Admission::Release(_)) {
            send_reply(replies, request.number, ReserveOutcome::Waiting);
            let wait = bounded_time(request.wait_ms);
            let token_request = TokenRequest {
                reservation: &reservation,
                received_at,
                wait,
            };
            tokio::select! {
                waited = wait_for_tokens(self, &token_request) => admission = waited,
                () = self.reservation_gone(id) => return ReserveOutcome::Unavailable,
            }
        }
        self.record_admission(id, reservation, admission);
        if admission == Admission::Exhausted && !self.knows_config(request.config) {
            return ReserveOutcome::Unavailable;
        }
        admission.into()
    }

    /// Whether this daemon knows the limit of `customer`.
    fn knows_limit(&self, customer: &str) -> bool {
        self.config().is_some_and(|config| {
            let mut customers = config.customers.iter();
            customers.any(|c| *c.name == *customer && c.prepaid.is_some())
        })
    }

    /// Returns when the reservation `id` has been ended.
    async fn reservation_gone(&self, id: ReservationId) {
        loop {
            let ended = self.reservations.ended.notified();
            if !self.reservations.open.borrow().contains_key(&id) {
                return;
            }
            ended.await;
        }
    }

    /// Whether the configuration in force is at least `version`.
    fn knows_config(&self, version: u64) -> bool {
        self.config().is_some_and(|c| c.version >= version)
    }

    /// Records the tokens taken for a reservation, or returns them if it has been ended meanwhile.
    fn record_admission(&self, id: ReservationId, reservation: Reservation, admission: Admission) {
        let mut open = self.reservations.open.borrow_mut();
        if admission != Admission::Taken {
            open.remove(&id);
            return;
        }
        match open.get_mut(&id) {
            Some(entry) => entry.tokens = Some(reservation),
            None => self.settle_tokens(&reservation, 0),
        }
    }

    /// Ends a reservation of another daemon.
    pub fn settle_for_peer(&self, settlement: &Settlement) {
        let id = (settlement.process, settlement.number);
        let entry = self.reservations.open.borrow_mut().remove(&id);
        self.reservations.ended.notify_waiters();
        if let Some(tokens) = entry.and_then(|e| e.tokens) {
            self.settle_tokens(&tokens, settlement.used.min(tokens.cost));
        }
    }

    /// Charges the whole cost of reservations whose end was not told in time.
    pub fn expire_reservations(&self, now: Instant) {
        let mut expired = Vec::new();
        self.reservations.open.borrow_mut().retain(|id, entry| {
            let keep = now < entry.expires || entry.tokens.is_none();
            if !keep {
                expired.push((*id, entry.tokens.take()));
            }
            keep
        });
        for ((process, number), tokens) in expired {
            let Some(tokens) = tokens else {
                continue;
            };
            log::warn!(
                "event=reservation_expired process={process} number={number} customer={} charged={}",
                tokens.customer,
                tokens.cost
            );
            self.settle_tokens(&tokens, tokens.cost);
        }
    }

    /// Settles tokens and wakes requests that wait for some.
    pub(super) fn settle_tokens(&self, reservation: &Reservation, used: u64) {
        self.ledger
            .borrow_mut()
            .settle(reservation, used, Instant::now());
        self.tokens_freed.notify_waiters();
    }
}

/// Duration of `ms` milliseconds, at most [`MAX_RESERVATION_TIME`].
fn bounded_time(ms: u64) -> Duration {
    Duration::from_millis(ms).min(MAX_RESERVATION_TIME)
}

/// Sends a reply. Returns `false` if the connection has ended meanwhile.
fn send_reply(replies: &flume::Sender<ReserveReply>, number: u64, outcome: ReserveOutcome) -> bool {
    let delivered = replies.send(ReserveReply { number, outcome }).is_ok();
    if !delivered {
        log::info!("event=reply_dropped number={number} outcome={outcome:?}");
    }
    delivered
}
