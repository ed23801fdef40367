//! Tokens of a request: taken before it is sent, settled when it ends.

use std::{
    cell::Cell,
    rc::Rc,
    sync::Arc,
    time::{
        Duration,
        Instant, //
    },
};

use tokio::time::timeout;

use super::{
    Core,
    call::Call,
    holders::{
        FIRST_WAIT,
        RemoteReservation,
        reclaim_reserves,
        reserve_at_holders, //
    },
    response::Refusal,
};
use crate::{
    adapter::Dialect,
    decide::retry_after,
    prepaid::{
        Admission,
        Reservation, //
    },
};

/// Longest time for which a request waits for a write to grant tokens; after that, the reserve is
/// released instead.
const MAX_GRANT_WAIT: Duration = Duration::from_millis(1200);

/// Accepted writes after which the daemon knows whether the store has tokens left: the first may
/// already have been in progress when the request arrived.
const MIN_GRANT_WRITES: u64 = 2;

/// Interval at which a request that waits for a write checks whether the store is still reachable.
const GRANT_POLL_INTERVAL: Duration = Duration::from_millis(100);

/// Time within which the reserves of other daemons are back in the store after a reclaim: their write, and
/// one of this daemon.
const RECLAIM_WAIT: Duration = Duration::from_millis(500);

/// Who holds the tokens that a request has reserved.
pub(super) enum Charge {
    /// The request is not prepaid.
    None,
    /// This daemon.
    Local(Reservation),
    /// Another daemon.
    Remote(RemoteReservation),
}

/// Tokens taken for a request. When dropped, charges those that were used and returns the rest.
pub(super) struct TokenCharge<D> {
    core: Rc<Core<D>>,
    charge: Charge,
    prompt_tokens: u64,
    /// Maximum number of tokens in one event.
    event_tokens: u64,
    /// Whether a runner may have read the prompt.
    pub(super) prompt_read: Cell<bool>,
    /// Events that may have reached the caller.
    event_count: Rc<Cell<u64>>,
}

impl<D> TokenCharge<D> {
    /// Tokens that the request has consumed so far.
    fn used(&self) -> u64 {
        if self.prompt_read.get() {
            self.prompt_tokens + self.event_count.get() * self.event_tokens
        } else {
            0
        }
    }
}

impl<D> Drop for TokenCharge<D> {
    fn drop(&mut self) {
        let used = self.used();
        match &mut self.charge {
            Charge::None => {}
            Charge::Local(reservation) => {
                self.core
                    .settle_tokens(reservation, used.min(reservation.cost));
            }
            Charge::Remote(remote) => remote.used = used,
        }
    }
}

/// A request for tokens of this daemon.
pub(super) struct TokenRequest<'a> {
    /// The tokens.
    pub reservation: &'a Reservation,
    /// Time at which it was received.
    pub received_at: Instant,
    /// Time for which it can wait.
    pub wait: Duration,
}

/// Takes the maximum number of tokens that the request can consume, from this daemon's grants or at
/// a holder. Waits for a grant while the store is reachable.
///
/// # Errors
///
/// Fails with the response for the caller if the budget is exhausted or no tokens are granted in
/// time.
pub(super) async fn take_tokens<D: Dialect>(
    core: &Rc<Core<D>>,
    call: &Call,
    event_count: Rc<Cell<u64>>,
) -> Result<TokenCharge<D>, Refusal> {
    let mut charge = TokenCharge {
        core: Rc::clone(core),
        charge: Charge::None,
        prompt_tokens: call.prompt_tokens(),
        event_tokens: call.event_tokens(),
        prompt_read: Cell::new(false),
        event_count,
    };
    let (Some(customer), Some(tokens)) = (&call.customer, call.meta.tokens) else {
        return Ok(charge);
    };
    if customer.prepaid.is_none() {
        return Ok(charge);
    }
    let reservation = Reservation {
        customer: Arc::clone(&customer.name),
        cost: tokens.prompt.saturating_add(tokens.output),
    };
    let mut span = call.start_span("tokens");
    let (admission, taken) = reserve(core, call, &reservation).await;
    if let Some(span) = &mut span {
        span.add_field("outcome", format_args!("{admission:?}"));
    }
    drop(span);
    log_tokens(core, call, &reservation, admission, &taken);
    match admission {
        Admission::Taken => {
            charge.charge = taken;
            Ok(charge)
        }
        Admission::Exhausted => Err(Refusal::rejected(402, "budget_exhausted")),
        Admission::Grant | Admission::Refused | Admission::Blocked | Admission::Release(_) => {
            let now = Instant::now();
            // A holder tells of blocked tokens as a refusal; while the store is reachable they may soon be back.
            let admission = match admission {
                Admission::Refused if core.ledger.borrow().is_attached(now) => Admission::Blocked,
                other => other,
            };
            let retry = retry_after(admission.retry_delay(), call.time_left(now));
            Err(Refusal::not_run("no_grant", retry))
        }
    }
}

