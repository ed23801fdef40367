//! Reserves tokens at the daemons that hold grants.

use std::{
    rc::Rc,
    time::{
        Duration,
        Instant, //
    },
};

use tokio::time::timeout;

use super::{
    Core,
    call::Call,
    tokens::Charge, //
};
use crate::{
    peer::{
        PeerLink,
        ReserveOutcome,
        ReserveRequest,
        Settlement, //
    },
    prepaid::{
        Admission,
        Reservation, //
    },
};

/// Time within which a holder replies to a reservation, if only that it waits for tokens.
const REPLY_TIMEOUT: Duration = Duration::from_millis(250);

/// Holders that are asked for one request.
const MAX_HOLDERS_ASKED: usize = 3;

/// Time for which the first holder that is asked may wait for its next write, before the others are asked.
pub(super) const FIRST_WAIT: Duration = Duration::from_millis(150);

/// Time by which a holder keeps a reservation beyond the deadline of the request.
const EXPIRY_MARGIN: Duration = Duration::from_secs(2);

/// Tokens reserved at another daemon. When dropped, tells it how many were used.
pub(super) struct RemoteReservation {
    /// Link to the holder.
    pub link: Rc<PeerLink>,
    process: u64,
    number: u64,
    /// Tokens that the request has used.
    pub used: u64,
}

impl Drop for RemoteReservation {
    fn drop(&mut self) {
        self.link.settle(Settlement {
            process: self.process,
            number: self.number,
            used: self.used,
        });
    }
}

/// Asks the other holders to return their reserves of `customer`, and daemons that are not holders what they have.
/// Returns whether there are any.
pub(super) fn reclaim_reserves<D>(core: &Core<D>, customer: &str) -> bool {
    let now = Instant::now();
    let (holders, others) = {
        let ledger = core.ledger.borrow();
        (
            ledger.holders_for(customer),
            ledger.returners_for(customer, now),
        )
    };
    let links: Vec<Rc<PeerLink>> = holders
        .into_iter()
        .chain(others)
        .map(|address| core.peer_link(address))
        .filter(|link| !link.is_down(now))
        .collect();
    if core.may_reclaim(customer, now) {
        log::info!(
            "event=reserves_reclaimed customer={customer} daemons={}",
            links.len()
        );
        links.iter().for_each(|link| link.reclaim(customer));
    }
    !links.is_empty()
}

/// Best outcome of the holders that were asked for one request.
#[derive(Default)]
struct Asked {
    /// The first refusal.
    refusal: Option<(Admission, Charge)>,
    /// The first holder that may have tokens later.
    later: Option<Rc<PeerLink>>,
}

impl Asked {
    /// Takes the outcome of `link`. Returns it if it decides about the request.
    fn take(
        &mut self,
        link: &Rc<PeerLink>,
        outcome: Option<(Admission, Charge)>,
    ) -> Option<(Admission, Charge)> {
        let (admission, charge) = outcome?;
        match admission {
            Admission::Taken | Admission::Exhausted => return Some((admission, charge)),
            Admission::Grant | Admission::Release(_) => {
                self.later.get_or_insert_with(|| Rc::clone(link));
            }
            Admission::Refused | Admission::Blocked => {}
        }
        self.refusal.get_or_insert((admission, charge));
        None
    }
}

