//! Strikes against requests that crash the runners that run them.

use std::{
    collections::HashMap,
    hash::Hasher,
    time::{
        Duration,
        Instant, //
    },
};

/// Strikes at which a request is refused.
const MAX_STRIKES: u32 = 2;

/// Time for which a strike counts.
const STRIKE_TTL: Duration = Duration::from_secs(60);

/// Maximum number of requests with strikes that are kept. Those with the fewest strikes are dropped
/// first, so that requests that merely ran during a crash do not displace the one that caused it.
const MAX_ENTRIES: usize = 512;

/// Maximum number of requests that one row or peer reply contains.
const MAX_PUBLISHED: usize = 32;

/// Hash of the customer, path and body by which a repeated request is recognised.
pub type Fingerprint = u64;

/// Computes the fingerprint of a request. Daemons built with different compilers may compute
/// different ones.
pub fn fingerprint(customer: &str, path: &str, body: &[u8]) -> Fingerprint {
    let mut hasher = std::hash::DefaultHasher::new();
    hasher.write(customer.as_bytes());
    hasher.write_u8(0);
    hasher.write(path.as_bytes());
    hasher.write_u8(0);
    hasher.write(body);
    hasher.finish()
}

/// Strikes by request: a strike is a crash of a runner while it ran the request.
///
/// Holds the strikes that this daemon has seen, and those that other daemons have published.
///
/// # Examples
///
/// ```
/// use std::time::Instant;
/// use cuminloom_edge::decide::Strikes;
///
/// let now = Instant::now();
/// let mut strikes = Strikes::default();
/// strikes.add_strike(7, now);
/// assert!(!strikes.is_refused(7, now));
/// strikes.set_peer_strikes("vm-2", &[(7, 1)], now);
/// assert!(strikes.is_refused(7, now));
/// ```
#[derive(Debug, Default)]
pub struct Strikes {
    /// Strikes and time of the last one, by request.
    local_strikes: HashMap<Fingerprint, (u32, Instant)>,
    /// Strikes by request and daemon, with the time at which they were received.
    peers: HashMap<Fingerprint, HashMap<String, (u32, Instant)>>,
}

impl Strikes {
    /// Records that a runner crashed while it ran the request.
    pub fn add_strike(&mut self, request: Fingerprint, now: Instant) {
        if self.local_strikes.len() >= MAX_ENTRIES && !self.local_strikes.contains_key(&request) {
            let weakest = self
                .local_strikes
                .iter()
                .min_by_key(|(_, (n, at))| (*n, *at));
            if let Some(weakest) = weakest.map(|(f, _)| *f) {
                self.local_strikes.remove(&weakest);
            }
        }
        let entry = self.local_strikes.entry(request).or_insert((0, now));
        entry.0 += 1;
        entry.1 = now;
    }

    /// Replaces the strikes that the daemon `name` has published; they are totals, not increments.
    pub fn set_peer_strikes(&mut self, name: &str, counts: &[(Fingerprint, u32)], now: Instant) {
        if self.peers.len() >= MAX_ENTRIES {
            let recent = |(_, at): &(u32, Instant)| now.duration_since(*at) < STRIKE_TTL;
            self.peers.retain(|_, m| m.values().any(recent));
        }
        for (request, n) in counts {
            self.peers
                .entry(*request)
                .or_default()
                .insert(name.to_owned(), (*n, now));
        }
    }

    /// Strikes that this daemon has seen within the last minute, most first, to publish to other
    /// daemons.
    pub fn local_strikes(&self, now: Instant) -> Vec<(Fingerprint, u32)> {
        let mut list: Vec<(Fingerprint, u32, Instant)> = self
            .local_strikes
            .iter()
            .filter(|(_, (_, at))| now.duration_since(*at) < STRIKE_TTL)
            .map(|(f, (n, at))| (*f, *n, *at))
            .collect();
        list.sort_by_key(|(_, n, at)| (std::cmp::Reverse(*n), std::cmp::Reverse(*at)));
        list.truncate(MAX_PUBLISHED);
        list.into_iter().map(|(f, n, _)| (f, n)).collect()
    }

    /// Whether the request has so many strikes that it is refused.
    pub fn is_refused(&self, request: Fingerprint, now: Instant) -> bool {
        let recent = |(n, at): &(u32, Instant)| {
            if now.duration_since(*at) < STRIKE_TTL {
                *n
            } else {
                0
            }
        };
        let own = self.local_strikes.get(&request).map_or(0, recent);
        let peers: u32 = self
            .peers
            .get(&request)
            .map_or(0, |m| m.values().map(recent).sum());
        own + peers >= MAX_STRIKES
    }
}
