//! The tokens of a request: taken before it is sent, settled when it ends.

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

use super::{Core, answer::Refusal, call::Call};
use crate::{
    border::Dialect,
    decide::retry_after,
    prepaid::{
        Admission,
        Reservation, //
    },
};

/// Longest time for which a request waits for writes to bring tokens: until the reserve is released
/// instead.
const GRANT_WAIT: Duration = Duration::from_millis(1200);

/// Accepted writes after which the daemon knows whether the store has tokens: the first may have been
/// under way when the request came.
const GRANT_WRITES: u64 = 2;

/// Time after which a request that waits for a write looks whether the store was lost.
const GRANT_LOOK: Duration = Duration::from_millis(100);

/// Gives a request's tokens back or charges them, also when the request is dropped.
pub(super) struct Charge<D> {
    core: Rc<Core<D>>,
    spending: Option<Reservation>,
    prompt: u64,
    /// Tokens that one event holds at most.
    stride: u64,
    /// Whether the prompt may have been read.
    pub(super) read: Cell<bool>,
    /// Events that the caller may have got.
    events: Rc<Cell<u64>>,
}

impl<D> Drop for Charge<D> {
    fn drop(&mut self) {
        let Some(spending) = &self.spending else {
            return;
        };
        let used = if self.read.get() {
            (self.prompt + self.events.get() * self.stride).min(spending.cost)
        } else {
            0
        };
        self.core
            .ledger
            .borrow_mut()
            .settle(spending, used, Instant::now());
        self.core.granted.notify_waiters();
    }
}

/// Takes the tokens that the request may consume at most. Waits for a grant while the store can be
/// asked.
pub(super) async fn take_tokens<D: Dialect>(
    core: &Rc<Core<D>>,
    call: &Call,
    events: Rc<Cell<u64>>,
) -> Result<Charge<D>, Refusal> {
    let mut charge = Charge {
        core: Rc::clone(core),
        spending: None,
        prompt: call.prompt(),
        stride: call.stride(),
        read: Cell::new(false),
        events,
    };
    let (Some(customer), Some(tokens)) = (&call.customer, call.ask.tokens) else {
        return Ok(charge);
    };
    if customer.prepaid.is_none() {
        return Ok(charge);
    }
    let cost = tokens.prompt + tokens.output;
    let spending = Reservation {
        customer: Arc::clone(&customer.name),
        cost,
    };
    let mut hop = call.hop("tokens");
    let admit = wait_for_tokens(core, call, &spending).await;
    if let Some(hop) = &mut hop {
        hop.note("outcome", format_args!("{admit:?}"));
    }
    drop(hop);
    let now = Instant::now();
    let ledger = core.ledger.borrow();
    log::info!(
        "event=tokens id={} customer={} prompt={} cost={cost} outcome={admit:?} remaining={} attached={} contact_ms={} waited_ms={}",
        call.ask.id,
        customer.name,
        tokens.prompt,
        ledger.remaining(&customer.name),
        ledger.is_attached(now),
        ledger.contact_age(now).map_or(-1, |d| d.as_millis() as i64),
        now.duration_since(call.at).as_millis()
    );
    match admit {
        Admission::Taken => {
            charge.spending = Some(spending);
            Ok(charge)
        }
        Admission::Exhausted => Err(Refusal::rejected(402, "budget_exhausted")),
        Admission::Grant | Admission::Refused | Admission::Release(_) => {
            let retry = retry_after(admit.retry_delay(), call.left(now));
            Err(Refusal::not_run("no_grant", retry))
        }
    }
}

/// Takes tokens as soon as there are some: at once, after the next writes, or as the reserve is
/// released. Ends as soon as it is clear that there are none in time.
async fn wait_for_tokens<D: Dialect>(
    core: &Rc<Core<D>>,
    call: &Call,
    spending: &Reservation,
) -> Admission {
    let ask = |now| {
        core.ledger
            .borrow_mut()
            .admit(&spending.customer, spending.cost, now)
    };
    let mut admit = ask(call.at);
    let begun = core.ledger.borrow().accepted_writes();
    let mut wanted = None;
    loop {
        let now = Instant::now();
        match admit {
            Admission::Taken | Admission::Exhausted | Admission::Refused => return admit,
            Admission::Release(time) if now + time > call.at + call.patience() => return admit,
            Admission::Release(time) => {
                // Another request may take what is released: look again before the time is over.
                let landed = core.granted.notified();
                let _ = timeout(time, landed).await;
            }
            Admission::Grant => {
                let dry = {
                    let ledger = core.ledger.borrow();
                    ledger.accepted_writes() - begun >= GRANT_WRITES
                        && ledger.is_pool_short(&spending.customer, spending.cost, now)
                };
                if dry || now > call.at + GRANT_WAIT {
                    return admit;
                }
                wanted.get_or_insert_with(|| Wanted::new(core, spending));
                let landed = core.granted.notified();
                let _ = timeout(GRANT_LOOK, landed).await;
            }
        }
        admit = ask(Instant::now());
    }
}

/// Tokens that a waiting request asks the writer for.
struct Wanted<'a, D> {
    core: &'a Rc<Core<D>>,
    spending: &'a Reservation,
}

impl<'a, D> Wanted<'a, D> {
    fn new(core: &'a Rc<Core<D>>, spending: &'a Reservation) -> Wanted<'a, D> {
        core.ledger
            .borrow_mut()
            .adjust_waiting(&spending.customer, spending.cost, true);
        core.wanted.notify_one();
        Wanted { core, spending }
    }
}

impl<D> Drop for Wanted<'_, D> {
    fn drop(&mut self) {
        self.core.ledger.borrow_mut().adjust_waiting(
            &self.spending.customer,
            self.spending.cost,
            false,
        );
    }
}
