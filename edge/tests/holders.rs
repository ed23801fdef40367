//! The choice of the daemons that hold grants, and what the others keep.

#[allow(dead_code, reason = "the runs of the ledger use the rest")]
#[path = "budget_world/store.rs"]
mod store;

use std::time::{
    Duration,
    Instant, //
};

use cuminloom_edge::prepaid::{
    Admission,
    Ledger,
    Member,
    Pacing,
    Precondition,
    Reservation,
    WriteScope,
    choose_holders,
    rank_holders,
    write_interval, //
};
use quickcheck::{
    Gen,
    QuickCheck, //
};
use store::FakeStore;

fn member(i: usize, zones: usize) -> Member {
    Member {
        node: format!("vm-{i}"),
        zone: format!("z-{}", i % zones),
        capacity: 120,
        peer: Some(([127, 0, 0, 1], 10_000 + i as u16).into()),
    }
}

/// Guards against data centres without a holder, too many holders, and a choice that depends on the order
/// of the rows.
#[test]
fn each_data_centre_has_holders() {
    fn property(count: u8, zones: u8) -> bool {
        let (count, zones) = (usize::from(count) + 1, usize::from(zones) % 20 + 1);
        let members: Vec<Member> = (0..count).map(|i| member(i, zones)).collect();
        let reversed: Vec<Member> = members.iter().rev().cloned().collect();
        let holders = choose_holders(&members);
        let used = zones.min(count);
        let per_zone = 8_usize.div_ceil(used).max(2);
        let covered = (0..used).all(|z| holders.iter().any(|h| h.zone == format!("z-{z}")));
        covered && holders.len() <= used * per_zone && holders == choose_holders(&reversed)
    }
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(50, 1))
        .quickcheck(property as fn(u8, u8) -> bool);
}

/// Guards against daemons of one data centre that use different holders for one customer, and against a
/// preference for another data centre.
#[test]
fn daemons_of_a_data_centre_prefer_the_same_holder() {
    let members: Vec<Member> = (0..81).map(|i| member(i, 4)).collect();
    let holders = choose_holders(&members);
    for customer in ["ann", "bob", "eve"] {
        let order = rank_holders(&holders, "z-1", customer);
        assert_eq!(order.len(), holders.len());
        let first = holders.iter().find(|h| h.peer == Some(order[0])).unwrap();
        assert_eq!(first.zone, "z-1");
    }
}

/// A ledger in a fleet of `count` daemons, whose rows have been written and read.
fn started(count: usize, own: usize) -> (FakeStore, Ledger, Instant) {
    let start = Instant::now();
    let mut store = FakeStore::default();
    let mut ledgers: Vec<Ledger> = (0..count)
        .map(|i| {
            let place = member(i, 1);
            let mut ledger = Ledger::new(&place.node, 1, place.peer).with_place(&place.zone, 120);
            ledger.set_limits([("c0".to_owned(), 1_000_000)].into());
            ledger
        })
        .collect();
    for beat in 0..3 {
        let at = start + Duration::from_millis(beat * 400);
        for ledger in &mut ledgers {
            ledger.apply_rows(store.rows(beat * 400), true, at, at);
            let plan = ledger.plan_write(at, Default::default()).unwrap();
            let commit = store.apply(&plan.batch, beat * 400);
            ledger.apply_outcome(&plan, commit, at);
            tell(ledger, at);
        }
    }
    let now = start + Duration::from_millis(1200);
    let mut ledger = ledgers.swap_remove(own);
    ledger.apply_rows(store.rows(1200), true, now, now);
    (store, ledger, now)
}

/// Writes the row once.
fn write(store: &mut FakeStore, ledger: &mut Ledger, now: Instant) {
    for _ in 0..2 {
        let plan = ledger.plan_write(now, Default::default()).unwrap();
        let commit = store.apply(&plan.batch, 1200);
        ledger.apply_outcome(&plan, commit, now);
        tell(ledger, now);
    }
}

/// Lets another daemon acknowledge the tokens that `ledger` has drawn.
fn tell(ledger: &mut Ledger, now: Instant) {
    if let Some(notice) = ledger.take_notice(now) {
        ledger.acknowledge(notice.number);
    }
}

