//! Sums the bills that count, for audits.

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
        StoreError,
        Table, //
    },
};

/// Number of rows per list call.
const PAGE_ROWS: usize = 500;

/// Prefix of the keys of fence rows.
const FENCE_PREFIX: &str = "fence/";

/// Prefix of the keys of ledger rows.
const LEDGER_PREFIX: &str = "ledger/";

/// Reads all bills that count and sums their tokens by budget and incarnation.
///
/// # Errors
///
/// Fails with a [`StoreError`] if the platform does not respond, or with [`StoreError::Unknown`] if
/// an object that counts is missing or malformed, because its bills are unknown then.
///
/// # Examples
///
/// ```
/// use cuminloom::{
///     bill,
///     store::{HttpStore, StoreError},
/// };
/// let store = HttpStore::new("127.0.0.1:1".parse().unwrap());
/// assert_eq!(bill::sum_bills(&store), Err(StoreError::Unavailable));
/// ```
pub fn sum_bills<S: Table + Objects>(
    store: &S,
) -> Result<BTreeMap<BudgetId, BilledTokens>, StoreError> {
    let mut incs = BTreeMap::new();
    // An incarnation that was sealed before its first batch has no ledger row, but its seal object
    // counts, so the fence rows are listed as well.
    for row in list_rows(store, FENCE_PREFIX)? {
        incs.insert(
            Incarnation::from(&row.key[FENCE_PREFIX.len()..]),
            Ledger::default(),
        );
    }
    for row in list_rows(store, LEDGER_PREFIX)? {
        let ledger = Ledger::from_value(&row.value).ok_or(StoreError::Unknown)?;
        incs.insert(row.key[LEDGER_PREFIX.len()..].into(), ledger);
    }
    let mut sums = BTreeMap::new();
    for (inc, ledger) in &incs {
        sum_incarnation(store, inc, *ledger, &mut sums)?;
    }
    Ok(sums)
}

/// Reads all rows whose key starts with `prefix`.
fn list_rows<S: Table>(store: &S, prefix: &str) -> Result<Vec<Row>, StoreError> {
    let mut rows: Vec<Row> = Vec::new();
    loop {
        let after = rows
            .last()
            .map_or_else(|| Arc::from(""), |row| row.key.clone());
        let page = store.list(prefix, &after, PAGE_ROWS)?;
        if page.is_empty() {
            return Ok(rows);
        }
        rows.extend(page);
    }
}

/// Adds the bills of one incarnation: its batches, its late batches and its seal object.
fn sum_incarnation<S: Table + Objects>(
    store: &S,
    inc: &Incarnation,
    ledger: Ledger,
    sums: &mut BTreeMap<BudgetId, BilledTokens>,
) -> Result<(), StoreError> {
    let batches = (1..=ledger.batches).map(|n| format!("bills/{inc}/{n}"));
    let late = (1..=ledger.late).map(|n| format!("bills/{inc}/late-{n}"));
    for name in batches.chain(late) {
        let body = store.get(&name)?.ok_or(StoreError::Unknown)?;
        let bills = decode_batch(&body).ok_or(StoreError::Unknown)?;
        bills.iter().for_each(|bill| add_bill(sums, inc, bill));
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
    let body = store.get(&name)?.ok_or(StoreError::Unknown)?;
    let seal = Seal::decode(&body).ok_or(StoreError::Unknown)?;
    seal.bills.iter().for_each(|bill| add_bill(sums, inc, bill));
    Ok(())
}

/// Adds one bill to the sums.
fn add_bill(sums: &mut BTreeMap<BudgetId, BilledTokens>, inc: &Incarnation, bill: &Bill) {
    let budget = sums.entry(bill.budget.clone()).or_default();
    *budget.entry(inc.clone()).or_default() += bill.tokens;
}
