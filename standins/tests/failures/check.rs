//! The check at the end of every test: all tokens and bills are accounted for.

use std::collections::{
    BTreeMap,
    BTreeSet, //
};

use cuminloom::{
    bill::{
        self,
        Bill,
        Ledger,
        Seal, //
    },
    budget,
    mirror::{
        Fence,
        ledger_key, //
    },
    model::Tokens,
    store::{
        Change,
        HttpStore,
        Objects,
        Precondition,
        Table,
        Write, //
    },
};
use cuminloom_standins::fleet::{
    Fleet,
    Plan, //
};

use crate::call::{
    counters,
    ctl,
    effects,
    wait_until, //
};

/// Rows read at most; a test leaves far fewer.
const ROWS: usize = 1_000;

/// The platform beside its faults.
pub(crate) fn store(fleet: &Fleet) -> HttpStore {
    HttpStore::new(fleet.platform.addr("control"))
}

/// Fence rows by incarnation.
pub(crate) fn fences(fleet: &Fleet) -> BTreeMap<String, Fence> {
    let rows = store(fleet).list("fence/", "", ROWS).unwrap();
    let fences = rows.iter().map(|row| {
        let fence = Fence::from_value(&row.value).expect("the row is a fence");
        (row.key["fence/".len()..].to_owned(), fence)
    });
    fences.collect()
}

/// The incarnation of a daemon that is not sealed.
pub(crate) fn live_incarnation(fleet: &Fleet, id: &str) -> Option<String> {
    let live = fences(fleet)
        .into_iter()
        .find(|(_, fence)| &*fence.daemon == id && fence.sealed.is_none());
    live.map(|(inc, _)| inc)
}

/// Starts a deployment and waits until every daemon has a witness. A daemon that fails before has
/// no mirror record, and is sealed only when its VM has been off the list for `vm_list_lag`.
pub(crate) fn start(plan: Plan) -> Fleet {
    let fleet = Fleet::start(plan).unwrap();
    wait_until("every daemon has a witness", || {
        let fences = fences(&fleet);
        fences.len() == fleet.members.len() && fences.values().all(|it| it.witness.is_some())
    });
    fleet
}

/// Waits until an incarnation is sealed and its shares are settled.
pub(crate) fn wait_sealed(fleet: &Fleet, inc: &str) {
    wait_until(&format!("{inc} is sealed"), || {
        let sealed = fences(fleet)[inc].sealed.clone();
        sealed.is_some_and(|sealed| sealed.settled)
    });
}

/// Stops all daemons as planned, and checks that every token and every request is accounted for.
/// The daemon `auditor` is started again for the audit.
pub(crate) fn check(mut fleet: Fleet, auditor: usize) {
    stop_all(&mut fleet);
    for (inc, fence) in fences(&fleet) {
        assert!(fence.sealed.is_some(), "{inc} was left unsealed");
    }
    check_budget(&fleet);
    check_bills(&fleet);
    fleet.restart(auditor).unwrap();
    fleet.wait_ready().unwrap();
    check_leak(&fleet, auditor);
}

fn stop_all(fleet: &mut Fleet) {
    let running = fleet.members.iter().filter_map(|it| it.process.as_ref());
    running.for_each(|process| process.terminate().unwrap());
    for member in &mut fleet.members {
        let Some(mut process) = member.process.take() else {
            continue;
        };
        let status = process.wait().unwrap();
        assert!(status.success(), "{} stopped with {status}", member.id);
    }
}

fn check_budget(fleet: &Fleet) {
    let store = store(fleet);
    let row = fleet.budget();
    let figures = row.breakdown();
    assert_eq!(figures.held, 0, "{row:?}");
    let parts = figures.billed + figures.orphaned + figures.free;
    assert_eq!(parts, i128::from(row.limit), "{row:?}");
    let bills = bill::sum_bills(&store).unwrap();
    let bills = bills.get("lamps").cloned().unwrap_or_default();
    let audit = budget::audit(&"lamps".into(), &row, &bills, &[]);
    assert_eq!(audit.discrepancies, [], "{row:?}, {bills:?}");
    let engines = fleet.engines.iter().map(|it| counters(it).total);
    let spent: Tokens = engines.map(|total| total.generated).sum();
    assert!(spent <= row.limit, "{spent} generated of {}", row.limit);
}