/// Guards against callers who wait at a stopping daemon for tokens that it only returns.
#[test]
fn a_stopping_daemon_is_no_holder() {
    let (_, mut ledger, _) = started(4, 0);
    assert!(ledger.is_holder());
    ledger.leave();
    assert!(!ledger.is_holder());
}

/// Guards against tokens that stay at a daemon without grants after it drew them because no holder replied.
#[test]
fn a_member_returns_all_that_it_drew() {
    let own = (0..20)
        .find(|i| !started(20, *i).1.is_holder())
        .expect("twelve of twenty daemons are no holders");
    let (mut store, mut ledger, now) = started(20, own);
    ledger.adjust_waiting("c0", 2_000, true);
    write(&mut store, &mut ledger, now);
    assert_eq!(ledger.admit("c0", 2_000, now), Admission::Taken);
    ledger.adjust_waiting("c0", 2_000, false);
    let reservation = Reservation {
        customer: "c0".into(),
        cost: 2_000,
    };
    ledger.settle(&reservation, 500, now);
    let later = now + Duration::from_secs(60);
    write(&mut store, &mut ledger, later);
    assert_eq!(ledger.held_and_used("c0"), (500, 500));
}

/// Guards against daemons that all take themselves for the only holder after an outage of the store, because
/// nobody could write a row meanwhile.
#[test]
fn an_outage_of_the_store_silences_nobody() {
    let (store, mut ledger, now) = started(20, 0);
    let count = ledger.holder_count();
    let role = ledger.is_holder();
    assert_eq!(count, 8);
    // The first read after the outage comes before the first write of the others.
    let later = now + Duration::from_secs(40);
    ledger.apply_rows(store.rows(41_200), true, later, later);
    assert_eq!((ledger.holder_count(), ledger.is_holder()), (count, role));
}

/// Guards against holders that are gone but stay chosen while the store answers.
#[test]
fn a_daemon_that_stops_writing_is_no_holder() {
    let (store, mut ledger, now) = started(4, 0);
    assert_eq!(ledger.holder_count(), 4);
    for second in 1..30 {
        let at = now + Duration::from_secs(second);
        ledger.apply_rows(store.rows(1200 + second * 1000), true, at, at);
    }
    assert_eq!(ledger.holder_count(), 1);
}

/// Guards against a refusal of a large prompt whose tokens are spread over the reserves of other holders: a
/// reclaimed reserve is returned, and held again later.
#[test]
fn a_reclaimed_reserve_is_returned() {
    let (mut store, mut ledger, now) = started(4, 0);
    write(&mut store, &mut ledger, now);
    assert!(ledger.held_and_used("c0").0 > 0, "an idle reserve");
    ledger.reclaim("c0", now);
    write(&mut store, &mut ledger, now);
    assert_eq!(ledger.held_and_used("c0"), (0, 0));
    let later = now + Duration::from_secs(2);
    write(&mut store, &mut ledger, later);
    assert!(ledger.held_and_used("c0").0 > 0);
}

/// Guards against a daemon whose writes for a large prompt all conflict, because the others return a few tokens
/// with every write.
#[test]
fn a_reclaimed_holder_makes_no_small_changes() {
    let (mut store, mut ledger, now) = started(4, 0);
    ledger.adjust_waiting("c0", 4_000, true);
    write(&mut store, &mut ledger, now);
    ledger.adjust_waiting("c0", 4_000, false);
    let costs = [2_000, 2_000];
    for cost in costs {
        assert_eq!(ledger.admit("c0", cost, now), Admission::Taken);
    }
    ledger.reclaim("c0", now);
    write(&mut store, &mut ledger, now);
    let reservation = Reservation {
        customer: "c0".into(),
        cost: costs[0],
    };
    ledger.settle(&reservation, 1_960, now);
    let plan = ledger.plan_write(now, Default::default()).unwrap();
    assert!(plan.batch.customers.is_empty(), "{:?}", plan.batch);
}