/// Logs the decision about the tokens of a request and what it was based on.
fn log_tokens<D>(
    core: &Core<D>,
    call: &Call,
    reservation: &Reservation,
    admission: Admission,
    taken: &Charge,
) {
    let now = Instant::now();
    let ledger = core.ledger.borrow();
    let holder = match taken {
        Charge::Remote(remote) => remote.link.address().to_string(),
        Charge::Local(_) | Charge::None => "-".to_owned(),
    };
    log::info!(
        "event=tokens id={} customer={} prompt={} cost={} outcome={admission:?} holder={holder} remaining={} attached={} contact_ms={} waited_ms={}",
        call.meta.id,
        reservation.customer,
        call.prompt_tokens(),
        reservation.cost,
        ledger.remaining(&reservation.customer),
        ledger.is_attached(now),
        ledger.contact_age(now).map_or(-1, |d| d.as_millis() as i64),
        now.duration_since(call.received_at).as_millis()
    );
    if admission != Admission::Taken {
        log::info!(
            "event=tokens_missing id={} customer={} cost={} {}",
            call.meta.id,
            reservation.customer,
            reservation.cost,
            ledger.whereabouts(&reservation.customer, now)
        );
    }
}

/// Reserves tokens. A holder takes them from its own grants first and asks other holders if these do not
/// suffice; any other daemon asks the holders, and draws tokens itself if none of them decides.
async fn reserve<D: Dialect>(
    core: &Rc<Core<D>>,
    call: &Call,
    reservation: &Reservation,
) -> (Admission, Charge) {
    let most = call.wait_limit();
    if !core.ledger.borrow().is_holder() {
        return match reserve_at_holders(core, call, reservation).await {
            Some(result) => result,
            None => reserve_here(core, call, reservation, most).await,
        };
    }
    let mut last = (Admission::Grant, Charge::None);
    for wait in [FIRST_WAIT.min(most), most] {
        last = reserve_here(core, call, reservation, wait).await;
        if matches!(last.0, Admission::Taken | Admission::Exhausted) {
            return last;
        }
        let elsewhere = reserve_at_holders(core, call, reservation).await;
        if let Some(found @ (Admission::Taken | Admission::Exhausted, _)) = elsewhere {
            return found;
        }
        if last.0 == Admission::Blocked {
            return last;
        }
    }
    last
}

/// Reserves tokens of this daemon's own grants, and waits for them until `wait` after the request's arrival.
async fn reserve_here<D>(
    core: &Rc<Core<D>>,
    call: &Call,
    reservation: &Reservation,
    wait: Duration,
) -> (Admission, Charge) {
    let request = TokenRequest {
        reservation,
        received_at: call.received_at,
        wait,
    };
    let admission = wait_for_tokens(core, &request).await;
    (admission, Charge::Local(reservation.clone()))
}

/// Reserves tokens of this daemon's grants.
pub(super) fn try_admit<D>(core: &Core<D>, reservation: &Reservation, now: Instant) -> Admission {
    core.ledger
        .borrow_mut()
        .admit(&reservation.customer, reservation.cost, now)
}

/// Takes tokens of this daemon's grants as soon as some are available: at once, after the next writes,
/// or when the reserve is released. Returns early if none can become available in time.
pub(super) async fn wait_for_tokens<D>(
    core: &Rc<Core<D>>,
    request: &TokenRequest<'_>,
) -> Admission {
    let reservation = request.reservation;
    let mut admission = try_admit(core, reservation, request.received_at);
    let start_writes = core.ledger.borrow().accepted_writes();
    let mut demand = None;
    let mut reclaimed_at = None;
    loop {
        let now = Instant::now();
        match admission {
            Admission::Taken | Admission::Exhausted | Admission::Refused | Admission::Blocked => {
                return admission;
            }
            Admission::Release(time) if now + time > request.received_at + request.wait => {
                return admission;
            }
            Admission::Release(time) => {
                // Another request may take what is released, so this also wakes on changes.
                let freed = core.tokens_freed.notified();
                let _ = timeout(time, freed).await;
            }
            Admission::Grant => {
                let pool_short = {
                    let ledger = core.ledger.borrow();
                    ledger.accepted_writes() - start_writes >= MIN_GRANT_WRITES
                        && ledger.is_pool_short(&reservation.customer, reservation.cost, now)
                };
                if pool_short && reclaimed_at.is_none() {
                    if !reclaim_reserves(core, &reservation.customer) {
                        return admission;
                    }
                    reclaimed_at = Some(now);
                }
                let in_vain = reclaimed_at.is_some_and(|at| now > at + RECLAIM_WAIT);
                let end = request.received_at + request.wait.min(MAX_GRANT_WAIT);
                if pool_short && in_vain || now > end {
                    return admission;
                }
                demand.get_or_insert_with(|| TokenDemand::new(core, reservation));
                let freed = core.tokens_freed.notified();
                let _ = timeout(GRANT_POLL_INTERVAL, freed).await;
            }
        }
        admission = try_admit(core, reservation, Instant::now());
    }
}

/// Registers the demand of a waiting request with the writer until it is dropped.
struct TokenDemand<'a, D> {
    core: &'a Rc<Core<D>>,
    reservation: &'a Reservation,
}

impl<'a, D> TokenDemand<'a, D> {
    fn new(core: &'a Rc<Core<D>>, reservation: &'a Reservation) -> TokenDemand<'a, D> {
        core.ledger
            .borrow_mut()
            .adjust_waiting(&reservation.customer, reservation.cost, true);
        core.writer_wake.notify_one();
        TokenDemand { core, reservation }
    }
}

impl<D> Drop for TokenDemand<'_, D> {
    fn drop(&mut self) {
        self.core.ledger.borrow_mut().adjust_waiting(
            &self.reservation.customer,
            self.reservation.cost,
            false,
        );
    }
}
