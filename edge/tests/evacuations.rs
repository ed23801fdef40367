//! Evacuations that a daemon learns late, twice, in the wrong order, or from other daemons.

mod test_core;

use std::{
    thread::sleep,
    time::{
        Duration,
        Instant, //
    },
};

use cuminloom_edge::{
    adapter::StoreVersion,
    catalog::{
        EvacuationChange,
        Evacuations,
        ZoneId, //
    },
    peer::{
        PeerReply,
        decode,
        encode, //
    },
    prepaid::Ledger,
    serve::Bounds,
};
use rand::{
    RngExt,
    SeedableRng,
    rngs::StdRng,
    seq::SliceRandom, //
};
use serde::Serialize;

fn change(zone: &str, evacuated: bool) -> EvacuationChange {
    EvacuationChange {
        zone: ZoneId::from(zone),
        evacuated,
    }
}

/// Version `number` of the first era.
fn at(number: u64) -> StoreVersion {
    StoreVersion { era: 1, number }
}

fn zones(evacuations: &Evacuations) -> Vec<ZoneId> {
    evacuations.zones().cloned().collect()
}

/// A daemon that missed the removal of a row while its feed was down keeps the data centre evacuated for good.
#[test]
fn a_whole_read_ends_evacuations_whose_rows_are_gone() {
    let mut known = Evacuations::default();
    known.update([change("z-1", true), change("z-2", true)], at(5));
    let changed = known.replace([ZoneId::from("z-2")], at(9));
    assert_eq!(changed, [change("z-1", false)]);
    assert_eq!(zones(&known), ["z-2".into()]);
}

/// The feed delivers changes again that another daemon has told already, and ends a newer evacuation.
#[test]
fn repeated_changes_lead_to_the_newest_state() {
    let mut known = Evacuations::default();
    known.update([change("z-1", true)], at(5));
    // Rows 6 to 8: z-1 returns, z-2 is evacuated, z-1 is evacuated again.
    known.replace(["z-1".into(), "z-2".into()], at(8));
    assert!(known.update([change("z-1", false)], at(6)).is_empty());
    let rows = [
        change("z-2", true),
        change("z-1", true),
        change("z-3", true),
    ];
    assert_eq!(known.update(rows, at(9)), [change("z-3", true)]);
    assert_eq!(zones(&known).len(), 3);
}

/// Daemons that lost the store pass on states of different age, and an old one undoes a newer one.
#[test]
fn partitioned_daemons_agree_on_the_newest_state() {
    for (count, seed) in [(7, 1), (88, 2), (340, 3)] {
        let mut random = StdRng::seed_from_u64(seed);
        let history: Vec<Vec<ZoneId>> = (0..20)
            .map(|_| {
                let all = ["z-1", "z-2", "z-3"].map(ZoneId::from);
                all.into_iter()
                    .filter(|_| random.random_bool(0.5))
                    .collect()
            })
            .collect();
        for _ in 0..count {
            let mut order: Vec<usize> = (0..history.len()).collect();
            order.shuffle(&mut random);
            let mut known = Evacuations::default();
            let mut newest = 0;
            for version in order {
                newest = newest.max(version);
                known.replace(history[version].clone(), at(version as u64));
                assert_eq!(zones(&known), history[newest], "{count} daemons");
            }
        }
    }
}

/// A daemon that starts during an evacuation and can't reach the store is told by another daemon.
#[test]
fn a_daemon_passes_evacuations_on() {
    let start = || test_core::start_core(Ledger::new("vm-1", 1, None), 1_000);
    let (informed, started) = (start(), start());
    assert_eq!(informed.known_evacuations(), None);
    informed.apply_evacuations(vec![change("z-1", true)], true, at(40), Instant::now());
    let state = informed.known_evacuations().unwrap();
    assert_eq!(
        (state.version, &*state.zones),
        (40, &["z-1".to_owned()][..])
    );
    started.merge_evacuations("vm-1", state.clone());
    assert_eq!(started.known_evacuations(), Some(state));
}

/// A reply of the version before can't be decoded, or ends an evacuation that it does not mention.
#[test]
fn replies_of_the_earlier_version_say_nothing_of_evacuations() {
    #[derive(Serialize)]
    struct EarlierReply {
        node: &'static str,
        config: Option<Vec<u8>>,
        version: u64,
        age_ms: u64,
        runners: Option<Vec<u64>>,
    }
    let earlier = EarlierReply {
        node: "vm-2",
        config: None,
        version: 3,
        age_ms: 10,
        runners: None,
    };
    let reply: PeerReply = decode(&encode(&earlier).unwrap()).unwrap();
    assert_eq!(reply.evacuations, None);
}

/// An evacuation that a copy of the store lacks ends because an answer lay unread until it should have been written again.
#[test]
fn a_read_of_a_copy_that_lay_unread_ends_no_evacuation() {
    const GRACE: Duration = Duration::from_millis(20);
    let core = test_core::start_core(Ledger::new("vm-1", 1, None), 1_000);
    core.set_bounds(Bounds {
        lapse_grace: GRACE,
        ..core.bounds.get()
    });
    assert!(core.note_era(1, "configs"));
    core.apply_evacuations(vec![change("z-1", true)], true, at(40), Instant::now());
    assert!(core.note_era(2, "configs"));
    let asked = Instant::now();
    sleep(GRACE);
    let copy = StoreVersion { era: 2, number: 30 };
    core.apply_evacuations(Vec::new(), true, copy, asked);
    assert_eq!(core.known_evacuations().unwrap().zones, ["z-1"]);
    core.apply_evacuations(Vec::new(), true, copy, Instant::now());
    assert!(core.known_evacuations().unwrap().zones.is_empty());
}