/// Asks holders until one has tokens; `None` if none of them decided. The first one may wait for a write, then
/// all are asked for what they have, and only then one of them waits for what others return.
pub(super) async fn reserve_at_holders<D>(
    core: &Rc<Core<D>>,
    call: &Call,
    reservation: &Reservation,
) -> Option<(Admission, Charge)> {
    let addresses = core.ledger.borrow().holders_for(&reservation.customer);
    let links: Vec<Rc<PeerLink>> = addresses
        .into_iter()
        .map(|address| core.peer_link(address))
        .filter(|link| !link.is_down(Instant::now()))
        .take(MAX_HOLDERS_ASKED)
        .collect();
    let mut asked = Asked::default();
    let first_wait = match core.ledger.borrow().is_holder() {
        true => Duration::ZERO,
        false => FIRST_WAIT,
    };
    for (i, link) in links.iter().enumerate() {
        let wait = if i == 0 { first_wait } else { Duration::ZERO };
        let outcome = ask_holder(core, call, reservation, link, wait).await;
        if let Some(decided) = asked.take(link, outcome) {
            return Some(decided);
        }
    }
    let Some(waiting) = asked.later.take().filter(|_| !first_wait.is_zero()) else {
        return asked.refusal;
    };
    let end = call.received_at + call.wait_limit();
    let left = end.saturating_duration_since(Instant::now());
    let outcome = ask_holder(core, call, reservation, &waiting, left).await;
    if let Some(decided) = asked.take(&waiting, outcome) {
        return Some(decided);
    }
    // Others may have got some meanwhile.
    for link in links.iter().filter(|link| !Rc::ptr_eq(link, &waiting)) {
        let outcome = ask_holder(core, call, reservation, link, Duration::ZERO).await;
        if let Some(decided) = asked.take(link, outcome) {
            return Some(decided);
        }
    }
    asked.refusal
}

/// Reserves tokens at one holder, which may wait for them for `wait`; `None` if it decided nothing.
async fn ask_holder<D>(
    core: &Rc<Core<D>>,
    call: &Call,
    reservation: &Reservation,
    link: &Rc<PeerLink>,
    wait: Duration,
) -> Option<(Admission, Charge)> {
    let now = Instant::now();
    let process = core.ledger.borrow().process();
    let number = core.next_reservation();
    let expires = call.time_left(now) + EXPIRY_MARGIN;
    let replies = link.reserve(ReserveRequest {
        process,
        number,
        request: call.meta.id.to_string(),
        customer: reservation.customer.to_string(),
        cost: reservation.cost,
        config: call.config.version,
        wait_ms: wait.as_millis() as u64,
        expires_ms: expires.as_millis() as u64,
    });
    // If this function ends early, dropping it returns the tokens.
    let remote = RemoteReservation {
        link: Rc::clone(link),
        process,
        number,
        used: 0,
    };
    let end = (now + wait).max(call.received_at + call.wait_limit());
    let outcome = await_outcome(core, link, &replies, end).await?;
    if outcome == ReserveOutcome::Stopping {
        link.mark_down(Instant::now());
    }
    let admission = outcome.admission()?;
    if admission == Admission::Taken {
        return Some((admission, Charge::Remote(remote)));
    }
    Some((admission, Charge::None))
}

/// Waits for the final reply of a holder; `None` if it does not reply. Silence does not count against the
/// holder if this process was late or nothing else was received either: then this VM or its link may have
/// stalled.
async fn await_outcome<D>(
    core: &Core<D>,
    link: &PeerLink,
    replies: &flume::Receiver<ReserveOutcome>,
    end: Instant,
) -> Option<ReserveOutcome> {
    let asked = Instant::now();
    let mut limit = REPLY_TIMEOUT + core.link.allowance(asked);
    let mut replied = false;
    loop {
        let begun = Instant::now();
        match timeout(limit, replies.recv_async()).await {
            Ok(Ok(ReserveOutcome::Waiting)) => {
                replied = true;
                core.link.record_round_trip(Instant::now(), asked.elapsed());
                let reply = REPLY_TIMEOUT + core.link.allowance(Instant::now());
                limit = end.saturating_duration_since(begun) + reply;
            }
            Ok(Ok(outcome)) => {
                // A later reply has waited for tokens.
                if !replied {
                    core.link.record_round_trip(Instant::now(), asked.elapsed());
                }
                return Some(outcome);
            }
            Ok(Err(flume::RecvError::Disconnected)) => return None,
            Err(_) if begun < end && !core.link.is_conclusive(begun, limit, Instant::now()) => {}
            Err(_) => {
                log::info!(
                    "event=holder_silent peer={} waited_ms={}",
                    link.address(),
                    begun.elapsed().as_millis()
                );
                link.give_up(Instant::now());
                return None;
            }
        }
    }
}
