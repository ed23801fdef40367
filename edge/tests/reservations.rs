//! Reservations that a holder makes for other daemons.

#[allow(dead_code, reason = "the runs of the ledger use the rest")]
#[path = "budget_world/store.rs"]
mod store;
mod test_core;

use std::{
    rc::Rc,
    time::{
        Duration,
        Instant, //
    },
};

use cuminloom_edge::{
    peer::{
        ReserveOutcome,
        ReserveReply,
        ReserveRequest,
        Settlement, //
    },
    prepaid::Ledger,
    serve::Core,
};
use store::FakeStore;
use test_core::{
    CONFIG_VERSION,
    start_core, //
};

/// Tokens of the customer `ann`.
const LIMIT: u64 = 1000;

/// A holder that has issued all tokens of the customer to itself.
fn holder() -> Rc<Core<()>> {
    holder_of(LIMIT)
}

/// A holder that has issued [`LIMIT`] tokens to itself, of a customer who has `limit`.
fn holder_of(limit: u64) -> Rc<Core<()>> {
    let mut store = FakeStore::default();
    let mut ledger = Ledger::new("vm-1", 1, None);
    ledger.set_limits([("ann".to_owned(), LIMIT)].into());
    let now = Instant::now();
    ledger.adjust_waiting("ann", LIMIT, true);
    for _ in 0..3 {
        ledger.apply_rows(store.rows(0), true, now, now);
        let plan = ledger.plan_write(now, Default::default()).unwrap();
        let commit = store.apply(&plan.batch, 0);
        ledger.apply_outcome(&plan, commit, now);
    }
    ledger.adjust_waiting("ann", LIMIT, false);
    start_core(ledger, limit)
}

/// Reservation of `cost` tokens.
fn request(number: u64, cost: u64) -> ReserveRequest {
    ReserveRequest {
        process: 2,
        number,
        request: format!("r-{number}"),
        customer: "ann".to_owned(),
        cost,
        config: CONFIG_VERSION,
        wait_ms: 0,
        expires_ms: 1000,
    }
}

/// Runs `future` to its end.
fn run(future: impl Future<Output = ()>) {
    tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .unwrap()
        .block_on(future);
}

/// Final outcome of `request`.
fn reserve(core: &Rc<Core<()>>, request: ReserveRequest) -> ReserveOutcome {
    let (sender, replies) = flume::unbounded();
    run(core.reserve_for_peer(request, sender));
    replies.drain().last().unwrap().outcome
}

/// Tokens of `ann` that are consumed or reserved.
fn used(core: &Core<()>) -> u64 {
    core.ledger.borrow().held_and_used("ann").1
}

/// Guards against a holder that refuses or ends because a message names an absurd time.
#[test]
fn huge_times_do_not_end_the_holder() {
    let core = holder();
    let huge = ReserveRequest {
        wait_ms: u64::MAX,
        expires_ms: u64::MAX,
        ..request(1, 100)
    };
    assert_eq!(reserve(&core, huge), ReserveOutcome::Taken);
}

/// Guards against tokens that are charged twice, not at all, or never come back.
#[test]
fn a_reservation_is_settled_once() {
    let core = holder();
    assert_eq!(reserve(&core, request(1, 400)), ReserveOutcome::Taken);
    assert_eq!(used(&core), 400);
    let settlement = Settlement {
        process: 2,
        number: 1,
        used: 150,
    };
    core.settle_for_peer(&settlement);
    core.settle_for_peer(&settlement);
    assert_eq!(used(&core), 150);
    assert_eq!(core.reservation_count(), 0);
}

/// Guards against tokens that stay reserved for a daemon whose connection ended before the reply.
#[test]
fn a_reply_that_reaches_nobody_reserves_nothing() {
    let core = holder();
    let (sender, replies) = flume::unbounded();
    drop(replies);
    run(core.reserve_for_peer(request(1, 400), sender));
    assert_eq!((used(&core), core.reservation_count()), (0, 0));
}

