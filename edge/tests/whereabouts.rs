//! Where a customer's tokens are, from rows of holders, others and silent daemons.

use std::time::{
    Duration,
    Instant, //
};

use cuminloom_edge::prepaid::{
    CustomerRow,
    DaemonRow,
    Grant,
    Ledger,
    Row,
    Rows,
    TokenPlace,
    Whereabouts, //
};
use quickcheck::{
    Gen,
    QuickCheck, //
};

/// Seed of the generated cases.
const SEED: u64 = 20_261_205;

/// Row of the daemon `name` with a grant of the customer `ann`.
fn row(name: &str, version: u64, cap: u64, spent: u64, open: u64) -> Row {
    let grant = Grant {
        cap,
        spent,
        open,
        ..Grant::default()
    };
    let row = DaemonRow {
        process: version,
        zone: "z-1".to_owned(),
        grants: [("ann".to_owned(), grant)].into(),
        ..DaemonRow::default()
    };
    Row::Daemon(name.to_owned(), version, Box::new(row))
}

/// Tokens are counted twice or not at all, or those of a silent daemon look usable.
#[test]
fn every_token_is_in_one_place() {
    let start = Instant::now();
    let mut ledger = Ledger::new("vm-1", 1, None).with_place("z-1", 100);
    ledger.set_limits([("ann".to_owned(), 1000)].into());
    let rows = |vm3: u64| Rows {
        rows: vec![
            row("vm-2", 5, 300, 100, 50),
            row("vm-3", vm3, 200, 150, 0),
            Row::Customer("ann".to_owned(), 9, CustomerRow { committed: 500 }),
        ],
        now: 1000,
        era: 1,
    };
    ledger.apply_rows(rows(6), true, start, start);
    let found = ledger.whereabouts("ann", start);
    assert_eq!((found.spent, found.open, found.free), (250, 50, 500));
    assert_eq!((found.silent, found.unseen, found.sum()), (0, 0, 1000));
    // Only vm-3 goes on writing.
    let mut now = start;
    for version in 7..20 {
        now += Duration::from_secs(2);
        ledger.apply_rows(rows(version), true, now, now);
    }
    let found = ledger.whereabouts("ann", now);
    assert_eq!((found.silent, found.unseen, found.sum()), (150, 0, 1000));
    assert_eq!(found.holders + found.others, 50);
}

/// Cap, spent and open tokens of a grant, and the place of its daemon.
type GrantCase = (u16, u16, u16, u8);

/// The parts do not add up to the limit, whatever the rows say.
#[test]
fn the_parts_add_up_to_the_limit() {
    fn property(input: (u32, u32, Vec<GrantCase>)) -> bool {
        let (limit, committed, grants) = input;
        let mut found = Whereabouts::new(limit.into(), committed.into());
        for (cap, spent, open, place) in grants {
            let grant = Grant {
                cap: cap.into(),
                spent: spent.into(),
                open: open.into(),
                ..Grant::default()
            };
            let places = [
                TokenPlace::Own,
                TokenPlace::Holder,
                TokenPlace::Other,
                TokenPlace::Silent,
            ];
            found.add(&grant, places[usize::from(place % 4)]);
        }
        found.sum() == i64::from(limit)
    }
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(50, SEED))
        .tests(500)
        .quickcheck(property as fn((u32, u32, Vec<GrantCase>)) -> bool);
}
