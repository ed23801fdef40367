//! Requests of the simulated fleet, in the sizes of the users' larger sites.

use std::collections::HashMap;

use rand::{
    RngExt,
    rngs::StdRng, //
};

/// Number of customers.
pub(crate) const CUSTOMERS: usize = 24;

/// Requests with tokens per second and daemon.
const REQUESTS_PER_S: f64 = 6.0;

/// Tokens of all customers per daemon: about 1.3 times what the requests of 35 s consume.
const LIMIT_PER_DAEMON: u64 = 700_000;

/// A request to an engine.
#[derive(Clone, Debug)]
pub(crate) struct Request {
    /// Daemon that received it.
    pub(crate) origin: usize,
    pub(crate) customer: String,
    /// Most tokens that it may consume.
    pub(crate) cost: u64,
    /// Tokens that it consumes.
    pub(crate) used: u64,
    pub(crate) duration_ms: u64,
}

/// Weight of customer `i`: a few are large.
fn weight(i: usize) -> u64 {
    if i < 3 { 8 } else { 2 }
}

fn total_weight() -> u64 {
    (0..CUSTOMERS).map(weight).sum()
}

/// Limits of the customers of a fleet of `daemons`.
pub(crate) fn limits(daemons: usize) -> HashMap<String, u64> {
    let total = LIMIT_PER_DAEMON * daemons as u64;
    (0..CUSTOMERS)
        .map(|i| (format!("c{i}"), total * weight(i) / total_weight()))
        .collect()
}

impl Request {
    /// Draws the request that arrives at daemon `origin` within `step_ms`, if one does.
    pub(crate) fn draw(random: &mut StdRng, origin: usize, step_ms: u64) -> Option<Request> {
        let arrives = random.random_range(0.0..1.0) < REQUESTS_PER_S * step_ms as f64 / 1000.0;
        if !arrives {
            return None;
        }
        let mut point = random.random_range(0..total_weight());
        let customer = (0..CUSTOMERS)
            .find(|i| {
                let hit = point < weight(*i);
                point = point.saturating_sub(weight(*i));
                hit
            })
            .unwrap_or(0);
        let cost = match random.random_range(0..100) {
            0..20 => random.random_range(2_000..13_000),
            20..22 => random.random_range(20_000..55_000),
            22..50 => random.random_range(300..2_000),
            _ => random.random_range(600..3_500),
        };
        Some(Request {
            origin,
            customer: format!("c{customer}"),
            cost,
            used: cost * 3 / 4 + random.random_range(0..=cost / 4),
            duration_ms: random.random_range(100..3_000),
        })
    }
}
