//! Requests that crash the runners that run them.

use std::{
    collections::HashMap,
    hash::Hasher,
    time::{
        Duration,
        Instant, //
    },
};

/// Crashes after which a request is refused.
const MAX_CRASHES: u32 = 2;

/// Time for which a crash counts.
const MEMORY: Duration = Duration::from_secs(60);

/// Requests that are remembered at most; those with the fewest crashes are forgotten first, so that
/// bystanders of a crash do not displace its cause.
const MAX_ENTRIES: usize = 512;

/// Requests that one row or answer names at most.
const MAX_TOLD: usize = 32;

/// Identifies a request that comes again by its customer, path and body.
pub type Fingerprint = u64;

/// Fingerprint of a request. Daemons that were built by different compilers may not agree.
pub fn fingerprint(customer: &str, path: &str, body: &[u8]) -> Fingerprint {
    let mut hasher = std::hash::DefaultHasher::new();
    hasher.write(customer.as_bytes());
    hasher.write_u8(0);
    hasher.write(path.as_bytes());
    hasher.write_u8(0);
    hasher.write(body);
    hasher.finish()
}

/// Crashes by request, this daemon's and those that others have told of.
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
    local_strikes: HashMap<Fingerprint, (u32, Instant)>,
    others: HashMap<Fingerprint, HashMap<String, (u32, Instant)>>,
}

impl Strikes {
    /// Notes that a runner crashed while it ran the request.
    pub fn add_strike(&mut self, request: Fingerprint, now: Instant) {
        if self.local_strikes.len() >= MAX_ENTRIES && !self.local_strikes.contains_key(&request) {
            let oldest = self
                .local_strikes
                .iter()
                .min_by_key(|(_, (n, at))| (*n, *at));
            if let Some(oldest) = oldest.map(|(f, _)| *f) {
                self.local_strikes.remove(&oldest);
            }
        }
        let entry = self.local_strikes.entry(request).or_insert((0, now));
        entry.0 += 1;
        entry.1 = now;
    }

    /// Takes over what the daemon `name` has counted.
    pub fn set_peer_strikes(&mut self, name: &str, counts: &[(Fingerprint, u32)], now: Instant) {
        if self.others.len() >= MAX_ENTRIES {
            let recent = |(_, at): &(u32, Instant)| now.duration_since(*at) < MEMORY;
            self.others.retain(|_, m| m.values().any(recent));
        }
        for (request, n) in counts {
            self.others
                .entry(*request)
                .or_default()
                .insert(name.to_owned(), (*n, now));
        }
    }

    /// Crashes that this daemon has seen within the last minute, most first, for the other daemons.
    pub fn local_strikes(&self, now: Instant) -> Vec<(Fingerprint, u32)> {
        let mut list: Vec<(Fingerprint, u32, Instant)> = self
            .local_strikes
            .iter()
            .filter(|(_, (_, at))| now.duration_since(*at) < MEMORY)
            .map(|(f, (n, at))| (*f, *n, *at))
            .collect();
        list.sort_by_key(|(_, n, at)| (std::cmp::Reverse(*n), std::cmp::Reverse(*at)));
        list.truncate(MAX_TOLD);
        list.into_iter().map(|(f, n, _)| (f, n)).collect()
    }

    /// Whether the request is refused.
    pub fn is_refused(&self, request: Fingerprint, now: Instant) -> bool {
        let recent = |(n, at): &(u32, Instant)| {
            if now.duration_since(*at) < MEMORY {
                *n
            } else {
                0
            }
        };
        let own = self.local_strikes.get(&request).map_or(0, recent);
        let others: u32 = self
            .others
            .get(&request)
            .map_or(0, |m| m.values().map(recent).sum());
        own + others >= MAX_CRASHES
    }
}