/// Guards against a daemon that never learns of returned tokens: with requests that wait, its write has to
/// conflict when the customer's row has changed.
#[test]
fn a_write_for_waiting_requests_checks_the_customers_row() {
    let (_, mut ledger, now) = started(4, 0);
    ledger.adjust_waiting("c0", 5_000_000, true);
    let plan = ledger.plan_write(now, Default::default()).unwrap();
    let checked = |p: &Precondition| matches!(p, Precondition::Customer(name, _) if name == "c0");
    assert!(plan.batch.preconditions.iter().any(checked));
}

/// Guards against transactions with more entries than the store takes, which it would refuse for ever, and
/// against customers that are left out then.
#[test]
fn a_write_fits_into_a_transaction() {
    const CUSTOMERS: usize = 130;
    const MAX_ENTRIES: usize = 100;
    let now = Instant::now();
    let mut store = FakeStore::default();
    let mut ledger = Ledger::new("vm-1", 1, None);
    let names: Vec<String> = (0..CUSTOMERS).map(|i| format!("c{i}")).collect();
    ledger.set_limits(names.iter().map(|n| (n.clone(), 1000)).collect());
    for name in &names {
        ledger.adjust_waiting(name, 100, true);
    }
    for _ in 0..8 {
        ledger.apply_rows(store.rows(0), true, now, now);
        let plan = ledger.plan_write(now, Default::default()).unwrap();
        let entries = plan.batch.preconditions.len() + plan.batch.customers.len() + 1;
        assert!(entries <= MAX_ENTRIES, "{entries} entries");
        let commit = store.apply(&plan.batch, 0);
        ledger.apply_outcome(&plan, commit, now);
    }
    for name in &names {
        assert_eq!(ledger.admit(name, 100, now), Admission::Taken, "{name}");
    }
}

/// Guards against refusals at a daemon that has just become a holder: its last write is old because daemons
/// without grants write seldom, not because the store is away.
#[test]
fn a_new_holder_is_attached_before_its_next_write() {
    let own = (0..20)
        .find(|i| !started(20, *i).1.is_holder())
        .expect("twelve of twenty daemons are no holders");
    let (mut store, mut ledger, now) = started(20, own);
    for (_, row) in store.daemons.values_mut() {
        row.leaving = true;
    }
    let later = now + Duration::from_secs(3);
    ledger.apply_rows(store.rows(4200), true, later, later);
    assert!(ledger.is_holder());
    assert_eq!(ledger.admit("c0", 2_000, later), Admission::Grant);
}

/// Guards against a restarted daemon that draws tokens for a second, with all others, because it does not
/// know the holders.
#[test]
fn a_restarted_daemon_knows_the_holders() {
    let (store, old, now) = started(20, 0);
    let place = member(0, 1);
    let mut ledger = Ledger::new(&place.node, 2, place.peer).with_place(&place.zone, 120);
    ledger.apply_rows(store.rows(2400), true, now, now);
    assert_eq!(ledger.holders_for("c0"), old.holders_for("c0"));
    assert_eq!(ledger.is_holder(), old.is_holder());
    let mut first = Ledger::new("new", 3, None).with_place("z-0", 120);
    first.apply_rows(store.rows(2400), true, now, now);
    assert!(!first.knows_holders());
}

/// Guards against daemons without grants that keep the holders from writing when all of them draw tokens.
#[test]
fn daemons_without_grants_write_less_often_than_holders() {
    const RATE: f64 = 300.0;
    let mut pacing = Pacing::default();
    let [holder, other] = [true, false].map(|holds| {
        let (mut store, mut ledger, now) = (0..20)
            .map(|i| started(20, i))
            .find(|(_, ledger, _)| ledger.is_holder() == holds)
            .expect("eight of twenty daemons are holders");
        pacing.record_write(now);
        ledger.adjust_waiting("c0", 2_000, true);
        write(&mut store, &mut ledger, now);
        let waiting = write_interval(&ledger, 0.0);
        ledger.adjust_waiting("c0", 2_000, false);
        assert!(ledger.holds_tokens());
        assert!(waiting < write_interval(&ledger, 0.0));
        (
            pacing.spacing(&ledger, RATE, now),
            write_interval(&ledger, 0.0),
        )
    });
    assert!(holder.0 < other.0, "spacing: {holder:?}, {other:?}");
    assert!(holder.1 < other.1, "interval: {holder:?}, {other:?}");
}