/// Guards against a holder that waits, and draws tokens, for a request whose caller has left.
#[test]
fn a_settlement_ends_the_wait() {
    let core = holder();
    let waiting = ReserveRequest {
        wait_ms: 10_000,
        ..request(1, 999)
    };
    // The limit covers the request, what the daemon holds does not, so that it has to wait.
    assert_eq!(reserve(&core, request(2, 998)), ReserveOutcome::Taken);
    let limits = [("ann".to_owned(), 3 * LIMIT)].into();
    core.ledger.borrow_mut().set_limits(limits);
    let start = Instant::now();
    run(async {
        let (sender, replies) = flume::unbounded::<ReserveReply>();
        let ends = async {
            let reply = replies.recv_async().await.unwrap();
            assert_eq!(reply.outcome, ReserveOutcome::Waiting);
            core.settle_for_peer(&Settlement {
                process: 2,
                number: 1,
                used: 0,
            });
        };
        tokio::join!(core.reserve_for_peer(waiting, sender), ends);
    });
    assert!(start.elapsed() < Duration::from_millis(500));
    assert!(!core.ledger.borrow().has_waiting());
}

/// Guards against spending again what a daemon may have used whose settlement never came.
#[test]
fn an_unsettled_reservation_is_charged_in_full() {
    let core = holder();
    assert_eq!(reserve(&core, request(1, 400)), ReserveOutcome::Taken);
    core.expire_reservations(Instant::now());
    assert_eq!(core.reservation_count(), 1);
    core.expire_reservations(Instant::now() + Duration::from_secs(2));
    assert_eq!((used(&core), core.reservation_count()), (400, 0));
}

/// Guards against 402 by a holder that does not know the customer or the newest limit, and against waiting
/// at one that stops.
#[test]
fn a_holder_that_cannot_tell_says_so() {
    let core = holder();
    assert_eq!(reserve(&core, request(1, 2000)), ReserveOutcome::Exhausted);
    let newer = ReserveRequest {
        config: CONFIG_VERSION + 1,
        ..request(2, 2000)
    };
    assert_eq!(reserve(&core, newer), ReserveOutcome::Unavailable);
    let unknown = ReserveRequest {
        customer: "eve".to_owned(),
        ..request(3, 10)
    };
    assert_eq!(reserve(&core, unknown), ReserveOutcome::Unavailable);
    core.begin_stop(cuminloom_edge::clock::boot_time());
    assert_eq!(reserve(&core, request(4, 10)), ReserveOutcome::Stopping);
}

/// Outcomes of `request` at a holder that has issued fewer tokens than the customer has left, and the time until
/// the last.
fn reserve_more(wait_ms: u64) -> (Vec<ReserveOutcome>, Duration) {
    let core = holder_of(10 * LIMIT);
    let (sender, replies) = flume::unbounded();
    let begun = Instant::now();
    let request = ReserveRequest {
        wait_ms,
        ..request(1, 2 * LIMIT)
    };
    run(core.reserve_for_peer(request, sender));
    let outcomes = replies.drain().map(|reply| reply.outcome);
    (outcomes.collect(), begun.elapsed())
}

/// A daemon that asks several holders for what they have waits at the first one that has too little, although
/// another has enough; or a holder waits longer than it was asked to.
#[test]
fn a_holder_waits_no_longer_than_it_is_asked_to() {
    let (outcomes, time) = reserve_more(0);
    assert_eq!(outcomes, [ReserveOutcome::Grant]);
    assert!(time < Duration::from_millis(80), "{time:?}");
    let (outcomes, time) = reserve_more(150);
    assert_eq!(outcomes, [ReserveOutcome::Waiting, ReserveOutcome::Grant]);
    let ms = Duration::from_millis;
    assert!(time >= ms(150) && time < ms(450), "{time:?}");
}
