//! The operator's configuration, and the route and customer of a request.

use std::{
    collections::HashMap,
    sync::Arc,
    time::Duration, //
};

use super::{
    CustomerId,
    ServiceId, //
};

/// What may be repeated on a route.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RetryPolicy {
    /// A request may run more than once.
    Idempotent,
    /// A request may run once at most.
    Once,
    /// A stream that runs once at most.
    Stream,
    /// A stream that may go on at another runner after its last event.
    Resumable,
}

impl RetryPolicy {
    /// Whether a second run is allowed.
    pub fn allows_rerun(self) -> bool {
        matches!(self, RetryPolicy::Idempotent | RetryPolicy::Resumable)
    }

    /// Whether the answer is a stream of events.
    pub fn is_stream(self) -> bool {
        matches!(self, RetryPolicy::Stream | RetryPolicy::Resumable)
    }
}

/// One route of the operator's configuration.
#[derive(Clone, Debug)]
pub struct Route {
    /// Name that the operator gave.
    pub name: Arc<str>,
    /// Host that the route serves.
    pub host: Arc<str>,
    /// Path prefix, beginning and ending with a slash.
    pub prefix: Arc<str>,
    /// What may be repeated.
    pub retry: RetryPolicy,
    /// Longest time that a request may wait for its answer.
    pub timeout: Duration,
    /// Time within which an answer is worth most.
    pub objective: Duration,
    /// Rank, 0 first.
    pub rank: u8,
    /// Services with their weights.
    pub services: Vec<(ServiceId, u32)>,
    /// Runners to which one request may be sent.
    pub max_attempts: u32,
    /// Whether requests need no key.
    pub public: bool,
}

/// One service.
#[derive(Clone, Debug)]
pub struct Service {
    /// Name.
    pub name: ServiceId,
    /// Connections that one runner accepts from all callers.
    pub max_connections: u32,
    /// Tokens that one event of a stream holds at most.
    pub event_tokens: u64,
}

/// Limits on what a caller may send.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// Largest head, in bytes.
    pub head_bytes: usize,
    /// Largest body, in bytes.
    pub body_bytes: usize,
    /// Longest time for a head.
    pub header_timeout: Duration,
    /// Longest time for which a kept connection may be idle.
    pub idle_timeout: Duration,
    /// Longest time for a body, however steadily it comes.
    pub body_timeout: Duration,
    /// Time after which a connection is closed whose caller acknowledges nothing.
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
            // Shorter than the bound after which a machine counts as out of touch.
            ack_timeout: Duration::from_millis(2500),
        }
    }
}

/// One customer.
#[derive(Clone, Debug)]
pub struct Customer {
    /// Name.
    pub name: CustomerId,
    /// Rank that goes before the rank of the route.
    pub rank: Option<u8>,
    /// Tokens that the customer may consume in all; `None` without a budget.
    pub prepaid: Option<u64>,
}

/// One version of the operator's configuration.
#[derive(Clone, Debug, Default)]
pub struct Config {
    /// Version that the operator gave.
    pub version: u64,
    /// Routes by host, longest prefix first.
    pub hosts: HashMap<Arc<str>, Vec<Arc<Route>>>,
    /// Services by name.
    pub services: HashMap<ServiceId, Service>,
    /// Customers by key; `None` if requests carry no keys.
    pub keys: Option<HashMap<Arc<str>, Arc<Customer>>>,
    /// Customers.
    pub customers: Vec<Arc<Customer>>,
    /// Limits on callers.
    pub limits: Limits,
}

/// Outcome of the search for a request's route and customer.
#[derive(Clone, Debug)]
pub enum Lookup {
    /// The request is allowed.
    Found(Arc<Route>, Option<Arc<Customer>>),
    /// No route matches.
    NoRoute,
    /// The key is missing or unknown.
    NoKey,
}

impl Config {
    /// Puts the routes of each host into the order in which they are tried.
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

    /// Route and customer of a request to `host` and `path` with `key`.
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