/// The bills that count, by incarnation and request number.
fn bills(fleet: &Fleet) -> BTreeMap<(String, u64), Vec<Bill>> {
    let store = store(fleet);
    let fences = fences(fleet);
    let mut found: BTreeMap<_, Vec<Bill>> = BTreeMap::new();
    for (inc, fence) in &fences {
        // An incarnation that was sealed before its first batch has no ledger row.
        let row = store.read(&ledger_key(inc)).unwrap();
        let ledger = row.map_or(Ledger::default(), |row| {
            Ledger::from_value(&row.value).expect("the row is a ledger")
        });
        let batches = (1..=ledger.batches).map(|n| format!("bills/{inc}/{n}"));
        let late = (1..=ledger.late).map(|n| format!("bills/{inc}/late-{n}"));
        let mut counted = Vec::new();
        for name in batches.chain(late) {
            let body = store.get(&name).unwrap().expect("the object exists");
            counted.extend(bill::decode_batch(&body).expect("the object is a batch"));
        }
        let sealed = fence.sealed.as_ref().map(|sealed| &*sealed.object);
        if let Some(name) = sealed.filter(|name| !name.is_empty()) {
            let body = store.get(name).unwrap().expect("the object exists");
            counted.extend(Seal::decode(&body).expect("the object is a seal").bills);
        }
        for bill in counted {
            let id = (inc.clone(), bill.seq);
            found.entry(id).or_default().push(bill);
        }
    }
    found
}

/// Tokens that each request must at least be billed, by its `x-request-id`.
fn ran(fleet: &Fleet) -> BTreeMap<String, Tokens> {
    let mut ran: BTreeMap<String, Tokens> = BTreeMap::new();
    for engine in &fleet.engines {
        for (id, run) in counters(engine).requests {
            *ran.entry(id).or_default() += run.generated;
        }
    }
    for id in effects(fleet).requests.into_keys() {
        ran.entry(id).or_insert(1);
    }
    ran
}

fn check_bills(fleet: &Fleet) {
    let bills = bills(fleet);
    for (id, found) in &bills {
        assert_eq!(found.len(), 1, "{id:?} is billed several times: {found:?}");
    }
    let ran = ran(fleet);
    let split = |id: &str| {
        let (process, seq) = id.rsplit_once('-').expect("an id of a daemon");
        (process.to_owned(), seq.parse::<u64>().expect("a number"))
    };
    let processes: BTreeSet<String> = ran.keys().map(|id| split(id).0).collect();
    for (id, least) in &ran {
        let (process, seq) = split(id);
        let daemon = process.rsplit_once('.').expect("an incarnation").0;
        // Numbers count on in the later incarnations of a process, which send the name of the first.
        let is_later = |inc: &str| {
            !processes.contains(inc) && inc.rsplit_once('.').is_some_and(|it| it.0 == daemon)
        };
        let found: Vec<&Bill> = bills
            .iter()
            .filter(|((inc, n), _)| *n == seq && (*inc == process || is_later(inc)))
            .flat_map(|(_, bills)| bills)
            .collect();
        assert_eq!(found.len(), 1, "{id} ran and its bills are {found:?}");
        assert!(found[0].tokens >= *least, "{id} used {least}: {found:?}");
    }
}

/// The audit is clean, and finds one token that leaks from the row.
fn check_leak(fleet: &Fleet, auditor: usize) {
    let clean = ctl(fleet, auditor, &["audit"]);
    assert_eq!(clean.status.code(), Some(0), "{clean:?}");
    let store = store(fleet);
    let row = store.read("budget/lamps").unwrap().expect("it exists");
    let mut budget = budget::Row::try_from(row.value).expect("the row is a budget");
    budget.settled += 1;
    let leak = Write {
        key: row.key,
        precondition: Precondition::Version(row.version),
        change: Change::Put((&budget).into()),
    };
    store.commit(&[leak]).unwrap();
    let found = ctl(fleet, auditor, &["audit"]);
    assert_eq!(found.status.code(), Some(5), "{found:?}");
}
