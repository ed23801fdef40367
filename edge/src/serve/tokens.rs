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

use super::{Core, call::Call, response::Refusal};
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

/// Tokens taken for a request. When dropped, charges those that were used and returns the rest.
pub(super) struct TokenCharge<D> {
    core: Rc<Core<D>>,
    /// Tokens to settle; `None` if the request is not prepaid.
    reservation: Option<Reservation>,
    prompt_tokens: u64,
    /// Maximum number of tokens in one event.
    event_tokens: u64,
    /// Whether a runner may have read the prompt.
    pub(super) prompt_read: Cell<bool>,
    /// Events that may have reached the caller.
    event_count: Rc<Cell<u64>>,
}

impl<D> Drop for TokenCharge<D> {
    fn drop(&mut self) {
        let Some(reservation) = &self.reservation else {
            return;
        };
        let used = if self.prompt_read.get() {
            (self.prompt_tokens + self.event_count.get() * self.event_tokens).min(reservation.cost)
        } else {
            0
        };
        self.core
            .ledger
            .borrow_mut()
            .settle(reservation, used, Instant::now());
        self.core.tokens_freed.notify_waiters();
    }
}

/// Takes the maximum number of tokens that the request can consume. Waits for a grant while the store
/// is reachable.
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
        reservation: None,
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
    let cost = tokens.prompt + tokens.output;
    let reservation = Reservation {
        customer: Arc::clone(&customer.name),
        cost,
    };
    let mut span = call.start_span("tokens");
    let admission = wait_for_tokens(core, call, &reservation).await;
    if let Some(span) = &mut span {
        span.add_field("outcome", format_args!("{admission:?}"));
    }
    drop(span);
    let now = Instant::now();
    let ledger = core.ledger.borrow();
    log::info!(
        "event=tokens id={} customer={} prompt={} cost={cost} outcome={admission:?} remaining={} attached={} contact_ms={} waited_ms={}",
        call.meta.id,
        customer.name,
        tokens.prompt,
        ledger.remaining(&customer.name),
        ledger.is_attached(now),
        ledger.contact_age(now).map_or(-1, |d| d.as_millis() as i64),
        now.duration_since(call.received_at).as_millis()
    );
    match admission {
        Admission::Taken => {
            charge.reservation = Some(reservation);
            Ok(charge)
        }
        Admission::Exhausted => Err(Refusal::rejected(402, "budget_exhausted")),
        Admission::Grant | Admission::Refused | Admission::Release(_) => {
            let retry = retry_after(admission.retry_delay(), call.time_left(now));
            Err(Refusal::not_run("no_grant", retry))
        }
    }
}

/// Takes tokens as soon as some are available: at once, after the next writes, or when the reserve is
/// released. Returns early if none can become available in time.
async fn wait_for_tokens<D: Dialect>(
    core: &Rc<Core<D>>,
    call: &Call,
    reservation: &Reservation,
) -> Admission {
    let try_admit = |now| {
        core.ledger
            .borrow_mut()
            .admit(&reservation.customer, reservation.cost, now)
    };
    let mut admission = try_admit(call.received_at);
    let start_writes = core.ledger.borrow().accepted_writes();
    let mut demand = None;
    loop {
        let now = Instant::now();
        match admission {
            Admission::Taken | Admission::Exhausted | Admission::Refused => return admission,
            Admission::Release(time) if now + time > call.received_at + call.wait_limit() => {
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
                if pool_short || now > call.received_at + MAX_GRANT_WAIT {
                    return admission;
                }
                demand.get_or_insert_with(|| TokenDemand::new(core, reservation));
                let freed = core.tokens_freed.notified();
                let _ = timeout(GRANT_POLL_INTERVAL, freed).await;
            }
        }
        admission = try_admit(Instant::now());
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