/// Guards against holders that change the customers' rows at the same moment after a restart of all, so that every
/// commit conflicts: their turns are spread over a round.
#[test]
fn holders_take_turns() {
    const ROUND: Duration = Duration::from_millis(1000);
    let mut waits: Vec<u128> = (0..8)
        .map(|own| {
            let (_, ledger, now) = started(8, own);
            ledger.turn_wait(ROUND, now).unwrap().as_millis()
        })
        .collect();
    waits.sort_unstable();
    let apart = waits.windows(2).all(|pair| pair[1] - pair[0] >= 125);
    assert!(apart, "{waits:?}");
}

/// Guards against a holder that changes rows whose versions it has not read for long, and against requests that
/// wait for its turn.
#[test]
fn only_waiting_requests_change_rows_out_of_turn() {
    let (_, mut ledger, now) = started(4, 0);
    let pacing = Pacing::default();
    assert_eq!(
        pacing.scope(&ledger, now),
        WriteScope::Customers(usize::MAX)
    );
    let late = now + Duration::from_millis(500);
    let rows = |ledger: &mut Ledger| {
        let scope = pacing.scope(ledger, late);
        let plan = ledger.plan_scoped(late, Default::default(), scope).unwrap();
        plan.batch.customers.len()
    };
    ledger.set_limits([("c0".to_owned(), 9_000_000)].into());
    assert_eq!(rows(&mut ledger), 0);
    ledger.adjust_waiting("c0", 500_000, true);
    assert_eq!(rows(&mut ledger), 1);
}

/// Guards against requests that wait, and make the daemon write, for tokens that no write brings, and against a
/// refusal for good while open requests may return what they have reserved.
#[test]
fn a_request_without_hope_is_refused_at_once() {
    let (mut store, mut ledger, now) = started(4, 0);
    ledger.set_limits([("c0".to_owned(), 10_000)].into());
    ledger.adjust_waiting("c0", 8_000, true);
    write(&mut store, &mut ledger, now);
    ledger.adjust_waiting("c0", 8_000, false);
    assert_eq!(ledger.admit("c0", 8_000, now), Admission::Taken);
    assert_eq!(ledger.admit("c0", 3_000, now), Admission::Blocked);
    let reservation = Reservation {
        customer: "c0".into(),
        cost: 8_000,
    };
    ledger.settle(&reservation, 7_500, now);
    assert_eq!(ledger.admit("c0", 3_000, now), Admission::Exhausted);
    assert_ne!(ledger.admit("c0", 400, now), Admission::Exhausted);
    assert!(!ledger.has_waiting());
}

/// Guards against tokens that stay in pieces at daemons without grants while a request needs them: such a daemon
/// is found and returns all that it does not use.
#[test]
fn a_daemon_without_grants_returns_its_tokens_when_asked() {
    let count = 20;
    let own = (0..count)
        .find(|i| !started(count, *i).1.is_holder())
        .expect("twelve of twenty daemons are no holders");
    let (mut store, mut ledger, now) = started(count, own);
    ledger.adjust_waiting("c0", 9_000, true);
    write(&mut store, &mut ledger, now);
    assert_eq!(ledger.admit("c0", 2_000, now), Admission::Taken);
    ledger.adjust_waiting("c0", 9_000, false);
    let reservation = Reservation {
        customer: "c0".into(),
        cost: 2_000,
    };
    ledger.settle(&reservation, 2_000, now);
    let (_, mut other, _) = started(count, (own + 1) % count);
    other.apply_rows(store.rows(1200), true, now, now);
    let address = member(own, 1).peer.unwrap();
    assert_eq!(other.returners_for("c0", now), [address]);
    ledger.reclaim("c0", now);
    write(&mut store, &mut ledger, now);
    assert_eq!(ledger.held_and_used("c0"), (2_000, 2_000));
}
