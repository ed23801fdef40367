//! Cost of a budget row as the number of its shares grows.

use std::time::{
    Duration,
    Instant, //
};

use cuminloom::budget::{
    Row,
    Share, //
};
use serde_json::Value;

const ROUNDS: u32 = 200;

/// Cost of one change of a row.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Cost {
    /// Bytes of the row as JSON.
    pub(crate) bytes: u64,
    /// Time to decode, change and encode the row.
    pub(crate) change: Duration,
}

/// Measures a row with this number of live shares.
pub(crate) fn measure(shares: usize) -> Cost {
    let mut row = Row::create("customer-0001".into(), 1 << 50);
    let name = |n: usize| format!("ingress-{n:03}.{:016x}", u64::MAX - n as u64);
    for n in 0..shares {
        let share = Share {
            drawn: 123_456_789 + n as u64,
            returned: 12_345_678,
            billed: 98_765_432,
            ..Share::default()
        };
        row.update_share(&name(n), share).expect("a valid share");
    }
    let mut text = Value::from(&row).to_string();
    let bytes = text.len() as u64;
    let start = Instant::now();
    for round in 1..=ROUNDS {
        let value: Value = serde_json::from_str(&text).expect("JSON");
        let mut row = Row::try_from(value).expect("a row");
        let mut share = row.shares[&*name(0)];
        share.drawn += u64::from(round);
        row.update_share(&name(0), share).expect("a valid share");
        text = Value::from(&row).to_string();
    }
    Cost {
        bytes,
        change: start.elapsed() / ROUNDS,
    }
}
