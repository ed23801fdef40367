//! Bounds from the target size: 340 daemons, 17,000 requests/s, and per daemon at most 1.3% of a
//! core, 32 MB and 22 KB/s of control.

use std::time::Duration;

use super::{
    config,
    fleet::{
        self,
        Cost,
        Setup, //
    },
    router,
    row, //
};

const DAEMONS: f64 = 340.0;
const REQUESTS_PER_S: f64 = 17_000.0;
const RATE: f64 = REQUESTS_PER_S / DAEMONS;
/// Sent and received, of one daemon.
const BYTES_PER_S: f64 = 22.0 * 1024.0;
const MEMORY: u64 = 32 << 20;
/// The lowest reading of "several hundred" writes.
const WRITES_PER_S: f64 = 300.0;
const READS_PER_S: f64 = 2_000.0;
/// Two bill writes of each daemon every 4 s.
const BILL_WRITES_PER_S: f64 = DAEMONS * 2.0 / 4.0;
/// Each daemon reads `config/head` every 2 s and the list of VMs every 5 s.
const FIXED_READS_PER_S: f64 = DAEMONS * (0.5 + 0.2);
/// Shares of a row whose drawers are 4 daemons in each of 21 data centres.
pub(crate) const SHARES: usize = 84;
/// Budgets whose share a daemon holds, when 4 of the 16 daemons of a data centre draw on each of
/// the 330,000 budgets and each budget is drawn on in one data centre.
const BUDGETS_PER_DAEMON: u64 = 330_000 * 4 / 340;
/// Requests that a daemon runs at once if each takes 10 s.
const OPEN: u64 = 500;
/// Targets that a daemon sees.
const TARGETS: u64 = 1_700;

/// Number of requests of a run, in thousands.
pub(crate) fn thousands(cost: &Cost) -> f64 {
    cost.finished.max(1) as f64 / 1_000.0
}

/// Bytes between daemons per request, sent and received.
pub(crate) fn link_bytes(cost: &Cost) -> f64 {
    2.0 * cost.sent().bytes as f64 / cost.finished.max(1) as f64
}

/// Bytes to and from the platform per request.
pub(crate) fn platform_bytes(cost: &Cost) -> f64 {
    let bytes: u64 = cost.platform.values().map(|sum| sum.bytes).sum();
    bytes as f64 / cost.finished.max(1) as f64
}

/// A data centre at the rate of the target, with few busy budgets.
pub(crate) fn busy(daemons: usize, seconds: u64) -> Setup {
    Setup {
        daemons,
        dcs: 1,
        budgets: 4,
        rate: RATE as u64,
        seconds,
        hold: Duration::from_secs(2),
    }
}

/// A bound that was missed, if it was.
fn above(what: &str, measured: f64, bound: f64) -> Option<String> {
    (measured > bound).then(|| format!("{what}: {measured:.1}, at most {bound:.1}"))
}

/// Peer and platform bytes of requests alone, which may not use up the whole bound.
pub(crate) fn bytes(cost: &Cost) -> Option<String> {
    let bytes = link_bytes(cost) + platform_bytes(cost);
    above("control bytes per request", bytes, BYTES_PER_S / RATE)
}

/// Writes of budget rows, when few budgets are busy.
pub(crate) fn writes(cost: &Cost) -> Option<String> {
    let writes = cost.count("commit-budget") as f64 / thousands(cost);
    let bound = (WRITES_PER_S - BILL_WRITES_PER_S) / REQUESTS_PER_S * 1_000.0;
    above("budget writes per 1,000 requests", writes, bound)
}

/// Reads of budget rows, when few budgets are busy.
pub(crate) fn reads(cost: &Cost) -> Option<String> {
    let reads = cost.count("read-budget") as f64 / thousands(cost);
    let bound = (READS_PER_S - FIXED_READS_PER_S) / REQUESTS_PER_S * 1_000.0;
    above("budget reads per 1,000 requests", reads, bound)
}

/// Messages per request must not grow with the number of daemons.
pub(crate) fn growth(small: &Cost, large: &Cost) -> Option<String> {
    let each = |cost: &Cost| cost.sent().count as f64 / cost.finished.max(1) as f64;
    let factor = each(large) / each(small).max(1e-9);
    above("growth of messages per request", factor, 1.25)
}

/// Memory of a node at the target size, from the slopes of four runs of two daemons.
pub(crate) fn memory(seconds: u64) -> (u64, u64, u64) {
    let base = Setup {
        budgets: 1,
        ..busy(2, seconds)
    };
    let many = Setup {
        budgets: 1_000,
        ..base
    };
    let long = Setup {
        hold: Duration::from_secs(seconds),
        ..base
    };
    let (few, spread, held) = (fleet::run(base), fleet::run(many), fleet::run(long));
    let slope = |cost: &Cost, by: u64| cost.memory.saturating_sub(few.memory) / by.max(1);
    // Each of the two daemons has a share of its own and a record of the other's.
    let budget = slope(&spread, 2 * (many.budgets as u64 - 1));
    let open = slope(&held, held.open - few.open);
    let total = budget * BUDGETS_PER_DAEMON + open * OPEN;
    (budget, open, total)
}

/// Memory of the nodes, the configuration and the router.
pub(crate) fn all_memory(
    node: u64,
    config: &config::Cost,
    router: &router::Cost,
) -> Option<String> {
    let total = node + config.peak + router.per_target * TARGETS;
    above("bytes in use", total as f64, MEMORY as f64)
}

/// An edit must cost a part of a snapshot that allows all daemons to take 1,500 a day.
pub(crate) fn edit(cost: &config::Cost) -> Option<String> {
    let bytes = cost.edits.iter().max().copied().unwrap_or(0) as f64;
    // A change is in force within 7 s, and takes no more than the bytes of 1 s of control.
    above("bytes of an edit", bytes, BYTES_PER_S)
}

/// Applying an edit may take time in proportion to the items, as 1,500 changes a day are few, but
/// not more.
pub(crate) fn edit_growth(small: &config::Cost, large: &config::Cost) -> Option<String> {
    let items = config::TARGET.items() as f64 / config::SMALL.items() as f64;
    let factor = large.calls as f64 / small.calls as f64;
    above("growth of the allocations of an edit", factor, items)
}

/// A draw reads and writes the row, which must fit into 1 s of control.
pub(crate) fn row(cost: row::Cost) -> Option<String> {
    above("bytes of a draw", 2.0 * cost.bytes as f64, BYTES_PER_S)
}

/// Commits of all drawers of one row, with those that conflict, must leave room for the bills.
pub(crate) fn contention(cost: &Cost, seconds: u64) -> Option<String> {
    let each = cost.count("commit-budget") as f64 / seconds as f64;
    let bound = WRITES_PER_S - BILL_WRITES_PER_S;
    above("commits per second of one row", each, bound)
}

/// Allocations of a request must not grow with the number of targets.
pub(crate) fn router_growth(small: &router::Cost, large: &router::Cost) -> Option<String> {
    let factor = large.calls / small.calls;
    above("growth of the router's allocations", factor, 2.0)
}
