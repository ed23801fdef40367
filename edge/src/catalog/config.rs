//! The operator's configuration, and the lookup of a request's route and customer.

use std::{
    collections::HashMap,
    sync::Arc,
    time::Duration, //
};

use super::{
    CustomerId,
    RegionId,
    ServiceId, //
};

/// How often a request of a route may run, and so whether it may be sent again after it may have
/// run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RetryPolicy {
    /// Requests may run more than once.
    Idempotent,
    /// Requests may run at most once.
    Once,
    /// Streams that may run at most once.
    Stream,
    /// Streams that may be resumed at another runner after the last event received.
    Resumable,
}

impl RetryPolicy {
    /// Whether a request that may have run may run again.
    pub fn allows_rerun(self) -> bool {
        matches!(self, RetryPolicy::Idempotent | RetryPolicy::Resumable)
    }

    /// Whether the response is a stream of events.
    pub fn is_stream(self) -> bool {
        matches!(self, RetryPolicy::Stream | RetryPolicy::Resumable)
    }
}

/// One route of the operator's configuration.
#[derive(Clone, Debug)]
pub struct Route {
    /// Name that the operator gave the route.
    pub name: Arc<str>,
    /// Host that the route serves.
    pub host: Arc<str>,
    /// Path prefix, beginning and ending with a slash.
    pub prefix: Arc<str>,
    /// Whether requests may run again after a failed attempt.
    pub retry: RetryPolicy,
    /// Longest time that a request may wait for its response.
    pub timeout: Duration,
    /// Latency objective for the response.
    pub objective: Duration,
    /// Longest pause between two events of a stream for which it is still on time.
    pub pause: Option<Duration>,
    /// Rank of the requests; 0 is the most urgent.
    pub rank: u8,
    /// Services that serve the route, with their weights.
    pub services: Vec<(ServiceId, u32)>,
    /// Most runners on which one request may be started.
    pub max_attempts: u32,
    /// Whether requests without a valid key are allowed.
    pub public: bool,
    /// Regions in which requests may be handled; empty for all.
    pub homes: Vec<RegionId>,
}

/// One service, which is a group of interchangeable runners.
#[derive(Clone, Debug)]
pub struct Service {
    /// Name of the service.
    pub name: ServiceId,
    /// Most connections that one runner accepts from all daemons together.
    pub max_connections: u32,
    /// Most tokens that one event of a stream contains.
    pub event_tokens: u64,
    /// Time for which a runner is cold after its start.
    pub cold_time: Duration,
    /// Requests a second that a cold runner tolerates; `None` if cold runners need no protection.
    pub cold_rate: Option<f64>,
}

/// Limits on the requests and connections of callers.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// Largest request head.
    pub head_bytes: usize,
    /// Largest request body.
    pub body_bytes: usize,
    /// Longest time for receiving a head.
    pub header_timeout: Duration,
    /// Longest time for which a connection may be idle between requests, or between two reads of a
    /// body.
    pub idle_timeout: Duration,
    /// Longest time for receiving a body, even if data keeps coming.
    pub body_timeout: Duration,
    /// Time after which a connection is closed if the caller acknowledges no data that was sent.
    pub ack_timeout: Duration,
}

impl Default for Limits {
    fn default() -> Limits {
        Limits {
            head_bytes: 16 * 1024,
            body_bytes: 4 * 1024 * 1024,
            header_timeout: Duration::from_secs(3),
            idle_timeout: Duration::from_secs(15),
            body_timeout: Duration::from_secs(60),
            // Shorter than the time after which a machine counts as unreachable.
            ack_timeout: Duration::from_millis(2500),
        }
    }
}

/// One customer.
#[derive(Clone, Debug)]
pub struct Customer {
    /// Name of the customer.
    pub name: CustomerId,
    /// Rank that overrides the rank of the route.
    pub rank: Option<u8>,
    /// Total of the tokens that the customer may consume; `None` without a prepaid budget.
    pub prepaid: Option<u64>,
    /// Regions in which requests may be handled; empty for all.
    pub homes: Vec<RegionId>,
}

/// One version of the operator's configuration.
#[derive(Clone, Debug, Default)]
pub struct Config {
    /// Version number that the operator gave.
    pub version: u64,
    /// Routes by host, longest prefix first.
    pub hosts: HashMap<Arc<str>, Vec<Arc<Route>>>,
    /// Services by name.
    pub services: HashMap<ServiceId, Service>,
    /// Customers by key; `None` if no keys are configured, so that requests need none.
    pub keys: Option<HashMap<Arc<str>, Arc<Customer>>>,
    /// All customers.
    pub customers: Vec<Arc<Customer>>,
    /// Limits on callers.
    pub limits: Limits,
}

/// Outcome of the lookup of a request's route and customer.
#[derive(Clone, Debug)]
pub enum Lookup {
    /// Route and customer of an allowed request; no customer if it came without a valid key.
    Found(Arc<Route>, Option<Arc<Customer>>),
    /// No route matches.
    NoRoute,
    /// The key is missing or unknown.
    NoKey,
}

impl Config {
    /// Adds routes, and sorts those of each host by prefix length, longest first.
    pub fn add_routes(&mut self, routes: Vec<Route>) {
        for route in routes {
            self.hosts
                .entry(Arc::clone(&route.host))
                .or_default()
                .push(Arc::new(route));
        }
        for list in self.hosts.values_mut() {
            list.sort_by_key(|r| std::cmp::Reverse(r.prefix.len()));
        }
    }

    /// Looks up route and customer of a request to `host` and `path` with `key`.
    ///
    /// # Examples
    ///
    /// ```
    /// use cuminloom_edge::catalog::{Config, Lookup};
    ///
    /// let config = Config::default();
    /// assert!(matches!(config.find("h", "/a/", None), Lookup::NoRoute));
    /// ```
    pub fn find(&self, host: &str, path: &str, key: Option<&str>) -> Lookup {
        let route = self
            .hosts
            .get(host)
            .and_then(|list| list.iter().find(|r| path.starts_with(&*r.prefix)));
        let Some(route) = route else {
            return Lookup::NoRoute;
        };
        let Some(keys) = &self.keys else {
            return Lookup::Found(Arc::clone(route), None);
        };
        let customer = key.and_then(|k| keys.get(k)).cloned();
        if customer.is_none() && !route.public {
            return Lookup::NoKey;
        }
        Lookup::Found(Arc::clone(route), customer)
    }
}
