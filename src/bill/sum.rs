//! Sums of the bills that count, for an audit.

use std::{
    collections::BTreeMap,
    sync::Arc, //
};

use super::{
    Bill,
    Ledger,
    Seal,
    decode_batch, //
};
use crate::{
    budget::BilledTokens,
    mirror::{
        Fence,
        fence_key, //
    },
    model::{
        BudgetId,
        Incarnation, //
    },
    store::{
        Objects,
        Row,
        StoreFault,
        Table, //
    },
};

/// Rows read in one exchange.
const PAGE: usize = 500;

/// Prefix of the keys of fence rows.
const FENCES: &str = "fence/";

/// Prefix of the keys of ledger rows.
const LEDGERS: &str = "ledger/";

/// Reads all bills that count and sums them by budget and incarnation. An object that is missing or
/// unreadable counts as unknown, because its bills can't be known.
///
/// # Errors
///
/// Fails with a [`StoreFault`] when the platform does not answer or an object that counts is
/// missing.
///
/// # Examples
///
/// ```
/// use cuminloom::{
///     bill,
///     store::{HttpStore, StoreFault},
/// };
/// let store = HttpStore::open("127.0.0.1:1".parse().unwrap());
/// assert_eq!(bill::sum_bills(&store), Err(StoreFault::Unavailable));
/// ```
pub fn sum_bills<S: Table + Objects>(
    store: &S,
) -> Result<BTreeMap<BudgetId, BilledTokens>, StoreFault> {
    let mut incs = BTreeMap::new();
    // An incarnation that was sealed before its first batch has no ledger row, but its seal object
    // counts.
    for row in list(store, FENCES)? {
        incs.insert(
            Incarnation::from(&row.key[FENCES.len()..]),
            Ledger::default(),
        );
    }
    for row in list(store, LEDGERS)? {
        let ledger = Ledger::from_value(&row.value).ok_or(StoreFault::Unknown)?;
        incs.insert(row.key[LEDGERS.len()..].into(), ledger);
    }
    let mut sums = BTreeMap::new();
    for (inc, ledger) in &incs {
        count_one(store, inc, *ledger, &mut sums)?;
    }
    Ok(sums)
}

fn list<S: Table>(store: &S, prefix: &str) -> Result<Vec<Row>, StoreFault> {
    let mut rows: Vec<Row> = Vec::new();
    loop {
        let after = rows
            .last()
            .map_or_else(|| Arc::from(""), |row| row.key.clone());
        let page = store.list(prefix, &after, PAGE)?;
        if page.is_empty() {
            return Ok(rows);
        }
        rows.extend(page);
    }
}

fn count_one<S: Table + Objects>(
    store: &S,
    inc: &Incarnation,
    ledger: Ledger,
    sums: &mut BTreeMap<BudgetId, BilledTokens>,
) -> Result<(), StoreFault> {
    let batches = (1..=ledger.batches).map(|n| format!("bills/{inc}/{n}"));
    let late = (1..=ledger.late).map(|n| format!("bills/{inc}/late-{n}"));
    for name in batches.chain(late) {
        let body = store.get(&name)?.ok_or(StoreFault::Unknown)?;
        let bills = decode_batch(&body).ok_or(StoreFault::Unknown)?;
        bills.iter().for_each(|bill| add(sums, inc, bill));
    }
    let fence = store.read(&fence_key(inc))?;
    let sealed = fence
        .and_then(|row| Fence::from_value(&row.value))
        .and_then(|f| f.sealed);
    let Some(name) = sealed
        .map(|sealed| sealed.object)
        .filter(|name| !name.is_empty())
    else {
        return Ok(());
    };
    let body = store.get(&name)?.ok_or(StoreFault::Unknown)?;
    let seal = Seal::decode(&body).ok_or(StoreFault::Unknown)?;
    seal.bills.iter().for_each(|bill| add(sums, inc, bill));
    Ok(())
}

fn add(sums: &mut BTreeMap<BudgetId, BilledTokens>, inc: &Incarnation, bill: &Bill) {
    let budget = sums.entry(bill.budget.clone()).or_default();
    *budget.entry(inc.clone()).or_default() += bill.tokens;
}
